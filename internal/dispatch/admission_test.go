package dispatch

import "testing"

func TestAdmissionLimits(t *testing.T) {
	// The capacity is set to exactly 100 slots. The allowance for queued jobs would blur the bounds: an objective that is
	// very short against the work reduces it to nothing.
	s := base()
	s.Classes[0].Objective = 1e-9
	tests := []struct {
		name     string
		inflight [3]float64
		tenant   int
		slots    float64
		admit    bool
		borrowed bool
	}{
		{"within the reserved share", [3]float64{0, 0, 0}, 0, 1, true, false},
		{"up to the reserved share", [3]float64{34, 0, 0}, 0, 1, true, false},
		{"beyond the reserved share", [3]float64{35, 0, 0}, 0, 1, true, true},
		{"reserved share while the unreserved slots are used up", [3]float64{65, 0, 0}, 1, 21, true, false},
		{"unreserved slots used up", [3]float64{65, 1, 0}, 1, 21, false, true},
		{"first job beyond the reserved share", [3]float64{65, 0, 0}, 1, 22, true, false},
		{"unused reserved shares are not lent", [3]float64{65, 0, 0}, 0, 1, false, true},
		{"unused reserved shares of others do not offset borrowing", [3]float64{35, 51, 0}, 0, 1, false, true},
		{"limit of the smallest tenant reached", [3]float64{0, 0, 84}, 2, 1, false, false},
		{"job wider than the limit", [3]float64{0, 0, 0}, 2, 85, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := New(s, 1)
			if err != nil {
				t.Fatal(err)
			}
			d.capacity.slots, d.now = 100, 100000
			for i := range d.admission.tenants {
				d.admission.tenants[i].reservedSlots, d.admission.tenants[i].lastArrivalAt = tt.inflight[i], d.now
			}
			job := &job{tenant: tt.tenant, slots: tt.slots, work: 200}
			if got := d.admit(job); got != tt.admit {
				t.Fatalf("admit = %v, want %v", got, tt.admit)
			}
			if tt.admit && job.borrowed != tt.borrowed {
				t.Errorf("borrowed = %v, want %v", job.borrowed, tt.borrowed)
			}
		})
	}
}

func TestReservedSlotsAreReleasedOnce(t *testing.T) {
	ends := map[string]func(r *rig){
		"served": func(r *rig) { r.after(10, outcome(1, 0, 7, Served)) },
		"client disconnected": func(r *rig) {
			r.after(10, Event{Kind: EvClientDisconnected, Job: 1})
			r.after(10, outcome(1, 0, 7, Canceled))
		},
		"errored":           func(r *rig) { r.after(10, outcome(1, 0, 7, Errored)) },
		"duplicate outcome": func(r *rig) { r.after(10, outcome(1, 0, 7, Served), outcome(1, 0, 7, Served)) },
		"timeout":           func(r *rig) { r.after(6000, outcome(1, 0, 7, TimedOut)) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, base(), ready(7, 0))
			if len(actionsOf(r.step(request(1, 2, 0, 1)), ActSend, 1)) != 1 {
				t.Fatal("job 1 was not sent")
			}
			if got := r.d.admission.tenants[0].reservedSlots; got != 1 {
				t.Fatalf("got %v reserved slots, want 1", got)
			}
			end(r)
			if got := r.d.admission.tenants[0].reservedSlots; got != 0 {
				t.Errorf("got %v reserved slots after the end of the job, want 0", got)
			}
			if len(r.d.jobs.byID) != 0 || r.d.endpoints.listed[0].inFlight.slots != 0 {
				t.Errorf("got %d open jobs and %v slots in flight after the end, want none", len(r.d.jobs.byID),
					r.d.endpoints.listed[0].inFlight.slots)
			}
		})
	}
}

