package measure

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"gatetack/internal/dispatch"
)

// Settings of the fleet whose decision module is measured. Tenants get equal portions.
const (
	classAimMS      = 400
	classDeadlineMS = 6000
	jobWorkMS       = 200
	slotsPerWorker  = 14 // 84,000 running tasks over 6,200 executors, rounded up
	firstWorker     = 100
	zones           = 15
	cellsPerZone    = 4
	startMS         = 100_000
)

// Fleet is the size that the decision module of one process is measured at.
type Fleet struct {
	Executors int
	Tenants   int
	Processes int
	Running   int // tasks of this process out at executors while it is measured
	Seed      uint64
}

// settings are those of one process of the fleet.
func (f Fleet) settings() dispatch.Settings {
	s := dispatch.Settings{
		Nodes: f.Processes, MinStepInterval: 1,
		Classes: []dispatch.Class{
			{Objective: classAimMS, ObjectivePerWork: 2, Deadline: classDeadlineMS, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, Kind: -1},
			{Objective: classAimMS, ObjectivePerWork: 2, Deadline: classDeadlineMS, PriorityWeight: 1, RetrySafety: dispatch.AtMostOnce, Kind: -1},
		},
		Telemetry: dispatch.ReportAnswers, ReportFields: []dispatch.ReportField{dispatch.FieldFree},
		ProgressInterval: 1000, StartNotifications: true,
		MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, MaxConcurrentStreams: 1,
		ConnIdleTimeout: 5000, ConnectTimeout: 250,
		AnswerSlack: 16, MaxPollInterval: 10000, DrainGrace: 500,
		OverloadMultiple: 4, OverloadWindow: 1500, SlowStartMinShare: 0.3, MaxSlowStartDuration: 9000,
	}
	for range f.Tenants {
		s.Tenants = append(s.Tenants, dispatch.Tenant{ReservedShare: 1 / float64(f.Tenants), Quota: 1e6})
	}
	return s
}

func (f Fleet) rows() []dispatch.EndpointUpdate {
	rows := make([]dispatch.EndpointUpdate, f.Executors)
	for i := range rows {
		zone := i % zones
		rows[i] = dispatch.EndpointUpdate{Executor: uint32(firstWorker + i), Zone: uint8(zone), Cell: uint16(zone*cellsPerZone + i/zones%cellsPerZone),
			Condition: dispatch.Ready, Weight: 1}
	}
	return rows
}

// dispatcher is one process's decision module in the middle of its work.
type dispatcher struct {
	module  *dispatch.Dispatcher
	rows    []dispatch.EndpointUpdate
	fleet   Fleet
	random  *rand.Rand
	now     float64
	nextJob uint32
	actions []dispatch.Action
	out     []placement // the oldest first
	refused int
}

// placement is one attempt that is out.
type placement struct {
	job     uint32
	attempt uint16
	worker  uint32
}

func newDispatcher(f Fleet) (*dispatcher, error) {
	module, err := dispatch.New(f.settings(), f.Seed)
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	d := &dispatcher{module: module, rows: f.rows(), fleet: f, random: rand.New(rand.NewPCG(f.Seed, 1)), now: startMS}
	d.step(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: d.rows})
	return d, nil
}

// step hands events over and keeps what is out.
func (d *dispatcher) step(events ...dispatch.Event) {
	d.actions = d.module.Step(d.now, events, d.actions[:0])
	for _, action := range d.actions {
		switch action.Kind {
		case dispatch.ActSend:
			d.out = append(d.out, placement{action.Job, action.Attempt, action.Executor})
		case dispatch.ActReject, dispatch.ActFail:
			d.refused++
		}
	}
}

// submit hands one job over.
func (d *dispatcher) submit() {
	d.nextJob++
	d.step(dispatch.Event{Kind: dispatch.EvRequest, Job: d.nextJob, Class: uint8(d.nextJob % 2), Tenant: uint16(d.random.IntN(max(d.fleet.Tenants, 1))),
		TimeLeft: classDeadlineMS, Work: jobWorkMS, Flags: dispatch.FlagWorkHint, Slots: 1})
}

// finish ends the attempt that is out for the longest time.
func (d *dispatcher) finish() {
	if len(d.out) == 0 {
		return
	}
	first := d.out[0]
	d.out = d.out[1:]
	d.step(dispatch.Event{Kind: dispatch.EvOutcome, Job: first.job, Attempt: first.attempt, Executor: first.worker, Outcome: dispatch.Served,
		Elapsed: jobWorkMS, Final: true, Report: []float32{slotsPerWorker / 2}})
}

// job is all that one job costs the module: its request, its start, its end and a tick between.
func (d *dispatcher) job() {
	d.now += jobWorkMS / float64(max(d.fleet.Running, 1))
	d.submit()
	if len(d.out) > 0 {
		last := d.out[len(d.out)-1]
		d.step(dispatch.Event{Kind: dispatch.EvNotification, Topic: dispatch.NotificationStarted, Job: last.job, Attempt: last.attempt, Executor: last.worker})
	}
	d.finish()
}

// fill puts as many tasks out as the fleet says.
func (d *dispatcher) fill() {
	for range d.fleet.Running {
		d.submit()
	}
}

// DecisionPerJob is the processor time, in microseconds, that the module takes for a job.
func DecisionPerJob(f Fleet) (float64, error) {
	d, err := newDispatcher(f)
	if err != nil {
		return 0, err
	}
	d.fill()
	const jobsPerRound = 200
	cost, err := perOperation(func() error {
		for range jobsPerRound {
			d.job()
		}
		return nil
	})
	if d.refused > int(d.nextJob)/10 {
		return 0, fmt.Errorf("measure: %d of %d jobs were refused, so the figure would not be that of a job that runs", d.refused, d.nextJob)
	}
	return float64(cost.Nanoseconds()) / 1000 / jobsPerRound, err
}

// ListRowChange is the processor time, in microseconds, of taking in one changed row of the list.
func ListRowChange(f Fleet) (float64, error) {
	d, err := newDispatcher(f)
	if err != nil {
		return 0, err
	}
	const changesPerRound = 10
	cost, err := perOperation(func() error {
		for range changesPerRound {
			row := d.rows[d.random.IntN(len(d.rows))]
			d.now += 10
			row.StartedAt = d.now
			d.step(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta, Updates: []dispatch.EndpointUpdate{row}})
		}
		return nil
	})
	return float64(cost.Nanoseconds()) / 1000 / changesPerRound, err
}

// DecisionBytes is the live memory of the module with its list and its tasks.
func DecisionBytes(f Fleet) (float64, error) {
	before := heapBytes()
	d, err := newDispatcher(f)
	if err != nil {
		return 0, err
	}
	d.fill()
	after := heapBytes()
	runtime.KeepAlive(d)
	return float64(after) - float64(before), nil
}
