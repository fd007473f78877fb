package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

const (
	fleetSlots  = 4.0   // of the warm executor
	fleetWorkMS = 300.0 // of each request
	// fleetIdleSteps is the number of steps after which a node without events takes a step.
	fleetIdleSteps = 5

	fleetStepMS   = 20.0
	fleetStartMS  = 100 * hourMS // true time of the executor's first restart
	fleetWarmUpMS = 4000.0       // time before the restart in which the nodes use the executor
	hourMS        = 3600000.0
)

// slowStartFleet is a fleet of nodes that share one executor, which restarts while they use it.
type slowStartFleet struct {
	nodes           int
	gossip          bool      // nodes may send each other messages
	running         bool      // requests occupy slots for their run time; otherwise they are served at once
	restarts        int       // further restarts of the executor, at restartInterval
	restartInterval float64   // ms
	restartNodes    bool      // half of the nodes restart in the middle of the slow start
	listClock       float64   // ms by which the clock of the list's machine is ahead
	nodeClocks      []float64 // ms by which the clocks of the nodes are ahead, in turn; empty: all are correct
	unconfirmed     bool      // no message confirms the list between its first version and the notification of the start
}

// runningRequest is a request at the executor.
type runningRequest struct {
	node    int
	job     uint32
	attempt uint16
	endsAt  float64 // 0 while it is queued
}

// slowStartSimulation is one run of a slowStartFleet.
type slowStartSimulation struct {
	slowStartFleet
	t        *testing.T
	settings Settings
	seed     int64
	rnd      *rand.Rand
	nodes    []*Dispatcher
	inbox    [][]Event
	requests []runningRequest
	starts   []float64 // true times
	sends    []float64 // since the last start
	lastJob  uint32
	steps    int
	excess   float64 // most requests above the limit in any window
	used     float64 // requests sent during slow start
	early    float64 // requests sent in the first 2 s after the first start
}

func (f slowStartFleet) simulate(t *testing.T, seed int64) *slowStartSimulation {
	s := base()
	s.Classes = s.Classes[:1]
	s.Nodes, s.GossipAllowed = f.nodes, f.gossip
	s.Tenants = []Tenant{{ReservedShare: 1, Quota: fleetSlots / fleetWorkMS * 1000}}
	p := &slowStartSimulation{slowStartFleet: f, t: t, settings: s, seed: seed, rnd: rand.New(rand.NewSource(seed)),
		nodes: make([]*Dispatcher, f.nodes), inbox: make([][]Event, f.nodes), excess: math.Inf(-1)}
	for i := range p.nodes {
		p.startNode(i, fleetStartMS-fleetWarmUpMS)
	}
	for i := range f.restarts + 1 {
		p.starts = append(p.starts, fleetStartMS+float64(i)*f.restartInterval)
	}
	end := p.starts[f.restarts] + s.MaxSlowStartDuration
	for now := fleetStartMS - fleetWarmUpMS + fleetStepMS; now < end; now += fleetStepMS {
		p.step(now)
	}
	return p
}

func (p *slowStartSimulation) clock(node int) float64 {
	if len(p.nodeClocks) == 0 {
		return 0
	}
	return p.nodeClocks[node%len(p.nodeClocks)]
}

// started returns the last true start of the executor at a time, and 0 before the first.
func (p *slowStartSimulation) started(now float64) (last float64) {
	for _, at := range p.starts {
		if at <= now {
			last = at
		}
	}
	return last
}

func (p *slowStartSimulation) row(now float64) EndpointUpdate {
	r := ready(7, 0)
	if at := p.started(now); at > 0 {
		r.StartedAt = at + p.listClock
	} else {
		r.StartedAt = fleetStartMS - 2*hourMS + p.listClock
	}
	return r
}

