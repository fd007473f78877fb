package dispatch

import "testing"

// A job that is safe to repeat and sits on an executor that stands still is sent elsewhere too, an unsafe one
// never. One that only waits in a queue is not, heard of or not: a copy would take a slot that others need and queue
// there too (i9c57dc, i3f1d0e, nordeste later).
func TestHedgeOnlyOfAnUnresponsiveExecutor(t *testing.T) {
	for _, tt := range []struct {
		name           string
		class          uint8
		started, heard bool
		want           int
	}{
		{"safe, unresponsive", 0, true, false, 1},
		{"unsafe, unresponsive", 2, true, false, 0},
		{"safe, queued, heard of", 0, false, true, 0},
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
				if tt.heard { // another's answer says that the executor lives
					r.d.endpoints.byID[sent[0].Executor].outlier.lastActiveAt = r.now
				}
				got += len(actionsOf(r.after(100, Event{Kind: EvTimer}), ActSend, 1))
			}
			if got != tt.want {
				t.Errorf("%d second copies, want %d", got, tt.want)
			}
			if tt.want == 1 {
				if got := r.after(1, outcome(1, 1, 8, Served)); len(actionsOf(got, ActCancel, 1)) != 1 {
					t.Error("the first copy was not called off")
				}
			}
		})
	}
}

// An executor that owes signs of jobs stops drawing work at once: its jobs that may be repeated go elsewhere in its
// cell, others are not sent twice, nothing that may be lost for good goes there, and one that ends well brings it
// back.
func TestExecutorWithOverdueAcknowledgements(t *testing.T) { //nolint:funlen,gocognit // one course of events
	s := base()
	for i := range s.Classes {
		s.Classes[i].Objective, s.Classes[i].Deadline, s.Classes[i].DedupWindow = 20000, 60000, 50000
	}
	r := newRig(t, s, ready(7, 1), ready(8, 1), ready(9, 2))
	tell := func(ids ...uint32) {
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
	tell(7)
	r.after(10, request(1, 1, 0, 1), request(2, 2, 0, 1))
	executor := r.d.endpoints.byID[7]
	if executor.inFlight.slots != 2 {
		t.Fatalf("%v slots out at the executor, want 2", executor.inFlight.slots)
	}
	tell(7, 8, 9)
	late := func(job uint32) Event {
		return Event{Kind: EvNotification, Job: job, Executor: 7, Topic: NotificationAckOverdue}
	}
	again := r.after(500, late(1), late(2))
	for range 50 {
		again = append(again, r.after(10, Event{Kind: EvTimer})...)
	}
	if got := actionsOf(again, ActSend, 1); len(got) != 1 || got[0].Executor != 8 {
		t.Errorf("the keyed job: %v, want one more send to the cell's other executor", got)
	}
	if got := actionsOf(again, ActSend, 2); len(got) != 0 {
		t.Errorf("the job that must not run twice was sent again: %v", got)
	}
	if executor.inFlight.slots != 0 {
		t.Errorf("%v slots out of what may never have come, want none", executor.inFlight.slots)
	}
	// While the executor tells of free slots, jobs go to the others, and none that may be lost goes there first.
	sent := map[uint32][]uint32{}
	for id := uint32(10); id < 70; id++ {
		class := uint8(0)
		if id%2 == 0 {
			class = 2
		}
		tell(7, 8, 9)
		// As many as an executor on probation has.
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
		t.Errorf("sent %d to the late executor (%v), %d to the others", len(sent[7]), sent[7], len(sent[8])+len(sent[9]))
	}
	if len(sent[7]) == 0 {
		t.Fatal("the executor was never tried again")
	}
	r.after(10, Event{Kind: EvNotification, Job: sent[7][0], Executor: 7, Topic: NotificationStarted})
	r.after(10, outcome(sent[7][0], 0, 7, Served))
	if executor.outlier.onProbation || r.d.now < executor.outlier.ackOverdueUntil {
		t.Error("a job sent since ended well, and the executor is still kept away")
	}
	// The late one's result still counts: an answer, and no outcome is taken twice.
	r.after(10, outcome(2, 0, 7, Served))
	if r.d.jobs.byID[2] != nil || executor.inFlight.slots < 0 {
		t.Errorf("job 2 is kept: %v, %v slots out", r.d.jobs.byID[2], executor.inFlight.slots)
	}
}

// One late job beside others that are heard of is its connection's fault: the executor stays in use, and the job may be
// tried elsewhere. A second one makes it the executor's.
func TestConnectionWithAnOverdueAcknowledgement(t *testing.T) {
	s := base()
	r := newRig(t, s, ready(7, 1), ready(8, 1))
	executor := r.d.endpoints.byID[7]
	give := func() {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4-executor.inFlight.slots, r.now, 4
		r.d.endpoints.byID[8].load.rejectedUntil = r.now + 1e6
	}
	give()
	r.after(10, request(1, 1, 0, 1), request(2, 1, 0, 1), request(3, 1, 0, 1))
	if executor.inFlight.slots != 3 {
		t.Fatalf("%v slots out, want 3", executor.inFlight.slots)
	}
	r.after(100, Event{Kind: EvNotification, Job: 3, Executor: 7, Topic: NotificationStarted})
	r.after(400, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationAckOverdue})
	if r.now < executor.outlier.ejectedUntil || executor.inFlight.slots != 2 {
		t.Errorf(
			"kept away until %v for one connection, %v slots out",
			executor.outlier.ejectedUntil,
			executor.inFlight.slots,
		)
	}
	r.after(10, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationAckOverdue}) // told again: nothing new
	if r.now < executor.outlier.ejectedUntil || executor.inFlight.slots != 2 {
		t.Error("the same job counts twice")
	}
	r.after(10, Event{Kind: EvNotification, Job: 2, Executor: 7, Topic: NotificationAckOverdue})
	if r.now >= executor.outlier.ejectedUntil {
		t.Error("two late jobs, and the executor is still in use")
	}
	r.after(10, Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationStarted})
	if executor.inFlight.slots != 2 || r.d.jobs.byID[1].attempts[0].ackOverdue {
		t.Errorf("%v slots out once a late job was heard of", executor.inFlight.slots)
	}
}
