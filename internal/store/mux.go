package store

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
	"gatetack/internal/pki"
)

// mux lets raft's streams and the members' calls share one address: a stream of raft's begins with a byte that
// no request begins with.
type mux struct {
	net.Listener
	keys  *pki.Ring
	lim   limits.Limits
	raft  chan net.Conn
	calls *queue
	done  chan struct{}
	once  sync.Once
	open  atomic.Bool // raft's streams are taken
	out   streams     // raft's calls to other members
}

const raftMark = 0x01

func newMux(ln net.Listener, ring *pki.Ring, lim limits.Limits) *mux {
	done := make(chan struct{})
	return &mux{Listener: ln, keys: ring, lim: lim, raft: make(chan net.Conn), done: done,
		calls: &queue{addr: ln.Addr(), in: make(chan net.Conn), done: make(chan struct{})}}
}

func (m *mux) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { <-ctx.Done(); return m.Close() })
	slots := make(chan struct{}, 4*m.lim.StoreConns)
	g.Go(func() error {
		for {
			c, err := m.Listener.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				time.Sleep(5 * time.Millisecond)
				continue
			}
			select {
			case slots <- struct{}{}:
			default:
				_ = c.Close()
				continue
			}
			g.Go(func() error {
				defer func() { <-slots }()
				m.sort(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

func (m *mux) sort(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(m.lim.StoreCall))
	r := bufio.NewReaderSize(c, 16)
	first, err := r.Peek(1)
	if err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to := m.calls.in
	if first[0] == raftMark {
		_, _ = r.Discard(1)
		if to = m.raft; !m.open.Load() {
			_ = c.Close()
			return
		}
	}
	select {
	case to <- &peeked{c, r}:
	case <-ctx.Done():
		_ = c.Close()
	}
}

// peeked is a connection of which the first bytes are read already.
type peeked struct {
	net.Conn
	r *bufio.Reader
}

func (p *peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

// Accept gives raft its streams.
func (m *mux) Accept() (net.Conn, error) {
	select {
	case c := <-m.raft:
		return c, nil
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close ends both sides.
func (m *mux) Close() error {
	m.once.Do(func() { close(m.done) })
	if err := m.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Dial opens a stream for raft.
func (m *mux) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-m.done: // at the end nobody waits for a connection
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := dial(ctx, string(addr), m.keys)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{raftMark}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return m.out.add(c)
}

// queue is the listener of the members' calls.
type queue struct {
	addr net.Addr
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.in:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *queue) Addr() net.Addr { return q.addr }
