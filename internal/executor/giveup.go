package executor

import (
	"context"

	"gatetack/internal/tcpinfo"
)

// GiveUp ends an attempt without a result: before the 202 by closing its connection, later by DELETE.
func (c *Client) GiveUp(id uint64) {
	c.mu.Lock()
	t := c.attempts[id]
	c.mu.Unlock()
	if t == nil || !c.remove(t) {
		return
	}
	t.mu.Lock()
	taken := t.accepted
	t.canceledUnaccepted = !taken
	t.mu.Unlock()
	t.cancel()
	if taken {
		c.cancelAccepted(t)
	}
}

// callOff tells an executor that has taken a job that its result is no longer waited for.
func (c *Client) cancelAccepted(t *activeAttempt) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return // giving up is a courtesy: what runs goes on in any case
	}
	c.group.Go(func() error {
		defer func() { <-c.cancelSlots }()
		c.sendDelete(t)
		return nil
	})
}

func (c *Client) sendDelete(t *activeAttempt) {
	ctx, cancel := context.WithTimeout(c.ctx, c.limits.Probe)
	defer cancel()
	addr := c.address(t.Worker)
	if addr == "" {
		return
	}
	if _, err := c.call(ctx, addr, "DELETE", "/jobs/"+t.Job.Trace); err != nil {
		c.log.Debug("giving up", "job", t.Job.Trace, "err", err)
	}
}

// lastLook takes in what has come on the connection of an attempt that was given up, before it is closed. A 202 that crossed
// the giving up says that the executor has the job, and a close is no sign to it any more: it is told by DELETE.
func (c *Client) drainAnswer(t *activeAttempt, conn *connection) {
	unread := make([]byte, conn.input.Free())
	conn.input.Put(unread[:tcpinfo.Take(conn.Conn, unread)])
	m, _ := conn.parser.Feed(conn.input) // an answer that is broken concerns nobody: the attempt is over
	if m != nil && m.Status == statusAccepted || m == nil && conn.parser.Status() == statusAccepted {
		c.recordAccepted(t)
	}
}
