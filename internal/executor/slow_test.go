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

// hasty are limits under which a box is late after 50 ms.
func withShortAcks() limits.Limits {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.Pace.Acks = slowpeer.AckRule{
		MinTimeout:    50 * time.Millisecond,
		MaxTimeout:    200 * time.Millisecond,
		BoundMultiple: 3,
		ActiveWindow:  time.Minute,
		MaxLateShare:  0.5,
	}
	return lim
}

// late counts how often the sink was told that a box owes a sign of an attempt.
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

// A box that says nothing, or lets its 202 drip, is told of as late, once. The attempt is not let go for it: the result
// that comes by callback is its one outcome.
func TestLateBox(t *testing.T) {
	for name, script := range map[string]func(net.Conn){
		"says nothing": func(c net.Conn) {
			r := bufio.NewReader(c)
			_, _ = readRequest(r)
			_, _ = r.ReadByte() // until the other side closes
		},
		"drips": func(c net.Conn) {
			_, _ = readRequest(bufio.NewReader(c))
			for i := range 12 { // "HTTP/1.1 202", and no end of the line
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
			testenv.Until(t, "the word of it", func() bool { return s.overdueNotes(1) > 0 })
			time.Sleep(300 * time.Millisecond) // longer than it takes to be told again, were it told again
			if got := s.outcomes(1); len(got) != 0 || s.overdueNotes(1) != 1 {
				t.Errorf("told %d times, outcomes %v", s.overdueNotes(1), got)
			}
			for range 3 {
				if err := c.Callback([]byte(doneCallback)); err != nil && !errors.Is(err, ErrUnknownAttempt) { // repeats of one that ended
					t.Error(err)
				}
			}
			if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served || c.acks.estimates.LateCount("s-7") != 0 {
				t.Errorf("%v, %d still owed", got, c.acks.estimates.LateCount("s-7"))
			}
		})
	}
}

// A callback is a sign of its own: a job that was told started is not late, however late its 202.
func TestCallbackIsASign(t *testing.T) {
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
	testenv.Until(t, "the start is taken", func() bool {
		_ = c.Callback([]byte(`{"id":"00000000000000aa","from":"s-7","state":"started"}`))
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.results) > 0
	})
	time.Sleep(400 * time.Millisecond)
	if s.overdueNotes(1) != 0 || len(s.outcomes(1)) != 0 {
		t.Errorf("late %d times, outcomes %v", s.overdueNotes(1), s.outcomes(1))
	}
}

// The first line of a 202 says that the box has the job. The rest may drip: its connection is let go below the least
// rate and counted, and the attempt goes on to its result.
func TestRestOfA202Drips(t *testing.T) {
	lim := withShortAcks()
	lim.Pace.ExecutorIn = slowpeer.MinRate{BytesPerSecond: 1 << 20, Grace: 60 * time.Millisecond}
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
	if got := s.outcomes(1); len(got) != 0 || s.overdueNotes(1) != 0 || c.slowPeers.Count(slowpeer.ExecutorSendsSlowly) != 1 {
		t.Errorf("outcomes %v, late %d, drips %d", got, s.overdueNotes(1), c.slowPeers.Count(slowpeer.ExecutorSendsSlowly))
	}
	_ = c.Callback([]byte(doneCallback))
	if got := s.outcomes(1); len(got) != 1 || got[0] != dispatch.Served {
		t.Errorf("%v", got)
	}
}

// A box whose machine takes no more of a request before its last byte never ran it: the attempt could not connect, well
// before the client's time is over, whether the write itself stalls or the kernel holds what the box's does not take.
func TestBoxThatDoesNotRead(t *testing.T) {
	for name, size := range map[string]int{"the kernel takes all": 60 << 10, "the write stalls": 32 << 20} {
		t.Run(name, func(t *testing.T) {
			lim := withShortAcks()
			lim.Pace.ExecutorOut = slowpeer.MinRate{BytesPerSecond: 1 << 30, Grace: 100 * time.Millisecond}
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
				t.Errorf("%v, %s", got, c.slowPeers.JSON())
			}
			release <- true
		})
	}
}

// smallBuffer makes a listener's connections take little, which they inherit from it.
func smallBuffer(t *testing.T, ln net.Listener) {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { _ = setReceiveBuffer(fd, 2048) })
}

// All boxes late at once are told of as a crowd, and none of them to the module; the one that is late alone is.
func TestCrowdOfLateBoxes(t *testing.T) {
	c, s := newClient(t, withShortAcks())
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	for i := range uint32(4) {
		b, err := testenv.NewBox(ctx, g, "s-"+string('a'+rune(i)), "127.0.0.1:1", time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		b.Set(func(h *testenv.Behaviour) { h.Mute = true })
		slow, err := testenv.NewSlow(ctx, g, b.Addr, testenv.Script{}, testenv.Script{Delay: time.Hour}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.UpdateEndpoint(20+i, node.Endpoint{Name: b.Name, Address: slow.Addr, Status: "ready"}, time.Now())
	}
	var mu sync.Mutex
	told := 0
	for i := range uint64(4) {
		a := newAttempt(i + 1)
		a.Executor, a.Job.TraceID = 20+uint32(i), "00000000000000a"+string('0'+rune(i))
		c.Send(a)
	}
	testenv.Until(t, "the crowd is seen", func() bool { return c.slowPeers.Count(slowpeer.MostAcksLate) >= 8 })
	mu.Lock()
	defer mu.Unlock()
	for i := range uint64(4) {
		told += s.overdueNotes(i + 1)
	}
	// The first one or two come due while the others are not late yet; from then on nobody is told of.
	if told > 2 {
		t.Errorf("%d of 4 boxes told of as late, while all were", told)
	}
}

// One box cannot hold all connections: past its share an attempt could not connect, and another box still gets one.
func TestBoxShare(t *testing.T) {
	lim := withShortAcks()
	lim.WorkerConns, lim.Pace.MinPerPeer, lim.Pace.Alpha = 12, 2, 2
	c, s := newClient(t, lim)
	accepted := startRawExecutor(t, c, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for id := range uint64(12) {
		a := newAttempt(id + 1)
		a.Job.TraceID = "00000000000000" + string('a'+rune(id)) + "0"
		c.Send(a)
	}
	testenv.Until(t, "some are held back", func() bool { return c.slowPeers.Count(slowpeer.ExecutorOverShare) > 0 })
	testenv.Until(
		t,
		"the others are out",
		func() bool { return accepted()+int(c.slowPeers.Count(slowpeer.ExecutorOverShare)) == 12 },
	)
	if n := accepted(); n < 6 || n > 9 {
		t.Errorf("one box holds %d of 12 connections", n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &errgroup.Group{}
	defer func() { cancel(); _ = g.Wait() }()
	b, err := testenv.NewBox(ctx, g, "s-8", "127.0.0.1:1", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateEndpoint(8, node.Endpoint{Name: "s-8", Address: b.Addr, Status: "ready"}, time.Now())
	a := newAttempt(50)
	a.Executor = 8
	c.Send(a)
	testenv.Until(t, "another box gets its job", func() bool { return len(b.Starts()) == 1 })
	if got := s.outcomes(50); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
