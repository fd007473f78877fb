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

// answerReader reads an executor's answer to a job whose last byte was sent.
//
// The status line of a 202 counts as the 202: it shows that the executor has the job, however slowly the rest follows.
// Before the status line is complete, the reader waits until the attempt's deadline, whether the executor sends slowly
// or not at all. Closing the connection would cancel the attempt and lose a result that may arrive by callback
// regardless of the connection. The dispatch module is notified, once, when the acknowledgement has been pending for
// longer than is usual for this executor and for others.
type answerReader struct {
	client      *Client
	attempt     *activeAttempt
	conn        *connection
	deadline    time.Time // when reading ends in any case
	ackDeadline time.Time // when the acknowledgement becomes overdue
	notified    bool      // nothing more is reported about the acknowledgement
}

func (c *Client) readAnswer(ctx context.Context, attempt *activeAttempt, conn *connection) (*http1.Message, error) {
	r := &answerReader{
		client:      c,
		attempt:     attempt,
		conn:        conn,
		deadline:    attempt.Deadline.Add(c.limits.WriteTimeout),
		ackDeadline: attempt.lastByteAt.Add(c.acks.timeout(attempt)),
	}
	for {
		//nolint:contextcheck // a DELETE that it sends outlives the attempt
		if message, err := r.parse(); message != nil || err != nil {
			return message, err
		}
		if message, err := r.wait(ctx); message != nil || err != nil {
			return message, err
		}
	}
}

// parse parses the bytes received so far. It returns the answer once it is complete, or an error if it is malformed.
func (r *answerReader) parse() (*http1.Message, error) {
	message, err := r.conn.parser.Feed(r.conn.input)
	if isAccepted(message, r.conn.parser) {
		r.client.recordAccepted(r.attempt)
		if message == nil && err == nil {
			r.conn.ExpectBytes() // the job is accepted, so a rate below the minimum closes only the connection
			r.notified = true
		}
	}
	if message != nil || err != nil {
		r.client.endpoints.recordContact(r.attempt.Executor)
		r.client.acks.acknowledge(r.attempt, time.Now())
	}
	return message, err
}

// isAccepted reports whether an answer is a 202 of which at least the status line has been received.
func isAccepted(message *http1.Message, parser *http1.Parser) bool {
	if message != nil {
		return message.Status == statusAccepted
	}
	return parser.Status() == statusAccepted
}

// wait reads once. It returns an answer that ends with the connection, or the error after which no answer can follow.
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
		r.client.drainAnswer(r.attempt, r.conn) //nolint:contextcheck // a DELETE that it sends outlives the attempt
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

// ackOverdue notifies the dispatch module of an executor whose acknowledgement is overdue, unless those of most
// executors are at the same time.
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

// recordAccepted records that an executor has accepted a job. If the attempt was canceled before the 202 was read, the
// cancel is sent to the executor now.
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

// recordSlowPeer counts and logs an executor that sends, receives or acknowledges slowly.
func (c *Client) recordSlowPeer(kind slowpeer.Kind, attempt *activeAttempt, conn *connection, why *slowpeer.Error) {
	c.slowPeers.Add(kind)
	c.log.Info("slow executor", "kind", kind.String(), "executor", attempt.key.executor, "address", conn.addr,
		"job", attempt.key.traceID, "reason", why)
}
