package dispatch

import "testing"

// An executor that fails every second job, regardless of class, loses a few jobs that cannot be retried, but not
// one of each class repeatedly: the outcomes of each class count for the others, and a success in between does not
// clear them. Jobs that can be retried keep testing the executor, and bring it back once it has recovered. Without
// this, two such executors lost 3% of the total value in one run.
func TestExecutorWithIntermittentErrors(t *testing.T) {
	s := base()
	s.Fees.CrossZone = 1 // executor 1 is in the node's own zone: all jobs go there unless it is excluded
	s.Classes = append(s.Classes, s.Classes[2], s.Classes[2])
	r := newRig(t, s, ready(1, 1), EndpointUpdate{Executor: 2, Zone: 1, Cell: 2, Condition: Ready, Weight: 1})
	job, sent, recovered := uint32(0), 0, false
	run := func(class uint8) (lost, at1 bool) {
		t.Helper()
		job++
		actions := r.after(20, Event{Kind: EvRequest, Job: job, Class: class, TimeLeft: 6000, Slots: 1})
		for n := uint16(0); n < 3; n++ {
			sends := actionsOf(actions, ActSend, job)
			if len(sends) != 1 {
				return true, at1
			}
			o := Served
			if sends[0].Executor == 1 {
				at1 = true
				if sent++; sent%2 == 1 && !recovered {
					o = Errored
				}
			}
			actions = r.after(
				20,
				Event{Kind: EvOutcome, Job: job, Attempt: n, Executor: sends[0].Executor, Outcome: o, Final: o == Served,
					Report: []float32{4 + float32(job)*1e-4}},
			)
			if o == Served {
				return false, at1
			}
		}
		return true, at1
	}
	lost := 0
	for i := range 400 { // 16 s
		if failed, _ := run([]uint8{2, 3, 4, 0}[i%4]); failed {
			lost++
		}
	}
	if lost > 8 {
		t.Errorf("%d jobs that cannot be retried were lost at the executor, want at most 8", lost)
	}
	recovered = true
	returned := 0
	for i := range 800 {
		if _, at1 := run([]uint8{2, 3, 4, 0}[i%4]); at1 && i >= 400 && i%4 < 3 {
			returned++
		}
	}
	if returned < 150 {
		t.Errorf("%d of 300 jobs went to the executor long after its recovery, want at least 150", returned)
	}
}

// A bad request that fails wherever it is sent is not held against the executors: otherwise it would quarantine its
// class at as many executors as it has attempts. Errors of a job that a third executor then serves are.
func TestJobFailingEverywhereDoesNotQuarantineClass(t *testing.T) {
	s := base()
	s.MaxAttempts = 6
	var updates []EndpointUpdate
	for id := uint32(1); id <= 8; id++ {
		updates = append(updates, ready(id, 0))
	}
	runJob := func(servedAttempt int) (quarantined int, probability float64) {
		r := newRig(t, s, updates...)
		actions := r.step(request(1, 0, 0, 1))
		for n := uint16(0); n < 6; n++ {
			sends := actionsOf(actions, ActSend, 1)
			if len(sends) != 1 {
				break
			}
			o := Errored
			if int(n) == servedAttempt {
				o = Served
			}
			actions = r.after(20, outcome(1, n, sends[0].Executor, o, 4+float32(n)*1e-4))
		}
		atMostOnce := &job{class: 2}
		for _, executor := range r.d.endpoints.listed {
			if d := r.d; d.now < executor.failures.byClass[0].quarantinedUntil {
				quarantined++
			}
			probability = max(probability, r.d.errorProbability(atMostOnce, executor))
		}
		return quarantined, probability
	}
	if quarantined, probability := runJob(99); quarantined != 0 || probability > 0 {
		t.Errorf("after a job that failed at six executors: class quarantined at %d, error probability %.2f, want 0",
			quarantined, probability)
	}
	if quarantined, _ := runJob(1); quarantined != 1 {
		t.Errorf(
			"after a job that failed at one executor and was served at the second: class quarantined at %d, want 1",
			quarantined,
		)
	}
	if quarantined, _ := runJob(2); quarantined != 2 {
		t.Errorf(
			"after a job that failed at two executors and was served at the third: class quarantined at %d, want 2",
			quarantined,
		)
	}
}

