package dispatch_test

import (
	"math"
	"slices"

	"gatetack/internal/dispatch"
)

// This file holds the faults of the golden runs: of executors, nodes and discovery, and events that violate the
// contract of the host.

// publishUpdates sends endpoint updates to all nodes that watch the endpoint list.
func (c *goldenCluster) publishUpdates(updates ...dispatch.EndpointUpdate) {
	c.version++
	for i, n := range c.nodes {
		if n.watching {
			c.deliver(
				i,
				n.incarnation,
				c.random.span(1, 30),
				dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta, Version: c.version,
					Updates: append([]dispatch.EndpointUpdate(nil), updates...)},
			)
		}
	}
}

func (c *goldenCluster) anyExecutor() *goldenExecutor {
	return c.executors[c.random.below(len(c.executors))]
}

func (c *goldenCluster) injectExecutorFault() {
	e := c.anyExecutor()
	span := c.random.span(200, 1500)
	var repair func()
	switch c.random.below(6) {
	case 0:
		e.down = true
		repair = func() { e.down = false }
	case 1:
		e.unresponsive = true
		repair = func() {
			e.unresponsive = false
			for _, a := range slices.Clone(e.attempts) {
				if a.started && !a.ended && c.now >= a.endsAt {
					c.endAttempt(a, dispatch.Served, 1)
				}
			}
			c.startQueued(e)
		}
	case 2:
		e.rejectsConnections = true
		repair = func() { e.rejectsConnections = false }
	case 3:
		e.errorRate = 0.7
		repair = func() { e.errorRate = 0 }
	case 4:
		e.failingClass = c.random.below(4)
		span *= 3
		repair = func() { e.failingClass = -1 }
	default:
		e.rejectsJobs = true
		repair = func() { e.rejectsJobs = false }
	}
	c.schedule(span, repair)
}

// killExecutor ends the process of an executor: the attempts in flight there are lost.
func (c *goldenCluster) killExecutor(e *goldenExecutor) {
	e.incarnation++
	e.busySlots, e.running, e.queue, e.unresponsive = 0, 0, nil, false
	lost := e.attempts
	e.attempts = nil
	for _, a := range lost {
		if a.ended {
			continue
		}
		outcome := dispatch.Reset
		if c.random.chance(0.2) {
			outcome = dispatch.TimedOut
		}
		c.endAttempt(a, outcome, 1)
	}
}

func (c *goldenCluster) restartExecutor() {
	e := c.anyExecutor()
	if e.endpoint.Condition == dispatch.Removed {
		return
	}
	c.killExecutor(e)
	e.down = true
	c.schedule(c.random.span(20, 300), func() {
		e.down, e.endpoint.StartedAt, e.endpoint.Condition = false, c.now, dispatch.Ready
		c.publishUpdates(e.endpoint)
	})
}

func (c *goldenCluster) drainExecutor() {
	e := c.anyExecutor()
	if e.endpoint.Condition != dispatch.Ready {
		return
	}
	e.endpoint.Condition = dispatch.Draining
	c.publishUpdates(e.endpoint)
	c.schedule(400, func() {
		e.endpoint.Condition = dispatch.Removed
		c.killExecutor(e)
		c.publishUpdates(e.endpoint)
		c.schedule(700, func() {
			e.endpoint.Condition, e.endpoint.StartedAt = dispatch.Ready, c.now
			e.endpoint.Zone = uint8(c.random.below(3))
			c.publishUpdates(e.endpoint)
		})
	})
}

func (c *goldenCluster) restartNode() {
	i := c.random.below(len(c.nodes))
	n := c.nodes[i]
	if n.down {
		return
	}
	n.down = true
	n.incarnation++
	c.schedule(c.random.span(50, 900), func() { c.startNode(i) })
}

func (c *goldenCluster) partitionNode() {
	n := c.nodes[c.random.below(len(c.nodes))]
	n.partitioned = true
	c.schedule(c.random.span(200, 2500), func() { n.partitioned = false })
}

func (c *goldenCluster) stopDiscovery() {
	c.discovery = false
	for i, n := range c.nodes {
		if n.watching && c.plan.settings(i).PollsList {
			n.watching = false
			c.deliver(i, n.incarnation, 2, dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListFailed})
		}
	}
	c.schedule(c.random.span(300, 1500), func() { c.discovery = true })
}

