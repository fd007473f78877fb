// Package precheck holds the last question before an attempt's bytes are written: whether it may still go. Waits, dials, records
// and backoffs lie between a decision and its bytes, and each can outlast what the decision rested on. So whoever is about to
// write asks here, once more and last, with all that may have changed; no other place has reasons of its own. It does no I/O
// and reads no clock.
package precheck

import (
	"time"

	"gatetack/internal/dispatch"
)

// Reason is why an attempt may not go.
type Reason uint8

// The reasons, in the order in which they are told.
const (
	Allowed         Reason = iota // it may go
	Ended                         // the attempt was given up, or its job has its final answer
	ClientLeft                    // the client has closed its connection
	LeaseLost                     // the job's duty has another owner, under a later epoch
	DeadlinePassed                // the time for it is over
	NotListed                     // the executor is in no list any more
	Draining                      // the executor was told to drain, or to be gone, and its grace is used up
	Restarted                     // the executor began another life since: what was decided, a cold budget too, was for the one before
	AttemptsUsedUp                // the request has had all its attempts
	MustNotRunTwice               // the request may have run, and must not run twice
	WindowOver                    // the request may have run, and repeats of it are dropped no longer
)

var reasonTexts = [...]string{"it may go", "it was given up", "its client has left", "its duty is another node's", "its time is over",
	"the executor is not listed", "the executor drains", "the executor has started anew", "no attempt is left",
	"it may have run and must not run twice", "the window for repeats is over"}

func (r Reason) String() string { return reasonTexts[r] }

// Ask is what is known of an attempt at the moment before its bytes.
type Check struct {
	Now   time.Time
	Ended bool   // given up, or its job is answered
	Job   Reason // what the job's front says: May, Left or Lost

	Deadline time.Time // of the attempt

	Listed                   bool
	SendsEndAt               time.Time // from then on nothing new goes to the executor; zero while it takes work
	StartedAt, ExpectedStart float64   // when the executor's life began, by the list now and at the decision

	Retry RetryRules
}

// Rules are those of the request that this attempt is one of, as they stood when it was decided on.
type RetryRules struct {
	Attempt, MaxAttempts int // this attempt, from 1, and how many there may be
	RetrySafety          dispatch.Effect
	MayHaveRun           bool      // an earlier attempt is out, or may have run
	WindowEnd            time.Time // of a keyed request that may have run: the end of the window, counted from its first such attempt
}

// May says whether the attempt may go, and else why not.
func (a *Check) Reason() Reason {
	switch {
	case a.Ended:
		return Ended
	case a.Job != Allowed:
		return a.Job
	case !a.Now.Before(a.Deadline):
		return DeadlinePassed
	case !a.Listed:
		return NotListed
	case !a.SendsEndAt.IsZero() && !a.Now.Before(a.SendsEndAt):
		return Draining
	case a.StartedAt != a.ExpectedStart:
		return Restarted
	}
	switch r := &a.Retry; {
	case r.Attempt > r.MaxAttempts:
		return AttemptsUsedUp
	case r.MayHaveRun && r.RetrySafety == dispatch.Unsafe:
		return MustNotRunTwice
	case r.MayHaveRun && r.RetrySafety == dispatch.Keyed && !a.Now.Before(r.WindowEnd):
		return WindowOver
	}
	return Allowed
}
