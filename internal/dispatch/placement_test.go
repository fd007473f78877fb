package dispatch

import "testing"

func TestPrefersExecutorWithMostFreeSlots(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0), ready(9, 0))
	for i, free := range []float64{1, 4, 2} {
		executor := r.d.endpoints.listed[i]
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = free, r.now, 4
	}
	got := actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)
	if len(got) != 1 || got[0].Executor != 8 {
		t.Errorf("sent to %v, want the roomiest, 8", got)
	}
}

func TestPrefersFewestInFlightWithoutReports(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0))
	count := map[uint32]int{}
	for id := uint32(1); id <= 4; id++ {
		for _, a := range actionsOf(r.step(request(id, 0, 0, 1)), ActSend, id) {
			count[a.Executor]++
		}
	}
	if count[7] != 2 || count[8] != 2 {
		t.Errorf("sent %v, want two to each", count)
	}
}

// A node that sees no free slots and has less than its part of the slots out is not starved for good (iaba16b).
func TestStarvedNodeSpeculates(t *testing.T) {
	s := base()
	s.Nodes = 2
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	for _, executor := range r.d.endpoints.listed {
		executor.load.slots, executor.load.freeSlots, executor.load.reportedAt = 4, -3, r.now
	}
	if got := r.step(request(1, 0, 0, 1)); len(actionsOf(got, ActSend, 1)) != 0 {
		t.Fatal("sent at once although no executor has free slots")
	}
	for _, executor := range r.d.endpoints.listed {
		executor.load.reportedAt = r.now + 400
	}
	if got := r.after(400, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("held although the node has nothing of its part out")
	}
	sent := 0
	for id := uint32(2); id <= 12; id++ {
		r.step(request(id, 0, 0, 1))
	}
	for _, a := range r.after(400, Event{Kind: EvTimer}) {
		if a.Kind == ActSend {
			sent++
		}
	}
	if sent > 1 {
		t.Errorf("%d more sent, want one at most: no more than one of ours may stand unstarted at an executor", sent)
	}
}

// Free memory that executors report bounds what is sent: a job waits for an executor that has enough of it.
func TestFreeMemoryBoundsJobs(t *testing.T) {
	s := base()
	s.Fields = []Field{FieldFree, FieldMemory}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	for id, memory := range map[uint32]float32{7: 1, 8: 4} { // 7 has more slots, 8 has the memory
		executor := r.d.endpoints.byID[id]
		r.d.handleLoadReport(executor, []float32{float32(10 - id), memory})
		executor.inFlight.slots, executor.load.slots = 1, 8
	}
	wide := request(1, 0, 0, 1)
	wide.Memory = 3
	if got := actionsOf(r.step(wide), ActSend, 1); len(got) != 1 || got[0].Executor != 8 {
		t.Fatalf("sent %v, want executor 8", got)
	}
	wide.Job = 2 // executor 8 has one unit left
	if got := actionsOf(r.step(wide), ActSend, 2); len(got) != 0 {
		t.Errorf("sent %v where no executor has the memory", got)
	}
	if got := actionsOf(r.after(5, outcome(1, 0, 8, Served)), ActSend, 2); len(got) != 1 || got[0].Executor != 8 {
		t.Errorf("sent %v after memory came back, want executor 8", got)
	}
}

// A request's own prices of zones stand in the place of the price of crossing: where its data are is where it goes
// while there are free slots, and a request without any goes as it always did.
func TestZonePrices(t *testing.T) {
	s := base()
	s.Fees.CrossZone = 0.1
	far, near := ready(1, 0), ready(2, 0)
	far.Zone = 1
	r := newRig(t, s, far, near)
	for id, x := range map[uint32]struct {
		prices []float64
		want   uint32
	}{1: {[]float64{2, 0}, 1}, 2: {nil, 2}, 3: {[]float64{0, 2}, 2}} {
		e := request(id, 0, 0, 1)
		e.ZonePrices = x.prices
		for _, a := range r.after(50, e) {
			if a.Kind == ActSend && a.Executor != x.want {
				t.Errorf("with prices %v it goes to executor %d, want %d", x.prices, a.Executor, x.want)
			}
		}
		r.after(50, outcome(id, 0, x.want, Served))
	}
}

// Of a large fleet no more executors are inspected than have a reason and some drawn ones, whatever its size: else
// a node needs more CPU than it has, and all nodes storm the same roomiest executor (recife later big-1).
func TestLargeFleetIsSampled(t *testing.T) {
	for _, n := range []int{fullScanLimit, 400} {
		s := base()
		s.Nodes = 100
		r := newRig(t, s, fleet(n)...)
		r.step(request(1, 0, 0, 1))
		most := n
		if n > fullScanLimit {
			most = sampledExecutors + 2*len(r.d.reports.recentReporters)
		}
		if got := len(r.d.placement.inspected); got == 0 || got > most {
			t.Errorf("%d executors inspected of %d, want 1 to %d", got, n, most)
		}
		if len(actionsOf(r.last, ActSend, 1)) != 1 {
			t.Errorf("not sent although all of %d executors are idle", n)
		}
	}
}

// The executor that served us last has an open connection and is always inspected (nordeste later: handshakes).
func TestRecentlyUsedExecutorIsInspected(t *testing.T) {
	s := base()
	s.Nodes, s.Fees.Handshake, s.Telemetry = 100, 0.5, ReportHealthChecks
	r := newRig(t, s, fleet(400)...)
	sent := actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)
	if len(sent) != 1 {
		t.Fatal("not sent")
	}
	first := sent[0].Executor
	r.after(100, outcome(1, 0, first, Served))
	for id := uint32(2); id < 12; id++ {
		got := actionsOf(r.after(100, request(id, 0, 0, 1)), ActSend, id)
		if len(got) != 1 || got[0].Executor != first {
			t.Fatalf("job %d: %v, want one send to %d, where a connection is open", id, got, first)
		}
		r.after(50, outcome(id, 0, first, Served))
	}
}

// A node that takes all for full and has nothing out hears nothing and would stay so for good: it queues a job
// where it has none, however small its part of the fleet is (ceara later big-2).
func TestStarvedNodeOfLargeFleetSpeculates(t *testing.T) {
	s := base()
	s.Nodes = 200
	r := newRig(t, s, fleet(200)...)
	r.d.capacity.kindSlots[0] = 4
	for i, executor := range r.d.endpoints.listed {
		executor.load.slots = 4
		r.d.handleLoadReport(executor, []float32{float32(i%2) * 0.01})
		executor.load.freeSlots = -3
	}
	if got := r.step(request(1, 0, 0, 1)); len(actionsOf(got, ActSend, 1)) != 0 {
		t.Fatal("sent at once although no executor has free slots")
	}
	for range 20 {
		if len(actionsOf(r.after(40, Event{Kind: EvTimer}), ActSend, 1)) == 1 {
			return
		}
	}
	t.Error("held for good although the node has nothing of its part out")
}
