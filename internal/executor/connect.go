package executor

import (
	"context"
	"errors"
	"time"

	"gatetack/internal/dispatch"
)

// After a local fault a dial is made again after a pause that doubles, so that a fault which lasts costs few system
// calls. Once the redials are used up (310 ms), the attempt ends as never sent, and the decision module chooses anew.
const (
	firstRedialPause = 10 * time.Millisecond
	maxRedials       = 5
)

// errNotAllowed says that an attempt may not go any more.
var errNotAllowed = errors.New("executor: the attempt may not go any more")

// pause waits for a while, or until the context ends.
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

// connect gives an attempt a connection, or the outcome that it ends with. A fault of this machine is no sign of the
// executor: the attempt never ran, and the decision module hears of nothing that it would hold against the executor.
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
		c.log.Warn("executor connect failed locally", "executor", attempt.key.executor, "job", attempt.key.traceID, "err", err)
		return nil, dispatch.CanceledBeforeSend
	case ctx.Err() == nil:
		c.log.Debug("executor connect failed", "executor", attempt.key.executor, "job", attempt.key.traceID, "err", err)
	}
	return nil, dispatch.ConnectFailed
}

// dial takes a connection from the pool, again after local faults, while there is time for it. It asks before each dial
// whether and where to.
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
