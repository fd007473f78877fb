// Package precheck decides whether an attempt may still be sent, immediately before its bytes are written. Queueing,
// dialing, writing records and backoff come between a dispatch decision and the write, and any of them can take so long
// that the decision is no longer valid. Every sender performs this check before it writes; all reasons not to send are
// defined here.
//
// The package keeps no state, does no I/O, reads no clock and starts no goroutine.
package precheck

import (
	"time"

	"gatetack/internal/dispatch"
)

// Reason is why an attempt may not be sent.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	// Allowed: the attempt may be sent.
	Allowed Reason = iota
	// Ended: the attempt was canceled, or its job already has its final result.
	Ended
	// ClientDisconnected: the client has closed its connection.
	ClientDisconnected
	// LeaseLost: another node owns the job's partition, under a later epoch.
	LeaseLost
	// DeadlinePassed: the attempt's deadline has passed.
	DeadlinePassed
	// NotListed: the executor is no longer in any endpoint list.
	NotListed
	// Draining: the executor is draining or was removed, and the grace period for attempts in progress is over.
	Draining
	// Restarted: the executor was restarted after the decision, which used the slow-start budget of the earlier process.
	Restarted
	// AttemptsExhausted: the request has had its maximum number of attempts.
	AttemptsExhausted
	// MustNotRunTwice: the request may have run already and must run at most once.
	MustNotRunTwice
	// IdempotencyWindowOver: the request may have run already, and executors no longer deduplicate its idempotency key.
	IdempotencyWindowOver
)

var reasonTexts = [...]string{
	Allowed:               "allowed",
	Ended:                 "attempt canceled or job answered",
	ClientDisconnected:    "client left",
	LeaseLost:             "lease lost to another node",
	DeadlinePassed:        "deadline passed",
	NotListed:             "executor not listed",
	Draining:              "executor draining",
	Restarted:             "executor restarted",
	AttemptsExhausted:     "attempts used up",
	MustNotRunTwice:       "may have run and must not run twice",
	IdempotencyWindowOver: "may have run and the idempotency window is over",
}

// String returns the reason as it appears in logs.
func (r Reason) String() string { return reasonTexts[r] }

// Check is the state of an attempt immediately before its bytes are written.
type Check struct {
	Now      time.Time
	Deadline time.Time // of the attempt
	Ended    bool      // the attempt was canceled, or its job already has its final result
	Job      Reason    // set by the front: Allowed, ClientDisconnected or LeaseLost
	Executor Executor
	Retry    RetryRules
}

// Executor is the state of the executor that the attempt is sent to.
type Executor struct {
	Listed        bool
	SendsEndAt    time.Time // when sending to it ends; zero while it accepts work
	StartedAt     float64   // start of its process according to the current endpoint list, Unix milliseconds
	ExpectedStart float64   // start of its process according to the endpoint list at the decision, Unix milliseconds
}

// RetryRules are the retry limits of the attempt's request, as they were at the decision.
type RetryRules struct {
	Attempt     int // this attempt's number, from 1
	MaxAttempts int
	RetrySafety dispatch.RetrySafety
	MayHaveRun  bool      // an earlier attempt is in flight, or may have run
	WindowEnd   time.Time // until when executors deduplicate the key of a keyed request
}

// Reason returns Allowed if the attempt may be sent, and otherwise the first reason against it.
func (c *Check) Reason() Reason {
	if c.Ended {
		return Ended
	}
	if c.Job != Allowed {
		return c.Job
	}
	if !c.Now.Before(c.Deadline) {
		return DeadlinePassed
	}
	if reason := c.Executor.reason(c.Now); reason != Allowed {
		return reason
	}
	return c.Retry.reason(c.Now)
}

func (e *Executor) reason(now time.Time) Reason {
	switch {
	case !e.Listed:
		return NotListed
	case !e.SendsEndAt.IsZero() && !now.Before(e.SendsEndAt):
		return Draining
	case e.StartedAt != e.ExpectedStart:
		return Restarted
	}
	return Allowed
}

func (r *RetryRules) reason(now time.Time) Reason {
	switch {
	case r.Attempt > r.MaxAttempts:
		return AttemptsExhausted
	case r.MayHaveRun && r.RetrySafety == dispatch.AtMostOnce:
		return MustNotRunTwice
	case r.MayHaveRun && r.RetrySafety == dispatch.Keyed && !now.Before(r.WindowEnd):
		return IdempotencyWindowOver
	}
	return Allowed
}
