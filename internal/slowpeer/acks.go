package slowpeer

import (
	"math"
	"time"
)

// AckRule says from when on an executor is late to say that it has taken a job.
type AckRule struct {
	MinTimeout    time.Duration `yaml:"least"`  // nothing is late before it
	MaxTimeout    time.Duration `yaml:"most"`   // whatever is usual, a box is late after it
	BoundMultiple float64       `yaml:"times"`  // how many times the usual upper bound it may take
	ActiveWindow  time.Duration `yaml:"memory"` // a box not heard of for so long says nothing of what is usual
	MaxLateShare  float64       `yaml:"crowd"`  // with more than this part of the boxes late, lateness says nothing of one of them
}

// AckTracker learns how long executors take to acknowledge a job, and finds the one that is late: against its own usual, or it
// would be called slow for being far; and against its peers', or one that has always been slow would never be.
//
// The usual upper bound of an executor, and of all together, is that of TCP's retransmission timer (RFC 6298, section 2): a
// smoothed mean and four times a smoothed deviation. What was late counts as no more than its executor's own bound, and not among the peers' at all, so that a
// executor does not become used to being slow within a few jobs (as Karn's rule, section 3, keeps retransmitted samples out).
//
// All slow at once are no reason to shun any: while more than Crowd of the executors that work are late, none is called so.
// Then it is the network, or this node itself that has no time to read, and shunning some only crowds the others.
type AckTracker struct {
	rule      AckRule
	executors map[string]*ackHistory
	all       estimate
}

type ackHistory struct {
	own      estimate
	pending  int       // jobs it has not acknowledged
	late     int       // of them, those that are past their time
	lastSeen time.Time // an acknowledgement, or a send
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

// NewAckTracker makes an Acks that knows no executor.
func NewAckTracker(r AckRule) *AckTracker {
	return &AckTracker{rule: r, executors: map[string]*ackHistory{}}
}

// Sent takes in that a job's last byte went to an executor.
func (a *AckTracker) Sent(executor string, now time.Time) {
	b := a.executors[executor]
	if b == nil {
		b = &ackHistory{}
		a.executors[executor] = b
	}
	b.pending++
	b.lastSeen = now
}

// Timeout is how long an executor may take before it is late.
func (a *AckTracker) Timeout(executor string) time.Duration {
	bound := a.all.bound()
	if b := a.executors[executor]; b != nil {
		bound = max(bound, b.own.bound())
	}
	due := time.Duration(a.rule.BoundMultiple * bound * float64(time.Second))
	return min(max(due, a.rule.MinTimeout), a.rule.MaxTimeout)
}

// Overdue takes in that a job was not acknowledged when it was due, and says what that makes of the executor: HoldBack for
// one that is late where its peers are not, Keep while it says nothing, and the carrier asks again after another Due.
// Counted says whether this job was told overdue before.
func (a *AckTracker) Overdue(executor string, counted bool, now time.Time) Verdict {
	b := a.executors[executor]
	if b == nil {
		return Keep
	}
	if !counted {
		b.late++
	}
	late, active := 0, 0
	for name, x := range a.executors {
		switch {
		case x.late > 0:
			late++
			active++
		case x.pending > 0 || now.Sub(x.lastSeen) <= a.rule.ActiveWindow:
			active++
		default:
			delete(a.executors, name)
		}
	}
	// One alone can be late to a node that sends to few: there is nobody to hold it against but its own usual.
	if late > 1 && float64(late) > a.rule.MaxLateShare*float64(active) {
		return Keep
	}
	return Restrict
}

// Acked takes in that an executor acknowledged a job, by its answer or by a call, so long after the send. Late says whether
// it was told overdue.
func (a *AckTracker) Acked(executor string, took time.Duration, late bool, now time.Time) {
	a.done(executor, late)
	b := a.executors[executor]
	if b == nil {
		return
	}
	b.lastSeen = now
	if late {
		b.own.add(min(took.Seconds(), b.own.bound()))
		return
	}
	b.own.add(took.Seconds())
	a.all.add(took.Seconds())
}

// Ended takes in that a job ended unacknowledged: its connection broke, or it was given up.
func (a *AckTracker) Ended(executor string, late bool) { a.done(executor, late) }

func (a *AckTracker) done(executor string, late bool) {
	b := a.executors[executor]
	if b == nil {
		return
	}
	b.pending = max(0, b.pending-1)
	if late {
		b.late = max(0, b.late-1)
	}
}

// LateCount is how many jobs an executor owes an acknowledgement past its time.
func (a *AckTracker) LateCount(executor string) int {
	if b := a.executors[executor]; b != nil {
		return b.late
	}
	return 0
}
