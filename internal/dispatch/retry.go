package dispatch

// The rules that protect requests from running twice: which job may be sent where, and which answer may promise that
// nothing ran.

// retryAfterRuns is how long a rejected client stays away, in mean run times by the slots reserved. More spreads
// storms of repeats.
const retryAfterRuns = 0.5

// rejectCause says why a node ended a job itself.
type rejectCause uint8

// The causes.
const (
	causeNoSlots   rejectCause = iota // admission had no slots for it
	causeTooLate                      // it could not end usefully any more, or must not be attempted again
	causePreempted                    // it was queued, and another took its slots
	causeCount
)

// rejectionLog counts the jobs that this node ended itself.
type rejectionLog struct {
	byCause [causeCount]int
	lastAt  float64
	active  bool // as last logged
}

// isSendAllowed is the one check that every send passes: the request's state, what of it may have run, drains, and
// the budget of an executor that warms up.
func (d *Dispatcher) isSendAllowed(job *job, executor *executor) bool {
	spent := job.done || len(job.attempts) >= job.maxAttempts || d.now >= job.deadline
	if spent || executor.endpoint.condition != Ready || job.inFlight > 0 && !d.settings.HedgingAllowed {
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
	// The budget may be overdrawn by one slot's work, because every job costs some, but not by a wide job's further slots.
	furtherWork := (job.slots - 1) * job.work / d.serviceTimes.kindSpeed(executor.endpoint.kind)
	return d.slowStartAllows(executor, furtherWork)
}

// isRetrySafe says whether a job that is in flight, or may have run, may go to an executor as well.
func (d *Dispatcher) isRetrySafe(job *job, executor *executor) bool {
	class := &d.settings.Classes[job.class]
	switch class.RetrySafety {
	case Idempotent:
		return true
	case Keyed:
		ran, since := job.firstRun()
		return d.now-since < class.DedupWindow-d.answerMargin() && inDeduplicationScope(class.DedupScope, ran, executor)
	}
	return false
}

// firstRun gives where and since when a job may have run first, with the attempts that are still in flight.
func (j *job) firstRun() (ran *executor, since float64) {
	ran, since = j.ranOn, j.ranSince
	for i := range j.attempts {
		if attempt := &j.attempts[i]; !attempt.resolved && (ran == nil || attempt.sentAt < since) {
			ran, since = attempt.executor, attempt.sentAt
		}
	}
	return ran, since
}

// inDeduplicationScope says whether two executors are of a group that drops repeats of a keyed request.
func inDeduplicationScope(scope DedupScope, a, b *executor) bool {
	switch scope {
	case ScopeAll:
		return true
	case ScopeZone:
		return a.endpoint.zone == b.endpoint.zone
	default:
		return a.endpoint.zone == b.endpoint.zone && a.endpoint.cell == b.endpoint.cell
	}
}

// isRejectSafe is the one check of rejections: nothing of the request may have run, or a repeat does no harm.
func (d *Dispatcher) isRejectSafe(job *job) bool {
	class := &d.settings.Classes[job.class]
	neverRan := job.inFlight == 0 && !job.mayHaveRun
	return class.RetrySafety == Idempotent || neverRan || class.RetrySafety == Keyed && class.DedupScope == ScopeAll
}

// retryAfter is how long a rejected client should stay away: until reserved slots of this node are free again, at the
// pace of runs.
func (d *Dispatcher) retryAfter(job *job) float64 {
	reserved := max(job.slots, d.admission.reservedTotal())
	return min(d.settings.MaxRetryAfter, retryAfterRuns*d.serviceTimes.meanRun*job.slots/reserved)
}

// recordMayHaveRun records, in one place, what of a request may have run.
func (d *Dispatcher) recordMayHaveRun(job *job, attempt *attempt, o Outcome) {
	if o.NeverRan() {
		return
	}
	if !job.mayHaveRun || attempt.sentAt < job.ranSince {
		job.mayHaveRun, job.ranOn, job.ranSince = true, attempt.executor, attempt.sentAt
	}
}

// endIfExhausted ends a job with nothing in flight for which nothing more can be done.
func (d *Dispatcher) endIfExhausted(job *job) {
	if job.done || job.inFlight > 0 {
		return
	}
	class := &d.settings.Classes[job.class]
	spent := len(job.attempts) >= job.maxAttempts || d.now >= job.deadline-d.answerMargin()
	if job.mayHaveRun {
		windowOver := class.RetrySafety == Keyed && d.now-job.ranSince >= class.DedupWindow-d.answerMargin()
		spent = spent || class.RetrySafety == AtMostOnce || windowOver
	}
	if spent || d.isHopeless(job) {
		d.endJob(job, causeTooLate)
	}
}

// endJob gives the final answer that the rules allow: a rejection where a repeat is harmless, else a failure.
func (d *Dispatcher) endJob(job *job, cause rejectCause) {
	if job.done {
		return
	}
	d.rejections.byCause[cause]++
	d.rejections.lastAt = d.now
	answer := Action{Kind: ActFail, Job: job.id}
	if d.isRejectSafe(job) {
		answer.Kind, answer.For = ActReject, d.retryAfter(job)
	}
	d.act(answer)
	d.finishJob(job)
}

// answerMargin is how long before a client leaves its answer is given: two ticks and a batch.
func (d *Dispatcher) answerMargin() float64 {
	return d.tickInterval() + max(d.tickInterval(), d.nextTick-d.now) + d.settings.MinStepInterval
}

// logLoadShedding writes, when a node begins to end jobs itself and when it has not for a while, what it goes by.
func (d *Dispatcher) logLoadShedding() {
	rejecting := d.rejections.lastAt > 0 && d.now-d.rejections.lastAt < tenantActiveMs
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
