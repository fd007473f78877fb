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
	// minTimeLeft is the least time left that is sent to an executor: it is sent in whole milliseconds, so that
	// anything less would be zero.
	minTimeLeft = time.Millisecond

	// statusAccepted is the status with which an executor accepts a job.
	statusAccepted = 202

	// hostName is the Host header of all requests; executors are identified by their addresses.
	hostName = "api.internal"
)

// sendResult is the result of sending an attempt. An outcome of 0 means that the executor has accepted the job; its
// outcome follows by callback.
type sendResult struct {
	outcome  dispatch.Outcome
	report   []float32
	reusable bool // the connection is between requests
}

// send writes an attempt's request and reads the executor's immediate answer.
func (c *Client) send(ctx context.Context, attempt *activeAttempt) sendResult {
	for n := 0; ; n++ {
		conn, failed := c.connect(ctx, attempt)
		if conn == nil {
			return sendResult{outcome: failed}
		}
		sent := c.sendOver(ctx, attempt, conn)
		// The peer can have closed a reused connection without a sign until the next request arrives. The attempt was
		// not sent then, since its last byte was not written, and it takes another connection. A new connection that
		// breaks is a sign of a fault of the executor, and the dispatch module is notified.
		retry := sent.outcome == dispatch.ConnectFailed && (conn.reused || conn.rebuild)
		if !retry || n >= c.limits.MaxReconnects || ctx.Err() != nil {
			return sent
		}
	}
}

// sendOver sends an attempt over one connection, which it then returns to the pool or closes.
func (c *Client) sendOver(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	// From here on, canceling the attempt aborts what is in progress on the connection, which is then closed.
	stop := context.AfterFunc(ctx, conn.Abort)
	sent := c.exchange(ctx, attempt, conn)
	if stop() && sent.reusable {
		c.pool.release(conn)
	} else {
		c.pool.close(conn)
	}
	return sent
}

// exchange sends the request and reads the answer. It holds the request's last byte back until everything that may
// take a while is done: if the connection breaks before that byte is written, the job did not run; afterwards it may
// have.
func (c *Client) exchange(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	// Conditions may have changed while the connection was opened. For a drain, the time of the first byte counts.
	if _, ok := c.allowed(attempt); !ok {
		return sendResult{outcome: dispatch.CanceledBeforeSend, reusable: true}
	}
	// The request states the time that will be left when its last byte can be written.
	timeLeft := c.limits.ReportedTimeLeft(time.Until(attempt.Deadline) - conn.lastBytePause(c.limits))
	if timeLeft < minTimeLeft {
		return sendResult{outcome: dispatch.CanceledBeforeSend, reusable: true}
	}
	if !c.writeUpToLastByte(ctx, attempt, conn, timeLeft) {
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	// The request was built before these waits. If it states more time than its client has left now, it is rebuilt
	// once, on another connection. The attempt ends AnswerEarly before the client's deadline.
	if timeLeft > time.Until(attempt.Deadline)+c.limits.ResponseMargin {
		if attempt.rebuilt {
			return sendResult{outcome: dispatch.CanceledBeforeSend}
		}
		attempt.rebuilt, conn.rebuild = true, true
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	if !c.commit(attempt) {
		return sendResult{outcome: dispatch.CanceledBeforeSend}
	}
	c.acks.lastByteSent(attempt) // before the byte is written, since a callback can follow it at once
	if err := conn.output.Flush(); err != nil {
		return sendResult{outcome: dispatch.ConnectFailed}
	}
	failpoint.At(failpoint.LastByte)
	return c.receive(ctx, attempt, conn)
}

// writeUpToLastByte writes an attempt's request except its last byte, and waits for a sign that the peer does not take
// it.
func (c *Client) writeUpToLastByte(
	ctx context.Context,
	attempt *activeAttempt,
	conn *connection,
	timeLeft time.Duration,
) bool {
	conn.BoundWrites(attempt.Deadline)
	err := conn.output.Request(attempt.Job.Method, attempt.Job.Target,
		requestFields(attempt.Job, timeLeft), attempt.Job.Body)
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
	// An executor that has been out of contact for a while may be cut off, so its kernel's acknowledgements are waited
	// for.
	left, ok := conn.waitAcknowledged(ctx, c.limits, c.outOfContact(attempt.Executor))
	if !ok && ctx.Err() == nil {
		c.recordSlowPeer(slowpeer.RequestUnacked, attempt, conn, &slowpeer.Error{Direction: "out", Pending: left})
	}
	return ok
}

// requestFields returns the header fields of a job's request.
func requestFields(job *node.Job, timeLeft time.Duration) []http1.Field {
	fields := []http1.Field{
		{Name: "Host", Value: hostName},
		{Name: "X-Trace-Id", Value: job.TraceID},
		{Name: "X-Expires-In-Ms", Value: strconv.FormatInt(timeLeft.Milliseconds(), 10)},
	}
	if job.IdempotencyKey != "" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: job.IdempotencyKey})
	}
	return fields
}

// receive reads the answer to a request whose last byte is written, and returns the result it stands for.
func (c *Client) receive(ctx context.Context, attempt *activeAttempt, conn *connection) sendResult {
	written := time.Now()
	message, err := c.readAnswer(ctx, attempt, conn)
	// A connection that the peer has dropped breaks as soon as the request arrives; one that breaks later was in use.
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
			c.log.Warn("unexpected answer from executor", "status", message.Status, "executor", attempt.key.executor,
				"address", conn.addr, "job", attempt.key.traceID)
		}
	}
	sent.report = c.reportFromHeader(message)
	return sent
}

// outcomeOfBrokenAnswer returns the outcome of an incomplete answer. The job may have run.
func outcomeOfBrokenAnswer(err error, status int) dispatch.Outcome {
	switch {
	case status == statusAccepted && isTimeout(err):
		return 0 // the executor has accepted the job, however slowly it sends the rest
	case status == 500:
		return dispatch.Errored
	}
	return dispatch.Reset
}

// recordReuse records in the pool whether a reused connection was broken, unless its attempt was canceled.
func (c *Client) recordReuse(ctx context.Context, conn *connection, broke bool) {
	if conn.reused && ctx.Err() == nil {
		c.pool.recordReuse(conn, broke, time.Now())
	}
}
