package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
)

// Handler answers one request. Its context ends when the client has gone away: no answer is read then.
type Handler interface {
	Handle(ctx context.Context, m *Message) Response
}

// Server serves HTTP/1.1 on one address. It takes one request at a time from each connection.
//
// Connections of clients that want nothing, or send what they like, may not take the place of those that work: at its
// budget the server closes the connection that is worth least. So each has a phase, and whether it is known: that it
// carried a request which the handler took for one of its own clients'.
type Server struct {
	limits     limits.Limits
	handler    Handler
	log        *slog.Logger
	draining   atomic.Bool
	stopped    atomic.Bool // no connection is taken any more
	listener   atomic.Pointer[net.Listener]
	finishing  atomic.Bool   // and only those are that wait already
	acceptDone chan struct{} // closed once the last connection was taken
	handling   atomic.Int64  // requests being handled
	bodyBytes  atomic.Int64  // bytes of bodies that are held
	tally      *slowpeer.Tally
	sleep      func(context.Context, time.Duration) // pauses of the accept loop

	mu              sync.Mutex
	conns           map[*conn]struct{}
	open            int           // of them, those that are neither closed nor retiring
	descriptorFreed chan struct{} // told when one has ended or become idle
	shares          *slowpeer.Ledger[string]
	lastActive      time.Time // when a connection was last taken or a request last handled
}

// NewServer makes a server.
func NewServer(lim limits.Limits, h Handler, tally *slowpeer.Tally, log *slog.Logger) *Server {
	return &Server{limits: lim, handler: h, tally: tally, log: log, sleep: sleep, conns: map[*conn]struct{}{}, descriptorFreed: make(chan struct{}, 1), acceptDone: make(chan struct{}),
		shares: slowpeer.NewLedger[string](lim.ClientConns, lim.Pace.Least, lim.Pace.Alpha)}
}

// slow counts a peer that was found slow, and logs it.
func (s *Server) reportSlowClient(k slowpeer.Kind, c *conn, err *slowpeer.Slow) {
	s.tally.Add(k)
	s.log.Info("slow peer", "kind", k.String(), "peer", c.RemoteAddr().String(), "why", err)
}

// follow looks after answers that are finished here and not read there. They hold no job, no request's place and no
// buffer of the node's, but the kernel holds their bytes: a client that reads below the least rate is let go. Its
// connection is closed, and what the kernel holds still goes out for a while, should the client come to read it.
func (s *Server) monitorUnreadAnswers(ctx context.Context) {
	tick := time.NewTicker(s.limits.Pace.Look)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		full := s.limits.Pace.Full(s.open, s.limits.ClientConns)
		var slowest []*conn
		for c := range s.conns {
			if !c.unreadAnswer {
				continue
			}
			c.Press(full)
			switch left, slow := c.Left(); {
			case left == 0:
				s.clearUnreadAnswer(c)
			case slow != nil && (c.phase == idle || c.phase == reading):
				c.slowReader = slow
				slowest = append(slowest, c)
				s.retire(c)
			}
		}
		s.mu.Unlock()
		for _, c := range slowest {
			s.reportSlowClient(slowpeer.ClientReads, c, c.slowReader)
		}
	}
}

// enter moves a connection to a phase, unless it was closed meanwhile. A connection is closed between requests, or
// while one comes, and never once it came whole: a request that was taken and then lost with its connection would be
// sent again by its client, and run twice. So closing and taking a request exclude one another.
func (s *Server) setPhase(c *conn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.phase == closed:
		return false
	case c.phase != retiring:
	case p == idle || p == reading:
		return false
	default: // its last read found a request: it is counted again, for one answer
		s.open++
		c.service = max(c.service, singleAnswer)
	}
	if p == handling {
		s.clearUnreadAnswer(c) // who asks for the next has read the last, or gives up on it
		c.Forgive()
	}
	if p == idle && c.phase != p && c.hadRequest {
		s.signalFreed()
	}
	if c.phase != p && c.hadRequest {
		c.phaseSince = time.Now() // on a new one, since it was taken: a head that never ends grows no younger
	}
	c.phase = p
	c.hadRequest = c.hadRequest || p == handling
	return true
}