// An executor can fail one class immediately and serve another. The failing class is quarantined there at once, and
// for longer with each further failure, while the other class is still sent there. Where a class fails at nearly
// all executors, these are not at fault.
func TestFailingClassIsQuarantinedAtExecutor(t *testing.T) {
	s := base()
	// Executor 1 is in the node's own zone, so all jobs go there unless it is excluded.
	s.Fees.CrossZone = 1
	updates := []EndpointUpdate{ready(1, 1)}
	for id := uint32(2); id <= 5; id++ {
		updates = append(updates, EndpointUpdate{Executor: id, Zone: 1, Cell: 2, Condition: Ready, Weight: 1})
	}
	r := newRig(t, s, updates...)
	job := uint32(0)
	run := func(class uint8, o func(uint32) Outcome) uint32 {
		t.Helper()
		job++
		for _, a := range r.after(20, Event{Kind: EvRequest, Job: job, Class: class, TimeLeft: 6000, Slots: 1}) {
			if a.Kind == ActSend && a.Job == job {
				end := o(a.Executor)
				r.after(20, Event{Kind: EvOutcome, Job: job, Executor: a.Executor, Outcome: end, Final: end == Served,
					Report: []float32{4 + float32(job)*1e-4}})
				return a.Executor
			}
		}
		t.Fatal("job not sent")
		return 0
	}
	served := func(uint32) Outcome { return Served }
	fails := func(id uint32) Outcome {
		if id == 1 {
			return Errored
		}
		return Served
	}
	count := func(class uint8, n int) (at1 int) {
		for range n {
			if run(class, fails) == 1 {
				at1++
			}
		}
		return at1
	}
	if n := count(2, 60); n != 1 { // 2.4 s
		t.Errorf("%d jobs of the failing class went to the executor, want 1", n)
	}
	if id := run(0, served); id != 1 {
		t.Errorf("job of the other class went to executor %d, want executor 1", id)
	}
	if n := count(2, 400); n < 1 || n > 2 { // 16 s: quarantines of about 4 s and 8 s
		t.Errorf("%d trial jobs within 16 s, want 1 or 2", n)
	}
	r.now += 60000
	r.step()
	if run(2, served); r.d.endpoints.byID[1].failures.byClass[2].consecutive != 0 ||
		r.d.endpoints.byID[1].failures.byClass[2].quarantinedUntil != 0 {
		t.Errorf("after a served job: %+v, want no quarantine", r.d.endpoints.byID[1].failures.byClass[2])
	}
	everywhere := func(uint32) Outcome { return Errored }
	for range 5 {
		run(2, everywhere)
	}
	if run(2, everywhere); !r.d.outliers.failingClasses[2] {
		t.Error("class that fails at all executors is not detected")
	}
}

// A class that an executor rejects while it reports free slots is quarantined there from the second rejection on. A
// Full outcome with a report of no free slots or of queued jobs says nothing about the class.
func TestClassRejectedDespiteFreeSlotsIsQuarantined(t *testing.T) {
	for _, tt := range []struct {
		name          string
		pending, free float32
		away          bool
	}{{"free slots", 0, 2, true}, {"no free slots", 0, 0, false}, {"queued jobs", 3, 2, false}} {
		s := base()
		s.ReportFields = []ReportField{FieldPending, FieldFree}
		r := newRig(t, s, ready(1, 1))
		events := []Event{{Kind: EvRequest, Job: 1, Class: 2, TimeLeft: 6000, Slots: 1}}
		for n, steps := uint16(0), 0; n < 2; steps++ {
			if steps > 400 {
				t.Fatal(tt.name, ": job not sent twice")
			}
			actions := r.after(10, events...)
			events = nil
			for _, a := range actions {
				if a.Kind == ActSend {
					events = append(events, Event{Kind: EvOutcome, Job: 1, Attempt: n, Executor: 1, Outcome: Full,
						Report: []float32{tt.pending, tt.free + float32(n)*1e-3}})
					n++
				}
			}
		}
		r.after(1, events...)
		executor := r.d.endpoints.byID[1]
		if got := executor.failures.byClass[2].quarantinedUntil > r.now; got != tt.away ||
			executor.failures.byClass[0].quarantinedUntil > 0 {
			t.Errorf("%s: quarantined %v, want %v; other class %+v", tt.name, got, tt.away, executor.failures.byClass[0])
		}
	}
}
