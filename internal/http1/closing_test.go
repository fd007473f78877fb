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

// watchedConn is a server's side of a connection on which a test acts at two moments: once a wait for bytes has
// timed out or was called off, which is before anything is closed for that; and once bytes were read, before
// their reader does anything with them.
type watchedConn struct {
	*net.TCPConn
	timedOut func()
	received func(n int) error // what the read returns beside the bytes
	once     sync.Once
	waits    atomic.Int64 // that began
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

// watchingListener has the first connection that it accepts watched.
type watchingListener struct {
	faultyListener
	accepted chan *watchedConn // it is sent here, and served once it comes back on watch
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
	client  net.Conn // of the watched connection
	conn    *watchedConn
	exhaust chan bool // makes the next accept fail for want of a descriptor
}

// serveWatched begins to serve and connects to the server. Prepare settles what is done at the moments of the
// connection.
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
	waitFor(t, "its first bytes are waited for", func() bool { return c.waits.Load() > 0 })
	return w
}

// send writes a part of a request and waits until the machine of the server has it.
func send(t *testing.T, client net.Conn, part string, c *watchedConn) {
	if _, err := io.WriteString(client, part); err != nil {
		t.Error(err)
	}
	waitFor(t, "the bytes have come", func() bool { return !tcpinfo.NothingToRead(c.TCPConn) })
}

// receive waits for a signal of the test's.
func receive(t *testing.T, signal <-chan bool) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(20 * time.Second):
		t.Fatal("waited in vain")
	}
}

// expect reads so many answers with status 200 from a client's connection.
func expect(t *testing.T, client net.Conn, n int) {
	t.Helper()
	ring, p := NewRing(4096), NewParser(lim, true)
	for i := range n {
		if m, err := p.Read(ring, client); err != nil || m.Status != 200 {
			t.Errorf("answer %d of %d: %v %v", i+1, n, m, err)
			return
		}
	}
}

// closings are all ways by which a server closes a connection on which no request is being handled.
var closings = []struct {
	name    string
	first   string // what the client sends before, and
	answers int    // so many answers of it
	phase   phase  // the connection's then
	late    string // what it sends between the decision to close and the close
	limit   func(*limits.Limits)
	begin   func(t *testing.T, w *watched) // begins the close, where no bound of time does
}{
	{name: "place made for another", late: get, limit: func(l *limits.Limits) { l.ClientConns = 1 },
		begin: func(t *testing.T, w *watched) { dial(t, w.addr) }},
	{name: "place made for another, half a request read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) { l.ClientConns = 1 }, begin: func(t *testing.T, w *watched) { dial(t, w.addr) }},
	{name: "no descriptor left", first: get, answers: 1, late: get, limit: func(*limits.Limits) {},
		begin: func(t *testing.T, w *watched) {
			w.exhaust <- true
			dial(t, w.addr) // ends the accept that is under way
		}},
	{name: "idle bound", first: get, answers: 1, late: get,
		limit: func(l *limits.Limits) { l.UnknownClientIdleTimeout = 50 * time.Millisecond }},
	{name: "idle bound of a known client", first: "POST / HTTP/1.1\r\n\r\n", answers: 1, late: get,
		limit: func(l *limits.Limits) { l.ClientIdleTimeout = 50 * time.Millisecond }},
	{name: "bound of a new connection", late: get,
		limit: func(l *limits.Limits) { l.SlowPeers.RequestTimeout = 50 * time.Millisecond }},
	{name: "bound of a request, half of it read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) { l.SlowPeers.RequestTimeout = 50 * time.Millisecond }},
	{name: "least rate of a request, half of it read", first: get[:7], phase: reading, late: get[7:],
		limit: func(l *limits.Limits) {
			l.SlowPeers.ClientIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 50 * time.Millisecond}
		}},
	{name: "drain", late: get, limit: func(*limits.Limits) {}, begin: func(_ *testing.T, w *watched) { w.s.CloseIdle() }},
	{name: "end of the server", late: get, limit: func(l *limits.Limits) { l.EvictIdleAfter = 0 },
		begin: func(t *testing.T, w *watched) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan bool)
			go func() { w.s.Finish(ctx); close(done) }()
			t.Cleanup(func() { cancel(); <-done })
		}},
}

// A request that comes between the decision to close its connection and the close is answered, whatever the
// reason of the close: a close over it would reset the connection, on a new one too. Here it comes once the wait
// for bytes was called off, so nobody waits for it any more.
func TestRequestBetweenTheDecisionToCloseAndTheCloseIsAnswered(t *testing.T) {
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
				waitFor(t, "the connection is in its phase", func() bool { return phases(w.s)[x.phase] == 1 })
				x.begin(t, w)
			}
			receive(t, late)
			expect(t, w.client, 1)
		})
	}
}

// A request that the reader has taken from the kernel, and not yet counted, is answered too where its connection
// makes place for another: the look before the eviction sees no unread bytes there.
func TestRequestReadButNotCountedIsAnsweredAtAnEviction(t *testing.T) {
	one := lim
	one.ClientConns = 1
	taken, on := make(chan bool), make(chan bool)
	goOn := sync.OnceFunc(func() { close(on) })
	defer goOn()
	w := serveWatched(t, one, ok, func(_ net.Conn, c *watchedConn) {
		var once sync.Once
		c.received = func(int) error { once.Do(func() { close(taken); <-on }); return nil }
	})
	_, _ = io.WriteString(w.client, get)
	receive(t, taken)
	dial(t, w.addr)
	waitFor(t, "the connection is evicted", func() bool { return phases(w.s)[retiring] == 1 })
	goOn()
	expect(t, w.client, 1)
}

// A slow reader is let go with what its finished answer leaves unread, and a request that comes in this moment
// is answered, if its client reads on.
func TestRequestOfASlowReaderIsAnsweredAsItIsClosed(t *testing.T) {
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
		t.Errorf("%d slow readers, want 1", n)
	}
}

// endHasCome says whether the client's side of a connection was closed, whatever stands unread before that.
func endHasCome(c *net.TCPConn) bool {
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
