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

// BatchClients submit arrays through the batch fronts of the store's members, and follow them to their ends at whichever member
// answers.
type BatchClients struct {
	rules    fleet.Rules
	members  int
	network  *Network
	record   *Record
	numbers  atomic.Uint64
	results  *Results
	rejected atomic.Int64 // arrays that no member took in time
}

// NewBatchClients makes clients of the first dispatchers; their tasks are counted with the others'.
func NewBatchClients(r fleet.Rules, members int, n *Network, rec *Record, results *Results) *BatchClients {
	return &BatchClients{rules: r, members: members, network: n, record: rec, results: results}
}

// batchBit tells the requests of batch fronts, whose ids are the tool's own, from others.
const batchBit = 1 << (dispatcherShift - 1)

// Times of a batch client.
const (
	batchPollInterval  = 250 * time.Millisecond
	batchRetryInterval = 100 * time.Millisecond
	batchCallTimeout   = 10 * time.Second
	batchGrace         = 10 * time.Second // past the deadline, what became of each member is known; a dispatcher's heir needs some seconds
)

// array is one that a client follows.
type array struct {
	first    workload.Task
	requests []uint64 // of the members, by their places
	member   int      // of the store, that is asked first
	deadline time.Time
}

// RunArray submits an array and follows it to its end.
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

// callMembers makes a call callMembers each member in turn, until one does it or the time is over.
func (b *BatchClients) callMembers(ctx context.Context, a *array, by time.Time, call func(context.Context, *drmaa2.Client) error) error {
	for {
		calling, cancel := context.WithTimeout(ctx, batchCallTimeout)
		c := drmaa2.New(b.network.Batch(a.member), "")
		err := call(calling, c)
		c.Close()
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if time.Now().After(by) {
			return fmt.Errorf("no member did it in time: %w", err)
		}
		a.member = (a.member + 1) % b.members
		sleep(ctx, batchRetryInterval)
	}
}

// submit hands an array in. One idempotency key would make one job of two submissions; arrays have none, so that one whose answer was
// lost with its member is not submitted again.
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

// recordSubmitted notes the members of an array that was taken.
func (b *BatchClients) recordSubmitted(a *array, tasks []workload.Task) {
	for _, t := range tasks {
		request := RequestID(a.member, batchBit|b.numbers.Add(1))
		a.requests = append(a.requests, request)
		b.record.Add(verdict.Event{Kind: verdict.Submitted, Request: request, Task: int32(t.Number), Tenant: int32(t.Tenant), Class: uint8(t.Class),
			Slots: int32(t.Slots), Dispatcher: int16(a.member), Deadline: a.deadline.Sub(b.record.Start())})
	}
}

// follow waits until all members of an array have ended.
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

// recordEnds notes how each member of an array ended.
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

// memberIndex of a member in its array, -1 for one that is none.
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

// recordEnd notes how a member recordEnd, at the time that the dispatcher tells.
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
