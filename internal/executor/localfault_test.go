package executor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/testenv"
)

// faultyDialer fails the first dials, each with the next error of a list. It records the dials and the pauses between
// them, and pauses do not take any time.
type faultyDialer struct {
	mu          sync.Mutex
	first       []error // errors of the first dials; nil for a real dial
	always      error   // for all other dials; nil for real ones
	events      []string
	pauses      []time.Duration
	duringPause func() // called in each pause
}

func (f *faultyDialer) install(c *Client) *faultyDialer {
	real := c.pool.dial
	c.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.mu.Lock()
		err := f.always
		if len(f.first) > 0 {
			err, f.first = f.first[0], f.first[1:]
		}
		f.events = append(f.events, "dial")
		f.mu.Unlock()
		if err != nil {
			return nil, err
		}
		return real(ctx, network, addr)
	}
	c.sleep = func(ctx context.Context, d time.Duration) error {
		f.mu.Lock()
		f.events, f.pauses = append(f.events, "pause"), append(f.pauses, d)
		during := f.duringPause
		f.mu.Unlock()
		if during != nil {
			during()
		}
		return ctx.Err()
	}
	return f
}

func (f *faultyDialer) seen() ([]string, []time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events), slices.Clone(f.pauses)
}

// systemError returns an error as package net returns it from a dial.
func systemError(call string, errno syscall.Errno) error {
	return &net.OpError{
		Op:   "dial",
		Net:  "tcp",
		Addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1},
		Err:  os.NewSyscallError(call, errno),
	}
}

var localFaults = map[string]error{
	"EMFILE":        systemError("socket", syscall.EMFILE),
	"ENFILE":        systemError("socket", syscall.ENFILE),
	"ENOBUFS":       systemError("socket", syscall.ENOBUFS),
	"ENOMEM":        systemError("socket", syscall.ENOMEM),
	"EADDRNOTAVAIL": systemError("connect", syscall.EADDRNOTAVAIL),
	"EAGAIN":        systemError("connect", syscall.EAGAIN),
	"ENETUNREACH":   systemError("connect", syscall.ENETUNREACH),
	"EPERM":         systemError("connect", syscall.EPERM),
	"EACCES":        systemError("connect", syscall.EACCES),
	"EINTR":         systemError("connect", syscall.EINTR),
}

// A lasting local fault ends the attempt as canceled before send, after a bounded number of dials with a doubling
// pause before each redial. It is never reported as a failed connection, which the dispatch module would count as a
// fault of the executor.
func TestLastingLocalFaultEndsTheAttemptAsNeverSent(t *testing.T) {
	for name, fault := range localFaults {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			n := startRawExecutor(t, c, answering(acceptedAnswer))
			dialer := (&faultyDialer{always: fault}).install(c)
			c.Send(newAttempt(1))
			testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.CanceledBeforeSend || n() != 0 {
				t.Errorf("outcomes %v, %d connections", got, n())
			}
			events, pauses := dialer.seen()
			const wantEvents = "dial pause dial pause dial pause dial pause dial pause dial"
			wantPauses := []time.Duration{10e6, 20e6, 40e6, 80e6, 160e6}
			if strings.Join(events, " ") != wantEvents || !slices.Equal(pauses, wantPauses) {
				t.Errorf("%v, pauses %v", events, pauses)
			}
			if used := c.pool.open.Used(); used != 0 {
				t.Errorf("%d connections are still counted as open", used)
			}
		})
	}
}

// If a local fault ends in time, the job does not notice it: the same attempt is sent once and served.
func TestPassingLocalFaultIsRetried(t *testing.T) {
	for name, fault := range localFaults {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			n := startRawExecutor(t, c, answering(acceptedAnswer))
			dialer := (&faultyDialer{first: []error{fault, fault}}).install(c)
			c.Send(newAttempt(1))
			testenv.Until(t, "the attempt is served", func() bool {
				_ = c.Callback([]byte(doneCallback))
				return len(s.outcomes(1)) > 0
			})
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served || n() != 1 {
				t.Errorf("outcomes %v, %d connections", got, n())
			}
			if events, _ := dialer.seen(); strings.Join(events, " ") != "dial pause dial pause dial" {
				t.Errorf("%v", events)
			}
		})
	}
}

