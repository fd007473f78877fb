package dispatch

import "math"

// This file estimates the mean slot-time of a request without waiting for long requests to end.
//
// The short requests of a node end first. The mean over the requests that have ended is therefore too low, and
// stays so for long at a node with little traffic: the attempts that are still running are right-censored
// observations. The estimate is the slot-time of all attempts, including those in flight, divided by the number of
// attempts that were served. This is the maximum-likelihood mean of exponential run times under censoring. Both
// sums decay with time, not with the number of runs, so that many attempts in flight do not outweigh the few that
// have ended.

const (
	// slotTimeWindowMs is the time constant of the decay of observed slot-time and runs.
	slotTimeWindowMs = 60000

	// slotTimePriorRuns is the weight of the prior, in runs.
	slotTimePriorRuns = 6
)

// slotTimeEstimate holds the total slot-time of this node's attempts and the number of those that were served.
type slotTimeEstimate struct {
	runningAttempts int
	runningSlots    float64 // of the attempts whose run is observed now
	slotTime        float64 // in ms, as of updatedAt
	servedRuns      float64 // as of updatedAt
	updatedAt       float64
}

// advance decays the sums to the current time and adds the slot-time of the running attempts.
func (e *slotTimeEstimate) advance(now float64) {
	elapsed := now - e.updatedAt
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / slotTimeWindowMs)
	e.slotTime = e.slotTime*decay + e.runningSlots*slotTimeWindowMs*(1-decay)
	e.servedRuns *= decay
	e.updatedAt = now
}

// begin records that an attempt has begun to run.
func (e *slotTimeEstimate) begin(now, slots float64) {
	e.advance(now)
	e.runningAttempts++
	e.runningSlots += slots
}

// end records that an attempt is no longer observed. An attempt that was not served is censored: its run time
// counts, its end does not.
func (e *slotTimeEstimate) end(now, slots float64, served bool) {
	e.advance(now)
	e.runningAttempts--
	e.runningSlots -= slots
	if e.runningAttempts == 0 {
		e.runningSlots = 0 // removes the accumulated rounding error of fractional slots
	}
	if served {
		e.servedRuns++
	}
}

// mean returns the estimate, weighted towards a prior while few runs have ended.
func (e *slotTimeEstimate) mean(now, prior float64) float64 {
	e.advance(now)
	return (slotTimePriorRuns*prior + e.slotTime) / (slotTimePriorRuns + e.servedRuns)
}

// observeRun begins to observe an attempt's run, unless it is already observed or the executor is warming up.
func (d *Dispatcher) observeRun(job *job, attempt *attempt) {
	if attempt.runObserved || d.slowStart.capacityFraction(attempt.executor) < 1 {
		return
	}
	attempt.runObserved = true
	d.serviceTimes.slotTime.begin(d.now, job.slots)
}

// endObservedRun ends the observation of an attempt's run, if there is one.
func (d *Dispatcher) endObservedRun(job *job, attempt *attempt, served bool) {
	if !attempt.runObserved {
		return
	}
	attempt.runObserved = false
	d.serviceTimes.slotTime.end(d.now, job.slots, served)
}

// estimatedSlotTime returns the mean slot-time of a request for slow start. The slots of all executors serve about
// as many requests as the quotas of all tenants allow, which gives a node a prior before any request has ended.
func (d *Dispatcher) estimatedSlotTime() float64 {
	prior := d.serviceTimes.meanSlotTime
	if d.admission.totalQuota > 0 {
		// A run does not outlast its client's deadline, which bounds the prior where the quotas are far below the
		// capacity of the executors.
		quotaBound := min(1000*d.countFleetSlots()/d.admission.totalQuota, d.serviceTimes.meanDeadline())
		prior = max(prior, quotaBound)
	}
	return d.serviceTimes.slotTime.mean(d.now, prior)
}
