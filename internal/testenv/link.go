package testenv

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Fault is what a link does to the bytes that pass through it. The zero Fault forwards them unchanged.
type Fault struct {
	BlockUp, BlockDown bool          // no bytes pass from the connecting side, or to it: they are held, as TCP would retransmit them later
	Delay              time.Duration // before each chunk is forwarded
	ResetAfter         int           // bytes after which connections are reset, 0 for none
}

// Link is a loopback proxy on one network link. Its fault can be changed while connections are open: it applies to them from their
// next chunk on, and they continue once it is cleared.
type Link struct {
	Addr string

	target  string
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	conns   map[net.Conn]bool
}

// NewLink starts a proxy in front of target.
func NewLink(ctx context.Context, g *errgroup.Group, target string) (*Link, error) {
	l := &Link{target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	var err error
	l.Addr, err = accept(ctx, g, func(c net.Conn) { l.carry(ctx, c.(*net.TCPConn)) })
	return l, err
}

// Set replaces the fault.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (l *Link) current() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (l *Link) carry(ctx context.Context, c *net.TCPConn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.waitUnblocked(ctx, func(f Fault) bool { return f.BlockUp || f.BlockDown }) { // no connection can be made while a direction is blocked
		_ = c.Close()
		return
	}
	d, err := net.DialTimeout("tcp", l.target, 2*time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	t := d.(*net.TCPConn)
	l.mu.Lock()
	l.conns[c], l.conns[t] = true, true
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _, _ = c.Close(), t.Close() })
	defer func() {
		stop()
		l.mu.Lock()
		delete(l.conns, c)
		delete(l.conns, t)
		l.mu.Unlock()
		_, _ = c.Close(), t.Close()
	}()
	var g sync.WaitGroup
	g.Go(func() { l.pass(ctx, cancel, c, t, func(f Fault) bool { return f.BlockUp }) })
	g.Go(func() { l.pass(ctx, cancel, t, c, func(f Fault) bool { return f.BlockDown }) })
	g.Wait()
}

// waitUnblocked waits until blocked returns false for the current fault. It returns false if the context ends first.
func (l *Link) waitUnblocked(ctx context.Context, cut func(Fault) bool) bool {
	for {
		f, changed := l.current()
		if !cut(f) {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (l *Link) pass(ctx context.Context, cancel context.CancelFunc, from, to *net.TCPConn, cut func(Fault) bool) {
	buf := make([]byte, 16<<10)
	for moved := 0; ; {
		n, err := from.Read(buf)
		if !l.waitUnblocked(ctx, cut) {
			return
		}
		f, _ := l.current()
		if moved += n; f.ResetAfter > 0 && moved > f.ResetAfter {
			_, _ = from.SetLinger(0), to.SetLinger(0)
			cancel()
			return
		}
		if !pause(ctx, f.Delay) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				cancel()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