// free tells the accept loop, should it wait for it, that a connection has ended or become idle.
func (s *Server) signalFreed() {
	select {
	case s.descriptorFreed <- struct{}{}:
	default:
	}
}

// full says whether there is no descriptor for one more connection, however short.
func (s *Server) descriptorsExhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.limits.ClientConns+s.limits.SpareConns+s.limits.DoorConns
}

// Conns is how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Busy is how many requests are being handled.
func (s *Server) Busy() int { return int(s.handling.Load()) }

// LastUse tells when a connection was last taken or a request last began or ended.
func (s *Server) LastUse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastActive
}

func (s *Server) markActive() {
	s.mu.Lock()
	s.lastActive = time.Now()
	s.mu.Unlock()
}

// Serve takes connections until the context ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.listener.Store(&ln)
	if s.stopped.Load() {
		_ = ln.Close()
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close() // net.ErrClosed where StopTaking closed it first
	})
	g.Go(func() error { s.monitorUnreadAnswers(ctx); return nil })
	g.Go(func() error {
		return s.acceptLoop(ctx, ln, func(c *conn) {
			g.Go(func() error {
				s.serveConn(ctx, c)
				return nil
			})
		})
	})
	if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) serveConn(server context.Context, c *conn) {
	ctx, gone := context.WithCancel(server)
	var g errgroup.Group
	g.Go(func() error { c.readLoop(gone); return nil })
	// The end of its client alone does not close it: a client that closed its side only still gets an answer.
	stop := context.AfterFunc(server, func() { _ = c.Close() })
	p, w := NewParser(s.limits, false), NewWriter(c.Paced, s.limits.Ring)
	p.Room = s.reserveBody
	defer func() {
		stop()
		gone()
		_ = c.Close()
		close(c.readRequested)
		_ = g.Wait()
		p.Release()
		s.mu.Lock()
		delete(s.conns, c)
		if c.phase != closed && c.phase != retiring {
			s.open--
			s.clearUnreadAnswer(c)
		}
		close(c.ended)
		if c.shareOwner != "" {
			s.shares.Give(c.shareOwner, 1)
		}
		s.mu.Unlock()
		s.signalFreed()
	}()
	for {
		m, err := s.readRequest(ctx, c, p, w)
		if m == nil {
			if bad := (*Error)(nil); errors.As(err, &bad) {
				s.log.Debug("bad request", "err", err)
				r := Text(bad.Status, "%s", bad.Text)
				r.Close = true
				if s.write(ctx, c, w, &r) {
					s.linger(c)
				}
			}
			return
		}
		// A client that has closed is gone, whatever of its requests came before the close.
		if ctx.Err() != nil {
			s.answerGone(server, c, w, Text(503, "the connection was closed before the request began"))
			return
		}
		if !s.setPhase(c, handling) {
			return
		}
		s.handling.Add(1)
		s.markActive()
		c.Rest()
		c.ReadBy(time.Time{})
		c.watchClient()
		var r Response
		if c.service == rejectOnly {
			r = Text(503, "all connections are in use")
		} else {
			r = s.handler.Handle(ctx, m)
		}
		over := c.stopWatching()
		if ctx.Err() != nil {
			s.handling.Add(-1)
			s.answerGone(server, c, w, r)
			return
		}
		r.Close = r.Close || m.Close || c.service != keepAlive || over || s.draining.Load()
		p.Release()
		s.handling.Add(-1)
		ok := s.setPhase(c, answering) && s.write(ctx, c, w, &r)
		s.markActive()
		if left, _ := c.Left(); ok && left > 0 || r.Known {
			s.mu.Lock()
			c.knownClient = c.knownClient || r.Known
			if left > 0 && c.phase != closed {
				c.unreadAnswer = true
			}
			s.mu.Unlock()
		}
		if !ok || r.Close {
			if ok {
				s.linger(c)
			}
			return
		}
	}
}

