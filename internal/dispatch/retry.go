package dispatch

// The rules that protect requests from running twice: to which executors a job may be sent, and when a rejection may
// promise that nothing of the job ran.

// retryAfterRuns scales the retry-after of rejected clients, in mean run times for each reserved slot. A higher value
// spreads retry storms over a longer time.
const retryAfterRuns = 0.5

// rejectCause is the reason why this node ended a job without an outcome.
type rejectCause uint8

// The causes.
const (
	causeNoSlots   rejectCause = iota // admission had no slots for the job
	causeTooLate                      // no useful end was possible before the deadline, or no further attempt was allowed
	causePreempted                    // another job took the slots of this queued job
	causeCount
)

// rejectionLog counts the jobs that this node ended without an outcome, by cause.
type rejectionLog struct {
	byCause        [causeCount]int
	lastRejectedAt float64
	active         bool // the load shedding state that was last logged
}

// isSendAllowed reports whether a job may be sent to an executor. Every send passes this check. It considers the state
// of the job, attempts that may have run, draining, and the slow-start budget of the executor.
func (d *Dispatcher) isSendAllowed(job *job, executor *executor) bool {
	exhausted := job.done || len(job.attempts) >= job.maxAttempts || d.now >= job.deadline
	if exhausted || executor.endpoint.condition != Ready || job.inFlight > 0 && !d.settings.HedgingAllowed {
		return false
	}
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.executor == executor && (!attempt.resolved || job.mayHaveRun) {
			return false
		}
	}
	if job.mayHaveRun && job.ranOn == executor { // also of an attempt before this dispatcher got the job
		return false
	}
	if (job.inFlight > 0 || job.mayHaveRun) && !d.isRetrySafe(job, executor) {
		return false
	}
	// The work of one slot may overdraw the budget, because every job costs that much. The further slots of a wide job
	// may not.
	furtherWork := (job.slots - 1) * job.work / d.serviceTimes.kindSpeed(executor.endpoint.kind)
	return d.slowStartAllows(executor, furtherWork)
}

// isRetrySafe reports whether a job that is in flight, or may have run, may also be sent to an executor.
func (d *Dispatcher) isRetrySafe(job *job, executor *executor) bool {
	class := &d.settings.Classes[job.class]
	switch class.RetrySafety {
	case Idempotent:
		return true
	case Keyed:
		ran, since := job.firstRun()
		return d.now-since < class.DedupWindow-d.answerMargin() && inDedupScope(class.DedupScope, ran, executor)
	}
	return false
}

// firstRun returns the executor on which a job may have run first and the time of that send, including attempts that
// are still in flight.
func (j *job) firstRun() (ran *executor, since float64) {
	ran, since = j.ranOn, j.ranSince
	for i := range j.attempts {
		if attempt := &j.attempts[i]; !attempt.resolved && (ran == nil || attempt.sentAt < since) {
			ran, since = attempt.executor, attempt.sentAt
		}
	}
	return ran, since
}

// inDedupScope reports whether two executors belong to one group that drops repeats of a keyed request.
func inDedupScope(scope DedupScope, a, b *executor) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.endpoint.zone == b.endpoint.zone
	default:
		return a.endpoint.zone == b.endpoint.zone && a.endpoint.cell == b.endpoint.cell
	}
}

// isRejectSafe reports whether a job may be rejected: nothing of it may have run, or a repeat does no harm. Every
// rejection passes this check.
func (d *Dispatcher) isRejectSafe(job *job) bool {
	class := &d.settings.Classes[job.class]
	neverRan := job.inFlight == 0 && !job.mayHaveRun
	return class.RetrySafety == Idempotent || neverRan || class.RetrySafety == Keyed && class.DedupScope == ScopeAll
}

