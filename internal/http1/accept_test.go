package http1

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
	"gatetack/internal/slowpeer"
)

// faultyListener is a listener whose Accept fails with the error that next returns and accepts if that is nil.
type faultyListener struct {
	net.Listener
	next func(call int) error

	mu   sync.Mutex
	call int
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.call++
	call := l.call
	l.mu.Unlock()
	if errno := l.next(call); errno != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// SetDeadline sets the deadline of the underlying listener.
func (l *faultyListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// pauses records the pauses of a server's accept loop without pausing.
type pauses struct {
	mu  sync.Mutex
	all []time.Duration
}

func (p *pauses) sleep(_ context.Context, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, d)
}

func (p *pauses) made() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Duration(nil), p.all...)
}

// serveFaulty is like serve, with a listener whose Accept fails as next says. It also returns the recorded pauses of
// the accept loop.
func serveFaulty(
	t *testing.T, lim limits.Limits, h handler, next func(s *Server, call int) error,
) (*Server, string, *pauses) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s, p := NewServer(lim, h, &slowpeer.Counters{}, quietLog), &pauses{}
	s.sleep = p.sleep
	faulty := &faultyListener{Listener: ln, next: func(call int) error { return next(s, call) }}
	g.Go(func() error { return s.Serve(ctx, faulty) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s, ln.Addr().String(), p
}

// answers sends one request and returns the number of responses with status 200 until the connection ends.
func answers(t *testing.T, addr string) int {
	t.Helper()
	c := dial(t, addr)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%v", err)
	}
	return strings.Count(string(all), " 200 OK")
}

func ok(context.Context, *Message) Response { return Response{Status: 200} }

// An accept error of one pending connection, or a signal, does not delay other connections: the server accepts the next
// one without a pause.
func TestAcceptContinuesAfterErrorOfOneConnection(t *testing.T) {
	faults := []error{
		syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR, syscall.ETIMEDOUT, syscall.EPERM, syscall.ECONNRESET,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	}
	_, addr, paused := serveFaulty(t, lim, ok, func(_ *Server, call int) error {
		if call <= len(faults) {
			return faults[call-1]
		}
		return nil
	})
	if n := answers(t, addr); n != 1 {
		t.Errorf("%d responses with status 200 after the errors, want 1", n)
	}
	if made := paused.made(); len(made) != 0 {
		t.Errorf("pauses %v, want none", made)
	}
}

// If accept fails for lack of descriptors, the server closes an idle connection and accepts again without a pause. It
// keeps connections with a request in progress, and pauses only if there are no others.
func TestAcceptFreesDescriptors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE} {
		t.Run(errno.Error(), func(t *testing.T) { acceptWithoutDescriptors(t, errno) })
	}
}

func acceptWithoutDescriptors(t *testing.T, errno syscall.Errno) {
	hold, started := make(chan bool), make(chan bool, 1)
	open := []int{} // number of open connections at the accept after each failure
	_, addr, paused := serveFaulty(t, lim, func(_ context.Context, m *Message) Response {
		if m.Target == "/hold" {
			started <- true
			<-hold
		}
		return Response{Status: 200, KnownClient: true}
	}, func(s *Server, call int) error {
		switch call {
		case 1, 2: // an idle connection and a busy one
		case 3:
			waitFor(t, "one idle, one busy connection", func() bool { n := phases(s); return n[idle] == 1 && n[handling] == 1 })
			return errno
		case 5:
			waitFor(t, "only the busy connection is open", func() bool { return s.OpenConns() == 1 })
			return errno
		case 4, 6:
			open = append(open, s.OpenConns())
		}
		return nil
	})
	idler := dial(t, addr)
	_, _ = io.WriteString(idler, get)
	if m, err := NewParser(lim, true).Read(NewRing(512), idler); err != nil || m.Status != 200 {
		t.Fatalf("%v %v", m, err)
	}
	busy := dial(t, addr)
	_, _ = io.WriteString(busy, "GET /hold HTTP/1.1\r\n\r\n")
	<-started
	if rest, err := io.ReadAll(idler); err != nil || len(rest) > 0 {
		t.Errorf("idle connection: read %q, %v; want a close", rest, err)
	}
	for range 2 {
		if n := answers(t, addr); n != 1 {
			t.Errorf("%d responses with status 200 after the error, want 1", n)
		}
	}
	if made := paused.made(); len(open) != 2 || open[0] != 1 || len(made) != 1 || made[0] != descriptorWait {
		t.Errorf("open connections at the accepts after the errors: %v, pauses: %v", open, made)
	}
	close(hold)
	if _, err := NewParser(lim, true).Read(NewRing(512), busy); err != nil {
		t.Errorf("request in progress: %v", err)
	}
}

