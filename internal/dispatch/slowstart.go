package dispatch

import "maps"

// This file holds slow start: how old an executor's process is by our own clock, and how much it may be sent while it warms up.
//
// The start of a process comes with the list, on the wall clock of the machine that keeps the list. That clock, or ours, may be
// wrong by hours or be stepped at any moment. A start is therefore compared with the last one for equality only, to tell one
// process from the next, and is turned into a time of our own monotonic clock once, when it is notified. A start that appears
// in a change of a confirmed list happened after that list was confirmed and before now; a time outside of these bounds is not
// believed.

// removedStartTTL is how long, in ms, the start of an executor that left the list is remembered. An executor that comes back
// within this time with the same start was not restarted, and does not warm up anew.
const removedStartTTL = 600000

// removedStartsBeforePurge is the number of remembered starts from which on expired ones are looked for.
const removedStartsBeforePurge = 256

// knownStart is the start of an executor that left the list.
type knownStart struct {
	listed    float64 // as the list told it
	startedAt float64 // by our clock
	coldUntil float64
	removedAt float64
}

// newestStart gives the latest start of a list, on the list's clock.
func newestStart(rows []Row) float64 {
	newest := 0.0
	for i := range rows {
		newest = max(newest, rows[i].Born)
	}
	return newest
}

// noteStart takes in the start that the list tells of an executor. One that is known already keeps its estimated time.
func (d *Dispatcher) noteStart(executor *executor, listed float64) {
	if listed == executor.slowStart.listedStart {
		return
	}
	executor.slowStart.listedStart = listed
	executor.slowStart.startedAt = d.estimateStart(listed)
	executor.slowStart.until = executor.slowStart.startedAt + d.settings.WarmWithin
	if executor.slowStart.startedAt > 0 && d.slowStart.confirmedAt > 0 {
		// The list's clock may be off by less than would show. A budget that ends too early lets all nodes send at once what waits
		// for it, so that it ends as if the process had started when this node was notified.
		executor.slowStart.until = d.now + d.settings.WarmWithin
	}
	executor.slowStart.opened = false
}

// estimateStart gives the time on our clock of a start that has just been notified, 0 for one that was long ago.
func (d *Dispatcher) estimateStart(listed float64) float64 {
	switch {
	case listed <= 0:
		return 0
	case d.slowStart.confirmedAt == 0:
		return d.estimateFirstStart(listed)
	case listed > d.now:
		return d.now
	case listed >= d.slowStart.confirmedAt:
		return listed
	case d.now-listed <= d.settings.Fall:
		// The notification of the start took a little longer than that of another change.
		return d.slowStart.confirmedAt
	}
	// The clocks differ. The process may have started at any time since the last confirmed list; the latest is the safe one.
	return d.now
}

// estimateFirstStart is estimateStart for the first lists of a node, which has observed nothing yet: the clocks are believed,
// but for a start in the future. Then the latest start of the list is taken to be now, and the others that lie in the future as
// much earlier as the list's own clock says, so that a wrong clock does not make executors cold that have run for long.
func (d *Dispatcher) estimateFirstStart(listed float64) float64 {
	if listed <= d.now {
		return listed
	}
	return d.now - (max(d.slowStart.newestListedStart, listed) - listed)
}

// rememberStart keeps the start of an executor that is about to be forgotten.
func (d *Dispatcher) rememberStart(executor *executor) {
	if executor.slowStart.listedStart <= 0 {
		return
	}
	if len(d.slowStart.removed) >= removedStartsBeforePurge {
		maps.DeleteFunc(d.slowStart.removed, func(_ uint32, s knownStart) bool { return d.now-s.removedAt > removedStartTTL })
	}
	d.slowStart.removed[executor.id] = knownStart{listed: executor.slowStart.listedStart, startedAt: executor.slowStart.startedAt, coldUntil: executor.slowStart.until, removedAt: d.now}
}

