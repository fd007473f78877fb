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
	May       Reason = iota // it may go
	Over                    // the attempt was given up, or its job has its final answer
	Left                    // the client has closed its connection
	Lost                    // the job's duty has another owner, under a later epoch
	Late                    // the time for it is over
	Unlisted                // the executor is in no list any more
	Drained                 // the executor was told to drain, or to be gone, and its grace is used up
	Restarted               // the executor began another life since: what was decided, a cold budget too, was for the one before
	Spent                   // the request has had all its attempts
	Twice                   // the request may have run, and must not run twice
	Window                  // the request may have run, and repeats of it are dropped no longer
)

var words = [...]string{"it may go", "it was given up", "its client has left", "its duty is another node's", "its time is over",
	"the executor is not listed", "the executor drains", "the executor has started anew", "no attempt is left",
	"it may have run and must not run twice", "the window for repeats is over"}

func (r Reason) String() string { return words[r] }

// Ask is what is known of an attempt at the moment before its bytes.
type Ask struct {
	Now  time.Time
	Over bool   // given up, or its job is answered
	Job  Reason // what the job's front says: May, Left or Lost

	Deadline time.Time // of the attempt

	Listed     bool
	StopAt     time.Time // from then on nothing new goes to the executor; zero while it takes work
	Began, Was float64   // when the executor's life began, by the list now and at the decision

	Rules Rules
}

// Rules are those of the request that this attempt is one of, as they stood when it was decided on.
type Rules struct {
	Number, Most int // this attempt, from 1, and how many there may be
	Effect       dispatch.Effect
	Ran          bool      // an earlier attempt is out, or may have run
	RepeatBy     time.Time // of a keyed request that may have run: the end of the window, counted from its first such attempt
}

// May says whether the attempt may go, and else why not.
func (a *Ask) May() Reason {
	switch {
	case a.Over:
		return Over
	case a.Job != May:
		return a.Job
	case !a.Now.Before(a.Deadline):
		return Late
	case !a.Listed:
		return Unlisted
	case !a.StopAt.IsZero() && !a.Now.Before(a.StopAt):
		return Drained
	case a.Began != a.Was:
		return Restarted
	}
	switch r := &a.Rules; {
	case r.Number > r.Most:
		return Spent
	case r.Ran && r.Effect == dispatch.Unsafe:
		return Twice
	case r.Ran && r.Effect == dispatch.Keyed && !a.Now.Before(r.RepeatBy):
		return Window
	}
	return May
}
