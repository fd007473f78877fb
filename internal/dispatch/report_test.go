package dispatch

import (
	"math"
	"math/rand"
	"testing"
)

// Tests of what is learned from load reports and probes.

// A node that was quiet at its start is not blind once requests come (nordeste big-2).
func TestHealthChecksFollowTraffic(t *testing.T) {
	s := base()
	s.Telemetry, s.MayProbe = ReportProbes, true
	r := newRig(t, s, ready(7, 0))
	r.step(Event{Kind: EvProbed, Worker: 7, Outcome: Served, Report: []float32{4}})
	probes := 0
	for id := uint32(1); id <= 100; id++ {
		probed := Event{Kind: EvProbed, Worker: 7, Outcome: Served, Report: []float32{3}}
		for _, a := range r.after(20, request(id, 0, 0, 1), probed) {
			if a.Kind == ActProbe {
				probes++
			}
		}
	}
	if probes < 3 {
		t.Errorf("%d probes in 2 s of 50 requests a second, want 3 or more", probes)
	}
}

// Where reports are older than runs are long, they fade to the mean: the worker last seen idle is not stormed
// and the one last seen full is not shunned for good (i9c57dc, ifd594e).
func TestReportsDecay(t *testing.T) {
	s := base()
	s.Balancers = 5
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	idle, full := r.d.endpoints.listed[0], r.d.endpoints.listed[1]
	for _, executor := range r.d.endpoints.listed {
		executor.load.slots, executor.load.reportedAt = 4, r.now
	}
	idle.load.freeSlots, full.load.freeSlots = 4, -2
	r.d.capacity.meanPeerOccupancy, r.d.serviceTimes.meanRun, r.d.reports.interval = 0.5, 300, 600
	if a, b := r.d.decayedFreeSlots(idle), r.d.decayedFreeSlots(full); a < 3 || b > 0 {
		t.Errorf("fresh reports: %v and %v slots, want about 4 and -2", a, b)
	}
	r.d.now += 2000
	a, b := r.d.decayedFreeSlots(idle), r.d.decayedFreeSlots(full)
	if a > 3 || b < 1 {
		t.Errorf("old reports: %v and %v slots, want both near 2", a, b)
	}
	if a <= b {
		t.Error("an old report still says something")
	}
}

// Reports can be delayed by seconds without any sign of it (iacbb5d): all nodes then fill the workers that were
// idle once. Their age is learned from how what a worker holds follows our own jobs there, and forgotten again.
func TestReportAgeIsLearned(t *testing.T) { //nolint:gocognit // one course of events
	s := base()
	s.Balancers = 3
	s.Fields = []Field{FieldBusy, FieldFree}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	rng := rand.New(rand.NewSource(5))
	type span struct {
		worker, job uint32
		from, to    float64
	}
	var spans []span // of our jobs
	job := uint32(0)
	play := func(ms, delay float64) {
		for end := r.now + ms; r.now < end; r.now += 100 {
			var events []Event
			if rng.Intn(4) > 0 {
				job++
				events = append(events, request(job, 0, 0, 1))
			}
			for i := range spans {
				if sp := &spans[i]; sp.to > r.now-100 && sp.to <= r.now {
					events = append(events, outcome(sp.job, 0, sp.worker, Served))
				}
			}
			for _, executor := range r.d.endpoints.listed {
				busy := float32(rng.Intn(2))
				for _, sp := range spans {
					if sp.worker == executor.id && sp.from <= r.now-delay && sp.to > r.now-delay {
						busy++
					}
				}
				r.d.handleLoadReport(executor, []float32{busy + 0.01*rng.Float32(), 8 - busy})
			}
			for _, a := range r.step(events...) {
				if a.Kind == ActSend {
					spans = append(spans, span{a.Worker, a.Job, r.now, r.now + 200 + float64(rng.Intn(900))})
				}
			}
		}
	}
	play(20000, 60)
	if r.d.reports.age > 150 {
		t.Errorf("reports of 60 ms are taken to be %.0f ms old", r.d.reports.age)
	}
	play(20000, 450)
	if r.d.reports.age < 250 || r.d.reports.age > 750 {
		t.Errorf("reports of 450 ms are taken to be %.0f ms old", r.d.reports.age)
	}
	play(20000, 2400) // many periods: renewed as often as ever (i832aaf)
	if r.d.reports.age < 1500 || r.d.reports.age > 4000 {
		t.Errorf("reports of 2,400 ms are taken to be %.0f ms old", r.d.reports.age)
	}
	play(20000, 60)
	if r.d.reports.age > 150 {
		t.Errorf("reports of 60 ms are still taken to be %.0f ms old", r.d.reports.age)
	}
}

