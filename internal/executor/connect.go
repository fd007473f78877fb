package executor

import (
	"context"
	"errors"
	"time"

	"gatetack/internal/dispatch"
)

// After a local fault the client dials again, after a pause that doubles each time, so that a lasting fault costs few
// system calls. After maxRedials (310 ms) the attempt ends as canceled before send, and the dispatch module chooses an
// executor again.
const (
	firstRedialPause = 10 * time.Millisecond
	maxRedials       = 5
)

// errNotAllowed reports that the pre-send check does not allow the attempt any more.
var errNotAllowed = errors.New("executor: the pre-send check does not allow the attempt any more")

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect returns a connection for an attempt, or the outcome with which the attempt ends. After a local fault the
// attempt counts as never sent, and nothing is reported that the dispatch module would count as a fault of the
// executor.
func (c *Client) connect(ctx context.Context, attempt *activeAttempt) (*connection, dispatch.Outcome) {
	conn, err := c.dial(ctx, attempt.Deadline, func() (string, bool) { return c.allowed(attempt) })
	switch {
	case err == nil:
		if !conn.reused {
			c.endpoints.recordContact(attempt.Executor)
		}
		return conn, 0
	case errors.Is(err, errNotAllowed):
		return nil, dispatch.CanceledBeforeSend
	case isLocalFault(err):
		c.log.Warn("executor connect failed locally",
			"executor", attempt.key.executor, "job", attempt.key.traceID, "err", err)
		return nil, dispatch.CanceledBeforeSend
	case ctx.Err() == nil:
		c.log.Debug("executor connect failed", "executor", attempt.key.executor, "job", attempt.key.traceID, "err", err)
	}
	return nil, dispatch.ConnectFailed
}

// dial gets a connection from the pool, and retries after local faults as long as the time allows. Before each try it
// calls target, which returns the address and whether a connection is still wanted.
func (c *Client) dial(ctx context.Context, by time.Time, target func() (string, bool)) (*connection, error) {
	for n := 0; ; n++ {
		addr, ok := target()
		if !ok {
			return nil, errNotAllowed
		}
		conn, err := c.pool.get(ctx, addr)
		if err == nil || !isLocalFault(err) {
			return conn, err
		}
		if lacksDescriptors(err) {
			c.pool.evictIdle()
		}
		wait := firstRedialPause << n
		if n == maxRedials || time.Until(by) <= wait || c.sleep(ctx, wait) != nil {
			return nil, err
		}
	}
}
