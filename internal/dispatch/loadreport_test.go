package dispatch

import (
	"math"
	"math/rand"
	"testing"
)

// Where this node's own jobs have no influence on the reported occupancy, the default age stays. A candidate age that
// counts none of these jobs fits such reports best. It was once selected during drains, and all running jobs then
// counted as missing in the reports.
func TestReportAgeWithoutInfluenceOfOwnJobs(t *testing.T) {
	s := base()
	s.Nodes = 3
	s.ReportFields = []ReportField{FieldBusy, FieldFree}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	rng := rand.New(rand.NewSource(5))
	job, maxAge := uint32(0), 0.0
	var inFlight []Action
	for range 600 {
		var events []Event
		for range 3 { // so many that none is kept for as long as the greatest age
			job++
			events = append(events, request(job, 0, 0, 1))
		}
		for len(inFlight) > rng.Intn(5) {
			events = append(events, outcome(inFlight[0].Job, 0, inFlight[0].Executor, Served))
			inFlight = inFlight[1:]
		}
		for _, executor := range r.d.endpoints.listed {
			busy := 3 + 0.3*rng.Float32()
			r.d.handleLoadReport(executor, []float32{busy, 8 - busy})
		}
		for _, a := range r.after(100, events...) {
			if a.Kind == ActSend {
				inFlight = append(inFlight, a)
			}
		}
		maxAge = max(maxAge, r.d.reports.age)
	}
	if maxAge > 10*defaultReportAge*r.d.reports.interval || math.IsNaN(maxAge) {
		t.Errorf("report age estimated at up to %.0f ms with an interval of %.0f ms", maxAge, r.d.reports.interval)
	}
}

// Reports can be delayed by seconds without any sign of it. All nodes then fill the executors that were idle at that
// time. The age is estimated from the way in which the reported occupancy follows this node's own jobs, and falls again
// when the delay ends.
func TestReportAgeIsLearned(t *testing.T) { //nolint:gocognit // one course of events
	s := base()
	s.Nodes = 3
	s.ReportFields = []ReportField{FieldBusy, FieldFree}
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	rng := rand.New(rand.NewSource(5))
	type span struct {
		executor, job uint32
		from, to      float64
	}
	var spans []span // runs of this node's jobs
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
					events = append(events, outcome(sp.job, 0, sp.executor, Served))
				}
			}
			for _, executor := range r.d.endpoints.listed {
				busy := float32(rng.Intn(2))
				for _, sp := range spans {
					if sp.executor == executor.id && sp.from <= r.now-delay && sp.to > r.now-delay {
						busy++
					}
				}
				r.d.handleLoadReport(executor, []float32{busy + 0.01*rng.Float32(), 8 - busy})
			}
			for _, a := range r.step(events...) {
				if a.Kind == ActSend {
					spans = append(spans, span{a.Executor, a.Job, r.now, r.now + 200 + float64(rng.Intn(900))})
				}
			}
		}
	}
	play(20000, 60)
	if r.d.reports.age > 150 {
		t.Errorf("reports of 60 ms are estimated to be %.0f ms old, want at most 150", r.d.reports.age)
	}
	play(20000, 450)
	if r.d.reports.age < 250 || r.d.reports.age > 750 {
		t.Errorf("reports of 450 ms are estimated to be %.0f ms old, want 250 to 750", r.d.reports.age)
	}
	play(20000, 2400) // many report intervals; the interval itself stays the same
	if r.d.reports.age < 1500 || r.d.reports.age > 4000 {
		t.Errorf("reports of 2,400 ms are estimated to be %.0f ms old, want 1,500 to 4,000", r.d.reports.age)
	}
	play(20000, 60)
	if r.d.reports.age > 150 {
		t.Errorf("reports of 60 ms are still estimated to be %.0f ms old, want at most 150", r.d.reports.age)
	}
}

// The occupancy of executors may be unrelated to this node's own few jobs. The default age then stays selected.
func TestReportAgeIgnoresJobsOfOtherNodes(t *testing.T) {
	s := base()
	s.ReportFields = []ReportField{FieldBusy, FieldFree}
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
			r.after(50, outcome(a.Job, 0, a.Executor, Served))
		}
		if r.d.reports.selectedAge != 1 {
			t.Fatalf("after %d reports they are estimated to be %.0f ms old, want the default age", 2*i, r.d.reports.age)
		}
	}
}

// A restarted node has no jobs in flight while those of its former incarnation still run. The free slots come from
// reports, and an executor gets no more than the initial soft limit until its first report.
func TestRestartedNodeSeesOldJobsInReports(t *testing.T) {
	r := newRig(t, base(), ready(7, 0), ready(8, 0))
	sent := map[uint32]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActSend {
				sent[a.Executor]++
			}
		}
	}
	for id := uint32(1); id <= 20; id++ {
		count(r.step(request(id, 0, uint16(id%3), 1)))
	}
	if sent[7] > initialSoftLimit || sent[8] > initialSoftLimit || sent[7] == 0 {
		t.Fatalf("sent %v before any report, want 1 to %v at each executor", sent, initialSoftLimit)
	}
	r.d.handleLoadReport(r.d.endpoints.byID[7], []float32{0})
	r.d.handleLoadReport(r.d.endpoints.byID[8], []float32{5})
	before := sent[7]
	for id := uint32(21); id <= 40; id++ {
		count(r.after(1, request(id, 0, uint16(id%3), 1)))
	}
	if sent[7] != before || sent[8] <= initialSoftLimit {
		t.Errorf("sent %v, want no more to the executor that former jobs fill and more to the other", sent)
	}
}
