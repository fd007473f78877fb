package dispatch

// handleOverdueAck handles an acknowledgement that is pending for longer than this executor and its peers usually take.
// The attempt counts as holding no slots, and its job may be hedged where the class allows it. If the executor has
// responded since the send and no other acknowledgement is overdue, the connection is taken to be at fault and the
// executor is not ejected.
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
	if executor.outlier.lastActiveAt <= attempt.sentAt || overdue > 1 {
		d.eject(executor, "overdue acknowledgements")
		executor.outlier.ackOverdueAt, executor.outlier.ackOverdueUntil = d.now, 2*executor.outlier.ejectedUntil-d.now
	}
}

// lastAttempt returns the attempt that was sent last.
func (j *job) lastAttempt() *attempt { return &j.attempts[len(j.attempts)-1] }

// hedgeUnresponsive queues the jobs of unresponsive executors for a hedged attempt, where their class allows it.
func (d *Dispatcher) hedgeUnresponsive() {
	for _, executor := range d.outliers.busy {
		for _, job := range executor.inFlight.jobs {
			if d.isHedgeDue(executor, job) {
				d.enqueue(job)
			}
		}
	}
}

// isHedgeDue reports whether a job needs a hedged attempt because its executor does not respond.
func (d *Dispatcher) isHedgeDue(executor *executor, job *job) bool {
	if job.done || job.queued || job.inFlight != 1 || d.settings.Classes[job.class].RetrySafety == AtMostOnce {
		return false
	}
	last := job.lastAttempt()
	// A job that was sent to find out whether the executor responds again gets time to do so. A job that waits in the
	// executor's queue would only wait in another queue.
	stuck := executor.outlier.unresponsive && d.now-last.sentAt > d.unresponsiveTimeout()/2 &&
		(last.startedAt > 0 || !d.settings.StartNotifications)
	return stuck || last.ackOverdue
}