// recallStart gives an executor that comes back to the list the start that it had when it left.
func (d *Dispatcher) recallStart(executor *executor) {
	if s, ok := d.slowStart.removed[executor.id]; ok {
		executor.slowStart.listedStart, executor.slowStart.startedAt, executor.slowStart.until = s.listed, s.startedAt, s.coldUntil
		delete(d.slowStart.removed, executor.id)
	}
}

// coldShare is the least part of its capacity that an executor has by now.
func (d *Dispatcher) slowStartShare(executor *executor) float64 {
	if executor.slowStart.startedAt <= 0 || d.settings.WarmWithin <= 0 || d.now-executor.slowStart.startedAt >= d.settings.WarmWithin {
		return 1
	}
	return min(1, d.settings.ColdFrom+(1-d.settings.ColdFrom)*max(0, d.now-executor.slowStart.startedAt)/d.settings.WarmWithin)
}

// coldOpen says whether our part of a cold executor's budget lets a job of ours go there. One of many nodes has
// less than a job of it, and pays it off after one, from a random debt at first: all send the sum together.
func (d *Dispatcher) slowStartAllows(executor *executor, more float64) bool {
	if executor.slowStart.startedAt <= 0 || d.now >= executor.slowStart.until {
		return true
	}
	share := d.slowStartShare(executor)
	if !executor.slowStart.opened {
		d.openSlowStartBudget(executor)
	}
	part := min(d.fleetShare(), maxSlowStartPart/float64(d.settings.Balancers))
	rate := d.slowStartSafetyFactor() * part * d.settings.FallMultiple * share * max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	most := rate * d.settings.Fall * slowStartBurst
	if executor.slowStart.credit += rate * (d.now - executor.slowStart.creditAt); executor.slowStart.credit > most {
		executor.slowStart.credit = min(most, executor.slowStart.credit-max(0, d.serviceTimes.meanSlotTime-most)) // else all keep a turn, and use it at once
	}
	executor.slowStart.creditAt = d.now
	return executor.slowStart.credit > min(more, slowStartKnownSafety*most)
}

// openColdBudget begins the budget of a process that has just been notified. Requests sent between its start and our
// notification of it count against the budget, because the executor has already received them.
func (d *Dispatcher) openSlowStartBudget(executor *executor) {
	sentFrom := executor.slowStart.startedAt
	if executor.slowStart.listedStart <= d.now && d.now-executor.slowStart.listedStart <= d.settings.Fall {
		sentFrom = min(sentFrom, executor.slowStart.listedStart) // the list's clock tells of a start a moment ago, which is believed here
	}
	executor.slowStart.opened = true
	executor.slowStart.creditAt = max(executor.slowStart.startedAt, d.now-slowStartBurst*d.settings.Fall)
	executor.slowStart.credit = -d.random()*d.serviceTimes.meanSlotTime - d.workSentSince(executor, sentFrom)
}

const (
	slowStartSafety      = 0.6 // part of a cold worker's budget that is used: heavy tails need the rest
	slowStartKnownSafety = 0.8 // likewise while the hub tells what all nodes have there: room bounds what is sent
	maxSlowStartPart     = 1.6 // even parts a node has at most, under 1/coldSafety: else all at once outgrow it
	slowStartBurst       = 0.5 // of its span, what may be saved up: more fills sooner, and pushes over
)

// safety is the part of a cold worker's budget that is used: more while the hub tells what all have there, for then no
// more is sent than it can do by then, and what is over is sent by nodes that ask at the same moment alone.
func (d *Dispatcher) slowStartSafetyFactor() float64 {
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() {
		return slowStartKnownSafety
	}
	return slowStartSafety
}

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
	confirmedAt       float64               // when discovery last confirmed a list that holds executors, 0 for never
	newestListedStart float64               // of the list at hand, on the list's clock
	removed           map[uint32]knownStart // of executors that left the list a short while ago
}
