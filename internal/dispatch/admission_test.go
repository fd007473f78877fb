package dispatch

import "testing"

func TestAdmissionLimits(t *testing.T) {
	// Capacity is set by hand: 100 slots with half of them again allowed to wait would blur the bounds, so
	// the aim is made short against the work and the wait allowance goes to nothing.
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
		{"within the reservation", [3]float64{0, 0, 0}, 0, 1, true, false},
		{"up to the reservation", [3]float64{34, 0, 0}, 0, 1, true, false},
		{"past the reservation", [3]float64{35, 0, 0}, 0, 1, true, true},
		{"reservation before a full remainder", [3]float64{65, 0, 0}, 1, 21, true, false},
		{"remainder used up", [3]float64{65, 1, 0}, 1, 21, false, true},
		{"a first job past the reservation", [3]float64{65, 0, 0}, 1, 22, true, false},
		{"unused reservations lend nothing", [3]float64{65, 0, 0}, 0, 1, false, true},
		{"others' unused reservations do not hide borrowing", [3]float64{35, 51, 0}, 0, 1, false, true},
		{"limit of the smallest tenant", [3]float64{0, 0, 84}, 2, 1, false, false},
		{"a job over the limit", [3]float64{0, 0, 0}, 2, 85, false, false},
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
		"gone": func(r *rig) {
			r.after(10, Event{Kind: EvClientDisconnected, Job: 1})
			r.after(10, outcome(1, 0, 7, Canceled))
		},
		"errored": func(r *rig) { r.after(10, outcome(1, 0, 7, Errored)) },
		"twice":   func(r *rig) { r.after(10, outcome(1, 0, 7, Served), outcome(1, 0, 7, Served)) },
		"timeout": func(r *rig) { r.after(6000, outcome(1, 0, 7, TimedOut)) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, base(), ready(7, 0))
			if len(actionsOf(r.step(request(1, 2, 0, 1)), ActSend, 1)) != 1 {
				t.Fatal("not sent")
			}
			if got := r.d.admission.tenants[0].reservedSlots; got != 1 {
				t.Fatalf("in flight %v, want 1", got)
			}
			end(r)
			if got := r.d.admission.tenants[0].reservedSlots; got != 0 {
				t.Errorf("in flight %v after the end, want 0", got)
			}
			if len(r.d.jobs.byID) != 0 || r.d.endpoints.listed[0].inFlight.slots != 0 {
				t.Errorf("left behind: %d jobs, %v slots", len(r.d.jobs.byID), r.d.endpoints.listed[0].inFlight.slots)
			}
		})
	}
}

// A flooding tenant's requests beyond its share make place for those within a share (recife rough-2).
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
		t.Fatal("no waiting request of the flood counts as beyond its share")
	}
	before := len(r.d.jobs.queue)
	got := r.after(1, request(100, 0, 0, 1), request(101, 0, 1, 1))
	if len(actionsOf(got, ActReject, 101)) != 0 {
		t.Error("a request within its share was rejected in a flood of another tenant")
	}
	if len(r.d.jobs.queue) > before+2 {
		t.Errorf("%d wait, want the flood's to make place", len(r.d.jobs.queue))
	}
}

// Without a hint the aim is that of a short job: heavy tails put the mean far over most jobs (i6b19c9).
func TestUnhintedObjectiveIsThatOfShortJob(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	e := request(1, 0, 0, 1)
	e.Flags, e.Work = 0, 0
	r.step(e)
	job := r.d.jobs.byID[1]
	mean := r.d.serviceTimes.classes[0].work
	latest := job.objectiveAt - job.work/r.d.serviceTimes.meanSpeed() - r.now // how long it may be held
	if short := 400 + 2*unhintedWorkFactor*mean; latest >= short {
		t.Errorf("held for up to %v ms, want less than a short job's aim of %v", latest, short)
	}
}

// Where worth goes by work, a job without a hint may wait for as long as one of those that carry the worth could:
// else half of a burst's worth is put out of the queue as too late while it would still be in time.
func TestUnhintedObjectiveFollowsWeightsByWork(t *testing.T) {
	held := func(byWork bool) float64 {
		s := base()
		s.WeightByWork = byWork
		r := newRig(t, s, ready(7, 0))
		e := request(1, 0, 0, 1)
		e.Flags, e.Work = 0, 0
		r.step(e)
		job := r.d.jobs.byID[1]
		return job.objectiveAt - job.work/r.d.serviceTimes.meanSpeed() - r.now
	}
	if each, work := held(false), held(true); work <= each {
		t.Errorf("held for up to %v ms with worth by work, %v with worth by request: want longer", work, each)
	}
}

// The last tokens are for work worth more than the mean (i260aa7).
func TestTrunkReservation(t *testing.T) {
	s := base()
	s.Tenants, s.Classes[2].PriorityWeight = nil, 3
	r := newRig(t, s, ready(7, 0))
	r.d.capacity.slots, r.d.admission.meanValue = 10, 2
	r.d.admission.tenants[0].reservedSlots = 19 // of 20 tokens
	if r.d.admit(&job{class: 0, slots: 1, value: 1}) {
		t.Error("work under the mean worth took the last tokens")
	}
	if !r.d.admit(&job{class: 2, slots: 1, value: 3}) {
		t.Error("work over the mean worth was rejected although a token is left")
	}
}

// A small tenant's reservation may be less than one wide job: its first is admitted all the same (id86762).
func TestFirstJobOfSmallTenantIsAdmitted(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	r.d.capacity.slots = 4
	for i := range r.d.admission.tenants {
		r.d.admission.tenants[i].lastArrivalAt = r.now
	}
	r.d.admission.tenants[0].reservedSlots = 8 // all there is, and more than its reservation
	if !r.d.admit(&job{tenant: 2, slots: 2, value: 1}) {
		t.Error("the first job was rejected")
	}
	r.d.admission.tenants[2].reservedSlots = 2
	if r.d.admit(&job{tenant: 2, slots: 2, value: 1}) {
		t.Error("the second was admitted past the reservation while others hold the remainder")
	}
	r.d.admission.tenants[2].reservedSlots = 0
	if r.d.admit(&job{tenant: 2, slots: 2, value: 1, overQuota: true}) {
		t.Error("a first job beyond the share was admitted past the reservation")
	}
}
