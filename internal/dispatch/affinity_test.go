package dispatch

import "testing"

// Jobs wait for an affinity candidate of their key, and the slots of jobs with a cache miss are limited.
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
	candidate := first[0].Executor
	r.d.endpoints.byID[candidate].load.freeSlots = 0
	e.Job = 2
	if got := r.step(e); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Error("job 2 did not wait for the candidate of its key")
	}
	r.d.affinity.fetchingSlots = 1000
	if got := r.after(900, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Error("job 2 was sent to a cache miss although the slots for cache misses are used up")
	}
	r.d.affinity.fetchingSlots = 0
	for _, executor := range r.d.endpoints.listed {
		executor.load.reportedAt = r.now
	}
	if got := r.after(20, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 2)) != 1 {
		t.Error("job 2 was not sent although slots for cache misses are free")
	}
}

// While a job waits for a candidate of its key, a node does not inspect a large fleet each tick, which would cost too
// much CPU. After its wait, the job is sent elsewhere.
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
		t.Fatal("job 1 was sent to another executor without waiting for a candidate")
	}
	if n := len(r.d.placement.inspected); n > len(probe.candidates) {
		t.Errorf("got %d executors inspected while the job waits for one of %d candidates", n, len(probe.candidates))
	}
	for range 30 {
		if len(actionsOf(r.after(40, Event{Kind: EvTimer}), ActSend, 1)) == 1 {
			return
		}
	}
	t.Error("job 1 was never sent although all other executors are idle")
}

// In a large cluster each node sees few requests. If a key's share were computed against more requests than a node has
// seen, hot keys would have two or three candidates for the first minute, the same ones at all nodes, and overload
// them (9 times the mean load at the busiest one).
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
			"got %d candidates of a key of every fourth job of 40 and %d of a key of one job, want 25 or more and 5 or fewer",
			hot,
			rare,
		)
	}
}
