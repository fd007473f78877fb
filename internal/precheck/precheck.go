// Package precheck decides whether an attempt may still be sent, in the moment before its bytes are written. Waits,
// dials, records and backoffs lie between a decision and its bytes, and each can outlast what the decision rested on.
// Whoever is about to write checks once more, with all that may have changed; no other place has reasons of its own.
//
// It keeps no state, does no I/O, reads no clock and starts no goroutine.
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
	// Ended: the attempt was canceled, or its job has its final answer.
	Ended
	// ClientLeft: the client has closed its connection.
	ClientLeft
	// LeaseLost: another node owns the job's partition, under a later epoch.
	LeaseLost
	// DeadlinePassed: the attempt's time is over.
	DeadlinePassed
	// NotListed: no endpoint list names the executor any more.
	NotListed
	// Draining: the executor drains or was removed, and the grace for what was under way is used up.
	Draining
	// Restarted: the executor's process started again since the decision, whose slow-start budget was for the one before.
	Restarted
	// AttemptsUsedUp: the request has had as many attempts as it may have.
	AttemptsUsedUp
	// MustNotRunTwice: the request may have run, and is of a class that runs at most once.
	MustNotRunTwice
	// WindowOver: the request may have run, and executors no longer drop its repeats.
	WindowOver
)

var reasonTexts = [...]string{
	Allowed:         "allowed",
	Ended:           "attempt canceled or job answered",
	ClientLeft:      "client left",
	LeaseLost:       "lease lost to another node",
	DeadlinePassed:  "deadline passed",
	NotListed:       "executor not listed",
	Draining:        "executor draining",
	Restarted:       "executor restarted",
	AttemptsUsedUp:  "attempts used up",
	MustNotRunTwice: "may have run and must not run twice",
	WindowOver:      "may have run and the idempotency window is over",
}

// String gives the reason as log lines show it.
func (r Reason) String() string { return reasonTexts[r] }

// Check is what is known of an attempt in the moment before its bytes are written.
type Check struct {
	Now      time.Time
	Deadline time.Time // of the attempt
	Ended    bool      // it was canceled, or its job has its final answer
	Job      Reason    // the front's own: Allowed, ClientLeft or LeaseLost
	Executor Executor
	Retry    RetryRules
}

// Executor is what is known of the executor that the attempt goes to.
type Executor struct {
	Listed        bool
	SendsEndAt    time.Time // nothing new is sent to it from then on; zero while it takes work
	StartedAt     float64   // when its process started, by the list now,
	ExpectedStart float64   // and by the list at the decision; Unix milliseconds
}

// RetryRules are those of the request that the attempt belongs to, as they were at the decision.
type RetryRules struct {
	Attempt     int // this attempt's number, from 1
	MaxAttempts int
	RetrySafety dispatch.RetrySafety
	MayHaveRun  bool      // an earlier attempt is in flight, or may have run
	WindowEnd   time.Time // of a keyed request: until then executors drop its repeats
}

// Reason says whether the attempt may be sent, and else why not.
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
		return AttemptsUsedUp
	case r.MayHaveRun && r.RetrySafety == dispatch.AtMostOnce:
		return MustNotRunTwice
	case r.MayHaveRun && r.RetrySafety == dispatch.Keyed && !now.Before(r.WindowEnd):
		return WindowOver
	}
	return Allowed
}