// retryAfter returns the delay after which a rejected client should retry: an estimate, from the mean run time, of when
// reserved slots of this node are free again.
func (d *Dispatcher) retryAfter(job *job) float64 {
	reserved := max(job.slots, d.admission.reservedTotal())
	return min(d.settings.MaxRetryAfter, retryAfterRuns*d.serviceTimes.meanRun*job.slots/reserved)
}

// recordEarlierAttempt records that an attempt of a job may have run before this dispatcher got the job. An executor
// that is no longer listed still says which others deduplicate the job.
func (d *Dispatcher) recordEarlierAttempt(job *job, earlier *EarlierAttempt) {
	ranOn := d.endpoints.byID[earlier.Executor]
	if ranOn == nil {
		ranOn = &executor{id: earlier.Executor}
		ranOn.endpoint.zone, ranOn.endpoint.cell = int(earlier.Zone), earlier.Cell
	}
	job.mayHaveRun, job.ranOn, job.ranSince = true, ranOn, d.now-earlier.Age
}

// recordMayHaveRun records the earliest attempt of a job that may have run.
func (d *Dispatcher) recordMayHaveRun(job *job, attempt *attempt, outcome Outcome) {
	if outcome.NeverRan() {
		return
	}
	if !job.mayHaveRun || attempt.sentAt < job.ranSince {
		job.mayHaveRun, job.ranOn, job.ranSince = true, attempt.executor, attempt.sentAt
	}
}

// endIfExhausted ends a job that has no attempt in flight and for which no further attempt is allowed or useful.
func (d *Dispatcher) endIfExhausted(job *job) {
	if job.done || job.inFlight > 0 {
		return
	}
	class := &d.settings.Classes[job.class]
	exhausted := len(job.attempts) >= job.maxAttempts || d.now >= job.deadline-d.answerMargin()
	if job.mayHaveRun {
		windowOver := class.RetrySafety == Keyed && d.now-job.ranSince >= class.DedupWindow-d.answerMargin()
		exhausted = exhausted || class.RetrySafety == AtMostOnce || windowOver
	}
	if exhausted || d.cannotFinishInTime(job) {
		d.endJob(job, causeTooLate)
	}
}

// endJob answers a job itself: with a rejection where a repeat is harmless, otherwise with a failure.
func (d *Dispatcher) endJob(job *job, cause rejectCause) {
	if job.done {
		return
	}
	d.rejections.byCause[cause]++
	d.rejections.lastRejectedAt = d.now
	answer := Action{Kind: ActFail, Job: job.id}
	if d.isRejectSafe(job) {
		answer.Kind, answer.Delay = ActReject, d.retryAfter(job)
	}
	d.act(answer)
	d.finishJob(job)
}

// answerMargin returns how long before its deadline a job is answered at the latest: two ticks and one batch.
func (d *Dispatcher) answerMargin() float64 {
	return d.tickInterval() + max(d.tickInterval(), d.nextTick-d.now) + d.settings.MinStepInterval
}

// logLoadShedding logs when this node starts to end jobs itself, and when it has ended none for a while, together with
// the figures behind these decisions.
func (d *Dispatcher) logLoadShedding() {
	rejecting := d.rejections.lastRejectedAt > 0 && d.now-d.rejections.lastRejectedAt < tenantActiveMs
	if rejecting == d.rejections.active {
		return
	}
	d.rejections.active = rejecting
	unusable := 0
	for _, executor := range d.endpoints.listed {
		if !d.isUsable(executor) {
			unusable++
		}
	}
	causes := &d.rejections.byCause
	d.logf("load shedding active=%v capacity_slots=%.0f reserved_slots=%.0f queued=%d executors=%d unusable=%d "+
		"list_age_ms=%.0f ended_without_slots=%d ended_too_late=%d ended_by_preemption=%d",
		rejecting, d.capacity.slots, d.admission.reservedTotal(), len(d.jobs.queue), len(d.endpoints.listed), unusable,
		d.now-d.listWatch.updatedAt, causes[causeNoSlots], causes[causeTooLate], causes[causePreempted])
}
