// Package executor carries jobs to executors: a pool of connections, the job's POST, the giving up of attempts,
// probes, and the callbacks that tell what became of a job. It decides nothing and resends nothing.
package executor

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
	"gatetack/internal/slowpeer"
)

// Sink takes what came of attempts and probes.
type Sink interface {
	Result(node.Result)
	Probed(worker uint32, o dispatch.Outcome, elapsed time.Duration, report []float32)
}

// Client speaks to all executors.
type Client struct {
	limits      limits.Limits
	names       node.Names
	handler     Sink
	log         *slog.Logger
	group       *errgroup.Group
	ctx         context.Context
	pool        *pool
	acks        *ackTracker
	slowPeers   *slowpeer.Tally
	cancelSlots chan struct{}                              // connections that may be used to give up attempts at a time
	sleep       func(context.Context, time.Duration) error // between dials after a local fault

	mu           sync.Mutex
	executors    map[uint32]*endpointState
	attempts     map[uint64]*activeAttempt
	attemptByKey map[attemptKey]*activeAttempt
	returned     returnedRequests
}

type attemptKey struct{ trace, executor string }

// minToldTime is the least time that an executor is told: in whole milliseconds, less would be none.
const minToldTime = time.Millisecond

// statusAccepted is the status by which an executor takes a job.
const statusAccepted = 202

type endpointState struct {
	name, address string
	sendsEndAt    time.Time // nothing new is written after it; zero while the worker takes work
	startedAt     float64   // when its life began, as the list has it
	lastContact   time.Time // its last answer, callback or new connection
}

// try is an attempt that is neither ended nor given up.
type activeAttempt struct {
	node.Attempt
	key                attemptKey
	mu                 sync.Mutex
	lastByteCommitted  bool      // its last byte is being written or was
	accepted           bool      // 202 came
	lastByteAt         time.Time // its last byte, zero before
	canceledUnaccepted bool      // it was given up before a 202 was seen
	overdue            bool      // the box owed a sign of it for too long
	acknowledged       bool      // it gave one, or the attempt ended without
	ended              bool
	cancel             context.CancelFunc // of its connection, until the 202
	rebuilt            bool               // its request was made anew since it told too much time; its sender's alone
}

// New makes a client whose goroutines belong to g and end with ctx.
func New(ctx context.Context, g *errgroup.Group, lim limits.Limits, names node.Names, sink Sink, slow *slowpeer.Tally,
	log *slog.Logger) *Client {
	return &Client{limits: lim, names: names, handler: sink, log: log, group: g, ctx: ctx, pool: newPool(lim, slow), slowPeers: slow,
		acks:        &ackTracker{estimates: slowpeer.NewAcks(lim.Pace.Acks)},
		cancelSlots: make(chan struct{}, lim.GiveUps), executors: map[uint32]*endpointState{}, attempts: map[uint64]*activeAttempt{}, attemptByKey: map[attemptKey]*activeAttempt{},
		returned: returnedRequests{}, sleep: sleep}
}

// Told keeps an executor's address and, from its drain or end on, when sends to it stop.
func (c *Client) Told(id uint32, e node.Entry, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.executors[id]
	if w == nil {
		w = &endpointState{name: e.Name}
		c.executors[id] = w
	}
	listed := e.Condition() != dispatch.Gone
	if e.Address != "" && e.Address != w.address || listed && e.SinceMS != w.startedAt {
		c.pool.closeIdle(w.address) // they lead to another machine, or to a process that has ended
	}
	if e.Address != "" {
		w.address = e.Address
	}
	if listed {
		w.startedAt = e.SinceMS
	}
	switch {
	case e.Condition() == dispatch.Ready:
		w.sendsEndAt = time.Time{}
	case w.sendsEndAt.IsZero():
		w.sendsEndAt = at.Add(c.limits.DrainSpare)
	}
	if e.Condition() == dispatch.Gone {
		c.pool.closeIdle(w.address)
	}
}

// address of a worker.
func (c *Client) address(id uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.executors[id]; w != nil {
		return w.address
	}
	return ""
}

// may asks, with what stands at this moment, whether an attempt may still go, and where to. It is the only place that asks,
// before each connection and again after whatever takes a while. A try's lock is held, or nobody else knows of the try.
func (c *Client) precheck(t *activeAttempt) (string, precheck.Reason) {
	why := precheck.May
	if t.Job.Still != nil {
		why = t.Job.Still() // it may take a lock: what follows is looked at after it
	}
	a := precheck.Ask{Now: time.Now(), Over: t.ended || t.Answered != nil && t.Answered.Load(), Job: why, Deadline: t.Deadline, Was: t.Born, Rules: t.Rules}
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := ""
	if w := c.executors[t.Worker]; w != nil {
		addr, a.Listed, a.StopAt, a.Began = w.address, true, w.sendsEndAt, w.startedAt
	}
	if why = a.May(); why != precheck.May {
		c.log.Debug("an attempt does not go", "job", t.Job.Trace, "to", t.key.executor, "why", why)
	}
	return addr, why
}

