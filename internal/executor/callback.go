package executor

import (
	"errors"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
)

// ErrUnknownAttempt is the answer to a callback of an attempt that this process does not know: stale, or of another process of
// the node that listens on the same socket.
var ErrUnknownAttempt = errors.New("executor: callback of an attempt that is not this process's")

var errCallbackNotJSON = errors.New("executor: callback is not JSON")

// The states of a job that a callback tells.
const (
	stateStarted  = "started"
	stateRunning  = "running"
	stateDone     = "done"
	stateFailed   = "failed"
	stateReturned = "returned"
	stateLost     = "lost"
)

// Callback takes what an executor tells of a job. The call is answered alike whether it fits an active attempt or not:
// it may be a repeat, or be about an attempt that has ended. ErrNotOurs says that no attempt here has its id and
// executor.
func (c *Client) Callback(body []byte) error {
	if !gjson.ValidBytes(body) {
		return errCallbackNotJSON
	}
	callback := gjson.ParseBytes(body)
	attempt := c.attempts.withKey(attemptKey{callback.Get("id").String(), callback.Get("from").String()})
	if attempt == nil {
		return ErrUnknownAttempt
	}
	if !attempt.hasLastByteCommitted() {
		return nil // stale: of an earlier attempt there, since nothing of this one was written
	}
	c.endpoints.recordContact(attempt.Executor)
	c.acks.acknowledge(attempt, time.Now()) // whatever the executor tells of the job, it has it
	c.handleState(attempt, callback)
	return nil
}

// handleState passes on what a callback tells.
func (c *Client) handleState(attempt *activeAttempt, callback gjson.Result) {
	report := c.reportFromJSON(callback.Get("load"))
	switch state := callback.Get("state").String(); state {
	case stateStarted:
		c.sink.Result(node.Result{Attempt: attempt.ID, Topic: dispatch.NotificationStarted})
	case stateRunning:
		share := callback.Get("share").Float()
		c.sink.Result(node.Result{Attempt: attempt.ID, Topic: dispatch.NotificationProgress, Amount: share})
	case stateDone:
		c.handleResult(attempt, report, callback.Get("result"))
	case stateFailed:
		c.finish(attempt, dispatch.Errored, report, nil)
	case stateReturned:
		if c.isFirstReturn(attempt) {
			c.finish(attempt, dispatch.Full, report, nil)
		}
	case stateLost:
		c.finish(attempt, dispatch.Reset, report, nil)
	default:
		c.log.Warn("callback with unknown state", "state", state, "executor", attempt.key.executor, "job", attempt.key.traceID)
	}
}

// handleResult ends an attempt whose job is done. Without a result it failed: whatever was passed on for it would be a
// result that no executor made.
func (c *Client) handleResult(attempt *activeAttempt, report []float32, result gjson.Result) {
	if result.Type != gjson.String {
		c.log.Warn("callback without result", "executor", attempt.key.executor, "job", attempt.key.traceID)
		c.finish(attempt, dispatch.Errored, report, nil)
		return
	}
	c.finish(attempt, dispatch.Served, report, []byte(result.Str))
}
