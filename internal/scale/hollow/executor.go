package hollow

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Executors are all executors of a fleet. NewExecutors creates them, and Boot starts each one.
type Executors struct {
	ctx       context.Context
	g         *errgroup.Group
	settings  ExecutorSettings
	network   *Network
	record    *Record
	traffic   *Traffic
	cuts      *Cuts
	callbacks *callbacks
	lim       limits.Limits
	executors []*executor
}

// ExecutorSettings are the settings that all executors share.
type ExecutorSettings struct {
	Rules            fleet.Rules
	ProgressInterval time.Duration // time between progress callbacks, 0 for none
	QueuePerSlot     int           // number of tasks that may wait at an executor, per slot
	StoreMembers     int           // number of store members: the first dispatchers, for each of which an executor has a separate address
	ExpectedRun      func(class int) time.Duration
	DispatcherRegion func(dispatcher int) int
}

// executor is one hollow executor.
type executor struct {
	*Executors
	plan fleet.Executor

	mu          sync.Mutex
	incarnation *incarnation // nil while the executor is down
}

// incarnation is the state of an executor between its start and its end.
type incarnation struct {
	ctx       context.Context
	end       context.CancelFunc
	listeners []net.Listener
	cold      bool
	booted    time.Time
	conns     map[net.Conn]bool
	used      int // number of slots in use
	waiting   []*attempt
}

// attempt is an attempt that an executor accepted.
type attempt struct {
	executor    *executor
	incarnation *incarnation
	id          string
	request     uint64
	dispatcher  int
	task        workload.Task
}

// NewExecutors creates the executors of a plan. Their goroutines run in g and end with ctx.
func NewExecutors(ctx context.Context, g *errgroup.Group, plan []fleet.Executor, s ExecutorSettings, n *Network, r *Record, t *Traffic, c *Cuts,
	dispatchers int) *Executors {
	e := &Executors{ctx: ctx, g: g, settings: s, network: n, record: r, traffic: t, cuts: c, lim: limits.New(0, 0, 0, 0, 0)}
	e.callbacks = newCallbacks(ctx, g, n, t, dispatchers)
	for _, p := range plan {
		e.executors = append(e.executors, &executor{Executors: e, plan: p})
	}
	return e
}

// Boot starts an incarnation of an executor. It is cold except at the start of the run.
func (e *Executors) Boot(number int, cold bool) error {
	x := e.executors[number]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incarnation != nil {
		return nil
	}
	listeners, err := e.listen(number)
	if err != nil {
		return fmt.Errorf("executor %s: %w", x.plan.Name, err)
	}
	l := &incarnation{listeners: listeners, cold: cold, booted: time.Now(), conns: map[net.Conn]bool{}}
	l.ctx, l.end = context.WithCancel(e.ctx)
	x.incarnation = l
	if cold {
		e.record.Add(verdict.Event{Kind: verdict.Booted, Executor: int32(number), Slots: int32(x.plan.Slots)})
	}
	for i, ln := range listeners {
		e.g.Go(func() error {
			stop := context.AfterFunc(l.ctx, func() { _ = ln.Close() })
			defer stop()
			x.accept(l, ln, i-1)
			return nil
		})
	}
	return nil
}

// listen listens on an executor's addresses: the shared one, and one for each store member.
func (e *Executors) listen(number int) ([]net.Listener, error) {
	var out []net.Listener
	for caller := anyDispatcher; caller < e.settings.StoreMembers; caller++ {
		ln, err := net.Listen("tcp", e.network.Executor(number, caller))
		if err != nil {
			for _, listener := range out {
				_ = listener.Close()
			}
			return nil, err
		}
		out = append(out, ln)
	}
	return out, nil
}

// Kill ends an executor's incarnation as a killed process ends: its connections are reset, new ones fail, and its tasks are lost.
func (e *Executors) Kill(number int) {
	x := e.executors[number]
	x.mu.Lock()
	l := x.incarnation
	x.incarnation = nil
	if l == nil {
		x.mu.Unlock()
		return
	}
	l.waiting = nil
	for _, ln := range l.listeners {
		_ = ln.Close()
	}
	for c := range l.conns {
		reset(c)
	}
	x.mu.Unlock()
	l.end()
	e.record.Add(verdict.Event{Kind: verdict.Died, Executor: int32(number)})
}

