package dispatch

// late takes in that a worker owes a sign that it took a job for longer than it and its peers usually do.
// Beside others that are heard of, one such attempt is its connection's fault: the worker is kept. It holds
// no slots in our books, and its job may be tried elsewhere too, where that is allowed.
func (d *Dispatcher) handleOverdueAck(job *job, attempt *attempt) {
	executor, owed := attempt.executor, 0
	if attempt.startedAt > 0 || attempt.ackOverdue || attempt.writtenOff {
		return
	}
	attempt.ackOverdue, attempt.writtenOff, d.needsPlacement = true, true, true
	executor.inFlight.slots -= job.slots
	d.countUnstarted(executor)
	for _, k := range executor.inFlight.jobs {
		if last := &k.attempts[len(k.attempts)-1]; last.executor == executor && last.ackOverdue {
			owed++
		}
	}
	if executor.outlier.lastHeard <= attempt.sentAt || owed > 1 {
		d.eject(executor, "owing signs of jobs")
		executor.outlier.ackOverdueAt, executor.outlier.ackOverdueUntil = d.now, 2*executor.outlier.ejectedUntil-d.now
	}
}

// hedge sends the jobs of a silent worker elsewhere too, where that is allowed.
func (d *Dispatcher) hedgeUnresponsive() {
	for _, executor := range d.outliers.busy {
		for _, job := range executor.inFlight.jobs {
			// One that was sent to see whether the worker lives gets its time for that, and one that queues
			// would only queue elsewhere too.
			class, last := &d.settings.Classes[job.class], &job.attempts[len(job.attempts)-1]
			still := executor.outlier.unresponsive && d.now-last.sentAt > d.unresponsiveTimeout()/2 && (last.startedAt > 0 || !d.settings.TellsStart)
			if (still || last.ackOverdue) && !job.done && !job.queued && job.inFlight == 1 && class.Effect != Unsafe {
				d.enqueue(job)
			}
		}
	}
}
