package executor

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/testenv"
)

// change makes a change during a pre-send check, and returns the job's own answer to the check.
type change func(c *Client, a *node.Attempt) precheck.Reason

type namedChange struct {
	what string
	at   change
}

// changesBeforeTheSend lists changes each of which prevents the attempt from being sent.
func changesBeforeTheSend() []namedChange {
	reason := func(r precheck.Reason) change {
		return func(*Client, *node.Attempt) precheck.Reason { return r }
	}
	listed := func(status string, startedAt float64) change {
		return func(c *Client, _ *node.Attempt) precheck.Reason {
			c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Status: status, StartedAtMs: startedAt}, time.Now().Add(-time.Hour))
			return precheck.Allowed
		}
	}
	return []namedChange{
		{"the client leaves", reason(precheck.ClientDisconnected)},
		{"the lease is lost", reason(precheck.LeaseLost)},
		{"the job is answered", func(_ *Client, a *node.Attempt) precheck.Reason {
			a.Answered.Store(true)
			return precheck.Allowed
		}},
		{"the executor drains", listed("draining", 0)},
		{"the executor is removed", listed("gone", 0)},
		{"the executor restarts", listed("ready", 5000)},
		{"the window ends", func(c *Client, a *node.Attempt) precheck.Reason {
			rules := precheck.RetryRules{Attempt: 2, MaxAttempts: 3, RetrySafety: dispatch.Keyed, MayHaveRun: true}
			rules.WindowEnd = time.Now()
			c.attempts.byID[a.ID].Rules = rules
			return precheck.Allowed
		}},
		{"the deadline passes", func(c *Client, a *node.Attempt) precheck.Reason {
			c.attempts.byID[a.ID].Deadline = time.Now()
			return precheck.Allowed
		}},
	}
}

// Any change that concerns an attempt while it waits, dials or writes stops it at the next pre-send check. The last
// check is before the last byte, so that the job never ran on the executor. The test makes each change during a check,
// in the job's own answer to it.
func TestPreSendCheck(t *testing.T) {
	for _, x := range changesBeforeTheSend() {
		for check, when := range []string{"before it dials", "before its first byte", "before its last byte"} {
			t.Run(x.what+" "+when, func(t *testing.T) {
				c, s := newClient(t, testenv.Limits)
				received := make(chan string, 1)
				n := startRawExecutor(t, c, func(conn net.Conn) {
					all, _ := io.ReadAll(conn)
					received <- string(all)
				})
				a := newAttempt(1)
				a.Answered = &atomic.Bool{}
				checks := 0
				a.Job.PreSendCheck = func() precheck.Reason { // called by one goroutine, under the attempt's lock
					if checks++; checks == check+1 {
						return x.at(c, &a)
					}
					return precheck.Allowed
				}
				c.Send(a)
				testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
				if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.CanceledBeforeSend {
					t.Fatalf("outcomes %v, want canceled before send", got)
				}
				if check == 0 {
					if n() != 0 {
						t.Errorf("%d connections", n())
					}
					return
				}
				c.pool.closeIdle(c.address(7)) // a connection on which nothing was written is kept
				switch text := <-received; {
				case check == 1 && text != "":
					t.Errorf("%q was written", text)
				case check == 2 && !strings.HasSuffix(text, "\r\n\r\nbod"):
					t.Errorf("%q was written", text)
				}
			})
		}
	}
}

// A second answer to a request is not taken for the answer to the next one: while a second answer may still arrive,
// the next request uses another connection. Here the executor sends it as late as possible, after the next request has
// arrived.
func TestSecondAnswerIsNotTakenForNextRequest(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	const never = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	n := startRawExecutor(t, c, answering(acceptedAnswer, never), answering(acceptedAnswer))
	c.Send(newAttempt(1))
	testenv.Until(
		t,
		"the connection is returned to the pool",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	c.pool.mu.Lock()
	for _, l := range c.pool.idle { // count its answer as received just now, however long the test took so far
		l[0].idleSince = time.Now().Add(time.Hour)
	}
	c.pool.mu.Unlock()
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
	c.Send(newAttempt(2))
	testenv.Until(
		t,
		"the second connection is returned to the pool",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle[c.address(7)]) == 2 },
	)
	if got := s.outcomes(2); n() != 2 || len(got) != 0 {
		t.Errorf("%d connections, outcomes %v, want 2 and none", n(), got)
	}
}

// A connection that has been idle for the rest period carries the next request, and no other is opened.
func TestRestedConnectionsAreUsed(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	n := startRawExecutor(t, c, answering(acceptedAnswer, acceptedAnswer))
	for id := uint64(1); id <= 2; id++ {
		c.Send(newAttempt(id))
		testenv.Until(t, "the attempt is served", func() bool {
			_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
			return len(s.outcomes(id)) == 1
		})
		testenv.Until(t, "the connection is returned to the pool", func() bool {
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			for _, x := range c.pool.idle[c.address(7)] {
				x.idleSince = x.idleSince.Add(-testenv.Limits.ReuseDelay)
				return true
			}
			return false
		})
	}
	if n() != 1 {
		t.Errorf("%d connections", n())
	}
}

// When an executor restarts under the same name and address, idle connections to it lead to a process that has ended,
// or to a machine that has lost their state. They are closed at once, and the next request opens a new one.
func TestIdleConnectionsOfEarlierIncarnationAreClosed(t *testing.T) {
	c, _ := newClient(t, testenv.Limits)
	ended := make(chan bool, 1)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(conn, acceptedAnswer)
		}
		_, _ = r.ReadByte()
		ended <- true
	})
	c.Send(newAttempt(1))
	testenv.Until(
		t,
		"the connection is returned to the pool",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: c.address(7), Status: "ready", StartedAtMs: 1000}, time.Now())
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the idle connection was not closed within 20 s")
	}
}
