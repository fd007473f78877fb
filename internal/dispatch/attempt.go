package dispatch

import "slices"

func (d *Dispatcher) sendAttempt(job *job, executor *executor) {
	executor.slowStart.credit -= job.slots * job.work / d.kindSpeed(executor.endpoint.kind)
	shared := d.sharesConnection(executor)
	if executor.outlier.unresponsive {
		executor.outlier.retryAt = d.now + d.unresponsiveTimeout()/2*float64(int(1)<<min(executor.outlier.retries, 3))*(0.75+0.5*d.random())
		executor.outlier.retries++
	}
	d.placement.lastDispatchAt = d.now
	d.actions = append(d.actions, Action{Kind: ActSend, Job: job.id, Worker: executor.id})
	job.attempts = append(job.attempts, attempt{executor: executor, sentAt: d.now, heardAt: d.now, hadFreeSlots: executor.load.freeSlots >= job.slots})
	if job.key != 0 && cacheMissProbability(job, executor, d.settings.Balancers) >= cacheMissThreshold {
		job.attempts[len(job.attempts)-1].fetchesKey = true
		d.affinity.fetchingSlots += job.slots
	}
	job.inFlight++
	if len(executor.inFlight.jobs) == 0 {
		d.outliers.busy = append(d.outliers.busy, executor)
	}
	executor.inFlight.jobs = append(executor.inFlight.jobs, job)
	executor.inFlight.slots += job.slots
	executor.load.freeSlots -= job.slots
	executor.load.freeMemory -= job.memory
	d.countUnstarted(executor)
	if n := len(executor.connections.idleSince); n > 0 {
		executor.connections.idleSince = executor.connections.idleSince[:n-1]
	} else if !shared {
		job.attempts[len(job.attempts)-1].openedConnection = true
		executor.connections.opening++
	}
	if job.key != 0 {
		executor.touchKey(job.key)
	}
}

func (d *Dispatcher) handleOutcome(event *Event) {
	executor := d.endpoints.byID[event.Worker]
	job := d.jobs.byID[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		if executor != nil {
			d.handleLoadReport(executor, event.Report)
		}
		return
	}
	attempt := &job.attempts[event.Attempt]
	executor = attempt.executor
	attempt.resolved = true
	job.inFlight--
	d.needsPlacement = true
	if i := slices.Index(executor.inFlight.jobs, job); i >= 0 {
		executor.inFlight.jobs = slices.Delete(executor.inFlight.jobs, i, i+1)
		if len(executor.inFlight.jobs) == 0 {
			executor.outlier.unresponsive = false
			i := slices.Index(d.outliers.busy, executor)
			d.outliers.busy = slices.Delete(d.outliers.busy, i, i+1)
		}
	}
	if !attempt.writtenOff {
		executor.inFlight.slots -= job.slots
	}
	executor.load.freeMemory += job.memory
	d.countUnstarted(executor)
	d.noteMayHaveRun(job, attempt, event.Outcome)
	if attempt.openedConnection {
		executor.connections.opening--
	}
	if attempt.fetchesKey {
		d.affinity.fetchingSlots -= job.slots
	}
	d.judgeOutcome(job, attempt, event.Outcome)
	d.learnClassOutcome(job, executor, event)
	d.handleLoadReport(executor, event.Report)
	if event.Final {
		d.finishJob(job)
	}
	if job.done {
		d.releaseJob(job)
		return
	}
	if job.inFlight == 0 {
		d.enqueue(job) // and settled once the batch is taken in: a later event of it may end the job
	}
}

func (d *Dispatcher) handleNote(event *Event) {
	job := d.jobs.byID[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		return
	}
	attempt := &job.attempts[event.Attempt]
	if event.Topic == NoteLate {
		d.handleOverdueAck(job, attempt)
		return
	}
	d.noteAlive(attempt.executor)
	attempt.heardAt, attempt.ackOverdue = d.now, false
	if attempt.writtenOff {
		attempt.writtenOff = false
		attempt.executor.inFlight.slots += job.slots
	}
	if attempt.startedAt == 0 {
		attempt.startedAt = d.now
		lag := d.now - attempt.sentAt
		d.serviceTimes.startDelay += (lag - d.serviceTimes.startDelay) * 0.02
		if lag < d.serviceTimes.minStartLag {
			d.serviceTimes.minStartLag = lag
		} else {
			d.serviceTimes.minStartLag += (min(lag, 4*d.serviceTimes.minStartLag) - d.serviceTimes.minStartLag) * 0.01
		}
		d.countUnstarted(attempt.executor)
		d.needsPlacement = true
		job.queued = false // no second copy of what has begun
	}
}
