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

// script is a connection whose consecutive reads are given by reads. The last one is repeated.
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

// The reading goroutine cancels the context of the request itself when it reads the end of the client's stream. It
// waits neither for the handler nor for the session to accept the result of the read.
func TestReaderCancelsRequestOfDisconnectedClient(t *testing.T) {
	for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE} {
		t.Run(end.Error(), func(t *testing.T) {
			c := newConn(&script{reads: []func([]byte) (int, error){
				func([]byte) (int, error) { return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", end)} },
			}}, &lim)
			c.readDone = make(chan struct{}) // unbuffered: the session does not receive while the handler is busy
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan bool)
			go func() { c.readLoop(cancel); close(done) }()
			c.watchClient()
			<-ctx.Done()
			<-c.readDone
			close(c.readRequested)
			<-done
		})
	}
}

// A disconnect is detected after few pauses, however many bytes the client sent before it. The end of the stream
// follows all of these bytes: 4 MB, the most that a kernel buffers by default, must be discarded well within 0.1 s.
func TestDisconnectBehindManyBytesIsDetectedQuickly(t *testing.T) {
	const sent, maxPause = 4 << 20, 70 * time.Millisecond
	unread := sent
	var paused time.Duration
	c := newConn(&script{reads: []func([]byte) (int, error){func(b []byte) (int, error) {
		n := min(unread, len(b))
		if unread -= n; n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}}}, &lim)
	c.pauseDiscards = func(d time.Duration) { paused += d }
	c.watching = true
	if err := c.fill(); !errors.Is(err, io.EOF) || unread != 0 {
		t.Errorf("fill returned %v with %d bytes unread, want EOF and 0", err, unread)
	}
	if paused > maxPause || !c.overflowed {
		t.Errorf("paused for %v, want at most %v; overflowed %v, want true", paused, maxPause, c.overflowed)
	}
}

// A client that closes only its sending side counts as disconnected, since a FIN looks the same for a full close: its
// request is canceled, or not started. It still gets a last response, which a fully closed client does not read.
func TestRequestOfHalfClosedClientIsCanceledAndAnswered(t *testing.T) {
	started := make(chan bool, 2)
	_, addr := serve(t, lim, func(ctx context.Context, _ *Message) Response {
		started <- true
		<-ctx.Done()
		return Response{Status: 500}
	})
	for _, behind := range []string{"", get} { // a pipelined request is parsed after the disconnect was detected
		t.Run(fmt.Sprint(len(behind), " bytes behind"), func(t *testing.T) {
			c := dial(t, addr).(*net.TCPConn)
			_, _ = io.WriteString(c, get+behind)
			<-started
			_ = c.CloseWrite()
			all, err := io.ReadAll(c)
			if err != nil || strings.Count(string(all), "HTTP/1.1 ") != 1 || !strings.Contains(string(all), " 500 ") {
				t.Errorf("got %q, %v, want one response with status 500", all, err)
			}
			if len(started) != 0 {
				t.Error("a request of a disconnected client was handled")
			}
		})
	}
}

// A request that arrives together with the end of the client's stream is not handled and gets a rejection.
func TestRequestArrivingWithDisconnectIsNotHandled(t *testing.T) {
	handled := make(chan bool, 1)
	w := serveWatched(t, lim, func(context.Context, *Message) Response { handled <- true; return Response{Status: 200} },
		func(client net.Conn, c *watchedConn) {
			c.received = func(int) error {
				waitFor(t, "the client's FIN has arrived", func() bool { return finReceived(c.TCPConn) })
				return io.EOF
			}
		})
	_, _ = io.WriteString(w.client, get)
	_ = w.client.(*net.TCPConn).CloseWrite()
	all, err := io.ReadAll(w.client)
	if err != nil || len(handled) != 0 || !strings.Contains(string(all), " 503 ") {
		t.Errorf("got %q, %v, want status 503; %d requests handled, want 0", all, err, len(handled))
	}
}

// Reads and writes continue after EINTR and after a call that moves a single byte.
func TestInterruptedAndShortCallsContinue(t *testing.T) {
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

// stutter is a connection on which calls alternately fail with EINTR and move one byte.
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

// The server answers several requests on a connection whose calls are interrupted or move one byte each.
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

// A write returns the kernel's error when the connection is broken, and does not retry.
func TestWriteErrorsEndOneConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			c := NewMinRateConn(failingWrites{errno: errno}, slowpeer.MinRate{},
				slowpeer.MinRate{BytesPerSecond: 1, Grace: time.Hour})
			if n, err := c.Write([]byte("answer")); n != 0 || !errors.Is(err, errno) {
				t.Errorf("wrote %d bytes, error %v; want 0 bytes and the error of the connection", n, err)
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

// A client that stops within a request and stays connected gets status 408, wherever it stops, on a new connection and
// on a used one. A partial request that was pipelined behind one longer than the request timeout gets it at once.
func TestClientThatStopsWithinRequestGets408(t *testing.T) {
	if bound := lim.SlowPeers.RequestTimeout; bound > 3*time.Second-300*time.Millisecond {
		t.Errorf("request timeout is %v, but a client must get a response or a close within 3 s", bound)
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
				t.Errorf("request part %q after %q: got %q, %v", part, before, all, err)
			}
		}
	}
}

// The time limit of a request starts at its first byte, even if that arrived while another request was handled: the
// client has stopped sending since then.
func TestPipelinedRequestTimeoutStartsAtItsFirstByte(t *testing.T) {
	long := lim
	long.SlowPeers.RequestTimeout, long.SlowPeers.ClientIn = time.Hour, slowpeer.MinRate{}
	started, release := make(chan bool, 1), make(chan bool)
	s, addr := serve(t, long, func(context.Context, *Message) Response {
		started <- true
		blockUntil(t, release)
		return Response{Status: 200}
	})
	c := dial(t, addr)
	_, _ = io.WriteString(c, get)
	<-started
	_, _ = io.WriteString(c, get[:7])
	waitFor(t, "the server has read the bytes", func() bool { return pipelinedBytesRead(s) })
	behind := time.Now()
	release <- true
	waitFor(t, "the server reads the second request", func() bool { return phases(s)[reading] == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if by := c.receive.bound; by.IsZero() || by.After(behind.Add(time.Hour)) {
			t.Errorf("read bound is %v, want at most 1 h after %v, when its bytes had arrived", by, behind)
		}
		c.mu.Unlock()
	}
}
