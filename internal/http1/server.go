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
	lim       limits.Limits
	h         Handler
	log       *slog.Logger
	draining  atomic.Bool
	stopped   atomic.Bool // no connection is taken any more
	ln        atomic.Pointer[net.Listener]
	finishing atomic.Bool   // and only those are that wait already
	taken     chan struct{} // closed once the last connection was taken
	busy      atomic.Int64  // requests being handled
	bodies    atomic.Int64  // bytes of bodies that are held
	tally     *slowpeer.Tally
	sleep     func(context.Context, time.Duration) // pauses of the accept loop

	mu       sync.Mutex
	conns    map[*conn]struct{}
	standing int           // of them, those that are neither closed nor retiring
	freed    chan struct{} // told when one has ended or become idle
	shares   *slowpeer.Ledger[string]
	last     time.Time // when a connection was last taken or a request last handled
}

// NewServer makes a server.
func NewServer(lim limits.Limits, h Handler, tally *slowpeer.Tally, log *slog.Logger) *Server {
	return &Server{lim: lim, h: h, tally: tally, log: log, sleep: sleep, conns: map[*conn]struct{}{}, freed: make(chan struct{}, 1), taken: make(chan struct{}),
		shares: slowpeer.NewLedger[string](lim.ClientConns, lim.Pace.Least, lim.Pace.Alpha)}
}

// slow counts a peer that was found slow, and logs it.
func (s *Server) slow(k slowpeer.Kind, c *conn, err *slowpeer.Slow) {
	s.tally.Add(k)
	s.log.Info("slow peer", "kind", k.String(), "peer", c.RemoteAddr().String(), "why", err)
}

// follow looks after answers that are finished here and not read there. They hold no job, no request's place and no
// buffer of the node's, but the kernel holds their bytes: a client that reads below the least rate is let go. Its
// connection is closed, and what the kernel holds still goes out for a while, should the client come to read it.
func (s *Server) follow(ctx context.Context) {
	tick := time.NewTicker(s.lim.Pace.Look)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		full := s.lim.Pace.Full(s.standing, s.lim.ClientConns)
		var slowest []*conn
		for c := range s.conns {
			if !c.unread {
				continue
			}
			c.Press(full)
			switch left, slow := c.Left(); {
			case left == 0:
				s.read(c)
			case slow != nil && (c.phase == idle || c.phase == reading):
				c.why = slow
				slowest = append(slowest, c)
				s.retire(c)
			}
		}
		s.mu.Unlock()
		for _, c := range slowest {
			s.slow(slowpeer.ClientReads, c, c.why)
		}
	}
}

// enter moves a connection to a phase, unless it was closed meanwhile. A connection is closed between requests, or
// while one comes, and never once it came whole: a request that was taken and then lost with its connection would be
// sent again by its client, and run twice. So closing and taking a request exclude one another.
func (s *Server) enter(c *conn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.phase == closed:
		return false
	case c.phase != retiring:
	case p == idle || p == reading:
		return false
	default: // its last read found a request: it is counted again, for one answer
		s.standing++
		c.how = max(c.how, once)
	}
	if p == busy {
		s.read(c) // who asks for the next has read the last, or gives up on it
		c.Forgive()
	}
	if p == idle && c.phase != p && c.served {
		s.free()
	}
	if c.phase != p && c.served {
		c.since = time.Now() // on a new one, since it was taken: a head that never ends grows no younger
	}
	c.phase = p
	c.served = c.served || p == busy
	return true
}

// free tells the accept loop, should it wait for it, that a connection has ended or become idle.
func (s *Server) free() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// full says whether there is no descriptor for one more connection, however short.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.lim.ClientConns+s.lim.SpareConns+s.lim.DoorConns
}

// Conns is how many connections are open.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Busy is how many requests are being handled.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// LastUse tells when a connection was last taken or a request last began or ended.
func (s *Server) LastUse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *Server) touch() {
	s.mu.Lock()
	s.last = time.Now()
	s.mu.Unlock()
}

