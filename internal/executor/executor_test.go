package executor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

// resultRecorder records the results that the client reports.
type resultRecorder struct {
	mu      sync.Mutex
	results []node.Result
}

func (s *resultRecorder) Result(r node.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (s *resultRecorder) HealthChecked(w uint32, o dispatch.Outcome, _ time.Duration, report []float32) {
	s.Result(node.Result{Attempt: uint64(w) + 1<<40, Outcome: o, Report: report})
}

func (s *resultRecorder) outcomes(id uint64) (out []dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.results {
		if r.Attempt == id && r.Outcome != 0 {
			out = append(out, r.Outcome)
		}
	}
	return out
}

// newClient returns a client for tests that do not concern the time left in requests: the large TimeLeftMargin keeps a
// test that is delayed on a busy machine from rebuilding requests.
func newClient(t *testing.T, lim limits.Limits) (*Client, *resultRecorder) {
	lim.TimeLeftMargin = time.Hour
	return newClientWithLimits(t, lim)
}

// newClientWithLimits returns a client with the given limits unchanged.
func newClientWithLimits(t *testing.T, lim limits.Limits) (*Client, *resultRecorder) {
	ctx, cancel := context.WithCancel(context.Background())
	g, s := &errgroup.Group{}, &resultRecorder{}
	c := New(ctx, g, lim, node.Names{Fields: []string{"pending", "x0"}}, s, &slowpeer.Counters{}, testenv.DiscardLog)
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	return c, s
}

// withoutRestPeriod returns limits under which an idle connection is reused at once.
func withoutRestPeriod() limits.Limits {
	lim := testenv.Limits
	lim.ReuseDelay = 0
	return lim
}

func newAttempt(id uint64) node.Attempt {
	return node.Attempt{ID: id, Executor: 7, Deadline: time.Now().Add(10 * time.Second),
		Job: &node.Job{TraceID: "00000000000000aa", Method: "POST", Target: "/tile-charge/x", Body: []byte("body")}}
}

// startRawExecutor listens as executor 7 and runs script[i] on connection i, the last script on all further
// connections.
func startRawExecutor(t *testing.T, c *Client, script ...func(net.Conn)) (accepted func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	n := 0
	var open []net.Conn
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			mu.Lock()
			i := n
			n++
			open = append(open, conn)
			mu.Unlock()
			g.Go(func() error {
				defer func() { _ = conn.Close() }()
				script[min(i, len(script)-1)](conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, conn := range open { // idle ones stay open in the client's pool
			_ = conn.Close()
		}
		mu.Unlock()
		_ = g.Wait()
	})
	c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: ln.Addr().String(), Status: "ready"}, time.Now())
	return func() int { mu.Lock(); defer mu.Unlock(); return n }
}

// readRequest reads one whole request with a body of four bytes or none.
func readRequest(r *bufio.Reader) (string, error) {
	var all strings.Builder
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		all.WriteString(line)
		if strings.HasPrefix(line, "Content-Length: 4") {
			length = 4
		}
		if line == "\r\n" {
			b := make([]byte, length)
			_, err = io.ReadFull(r, b)
			return all.String() + string(b), err
		}
	}
}

func answering(answers ...string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		for _, a := range answers {
			if _, err := readRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, a); err != nil {
				return
			}
		}
	}
}

const acceptedAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

