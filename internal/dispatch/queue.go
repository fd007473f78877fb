package dispatch

import (
	"cmp"
	"math"
	"slices"
)

const (
	preemptionGain = 0.7 // how much less, of an arrival's worth a slot, a waiting job must be worth to go
)

// evict refuses a waiting job, of the same tenant or a borrower, that is past its aim or worth less.
func (d *Dispatcher) preempt(job *job) bool {
	speed := d.meanSpeed()
	if d.now+job.work/speed > job.objectiveAt {
		return false
	}
	for _, k := range slices.Backward(d.jobs.queue) {
		if k.done || k.inFlight > 0 || k.mayHaveRun || !(k.borrowed || k.tenant == job.tenant) {
			continue
		}
		if k.value < preemptionGain*job.value || d.now+k.work/speed > k.objectiveAt {
			d.endJob(k, causePreempted)
			return true
		}
	}
	return false
}

func (d *Dispatcher) enqueue(job *job) {
	if !job.queued {
		job.queued = true
		d.jobs.queue = append(d.jobs.queue, job)
	}
	d.needsPlacement = true
}

// place sends waiting jobs to workers with room: those within a reservation, then those that borrow, then
// those too late for their aim; among equals, the one that must start soonest.
func (d *Dispatcher) dispatchQueue() {
	d.needsPlacement = false
	keep := d.jobs.queue[:0]
	speed := d.meanSpeed()
	for _, job := range d.jobs.queue {
		if len(job.attempts) > 0 {
			d.endIfExhausted(job)
		}
		if job.done || !job.queued {
			job.queued = false
			d.releaseJob(job)
			continue
		}
		start := job.objectiveAt - job.work/speed
		job.rank = start
		if d.now < job.holdUntil && d.healthChecks.inFlight > 0 {
			job.rank = math.Inf(1)
		}
		if start < d.now {
			job.rank += 2e9
		} else if job.borrowed || job.overQuota || job.inFlight > 0 {
			job.rank += 1e9
		}
		keep = append(keep, job)
	}
	d.jobs.queue = keep
	if len(keep) == 0 {
		return
	}
	slices.SortStableFunc(keep, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	d.placement.eligible, d.placement.inspected, d.placement.inspectedAll, d.placement.round = d.placement.eligible[:0], d.placement.inspected[:0], false, d.placement.round+1
	left := keep[:0]
	for _, job := range keep {
		if math.IsInf(job.rank, 1) { // until its probes are back
			left = append(left, job)
			continue
		}
		executor := d.chooseExecutor(job)
		if executor == nil {
			executor = d.speculate(job)
		}
		if executor != nil {
			d.sendAttempt(job, executor)
			executor.load.available = d.availableSlots(executor)
			job.queued = false
			continue
		}
		left = append(left, job)
	}
	d.jobs.queue = left
}
