package dispatch

import "slices"

// executor is what this node knows of one executor, by who writes it. What placement reads of each executor that it inspects comes
// first and close together: in a large fleet, the memory that it lies in is most of what an inspection costs.
type executor struct {
	id           uint32
	tag          uint16 // its name in messages between nodes
	inspectedIn  uint64 // the last inspection round that took it in
	endpoint     endpointState
	load         loadEstimate
	inFlight     inFlightAttempts
	outlier      outlierState
	connections  connectionState
	slowStart    slowStartBudget
	serviceTime  observedWork
	gossip       executorGossip
	group        *executorGroup
	failures     failureState
	healthCheck  healthCheckState
	affinityKeys [affinityKeysKept]uint64 // keys that it likely holds, the last used first
}

// inFlightAttempts are this node's attempts at an executor: those in flight, and the last that ended.
type inFlightAttempts struct {
	jobs            []*job  // one entry for each attempt
	slots           float64 // that they hold, without those that were written off
	unstarted       int     // attempts that the executor has not said it started
	unstartedSlots  float64
	oldestUnstarted float64 // when the oldest of them was sent; now, if there is none
	ended           [endedAttemptsKept]endedAttempt
	endedCount      int // all that ended, also those no longer kept
}

// endedAttemptsKept is how many ended attempts are kept for each executor. They explain load reports that were taken before they
// ended; a report is seldom older than so many requests of one node.
const endedAttemptsKept = 24

// endedAttempt is an attempt that has ended.
type endedAttempt struct{ sentAt, endedAt, slots float64 }

// lastOnes are workers of which something was seen last, the latest first.
type recentExecutors [8]*executor

// ownOut is how many slots of ours are out at all workers.
func (d *Dispatcher) ownSlotsInFlight() (slots float64) {
	for _, executor := range d.outliers.busy {
		slots += executor.inFlight.slots
	}
	return slots
}

// sentSince is the slot-time of the attempts that were sent to a worker from a time on, with those that have ended.
func (d *Dispatcher) workSentSince(executor *executor, from float64) (work float64) {
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt >= from {
				work += job.slots * job.work / d.kindSpeed(executor.endpoint.kind)
			}
		}
	}
	for _, x := range executor.inFlight.ended {
		if x.sentAt >= from {
			work += x.slots * (x.endedAt - x.sentAt)
		}
	}
	return work
}

// countWaits counts a worker's attempts of ours that were not started.
func (d *Dispatcher) countUnstarted(executor *executor) {
	executor.inFlight.unstarted, executor.inFlight.unstartedSlots, executor.inFlight.oldestUnstarted = 0, 0, d.now
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff && attempt.startedAt == 0 {
				executor.inFlight.unstarted++
				executor.inFlight.unstartedSlots += job.slots
				executor.inFlight.oldestUnstarted = min(executor.inFlight.oldestUnstarted, attempt.sentAt)
			}
		}
	}
}

func (l *recentExecutors) add(executor *executor) {
	i := slices.Index(l[:], executor)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = executor
}
