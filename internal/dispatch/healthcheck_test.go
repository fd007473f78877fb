package dispatch

import "testing"

// A node without traffic at its start sends health checks soon after requests arrive.
func TestHealthChecksFollowTraffic(t *testing.T) {
	s := base()
	s.Telemetry, s.HealthChecksAllowed = ReportHealthChecks, true
	r := newRig(t, s, ready(7, 0))
	r.step(Event{Kind: EvHealthCheck, Executor: 7, Outcome: Served, Report: []float32{4}})
	checks := 0
	for id := uint32(1); id <= 100; id++ {
		answer := Event{Kind: EvHealthCheck, Executor: 7, Outcome: Served, Report: []float32{3}}
		for _, a := range r.after(20, request(id, 0, 0, 1), answer) {
			if a.Kind == ActHealthCheck {
				checks++
			}
		}
	}
	if checks < 3 {
		t.Errorf("%d health checks in 2 s at 50 requests per second, want at least 3", checks)
	}
}

// In a large fleet, periodic health checks of all executors would be outdated when a job arrives, and a node with
// little traffic would send many without use, 11 per request in one run. Instead, several executors are checked for
// each job, which waits a limited time for the answers.
func TestLargeFleetIsCheckedForEachJob(t *testing.T) {
	s := base()
	s.Nodes, s.HealthChecksAllowed, s.Telemetry = 100, true, ReportHealthChecks
	r := newRig(t, s, fleet(200)...)
	healthChecks := func(actions []Action) (ids []uint32) {
		for _, a := range actions {
			if a.Kind == ActHealthCheck {
				ids = append(ids, a.Executor)
			}
		}
		return ids
	}
	for range 100 {
		if got := healthChecks(r.after(40, Event{Kind: EvTimer})); len(got) > 0 {
			t.Fatalf("%d health checks without a job, want none", len(got))
		}
	}
	checked := healthChecks(r.after(1, request(1, 0, 0, 1)))
	if len(checked) == 0 || len(checked) > maxChecksPerRequest {
		t.Fatalf("%d health checks for a job, want 1 to %d", len(checked), maxChecksPerRequest)
	}
	if len(actionsOf(r.last, ActSend, 1)) != 0 {
		t.Fatal("job sent before its health checks were answered")
	}
	for i, id := range checked {
		free := float32(0)
		if i == 1 {
			free = 4
		}
		r.after(1, Event{Kind: EvHealthCheck, Executor: id, Outcome: Served, Report: []float32{free}})
	}
	if got := actionsOf(r.last, ActSend, 1); len(got) != 1 || got[0].Executor != checked[1] {
		t.Errorf("sends %v, want one to executor %d, which reported free slots", got, checked[1])
	}
	checked = healthChecks(r.after(1, request(2, 0, 0, 1)))
	if len(checked) == 0 {
		t.Fatal("no health checks for the second job")
	}
	if got := actionsOf(r.after(100, Event{Kind: EvTimer}), ActSend, 2); len(got) != 1 {
		t.Error("job not sent 100 ms after its health checks, which were not answered")
	}
}
