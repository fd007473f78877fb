package dispatch

import "slices"

// executor is the state that this node keeps of one executor, grouped by the code that writes it. The fields that
// placement reads of every inspected executor come first and close together: in a large fleet, memory accesses are most
// of the cost of an inspection.
type executor struct {
	id                  uint32
	tag                 uint16 // identifies the executor in messages between nodes
	lastInspectionRound uint64 // the last inspection round that included it
	endpoint            endpointState
	load                loadEstimate
	inFlight            inFlightAttempts
	outlier             outlierState
	connections         connectionState
	slowStart           slowStartBudget
	serviceTime         observedWork
	gossip              executorGossip
	group               *executorGroup
	failures            failureState
	healthCheck         healthCheckState
	affinityKeys        [maxAffinityKeys]uint64 // keys that it has likely cached, the most recently used first
}

// inFlightAttempts holds this node's attempts at an executor: those in flight and the last ones that ended.
type inFlightAttempts struct {
	jobs            []*job  // one entry for each attempt
	slots           float64 // used by these attempts, except the written-off ones
	unstarted       int     // attempts without a start notification
	unstartedSlots  float64
	oldestUnstarted float64 // send time of the oldest unstarted attempt, or the current time if there is none
	ended           [maxEndedAttempts]endedAttempt
	endedCount      int // all that ended, including those no longer kept
}

// maxEndedAttempts is the number of ended attempts that are kept for each executor. They are needed to interpret load
// reports that were taken before these attempts ended. A report is seldom older than this many requests of one node.
const maxEndedAttempts = 24

// endedAttempt is an ended attempt that used slots of its executor.
type endedAttempt struct{ sentAt, endedAt, slots float64 }

// holdsSlots reports whether an attempt is in flight at an executor and is not written off.
func (a *attempt) holdsSlots(executor *executor) bool {
	return a.executor == executor && !a.resolved && !a.writtenOff
}

// removeJob removes one attempt of a job from those in flight and reports whether there was one.
func (e *executor) removeJob(job *job) bool {
	i := slices.Index(e.inFlight.jobs, job)
	if i < 0 {
		return false
	}
	e.inFlight.jobs = slices.Delete(e.inFlight.jobs, i, i+1)
	return true
}

// countUnstarted updates the number, the slots and the oldest send time of the attempts without a start
// notification.
func (e *executor) countUnstarted(now float64) {
	unstarted, slots, oldest := 0, 0.0, now
	for _, job := range e.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.holdsSlots(e) && attempt.startedAt == 0 {
				unstarted++
				slots += job.slots
				oldest = min(oldest, attempt.sentAt)
			}
		}
	}
	e.inFlight.unstarted, e.inFlight.unstartedSlots, e.inFlight.oldestUnstarted = unstarted, slots, oldest
}

// recordEnded keeps an ended attempt in place of the oldest one that is kept.
func (a *inFlightAttempts) recordEnded(ended endedAttempt) {
	a.ended[a.endedCount%maxEndedAttempts] = ended
	a.endedCount++
}

// workSentSince returns the slot-time of the attempts that were sent to an executor since a point in time, including
// those that have ended.
func (d *Dispatcher) workSentSince(executor *executor, from float64) (work float64) {
	speed := d.serviceTimes.kindSpeed(executor.endpoint.kind)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt >= from {
				work += job.slots * job.work / speed
			}
		}
	}
	for _, attempt := range executor.inFlight.ended {
		if attempt.sentAt >= from {
			work += attempt.slots * (attempt.endedAt - attempt.sentAt)
		}
	}
	return work
}

// ownSlotsInFlight returns the number of slots that this node uses at all executors.
func (d *Dispatcher) ownSlotsInFlight() (slots float64) {
	for _, executor := range d.outliers.busy {
		slots += executor.inFlight.slots
	}
	return slots
}

// recentExecutors is a list of the executors that were most recently added, the latest first.
type recentExecutors [8]*executor

// add puts an executor first in the list, in place of its former position or of the last one.
func (l *recentExecutors) add(executor *executor) {
	i := slices.Index(l[:], executor)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = executor
}