// An error that concerns the executor or the path to it is reported at once, so that the dispatch module can react.
func TestExecutorFaultIsReported(t *testing.T) {
	for name, fault := range map[string]error{
		"ECONNREFUSED": systemError("connect", syscall.ECONNREFUSED),
		"ECONNRESET":   systemError("connect", syscall.ECONNRESET),
		"ETIMEDOUT":    systemError("connect", syscall.ETIMEDOUT),
		"EHOSTUNREACH": systemError("connect", syscall.EHOSTUNREACH),
		"time-out":     &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			startRawExecutor(t, c, answering(acceptedAnswer))
			dialer := (&faultyDialer{always: fault}).install(c)
			c.Send(newAttempt(1))
			testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.ConnectFailed {
				t.Errorf("outcomes %v", got)
			}
			if events, _ := dialer.seen(); strings.Join(events, " ") != "dial" {
				t.Errorf("%v", events)
			}
		})
	}
}

// An event that ends an attempt during the pause after a local fault prevents the next dial.
func TestNoRedialAfterClientDisconnect(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	n := startRawExecutor(t, c, answering(acceptedAnswer))
	client, leave := context.WithCancel(t.Context())
	dialer := (&faultyDialer{always: localFaults["EADDRNOTAVAIL"], duringPause: leave}).install(c)
	a := newAttempt(1)
	a.Job.PreSendCheck = func() precheck.Reason {
		if client.Err() != nil {
			return precheck.ClientDisconnected
		}
		return precheck.Allowed
	}
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	events, _ := dialer.seen()
	got := s.outcomes(1)
	if got[0] != dispatch.CanceledBeforeSend || n() != 0 || strings.Join(events, " ") != "dial pause" {
		t.Errorf("outcomes %v, %d connections, %v", got, n(), events)
	}
}

// A cancel ends the pause after a local fault, and leads to no outcome.
func TestCancelEndsPauseAfterLocalFault(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	startRawExecutor(t, c, answering(acceptedAnswer))
	paused, left := make(chan bool), make(chan error, 1)
	(&faultyDialer{always: localFaults["ENOBUFS"]}).install(c)
	c.sleep = func(ctx context.Context, _ time.Duration) error {
		paused <- true
		err := sleep(ctx, time.Hour)
		left <- err
		return err
	}
	c.Send(newAttempt(1))
	select {
	case <-paused:
	case <-time.After(20 * time.Second):
		t.Fatal("no pause after a local fault within 20 s")
	}
	c.Cancel(1)
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if got := s.outcomes(1); len(got) != 0 {
		t.Errorf("outcomes %v", got)
	}
}

// No pause outlasts the attempt: if less time is left than the pause takes, the attempt ends as canceled before send,
// so that the job is answered in time.
func TestNoPauseBeyondTheDeadline(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	startRawExecutor(t, c, answering(acceptedAnswer))
	dialer := (&faultyDialer{always: localFaults["ENFILE"]}).install(c)
	a := newAttempt(1)
	a.Deadline = time.Now().Add(35 * time.Millisecond)
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	_, pauses := dialer.seen() // at most 10 and 20 ms: the third pause, of 40 ms, would end after the deadline
	if got := s.outcomes(1); got[0] != dispatch.CanceledBeforeSend || len(pauses) > 2 {
		t.Errorf("outcomes %v after pauses %v", got, pauses)
	}
}

