package virtual

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
)

// executor is a modelled executor.
type executor struct {
	world       *World
	plan        fleet.Executor
	id          uint32
	up          bool
	status      dispatch.Condition // condition in the endpoint list
	cold        bool
	booted      time.Duration
	incarnation int
	used        int
	waiting     []*attempt
}

func (x *executor) entry() dispatch.EndpointUpdate {
	r := dispatch.EndpointUpdate{Executor: x.id, Zone: uint8(x.plan.Zone), Kind: uint8(x.plan.Kind), Cell: uint16(x.plan.Rack), Condition: x.status, Weight: float64(x.plan.Slots)}
	if x.cold {
		r.StartedAt = clock(x.booted)
	}
	return r
}

// report returns a load report with the fields in the order of the settings.
func (x *executor) report() []float32 {
	return []float32{float32(len(x.waiting)), float32(x.plan.Slots - x.used)}
}

// speed returns the share of its capacity that the executor has now.
func (x *executor) speed() float64 {
	if !x.cold {
		return 1
	}
	r := x.world.rules
	return min(1, r.SlowStartMinShare+(1-r.SlowStartMinShare)*float64(x.world.now-x.booted)/float64(r.SlowStartDuration))
}

// kill ends the executor's incarnation without any message: dispatchers detect lost attempts by timeouts, as when a machine fails.
func (x *executor) kill() {
	if !x.up {
		return
	}
	x.up = false
	x.incarnation++
	x.world.observe(verdict.Event{Kind: verdict.Died, Executor: int32(x.plan.Number)})
	x.world.running -= x.used
	x.used, x.waiting = 0, nil
}

func (x *executor) boot() {
	if x.up {
		return
	}
	x.up, x.cold, x.booted = true, true, x.world.now
	x.world.observe(verdict.Event{Kind: verdict.Booted, Executor: int32(x.plan.Number), Slots: int32(x.plan.Slots)})
}

// event returns an event about the attempt for the judge.
func (t *attempt) event(k verdict.Kind) verdict.Event {
	return verdict.Event{Kind: k, Request: t.job.request, Task: int32(t.job.task.Number), Executor: int32(t.executor.plan.Number),
		Dispatcher: int16(t.dispatcher.number), Class: uint8(t.job.task.Class), Tenant: int32(t.job.task.Tenant), Slots: int32(t.job.task.Slots),
		FirstByte: t.dispatcher.world.now, Work: t.dispatcher.world.d.ExpectedRun(t.job.task.Class) * time.Duration(t.job.task.Slots)}
}

// arrive accepts or rejects an attempt.
func (x *executor) arrive(t *attempt) {
	w := x.world
	replyLatency := w.latency(t.dispatcher.number, x)
	switch {
	case t.over:
		return // canceled before it arrived
	case !x.up:
		w.after(replyLatency, func() { t.dispatcher.end(t, dispatch.ConnectFailed, nil) })
		return
	case len(x.waiting) >= queuePerSlot*x.plan.Slots || t.job.task.Slots > x.plan.Slots:
		w.observe(t.event(verdict.AttemptRejected))
		report := x.report()
		w.after(replyLatency, func() { t.dispatcher.end(t, dispatch.Full, report) })
		return
	}
	w.observe(t.event(verdict.Accepted))
	t.incarnation = x.incarnation
	x.waiting = append(x.waiting, t)
	x.startQueued()
}

// startQueued starts waiting attempts in the order of arrival while the first one fits into the free slots.
func (x *executor) startQueued() {
	w := x.world
	for len(x.waiting) > 0 && x.used+x.waiting[0].job.task.Slots <= x.plan.Slots {
		t := x.waiting[0]
		x.waiting = x.waiting[1:]
		x.used += t.job.task.Slots
		w.running += t.job.task.Slots
		w.counts.RunningPeak = max(w.counts.RunningPeak, w.running)
		x.start(t)
	}
}

func (x *executor) start(t *attempt) {
	w := x.world
	w.observe(t.event(verdict.Started))
	replyLatency := w.latency(t.dispatcher.number, x)
	w.after(replyLatency, func() {
		if !t.started {
			t.started = true
			w.counts.StartLatencies[t.job.task.Kind] = append(w.counts.StartLatencies[t.job.task.Kind], w.now-t.job.due)
		}
		x.notify(t, dispatch.NotificationStarted, 0)
	})
	run := time.Duration(float64(t.job.task.Run) / x.speed())
	x.progress(t, run, w.d.ProgressInterval(), w.d.ProgressInterval())
	w.after(run, func() { x.finish(t) })
}

// notify passes a notification about an attempt to its dispatcher, unless the attempt has ended.
func (x *executor) notify(t *attempt, topic uint8, amount float64) {
	if !t.over {
		t.dispatcher.event(dispatch.Event{Kind: dispatch.EvNotification, Job: t.job.id, Attempt: t.number, Executor: x.id, Topic: topic, Amount: amount})
	}
}

func (x *executor) progress(t *attempt, run, done, every time.Duration) {
	if done >= run {
		return
	}
	x.world.after(every, func() {
		if t.incarnation != x.incarnation || !x.up {
			return
		}
		x.notify(t, dispatch.NotificationProgress, float64(done)/float64(run))
		x.progress(t, run, done+every, every)
	})
}

func (x *executor) finish(t *attempt) {
	if t.incarnation != x.incarnation || !x.up {
		return // lost with its incarnation
	}
	w := x.world
	x.used -= t.job.task.Slots
	w.running -= t.job.task.Slots
	w.observe(t.event(verdict.Ended))
	x.startQueued()
	report := x.report()
	w.after(w.latency(t.dispatcher.number, x), func() { t.dispatcher.end(t, dispatch.Served, report) })
}
