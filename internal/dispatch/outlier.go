package dispatch

import (
	"math"
	"slices"
)

const (
	// unresponsiveIntervals is how long an executor with attempts in flight may show no activity, in progress
	// intervals.
	unresponsiveIntervals = 2.5

	// noProgressIntervalFactor is how many mean run times of the first class replace the progress interval where
	// there are no progress notifications.
	noProgressIntervalFactor = 2

	// queuedGraceFactor is the additional time without activity that is allowed for a job that has not started, in
	// mean start delays. A smaller factor detects unresponsive executors sooner, but hedges more jobs that are only
	// queued.
	queuedGraceFactor = 8

	// errorAverageDecay is the decay factor of an executor's error average. A larger factor delays both ejection
	// and recovery.
	errorAverageDecay = 0.8

	// ejectionErrorRate is the error average above which an executor is ejected: three consecutive failures.
	ejectionErrorRate = 0.45

	// panicThreshold is the fraction of executors above which ejections are ignored: so many executors do not fail
	// independently.
	panicThreshold = 0.5

	// baseEjectionFactor is the duration of the first ejection, in connect timeouts. It doubles with each ejection.
	baseEjectionFactor = 2

	// maxBackoffDoublings is the maximum number of doublings of an ejection or a backoff.
	maxBackoffDoublings = 5

	// maxRejectionDoublings is the maximum number of doublings of the backoff from a full executor.
	maxRejectionDoublings = 5

	// rejectionBackoffFactor is the mean of the first backoff from a full executor, in report intervals.
	rejectionBackoffFactor = 0.25
)

// outlierState is the health of an executor, as its attempts show it.
type outlierState struct {
	unresponsive    bool    // attempts are in flight, but it shows no activity
	onProbation     bool    // after an ejection: one job at a time until one is served
	ejectedUntil    float64 // nothing is sent before
	errorAverage    float64 // of resets, between 0 and 1
	lastActiveAt    float64 // when it last responded
	ejections       int     // since the last served attempt
	trialAt         float64 // when an unresponsive executor gets a job as a trial
	trials          int     // trial jobs since it last responded
	ackOverdueAt    float64 // when it was last ejected for overdue acknowledgements
	ackOverdueUntil float64 // no job that must not be lost is sent before
}

// outlierDetection finds executors that are failing or unresponsive.
type outlierDetection struct {
	busy           []*executor // with attempts of this node in flight
	ejected        []*executor // ejected now, or since the last check
	nextCheck      float64     // time of the next check in a large fleet
	failingClasses []bool      // by class: it fails at so many executors that these are not at fault
	panicking      bool        // so many executors are ejected that ejections are ignored
}

func (o *outlierDetection) removeBusy(executor *executor) {
	i := slices.Index(o.busy, executor)
	o.busy = slices.Delete(o.busy, i, i+1)
}

// isUsable reports whether an executor may be sent any new work.
func (d *Dispatcher) isUsable(executor *executor) bool {
	if d.isDialBlocked(executor) && !d.hasOpenConnection(executor) {
		return false
	}
	if executor.endpoint.condition != Ready {
		return false
	}
	// An unresponsive executor occasionally gets one job as a trial. Otherwise an executor that was partitioned and
	// holds jobs with a lost outcome would stay out until the last client's deadline has passed.
	outlier := &executor.outlier
	return d.outliers.panicking || d.now >= outlier.ejectedUntil && (!outlier.unresponsive || d.now >= outlier.trialAt)
}

// observeOutcome updates the state of the executor from an outcome: its free slots, speed, errors and connections.
func (d *Dispatcher) observeOutcome(job *job, attempt *attempt, o Outcome) {
	executor := attempt.executor
	switch o {
	case Served:
		d.endAttempt(job, attempt)
		d.observeServed(job, attempt)
	case Errored:
		// Whether the executor is at fault depends on the job's class, see observeClassOutcome.
		d.endAttempt(job, attempt)
		d.recordActivity(executor)
	case Reset:
		d.endAttempt(job, attempt)
		d.observeReset(executor)
	case Full:
		d.observeFull(job, executor)
	case ConnectFailed:
		executor.load.freeSlots += job.slots
		d.recordDialFailure(executor)
	case CanceledBeforeSend:
		executor.load.freeSlots += job.slots
	}
}

// endAttempt frees the slots of an attempt that ran.
func (d *Dispatcher) endAttempt(job *job, attempt *attempt) {
	executor := attempt.executor
	executor.load.freeSlots += job.slots
	executor.inFlight.recordEnded(endedAttempt{attempt.sentAt, d.now, job.slots})
}