// The outcome of an attempt follows from the executor's immediate answer, and from what that answer shows about
// whether the job ran.
func TestOutcomeOfImmediateAnswers(t *testing.T) {
	for _, x := range []struct {
		name   string
		script func(net.Conn)
		want   dispatch.Outcome
	}{
		{"rejected", answering("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\n" +
			"Endpoint-Load-Metrics: TEXT queue=4, x0=0.5\r\nContent-Length: 0\r\n\r\n"), dispatch.Full},
		{"rejected late", answering("HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"), dispatch.Full},
		// A 503 without X-Never-Ran may have run: if it counted as never run, a tile-charge could be sent twice.
		{"503 alone", answering("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), dispatch.Errored},
		{"500", answering("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), dispatch.Errored},
		{"breaks before its answer", answering(), dispatch.Reset},
		{"breaks within its answer", answering("HTTP/1.1 202 Acc"), dispatch.Reset},
		{"garbage", answering("what?\r\n\r\n"), dispatch.Reset},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, s := newClient(t, testenv.Limits)
			script := x.script
			if x.name == "breaks before its answer" {
				script = func(conn net.Conn) { _, _ = readRequest(bufio.NewReader(conn)) }
			}
			startRawExecutor(t, c, script)
			c.Send(newAttempt(1))
			testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
			if got := s.outcomes(1); len(got) != 1 || got[0] != x.want {
				t.Errorf("outcomes %v, want %d", got, x.want)
			}
			if x.name == "rejected" &&
				(len(s.results[0].Report) != 2 || s.results[0].Report[0] != 4 || s.results[0].Report[1] != 0.5) {
				t.Errorf("load report %v", s.results[0].Report)
			}
		})
	}
}

// A callback may arrive before the 202, may be repeated, and may be stale; stale ones are ignored. Each attempt has
// one outcome.
func TestCallbacksGiveOneOutcome(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	early := make(chan bool)
	startRawExecutor(t, c, func(conn net.Conn) {
		if _, err := readRequest(bufio.NewReader(conn)); err == nil {
			early <- true
			<-early
			_, _ = io.WriteString(conn, acceptedAnswer)
		}
	})
	callback := func(from, state string) {
		if err := c.Callback(
			[]byte(
				`{"id":"00000000000000aa","from":"` + from + `","state":"` + state + `","result":"tile","load":{"queue":1,"x0":2}}`,
			),
		); err != nil &&
			!errors.Is(err, ErrUnknownAttempt) {
			t.Error(err)
		}
	}
	callback("s-7", "done") // no attempt is active
	c.Send(newAttempt(1))
	<-early
	callback("s-8", "done") // from another executor
	callback("s-7", "started")
	for range 10 {
		callback("s-7", "done")
	}
	callback("s-7", "lost")
	early <- true
	testenv.Until(
		t,
		"the connection is returned to the pool",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.results) != 2 || s.results[0].Topic != dispatch.NotificationStarted ||
		s.results[1].Outcome != dispatch.Served ||
		string(s.results[1].Body) != "tile" || len(s.results[1].Report) != 2 {
		t.Errorf("results %+v, want a notification of the start and one served outcome", s.results)
	}
}

// A "done" callback without a result must not become an answer that no executor produced.
func TestDoneCallbackWithoutResult(t *testing.T) {
	for _, rest := range []string{``, `,"result":null`, `,"result":7`, `,"result":{}`} {
		c, s := newClient(t, testenv.Limits)
		startRawExecutor(t, c, answering(acceptedAnswer))
		c.Send(newAttempt(1))
		testenv.Until(t, "an outcome", func() bool {
			_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done"` + rest + `}`))
			return len(s.outcomes(1)) > 0
		})
		if got := s.outcomes(1); got[0] != dispatch.Errored {
			t.Errorf("callback with %q: outcomes %v, want errored", rest, got)
		}
	}
}

// A callback that arrives before anything of an attempt was written concerns an earlier one: a repeated "returned"
// must not end the next attempt at the same executor.
func TestStaleCallbackBeforeSend(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	n := startRawExecutor(t, c, answering(acceptedAnswer))
	a := newAttempt(2)
	resume, blocked := make(chan bool), make(chan bool)
	a.Job.BeforeSend = func(string) error { blocked <- true; <-resume; return nil }
	c.Send(a)
	<-blocked
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"returned"}`))
	resume <- true
	testenv.Until(t, "the send", func() bool { return n() == 1 })
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":"x"}`))
	testenv.Until(t, "an outcome", func() bool {
		err := c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":"x"}`))
		return len(s.outcomes(2)) > 0 || err != nil && !errors.Is(err, ErrUnknownAttempt)
	})
	if got := s.outcomes(2); len(got) != 1 || got[0] != dispatch.Served {
		t.Errorf("%v", got)
	}
}

// Nothing is written to an executor whose drain was notified longer than DrainSendGrace ago, not even over a
// connection that was being opened at the time.
func TestDrainDuringSend(t *testing.T) {
	lim := testenv.Limits
	lim.DrainSendGrace = 0
	c, s := newClient(t, lim)
	n := startRawExecutor(t, c, answering(acceptedAnswer))
	a := newAttempt(1)
	a.Job.BeforeSend = func(string) error {
		c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Status: "draining"}, time.Now().Add(-time.Millisecond))
		return nil
	}
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	if got := s.outcomes(1); got[0] != dispatch.CanceledBeforeSend || n() != 0 {
		t.Errorf("outcomes %v over %d connections, want canceled before send over none", got, n())
	}
}

