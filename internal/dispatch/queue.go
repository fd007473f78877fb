package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// preemptionGain times an arrival's value is the value below which a queued job may be preempted by the arrival.
const preemptionGain = 0.7

// Offsets of a job's rank in the queue, in ms. They exceed any time of the node's clock, so that the groups do not
// mix.
const (
	borrowedRankOffset = 1e9 // jobs that borrow slots, exceed their quota or are hedged
	lateRankOffset     = 2e9 // jobs that can no longer meet their objective
)

// preempt rejects one queued job in favour of an arrival and reports whether there was one: a job that borrows slots
// or is of the same tenant, and that misses its objective or has a lower value. Jobs that may have run are not
// preempted, and an arrival that would itself miss its objective preempts none.
func (d *Dispatcher) preempt(arrival *job) bool {
	speed := d.serviceTimes.meanSpeed()
	if d.now+arrival.work/speed > arrival.objectiveAt {
		return false
	}
	for _, queued := range slices.Backward(d.jobs.queue) {
		started := queued.done || queued.inFlight > 0 || queued.mayHaveRun
		if started || !queued.borrowed && queued.tenant != arrival.tenant {
			continue
		}
		if queued.value < preemptionGain*arrival.value || d.now+queued.work/speed > queued.objectiveAt {
			d.endJob(queued, causePreempted)
			return true
		}
	}
	return false
}

// enqueue adds a job to the queue of jobs that wait for an executor.
func (d *Dispatcher) enqueue(job *job) {
	if !job.queued {
		job.queued = true
		d.jobs.queue = append(d.jobs.queue, job)
	}
	d.needsPlacement = true
}

// dispatchQueue sends queued jobs to executors with free slots, in the order of their ranks.
func (d *Dispatcher) dispatchQueue() {
	d.needsPlacement = false
	d.rankQueue()
	if len(d.jobs.queue) == 0 {
		return
	}
	d.placement.beginRound()
	remaining := d.jobs.queue[:0]
	for _, job := range d.jobs.queue {
		if !d.dispatch(job) {
			remaining = append(remaining, job)
		}
	}
	d.jobs.queue = remaining
}

// rankQueue removes the jobs that no longer wait from the queue and sorts the others by rank.
func (d *Dispatcher) rankQueue() {
	waiting := d.jobs.queue[:0]
	speed := d.serviceTimes.meanSpeed()
	for _, job := range d.jobs.queue {
		if len(job.attempts) > 0 {
			d.endIfExhausted(job)
		}
		if job.done || !job.queued {
			job.queued = false
			d.jobs.release(job)
			continue
		}
		job.rank = d.rankOf(job, speed)
		waiting = append(waiting, job)
	}
	d.jobs.queue = waiting
	slices.SortStableFunc(waiting, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
}

// rankOf returns a job's rank in the queue: the latest start by which it can meet its objective, plus the offset of
// its group. Jobs within a reserved share come first, then those that borrow slots, exceed their quota or are hedged,
// then those that can no longer meet their objective. The rank is infinite while a job waits for results of health
// checks.
func (d *Dispatcher) rankOf(job *job, speed float64) float64 {
	if d.now < job.holdUntil && d.healthChecks.inFlight > 0 {
		return math.Inf(1)
	}
	latestStart := job.objectiveAt - job.work/speed
	switch {
	case latestStart < d.now:
		return latestStart + lateRankOffset
	case job.borrowed || job.overQuota || job.inFlight > 0:
		return latestStart + borrowedRankOffset
	}
	return latestStart
}

// dispatch sends a job to an executor and reports whether one could take it.
func (d *Dispatcher) dispatch(job *job) bool {
	if math.IsInf(job.rank, 1) {
		return false
	}
	executor := d.chooseExecutor(job)
	if executor == nil {
		executor = d.chooseSpeculatively(job)
	}
	if executor == nil {
		return false
	}
	d.sendAttempt(job, executor)
	executor.load.available = d.availableSlots(executor)
	job.queued = false
	return true
}
