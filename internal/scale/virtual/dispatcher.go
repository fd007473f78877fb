package virtual

import (
	"fmt"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// dispatcher runs one decision module, as the program's core does.
type dispatcher struct {
	world     *World
	number    int
	module    *dispatch.Dispatcher
	step      time.Duration // minimum time between steps
	batch     []dispatch.Event
	actions   []dispatch.Action
	stepAt    time.Duration
	scheduled bool // a step is in the event queue
	jobs      map[uint32]*job
	lastJob   uint32
	watches   bool
}

// job is a request of a dispatcher, which is unanswered or has open attempts.
type job struct {
	id           uint32
	request      uint64
	task         workload.Task
	due          time.Duration
	deadline     time.Duration
	attempts     []*attempt
	openAttempts int
	answered     bool
}

// attempt is one attempt of a job.
type attempt struct {
	job         *job
	dispatcher  *dispatcher
	number      uint16
	executor    *executor
	incarnation int // incarnation of the executor that accepted it
	sent        time.Duration
	over        bool
	started     bool
}

func newDispatcher(w *World, number int) (*dispatcher, error) {
	c, err := w.settings(number)
	if err != nil {
		return nil, err
	}
	module, err := dispatch.New(c.Settings, c.Seed)
	if err != nil {
		return nil, fmt.Errorf("dispatcher %d: %w", number, err)
	}
	d := &dispatcher{world: w, number: number, module: module, step: span(c.Settings.MinStepInterval), jobs: map[uint32]*job{}}
	d.event(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Version: w.listVersion, Updates: w.listEntries()})
	return d, nil
}

// listEntries returns the whole endpoint list.
func (w *World) listEntries() []dispatch.EndpointUpdate {
	var out []dispatch.EndpointUpdate
	for _, x := range w.executors {
		if x.status != dispatch.Removed {
			out = append(out, x.entry())
		}
	}
	return out
}

// event adds an event to the next step's batch and schedules the step.
func (d *dispatcher) event(e dispatch.Event) {
	d.batch = append(d.batch, e)
	if d.scheduled {
		return
	}
	d.scheduled = true
	d.world.at(d.stepAt, d.runStep)
}

// runStep runs one step of the module and carries out its actions.
func (d *dispatcher) runStep() {
	w := d.world
	d.scheduled = false
	d.stepAt = w.now + d.step
	batch := d.batch
	d.batch = nil
	w.counts.Steps++
	if w.meter != nil {
		w.meter.Begin(d.number)
	}
	d.actions = d.module.Step(clock(w.now), batch, d.actions[:0])
	if w.meter != nil {
		w.meter.End(d.number)
	}
	for i := range d.actions {
		d.act(&d.actions[i])
	}
}

func (d *dispatcher) act(a *dispatch.Action) {
	w := d.world
	switch a.Kind {
	case dispatch.ActSend:
		d.send(a)
	case dispatch.ActReject:
		d.answer(d.jobs[a.Job], verdict.Rejected, span(a.Delay))
	case dispatch.ActFail:
		d.answer(d.jobs[a.Job], verdict.Failed, 0)
	case dispatch.ActCancel:
		if j := d.jobs[a.Job]; j != nil && int(a.Attempt) < len(j.attempts) {
			d.end(j.attempts[a.Attempt], dispatch.Canceled, nil)
		}
	case dispatch.ActTimer:
		token := a.Token
		w.after(span(a.Delay), func() { d.event(dispatch.Event{Kind: dispatch.EvTimer, Token: token}) })
	case dispatch.ActHealthCheck:
		d.healthCheck(a.Executor)
	case dispatch.ActPollList:
		d.watches = a.Subscribe
		if a.Subscribe {
			w.after(listLatency, func() {
				d.event(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListSnapshot, Version: w.listVersion, Updates: w.listEntries()})
			})
		}
	case dispatch.ActGossip:
		d.gossip(a)
	}
}

// listChanged passes a change of the list to the module if it watches the list.
func (d *dispatcher) listChanged(e dispatch.Event, executors []int, c dispatch.Condition) {
	d.world.after(listLatency, func() {
		if d.watches {
			d.event(e)
		}
		condition := map[dispatch.Condition]verdict.Condition{dispatch.Ready: verdict.Ready, dispatch.Draining: verdict.Draining, dispatch.Removed: verdict.Removed}[c]
		for _, x := range executors {
			d.world.observe(verdict.Event{Kind: verdict.Listed, Dispatcher: int16(d.number), Executor: int32(x), Condition: condition})
		}
	})
}

