package dispatch

import (
	"math"
	"slices"
)

const (
	unresponsiveIntervals = 2.5  // progress periods without a sign of life before a worker counts as standing still
	queuedGraceFactor     = 8    // usual waits that a queued job may have: fewer finds the dead sooner, and copies
	errorAverageMemory    = 0.8  // memory of the error average: higher ejects later and forgives later
	ejectionErrorRate     = 0.45 // error average that ejects: three failures running
	panicThreshold        = 0.5  // with more than this part of the workers ejected, ejection is ignored
	baseEjectionFactor    = 2    // first ejection, in connect time-outs; doubles each time
	maxBackoffDoublings   = 5    // doublings at most
)

// usable says whether new work may go to a worker at all.
func (d *Dispatcher) isUsable(executor *executor) bool {
	if (executor.connections.dialFailures > 0 && (d.now < executor.connections.dialBackoffUntil || executor.connections.opening > 0) || d.isQuarantined(executor, connectionQuarantine)) && !d.hasOpenConnection(executor) {
		// A worker can serve over the connections it has and take no new one (its table is full, or new
		// ones are cut): a served job says nothing of the next connect. One new connection tries at a time.
		return false
	}
	// A silent worker is tried again with one job now and then: else one that was cut off and holds jobs
	// whose end was lost would stay out until the last client's time is over (i3f1d0e).
	return executor.endpoint.condition == Ready && (d.outliers.panicking || d.now >= executor.outlier.ejectedUntil && (!executor.outlier.unresponsive || d.now >= executor.outlier.retryAt))
}

// judge draws from an outcome what it says of the worker: its room, speed, errors and connections.
func (d *Dispatcher) judgeOutcome(job *job, attempt *attempt, o Outcome) {
	executor := attempt.executor
	switch o {
	case Served, Errored, Reset:
		executor.load.freeSlots += job.slots
		executor.inFlight.ended[executor.inFlight.endedCount%len(executor.inFlight.ended)] = endedAttempt{attempt.sentAt, d.now, job.slots}
		executor.inFlight.endedCount++
	case Full:
		executor.load.freeSlots = min(executor.load.freeSlots+job.slots, 0)
		executor.load.softLimit = max(1, softLimitBackoff*executor.inFlight.slots)
		executor.load.rejections = min(executor.load.rejections+1, 6)
		executor.load.rejectedUntil = d.now + d.reports.interval*0.25*float64(int(1)<<(executor.load.rejections-1))*(0.5+d.random())
	case ConnectFailed, Moot:
		executor.load.freeSlots += job.slots
	}
	switch o {
	case Served:
		d.noteAlive(executor)
		executor.outlier.errorAverage *= errorAverageMemory
		if executor.load.rejections = 0; attempt.sentAt >= executor.outlier.ackOverdueAt { // else it shows nothing of what came since
			executor.outlier.ejections, executor.outlier.onProbation, executor.outlier.ackOverdueUntil = 0, false, 0
		}
		late := d.now > job.objectiveAt && attempt.sentAt+job.work/d.meanSpeed() <= job.objectiveAt
		blind := executor.load.reportedAt == 0 || d.now-executor.load.reportedAt > reportsEndedFactor*d.reportTTL() // a pause is not the end
		if late && blind && attempt.sentAt > executor.load.softLimitCutAt {
			// With no reports and no 'full' only lateness shows a queue: one cut for all sent before it.
			executor.load.softLimit, executor.load.softLimitCutAt = max(1, softLimitBackoff*executor.load.softLimit), d.now
		} else if !late && executor.inFlight.slots+job.slots >= math.Floor(executor.load.softLimit) {
			executor.load.softLimit += job.slots / executor.load.softLimit
		}
		if attempt.openedConnection {
			executor.connections.dialFailures = 0
		}
		d.learnServiceTime(job, attempt)
		if len(executor.connections.idleSince) > len(executor.inFlight.jobs) && d.settings.Multiplex > 1 {
			executor.connections.idleSince = executor.connections.idleSince[:0] // jobs share connections: one idle entry stands for all
		}
		executor.connections.idleSince = append(executor.connections.idleSince, d.now)
		d.placement.recentServers.add(executor)
	case Errored:
		d.noteAlive(executor) // and else a matter of the job's class, see fared
	case Reset:
		d.noteAlive(executor)
		executor.outlier.errorAverage = executor.outlier.errorAverage*errorAverageMemory + 1 - errorAverageMemory
		if executor.outlier.errorAverage > ejectionErrorRate || executor.outlier.onProbation {
			d.eject(executor, "errors")
		}
	case ConnectFailed:
		d.noteDialFailure(executor)
	}
}

