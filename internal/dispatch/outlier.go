package dispatch

import (
	"math"
	"slices"
)

const (
	// unresponsiveIntervals is how long an executor may give no sign of life while attempts are in flight there, in
	// intervals of progress notes.
	unresponsiveIntervals = 2.5

	// unnotedIntervalFactor is how many times the mean run of the first class stands for that interval where there are
	// no notes.
	unnotedIntervalFactor = 2

	// queuedGraceFactor is how much longer a job that has not started may be silent, in usual waits for a start. Fewer
	// finds dead executors sooner, and hedges more jobs that only queue.
	queuedGraceFactor = 8

	// errorAverageMemory is the memory of an executor's error average. More ejects later and forgives later.
	errorAverageMemory = 0.8

	// ejectionErrorRate is the error average that ejects: three failures in a row.
	ejectionErrorRate = 0.45

	// panicThreshold is the part of the executors from which on ejections are ignored: so many do not fail by themselves.
	panicThreshold = 0.5

	// baseEjectionFactor is the length of a first ejection, in connect timeouts. It doubles each time.
	baseEjectionFactor = 2

	// maxBackoffDoublings is how often an ejection or a backoff doubles at most.
	maxBackoffDoublings = 5

	// maxRejectionDoublings bounds the backoff from an executor that is full.
	maxRejectionDoublings = 5

	// rejectionBackoffFactor is the mean of the first such backoff, twice, in report intervals.
	rejectionBackoffFactor = 0.25
)

// outlierState is whether an executor works at all, as its attempts show.
type outlierState struct {
	unresponsive    bool    // it gives no sign of life though attempts are in flight
	onProbation     bool    // after an ejection: one job at a time until one is served
	ejectedUntil    float64 // nothing is sent before
	errorAverage    float64 // of resets, between 0 and 1
	lastActiveAt    float64 // last sign of life
	ejections       int     // without a served attempt between
	trialAt         float64 // an unresponsive executor gets one job from then on
	trials          int     // such jobs since it was last heard of
	ackOverdueAt    float64 // when it was last ejected for overdue acknowledgements
	ackOverdueUntil float64 // until then nothing goes there that must not be lost
}

// outlierDetection finds executors that do not work.
type outlierDetection struct {
	busy           []*executor // with attempts of ours in flight
	ejected        []*executor // those that are, or were since the last check
	nextCheck      float64     // in a large fleet
	failingClasses []bool      // by class: it fails at so many executors that they are not to blame
	panicking      bool        // so many are ejected that ejections are ignored
}

func (o *outlierDetection) removeBusy(executor *executor) {
	i := slices.Index(o.busy, executor)
	o.busy = slices.Delete(o.busy, i, i+1)
}

// isUsable says whether new work may go to an executor at all.
func (d *Dispatcher) isUsable(executor *executor) bool {
	if d.isDialBlocked(executor) && !d.hasOpenConnection(executor) {
		return false
	}
	if executor.endpoint.condition != Ready {
		return false
	}
	// An unresponsive executor gets one job now and then. One that was cut off, and holds jobs whose end was lost, would
	// otherwise stay out until the last client's time is over.
	outlier := &executor.outlier
	return d.outliers.panicking || d.now >= outlier.ejectedUntil && (!outlier.unresponsive || d.now >= outlier.trialAt)
}

// observeOutcome draws from an outcome what it says of the executor: its free slots, speed, errors and connections.
func (d *Dispatcher) observeOutcome(job *job, attempt *attempt, o Outcome) {
	executor := attempt.executor
	switch o {
	case Served:
		d.endAttempt(job, attempt)
		d.judgeServed(job, attempt)
	case Errored:
		// Whether it is to blame is a matter of the job's class, see learnClassOutcome.
		d.endAttempt(job, attempt)
		d.recordActivity(executor)
	case Reset:
		d.endAttempt(job, attempt)
		d.judgeReset(executor)
	case Full:
		d.judgeFull(job, executor)
	case ConnectFailed:
		executor.load.freeSlots += job.slots
		d.noteDialFailure(executor)
	case CanceledBeforeSend:
		executor.load.freeSlots += job.slots
	}
}

// endAttempt gives back the slots of an attempt that ran.
func (d *Dispatcher) endAttempt(job *job, attempt *attempt) {
	executor := attempt.executor
	executor.load.freeSlots += job.slots
	executor.inFlight.recordEnded(endedAttempt{attempt.sentAt, d.now, job.slots})
}

func (d *Dispatcher) judgeServed(job *job, attempt *attempt) {
	executor := attempt.executor
	d.recordActivity(executor)
	outlier := &executor.outlier
	outlier.errorAverage *= errorAverageMemory
	executor.load.rejections = 0
	if attempt.sentAt >= outlier.ackOverdueAt { // an earlier attempt shows nothing of what came since
		outlier.ejections, outlier.onProbation, outlier.ackOverdueUntil = 0, false, 0
	}
	d.adaptSoftLimit(job, attempt)
	if attempt.openedConnection {
		executor.connections.dialFailures = 0
	}
	if d.slowStart.capacityFraction(executor) >= 1 {
		d.serviceTimes.learn(job, attempt)
	}
	executor.connections.release(d.now, len(executor.inFlight.jobs), d.settings.MaxConcurrentStreams > 1)
	d.placement.recentlyUsed.add(executor)
}

