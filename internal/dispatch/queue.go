package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// preemptionGain is how much less than an arrival's a queued job's weight for each slot and time must be for the
// arrival to take its place, as a factor.
const preemptionGain = 0.7

// What is added to a job's rank in the queue, in ms: more than any time of day, so that the groups do not mix.
const (
	borrowedRankOffset = 1e9 // jobs on borrowed slots, beyond their quota, or hedged
	lateRankOffset     = 2e9 // jobs that are too late for their objective
)

// preempt rejects a queued job, of the same tenant or on borrowed slots, that is past its objective or worth less
// than an arrival. It says whether there was one.
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

// enqueue puts a job into the queue of those that wait for an executor.
func (d *Dispatcher) enqueue(job *job) {
	if !job.queued {
		job.queued = true
		d.jobs.queue = append(d.jobs.queue, job)
	}
	d.needsPlacement = true
}

// dispatchQueue sends queued jobs to executors with free slots: those within a reserved share, then those on borrowed
// slots, then those too late for their objective; among equals, the one that must start soonest.
func (d *Dispatcher) dispatchQueue() {
	d.needsPlacement = false
	d.rankQueue()
	if len(d.jobs.queue) == 0 {
		return
	}
	d.placement.beginRound()
	left := d.jobs.queue[:0]
	for _, job := range d.jobs.queue {
		if !d.dispatch(job) {
			left = append(left, job)
		}
	}
	d.jobs.queue = left
}

// rankQueue drops the jobs that no longer wait, and orders the others.
func (d *Dispatcher) rankQueue() {
	kept := d.jobs.queue[:0]
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
		kept = append(kept, job)
	}
	d.jobs.queue = kept
	slices.SortStableFunc(kept, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
}

// rankOf is when a job must start at the latest, behind all of the groups before its own; infinite while it waits for
// answers to its health checks.
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

// dispatch sends a job to an executor, if there is one for it.
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