// phases counts a server's connections by phase.
func phases(s *Server) map[phase]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[phase]int{}
	for c := range s.conns {
		n[c.phase]++
	}
	return n
}

// After errors for lack of memory, or undocumented ones, the pauses between accepts double up to a bound. They start at
// the minimum again after an accepted connection.
func TestAcceptBacksOffWhenMemoryIsShort(t *testing.T) {
	const before = 8 // enough failures to reach the bound and repeat it
	_, addr, paused := serveFaulty(t, lim, ok, func(_ *Server, call int) error {
		switch {
		case call <= before:
			return []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC}[call%3]
		case call == before+2:
			return syscall.ENOMEM
		}
		return nil
	})
	for range 2 {
		if n := answers(t, addr); n != 1 {
			t.Errorf("%d responses with status 200 after the errors, want 1", n)
		}
	}
	made := paused.made()
	if len(made) != before+1 || made[before] != acceptBackoffMin {
		t.Fatalf("unexpected pauses: %v", made)
	}
	for i, want := 0, acceptBackoffMin; i < before; i, want = i+1, min(2*want, acceptBackoffMax) {
		if made[i] != want {
			t.Errorf("pause %d: %v, want %v", i, made[i], want)
		}
	}
}

// A finishing server attributes ETIMEDOUT to one pending connection and does not mistake it for its own accept
// deadline: further connections may be queued.
func TestFinishContinuesAfterErrorOfOneConnection(t *testing.T) {
	finishing := make(chan bool)
	s, addr, _ := serveFaulty(t, lim, ok, func(_ *Server, call int) error {
		switch call {
		case 1: // called before Finish
			<-finishing
			return syscall.ECONNABORTED
		case 2:
			return syscall.ETIMEDOUT
		}
		return nil
	})
	c := dial(t, addr) // stays in the accept queue
	_, _ = io.WriteString(c, get)
	done := make(chan bool)
	go func() { s.Finish(t.Context()); close(done) }()
	waitFor(t, "the server is finishing", s.finishing.Load)
	close(finishing)
	if all, err := io.ReadAll(c); err != nil || !strings.Contains(string(all), " 200 OK") {
		t.Errorf("queued connection: got %q, %v, want status 200", all, err)
	}
	<-done
}

// Guards against a node that holds its connections and bodies twice while one of its processes replaces the other: each
// of two processes has half of the limits, and the one that remains has all of them.
func TestProcessesShareTheLimits(t *testing.T) {
	lim := limits.New(256, 32, 0, 0, 0)
	s := NewServer(lim, nil, nil, quietLog)
	connections := lim.ClientConns + lim.OverflowConns + lim.RejectConns
	for _, processes := range []int{1, 2, 1} {
		s.SetProcesses(processes)
		if !s.reserveBody(lim.TotalBodyBytes/processes) || s.reserveBody(1) {
			t.Errorf("%d processes: the bodies are not limited to their share", processes)
		}
		s.reserveBody(-lim.TotalBodyBytes / processes)
		clear(s.conns)
		for range connections / processes {
			if s.descriptorsExhausted() {
				t.Fatalf("%d processes: exhausted with %d connections", processes, len(s.conns))
			}
			s.conns[&conn{}] = struct{}{}
		}
		if !s.descriptorsExhausted() {
			t.Errorf("%d processes: not exhausted with %d connections", processes, len(s.conns))
		}
	}
}
