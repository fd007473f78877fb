package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// This file implements slow start: it estimates, on this node's clock, how long an executor's process has been
// running, and limits how much work it is sent while it warms up.
//
// The start time of a process comes with the endpoint list, on the wall clock of the machine that keeps the list.
// That clock or this node's may be wrong by hours or be stepped at any moment. A start time is therefore only
// compared for equality with the previous one, to tell processes apart, and is converted once, when it is notified,
// to a time on this node's monotonic clock. A start that appears in a change of a confirmed list mostly happened
// after that list was confirmed. However, discovery lists some executors late, and changes of other executors
// confirm the list in between. The listed time of such a start is used as far as the delays of earlier starts
// support it (listclock.go); otherwise the process is assumed to have started now.

const (
	// slowStartSafety is the fraction of a budget that is used. The rest is a margin for heavy-tailed run times.
	slowStartSafety = 0.6

	// slowStartAggregatorSafety replaces slowStartSafety while an aggregator reports the load of all nodes, since
	// the free slots then limit the sends.
	slowStartAggregatorSafety = 0.8

	// maxSlowStartShare is a node's maximum share of a budget, as a multiple of an equal share. It is below
	// 1/slowStartSafety, so that all nodes at their maximum do not exceed the budget together.
	maxSlowStartShare = 1.6

	// slowStartBurst is the fraction of the overload window whose budget may be accumulated. With a larger burst
	// the executor is used sooner, but overloaded.
	slowStartBurst = 0.5

	// removedStartTTLMs is how long the start of an executor that left the list is saved. An executor that returns
	// within this time with the same start was not restarted, and does not warm up again.
	removedStartTTLMs = 600000

	// removedStartsPurgeThreshold is the number of saved starts from which on expired ones are purged.
	removedStartsPurgeThreshold = 256
)

// slowStartBudget is an executor's start and this node's budget for it while it warms up.
type slowStartBudget struct {
	listedStart float64 // as listed, on another machine's clock; identifies the process
	startedAt   float64 // on this node's clock, as estimated when it was notified; 0 if long ago
	endsAt      float64 // end of the slow start, on this node's clock
	opened      bool    // the budget was opened for the current process
	credit      float64 // slot-time, in ms on a warm executor, that may be sent as of creditAt
	creditAt    float64
}

// slowStartTracker tracks the start times of executors.
type slowStartTracker struct {
	*environment

	listClock         listClock
	confirmedAt       float64                 // when discovery last confirmed a list that holds executors, 0 for never
	newestListedStart float64                 // of the current list, on the list's clock
	removed           map[uint32]removedStart // by id, of executors that recently left the list
	warming           []*executor             // listed executors that are warming up, by id; see warmingUp
}

// removedStart is the start of an executor that left the list.
type removedStart struct {
	listed    float64 // on the list's clock
	startedAt float64 // on this node's clock
	endsAt    float64
	removedAt float64
}

// observeUpdates records the latest start of the first lists, which estimateFirstStart compares the others with.
func (s *slowStartTracker) observeUpdates(updates []EndpointUpdate) {
	if s.confirmedAt == 0 {
		s.newestListedStart = newestStart(updates)
	}
}

// newestStart returns the latest start of a list, on the list's clock.
func newestStart(updates []EndpointUpdate) float64 {
	newest := 0.0
	for i := range updates {
		newest = max(newest, updates[i].StartedAt)
	}
	return newest
}

// observeStart records the listed start of an executor. A start that is already known keeps its estimated time. A
// new process started after the last activity of its predecessor.
func (s *slowStartTracker) observeStart(executor *executor, listed, predecessorActiveAt float64) {
	if listed == executor.slowStart.listedStart {
		return
	}
	start := &executor.slowStart
	start.listedStart, start.startedAt, start.opened = listed, s.estimateStart(listed), false
	start.endsAt = start.startedAt + s.settings.MaxSlowStartDuration
	if start.startedAt <= 0 || s.confirmedAt == 0 {
		return
	}
	// The list's clock may be off by less than is detectable. A budget that ends too early would let all nodes send
	// their queued work at once, so the budget ends as if the process had the minimum age that earlier starts
	// support.
	age := s.listClock.observe(s.now, listed, s.toleratedAgeError(), s.settings.MaxSlowStartDuration)
	if age.known {
		start.startedAt = min(start.startedAt, max(s.now-age.estimate, predecessorActiveAt))
	}
	start.endsAt = max(s.now-age.minimum, predecessorActiveAt) + s.settings.MaxSlowStartDuration
}

