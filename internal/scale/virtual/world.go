// Package virtual plays the decision modules of many dispatchers on virtual time, past the size at which real processes and sockets
// fill a machine: executors, clients, the list and messages are modelled, the decisions are the program's own. It does no I/O and
// reads no clock; a Meter, if there is one, reads it.
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

// Meter measures what decisions cost: Begin is called before each step of a dispatcher, and End after it.
type Meter interface {
	Begin(dispatcher int)
	End(dispatcher int)
}

// Counts are what was done.
type Counts struct {
	Tasks, Served, Rejected, Failed            [workload.Kinds]int
	Steps, Sends, HealthChecks, GossipMessages int
	GossipBytes                                int // of messages between dispatchers, for each receiver
	RunningPeak                                int
	RunningAtEnd                               int // of the load
	StartLatencies                             [workload.Kinds][]time.Duration
}

// Delays of the modelled network, and when the core steps in where a module does not.
const (
	sameZoneLatency  = 500 * time.Microsecond
	otherZoneLatency = 10 * time.Millisecond // between zones
	peerLatency      = 2 * time.Millisecond
	listLatency      = 20 * time.Millisecond
	answerMargin     = 30 * time.Millisecond
	overdueMargin    = 10 * time.Millisecond
	minRetryInterval = 50 * time.Millisecond // of a client that was not told how long
	queuePerSlot     = 4                     // tasks that wait at an executor, for each slot
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

// New makes a world of as many dispatchers as the description has, with the faults that were drawn.
func New(d fleet.Description, actions []faults.Action, rules verdict.Rules, m Meter) (*World, error) {
	w := &World{d: d, rules: d.Rules(), plan: d.Plan(), load: workload.New(d), judge: verdict.New(rules), meter: m, byID: map[uint32]int{}, listVersion: 1}
	for _, x := range w.plan {
		id := node.ExecutorID(x.Name)
		if _, had := w.byID[id]; had {
			return nil, fmt.Errorf("executors: two share the number %d", id)
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

// Play plays the load to its end, and until all is answered.
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

// observe tells the judge.
func (w *World) observe(e verdict.Event) {
	e.At = w.now
	w.judge.Observe(e)
}

// act carries out a fault. Cuts, the store and changes of the configuration are none of the decision module's.
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

// list changes rows and tells all dispatchers.
func (w *World) list(executors []int, c dispatch.Condition) {
	w.listVersion++
	var rows []dispatch.EndpointUpdate
	for _, i := range executors {
		x := w.executors[i]
		if c == dispatch.Ready && !x.up {
			continue
		}
		x.status = c
		rows = append(rows, x.entry())
	}
	for _, d := range w.dispatchers {
		d.listChanged(dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListDelta, Version: w.listVersion, Updates: rows}, executors, c)
	}
}

// eventQueue is what is still to be done, the next first.
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

// Push and Pop are the heap's.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(timed)) }

// Pop takes the last.
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

// latency is how long a message takes between a dispatcher and an executor.
func (w *World) latency(dispatcher int, x *executor) time.Duration {
	if w.d.DispatcherZone(dispatcher) == x.plan.Zone {
		return sameZoneLatency
	}
	return otherZoneLatency
}

// clock is virtual time as the module counts it. It begins past zero, which stands for long ago.
func clock(t time.Duration) float64 { return float64(t+time.Hour) / float64(time.Millisecond) }

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settings of a dispatcher, by the way that a process reads them.
func (w *World) settings(number int) (*config.Config, error) {
	text, err := w.d.Config(number, 0, fleet.Addresses{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:1"})
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}
