package hollow

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"gatetack/drmaa2"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// BatchClients submit arrays through the batch fronts of the store members, and poll any member that answers until the arrays have
// ended.
type BatchClients struct {
	rules    fleet.Rules
	members  int
	network  *Network
	record   *Record
	numbers  atomic.Uint64
	results  *Results
	rejected atomic.Int64 // number of arrays that no member accepted in time
}

// NewBatchClients returns clients of the first dispatchers, which are the store members. Their tasks are counted in results.
func NewBatchClients(r fleet.Rules, members int, n *Network, rec *Record, results *Results) *BatchClients {
	return &BatchClients{rules: r, members: members, network: n, record: rec, results: results}
}

// batchBit marks request ids of tasks in batch arrays, which the tool assigns itself.
const batchBit = 1 << (dispatcherShift - 1)

// Intervals and timeouts of a batch client.
const (
	batchPollInterval  = 250 * time.Millisecond
	batchRetryInterval = 100 * time.Millisecond
	batchCallTimeout   = 10 * time.Second
	batchGrace         = 10 * time.Second // how long after the deadline the states of all tasks are polled; a takeover of a dispatcher's jobs takes some seconds
)

// array is a submitted array.
type array struct {
	first    workload.Task
	requests []uint64 // request ids of the tasks, by their index in the array
	member   int      // number of the store member that is called first
	deadline time.Time
}

// RunArray submits an array and waits until it has ended.
func (b *BatchClients) RunArray(ctx context.Context, tasks []workload.Task, due time.Time) {
	a := &array{first: tasks[0], member: tasks[0].Job % b.members, deadline: due.Add(b.rules.Deadlines[tasks[0].Class])}
	id, err := b.submit(ctx, a, len(tasks))
	if err != nil {
		b.rejected.Add(1)
		b.results.Rejected[workload.Array].Add(int64(len(tasks)))
		return
	}
	b.recordSubmitted(a, tasks)
	b.follow(ctx, a, id)
	b.recordEnds(ctx, a, id)
}

// callMembers makes a call to one member after another until one succeeds or the time by has passed.
func (b *BatchClients) callMembers(ctx context.Context, a *array, by time.Time, call func(context.Context, *drmaa2.Client) error) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, batchCallTimeout)
		c := drmaa2.New(b.network.Batch(a.member), "")
		err := call(callCtx, c)
		c.Close()
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if time.Now().After(by) {
			return fmt.Errorf("no store member answered in time: %w", err)
		}
		a.member = (a.member + 1) % b.members
		sleep(ctx, batchRetryInterval)
	}
}

// submit submits an array. Arrays have no idempotency key, so an array is not submitted again if its answer was lost: that could
// create a second one.
func (b *BatchClients) submit(ctx context.Context, a *array, size int) (id string, err error) {
	t := a.first
	bulk := drmaa2.Bulk{BeginIndex: t.Number, EndIndex: t.Number + size - 1, JobTemplate: drmaa2.Template{JobCategory: fleet.ClassNames[t.Class],
		AccountingID: fleet.TenantName(t.Tenant), RemoteCommand: path(t, "$PARAMETRIC_INDEX"), Payload: "task", DeadlineTime: &a.deadline}}
	c := drmaa2.New(b.network.Batch(a.member), "")
	defer c.Close()
	for {
		info, err := c.RunBulkJobs(ctx, bulk)
		if err == nil {
			return info.JobArrayID, nil
		}
		var refusal *drmaa2.Error
		if !isRejection(err, &refusal) || ctx.Err() != nil || time.Now().After(a.deadline) {
			return "", err
		}
		sleep(ctx, max(batchRetryInterval, refusal.RetryAfter))
	}
}

// recordSubmitted records the requests of an accepted array.
func (b *BatchClients) recordSubmitted(a *array, tasks []workload.Task) {
	for _, t := range tasks {
		request := RequestID(a.member, batchBit|b.numbers.Add(1))
		a.requests = append(a.requests, request)
		b.record.Add(verdict.Event{Kind: verdict.Submitted, Request: request, Task: int32(t.Number), Tenant: int32(t.Tenant), Class: uint8(t.Class),
			Slots: int32(t.Slots), Dispatcher: int16(a.member), Deadline: a.deadline.Sub(b.record.Start())})
	}
}

// follow polls an array until all its tasks have ended.
func (b *BatchClients) follow(ctx context.Context, a *array, id string) {
	by := a.deadline.Add(batchGrace)
	for ctx.Err() == nil && time.Now().Before(by) {
		var info drmaa2.JobArray
		err := b.callMembers(ctx, a, by, func(ctx context.Context, c *drmaa2.Client) (err error) {
			info, err = c.JobArray(ctx, id)
			return err
		})
		if err != nil || info.Ended() {
			return
		}
		sleep(ctx, batchPollInterval)
	}
}

// recordEnds records how each task of an array ended.
func (b *BatchClients) recordEnds(ctx context.Context, a *array, id string) {
	seen := map[int]bool{}
	err := b.callMembers(ctx, a, a.deadline.Add(batchGrace), func(ctx context.Context, c *drmaa2.Client) error {
		return c.Jobs(ctx, fmt.Sprintf("array = %q", id), true, func(info drmaa2.JobInfo) bool {
			if i := memberIndex(a, info); i >= 0 && !seen[i] && info.Ended() {
				seen[i] = true
				b.recordEnd(a, i, info)
			}
			return true
		})
	})
	if ctx.Err() != nil || err != nil && len(seen) == len(a.requests) {
		return
	}
	for i, request := range a.requests {
		if !seen[i] {
			b.record.Add(verdict.Event{Kind: verdict.GivenUp, Request: request})
			b.results.Failed[workload.Array].Add(1)
		}
	}
}

// memberIndex returns the index of a job in its array, or -1 if the job is not in the array.
func memberIndex(a *array, info drmaa2.JobInfo) int {
	if info.JobArrayIndex == nil {
		return -1
	}
	i := *info.JobArrayIndex - a.first.Number
	if i < 0 || i >= len(a.requests) {
		return -1
	}
	return i
}

// recordEnd records how a task of an array ended, at the finish time that the dispatcher reports.
func (b *BatchClients) recordEnd(a *array, i int, info drmaa2.JobInfo) {
	e := verdict.Event{Kind: verdict.Answered, Request: a.requests[i], Answer: verdict.Failed, At: info.FinishTime.Sub(b.record.Start())}
	switch {
	case info.JobState == "DONE":
		e.Answer = verdict.Served
		b.results.Served[workload.Array].Add(1)
	case info.JobState == "FAILED" && info.JobSubState == "refused":
		e.Answer = verdict.Rejected
		b.results.Rejected[workload.Array].Add(1)
	default:
		b.results.Failed[workload.Array].Add(1)
	}
	if info.FinishTime.IsZero() {
		e.At = b.record.Now()
	}
	b.record.Add(e)
}
