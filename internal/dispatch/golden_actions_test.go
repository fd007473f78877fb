package dispatch_test

import (
	"slices"

	"gatetack/internal/dispatch"
)

// This file simulates the effects of the actions at the executors, at discovery and at other nodes.

func (c *goldenCluster) carryOut(i int, n *goldenNode, a *dispatch.Action) {
	switch a.Kind {
	case dispatch.ActSend:
		c.send(i, n, a)
	case dispatch.ActReject, dispatch.ActFail:
		r := n.requests[a.Job]
		if r == nil || r.done {
			return
		}
		r.done = true
		if a.Kind == dispatch.ActReject && c.random.chance(0.5) {
			retry := r.event
			wait := max(a.Delay, 20)
			if retry.TimeLeft = r.deadline - c.now - wait; retry.TimeLeft > 50 {
				retry.Job = c.nextJob
				c.nextJob++
				retry.Flags |= dispatch.FlagRetry
				node := c.random.below(len(c.nodes))
				c.schedule(wait, func() { c.submit(node, retry) })
			}
		}
	case dispatch.ActCancel:
		if r := n.requests[a.Job]; r != nil && int(a.Attempt) < len(r.attempts) {
			x := r.attempts[a.Attempt]
			c.schedule(2, func() {
				switch {
				case x.ended:
				case x.started || x.executor.unresponsive:
					c.endAttempt(x, dispatch.Canceled, 1)
				default:
					c.endAttempt(x, dispatch.CanceledBeforeSend, 1)
				}
			})
		}
	case dispatch.ActTimer:
		c.deliver(i, n.incarnation, a.Delay, dispatch.Event{Kind: dispatch.EvTimer, Token: a.Token})
	case dispatch.ActHealthCheck:
		c.checkHealth(i, n, a.Executor)
	case dispatch.ActPollList:
		c.pollList(i, n.incarnation)
	case dispatch.ActGossip:
		c.sendGossip(i, a)
	}
}

func (c *goldenCluster) executor(id uint32) *goldenExecutor {
	for _, e := range c.executors {
		if e.endpoint.Executor == id {
			return e
		}
	}
	return nil
}

func (c *goldenCluster) send(i int, n *goldenNode, action *dispatch.Action) {
	e, r := c.executor(action.Executor), n.requests[action.Job]
	if e == nil || r == nil {
		c.t.Fatalf("node %d sends job %d to executor %d: unknown job or executor", i, action.Job, action.Executor)
	}
	a := &goldenAttempt{node: i, incarnation: n.incarnation, job: action.Job, number: uint16(len(r.attempts)), executor: e,
		executorIncarnation: e.incarnation, work: r.event.Work, slots: max(1, r.event.Slots), class: int(r.event.Class)}
	r.attempts = append(r.attempts, a)
	e.attempts = slices.DeleteFunc(append(e.attempts, a), func(a *goldenAttempt) bool { return a.ended })
	s := c.plan.settings(i)
	c.schedule(c.random.span(1, 5), func() { c.arriveAtExecutor(a, s) })
}

func (c *goldenCluster) arriveAtExecutor(a *goldenAttempt, s dispatch.Settings) {
	e := a.executor
	switch {
	case a.ended:
	case e.down || e.endpoint.Condition == dispatch.Removed || e.rejectsConnections && c.random.chance(0.7):
		c.endAttempt(a, dispatch.ConnectFailed, s.ConnectTimeout)
	case e.rejectsJobs, len(e.queue) > 6:
		c.endAttempt(a, dispatch.Full, 1)
	case c.random.chance(0.005):
		c.endAttempt(a, dispatch.CanceledBeforeSend, 3)
	case e.unresponsive:
		if s.StartNotifications {
			c.deliver(a.node, a.incarnation, 120, dispatch.Event{Kind: dispatch.EvNotification, Job: a.job, Attempt: a.number,
				Executor: e.endpoint.Executor, Topic: dispatch.NotificationAckOverdue})
		}
	default:
		e.queue = append(e.queue, a)
		c.startQueued(e)
	}
}

// startQueued starts the queued attempts of an executor while it has free slots.
func (c *goldenCluster) startQueued(e *goldenExecutor) {
	for len(e.queue) > 0 && !e.unresponsive {
		a := e.queue[0]
		if e.busySlots > 0 && e.busySlots+a.slots > e.slots {
			return
		}
		e.queue = e.queue[1:]
		if a.ended {
			continue
		}
		a.started = true
		e.busySlots += a.slots
		e.running++
		c.startAttempt(a)
	}
}

