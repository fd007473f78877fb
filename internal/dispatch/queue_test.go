package dispatch

import "testing"

// A wide job worth more gets the tokens of several waiting ones that borrow and are worth less (recife rough-2).
func TestHigherValueJobPreemptsBorrowers(t *testing.T) {
	s := base()
	s.Classes[2].PriorityWeight = 3
	r := newRig(t, s, ready(7, 0))
	load := &r.d.endpoints.listed[0].load
	load.freeSlots, load.reportedAt, load.slots = 0, r.now, 4
	var small []Event
	for id := uint32(1); id <= 30; id++ {
		small = append(small, request(id, 0, 0, 1))
	}
	r.step(small...)
	if got := r.after(1, request(100, 0, 0, 2)); len(actionsOf(got, ActReject, 100)) != 1 {
		t.Fatal("a job worth no more than the others was let in although tokens lack")
	}
	got := r.after(1, request(101, 2, 0, 2))
	if len(actionsOf(got, ActReject, 101)) != 0 {
		t.Error("the worthier job was rejected")
	}
	refused := 0
	for _, a := range got {
		if a.Kind == ActReject {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d waiting jobs made place, want 2", refused)
	}
}

func TestJobWaitsForFreeSlot(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 1, r.now, 4
	if len(actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)) != 1 {
		t.Fatal("not sent although there was free slots")
	}
	if got := r.step(request(2, 0, 0, 1)); len(actionsOf(got, ActSend, 2)) != 0 {
		t.Fatal("sent without free slots")
	}
	if got := r.after(10, outcome(1, 0, 7, Served)); len(actionsOf(got, ActSend, 2)) != 1 {
		t.Error("not sent once there was free slots")
	}
}
