package node

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gatetack/brain"
	"gatetack/internal/gate"
	"gatetack/internal/limits"
	"gatetack/internal/pace"
	"gatetack/internal/recovery"
	"gatetack/internal/told"
)

// ErrFull is the answer to a job for which the core's queue has no place.
var ErrFull = errors.New("node: the queue of events is full")

// ErrShare is the answer to a job whose customer has as many open as the operators' file allows.
var ErrShare = errors.New("node: the customer has as many open as it may")

// Core owns the decision module. Everything in it but the channels belongs to the goroutine of Run.
type Core struct {
	lim   limits.Limits
	s     brain.Settings
	names Names // of zones and kinds, which stay; those of classes and tenants are in rules
	d     *brain.Dispatcher
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
	batch    []brain.Event
	actions  []brain.Action
	stepAt   time.Time // no step before
	workers  map[uint32]Entry
	counts   Counts
	slow     pace.Tally
	leaving  bool // nothing more is taken
	book     *recovery.Knowledge
	startup  told.Startup // while it holds, the module takes no step
	retunes  []retune     // that came meanwhile
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
func New(s brain.Settings, seed uint64, known List, names Names, lim limits.Limits, log *slog.Logger) (*Core, error) {
	d, err := brain.New(s, seed)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	now := time.Now()
	c := &Core{now: time.Now, lim: lim, s: s, names: names, d: d, log: log, in: make(chan any, lim.Events), done: make(chan struct{}),
		start: now, startMS: float64(now.UnixMicro()) / 1000, jobs: map[uint32]*job{}, traces: map[string]*job{},
		attempts: map[uint64]*attempt{}, workers: map[uint32]Entry{}}
	c.rules.Store(&Rules{s, names})
	// A list that must be asked for is held to be as it was for the time to ask within, and four times that after a failed call.
	fresh := max(Span(s.AskWithin), lim.Told.Silence)
	c.book = recovery.NewKnowledge(map[recovery.Kind]recovery.AgeBounds{recovery.List: {Fresh: fresh, Usable: time.Duration(lim.Told.Failed) * fresh}})
	c.tenants = make([]atomic.Int64, len(names.Tenants))
	known.Form = brain.ListCached
	c.in <- known
	return c, nil
}

// Connect sets what carries out the core's actions. It must be called before Run.
func (c *Core) Connect(e Executors, l Lists, p Peers) { c.exec, c.lists, c.peers = e, l, p }

// Slow counts the slow peers that the core's carriers and fronts find; the counts show them.
func (c *Core) Slow() *pace.Tally { return &c.slow }

// clock is Unix time in milliseconds that never runs backwards: lists tell starts in it.
func (c *Core) clock(t time.Time) float64 {
	return c.startMS + float64(t.Sub(c.start).Microseconds())/1000
}

type submitted struct {
	j  *job
	at time.Time
}
type gone uint32
type terminate struct {
	id uint32
	to chan error
}
type peerData struct {
	from uint32
	data []byte
}
type countsTo chan Counts
type machinesTo chan []Machine
type leave time.Time
type retune struct {
	rules *Rules
	from  map[int]int
	to    chan error
}

// Submit hands in a job. Unless it fails, the client gets one answer, or Gone is called. It never blocks.
func (c *Core) Submit(in Job, client Client) (uint32, error) {
	now := c.now()
	j := &job{id: c.lastID.Add(1), in: in, client: client, taken: now, deadline: now.Add(in.Left)}
	if err := c.reserve(j); err != nil {
		return 0, err
	}
	select {
	case c.in <- submitted{j, now}:
		return j.id, nil
	default:
		c.free(j)
		return 0, ErrFull
	}
}

// reserve counts an open job, unless there are too many: of all, or of its customer where the file bounds those. Which
// job is admitted is the module's to say; this keeps what waits to be told to it from growing without bound.
func (c *Core) reserve(j *job) error {
	if int(c.open.Add(1)) > c.lim.MaxOpen {
		c.open.Add(-1)
		return ErrFull
	}
	if most := c.lim.Pace.Requests; most > 0 && j.in.Tenant < len(c.tenants) && int(c.tenants[j.in.Tenant].Add(1)) > most {
		c.free(j)
		c.slow.Add(pace.ClientShare)
		return ErrShare
	}
	return nil
}

// free gives back what reserve counted.
func (c *Core) free(j *job) {
	c.open.Add(-1)
	if c.lim.Pace.Requests > 0 && j.in.Tenant < len(c.tenants) {
		c.tenants[j.in.Tenant].Add(-1)
	}
}

// post hands an event in that must not be lost. Only the core's end makes it give up.
func (c *Core) post(ev any) {
	select {
	case c.in <- ev:
	case <-c.done:
	}
}

// Gone says that a job's client has left. Its answer may cross with it.
func (c *Core) Gone(id uint32) { c.post(gone(id)) }

// Leave says that the node may end any moment. What it took after a time, and whatever nothing was sent of, is
// answered now, and so is all that still comes; what is older may yet be served.
func (c *Core) Leave(after time.Time) { c.post(leave(after)) }

// Result takes what came of an attempt.
func (c *Core) Result(r Result) { c.post(r) }

// Probed takes what came of a probe.
func (c *Core) Probed(worker uint32, o brain.Outcome, elapsed time.Duration, report []float32) {
	c.post(brain.Event{Kind: brain.EvProbed, Worker: worker, Outcome: o, Elapsed: millis(elapsed), Report: report})
}

// List takes a list or a change of it.
func (c *Core) List(l List) { c.post(l) }

// Peer takes a message of another node.
func (c *Core) Peer(from uint32, data []byte) { c.post(peerData{from, data}) }

// ErrRunning and ErrUnknown answer a termination.
var (
	ErrRunning = errors.New("node: the job was sent and is not stopped")
	ErrUnknown = errors.New("node: no such job is open")
)

// Terminate ends a job of which nothing was sent, or else says why not. A job that was sent goes on: nothing
// stops it at an executor.
func (c *Core) Terminate(ctx context.Context, id uint32) error {
	to := make(chan error, 1)
	c.post(terminate{id, to})
	select {
	case err := <-to:
		return err
	case <-c.done:
		return ErrUnknown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Counts tells what was done so far.
func (c *Core) Counts(ctx context.Context) (Counts, error) {
	to := make(countsTo, 1)
	c.post(to)
	select {
	case n := <-to:
		return n, nil
	case <-c.done:
		return Counts{}, context.Canceled
	case <-ctx.Done():
		return Counts{}, ctx.Err()
	}
}

// Machines tells which executors are listed, by name, and what of this node is out there.
func (c *Core) Machines(ctx context.Context) ([]Machine, error) {
	to := make(machinesTo, 1)
	c.post(to)
	select {
	case all := <-to:
		return all, nil
	case <-c.done:
		return nil, context.Canceled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Rules are those in force. A place in them stands for the same class or tenant for as long as a job of it can be open.
func (c *Core) Rules() *Rules { return c.rules.Load() }

// Retune puts settings read anew in force: new jobs come under them, open ones keep the rules they came under. Late is how
// long jobs of a class that is no longer named are still taken. After an error all is as it was. Calls must not overlap.
func (c *Core) Retune(ctx context.Context, s brain.Settings, names Names, late time.Duration) error {
	next, from, err := c.Rules().Retune(s, names, c.now(), late)
	if err != nil {
		return err
	}
	to := make(chan error, 1)
	c.post(retune{next, from, to})
	select {
	case err := <-to:
		return err
	case <-c.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready says whether the node can serve: it runs and its list names an executor that takes work. For a list it does not wait
// longer than a while: discovery may be down, and a node that refuses what it can not send is of more use than none.
func (c *Core) Ready() bool {
	if c.holding.Load() {
		return false
	}
	return c.ready.Load() || !c.heard.Load() && c.now().Sub(c.start) >= c.lim.ReadyBy
}

// Drain marks the node as drained by its operator: it tells clients to go elsewhere, and goes on answering what it
// took. It says whether the node was serving before; a second drain changes nothing.
func (c *Core) Drain() bool { return !c.drained.Swap(true) }

// Activate undoes a drain; on a node that was not drained it changes nothing. It says whether the node was drained.
func (c *Core) Activate() bool { return c.drained.Swap(false) }

// Drained says whether the operator has drained the node.
func (c *Core) Drained() bool { return c.drained.Load() }

// Open is how many jobs are owed an answer.
func (c *Core) Open() int { return int(c.open.Load()) }

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
			c.event(brain.Event{Kind: brain.EvGone, Job: j.id})
			c.forget(j)
		}
	case Result:
		c.result(ev, now)
	case List:
		c.list(ev, now)
	case peerData:
		c.event(brain.Event{Kind: brain.EvPeer, From: ev.from, Data: ev.data})
	case brain.Event:
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
	case listCallFailed:
		c.startup.Failed()
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

func (c *Core) event(e brain.Event) { c.batch = append(c.batch, e) }

func (c *Core) submitted(j *job, now time.Time) {
	c.counts.Taken++
	// Callbacks name a job by its id alone: a second job of an id that is live could get the first one's result.
	if j.in.Trace == "" || c.traces[j.in.Trace] != nil {
		c.answer(j, Answer{End: Failed, Why: "a job of this id is still open"})
		return
	}
	if c.leaving {
		c.answer(j, Answer{End: Refused, RetryAfter: Span(c.s.MaxRetryAfter), Why: leaves})
		return
	}
	j.rules = c.rules.Load()
	c.jobs[j.id], c.traces[j.in.Trace] = j, j
	flags := uint8(0)
	if j.in.Work > 0 {
		flags |= brain.FlagWork
	}
	if j.in.Repeat {
		flags |= brain.FlagRepeat
	}
	c.event(brain.Event{Kind: brain.EvRequest, Job: j.id, Class: uint8(j.in.Class), Tenant: uint16(j.in.Tenant),
		Key: j.in.Key, TimeLeft: millis(j.deadline.Sub(now)), Work: j.in.Work, Slots: j.in.Slots,
		Memory: j.in.Memory, Flags: flags, Prices: j.in.Prices})
	c.at(j.deadline.Add(-c.lim.AnswerEarly), deadline(j.id))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Span makes a time of the milliseconds that the module and its settings count in.
func Span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// settle marks that nothing more is owed for a job.
func (c *Core) settle(j *job) {
	j.answered.Store(true)
	c.free(j)
}

// answer gives a job's final answer, once.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	c.settle(j)
	switch a.End {
	case Served:
		c.counts.Served++
	case Refused:
		c.counts.Refused++
	case Failed:
		c.counts.Failed++
	case Terminated:
		c.counts.Terminated++
	}
	j.client.Answer(a)
	c.forget(j)
}

// forget drops a job that is answered once nothing of it is out.
func (c *Core) forget(j *job) {
	if j.answered.Load() && j.live == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		delete(c.traces, j.in.Trace)
	}
}

func (c *Core) terminate(id uint32) error {
	j := c.jobs[id]
	switch {
	case j == nil || j.answered.Load():
		return ErrUnknown
	case j.live > 0 || j.ran:
		return ErrRunning
	}
	// The module hears that the client left: that ends a job without an answer of its own.
	c.event(brain.Event{Kind: brain.EvGone, Job: id})
	c.answer(j, Answer{End: Terminated, Why: "terminated before it was sent"})
	return nil
}

// result takes in what came of an attempt. What comes after its end is passed over: each ActSend gets exactly
// one outcome.
func (c *Core) result(r Result, now time.Time) {
	a := c.attempts[r.Attempt]
	if a == nil || a.over {
		return
	}
	if r.Outcome == 0 {
		if r.Topic == brain.NoteStarted && !a.started {
			a.started = true
			if !a.j.answered.Load() {
				a.j.client.Started()
			}
		}
		c.event(brain.Event{Kind: brain.EvNote, Job: a.j.id, Attempt: a.n, Worker: a.worker, Topic: r.Topic, Amount: r.Amount})
		return
	}
	c.end(a, r.Outcome, r.Report, r.Body, now)
}

func (c *Core) end(a *attempt, o brain.Outcome, report []float32, body []byte, now time.Time) {
	j := a.j
	a.over = true
	j.live--
	delete(c.attempts, a.id)
	if a.ran = !o.NeverRan(); a.ran {
		j.ran = true
	}
	if o == brain.Served {
		c.answer(j, Answer{End: Served, Result: body})
	}
	if !j.answered.Load() && j.live == 0 {
		j.client.Returned(!j.ran)
	}
	c.event(brain.Event{Kind: brain.EvOutcome, Job: j.id, Attempt: a.n, Worker: a.worker, Outcome: o,
		Elapsed: millis(now.Sub(a.sent)), Final: j.answered.Load(), Report: report})
	c.forget(j)
}

func (c *Core) list(l List, now time.Time) {
	e := brain.Event{Kind: brain.EvList, Form: l.Form, Version: uint32(l.Index)}
	switch l.Form {
	case brain.ListFailed:
	case brain.ListCached:
		c.book.Confirm(recovery.List, recovery.Restored, l.Index, now.Sub(c.start))
	default:
		c.heard.Store(true)
		c.startup.Confirmed()
		c.book.Confirm(recovery.List, recovery.Current, l.Index, now.Sub(c.start))
	}
	if l.Form == brain.ListFull || l.Form == brain.ListCached {
		listed := map[uint32]bool{}
		for i := range l.Entries {
			listed[WorkerID(l.Entries[i].Name)] = true
		}
		for id, w := range c.workers {
			if !listed[id] { // who is not in a whole list is gone
				w.Status = "gone"
				c.exec.Told(id, w, now)
				delete(c.workers, id)
			}
		}
	}
	for i := range l.Entries {
		x := &l.Entries[i]
		id := WorkerID(x.Name)
		if was, ok := c.workers[id]; ok && was.Name != x.Name {
			c.log.Error("two executors share a number, the later one is left out", "one", was.Name, "other", x.Name)
			continue
		}
		if x.Condition() == brain.Gone {
			delete(c.workers, id)
		} else {
			c.workers[id] = *x
		}
		c.exec.Told(id, *x, now)
		e.Rows = append(e.Rows, brain.Row{Worker: id, Zone: place(c.names.Zones, x.Zone), Kind: place(c.names.Kinds, x.Kind),
			Cell: uint16(x.Group), Condition: x.Condition(), Scale: x.Weight, Born: x.SinceMS})
	}
	able := false
	for _, w := range c.workers {
		able = able || w.Condition() == brain.Ready
	}
	c.ready.Store(able)
	c.event(e)
}

// place of a name in a list, 255 for one that is not in it.
func place(names []string, name string) uint8 {
	for i, n := range names {
		if n == name {
			return uint8(min(i, 254))
		}
	}
	return 255
}

// act carries out one action.
func (c *Core) act(a *brain.Action, now time.Time) {
	switch a.Kind {
	case brain.ActSend:
		c.send(a, now)
	case brain.ActRefuse, brain.ActFail:
		j := c.jobs[a.Job]
		if j == nil {
			return
		}
		ans := Answer{End: Failed, Why: "it may have run, and can not be tried again in time"}
		if a.Kind == brain.ActRefuse {
			ans = Answer{End: Refused, RetryAfter: Span(a.For), Why: "no room for it in time"}
		}
		c.answer(j, ans)
	case brain.ActCancel:
		j := c.jobs[a.Job]
		if j == nil || int(a.Attempt) >= len(j.tries) {
			return
		}
		if t := j.tries[a.Attempt]; !t.over {
			c.exec.GiveUp(t.id)
			c.end(t, brain.Cancelled, nil, nil, now)
		}
	case brain.ActTimer:
		c.at(now.Add(Span(a.For)), token(a.Token))
	case brain.ActProbe:
		c.exec.Probe(a.Worker)
	case brain.ActClose:
		c.exec.CloseIdle(a.Worker)
	case brain.ActWatch:
		c.lists.Watch(a.On)
	case brain.ActFetch:
		c.lists.Fetch()
	case brain.ActTell:
		c.peers.Tell(a.To, a.Data)
	case brain.ActLog:
		c.log.Info("module", "says", a.Text)
	}
}

func (c *Core) send(a *brain.Action, now time.Time) {
	j := c.jobs[a.Job]
	if j == nil {
		return
	}
	c.lastTry++
	t := &attempt{id: c.lastTry, n: uint16(len(j.tries)), j: j, worker: a.Worker, sent: now, ran: true}
	rules := j.repeats()
	j.tries = append(j.tries, t)
	j.live++
	c.attempts[t.id] = t
	w, ok := c.workers[a.Worker]
	until := j.deadline.Add(-c.lim.AnswerEarly)
	if a.For > 0 {
		until = earlier(until, now.Add(Span(a.For)))
	}
	if j.answered.Load() || !ok || !until.After(now) {
		c.end(t, brain.Moot, nil, nil, now)
		return
	}
	c.counts.Sends++
	j.client.Sent(w.Name)
	c.at(until, timeout(t.id))
	c.exec.Send(Attempt{ID: t.id, Worker: a.Worker, Deadline: until, Job: &j.in, Answered: &j.answered, Born: w.SinceMS, Rules: rules})
}

// repeats are the rules for the next attempt of a job, by those it came under and what became of the ones before.
func (j *job) repeats() gate.Rules {
	s := &j.rules.Settings
	class := s.Classes[min(j.in.Class, len(s.Classes)-1)]
	r := gate.Rules{Number: len(j.tries) + 1, Most: s.MaxAttempts, Effect: class.Effect}
	for _, t := range j.tries { // in the order of their sending: the first that counts is the earliest
		if t.ran && !r.Ran {
			r.Ran, r.RepeatBy = true, t.sent.Add(Span(class.Window))
		}
	}
	return r
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ---- timers

type token uint32    // of the module
type timeout uint64  // of an attempt
type deadline uint32 // of a job

type timer struct {
	at   time.Time
	what any
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].at.Before(t[k].at) }
func (t timers) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (c *Core) at(t time.Time, what any) { heap.Push(&c.timers, timer{t, what}) }

// fire takes in the timers that are due.
func (c *Core) fire(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(now) {
		switch what := heap.Pop(&c.timers).(timer).what.(type) {
		case token:
			c.event(brain.Event{Kind: brain.EvTimer, Token: uint32(what)})
		case timeout:
			if a := c.attempts[uint64(what)]; a != nil && !a.over {
				c.exec.GiveUp(a.id)
				c.end(a, brain.TimedOut, nil, nil, now)
			}
		case deadline:
			c.overdue(uint32(what), now)
		}
	}
}

// overdue sees to it that a job is answered before its client gives up, should the module not have done so by a
// step after its time-outs.
func (c *Core) overdue(id uint32, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.answered.Load() {
		return
	}
	last := j.deadline.Add(-c.lim.AnswerEarly / 3)
	if now.Before(last) {
		c.at(last, deadline(id))
		return
	}
	c.log.Warn("the module left a job unanswered", "job", j.in.Trace, "live", j.live, "sends", len(j.tries))
	c.cut(j, "its time is over")
}

// leaves tells why a node that is about to end answers.
const leaves = "the node leaves"

// cut ends a job without the module, which hears that the client left.
func (c *Core) cut(j *job, why string) {
	a := Answer{End: Failed, Why: why}
	if j.live == 0 && !j.ran {
		a.End, a.RetryAfter = Refused, Span(c.s.MaxRetryAfter)
	}
	c.event(brain.Event{Kind: brain.EvGone, Job: j.id})
	c.answer(j, a)
}

// Round rounds a time to stay away up to whole milliseconds within a bound, for the fronts.
func Round(d, most time.Duration) time.Duration {
	ms := time.Duration(math.Ceil(float64(d) / float64(time.Millisecond)))
	return min(ms*time.Millisecond, most)
}
