package http1

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// pair returns both ends of a connection; ours is a MinRateConn with the given rates.
func pair(t *testing.T, in, out slowpeer.MinRate) (*MinRateConn, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	theirs := dial(t, ln.Addr().String())
	_ = theirs.SetDeadline(time.Time{})
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return NewMinRateConn(c, in, out), theirs
}

// Idle time does not lower the measured rate, even if nobody checked that earlier bytes were acknowledged. Otherwise
// the next response on a connection that was idle for longer than the grace is cut off, and its request is lost.
func TestIdleTimeDoesNotCountAgainstThePeer(t *testing.T) {
	c, theirs := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{BytesPerSecond: 1 << 30, Grace: 20 * time.Millisecond})
	for range 3 {
		if _, err := c.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(theirs, make([]byte, 6)); err != nil {
			t.Fatal(err)
		}
		for unacknowledged := 1; unacknowledged > 0; { // checked without informing the connection
			time.Sleep(50 * time.Millisecond)
			unacknowledged = queued(c)
		}
	}
}

func queued(c *MinRateConn) int { return tcpinfo.Unacknowledged(c.Conn) }

var quietLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// heap returns the bytes of heap and stacks in use after a garbage collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// A sender that sends single bytes does not restart its grace: the read fails with the bytes received and the rate. A
// bound that is set during a read applies to that read.
func TestSlowSenderEndsTheRead(t *testing.T) {
	c, theirs := pair(t, slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 100 * time.Millisecond}, slowpeer.MinRate{})
	stop := make(chan bool)
	defer close(stop)
	go func() {
		for {
			if _, err := theirs.Write([]byte("x")); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	c.ExpectBytes()
	slow, buf := (*slowpeer.Error)(nil), make([]byte, 64)
	for {
		if _, err := c.Read(buf); err != nil {
			if !errors.As(err, &slow) || slow.Direction != "in" || slow.Bytes == 0 || !isTimeout(err) {
				t.Fatalf("got %v, want a slow peer error in direction in", err)
			}
			break
		}
	}
	c.ExpectNone() // the minimum rate no longer applies
	if _, err := c.Read(buf); err != nil {
		t.Errorf("read after ExpectNone: %v", err)
	}
	quiet, _ := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{})
	done := make(chan error)
	go func() { _, err := quiet.Read(buf); done <- err }()
	quiet.BoundReads(time.Now().Add(time.Hour))
	quiet.BoundReads(time.Now())
	if err := <-done; !isTimeout(err) || errors.As(err, &slow) && slow == nil {
		t.Errorf("read with an expired bound: got %v, want a timeout", err)
	}
}

// A write to a peer that does not read fails once the peer's buffers are full. Bytes that its host acknowledged count
// as progress.
func TestStalledReceiverEndsTheWrite(t *testing.T) {
	c, theirs := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{BytesPerSecond: 4096, Grace: 50 * time.Millisecond})
	_ = theirs.(*net.TCPConn).SetReadBuffer(4096)
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(4096)
	slow := (*slowpeer.Error)(nil)
	n, err := c.Write(make([]byte, 8<<20))
	if !errors.As(err, &slow) || slow.Direction != "out" || slow.Pending == 0 || n >= 8<<20 {
		t.Fatalf("wrote %d bytes, error %v; want a slow peer error in direction out", n, err)
	}
	if c.WriteStalledFor(time.Now().Add(time.Hour)) != 0 {
		t.Error("a completed write is reported as stalled")
	}
}

// readsSlowly connects to a server with a small receive buffer, sends a request and reads one byte of the response.
func readsSlowly(t *testing.T, addr string) net.Conn {
	d := net.Dialer{}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(2048)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return c
}