func (c *goldenCluster) startAttempt(a *goldenAttempt) {
	e, s := a.executor, c.plan.settings(a.node)
	run := max(1, a.work/e.speed*c.random.span(0.8, 1.3))
	notification := dispatch.Event{
		Kind:     dispatch.EvNotification,
		Job:      a.job,
		Attempt:  a.number,
		Executor: e.endpoint.Executor,
		Topic:    dispatch.NotificationStarted,
	}
	if s.StartNotifications {
		c.deliver(a.node, a.incarnation, 1, notification)
	}
	if s.ProgressInterval > 0 {
		notification.Topic = dispatch.NotificationProgress
		for at := s.ProgressInterval; at < run; at += s.ProgressInterval {
			notification.Amount = at / run
			progress := notification
			c.schedule(at, func() {
				if n := c.nodes[a.node]; !a.ended && !e.unresponsive && n.incarnation == a.incarnation && !n.down {
					n.pending = append(n.pending, progress)
				}
			})
		}
	}
	if c.plan.streams && c.random.chance(0.1) {
		c.deliver(a.node, a.incarnation, run/2, dispatch.Event{Kind: dispatch.EvStreamStarted, Job: a.job, Attempt: a.number,
			Executor: e.endpoint.Executor, Elapsed: run / 2})
	}
	outcome := dispatch.Served
	switch {
	case e.failingClass == a.class || c.random.chance(e.errorRate):
		outcome, run = dispatch.Errored, min(run, 20)
	case c.random.chance(0.004):
		outcome = dispatch.Reset
	case c.random.chance(0.01):
		outcome = dispatch.Errored
	}
	a.endsAt = c.now + run
	c.schedule(run, func() {
		if !a.ended && !e.unresponsive && a.executorIncarnation == e.incarnation {
			c.endAttempt(a, outcome, 1)
		}
	})
}

// endAttempt releases the slots of an attempt and delivers its outcome to the node.
func (c *goldenCluster) endAttempt(a *goldenAttempt, outcome dispatch.Outcome, after float64) {
	e, n := a.executor, c.nodes[a.node]
	a.ended = true
	if a.started && a.executorIncarnation == e.incarnation {
		e.busySlots -= a.slots
		e.running--
		if outcome == dispatch.Served {
			e.served++
		}
		c.startQueued(e)
	}
	if n.incarnation != a.incarnation {
		return
	}
	r := n.requests[a.job]
	final := false
	if outcome == dispatch.Served && !r.done {
		r.done, final = true, true
	}
	event := dispatch.Event{
		Kind:     dispatch.EvOutcome,
		Job:      a.job,
		Attempt:  a.number,
		Executor: e.endpoint.Executor,
		Outcome:  outcome,
		Elapsed:  after,
		Final:    final,
	}
	s := c.plan.settings(a.node)
	switch outcome {
	case dispatch.Served, dispatch.Errored, dispatch.Full:
		if s.Telemetry == dispatch.ReportAnswers {
			event.Report = c.report(e, s)
		}
	}
	c.deliver(a.node, a.incarnation, after, event)
}

// report returns the load report of an executor, from a sample that is renewed every 100 ms.
func (c *goldenCluster) report(e *goldenExecutor, s dispatch.Settings) []float32 {
	if c.now-e.sampledAt >= 100 || e.sampledAt == 0 {
		e.sampledAt = c.now
		queued := 0.0
		for _, a := range e.queue {
			queued += a.slots
		}
		noise := float32(c.random.float()) * 0.01
		for f, v := range map[dispatch.ReportField]float64{dispatch.FieldBusy: float64(e.running + len(e.queue)),
			dispatch.FieldPending: float64(len(e.queue)), dispatch.FieldUtil: min(1, e.busySlots/e.slots),
			dispatch.FieldLatency: 200 / e.speed, dispatch.FieldServed: float64(e.served), dispatch.FieldErrors: e.errorRate,
			dispatch.FieldFree: e.slots - queued - e.busySlots, dispatch.FieldMemory: e.memory - 2*e.busySlots} {
			e.sample[f] = float32(v) + noise
		}
	}
	out := make([]float32, len(s.ReportFields))
	for i, f := range s.ReportFields {
		out[i] = e.sample[f]
	}
	return out
}

func (c *goldenCluster) checkHealth(i int, n *goldenNode, id uint32) {
	e, s, incarnation := c.executor(id), c.plan.settings(i), n.incarnation
	c.schedule(c.random.span(1, 6), func() {
		event := dispatch.Event{Kind: dispatch.EvHealthCheck, Executor: id, Elapsed: 4}
		switch {
		case e == nil || e.down:
			event.Outcome = dispatch.ConnectFailed
		case e.unresponsive:
			event.Outcome = dispatch.TimedOut
		default:
			event.Outcome, event.Report = dispatch.Served, c.report(e, s)
		}
		c.deliver(i, incarnation, 1, event)
	})
}

func (c *goldenCluster) pollList(i, incarnation int) {
	c.schedule(3, func() {
		n := c.nodes[i]
		if n.incarnation != incarnation {
			return
		}
		e := dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListFailed}
		if c.discovery {
			e = dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListSnapshot, Version: c.version,
				Updates: c.endpointUpdates()}
			n.watching = true
		}
		n.pending = append(n.pending, e)
	})
}

func (c *goldenCluster) sendGossip(i int, a *dispatch.Action) {
	for k, n := range c.nodes {
		if k == i || int(a.To) != k && a.To != dispatch.AllPeers {
			continue
		}
		if n.partitioned || c.nodes[i].partitioned || c.random.chance(0.01) {
			continue
		}
		c.deliver(
			k,
			n.incarnation,
			c.random.span(1, 4),
			dispatch.Event{Kind: dispatch.EvGossip, From: uint32(i), Data: append([]byte(nil), a.Data...)},
		)
	}
}
