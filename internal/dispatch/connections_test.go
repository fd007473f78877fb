package dispatch

import "testing"

// An executor that rejects new connections is still used over its open connections.
func TestFailedDialLeavesOpenConnections(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	load := &r.d.endpoints.listed[0].load
	load.freeSlots, load.reportedAt, load.slots = 4, r.now, 4
	r.step(request(1, 0, 0, 1))
	got := r.after(10, outcome(1, 0, 7, ConnectFailed))
	if len(actionsOf(got, ActSend, 1)) != 0 {
		t.Error("new connection opened without backoff")
	}
	r.d.endpoints.listed[0].connections.idleSince = append(r.d.endpoints.listed[0].connections.idleSince, r.now)
	if got := r.after(20, Event{Kind: EvTimer}); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("open connection not used")
	}
	if r.after(10, outcome(1, 1, 7, Served)); r.d.endpoints.listed[0].connections.dialFailures == 0 {
		t.Error("a job served over an open connection cleared the dial failures")
	}
}

// Where a connection carries several attempts, only the first of them needs a new one.
func TestSharedConnectionNeedsNoHandshake(t *testing.T) {
	for _, tt := range []struct {
		multiplex int
		open      []bool // for the second, third and fourth attempt while the first is in flight
	}{{1, []bool{false, false, false}}, {3, []bool{true, true, false}}} {
		s := base()
		s.MaxConcurrentStreams = tt.multiplex
		r := newRig(t, s, ready(7, 0))
		executor := r.d.endpoints.byID[7]
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 9, r.now, 9
		r.step(request(1, 0, 0, 1))
		executor.connections.opening = 0 // its connection is established
		r.d.jobs.byID[1].attempts[0].openedConnection = false
		for i, want := range tt.open {
			if got := r.d.hasOpenConnection(executor); got != want {
				t.Errorf("multiplex %d, %d out: warm %v, want %v", tt.multiplex, i+1, got, want)
			}
			r.after(1, Event{Kind: EvNotification, Job: uint32(i + 1), Topic: NotificationStarted},
				request(uint32(i+2), 0, 0, 1))
			executor.connections.opening = 0
		}
	}
}
