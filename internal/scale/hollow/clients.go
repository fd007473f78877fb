package hollow

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// Clients submit tasks through the platform front, each at the time it is due, and retry rejected requests.
type Clients struct {
	rules       fleet.Rules
	dispatchers int
	network     *Network
	record      *Record
	traffic     *Traffic
	numbers     atomic.Uint64
	results     Results
	hollow      map[int]*Dispatcher
	batch       *BatchClients

	mu   sync.Mutex
	idle [][]*Conn // idle connections by dispatcher, the most recently used one last
}

// Results count tasks by how they ended. A task counts once, even if it took several requests.
type Results struct{ Tasks, Served, Rejected, Failed [workload.Kinds]atomic.Int64 }

// ResultCounts is a snapshot of Results.
type ResultCounts struct{ Tasks, Served, Refused, Failed [workload.Kinds]int64 }

// Counts returns the results so far.
func (r *Results) Counts() (out ResultCounts) {
	for k := range workload.Kinds {
		out.Tasks[k], out.Served[k], out.Refused[k], out.Failed[k] = r.Tasks[k].Load(), r.Served[k].Load(), r.Rejected[k].Load(), r.Failed[k].Load()
	}
	return out
}

// Merge adds the counts of another process of the run.
func (r *Results) Merge(c ResultCounts) {
	for k := range workload.Kinds {
		r.Tasks[k].Add(c.Tasks[k])
		r.Served[k].Add(c.Served[k])
		r.Rejected[k].Add(c.Refused[k])
		r.Failed[k].Add(c.Failed[k])
	}
}

// Load returns the tasks to be submitted, in the order in which they are due.
type Load interface {
	Next() (workload.Task, bool)
}

// Part is the share of a load that one of several processes submits: the jobs whose number modulo Parts is Part.
type Part struct {
	Load        Load
	Part, Parts int
}

// Next returns the next task of the part.
func (p Part) Next() (workload.Task, bool) {
	for {
		t, ok := p.Load.Next()
		if !ok || t.Job%p.Parts == p.Part {
			return t, ok
		}
	}
}

// NewClients returns clients of a number of dispatchers. The map has the hollow ones by their numbers.
func NewClients(r fleet.Rules, dispatchers int, hollow map[int]*Dispatcher, n *Network, rec *Record, t *Traffic) *Clients {
	return &Clients{hollow: hollow, rules: r, dispatchers: dispatchers, network: n, record: rec, traffic: t, idle: make([][]*Conn, dispatchers)}
}

// partShift is the position of the number of a client process in its request ids.
const partShift = 48

// SetPart sets the number of this client process in the ids of its requests.
func (c *Clients) SetPart(part int) {
	c.numbers.Store(uint64(part) << partShift)
	if c.batch != nil {
		c.batch.numbers.Store(uint64(part) << partShift)
	}
}

// UseBatch makes the load's batch arrays go through the batch fronts of the store members, which are the first dispatchers.
func (c *Clients) UseBatch(members int) {
	c.batch = NewBatchClients(c.rules, members, c.network, c.record, &c.results)
}

// Results returns the live counts.
func (c *Clients) Results() *Results { return &c.results }