// still is may for a try that others know of.
func (c *Client) allowed(t *activeAttempt) (addr string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, why := c.precheck(t)
	return addr, why == precheck.May
}

// commit is may for the last time: if the attempt goes, it counts as written from here on, before its last byte is.
func (c *Client) commit(t *activeAttempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, why := c.precheck(t); why != precheck.May {
		return false
	}
	t.lastByteCommitted, t.lastByteAt = true, time.Now()
	return true
}

// heard takes in a sign of life of a worker.
func (c *Client) recordContact(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.executors[id]; w != nil {
		w.lastContact = time.Now()
	}
}

// unheard says that a worker gave no sign of life for so long that its machine may be cut off.
func (c *Client) lacksContact(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.executors[id]
	return w != nil && time.Since(w.lastContact) > c.limits.Pace.Unheard
}

// Send starts an attempt.
func (c *Client) Send(a node.Attempt) {
	c.mu.Lock()
	w := c.executors[a.Worker]
	if w == nil {
		c.mu.Unlock()
		c.group.Go(func() error { c.handler.Result(node.Result{Attempt: a.ID, Outcome: dispatch.Moot}); return nil })
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	t := &activeAttempt{Attempt: a, key: attemptKey{a.Job.Trace, w.name}, cancel: cancel}
	// Registered before a byte is written: the first callback can come before the 202.
	c.attempts[a.ID], c.attemptByKey[t.key] = t, t
	name := w.name
	c.mu.Unlock()
	c.group.Go(func() error {
		defer cancel()
		if a.Job.Before != nil {
			if err := a.Job.Before(name); err != nil {
				c.log.Warn("a send was not recorded and is not made", "job", a.Job.Trace, "err", err)
				c.finish(t, dispatch.Moot, nil, nil)
				return nil
			}
		}
		o, report := c.send(ctx, t)
		if o != 0 {
			c.finish(t, o, report, nil)
		}
		return nil
	})
}

// end takes an attempt off and tells its outcome, once.
func (c *Client) finish(t *activeAttempt, o dispatch.Outcome, report []float32, body []byte) {
	if c.remove(t) {
		c.handler.Result(node.Result{Attempt: t.ID, Outcome: o, Report: report, Body: body})
	}
}

func (c *Client) remove(t *activeAttempt) bool {
	t.mu.Lock()
	was := t.ended
	t.ended = true
	t.mu.Unlock()
	if was {
		return false
	}
	c.acks.abandon(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, t.ID)
	if c.attemptByKey[t.key] == t {
		delete(c.attemptByKey, t.key)
	}
	return true
}

// post writes the job and reads what the executor says at once. An outcome of 0 means that it has taken the
// job: what becomes of it comes by callback.
func (c *Client) send(ctx context.Context, t *activeAttempt) (dispatch.Outcome, []float32) {
	for n := 0; ; n++ {
		conn, failed := c.connect(ctx, t)
		if conn == nil {
			return failed, nil
		}
		o, report := c.sendOver(ctx, t, conn)
		// A kept connection can have ended on the other side without a sign, until the next request comes. Nothing
		// was sent then - the last byte was not written - and the attempt takes another connection. One that was
		// made for it and broke says something of the executor: the module hears of that.
		if o != dispatch.ConnectFailed || !conn.reused && !conn.rebuild || n >= c.limits.Reconnects || ctx.Err() != nil {
			return o, report
		}
	}
}

// postOn is post over one connection.
func (c *Client) sendOver(ctx context.Context, t *activeAttempt, conn *connection) (dispatch.Outcome, []float32) {
	// From here on, giving the attempt up ends what is under way on the connection, which is closed then.
	stop := context.AfterFunc(ctx, conn.Abort)
	keep := false
	defer func() {
		if stop() && keep {
			c.pool.release(conn)
		} else {
			c.pool.close(conn)
		}
	}()
	// Much may have been told while the connection was being made: a drain is counted from the first byte.
	if _, ok := c.allowed(t); !ok {
		keep = true
		return dispatch.Moot, nil
	}
	// The executor is told what will be left once the request's last byte can go.
	j, told := t.Job, c.limits.TellableTime(time.Until(t.Deadline)-conn.lastBytePause(c.limits))
	if told < minToldTime {
		keep = true
		return dispatch.Moot, nil
	}
	fields := append(make([]http1.Field, 0, 5), http1.Field{Name: "Host", Value: "api.internal"},
		http1.Field{Name: "X-Trace-Id", Value: j.Trace},
		http1.Field{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(told.Milliseconds(), 10)})
	if j.Idempotency != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: j.Idempotency})
	}
	conn.WriteBy(t.Deadline)
	err := conn.output.Request(j.Method, j.Target, fields, j.Body)
	if err == nil {
		err = conn.output.FlushBut()
	}
	// What breaks before the last byte is written never ran there, and what breaks after it may have: so the last
	// byte waits until a connection that the other side has forgotten, or resets, has had time to show it.
	if slow := (*slowpeer.Slow)(nil); errors.As(err, &slow) {
		c.recordSlowPeer(slowpeer.BoxReads, t, conn, slow)
		return dispatch.ConnectFailed, nil
	}
	if err != nil || !conn.isOpenAfterPause(c.limits) {
		c.recordReuse(ctx, conn, true)
		return dispatch.ConnectFailed, nil
	}
	// At a box that has not been heard of for a while, which may be cut off, acknowledgements are waited for.
	if left, ok := conn.isAcknowledged(ctx, c.limits, c.lacksContact(t.Worker)); !ok {
		if ctx.Err() == nil {
			c.recordSlowPeer(slowpeer.BoxUnacked, t, conn, &slowpeer.Slow{Direction: "out", Left: left})
		}
		return dispatch.ConnectFailed, nil
	}
	// The request was made before these waits. Where it tells more than its client has left now, it is made anew, once, on another
	// connection. The attempt ends AnswerEarly before its client leaves.
	if told > time.Until(t.Deadline)+c.limits.AnswerEarly {
		if t.rebuilt {
			return dispatch.Moot, nil
		}
		t.rebuilt, conn.rebuild = true, true
		return dispatch.ConnectFailed, nil
	}
	// All that may take a while lies behind.
	if !c.commit(t) {
		return dispatch.Moot, nil
	}
	c.acks.lastByteSent(t) // before the byte that a callback can follow
	if err = conn.output.Flush(); err != nil {
		return dispatch.ConnectFailed, nil
	}
	failpoint.At(failpoint.Byte)
	wrote := time.Now()
	m, err := c.readAnswer(ctx, t, conn)
	// A connection that was forgotten breaks as soon as the request gets there; one that breaks later was in use.
	c.recordReuse(ctx, conn, err != nil && !conn.parser.Begun() && time.Since(wrote) < conn.lastBytePause(c.limits))
	switch {
	case isTimeout(err) && conn.parser.Status() == statusAccepted:
		return 0, nil // it has taken the job, however slowly it says the rest
	case err != nil && conn.parser.Status() == 500:
		return dispatch.Errored, nil
	case err != nil:
		return dispatch.Reset, nil // its last byte was written: it may have run
	}
	keep = !m.Close
	switch {
	case m.Status == statusAccepted:
		return 0, nil
	case (m.Status == 503 || m.Status == 504) && m.Get("X-Never-Ran") == "1":
		return dispatch.Full, c.reportFromHeader(m)
	}
	if m.Status != 500 {
		c.log.Warn("an executor's answer is none of the protocol's", "status", m.Status, "to", conn.addr, "job", j.Trace)
	}
	return dispatch.Errored, c.reportFromHeader(m)
}

