package testenv

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Script is how one direction of a connection through a SlowProxy is forwarded. The zero Script forwards bytes as they arrive.
type Script struct {
	Delay         time.Duration // before the first byte
	Rate          int           // bytes a second, 0 for no limit
	Chunk         int           // bytes forwarded at a time if Rate is set; 0 means 1
	Jitter        float64       // largest relative deviation of the time between chunks, drawn at random
	StallAfter    int           // number of bytes after which the direction stalls, 0 for never
	StallDuration time.Duration // how long it stalls; 0: until the connection ends
	End           End           // how the direction ends after StallAfter bytes if StallDuration is 0
}

// End is how a direction ends after Script.StallAfter bytes.
type End uint8

// The ways in which a direction ends.
const (
	Stalled    End = iota // both sides stay open, and no more bytes pass
	HalfClosed            // the receiving side sees the end of the stream
	Reset                 // both connections are reset
)

// SlowProxy is a scripted loopback proxy that behaves as a slow network or a slow peer does. Its random numbers depend only on its
// seed.
type SlowProxy struct {
	Addr string

	target   string
	mu       sync.Mutex
	up       Script // from the connecting side to the target
	down     Script // from the target to the connecting side
	rng      *rand.Rand
	accepted int
}

// NewSlowProxy starts a proxy in front of target.
func NewSlowProxy(ctx context.Context, g *errgroup.Group, target string, up, down Script, seed uint64) (*SlowProxy, error) {
	s := &SlowProxy{target: target, up: up, down: down, rng: rand.New(rand.NewPCG(seed, 1))}
	var err error
	s.Addr, err = accept(ctx, g, func(c net.Conn) { s.carry(ctx, c) })
	return s, err
}

// accept listens on a free loopback port and calls serve for each connection until the context ends.
func accept(ctx context.Context, g *errgroup.Group, serve func(net.Conn)) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	g.Go(func() error { <-ctx.Done(); return ln.Close() })
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { serve(c); return nil })
		}
	})
	return ln.Addr().String(), nil
}

// Set replaces the scripts: for new connections, and for open ones from their next chunk on.
func (s *SlowProxy) Set(up, down Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up, s.down = up, down
}

// Accepted returns the number of connections that were accepted.
func (s *SlowProxy) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *SlowProxy) script(up bool) (Script, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if up {
		return s.up, s.rng.Float64()
	}
	return s.down, s.rng.Float64()
}

func (s *SlowProxy) carry(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	t, err := net.DialTimeout("tcp", s.target, 2*time.Second)
	if err != nil {
		return
	}
	stopT := context.AfterFunc(ctx, func() { _ = t.Close() })
	defer stopT()
	// Small buffers make backpressure from a side that does not read reach the other side soon.
	for _, x := range []net.Conn{c, t} {
		_ = x.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	var g errgroup.Group
	g.Go(func() error { s.pass(ctx, cancel, c, t, true); return nil })
	g.Go(func() error { s.pass(ctx, cancel, t, c, false); return nil })
	_ = g.Wait()
}

// pass forwards one direction until it ends.
func (s *SlowProxy) pass(ctx context.Context, cancel context.CancelFunc, from, to net.Conn, up bool) {
	buf := make([]byte, 4<<10)
	moved := 0
	for {
		sc, drawn := s.script(up)
		if moved == 0 && !pause(ctx, sc.Delay) {
			return
		}
		n := len(buf)
		if sc.Rate > 0 {
			n = min(max(sc.Chunk, 1), n)
			gap := float64(n) / float64(sc.Rate) * (1 + sc.Jitter*(2*drawn-1))
			if !pause(ctx, time.Duration(gap*float64(time.Second))) {
				return
			}
		}
		if sc.StallAfter > 0 {
			if moved >= sc.StallAfter {
				if !s.end(ctx, cancel, sc, from, to) {
					return
				}
				sc.StallAfter = 0
			} else {
				n = min(n, sc.StallAfter-moved)
			}
		}
		n, err := from.Read(buf[:n])
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				cancel()
				return
			}
			moved += n
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// end applies the end of a script after StallAfter bytes. It reports whether the direction continues.
func (s *SlowProxy) end(ctx context.Context, cancel context.CancelFunc, sc Script, from, to net.Conn) bool {
	switch {
	case sc.StallDuration > 0:
		return pause(ctx, sc.StallDuration)
	case sc.End == HalfClosed:
		_ = to.(*net.TCPConn).CloseWrite()
	case sc.End == Reset:
		_ = to.(*net.TCPConn).SetLinger(0)
		_ = from.(*net.TCPConn).SetLinger(0)
		cancel()
	default:
		<-ctx.Done()
	}
	return false
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
