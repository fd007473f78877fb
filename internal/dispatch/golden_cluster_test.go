package dispatch_test

import (
	"container/heap"
	"math"
	"slices"
	"testing"

	"gatetack/internal/dispatch"
)

// This file is a small, fully deterministic cluster around many Dispatchers. It is not a model of a real one: it is to
// bring every kind of event, in and out of order, to the module, with what the module's own actions lead to.

// goldenRandom is splitmix64: written out here, for the golden files must not hang on a library's sequence.
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

// goldenPlan is what a run of the cluster is made of.
type goldenPlan struct {
	name      string
	seed      uint64
	nodes     int
	executors int
	duration  float64 // ms
	rate      float64 // requests a second of all nodes
	keys      int     // 0: requests carry none
	memory    bool
	prices    bool
	streams   bool
	hints     float64 // part of the requests with a hint of their work
	faults    float64 // 1: the usual number of faults
	retunes   bool
	settings  func(node int) dispatch.Settings
}

type goldenExecutor struct {
	row     dispatch.Row
	slots   float64
	busy    float64
	queue   []*goldenAttempt
	running int
	speed   float64
	down    bool    // takes no connection
	hung    bool    // accepts and says nothing
	deaf    bool    // turns new connections away, serves on old ones
	errs    float64 // part of the requests that err
	badKind int     // class that always errs here, -1 for none
	drains  bool    // turns all away as full
	life    int
	served  int
	memory  float64
	sample  [9]float32 // by field
	outs    []*goldenAttempt
	sampled float64
}

type goldenAttempt struct {
	node, life int
	job        uint32
	number     uint16
	executor   *goldenExecutor
	execLife   int
	work       float64
	slots      float64
	class      int
	began      bool
	ended      bool
	stop       float64
}

type goldenRequest struct {
	event    dispatch.Event
	attempts []*goldenAttempt
	done     bool
	due      float64
}

type goldenNode struct {
	dispatcher *dispatch.Dispatcher
	life       int
	down       bool
	cut        bool // hears no peer
	requests   map[uint32]*goldenRequest
	pending    []dispatch.Event
	watching   bool
}

type goldenItem struct {
	at    float64
	order int
	run   func()
}

