package dispatch

import "testing"

// Tests of where a job is sent, and when it is held.

func TestSlowStartBudget(t *testing.T) {
	s := base()
	s.Balancers = 2
	cold := ready(7, 0)
	cold.Born = 100000 // the rig's first moment
	r := newRig(t, s, cold)
	r.d.endpoints.listed[0].load.slots, r.d.capacity.kindSlots[0] = 4, 4
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	// In any window no more than our part of the budget, by what it has at the end of it, and one job at its edge.
	type send struct{ at, cost float64 }
	var sends []send
	for id := uint32(1); r.now < 100000+s.WarmWithin; id++ {
		e := request(id, 0, 0, 1)
		e.Work = 700
		events := []Event{e}
		for _, a := range r.last {
			if a.Kind == ActSend {
				events = append(events, outcome(a.Job, 0, 7, Served))
			}
		}
		for _, a := range r.after(100, events...) {
			if a.Kind == ActSend {
				sends = append(sends, send{r.now, 700})
			}
		}
		sum := 0.0
		for _, x := range sends {
			if r.now-x.at <= s.Fall {
				sum += x.cost
			}
		}
		share := s.ColdFrom + (1-s.ColdFrom)*(r.now-100000)/s.WarmWithin
		if most := 0.5*s.FallMultiple*share*4*s.Fall + 700; sum > most {
			t.Fatalf("%.0f ms of work sent in a window at %.0f, want %.0f at most", sum, r.now, most)
		}
	}
	if len(sends) < 10 {
		t.Errorf("%d jobs sent to a worker while it warms, want 10", len(sends))
	}
}

func TestJobIsHeldUntilASlotIsFree(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 1, r.now, 4
	if len(actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)) != 1 {
		t.Fatal("not sent although there was room")
	}
	if got := r.step(request(2, 0, 0, 1)); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Fatal("sent without room")
	}
	if got := r.after(10, outcome(1, 0, 7, Served)); len(actionsOf(got, ActSend, 2)) != 1 {
		t.Error("not sent once there was room")
	}
}

func TestExecutorWithMostFreeSlotsFirst(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0), ready(9, 0))
	for i, free := range []float64{1, 4, 2} {
		executor := r.d.endpoints.listed[i]
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = free, r.now, 4
	}
	got := actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)
	if len(got) != 1 || got[0].Worker != 8 {
		t.Errorf("sent to %v, want the roomiest, 8", got)
	}
}

func TestFewestInFlightWithoutReports(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0))
	count := map[uint32]int{}
	for id := uint32(1); id <= 4; id++ {
		for _, a := range actionsOf(r.step(request(id, 0, 0, 1)), ActSend, id) {
			count[a.Worker]++
		}
	}
	if count[7] != 2 || count[8] != 2 {
		t.Errorf("sent %v, want two to each", count)
	}
}

// Failures found on the bench, one test each.

// Free slots behind a wide job at the head of a queue are nobody's (icdebae).
func TestQueueBehindAWideJob(t *testing.T) {
	s := base()
	s.Fields = []Field{FieldFree, FieldBusy}
	r := newRig(t, s, ready(7, 0))
	r.step(request(1, 0, 0, 4)) // there are wide jobs
	r.d.endpoints.listed[0].load.slots = 4
	r.after(10, outcome(1, 0, 7, Served, 2, 6)) // 2 free of 4, yet 6 held: 4 are queued
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room > 0 {
		t.Errorf("room %v on a worker with a queue", room)
	}
	r.after(2000, request(2, 0, 0, 1))
	r.after(10, outcome(2, 0, 7, Served, 2, 2))
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room < 1 {
		t.Errorf("room %v on a worker with 2 free slots and no queue", room)
	}
}

// A job of ours that was not started says there is no room (icb5b2f).
func TestUnstartedJobMeansNoFreeSlot(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	r.step(request(1, 0, 0, 1))
	r.d.now += 400
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room > 0 {
		t.Errorf("room %v although our job waits there", room)
	}
	r.step(Event{Kind: EvNote, Job: 1, Worker: 7, Topic: NoteStarted})
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room < 1 {
		t.Errorf("room %v after our job started", room)
	}
}

// Jobs wait for a home of their key, and those that must fetch stay within a pool (icb5b2f, id3d613).
func TestCacheFetchPool(t *testing.T) {
	s := base()
	s.Fees.Origin = 0.1
	rows := []Row{ready(7, 0), ready(8, 0), ready(9, 0), ready(10, 0), ready(11, 0), ready(12, 0)}
	r := newRig(t, s, rows...)
	for _, executor := range r.d.endpoints.listed {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4, r.now, 4
	}
	e := request(1, 0, 0, 1)
	e.Key = 5
	first := actionsOf(r.step(e), ActSend, 1)
	home := first[0].Worker
	r.d.endpoints.byID[home].load.freeSlots = 0
	e.Job = 2
	if got := r.step(e); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Error("did not wait for the home of its key")
	}
	r.d.affinity.fetchingSlots = 1000
	if got := r.after(900, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Error("fetched although the pool was full")
	}
	r.d.affinity.fetchingSlots = 0
	for _, executor := range r.d.endpoints.listed {
		executor.load.reportedAt = r.now
	}
	if got := r.after(20, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 2)) != 1 {
		t.Error("still waits although the pool has room")
	}
}

