package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/endpointwatch"
	"gatetack/internal/limits"
	"gatetack/internal/recovery"
	"gatetack/internal/slowpeer"
)

// ErrFull is the answer to a job for which the core's queue has no place.
var ErrFull = errors.New("node: the queue of events is full")

// ErrShare is the answer to a job whose customer has as many open as the operators' file allows.
var ErrShare = errors.New("node: the customer has as many open as it may")

// Core owns the decision module. Everything in it but the channels belongs to the goroutine of Run.
type Core struct {
	limits         limits.Limits
	settings       dispatch.Settings
	names          Names // of zones and kinds, which stay; those of classes and tenants are in rules
	dispatcher     *dispatch.Dispatcher
	log            *slog.Logger
	executors      Executors
	endpointSource Lists
	peerMessenger  Peers

	events             chan any
	lastJobID          atomic.Uint32
	rules              atomic.Pointer[Rules]
	hasReadyExecutor   atomic.Bool // the list names an executor that takes work
	holdsJobs          atomic.Bool // nobody has confirmed the list yet: jobs are held
	endpointsConfirmed atomic.Bool // a list of this life has come
	drained            atomic.Bool // by the operator: clients are sent elsewhere, what was taken is answered
	openJobs           atomic.Int64
	openByTenant       []atomic.Int64 // open jobs by tenant, where the file bounds them
	stopped            chan struct{}

	now            func() time.Time
	start          time.Time
	startMS        float64
	jobs           map[uint32]*job
	jobByTrace     map[string]*job
	attempts       map[uint64]*attempt
	lastAttemptID  uint64
	timers         timers
	batch          []dispatch.Event
	actions        []dispatch.Action
	nextStepAt     time.Time // no step before
	endpoints      map[uint32]Entry
	counts         Counts
	slowPeers      slowpeer.Tally
	shuttingDown   bool // nothing more is taken
	knowledge      *recovery.Knowledge
	startup        endpointwatch.Startup // while it holds, the module takes no step
	waitingChanges []configChange        // that came meanwhile
}

type job struct {
	id         uint32
	request    Job
	client     Client
	acceptedAt time.Time
	deadline   time.Time
	rules      *Rules
	answered   atomic.Bool // or gone: nothing is owed
	inFlight   int         // attempts out
	mayHaveRun bool
	attempts   []*attempt
}

type attempt struct {
	id         uint64
	index      uint16
	job        *job
	executor   uint32
	sentAt     time.Time
	ended      bool
	mayHaveRun bool // it is out, or may have run
	started    bool
}

// New makes a core. The known list is its first event.
func New(s dispatch.Settings, seed uint64, known List, names Names, lim limits.Limits, log *slog.Logger) (*Core, error) {
	d, err := dispatch.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	now := time.Now()
	c := &Core{now: time.Now, limits: lim, settings: s, names: names, dispatcher: d, log: log, events: make(chan any, lim.Events), stopped: make(chan struct{}),
		start: now, startMS: float64(now.UnixMicro()) / 1000, jobs: map[uint32]*job{}, jobByTrace: map[string]*job{},
		attempts: map[uint64]*attempt{}, endpoints: map[uint32]Entry{}}
	c.rules.Store(&Rules{s, names})
	// A list that must be asked for is held to be as it was for the time to ask within, and four times that after a failed call.
	fresh := max(Span(s.AskWithin), lim.Staleness.MaxStaleness)
	c.knowledge = recovery.NewKnowledge(map[recovery.Kind]recovery.AgeBounds{recovery.EndpointList: {Fresh: fresh, Usable: time.Duration(lim.Staleness.FailedPollFactor) * fresh}})
	c.openByTenant = make([]atomic.Int64, len(names.Tenants))
	known.Form = dispatch.ListCached
	c.events <- known
	return c, nil
}

// Connect sets what carries out the core's actions. It must be called before Run.
func (c *Core) Connect(e Executors, l Lists, p Peers) {
	c.executors, c.endpointSource, c.peerMessenger = e, l, p
}

