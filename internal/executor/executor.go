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
	lim   limits.Limits
	names node.Names
	sink  Sink
	log   *slog.Logger
	g     *errgroup.Group
	ctx   context.Context
	pool  *pool
	owed  *owed
	tally *slowpeer.Tally
	slots chan struct{}                              // connections that may be used to give up attempts at a time
	pause func(context.Context, time.Duration) error // between dials after a local fault

	mu      sync.Mutex
	workers map[uint32]*worker
	live    map[uint64]*try
	byName  map[liveKey]*try
	returns returns
}

type liveKey struct{ trace, from string }

// minToldTime is the least time that an executor is told: in whole milliseconds, less would be none.
const minToldTime = time.Millisecond

// statusAccepted is the status by which an executor takes a job.
const statusAccepted = 202

type worker struct {
	name, addr string
	stopAt     time.Time // nothing new is written after it; zero while the worker takes work
	born       float64   // when its life began, as the list has it
	heard      time.Time // its last answer, callback or new connection
}

// try is an attempt that is neither ended nor given up.
type try struct {
	node.Attempt
	key     liveKey
	mu      sync.Mutex
	written bool      // its last byte is being written or was
	taken   bool      // 202 came
	wrote   time.Time // its last byte, zero before
	dropped bool      // it was given up before a 202 was seen
	late    bool      // the box owed a sign of it for too long
	signed  bool      // it gave one, or the attempt ended without
	over    bool
	cancel  context.CancelFunc // of its connection, until the 202
	renewed bool               // its request was made anew since it told too much time; its sender's alone
}

// New makes a client whose goroutines belong to g and end with ctx.
func New(ctx context.Context, g *errgroup.Group, lim limits.Limits, names node.Names, sink Sink, slow *slowpeer.Tally,
	log *slog.Logger) *Client {
	return &Client{lim: lim, names: names, sink: sink, log: log, g: g, ctx: ctx, pool: newPool(lim, slow), tally: slow,
		owed:  &owed{acks: slowpeer.NewAcks(lim.Pace.Acks)},
		slots: make(chan struct{}, lim.GiveUps), workers: map[uint32]*worker{}, live: map[uint64]*try{}, byName: map[liveKey]*try{},
		returns: returns{}, pause: pause}
}

// Told keeps an executor's address and, from its drain or end on, when sends to it stop.
func (c *Client) Told(id uint32, e node.Entry, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		w = &worker{name: e.Name}
		c.workers[id] = w
	}
	listed := e.Condition() != dispatch.Gone
	if e.Address != "" && e.Address != w.addr || listed && e.SinceMS != w.born {
		c.pool.drop(w.addr) // they lead to another machine, or to a process that has ended
	}
	if e.Address != "" {
		w.addr = e.Address
	}
	if listed {
		w.born = e.SinceMS
	}
	switch {
	case e.Condition() == dispatch.Ready:
		w.stopAt = time.Time{}
	case w.stopAt.IsZero():
		w.stopAt = at.Add(c.lim.DrainSpare)
	}
	if e.Condition() == dispatch.Gone {
		c.pool.drop(w.addr)
	}
}

// address of a worker.
func (c *Client) address(id uint32) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		return w.addr
	}
	return ""
}

// may asks, with what stands at this moment, whether an attempt may still go, and where to. It is the only place that asks,
// before each connection and again after whatever takes a while. A try's lock is held, or nobody else knows of the try.
func (c *Client) may(t *try) (string, precheck.Reason) {
	why := precheck.May
	if t.Job.Still != nil {
		why = t.Job.Still() // it may take a lock: what follows is looked at after it
	}
	a := precheck.Ask{Now: time.Now(), Over: t.over || t.Answered != nil && t.Answered.Load(), Job: why, Deadline: t.Deadline, Was: t.Born, Rules: t.Rules}
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := ""
	if w := c.workers[t.Worker]; w != nil {
		addr, a.Listed, a.StopAt, a.Began = w.addr, true, w.stopAt, w.born
	}
	if why = a.May(); why != precheck.May {
		c.log.Debug("an attempt does not go", "job", t.Job.Trace, "to", t.key.from, "why", why)
	}
	return addr, why
}

// still is may for a try that others know of.
func (c *Client) still(t *try) (addr string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, why := c.may(t)
	return addr, why == precheck.May
}