type goldenQueue []goldenItem

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(x any)   { *q = append(*q, x.(goldenItem)) }
func (q *goldenQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type goldenCluster struct {
	t         *testing.T
	plan      goldenPlan
	random    goldenRandom
	now       float64
	queue     goldenQueue
	order     int
	nodes     []*goldenNode
	executors []*goldenExecutor
	version   uint32
	discovery bool // answers
	nextJob   uint32
	kinds     map[dispatch.EventKind]int // events that the module was given
	step      func(node int, actions []dispatch.Action)
}

const goldenStart = 1_000_000 // ms, the clock at the start of each run

func newGoldenCluster(t *testing.T, plan goldenPlan, step func(node int, actions []dispatch.Action)) *goldenCluster {
	c := &goldenCluster{t: t, plan: plan, random: goldenRandom(plan.seed), now: goldenStart, discovery: true,
		kinds: map[dispatch.EventKind]int{}, step: step, nextJob: 1}
	for i := range plan.executors {
		e := &goldenExecutor{slots: float64(2 + i%3), speed: 0.6 + 0.2*float64(i%5), badKind: -1, memory: 16}
		e.row = dispatch.Row{Worker: uint32(100 + 3*i), Zone: uint8(i % 3), Kind: uint8(i % 2), Cell: uint16(i % 5),
			Condition: dispatch.Ready, Scale: float64(1 + i%3)}
		c.executors = append(c.executors, e)
	}
	for i := range plan.nodes {
		n := &goldenNode{}
		c.nodes = append(c.nodes, n)
		c.startNode(i)
	}
	c.at(1000/plan.rate, c.arrive)
	for _, fault := range []struct {
		every float64
		run   func()
	}{
		{900, c.faultAtExecutor}, {1400, c.restartExecutor}, {2300, c.drainExecutor}, {3100, c.restartNode},
		{2700, c.cutNode}, {4100, c.stopDiscovery}, {700, c.oddEvent}, {500, c.weights},
	} {
		c.repeat(fault.every/max(plan.faults, 0.01), fault.run)
	}
	if plan.retunes {
		c.repeat(1700, c.retune)
	}
	return c
}

func (c *goldenCluster) at(after float64, run func()) {
	c.order++
	heap.Push(&c.queue, goldenItem{c.now + math.Ceil(after), c.order, run})
}

func (c *goldenCluster) repeat(every float64, run func()) {
	c.at(every*c.random.span(0.5, 1.5), func() {
		run()
		c.repeat(every, run)
	})
}

func (c *goldenCluster) play() {
	end := c.now + c.plan.duration
	for len(c.queue) > 0 && c.queue[0].at <= end {
		c.now = c.queue[0].at
		for len(c.queue) > 0 && c.queue[0].at == c.now {
			heap.Pop(&c.queue).(goldenItem).run()
		}
		for i, n := range c.nodes {
			if len(n.pending) == 0 || n.down {
				continue
			}
			events := n.pending
			n.pending = nil
			for k := range events {
				c.kinds[events[k].Kind]++
			}
			actions := n.dispatcher.Step(c.now, events, nil)
			c.step(i, actions)
			for k := range actions {
				c.carryOut(i, n, &actions[k])
			}
		}
	}
}

// give hands an event to a life of a node, after a while.
func (c *goldenCluster) give(node, life int, after float64, e dispatch.Event) {
	c.at(after, func() {
		if n := c.nodes[node]; n.life == life && !n.down {
			n.pending = append(n.pending, e)
		}
	})
}

func (c *goldenCluster) rows() []dispatch.Row {
	rows := make([]dispatch.Row, 0, len(c.executors))
	for _, e := range c.executors {
		if e.row.Condition != dispatch.Gone {
			rows = append(rows, e.row)
		}
	}
	return rows
}

func (c *goldenCluster) startNode(i int) {
	n := c.nodes[i]
	n.life++
	n.down, n.requests, n.pending = false, map[uint32]*goldenRequest{}, nil
	s := c.plan.settings(i)
	n.watching = !s.Ask
	d, err := dispatch.New(s, c.random.next())
	if err != nil {
		c.t.Fatal(err)
	}
	n.dispatcher = d
	rows := c.rows()
	if n.life > 1 && len(rows) > 3 {
		rows = rows[:len(rows)-1] // what was held is old
	}
	n.pending = []dispatch.Event{{Kind: dispatch.EvList, Form: dispatch.ListCached, Version: c.version, Rows: rows}}
}

// ---- clients

func (c *goldenCluster) arrive() {
	c.at(c.random.span(0, 2000/c.plan.rate), c.arrive)
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
		e.Work = s.Classes[class].Aim * c.random.span(0.1, 1.2)
		if c.random.chance(0.05) {
			e.Work *= 6
		}
		if c.random.chance(c.plan.hints) {
			e.Flags |= dispatch.FlagWork
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
		if c.plan.prices && c.random.chance(0.5) {
			e.Prices = []float64{0, c.random.span(0, 0.4), c.random.span(0, 0.8)}
		}
		c.ask(node, e)
	}
}

func (c *goldenCluster) ask(node int, e dispatch.Event) {
	n := c.nodes[node]
	if n.down {
		return
	}
	r := &goldenRequest{event: e, due: c.now + e.TimeLeft}
	n.requests[e.Job] = r
	n.pending = append(n.pending, e)
	life, job := n.life, e.Job
	if e.Flags&dispatch.FlagWork == 0 {
		r.event.Work = e.Work
	}
	if c.random.chance(0.04) {
		c.at(c.random.span(1, e.TimeLeft), func() { c.leave(node, life, job) })
	}
	c.at(e.TimeLeft+5, func() { c.leave(node, life, job) })
}

func (c *goldenCluster) leave(node, life int, job uint32) {
	n := c.nodes[node]
	if n.life != life {
		return
	}
	r := n.requests[job]
	if r == nil || r.done {
		return
	}
	r.done = true
	n.pending = append(n.pending, dispatch.Event{Kind: dispatch.EvGone, Job: job})
	for _, a := range r.attempts {
		if !a.ended {
			c.end(a, dispatch.TimedOut, 1)
		}
	}
}

// ---- what actions lead to

func (c *goldenCluster) carryOut(i int, n *goldenNode, a *dispatch.Action) {
	switch a.Kind {
	case dispatch.ActSend:
		c.send(i, n, a)
	case dispatch.ActRefuse, dispatch.ActFail:
		r := n.requests[a.Job]
		if r == nil || r.done {
			return
		}
		r.done = true
		if a.Kind == dispatch.ActRefuse && c.random.chance(0.5) {
			again := r.event
			wait := max(a.For, 20)
			if again.TimeLeft = r.due - c.now - wait; again.TimeLeft > 50 {
				again.Job = c.nextJob
				c.nextJob++
				again.Flags |= dispatch.FlagRepeat
				node := c.random.below(len(c.nodes))
				c.at(wait, func() { c.ask(node, again) })
			}
		}
	case dispatch.ActCancel:
		if r := n.requests[a.Job]; r != nil && int(a.Attempt) < len(r.attempts) {
			x := r.attempts[a.Attempt]
			c.at(2, func() {
				switch {
				case x.ended:
				case x.began || x.executor.hung:
					c.end(x, dispatch.Cancelled, 1)
				default:
					c.end(x, dispatch.Moot, 1)
				}
			})
		}
	case dispatch.ActTimer:
		c.give(i, n.life, a.For, dispatch.Event{Kind: dispatch.EvTimer, Token: a.Token})
	case dispatch.ActProbe:
		c.probe(i, n, a.Worker)
	case dispatch.ActWatch:
		c.watch(i, n.life)
	case dispatch.ActTell:
		c.tell(i, a)
	}
}

func (c *goldenCluster) executor(id uint32) *goldenExecutor {
	for _, e := range c.executors {
		if e.row.Worker == id {
			return e
		}
	}
	return nil
}

func (c *goldenCluster) send(i int, n *goldenNode, action *dispatch.Action) {
	e, r := c.executor(action.Worker), n.requests[action.Job]
	if e == nil || r == nil {
		c.t.Fatalf("node %d sends job %d to executor %d: one of them is unknown", i, action.Job, action.Worker)
	}
	a := &goldenAttempt{node: i, life: n.life, job: action.Job, number: uint16(len(r.attempts)), executor: e,
		execLife: e.life, work: r.event.Work, slots: max(1, r.event.Slots), class: int(r.event.Class)}
	r.attempts = append(r.attempts, a)
	e.outs = slices.DeleteFunc(append(e.outs, a), func(a *goldenAttempt) bool { return a.ended })
	s := c.plan.settings(i)
	c.at(c.random.span(1, 5), func() { c.reach(a, s) })
}

func (c *goldenCluster) reach(a *goldenAttempt, s dispatch.Settings) {
	e := a.executor
	switch {
	case a.ended:
	case e.down || e.row.Condition == dispatch.Gone || e.deaf && c.random.chance(0.7):
		c.end(a, dispatch.ConnectFailed, s.ConnectTimeout)
	case e.drains, len(e.queue) > 6:
		c.end(a, dispatch.Full, 1)
	case c.random.chance(0.005):
		c.end(a, dispatch.Moot, 3)
	case e.hung:
		if s.TellsStart {
			c.give(a.node, a.life, 120, dispatch.Event{Kind: dispatch.EvNote, Job: a.job, Attempt: a.number,
				Worker: e.row.Worker, Topic: dispatch.NoteLate})
		}
	default:
		e.queue = append(e.queue, a)
		c.advance(e)
	}
}

// advance begins what has room at an executor.
func (c *goldenCluster) advance(e *goldenExecutor) {
	for len(e.queue) > 0 && !e.hung {
		a := e.queue[0]
		if e.busy > 0 && e.busy+a.slots > e.slots {
			return
		}
		e.queue = e.queue[1:]
		if a.ended {
			continue
		}
		a.began = true
		e.busy += a.slots
		e.running++
		c.begin(a)
	}
}

func (c *goldenCluster) begin(a *goldenAttempt) {
	e, s := a.executor, c.plan.settings(a.node)
	run := max(1, a.work/e.speed*c.random.span(0.8, 1.3))
	note := dispatch.Event{
		Kind:    dispatch.EvNote,
		Job:     a.job,
		Attempt: a.number,
		Worker:  e.row.Worker,
		Topic:   dispatch.NoteStarted,
	}
	if s.TellsStart {
		c.give(a.node, a.life, 1, note)
	}
	if s.Progress > 0 {
		note.Topic = dispatch.NoteProgress
		for at := s.Progress; at < run; at += s.Progress {
			note.Amount = at / run
			progress := note
			c.at(at, func() {
				if n := c.nodes[a.node]; !a.ended && !e.hung && n.life == a.life && !n.down {
					n.pending = append(n.pending, progress)
				}
			})
		}
	}
	if c.plan.streams && c.random.chance(0.1) {
		c.give(a.node, a.life, run/2, dispatch.Event{Kind: dispatch.EvFirst, Job: a.job, Attempt: a.number,
			Worker: e.row.Worker, Elapsed: run / 2})
	}
	outcome := dispatch.Served
	switch {
	case e.badKind == a.class || c.random.chance(e.errs):
		outcome, run = dispatch.Errored, min(run, 20)
	case c.random.chance(0.004):
		outcome = dispatch.Reset
	case c.random.chance(0.01):
		outcome = dispatch.Errored
	}
	a.stop = c.now + run
	c.at(run, func() {
		if !a.ended && !e.hung && a.execLife == e.life {
			c.end(a, outcome, 1)
		}
	})
}

// end tells a node how an attempt ended and frees what it held.
func (c *goldenCluster) end(a *goldenAttempt, outcome dispatch.Outcome, after float64) {
	e, n := a.executor, c.nodes[a.node]
	a.ended = true
	if a.began && a.execLife == e.life {
		e.busy -= a.slots
		e.running--
		if outcome == dispatch.Served {
			e.served++
		}
		c.advance(e)
	}
	if n.life != a.life {
		return
	}
	r := n.requests[a.job]
	final := false
	if outcome == dispatch.Served && !r.done {
		r.done, final = true, true
	}
	event := dispatch.Event{
		Kind:    dispatch.EvOutcome,
		Job:     a.job,
		Attempt: a.number,
		Worker:  e.row.Worker,
		Outcome: outcome,
		Elapsed: after,
		Final:   final,
	}
	s := c.plan.settings(a.node)
	switch outcome {
	case dispatch.Served, dispatch.Errored, dispatch.Full:
		if s.Telemetry == dispatch.ReportAnswers {
			event.Report = c.report(e, s)
		}
	}
	c.give(a.node, a.life, after, event)
}

// report is a load report, taken once in a while, as executors do.
func (c *goldenCluster) report(e *goldenExecutor, s dispatch.Settings) []float32 {
	if c.now-e.sampled >= 100 || e.sampled == 0 {
		e.sampled = c.now
		queued := 0.0
		for _, a := range e.queue {
			queued += a.slots
		}
		noise := float32(c.random.float()) * 0.01
		for f, v := range map[dispatch.Field]float64{dispatch.FieldBusy: float64(e.running + len(e.queue)),
			dispatch.FieldPending: float64(len(e.queue)), dispatch.FieldUtil: min(1, e.busy/e.slots),
			dispatch.FieldLatency: 200 / e.speed, dispatch.FieldServed: float64(e.served), dispatch.FieldErrors: e.errs,
			dispatch.FieldFree: e.slots - queued - e.busy, dispatch.FieldMemory: e.memory - 2*e.busy} {
			e.sample[f] = float32(v) + noise
		}
	}
	out := make([]float32, len(s.Fields))
	for i, f := range s.Fields {
		out[i] = e.sample[f]
	}
	return out
}

func (c *goldenCluster) probe(i int, n *goldenNode, id uint32) {
	e, s, life := c.executor(id), c.plan.settings(i), n.life
	c.at(c.random.span(1, 6), func() {
		event := dispatch.Event{Kind: dispatch.EvProbed, Worker: id, Elapsed: 4}
		switch {
		case e == nil || e.down:
			event.Outcome = dispatch.ConnectFailed
		case e.hung:
			event.Outcome = dispatch.TimedOut
		default:
			event.Outcome, event.Report = dispatch.Served, c.report(e, s)
		}
		c.give(i, life, 1, event)
	})
}

func (c *goldenCluster) watch(i, life int) {
	c.at(3, func() {
		n := c.nodes[i]
		if n.life != life {
			return
		}
		e := dispatch.Event{Kind: dispatch.EvList, Form: dispatch.ListFailed}
		if c.discovery {
			e = dispatch.Event{Kind: dispatch.EvList, Form: dispatch.ListFull, Version: c.version, Rows: c.rows()}
			n.watching = true
		}
		n.pending = append(n.pending, e)
	})
}

func (c *goldenCluster) tell(i int, a *dispatch.Action) {
	for k, n := range c.nodes {
		if k == i || int(a.To) != k && a.To != dispatch.AllPeers {
			continue
		}
		if n.cut || c.nodes[i].cut || c.random.chance(0.01) {
			continue
		}
		c.give(
			k,
			n.life,
			c.random.span(1, 4),
			dispatch.Event{Kind: dispatch.EvPeer, From: uint32(i), Data: append([]byte(nil), a.Data...)},
		)
	}
}

// ---- faults

// listed sends changed rows to all who watch.
func (c *goldenCluster) listed(rows ...dispatch.Row) {
	c.version++
	for i, n := range c.nodes {
		if n.watching {
			c.give(
				i,
				n.life,
				c.random.span(1, 30),
				dispatch.Event{Kind: dispatch.EvList, Form: dispatch.ListDelta, Version: c.version,
					Rows: append([]dispatch.Row(nil), rows...)},
			)
		}
	}
}

func (c *goldenCluster) anyExecutor() *goldenExecutor {
	return c.executors[c.random.below(len(c.executors))]
}

func (c *goldenCluster) faultAtExecutor() {
	e := c.anyExecutor()
	span := c.random.span(200, 1500)
	var mend func()
	switch c.random.below(6) {
	case 0:
		e.down = true
		mend = func() { e.down = false }
	case 1:
		e.hung = true
		mend = func() {
			e.hung = false
			for _, a := range slices.Clone(e.outs) {
				if a.began && !a.ended && c.now >= a.stop {
					c.end(a, dispatch.Served, 1)
				}
			}
			c.advance(e)
		}
	case 2:
		e.deaf = true
		mend = func() { e.deaf = false }
	case 3:
		e.errs = 0.7
		mend = func() { e.errs = 0 }
	case 4:
		e.badKind = c.random.below(4)
		span *= 3
		mend = func() { e.badKind = -1 }
	default:
		e.drains = true
		mend = func() { e.drains = false }
	}
	c.at(span, mend)
}

// kill ends a process of an executor: what is out there is lost.
func (c *goldenCluster) kill(e *goldenExecutor) {
	e.life++
	e.busy, e.running, e.queue, e.hung = 0, 0, nil, false
	outs := e.outs
	e.outs = nil
	for _, a := range outs {
		if a.ended {
			continue
		}
		outcome := dispatch.Reset
		if c.random.chance(0.2) {
			outcome = dispatch.TimedOut
		}
		c.end(a, outcome, 1)
	}
}

func (c *goldenCluster) restartExecutor() {
	e := c.anyExecutor()
	if e.row.Condition == dispatch.Gone {
		return
	}
	c.kill(e)
	e.down = true
	c.at(c.random.span(20, 300), func() {
		e.down, e.row.Born, e.row.Condition = false, c.now, dispatch.Ready
		c.listed(e.row)
	})
}

func (c *goldenCluster) drainExecutor() {
	e := c.anyExecutor()
	if e.row.Condition != dispatch.Ready {
		return
	}
	e.row.Condition = dispatch.Draining
	c.listed(e.row)
	c.at(400, func() {
		e.row.Condition = dispatch.Gone
		c.kill(e)
		c.listed(e.row)
		c.at(700, func() {
			e.row.Condition, e.row.Born = dispatch.Ready, c.now
			e.row.Zone = uint8(c.random.below(3))
			c.listed(e.row)
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
	n.life++
	c.at(c.random.span(50, 900), func() { c.startNode(i) })
}

func (c *goldenCluster) cutNode() {
	n := c.nodes[c.random.below(len(c.nodes))]
	n.cut = true
	c.at(c.random.span(200, 2500), func() { n.cut = false })
}

func (c *goldenCluster) stopDiscovery() {
	c.discovery = false
	for i, n := range c.nodes {
		if n.watching && c.plan.settings(i).Ask {
			n.watching = false
			c.give(i, n.life, 2, dispatch.Event{Kind: dispatch.EvList, Form: dispatch.ListFailed})
		}
	}
	c.at(c.random.span(300, 1500), func() { c.discovery = true })
}

// weights changes sizes as a list with live weights does: often, and nothing else.
func (c *goldenCluster) weights() {
	var rows []dispatch.Row
	for i, e := range c.executors {
		if e.row.Condition != dispatch.Gone {
			e.row.Scale = float64(1+i%3) / (1 + float64(e.running+len(e.queue))/e.slots)
			rows = append(rows, e.row)
		}
	}
	if len(c.nodes) > 0 && c.plan.settings(0).LiveWeights {
		c.listed(rows...)
	}
}

// oddEvent gives a node what no host should.
func (c *goldenCluster) oddEvent() {
	i := c.random.below(len(c.nodes))
	n := c.nodes[i]
	if n.down {
		return
	}
	job := uint32(c.random.below(int(c.nextJob)))
	odd := []dispatch.Event{
		{Kind: dispatch.EvOutcome, Job: 1 << 30, Worker: 100, Outcome: dispatch.Served, Report: []float32{1, 2, 3}},
		{Kind: dispatch.EvOutcome, Job: job, Attempt: 77, Worker: 103, Outcome: dispatch.Full},
		{Kind: dispatch.EvNote, Job: job, Attempt: 9, Topic: dispatch.NoteProgress},
		{Kind: dispatch.EvFirst, Job: 1 << 30},
		{Kind: dispatch.EvGone, Job: 1 << 30},
		{Kind: dispatch.EvPeer, From: 5000, Data: []byte{1, 2, 3}},
		{
			Kind: dispatch.EvPeer,
			From: uint32(c.random.below(len(c.nodes))),
			Data: []byte{byte(c.random.next()), byte(c.random.next()), 5, 1},
		},
		{Kind: dispatch.EvPeer, From: uint32(c.random.below(len(c.nodes)))},
		{Kind: dispatch.EvProbed, Worker: 1 << 30, Outcome: dispatch.Served},
		{
			Kind:    dispatch.EvProbed,
			Worker:  100,
			Outcome: dispatch.Served,
			Report:  []float32{float32(math.NaN()), float32(math.Inf(1)), -1},
		},
		{Kind: dispatch.EvTimer, Token: 1 << 30},
		{Kind: dispatch.EvList, Form: dispatch.ListFull, Version: c.version, Rows: c.rows()},
		{Kind: dispatch.EvList, Form: dispatch.ListDelta, Rows: []dispatch.Row{{Worker: 1 << 30, Condition: dispatch.Gone}}},
	}
	n.pending = append(n.pending, odd[c.random.below(len(odd))])
	if c.random.chance(0.3) { // numbers of no sense; nobody waits for its answer
		n.requests[c.nextJob] = &goldenRequest{due: c.now + 300, event: dispatch.Event{Work: 50, TimeLeft: 300}}
		n.pending = append(
			n.pending,
			dispatch.Event{Kind: dispatch.EvRequest, Job: c.nextJob, Class: 250, Tenant: 60000, Slots: math.NaN(),
				Memory: -3, TimeLeft: 300, Work: math.Inf(1), Flags: dispatch.FlagWork},
		)
		life, id := n.life, c.nextJob
		c.at(305, func() { c.leave(i, life, id) })
		c.nextJob++
	}
}

// retune gives a node new classes, tenants and prices while jobs are open.
func (c *goldenCluster) retune() {
	i := c.random.below(len(c.nodes))
	n := c.nodes[i]
	if n.down {
		return
	}
	s := c.plan.settings(i)
	s.Fees.CrossZone += 0.1 * float64(c.random.below(3))
	s.MaxAttempts = 2 + c.random.below(3)
	s.OverShareWorth = 0.25 * float64(c.random.below(4))
	if c.random.chance(0.5) && len(s.Tenants) > 0 {
		s.Tenants = append(append([]dispatch.Tenant(nil), s.Tenants...), dispatch.Tenant{Portion: 0.1, Quota: 3})
	}
	if c.random.chance(0.5) {
		s.Classes = append(
			append([]dispatch.Class(nil), s.Classes...),
			dispatch.Class{Aim: 700, Deadline: 3000, Worth: 2, Kind: -1},
		)
	}
	if c.random.chance(0.2) {
		s.MaxAttempts = 0 // refused
	}
	// A smaller list than what stands is refused as well, and so is a class with open jobs: that is part of the run.
	if err := n.dispatcher.Retune(s, map[int]int{len(s.Classes) - 1: 0}); err == nil {
		n.pending = append(n.pending, dispatch.Event{Kind: dispatch.EvTimer})
	}
}
