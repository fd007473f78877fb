package dispatch

import (
	"strings"
	"testing"
)

// A node logs when it starts to shed load and when it has not done so for a while, and at no other time.
func TestLoadSheddingIsLoggedOnChange(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	executor := r.d.endpoints.byID[7]
	lines := []string{}
	for i := range 3000 {
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 0, r.now, 2
		var got []Action
		if i < 1000 {
			got = r.after(10, request(uint32(i+1), 0, 0, 1))
		} else {
			got = r.after(10, Event{Kind: EvTimer})
		}
		for _, a := range got {
			if a.Kind == ActLog && strings.HasPrefix(a.Text, "load shedding") {
				lines = append(lines, a.Text)
			}
		}
	}
	if len(lines) < 2 || len(lines) > 4 || !strings.HasPrefix(lines[0], "load shedding active=true capacity_slots=") ||
		!strings.HasPrefix(lines[1], "load shedding active=false capacity_slots=") ||
		!strings.Contains(lines[1], "ended_without_slots=") {
		t.Errorf("got log lines %q, want 2 to 4 that begin with a start and an end of load shedding", lines)
	}
	r.d.logBudget, r.d.logBudgetAt = 0, r.now
	for range 100 {
		r.d.rejections.active = true // simulates a change at every tick
		if got := actionsOf(r.after(20, Event{Kind: EvTimer}), ActLog, 0); len(got) != 0 {
			t.Fatal("a line was logged although the log budget is used up")
		}
	}
}

// Rejections carry a retry-after within the limit of the settings. Without one, clients retried at their own pace while
// no slots were free.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, maxRetryAfter := range []float64{0, 50, 2000} {
		s := base()
		s.MaxRetryAfter = maxRetryAfter
		r := newRig(t, s, ready(1, 1))
		var events []Event
		for id := range uint32(60) {
			events = append(events, request(id+1, 0, 0, 1))
		}
		rejected := 0
		for _, a := range r.step(events...) {
			if a.Kind != ActReject {
				continue
			}
			rejected++
			if maxRetryAfter == 0 && a.Delay != 0 || maxRetryAfter > 0 && !(a.Delay > 0 && a.Delay <= maxRetryAfter) {
				t.Errorf("retry-after limit %v: got a retry-after of %v", maxRetryAfter, a.Delay)
			}
		}
		if rejected == 0 {
			t.Error("no request was rejected, so the test checked nothing")
		}
	}
}

func TestAtMostOnceIsNeverRetriedOrRejectedOnceItMayHaveRun(t *testing.T) {
	for _, o := range []Outcome{Errored, Full, TimedOut, ConnectFailed, Reset, Canceled, CanceledBeforeSend} {
		r := newRig(t, base(), ready(7, 0), ready(8, 0))
		first := actionsOf(r.step(request(1, 2, 0, 1)), ActSend, 1)
		if len(first) != 1 {
			t.Fatal("not sent")
		}
		got := r.after(10, outcome(1, 0, first[0].Executor, o))
		sent, rejected, failed := actionsOf(got, ActSend, 1), actionsOf(got, ActReject, 1), actionsOf(got, ActFail, 1)
		if o.NeverRan() && (len(sent) != 1 || len(failed) != 0) {
			t.Errorf("outcome %d proves that the request never ran: want another attempt, got %v", o, got)
		}
		if !o.NeverRan() && (len(sent) != 0 || len(rejected) != 0 || len(failed) != 1) {
			t.Errorf("request with outcome %d may have run: want a failure, got %v", o, got)
		}
	}
}

func TestDrainingExecutorGetsNothing(t *testing.T) {
	for _, form := range []ListForm{ListDelta, ListSnapshot} {
		for _, c := range []Condition{Draining, Removed} {
			row := ready(7, 0)
			r := newRig(t, base(), row)
			row.Condition = c
			got := r.after(1, request(1, 0, 0, 1), Event{Kind: EvEndpoints, Form: form, Updates: []EndpointUpdate{row}})
			if len(actionsOf(got, ActSend, 1)) != 0 {
				t.Errorf("sent in the batch that notified condition %d", c)
			}
		}
	}
	// An executor that a snapshot does not contain has been removed.
	r := newRig(t, base(), ready(7, 0))
	got := r.after(1, request(1, 0, 0, 1), Event{Kind: EvEndpoints, Form: ListSnapshot})
	if len(actionsOf(got, ActSend, 1)) != 0 {
		t.Error("sent to an executor that the snapshot does not contain")
	}
}

func TestKeyedRetryStaysInItsScopeAndWindow(t *testing.T) {
	tests := []struct {
		name     string
		scope    DedupScope
		outcome  Outcome
		after    float64
		to       uint32 // the only other executor ready after the first attempt
		sent     bool
		rejected bool
	}{
		{"same cell", ScopeCell, Reset, 100, 8, true, false},
		{"other cell", ScopeCell, Reset, 100, 9, false, false},
		{"other cell, never ran", ScopeCell, Full, 100, 9, true, false},
		{"same zone", ScopeZone, Reset, 100, 9, true, false},
		{"other zone", ScopeZone, Reset, 100, 10, false, false},
		{"anywhere", ScopeAll, Reset, 100, 10, true, false},
		{"end of the window", ScopeCell, Reset, 1970, 8, true, false},
		{"window over", ScopeCell, Reset, 2000, 8, false, false},
		{"window over, anywhere", ScopeAll, Reset, 2000, 8, false, true},
	}
	rows := map[uint32]EndpointUpdate{
		7:  {Executor: 7, Zone: 1, Cell: 1, Condition: Ready},
		8:  {Executor: 8, Zone: 1, Cell: 1, Condition: Ready},
		9:  {Executor: 9, Zone: 1, Cell: 2, Condition: Ready},
		10: {Executor: 10, Zone: 2, Cell: 3, Condition: Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base()
			s.Classes[1].DedupScope = tt.scope
			r := newRig(t, s, rows[7])
			if len(actionsOf(r.step(request(1, 1, 0, 1)), ActSend, 1)) != 1 {
				t.Fatal("not sent")
			}
			got := r.after(tt.after, Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{rows[tt.to]}},
				outcome(1, 0, 7, tt.outcome))
			if n := len(actionsOf(got, ActSend, 1)); (n == 1) != tt.sent {
				t.Errorf("%d sends, want sent %v", n, tt.sent)
			}
			if n := len(actionsOf(got, ActReject, 1)); (n == 1) != tt.rejected {
				t.Errorf("%d rejections, want rejected %v", n, tt.rejected)
			}
		})
	}
}