// If no descriptors are left, an idle connection is closed before the next dial. Other faults close none.
func TestIdleConnectionIsClosedForDescriptor(t *testing.T) {
	for name, want := range map[string]int{"EMFILE": 0, "ENFILE": 0, "EADDRNOTAVAIL": 1} {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			startRawExecutor(t, c, answering(acceptedAnswer))
			c.Send(newAttempt(1))
			testenv.Until(t, "an idle connection", func() bool { return c.idleConnections() == 1 })
			_ = c.Callback([]byte(doneCallback))
			ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			c.UpdateEndpoint(8, node.Endpoint{Name: "s-8", Address: ln.Addr().String(), Status: "ready"}, time.Now())
			(&faultyDialer{always: localFaults[name]}).install(c)
			a := newAttempt(2)
			a.Executor = 8
			c.Send(a)
			testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(2)) > 0 })
			if got := c.idleConnections(); got != want {
				t.Errorf("%d idle connections, want %d", got, want)
			}
		})
	}
}

func (c *Client) idleConnections() (n int) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, l := range c.pool.idle {
		n += len(l)
	}
	return n
}

// If the node's limit of connections is reached, that is no fault of the executor for which the next one was wanted.
func TestConnectionLimitIsALocalFault(t *testing.T) {
	lim := testenv.Limits
	lim.ExecutorConns, lim.SlowPeers.MinPerPeer = 2, 2
	c, s := newClient(t, lim)
	startRawExecutor(t, c, answering(acceptedAnswer))
	dialer := (&faultyDialer{}).install(c)
	c.pool.open.Acquire("10.0.0.1:1", 1)
	c.pool.open.Acquire("10.0.0.2:1", 1)
	c.Send(newAttempt(1))
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	if got := s.outcomes(1); got[0] != dispatch.CanceledBeforeSend {
		t.Errorf("outcomes %v", got)
	}
	if _, pauses := dialer.seen(); len(pauses) != maxRedials {
		t.Errorf("%d pauses, want maxRedials", len(pauses))
	}
}

// A health check that fails because of a local fault is no sign of a fault of the executor, unlike a refused
// connection.
func TestHealthCheckDistinguishesLocalFaults(t *testing.T) {
	for name, x := range map[string]struct {
		fault error
		want  dispatch.Outcome
	}{
		"EADDRNOTAVAIL": {localFaults["EADDRNOTAVAIL"], dispatch.CanceledBeforeSend},
		"EMFILE":        {localFaults["EMFILE"], dispatch.CanceledBeforeSend},
		"ECONNREFUSED":  {systemError("connect", syscall.ECONNREFUSED), dispatch.ConnectFailed},
	} {
		c, s := newClient(t, testenv.Limits)
		startRawExecutor(t, c, answering(acceptedAnswer))
		(&faultyDialer{always: x.fault}).install(c)
		c.CheckHealth(7)
		const id = 7 + 1<<40
		testenv.Until(t, "a result", func() bool { return len(s.outcomes(id)) > 0 })
		if got := s.outcomes(id); got[0] != x.want {
			t.Errorf("%s: %v, want %d", name, got, x.want)
		}
	}
}

// The DELETE of a canceled job is retried after a passing local fault: without it the executor goes on with the job.
func TestCancelIsRetriedAfterLocalFault(t *testing.T) {
	c, _ := newClient(t, testenv.Limits)
	got := make(chan string, 1)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		_, _ = io.WriteString(conn, acceptedAnswer)
		_, _ = r.ReadByte()
	}, func(conn net.Conn) {
		text, _ := readRequest(bufio.NewReader(conn))
		got <- text
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	c.Send(newAttempt(1))
	testenv.Until(t, "an idle connection", func() bool { return c.idleConnections() == 1 })
	c.pool.closeIdle(c.address(7)) // the DELETE needs a new connection
	(&faultyDialer{first: []error{localFaults["ENOBUFS"], localFaults["ENOBUFS"]}}).install(c)
	c.Cancel(1)
	expectDelete(t, got)
}
