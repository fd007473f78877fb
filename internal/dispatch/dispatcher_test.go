package dispatch

import "testing"

// base returns the settings of a small site: three tenants, one class of each retry safety, load reports in outcomes.
func base() Settings {
	return Settings{
		Nodes: 1, MinStepInterval: 1,
		Classes: []Class{
			{Objective: 400, ObjectivePerWork: 2, Deadline: 6000, PriorityWeight: 1, RetrySafety: Idempotent, Kind: -1},
			{
				Objective:        400,
				ObjectivePerWork: 2,
				Deadline:         6000,
				PriorityWeight:   1,
				RetrySafety:      Keyed,
				DedupScope:       ScopeCell,
				DedupWindow:      2000,
				Kind:             -1,
			},
			{Objective: 400, ObjectivePerWork: 2, Deadline: 6000, PriorityWeight: 1, RetrySafety: AtMostOnce, Kind: -1},
		},
		Tenants:   []Tenant{{ReservedShare: 0.5}, {ReservedShare: 0.3}, {ReservedShare: 0.2}},
		Telemetry: ReportAnswers, ReportFields: []ReportField{FieldFree},
		ProgressInterval: 1000, StartNotifications: true,
		MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, MaxConcurrentStreams: 1,
		ConnIdleTimeout: 5000, ConnectTimeout: 250,
		AnswerSlack: 16, MaxPollInterval: 10000, DrainGrace: 500,
		OverloadMultiple: 4, OverloadWindow: 1500, SlowStartMinShare: 0.3, MaxSlowStartDuration: 9000,
	}
}

// rig drives a Dispatcher on a simulated clock and keeps the actions of its last step.
type rig struct {
	t    *testing.T
	d    *Dispatcher
	now  float64
	last []Action
}

func newRig(t *testing.T, s Settings, rows ...EndpointUpdate) *rig {
	t.Helper()
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, d: d, now: 100000}
	r.step(Event{Kind: EvEndpoints, Form: ListCached, Updates: rows})
	return r
}

func (r *rig) step(events ...Event) []Action {
	r.last = r.d.Step(r.now, events, nil)
	return r.last
}

func (r *rig) after(ms float64, events ...Event) []Action {
	r.now += ms
	return r.step(events...)
}

func ready(id uint32, cell uint16) EndpointUpdate {
	return EndpointUpdate{Executor: id, Cell: cell, Condition: Ready, Weight: 1}
}

func request(id uint32, class uint8, tenant uint16, slots float64) Event {
	return Event{Kind: EvRequest, Job: id, Class: class, Tenant: tenant, TimeLeft: 6000,
		Work: 200, Flags: FlagWorkHint, Slots: slots}
}

func outcome(job uint32, attempt uint16, executor uint32, o Outcome, report ...float32) Event {
	return Event{Kind: EvOutcome, Job: job, Attempt: attempt, Executor: executor, Outcome: o,
		Final: o == Served, Report: report}
}

// actionsOf returns the actions of a kind for a job.
func actionsOf(actions []Action, kind ActionKind, job uint32) []Action {
	var got []Action
	for _, a := range actions {
		if a.Kind == kind && a.Job == job {
			got = append(got, a)
		}
	}
	return got
}

// fleet returns the list entries of n executors of one kind, with numbers from 100 on.
func fleet(n int) []EndpointUpdate {
	rows := make([]EndpointUpdate, n)
	for i := range rows {
		rows[i] = ready(uint32(100+i), 0)
	}
	return rows
}
