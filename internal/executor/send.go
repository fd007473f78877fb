package executor

import (
	"context"
	"errors"
	"strconv"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/slowpeer"
)

const (
	// minTimeLeft is the least time that an executor is told: in whole milliseconds, less would be none.
	minTimeLeft = time.Millisecond

	// statusAccepted is the status by which an executor accepts a job.
	statusAccepted = 202

	// hostName is the Host of all requests: executors are found by their addresses.
	hostName = "api.internal"
)

// sendResult is what came of sending an attempt. An outcome of 0 means that the executor has accepted the job: what
// becomes of it comes by callback.
type sendResult struct {
	outcome  dispatch.Outcome
	report   []float32
	reusable bool // the connection stands between requests
}

// send writes an attempt's request and reads what the executor answers at once.
func (c *Client) send(ctx context.Context, attempt *activeAttempt) sendResult {
	for n := 0; ; n++ {
		conn, failed := c.connect(ctx, attempt)
		if conn == nil {
			return sendResult{outcome: failed}
		}
		sent := c.sendOver(ctx, attempt, conn)
		// A reused connection can have ended on the other side without a sign, until the next request comes. Nothing was sent
		// then, since the last byte was not written, and the attempt takes another connection. One that was made for the
		// attempt and broke says something of the executor: the dispatch module is notified of that.
		again := sent.outcome == dispatch.ConnectFailed && (conn.reused || conn.rebuild)
		if !again || n >= c.limits.Reconnects || ctx.Err() != nil {
			return sent
		}
	}
}

// sendOver is send over one connection, which it gives back to the pool or closes.
func (c *Client) sendOver(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	// From here on, canceling the attempt ends what is under way on the connection, which is closed then.
	stop := context.AfterFunc(ctx, conn.Abort)
	sent := c.exchange(ctx, attempt, conn)
	if stop() && sent.reusable {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	return sent
}

// exchange sends the request and reads the answer. The request's last byte is held back until all that may take a while
// lies behind: what breaks before it is written never ran there, and what breaks after it may have.
func (c *Client) exchange(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	// Much may have changed while the connection was being made: a drain is counted from the first byte.
	if _, ok := c.allowed(attempt); !ok {
		return sendResult{outcome: dispatch.CanceledBeforeSend, reusable: true}
	}
	// The executor is told what will be left once the request's last byte can be written.
	told := c.limits.TellableTime(time.Until(attempt.Deadline) - conn.lastBytePause(c.limits))
	if told < minTimeLeft {
		return sendResult{outcome: dispatch.CanceledBeforeSend, reusable: true}
	}
	if !c.writeUpToLastByte(ctx, attempt, conn, told) {
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	// The request was made before these waits. Where it tells more than its client has left now, it is made anew, once, on
	// another connection. The attempt ends AnswerEarly before its client leaves.
	if told > time.Until(attempt.Deadline)+c.limits.AnswerEarly {
		if attempt.rebuilt {
			return sendResult{outcome: dispatch.CanceledBeforeSend}
		}
		attempt.rebuilt, conn.rebuild = true, true
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	if !c.commit(attempt) {
		return sendResult{outcome: dispatch.CanceledBeforeSend}
	}
	c.acks.lastByteSent(attempt) // before the byte that a callback can follow
	if err := conn.output.Flush(); err != nil {
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	failpoint.At(failpoint.Byte)
	return c.receive(ctx, attempt, conn)
}

// writeUpToLastByte writes an attempt's request but for its last byte, and waits for the other side to show that it
// does not take it.
func (c *Client) writeUpToLastByte(
	ctx context.Context,
	attempt *activeAttempt,
	conn *connection,
	told time.Duration,
) bool {
	conn.BoundWrites(attempt.Deadline)
	err := conn.output.Request(attempt.Job.Method, attempt.Job.Target, requestFields(attempt.Job, told), attempt.Job.Body)
	if err == nil {
		err = conn.output.FlushAllButLastByte()
	}
	if slow := (*slowpeer.Error)(nil); errors.As(err, &slow) {
		c.recordSlowPeer(slowpeer.ExecutorReadsSlowly, attempt, conn, slow)
		return false
	}
	if err != nil || !conn.staysOpen(c.limits) {
		c.recordReuse(ctx, conn, true)
		return false
	}
	// An executor that has not shown itself for a while may be cut off: acknowledgements of its machine are waited for.
	left, ok := conn.waitAcknowledged(ctx, c.limits, c.outOfContact(attempt.Executor))
	if !ok && ctx.Err() == nil {
		c.recordSlowPeer(slowpeer.RequestUnacked, attempt, conn, &slowpeer.Error{Direction: "out", Pending: left})
	}
	return ok
}

// requestFields are the header fields of a job's request.
func requestFields(job *node.Job, told time.Duration) []http1.Field {
	fields := []http1.Field{
		{Name: "Host", Value: hostName},
		{Name: "X-Trace-Id", Value: job.TraceID},
		{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(told.Milliseconds(), 10)},
	}
	if job.IdempotencyKey != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: job.IdempotencyKey})
	}
	return fields
}

// receive reads the answer to a request whose last byte is written, and says what it means.
func (c *Client) receive(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	written := time.Now()
	message, err := c.readAnswer(ctx, attempt, conn)
	// A connection that was forgotten breaks as soon as the request gets there; one that breaks later was in use.
	forgotten := err != nil && !conn.parser.Started() && time.Since(written) < conn.lastBytePause(c.limits)
	c.recordReuse(ctx, conn, forgotten)
	if err != nil {
		return sendResult{outcome: outcomeOfBrokenAnswer(err, conn.parser.Status())}
	}
	sent := sendResult{reusable: !message.Close}
	switch {
	case message.Status == statusAccepted:
		return sent
	case (message.Status == 503 || message.Status == 504) && message.Get("X-Never-Ran") == "1":
		sent.outcome = dispatch.Full
	default:
		sent.outcome = dispatch.Errored
		if message.Status != 500 {
			c.log.Warn("unexpected answer of an executor", "status", message.Status, "executor", attempt.key.executor,
				"address", conn.addr, "job", attempt.key.traceID)
		}
	}
	sent.report = c.reportFromHeader(message)
	return sent
}

// outcomeOfBrokenAnswer says what an answer means that did not come whole. The request may have run.
func outcomeOfBrokenAnswer(err error, status int) dispatch.Outcome {
	switch {
	case status == statusAccepted && isTimeout(err):
		return 0 // the executor has accepted the job, however slowly it sends the rest
	case status == 500:
		return dispatch.Errored
	}
	return dispatch.Reset
}

// recordReuse lets the pool learn from a reused connection, unless its attempt was canceled.
func (c *Client) recordReuse(ctx context.Context, conn *connection, broke bool) {
	if conn.reused && ctx.Err() == nil {
		c.pool.recordReuse(conn, broke, time.Now())
	}
}
