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

// Clients submit tasks through the platform's front, each at the moment it is due, and try again what was refused.
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
	idle [][]*Conn // by dispatcher, the one used last at the end
}

// Results count how tasks ended, whatever number of requests each took.
type Results struct{ Tasks, Served, Rejected, Failed [workload.Kinds]atomic.Int64 }

// ResultCounts are results at a moment.
type ResultCounts struct{ Tasks, Served, Refused, Failed [workload.Kinds]int64 }

// Counts are the results so far.
func (r *Results) Counts() (out ResultCounts) {
	for k := range workload.Kinds {
		out.Tasks[k], out.Served[k], out.Refused[k], out.Failed[k] = r.Tasks[k].Load(), r.Served[k].Load(), r.Rejected[k].Load(), r.Failed[k].Load()
	}
	return out
}

// Merge takes in what another process of the run has counted.
func (r *Results) Merge(c ResultCounts) {
	for k := range workload.Kinds {
		r.Tasks[k].Add(c.Tasks[k])
		r.Served[k].Add(c.Served[k])
		r.Rejected[k].Add(c.Refused[k])
		r.Failed[k].Add(c.Failed[k])
	}
}

// Load gives the tasks that are to be submitted, in the order in which they are due.
type Load interface {
	Next() (workload.Task, bool)
}

// Part is every so many'th job of a load: what one of several processes plays.
type Part struct {
	Load        Load
	Part, Parts int
}

// Next gives the next task of the part.
func (p Part) Next() (workload.Task, bool) {
	for {
		t, ok := p.Load.Next()
		if !ok || t.Job%p.Parts == p.Part {
			return t, ok
		}
	}
}

// NewClients makes clients of so many dispatchers, of which some are hollow, by their numbers.
func NewClients(r fleet.Rules, dispatchers int, hollow map[int]*Dispatcher, n *Network, rec *Record, t *Traffic) *Clients {
	return &Clients{hollow: hollow, rules: r, dispatchers: dispatchers, network: n, record: rec, traffic: t, idle: make([][]*Conn, dispatchers)}
}

// partShift places the number of a process of clients in its requests' ids.
const partShift = 48

// SetPart makes the ids of requests those of one of several processes.
func (c *Clients) SetPart(part int) {
	c.numbers.Store(uint64(part) << partShift)
	if c.batch != nil {
		c.batch.numbers.Store(uint64(part) << partShift)
	}
}

// UseBatch has arrays of the load that are marked for it go through the batch fronts of the first dispatchers.
func (c *Clients) UseBatch(members int) {
	c.batch = NewBatchClients(c.rules, members, c.network, c.record, &c.results)
}

// Results are the counts so far.
func (c *Clients) Results() *Results { return &c.results }

// Play submits a load and returns once all of it has ended, or the context has.
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

// Close closes kept connections.
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

// unreachedRetryInterval is how long a client waits before it goes to the next dispatcher.
const unreachedRetryInterval = 100 * time.Millisecond

// minRetryInterval is how long a refused client that was told nothing stays away.
const minRetryInterval = 50 * time.Millisecond

// runTask submits a task, and again after refusals, until it has an end or its time is over.
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

// submit makes one request, and says how it ended and how long its client is to stay away.
func (c *Clients) submit(ctx context.Context, t workload.Task, dispatcher int, deadline time.Time) (verdict.Answer, time.Duration) {
	request := RequestID(dispatcher, c.numbers.Add(1))
	if d := c.hollow[dispatcher]; d != nil {
		return c.submitHollow(ctx, d, t, dispatcher, request, deadline)
	}
	id := verdict.ID(request)
	conn, kept, err := c.connect(dispatcher)
	if err != nil {
		return verdict.Unreached, 0
	}
	left := time.Until(deadline)
	if left <= 0 {
		c.keep(dispatcher, conn)
		return verdict.Rejected, 0
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e := c.submittedEvent(t, dispatcher, request, deadline)
	fields := []http1.Field{{Name: "X-Trace-Id", Value: id}, {Name: "X-Customer", Value: fleet.TenantName(t.Tenant)},
		{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(left.Milliseconds(), 10)}, {Name: "Idempotency-Key", Value: "key-" + strconv.Itoa(t.Number)},
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
		return verdict.Unreached, 0 // the run ends; what was asked stays open
	case err != nil && isTimeout(err):
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.GivenUp, Request: request})
		return verdict.ConnectionBroken, 0
	case err != nil && kept && !conn.parser.Started() && time.Since(sent) < closeRaceWindow:
		// Between requests a dispatcher may close a connection, which crosses with a request that it has not read.
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: verdict.Unreached, Request: request})
		return verdict.Unreached, 0
	case err != nil:
		_ = conn.Close()
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: verdict.ConnectionBroken, Request: request, Kept: kept})
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

// submittedEvent is the event of a request that is written now.
func (c *Clients) submittedEvent(t workload.Task, dispatcher int, request uint64, deadline time.Time) verdict.Event {
	return verdict.Event{At: c.record.Now(), Kind: verdict.Submitted, Request: request, Task: int32(t.Number), Tenant: int32(t.Tenant),
		Class: uint8(t.Class), Slots: int32(t.Slots), Dispatcher: int16(dispatcher), Deadline: deadline.Sub(c.record.Start())}
}

// submitHollow is submit at a hollow dispatcher.
func (c *Clients) submitHollow(ctx context.Context, d *Dispatcher, t workload.Task, number int, request uint64, deadline time.Time) (verdict.Answer, time.Duration) {
	left := time.Until(deadline)
	if left <= 0 {
		return verdict.Rejected, 0
	}
	c.record.Add(c.submittedEvent(t, number, request, deadline))
	answer, retry, answered := d.submit(ctx, t, verdict.ID(request), left, deadline.Add(c.rules.AnswerSlack+answerGrace))
	switch {
	case answered:
		c.record.Add(verdict.Event{Kind: verdict.Answered, Answer: answer, Request: request})
	case ctx.Err() == nil:
		c.record.Add(verdict.Event{Kind: verdict.GivenUp, Request: request})
	}
	return answer, retry
}

// answerGrace is how long past the slack a client reads on: an answer that late is told from none.
const answerGrace = 500 * time.Millisecond

// closeRaceWindow is how soon after a request its kept connection ends where the dispatcher had closed it before.
const closeRaceWindow = 20 * time.Millisecond

// parseAnswer tells what an answer means.
func parseAnswer(m *http1.Message, id string) (verdict.Answer, time.Duration) {
	switch m.Status {
	case 200:
		if string(m.Body) != resultOf(id) {
			return verdict.ConnectionBroken, 0 // what no executor made for it
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

// connect gives a kept connection to a dispatcher, or a new one.
func (c *Clients) connect(dispatcher int) (conn *Conn, kept bool, err error) {
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
