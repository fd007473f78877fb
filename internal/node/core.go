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
	lim   limits.Limits
	s     dispatch.Settings
	names Names // of zones and kinds, which stay; those of classes and tenants are in rules
	d     *dispatch.Dispatcher
	log   *slog.Logger
	exec  Executors
	lists Lists
	peers Peers

	in      chan any
	lastID  atomic.Uint32
	rules   atomic.Pointer[Rules]
	ready   atomic.Bool // the list names an executor that takes work
	holding atomic.Bool // nobody has confirmed the list yet: jobs are held
	heard   atomic.Bool // a list of this life has come
	drained atomic.Bool // by the operator: clients are sent elsewhere, what was taken is answered
	open    atomic.Int64
	tenants []atomic.Int64 // open jobs by tenant, where the file bounds them
	done    chan struct{}

	now      func() time.Time
	start    time.Time
	startMS  float64
	jobs     map[uint32]*job
	traces   map[string]*job
	attempts map[uint64]*attempt
	lastTry  uint64
	timers   timers
	batch    []dispatch.Event
	actions  []dispatch.Action
	stepAt   time.Time // no step before
	workers  map[uint32]Entry
	counts   Counts
	slow     slowpeer.Tally
	leaving  bool // nothing more is taken
	book     *recovery.Knowledge
	startup  endpointwatch.Startup // while it holds, the module takes no step
	retunes  []retune              // that came meanwhile
}

type job struct {
	id       uint32
	in       Job
	client   Client
	taken    time.Time
	deadline time.Time
	rules    *Rules
	answered atomic.Bool // or gone: nothing is owed
	live     int         // attempts out
	ran      bool
	tries    []*attempt
}

type attempt struct {
	id      uint64
	n       uint16
	j       *job
	worker  uint32
	sent    time.Time
	over    bool
	ran     bool // it is out, or may have run
	started bool
}

// New makes a core. The known list is its first event.
func New(s dispatch.Settings, seed uint64, known List, names Names, lim limits.Limits, log *slog.Logger) (*Core, error) {
	d, err := dispatch.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	now := time.Now()
	c := &Core{now: time.Now, lim: lim, s: s, names: names, d: d, log: log, in: make(chan any, lim.Events), done: make(chan struct{}),
		start: now, startMS: float64(now.UnixMicro()) / 1000, jobs: map[uint32]*job{}, traces: map[string]*job{},
		attempts: map[uint64]*attempt{}, workers: map[uint32]Entry{}}
	c.rules.Store(&Rules{s, names})
	// A list that must be asked for is held to be as it was for the time to ask within, and four times that after a failed call.
	fresh := max(Span(s.AskWithin), lim.Staleness.MaxStaleness)
	c.book = recovery.NewKnowledge(map[recovery.Kind]recovery.AgeBounds{recovery.EndpointList: {Fresh: fresh, Usable: time.Duration(lim.Staleness.FailedPollFactor) * fresh}})
	c.tenants = make([]atomic.Int64, len(names.Tenants))
	known.Form = dispatch.ListCached
	c.in <- known
	return c, nil
}

// Connect sets what carries out the core's actions. It must be called before Run.
func (c *Core) Connect(e Executors, l Lists, p Peers) { c.exec, c.lists, c.peers = e, l, p }

// Slow counts the slow peers that the core's carriers and fronts find; the counts show them.
func (c *Core) Slow() *slowpeer.Tally { return &c.slow }

// clock is Unix time in milliseconds that never runs backwards: lists tell starts in it.
func (c *Core) clock(t time.Time) float64 {
	return c.startMS + float64(t.Sub(c.start).Microseconds())/1000
}

// ErrRunning and ErrUnknown answer a termination.
var (
	ErrRunning = errors.New("node: the job was sent and is not stopped")
	ErrUnknown = errors.New("node: no such job is open")
)

// Run owns the decision module until the context ends.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case ev := <-c.in:
			c.intake(ev)
			// Drain is bounded: under a flood the step must still come in time.
			for n := 0; n < 256; n++ {
				select {
				case ev := <-c.in:
					c.intake(ev)
					continue
				default:
				}
				break
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.turn(c.now())
		timer.Reset(max(time.Until(c.wake()), 0))
	}
}

// turn takes in the timers that are due, and steps if there is something to step for and it is time.
func (c *Core) turn(now time.Time) {
	c.fire(now)
	if c.holds(now) {
		return
	}
	if len(c.batch) > 0 && !now.Before(c.stepAt) {
		c.step(now)
	}
}

// step gives the batch to the module and carries out its actions.
func (c *Core) step(now time.Time) {
	c.stepAt = now.Add(Span(c.s.Step))
	c.actions = c.d.Step(c.clock(now), c.batch, c.actions[:0])
	clear(c.batch)
	c.batch = c.batch[:0]
	for i := range c.actions {
		c.act(&c.actions[i], now)
	}
}

func (c *Core) intake(ev any) {
	now := c.now()
	switch ev := ev.(type) {
	case submitted:
		c.submitted(ev.j, now)
	case gone:
		if j := c.jobs[uint32(ev)]; j != nil && !j.answered.Load() {
			c.counts.Gone++
			c.settle(j)
			c.event(dispatch.Event{Kind: dispatch.EvGone, Job: j.id})
			c.forget(j)
		}
	case Result:
		c.result(ev, now)
	case List:
		c.list(ev, now)
	case peerData:
		c.event(dispatch.Event{Kind: dispatch.EvPeer, From: ev.from, Data: ev.data})
	case dispatch.Event:
		c.event(ev)
	case terminate:
		ev.to <- c.terminate(ev.id)
	case leave:
		c.leaving = true
		for _, j := range c.jobs {
			if !j.answered.Load() && (j.taken.After(time.Time(ev)) || j.live == 0 && !j.ran) {
				c.cut(j, leaves)
			}
		}
	case listConfirmed:
		c.listConfirmed()
	case listCallFailed:
		c.startup.CallFailed()
	case retune:
		if c.holds(now) {
			c.retunes = append(c.retunes, ev)
			return
		}
		c.retune(ev, now)
	case machinesTo:
		out := map[uint32]int{}
		for _, a := range c.attempts {
			out[a.worker]++
		}
		var all []Machine
		for id, w := range c.workers {
			all = append(all, Machine{w, out[id]})
		}
		slices.SortFunc(all, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
		ev <- all
	case countsTo:
		n := c.counts
		n.Slow = c.slow.JSON()
		n.Knows = c.book.Stages(now.Sub(c.start))
		n.Open = c.Open()
		for _, j := range c.jobs {
			if !j.answered.Load() && j.live > 0 {
				n.Running++
			}
		}
		n.Queued = max(0, n.Open-n.Running)
		ev <- n
	}
}

func (c *Core) event(e dispatch.Event) { c.batch = append(c.batch, e) }
