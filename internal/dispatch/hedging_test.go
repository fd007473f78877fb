package dispatch

import "testing"

// A job that is safe to repeat and runs on an unresponsive executor is hedged, an unsafe job never. A job that only
// waits in the executor's queue is not hedged, whether the executor responds or not: the hedged attempt would also wait
// in a queue and take a slot that other jobs need.
func TestHedgeOnlyOfAnUnresponsiveExecutor(t *testing.T) {
	for _, tt := range []struct {
		name                string
		class               uint8
		started, responsive bool
		want                int
	}{
		{"safe, unresponsive", 0, true, false, 1},
		{"unsafe, unresponsive", 2, true, false, 0},
		{"safe, queued, responsive", 0, false, true, 0},
		{"safe, queued, unresponsive", 0, false, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, base(), ready(7, 0), ready(8, 0), ready(9, 0))
			for _, executor := range r.d.endpoints.listed {
				executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4, r.now, 4
			}
			sent := actionsOf(r.step(request(1, tt.class, 0, 1)), ActSend, 1)
			if tt.started {
				r.step(Event{Kind: EvNotification, Job: 1, Topic: NotificationStarted})
			}
			got := 0
			for range 30 {
				if tt.responsive { // an answer to another job shows that the executor responds
					r.d.endpoints.byID[sent[0].Executor].outlier.lastActiveAt = r.now
				}
				got += len(actionsOf(r.after(100, Event{Kind: EvTimer}), ActSend, 1))
			}
			if got != tt.want {
				t.Errorf("%d hedged attempts, want %d", got, tt.want)
			}
			if tt.want == 1 {
				if got := r.after(1, outcome(1, 1, 8, Served)); len(actionsOf(got, ActCancel, 1)) != 1 {
					t.Error("the first attempt was not canceled after the hedged one was served")
				}
			}
		})
	}
}

// An executor with overdue acknowledgements gets no further work: its jobs that may be repeated are sent to another
// executor of its cell, the others are not sent twice. It gets no at-most-once job until a job that was sent there
// since has been served.
func TestExecutorWithOverdueAcknowledgements(t *testing.T) { //nolint:funlen,gocognit // one course of events
	s := base()
	for i := range s.Classes {
		s.Classes[i].Objective, s.Classes[i].Deadline, s.Classes[i].DedupWindow = 20000, 60000, 50000
	}
	r := newRig(t, s, ready(7, 1), ready(8, 1), ready(9, 2))
	reportFreeSlots := func(ids ...uint32) {
		for _, id := range []uint32{7, 8, 9} {
			executor := r.d.endpoints.byID[id]
			executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 0, r.now, 4
			for _, x := range ids {
				if x == id {
					executor.load.freeSlots = 4 - executor.inFlight.slots
				}
			}
		}
	}
	reportFreeSlots(7)
	r.after(10, request(1, 1, 0, 1), request(2, 2, 0, 1))
	executor := r.d.endpoints.byID[7]
	if executor.inFlight.slots != 2 {
		t.Fatalf("%v slots in flight at the executor, want 2", executor.inFlight.slots)
	}
	reportFreeSlots(7, 8, 9)
	overdue := func(job uint32) Event {
		return Event{Kind: EvNotification, Job: job, Executor: 7, Topic: NotificationAckOverdue}
	}
	retries := r.after(500, overdue(1), overdue(2))
	for range 50 {
		retries = append(retries, r.after(10, Event{Kind: EvTimer})...)
	}
	if got := actionsOf(retries, ActSend, 1); len(got) != 1 || got[0].Executor != 8 {
		t.Errorf("keyed job: got sends %v, want one more send to the other executor of the cell", got)
	}
	if got := actionsOf(retries, ActSend, 2); len(got) != 0 {
		t.Errorf("the at-most-once job was sent again: %v", got)
	}
	if executor.inFlight.slots != 0 {
		t.Errorf("%v slots in flight after all acknowledgements are overdue, want none", executor.inFlight.slots)
	}
	// Although the executor reports free slots, jobs go to the others. The first one that it gets may be repeated.
	sent := map[uint32][]uint32{}
	for id := uint32(10); id < 70; id++ {
		class := uint8(0)
		if id%2 == 0 {
			class = 2
		}
		reportFreeSlots(7, 8, 9)
		// The others get as many free slots as an executor on probation has.
		r.d.endpoints.byID[8].load.freeSlots, r.d.endpoints.byID[9].load.freeSlots = 1, 1
		for _, a := range r.after(50, request(id, class, 0, 1)) {
			if a.Kind == ActSend {
				sent[a.Executor] = append(sent[a.Executor], a.Job)
				if a.Executor != 7 {
					r.after(1, outcome(a.Job, 0, a.Executor, Served))
				}
			}
		}
	}
	if len(sent[7]) > 1 || len(sent[7]) == 1 && sent[7][0]%2 == 0 || len(sent[8])+len(sent[9]) < 50 {
		t.Errorf("sent %d jobs to the executor with overdue acknowledgements (%v), %d to the others",
			len(sent[7]), sent[7], len(sent[8])+len(sent[9]))
	}
	if len(sent[7]) == 0 {
		t.Fatal("the executor never got another job")
	}
	r.after(10, Event{Kind: EvNotification, Job: sent[7][0], Executor: 7, Topic: NotificationStarted})
	r.after(10, outcome(sent[7][0], 0, 7, Served))
	if executor.outlier.onProbation || r.d.now < executor.outlier.ackOverdueUntil {
		t.Error("a job sent since was served, and the executor is still on probation or ejected")
	}
	// The outcome of the overdue attempt still counts: it ends the job, and the slots are not released twice.
	r.after(10, outcome(2, 0, 7, Served))
	if r.d.jobs.byID[2] != nil || executor.inFlight.slots < 0 {
		t.Errorf("job 2 is kept: %v, %v slots in flight", r.d.jobs.byID[2], executor.inFlight.slots)
	}
}