// toleratedAgeError returns the maximum error of an executor's age at which its initial budget is no larger than
// the correct one without the margin of slowStartSafety.
func (s *slowStartTracker) toleratedAgeError() float64 {
	from := s.settings.SlowStartMinShare
	if from >= 1 {
		return 0
	}
	return s.settings.MaxSlowStartDuration * from / (1 - from) * (1/slowStartSafety - 1)
}

// estimateStart returns the time on this node's clock of a start that has just been notified, and 0 for one long
// ago.
func (s *slowStartTracker) estimateStart(listed float64) float64 {
	switch {
	case listed <= 0:
		return 0
	case s.confirmedAt == 0:
		return s.estimateFirstStart(listed)
	case listed > s.now:
		return s.now
	case listed >= s.confirmedAt:
		return listed
	case s.now-listed <= s.settings.OverloadWindow:
		// The notification of the start took slightly longer than that of another change.
		return s.confirmedAt
	}
	// The clocks differ. The process may have started at any time since the last confirmed list; the latest time is
	// the safe assumption.
	return s.now
}

// estimateFirstStart is estimateStart for the first lists of a node, which has no earlier observations. The clocks
// are trusted unless a start lies in the future. In that case the latest start of the list is assumed to be now,
// and the other future starts earlier by the difference on the list's own clock, so that a wrong clock does not put
// long-running executors back into slow start.
func (s *slowStartTracker) estimateFirstStart(listed float64) float64 {
	if listed <= s.now {
		return listed
	}
	return s.now - (max(s.newestListedStart, listed) - listed)
}

// trackIfWarmingUp adds an executor that has changed to the warming list if it is warming up.
func (s *slowStartTracker) trackIfWarmingUp(changed *executor) {
	if s.capacityFraction(changed) >= 1 {
		return
	}
	at, known := slices.BinarySearchFunc(s.warming, changed.id, func(other *executor, id uint32) int {
		return cmp.Compare(other.id, id)
	})
	if known {
		s.warming[at] = changed
		return
	}
	s.warming = slices.Insert(s.warming, at, changed)
}

// warmingUp returns the listed executors that are warming up, by id.
func (s *slowStartTracker) warmingUp() []*executor {
	s.warming = slices.DeleteFunc(s.warming, func(executor *executor) bool {
		return executor.endpoint.condition == Removed || s.capacityFraction(executor) >= 1
	})
	return s.warming
}

// saveRemovedStart saves the start of an executor whose state is about to be deleted.
func (s *slowStartTracker) saveRemovedStart(executor *executor) {
	start := &executor.slowStart
	if start.listedStart <= 0 {
		return
	}
	if len(s.removed) >= removedStartsPurgeThreshold {
		maps.DeleteFunc(s.removed, func(_ uint32, old removedStart) bool { return s.now-old.removedAt > removedStartTTLMs })
	}
	s.removed[executor.id] = removedStart{
		listed: start.listedStart, startedAt: start.startedAt, endsAt: start.endsAt, removedAt: s.now,
	}
}

// restoreRemovedStart gives an executor that returns to the list the start that it had when it left.
func (s *slowStartTracker) restoreRemovedStart(executor *executor) {
	known, ok := s.removed[executor.id]
	if !ok {
		return
	}
	start := &executor.slowStart
	start.listedStart, start.startedAt, start.endsAt = known.listed, known.startedAt, known.endsAt
	delete(s.removed, executor.id)
}

// capacityFraction returns the minimum fraction of its full capacity that an executor has reached.
func (s *slowStartTracker) capacityFraction(executor *executor) float64 {
	startedAt, duration := executor.slowStart.startedAt, s.settings.MaxSlowStartDuration
	if startedAt <= 0 || duration <= 0 || s.now-startedAt >= duration {
		return 1
	}
	return min(1, s.settings.SlowStartMinShare+(1-s.settings.SlowStartMinShare)*max(0, s.now-startedAt)/duration)
}

