package dispatch

// The life of an attempt: its send, the notes on it and its outcome.

// maxRetryDoublings is how often the time doubles after which an unresponsive executor is tried with another job.
const maxRetryDoublings = 3

// Weights of one attempt in the learned times until an executor says that it has started it.
const (
	startDelayWeight  = 0.02
	startLagWeight    = 0.01 // for lags over the least
	maxStartLagFactor = 4    // a longer lag counts as so many times the least: it tells of a queue
)

func (d *Dispatcher) sendAttempt(job *job, executor *executor) {
	d.chargeSlowStart(job, executor)
	shared := d.sharesConnection(executor)
	if executor.outlier.unresponsive {
		d.delayNextRetry(executor)
	}
	d.placement.lastDispatchAt = d.now
	d.act(Action{Kind: ActSend, Job: job.id, Executor: executor.id})
	sent := attempt{executor: executor, sentAt: d.now, heardAt: d.now, hadFreeSlots: executor.load.freeSlots >= job.slots}
	if job.key != 0 && cacheMissProbability(job, executor, d.settings.Nodes) >= cacheMissThreshold {
		sent.fetchesKey = true
		d.affinity.fetchingSlots += job.slots
	}
	sent.openedConnection = executor.connections.take(shared)
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

// delayNextRetry sets when an unresponsive executor gets another job, if this one does not end its silence.
func (d *Dispatcher) delayNextRetry(executor *executor) {
	outlier := &executor.outlier
	outlier.retryAt = d.now + d.unresponsiveTimeout()/2*doublings(outlier.retries, maxRetryDoublings)*(0.75+0.5*d.random())
	outlier.retries++
}

// attemptOf gives the job and the attempt that an event is about, nil if there is none in flight.
func (d *Dispatcher) attemptOf(event *Event) (*job, *attempt) {
	job := d.jobs.byID[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		return nil, nil
	}
	return job, &job.attempts[event.Attempt]
}

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
	d.judgeOutcome(job, attempt, event.Outcome)
	d.learnClassOutcome(job, executor, event)
	d.handleLoadReport(executor, event.Report)
	if event.Final {
		d.finishJob(job)
	}
	if job.done {
		d.jobs.release(job)
		return
	}
	if job.inFlight == 0 {
		// It is ended or attempted again once the batch is taken in: a later event of the batch may end it.
		d.enqueue(job)
	}
}

// resolve takes an attempt out of what is in flight.
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

func (d *Dispatcher) handleNote(event *Event) {
	job, attempt := d.attemptOf(event)
	if job == nil {
		return
	}
	if event.Topic == NotificationAckOverdue {
		d.handleOverdueAck(job, attempt)
		return
	}
	executor := attempt.executor
	d.noteAlive(executor)
	attempt.heardAt, attempt.ackOverdue = d.now, false
	if attempt.writtenOff {
		attempt.writtenOff = false
		executor.inFlight.slots += job.slots
	}
	if attempt.startedAt > 0 {
		return
	}
	attempt.startedAt = d.now
	d.observeRun(job, attempt)
	d.serviceTimes.learnStart(d.now - attempt.sentAt)
	executor.countUnstarted(d.now)
	d.needsPlacement = true
	job.queued = false // no hedge of a job that runs
}
