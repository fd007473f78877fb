package dispatch

import "testing"

// Jobs wait for a home of their key, and those that must fetch stay within a pool (icb5b2f, id3d613).
func TestCacheFetchLimit(t *testing.T) {
	s := base()
	s.Fees.Origin = 0.1
	rows := []EndpointUpdate{ready(7, 0), ready(8, 0), ready(9, 0), ready(10, 0), ready(11, 0), ready(12, 0)}
	r := newRig(t, s, rows...)
	for _, executor := range r.d.endpoints.listed {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4, r.now, 4
	}
	e := request(1, 0, 0, 1)
	e.Key = 5
	first := actionsOf(r.step(e), ActSend, 1)
	home := first[0].Executor
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
		t.Error("still waits although the pool has free slots")
	}
}

// A job that waits for a home of its key does not look at a large fleet each tick, and still gets elsewhere when
// it has waited its part (recife later: CPU).
func TestOnlyCandidatesAreInspectedWhileWaiting(t *testing.T) {
	s := base()
	s.Nodes = 100
	r := newRig(t, s, fleet(100)...)
	j := request(1, 0, 0, 1)
	j.Key = 77
	r.d.affinity.keyTotal = keyCountWindow // the key is a rare one
	probe := &job{key: 77, slots: 1, work: 200}
	r.d.findAffinityCandidates(probe)
	for _, executor := range probe.candidates {
		executor.load.rejectedUntil = r.now + 1e6
	}
	if got := actionsOf(r.step(j), ActSend, 1); len(got) != 0 {
		t.Fatal("sent astray at once")
	}
	if n := len(r.d.placement.inspected); n > len(probe.candidates) {
		t.Errorf("%d executors inspected while it waits for one of %d candidates", n, len(probe.candidates))
	}
	for range 30 {
		if len(actionsOf(r.after(40, Event{Kind: EvTimer}), ActSend, 1)) == 1 {
			return
		}
	}
	t.Error("never sent elsewhere although all others are idle")
}

// A node of many sees few requests: were a key's share taken of more than it has seen, hot keys would stay on two or
// three candidates for a minute, as at all other nodes, and storm them (recife later h238d8e: busiest 9 times the
// mean).
func TestHotKeysSpreadAtNodesWithLittleTraffic(t *testing.T) {
	s := base()
	s.Nodes = 150
	r := newRig(t, s, fleet(150)...)
	for id := uint32(1); id <= 40; id++ {
		job := request(id, 0, 0, 1)
		job.Key = uint64(1000 + id)
		if id%4 == 0 {
			job.Key = 7
		}
		r.after(200, job)
		if sent := actionsOf(r.last, ActSend, id); len(sent) == 1 && id < 39 {
			r.after(10, outcome(id, 0, sent[0].Executor, Served))
		}
	}
	hot, rare := len(r.d.jobs.byID[40].candidates), len(r.d.jobs.byID[39].candidates)
	if hot < 25 || rare > 5 {
		t.Errorf(
			"%d candidates of a key that every fourth job of 40 asks for, %d of one asked for once; want 25 at least, 5 at most",
			hot,
			rare,
		)
	}
}