func (d *dispatcher) gossip(a *dispatch.Action) {
	w := d.world
	data := append([]byte(nil), a.Data...)
	w.counts.GossipMessages++
	for _, other := range w.dispatchers {
		if other == d || a.To != dispatch.AllPeers && int(a.To) != other.number {
			continue
		}
		w.counts.GossipBytes += len(data)
		w.after(peerLatency, func() { other.event(dispatch.Event{Kind: dispatch.EvGossip, From: uint32(d.number), Data: data}) })
	}
}

func (d *dispatcher) healthCheck(executor uint32) {
	w := d.world
	w.counts.HealthChecks++
	i, ok := w.byID[executor]
	if !ok {
		return
	}
	x := w.executors[i]
	roundTrip := 2 * w.latency(d.number, x)
	w.after(roundTrip, func() {
		e := dispatch.Event{Kind: dispatch.EvHealthCheck, Executor: executor, Outcome: dispatch.ConnectFailed, Elapsed: millis(roundTrip)}
		if x.up {
			e.Outcome, e.Report = dispatch.Served, x.report()
		}
		d.event(e)
	})
}

// send starts an attempt.
func (d *dispatcher) send(a *dispatch.Action) {
	w := d.world
	j := d.jobs[a.Job]
	i, known := w.byID[a.Executor]
	if j == nil || !known {
		return
	}
	t := &attempt{job: j, dispatcher: d, number: uint16(len(j.attempts)), executor: w.executors[i], sent: w.now}
	j.attempts = append(j.attempts, t)
	j.openAttempts++
	w.counts.Sends++
	until := j.deadline - answerMargin
	if a.Delay > 0 {
		until = min(until, w.now+span(a.Delay))
	}
	if j.answered || until <= w.now {
		d.end(t, dispatch.CanceledBeforeSend, nil)
		return
	}
	w.at(until, func() { d.end(t, dispatch.TimedOut, nil) })
	w.after(w.latency(d.number, t.executor), func() { t.executor.arrive(t) })
}

// end passes the outcome of an attempt to the module, at most once.
func (d *dispatcher) end(t *attempt, o dispatch.Outcome, report []float32) {
	if t.over {
		return
	}
	t.over = true
	j := t.job
	j.openAttempts--
	if o == dispatch.Served {
		d.answer(j, verdict.Served, 0)
	}
	d.event(dispatch.Event{Kind: dispatch.EvOutcome, Job: j.id, Attempt: t.number, Executor: t.executor.id, Outcome: o, Elapsed: millis(d.world.now - t.sent),
		Final: j.answered, Report: report})
	d.forget(j)
}

func (d *dispatcher) forget(j *job) {
	if j.answered && j.openAttempts == 0 {
		delete(d.jobs, j.id)
	}
}

// answer gives the final answer to a job, at most once.
func (d *dispatcher) answer(j *job, a verdict.Answer, retry time.Duration) {
	if j == nil || j.answered {
		return
	}
	j.answered = true
	d.world.observe(verdict.Event{Kind: verdict.Answered, Request: j.request, Answer: a})
	d.world.answered(j, a, retry)
	d.forget(j)
}

// submit accepts a request and passes it to the module.
func (d *dispatcher) submit(j *job) {
	w := d.world
	d.lastJob++
	j.id = d.lastJob
	d.jobs[j.id] = j
	d.event(dispatch.Event{Kind: dispatch.EvRequest, Job: j.id, Class: uint8(j.task.Class), Tenant: uint16(j.task.Tenant), TimeLeft: millis(j.deadline - w.now),
		Slots: float64(j.task.Slots)})
	w.at(j.deadline-overdueMargin, func() { d.overdue(j) })
}

// overdue answers a job that the module has not answered in time.
func (d *dispatcher) overdue(j *job) {
	if j.answered {
		return
	}
	answer := verdict.Failed
	if len(j.attempts) == 0 {
		answer = verdict.Rejected
	}
	d.event(dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: j.id})
	d.answer(j, answer, 0)
}
