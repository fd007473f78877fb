// Package node is the core of a node. It owns the dispatch module: fronts submit jobs to it and receive the answers,
// and the adapters behind the interfaces of this package carry out the module's actions. The package knows no wire
// format.
//
// One goroutine, that of Core.Run, owns the module and the state of all jobs and attempts. Other goroutines post
// events to it through a channel and read a few values that are stored in atomics.
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

// maxEventsPerRound limits how many events are handled before the next step of the module, so that a flood of events
// does not delay the step.
const maxEventsPerRound = 256

// Core owns the dispatch module. All fields except the channels and the atomics belong to the goroutine of Run.
type Core struct {
	limits     limits.Limits
	log        *slog.Logger
	settings   dispatch.Settings
	names      Names // of zones and kinds, which never change; the current names of classes and tenants are in rules
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
	traceIDs  TraceIDs // nil if no other process has this node's listening socket
}

// intake passes events from other goroutines to the goroutine of Run.
type intake struct {
	events    chan event
	stopped   chan struct{} // closed when Run returns
	lastJobID atomic.Uint32
}

// status holds what other goroutines read without waiting for the goroutine of Run.
type status struct {
	hasReadyExecutor   atomic.Bool // the endpoint list contains a ready executor
	holdsJobs          atomic.Bool // jobs are held until the endpoint list is confirmed
	endpointsConfirmed atomic.Bool // discovery has sent an endpoint list to this process
	drained            atomic.Bool // by the operator: health checks fail, and accepted jobs are still answered
}

// clock gives the module's time, which does not follow steps of the wall clock.
type clock struct {
	now     func() time.Time // tests replace it
	start   time.Time
	startMS float64 // Unix time in milliseconds
}

func newClock() clock {
	start := time.Now()
	return clock{now: time.Now, start: start, startMS: float64(start.UnixMicro()) / 1000}
}

// unixMillis returns Unix time in milliseconds that never runs backwards. The module compares it with the start times
// in endpoint lists, which are Unix times.
func (c *clock) unixMillis(t time.Time) float64 {
	return c.startMS + float64(c.sinceStart(t).Microseconds())/1000
}

func (c *clock) sinceStart(t time.Time) time.Duration { return t.Sub(c.start) }

// pendingStep collects the input of the module's next step.
type pendingStep struct {
	events    []dispatch.Event
	actions   []dispatch.Action // of the last step; kept to reuse the allocation
	notBefore time.Time
}

// New returns a core. Its first event is the endpoint list known.
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
		clock:      newClock(),
		jobs:       newJobTable(),
		endpoints:  newEndpointTable(s, lim),
	}
	c.open.addTenants(len(names.Tenants))
	c.rules.Store(&Rules{s, names})
	known.Form = dispatch.ListCached
	c.intake.events <- endpointUpdate{known}
	return c, nil
}

// Connect sets the adapters that carry out the core's actions. It must be called before Run.
func (c *Core) Connect(e Executors, l EndpointSource, p Peers) {
	c.adapters.executors, c.adapters.endpoints, c.adapters.peers = e, l, p
}

// ShareTraceIDs makes the core accept only trace IDs that no other process of this node has open. It must be called
// before Run.
func (c *Core) ShareTraceIDs(ids TraceIDs) { c.adapters.traceIDs = ids }

// Run handles events and steps the dispatch module until the context ends.
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

// handleQueued handles the events that are already queued, up to maxEventsPerRound.
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

// runDue fires the timers that are due, and steps the module if events are pending and the step interval has passed.
func (c *Core) runDue(now time.Time) {
	c.fireTimers(now)
	if c.holdsJobs(now) {
		return
	}
	if len(c.pending.events) > 0 && !now.Before(c.pending.notBefore) {
		c.step(now)
	}
}

// step passes the pending events to the module and carries out its actions.
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

// nextWake returns when Run has to wake up if no event arrives earlier.
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
