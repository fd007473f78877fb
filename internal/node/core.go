// Package node is the core of a node. It owns the dispatch module and feeds it: fronts hand in jobs and get answers,
// and what carries out the module's actions stands behind the interfaces of this package. It knows no wire format.
//
// One goroutine, that of Core.Run, owns the module and all state of jobs and attempts. Other goroutines hand it events
// through a channel, and read a few values that are kept in atomics.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
)

// maxEventsPerRound bounds how many events are taken in at a time: under a flood the module's step must still come in
// time.
const maxEventsPerRound = 256

// Core owns the dispatch module. Everything in it but the channels and the atomics belongs to the goroutine of Run.
type Core struct {
	limits     limits.Limits
	log        *slog.Logger
	settings   dispatch.Settings
	names      Names // of zones and kinds, which stay; those of classes and tenants are in rules
	dispatcher *dispatch.Dispatcher
	adapters   adapters

	intake intake
	rules  atomic.Pointer[Rules]
	status status
	open   openJobs

	clock     clock
	pending   pendingStep
	timers    timers
	jobs      jobTable
	endpoints endpointTable
	startup   startup
	counters  counters
}

// adapters carry out the module's actions.
type adapters struct {
	executors Executors
	endpoints EndpointSource
	peers     Peers
}

// intake is the way of events to the goroutine of Run.
type intake struct {
	events    chan event
	stopped   chan struct{} // closed when Run has ended
	lastJobID atomic.Uint32
}

// status is what other goroutines ask of the node without waiting for its own.
type status struct {
	hasReadyExecutor   atomic.Bool // the endpoint list names an executor that takes work
	holdsJobs          atomic.Bool // nobody has confirmed the endpoint list yet
	endpointsConfirmed atomic.Bool // an endpoint list of this incarnation has come
	drained            atomic.Bool // by the operator: clients are sent elsewhere, what was accepted is answered
}

// clock tells the module's time, which does not follow the wall clock.
type clock struct {
	now     func() time.Time // tests replace it
	start   time.Time
	startMS float64 // in Unix milliseconds
}

func newClock() clock {
	start := time.Now()
	return clock{now: time.Now, start: start, startMS: float64(start.UnixMicro()) / 1000}
}

// unixMillis is Unix time in milliseconds that never runs backwards: endpoint lists tell starts in it.
func (c *clock) unixMillis(t time.Time) float64 {
	return c.startMS + float64(c.sinceStart(t).Microseconds())/1000
}

func (c *clock) sinceStart(t time.Time) time.Duration { return t.Sub(c.start) }

// pendingStep collects what the module's next step is given.
type pendingStep struct {
	events    []dispatch.Event
	actions   []dispatch.Action // of the last step; kept for its memory
	notBefore time.Time
}

// New makes a core. The known list is its first event.
func New(
	s dispatch.Settings,
	seed uint64,
	known EndpointList,
	names Names,
	lim limits.Limits,
	log *slog.Logger,
) (*Core, error) {
	dispatcher, err := dispatch.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	c := &Core{
		limits:     lim,
		log:        log,
		settings:   s,
		names:      names,
		dispatcher: dispatcher,
		intake:     intake{events: make(chan event, lim.Events), stopped: make(chan struct{})},
		open:       openJobs{byTenant: make([]atomic.Int64, len(names.Tenants))},
		clock:      newClock(),
		jobs:       newJobTable(),
		endpoints:  newEndpointTable(s, lim),
	}
	c.rules.Store(&Rules{s, names})
	known.Form = dispatch.ListCached
	c.intake.events <- endpointUpdate{known}
	return c, nil
}

// Connect sets what carries out the core's actions. It must be called before Run.
func (c *Core) Connect(e Executors, l EndpointSource, p Peers) {
	c.adapters = adapters{executors: e, endpoints: l, peers: p}
}

// Run owns the dispatch module until the context ends.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.intake.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-c.intake.events:
			c.handle(e)
			c.handleQueued()
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.runDue(c.clock.now())
		timer.Reset(max(time.Until(c.nextWake()), 0))
	}
}

// handleQueued takes in the events that have come already, up to a bound.
func (c *Core) handleQueued() {
	for range maxEventsPerRound {
		select {
		case e := <-c.intake.events:
			c.handle(e)
		default:
			return
		}
	}
}

func (c *Core) handle(e event) { e.apply(c, c.clock.now()) }

// runDue takes in the timers that are due, and steps if there is something to step for and it is time.
func (c *Core) runDue(now time.Time) {
	c.fireTimers(now)
	if c.holdsJobs(now) {
		return
	}
	if len(c.pending.events) > 0 && !now.Before(c.pending.notBefore) {
		c.step(now)
	}
}

// step gives the pending events to the module and carries out its actions.
func (c *Core) step(now time.Time) {
	p := &c.pending
	p.notBefore = now.Add(FromMs(c.settings.MinStepInterval))
	p.actions = c.dispatcher.Step(c.clock.unixMillis(now), p.events, p.actions[:0])
	clear(p.events)
	p.events = p.events[:0]
	for i := range p.actions {
		c.execute(&p.actions[i], now)
	}
}

func (c *Core) queueEvent(e dispatch.Event) { c.pending.events = append(c.pending.events, e) }

// nextWake is when the core has something to do next, if nothing comes before.
func (c *Core) nextWake() time.Time {
	const never = time.Hour
	next := time.Now().Add(never)
	if len(c.timers) > 0 {
		next = c.timers[0].at
	}
	switch {
	case c.status.holdsJobs.Load():
		return earlier(next, c.startup.watch.HoldUntil())
	case len(c.pending.events) > 0:
		return c.pending.notBefore
	}
	return next
}
