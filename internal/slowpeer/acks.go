package slowpeer

import (
	"math"
	"time"
)

// AckRule determines when an executor is late to acknowledge a job.
type AckRule struct {
	MinTimeout    time.Duration `yaml:"least"`  // lower bound of the timeout
	MaxTimeout    time.Duration `yaml:"most"`   // upper bound of the timeout
	BoundMultiple float64       `yaml:"times"`  // timeout as a multiple of the estimated upper bound
	ActiveWindow  time.Duration `yaml:"memory"` // an executor without sends or acks for this long is not counted
	MaxLateShare  float64       `yaml:"crowd"`  // with a larger share of executors late, none is treated as slow
}

// AckTracker estimates how long executors take to acknowledge a job and detects executors that are late. An executor is
// compared with its own history, because otherwise a distant one would be considered slow, and with all executors,
// because otherwise one that has always been slow would not be detected.
//
// The upper bounds of an executor and of all executors are estimated like TCP's retransmission timer (RFC 6298, section
// 2): a smoothed mean plus four times a smoothed deviation. A late acknowledgement counts at most as the executor's own
// bound and does not count in the estimate of all executors, so that slowness does not become normal within a few jobs
// (as Karn's algorithm, section 3, excludes retransmitted samples).
//
// If all executors are slow at the same time, none is avoided: while more than MaxLateShare of the active executors are
// late, none is treated as slow. The cause is then the network or this node, which may have no time to read, and
// avoiding some executors would only overload the others.
type AckTracker struct {
	rule      AckRule
	executors map[string]*ackHistory
	all       estimate
}

type ackHistory struct {
	own      estimate
	pending  int       // jobs whose acknowledgement is pending
	late     int       // pending jobs whose acknowledgement is late
	lastSeen time.Time // latest acknowledgement or send
}

// estimate is a smoothed mean and deviation, in seconds.
type estimate struct {
	mean, dev float64
	n         int
}

func (e *estimate) add(x float64) {
	if e.n++; e.n == 1 {
		e.mean, e.dev = x, x/2
		return
	}
	e.dev += (math.Abs(x-e.mean) - e.dev) / 4
	e.mean += (x - e.mean) / 8
}

func (e *estimate) bound() float64 { return e.mean + 4*e.dev }

// NewAckTracker returns an AckTracker without history.
func NewAckTracker(r AckRule) *AckTracker {
	return &AckTracker{rule: r, executors: map[string]*ackHistory{}}
}

// Sent records that the last byte of a job was sent to an executor.
func (a *AckTracker) Sent(executor string, now time.Time) {
	history := a.executors[executor]
	if history == nil {
		history = &ackHistory{}
		a.executors[executor] = history
	}
	history.pending++
	history.lastSeen = now
}

// Timeout returns how long an executor may take to acknowledge a job before it is late.
func (a *AckTracker) Timeout(executor string) time.Duration {
	bound := a.all.bound()
	if history := a.executors[executor]; history != nil {
		bound = max(bound, history.own.bound())
	}
	timeout := time.Duration(a.rule.BoundMultiple * bound * float64(time.Second))
	return min(max(timeout, a.rule.MinTimeout), a.rule.MaxTimeout)
}

// Overdue records that a job was not acknowledged within the timeout. It returns Restrict if the executor is late while
// most others are not. Otherwise it returns Keep, and the caller calls Overdue again after another timeout. Counted
// tells whether Overdue was called for this job before.
func (a *AckTracker) Overdue(executor string, counted bool, now time.Time) Verdict {
	history := a.executors[executor]
	if history == nil {
		return Keep
	}
	if !counted {
		history.late++
	}
	late, active := 0, 0
	for name, other := range a.executors {
		switch {
		case other.late > 0:
			late++
			active++
		case other.pending > 0 || now.Sub(other.lastSeen) <= a.rule.ActiveWindow:
			active++
		default:
			delete(a.executors, name)
		}
	}
	// A single late executor is always reported: on a node that sends to few executors, only its own history is available.
	if late > 1 && float64(late) > a.rule.MaxLateShare*float64(active) {
		return Keep
	}
	return Restrict
}

// Acked records that an executor acknowledged a job, by its response or by a callback, the given time after the send.
// Late tells whether Overdue was called for the job.
func (a *AckTracker) Acked(executor string, elapsed time.Duration, late bool, now time.Time) {
	a.done(executor, late)
	history := a.executors[executor]
	if history == nil {
		return
	}
	history.lastSeen = now
	if late {
		history.own.add(min(elapsed.Seconds(), history.own.bound()))
		return
	}
	history.own.add(elapsed.Seconds())
	a.all.add(elapsed.Seconds())
}

// Ended records that a job ended without an acknowledgement: its connection broke, or the attempt was canceled.
func (a *AckTracker) Ended(executor string, late bool) { a.done(executor, late) }

func (a *AckTracker) done(executor string, late bool) {
	history := a.executors[executor]
	if history == nil {
		return
	}
	history.pending = max(0, history.pending-1)
	if late {
		history.late = max(0, history.late-1)
	}
}

// LateCount returns the number of jobs whose acknowledgement by an executor is late.
func (a *AckTracker) LateCount(executor string) int {
	if history := a.executors[executor]; history != nil {
		return history.late
	}
	return 0
}
