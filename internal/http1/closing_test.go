package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
)

// watchedConn is the server's side of a connection with two hooks for tests: timedOut runs once, after a wait for bytes
// has timed out or was canceled and before the connection is closed for it; received runs after bytes were read and
// before their reader uses them.
type watchedConn struct {
	*net.TCPConn
	timedOut func()
	received func(n int) error // its result is returned as the error of the read
	once     sync.Once
	waits    atomic.Int64 // number of started waits for bytes
}

func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return watchedRaw{raw, c}, err
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.received != nil {
		err = c.received(n)
	}
	return n, err
}

type watchedRaw struct {
	syscall.RawConn
	c *watchedConn
}

func (r watchedRaw) Read(ready func(fd uintptr) bool) error {
	r.c.waits.Add(1)
	err := r.RawConn.Read(ready)
	if isTimeout(err) && r.c.timedOut != nil {
		r.c.once.Do(r.c.timedOut)
	}
	return err
}

// watchingListener wraps the first connection that it accepts in a watchedConn.
type watchingListener struct {
	faultyListener
	accepted chan *watchedConn // receives the watched connection, which is served once it is sent back on watch
	watch    chan *watchedConn
	once     sync.Once
}

func (l *watchingListener) Accept() (net.Conn, error) {
	c, err := l.faultyListener.Accept()
	if err != nil {
		return nil, err
	}
	l.once.Do(func() {
		l.accepted <- &watchedConn{TCPConn: c.(*net.TCPConn)}
		c = <-l.watch
	})
	return c, nil
}

// watched is a server whose first connection is watched.
type watched struct {
	s       *Server
	addr    string
	client  net.Conn // client side of the watched connection
	conn    *watchedConn
	exhaust chan bool // makes the next accept fail for lack of a descriptor
}

// serveWatched starts a server and connects to it. prepare sets the hooks of the watched connection.
func serveWatched(t *testing.T, lim limits.Limits, h handler, prepare func(client net.Conn, c *watchedConn)) *watched {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s := NewServer(lim, h, &slowpeer.Counters{}, quietLog)
	w := &watched{s: s, addr: ln.Addr().String(), exhaust: make(chan bool, 1)}
	listener := &watchingListener{accepted: make(chan *watchedConn), watch: make(chan *watchedConn)}
	listener.Listener = ln
	listener.next = func(int) error {
		select {
		case <-w.exhaust:
			return syscall.EMFILE
		default:
			return nil
		}
	}
	g.Go(func() error { return w.s.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	w.client = dial(t, w.addr)
	c := <-listener.accepted
	w.conn = c
	prepare(w.client, c)
	listener.watch <- c
	waitFor(t, "the server waits for its first bytes", func() bool { return c.waits.Load() > 0 })
	return w
}

// send writes a part of a request and waits until the kernel of the server's host has received it.
func send(t *testing.T, client net.Conn, part string, c *watchedConn) {
	if _, err := io.WriteString(client, part); err != nil {
		t.Error(err)
	}
	waitFor(t, "the bytes have arrived", func() bool { return !tcpinfo.NothingToRead(c.TCPConn) })
}

// receive waits for a signal and fails the test if it does not come.
func receive(t *testing.T, signal <-chan bool) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(20 * time.Second):
		t.Fatal("no signal within 20 s")
	}
}

// expect reads n responses with status 200 from a client's connection.
func expect(t *testing.T, client net.Conn, n int) {
	t.Helper()
	ring, p := NewRing(4096), NewParser(lim, true)
	for i := range n {
		if m, err := p.Read(ring, client); err != nil || m.Status != 200 {
			t.Errorf("response %d of %d: got %v, %v, want status 200", i+1, n, m, err)
			return
		}
	}
}

