package dispatch

import "math"

// This file estimates the mean slot-time of a request without waiting for long requests to end.
//
// The short ones of a node's requests end first. A mean of those that have ended is therefore too short, and stays so
// for long at a node with little traffic: the attempts that still run are right-censored observations. The estimate is
// the slot-time that all attempts have run, those in flight included, over the number of those that were served, which
// is the maximum-likelihood mean of exponential run times under censoring. Both sums fade by time, not by the number of
// runs, so that many attempts in flight do not outweigh the few that have ended.

const (
	// slotTimeWindowMs is the time constant by which observed slot-time and runs fade.
	slotTimeWindowMs = 60000

	// slotTimePriorRuns is how many runs the prior counts for.
	slotTimePriorRuns = 6
)

// slotTimeEstimate holds the slot-time that this node's attempts have run, and how many were served.
type slotTimeEstimate struct {
	runningAttempts int
	runningSlots    float64 // of the attempts whose run is observed now
	slotTime        float64 // in ms, as of updatedAt
	servedRuns      float64 // likewise
	updatedAt       float64
}

// advance brings the sums to a time.
func (e *slotTimeEstimate) advance(now float64) {
	elapsed := now - e.updatedAt
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed / slotTimeWindowMs)
	e.slotTime = e.slotTime*keep + e.runningSlots*slotTimeWindowMs*(1-keep)
	e.servedRuns *= keep
	e.updatedAt = now
}

// begin takes in that an attempt has begun to run.
func (e *slotTimeEstimate) begin(now, slots float64) {
	e.advance(now)
	e.runningAttempts++
	e.runningSlots += slots
}

// end takes in that an attempt is no longer observed. One that was not served was censored: its run counts, its end
// does not.
func (e *slotTimeEstimate) end(now, slots float64, served bool) {
	e.advance(now)
	e.runningAttempts--
	e.runningSlots -= slots
	if e.runningAttempts == 0 {
		e.runningSlots = 0 // the sum of odd numbers of slots may be off by their rounding
	}
	if served {
		e.servedRuns++
	}
}

// mean is the estimate, drawn to a prior while few runs have ended.
func (e *slotTimeEstimate) mean(now, prior float64) float64 {
	e.advance(now)
	return (slotTimePriorRuns*prior + e.slotTime) / (slotTimePriorRuns + e.servedRuns)
}

// observeRun begins to observe an attempt's run, if it is known when the run begins and if the executor has all of its
// capacity.
func (d *Dispatcher) observeRun(job *job, attempt *attempt) {
	if attempt.runObserved || d.slowStart.capacityFraction(attempt.executor) < 1 {
		return
	}
	attempt.runObserved = true
	d.serviceTimes.slotTime.begin(d.now, job.slots)
}

// endObservedRun ends what observeRun began, if it did.
func (d *Dispatcher) endObservedRun(job *job, attempt *attempt, served bool) {
	if !attempt.runObserved {
		return
	}
	attempt.runObserved = false
	d.serviceTimes.slotTime.end(d.now, job.slots, served)
}

// estimatedSlotTime is the mean slot-time of a request as slow start counts it. The slots of all executors bear about
// the requests that the quotas of all tenants allow, which tells a node the slot-time of a request before it has seen
// one end.
func (d *Dispatcher) estimatedSlotTime() float64 {
	prior := d.serviceTimes.meanSlotTime
	if d.admission.totalQuota > 0 {
		// No run outlasts its client: quotas far under what the executors bear do not stretch the prior beyond that.
		byQuotas := min(1000*d.countFleetSlots()/d.admission.totalQuota, d.serviceTimes.meanDeadline())
		prior = max(prior, byQuotas)
	}
	return d.serviceTimes.slotTime.mean(d.now, prior)
}
