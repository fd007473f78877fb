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
type owed struct {
	mu   sync.Mutex
	acks *slowpeer.Acks
}

func (o *owed) sent(t *try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acks.Sent(t.key.from, t.wrote)
}

// due is how long a box may take.
func (o *owed) due(t *try) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acks.Due(t.key.from)
}

// signed takes in a box's sign that it has a job: the first one counts.
func (o *owed) signed(t *try, now time.Time) { o.settle(t, now, true) }

// ended takes in that an attempt is over, with or without a sign.
func (o *owed) ended(t *try) { o.settle(t, time.Time{}, false) }

func (o *owed) settle(t *try, now time.Time, sign bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.signed || t.wrote.IsZero() {
		return
	}
	t.signed = true
	o.mu.Lock()
	defer o.mu.Unlock()
	if sign {
		o.acks.Acked(t.key.from, now.Sub(t.wrote), t.late, now)
		return
	}
	o.acks.Ended(t.key.from, t.late)
}

// overdue takes in that no sign came in time, and says what that makes of the box. Of a job that was signed for
// meanwhile, or is over, it makes nothing.
func (o *owed) overdue(t *try, now time.Time) slowpeer.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.signed || t.over {
		return slowpeer.Keep
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.acks.Overdue(t.key.from, t.late, now)
	t.late = true
	return v
}

// open says whether a sign of the job is still owed.
func (t *try) open() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.signed && !t.over
}

// slow counts and logs what a box is slow at.
func (c *Client) slow(k slowpeer.Kind, t *try, conn *conn, why *slowpeer.Slow) {
	c.tally.Add(k)
	c.log.Info("slow box", "kind", k.String(), "box", t.key.from, "to", conn.addr, "job", t.Job.Trace, "why", why)
}

// answer reads what a box says to a job whose last byte was written.
//
// The first line of a 202 counts as the 202: it says that the box has the job, and a box that lets the rest drip has
// it all the same. Until then a box that drips is waited for like one that is silent, to the attempt's end: to close
// would give the attempt up, and with it a result that may come by callback whatever becomes of this connection. What
// the module hears, once, is that the box owes a sign of the job for longer than it and its peers usually do.
func (c *Client) answer(ctx context.Context, t *try, conn *conn) (*http1.Message, error) {
	last := t.Deadline.Add(c.lim.Write)
	ask := t.wrote.Add(c.owed.due(t))
	told := false
	for {
		m, err := conn.parse.Feed(conn.in)
		if status := conn.parse.Status(); m != nil && m.Status == statusAccepted || m == nil && status == statusAccepted {
			c.take(t)
			if m == nil && err == nil {
				conn.Await() // the rest holds only a connection: below the least rate it is let go
				told = true
			}
		}
		if m != nil || err != nil {
			c.heard(t.Worker)
			c.owed.signed(t, time.Now())
			return m, err
		}
		by := last
		if !told && t.open() && ask.Before(by) {
			by = ask
		}
		conn.ReadBy(by)
		_, err = conn.in.Fill(conn.Paced)
		if err != nil && ctx.Err() != nil {
			c.lastLook(t, conn)
			return nil, err
		}
		switch slow := (*slowpeer.Slow)(nil); {
		case err == nil:
		case errors.As(err, &slow):
			c.slow(slowpeer.BoxDrips, t, conn, slow)
			return nil, err
		case !isTimeout(err) || by.Equal(last):
			if m, end := conn.parse.End(); m != nil && end == nil {
				return m, nil
			}
			return nil, err
		default:
			now := time.Now()
			switch c.owed.overdue(t, now) {
			case slowpeer.HoldBack:
				told = true
				c.slow(slowpeer.BoxLate, t, conn, &slowpeer.Slow{Direction: "in"})
				c.sink.Result(node.Result{Attempt: t.ID, Topic: dispatch.NoteLate})
			default:
				if t.open() {
					c.tally.Add(slowpeer.BoxCrowd)
				}
				ask = now.Add(c.owed.due(t))
			}
		}
	}
}

// take notes that a box has taken a job. Where the job was given up a moment before, the box is told so.
func (c *Client) take(t *try) {
	t.mu.Lock()
	crossed := t.dropped && !t.taken
	t.taken = true
	t.mu.Unlock()
	c.owed.signed(t, time.Now())
	if crossed {
		c.callOff(t)
	}
}
