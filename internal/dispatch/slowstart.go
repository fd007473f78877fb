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
func (d *Dispatcher) noteStart(w *worker, listed float64) {
	if listed == w.born {
		return
	}
	w.born = listed
	w.startedAt = d.estimateStart(listed)
	w.coldUntil = w.startedAt + d.s.WarmWithin
	if w.startedAt > 0 && d.confirmedAt > 0 {
		// The list's clock may be off by less than would show. A budget that ends too early lets all nodes send at once what waits
		// for it, so that it ends as if the process had started when this node was notified.
		w.coldUntil = d.now + d.s.WarmWithin
	}
	w.coldOpened = false
}

// estimateStart gives the time on our clock of a start that has just been notified, 0 for one that was long ago.
func (d *Dispatcher) estimateStart(listed float64) float64 {
	switch {
	case listed <= 0:
		return 0
	case d.confirmedAt == 0:
		return d.estimateFirstStart(listed)
	case listed > d.now:
		return d.now
	case listed >= d.confirmedAt:
		return listed
	case d.now-listed <= d.s.Fall:
		// The notification of the start took a little longer than that of another change.
		return d.confirmedAt
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
	return d.now - (max(d.newestStart, listed) - listed)
}

// rememberStart keeps the start of an executor that is about to be forgotten.
func (d *Dispatcher) rememberStart(w *worker) {
	if w.born <= 0 {
		return
	}
	if len(d.removed) >= removedStartsBeforePurge {
		maps.DeleteFunc(d.removed, func(_ uint32, s knownStart) bool { return d.now-s.removedAt > removedStartTTL })
	}
	d.removed[w.id] = knownStart{listed: w.born, startedAt: w.startedAt, coldUntil: w.coldUntil, removedAt: d.now}
}

// recallStart gives an executor that comes back to the list the start that it had when it left.
func (d *Dispatcher) recallStart(w *worker) {
	if s, ok := d.removed[w.id]; ok {
		w.born, w.startedAt, w.coldUntil = s.listed, s.startedAt, s.coldUntil
		delete(d.removed, w.id)
	}
}

// coldShare is the least part of its capacity that an executor has by now.
func (d *Dispatcher) coldShare(w *worker) float64 {
	if w.startedAt <= 0 || d.s.WarmWithin <= 0 || d.now-w.startedAt >= d.s.WarmWithin {
		return 1
	}
	return min(1, d.s.ColdFrom+(1-d.s.ColdFrom)*max(0, d.now-w.startedAt)/d.s.WarmWithin)
}

// coldOpen says whether our part of a cold executor's budget lets a job of ours go there. One of many nodes has
// less than a job of it, and pays it off after one, from a random debt at first: all send the sum together.
func (d *Dispatcher) coldOpen(w *worker, more float64) bool {
	if w.startedAt <= 0 || d.now >= w.coldUntil {
		return true
	}
	share := d.coldShare(w)
	if !w.coldOpened {
		d.openColdBudget(w)
	}
	part := min(d.ourPart(), coldPart/float64(d.s.Balancers))
	rate := d.safety() * part * d.s.FallMultiple * share * max(1, w.slots, d.kinds[w.kind].slots)
	most := rate * d.s.Fall * coldBurst
	if w.coldCredit += rate * (d.now - w.coldAt); w.coldCredit > most {
		w.coldCredit = min(most, w.coldCredit-max(0, d.held-most)) // else all keep a turn, and use it at once
	}
	w.coldAt = d.now
	return w.coldCredit > min(more, coldKnown*most)
}

// openColdBudget begins the budget of a process that has just been notified. Requests sent between its start and our
// notification of it count against the budget, because the executor has already received them.
func (d *Dispatcher) openColdBudget(w *worker) {
	sentFrom := w.startedAt
	if w.born <= d.now && d.now-w.born <= d.s.Fall {
		sentFrom = min(sentFrom, w.born) // the list's clock tells of a start a moment ago, which is believed here
	}
	w.coldOpened = true
	w.coldAt = max(w.startedAt, d.now-coldBurst*d.s.Fall)
	w.coldCredit = -d.random()*d.held - d.sentSince(w, sentFrom)
}
