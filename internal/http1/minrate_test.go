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

// pair gives both ends of a connection, ours paced.
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

// What was written and acknowledged is no debt, whether somebody looked then or not: the next answer on a connection
// that stood idle for longer than the grace was cut off, and with it a request was lost.
func TestIdleTimeDoesNotCountAgainstThePeer(t *testing.T) {
	c, theirs := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{BytesPerSecond: 1 << 30, Grace: 20 * time.Millisecond})
	for range 3 {
		if _, err := c.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(theirs, make([]byte, 6)); err != nil {
			t.Fatal(err)
		}
		for left := 1; left > 0; { // acknowledged, seen by nobody but this test
			time.Sleep(50 * time.Millisecond)
			left = queued(c)
		}
	}
}

func queued(c *MinRateConn) int { return tcpinfo.Unacknowledged(c.Conn) }

var quietLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// heap is what is in use, stacks among it, after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// A drip starts no time anew: reading ends with what moved and how fast, and a bound set meanwhile holds for the read
// that is under way.
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
				t.Fatalf("%v", err)
			}
			break
		}
	}
	c.ExpectNone() // nothing is waited for: what drips is read
	if _, err := c.Read(buf); err != nil {
		t.Errorf("at rest: %v", err)
	}
	quiet, _ := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{})
	done := make(chan error)
	go func() { _, err := quiet.Read(buf); done <- err }()
	quiet.BoundReads(time.Now().Add(time.Hour))
	quiet.BoundReads(time.Now())
	if err := <-done; !isTimeout(err) || errors.As(err, &slow) && slow == nil {
		t.Errorf("a bound that has passed: %v", err)
	}
}

// A write to a peer that does not read ends once its machine takes nothing more; what it took counts as progress.
func TestStalledReceiverEndsTheWrite(t *testing.T) {
	c, theirs := pair(t, slowpeer.MinRate{}, slowpeer.MinRate{BytesPerSecond: 4096, Grace: 50 * time.Millisecond})
	_ = theirs.(*net.TCPConn).SetReadBuffer(4096)
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(4096)
	slow := (*slowpeer.Error)(nil)
	n, err := c.Write(make([]byte, 8<<20))
	if !errors.As(err, &slow) || slow.Direction != "out" || slow.Pending == 0 || n >= 8<<20 {
		t.Fatalf("%d bytes, %v", n, err)
	}
	if c.WriteStalledFor(time.Now().Add(time.Hour)) != 0 {
		t.Error("a write that has ended counts as stalled")
	}
}

// readsSlowly takes a connection to a server with little buffer on both sides, sends a request and reads one byte.
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

// A client that stops reading for good holds no request's place while its answer waits, is let go below the least rate
// and counted; others are served meanwhile, and an answer that is whole in the kernel still comes to one that reads on.
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
		t.Errorf("beside those that stopped: %v %v", m, err)
	}
	until(t, "they are let go", func() bool {
		return s.tally.Count(slowpeer.ClientReadsSlowly) == 5 && s.OpenConns() == 1
	})
	if n := s.tally.Count(slowpeer.ClientResponseLost); n != 5 {
		t.Errorf("%d answers were cut, want the 5 that were not whole in the kernel", n)
	}

	size = 20 << 10 // goes whole into the kernel, which holds it for a client that has let it wait
	slow := readsSlowly(t, addr)
	until(t, "its connection is let go", func() bool {
		return s.tally.Count(slowpeer.ClientReadsSlowly) == 6 && s.OpenConns() == 1
	})
	rest, err := io.ReadAll(slow)
	if err != nil || !strings.HasSuffix(string(rest), strings.Repeat("\x00", size)) {
		t.Errorf("of a finished answer %d bytes came, %v", len(rest), err)
	}
	if s.tally.Count(slowpeer.ClientResponseLost) != 5 {
		t.Error("a finished answer counts as cut")
	}
}

// A head and a body that drip end with an error in time, and are counted.
func TestRequestsBelowTheMinimumRateGet408(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.ClientIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 100 * time.Millisecond}
	lim.SlowPeers.RequestTimeout = time.Hour
	s, addr := serve(t, lim, func(context.Context, *Message) Response {
		t.Error("a request that never came whole was handled")
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
			t.Errorf("%d: %v %v", i, m, err)
		}
		if n := s.tally.Count(slowpeer.ClientSendsSlowly); n != int64(i+1) {
			t.Errorf("%d counted, want %d", n, i+1)
		}
	}
}

// One address that opens connections by the hundred gets its share, and another is still served.
func TestConnectionsAreSharedByAddress(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.SharePerAddress, lim.ClientConns, lim.OverflowConns = true, 24, 100
	s, addr := serve(t, lim, func(context.Context, *Message) Response { return Response{Status: 200} })
	for range 40 {
		dial(t, addr)
	}
	until(t, "all are taken", func() bool { return s.tally.Count(slowpeer.ClientOverShare) > 0 && s.OpenConns() >= 24 })
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	for i := range 2 { // kept after the first: it is within its share
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
		if m, err := NewParser(lim, true).Read(NewRing(4096), c); err != nil || m.Status != 200 || m.Close {
			t.Errorf("request %d of another address: %+v %v", i, m, err)
		}
	}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain:", what)
		}
	}
}

// A ring holds memory only while it holds bytes.
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
