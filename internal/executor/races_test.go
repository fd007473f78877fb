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

// Whatever is told of an attempt while it waits, dials or writes stops it at the next look, and the last look is before the last
// byte: what the box has then never ran. Each change is made in the very moment of a look, by the job's own answer to it.
func TestLastQuestion(t *testing.T) {
	entry := func(c *Client, status string, born float64) {
		c.Told(7, node.Entry{Name: "s-7", Status: status, SinceMS: born}, time.Now().Add(-time.Hour))
	}
	for _, x := range []struct {
		what string
		at   func(c *Client, a *node.Attempt) precheck.Reason
	}{
		{"the client leaves", func(*Client, *node.Attempt) precheck.Reason { return precheck.Left }},
		{"the duty is lost", func(*Client, *node.Attempt) precheck.Reason { return precheck.Lost }},
		{"the job is answered", func(_ *Client, a *node.Attempt) precheck.Reason { a.Answered.Store(true); return precheck.May }},
		{"the executor drains", func(c *Client, _ *node.Attempt) precheck.Reason { entry(c, "draining", 0); return precheck.May }},
		{"the executor is gone", func(c *Client, _ *node.Attempt) precheck.Reason { entry(c, "gone", 0); return precheck.May }},
		{"the executor starts anew", func(c *Client, _ *node.Attempt) precheck.Reason { entry(c, "ready", 5000); return precheck.May }},
		{"the window ends", func(c *Client, a *node.Attempt) precheck.Reason {
			c.live[a.ID].Rules = precheck.Rules{Number: 2, Most: 3, Effect: dispatch.Keyed, Ran: true, RepeatBy: time.Now()}
			return precheck.May
		}},
		{"its time ends", func(c *Client, a *node.Attempt) precheck.Reason {
			c.live[a.ID].Deadline = time.Now()
			return precheck.May
		}},
	} {
		for look, when := range []string{"before it dials", "before its first byte", "before its last byte"} {
			t.Run(x.what+" "+when, func(t *testing.T) {
				c, s := setup(t, testenv.Lim)
				came := make(chan string, 1)
				n := box(t, c, func(conn net.Conn) {
					all, _ := io.ReadAll(conn)
					came <- string(all)
				})
				a := attempt(1)
				a.Answered = &atomic.Bool{}
				looks := 0
				a.Job.Still = func() precheck.Reason { // asked under the try's lock, by one goroutine
					if looks++; looks == look+1 {
						return x.at(c, &a)
					}
					return precheck.May
				}
				c.Send(a)
				testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
				if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Moot {
					t.Fatalf("%v", got)
				}
				if look == 0 {
					if n() != 0 {
						t.Errorf("%d connections", n())
					}
					return
				}
				c.pool.drop(c.address(7)) // one that carried nothing is kept
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

// A second answer that comes after the first is nobody's: the next request goes over another connection while one may still
// come. Here the box says it once it has the next request, as late as can be.
func TestSecondAnswerIsNotTheNextOnes(t *testing.T) {
	c, s := setup(t, testenv.Lim)
	const never = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	n := box(t, c, says(accepted, never), says(accepted))
	c.Send(attempt(1))
	testenv.Until(t, "the connection is back", func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 })
	c.pool.mu.Lock()
	for _, l := range c.pool.idle { // its answer came now, however long this took
		l[0].idle = time.Now().Add(time.Hour)
	}
	c.pool.mu.Unlock()
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
	c.Send(attempt(2))
	testenv.Until(t, "it is taken", func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle[c.address(7)]) == 2 })
	if got := s.outcomes(2); n() != 2 || len(got) != 0 {
		t.Errorf("%d connections, %v", n(), got)
	}
}

// Once it has rested a connection carries the next request, and no other is made.
func TestRestedConnectionsAreUsed(t *testing.T) {
	c, s := setup(t, testenv.Lim)
	n := box(t, c, says(accepted, accepted))
	for id := uint64(1); id <= 2; id++ {
		c.Send(attempt(id))
		testenv.Until(t, "it is served", func() bool {
			_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
			return len(s.outcomes(id)) == 1
		})
		testenv.Until(t, "the connection is back", func() bool {
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			for _, x := range c.pool.idle[c.workers[7].addr] {
				x.idle = x.idle.Add(-testenv.Lim.Rest)
				return true
			}
			return false
		})
	}
	if n() != 1 {
		t.Errorf("%d connections", n())
	}
}

// The idle connections of an executor that started anew under its name and address lead to a process that has ended, or to a
// machine that forgot them: they are closed at once, and the next request takes a new one.
func TestIdleConnectionsOfAnEarlierLife(t *testing.T) {
	c, _ := setup(t, testenv.Lim)
	ended := make(chan bool, 1)
	box(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		if _, err := request(r); err == nil {
			_, _ = io.WriteString(conn, accepted)
		}
		_, _ = r.ReadByte()
		ended <- true
	})
	c.Send(attempt(1))
	testenv.Until(t, "the connection is back", func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 })
	c.Told(7, node.Entry{Name: "s-7", Address: c.address(7), Status: "ready", SinceMS: 1000}, time.Now())
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the connection stands")
	}
}
