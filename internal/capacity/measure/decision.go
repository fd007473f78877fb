package measure

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"gatetack/internal/dispatch"
)

// Settings of the fleet whose decision module is measured. All tenants get equal reserved shares.
const (
	classObjectiveMs = 400
	classDeadlineMs  = 6000
	jobWorkMs        = 200
	slotsPerExecutor = 14 // 84,000 running tasks on 6,200 executors, rounded up
	firstExecutor    = 100
	zones            = 15
	cellsPerZone     = 4
	startMs          = 100_000
)

// Fleet is the size of the fleet in which the decision module of one process is measured.
type Fleet struct {
	Executors int
	Tenants   int
	Processes int
	Running   int // tasks of this process in flight during the measurement
	Seed      uint64
}

// settings returns the settings of one process of the fleet.
func (f Fleet) settings() dispatch.Settings {
	s := dispatch.Settings{
		Nodes: f.Processes, MinStepInterval: 1,
		Classes: []dispatch.Class{
			{Objective: classObjectiveMs, ObjectivePerWork: 2, Deadline: classDeadlineMs, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, Kind: -1},
			{Objective: classObjectiveMs, ObjectivePerWork: 2, Deadline: classDeadlineMs, PriorityWeight: 1, RetrySafety: dispatch.AtMostOnce, Kind: -1},
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

// endpointUpdates returns the endpoint updates of a list of all executors.
func (f Fleet) endpointUpdates() []dispatch.EndpointUpdate {
	updates := make([]dispatch.EndpointUpdate, f.Executors)
	for i := range updates {
		zone := i % zones
		updates[i] = dispatch.EndpointUpdate{Executor: uint32(firstExecutor + i), Zone: uint8(zone), Cell: uint16(zone*cellsPerZone + i/zones%cellsPerZone),
			Condition: dispatch.Ready, Weight: 1}
	}
	return updates
}

// dispatcher drives the decision module of one process that has tasks in flight.
type dispatcher struct {
	module   *dispatch.Dispatcher
	updates  []dispatch.EndpointUpdate
	fleet    Fleet
	random   *rand.Rand
	now      float64
	nextJob  uint32
	actions  []dispatch.Action
	inFlight []placement // oldest first
	rejected int
}

// placement is one attempt in flight.
type placement struct {
	job      uint32
	attempt  uint16
	executor uint32
}

func newDispatcher(f Fleet) (*dispatcher, error) {
	module, err := dispatch.New(f.settings(), f.Seed)
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	d := &dispatcher{module: module, updates: f.endpointUpdates(), fleet: f, random: rand.New(rand.NewPCG(f.Seed, 1)), now: startMs}
	d.step(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Updates: d.updates})
	return d, nil
}

// step passes events to the module and records the attempts that it sends.
func (d *dispatcher) step(events ...dispatch.Event) {
	d.actions = d.module.Step(d.now, events, d.actions[:0])
	for _, action := range d.actions {
		switch action.Kind {
		case dispatch.ActSend:
			d.inFlight = append(d.inFlight, placement{action.Job, action.Attempt, action.Executor})
		case dispatch.ActReject, dispatch.ActFail:
			d.rejected++
		}
	}
}

// submit passes the request of one job to the module.
func (d *dispatcher) submit() {
	d.nextJob++
	d.step(dispatch.Event{Kind: dispatch.EvRequest, Job: d.nextJob, Class: uint8(d.nextJob % 2), Tenant: uint16(d.random.IntN(max(d.fleet.Tenants, 1))),
		TimeLeft: classDeadlineMs, Work: jobWorkMs, Flags: dispatch.FlagWorkHint, Slots: 1})
}

// finish ends the attempt that has been in flight longest.
func (d *dispatcher) finish() {
	if len(d.inFlight) == 0 {
		return
	}
	first := d.inFlight[0]
	d.inFlight = d.inFlight[1:]
	d.step(dispatch.Event{Kind: dispatch.EvOutcome, Job: first.job, Attempt: first.attempt, Executor: first.executor, Outcome: dispatch.Served,
		Elapsed: jobWorkMs, Final: true, Report: []float32{slotsPerExecutor / 2}})
}

// job passes all events of one job to the module: its request, its start notification and its outcome.
func (d *dispatcher) job() {
	d.now += jobWorkMs / float64(max(d.fleet.Running, 1))
	d.submit()
	if len(d.inFlight) > 0 {
		last := d.inFlight[len(d.inFlight)-1]
		d.step(dispatch.Event{Kind: dispatch.EvNotification, Topic: dispatch.NotificationStarted, Job: last.job, Attempt: last.attempt, Executor: last.executor})
	}
	d.finish()
}

// fill submits as many jobs as the fleet has running tasks.
func (d *dispatcher) fill() {
	for range d.fleet.Running {
		d.submit()
	}
}

// DecisionMicrosPerJob returns the processor time, in microseconds, that the decision module needs for a job.
func DecisionMicrosPerJob(f Fleet) (float64, error) {
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
	if d.rejected > int(d.nextJob)/10 {
		return 0, fmt.Errorf("measure: %d of %d jobs were rejected, so the result would not be the cost of a job that runs", d.rejected, d.nextJob)
	}
	return float64(cost.Nanoseconds()) / 1000 / jobsPerRound, err
}

// EndpointUpdateMicros returns the processor time, in microseconds, that the module needs for one changed endpoint.
func EndpointUpdateMicros(f Fleet) (float64, error) {
	d, err := newDispatcher(f)
	if err != nil {
		return 0, err
	}
	const changesPerRound = 10
	cost, err := perOperation(func() error {
		for range changesPerRound {
			update := d.updates[d.random.IntN(len(d.updates))]
			d.now += 10
			update.StartedAt = d.now
			d.step(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta, Updates: []dispatch.EndpointUpdate{update}})
		}
		return nil
	})
	return float64(cost.Nanoseconds()) / 1000 / changesPerRound, err
}

// DecisionBytes returns the live memory of the module with its endpoint list and its tasks.
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