// Without a fresh report no node takes more than its blind part of a worker (i9622f9).
func TestShareWithoutReports(t *testing.T) {
	s := base()
	s.Balancers = 4
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.softLimit, executor.load.reportedAt = 4, 20, 1
	if room := r.d.availableSlots(executor); room != 2 {
		t.Errorf("room %v without a fresh report, want 2: twice an even part of 4 slots", room)
	}
}

func TestPeersTakeSlots(t *testing.T) {
	s := base()
	s.Balancers, s.MayTell = 2, true
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.freeSlots, executor.load.reportedAt = 4, 4, r.now
	r.step(Event{Kind: EvPeer, From: 1, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 3}})
	if room := r.d.availableSlots(executor); room != 1 {
		t.Errorf("room %v, want 1: the other node has 3 of 4 slots out", room)
	}
	r.step(Event{Kind: EvPeer, From: 1, Data: []byte{1}}, Event{Kind: EvPeer, From: 77, Data: []byte{1, 2, 3}},
		Event{Kind: EvPeer, From: 0, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 200}})
	if room := r.d.availableSlots(executor); room != 4 {
		t.Errorf("room %v, want 4: nothing out by the last good message", room)
	}
	r.after(60000, Event{Kind: EvTimer})
	if r.d.peerLoadsKnown() {
		t.Error("a node not heard of for a minute still counts as known")
	}
}

// Without reports a job wider than what workers were tried with is still sent (a copy of nordeste without any).
func TestWideJobWithoutReports(t *testing.T) {
	s := base()
	s.Telemetry, s.Fields, s.TellsStart = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0), ready(8, 0), ready(9, 0))
	if got := r.step(request(1, 0, 0, 4)); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("held although no worker has anything of ours")
	}
}

// A node that sees no room and has less than its part of the slots out is not starved for good (iaba16b).
func TestStarvedNodeSpeculates(t *testing.T) {
	s := base()
	s.Balancers = 2
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	for _, executor := range r.d.endpoints.listed {
		executor.load.slots, executor.load.freeSlots, executor.load.reportedAt = 4, -3, r.now
	}
	if got := r.step(request(1, 0, 0, 1)); len(actionsOf(got, ActSend, 1)) != 0 {
		t.Fatal("sent at once although no worker has room")
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
		t.Errorf("%d more sent, want one at most: no more than one of ours may stand unstarted at a worker", sent)
	}
}

// Memory that workers tell is room as well: a job waits for a worker that has enough of it.
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
	if got := actionsOf(r.step(wide), ActSend, 1); len(got) != 1 || got[0].Worker != 8 {
		t.Fatalf("sent %v, want worker 8", got)
	}
	wide.Job = 2 // worker 8 has one unit left
	if got := actionsOf(r.step(wide), ActSend, 2); len(got) != 0 {
		t.Errorf("sent %v where no worker has the memory", got)
	}
	if got := actionsOf(r.after(5, outcome(1, 0, 8, Served)), ActSend, 2); len(got) != 1 || got[0].Worker != 8 {
		t.Errorf("sent %v after memory came back, want worker 8", got)
	}
}

// Where a connection carries several attempts, only the first of them needs a new one.
func TestSharedConnectionNeedsNoHandshake(t *testing.T) {
	for _, tt := range []struct {
		multiplex int
		warm      []bool // for the second, third and fourth attempt while the first is out
	}{{1, []bool{false, false, false}}, {3, []bool{true, true, false}}} {
		s := base()
		s.Multiplex = tt.multiplex
		r := newRig(t, s, ready(7, 0))
		executor := r.d.endpoints.byID[7]
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 9, r.now, 9
		r.step(request(1, 0, 0, 1))
		executor.connections.opening = 0 // its connection stands
		r.d.jobs.byID[1].attempts[0].openedConnection = false
		for i, want := range tt.warm {
			if got := r.d.hasOpenConnection(executor); got != want {
				t.Errorf("multiplex %d, %d out: warm %v, want %v", tt.multiplex, i+1, got, want)
			}
			r.after(1, Event{Kind: EvNote, Job: uint32(i + 1), Topic: NoteStarted}, request(uint32(i+2), 0, 0, 1))
			executor.connections.opening = 0
		}
	}
}

// A request's own prices of zones stand in the place of the price of crossing: where its data are is where it goes
// while there is room, and a request without any goes as it always did.
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
		e.Prices = x.prices
		for _, a := range r.after(50, e) {
			if a.Kind == ActSend && a.Worker != x.want {
				t.Errorf("with prices %v it goes to worker %d, want %d", x.prices, a.Worker, x.want)
			}
		}
		r.after(50, outcome(id, 0, x.want, Served))
	}
}
