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

// change makes a change in the moment of a look, and gives the job's own answer to it.
type change func(c *Client, a *node.Attempt) precheck.Reason

type namedChange struct {
	what string
	at   change
}

// changesBeforeTheSend are the changes that each forbid an attempt.
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
		{"the executor is gone", listed("gone", 0)},
		{"the executor starts anew", listed("ready", 5000)},
		{"the window ends", func(c *Client, a *node.Attempt) precheck.Reason {
			rules := precheck.RetryRules{Attempt: 2, MaxAttempts: 3, RetrySafety: dispatch.Keyed, MayHaveRun: true}
			rules.WindowEnd = time.Now()
			c.attempts.byID[a.ID].Rules = rules
			return precheck.Allowed
		}},
		{"its time ends", func(c *Client, a *node.Attempt) precheck.Reason {
			c.attempts.byID[a.ID].Deadline = time.Now()
			return precheck.Allowed
		}},
	}
}

// Whatever is told of an attempt while it waits, dials or writes stops it at the next look, and the last look is before
// the last byte: what the box has then never ran. Each change is made in the very moment of a look, by the job's own
// answer to it.
func TestLastQuestion(t *testing.T) {
	for _, x := range changesBeforeTheSend() {
		for look, when := range []string{"before it dials", "before its first byte", "before its last byte"} {
			t.Run(x.what+" "+when, func(t *testing.T) {
				c, s := newClient(t, testenv.Lim)
				came := make(chan string, 1)
				n := startRawExecutor(t, c, func(conn net.Conn) {
					all, _ := io.ReadAll(conn)
					came <- string(all)
				})
				a := newAttempt(1)
				a.Answered = &atomic.Bool{}
				looks := 0
				a.Job.PreSendCheck = func() precheck.Reason { // asked under the try's lock, by one goroutine
					if looks++; looks == look+1 {
						return x.at(c, &a)
					}
					return precheck.Allowed
				}
				c.Send(a)
				testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
				if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.CanceledBeforeSend {
					t.Fatalf("%v", got)
				}
				if look == 0 {
					if n() != 0 {
						t.Errorf("%d connections", n())
					}
					return
				}
				c.pool.closeIdle(c.address(7)) // one that carried nothing is kept
				switch text := <-came; {
				case look == 1 && text != "":
					t.Errorf("%q was written", text)
				case look == 2 && !strings.HasSuffix(text, "\r\n\r\nbod"):
					t.Errorf("%q was written", text)
				}
			})
		}
	}
}

// A second answer that comes after the first is nobody's: the next request goes over another connection while one may
// still come. Here the box says it once it has the next request, as late as can be.
func TestSecondAnswerIsNotTheNextOnes(t *testing.T) {
	c, s := newClient(t, testenv.Lim)
	const never = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	n := startRawExecutor(t, c, answering(acceptedAnswer, never), answering(acceptedAnswer))
	c.Send(newAttempt(1))
	testenv.Until(
		t,
		"the connection is back",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	c.pool.mu.Lock()
	for _, l := range c.pool.idle { // its answer came now, however long this took
		l[0].idleSince = time.Now().Add(time.Hour)
	}
	c.pool.mu.Unlock()
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
	c.Send(newAttempt(2))
	testenv.Until(
		t,
		"it is taken",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle[c.address(7)]) == 2 },
	)
	if got := s.outcomes(2); n() != 2 || len(got) != 0 {
		t.Errorf("%d connections, %v", n(), got)
	}
}

// Once it has rested a connection carries the next request, and no other is made.
func TestRestedConnectionsAreUsed(t *testing.T) {
	c, s := newClient(t, testenv.Lim)
	n := startRawExecutor(t, c, answering(acceptedAnswer, acceptedAnswer))
	for id := uint64(1); id <= 2; id++ {
		c.Send(newAttempt(id))
		testenv.Until(t, "it is served", func() bool {
			_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
			return len(s.outcomes(id)) == 1
		})
		testenv.Until(t, "the connection is back", func() bool {
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			for _, x := range c.pool.idle[c.address(7)] {
				x.idleSince = x.idleSince.Add(-testenv.Lim.Rest)
				return true
			}
			return false
		})
	}
	if n() != 1 {
		t.Errorf("%d connections", n())
	}
}

// The idle connections of an executor that started anew under its name and address lead to a process that has ended, or
// to a machine that forgot them: they are closed at once, and the next request takes a new one.
func TestIdleConnectionsOfAnEarlierLife(t *testing.T) {
	c, _ := newClient(t, testenv.Lim)
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
		"the connection is back",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: c.address(7), Status: "ready", StartedAtMs: 1000}, time.Now())
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection stands")
	}
}
