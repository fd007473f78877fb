package http1

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
)

// Handler answers one request. Its context ends once the client has left: then nothing more is to be done for it.
type Handler interface {
	// Handle answers m. The response is written if its client is still there.
	Handle(ctx context.Context, m *Message) Response
}

// Server serves HTTP/1.1 on one address. It takes one request at a time from each connection.
//
// Connections of clients that want nothing, or send what they like, may not take the place of those that work: at its
// budget the server closes the connection with the lowest eviction rank. For that each has a phase, and it is noted
// whether the handler took a request on it for one of its own clients'.
type Server struct {
	limits  limits.Limits
	handler Handler
	tally   *slowpeer.Counters
	log     *slog.Logger
	sleep   func(context.Context, time.Duration) // pauses of the accept loop

	lifecycle
	registry

	handling  atomic.Int64 // requests being handled
	bodyBytes atomic.Int64 // of requests' bodies, reserved
}

// lifecycle is how far the server's end has come.
type lifecycle struct {
	listener   atomic.Pointer[net.Listener]
	draining   atomic.Bool   // each answer ends its connection
	finishing  atomic.Bool   // only connections are accepted that wait already
	stopped    atomic.Bool   // none is
	acceptDone chan struct{} // closed once the last was
}

// registry is what connections share.
type registry struct {
	mu         sync.Mutex
	conns      map[*conn]struct{}
	open       int                      // connections that are neither closed nor retiring
	shares     *slowpeer.Ledger[string] // of the connections, by address
	lastActive time.Time                // when one was accepted, or a request began or ended

	descriptorFreed chan struct{} // signaled when a connection ends or becomes idle
}

// NewServer makes a server. The tally may be nil.
func NewServer(lim limits.Limits, h Handler, tally *slowpeer.Counters, log *slog.Logger) *Server {
	return &Server{
		limits:    lim,
		handler:   h,
		tally:     tally,
		log:       log,
		sleep:     sleep,
		lifecycle: lifecycle{acceptDone: make(chan struct{})},
		registry: registry{
			conns:           map[*conn]struct{}{},
			shares:          slowpeer.NewLedger[string](lim.ClientConns, lim.SlowPeers.MinPerPeer, lim.SlowPeers.Alpha),
			descriptorFreed: make(chan struct{}, 1),
		},
	}
}

// Serve accepts connections and serves them until the context ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	s.listener.Store(&ln)
	if s.stopped.Load() {
		_ = ln.Close()
	}
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close() // net.ErrClosed where StopAccepting closed it first
	})
	g.Go(func() error { s.monitorUnreadAnswers(ctx); return nil })
	g.Go(func() error {
		return s.acceptLoop(ctx, ln, func(c *conn) {
			g.Go(func() error { newSession(s, c).run(ctx); return nil })
		})
	})
	if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// OpenRequests is how many requests are being handled.
func (s *Server) OpenRequests() int { return int(s.handling.Load()) }

// reserveBody takes n bytes for a body from those that all may hold together, or gives them back if n is
// negative, and says whether they were to be had: hundreds of connections with a large body each would take all
// of the memory.
func (s *Server) reserveBody(n int) bool {
	if s.bodyBytes.Add(int64(n)) > int64(s.limits.TotalBodyBytes) && n > 0 {
		s.bodyBytes.Add(int64(-n))
		return false
	}
	return true
}

// monitorUnreadAnswers closes the connections of clients that read their answers too slowly, until the context ends.
func (s *Server) monitorUnreadAnswers(ctx context.Context) {
	tick := time.NewTicker(s.limits.SlowPeers.UnsentCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.retireSlowReaders()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) reportSlowClient(kind slowpeer.Kind, c *conn, err *slowpeer.Error) {
	s.tally.Add(kind)
	s.log.Info("slow peer", "kind", kind.String(), "peer", c.RemoteAddr().String(), "err", err)
}
