package store

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
)

// mux shares one address between the streams of raft and the calls of members and operators. A raft stream begins with
// a byte with which no HTTP request begins.
type mux struct {
	net.Listener
	keys        *pki.Ring
	lim         limits.Limits
	raftConns   chan net.Conn
	callConns   *connQueue
	done        chan struct{}
	once        sync.Once
	raftOpen    atomic.Bool // raft streams are accepted
	raftStreams streams     // outgoing raft streams
	acceptRetry http1.AcceptRetry
}

const raftStreamByte = 0x01

func newMux(ln net.Listener, ring *pki.Ring, lim limits.Limits, log *slog.Logger) *mux {
	done := make(chan struct{})
	return &mux{Listener: ln, keys: ring, lim: lim, raftConns: make(chan net.Conn), done: done,
		callConns:   &connQueue{addr: ln.Addr(), in: make(chan net.Conn), done: make(chan struct{})},
		acceptRetry: http1.AcceptRetry{Log: log}}
}

func (m *mux) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { <-ctx.Done(); return m.Close() })
	slots := make(chan struct{}, 4*m.lim.StoreConns)
	g.Go(func() error {
		for {
			c, err := m.Listener.Accept()
			if err != nil {
				if ctx.Err() != nil || m.acceptRetry.Failed(ctx, err) != nil {
					return nil
				}
				continue
			}
			m.acceptRetry.Succeeded()
			select {
			case slots <- struct{}{}:
			default:
				_ = c.Close()
				continue
			}
			g.Go(func() error {
				defer func() { <-slots }()
				m.dispatch(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

func (m *mux) dispatch(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(m.lim.StoreCallTimeout))
	r := bufio.NewReaderSize(c, 16)
	first, err := r.Peek(1)
	if err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to := m.callConns.in
	if first[0] == raftStreamByte {
		_, _ = r.Discard(1)
		if to = m.raftConns; !m.raftOpen.Load() {
			_ = c.Close()
			return
		}
	}
	select {
	case to <- &peekedConn{c, r}:
	case <-ctx.Done():
		_ = c.Close()
	}
}

// peekedConn is a connection whose first byte was read to determine its kind.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

func (p *peekedConn) Read(b []byte) (int, error) { return p.r.Read(b) }

// Accept returns the next incoming raft stream.
func (m *mux) Accept() (net.Conn, error) {
	select {
	case c := <-m.raftConns:
		return c, nil
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (m *mux) Close() error {
	m.once.Do(func() { close(m.done) })
	if err := m.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Dial opens a raft stream to a member.
func (m *mux) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-m.done: // this member is shutting down
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := dial(ctx, string(addr), m.keys)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{raftStreamByte}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return m.raftStreams.add(c)
}

// connQueue is the listener for the connections that are not raft streams.
type connQueue struct {
	addr net.Addr
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.in:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *connQueue) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *connQueue) Addr() net.Addr { return q.addr }