// Booted reports whether an executor is up, and returns the time when its incarnation started.
func (e *Executors) Booted(number int) (time.Time, bool) {
	x := e.executors[number]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.incarnation == nil {
		return time.Time{}, false
	}
	return x.incarnation.booted, true
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (x *executor) accept(l *incarnation, ln net.Listener, caller int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		if x.incarnation != l {
			x.mu.Unlock()
			reset(c)
			return
		}
		l.conns[c] = true
		x.mu.Unlock()
		x.g.Go(func() error {
			stop := context.AfterFunc(l.ctx, func() { _ = c.Close() })
			x.serve(l, c, caller)
			stop()
			x.mu.Lock()
			delete(l.conns, c)
			x.mu.Unlock()
			_ = c.Close()
			return nil
		})
	}
}

// serve answers the requests of one connection.
func (x *executor) serve(l *incarnation, conn net.Conn, caller int) {
	c := x.traffic.count(conn, RoleExecutor)
	in, parser, writer := http1.NewRing(x.lim.RingBytes), http1.NewParser(x.lim, false), http1.NewWriter(c, x.lim.RingBytes)
	var firstByte time.Duration
	for {
		m, err := parser.Feed(in)
		if err != nil {
			return
		}
		if m == nil {
			started := parser.Started()
			if _, err := in.Fill(c); err != nil {
				return
			}
			if !started {
				firstByte = x.record.Now()
			}
			continue
		}
		x.traffic.out(RoleExecutor)
		response, dispatcher := x.handle(l, m, firstByte, caller)
		if dispatcher >= 0 && x.cuts.wait(l.ctx, x.plan.Region, x.settings.DispatcherRegion(dispatcher), Outward) != nil {
			return
		}
		if err := writer.Response(&response); err != nil {
			return
		}
		x.traffic.in(RoleExecutor)
		if m.Close {
			return
		}
	}
}

// unknownDispatcher is returned in place of a dispatcher's number for a request that does not name one.
const unknownDispatcher = -1

// handle answers one request and returns the number of its dispatcher.
func (x *executor) handle(l *incarnation, m *http1.Message, firstByte time.Duration, caller int) (http1.Response, int) {
	switch {
	case m.Method == "DELETE" && strings.HasPrefix(m.Target, "/jobs/"):
		return http1.Response{Status: 204}, unknownDispatcher // a task is never stopped
	case m.Method == "GET" && (m.Target == "/load" || m.Target == "/healthz"):
		x.mu.Lock()
		defer x.mu.Unlock()
		return http1.Response{Status: 200, Body: []byte(x.load(l))}, unknownDispatcher
	case m.Method != "POST" || m.Get("X-Trace-Id") == "":
		return http1.Response{Status: 404}, unknownDispatcher
	}
	id := m.Get("X-Trace-Id")
	request, err := parseID(id)
	if err != nil {
		return http1.Text(400, "%v", err), unknownDispatcher
	}
	task, err := parseTarget(m.Target)
	if err != nil {
		return http1.Text(400, "%v", err), unknownDispatcher
	}
	if caller == anyDispatcher {
		caller = dispatcherOf(request)
	}
	a := &attempt{x, l, id, request, caller, task}
	if x.cuts.wait(l.ctx, x.plan.Region, x.settings.DispatcherRegion(a.dispatcher), Inward) != nil {
		return http1.Response{Status: 503, Close: true}, a.dispatcher
	}
	return x.enqueue(l, a, firstByte), a.dispatcher
}

// enqueue accepts an attempt, or rejects it if the queue is full or the executor has too few slots for it.
func (x *executor) enqueue(l *incarnation, a *attempt, firstByte time.Duration) http1.Response {
	e := a.event(verdict.Accepted)
	e.FirstByte, e.Work = firstByte, x.settings.ExpectedRun(a.task.Class)*time.Duration(a.task.Slots)
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(l.waiting) >= x.settings.QueuePerSlot*x.plan.Slots || a.task.Slots > x.plan.Slots {
		e.Kind = verdict.AttemptRejected
		x.record.Add(e)
		return http1.Response{Status: 503, Fields: []http1.Field{{Name: "X-Never-Ran", Value: "1"},
			{Name: "Endpoint-Load-Metrics", Value: fmt.Sprintf("TEXT queue=%d, x0=%d", len(l.waiting), x.plan.Slots-l.used)}}}
	}
	x.record.Add(e)
	l.waiting = append(l.waiting, a)
	x.startQueued(l)
	return http1.Response{Status: 202}
}