// adaptSoftLimit learns how many slots of ours an executor takes where there are no reports and no Full outcomes:
// only lateness shows a queue there. The limit is cut once for all attempts that were sent before the cut.
func (d *Dispatcher) adaptSoftLimit(job *job, attempt *attempt) {
	executor := attempt.executor
	load := &executor.load
	late := d.now > job.objectiveAt && attempt.sentAt+job.work/d.serviceTimes.meanSpeed() <= job.objectiveAt
	// A pause of the reports is not their end.
	blind := load.reportedAt == 0 || d.now-load.reportedAt > reportsEndedFactor*d.reportTTL()
	switch {
	case late && blind && attempt.sentAt > load.softLimitCutAt:
		load.softLimit, load.softLimitCutAt = max(1, softLimitBackoff*load.softLimit), d.now
	case !late && executor.inFlight.slots+job.slots >= math.Floor(load.softLimit):
		load.softLimit += job.slots / load.softLimit
	}
}

// judgeFull backs off from an executor that had no free slot for a job.
func (d *Dispatcher) judgeFull(job *job, executor *executor) {
	load := &executor.load
	load.freeSlots = min(load.freeSlots+job.slots, 0)
	load.softLimit = max(1, softLimitBackoff*executor.inFlight.slots)
	load.rejections = min(load.rejections+1, maxRejectionDoublings+1)
	backoff := d.reports.interval * rejectionBackoffFactor * backoffFactor(load.rejections-1, maxRejectionDoublings)
	load.rejectedUntil = d.now + backoff*(0.5+d.random())
}

// judgeReset counts a broken connection, which may have lost a job.
func (d *Dispatcher) judgeReset(executor *executor) {
	d.recordActivity(executor)
	outlier := &executor.outlier
	outlier.errorAverage = outlier.errorAverage*errorAverageMemory + 1 - errorAverageMemory
	if outlier.errorAverage > ejectionErrorRate || outlier.onProbation {
		d.eject(executor, "errors")
	}
}

// eject keeps new work away from an executor for a while, longer each time, and then lets it in one job at a time.
func (d *Dispatcher) eject(executor *executor, reason string) {
	outlier := &executor.outlier
	if d.now < outlier.ejectedUntil {
		return
	}
	base := baseEjectionFactor * max(d.settings.ConnectTimeout, d.settings.MinStepInterval)
	outlier.ejectedUntil = d.now + base*backoffFactor(outlier.ejections, maxBackoffDoublings)*(0.75+0.5*d.random())
	outlier.ejections++
	outlier.onProbation = true
	d.outliers.ejected = append(d.outliers.ejected, executor)
	outlier.errorAverage = min(outlier.errorAverage, ejectionErrorRate)
	d.logf("executor ejected executor=%d reason=%q until=%.0f consecutive_ejections=%d",
		executor.id, reason, outlier.ejectedUntil, outlier.ejections)
}

// detectOutliers finds unresponsive executors, and whether so many are out that ejections are ignored.
func (d *Dispatcher) detectOutliers() {
	d.findFailingClasses()
	d.outliers.ejected = slices.DeleteFunc(d.outliers.ejected, func(executor *executor) bool {
		return d.now >= executor.outlier.ejectedUntil || executor.endpoint.condition != Ready
	})
	out := len(d.outliers.ejected)
	for _, executor := range d.outliers.busy {
		if executor.endpoint.condition != Ready {
			continue
		}
		d.updateResponsiveness(executor)
		// Executors that are all slow together still send progress notes: where there are notes, silence does not come of
		// slowness.
		if executor.outlier.unresponsive && d.settings.ProgressInterval <= 0 && d.now >= executor.outlier.ejectedUntil {
			out++
		}
	}
	panicking := float64(out) > panicThreshold*float64(len(d.endpoints.listed))
	if panicking != d.outliers.panicking {
		d.outliers.panicking = panicking
		d.needsPlacement = true
		d.logf("ejections ignored active=%v ejected=%d executors=%d", panicking, out, len(d.endpoints.listed))
	}
}

// updateResponsiveness marks an executor as unresponsive if an attempt there has been silent for too long.
func (d *Dispatcher) updateResponsiveness(executor *executor) {
	timeout := d.unresponsiveTimeout()
	unresponsive := false
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			attempt := &job.attempts[i]
			if !attempt.holdsSlots(executor) {
				continue
			}
			since := max(attempt.sentAt, executor.outlier.lastActiveAt)
			if attempt.startedAt == 0 && d.settings.StartNotifications {
				since += queuedGraceFactor * d.serviceTimes.startDelay // nothing is heard of a queued job
			}
			unresponsive = unresponsive || d.now-since > timeout
		}
	}
	if unresponsive && !executor.outlier.unresponsive {
		d.logf("executor unresponsive executor=%d", executor.id)
		executor.outlier.trialAt = d.now + timeout*(0.25+0.5*d.random())
	}
	executor.outlier.unresponsive = unresponsive
}

// recordActivity takes in a sign of life. After a silence, what is in flight there may have ended or never arrived without
// this node hearing of it, until its client's time is over: it counts as holding no slots unless it is heard of
// again.
func (d *Dispatcher) recordActivity(executor *executor) {
	executor.outlier.lastActiveAt = d.now
	if !executor.outlier.unresponsive {
		return
	}
	executor.outlier.unresponsive, executor.outlier.trials = false, 0
	d.needsPlacement = true
	d.logf("executor responsive executor=%d", executor.id)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.holdsSlots(executor) {
				attempt.writtenOff = true
				d.endObservedRun(job, attempt, false)
				executor.inFlight.slots -= job.slots
			}
		}
	}
	executor.countUnstarted(d.now)
}

// unresponsiveTimeout is how long an executor with attempts in flight may give no sign of life.
func (d *Dispatcher) unresponsiveTimeout() float64 {
	if d.settings.ProgressInterval > 0 {
		return unresponsiveIntervals * d.settings.ProgressInterval
	}
	return unresponsiveIntervals * unnotedIntervalFactor * d.serviceTimes.classes[0].work / d.serviceTimes.meanSpeed()
}