// closings lists all reasons for which a server closes a connection on which no request is being handled.
var closings = []struct {
	name    string
	first   string // sent before the decision to close
	answers int    // number of responses to first
	phase   phase  // phase of the connection after first
	late    string // sent between the decision to close and the close
	limit   func(*limits.Limits)
	begin   func(t *testing.T, w *watched) // causes the decision to close; nil: a timeout causes it
}{
	{name: "eviction", late: get, limit: func(l *limits.Limits) { l.ClientConns, l.FirstRequestGrace = 1, 0 },
		begin: func(t *testing.T, w *watched) { dial(t, w.addr) }},
	{name: "eviction, half a request read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) { l.ClientConns, l.FirstRequestGrace = 1, 0 },
		begin: func(t *testing.T, w *watched) { dial(t, w.addr) }},
	{name: "no descriptor left", first: get, answers: 1, late: get, limit: func(*limits.Limits) {},
		begin: func(t *testing.T, w *watched) {
			w.exhaust <- true
			dial(t, w.addr) // ends the accept in progress
		}},
	{name: "idle timeout", first: get, answers: 1, late: get,
		limit: func(l *limits.Limits) { l.UnknownClientIdleTimeout = 50 * time.Millisecond }},
	{name: "idle timeout of a known client", first: "POST / HTTP/1.1\r\n\r\n", answers: 1, late: get,
		limit: func(l *limits.Limits) { l.ClientIdleTimeout = 50 * time.Millisecond }},
	{name: "request timeout of a new connection", late: get,
		limit: func(l *limits.Limits) { l.SlowPeers.RequestTimeout = 50 * time.Millisecond }},
	{name: "request timeout, half a request read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) { l.SlowPeers.RequestTimeout = 50 * time.Millisecond }},
	{name: "minimum rate, half a request read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) {
			l.SlowPeers.ClientIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 50 * time.Millisecond}
		}},
	{name: "drain", late: get, limit: func(*limits.Limits) {}, begin: func(_ *testing.T, w *watched) { w.s.CloseIdle() }},
	{name: "shutdown of the server", late: get, limit: func(l *limits.Limits) { l.EvictIdleAfter = 0 },
		begin: func(t *testing.T, w *watched) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan bool)
			go func() { w.s.Finish(ctx); close(done) }()
			t.Cleanup(func() { cancel(); <-done })
		}},
}

// A request that arrives between the decision to close its connection and the close is answered, whatever the reason of
// the close. Closing a connection with unread bytes would reset it and lose the request, on a new connection too. Here
// the request arrives after the wait for bytes was canceled, when no goroutine waits for it any longer.
func TestRequestDuringCloseIsAnswered(t *testing.T) {
	for _, x := range closings {
		t.Run(x.name, func(t *testing.T) {
			limited := lim
			x.limit(&limited)
			late := make(chan bool)
			w := serveWatched(t, limited, func(_ context.Context, m *Message) Response {
				return Response{Status: 200, KnownClient: m.Method == "POST"}
			}, func(client net.Conn, c *watchedConn) {
				c.timedOut = func() { send(t, client, x.late, c); close(late) }
				if x.first != "" {
					_, _ = io.WriteString(client, x.first)
				}
			})
			expect(t, w.client, x.answers)
			if x.begin != nil {
				waitFor(t, "the connection is in the expected phase", func() bool { return phases(w.s)[x.phase] == 1 })
				x.begin(t, w)
			}
			receive(t, late)
			expect(t, w.client, 1)
		})
	}
}

// A request that the reader has read from the kernel but not yet counted is answered when its connection is evicted.
// The check before the eviction sees no unread bytes in this state.
func TestRequestReadButNotCountedIsAnsweredOnEviction(t *testing.T) {
	one := lim
	one.ClientConns, one.FirstRequestGrace = 1, 0
	readStarted, resume := make(chan bool), make(chan bool)
	resumeRead := sync.OnceFunc(func() { close(resume) })
	defer resumeRead()
	w := serveWatched(t, one, ok, func(_ net.Conn, c *watchedConn) {
		var once sync.Once
		c.received = func(int) error { once.Do(func() { close(readStarted); <-resume }); return nil }
	})
	_, _ = io.WriteString(w.client, get)
	receive(t, readStarted)
	dial(t, w.addr)
	waitFor(t, "the connection is evicted", func() bool { return phases(w.s)[retiring] == 1 })
	resumeRead()
	expect(t, w.client, 1)
}

// When the connection of a slow reader is closed with an unread finished response, a request that arrives at that
// moment is still answered, if the client continues to read.
func TestRequestOfSlowReaderIsAnsweredOnClose(t *testing.T) {
	slow := lim
	slow.SlowPeers.ClientOut, slow.SlowPeers.UnsentCheckInterval = slowpeer.MinRate{
		BytesPerSecond: 1 << 20,
		Grace:          150 * time.Millisecond,
	}, 20*time.Millisecond
	late := make(chan bool)
	w := serveWatched(t, slow, func(_ context.Context, m *Message) Response {
		if m.Target == "/small" {
			return Response{Status: 200}
		}
		return Response{Status: 200, Body: make([]byte, 20<<10)}
	}, func(client net.Conn, c *watchedConn) {
		_ = client.(*net.TCPConn).SetReadBuffer(2048)
		c.timedOut = func() { send(t, client, "GET /small HTTP/1.1\r\n\r\n", c); close(late) }
	})
	_, _ = io.WriteString(w.client, get)
	receive(t, late)
	expect(t, w.client, 2)
	if n := w.s.tally.Count(slowpeer.ClientReadsSlowly); n != 1 {
		t.Errorf("%d slow readers counted, want 1", n)
	}
}

// finReceived reports whether the kernel has received the client's FIN, even if unread bytes precede it.
func finReceived(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := uint8(0)
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == unix.BPF_TCP_CLOSE_WAIT
}