// saw lets the pool learn from a kept connection, unless its attempt was given up.
func (c *Client) recordReuse(ctx context.Context, conn *connection, broke bool) {
	if conn.reused && ctx.Err() == nil {
		c.pool.recordReuse(conn, broke, time.Now())
	}
}

// ask makes a short call that may fail.
func (c *Client) call(ctx context.Context, addr, method, target string) (*http1.Message, error) {
	deadline, _ := ctx.Deadline()
	conn, err := c.dial(ctx, deadline, func() (string, bool) { return addr, true })
	if err != nil {
		return nil, err
	}
	conn.ReadBy(deadline)
	conn.WriteBy(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.output.Request(method, target, []http1.Field{{Name: "Host", Value: "api.internal"}}, nil)
	if err == nil {
		err = conn.output.Flush()
	}
	var m *http1.Message
	if err == nil {
		m, err = conn.readResponse()
	}
	if stop() && err == nil && !m.Close {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	return m, err
}

// Probe asks an executor for its load.
func (c *Client) Probe(id uint32) {
	c.group.Go(func() error {
		began := time.Now()
		addr := c.address(id)
		ctx, cancel := context.WithTimeout(c.ctx, c.limits.Probe)
		defer cancel()
		m, err := c.call(ctx, addr, "GET", "/load")
		o, report := dispatch.Served, []float32(nil)
		connect := (*ConnectError)(nil)
		switch {
		case isLocalFault(err):
			o = dispatch.Moot // it says nothing of the executor
		case errors.As(err, &connect):
			o = dispatch.ConnectFailed
		case err != nil && ctx.Err() != nil:
			o = dispatch.TimedOut
		case err != nil:
			o = dispatch.Reset
		case m.Status == 200:
			report = c.reportFromJSON(gjson.ParseBytes(m.Body))
		default:
			o = dispatch.Errored
		}
		c.handler.Probed(id, o, time.Since(began), report)
		return nil
	})
}

// CloseIdle closes an executor's idle connections.
func (c *Client) CloseIdle(id uint32) {
	if addr := c.address(id); addr != "" {
		c.pool.closeIdle(addr)
	}
}
