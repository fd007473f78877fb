package executor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/slowpeer"
	"gatetack/internal/tcpinfo"
	"gatetack/internal/testenv"
)

// pausingSink is a sink that blocks while it is notified that an acknowledgement is overdue, which blocks the reader
// of the answer too.
type pausingSink struct {
	*resultRecorder
	paused, release chan bool
}

func (p *pausingSink) Result(r node.Result) {
	if r.Topic == dispatch.NotificationAckOverdue && r.Outcome == 0 {
		p.paused <- true
		<-p.release
	}
	p.resultRecorder.Result(r)
}

// executorThatAcceptsLate reads a request, accepts it when accept says so, and passes on the next request on any other
// connection.
func executorThatAcceptsLate(t *testing.T, c *Client, accept <-chan bool) (accepted <-chan bool, next <-chan string) {
	t.Helper()
	delivered, received := make(chan bool, 1), make(chan string, 4)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		<-accept
		_, _ = io.WriteString(conn, acceptedAnswer)
		testenv.Until(t, "the client's kernel has the 202", func() bool { return tcpinfo.Unacknowledged(conn) == 0 })
		delivered <- true
		_, _ = r.ReadByte() // until the connection is closed
	}, func(conn net.Conn) {
		text, _ := readRequest(bufio.NewReader(conn))
		received <- text
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	return delivered, received
}

// A 202 crosses the cancel of its attempt: the executor has the job, and closing the connection does not cancel it any
// more, so a DELETE is sent. The 202 has been received but not read when the attempt is canceled.
func TestCancelCrossesA202(t *testing.T) {
	c, s := newClient(t, withShortAcks())
	sink := &pausingSink{s, make(chan bool), make(chan bool)}
	c.sink = sink
	accept := make(chan bool)
	accepted, next := executorThatAcceptsLate(t, c, accept)
	c.Send(newAttempt(1))
	<-sink.paused // nothing is read from here on
	accept <- true
	<-accepted
	c.Cancel(1)
	sink.release <- true
	expectDelete(t, next)
	if got := s.outcomes(1); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// As above, with a 202 that has been read but is recorded only after the cancel. Recording it again leads to no second
// DELETE.
func TestCancelCrossesRecordingOfA202(t *testing.T) {
	c, _ := newClient(t, testenv.Limits)
	requested := make(chan bool, 1)
	next := make(chan string, 4)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		requested <- true
		_, _ = r.ReadByte()
	}, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			text, err := readRequest(r)
			if err != nil {
				return
			}
			next <- text
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	c.Send(newAttempt(1))
	<-requested
	c.attempts.mu.Lock()
	attempt := c.attempts.byID[1]
	c.attempts.mu.Unlock()
	c.Cancel(1)
	c.recordAccepted(attempt)
	c.recordAccepted(attempt)
	expectDelete(t, next)
	testenv.Until(t, "no DELETE is in progress", func() bool { return len(c.cancelSlots) == 0 })
	if len(next) != 0 {
		t.Errorf("%d further calls", len(next))
	}
}