// slowStartAllows reports whether this node's budget for an executor that is warming up allows another job there,
// which needs additionalWork beyond the work of one slot. With many nodes, a node's budget is less than one job: a
// job overdraws it and is paid off afterwards. Each budget starts with a random debt, so that all nodes together
// send the total.
func (d *Dispatcher) slowStartAllows(executor *executor, additionalWork float64) bool {
	budget := &executor.slowStart
	if budget.startedAt <= 0 || d.now >= budget.endsAt {
		return true
	}
	fraction := d.slowStart.capacityFraction(executor)
	if !budget.opened {
		d.openSlowStartBudget(executor)
	}
	nodeShare := min(d.fleetShare(), maxSlowStartShare/float64(d.settings.Nodes)) / d.processes
	slots := max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	rate := d.slowStartSafetyFactor() * nodeShare * d.settings.OverloadMultiple * fraction * slots
	maxCredit := rate * d.settings.OverloadWindow * slowStartBurst
	budget.accrue(d.now, rate, maxCredit, d.meanSlowStartCost())
	return budget.credit > min(additionalWork, slowStartAggregatorSafety*maxCredit)
}

// accrue adds the credit accumulated since the last update. Credit above maxCredit is lost, and so is the amount by
// which the cost of a job exceeds maxCredit: otherwise all nodes would accumulate enough for one job and send it at
// the same time.
func (b *slowStartBudget) accrue(now, rate, maxCredit, jobCost float64) {
	b.credit += rate * (now - b.creditAt)
	if b.credit > maxCredit {
		b.credit = min(maxCredit, b.credit-max(0, jobCost-maxCredit))
	}
	b.creditAt = now
}

// setProcesses sets how many processes of this node send at the same time, while one replaces another. They share the
// node's budgets equally: executors do not distinguish them. What a process has accumulated is divided as well, because
// a new process starts with its share of what can be accumulated.
func (d *Dispatcher) setProcesses(count float64) {
	if count < 1 {
		return
	}
	if remaining := d.processes / count; remaining < 1 {
		for _, executor := range d.slowStart.warmingUp() {
			if budget := &executor.slowStart; budget.credit > 0 {
				budget.credit *= remaining
			}
		}
	}
	d.processes = count
}

// openSlowStartBudget initializes the budget of a process that has just been notified. Requests sent between its
// start and the notification count against the budget, because the executor has already received them.
func (d *Dispatcher) openSlowStartBudget(executor *executor) {
	budget := &executor.slowStart
	sentSince := budget.startedAt
	if budget.listedStart <= d.now && d.now-budget.listedStart <= d.settings.OverloadWindow {
		sentSince = min(sentSince, budget.listedStart) // a recent start on the list's clock is trusted here
	}
	budget.opened = true
	budget.creditAt = max(budget.startedAt, d.now-slowStartBurst*d.settings.OverloadWindow)
	budget.credit = -d.random()*d.meanSlowStartCost() - d.workSentSince(executor, sentSince)
	d.logf("slow start opened executor=%d age_ms=%.0f listed_age_ms=%.0f ended_mean_ms=%.0f estimated_mean_ms=%.0f",
		executor.id, d.now-budget.startedAt, d.now-budget.listedStart, d.serviceTimes.meanSlotTime, d.estimatedSlotTime())
}

// chargeSlowStart charges the budget of an executor that is warming up for a job that is sent there.
func (d *Dispatcher) chargeSlowStart(job *job, executor *executor) {
	budget := &executor.slowStart
	if budget.startedAt > 0 && d.now < budget.endsAt {
		budget.credit -= job.slots * job.work / d.serviceTimes.kindSpeed(executor.endpoint.kind) * d.slowStartCostScale()
	}
}

// meanSlowStartCost returns what a mean request of one slot costs a budget, in slot-time.
func (d *Dispatcher) meanSlowStartCost() float64 {
	return d.serviceTimes.meanSlotTime * d.slowStartCostScale()
}

// slowStartCostScale returns by which factor requests take longer than the mean of those that have ended. That mean
// has the same bias at all nodes, which together would send a cold executor several times its budget. Where the
// load of all nodes at the executor is known, that limits the sends, and the mean is accurate enough.
func (d *Dispatcher) slowStartCostScale() float64 {
	if d.peerLoadsKnown() {
		return 1
	}
	return max(1, d.estimatedSlotTime()/max(d.serviceTimes.meanSlotTime, 1))
}

// slowStartSafetyFactor returns the fraction of a budget that is used. It is larger while an aggregator reports the
// load of all nodes: the executor's current capacity then limits the sends, and only nodes that send at the same
// moment can exceed it.
func (d *Dispatcher) slowStartSafetyFactor() float64 {
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() {
		return slowStartAggregatorSafety
	}
	return slowStartSafety
}