// commit is may for the last time: if the attempt goes, it counts as written from here on, before its last byte is.
func (c *Client) commit(t *try) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, why := c.may(t); why != precheck.May {
		return false
	}
	t.written, t.wrote = true, time.Now()
	return true
}

// heard takes in a sign of life of a worker.
func (c *Client) heard(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		w.heard = time.Now()
	}
}

// unheard says that a worker gave no sign of life for so long that its machine may be cut off.
func (c *Client) unheard(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	return w != nil && time.Since(w.heard) > c.lim.Pace.Unheard
}

// Send starts an attempt.
func (c *Client) Send(a node.Attempt) {
	c.mu.Lock()
	w := c.workers[a.Worker]
	if w == nil {
		c.mu.Unlock()
		c.g.Go(func() error { c.sink.Result(node.Result{Attempt: a.ID, Outcome: dispatch.Moot}); return nil })
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	t := &try{Attempt: a, key: liveKey{a.Job.Trace, w.name}, cancel: cancel}
	// Registered before a byte is written: the first callback can come before the 202.
	c.live[a.ID], c.byName[t.key] = t, t
	name := w.name
	c.mu.Unlock()
	c.g.Go(func() error {
		defer cancel()
		if a.Job.Before != nil {
			if err := a.Job.Before(name); err != nil {
				c.log.Warn("a send was not recorded and is not made", "job", a.Job.Trace, "err", err)
				c.end(t, dispatch.Moot, nil, nil)
				return nil
			}
		}
		o, report := c.post(ctx, t)
		if o != 0 {
			c.end(t, o, report, nil)
		}
		return nil
	})
}

// end takes an attempt off and tells its outcome, once.
func (c *Client) end(t *try, o dispatch.Outcome, report []float32, body []byte) {
	if c.takeOff(t) {
		c.sink.Result(node.Result{Attempt: t.ID, Outcome: o, Report: report, Body: body})
	}
}

func (c *Client) takeOff(t *try) bool {
	t.mu.Lock()
	was := t.over
	t.over = true
	t.mu.Unlock()
	if was {
		return false
	}
	c.owed.ended(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.live, t.ID)
	if c.byName[t.key] == t {
		delete(c.byName, t.key)
	}
	return true
}

// post writes the job and reads what the executor says at once. An outcome of 0 means that it has taken the
// job: what becomes of it comes by callback.
func (c *Client) post(ctx context.Context, t *try) (dispatch.Outcome, []float32) {
	for n := 0; ; n++ {
		conn, failed := c.connect(ctx, t)
		if conn == nil {
			return failed, nil
		}
		o, report := c.postOn(ctx, t, conn)
		// A kept connection can have ended on the other side without a sign, until the next request comes. Nothing
		// was sent then - the last byte was not written - and the attempt takes another connection. One that was
		// made for it and broke says something of the executor: the module hears of that.
		if o != dispatch.ConnectFailed || !conn.kept && !conn.stale || n >= c.lim.Reconnects || ctx.Err() != nil {
			return o, report
		}
	}
}

// postOn is post over one connection.
func (c *Client) postOn(ctx context.Context, t *try, conn *conn) (dispatch.Outcome, []float32) {
	// From here on, giving the attempt up ends what is under way on the connection, which is closed then.
	stop := context.AfterFunc(ctx, conn.Abort)
	keep := false
	defer func() {
		if stop() && keep {
			c.pool.put(conn)
		} else {
			c.pool.close(conn)
		}
	}()
	// Much may have been told while the connection was being made: a drain is counted from the first byte.
	if _, ok := c.still(t); !ok {
		keep = true
		return dispatch.Moot, nil
	}
	// The executor is told what will be left once the request's last byte can go.
	j, told := t.Job, c.lim.TellableTime(time.Until(t.Deadline)-conn.settle(c.lim))
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
	err := conn.out.Request(j.Method, j.Target, fields, j.Body)
	if err == nil {
		err = conn.out.FlushBut()
	}
	// What breaks before the last byte is written never ran there, and what breaks after it may have: so the last
	// byte waits until a connection that the other side has forgotten, or resets, has had time to show it.
	if slow := (*slowpeer.Slow)(nil); errors.As(err, &slow) {
		c.slow(slowpeer.BoxReads, t, conn, slow)
		return dispatch.ConnectFailed, nil
	}
	if err != nil || !conn.stands(c.lim) {
		c.saw(ctx, conn, true)
		return dispatch.ConnectFailed, nil
	}
	// At a box that has not been heard of for a while, which may be cut off, acknowledgements are waited for.
	if left, ok := conn.reaches(ctx, c.lim, c.unheard(t.Worker)); !ok {
		if ctx.Err() == nil {
			c.slow(slowpeer.BoxUnacked, t, conn, &slowpeer.Slow{Direction: "out", Left: left})
		}
		return dispatch.ConnectFailed, nil
	}
	// The request was made before these waits. Where it tells more than its client has left now, it is made anew, once, on another
	// connection. The attempt ends AnswerEarly before its client leaves.
	if told > time.Until(t.Deadline)+c.lim.AnswerEarly {
		if t.renewed {
			return dispatch.Moot, nil
		}
		t.renewed, conn.stale = true, true
		return dispatch.ConnectFailed, nil
	}
	// All that may take a while lies behind.
	if !c.commit(t) {
		return dispatch.Moot, nil
	}
	c.owed.sent(t) // before the byte that a callback can follow
	if err = conn.out.Flush(); err != nil {
		return dispatch.ConnectFailed, nil
	}
	failpoint.At(failpoint.Byte)
	wrote := time.Now()
	m, err := c.answer(ctx, t, conn)
	// A connection that was forgotten breaks as soon as the request gets there; one that breaks later was in use.
	c.saw(ctx, conn, err != nil && !conn.parse.Begun() && time.Since(wrote) < conn.settle(c.lim))
	switch {
	case isTimeout(err) && conn.parse.Status() == statusAccepted:
		return 0, nil // it has taken the job, however slowly it says the rest
	case err != nil && conn.parse.Status() == 500:
		return dispatch.Errored, nil
	case err != nil:
		return dispatch.Reset, nil // its last byte was written: it may have run
	}
	keep = !m.Close
	switch {
	case m.Status == statusAccepted:
		return 0, nil
	case (m.Status == 503 || m.Status == 504) && m.Get("X-Never-Ran") == "1":
		return dispatch.Full, c.header(m)
	}
	if m.Status != 500 {
		c.log.Warn("an executor's answer is none of the protocol's", "status", m.Status, "to", conn.addr, "job", j.Trace)
	}
	return dispatch.Errored, c.header(m)
}

// saw lets the pool learn from a kept connection, unless its attempt was given up.
func (c *Client) saw(ctx context.Context, conn *conn, broke bool) {
	if conn.kept && ctx.Err() == nil {
		c.pool.saw(conn, broke, time.Now())
	}
}

// ask makes a short call that may fail.
func (c *Client) ask(ctx context.Context, addr, method, target string) (*http1.Message, error) {
	deadline, _ := ctx.Deadline()
	conn, err := c.dial(ctx, deadline, func() (string, bool) { return addr, true })
	if err != nil {
		return nil, err
	}
	conn.ReadBy(deadline)
	conn.WriteBy(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.out.Request(method, target, []http1.Field{{Name: "Host", Value: "api.internal"}}, nil)
	if err == nil {
		err = conn.out.Flush()
	}
	var m *http1.Message
	if err == nil {
		m, err = conn.read()
	}
	if stop() && err == nil && !m.Close {
		c.pool.put(conn)
	} else {
		c.pool.close(conn)
	}
	return m, err
}

// Probe asks an executor for its load.
func (c *Client) Probe(id uint32) {
	c.g.Go(func() error {
		began := time.Now()
		addr := c.address(id)
		ctx, cancel := context.WithTimeout(c.ctx, c.lim.Probe)
		defer cancel()
		m, err := c.ask(ctx, addr, "GET", "/load")
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
			report = c.object(gjson.ParseBytes(m.Body))
		default:
			o = dispatch.Errored
		}
		c.sink.Probed(id, o, time.Since(began), report)
		return nil
	})
}

// CloseIdle closes an executor's idle connections.
func (c *Client) CloseIdle(id uint32) {
	if addr := c.address(id); addr != "" {
		c.pool.drop(addr)
	}
}
