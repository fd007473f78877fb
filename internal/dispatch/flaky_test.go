package dispatch

import "testing"

// A worker that errs for every second job, whichever class it is of, loses a few jobs that can not be repeated and not
// one of each class again and again: what one class fared there counts for the others, and a success in between does
// not wipe it out. Jobs that can be repeated go on showing how it fares, and bring it back once it has mended (seen on
// abuja-booking's reload day, where two such workers lost 3% of all worth).
func TestExecutorThatErrsForAPartOfItsJobs(t *testing.T) {
	s := base()
	s.Fees.CrossZone = 1 // worker 1 is in the node's own zone: all goes there unless it is kept away
	s.Classes = append(s.Classes, s.Classes[2], s.Classes[2])
	r := newRig(t, s, ready(1, 1), Row{Worker: 2, Zone: 1, Cell: 2, Condition: Ready, Scale: 1})
	job, sent, mended := uint32(0), 0, false
	run := func(class uint8) (lost, at1 bool) {
		t.Helper()
		job++
		out := r.after(20, Event{Kind: EvRequest, Job: job, Class: class, TimeLeft: 6000, Slots: 1})
		for n := uint16(0); n < 3; n++ {
			sends := actionsOf(out, ActSend, job)
			if len(sends) != 1 {
				return true, at1
			}
			o := Served
			if sends[0].Worker == 1 {
				at1 = true
				if sent++; sent%2 == 1 && !mended {
					o = Errored
				}
			}
			out = r.after(
				20,
				Event{Kind: EvOutcome, Job: job, Attempt: n, Worker: sends[0].Worker, Outcome: o, Final: o == Served,
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
		if gone, _ := run([]uint8{2, 3, 4, 0}[i%4]); gone {
			lost++
		}
	}
	if lost > 8 {
		t.Errorf("%d jobs that can not be repeated were lost at the worker, want 8 at most", lost)
	}
	mended = true
	back := 0
	for i := range 800 {
		if _, at1 := run([]uint8{2, 3, 4, 0}[i%4]); at1 && i >= 400 && i%4 < 3 {
			back++
		}
	}
	if back < 150 {
		t.Errorf("%d of 300 jobs went to the worker long after it had mended, want most", back)
	}
}

// A wide job costs a cold worker as much as its slots together: credit that is overdrawn by one slot's work is not by
// the further ones', or one job of four slots spends more than the whole of a window's budget.
func TestWideJobsDoNotOverdrawSlowStart(t *testing.T) {
	most := func(slots float64) float64 {
		s := base()
		s.Balancers, s.TellsStart, s.Progress = 1, false, 0
		cold := ready(7, 0)
		cold.Born = 100000
		r := newRig(t, s, cold)
		executor := r.d.endpoints.byID[7]
		executor.load.slots, r.d.capacity.kindSlots[0] = 4, 4
		least := 0.0
		for id := uint32(1); id < 60; id++ {
			e := request(id, 0, 0, slots)
			e.Work = 1500
			for _, a := range r.after(50, e) {
				if a.Kind == ActSend {
					r.after(1, outcome(a.Job, 0, 7, Served, 4+float32(id)*1e-4))
				}
			}
			least = min(least, executor.slowStart.credit)
		}
		return -least
	}
	one, four := most(1), most(4)
	if four > 3*one {
		t.Errorf("credit overdrawn by %.0f ms by jobs of four slots, %.0f by those of one", four, one)
	}
}

// A worker that drains turns all away while its reports go on telling of free slots, until the list says so: where
// reports come by probe, each of them put an end to its back-off, and every job went there first.
func TestDrainingExecutorThatReportsFreeSlotsIsLeftAlone(t *testing.T) {
	s := base()
	s.Telemetry, s.MayProbe, s.TellsStart = ReportProbes, true, false
	r := newRig(t, s, ready(1, 1))
	executor := r.d.endpoints.byID[1]
	sends := 0
	for i := range 200 { // 4 s
		var events []Event
		if i%5 == 0 {
			events = append(events, Event{Kind: EvProbed, Worker: 1, Outcome: Served, Report: []float32{4 + float32(i)*1e-4}})
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
		t.Errorf("%d sends in 4 s to a worker that turns all away, want 20 at most", sends)
	}
}

// A bad request that errs wherever it goes is not held against the workers that it was tried at: it put its class out
// at as many as its attempts allow (abuja-booking's rude day, six). Errors of a job that a third worker then serves
// are.
func TestJobThatErrsEverywhereIsNotTheExecutorsFault(t *testing.T) {
	s := base()
	s.MaxAttempts = 6
	var rows []Row
	for id := uint32(1); id <= 8; id++ {
		rows = append(rows, ready(id, 0))
	}
	kept := func(good int) (away int, odds float64) { // the attempt that is served
		r := newRig(t, s, rows...)
		out := r.step(request(1, 0, 0, 1))
		for n := uint16(0); n < 6; n++ {
			sends := actionsOf(out, ActSend, 1)
			if len(sends) != 1 {
				break
			}
			o := Errored
			if int(n) == good {
				o = Served
			}
			out = r.after(20, outcome(1, n, sends[0].Worker, o, 4+float32(n)*1e-4))
		}
		unsafe := &job{class: 2}
		for _, executor := range r.d.endpoints.listed {
			if d := r.d; d.now < executor.failures.byClass[0].awayUntil {
				away++
			}
			odds = max(odds, r.d.errorProbability(unsafe, executor))
		}
		return away, odds
	}
	if away, odds := kept(99); away != 0 || odds > 0 {
		t.Errorf("after a job that erred at all six, its class is away from %d workers, odds %.2f", away, odds)
	}
	if away, _ := kept(1); away != 1 {
		t.Errorf(
			"after a job that erred at one and was served at the next, its class is away from %d workers, want that one",
			away,
		)
	}
	if away, _ := kept(2); away != 2 {
		t.Errorf(
			"after a job that erred at two and was served at a third, its class is away from %d workers, want those two",
			away,
		)
	}
}
