package dispatch

import "slices"

// executor is what this node knows of one executor, by who writes it. What placement reads of each executor that it
// inspects comes first and close together: in a large fleet, the memory that it lies in is most of what an inspection
// costs.
type executor struct {
	id                  uint32
	tag                 uint16 // its name in messages between nodes
	lastInspectionRound uint64 // the last inspection round that took it in
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
	affinityKeys        [affinityKeysKept]uint64 // keys that it likely holds, the last used first
}

// inFlightAttempts are this node's attempts at an executor: those in flight, and the last that ended.
type inFlightAttempts struct {
	jobs            []*job  // one entry for each attempt
	slots           float64 // that they hold, without those that were written off
	unstarted       int     // attempts that the executor has not said it started
	unstartedSlots  float64
	oldestUnstarted float64 // when the oldest of them was sent; now, if there is none
	ended           [maxEndedAttempts]endedAttempt
	endedCount      int // all that ended, also those no longer kept
}

// maxEndedAttempts is how many ended attempts are kept for each executor. They explain load reports that were taken
// before they ended; a report is seldom older than so many requests of one node.
const maxEndedAttempts = 24

// endedAttempt is an attempt that has ended.
type endedAttempt struct{ sentAt, endedAt, slots float64 }

// holdsSlots says whether an attempt of a job is in flight at an executor, and was not written off.
func (a *attempt) holdsSlots(executor *executor) bool {
	return a.executor == executor && !a.resolved && !a.writtenOff
}

// removeJob takes one attempt of a job out of those in flight, and says whether there was one.
func (e *executor) removeJob(job *job) bool {
	i := slices.Index(e.inFlight.jobs, job)
	if i < 0 {
		return false
	}
	e.inFlight.jobs = slices.Delete(e.inFlight.jobs, i, i+1)
	return true
}

// countUnstarted counts the attempts in flight that the executor has not said it started.
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

// recordEnded keeps an attempt that has ended and used slots of the executor.
func (a *inFlightAttempts) recordEnded(ended endedAttempt) {
	a.ended[a.endedCount%maxEndedAttempts] = ended
	a.endedCount++
}

// workSentSince is the slot-time of the attempts that were sent to an executor from a time on, with those that have
// ended.
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

// ownSlotsInFlight is how many slots this node holds at all executors.
func (d *Dispatcher) ownSlotsInFlight() (slots float64) {
	for _, executor := range d.outliers.busy {
		slots += executor.inFlight.slots
	}
	return slots
}

// recentExecutors are executors of which something was seen last, the latest first.
type recentExecutors [8]*executor

func (l *recentExecutors) add(executor *executor) {
	i := slices.Index(l[:], executor)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = executor
}
