package test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/testenv"
)

// runLoad runs clients that each submit a fixed number of jobs and returns their results.
func (s *testNode) runLoad(class, prefix string, clients, jobs int) *testenv.LoadResult {
	s.t.Helper()
	l := testenv.Load{Addr: s.listen, Clients: clients, Class: class, Deadline: 7500 * time.Millisecond, Objective: 7 * time.Second,
		Jobs: jobs, Prefix: prefix}
	return l.Run(s.ctx)
}

func (s *testNode) counts() gjson.Result {
	s.t.Helper()
	m, err := testenv.Call(s.listen, "GET", "/counts", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return gjson.ParseBytes(m.Body)
}

// checkCounts waits until all jobs have ended and checks that each accepted job is counted with one outcome and that no
// at-most-once job started twice.
func (s *testNode) checkCounts() {
	s.t.Helper()
	s.until("all jobs have ended", func() bool { return s.counts().Get("open").Int() == 0 })
	n := s.counts()
	sum := int64(0)
	for _, end := range []string{"served", "refused", "failed", "terminated", "gone"} {
		sum += n.Get(end).Int()
	}
	if n.Get("taken").Int() != sum {
		s.t.Errorf("the numbers of accepted and ended jobs differ: %s", n.Raw)
	}
	for id, l := range s.starts() {
		if len(l) > 1 && l[0].Target[:5] == "/tile" {
			s.t.Errorf("tile-charge job %s started %d times", id, len(l))
		}
	}
}

// addSlowProxy puts a proxy in front of executor i and lists the proxy's address as that of the executor.
func (s *testNode) addSlowProxy(i int, up, down testenv.Script) *testenv.SlowProxy {
	s.t.Helper()
	p, err := testenv.NewSlowProxy(s.ctx, s.g, s.executors[i].Addr, up, down, 1)
	if err != nil {
		s.t.Fatal(err)
	}
	s.executors[i].Addr = p.Addr
	s.discovery.Put(s.executors[i], "ready")
	return p
}

// startSlowPeers runs n slow peers of all kinds until stop is called, which returns the result of each.
func (s *testNode) startSlowPeers(n int) (stop func() []testenv.SlowPeerResult) {
	ctx, cancel := context.WithCancel(s.ctx)
	var g errgroup.Group
	var mu sync.Mutex
	var all []testenv.SlowPeerResult
	for i := range n {
		g.Go(func() error {
			e := testenv.SlowPeer(ctx, s.listen, testenv.SlowKinds[i%len(testenv.SlowKinds)], i, 7500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, e)
			return nil
		})
	}
	return func() []testenv.SlowPeerResult { cancel(); _ = g.Wait(); return all }
}

// Twenty slow peers of all kinds do not affect the other clients: at least 98% as many of their jobs are served as
// without slow peers. Each slow peer that submitted a job gets part of an answer or its connection closed, and each
// job is counted with one outcome.
func TestTwentySlowPeers(t *testing.T) {
	served := map[bool]int{}
	for _, withSlowPeers := range []bool{false, true} {
		s := newTestNode(t, 4, 30*time.Millisecond)
		for _, b := range s.executors {
			b.Set(func(h *testenv.Behavior) { h.ResultBytes, h.FreeSlots = 60000, 16 })
		}
		s.start()
		stop := func() []testenv.SlowPeerResult { return nil }
		if withSlowPeers {
			stop = s.startSlowPeers(20)
			s.until("the slow peers have submitted jobs", func() bool { return s.counts().Get("taken").Int() >= 8 })
		}
		d := s.runLoad("area-render", "10adc1e0", 5, 20)
		served[withSlowPeers] = d.Served
		if d.Total() != 100 || d.Incomplete != 0 || d.Failed != 0 {
			t.Errorf("with slow peers %v: %+v", withSlowPeers, d)
		}
		if withSlowPeers {
			s.until("the slow senders are disconnected", func() bool { return s.counts().Get("slow.client_sends").Int() >= 4 })
		}
		for _, e := range stop() {
			if e.JobSent && e.Bytes == 0 && !e.Closed {
				t.Errorf("a slow peer that submitted a job got no byte of an answer: %+v", e)
			}
		}
		s.checkCounts()
	}
	if served[true] < served[false]*98/100 {
		t.Errorf("%d of 100 jobs served with slow peers, %d without them", served[true], served[false])
	}
}

// An executor accepts jobs, sends its 202 at one byte per second and sends no callbacks. The other clients' jobs are
// served: those sent to it are retried elsewhere in its rack, and it soon gets no more jobs. Once it has recovered, it
// gets jobs again.
func TestSlowExecutorResponses(t *testing.T) {
	s := newTestNode(t, 5, 30*time.Millisecond)
	proxy := s.addSlowProxy(0, testenv.Script{}, testenv.Script{Rate: 1})
	s.executors[0].Set(func(h *testenv.Behavior) { h.NoCallbacks = true })
	s.start()
	d := s.runLoad("area-render", "10adc1e0", 4, 25)
	if d.Served < 98 || d.Incomplete+d.Failed > 0 {
		t.Errorf("%d of 100 jobs served with a slow executor: %+v", d.Served, d)
	}
	received := len(s.executors[0].Starts())
	if received == 0 {
		t.Fatal("the slow executor got no job: the run is inconclusive")
	}
	if received > 15 {
		t.Errorf("the slow executor got %d of 100 jobs, want at most 15", received)
	}
	if n := s.counts(); n.Get("slow.box_late").Int() == 0 {
		t.Errorf("slow.box_late was not counted: %s", n.Raw)
	}
	proxy.Set(testenv.Script{}, testenv.Script{})
	s.executors[0].Set(func(h *testenv.Behavior) { h.NoCallbacks = false })
	round := 0
	s.until("the recovered executor gets jobs again", func() bool {
		round++
		s.runLoad("area-render", fmt.Sprintf("10ad%04x", round), 12, 10) // more at a time than the other executors' slots
		return len(s.executors[0].Starts()) > received+10
	})
	s.checkCounts()
}

// An executor accepts connections and never sends a byte. A tile-charge job sent to it is not sent again and gets one
// answer.
func TestUnresponsiveExecutorAtMostOnce(t *testing.T) {
	s := newTestNode(t, 3, 20*time.Millisecond)
	s.addSlowProxy(0, testenv.Script{}, testenv.Script{Delay: time.Hour})
	s.executors[0].Set(func(h *testenv.Behavior) { h.NoCallbacks = true })
	s.start()
	d := s.runLoad("tile-charge", "10adc1e0", 4, 30)
	if d.Total() != 120 || d.Incomplete != 0 || d.Failed > len(s.executors[0].Starts()) || d.Served < 100 {
		t.Errorf("%+v, %d jobs were sent to the unresponsive executor", d, len(s.executors[0].Starts()))
	}
	s.checkCounts()
}

// All executors are slow at once. None is ejected for it, and the node keeps serving.
func TestAllExecutorsSlow(t *testing.T) {
	s := newTestNode(t, 3, 20*time.Millisecond)
	for i := range s.executors {
		s.addSlowProxy(i, testenv.Script{}, testenv.Script{Delay: 700 * time.Millisecond, Rate: 2000, Chunk: 8})
	}
	s.start()
	if d := s.runLoad("tile-charge", "10adc1e0", 6, 8); d.Served < 46 || d.Incomplete+d.Failed > 0 {
		t.Errorf("%+v", d)
	}
	s.checkCounts()
}

// A drain takes effect although attempts are receiving slow responses from the executor.
func TestDrainDuringSlowResponses(t *testing.T) {
	s := newTestNode(t, 2, 20*time.Millisecond)
	s.addSlowProxy(0, testenv.Script{}, testenv.Script{Rate: 1})
	s.start()
	var g errgroup.Group
	g.Go(func() error { s.runLoad("area-render", "10adc1e0", 4, 60); return nil })
	s.until("the executor that will drain has a job", func() bool { return len(s.executors[0].Starts()) > 0 })
	s.discovery.Put(s.executors[0], "draining")
	drainedAt := time.Now()
	_ = g.Wait()
	for _, x := range s.executors[0].Starts() {
		if late := x.At.Sub(drainedAt); late > 500*time.Millisecond {
			t.Errorf("job %s was sent %v after the drain was listed", x.ID, late)
		}
	}
	s.checkCounts()
}

// Three hundred slow peers connect to a node with a limit of 256 sockets and 32 MB. The node keeps serving, reloads on
// SIGHUP and exits on SIGTERM while they are connected.
func TestThreeHundredSlowPeers(t *testing.T) {
	s := newTestNode(t, 3, 20*time.Millisecond)
	s.sockets, s.memoryMB = 256, 32
	s.start()
	stop := s.startSlowPeers(300)
	defer stop()
	s.until("the node has accepted jobs", func() bool { // it may reject the connection that asks for the counts
		m, err := testenv.Call(s.listen, "GET", "/counts", nil)
		return err == nil && gjson.GetBytes(m.Body, "taken").Int() > 0
	})
	if err := s.process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	s.until("the node has reloaded its configuration", func() bool { return s.logContains("msg=reload") })
	d := s.runLoad("area-render", "10adc1e0", 5, 12)
	if d.Served < 50 {
		t.Errorf("%d of 60 jobs served with 300 slow peers: %+v", d.Served, d)
	}
	if err := s.terminate(); err != nil {
		t.Errorf("shutdown with slow peers: %v", err)
	}
}