func (p *slowStartSimulation) startNode(i int, now float64) {
	s := p.settings
	s.Node = i
	d, err := New(s, uint64(p.seed)*1000+uint64(i)+uint64(now))
	if err != nil {
		p.t.Fatal(err)
	}
	updates := []EndpointUpdate{p.row(now)}
	d.Step(
		now+p.clock(i),
		[]Event{
			{Kind: EvEndpoints, Form: ListCached, Updates: updates},
			{Kind: EvEndpoints, Form: ListSnapshot, Updates: updates},
		},
		nil,
	)
	d.capacity.kindSlots[0] = fleetSlots
	p.nodes[i] = d
	p.inbox[i] = nil
}

func (p *slowStartSimulation) capacityFraction(now float64) float64 {
	at := p.started(now)
	if at == 0 {
		return 1
	}
	return min(1, p.settings.SlowStartMinShare+(1-p.settings.SlowStartMinShare)*(now-at)/p.settings.MaxSlowStartDuration)
}

// step executes one step of all nodes.
func (p *slowStartSimulation) step(now float64) {
	for _, at := range p.starts {
		if at > now-fleetStepMS && at <= now {
			p.restartExecutor()
		}
	}
	p.notify(now)
	p.arrive()
	p.serve(now)
	p.steps++
	for i, d := range p.nodes {
		events := p.inbox[i]
		if len(events) == 0 && (p.steps+i)%fleetIdleSteps != 0 {
			continue // a node without events only has its timer
		}
		p.inbox[i] = nil
		for _, a := range d.Step(now+p.clock(i), events, nil) {
			p.act(i, a, now)
		}
	}
	p.check(now)
}

// restartExecutor fails the requests at the executor and resets the count of sends.
func (p *slowStartSimulation) restartExecutor() {
	for _, r := range p.requests {
		p.inbox[r.node] = append(p.inbox[r.node], outcome(r.job, r.attempt, 7, Reset))
	}
	p.requests, p.sends = nil, nil
}

// notify notifies each node of a start, some of them one or two steps late, and confirms the list periodically.
func (p *slowStartSimulation) notify(now float64) {
	at := p.started(now)
	if p.restartNodes && now-fleetStepMS < fleetStartMS+2000 && now >= fleetStartMS+2000 {
		for i := range p.nodes[:(len(p.nodes)+1)/2] {
			p.startNode(i, now)
		}
	}
	for i := range p.nodes {
		late := float64(1+i%3) * fleetStepMS
		switch {
		case at > 0 && now >= at+late-fleetStepMS && now < at+late:
			p.inbox[i] = append(p.inbox[i], Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{p.row(now)}})
		case !p.unconfirmed && int(now/fleetStepMS)%100 == i%100:
			p.inbox[i] = append(p.inbox[i], Event{Kind: EvEndpoints, Form: ListDelta})
		}
	}
}

// arrive adds 2.5 times the requests that the warm executor can serve, at random nodes.
func (p *slowStartSimulation) arrive() {
	for n := 2.5 * fleetSlots / fleetWorkMS * fleetStepMS; n > 0; n-- {
		if n < 1 && p.rnd.Float64() > n {
			return
		}
		i := p.rnd.Intn(len(p.nodes))
		p.lastJob++
		e := request(p.lastJob, 0, 0, 1)
		e.Work, e.TimeLeft = fleetWorkMS, 4000
		p.inbox[i] = append(p.inbox[i], e)
	}
}

// serve runs the requests at the executor in order of arrival, as far as it has slots.
func (p *slowStartSimulation) serve(now float64) {
	slots, remaining := max(1, math.Round(fleetSlots*p.capacityFraction(now))), p.requests[:0]
	for i, r := range p.requests {
		if r.endsAt == 0 && float64(len(remaining)) < slots {
			r.endsAt = now + fleetWorkMS
			if !p.running {
				r.endsAt = now
			}
			p.inbox[r.node] = append(
				p.inbox[r.node],
				Event{Kind: EvNotification, Job: r.job, Attempt: r.attempt, Executor: 7, Topic: NotificationStarted},
			)
		}
		if r.endsAt > 0 && now >= r.endsAt {
			free := slots - float64(len(remaining)+min(len(p.requests)-i-1, int(slots))) + float64(r.job%97)*1e-4
			p.inbox[r.node] = append(p.inbox[r.node], outcome(r.job, r.attempt, 7, Served, float32(max(0, free))))
			continue
		}
		remaining = append(remaining, r)
	}
	p.requests = remaining
}

