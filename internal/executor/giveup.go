package executor

import (
	"context"

	"gatetack/internal/tcpinfo"
)

// GiveUp ends an attempt without a result: before the 202 by closing its connection, later by DELETE.
func (c *Client) GiveUp(id uint64) {
	c.mu.Lock()
	t := c.live[id]
	c.mu.Unlock()
	if t == nil || !c.takeOff(t) {
		return
	}
	t.mu.Lock()
	taken := t.taken
	t.dropped = !taken
	t.mu.Unlock()
	t.cancel()
	if taken {
		c.callOff(t)
	}
}

// callOff tells an executor that has taken a job that its result is no longer waited for.
func (c *Client) callOff(t *try) {
	select {
	case c.slots <- struct{}{}:
	default:
		return // giving up is a courtesy: what runs goes on in any case
	}
	c.g.Go(func() error {
		defer func() { <-c.slots }()
		c.delete(t)
		return nil
	})
}

func (c *Client) delete(t *try) {
	ctx, cancel := context.WithTimeout(c.ctx, c.lim.Probe)
	defer cancel()
	addr := c.address(t.Worker)
	if addr == "" {
		return
	}
	if _, err := c.ask(ctx, addr, "DELETE", "/jobs/"+t.Job.Trace); err != nil {
		c.log.Debug("giving up", "job", t.Job.Trace, "err", err)
	}
}

// lastLook takes in what has come on the connection of an attempt that was given up, before it is closed. A 202 that crossed
// the giving up says that the executor has the job, and a close is no sign to it any more: it is told by DELETE.
func (c *Client) lastLook(t *try, conn *conn) {
	unread := make([]byte, conn.in.Free())
	conn.in.Put(unread[:tcpinfo.Take(conn.Conn, unread)])
	m, _ := conn.parse.Feed(conn.in) // an answer that is broken concerns nobody: the attempt is over
	if m != nil && m.Status == statusAccepted || m == nil && conn.parse.Status() == statusAccepted {
		c.take(t)
	}
}