// A connection that the executor closed while it was idle is not reused: a request written to it would count as sent.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c, s := newClient(t, withoutRestPeriod())
	closed := make(chan bool)
	n := startRawExecutor(
		t,
		c,
		func(conn net.Conn) { answering(acceptedAnswer)(conn); _ = conn.Close(); close(closed) },
		answering(acceptedAnswer, acceptedAnswer),
	)
	c.Send(newAttempt(1))
	<-closed
	testenv.Until(
		t,
		"the connection is returned to the pool",
		func() bool { c.pool.mu.Lock(); defer c.pool.mu.Unlock(); return len(c.pool.idle) == 1 },
	)
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
	c.Send(newAttempt(2))
	testenv.Until(t, "a second connection", func() bool { return n() == 2 })
	if got := s.outcomes(2); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// resetConnection resets a connection when the first byte of a request arrives, as a machine does that has lost the
// connection's state.
func resetConnection(c net.Conn) {
	_, _ = c.Read(make([]byte, 1))
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// The last byte of a request is held back for a short time. If the connection breaks meanwhile, or the executor sends
// something, the executor never had the request. On a reused connection the attempt continues on another one, and on a
// new one it ends as failed to connect. If it ended as reset, a tile-charge would fail finally, since it may have run.
func TestConnectionBrokenBeforeLastByte(t *testing.T) {
	lim := testenv.Limits
	lim.MinLastByteDelay, lim.MaxLastByteDelay = 20*time.Second,
		20*time.Second // the verdicts follow from what the executor does
	c, s := newClient(t, lim)
	received := make(chan string, 1)
	n := startRawExecutor(t, c, resetConnection, resetConnection, func(conn net.Conn) {
		b := make([]byte, 4096)
		k := 0
		for !strings.HasSuffix(string(b[:k]), "\r\n\r\nbod") { // and nothing more
			m, err := conn.Read(b[k:])
			if err != nil {
				break
			}
			k += m
		}
		received <- string(b[:k])
		_, _ = conn.Read(b)
	})
	addr := c.address(7)
	var reused []*connection
	for range 2 {
		conn, err := c.pool.get(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		reused = append(reused, conn)
	}
	testenv.Until(t, "both are taken", func() bool { return n() == 2 })
	for _, conn := range reused {
		c.pool.release(conn)
	}
	lasting := newAttempt(1)
	lasting.Deadline = time.Now().Add(time.Minute) // later than the end of the pause
	c.Send(lasting)
	if text := <-received; !strings.HasSuffix(text, "\r\n\r\nbod") ||
		!strings.HasPrefix(text, "POST /tile-charge/x HTTP/1.1\r\n") {
		t.Errorf("received before the last byte: %q", text)
	}
	if got := s.outcomes(1); len(got) != 0 || n() != 3 {
		t.Errorf("after two stale connections: outcomes %v on connection %d", got, n())
	}
	c.Cancel(1)

	garbled := func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, acceptedAnswer) // before the request is complete
		_, _ = io.Copy(io.Discard, conn)
	}
	scripts := map[string]func(net.Conn){"new and reset": resetConnection, "new and garbled": garbled}
	for name, script := range scripts {
		c, s := newClient(t, lim)
		n := startRawExecutor(t, c, script)
		c.Send(lasting)
		testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
		if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.ConnectFailed || n() != 1 {
			t.Errorf("%s: outcomes %v over %d connections, want one failed to connect", name, got, n())
		}
	}
}

// If connections break after some idle time, connections that have been idle as long are no longer reused, while those
// with less idle time are. A single break among many uses has no effect, and in time longer idle times are tried
// again.
func TestMaxIdleTimeFollowsBrokenConnections(t *testing.T) {
	p := newPool(testenv.Limits, nil)
	now := time.Now()
	observe := func(idleFor time.Duration, broke bool, n int) {
		for range n {
			p.recordReuse(&connection{idleFor: idleFor}, broke, now)
		}
	}
	want := func(what string, d time.Duration) {
		t.Helper()
		if got := p.maxIdleTime(now); got != d {
			t.Errorf("%s: reused after up to %v, want %v", what, got, d)
		}
	}
	want("at first", testenv.Limits.ExecutorIdleTimeout)
	observe(10*time.Millisecond, false, 60)
	observe(10*time.Millisecond, true, 1)
	want("one break in many uses", testenv.Limits.ExecutorIdleTimeout)
	observe(300*time.Millisecond, true, 1)
	want("one break in few uses", 256*time.Millisecond)
	observe(200*time.Millisecond, false, 3)
	observe(200*time.Millisecond, true, 2)
	want("breaks after less idle time", 128*time.Millisecond)
	now = now.Add(10 * testenv.Limits.KeepAliveHalfLife)
	want("after the observations have decayed", testenv.Limits.ExecutorIdleTimeout)
	observe(time.Hour, true, 3)
	want("the longest idle time", min(testenv.Limits.KeepAliveMinIdle<<10, testenv.Limits.ExecutorIdleTimeout))
}