func (p *slowStartSimulation) act(node int, a Action, now float64) {
	switch a.Kind {
	case ActSend:
		p.sends = append(p.sends, now)
		p.countUse(now)
		attempt := uint16(len(p.nodes[node].jobs.byID[a.Job].attempts) - 1)
		if p.running {
			p.requests = append(p.requests, runningRequest{node: node, job: a.Job, attempt: attempt})
		} else {
			p.inbox[node] = append(p.inbox[node], outcome(a.Job, attempt, 7, Served))
		}
	case ActGossip:
		for to := range p.nodes {
			if to != node && (a.To == AllPeers || int(a.To) == to) {
				p.inbox[to] = append(p.inbox[to], Event{Kind: EvGossip, From: uint32(node), Data: a.Data})
			}
		}
	}
}

func (p *slowStartSimulation) countUse(now float64) {
	if now < fleetStartMS {
		return
	}
	p.used++
	if now < fleetStartMS+2000 {
		p.early++
	}
}

// budget returns how many requests the settings allow in a window for a process that started at a time.
func (p *slowStartSimulation) budget(startedAt, from, to float64) float64 {
	s := p.settings
	fraction := func(x float64) float64 {
		return min(1, s.SlowStartMinShare+(1-s.SlowStartMinShare)*max(0, x-startedAt)/s.MaxSlowStartDuration)
	}
	return s.OverloadMultiple * fleetSlots * (fraction(from) + fraction(to)) / 2 * (to - from) / fleetWorkMS
}

// allowance returns how many requests an executor that is warming up tolerates where the settings allow n.
func allowance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// check compares what all nodes sent in the window that ends now with what the executor tolerates.
func (p *slowStartSimulation) check(now float64) {
	startedAt := p.started(now)
	if startedAt == 0 {
		return
	}
	sum := 0.0
	for k := len(p.sends) - 1; k >= 0 && p.sends[k] > now-p.settings.OverloadWindow; k-- {
		sum++
	}
	n := p.budget(startedAt, max(startedAt, now-p.settings.OverloadWindow), max(now, startedAt+p.settings.OverloadWindow))
	p.excess = max(p.excess, sum-allowance(n))
}

// verify simulates a fleet with several seeds and checks that no window exceeds what the executor tolerates, and
// that the executor is used.
func (f slowStartFleet) verify(t *testing.T) {
	t.Helper()
	seeds := 3.0
	if f.nodes >= 80 {
		seeds = 1
	}
	worst, used, early := math.Inf(-1), 0.0, 0.0
	for seed := int64(1); seed <= int64(seeds); seed++ {
		p := f.simulate(t, seed)
		worst = max(worst, p.excess)
		used += p.used / seeds
		early += p.early / seeds
	}
	t.Logf("%.1f requests below the limit, %.0f sent in the first 2 s, %.0f in total", -worst, early, used)
	if worst > 0 {
		t.Errorf("%.1f requests above the limit", worst)
	}
	if early < 1 || used < 10 {
		t.Errorf("%.1f requests in the first 2 s and %.0f in total, want at least 1 and 10", early, used)
	}
}

var fleetSizes = []int{1, 2, 5, 20, 32, 80, 300}

func verifyFleets(t *testing.T, change func(*slowStartFleet)) {
	t.Helper()
	for _, n := range fleetSizes {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			t.Parallel()
			f := slowStartFleet{nodes: n}
			change(&f)
			f.verify(t)
		})
	}
}

// All nodes together stay within what an executor that is warming up tolerates, for any number of nodes and without
// any messages between them.
func TestSlowStartBoundWithoutPeers(t *testing.T) {
	verifyFleets(t, func(*slowStartFleet) {})
}