// A client that stops reading occupies no request slot while its response waits. It is disconnected and counted when it
// falls below the minimum rate, while others are served. A response that is completely in the kernel still reaches a
// client that continues to read.
func TestClientsThatStopReadingAreDisconnected(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.ClientOut = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 150 * time.Millisecond}
	lim.SlowPeers.UnsentCheckInterval = 20 * time.Millisecond
	lim.SlowPeers.SendBufferBytes = 16 << 10
	size := 1 << 20
	s, addr := serve(t, lim, func(_ context.Context, m *Message) Response {
		if m.Target == "/small" {
			return Response{Status: 200, Body: []byte("small")}
		}
		return Response{Status: 200, Body: make([]byte, size)}
	})
	for range 5 {
		readsSlowly(t, addr)
	}
	until(t, "no request is handled", func() bool { return s.OpenRequests() == 0 && s.OpenConns() > 0 })
	c := dial(t, addr)
	if _, err := io.WriteString(c, "GET /small HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if m, err := NewParser(lim, true).Read(NewRing(4096), c); err != nil || string(m.Body) != "small" {
		t.Errorf("request of another client: got %v, %v, want status 200", m, err)
	}
	until(t, "the slow clients are disconnected", func() bool {
		return s.tally.Count(slowpeer.ClientReadsSlowly) == 5 && s.OpenConns() == 1
	})
	if n := s.tally.Count(slowpeer.ClientResponseLost); n != 5 {
		t.Errorf("%d responses lost, want the 5 that were not completely in the kernel", n)
	}

	size = 20 << 10 // fits into the kernel's buffers, which keep it for a client that reads later
	slow := readsSlowly(t, addr)
	until(t, "its connection is closed", func() bool {
		return s.tally.Count(slowpeer.ClientReadsSlowly) == 6 && s.OpenConns() == 1
	})
	rest, err := io.ReadAll(slow)
	if err != nil || !strings.HasSuffix(string(rest), strings.Repeat("\x00", size)) {
		t.Errorf("got %d bytes of a finished response, error %v", len(rest), err)
	}
	if s.tally.Count(slowpeer.ClientResponseLost) != 5 {
		t.Error("a finished response is counted as lost")
	}
}

// A request whose head or body arrives below the minimum rate gets status 408 and is counted.
func TestRequestsBelowTheMinimumRateGet408(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.ClientIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 100 * time.Millisecond}
	lim.SlowPeers.RequestTimeout = time.Hour
	s, addr := serve(t, lim, func(context.Context, *Message) Response {
		t.Error("an incomplete request was handled")
		return Response{Status: 200}
	})
	head := "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 4000)
	body := "POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + strings.Repeat("b", 4000)
	for i, text := range []string{head, body} {
		c := dial(t, addr)
		go func() {
			for _, b := range []byte(text) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
		}()
		m, err := NewParser(lim, true).Read(NewRing(4096), c)
		if err != nil || m.Status != 408 || !m.Close {
			t.Errorf("request %d: got %v, %v, want status 408", i, m, err)
		}
		if n := s.tally.Count(slowpeer.ClientSendsSlowly); n != int64(i+1) {
			t.Errorf("%d slow senders counted, want %d", n, i+1)
		}
	}
}

// An address that opens many connections is limited to its share, and other addresses are still served.
func TestConnectionsAreSharedByAddress(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.SharePerAddress, lim.ClientConns, lim.OverflowConns = true, 24, 100
	s, addr := serve(t, lim, func(context.Context, *Message) Response { return Response{Status: 200} })
	for range 40 {
		dial(t, addr)
	}
	until(t, "all are accepted", func() bool { return s.tally.Count(slowpeer.ClientOverShare) > 0 && s.OpenConns() >= 24 })
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	for i := range 2 { // the connection is kept after the first request, since it is within its share
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		if m, err := NewParser(lim, true).Read(NewRing(4096), c); err != nil || m.Status != 200 || m.Close {
			t.Errorf("request %d of another address: got %+v, %v", i, m, err)
		}
	}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 20 s:", what)
		}
	}
}

// BenchmarkWaitingConnections measures the memory per idle connection. A ring uses memory only while it contains bytes.
func BenchmarkWaitingConnections(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	lim := limits.New(4096, 1024, 0, 0, 0)
	known := handler(func(context.Context, *Message) Response { return Response{Status: 200, KnownClient: true} })
	s := NewServer(lim, known, nil, quietLog)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	before := heap()
	var conns []net.Conn
	for b.Loop() {
		if len(conns) >= 500 {
			continue
		}
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, c)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		_, _ = c.Read(make([]byte, 256))
	}
	b.ReportMetric(float64(heap()-before)/float64(len(conns)), "B/conn")
	for _, c := range conns {
		_ = c.Close()
	}
	cancel()
	if err := <-done; err != nil {
		b.Error("the server ended with", err)
	}
}
