package executor

import (
	"context"

	"gatetack/internal/tcpinfo"
)

// Cancel ends an attempt without a result. It closes the attempt's connection before the 202 is read, and sends a
// DELETE afterwards.
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

// cancelAccepted notifies an executor that has accepted a job that the result is no longer needed. It does nothing if
// all slots are in use: the job then runs to its end, which is harmless.
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

// sendDelete sends the DELETE for a job. It runs under the client's context, since the attempt has already ended.
func (c *Client) sendDelete(attempt *activeAttempt) {
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.ProbeTimeout)
	defer cancel()
	address := c.address(attempt.Executor)
	if address == "" {
		return
	}
	if _, err := c.call(ctx, address, "DELETE", "/jobs/"+attempt.key.traceID); err != nil {
		c.log.Debug("job not canceled at executor", "job", attempt.key.traceID, "executor", attempt.key.executor, "err", err)
	}
}

// drainAnswer reads what has been received on the connection of a canceled attempt before it is closed. If that is a
// 202 that crossed the cancel, the executor has the job, and closing the connection does not cancel it any more: a
// DELETE is sent.
func (c *Client) drainAnswer(attempt *activeAttempt, conn *connection) {
	unread := make([]byte, conn.input.Free())
	conn.input.Put(unread[:tcpinfo.ReadReceived(conn.Conn, unread)])
	message, _ := conn.parser.Feed(conn.input) // a malformed answer does not matter: the attempt has ended
	if isAccepted(message, conn.parser) {
		c.recordAccepted(attempt)
	}
}
