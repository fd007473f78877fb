package dispatch_test

import (
	"container/heap"
	"math"
	"testing"

	"gatetack/internal/dispatch"
)

// This file is a small, fully deterministic cluster of many Dispatchers. It does not model a real one. Its purpose is
// to give them every kind of event, in and out of order, together with the effects of their own actions.

// goldenRandom is a SplitMix64 generator. It is written out here so that the golden files do not depend on the sequence
// of a library.
type goldenRandom uint64

func (r *goldenRandom) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	x := uint64(*r)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (r *goldenRandom) float() float64            { return float64(r.next()>>11) / (1 << 53) }
func (r *goldenRandom) below(n int) int           { return int(r.next() % uint64(n)) }
func (r *goldenRandom) chance(p float64) bool     { return r.float() < p }
func (r *goldenRandom) span(a, b float64) float64 { return a + (b-a)*r.float() }

// goldenPlan holds the parameters of a run of the cluster.
type goldenPlan struct {
	name            string
	seed            uint64
	nodes           int
	executors       int
	duration        float64 // ms
	rate            float64 // requests per second of all nodes together
	keys            int     // number of affinity keys; 0: requests carry none
	memory          bool
	zonePrices      bool
	streams         bool
	workHintShare   float64 // fraction of the requests with a work hint
	faults          float64 // rate of faults relative to the default
	settingsUpdates bool
	settings        func(node int) dispatch.Settings
}

type goldenExecutor struct {
	endpoint           dispatch.EndpointUpdate
	slots              float64
	busySlots          float64
	queue              []*goldenAttempt
	running            int
	speed              float64
	down               bool    // accepts no connections
	unresponsive       bool    // accepts jobs and does not respond
	rejectsConnections bool    // rejects new connections, serves on open ones
	errorRate          float64 // fraction of the requests that end in an error
	failingClass       int     // class whose requests always end in an error here, -1 for none
	rejectsJobs        bool    // rejects all jobs as full
	incarnation        int
	served             int
	memory             float64
	sample             [9]float32 // by field
	attempts           []*goldenAttempt
	sampledAt          float64
}

type goldenAttempt struct {
	node, incarnation   int
	job                 uint32
	number              uint16
	executor            *goldenExecutor
	executorIncarnation int
	work                float64
	slots               float64
	class               int
	started             bool
	ended               bool
	endsAt              float64
}

type goldenRequest struct {
	event    dispatch.Event
	attempts []*goldenAttempt
	done     bool
	deadline float64
}

type goldenNode struct {
	dispatcher  *dispatch.Dispatcher
	incarnation int
	down        bool
	partitioned bool // exchanges no messages with peers
	requests    map[uint32]*goldenRequest
	pending     []dispatch.Event
	watching    bool
}

type goldenTimer struct {
	at    float64
	order int
	run   func()
}