// answerGone writes a last answer to a client that has closed its side of the connection, should it still read. Its request was called
// off: a client that closed its side is taken to have gone, since no system call tells the one from the other.
func (s *Server) answerGone(ctx context.Context, c *conn, w *Writer, r Response) {
	if ctx.Err() != nil || r.Stream != nil || !c.halfClosed() || !s.setPhase(c, answering) {
		return
	}
	if r.Status == 0 {
		r = Text(500, "the connection was closed before the answer")
	}
	r.Close = true
	s.write(ctx, c, w, &r)
}

// room takes n bytes for bodies, or gives them back, and says whether they were to be had. Beyond it a body is turned
// away: hundreds of connections with a large one each would take the memory of all.
func (s *Server) reserveBody(n int) bool {
	if s.bodyBytes.Add(int64(n)) > int64(s.limits.Bodies) && n > 0 {
		s.bodyBytes.Add(int64(-n))
		return false
	}
	return true
}

// write sends an answer, as slowly as its client reads it but for the least rate.
func (s *Server) write(ctx context.Context, c *conn, w *Writer, r *Response) bool {
	var err error
	if r.Stream != nil {
		r.Close = true
		err = w.writeStream(ctx, r)
	} else {
		err = w.Response(r)
	}
	if slow := (*slowpeer.Slow)(nil); errors.As(err, &slow) {
		s.tally.Add(slowpeer.ClientReads)
		s.reportSlowClient(slowpeer.ClientCut, c, slow)
	}
	return err == nil
}

// next reads the next request. Without one and without an error the client is done.
func (s *Server) readRequest(ctx context.Context, c *conn, p *Parser, w *Writer) (*Message, error) {
	continued, begun := false, false
	s.mu.Lock()
	wait, from := s.limits.ClientIdle, time.Now()
	switch {
	case !c.hadRequest: // from when it was taken, not from its first byte
		wait, from = s.limits.Pace.Request, c.phaseSince
		if c.service == rejectOnly {
			wait = s.limits.Linger // the door is not to be held
		}
	case !c.knownClient:
		wait = s.limits.StrangerIdle
	}
	first := !c.hadRequest
	s.mu.Unlock()
	c.Rest()
	c.ReadBy(from.Add(wait))
	for {
		if !c.readPending {
			m, err := c.parse(p)
			if m != nil || err != nil {
				return m, err
			}
		}
		if p.Expects() && !continued {
			continued = true
			if _, err := io.WriteString(w, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil || w.Flush() != nil {
				return nil, nil
			}
		}
		if p.Begun() && !begun {
			begun = true
			if !first {
				c.ReadBy(c.requestStart.Add(s.limits.Pace.Request)) // also where it came behind another, which was handled
			}
			c.Await()
		}
		if ctx.Err() != nil && !c.readPending {
			return nil, nil
		}
		now := idle
		if begun {
			now = reading
		}
		if !s.setPhase(c, now) {
			return c.lastRequest(p)
		}
		c.requestRead()
		<-c.readDone
		c.readPending = false
		if c.readErr != nil {
			m, err := c.parse(p) // what came with the end
			if m != nil || err != nil || errors.Is(c.readErr, net.ErrClosed) {
				return m, err
			}
			if isTimeout(c.readErr) {
				// The bound may have passed with a request unread, on a machine that had no time to read.
				m, err := c.lastRequest(p)
				if m != nil || err != nil {
					return m, err
				}
				if p.Begun() && !begun && !first {
					continue
				}
				if s.isRetiring(c) {
					return nil, nil
				}
			}
			if p.Begun() && isTimeout(c.readErr) {
				s.reportSlowClient(slowpeer.ClientSends, c, c.Incoming())
				return nil, newError(408, "the request did not come whole in time")
			}
			return nil, nil
		}
	}
}
