package dispatch

// The lifecycle of an attempt: its send, the notifications about it and its outcome.

// maxTrialDoublings is how many times the delay doubles before an unresponsive executor gets another job.
const maxTrialDoublings = 3

// Parameters of the estimate of the time from the send of an attempt to its start notification.
const (
	startDelayWeight  = 0.02 // weight of one attempt in the mean start delay
	startLagWeight    = 0.01 // weight of one attempt in the least start lag, for lags above it
	maxStartLagFactor = 4    // a lag counts as at most this multiple of the least one: a longer lag comes from a queue
)

// sendAttempt sends a job to an executor and accounts for the slots, memory and connection that it uses.
func (d *Dispatcher) sendAttempt(job *job, executor *executor) {
	d.chargeSlowStart(job, executor)
	shared := d.sharesConnection(executor)
	if executor.outlier.unresponsive {
		d.delayNextTrial(executor)
	}
	d.placement.lastDispatchAt = d.now
	d.act(Action{Kind: ActSend, Job: job.id, Executor: executor.id})
	sent := attempt{executor: executor, sentAt: d.now, lastNotificationAt: d.now,
		hadFreeSlots: executor.load.freeSlots >= job.slots}
	if job.key != 0 && cacheMissProbability(job, executor, d.settings.Nodes) >= cacheMissThreshold {
		sent.fetchesKey = true
		d.affinity.fetchingSlots += job.slots
	}
	sent.openedConnection = executor.connections.acquire(shared)
	job.attempts = append(job.attempts, sent)
	if !d.settings.StartNotifications && sent.hadFreeSlots {
		d.observeRun(job, &job.attempts[len(job.attempts)-1])
	}
	job.inFlight++
	if len(executor.inFlight.jobs) == 0 {
		d.outliers.busy = append(d.outliers.busy, executor)
	}
	executor.inFlight.jobs = append(executor.inFlight.jobs, job)
	executor.inFlight.slots += job.slots
	executor.load.freeSlots -= job.slots
	executor.load.freeMemory -= job.memory
	executor.countUnstarted(d.now)
	if job.key != 0 {
		executor.touchKey(job.key)
	}
}

// delayNextTrial sets the time of the next job for an executor that is still unresponsive after the current one.
func (d *Dispatcher) delayNextTrial(executor *executor) {
	outlier := &executor.outlier
	outlier.trialAt = d.now +
		d.unresponsiveTimeout()/2*backoffFactor(outlier.trials, maxTrialDoublings)*(0.75+0.5*d.random())
	outlier.trials++
}

// attemptOf returns the job and the attempt that an event refers to, or nil if that attempt is not in flight.
func (d *Dispatcher) attemptOf(event *Event) (*job, *attempt) {
	job := d.jobs.byID[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		return nil, nil
	}
	return job, &job.attempts[event.Attempt]
}

// handleOutcome ends an attempt and, if the outcome is final, its job.
func (d *Dispatcher) handleOutcome(event *Event) {
	job, attempt := d.attemptOf(event)
	if job == nil {
		if executor := d.endpoints.byID[event.Executor]; executor != nil {
			d.handleLoadReport(executor, event.Report)
		}
		return
	}
	executor := attempt.executor
	d.endObservedRun(job, attempt, event.Outcome == Served)
	d.resolve(job, attempt)
	d.recordMayHaveRun(job, attempt, event.Outcome)
	d.observeOutcome(job, attempt, event.Outcome)
	d.observeClassOutcome(job, executor, event)
	d.handleLoadReport(executor, event.Report)
	if event.Final {
		d.finishJob(job)
	}
	if job.done {
		d.jobs.release(job)
		return
	}
	if job.inFlight == 0 {
		// The job is ended or retried at the end of the batch, because a later event of the batch may end it.
		d.enqueue(job)
	}
}

// resolve removes an attempt from those in flight and releases its slots, memory and connection.
func (d *Dispatcher) resolve(job *job, attempt *attempt) {
	executor := attempt.executor
	attempt.resolved = true
	job.inFlight--
	d.needsPlacement = true
	if executor.removeJob(job) && len(executor.inFlight.jobs) == 0 {
		executor.outlier.unresponsive = false
		d.outliers.removeBusy(executor)
	}
	if !attempt.writtenOff {
		executor.inFlight.slots -= job.slots
	}
	executor.load.freeMemory += job.memory
	executor.countUnstarted(d.now)
	if attempt.openedConnection {
		executor.connections.opening--
	}
	if attempt.fetchesKey {
		d.affinity.fetchingSlots -= job.slots
	}
}

// handleNotification records a start, a sign of progress or an overdue acknowledgement of an attempt.
func (d *Dispatcher) handleNotification(event *Event) {
	job, attempt := d.attemptOf(event)
	if job == nil {
		return
	}
	if event.Topic == NotificationAckOverdue {
		d.handleOverdueAck(job, attempt)
		return
	}
	executor := attempt.executor
	d.recordActivity(executor)
	attempt.lastNotificationAt, attempt.ackOverdue = d.now, false
	if attempt.writtenOff {
		attempt.writtenOff = false
		executor.inFlight.slots += job.slots
	}
	if attempt.startedAt > 0 {
		return
	}
	attempt.startedAt = d.now
	d.observeRun(job, attempt)
	d.serviceTimes.observeStartLag(d.now - attempt.sentAt)
	executor.countUnstarted(d.now)
	d.needsPlacement = true
	job.queued = false // a job that runs is not hedged
}
