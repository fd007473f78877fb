package executor

import (
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
)

// ErrUnknownAttempt is returned for a callback of an attempt that is not active in this process: it is stale, or
// belongs to another process of the node that listens on the same socket.
var ErrUnknownAttempt = errors.New("executor: callback of an attempt that is not active in this process")

// Callback parses and handles the body of a callback. Its errors are those of ParseCallback and HandleCallback.
func (c *Client) Callback(body []byte) error {
	message, err := ParseCallback(body, c.limits.IDBytes)
	if err != nil {
		return err
	}
	return c.HandleCallback(message)
}

// HandleCallback handles a callback of an executor. A callback that has no effect is no error, since it may be a repeat
// or concern an attempt that has not been sent yet. ErrUnknownAttempt is returned if no active attempt has its ID and
// executor.
func (c *Client) HandleCallback(message *CallbackMessage) error {
	attempt := c.attempts.withKey(attemptKey{message.TraceID, message.Executor})
	if attempt == nil {
		return ErrUnknownAttempt
	}
	if !attempt.hasLastByteCommitted() {
		return nil // stale: it concerns an earlier attempt at this executor, since the last byte of this one was not sent
	}
	c.endpoints.recordContact(attempt.Executor)
	c.acks.acknowledge(attempt, time.Now()) // a callback in any state shows that the executor has the job
	c.handleState(attempt, message)
	return nil
}

// handleState reports the state in a callback.
func (c *Client) handleState(attempt *activeAttempt, message *CallbackMessage) {
	report := c.reportFromJSON(message.load)
	switch message.State {
	case stateStarted:
		c.sink.Result(node.Result{Attempt: attempt.ID, Topic: dispatch.NotificationStarted})
	case stateRunning:
		c.sink.Result(node.Result{Attempt: attempt.ID, Topic: dispatch.NotificationProgress, Amount: message.share})
	case stateDone:
		c.handleResult(attempt, report, message.result)
	case stateFailed:
		c.finish(attempt, dispatch.Errored, report, nil)
	case stateReturned:
		if c.isFirstReturn(attempt) {
			c.finish(attempt, dispatch.Full, report, nil)
		}
	case stateLost:
		c.finish(attempt, dispatch.Reset, report, nil)
	default:
		c.log.Warn("callback with unknown state", "state", message.State,
			"executor", attempt.key.executor, "job", attempt.key.traceID)
	}
}

// handleResult ends an attempt whose job is done. A callback without a result counts as a failure: otherwise the
// client would get an answer that no executor produced.
func (c *Client) handleResult(attempt *activeAttempt, report []float32, result gjson.Result) {
	if result.Type != gjson.String {
		c.log.Warn("callback without result", "executor", attempt.key.executor, "job", attempt.key.traceID)
		c.finish(attempt, dispatch.Errored, report, nil)
		return
	}
	c.finish(attempt, dispatch.Served, report, []byte(result.Str))
}