// startQueued starts waiting attempts in the order of arrival while the first one fits into the free slots. The caller holds x.mu.
func (x *executor) startQueued(l *incarnation) {
	for len(l.waiting) > 0 && l.used+l.waiting[0].task.Slots <= x.plan.Slots {
		a := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.used += a.task.Slots
		a.start()
	}
}

// start starts an attempt. The caller holds the executor's lock.
func (a *attempt) start() {
	x, l := a.executor, a.incarnation
	x.record.Add(a.event(verdict.Started))
	x.notify(a, `"state":"started"`, func() { x.record.StartNotified(a.task.Number, time.Now()) })
	run := time.Duration(float64(a.task.Run) / x.speed(l))
	a.scheduleReports(time.Now(), run, x.settings.ProgressInterval)
}

// scheduleReports reports the progress of an attempt at each interval and finishes it after its running time. One chain of timers
// does both, so that no progress report follows the end: separate timers that are due at the same time could fire in either order.
func (a *attempt) scheduleReports(startedAt time.Time, run, reportDue time.Duration) {
	if reportDue <= 0 || reportDue >= run {
		time.AfterFunc(time.Until(startedAt.Add(run)), a.finish)
		return
	}
	time.AfterFunc(time.Until(startedAt.Add(reportDue)), func() {
		if a.incarnation.ctx.Err() != nil {
			return
		}
		a.executor.notify(a, fmt.Sprintf(`"state":"running","share":%.3f`, float64(reportDue)/float64(run)), nil)
		a.scheduleReports(startedAt, run, reportDue+a.executor.settings.ProgressInterval)
	})
}

// finish ends an attempt, unless the incarnation of its executor has ended.
func (a *attempt) finish() {
	x, l := a.executor, a.incarnation
	x.mu.Lock()
	if x.incarnation != l || l.ctx.Err() != nil {
		x.mu.Unlock()
		return
	}
	l.used -= a.task.Slots
	x.record.Add(a.event(verdict.Ended))
	x.startQueued(l)
	load := x.load(l)
	x.mu.Unlock()
	x.notify(a, `"state":"done","result":"`+resultOf(a.id)+`","load":`+load, nil)
}

// speed returns the share of its capacity that an executor has now.
func (x *executor) speed(l *incarnation) float64 {
	if !l.cold {
		return 1
	}
	r := x.settings.Rules
	return min(1, r.SlowStartMinShare+(1-r.SlowStartMinShare)*float64(time.Since(l.booted))/float64(r.SlowStartDuration))
}

// load returns a load report in the form of callbacks and health checks. The caller holds x.mu.
func (x *executor) load(l *incarnation) string {
	return fmt.Sprintf(`{"queue":%d,"x0":%d}`, len(l.waiting), x.plan.Slots-l.used)
}

// event returns an event about the attempt.
func (a *attempt) event(kind verdict.Kind) verdict.Event {
	return verdict.Event{Kind: kind, Request: a.request, Task: int32(a.task.Number), Executor: int32(a.executor.plan.Number),
		Dispatcher: int16(a.dispatcher), Class: uint8(a.task.Class), Tenant: int32(a.task.Tenant), Slots: int32(a.task.Slots)}
}

// notify queues a callback to the attempt's dispatcher. If answered is not nil, it is called once the dispatcher has answered.
func (x *executor) notify(a *attempt, rest string, answered func()) {
	body := `{"id":"` + a.id + `","from":"` + x.plan.Name + `",` + rest + `}`
	region := x.settings.DispatcherRegion(a.dispatcher)
	x.callbacks.send(a.dispatcher, a.request, call{body: []byte(body), incarnationCtx: a.incarnation.ctx, onAnswered: answered,
		waitForLink: func(ctx context.Context) error { return x.cuts.wait(ctx, x.plan.Region, region, Outward) }})
}
