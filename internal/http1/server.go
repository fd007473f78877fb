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

// Handler handles one request. The context is canceled when the client disconnects.
type Handler interface {
	// Handle returns the response to m. It is written if the client is still connected.
	Handle(ctx context.Context, m *Message) Response
}

// Server serves HTTP/1.1 on one address. It handles one request at a time from each connection.
//
// Idle or abusive connections must not displace those of working clients: when its connection budget is used up, the
// server evicts the connection with the lowest eviction rank. The rank depends on the phase of the connection and on
// whether the handler attributed a request on it to a known client.
type Server struct {
	limits  limits.Limits
	handler Handler
	tally   *slowpeer.Counters
	log     *slog.Logger
	sleep   func(context.Context, time.Duration) // pauses of the accept loop

	lifecycle
	registry

	handling  atomic.Int64 // requests being handled
	bodyBytes atomic.Int64 // bytes reserved for request bodies
	processes atomic.Int32 // that share the limits; 0 for this one alone
}

// lifecycle is the state of the server's shutdown.
type lifecycle struct {
	listener   atomic.Pointer[net.Listener]
	draining   atomic.Bool   // each response closes its connection
	finishing  atomic.Bool   // only connections that are already queued are accepted
	stopped    atomic.Bool   // no connection is accepted
	acceptDone chan struct{} // closed when the accept loop has ended
}

// registry is the state that the connections share.
type registry struct {
	mu         sync.Mutex
	conns      map[*conn]struct{}
	open       int                      // number of connections that are neither closed nor retiring
	shares     *slowpeer.Ledger[string] // shares of the connections by client address
	lastActive time.Time                // when a connection was last accepted or a request last started or ended

	descriptorFreed chan struct{} // signaled when a connection ends or becomes idle
}

// NewServer returns a server. The tally may be nil.
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
		return ln.Close() // net.ErrClosed if StopAccepting closed it first
	})
	g.Go(func() error { s.monitorUnreadResponses(ctx); return nil })
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

// OpenRequests returns the number of requests being handled.
func (s *Server) OpenRequests() int { return int(s.handling.Load()) }

// reserveBody reserves n bytes of the total for request bodies and reports whether they were available. A negative n
// releases a reservation. Without the total, hundreds of connections with a large body each would exhaust the memory.
func (s *Server) reserveBody(n int) bool {
	if s.bodyBytes.Add(int64(n)) > int64(s.share(s.limits.TotalBodyBytes)) && n > 0 {
		s.bodyBytes.Add(int64(-n))
		return false
	}
	return true
}

// SetProcesses sets how many processes of a node share the server's limits, this one included. Connections above a
// lower limit are closed as others are accepted.
func (s *Server) SetProcesses(count int) { s.processes.Store(int32(count)) }

// share returns the part of a limit that this process may use.
func (s *Server) share(limit int) int { return limit / int(max(s.processes.Load(), 1)) }

// monitorUnreadResponses periodically closes the connections of clients that read their responses too slowly, until the
// context ends.
func (s *Server) monitorUnreadResponses(ctx context.Context) {
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