type goldenQueue []goldenTimer

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenTimer)) }
func (q *goldenQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type goldenCluster struct {
	t           *testing.T
	plan        goldenPlan
	random      goldenRandom
	now         float64
	queue       goldenQueue
	order       int
	nodes       []*goldenNode
	executors   []*goldenExecutor
	version     uint32
	discovery   bool // whether discovery answers
	nextJob     uint32
	eventCounts map[dispatch.EventKind]int // events given to the Dispatchers, by kind
	recordStep  func(node int, actions []dispatch.Action)
}

const goldenStart = 1_000_000 // ms, the time at the start of each run

func newGoldenCluster(t *testing.T, plan goldenPlan, step func(node int, actions []dispatch.Action)) *goldenCluster {
	c := &goldenCluster{t: t, plan: plan, random: goldenRandom(plan.seed), now: goldenStart, discovery: true,
		eventCounts: map[dispatch.EventKind]int{}, recordStep: step, nextJob: 1}
	for i := range plan.executors {
		e := &goldenExecutor{slots: float64(2 + i%3), speed: 0.6 + 0.2*float64(i%5), failingClass: -1, memory: 16}
		e.endpoint = dispatch.EndpointUpdate{
			Executor:  uint32(100 + 3*i),
			Zone:      uint8(i % 3),
			Kind:      uint8(i % 2),
			Cell:      uint16(i % 5),
			Condition: dispatch.Ready,
			Weight:    float64(1 + i%3),
		}
		c.executors = append(c.executors, e)
	}
	for i := range plan.nodes {
		n := &goldenNode{}
		c.nodes = append(c.nodes, n)
		c.startNode(i)
	}
	c.schedule(1000/plan.rate, c.generateRequests)
	for _, fault := range []struct {
		every float64
		run   func()
	}{
		{900, c.injectExecutorFault}, {1400, c.restartExecutor}, {2300, c.drainExecutor}, {3100, c.restartNode},
		{2700, c.partitionNode}, {4100, c.stopDiscovery}, {700, c.injectMalformedEvent}, {500, c.changeWeights},
	} {
		c.repeat(fault.every/max(plan.faults, 0.01), fault.run)
	}
	if plan.settingsUpdates {
		c.repeat(1700, c.updateSettings)
	}
	return c
}

func (c *goldenCluster) schedule(after float64, run func()) {
	c.order++
	heap.Push(&c.queue, goldenTimer{c.now + math.Ceil(after), c.order, run})
}

func (c *goldenCluster) repeat(every float64, run func()) {
	c.schedule(every*c.random.span(0.5, 1.5), func() {
		run()
		c.repeat(every, run)
	})
}

func (c *goldenCluster) play() {
	end := c.now + c.plan.duration
	for len(c.queue) > 0 && c.queue[0].at <= end {
		c.now = c.queue[0].at
		for len(c.queue) > 0 && c.queue[0].at == c.now {
			heap.Pop(&c.queue).(goldenTimer).run()
		}
		for i, n := range c.nodes {
			if len(n.pending) == 0 || n.down {
				continue
			}
			events := n.pending
			n.pending = nil
			for k := range events {
				c.eventCounts[events[k].Kind]++
			}
			actions := n.dispatcher.Step(c.now, events, nil)
			c.recordStep(i, actions)
			for k := range actions {
				c.carryOut(i, n, &actions[k])
			}
		}
	}
}

// deliver gives an event to a node after a delay, unless the node is down or has restarted since.
func (c *goldenCluster) deliver(node, incarnation int, after float64, e dispatch.Event) {
	c.schedule(after, func() {
		if n := c.nodes[node]; n.incarnation == incarnation && !n.down {
			n.pending = append(n.pending, e)
		}
	})
}

func (c *goldenCluster) endpointUpdates() []dispatch.EndpointUpdate {
	updates := make([]dispatch.EndpointUpdate, 0, len(c.executors))
	for _, e := range c.executors {
		if e.endpoint.Condition != dispatch.Removed {
			updates = append(updates, e.endpoint)
		}
	}
	return updates
}

func (c *goldenCluster) startNode(i int) {
	n := c.nodes[i]
	n.incarnation++
	n.down, n.requests, n.pending = false, map[uint32]*goldenRequest{}, nil
	s := c.plan.settings(i)
	n.watching = !s.PollsList
	d, err := dispatch.New(s, c.random.next())
	if err != nil {
		c.t.Fatal(err)
	}
	n.dispatcher = d
	updates := c.endpointUpdates()
	if n.incarnation > 1 && len(updates) > 3 {
		updates = updates[:len(updates)-1] // the cached list is outdated
	}
	n.pending = []dispatch.Event{{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached, Version: c.version,
		Updates: updates}}
}

// Clients.

func (c *goldenCluster) generateRequests() {
	c.schedule(c.random.span(0, 2000/c.plan.rate), c.generateRequests)
	burst := 1
	if c.random.chance(0.02) {
		burst = 20
	}
	for range burst {
		node := c.random.below(len(c.nodes))
		if n := c.nodes[node]; n.down {
			continue
		}
		s := c.plan.settings(node)
		class := c.random.below(len(s.Classes))
		e := dispatch.Event{Kind: dispatch.EvRequest, Job: c.nextJob, Class: uint8(class), Slots: 1,
			TimeLeft: s.Classes[class].Deadline}
		c.nextJob++
		if len(s.Tenants) > 0 {
			e.Tenant = uint16(c.random.below(len(s.Tenants)) * c.random.below(2))
		}
		e.Work = s.Classes[class].Objective * c.random.span(0.1, 1.2)
		if c.random.chance(0.05) {
			e.Work *= 6
		}
		if c.random.chance(c.plan.workHintShare) {
			e.Flags |= dispatch.FlagWorkHint
		}
		if c.random.chance(0.1) {
			e.Slots = float64(1 + c.random.below(3))
		}
		if c.plan.keys > 0 {
			e.Key = uint64(1 + c.random.below(c.plan.keys)*c.random.below(3))
		}
		if c.plan.memory {
			e.Memory = c.random.span(0, 6)
		}
		if c.plan.zonePrices && c.random.chance(0.5) {
			e.ZonePrices = []float64{0, c.random.span(0, 0.4), c.random.span(0, 0.8)}
		}
		c.submit(node, e)
	}
}

func (c *goldenCluster) submit(node int, e dispatch.Event) {
	n := c.nodes[node]
	if n.down {
		return
	}
	r := &goldenRequest{event: e, deadline: c.now + e.TimeLeft}
	n.requests[e.Job] = r
	n.pending = append(n.pending, e)
	incarnation, job := n.incarnation, e.Job
	if e.Flags&dispatch.FlagWorkHint == 0 {
		r.event.Work = e.Work
	}
	if c.random.chance(0.04) {
		c.schedule(c.random.span(1, e.TimeLeft), func() { c.disconnectClient(node, incarnation, job) })
	}
	c.schedule(e.TimeLeft+5, func() { c.disconnectClient(node, incarnation, job) })
}

func (c *goldenCluster) disconnectClient(node, incarnation int, job uint32) {
	n := c.nodes[node]
	if n.incarnation != incarnation {
		return
	}
	r := n.requests[job]
	if r == nil || r.done {
		return
	}
	r.done = true
	n.pending = append(n.pending, dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: job})
	for _, a := range r.attempts {
		if !a.ended {
			c.endAttempt(a, dispatch.TimedOut, 1)
		}
	}
}