// Serve takes connections until the context ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.ln.Store(&ln)
	if s.stopped.Load() {
		_ = ln.Close()
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close() // net.ErrClosed where StopTaking closed it first
	})
	g.Go(func() error { s.follow(ctx); return nil })
	g.Go(func() error {
		return s.acceptLoop(ctx, ln, func(c *conn) {
			g.Go(func() error {
				s.serve(ctx, c)
				return nil
			})
		})
	})
	if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) serve(server context.Context, c *conn) {
	ctx, gone := context.WithCancel(server)
	var g errgroup.Group
	g.Go(func() error { c.read(gone); return nil })
	// The end of its client alone does not close it: a client that closed its side only still gets an answer.
	stop := context.AfterFunc(server, func() { _ = c.Close() })
	p, w := NewParser(s.lim, false), NewWriter(c.Paced, s.lim.Ring)
	p.Room = s.room
	defer func() {
		stop()
		gone()
		_ = c.Close()
		close(c.want)
		_ = g.Wait()
		p.Release()
		s.mu.Lock()
		delete(s.conns, c)
		if c.phase != closed && c.phase != retiring {
			s.standing--
			s.read(c)
		}
		close(c.ended)
		if c.share != "" {
			s.shares.Give(c.share, 1)
		}
		s.mu.Unlock()
		s.free()
	}()
	for {
		m, err := s.next(ctx, c, p, w)
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
		if !s.enter(c, busy) {
			return
		}
		s.busy.Add(1)
		s.touch()
		c.Rest()
		c.ReadBy(time.Time{})
		c.watch()
		var r Response
		if c.how == refused {
			r = Text(503, "all connections are in use")
		} else {
			r = s.h.Handle(ctx, m)
		}
		over := c.unwatch()
		if ctx.Err() != nil {
			s.busy.Add(-1)
			s.answerGone(server, c, w, r)
			return
		}
		r.Close = r.Close || m.Close || c.how != usual || over || s.draining.Load()
		p.Release()
		s.busy.Add(-1)
		ok := s.enter(c, answering) && s.write(ctx, c, w, &r)
		s.touch()
		if left, _ := c.Left(); ok && left > 0 || r.Known {
			s.mu.Lock()
			c.known = c.known || r.Known
			if left > 0 && c.phase != closed {
				c.unread = true
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
	if ctx.Err() != nil || r.Stream != nil || !c.halfClosed() || !s.enter(c, answering) {
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
func (s *Server) room(n int) bool {
	if s.bodies.Add(int64(n)) > int64(s.lim.Bodies) && n > 0 {
		s.bodies.Add(int64(-n))
		return false
	}
	return true
}

// write sends an answer, as slowly as its client reads it but for the least rate.
func (s *Server) write(ctx context.Context, c *conn, w *Writer, r *Response) bool {
	var err error
	if r.Stream != nil {
		r.Close = true
		err = w.stream(ctx, r)
	} else {
		err = w.Response(r)
	}
	if slow := (*slowpeer.Slow)(nil); errors.As(err, &slow) {
		s.tally.Add(slowpeer.ClientReads)
		s.slow(slowpeer.ClientCut, c, slow)
	}
	return err == nil
}

// next reads the next request. Without one and without an error the client is done.
func (s *Server) next(ctx context.Context, c *conn, p *Parser, w *Writer) (*Message, error) {
	continued, begun := false, false
	s.mu.Lock()
	wait, from := s.lim.ClientIdle, time.Now()
	switch {
	case !c.served: // from when it was taken, not from its first byte
		wait, from = s.lim.Pace.Request, c.since
		if c.how == refused {
			wait = s.lim.Linger // the door is not to be held
		}
	case !c.known:
		wait = s.lim.StrangerIdle
	}
	first := !c.served
	s.mu.Unlock()
	c.Rest()
	c.ReadBy(from.Add(wait))
	for {
		if !c.asked {
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
				c.ReadBy(c.began.Add(s.lim.Pace.Request)) // also where it came behind another, which was handled
			}
			c.Await()
		}
		if ctx.Err() != nil && !c.asked {
			return nil, nil
		}
		now := idle
		if begun {
			now = reading
		}
		if !s.enter(c, now) {
			return c.lastRequest(p)
		}
		c.ask()
		<-c.got
		c.asked = false
		if c.err != nil {
			m, err := c.parse(p) // what came with the end
			if m != nil || err != nil || errors.Is(c.err, net.ErrClosed) {
				return m, err
			}
			if timeout(c.err) {
				// The bound may have passed with a request unread, on a machine that had no time to read.
				m, err := c.lastRequest(p)
				if m != nil || err != nil {
					return m, err
				}
				if p.Begun() && !begun && !first {
					continue
				}
				if s.retired(c) {
					return nil, nil
				}
			}
			if p.Begun() && timeout(c.err) {
				s.slow(slowpeer.ClientSends, c, c.Incoming())
				return nil, bad(408, "the request did not come whole in time")
			}
			return nil, nil
		}
	}
}
