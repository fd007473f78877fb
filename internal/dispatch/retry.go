package dispatch

const (
	retryAfterRuns = 0.5 // mean runs, by tokens out, until a refused client may find one: fewer storms
)

// maySend is the one gate that every send passes: the request's state, what of it may have run, drains, and
// a cold worker's budget.
func (d *Dispatcher) isSendAllowed(job *job, executor *executor) bool {
	over := job.done || len(job.attempts) >= job.maxAttempts || d.now >= job.deadline
	if over || executor.endpoint.condition != Ready || job.inFlight > 0 && !d.settings.MayDuplicate {
		return false
	}
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.executor == executor && (!attempt.resolved || job.mayHaveRun) {
			return false
		}
	}
	if (job.inFlight > 0 || job.mayHaveRun) && !d.isRetrySafe(job, executor) {
		return false
	}
	// Credit may be overdrawn by one slot's work, for all jobs cost some, not by a wide job's further slots.
	return d.slowStartAllows(executor, (job.slots-1)*job.work/d.kindSpeed(executor.endpoint.kind))
}

// repeatable says whether a job that is out, or may have run, may go to w as well.
func (d *Dispatcher) isRetrySafe(job *job, executor *executor) bool {
	class := &d.settings.Classes[job.class]
	switch class.Effect {
	case Safe:
		return true
	case Keyed:
		ran, since := job.ranOn, job.ranSince
		for i := range job.attempts {
			if attempt := &job.attempts[i]; !attempt.resolved && (ran == nil || attempt.sentAt < since) {
				ran, since = attempt.executor, attempt.sentAt
			}
		}
		if d.now-since >= class.Window-d.answerMargin() {
			return false
		}
		switch class.Scope {
		case ScopeAll:
			return true
		case ScopeZone:
			return ran.endpoint.zone == executor.endpoint.zone
		default:
			return ran.endpoint.zone == executor.endpoint.zone && ran.endpoint.cell == executor.endpoint.cell
		}
	}
	return false
}

// mayRefuse is the one gate of refusals: nothing of the request may have run, or a repeat does no harm.
func (d *Dispatcher) isRejectSafe(job *job) bool {
	class := &d.settings.Classes[job.class]
	return class.Effect == Safe || job.inFlight == 0 && !job.mayHaveRun || class.Effect == Keyed && class.Scope == ScopeAll
}

// comeBack is how long a refused client should stay away: until a token of ours is back, at the pace of runs.
func (d *Dispatcher) retryAfter(job *job) float64 {
	held := max(job.slots, d.reservedTotal())
	return min(d.settings.MaxRetryAfter, retryAfterRuns*d.serviceTimes.meanRun*job.slots/held)
}

// mark keeps, in one place, what of a request may have run.
func (d *Dispatcher) noteMayHaveRun(job *job, attempt *attempt, o Outcome) {
	if o.NeverRan() {
		return
	}
	if !job.mayHaveRun || attempt.sentAt < job.ranSince {
		job.mayHaveRun, job.ranOn, job.ranSince = true, attempt.executor, attempt.sentAt
	}
}

// settle ends a job with nothing out for which nothing more can be done.
func (d *Dispatcher) endIfExhausted(job *job) {
	if job.done || job.inFlight > 0 {
		return
	}
	class := &d.settings.Classes[job.class]
	spent := len(job.attempts) >= job.maxAttempts || d.now >= job.deadline-d.answerMargin()
	if job.mayHaveRun {
		spent = spent || class.Effect == Unsafe || class.Effect == Keyed && d.now-job.ranSince >= class.Window-d.answerMargin()
	}
	if spent || d.isHopeless(job) {
		d.endJob(job, causeTooLate)
	}
}

// end gives the final answer that the gate allows: a refusal where a repeat is harmless, else a failure.
func (d *Dispatcher) endJob(job *job, why rejectCause) {
	if job.done {
		return
	}
	d.rejections.byCause[why]++
	d.rejections.lastAt = d.now
	a := Action{Kind: ActFail, Job: job.id}
	if d.isRejectSafe(job) {
		a.Kind, a.For = ActRefuse, d.retryAfter(job)
	}
	d.actions = append(d.actions, a)
	d.finishJob(job)
}

// cause says why a node ended a job itself.
type rejectCause uint8

const (
	causeNoTokens  rejectCause = iota // the admission steps left no room for it
	causeTooLate                      // it could not end usefully any more, or may not be tried again
	causePreempted                    // it waited, and another took its tokens
	causeCount
)

// rejectionLog counts the jobs that this node ended itself.
type rejectionLog struct {
	byCause [causeCount]int
	lastAt  float64
	active  bool // as last logged
}