// The limit holds where requests run and queue at the executor.
func TestSlowStartBoundWithRunningRequests(t *testing.T) {
	verifyFleets(t, func(f *slowStartFleet) { f.running = true })
}

// The limit holds where nodes report their load to each other or to an aggregator.
func TestSlowStartBoundWithAggregator(t *testing.T) {
	verifyFleets(t, func(f *slowStartFleet) { f.gossip, f.running = true, true })
}

// The limit holds where half of the nodes restart in the middle of the slow start.
func TestSlowStartBoundWithRestartedNodes(t *testing.T) {
	for name, gossip := range map[string]bool{"without gossip": false, "with gossip": true} {
		t.Run(name, func(t *testing.T) {
			verifyFleets(t, func(f *slowStartFleet) { f.restartNodes, f.gossip, f.running = true, gossip, gossip })
		})
	}
}

// The limit holds where the executor restarts repeatedly.
func TestSlowStartBoundWithRepeatedStarts(t *testing.T) {
	for name, interval := range map[string]float64{"1 s": 1000, "3 s": 3000} {
		t.Run(name, func(t *testing.T) {
			verifyFleets(t, func(f *slowStartFleet) { f.restarts, f.restartInterval = 4, interval })
		})
	}
}

// The limit holds where the clocks of the list's machine or of some or all nodes are off, by up to an hour.
func TestSlowStartBoundWithWrongClocks(t *testing.T) {
	for name, change := range map[string]func(*slowStartFleet){
		"list an hour behind":         func(f *slowStartFleet) { f.listClock = -hourMS },
		"list an hour ahead":          func(f *slowStartFleet) { f.listClock = hourMS },
		"list 30 s behind":            func(f *slowStartFleet) { f.listClock = -30000 },
		"list 30 s ahead":             func(f *slowStartFleet) { f.listClock = 30000 },
		"list 1 s behind":             func(f *slowStartFleet) { f.listClock = -1000 },
		"list 1 s ahead":              func(f *slowStartFleet) { f.listClock = 1000 },
		"nodes an hour ahead":         func(f *slowStartFleet) { f.nodeClocks = []float64{hourMS} },
		"nodes an hour behind":        func(f *slowStartFleet) { f.nodeClocks = []float64{-hourMS} },
		"different node clocks":       func(f *slowStartFleet) { f.nodeClocks = []float64{-hourMS, 0, hourMS} },
		"nodes restarted, list ahead": func(f *slowStartFleet) { f.listClock, f.restartNodes = hourMS, true },
		"repeated restarts, list behind": func(f *slowStartFleet) {
			f.listClock, f.restarts, f.restartInterval = -hourMS, 4, 1500
		},
		"repeated restarts, list ahead": func(f *slowStartFleet) {
			f.listClock, f.restarts, f.restartInterval = hourMS, 4, 1500
		},
		"aggregator, list behind": func(f *slowStartFleet) { f.listClock, f.gossip, f.running = -hourMS, true, true },
		"aggregator, list ahead":  func(f *slowStartFleet) { f.listClock, f.gossip, f.running = hourMS, true, true },
		"list not confirmed":      func(f *slowStartFleet) { f.listClock, f.unconfirmed = -hourMS, true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			verifyFleets(t, change)
		})
	}
}

// A wrong clock changes little of what a restarted executor gets in the first two seconds. If the clocks were
// trusted, it would get nothing with a list an hour ahead, and as much as a warm one with a list an hour behind.
func TestWrongClocksBarelyChangeSlowStart(t *testing.T) {
	correct := slowStartFleet{nodes: 1, running: true}.simulate(t, 1).early
	for _, clock := range []float64{-hourMS, -30000, -1000, 1000, 30000, hourMS} {
		wrong := slowStartFleet{nodes: 1, running: true, listClock: clock}.simulate(t, 1).early
		if wrong < correct/2 || wrong > correct*3/2 {
			t.Errorf("list %.0f ms ahead: %.0f requests in the first 2 s, want about %.0f as with correct clocks",
				clock, wrong, correct)
		}
	}
}