// During a flood of one tenant, its queued requests beyond the quota are preempted for requests of other tenants that
// are within their shares.
func TestOverQuotaRequestsArePreemptedFirst(t *testing.T) {
	s := base()
	for i := range s.Tenants {
		s.Tenants[i].Quota = 1
	}
	r := newRig(t, s, ready(7, 0))
	load := &r.d.endpoints.listed[0].load
	load.freeSlots, load.reportedAt, load.slots = 0, r.now, 4
	var flood []Event
	for id := uint32(1); id <= 60; id++ {
		flood = append(flood, request(id, 0, 0, 1))
	}
	r.step(flood...)
	over := 0
	for _, job := range r.d.jobs.queue {
		if job.overQuota {
			over++
		}
	}
	if over == 0 {
		t.Fatal("got no queued request of the flood that is over quota, want some")
	}
	before := len(r.d.jobs.queue)
	got := r.after(1, request(100, 0, 0, 1), request(101, 0, 1, 1))
	if len(actionsOf(got, ActReject, 101)) != 0 {
		t.Error("a request within its tenant's share was rejected during a flood of another tenant")
	}
	if len(r.d.jobs.queue) > before+2 {
		t.Errorf("got %d queued jobs, want requests of the flood to be preempted", len(r.d.jobs.queue))
	}
}

// Without a work hint, a job's objective is that of a short job: in a heavy-tailed distribution the mean is far above
// the work of most jobs.
func TestUnhintedObjectiveIsThatOfShortJob(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	e := request(1, 0, 0, 1)
	e.Flags, e.Work = 0, 0
	r.step(e)
	job := r.d.jobs.byID[1]
	mean := r.d.serviceTimes.classes[0].work
	latest := job.objectiveAt - job.work/r.d.serviceTimes.meanSpeed() - r.now // how long it may be queued
	if short := 400 + 2*unhintedWorkFactor*mean; latest >= short {
		t.Errorf("job may be queued for %v ms, want less than the objective of a short job, %v ms", latest, short)
	}
}

// With WeightByWork, a job without a work hint may wait for as long as the long jobs that carry most of the weight.
// Otherwise half of the weight of a burst would be rejected as too late while it could still be served in time.
func TestUnhintedObjectiveFollowsWeightsByWork(t *testing.T) {
	maxWait := func(byWork bool) float64 {
		s := base()
		s.WeightByWork = byWork
		r := newRig(t, s, ready(7, 0))
		e := request(1, 0, 0, 1)
		e.Flags, e.Work = 0, 0
		r.step(e)
		job := r.d.jobs.byID[1]
		return job.objectiveAt - job.work/r.d.serviceTimes.meanSpeed() - r.now
	}
	if each, work := maxWait(false), maxWait(true); work <= each {
		t.Errorf("job may be queued for %v ms with weights by work and %v ms without, want longer with", work, each)
	}
}

// The last slots are reserved for jobs of a higher value than the mean.
func TestTrunkReservation(t *testing.T) {
	s := base()
	s.Tenants, s.Classes[2].PriorityWeight = nil, 3
	r := newRig(t, s, ready(7, 0))
	r.d.capacity.slots, r.d.admission.meanValue = 10, 2
	r.d.admission.tenants[0].reservedSlots = 19 // of 20 slots
	if r.d.admit(&job{class: 0, slots: 1, value: 1}) {
		t.Error("a job below the mean value was admitted to the last slots")
	}
	if !r.d.admit(&job{class: 2, slots: 1, value: 3}) {
		t.Error("a job above the mean value was rejected although a slot is left")
	}
}

// The reserved share of a small tenant can be smaller than one wide job: its first job is admitted nevertheless.
func TestFirstJobOfSmallTenantIsAdmitted(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	r.d.capacity.slots = 4
	for i := range r.d.admission.tenants {
		r.d.admission.tenants[i].lastArrivalAt = r.now
	}
	r.d.admission.tenants[0].reservedSlots = 8 // all slots, and more than its reserved share
	if !r.d.admit(&job{tenant: 2, slots: 2, value: 1}) {
		t.Error("the first job of a small tenant was rejected")
	}
	r.d.admission.tenants[2].reservedSlots = 2
	if r.d.admit(&job{tenant: 2, slots: 2, value: 1}) {
		t.Error("the second job was admitted beyond the reserved share although another tenant uses the unreserved slots")
	}
	r.d.admission.tenants[2].reservedSlots = 0
	if r.d.admit(&job{tenant: 2, slots: 2, value: 1, overQuota: true}) {
		t.Error("a first job over quota was admitted beyond the reserved share")
	}
}
