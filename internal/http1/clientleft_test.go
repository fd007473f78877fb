package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/slowpeer"
)

// script is a connection whose reads are those of a test, one a call. It goes on with the last.
type script struct {
	net.Conn
	reads []func(b []byte) (int, error)
	call  int
}

func (s *script) Read(b []byte) (int, error) {
	read := s.reads[min(s.call, len(s.reads)-1)]
	s.call++
	return read(b)
}

func (s *script) SetReadDeadline(time.Time) error { return nil }

// A client's end is known at once by what the last check before bytes looks at: the goroutine that reads ends
// the request's context itself, and waits neither for the handler nor for whoever takes in what it read.
func TestReaderItselfEndsTheRequestOfAClientThatLeft(t *testing.T) {
	for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		t.Run(end.Error(), func(t *testing.T) {
			c := newConn(&script{reads: []func([]byte) (int, error){
				func([]byte) (int, error) { return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", end)} },
			}}, &lim)
			c.readDone = make(chan struct{}) // nobody takes in that it has read: its handler is busy
			ctx, gone := context.WithCancel(t.Context())
			defer gone()
			done := make(chan bool)
			go func() { c.readLoop(gone); close(done) }()
			c.watchClient()
			<-ctx.Done()
			<-c.readDone
			close(c.readRequested)
			<-done
		})
	}
}

// What a client sent behind its request and left costs few pauses before its end is seen, however much it is:
// the end stands behind all of it, and 4 MB, the most that a kernel holds for a sender by itself, are through
// well within 0.1 s.
func TestEndBehindManyBytesIsSeenAfterFewPauses(t *testing.T) {
	const sent, most = 4 << 20, 70 * time.Millisecond
	left := sent
	var paused time.Duration
	c := newConn(&script{reads: []func([]byte) (int, error){func(b []byte) (int, error) {
		n := min(left, len(b))
		if left -= n; n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}}}, &lim)
	c.pauseDiscards = func(d time.Duration) { paused += d }
	c.watching = true
	if err := c.fill(); !errors.Is(err, io.EOF) || left != 0 {
		t.Errorf("%v with %d bytes left", err, left)
	}
	if paused > most || !c.overflowed {
		t.Errorf("paused for %v, want at most %v; bytes were dropped: %v", paused, most, c.overflowed)
	}
}

// A client that closes only its side of the connection is taken to have gone, since that looks like a close: its
// request is called off, or not begun. It gets a last answer all the same, which one that has closed does not
// read.
func TestRequestOfAHalfClosedClientIsCanceledAndAnswered(t *testing.T) {
	began := make(chan bool, 2)
	_, addr := serve(t, lim, func(ctx context.Context, _ *Message) Response {
		began <- true
		<-ctx.Done()
		return Response{Status: 500}
	})
	for _, behind := range []string{"", get} { // the turn of what stands behind comes after the end was seen
		t.Run(fmt.Sprint(len(behind), " bytes behind"), func(t *testing.T) {
			c := dial(t, addr).(*net.TCPConn)
			_, _ = io.WriteString(c, get+behind)
			<-began
			_ = c.CloseWrite()
			all, err := io.ReadAll(c)
			if err != nil || strings.Count(string(all), "HTTP/1.1 ") != 1 || !strings.Contains(string(all), " 500 ") {
				t.Errorf("%q %v", all, err)
			}
			if len(began) != 0 {
				t.Error("a request of a client that has gone was handled")
			}
		})
	}
}

// A request with which its client's end comes is not begun, and is answered as refused.
func TestRequestThatComesWithItsClientsEndIsNotBegun(t *testing.T) {
	handled := make(chan bool, 1)
	w := serveWatched(t, lim, func(context.Context, *Message) Response { handled <- true; return Response{Status: 200} },
		func(client net.Conn, c *watchedConn) {
			c.received = func(int) error {
				waitFor(t, "the end has come", func() bool { return endHasCome(c.TCPConn) })
				return io.EOF
			}
		})
	_, _ = io.WriteString(w.client, get)
	_ = w.client.(*net.TCPConn).CloseWrite()
	all, err := io.ReadAll(w.client)
	if err != nil || len(handled) != 0 || !strings.Contains(string(all), " 503 ") {
		t.Errorf("%q %v, handled %d", all, err, len(handled))
	}
}

