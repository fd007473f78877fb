package executor

import (
	"context"
	"errors"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

// answerReader reads what an executor answers to a job whose last byte was written.
//
// The first line of a 202 counts as the 202: it says that the executor has the job, and one that lets the rest drip has
// it all the same. Until then an executor that drips is waited for like one that is silent, to the attempt's end: to
// close would cancel the attempt, and with it a result that may come by callback whatever becomes of this connection.
// What the dispatch module is notified of, once, is that the acknowledgement has been pending for longer than is usual
// there and elsewhere.
type answerReader struct {
	client      *Client
	attempt     *activeAttempt
	conn        *connection
	deadline    time.Time // when the wait ends in any case
	ackDeadline time.Time // when the acknowledgement is overdue
	notified    bool      // no more is to be said of the acknowledgement
}

func (c *Client) readAnswer(ctx context.Context, attempt *activeAttempt, conn *connection) (*http1.Message, error) {
	r := &answerReader{
		client:      c,
		attempt:     attempt,
		conn:        conn,
		deadline:    attempt.Deadline.Add(c.limits.Write),
		ackDeadline: attempt.lastByteAt.Add(c.acks.timeout(attempt)),
	}
	for {
		//nolint:contextcheck // a DELETE that it leads to outlives the attempt
		if message, err := r.parse(); message != nil || err != nil {
			return message, err
		}
		if message, err := r.wait(ctx); message != nil || err != nil {
			return message, err
		}
	}
}

// parse takes in what has come. It gives the answer once that is whole or broken.
func (r *answerReader) parse() (*http1.Message, error) {
	message, err := r.conn.parser.Feed(r.conn.input)
	if isAccepted(message, r.conn.parser) {
		r.client.recordAccepted(r.attempt)
		if message == nil && err == nil {
			r.conn.ExpectBytes() // the rest holds only a connection: below the least rate it is closed
			r.notified = true
		}
	}
	if message != nil || err != nil {
		r.client.endpoints.recordContact(r.attempt.Executor)
		r.client.acks.acknowledge(r.attempt, time.Now())
	}
	return message, err
}

// isAccepted says whether an answer is a 202, of which at least the first line has come.
func isAccepted(message *http1.Message, parser *http1.Parser) bool {
	if message != nil {
		return message.Status == statusAccepted
	}
	return parser.Status() == statusAccepted
}

// wait reads once. It gives an answer that ends with the connection, or why no more can come.
func (r *answerReader) wait(ctx context.Context) (*http1.Message, error) {
	by := r.deadline
	if !r.notified && r.attempt.ackPending() && r.ackDeadline.Before(by) {
		by = r.ackDeadline
	}
	r.conn.BoundReads(by)
	_, err := r.conn.input.Fill(r.conn.MinRateConn)
	if err == nil {
		return nil, nil
	}
	if ctx.Err() != nil {
		r.client.drainAnswer(r.attempt, r.conn) //nolint:contextcheck // a DELETE that it leads to outlives the attempt
		return nil, err
	}
	if slow := (*slowpeer.Error)(nil); errors.As(err, &slow) {
		r.client.recordSlowPeer(slowpeer.ExecutorSendsSlowly, r.attempt, r.conn, slow)
		return nil, err
	}
	if isTimeout(err) && !by.Equal(r.deadline) {
		r.ackOverdue()
		return nil, nil
	}
	if message, end := r.conn.parser.End(); message != nil && end == nil {
		return message, nil
	}
	return nil, err
}

// ackOverdue notifies the dispatch module of a late executor, unless most are late at once.
func (r *answerReader) ackOverdue() {
	now := time.Now()
	if r.client.acks.expire(r.attempt, now) == slowpeer.Restrict {
		r.notified = true
		r.client.recordSlowPeer(slowpeer.ExecutorAckLate, r.attempt, r.conn, &slowpeer.Error{Direction: "in"})
		r.client.sink.Result(node.Result{Attempt: r.attempt.ID, Topic: dispatch.NotificationAckOverdue})
		return
	}
	if r.attempt.ackPending() {
		r.client.slowPeers.Add(slowpeer.MostAcksLate)
	}
	r.ackDeadline = now.Add(r.client.acks.timeout(r.attempt))
}

// recordAccepted notes that an executor has accepted a job. Where the attempt was canceled a moment before, the
// executor is told so.
func (c *Client) recordAccepted(attempt *activeAttempt) {
	attempt.mu.Lock()
	crossed := attempt.canceledUnaccepted && !attempt.accepted
	attempt.accepted = true
	attempt.mu.Unlock()
	c.acks.acknowledge(attempt, time.Now())
	if crossed {
		c.cancelAccepted(attempt)
	}
}

// recordSlowPeer counts and logs what an executor is slow at.
func (c *Client) recordSlowPeer(kind slowpeer.Kind, attempt *activeAttempt, conn *connection, why *slowpeer.Error) {
	c.slowPeers.Add(kind)
	c.log.Info("slow executor", "kind", kind.String(), "executor", attempt.key.executor, "address", conn.addr,
		"job", attempt.key.traceID, "reason", why)
}
