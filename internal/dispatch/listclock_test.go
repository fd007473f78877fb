package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
)

// Discovery lists an executor some time after its process started, and changes of other executors confirm the list
// in between. If a start listed before the last confirmed list is always assumed to be now, the slow start of such
// an executor lasts too long, as in this log line of a node:
//
//	slow start opened executor=2706910991 age_ms=0 listed_age_ms=2068
//
// Requests were then rejected or late although executors could have served them. In a run where six in ten
// executors were replaced within 7 s, the result was 0.51 before that rule and 0.33 to 0.44 with it. The earlier
// starts show by how much the list's clock and this node's differ: a constant clock error does not change the
// difference between two delays, which is therefore trusted. The minimum delay is trusted as far as the margin of a
// budget tolerates it as an error.
func TestLateListedStartsGetTheirAge(t *testing.T) {
	const starts, minLag, maxLag, drift = 60, 700.0, 5000.0, 10.0 // ms
	tolerated := newRig(t, base()).d.slowStart.toleratedAgeError()
	for _, clock := range []float64{0, -1000, 1000, -30000, 30000, -hourMS, hourMS} {
		t.Run(fmt.Sprintf("list %.0f ms ahead", clock), func(t *testing.T) {
			simulated := simulateLateStarts(t, clock, 0, starts, minLag, maxLag)
			for i, start := range simulated {
				early := 0.0 // the error that the margin of a budget tolerates
				if clock < 0 && clock > -base().MaxSlowStartDuration {
					early = min(-clock, tolerated)
				}
				start.verifyNotEarly(t, early+drift, drift)
				if i == 0 {
					continue // there is no earlier start to compare it with
				}
				shortestLag := maxLag
				for _, other := range simulated[max(0, i-listClockSamples) : i+1] {
					shortestLag = min(shortestLag, other.lag)
				}
				startAllowed := shortestLag
				if clock == 0 {
					startAllowed = max(0, shortestLag-tolerated) // the clocks agree
				}
				start.verifyNotLate(t, startAllowed+drift, shortestLag+drift)
			}
		})
	}
}

// If the list's clock is stepped between two starts, no process is assumed to be older than it is, and no budget
// ends early.
func TestStartsAroundListClockStep(t *testing.T) {
	const starts, minLag, maxLag, drift = 60, 700.0, 5000.0, 10.0 // ms
	for _, step := range []float64{-hourMS, hourMS, -30000, 30000} {
		for _, start := range simulateLateStarts(t, 0, step, starts, minLag, maxLag) {
			start.verifyNotEarly(t, drift, drift)
		}
	}
}

// A process that responded to this node a moment ago was not replaced before that, regardless of the list's clock.
func TestStartIsAfterPredecessorsLastResponse(t *testing.T) {
	first, second := ready(7, 0), ready(8, 0)
	r := newRig(t, base(), first, second)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{first, second}})
	first.StartedAt = r.now - 100
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{first}})
	r.after(5000)
	r.d.recordActivity(r.d.endpoints.byID[8])
	respondedAt := r.now
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta})
	second.StartedAt = respondedAt - 3000
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{second}})
	if got := r.d.endpoints.byID[8].slowStart.startedAt; got < respondedAt {
		t.Errorf("estimated start is %.0f ms before its predecessor's last response", respondedAt-got)
	}
}

// All nodes together stay within what an executor that is warming up tolerates where the list's clock is behind by
// less than earlier starts can show.
func TestSlowStartBoundWithSlightlyWrongClocks(t *testing.T) {
	for _, behind := range []float64{0, 500, 1000, 2000, 2500, 4000} {
		t.Run(fmt.Sprintf("%.0f ms behind", behind), func(t *testing.T) {
			t.Parallel()
			verifyFleets(t, func(f *slowStartFleet) { f.listClock, f.restarts, f.restartInterval = -behind, 4, 5000 })
		})
	}
}

// lateStart is a true start and a node's estimate of it.
type lateStart struct {
	index                             int
	startedAt, lag, estimated, endsAt float64
}

func (s *lateStart) verifyNotEarly(t *testing.T, startAllowed, endAllowed float64) {
	t.Helper()
	if early := s.startedAt - s.estimated; early > startAllowed {
		t.Errorf("start %d: estimated %.0f ms too early, want at most %.0f", s.index, early, startAllowed)
	}
	if early := s.startedAt + base().MaxSlowStartDuration - s.endsAt; early > endAllowed {
		t.Errorf("start %d: budget ends %.0f ms too early, want at most %.0f", s.index, early, endAllowed)
	}
}

func (s *lateStart) verifyNotLate(t *testing.T, startAllowed, endAllowed float64) {
	t.Helper()
	if late := s.estimated - s.startedAt; late > startAllowed {
		t.Errorf("start %d: estimated %.0f ms too late, want at most %.0f", s.index, late, startAllowed)
	}
	if late := s.endsAt - s.startedAt - base().MaxSlowStartDuration; late > endAllowed {
		t.Errorf("start %d: budget ends %.0f ms too late, want at most %.0f", s.index, late, endAllowed)
	}
}

// simulateLateStarts simulates starts of executors that are listed late by a list whose clock is ahead, and is
// stepped after half of them. Other changes confirm the list between any two starts.
func simulateLateStarts(t *testing.T, clock, step float64, starts int, minLag, maxLag float64) []lateStart {
	t.Helper()
	random := rand.New(rand.NewSource(int64(clock + step)))
	updates := fleet(starts)
	for i := range updates {
		updates[i].StartedAt = 0
	}
	r := newRig(t, base(), updates...)
	r.now = 100 * hourMS
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: updates})
	r.after(maxLag)
	simulated := make([]lateStart, 0, starts)
	for i := range updates {
		if i == starts/2 {
			clock += step
		}
		r.after(300, Event{Kind: EvEndpoints, Form: ListDelta})
		startedAt := r.now + 10 - minLag - random.Float64()*(maxLag-minLag)
		updates[i].StartedAt = startedAt + clock
		r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{updates[i]}})
		start := &r.d.endpoints.byID[updates[i].Executor].slowStart
		simulated = append(simulated, lateStart{i, startedAt, r.now - startedAt, start.startedAt, start.endsAt})
	}
	return simulated
}
