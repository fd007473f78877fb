package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/tcpinfo"
)

// pipelinedBytesRead reports whether the reader of the server's only connection has read bytes behind the request in
// progress and the kernel holds no more.
func pipelinedBytesRead(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.watch.Lock()
		pipelined := c.bytesPipelined
		c.watch.Unlock()
		return pipelined && tcpinfo.NothingToRead(c.Conn)
	}
	return false
}

// blockUntil blocks until it receives from release or the test ends.
func blockUntil(t *testing.T, release <-chan bool) {
	select {
	case <-release:
	case <-t.Context().Done():
	}
}

// ReceivedAt is the receive time of a request's own last byte, both for a request that arrived behind another one in
// progress and for one whose rest arrives later. The time left of a request is computed from it.
func TestRequestHasReceiveTimeOfItsLastByte(t *testing.T) {
	started, release := make(chan time.Time, 3), make(chan bool)
	s, addr := serve(t, lim, func(_ context.Context, m *Message) Response {
		started <- m.ReceivedAt
		blockUntil(t, release)
		return Response{Status: 200}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get)
	<-started
	_, _ = io.WriteString(c, get+get[:7])
	waitFor(t, "the server has read the bytes", func() bool { return pipelinedBytesRead(s) })
	behind := time.Now()
	release <- true
	if received := <-started; received.IsZero() || received.After(behind) {
		t.Errorf("second request: received at %v, want at most %v", received, behind)
	}
	release <- true
	time.Sleep(2 * arrivalResolution)
	later := time.Now()
	_, _ = io.WriteString(c, get[7:])
	if received := <-started; received.Before(later) {
		t.Errorf("third request: received at %v, want after %v, when its rest was sent", received, later)
	}
	release <- true
}

// consume returns the receive time of the last consumed byte for small and large writes, and keeps no marks of consumed
// bytes.
func TestArrivalsReturnReceiveTimeOfLastConsumedByte(t *testing.T) {
	var a arrivals
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for i, n := range []int{10, 1, 1, 100} {
		a.record(n, at(10*i))
	}
	a.record(5, at(30).Add(arrivalResolution/2)) // shares the mark of the previous bytes
	for i, x := range []struct {
		take int
		at   time.Time
	}{{4, at(0)}, {6, at(0)}, {0, time.Time{}}, {2, at(20)}, {1, at(30)}, {104, at(30)}} {
		if got := a.consume(x.take); !got.Equal(x.at) {
			t.Errorf("consume %d: got time %v, want %v", i, got, x.at)
		}
	}
	if len(a.marks) != 0 {
		t.Errorf("%d marks are left, want 0", len(a.marks))
	}
}

// admitter returns a function that admits one more connection to a server with a budget of maxConns connections. The
// function returns the client's side and the server's side, from which nobody reads yet.
func admitter(t *testing.T, maxConns int) func() (net.Conn, *conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	small := lim
	small.ClientConns, small.FirstRequestGrace = maxConns, 0
	s := NewServer(small, nil, nil, quietLog)
	return func() (net.Conn, *conn) {
		t.Helper()
		client := dial(t, ln.Addr().String())
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(accepted, &lim)
		s.admit(c)
		return client, c
	}
}

// A connection with unread bytes in the kernel is not evicted, although its phase is idle and it is the oldest: another
// idle connection is evicted instead. If all connections have unread bytes, none is closed.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	admit := admitter(t, 2)
	admitWith := func(bytes string) *conn {
		t.Helper()
		client, c := admit()
		if _, err := io.WriteString(client, bytes); err != nil {
			t.Fatal(err)
		}
		if bytes != "" {
			waitFor(t, "the bytes have arrived", func() bool { return !tcpinfo.NothingToRead(c.Conn) })
		}
		return c
	}
	oldest, idler := admitWith(get[:1]), admitWith("")
	next := admitWith(get)
	if oldest.phase != idle || idler.phase != retiring {
		t.Errorf("phases of the oldest and the idle connection: %d and %d", oldest.phase, idler.phase)
	}
	if _ = admitWith(""); oldest.phase != idle || next.phase != idle {
		t.Errorf("phases %d and %d, want idle since all connections have unread bytes", oldest.phase, next.phase)
	}
}

// A connection whose reader has read a request that is not parsed yet is not evicted.
func TestConnectionWithUnparsedBytesIsNotEvicted(t *testing.T) {
	admit := admitter(t, 1)
	client, oldest := admit()
	go oldest.readLoop(func() {})
	defer close(oldest.readRequested)
	oldest.requestRead()
	if _, err := io.WriteString(client, get); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the read is complete", func() bool { return len(oldest.readDone) == 1 })
	if !tcpinfo.NothingToRead(oldest.Conn) {
		t.Fatal("bytes are left in the kernel")
	}
	if _, _ = admit(); oldest.phase != idle {
		t.Error("a connection with a complete request in its ring was evicted")
	}
}

// Finish answers the requests of all connections in the accept queue before it closes the listener. Here the queue is
// not empty at the call, since the server accepts only one connection at a time.
func TestFinishAnswersAcceptQueue(t *testing.T) {
	one := lim
	one.ClientConns, one.OverflowConns, one.RejectConns = 1, 0, 0
	started, release := make(chan bool, 2), make(chan bool)
	s, addr := serve(t, one, func(context.Context, *Message) Response {
		started <- true
		blockUntil(t, release)
		return Response{Status: 200}
	})
	first := dial(t, addr)
	_, _ = io.WriteString(first, get)
	<-started
	second := dial(t, addr) // stays in the accept queue while the server is full
	_, _ = io.WriteString(second, get)
	done := make(chan bool)
	go func() { s.Finish(t.Context()); close(done) }()
	release <- true
	select {
	case <-started:
	case <-time.After(20 * time.Second):
		t.Fatal("the queued connection was not accepted within 20 s")
	}
	release <- true
	for _, c := range []net.Conn{first, second} {
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, " 200 ") {
			t.Errorf("got status line %q, %v, want status 200", line, err)
		}
	}
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Finish did not return within 20 s")
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("the server still listens after Finish")
	}
}

// Accepted connections have TCP_NODELAY set, both of an own listener and of a passed one. Otherwise the kernel delays
// small writes, and a close with unread bytes would discard them.
func TestAcceptedConnectionsSetNoDelay(t *testing.T) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = own.Close() }()
	file, err := own.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func(f *os.File) { _ = f.Close() }(file)
	passed, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = passed.Close() }()
	for _, ln := range []net.Listener{own, passed} {
		_ = dial(t, ln.Addr().String())
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, err := accepted.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		_ = raw.Control(func(fd uintptr) { noDelay, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
		if noDelay == 0 {
			t.Errorf("%T: TCP_NODELAY is not set", ln)
		}
		_ = accepted.Close()
	}
}
