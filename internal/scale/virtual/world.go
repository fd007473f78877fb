// Package virtual runs the decision modules of many dispatchers on virtual time, at sizes for which a machine has no room for real
// processes and sockets. Executors, clients, the endpoint list and messages are modelled; the decisions are the program's own. The
// package does no I/O and reads no clock; only a Meter may read one.
package virtual

import (
	"container/heap"
	"fmt"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Meter measures the cost of decisions. Begin is called before each step of a dispatcher, and End after it.
type Meter interface {
	Begin(dispatcher int)
	End(dispatcher int)
}

// Counts are the numbers of tasks, steps and messages of a run.
type Counts struct {
	Tasks, Served, Rejected, Failed            [workload.Kinds]int
	Steps, Sends, HealthChecks, GossipMessages int
	GossipBytes                                int // bytes of messages between dispatchers, counted for each receiver
	RunningPeak                                int
	RunningAtEnd                               int // running tasks at the end of the load
	StartLatencies                             [workload.Kinds][]time.Duration
}

// Delays of the modelled network, margins before a job's deadline, and parameters of clients and executors.
const (
	sameZoneLatency  = 500 * time.Microsecond
	otherZoneLatency = 10 * time.Millisecond // between zones
	peerLatency      = 2 * time.Millisecond
	listLatency      = 20 * time.Millisecond
	answerMargin     = 30 * time.Millisecond
	overdueMargin    = 10 * time.Millisecond
	minRetryInterval = 50 * time.Millisecond // minimum time before a client retries a rejected request
	queuePerSlot     = 4                     // number of tasks that may wait at an executor, per slot
)

// World is a fleet on virtual time.
type World struct {
	d           fleet.Description
	rules       fleet.Rules
	plan        []fleet.Executor
	load        *workload.Generator
	judge       *verdict.Judge
	meter       Meter
	counts      Counts
	now         time.Duration
	queue       eventQueue
	sequence    uint64
	dispatchers []*dispatcher
	executors   []*executor
	byID        map[uint32]int
	requests    uint64
	listVersion uint32
	running     int
}

// New returns a world with the fleet of the description and the actions of its faults.
func New(d fleet.Description, actions []faults.Action, rules verdict.Rules, m Meter) (*World, error) {
	w := &World{d: d, rules: d.Rules(), plan: d.Plan(), load: workload.New(d), judge: verdict.New(rules), meter: m, byID: map[uint32]int{}, listVersion: 1}
	for _, x := range w.plan {
		id := node.ExecutorID(x.Name)
		if _, had := w.byID[id]; had {
			return nil, fmt.Errorf("executors: two share the id %d", id)
		}
		w.byID[id] = x.Number
		w.executors = append(w.executors, &executor{world: w, plan: x, id: id, up: true, status: dispatch.Ready})
	}
	for i := range d.TotalDispatchers() {
		x, err := newDispatcher(w, i)
		if err != nil {
			return nil, err
		}
		w.dispatchers = append(w.dispatchers, x)
	}
	for _, a := range actions {
		w.at(a.At, func() { w.act(a) })
	}
	return w, nil
}

// Play runs the load until all requests are answered or their deadlines have passed.
func (w *World) Play() (*verdict.Verdict, Counts) {
	w.submitNext()
	w.at(w.d.Duration, func() { w.counts.RunningAtEnd = w.running })
	end := w.d.Duration + max(w.rules.Deadlines[fleet.ClassOnce], w.rules.Deadlines[fleet.ClassUrgent]) + time.Second
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.do()
	}
	return w.judge.Finish(end), w.counts
}

// observe passes an event to the judge.
func (w *World) observe(e verdict.Event) {
	e.At = w.now
	w.judge.Observe(e)
}

// act carries out an action of a fault. Cuts, the store and configuration changes do not concern the decision module.
func (w *World) act(a faults.Action) {
	switch a.Kind {
	case faults.Kill:
		for _, x := range a.Executors {
			w.executors[x].kill()
		}
	case faults.Boot:
		for _, x := range a.Executors {
			w.executors[x].boot()
		}
	case faults.ListDraining:
		w.list(a.Executors, dispatch.Draining)
	case faults.ListRemoved:
		w.list(a.Executors, dispatch.Removed)
	case faults.ListReady:
		w.list(a.Executors, dispatch.Ready)
	}
}

// list changes the condition of executors in the list and notifies all dispatchers.
func (w *World) list(executors []int, c dispatch.Condition) {
	w.listVersion++
	var updates []dispatch.EndpointUpdate
	for _, i := range executors {
		x := w.executors[i]
		if c == dispatch.Ready && !x.up {
			continue
		}
		x.status = c
		updates = append(updates, x.entry())
	}
	for _, d := range w.dispatchers {
		d.listChanged(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta, Version: w.listVersion, Updates: updates}, executors, c)
	}
}

// eventQueue is a heap of scheduled functions, ordered by time and then by sequence.
type eventQueue []timed

type timed struct {
	at       time.Duration
	sequence uint64
	do       func()
}

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, k int) bool {
	return a[i].at < a[k].at || a[i].at == a[k].at && a[i].sequence < a[k].sequence
}
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(timed)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = timed{}
	*a = old[:len(old)-1]
	return x
}

func (w *World) at(t time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, timed{max(t, w.now), w.sequence, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// latency returns the time that a message takes between a dispatcher and an executor.
func (w *World) latency(dispatcher int, x *executor) time.Duration {
	if w.d.DispatcherZone(dispatcher) == x.plan.Zone {
		return sameZoneLatency
	}
	return otherZoneLatency
}

// clock returns virtual time in the module's unit. It starts one hour after zero, since the module treats zero as long ago.
func clock(t time.Duration) float64 { return float64(t+time.Hour) / float64(time.Millisecond) }

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings returns the configuration of a dispatcher, parsed as a process parses it.
func (w *World) settings(number int) (*config.Config, error) {
	text, err := w.d.Config(number, 0, fleet.Addresses{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:1"})
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}