// changeWeights changes only the weights, often, as a list with live weights does.
func (c *goldenCluster) changeWeights() {
	var updates []dispatch.EndpointUpdate
	for i, e := range c.executors {
		if e.endpoint.Condition != dispatch.Removed {
			e.endpoint.Weight = float64(1+i%3) / (1 + float64(e.running+len(e.queue))/e.slots)
			updates = append(updates, e.endpoint)
		}
	}
	if len(c.nodes) > 0 && c.plan.settings(0).LiveWeights {
		c.publishUpdates(updates...)
	}
}

// injectMalformedEvent gives a node an event that violates the contract of the host.
func (c *goldenCluster) injectMalformedEvent() {
	i := c.random.below(len(c.nodes))
	n := c.nodes[i]
	if n.down {
		return
	}
	job := uint32(c.random.below(int(c.nextJob)))
	malformed := []dispatch.Event{
		{Kind: dispatch.EvOutcome, Job: 1 << 30, Executor: 100, Outcome: dispatch.Served, Report: []float32{1, 2, 3}},
		{Kind: dispatch.EvOutcome, Job: job, Attempt: 77, Executor: 103, Outcome: dispatch.Full},
		{Kind: dispatch.EvNotification, Job: job, Attempt: 9, Topic: dispatch.NotificationProgress},
		{Kind: dispatch.EvStreamStarted, Job: 1 << 30},
		{Kind: dispatch.EvClientDisconnected, Job: 1 << 30},
		{Kind: dispatch.EvGossip, From: 5000, Data: []byte{1, 2, 3}},
		{
			Kind: dispatch.EvGossip,
			From: uint32(c.random.below(len(c.nodes))),
			Data: []byte{byte(c.random.next()), byte(c.random.next()), 5, 1},
		},
		{Kind: dispatch.EvGossip, From: uint32(c.random.below(len(c.nodes)))},
		{Kind: dispatch.EvHealthCheck, Executor: 1 << 30, Outcome: dispatch.Served},
		{
			Kind:     dispatch.EvHealthCheck,
			Executor: 100,
			Outcome:  dispatch.Served,
			Report:   []float32{float32(math.NaN()), float32(math.Inf(1)), -1},
		},
		{Kind: dispatch.EvTimer, Token: 1 << 30},
		{Kind: dispatch.EvEndpoints, Form: dispatch.ListSnapshot, Version: c.version, Updates: c.endpointUpdates()},
		{
			Kind:    dispatch.EvEndpoints,
			Form:    dispatch.ListDelta,
			Updates: []dispatch.EndpointUpdate{{Executor: 1 << 30, Condition: dispatch.Removed}},
		},
	}
	n.pending = append(n.pending, malformed[c.random.below(len(malformed))])
	if c.random.chance(0.3) { // a request with invalid numbers, whose answer is ignored
		n.requests[c.nextJob] = &goldenRequest{deadline: c.now + 300, event: dispatch.Event{Work: 50, TimeLeft: 300}}
		n.pending = append(
			n.pending,
			dispatch.Event{Kind: dispatch.EvRequest, Job: c.nextJob, Class: 250, Tenant: 60000, Slots: math.NaN(),
				Memory: -3, TimeLeft: 300, Work: math.Inf(1), Flags: dispatch.FlagWorkHint},
		)
		incarnation, id := n.incarnation, c.nextJob
		c.schedule(305, func() { c.disconnectClient(i, incarnation, id) })
		c.nextJob++
	}
}

// updateSettings changes the classes, tenants and fees of a node while jobs are open.
func (c *goldenCluster) updateSettings() {
	i := c.random.below(len(c.nodes))
	n := c.nodes[i]
	if n.down {
		return
	}
	s := c.plan.settings(i)
	s.Fees.CrossZone += 0.1 * float64(c.random.below(3))
	s.MaxAttempts = 2 + c.random.below(3)
	s.OverQuotaWeight = 0.25 * float64(c.random.below(4))
	if c.random.chance(0.5) && len(s.Tenants) > 0 {
		s.Tenants = append(append([]dispatch.Tenant(nil), s.Tenants...), dispatch.Tenant{ReservedShare: 0.1, Quota: 3})
	}
	if c.random.chance(0.5) {
		s.Classes = append(
			append([]dispatch.Class(nil), s.Classes...),
			dispatch.Class{Objective: 700, Deadline: 3000, PriorityWeight: 2, Kind: -1},
		)
	}
	if c.random.chance(0.2) {
		s.MaxAttempts = 0 // rejected by validation
	}
	// The call also fails for shorter lists than the current ones and for the removal of a class with open jobs. Such
	// calls are part of the run.
	if err := n.dispatcher.UpdateSettings(s, map[int]int{len(s.Classes) - 1: 0}); err == nil {
		n.pending = append(n.pending, dispatch.Event{Kind: dispatch.EvTimer})
	}
}