// What workers hold may have nothing to do with our own few jobs: then no other age is believed (i3f1d0e).
func TestReportAgeIsNotGuessedFromOthersJobs(t *testing.T) {
	s := base()
	s.Fields = []Field{FieldBusy, FieldFree}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	rng := rand.New(rand.NewSource(9))
	for i := range uint32(300) {
		for _, executor := range r.d.endpoints.listed {
			busy := float32(rng.Intn(8))
			r.d.handleLoadReport(executor, []float32{busy + 0.01*rng.Float32(), 8 - busy})
		}
		got := actionsOf(r.step(request(i+1, 0, 0, 1)), ActSend, i+1)
		r.after(50)
		for _, a := range got {
			r.after(50, outcome(a.Job, 0, a.Worker, Served))
		}
		if r.d.reports.bestAge != 1 {
			t.Fatalf("after %d reports they are taken to be %.0f ms old", 2*i, r.d.reports.age)
		}
	}
}

// What is held stays so for as long as the jobs that hold most of it run: a few long, wide jobs among many short
// ones make reports fade slowly (nordeste), jobs of one kind fast (ceara).
func TestReportDecayFollowsWhatIsHeld(t *testing.T) {
	run := func(long bool) float64 {
		r := newRig(t, base(), ready(7, 0))
		executor := r.d.endpoints.listed[0]
		for i := range 2000 {
			job, span := &job{slots: 1, work: 200}, 200.0
			if long && i%10 == 0 {
				job.slots, span = 4, 2000
			}
			r.now += 10
			r.d.now = r.now
			r.d.serviceTimes.learn(job, &attempt{executor: executor, startedAt: r.now - span})
		}
		return r.d.serviceTimes.meanRun
	}
	if got := run(false); math.Abs(got-200) > 20 {
		t.Errorf("jobs of 200 ms: held for %.0f ms", got)
	}
	if got := run(true); got < 1200 || got > 2400 { // 8,000 of 9,800 slot-ms are the long ones'
		t.Errorf("one long wide job in ten: held for %.0f ms, want about 1,670", got)
	}
}

// Without reports, and before any 'full', only late answers show that a worker queues what it is sent: what it is
// thought to take falls, once for all that was sent before, and grows again with jobs served in time.
func TestLateAnswersCutTheSoftLimit(t *testing.T) {
	s := base()
	s.Telemetry, s.Fields, s.TellsStart = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.byID[7]
	executor.load.softLimit = 8
	for id := uint32(1); id <= 6; id++ {
		e := request(id, 0, 0, 1)
		e.Work, e.Flags = 200, FlagWork
		r.step(e)
	}
	if len(executor.inFlight.jobs) < 4 {
		t.Fatalf("%d out, want some", len(executor.inFlight.jobs))
	}
	before := executor.load.softLimit
	r.after(3000, outcome(1, 0, 7, Served), outcome(2, 0, 7, Served), outcome(3, 0, 7, Served))
	if want := softLimitBackoff * before; math.Abs(executor.load.softLimit-want) > 1e-9 {
		t.Errorf("takes %v after three late answers to one burst, want %v", executor.load.softLimit, want)
	}
	executor.load.softLimit = 2
	e := request(20, 0, 0, 1)
	e.Work, e.Flags = 200, FlagWork
	r.after(10, outcome(4, 0, 7, Served), outcome(5, 0, 7, Served), outcome(6, 0, 7, Served))
	for len(executor.inFlight.jobs) > 0 {
		r.after(10, Event{Kind: EvTimer})
	}
	executor.load.softLimit = 1
	r.after(10, e)
	r.after(100, outcome(20, 0, 7, Served))
	if executor.load.softLimit <= 1 {
		t.Errorf("takes %v after an answer in time, want more", executor.load.softLimit)
	}
}

// A restarted node counts zero in flight while its old jobs still run: room comes from reports, and until one
// comes a worker is only tried.
func TestRestartedNodeSeesOldJobsInReports(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0))
	sent := map[uint32]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActSend {
				sent[a.Worker]++
			}
		}
	}
	for id := uint32(1); id <= 20; id++ {
		count(r.step(request(id, 0, uint16(id%3), 1)))
	}
	if sent[7] > initialSoftLimit || sent[8] > initialSoftLimit || sent[7] == 0 {
		t.Fatalf("sent %v before any report, want %v at most each", sent, initialSoftLimit)
	}
	r.d.handleLoadReport(r.d.endpoints.byID[7], []float32{0})
	r.d.handleLoadReport(r.d.endpoints.byID[8], []float32{5})
	before := sent[7]
	for id := uint32(21); id <= 40; id++ {
		count(r.after(1, request(id, 0, uint16(id%3), 1)))
	}
	if sent[7] != before || sent[8] <= initialSoftLimit {
		t.Errorf("sent %v, want no more to the worker that old jobs fill and more to the other", sent)
	}
}
