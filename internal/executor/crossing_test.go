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

// pausing is a sink that stands still while it is told that a sign of an attempt is owed: whoever reads the answer
// stands with it.
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

// executorThatAcceptsLate reads a request, takes it once it is told to, and hands on whatever request comes next on any
// connection.
func executorThatAcceptsLate(t *testing.T, c *Client, accept <-chan bool) (taken <-chan bool, next <-chan string) {
	t.Helper()
	told, came := make(chan bool, 1), make(chan string, 4)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		<-accept
		_, _ = io.WriteString(conn, acceptedAnswer)
		testenv.Until(t, "the other side has the 202", func() bool { return tcpinfo.Unacknowledged(conn) == 0 })
		told <- true
		_, _ = r.ReadByte() // until it is closed
	}, func(conn net.Conn) {
		text, _ := readRequest(bufio.NewReader(conn))
		came <- text
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	return told, came
}

// A 202 that crosses the giving up of its attempt: the executor has the job, and a close of the connection is no sign
// to it any more. It is told by DELETE. The 202 is on this machine, unread, in the moment of the giving up.
func TestCancelCrossesA202(t *testing.T) {
	c, s := newClient(t, withShortAcks())
	sink := &pausingSink{s, make(chan bool), make(chan bool)}
	c.sink = sink
	accept := make(chan bool)
	taken, next := executorThatAcceptsLate(t, c, accept)
	c.Send(newAttempt(1))
	<-sink.paused // nothing is read from here on
	accept <- true
	<-taken
	c.Cancel(1)
	sink.release <- true
	expectDelete(t, next)
	if got := s.outcomes(1); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// The same where the 202 has been read and is noted only after the giving up; noted once more, it makes no second
// DELETE.
func TestCancelCrossesTheNoteOfA202(t *testing.T) {
	c, _ := newClient(t, testenv.Lim)
	asked := make(chan bool, 1)
	next := make(chan string, 4)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		asked <- true
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
	<-asked
	c.attempts.mu.Lock()
	given := c.attempts.byID[1]
	c.attempts.mu.Unlock()
	c.Cancel(1)
	c.recordAccepted(given)
	c.recordAccepted(given)
	expectDelete(t, next)
	testenv.Until(t, "all is told", func() bool { return len(c.cancelSlots) == 0 })
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
		t.Fatal("the executor is not told that the job was given up")
	}
}

// An executor handed a request back, was sent it again, and says once more that it handed it back, since the answer to
// its first call was lost: the second attempt goes on, to its result. Another executor's word is its own.
func TestRepeatedReturnEndsNothing(t *testing.T) {
	c, s := newClient(t, testenv.Lim)
	startRawExecutor(t, c, answering(acceptedAnswer))
	word := func(from, rest string) {
		t.Helper()
		if err := c.Callback([]byte(`{"id":"00000000000000aa","from":"` + from + `",` + rest + `}`)); err != nil {
			t.Error(err)
		}
	}
	send := func(a node.Attempt) {
		t.Helper()
		c.Send(a)
		testenv.Until(t, "its last byte is out", func() bool {
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
	word("s-7", returned)
	if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Full {
		t.Fatalf("handed back: %v", got)
	}
	send(newAttempt(2))
	word("s-7", returned)
	word("s-7", returned)
	if got := s.outcomes(2); len(got) != 0 {
		t.Fatalf("the second attempt ended with %v by a word on the first", got)
	}
	c.UpdateEndpoint(8, node.Endpoint{Name: "s-8", Address: c.address(7), Status: "ready"}, time.Now())
	third := newAttempt(3)
	third.Executor = 8
	send(third)
	word("s-8", returned)
	if got := s.outcomes(3); len(got) != 1 || got[0] != dispatch.Full {
		t.Errorf("another executor hands it back: %v", got)
	}
	word("s-7", `"state":"done","result":"tile"`)
	if got := s.outcomes(2); len(got) != 1 || got[0] != dispatch.Served {
		t.Errorf("the second attempt: %v", got)
	}
}

// What is kept of requests that were handed back is let go of once no attempt of theirs can be out.
func TestReturnsAreForgotten(t *testing.T) {
	r, now := returnedRequests{}, time.Now()
	for i := range 100 {
		if key := (attemptKey{fmt.Sprint(i), "s-7"}); !r.record(key, now, now.Add(time.Second)) ||
			r.record(key, now, now.Add(time.Second)) {
			t.Fatal(i)
		}
	}
	if r.record(attemptKey{"next", "s-7"}, now.Add(time.Second), now.Add(2*time.Second)); len(r) != 1 {
		t.Errorf("%d are kept", len(r))
	}
}

// An attempt tells its executor no more time than is left when its bytes are made, however long it waited before: here
// in the look before its first byte.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	c, _ := newClientWithLimits(t, testenv.Lim)
	came := make(chan string, 1)
	startRawExecutor(t, c, func(conn net.Conn) {
		text, _ := readRequest(bufio.NewReader(conn))
		came <- text
	})
	a := newAttempt(1)
	looks, left := 0, time.Duration(0)
	a.Job.PreSendCheck = func() precheck.Reason {
		if looks++; looks == 2 { // before its first byte
			time.Sleep(20 * time.Millisecond)
			left = time.Until(a.Deadline)
		}
		return precheck.Allowed
	}
	c.Send(a)
	_, rest, _ := strings.Cut(<-came, "\r\nX-Expires-In-Ms: ")
	text, _, _ := strings.Cut(rest, "\r\n")
	if told, err := strconv.Atoi(text); err != nil || told < 1 || time.Duration(told)*time.Millisecond > left {
		t.Errorf("%q ms are told, %v were left: %v", text, left, err)
	}
}

// A request whose last byte could go only long after it was made, since the other machine took the rest of it slowly,
// is made anew on another connection, with the time that is left then. The first one never gets its last byte.
func TestToldTimeIsRenewedAfterAWait(t *testing.T) {
	lim := testenv.Lim
	lim.TimeSpare = 20 * time.Millisecond
	lim.Pace.ExecutorOut = slowpeer.MinRate{BytesPerSecond: 1, Grace: 20 * time.Second}
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
		left time.Duration // before the rest of the first was read
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
		_, _ = io.ReadFull(conn, head) // the request is made
		time.Sleep(5 * lim.TimeSpare)
		left := time.Until(a.Deadline)
		rest, _ := io.ReadAll(conn)
		first <- got{string(head) + string(rest), left}
		next, err := ln.Accept()
		if err != nil {
			return nil
		}
		defer func() { _ = next.Close() }()
		m, err := http1.NewParser(lim, false).Read(http1.NewRing(lim.Ring), next)
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
				t.Errorf("the first has its last byte: %d of the body", len(body))
			}
			if told, err := strconv.Atoi(x.text); i == 1 && (err != nil || time.Duration(told)*time.Millisecond > x.left) {
				t.Errorf("%q ms are told, %v were left", x.text, x.left)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("nothing comes on connection", i+1)
		}
	}
	if got := s.outcomes(1); len(got) != 0 {
		t.Errorf("%v", got)
	}
	_ = c.Callback([]byte(doneCallback))
}
