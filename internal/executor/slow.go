package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// owed keeps what boxes owe signs of: jobs whose last byte went to them, until a 202, another answer or a callback
// shows that they have it. Its own lock comes after a try's.
type ackTracker struct {
	mu        sync.Mutex
	estimates *slowpeer.Acks
}

func (o *ackTracker) lastByteSent(t *activeAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.estimates.Sent(t.key.executor, t.lastByteAt)
}

// due is how long a box may take.
func (o *ackTracker) timeout(t *activeAttempt) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.estimates.Due(t.key.executor)
}

// signed takes in a box's sign that it has a job: the first one counts.
func (o *ackTracker) acknowledge(t *activeAttempt, now time.Time) { o.resolve(t, now, true) }

// ended takes in that an attempt is over, with or without a sign.
func (o *ackTracker) abandon(t *activeAttempt) { o.resolve(t, time.Time{}, false) }

func (o *ackTracker) resolve(t *activeAttempt, now time.Time, sign bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acknowledged || t.lastByteAt.IsZero() {
		return
	}
	t.acknowledged = true
	o.mu.Lock()
	defer o.mu.Unlock()
	if sign {
		o.estimates.Acked(t.key.executor, now.Sub(t.lastByteAt), t.overdue, now)
		return
	}
	o.estimates.Ended(t.key.executor, t.overdue)
}

// overdue takes in that no sign came in time, and says what that makes of the box. Of a job that was signed for
// meanwhile, or is over, it makes nothing.
func (o *ackTracker) expire(t *activeAttempt, now time.Time) slowpeer.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acknowledged || t.ended {
		return slowpeer.Keep
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.estimates.Overdue(t.key.executor, t.overdue, now)
	t.overdue = true
	return v
}

// open says whether a sign of the job is still owed.
func (t *activeAttempt) awaitsAck() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.acknowledged && !t.ended
}

// slow counts and logs what a box is slow at.
func (c *Client) recordSlowPeer(k slowpeer.Kind, t *activeAttempt, conn *connection, why *slowpeer.Slow) {
	c.slowPeers.Add(k)
	c.log.Info("slow box", "kind", k.String(), "box", t.key.executor, "to", conn.addr, "job", t.Job.Trace, "why", why)
}

// answer reads what a box says to a job whose last byte was written.
//
// The first line of a 202 counts as the 202: it says that the box has the job, and a box that lets the rest drip has
// it all the same. Until then a box that drips is waited for like one that is silent, to the attempt's end: to close
// would give the attempt up, and with it a result that may come by callback whatever becomes of this connection. What
// the module hears, once, is that the box owes a sign of the job for longer than it and its peers usually do.
func (c *Client) readAnswer(ctx context.Context, t *activeAttempt, conn *connection) (*http1.Message, error) {
	last := t.Deadline.Add(c.limits.Write)
	ask := t.lastByteAt.Add(c.acks.timeout(t))
	told := false
	for {
		m, err := conn.parser.Feed(conn.input)
		if status := conn.parser.Status(); m != nil && m.Status == statusAccepted || m == nil && status == statusAccepted {
			c.recordAccepted(t)
			if m == nil && err == nil {
				conn.Await() // the rest holds only a connection: below the least rate it is let go
				told = true
			}
		}
		if m != nil || err != nil {
			c.recordContact(t.Worker)
			c.acks.acknowledge(t, time.Now())
			return m, err
		}
		by := last
		if !told && t.awaitsAck() && ask.Before(by) {
			by = ask
		}
		conn.ReadBy(by)
		_, err = conn.input.Fill(conn.Paced)
		if err != nil && ctx.Err() != nil {
			c.drainAnswer(t, conn)
			return nil, err
		}
		switch slow := (*slowpeer.Slow)(nil); {
		case err == nil:
		case errors.As(err, &slow):
			c.recordSlowPeer(slowpeer.BoxDrips, t, conn, slow)
			return nil, err
		case !isTimeout(err) || by.Equal(last):
			if m, end := conn.parser.End(); m != nil && end == nil {
				return m, nil
			}
			return nil, err
		default:
			now := time.Now()
			switch c.acks.expire(t, now) {
			case slowpeer.HoldBack:
				told = true
				c.recordSlowPeer(slowpeer.BoxLate, t, conn, &slowpeer.Slow{Direction: "in"})
				c.handler.Result(node.Result{Attempt: t.ID, Topic: dispatch.NoteLate})
			default:
				if t.awaitsAck() {
					c.slowPeers.Add(slowpeer.BoxCrowd)
				}
				ask = now.Add(c.acks.timeout(t))
			}
		}
	}
}

// take notes that a box has taken a job. Where the job was given up a moment before, the box is told so.
func (c *Client) recordAccepted(t *activeAttempt) {
	t.mu.Lock()
	crossed := t.canceledUnaccepted && !t.accepted
	t.accepted = true
	t.mu.Unlock()
	c.acks.acknowledge(t, time.Now())
	if crossed {
		c.cancelAccepted(t)
	}
}