func expectDelete(t *testing.T, next <-chan string) {
	t.Helper()
	select {
	case text := <-next:
		if !strings.HasPrefix(text, "DELETE /jobs/00000000000000aa HTTP/1.1\r\n") {
			t.Errorf("%q", text)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no DELETE within 20 s")
	}
}

// An executor returned a request, received it again, and repeats the "returned" callback because the answer to the
// first one was lost. The second attempt goes on to its result. A "returned" callback of another executor counts on
// its own.
func TestRepeatedReturnedCallbackIsIgnored(t *testing.T) {
	c, s := newClient(t, testenv.Limits)
	startRawExecutor(t, c, answering(acceptedAnswer))
	callback := func(from, rest string) {
		t.Helper()
		if err := c.Callback([]byte(`{"id":"00000000000000aa","from":"` + from + `",` + rest + `}`)); err != nil {
			t.Error(err)
		}
	}
	send := func(a node.Attempt) {
		t.Helper()
		c.Send(a)
		testenv.Until(t, "the 202 is read", func() bool {
			c.attempts.mu.Lock()
			x := c.attempts.byID[a.ID]
			c.attempts.mu.Unlock()
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.accepted
		})
	}
	const returned = `"state":"returned"`
	send(newAttempt(1))
	callback("s-7", returned)
	if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Full {
		t.Fatalf("outcomes of the first attempt: %v, want full", got)
	}
	send(newAttempt(2))
	callback("s-7", returned)
	callback("s-7", returned)
	if got := s.outcomes(2); len(got) != 0 {
		t.Fatalf("the second attempt ended with %v by a callback for the first", got)
	}
	c.UpdateEndpoint(8, node.Endpoint{Name: "s-8", Address: c.address(7), Status: "ready"}, time.Now())
	third := newAttempt(3)
	third.Executor = 8
	send(third)
	callback("s-8", returned)
	if got := s.outcomes(3); len(got) != 1 || got[0] != dispatch.Full {
		t.Errorf("outcomes at another executor: %v, want full", got)
	}
	callback("s-7", `"state":"done","result":"tile"`)
	if got := s.outcomes(2); len(got) != 1 || got[0] != dispatch.Served {
		t.Errorf("outcomes of the second attempt: %v, want served", got)
	}
}

// The entry of a returned request is deleted once no attempt of the request can be in flight.
func TestReturnedRequestsExpire(t *testing.T) {
	r, now := returnedRequests{}, time.Now()
	for i := range 100 {
		if key := (attemptKey{fmt.Sprint(i), "s-7"}); !r.record(key, now, now.Add(time.Second)) ||
			r.record(key, now, now.Add(time.Second)) {
			t.Fatal(i)
		}
	}
	if r.record(attemptKey{"next", "s-7"}, now.Add(time.Second), now.Add(2*time.Second)); len(r) != 1 {
		t.Errorf("%d entries are kept, want 1", len(r))
	}
}

// A request states at most the time that is left when its bytes are written, however long the attempt waited before:
// here in the pre-send check before its first byte.
func TestSentTimeLeftIsCurrent(t *testing.T) {
	c, _ := newClientWithLimits(t, testenv.Limits)
	received := make(chan string, 1)
	startRawExecutor(t, c, func(conn net.Conn) {
		text, _ := readRequest(bufio.NewReader(conn))
		received <- text
	})
	a := newAttempt(1)
	checks, left := 0, time.Duration(0)
	a.Job.PreSendCheck = func() precheck.Reason {
		if checks++; checks == 2 { // before its first byte
			time.Sleep(20 * time.Millisecond)
			left = time.Until(a.Deadline)
		}
		return precheck.Allowed
	}
	c.Send(a)
	_, rest, _ := strings.Cut(<-received, "\r\nX-Expires-In-Ms: ")
	text, _, _ := strings.Cut(rest, "\r\n")
	if stated, err := strconv.Atoi(text); err != nil || stated < 1 || time.Duration(stated)*time.Millisecond > left {
		t.Errorf("the request states %q ms with %v left: %v", text, left, err)
	}
}

// A request whose last byte can be sent only long after the request was built, since the peer takes the rest slowly,
// is rebuilt on another connection with the time that is left then. The last byte is never sent on the first
// connection.
func TestSentTimeLeftIsUpdatedAfterWait(t *testing.T) {
	lim := testenv.Limits
	lim.TimeLeftMargin = 20 * time.Millisecond
	lim.SlowPeers.ExecutorOut = slowpeer.MinRate{BytesPerSecond: 1, Grace: 20 * time.Second}
	c, s := newClientWithLimits(t, lim)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	smallBuffer(t, ln)
	a := newAttempt(1)
	a.Job.Body = []byte(strings.Repeat("b", 60<<10))
	type got struct {
		text string
		left time.Duration // before the rest of the first request is read
	}
	first, second := make(chan got, 1), make(chan got, 1)
	var g errgroup.Group
	defer func() { _ = ln.Close(); _ = g.Wait() }()
	g.Go(func() error {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		defer func() { _ = conn.Close() }()
		head := make([]byte, 100)
		_, _ = io.ReadFull(conn, head) // the request has been built
		time.Sleep(5 * lim.TimeLeftMargin)
		left := time.Until(a.Deadline)
		rest, _ := io.ReadAll(conn)
		first <- got{string(head) + string(rest), left}
		next, err := ln.Accept()
		if err != nil {
			return nil
		}
		defer func() { _ = next.Close() }()
		m, err := http1.NewParser(lim, false).Read(http1.NewRing(lim.RingBytes), next)
		if err != nil {
			return nil
		}
		second <- got{m.Get("X-Expires-In-Ms"), left}
		_, _ = io.WriteString(next, acceptedAnswer)
		return nil
	})
	c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: ln.Addr().String(), Status: "ready"}, time.Now())
	c.Send(a)
	for i, ch := range []chan got{first, second} {
		select {
		case x := <-ch:
			if _, body, _ := strings.Cut(x.text, "\r\n\r\n"); i == 0 && len(body) >= len(a.Job.Body) {
				t.Errorf("the first connection carried the whole body of %d bytes", len(body))
			}
			if stated, err := strconv.Atoi(x.text); i == 1 && (err != nil || time.Duration(stated)*time.Millisecond > x.left) {
				t.Errorf("the request states %q ms with %v left", x.text, x.left)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no request within 20 s on connection", i+1)
		}
	}
	if got := s.outcomes(1); len(got) != 0 {
		t.Errorf("%v", got)
	}
	_ = c.Callback([]byte(doneCallback))
}
