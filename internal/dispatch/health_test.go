package dispatch

import "testing"

// Tests of workers that fail, err or fall silent.

// Workers that take no new connection go on serving over open ones (ifa25c6).
func TestFailedDialLeavesOpenConnections(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	load := &r.d.endpoints.listed[0].load
	load.freeSlots, load.reportedAt, load.slots = 4, r.now, 4
	r.step(request(1, 0, 0, 1))
	got := r.after(10, outcome(1, 0, 7, ConnectFailed))
	if len(actionsOf(got, ActSend, 1)) != 0 {
		t.Error("tried a new connection at once")
	}
	r.d.endpoints.listed[0].connections.idleSince = append(r.d.endpoints.listed[0].connections.idleSince, r.now)
	if got := r.after(20, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("did not use the open connection")
	}
	if r.after(10, outcome(1, 1, 7, Served)); r.d.endpoints.listed[0].connections.dialFailures == 0 {
		t.Error("a job served over an open connection says nothing of new ones")
	}
}

// What other nodes told to have out is not room, with or without a late report (i046e05).
// A worker can fail one class at once and serve another: the class keeps away from it, at once and for longer each
// time it fails again, while the other still goes there; where a class fails nearly everywhere, it is not the workers'.
func TestClassThatFailsAtAnExecutorIsKeptAway(t *testing.T) {
	s := base()
	// Worker 1 is in the node's own zone, so that all goes there unless it is kept away.
	s.Fees.CrossZone = 1
	rows := []Row{ready(1, 1)}
	for id := uint32(2); id <= 5; id++ {
		rows = append(rows, Row{Worker: id, Zone: 1, Cell: 2, Condition: Ready, Scale: 1})
	}
	r := newRig(t, s, rows...)
	job := uint32(0)
	run := func(class uint8, o func(uint32) Outcome) uint32 {
		t.Helper()
		job++
		for _, a := range r.after(20, Event{Kind: EvRequest, Job: job, Class: class, TimeLeft: 6000, Slots: 1}) {
			if a.Kind == ActSend && a.Job == job {
				end := o(a.Worker)
				r.after(20, Event{Kind: EvOutcome, Job: job, Worker: a.Worker, Outcome: end, Final: end == Served,
					Report: []float32{4 + float32(job)*1e-4}})
				return a.Worker
			}
		}
		t.Fatal("not sent")
		return 0
	}
	served := func(uint32) Outcome { return Served }
	fails := func(w uint32) Outcome {
		if w == 1 {
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
		t.Errorf("%d jobs of the class that fails went to the worker, want 1", n)
	}
	if w := run(0, served); w != 1 {
		t.Errorf("the other class went to %d: it keeps away, too", w)
	}
	if n := count(2, 400); n < 1 || n > 2 { // 16 s: 4 s and 8 s away, about
		t.Errorf("%d more jobs went there in 16 s, want one or two trials", n)
	}
	r.now += 60000
	r.step()
	if run(2, served); r.d.endpoints.byID[1].failures.byClass[2].consecutive != 0 ||
		r.d.endpoints.byID[1].failures.byClass[2].awayUntil != 0 {
		t.Errorf("served again: %+v", r.d.endpoints.byID[1].failures.byClass[2])
	}
	everywhere := func(uint32) Outcome { return Errored }
	for range 5 {
		run(2, everywhere)
	}
	if run(2, everywhere); !r.d.outliers.failingClasses[2] {
		t.Error("a class that fails everywhere waits")
	}
}

// A worker that turns one class away while it tells of free slots is left to the other classes from the second time
// on; 'full' from one that tells of none, or of jobs that queue, says nothing of the class.
func TestClassThatIsRejectedBesideFreeSlotsIsKeptAway(t *testing.T) {
	for _, x := range []struct {
		name          string
		pending, free float32
		away          bool
	}{{"room", 0, 2, true}, {"no room", 0, 0, false}, {"a queue", 3, 2, false}} {
		s := base()
		s.Fields = []Field{FieldPending, FieldFree}
		r := newRig(t, s, ready(1, 1))
		events := []Event{{Kind: EvRequest, Job: 1, Class: 2, TimeLeft: 6000, Slots: 1}}
		for n, steps := uint16(0), 0; n < 2; steps++ {
			if steps > 400 {
				t.Fatal(x.name, ": not sent twice")
			}
			out := r.after(10, events...)
			events = nil
			for _, a := range out {
				if a.Kind == ActSend {
					events = append(events, Event{Kind: EvOutcome, Job: 1, Attempt: n, Worker: 1, Outcome: Full,
						Report: []float32{x.pending, x.free + float32(n)*1e-3}})
					n++
				}
			}
		}
		r.after(1, events...)
		executor := r.d.endpoints.byID[1]
		if got := executor.failures.byClass[2].awayUntil > r.now; got != x.away ||
			executor.failures.byClass[0].awayUntil > 0 {
			t.Errorf("%s: kept away %v, want %v; another class %+v", x.name, got, x.away, executor.failures.byClass[0])
		}
	}
}

// A job that is safe to repeat and sits on a worker that stands still is sent elsewhere too, an unsafe one
// never. One that only waits in a queue is not, heard of or not: a copy would take a slot that others need and queue
// there too (i9c57dc, i3f1d0e, nordeste later).
func TestHedgeOnlyOfAnUnresponsiveExecutor(t *testing.T) {
	for _, tt := range []struct {
		name           string
		class          uint8
		started, heard bool
		want           int
	}{
		{"safe, silent", 0, true, false, 1},
		{"unsafe, silent", 2, true, false, 0},
		{"safe, queued, heard of", 0, false, true, 0},
		{"safe, queued, silent", 0, false, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, base(), ready(7, 0), ready(8, 0), ready(9, 0))
			for _, executor := range r.d.endpoints.listed {
				executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4, r.now, 4
			}
			sent := actionsOf(r.step(request(1, tt.class, 0, 1)), ActSend, 1)
			if tt.started {
				r.step(Event{Kind: EvNote, Job: 1, Topic: NoteStarted})
			}
			got := 0
			for range 30 {
				if tt.heard { // another's answer says that the worker lives
					r.d.endpoints.byID[sent[0].Worker].outlier.lastHeard = r.now
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

// A worker that was cut off is tried again with one job that may be lost, and what got lost on it holds no slots
// any more; else it stays out until the last client's time is over (i3f1d0e).
func TestUnresponsiveExecutorIsTriedAgain(t *testing.T) { //nolint:funlen // one course of events
	s := base()
	for i := range s.Classes {
		s.Classes[i].Aim, s.Classes[i].Deadline = 20000, 60000
	}
	s.MayDuplicate = false
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.byID[7]
	tell := func() {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 4-executor.inFlight.slots, r.now, 4
	}
	tell()
	r.step(request(1, 0, 0, 1), request(2, 0, 0, 1), request(3, 0, 0, 1), request(4, 2, 0, 1))
	for id := uint32(1); id <= 4; id++ {
		r.step(Event{Kind: EvNote, Job: id, Topic: NoteStarted})
	}
	if executor.inFlight.slots != 4 {
		t.Fatalf("%v slots out, want 4", executor.inFlight.slots)
	}
	r.after(2600, Event{Kind: EvTimer})
	if !executor.outlier.unresponsive {
		t.Fatal("not silent after 2.6 progress periods")
	}
	if got := r.step(request(10, 2, 0, 1), request(11, 0, 0, 1), request(12, 0, 0, 1)); len(got) > 0 &&
		got[0].Kind == ActSend {
		t.Fatal("sent to a silent worker at once")
	}
	tried := []uint32{}
	for range 200 {
		for _, a := range r.after(10, Event{Kind: EvTimer}) {
			if a.Kind == ActSend {
				tried = append(tried, a.Job)
			}
		}
	}
	if len(tried) != 1 || tried[0] == 10 {
		t.Fatalf("tried %v, want one job that is safe to repeat", tried)
	}
	got := r.after(1, Event{Kind: EvNote, Job: tried[0], Topic: NoteStarted})
	if executor.outlier.unresponsive || executor.inFlight.slots < 1 || executor.inFlight.slots > 4 ||
		len(actionsOf(got, ActSend, 10)) != 1 {
		t.Errorf(
			"silent %v, %v slots out, actions %v: want it in use again",
			executor.outlier.unresponsive,
			executor.inFlight.slots,
			got,
		)
	}
	before := executor.inFlight.slots
	r.after(1, Event{Kind: EvNote, Job: 1, Topic: NoteProgress})
	if executor.inFlight.slots != before+1 {
		t.Errorf("%v slots out once a lost job was heard of, want %v", executor.inFlight.slots, before+1)
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
		t.Errorf("%v slots out, want %v", executor.inFlight.slots, want)
	}
}

// All workers that stand still at once are all silent where progress is told, and none is stormed; where it is not
// told, all may only be slow, and all are used.
func TestAllUnresponsiveExecutorsAreUsed(t *testing.T) {
	for _, tt := range []struct {
		progress float64
		panics   bool
	}{{1000, false}, {0, true}} {
		s := base()
		s.Progress = tt.progress
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
			t.Errorf("progress %v: panicking %v, want %v", tt.progress, r.d.outliers.panicking, tt.panics)
		}
	}
}
