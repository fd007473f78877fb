package dispatch

import "testing"

// A draining executor rejects all jobs, but its reports show free slots until the list is updated. If each report
// by health check ended the backoff, every job would be sent there first.
func TestDrainingExecutorReportingFreeSlotsIsBackedOff(t *testing.T) {
	s := base()
	s.Telemetry, s.HealthChecksAllowed, s.StartNotifications = ReportHealthChecks, true, false
	r := newRig(t, s, ready(1, 1))
	executor := r.d.endpoints.byID[1]
	sends := 0
	for i := range 200 { // 4 s
		var events []Event
		if i%5 == 0 {
			events = append(
				events,
				Event{Kind: EvHealthCheck, Executor: 1, Outcome: Served, Report: []float32{4 + float32(i)*1e-4}},
			)
		}
		events = append(events, request(uint32(i+1), 0, 0, 1))
		for _, a := range r.after(20, events...) {
			if a.Kind == ActSend {
				sends++
				r.step(outcome(a.Job, uint16(len(r.d.jobs.byID[a.Job].attempts)-1), 1, Full))
			}
		}
	}
	if executor.load.rejections < 2 || sends > 20 {
		t.Errorf("%d sends in 4 s to an executor that rejects all jobs, want at most 20", sends)
	}
}

// An unresponsive executor is tried again with one job that may be lost, and jobs lost there no longer hold slots.
// Otherwise it would stay out until the last client's deadline has passed.
func TestUnresponsiveExecutorIsTriedAgain(t *testing.T) { //nolint:funlen // one course of events
	s := base()
	for i := range s.Classes {
		s.Classes[i].Objective, s.Classes[i].Deadline = 20000, 60000
	}
	s.HedgingAllowed = false
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.byID[7]
	reportFreeSlots := func() {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4-executor.inFlight.slots, r.now, 4
	}
	reportFreeSlots()
	r.step(request(1, 0, 0, 1), request(2, 0, 0, 1), request(3, 0, 0, 1), request(4, 2, 0, 1))
	for id := uint32(1); id <= 4; id++ {
		r.step(Event{Kind: EvNotification, Job: id, Topic: NotificationStarted})
	}
	if executor.inFlight.slots != 4 {
		t.Fatalf("%v slots in flight, want 4", executor.inFlight.slots)
	}
	r.after(2600, Event{Kind: EvTimer})
	if !executor.outlier.unresponsive {
		t.Fatal("executor is not unresponsive after 2.6 progress intervals")
	}
	if got := r.step(request(10, 2, 0, 1), request(11, 0, 0, 1), request(12, 0, 0, 1)); len(got) > 0 &&
		got[0].Kind == ActSend {
		t.Fatal("job sent to an unresponsive executor without delay")
	}
	trials := []uint32{}
	for range 200 {
		for _, a := range r.after(10, Event{Kind: EvTimer}) {
			if a.Kind == ActSend {
				trials = append(trials, a.Job)
			}
		}
	}
	if len(trials) != 1 || trials[0] == 10 {
		t.Fatalf("trial jobs %v, want one job that is safe to retry", trials)
	}
	got := r.after(1, Event{Kind: EvNotification, Job: trials[0], Topic: NotificationStarted})
	if executor.outlier.unresponsive || executor.inFlight.slots < 1 || executor.inFlight.slots > 4 ||
		len(actionsOf(got, ActSend, 10)) != 1 {
		t.Errorf(
			"unresponsive %v, %v slots in flight, actions %v: want the executor in use again",
			executor.outlier.unresponsive,
			executor.inFlight.slots,
			got,
		)
	}
	before := executor.inFlight.slots
	r.after(1, Event{Kind: EvNotification, Job: 1, Topic: NotificationProgress})
	if executor.inFlight.slots != before+1 {
		t.Errorf("%v slots in flight after a notification for a written-off job, want %v", executor.inFlight.slots, before+1)
	}
	r.after(1, outcome(1, 0, 7, Served), outcome(2, 0, 7, TimedOut))
	want := 0.0
	for _, job := range executor.inFlight.jobs {
		for _, a := range job.attempts {
			if !a.resolved && !a.writtenOff {
				want += job.slots
			}
		}
	}
	if executor.inFlight.slots != want {
		t.Errorf("%v slots in flight, want %v", executor.inFlight.slots, want)
	}
}