// Slow counts the slow peers that the core's carriers and fronts find; the counts show them.
func (c *Core) Slow() *slowpeer.Tally { return &c.slowPeers }

// clock is Unix time in milliseconds that never runs backwards: lists tell starts in it.
func (c *Core) unixMillis(t time.Time) float64 {
	return c.startMS + float64(t.Sub(c.start).Microseconds())/1000
}

// ErrRunning and ErrUnknown answer a termination.
var (
	ErrRunning = errors.New("node: the job was sent and is not stopped")
	ErrUnknown = errors.New("node: no such job is open")
)

// Run owns the decision module until the context ends.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case ev := <-c.events:
			c.handle(ev)
			// Drain is bounded: under a flood the step must still come in time.
			for n := 0; n < 256; n++ {
				select {
				case ev := <-c.events:
					c.handle(ev)
					continue
				default:
				}
				break
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.runDue(c.now())
		timer.Reset(max(time.Until(c.nextWake()), 0))
	}
}

// turn takes in the timers that are due, and steps if there is something to step for and it is time.
func (c *Core) runDue(now time.Time) {
	c.fireTimers(now)
	if c.stillHolds(now) {
		return
	}
	if len(c.batch) > 0 && !now.Before(c.nextStepAt) {
		c.step(now)
	}
}

// step gives the batch to the module and carries out its actions.
func (c *Core) step(now time.Time) {
	c.nextStepAt = now.Add(Span(c.settings.Step))
	c.actions = c.dispatcher.Step(c.unixMillis(now), c.batch, c.actions[:0])
	clear(c.batch)
	c.batch = c.batch[:0]
	for i := range c.actions {
		c.execute(&c.actions[i], now)
	}
}

func (c *Core) handle(ev any) {
	now := c.now()
	switch ev := ev.(type) {
	case submittedJob:
		c.admit(ev.job, now)
	case clientLeft:
		if j := c.jobs[uint32(ev)]; j != nil && !j.answered.Load() {
			c.counts.Gone++
			c.markAnswered(j)
			c.queueEvent(dispatch.Event{Kind: dispatch.EvGone, Job: j.id})
			c.release(j)
		}
	case Result:
		c.handleResult(ev, now)
	case List:
		c.updateEndpoints(ev, now)
	case peerMessage:
		c.queueEvent(dispatch.Event{Kind: dispatch.EvPeer, From: ev.from, Data: ev.data})
	case dispatch.Event:
		c.queueEvent(ev)
	case terminateRequest:
		ev.done <- c.terminate(ev.id)
	case shutdown:
		c.shuttingDown = true
		for _, j := range c.jobs {
			if !j.answered.Load() && (j.acceptedAt.After(time.Time(ev)) || j.inFlight == 0 && !j.mayHaveRun) {
				c.answerUndecided(j, shuttingDownReason)
			}
		}
	case listConfirmed:
		c.listConfirmed()
	case listCallFailed:
		c.startup.CallFailed()
	case configChange:
		if c.stillHolds(now) {
			c.waitingChanges = append(c.waitingChanges, ev)
			return
		}
		c.reconfigure(ev, now)
	case machinesRequest:
		out := map[uint32]int{}
		for _, a := range c.attempts {
			out[a.executor]++
		}
		var all []Machine
		for id, w := range c.endpoints {
			all = append(all, Machine{w, out[id]})
		}
		slices.SortFunc(all, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
		ev <- all
	case countsRequest:
		n := c.counts
		n.Slow = c.slowPeers.JSON()
		n.Knows = c.knowledge.Stages(now.Sub(c.start))
		n.Open = c.Open()
		for _, j := range c.jobs {
			if !j.answered.Load() && j.inFlight > 0 {
				n.Running++
			}
		}
		n.Queued = max(0, n.Open-n.Running)
		ev <- n
	}
}

func (c *Core) queueEvent(e dispatch.Event) { c.batch = append(c.batch, e) }
