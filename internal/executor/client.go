// Package executor carries attempts to executors: it keeps the connections to them, writes each job's request, cancels
// attempts, checks health, and takes the callbacks that tell what became of a job. It decides nothing: which executor
// gets an attempt, and whether there is another one, is the dispatch module's to say. Its goroutines belong to the
// group that a Client is made with; each table of the package has a lock of its own.
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

// Sink takes what came of attempts and of health checks.
type Sink interface {
	// Result takes an attempt's outcome, or a note on its way.
	Result(node.Result)
	// HealthChecked takes the outcome of a health check, with the load report that it brought.
	HealthChecked(executor uint32, outcome dispatch.Outcome, elapsed time.Duration, report []float32)
}

// Client speaks to all executors. Its methods may be called from any goroutine, and none of them blocks.
type Client struct {
	limits limits.Limits
	names  node.Names
	sink   Sink
	log    *slog.Logger

	ctx   context.Context // ends all that the client does
	group *errgroup.Group // owns and waits for its goroutines

	pool        *pool
	endpoints   endpointTable
	attempts    attemptTable
	acks        *ackTracker
	slowPeers   *slowpeer.Counters
	cancelSlots chan struct{} // bounds the DELETE calls under way
	// sleep waits between two dials after a local fault. Tests replace it.
	sleep func(context.Context, time.Duration) error
}

// New makes a client whose goroutines belong to a group and end with a context. Results go to a sink, and the executors
// that are found slow are counted.
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
		acks:        &ackTracker{estimates: slowpeer.NewAckTracker(lim.Pace.Acks)},
		slowPeers:   slow,
		cancelSlots: make(chan struct{}, lim.GiveUps),
		sleep:       sleep,
	}
}
