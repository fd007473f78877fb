package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// This file holds slow start: how old an executor's process is by our own clock, and how much it may be sent while it
// warms up.
//
// The start of a process comes with the list, on the wall clock of the machine that keeps the list. That clock, or
// ours, may be wrong by hours or be stepped at any moment. A start is therefore compared with the last one for
// equality only, to tell one process from the next, and is turned into a time of our own monotonic clock once, when
// it is notified. A start that appears in a change of a confirmed list mostly happened after that list was confirmed
// and before now. Discovery lists some executors late, and changes of others confirm the list in between: such a start
// is believed as far as the delays of earlier ones bear it out (listclock.go), and otherwise taken to be now.

const (
	// slowStartSafety is the part of a budget that is used: heavy tails need the rest.
	slowStartSafety = 0.6

	// slowStartKnownSafety is likewise, while an aggregator tells what all nodes hold: then the free slots bound what is
	// sent.
	slowStartKnownSafety = 0.8

	// maxSlowStartPart is how many even parts a node has at most. It is under 1/slowStartSafety; all at once would
	// outgrow it.
	maxSlowStartPart = 1.6

	// slowStartBurst is the part of a budget's span that may be saved up. More fills sooner, and overloads.
	slowStartBurst = 0.5

	// removedStartTTL is how long, in ms, the start of an executor that left the list is remembered. An executor that
	// comes back within this time with the same start was not restarted, and does not warm up anew.
	removedStartTTL = 600000

	// removedStartsBeforePurge is the number of remembered starts from which on expired ones are looked for.
	removedStartsBeforePurge = 256
)

// slowStartBudget is an executor's start and this node's part of what it may be sent while it warms up.
type slowStartBudget struct {
	listedStart float64 // as the list tells it, on another machine's clock: it tells one process from another
	startedAt   float64 // by this node's clock, as estimated when it was notified; 0 for long ago
	until       float64 // the end of the budget
	opened      bool    // the budget was opened for the process that runs now
	credit      float64 // slot-time, in ms on a warm executor, that may be sent as of creditAt
	creditAt    float64
}

// slowStartTracker holds what was observed of starts of executors.
type slowStartTracker struct {
	*environment

	listClock         listClock
	confirmedAt       float64               // when discovery last confirmed a list that holds executors, 0 for never
	newestListedStart float64               // of the list at hand, on the list's clock
	removed           map[uint32]knownStart // of executors that left the list a short while ago
	warming           []*executor           // those of the list that warm up, by id; see warmingUp
}

// knownStart is the start of an executor that left the list.
type knownStart struct {
	listed    float64 // as the list told it
	startedAt float64 // by our clock
	until     float64
	removedAt float64
}

// noteRows takes in the rows of a list that is about to be applied.
func (s *slowStartTracker) noteRows(rows []EndpointUpdate) {
	if s.confirmedAt == 0 {
		s.newestListedStart = newestStart(rows)
	}
}

// newestStart gives the latest start of a list, on the list's clock.
func newestStart(rows []EndpointUpdate) float64 {
	newest := 0.0
	for i := range rows {
		newest = max(newest, rows[i].StartedAt)
	}
	return newest
}

// noteStart takes in the start that the list tells of an executor. One that is known already keeps its estimated time.
// A new process started after its predecessor was last heard of.
func (s *slowStartTracker) noteStart(executor *executor, listed, predecessorHeard float64) {
	if listed == executor.slowStart.listedStart {
		return
	}
	start := &executor.slowStart
	start.listedStart, start.startedAt, start.opened = listed, s.estimateStart(listed), false
	start.until = start.startedAt + s.settings.MaxSlowStartDuration
	if start.startedAt <= 0 || s.confirmedAt == 0 {
		return
	}
	// The list's clock may be off by less than would show. A budget that ends too early lets all nodes send at once
	// what waits for it, so that it ends as if the process had the least age that earlier starts bear out.
	age := s.listClock.observe(s.now, listed, s.toleratedAgeError(), s.settings.MaxSlowStartDuration)
	if age.known {
		start.startedAt = min(start.startedAt, max(s.now-age.likely, predecessorHeard))
	}
	start.until = max(s.now-age.least, predecessorHeard) + s.settings.MaxSlowStartDuration
}

// toleratedAgeError is the error of an executor's age that makes its coldest budget no larger than it would be without
// the part of slowStartSafety that is left out.
func (s *slowStartTracker) toleratedAgeError() float64 {
	from := s.settings.SlowStartMinShare
	if from >= 1 {
		return 0
	}
	return s.settings.MaxSlowStartDuration * from / (1 - from) * (1/slowStartSafety - 1)
}

// estimateStart gives the time on our clock of a start that has just been notified, 0 for one that was long ago.
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
		// The notification of the start took a little longer than that of another change.
		return s.confirmedAt
	}
	// The clocks differ. The process may have started at any time since the last confirmed list; the latest is the safe
	// one.
	return s.now
}

// estimateFirstStart is estimateStart for the first lists of a node, which has observed nothing yet: the clocks are
// believed, but for a start in the future. Then the latest start of the list is taken to be now, and the others that
// lie in the future as much earlier as the list's own clock says, so that a wrong clock does not make executors cold
// that have run for long.
func (s *slowStartTracker) estimateFirstStart(listed float64) float64 {
	if listed <= s.now {
		return listed
	}
	return s.now - (max(s.newestListedStart, listed) - listed)
}

