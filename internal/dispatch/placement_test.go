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
		t.Errorf("got sends %v, want one to executor 8, which has the most free slots", got)
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
		t.Errorf("got sends per executor %v, want two to each", count)
	}
}

// A node that sees no free slots and holds less than its fair share does not starve: after a delay it sends one job to
// an executor without free slots.
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
		t.Error("job 1 was not sent although the node holds no slots")
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
		t.Errorf("got %d more sends, want at most one: an executor may hold only one unstarted job of this node", sent)
	}
}

// A job waits for an executor that reports enough free memory for it.
func TestFreeMemoryBoundsJobs(t *testing.T) {
	s := base()
	s.ReportFields = []ReportField{FieldFree, FieldMemory}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	for id, memory := range map[uint32]float32{7: 1, 8: 4} { // 7 has more slots, 8 has the memory
		executor := r.d.endpoints.byID[id]
		r.d.handleLoadReport(executor, []float32{float32(10 - id), memory})
		executor.inFlight.slots, executor.load.slots = 1, 8
	}
	wide := request(1, 0, 0, 1)
	wide.Memory = 3
	if got := actionsOf(r.step(wide), ActSend, 1); len(got) != 1 || got[0].Executor != 8 {
		t.Fatalf("got sends %v, want one to executor 8", got)
	}
	wide.Job = 2 // executor 8 has one unit left
	if got := actionsOf(r.step(wide), ActSend, 2); len(got) != 0 {
		t.Errorf("got sends %v, want none while no executor has enough memory", got)
	}
	if got := actionsOf(r.after(5, outcome(1, 0, 8, Served)), ActSend, 2); len(got) != 1 || got[0].Executor != 8 {
		t.Errorf("got sends %v after memory was released, want one to executor 8", got)
	}
}

// The zone prices of a request replace Fees.CrossZone: it goes to the zone of its data while that has free slots. A
// request without prices goes to the node's own zone.
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
				t.Errorf("request with zone prices %v was sent to executor %d, want %d", x.prices, a.Executor, x.want)
			}
		}
		r.after(50, outcome(id, 0, x.want, Served))
	}
}

// The number of executors that a placement round inspects in a large fleet does not depend on the fleet's size.
// Otherwise a node would run out of CPU, and all nodes would overload the one executor with the most free slots.
func TestLargeFleetIsSampled(t *testing.T) {
	for _, n := range []int{fullScanLimit, 400} {
		s := base()
		s.Nodes = 100
		r := newRig(t, s, fleet(n)...)
		r.step(request(1, 0, 0, 1))
		limit := n
		if n > fullScanLimit {
			limit = sampledExecutors + 2*len(r.d.reports.recentReporters)
		}
		if got := len(r.d.placement.inspected); got == 0 || got > limit {
			t.Errorf("got %d of %d executors inspected, want 1 to %d", got, n, limit)
		}
		if len(actionsOf(r.last, ActSend, 1)) != 1 {
			t.Errorf("job 1 was not sent although all %d executors are idle", n)
		}
	}
}

// The executor that served this node's last job has an open connection and is always inspected, which saves
// handshakes.
func TestRecentlyUsedExecutorIsInspected(t *testing.T) {
	s := base()
	s.Nodes, s.Fees.Handshake, s.Telemetry = 100, 0.5, ReportHealthChecks
	r := newRig(t, s, fleet(400)...)
	sent := actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)
	if len(sent) != 1 {
		t.Fatal("job 1 was not sent")
	}
	first := sent[0].Executor
	r.after(100, outcome(1, 0, first, Served))
	for id := uint32(2); id < 12; id++ {
		got := actionsOf(r.after(100, request(id, 0, 0, 1)), ActSend, id)
		if len(got) != 1 || got[0].Executor != first {
			t.Fatalf("job %d: got sends %v, want one to executor %d, where a connection is open", id, got, first)
		}
		r.after(50, outcome(id, 0, first, Served))
	}
}

// A node that considers all executors full and has nothing in flight receives no more load reports in outcomes, and
// would never send again: it sends a job to an executor without free slots, however small its share of the fleet is.
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
	t.Error("job 1 was never sent although the node holds no slots")
}