// eject keeps new work off a worker for a while, doubling, then lets it in one job at a time.
func (d *Dispatcher) eject(executor *executor, why string) {
	if d.now < executor.outlier.ejectedUntil {
		return
	}
	base := baseEjectionFactor * max(d.settings.ConnectTimeout, d.settings.Step)
	executor.outlier.ejectedUntil = d.now + base*float64(int(1)<<min(executor.outlier.ejections, maxBackoffDoublings))*(0.75+0.5*d.random())
	executor.outlier.ejections++
	executor.outlier.onProbation = true
	d.outliers.ejected = append(d.outliers.ejected, executor)
	executor.outlier.errorAverage = min(executor.outlier.errorAverage, ejectionErrorRate)
	d.logf("eject worker %d for %s until %.0f, strike %d", executor.id, why, executor.outlier.ejectedUntil, executor.outlier.ejections)
}

// watchHealth finds workers that stand still and jobs to be tried elsewhere meanwhile.
func (d *Dispatcher) detectOutliers() {
	limit := d.unresponsiveTimeout()
	d.findFailingClasses()
	d.outliers.ejected = slices.DeleteFunc(d.outliers.ejected, func(executor *executor) bool {
		return d.now >= executor.outlier.ejectedUntil || executor.endpoint.condition != Ready
	})
	bad := len(d.outliers.ejected)
	for _, executor := range d.outliers.busy {
		if executor.endpoint.condition != Ready {
			continue
		}
		silent := false
		for _, job := range executor.inFlight.jobs {
			for i := range job.attempts {
				if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff {
					since := max(attempt.sentAt, executor.outlier.lastHeard)
					if attempt.startedAt == 0 && d.settings.TellsStart {
						since += queuedGraceFactor * d.serviceTimes.startDelay // a queued job tells nothing
					}
					silent = silent || d.now-since > limit
				}
			}
		}
		if silent && !executor.outlier.unresponsive {
			d.logf("worker %d silent", executor.id)
			executor.outlier.retryAt = d.now + limit*(0.25+0.5*d.random())
		}
		executor.outlier.unresponsive = silent
		// All slow together still tell their progress: where it is told, silence is no sign of slowness.
		if silent && d.settings.Progress <= 0 && d.now >= executor.outlier.ejectedUntil {
			bad++
		}
	}
	panicking := float64(bad) > panicThreshold*float64(len(d.endpoints.listed))
	if panicking != d.outliers.panicking {
		d.outliers.panicking = panicking
		d.needsPlacement = true
		d.logf("%d of %d workers ejected, ignored %v", bad, len(d.endpoints.listed), panicking)
	}
}

// alive takes in a sign of life. After a silence, what was out there may have ended or never come without our
// hearing of it, until its client's time is over: it holds no slots in our books unless it is heard of again.
func (d *Dispatcher) noteAlive(executor *executor) {
	executor.outlier.lastHeard = d.now
	if !executor.outlier.unresponsive {
		return
	}
	executor.outlier.unresponsive, executor.outlier.retries = false, 0
	d.needsPlacement = true
	d.logf("worker %d heard of again", executor.id)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff {
				attempt.writtenOff = true
				executor.inFlight.slots -= job.slots
			}
		}
	}
	d.countUnstarted(executor)
}

// silence is how long a worker with jobs out may give no sign of life.
func (d *Dispatcher) unresponsiveTimeout() float64 {
	if d.settings.Progress > 0 {
		return unresponsiveIntervals * d.settings.Progress
	}
	return unresponsiveIntervals * 2 * d.serviceTimes.classes[0].work / d.meanSpeed()
}

// outlierState is whether an executor works at all, as its attempts show.
type outlierState struct {
	unresponsive    bool    // it gives no sign of life though attempts are in flight
	onProbation     bool    // after an ejection: one job at a time until one is served
	ejectedUntil    float64 // nothing is sent before
	errorAverage    float64 // of resets, between 0 and 1
	lastHeard       float64 // last sign of life
	ejections       int     // without a served attempt between
	retryAt         float64 // an unresponsive executor gets one job from then on
	retries         int     // such jobs since it was last heard of
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
