package dispatch

// handleOverdueAck takes in that an executor has not said that it took a job for longer than it and its peers usually
// need. Beside other attempts that are heard of, a single one is its connection's fault, and the executor is kept.
// The attempt counts as holding no slots, and its job may be hedged, where that is allowed.
func (d *Dispatcher) handleOverdueAck(job *job, attempt *attempt) {
	if attempt.startedAt > 0 || attempt.ackOverdue || attempt.writtenOff {
		return
	}
	executor := attempt.executor
	attempt.ackOverdue, attempt.writtenOff, d.needsPlacement = true, true, true
	d.endObservedRun(job, attempt, false)
	executor.inFlight.slots -= job.slots
	executor.countUnstarted(d.now)
	overdue := 0
	for _, other := range executor.inFlight.jobs {
		if last := other.lastAttempt(); last.executor == executor && last.ackOverdue {
			overdue++
		}
	}
	if executor.outlier.lastHeard <= attempt.sentAt || overdue > 1 {
		d.eject(executor, "overdue acknowledgements")
		executor.outlier.ackOverdueAt, executor.outlier.ackOverdueUntil = d.now, 2*executor.outlier.ejectedUntil-d.now
	}
}

func (j *job) lastAttempt() *attempt { return &j.attempts[len(j.attempts)-1] }

// hedgeUnresponsive queues the jobs of unresponsive executors to be sent elsewhere as well, where that is allowed.
func (d *Dispatcher) hedgeUnresponsive() {
	for _, executor := range d.outliers.busy {
		for _, job := range executor.inFlight.jobs {
			if d.isHedgeDue(executor, job) {
				d.enqueue(job)
			}
		}
	}
}

func (d *Dispatcher) isHedgeDue(executor *executor, job *job) bool {
	if job.done || job.queued || job.inFlight != 1 || d.settings.Classes[job.class].RetrySafety == AtMostOnce {
		return false
	}
	last := job.lastAttempt()
	// A job that was sent to see whether the executor lives gets its time for that, and one that queues would only queue
	// elsewhere too.
	stuck := executor.outlier.unresponsive && d.now-last.sentAt > d.unresponsiveTimeout()/2 &&
		(last.startedAt > 0 || !d.settings.StartNotifications)
	return stuck || last.ackOverdue
}
