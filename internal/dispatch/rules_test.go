package dispatch

import "testing"

// Tests of the rules on repeats, drains and the list.

func TestAtMostOnceIsNeverRetriedOrRejectedOnceItMayHaveRun(t *testing.T) {
	for _, o := range []Outcome{Errored, Full, TimedOut, ConnectFailed, Reset, Cancelled, Moot} {
		r := newRig(t, base(), ready(7, 0), ready(8, 0))
		first := actionsOf(r.step(request(1, 2, 0, 1)), ActSend, 1)
		if len(first) != 1 {
			t.Fatal("not sent")
		}
		got := r.after(10, outcome(1, 0, first[0].Worker, o))
		sent, refused, failed := actionsOf(got, ActSend, 1), actionsOf(got, ActRefuse, 1), actionsOf(got, ActFail, 1)
		if o.NeverRan() && (len(sent) != 1 || len(failed) != 0) {
			t.Errorf("%d proves it never ran: want another try, got %v", o, got)
		}
		if !o.NeverRan() && (len(sent) != 0 || len(refused) != 0 || len(failed) != 1) {
			t.Errorf("%d may have run: want a failure, got %v", o, got)
		}
	}
}

func TestDrainingExecutorGetsNothing(t *testing.T) {
	for _, form := range []Form{ListDelta, ListFull} {
		for _, c := range []Condition{Draining, Gone} {
			row := ready(7, 0)
			r := newRig(t, base(), row)
			row.Condition = c
			got := r.after(1, request(1, 0, 0, 1), Event{Kind: EvList, Form: form, Rows: []Row{row}})
			if len(actionsOf(got, ActSend, 1)) != 0 {
				t.Errorf("sent in the batch that told of condition %d", c)
			}
		}
	}
	// A worker that a full list does not name is gone.
	r := newRig(t, base(), ready(7, 0))
	got := r.after(1, request(1, 0, 0, 1), Event{Kind: EvList, Form: ListFull})
	if len(actionsOf(got, ActSend, 1)) != 0 {
		t.Error("sent to a worker that the full list left out")
	}
}

func TestKeyedRetryStaysInItsScopeAndWindow(t *testing.T) {
	tests := []struct {
		name    string
		scope   Scope
		outcome Outcome
		after   float64
		to      uint32 // the only other worker ready after the first attempt
		sent    bool
		refused bool
	}{
		{"same cell", ScopeCell, Reset, 100, 8, true, false},
		{"other cell", ScopeCell, Reset, 100, 9, false, false},
		{"other cell, never ran", ScopeCell, Full, 100, 9, true, false},
		{"same zone", ScopeZone, Reset, 100, 9, true, false},
		{"other zone", ScopeZone, Reset, 100, 10, false, false},
		{"anywhere", ScopeAll, Reset, 100, 10, true, false},
		{"last moment of the window", ScopeCell, Reset, 1970, 8, true, false},
		{"window over", ScopeCell, Reset, 2000, 8, false, false},
		{"window over, group of all", ScopeAll, Reset, 2000, 8, false, true},
	}
	rows := map[uint32]Row{
		7:  {Worker: 7, Zone: 1, Cell: 1, Condition: Ready},
		8:  {Worker: 8, Zone: 1, Cell: 1, Condition: Ready},
		9:  {Worker: 9, Zone: 1, Cell: 2, Condition: Ready},
		10: {Worker: 10, Zone: 2, Cell: 3, Condition: Ready},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := base()
			s.Classes[1].Scope = tt.scope
			r := newRig(t, s, rows[7])
			if len(actionsOf(r.step(request(1, 1, 0, 1)), ActSend, 1)) != 1 {
				t.Fatal("not sent")
			}
			got := r.after(tt.after, Event{Kind: EvList, Form: ListFull, Rows: []Row{rows[tt.to]}},
				outcome(1, 0, 7, tt.outcome))
			if n := len(actionsOf(got, ActSend, 1)); (n == 1) != tt.sent {
				t.Errorf("%d sends, want sent %v", n, tt.sent)
			}
			if n := len(actionsOf(got, ActRefuse, 1)); (n == 1) != tt.refused {
				t.Errorf("%d refusals, want refused %v", n, tt.refused)
			}
		})
	}
}

// List out of reach while the fleet changes: the node asks again, neither once nor in a storm, works on with what it
// holds, and keeps to the new list at once when it comes.
func TestListOutOfReachWhileTheFleetChanges(t *testing.T) {
	s := base()
	s.Ask = true
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	asks, sends := 0, 0
	for i := range uint32(1000) {
		events := []Event{request(i+1, 0, 0, 1)}
		for _, a := range r.last {
			switch {
			case a.Kind == ActWatch:
				asks++
				events = append(events, Event{Kind: EvList, Form: ListFailed})
			case a.Kind == ActSend && a.Worker == 7: // it is gone, which no list says
				events = append(events, outcome(a.Job, 0, 7, ConnectFailed))
			case a.Kind == ActSend:
				sends++
				events = append(events, outcome(a.Job, 0, 8, Served, 4))
			}
		}
		r.after(20, events...)
	}
	if asks < 5 || asks > 100 {
		t.Errorf("asked %d times in 20 s", asks)
	}
	if sends < 700 {
		t.Errorf("%d of 1000 sent to the worker that is left", sends)
	}
	r.after(1, Event{Kind: EvList, Form: ListFull, Rows: []Row{ready(9, 0), {Worker: 8, Condition: Draining}}})
	for i := range uint32(50) {
		for _, a := range r.after(20, request(2000+i, 0, 0, 1)) {
			if a.Kind == ActSend && a.Worker != 9 {
				t.Fatalf("sent to worker %d, which drains or is gone", a.Worker)
			}
		}
	}
}
