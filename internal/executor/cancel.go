package executor

import (
	"context"

	"gatetack/internal/tcpinfo"
)

// Cancel cancels an attempt, which ends without a result: before the 202 by closing its connection, later by DELETE.
func (c *Client) Cancel(id uint64) {
	attempt := c.attempts.withID(id)
	if attempt == nil || !c.remove(attempt) {
		return
	}
	attempt.mu.Lock()
	accepted := attempt.accepted
	attempt.canceledUnaccepted = !accepted
	attempt.mu.Unlock()
	attempt.cancel()
	if accepted {
		c.cancelAccepted(attempt)
	}
}

// cancelAccepted tells an executor that has accepted a job that its result is no longer waited for. With all slots in
// use it does not: what runs goes on in any case.
func (c *Client) cancelAccepted(attempt *activeAttempt) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	c.group.Go(func() error {
		defer func() { <-c.cancelSlots }()
		c.sendDelete(attempt)
		return nil
	})
}

// sendDelete outlives the attempt, so that it runs under the client's context.
func (c *Client) sendDelete(attempt *activeAttempt) {
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.Probe)
	defer cancel()
	address := c.address(attempt.Executor)
	if address == "" {
		return
	}
	if _, err := c.call(ctx, address, "DELETE", "/jobs/"+attempt.key.traceID); err != nil {
		c.log.Debug("job not canceled at executor", "job", attempt.key.traceID, "executor", attempt.key.executor, "err", err)
	}
}

// drainAnswer takes in what has come on the connection of an attempt that was canceled, before it is closed. A 202 that
// crossed the cancel says that the executor has the job, and a close is no sign to it any more: it is told by DELETE.
func (c *Client) drainAnswer(attempt *activeAttempt, conn *connection) {
	unread := make([]byte, conn.input.Free())
	conn.input.Put(unread[:tcpinfo.ReadReceived(conn.Conn, unread)])
	message, _ := conn.parser.Feed(conn.input) // an answer that is broken concerns nobody: the attempt has ended
	if isAccepted(message, conn.parser) {
		c.recordAccepted(attempt)
	}
}