// If all executors stop responding at once, they are all unresponsive where progress notifications are enabled, and
// none gets the whole load. Without the notifications they may only be slow, and all remain in use.
func TestAllUnresponsiveExecutorsAreUsed(t *testing.T) {
	for _, tt := range []struct {
		progress float64
		panics   bool
	}{{1000, false}, {0, true}} {
		s := base()
		s.ProgressInterval = tt.progress
		for i := range s.Classes {
			s.Classes[i].Deadline = 60000
		}
		r := newRig(t, s, ready(7, 0), ready(8, 0))
		for _, executor := range r.d.endpoints.listed {
			executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4, r.now, 4
		}
		r.step(request(1, 0, 0, 1), request(2, 0, 0, 1), request(3, 0, 0, 1), request(4, 0, 0, 1))
		r.after(8000, Event{Kind: EvTimer})
		if r.d.outliers.panicking != tt.panics {
			t.Errorf("progress interval %v: panicking %v, want %v", tt.progress, r.d.outliers.panicking, tt.panics)
		}
	}
}

// A queued job sends no notifications. Where jobs usually wait long for their start, a job that has not started
// does not mark its executor as unresponsive: hedged attempts of queued jobs would be queued as well, and were
// 3,000 of 17,000 sends in one run. A started job without progress notifications does, and so does a wait far above
// the usual.
func TestQueuedJobDoesNotMarkExecutorUnresponsive(t *testing.T) {
	for _, c := range []struct {
		name         string
		wait         float64 // usual wait of jobs before they start
		started      bool
		after        float64
		unresponsive bool
	}{
		{"queued, long usual wait", 2000, false, 5000, false},
		{"queued far longer than usual", 2000, false, 20000, true},
		{"queued, no usual wait", 0, false, 5000, true},
		{"started, no progress", 2000, true, 5000, true},
	} {
		s := base()
		for i := range s.Classes {
			s.Classes[i].Objective, s.Classes[i].Deadline = 20000, 60000
		}
		r := newRig(t, s, ready(7, 0), ready(8, 0))
		executor := r.d.endpoints.byID[7]
		for i := range uint32(200) {
			job := request(100+i, 0, 0, 1)
			job.TimeLeft = 60000
			sent := actionsOf(r.after(10, job), ActSend, 100+i)
			r.after(c.wait, Event{Kind: EvNotification, Job: 100 + i, Topic: NotificationStarted})
			r.after(10, outcome(100+i, 0, sent[0].Executor, Served))
		}
		r.d.endpoints.byID[8].outlier.ejectedUntil = r.now + 1 // makes the first executor the only choice
		job := request(1, 0, 0, 1)
		job.TimeLeft = 60000
		if len(actionsOf(r.step(job), ActSend, 1)) != 1 || executor.inFlight.slots != 1 {
			t.Fatalf("%s: job not sent to the first executor", c.name)
		}
		if c.started {
			r.after(1, Event{Kind: EvNotification, Job: 1, Topic: NotificationStarted})
		}
		hedged := false
		for range int(c.after / 10) {
			r.after(10, Event{Kind: EvTimer})
			hedged = hedged || len(actionsOf(r.last, ActSend, 1)) > 0
		}
		if executor.outlier.unresponsive != c.unresponsive || hedged != c.started {
			t.Errorf(
				"%s: unresponsive %v, hedged %v, want %v, %v",
				c.name,
				executor.outlier.unresponsive,
				hedged,
				c.unresponsive,
				c.started,
			)
		}
	}
}