func (d *Dispatcher) observeServed(job *job, attempt *attempt) {
	executor := attempt.executor
	d.recordActivity(executor)
	outlier := &executor.outlier
	outlier.errorAverage *= errorAverageDecay
	executor.load.rejections = 0
	if attempt.sentAt >= outlier.ackOverdueAt { // an earlier attempt says nothing about later failures
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

// adaptSoftLimit adjusts how many slots of this node an executor takes where there are neither reports nor Full
// outcomes, and only late outcomes indicate a queue. The limit is reduced once for all attempts that were sent
// before the reduction.
func (d *Dispatcher) adaptSoftLimit(job *job, attempt *attempt) {
	executor := attempt.executor
	load := &executor.load
	late := d.now > job.objectiveAt && attempt.sentAt+job.work/d.serviceTimes.meanSpeed() <= job.objectiveAt
	// A pause in the reports does not mean that they have ended.
	unreported := load.reportedAt == 0 || d.now-load.reportedAt > reportsEndedFactor*d.reportTTL()
	switch {
	case late && unreported && attempt.sentAt > load.softLimitCutAt:
		load.softLimit, load.softLimitCutAt = max(1, softLimitBackoff*load.softLimit), d.now
	case !late && executor.inFlight.slots+job.slots >= math.Floor(load.softLimit):
		load.softLimit += job.slots / load.softLimit
	}
}

// observeFull backs off from an executor that had no free slot for a job.
func (d *Dispatcher) observeFull(job *job, executor *executor) {
	load := &executor.load
	load.freeSlots = min(load.freeSlots+job.slots, 0)
	load.softLimit = max(1, softLimitBackoff*executor.inFlight.slots)
	load.rejections = min(load.rejections+1, maxRejectionDoublings+1)
	backoff := d.reports.interval * rejectionBackoffFactor * backoffFactor(load.rejections-1, maxRejectionDoublings)
	load.rejectedUntil = d.now + backoff*(0.5+d.random())
}

// observeReset records a broken connection, which may have lost a job.
func (d *Dispatcher) observeReset(executor *executor) {
	d.recordActivity(executor)
	outlier := &executor.outlier
	outlier.errorAverage = outlier.errorAverage*errorAverageDecay + 1 - errorAverageDecay
	if outlier.errorAverage > ejectionErrorRate || outlier.onProbation {
		d.eject(executor, "errors")
	}
}

// eject stops new work to an executor, for longer with each ejection, and puts the executor on probation.
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

// detectOutliers finds unresponsive executors, and determines whether so many executors are unavailable that
// ejections are ignored.
func (d *Dispatcher) detectOutliers() {
	d.findFailingClasses()
	d.outliers.ejected = slices.DeleteFunc(d.outliers.ejected, func(executor *executor) bool {
		return d.now >= executor.outlier.ejectedUntil || executor.endpoint.condition != Ready
	})
	unavailable := len(d.outliers.ejected)
	for _, executor := range d.outliers.busy {
		if executor.endpoint.condition != Ready {
			continue
		}
		d.updateResponsiveness(executor)
		// Executors that are all slow at once still send progress notifications. Where these are enabled, missing
		// activity is therefore not caused by slowness.
		if executor.outlier.unresponsive && d.settings.ProgressInterval <= 0 && d.now >= executor.outlier.ejectedUntil {
			unavailable++
		}
	}
	panicking := float64(unavailable) > panicThreshold*float64(len(d.endpoints.listed))
	if panicking != d.outliers.panicking {
		d.outliers.panicking = panicking
		d.needsPlacement = true
		d.logf("ejections ignored active=%v ejected=%d executors=%d", panicking, unavailable, len(d.endpoints.listed))
	}
}

// updateResponsiveness marks an executor as unresponsive if an attempt there has shown no activity within the
// timeout.
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
				since += queuedGraceFactor * d.serviceTimes.startDelay // a queued job sends no notifications
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

// recordActivity records that an executor responded. Attempts in flight at an executor that was unresponsive may
// have ended or never arrived without this node observing it, and would count until their clients' deadlines.
// They are therefore counted as holding no slots until a notification for them arrives.
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

// unresponsiveTimeout returns how long an executor with attempts in flight may show no activity.
func (d *Dispatcher) unresponsiveTimeout() float64 {
	if d.settings.ProgressInterval > 0 {
		return unresponsiveIntervals * d.settings.ProgressInterval
	}
	return unresponsiveIntervals * noProgressIntervalFactor * d.serviceTimes.classes[0].work / d.serviceTimes.meanSpeed()
}
