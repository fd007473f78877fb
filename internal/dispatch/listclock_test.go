package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
)

// Discovery lists an executor some time after its process started, and changes of other executors confirm the list in
// between. A start that was listed before the last confirmed list was taken to be now, clocks right or not. From the
// log of one node (split of austin-flags):
//
//	slow start opened executor=2706910991 age_ms=0 listed_age_ms=2068
//
// Its budget ran for the whole time from there on. Requests were refused and late while executors that could have
// served them were held to their coldest budget: join of tallinn-tiles, where six in ten are replaced within 7 s, had
// 0.51 before that rule, 0.33 to 0.44 with it. The starts that were notified before tell by how much the list's clock
// and ours differ: the difference between the delays of two starts is believed, which no constant error of a clock
// changes, and of the least delay as much as the margin of a budget bears as an error.
func TestStartsListedLateHaveTheirAge(t *testing.T) {
	const starts, minLag, maxLag, drift = 60, 700.0, 5000.0, 10.0 // ms
	tolerated := newRig(t, base()).d.slowStart.toleratedAgeError()
	for _, clock := range []float64{0, -1000, 1000, -30000, 30000, -hourMS, hourMS} {
		t.Run(fmt.Sprintf("list %.0f ms ahead", clock), func(t *testing.T) {
			played := simulateLateStarts(t, clock, 0, starts, minLag, maxLag)
			for i, start := range played {
				early := 0.0 // what the margin of a budget bears where the clock is off
				if clock < 0 && clock > -base().MaxSlowStartDuration {
					early = min(-clock, tolerated)
				}
				start.verifyNotEarly(t, early+drift, drift)
				if i == 0 {
					continue // there is none to compare it with
				}
				leastLag := maxLag
				for _, other := range played[max(0, i-listClockSamples) : i+1] {
					leastLag = min(leastLag, other.lag)
				}
				likely := leastLag
				if clock == 0 {
					likely = max(0, leastLag-tolerated) // the clocks agree
				}
				start.verifyNotLate(t, likely+drift, leastLag+drift)
			}
		})
	}
}

// Where the list's clock is stepped between two starts, none is taken to be older than it is, and no budget ends
// early.
func TestStartsAroundAStepOfTheListsClock(t *testing.T) {
	const starts, minLag, maxLag, drift = 60, 700.0, 5000.0, 10.0 // ms
	for _, step := range []float64{-hourMS, hourMS, -30000, 30000} {
		for _, start := range simulateLateStarts(t, 0, step, starts, minLag, maxLag) {
			start.verifyNotEarly(t, drift, drift)
		}
	}
}

// A process that answered this node a moment ago has not been replaced for longer, whatever the list's clock says.
func TestStartLiesAfterTheLastAnswerOfTheFormerProcess(t *testing.T) {
	first, second := ready(7, 0), ready(8, 0)
	r := newRig(t, base(), first, second)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{first, second}})
	first.StartedAt = r.now - 100
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{first}})
	r.after(5000)
	r.d.recordActivity(r.d.endpoints.byID[8])
	answered := r.now
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta})
	second.StartedAt = answered - 3000
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{second}})
	if got := r.d.endpoints.byID[8].slowStart.startedAt; got < answered {
		t.Errorf("taken to have started %.0f ms before its predecessor's last answer", answered-got)
	}
}

// All nodes together keep within what an executor that warms up bears where the list's clock is behind by so little
// that earlier starts do not show it.
func TestSlowStartBoundWithSlightlyWrongClocks(t *testing.T) {
	for _, behind := range []float64{0, 500, 1000, 2000, 2500, 4000} {
		t.Run(fmt.Sprintf("%.0f ms behind", behind), func(t *testing.T) {
			t.Parallel()
			verifyFleets(t, func(f *slowStartFleet) { f.listClock, f.restarts, f.restartInterval = -behind, 4, 5000 })
		})
	}
}

// lateStart is a start as it was, and as a node took it.
type lateStart struct {
	index                            int
	startedAt, lag, estimated, until float64
}

func (s *lateStart) verifyNotEarly(t *testing.T, startAllowed, untilAllowed float64) {
	t.Helper()
	if early := s.startedAt - s.estimated; early > startAllowed {
		t.Errorf("start %d: taken to be %.0f ms before the true one, want %.0f at most", s.index, early, startAllowed)
	}
	if early := s.startedAt + base().MaxSlowStartDuration - s.until; early > untilAllowed {
		t.Errorf("start %d: its budget ends %.0f ms early, want %.0f at most", s.index, early, untilAllowed)
	}
}

func (s *lateStart) verifyNotLate(t *testing.T, startAllowed, untilAllowed float64) {
	t.Helper()
	if late := s.estimated - s.startedAt; late > startAllowed {
		t.Errorf("start %d: taken to be %.0f ms after the true one, want %.0f at most", s.index, late, startAllowed)
	}
	if late := s.until - s.startedAt - base().MaxSlowStartDuration; late > untilAllowed {
		t.Errorf("start %d: its budget ends %.0f ms late, want %.0f at most", s.index, late, untilAllowed)
	}
}

// simulateLateStarts plays starts of executors that are listed late by a list whose clock is ahead, and stepped half-way.
// Between any two of them other changes confirm the list.
func simulateLateStarts(t *testing.T, clock, step float64, starts int, minLag, maxLag float64) []lateStart {
	t.Helper()
	random := rand.New(rand.NewSource(int64(clock + step)))
	rows := fleet(starts)
	for i := range rows {
		rows[i].StartedAt = 0
	}
	r := newRig(t, base(), rows...)
	r.now = 100 * hourMS
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: rows})
	r.after(maxLag)
	played := make([]lateStart, 0, starts)
	for i := range rows {
		if i == starts/2 {
			clock += step
		}
		r.after(300, Event{Kind: EvEndpoints, Form: ListDelta})
		startedAt := r.now + 10 - minLag - random.Float64()*(maxLag-minLag)
		rows[i].StartedAt = startedAt + clock
		r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{rows[i]}})
		start := &r.d.endpoints.byID[rows[i].Executor].slowStart
		played = append(played, lateStart{i, startedAt, r.now - startedAt, start.startedAt, start.endsAt})
	}
	return played
}
