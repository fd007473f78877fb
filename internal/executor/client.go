// Package executor sends attempts to executors: it pools connections, writes the jobs' requests, cancels attempts,
// checks health, and handles the callbacks that report a job's state. It decides nothing: the dispatch module chooses
// the executor of an attempt and whether there is another attempt. Its goroutines belong to the group that a Client is
// created with; each table of the package has a lock of its own.
package executor

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/dispatch"
	"gatetack/internal/limits"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// Sink receives the results of attempts and of health checks.
type Sink interface {
	// Result takes an attempt's outcome, or a notification of its progress.
	Result(node.Result)
	// HealthChecked takes the outcome of a health check and the load report in its answer.
	HealthChecked(executor uint32, outcome dispatch.Outcome, elapsed time.Duration, report []float32)
}

// Client connects to all executors. Its methods are safe for concurrent use, and none of them blocks.
type Client struct {
	limits limits.Limits
	names  node.Names
	sink   Sink
	log    *slog.Logger

	ctx   context.Context // ends everything the client does
	group *errgroup.Group // owns and waits for its goroutines

	pool        *pool
	endpoints   endpointTable
	attempts    attemptTable
	acks        *ackTracker
	slowPeers   *slowpeer.Counters
	cancelSlots chan struct{} // limits the DELETE calls in progress
	// sleep waits before a redial after a local fault. Tests replace it.
	sleep func(context.Context, time.Duration) error
}

// New returns a client whose goroutines belong to the group and end with the context. Results go to the sink, and slow
// executors are counted in slow.
func New(
	ctx context.Context,
	group *errgroup.Group,
	lim limits.Limits,
	names node.Names,
	sink Sink,
	slow *slowpeer.Counters,
	log *slog.Logger,
) *Client {
	return &Client{
		limits:      lim,
		names:       names,
		sink:        sink,
		log:         log,
		ctx:         ctx,
		group:       group,
		pool:        newPool(lim, slow),
		endpoints:   endpointTable{byID: map[uint32]*endpointState{}},
		attempts:    newAttemptTable(),
		acks:        &ackTracker{estimates: slowpeer.NewAckTracker(lim.SlowPeers.Acks)},
		slowPeers:   slow,
		cancelSlots: make(chan struct{}, lim.CancelConns),
		sleep:       sleep,
	}
}

// SetProcesses sets how many processes of this node share the limit of connections to executors, this one included.
func (c *Client) SetProcesses(count int) { c.pool.setBudget(c.limits.ExecutorConns / max(count, 1)) }
