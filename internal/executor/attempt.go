package executor

import (
	"context"
	"sync"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
)

// attemptKey identifies an attempt as callbacks do. It is unique among active attempts, since an executor has at most
// one attempt of a request at a time.
type attemptKey struct{ traceID, executor string }

// activeAttempt is an attempt that has neither ended nor been canceled. Its lock is taken before those of the tables.
type activeAttempt struct {
	node.Attempt
	key    attemptKey
	cancel context.CancelFunc // closes its connection, until the executor has accepted the job

	rebuilt bool // its request was rebuilt once because it stated too much time left; used by the sending goroutine only

	mu                 sync.Mutex
	lastByteCommitted  bool      // its last byte is being written or has been written
	lastByteAt         time.Time // when lastByteCommitted was set; zero before
	accepted           bool      // the executor's 202 was read
	canceledUnaccepted bool      // it was canceled before a 202 was read
	acknowledged       bool      // the executor has shown that it has the job, or the attempt has ended without that
	overdue            bool      // the acknowledgement has been pending for too long
	ended              bool
}

// ackPending reports whether the executor's acknowledgement of the job is pending.
func (a *activeAttempt) ackPending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.acknowledged && !a.ended
}

// hasLastByteCommitted reports whether the executor may have the whole request.
func (a *activeAttempt) hasLastByteCommitted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastByteCommitted
}

// attemptTable holds the active attempts.
type attemptTable struct {
	mu       sync.Mutex
	byID     map[uint64]*activeAttempt
	byKey    map[attemptKey]*activeAttempt
	returned returnedRequests
}

func newAttemptTable() attemptTable {
	return attemptTable{
		byID:     map[uint64]*activeAttempt{},
		byKey:    map[attemptKey]*activeAttempt{},
		returned: returnedRequests{},
	}
}

func (t *attemptTable) add(a *activeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[a.ID], t.byKey[a.key] = a, a
}

func (t *attemptTable) remove(a *activeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, a.ID)
	if t.byKey[a.key] == a {
		delete(t.byKey, a.key)
	}
}

// withID returns an active attempt by its number, or nil.
func (t *attemptTable) withID(id uint64) *activeAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// withKey returns the active attempt that a callback names, or nil.
func (t *attemptTable) withKey(key attemptKey) *activeAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[key]
}

// Send starts an attempt. Its result goes to the sink, unless Cancel is called first.
func (c *Client) Send(request node.Attempt) {
	endpoint, known := c.endpoints.get(request.Executor)
	if !known {
		c.group.Go(func() error {
			c.sink.Result(node.Result{Attempt: request.ID, Outcome: dispatch.CanceledBeforeSend})
			return nil
		})
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	attempt := &activeAttempt{Attempt: request, key: attemptKey{request.Job.TraceID, endpoint.name}, cancel: cancel}
	c.attempts.add(attempt) // before a byte is written: the first callback can come before the 202
	c.group.Go(func() error {
		defer cancel()
		c.run(ctx, attempt)
		return nil
	})
}

// run calls the job's BeforeSend, sends the attempt, and reports its outcome.
func (c *Client) run(ctx context.Context, attempt *activeAttempt) {
	if before := attempt.Job.BeforeSend; before != nil {
		if err := before(attempt.key.executor); err != nil {
			c.log.Warn(
				"attempt not recorded and not sent",
				"job",
				attempt.key.traceID,
				"executor",
				attempt.key.executor,
				"err",
				err,
			)
			c.finish(attempt, dispatch.CanceledBeforeSend, nil, nil)
			return
		}
	}
	if sent := c.send(ctx, attempt); sent.outcome != 0 {
		c.finish(attempt, sent.outcome, sent.report, nil)
	}
}

// finish ends an attempt and reports its outcome, unless it has already ended.
func (c *Client) finish(attempt *activeAttempt, outcome dispatch.Outcome, report []float32, body []byte) {
	if c.remove(attempt) {
		c.sink.Result(node.Result{Attempt: attempt.ID, Outcome: outcome, Report: report, Body: body})
	}
}

// remove ends an attempt without a result. It returns false if the attempt had already ended.
func (c *Client) remove(attempt *activeAttempt) bool {
	attempt.mu.Lock()
	ended := attempt.ended
	attempt.ended = true
	attempt.mu.Unlock()
	if ended {
		return false
	}
	c.acks.abandon(attempt)
	c.attempts.remove(attempt)
	return true
}

// precheck reports whether an attempt may still be sent, by what is known at this moment, and to which address. It is
// the only place that decides this, before each connection and again after each step that may take a while. The caller
// holds the attempt's lock, or the attempt is not yet shared.
func (c *Client) precheck(attempt *activeAttempt) (string, precheck.Reason) {
	reason := precheck.Allowed
	if attempt.Job.PreSendCheck != nil {
		reason = attempt.Job.PreSendCheck() // it may wait for a lock, so everything else is read after it
	}
	endpoint, known := c.endpoints.get(attempt.Executor)
	check := precheck.Check{
		Now:      time.Now(),
		Deadline: attempt.Deadline,
		Ended:    attempt.ended || attempt.Answered != nil && attempt.Answered.Load(),
		Job:      reason,
		Executor: precheck.Executor{
			Listed:        known,
			SendsEndAt:    endpoint.sendsEndAt,
			StartedAt:     endpoint.startedAt,
			ExpectedStart: attempt.ExecutorStartedAt,
		},
		Retry: attempt.Rules,
	}
	if reason = check.Reason(); reason != precheck.Allowed {
		c.log.Debug("attempt not sent", "job", attempt.key.traceID, "executor", attempt.key.executor, "reason", reason)
	}
	return endpoint.address, reason
}

// allowed calls precheck with the attempt's lock held.
func (c *Client) allowed(attempt *activeAttempt) (address string, ok bool) {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	address, reason := c.precheck(attempt)
	return address, reason == precheck.Allowed
}

// commit makes the last pre-send check. An attempt that passes counts as sent from then on, before its last byte is
// written.
func (c *Client) commit(attempt *activeAttempt) bool {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if _, reason := c.precheck(attempt); reason != precheck.Allowed {
		return false
	}
	attempt.lastByteCommitted, attempt.lastByteAt = true, time.Now()
	return true
}
