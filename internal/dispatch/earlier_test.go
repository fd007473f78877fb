package dispatch

import "testing"

// A request that may have run before this dispatcher got it goes only to another executor that deduplicates it, within
// the window from that attempt, also if the executor of the attempt is no longer listed.
func TestRequestWithAnEarlierAttempt(t *testing.T) {
	const earlierExecutor = 7
	scoped := func(scope DedupScope) Settings {
		s := base()
		s.Classes[1].DedupScope = scope
		return s
	}
	for _, x := range []struct {
		what    string
		class   uint8
		scope   DedupScope
		age     float64
		listed  []EndpointUpdate
		sentTo  []uint32 // empty: not sent
		answers ActionKind
	}{
		{"any executor", 1, ScopeAll, 1000, []EndpointUpdate{ready(7, 0), ready(8, 1)}, []uint32{8}, 0},
		{"window over", 1, ScopeAll, 2000, []EndpointUpdate{ready(7, 0), ready(8, 1)}, nil, ActReject},
		{"same cell", 1, ScopeCell, 1000, []EndpointUpdate{ready(7, 0), ready(8, 0), ready(9, 1)}, []uint32{8}, 0},
		{"executor not listed", 1, ScopeCell, 1000, []EndpointUpdate{ready(8, 0), ready(9, 1)}, []uint32{8}, 0},
		{"no executor of the cell", 1, ScopeCell, 1990, []EndpointUpdate{ready(7, 0), ready(9, 1)}, nil, ActFail},
		{"at most once", 2, ScopeAll, 10, []EndpointUpdate{ready(7, 0), ready(8, 0)}, nil, ActFail},
		{"idempotent", 0, ScopeAll, 9000, []EndpointUpdate{ready(8, 0)}, []uint32{8}, 0},
	} {
		r := newRig(t, scoped(x.scope), x.listed...)
		arrival := request(1, x.class, 0, 1)
		arrival.Earlier = &EarlierAttempt{Executor: earlierExecutor, Age: x.age}
		got := r.step(arrival)
		for range 40 {
			got = append(got, r.after(10, Event{Kind: EvTimer, Token: r.d.lastTimerToken})...)
		}
		sent := actionsOf(got, ActSend, 1)
		if len(sent) != len(x.sentTo) || len(sent) > 0 && sent[0].Executor != x.sentTo[0] {
			t.Errorf("%s: sent %+v, want to %v", x.what, sent, x.sentTo)
		}
		if x.sentTo == nil && len(actionsOf(got, x.answers, 1)) != 1 {
			t.Errorf("%s: actions %+v, want one answer of kind %d", x.what, got, x.answers)
		}
	}
}
