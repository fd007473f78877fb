package dispatch

import "testing"

// A wide job of a higher value preempts several queued jobs of a lower value that borrow slots.
func TestHigherValueJobPreemptsBorrowers(t *testing.T) {
	s := base()
	s.Classes[2].PriorityWeight = 3
	r := newRig(t, s, ready(7, 0))
	load := &r.d.endpoints.listed[0].load
	load.freeSlots, load.reportedAt, load.slots = 0, r.now, 4
	var requests []Event
	for id := uint32(1); id <= 30; id++ {
		requests = append(requests, request(id, 0, 0, 1))
	}
	r.step(requests...)
	if got := r.after(1, request(100, 0, 0, 2)); len(actionsOf(got, ActReject, 100)) != 1 {
		t.Fatal("a job of the same value as the queued ones was admitted without free slots")
	}
	got := r.after(1, request(101, 2, 0, 2))
	if len(actionsOf(got, ActReject, 101)) != 0 {
		t.Error("the job of a higher value was rejected")
	}
	rejected := 0
	for _, a := range got {
		if a.Kind == ActReject {
			rejected++
		}
	}
	if rejected != 2 {
		t.Errorf("got %d preempted jobs, want 2", rejected)
	}
}

func TestJobWaitsForFreeSlot(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 1, r.now, 4
	if len(actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)) != 1 {
		t.Fatal("job 1 was not sent although a slot was free")
	}
	if got := r.step(request(2, 0, 0, 1)); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Fatal("job 2 was sent without a free slot")
	}
	if got := r.after(10, outcome(1, 0, 7, Served)); len(actionsOf(got, ActSend, 2)) != 1 {
		t.Error("job 2 was not sent once a slot was free")
	}
}