// Play submits a load. It returns once all tasks have ended or the context ends.
func (c *Clients) Play(ctx context.Context, load Load, start time.Time) {
	var g errgroup.Group
	for {
		t, ok := load.Next()
		if !ok {
			break
		}
		tasks := []workload.Task{t}
		for t.Batch && len(tasks) < t.Size {
			t, _ = load.Next()
			tasks = append(tasks, t)
		}
		due := start.Add(t.Due)
		sleep(ctx, time.Until(due))
		if ctx.Err() != nil {
			break
		}
		for _, t := range tasks {
			c.record.Due(t, due)
			c.results.Tasks[t.Kind].Add(1)
		}
		g.Go(func() error {
			if t.Batch {
				c.batch.RunArray(ctx, tasks, due)
			} else {
				c.runTask(ctx, t, due)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
		c.idle[i] = nil
	}
}

// unreachedRetryInterval is how long a client waits after a failed connection before it tries the next dispatcher.
const unreachedRetryInterval = 100 * time.Millisecond

// minRetryInterval is the minimum time before a rejected request is retried.
const minRetryInterval = 50 * time.Millisecond

// runTask submits a task and retries it after rejections until it ends or its deadline comes.
func (c *Clients) runTask(ctx context.Context, t workload.Task, due time.Time) {
	deadline := due.Add(c.rules.Deadlines[t.Class])
	dispatcher := t.Dispatcher
	for ctx.Err() == nil {
		outcome, retry := c.submit(ctx, t, dispatcher, deadline)
		switch outcome {
		case verdict.Served:
			c.results.Served[t.Kind].Add(1)
			return
		case verdict.Failed, verdict.ConnectionBroken:
			c.results.Failed[t.Kind].Add(1)
			return
		case verdict.Unreached:
			dispatcher = (dispatcher + 1) % c.dispatchers
			retry = unreachedRetryInterval
		case verdict.Rejected:
			retry = max(retry, minRetryInterval)
		}
		if time.Now().Add(retry).After(deadline) {
			break
		}
		sleep(ctx, retry)
	}
	c.record.Add(verdict.Event{Kind: verdict.Withdrawn, Task: int32(t.Number)})
	c.results.Rejected[t.Kind].Add(1)
}

// submit makes one request. It returns how the request ended and the time until a retry.
func (c *Clients) submit(ctx context.Context, t workload.Task, dispatcher int, deadline time.Time) (verdict.Answer, time.Duration) {
	request := RequestID(dispatcher, c.numbers.Add(1))
	if d := c.hollow[dispatcher]; d != nil {
		return c.submitHollow(ctx, d, t, dispatcher, request, deadline)
	}
	id := verdict.ID(request)
	conn, reused, err := c.connect(dispatcher)
	if err != nil {
		return verdict.Unreached, 0
	}
	timeLeft := time.Until(deadline)
	if timeLeft <= 0 {
		c.keep(dispatcher, conn)
		return verdict.Rejected, 0
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e := c.submittedEvent(t, dispatcher, request, deadline)
	fields := []http1.Field{{Name: "X-Trace-Id", Value: id}, {Name: "X-Customer", Value: fleet.TenantName(t.Tenant)},
		{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(timeLeft.Milliseconds(), 10)}, {Name: "Idempotency-Key", Value: "key-" + strconv.Itoa(t.Number)},
		{Name: "X-Props", Value: "slots=" + strconv.Itoa(t.Slots)}}
	if err := conn.Send("POST", target(t), []byte("task"), fields); err != nil {
		_ = conn.Close()
		return verdict.Unreached, 0
	}
	c.record.Add(e)
	sent := time.Now()
	m, err := conn.Receive(deadline.Add(c.rules.AnswerSlack + answerGrace))
	switch {
	case ctx.Err() != nil:
		return verdict.Unreached, 0 // the run has ended, and the request stays open
	case err != nil && isTimeout(err):
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.GivenUp, Request: request})
		return verdict.ConnectionBroken, 0
	case err != nil && reused && !conn.parser.Started() && time.Since(sent) < closeRaceWindow:
		// A dispatcher may close an idle connection at the moment a request is sent on it. It has not read that request.
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: verdict.Unreached, Request: request})
		return verdict.Unreached, 0
	case err != nil:
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: verdict.ConnectionBroken, Request: request, Kept: reused})
		return verdict.ConnectionBroken, 0
	}
	answer, retry := parseAnswer(m, id)
	c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: answer, Request: request})
	if m.Close {
		_ = conn.Close()
	} else {
		c.keep(dispatcher, conn)
	}
	return answer, retry
}

// submittedEvent returns the event of a request that is submitted now.
func (c *Clients) submittedEvent(t workload.Task, dispatcher int, request uint64, deadline time.Time) verdict.Event {
	return verdict.Event{At: c.record.Now(), Kind: verdict.Submitted, Request: request, Task: int32(t.Number), Tenant: int32(t.Tenant),
		Class: uint8(t.Class), Slots: int32(t.Slots), Dispatcher: int16(dispatcher), Deadline: deadline.Sub(c.record.Start())}
}

// submitHollow makes one request to a hollow dispatcher, as submit does to a real one.
func (c *Clients) submitHollow(ctx context.Context, d *Dispatcher, t workload.Task, number int, request uint64, deadline time.Time) (verdict.Answer, time.Duration) {
	timeLeft := time.Until(deadline)
	if timeLeft <= 0 {
		return verdict.Rejected, 0
	}
	c.record.Add(c.submittedEvent(t, number, request, deadline))
	answer, retry, answered := d.submit(ctx, t, verdict.ID(request), timeLeft, deadline.Add(c.rules.AnswerSlack+answerGrace))
	switch {
	case answered:
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: answer, Request: request})
	case ctx.Err() == nil:
		c.record.Add(verdict.Event{Kind: verdict.GivenUp, Request: request})
	}
	return answer, retry
}

// answerGrace is how long a client continues to read after the deadline and the slack, to distinguish a late answer from none.
const answerGrace = 500 * time.Millisecond

// closeRaceWindow is how soon after a request a reused connection must end to count as closed by the dispatcher before the request.
const closeRaceWindow = 20 * time.Millisecond

// parseAnswer returns how an answer ends its request, and its Retry-After.
func parseAnswer(m *http1.Message, id string) (verdict.Answer, time.Duration) {
	switch m.Status {
	case 200:
		if string(m.Body) != resultOf(id) {
			return verdict.ConnectionBroken, 0 // not the result that an executor returns for this request
		}
		return verdict.Served, 0
	case 429, 503:
		seconds, err := strconv.ParseFloat(m.Get("Retry-After"), 64)
		if err != nil {
			return verdict.Rejected, 0
		}
		return verdict.Rejected, time.Duration(seconds * float64(time.Second))
	}
	return verdict.Failed, 0
}

// connect returns an idle connection to a dispatcher, or a new one.
func (c *Clients) connect(dispatcher int) (conn *Conn, reused bool, err error) {
	c.mu.Lock()
	if list := c.idle[dispatcher]; len(list) > 0 {
		conn = list[len(list)-1]
		c.idle[dispatcher] = list[:len(list)-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	conn, err = Dial(c.network.Dispatcher(dispatcher), c.traffic, RoleClient)
	return conn, false, err
}

func (c *Clients) keep(dispatcher int, conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[dispatcher] = append(c.idle[dispatcher], conn)
}