// A single overdue acknowledgement at an executor that responds to other jobs is a fault of the connection: the
// executor stays in use, and the job may be hedged. A second one is a fault of the executor.
func TestConnectionWithAnOverdueAcknowledgement(t *testing.T) {
	s := base()
	r := newRig(t, s, ready(7, 1), ready(8, 1))
	executor := r.d.endpoints.byID[7]
	reportFreeSlots := func() {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4-executor.inFlight.slots, r.now, 4
		r.d.endpoints.byID[8].load.rejectedUntil = r.now + 1e6
	}
	reportFreeSlots()
	r.after(10, request(1, 1, 0, 1), request(2, 1, 0, 1), request(3, 1, 0, 1))
	if executor.inFlight.slots != 3 {
		t.Fatalf("%v slots in flight, want 3", executor.inFlight.slots)
	}
	r.after(100, Event{Kind: EvNotification, Job: 3, Executor: 7, Topic: NotificationStarted})
	r.after(400, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationAckOverdue})
	if r.now < executor.outlier.ejectedUntil || executor.inFlight.slots != 2 {
		t.Errorf(
			"ejected until %v for one connection, %v slots in flight",
			executor.outlier.ejectedUntil,
			executor.inFlight.slots,
		)
	}
	// A repeated notification has no effect.
	r.after(10, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationAckOverdue})
	if r.now < executor.outlier.ejectedUntil || executor.inFlight.slots != 2 {
		t.Error("a repeated overdue acknowledgement was counted twice")
	}
	r.after(10, Event{Kind: EvNotification, Job: 2, Executor: 7, Topic: NotificationAckOverdue})
	if r.now >= executor.outlier.ejectedUntil {
		t.Error("the executor is not ejected after two overdue acknowledgements")
	}
	r.after(10, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationStarted})
	if executor.inFlight.slots != 2 || r.d.jobs.byID[1].attempts[0].ackOverdue {
		t.Errorf("%v slots in flight after the start of an overdue attempt, want 2", executor.inFlight.slots)
	}
}
