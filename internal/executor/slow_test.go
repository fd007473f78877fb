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

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
	"gatetack/internal/testenv"
)

// withShortAcks returns limits under which an acknowledgement is overdue after 50 ms.
func withShortAcks() limits.Limits {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.SlowPeers.Acks = slowpeer.AckRule{
		MinTimeout:    50 * time.Millisecond,
		MaxTimeout:    200 * time.Millisecond,
		BoundMultiple: 3,
		ActiveWindow:  time.Minute,
		MaxLateShare:  0.5,
	}
	return lim
}

// overdueNotes counts the notifications that an attempt's acknowledgement is overdue.
func (s *resultRecorder) overdueNotes(id uint64) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.results {
		if r.Attempt == id && r.Outcome == 0 && r.Topic == dispatch.NotificationAckOverdue {
			n++
		}
	}
	return n
}

const doneCallback = `{"id":"00000000000000aa","from":"s-7","state":"done","result":"tile"}`

// An executor that sends nothing, or sends its 202 byte by byte, is reported as overdue once. The attempt is not
// canceled: the result that arrives by callback is its only outcome.
func TestOverdueAcknowledgement(t *testing.T) {
	for name, script := range map[string]func(net.Conn){
		"sends nothing": func(c net.Conn) {
			r := bufio.NewReader(c)
			_, _ = readRequest(r)
			_, _ = r.ReadByte() // until the client closes the connection
		},
		"sends the status line slowly": func(c net.Conn) {
			_, _ = readRequest(bufio.NewReader(c))
			for i := range 12 { // "HTTP/1.1 202" without the end of the line
				_, _ = io.WriteString(c, acceptedAnswer[i:i+1])
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = c.Read(make([]byte, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := newClient(t, withShortAcks())
			startRawExecutor(t, c, script)
			c.Send(newAttempt(1))
			testenv.Until(t, "the overdue note", func() bool { return s.overdueNotes(1) > 0 })
			time.Sleep(300 * time.Millisecond) // longer than until a second note, if there were one
			if got := s.outcomes(1); len(got) != 0 || s.overdueNotes(1) != 1 {
				t.Errorf("%d overdue notes, outcomes %v, want 1 and none", s.overdueNotes(1), got)
			}
			for range 3 {
				if err := c.Callback([]byte(doneCallback)); err != nil && !errors.Is(err, ErrUnknownAttempt) { // repeats
					t.Error(err)
				}
			}
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served || c.acks.estimates.LateCount("s-7") != 0 {
				t.Errorf("outcomes %v, %d acknowledgements still overdue", got, c.acks.estimates.LateCount("s-7"))
			}
		})
	}
}

// A callback acknowledges a job: a job whose start was reported by callback is not overdue, however late its 202.
func TestCallbackAcknowledgesJob(t *testing.T) {
	c, s := newClient(t, withShortAcks())
	got := make(chan bool)
	startRawExecutor(t, c, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		_, _ = readRequest(r)
		got <- true
		_, _ = r.ReadByte()
	})
	c.Send(newAttempt(1))
	<-got
	testenv.Until(t, "the start is reported", func() bool {
		_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"started"}`))
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.results) > 0
	})
	time.Sleep(400 * time.Millisecond)
	if s.overdueNotes(1) != 0 || len(s.outcomes(1)) != 0 {
		t.Errorf("%d overdue notes, outcomes %v, want none", s.overdueNotes(1), s.outcomes(1))
	}
}

// The status line of a 202 shows that the executor has the job. If the rest arrives slower than the minimum rate, the
// connection is closed and counted, and the attempt goes on to its result.
func TestSlowRestOfA202(t *testing.T) {
	lim := withShortAcks()
	lim.SlowPeers.ExecutorIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 60 * time.Millisecond}
	c, s := newClient(t, lim)
	closed := make(chan bool)
	startRawExecutor(t, c, func(conn net.Conn) {
		_, _ = readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nX-")
		for {
			if _, err := io.WriteString(conn, "a"); err != nil {
				close(closed)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	c.Send(newAttempt(1))
	<-closed
	if got := s.outcomes(1); len(got) != 0 || s.overdueNotes(1) != 0 ||
		c.slowPeers.Count(slowpeer.ExecutorSendsSlowly) != 1 {
		t.Errorf("outcomes %v, %d overdue notes, %d slow senders, want none, 0, 1",
			got, s.overdueNotes(1), c.slowPeers.Count(slowpeer.ExecutorSendsSlowly))
	}
	_ = c.Callback([]byte(doneCallback))
	if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served {
		t.Errorf("%v", got)
	}
}

// If an executor's machine does not take a request up to its last byte, the job never ran. The attempt ends as failed
// to connect well before the client's deadline, whether the write itself stalls or the data stays in this machine's
// send buffer.
func TestExecutorThatDoesNotRead(t *testing.T) {
	for name, size := range map[string]int{"the kernel takes all": 60 << 10, "the write stalls": 32 << 20} {
		t.Run(name, func(t *testing.T) {
			lim := withShortAcks()
			lim.SlowPeers.ExecutorOut = slowpeer.MinRate{BytesPerSecond: 1 << 30, Grace: 100 * time.Millisecond}
			c, s := newClient(t, lim)
			release := make(chan bool)
			defer close(release)
			ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g errgroup.Group
			defer func() { _ = ln.Close(); _ = g.Wait() }()
			smallBuffer(t, ln)
			g.Go(func() error {
				conn, err := ln.Accept()
				if err != nil {
					return nil
				}
				<-release
				return conn.Close()
			})
			c.UpdateEndpoint(7, node.Endpoint{Name: "s-7", Address: ln.Addr().String(), Status: "ready"}, time.Now())
			a := newAttempt(1)
			a.Job.Body = []byte(strings.Repeat("b", size))
			c.Send(a)
			testenv.Until(t, "an outcome", func() bool { return len(s.outcomes(1)) > 0 })
			if got := s.outcomes(
				1,
			); got[0] != dispatch.ConnectFailed ||
				c.slowPeers.Count(slowpeer.ExecutorReadsSlowly)+c.slowPeers.Count(slowpeer.RequestUnacked) != 1 {
				t.Errorf("outcomes %v, slow peers %s", got, c.slowPeers.JSON())
			}
			release <- true
		})
	}
}

// smallBuffer sets a small receive buffer on a listener, which its connections inherit.
func smallBuffer(t *testing.T, ln net.Listener) {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { _ = setReceiveBuffer(fd, 2048) })
}

// If the acknowledgements of most executors are overdue at the same time, they are only counted and none is reported
// to the dispatch module. A single one is reported.
func TestOverdueAcknowledgementsOfMostExecutors(t *testing.T) {
	c, s := newClient(t, withShortAcks())
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	for i := range uint32(4) {
		b, err := testenv.NewExecutor(ctx, g, "s-"+string('a'+rune(i)), "127.0.0.1:1", time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		b.Set(func(h *testenv.Behavior) { h.NoCallbacks = true })
		slow, err := testenv.NewSlowProxy(ctx, g, b.Addr, testenv.Script{}, testenv.Script{Delay: time.Hour}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.UpdateEndpoint(20+i, node.Endpoint{Name: b.Name, Address: slow.Addr, Status: "ready"}, time.Now())
	}
	var mu sync.Mutex
	reported := 0
	for i := range uint64(4) {
		a := newAttempt(i + 1)
		a.Executor, a.Job.TraceID = 20+uint32(i), "00000000000000a"+string('0'+rune(i))
		c.Send(a)
	}
	testenv.Until(t, "the overdue executors are counted",
		func() bool { return c.slowPeers.Count(slowpeer.MostAcksLate) >= 8 })
	mu.Lock()
	defer mu.Unlock()
	for i := range uint64(4) {
		reported += s.overdueNotes(i + 1)
	}
	// The first one or two become overdue while the others are not yet; from then on none is reported.
	if reported > 2 {
		t.Errorf("%d of 4 executors were reported as overdue while all were, want at most 2", reported)
	}
}

// One executor cannot take all connections: beyond its share an attempt ends as failed to connect, and another
// executor still gets a connection.
func TestConnectionShareOfOneExecutor(t *testing.T) {
	lim := withShortAcks()
	lim.ExecutorConns, lim.SlowPeers.MinPerPeer, lim.SlowPeers.Alpha = 12, 2, 2
	c, s := newClient(t, lim)
	accepted := startRawExecutor(t, c, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for id := range uint64(12) {
		a := newAttempt(id + 1)
		a.Job.TraceID = "00000000000000" + string('a'+rune(id)) + "0"
		c.Send(a)
	}
	testenv.Until(t, "some attempts get no connection",
		func() bool { return c.slowPeers.Count(slowpeer.ExecutorOverShare) > 0 })
	testenv.Until(
		t,
		"the other attempts are in flight",
		func() bool { return accepted()+int(c.slowPeers.Count(slowpeer.ExecutorOverShare)) == 12 },
	)
	if n := accepted(); n < 6 || n > 9 {
		t.Errorf("one executor has %d of 12 connections, want 6 to 9", n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	b, err := testenv.NewExecutor(ctx, g, "s-8", "127.0.0.1:1", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEndpoint(8, node.Endpoint{Name: "s-8", Address: b.Addr, Status: "ready"}, time.Now())
	a := newAttempt(50)
	a.Executor = 8
	c.Send(a)
	testenv.Until(t, "another executor gets its job", func() bool { return len(b.Starts()) == 1 })
	if got := s.outcomes(50); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