// Consecutive attempts use one connection. A connection that has been idle for too long is not reused.
func TestConnectionReuse(t *testing.T) {
	lim := withoutRestPeriod()
	lim.ExecutorIdleTimeout = time.Hour
	c, s := newClient(t, lim)
	n := startRawExecutor(t, c, answering(acceptedAnswer, acceptedAnswer, acceptedAnswer))
	for id := range uint64(3) {
		c.Send(newAttempt(id + 1))
		testenv.Until(t, "the attempt's end", func() bool {
			_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
			return len(s.outcomes(id+1)) == 1
		})
		testenv.Until(t, "the connection is returned to the pool", func() bool {
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			idle := 0
			for _, l := range c.pool.idle {
				idle += len(l)
			}
			return idle == 1 && c.pool.open.Used() == 1
		})
		if n() != 1 {
			t.Fatalf("%d connections after %d attempts", n(), id+1)
		}
	}
	c.pool.limits.ExecutorIdleTimeout = 0
	c.Send(newAttempt(9))
	testenv.Until(t, "a new connection", func() bool { return n() == 2 })
}

// An attempt to an address where nothing listens ends as failed to connect. An attempt to an unknown executor ends as
// canceled before send.
func TestConnectFailure(t *testing.T) {
	c, s := newClient(t, withoutRestPeriod())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: ln.Addr().String(), Status: "ready"}, time.Now())
	_ = ln.Close()
	c.Send(newAttempt(1))
	b := newAttempt(2)
	b.Executor = 8
	c.Send(b)
	testenv.Until(t, "two outcomes", func() bool { return len(s.outcomes(1)) == 1 && len(s.outcomes(2)) == 1 })
	if s.outcomes(1)[0] != dispatch.ConnectFailed || s.outcomes(2)[0] != dispatch.CanceledBeforeSend {
		t.Errorf("%v %v", s.outcomes(1), s.outcomes(2))
	}
}

// A cancel closes the connection before the 202, and sends a DELETE after it. Neither leads to an outcome.
func TestCancel(t *testing.T) {
	c, s := newClient(t, withoutRestPeriod())
	got, ended := make(chan string, 4), make(chan bool, 1)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		got <- "first"
		_, _ = r.ReadByte()
		ended <- true
	}, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		_, _ = io.WriteString(conn, acceptedAnswer)
		text, _ := readRequest(r)
		got <- text
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	c.Send(newAttempt(1))
	<-got
	c.Cancel(1)
	<-ended
	c.Send(newAttempt(2))
	testenv.Until(t, "the connection is returned to the pool", func() bool {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		for _, l := range c.pool.idle {
			if len(l) == 1 {
				return true
			}
		}
		return false
	})
	c.Cancel(2)
	if text := <-got; !strings.HasPrefix(text, "DELETE /jobs/00000000000000aa HTTP/1.1\r\n") {
		t.Errorf("%q", text)
	}
	_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"done","result":""}`))
	if len(s.outcomes(1))+len(s.outcomes(2)) != 0 {
		t.Errorf("%v %v", s.outcomes(1), s.outcomes(2))
	}
}

// Malformed callbacks and load reports are rejected or ignored.
func TestGarbage(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	good := `{"id":"00000000000000aa","from":"s-7","state":"done","result":"x","load":{"queue":1}}`
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(good)
		for range rapid.IntRange(0, 5).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		_ = c.Callback(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
	})
	if len(s.results) != 0 {
		t.Errorf("%v", s.results)
	}
}

// An attempt that cannot be recorded is not sent, and ends as canceled before send.
func TestUnrecordedAttemptIsNotSent(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	n := startRawExecutor(t, c, answering(acceptedAnswer))
	a := newAttempt(1)
	a.Job.BeforeSend = func(string) error { return errors.New("no space left on device") }
	c.Send(a)
	testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
	if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.CanceledBeforeSend || n() != 0 {
		t.Errorf("outcomes %v over %d connections", got, n())
	}
}
