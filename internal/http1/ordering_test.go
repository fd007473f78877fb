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

// takenIn says whether all that a server's only connection was sent has been taken in, behind a request that is
// handled.
func takenIn(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.watch.Lock()
		came := c.bytesPipelined
		c.watch.Unlock()
		return came && tcpinfo.NothingToRead(c.Conn)
	}
	return false
}

// held waits until it is let go on, or its test has ended.
func held(t *testing.T, on <-chan bool) {
	select {
	case <-on:
	case <-t.Context().Done():
	}
}

// A request that stood behind another, which was being handled, knows when its own last byte came, and one whose
// rest comes later knows that: what is left to its client is counted from then.
func TestRequestCarriesTheTimeOfItsLastByte(t *testing.T) {
	began, on := make(chan time.Time, 3), make(chan bool)
	s, addr := serve(t, lim, func(_ context.Context, m *Message) Response {
		began <- m.ReceivedAt
		held(t, on)
		return Response{Status: 200}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get)
	<-began
	_, _ = io.WriteString(c, get+get[:7])
	waitFor(t, "the server has the bytes", func() bool { return takenIn(s) })
	behind := time.Now()
	on <- true
	if came := <-began; came.IsZero() || came.After(behind) {
		t.Errorf("the second came at %v, known by the server at %v", came, behind)
	}
	on <- true
	time.Sleep(2 * arrivalResolution)
	later := time.Now()
	_, _ = io.WriteString(c, get[7:])
	if came := <-began; came.Before(later) {
		t.Errorf("the third came at %v, and its rest was sent after %v", came, later)
	}
	on <- true
}

// Arrivals, byte by byte and in heaps: each is that of the last byte taken, and nothing is kept of what is gone.
func TestArrivalsReturnTheTimeOfTheLastConsumedByte(t *testing.T) {
	var a arrivals
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for i, n := range []int{10, 1, 1, 100} {
		a.record(n, at(10*i))
	}
	a.record(5, at(30).Add(arrivalResolution/2)) // with the ones before
	for i, x := range []struct {
		take int
		at   time.Time
	}{{4, at(0)}, {6, at(0)}, {0, time.Time{}}, {2, at(20)}, {1, at(30)}, {104, at(30)}} {
		if got := a.consume(x.take); !got.Equal(x.at) {
			t.Errorf("%d: %v, want %v", i, got, x.at)
		}
	}
	if len(a.marks) != 0 {
		t.Errorf("%d are left", len(a.marks))
	}
}

// admitter gives what has a server with room for so many connections admit one more, of which nobody reads yet,
// and its client.
func admitter(t *testing.T, room int) func() (net.Conn, *conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	small := lim
	small.ClientConns = room
	s := NewServer(small, nil, nil, quietLog)
	return func() (net.Conn, *conn) {
		t.Helper()
		client := dial(t, ln.Addr().String())
		taken, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := newConn(taken, &lim)
		s.admit(c)
		return client, c
	}
}

// Where all connections are in use, one on which bytes have come that nobody has read yet makes no place, though
// it seems idle and is the oldest: another that is idle does. Where none is, nothing is closed.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	admit := admitter(t, 2)
	admitWith := func(bytes string) *conn {
		t.Helper()
		client, c := admit()
		if _, err := io.WriteString(client, bytes); err != nil {
			t.Fatal(err)
		}
		if bytes != "" {
			waitFor(t, "the bytes have come", func() bool { return !tcpinfo.NothingToRead(c.Conn) })
		}
		return c
	}
	oldest, idler := admitWith(get[:1]), admitWith("")
	next := admitWith(get)
	if oldest.phase != idle || idler.phase != retiring {
		t.Errorf("phases %d and %d", oldest.phase, idler.phase)
	}
	if _ = admitWith(""); oldest.phase != idle || next.phase != idle {
		t.Errorf("phases %d and %d where all have unread bytes", oldest.phase, next.phase)
	}
}

// A connection whose request its reader has taken, and which is not parsed yet, makes no place for another.
func TestConnectionWithUnparsedBytesIsNotEvicted(t *testing.T) {
	admit := admitter(t, 1)
	client, oldest := admit()
	go oldest.readLoop(func() {})
	defer close(oldest.readRequested)
	oldest.requestRead()
	if _, err := io.WriteString(client, get); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the reader has told", func() bool { return len(oldest.readDone) == 1 })
	if !tcpinfo.NothingToRead(oldest.Conn) {
		t.Fatal("bytes are left in the kernel")
	}
	if _, _ = admit(); oldest.phase != idle {
		t.Error("closed with a whole request in its ring")
	}
}

// A server that ends takes what waits in its listener's queue and answers it, and only then closes the listener:
// here the queue is not empty when the end begins, since there is room for one connection at a time.
func TestFinishAnswersTheAcceptQueue(t *testing.T) {
	one := lim
	one.ClientConns, one.OverflowConns, one.RejectConns = 1, 0, 0
	began, on := make(chan bool, 2), make(chan bool)
	s, addr := serve(t, one, func(context.Context, *Message) Response {
		began <- true
		held(t, on)
		return Response{Status: 200}
	})
	first := dial(t, addr)
	_, _ = io.WriteString(first, get)
	<-began
	second := dial(t, addr) // it stands in the queue: the server takes none while it is full
	_, _ = io.WriteString(second, get)
	done := make(chan bool)
	go func() { s.Finish(t.Context()); close(done) }()
	on <- true
	select {
	case <-began:
	case <-time.After(20 * time.Second):
		t.Fatal("what waited is not taken")
	}
	on <- true
	for _, c := range []net.Conn{first, second} {
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, " 200 ") {
			t.Errorf("%q %v", line, err)
		}
	}
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end")
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("it listens after its end")
	}
}

// Small writes are not held back by the system on any connection that is taken, by a listener of our own and by
// one that was passed: a close over unread bytes would take them with it.
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
		taken, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, err := taken.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		noDelay := 0
		_ = raw.Control(func(fd uintptr) { noDelay, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
		if noDelay == 0 {
			t.Errorf("%T holds small writes back", ln)
		}
		_ = taken.Close()
	}
}