// track keeps an executor whose row has changed among those that warm up, if it does.
func (s *slowStartTracker) track(changed *executor) {
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

// warmingUp gives the executors of the list that warm up, by id.
func (s *slowStartTracker) warmingUp() []*executor {
	s.warming = slices.DeleteFunc(s.warming, func(executor *executor) bool {
		return executor.endpoint.condition == Removed || s.capacityFraction(executor) >= 1
	})
	return s.warming
}

// rememberStart keeps the start of an executor that is about to be forgotten.
func (s *slowStartTracker) rememberStart(executor *executor) {
	start := &executor.slowStart
	if start.listedStart <= 0 {
		return
	}
	if len(s.removed) >= removedStartsBeforePurge {
		maps.DeleteFunc(s.removed, func(_ uint32, known knownStart) bool { return s.now-known.removedAt > removedStartTTL })
	}
	s.removed[executor.id] = knownStart{
		listed: start.listedStart, startedAt: start.startedAt, until: start.until, removedAt: s.now,
	}
}

// recallStart gives an executor that comes back to the list the start that it had when it left.
func (s *slowStartTracker) recallStart(executor *executor) {
	known, ok := s.removed[executor.id]
	if !ok {
		return
	}
	start := &executor.slowStart
	start.listedStart, start.startedAt, start.until = known.listed, known.startedAt, known.until
	delete(s.removed, executor.id)
}

// capacityFraction is the least part of its capacity that an executor has by now.
func (s *slowStartTracker) capacityFraction(executor *executor) float64 {
	startedAt, warmsWithin := executor.slowStart.startedAt, s.settings.MaxSlowStartDuration
	if startedAt <= 0 || warmsWithin <= 0 || s.now-startedAt >= warmsWithin {
		return 1
	}
	return min(1, s.settings.SlowStartMinShare+(1-s.settings.SlowStartMinShare)*max(0, s.now-startedAt)/warmsWithin)
}

// slowStartAllows says whether our part of the budget of an executor that warms up lets a job of ours go there, with
// further work beside that of one slot. One of many nodes has less than a job of it, and pays a job off afterwards,
// from a random debt at first: all nodes send the sum together.
func (d *Dispatcher) slowStartAllows(executor *executor, furtherWork float64) bool {
	budget := &executor.slowStart
	if budget.startedAt <= 0 || d.now >= budget.until {
		return true
	}
	share := d.slowStart.capacityFraction(executor)
	if !budget.opened {
		d.openSlowStartBudget(executor)
	}
	part := min(d.fleetShare(), maxSlowStartPart/float64(d.settings.Nodes))
	slots := max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	rate := d.slowStartSafetyFactor() * part * d.settings.OverloadMultiple * share * slots
	maxCredit := rate * d.settings.OverloadWindow * slowStartBurst
	budget.accrue(d.now, rate, maxCredit, d.serviceTimes.meanSlotTime*d.slowStartCostScale())
	return budget.credit > min(furtherWork, slowStartKnownSafety*maxCredit)
}

// accrue adds what has come to a budget since its last use. Credit over the most that may be saved up is lost, with
// what a job more than that costs: all nodes would otherwise save up a job, and send it at once.
func (b *slowStartBudget) accrue(now, rate, maxCredit, turnCost float64) {
	b.credit += rate * (now - b.creditAt)
	if b.credit > maxCredit {
		b.credit = min(maxCredit, b.credit-max(0, turnCost-maxCredit))
	}
	b.creditAt = now
}

// openSlowStartBudget begins the budget of a process that has just been notified. Requests sent between its start and
// our notification of it count against the budget, because the executor has already received them.
func (d *Dispatcher) openSlowStartBudget(executor *executor) {
	budget := &executor.slowStart
	sentFrom := budget.startedAt
	if budget.listedStart <= d.now && d.now-budget.listedStart <= d.settings.OverloadWindow {
		sentFrom = min(sentFrom, budget.listedStart) // the list's clock tells of a start a moment ago, which is believed here
	}
	budget.opened = true
	budget.creditAt = max(budget.startedAt, d.now-slowStartBurst*d.settings.OverloadWindow)
	budget.credit = -d.random()*d.serviceTimes.meanSlotTime*d.slowStartCostScale() - d.workSentSince(executor, sentFrom)
	d.logf("slow start opened executor=%d age_ms=%.0f listed_age_ms=%.0f ended_mean_ms=%.0f estimated_mean_ms=%.0f",
		executor.id, d.now-budget.startedAt, d.now-budget.listedStart, d.serviceTimes.meanSlotTime, d.estimatedSlotTime())
}

// chargeSlowStart charges the budget of an executor that warms up for a job that goes there.
func (d *Dispatcher) chargeSlowStart(job *job, executor *executor) {
	budget := &executor.slowStart
	if budget.startedAt > 0 && d.now < budget.until {
		budget.credit -= job.slots * job.work / d.serviceTimes.kindSpeed(executor.endpoint.kind) * d.slowStartCostScale()
	}
}

// slowStartCostScale is by how much requests take longer than the mean of those that have ended. All nodes err alike
// with that mean, and would send a cold executor several times its budget. Where it is known what all nodes have in
// flight at the executor, that bounds what it gets, and the mean will do.
func (d *Dispatcher) slowStartCostScale() float64 {
	if d.peerLoadsKnown() {
		return 1
	}
	return max(1, d.estimatedSlotTime()/max(d.serviceTimes.meanSlotTime, 1))
}

// slowStartSafetyFactor is the part of a budget that is used: more while an aggregator tells what all nodes hold
// there, because then no more is sent than the executor can do by then, and what is over is sent by nodes that ask at
// the same moment alone.
func (d *Dispatcher) slowStartSafetyFactor() float64 {
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() {
		return slowStartKnownSafety
	}
	return slowStartSafety
}