// Reads and writes that a signal interrupts, or that move one byte, end nothing; what the kernel gives up does.
func TestInterruptedAndShortCallsGoOn(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	c := NewMinRateConn(&stutter{Conn: ours}, slowpeer.MinRate{}, slowpeer.MinRate{})
	text := strings.Repeat("x", 20)
	go func() { _, _ = io.WriteString(theirs, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Errorf("read %q, %v", got, err)
	}
	go func() { _, _ = io.WriteString(c, text) }()
	if _, err := io.ReadFull(theirs, got); err != nil || string(got) != text {
		t.Errorf("written %q, %v", got, err)
	}
}

// stutter is a connection of which every second call is interrupted and every other moves one byte.
type stutter struct {
	net.Conn
	reads, writes int
}

func (s *stutter) Read(b []byte) (int, error) {
	if s.reads++; s.reads%2 == 1 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.EINTR)}
	}
	return s.Conn.Read(b[:1])
}

func (s *stutter) Write(b []byte) (int, error) {
	if s.writes++; s.writes%2 == 1 {
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EINTR)}
	}
	return s.Conn.Write(b[:1])
}

// A whole exchange over a connection that is interrupted and moves one byte at a time: requests are served, also
// several.
func TestServerOverStutteringConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	echo := handler(func(_ context.Context, m *Message) Response { return Response{Status: 200, Body: m.Body} })
	s := NewServer(lim, echo, nil, quietLog)
	done := make(chan error)
	go func() { done <- s.Serve(ctx, stutterListener{ln}) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	c := dial(t, ln.Addr().String())
	_, _ = io.WriteString(c, strings.Repeat("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 3))
	expect(t, c, 3)
}

type stutterListener struct{ net.Listener }

func (l stutterListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stutter{Conn: c}, nil
}

// An answer that can not be written ends its connection and nothing else: others are served, and nothing of it stays.
func TestWriteErrorsEndOneConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			c := NewMinRateConn(failingWrites{errno: errno}, slowpeer.MinRate{},
				slowpeer.MinRate{BytesPerSecond: 1, Grace: time.Hour})
			if n, err := c.Write([]byte("answer")); n != 0 || !errors.Is(err, errno) {
				t.Errorf("%d, %v", n, err)
			}
		})
	}
}

type failingWrites struct {
	net.Conn
	errno syscall.Errno
}

func (f failingWrites) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", f.errno)}
}

func (f failingWrites) SetWriteDeadline(time.Time) error { return nil }

// A client that stops in the middle of a request and stays gets its error, wherever it stops, on a new
// connection and on one that was used; a part that came behind a request which took longer than its bound gets
// it at once.
func TestClientThatStopsInsideARequestGetsItsError(t *testing.T) {
	if bound := lim.SlowPeers.RequestTimeout; bound > 3*time.Second-300*time.Millisecond {
		t.Errorf("a request has %v to come whole, and its client is owed an end within 3 s", bound)
	}
	quick := lim
	quick.SlowPeers.RequestTimeout = 50 * time.Millisecond
	_, addr := serve(t, quick, func(_ context.Context, m *Message) Response {
		if m.Target == "/long" {
			time.Sleep(2 * quick.SlowPeers.RequestTimeout)
		}
		return Response{Status: 200, KnownClient: true}
	})
	const sized = "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	parts := []string{
		"G", "GET / HTTP/1.1", "GET / HTTP/1.1\r\nA: b", "GET / HTTP/1.1\r\nA: b\r\n",
		sized + "\r\n", sized + "\r\nab", sized + "Expect: 100-continue\r\n\r\n",
		chunked, chunked + "3\r\nab", chunked + "3\r\nabc\r\n0\r\n",
	}
	for _, before := range []string{"", get, "GET /long HTTP/1.1\r\n\r\n"} {
		for _, part := range parts {
			c := dial(t, addr)
			_, _ = io.WriteString(c, before+part)
			all, err := io.ReadAll(c)
			errors, served := strings.Count(string(all), " 408 "), strings.Contains(string(all), " 200 ")
			if err != nil || errors != 1 || served != (before != "") {
				t.Errorf("%q after %q: %q %v", part, before, all, err)
			}
		}
	}
}

// The bound of a request counts from its own first byte, also where that came while another was handled: its
// client stopped then.
func TestBoundOfARequestBehindAnotherCountsFromItsFirstByte(t *testing.T) {
	long := lim
	long.SlowPeers.RequestTimeout, long.SlowPeers.ClientIn = time.Hour, slowpeer.MinRate{}
	began, on := make(chan bool, 1), make(chan bool)
	s, addr := serve(t, long, func(context.Context, *Message) Response {
		began <- true
		held(t, on)
		return Response{Status: 200}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get)
	<-began
	_, _ = io.WriteString(c, get[:7])
	waitFor(t, "the server has the bytes", func() bool { return takenIn(s) })
	behind := time.Now()
	on <- true
	waitFor(t, "its turn has come", func() bool { return phases(s)[reading] == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if by := c.receive.bound; by.IsZero() || by.After(behind.Add(time.Hour)) {
			t.Errorf("bounded by %v, and its bytes had come by %v", by, behind)
		}
		c.mu.Unlock()
	}
}
