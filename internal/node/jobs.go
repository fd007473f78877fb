package node

import (
	"errors"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/idclaims"
)

// claimMargin is how long a client's request counts as open after its deadline if its process does not release it. An
// answer may come half a second late.
const claimMargin = 500 * time.Millisecond

// Reasons given to jobs that are answered without a decision of the module.
const (
	shuttingDownReason = "the node leaves"
	openTraceIDReason  = "a job of this id is still open"
	replacementReason  = "the node's process is being replaced"
)

// addJob adds a job that a front submitted. A second job with the trace ID of an open job fails: callbacks name a job
// by its trace ID alone, so it could get the result of the first, and both could run.
func (c *Core) addJob(j *job, now time.Time) {
	c.counters.Accepted++
	if id := j.request.TraceID; id == "" || c.jobs.byTrace[id] != nil || c.jobs.retained[id] {
		c.answer(j, Answer{End: Failed, Reason: openTraceIDReason})
		return
	}
	if c.jobs.shuttingDown {
		c.reject(j, shuttingDownReason)
		return
	}
	if err := c.resolveClass(j, now); err != nil {
		c.log.Warn("rules of a waiting job not put in force", "job", j.request.TraceID,
			"class", j.request.AcceptedClass.Name, "err", err)
		c.reject(j, err.Error())
		return
	}
	switch err := c.claimTraceID(j, now); {
	case errors.Is(err, idclaims.ErrOpen):
		c.answer(j, Answer{End: Failed, Reason: openTraceIDReason})
		return
	case err != nil:
		c.log.Debug("trace ID not claimed", "job", j.request.TraceID, "err", err)
		c.reject(j, replacementReason)
		return
	}
	j.rules = c.rules.Load()
	c.jobs.add(j)
	c.queueEvent(requestEvent(j, now))
	c.startTimer(j.deadline.Add(-c.limits.ResponseMargin), jobDeadline(j.id))
}

// claimTraceID claims the trace ID of a job among all processes of this node. An attempt can be in flight until the
// client's deadline; the claim is kept for claimMargin longer if the process does not release it.
func (c *Core) claimTraceID(j *job, now time.Time) error {
	if c.adapters.traceIDs == nil || !j.request.ClientTraceID {
		return nil
	}
	var err error
	j.claim, err = c.adapters.traceIDs.Claim(j.request.TraceID, now, j.deadline.Add(claimMargin))
	j.claimed = err == nil
	return err
}

// reject rejects a job that was not passed to the module.
func (c *Core) reject(j *job, reason string) {
	c.answer(j, Answer{End: Rejected, RetryAfter: FromMs(c.settings.MaxRetryAfter), Reason: reason})
}

// requestEvent converts a job to the module's request event.
func requestEvent(j *job, now time.Time) dispatch.Event {
	request := &j.request
	e := dispatch.Event{
		Kind:       dispatch.EvRequest,
		Job:        j.id,
		Class:      uint8(request.Class),
		Tenant:     uint16(request.Tenant),
		Key:        request.Key,
		TimeLeft:   milliseconds(j.deadline.Sub(now)),
		Work:       request.Work,
		Slots:      request.Slots,
		Memory:     request.Memory,
		ZonePrices: request.ZonePrices,
	}
	if request.AcceptedClass != nil {
		e.MaxAttempts = uint16(request.AcceptedClass.MaxAttempts)
	}
	e.Earlier = earlierAttempt(request, now)
	if request.Work > 0 {
		e.Flags |= dispatch.FlagWorkHint
	}
	if request.Retry {
		e.Flags |= dispatch.FlagRetry
	}
	return e
}

// earlierAttempt converts the earlier attempt of a job to the module's form.
func earlierAttempt(request *Job, now time.Time) *dispatch.EarlierAttempt {
	earlier := request.Earlier
	if earlier == nil {
		return nil
	}
	return &dispatch.EarlierAttempt{
		Executor: earlier.executor,
		Zone:     earlier.zone,
		Cell:     earlier.cell,
		Age:      milliseconds(now.Sub(earlier.SentAt)),
	}
}

// markAnswered marks a job as answered and frees its place among the open jobs.
func (c *Core) markAnswered(j *job) {
	j.answered.Store(true)
	c.unreserve(j)
}

// answer gives a job its final answer, unless it already has one.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	c.markAnswered(j)
	c.counters.countAnswer(a.End)
	j.served = a.End == Served
	if a.End == Rejected {
		a.MayHaveRun = j.earliestThatMayHaveRun()
	}
	j.client.Answer(a)
	c.release(j)
}

// answerByID gives the final answer to a job that may no longer exist.
func (c *Core) answerByID(id uint32, a Answer) {
	if j := c.jobs.byID[id]; j != nil {
		c.answer(j, a)
	}
}

// release deletes a job once it is answered and none of its attempts is in flight.
func (c *Core) release(j *job) {
	if j.answered.Load() && j.inFlight == 0 && c.jobs.byID[j.id] == j {
		c.jobs.remove(j)
		c.releaseID(j)
	}
}

// terminate ends a job that was never sent.
func (c *Core) terminate(id uint32) error {
	j := c.jobs.byID[id]
	switch {
	case j == nil || j.answered.Load():
		return ErrUnknown
	case j.inFlight > 0 || j.mayHaveRun:
		return ErrRunning
	}
	// The module is notified that the client left, which ends the job without an answer by the module.
	c.queueEvent(dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: id})
	c.answer(j, Answer{End: Terminated, Reason: "terminated before it was sent"})
	return nil
}

// handleResult handles the result of an attempt, or a notification of its progress. It ignores everything that follows
// the attempt's end, so that each ActSend gets exactly one outcome.
func (c *Core) handleResult(r Result, now time.Time) {
	a := c.jobs.attempts[r.Attempt]
	if a == nil || a.ended {
		return
	}
	if r.Outcome == 0 {
		if r.Topic == dispatch.NotificationStarted && !a.started {
			a.started = true
			if !a.job.answered.Load() {
				a.job.client.Started()
			}
		}
		c.queueEvent(dispatch.Event{
			Kind:     dispatch.EvNotification,
			Job:      a.job.id,
			Attempt:  a.index,
			Executor: a.executor,
			Topic:    r.Topic,
			Amount:   r.Amount,
		})
		return
	}
	c.finish(a, r.Outcome, r.Report, r.Body, now)
}

// finish ends an attempt, and answers its job if the attempt was served.
func (c *Core) finish(a *attempt, outcome dispatch.Outcome, report []float32, body []byte, now time.Time) {
	j := a.job
	a.ended = true
	j.inFlight--
	delete(c.jobs.attempts, a.id)
	if a.mayHaveRun = !outcome.NeverRan(); a.mayHaveRun {
		j.mayHaveRun = true
	}
	if outcome == dispatch.Served {
		c.answer(j, Answer{End: Served, Result: body})
	}
	if !j.answered.Load() && j.inFlight == 0 {
		j.client.Requeued(!j.mayHaveRun)
	}
	c.queueEvent(
		dispatch.Event{Kind: dispatch.EvOutcome, Job: j.id, Attempt: a.index, Executor: a.executor, Outcome: outcome,
			Elapsed: milliseconds(now.Sub(a.sentAt)), Final: j.answered.Load(), Report: report},
	)
	c.release(j)
}

// answerOverdue answers a job shortly before its client's deadline if the module has not done so in the step after the
// job's time-out.
func (c *Core) answerOverdue(id uint32, now time.Time) {
	j := c.jobs.byID[id]
	if j == nil || j.answered.Load() {
		return
	}
	last := j.deadline.Add(-c.limits.ResponseMargin / 3)
	if now.Before(last) {
		c.startTimer(last, jobDeadline(id))
		return
	}
	c.log.Warn("job left unanswered by the dispatch module", "job", j.request.TraceID, "in_flight", j.inFlight,
		"attempts", len(j.attempts))
	c.answerUndecided(j, "its time is over")
}

// beginShutdown rejects new jobs from now on, and answers the jobs that were accepted later than after and those that
// were never sent.
func (c *Core) beginShutdown(after time.Time) {
	c.jobs.shuttingDown = true
	for _, j := range c.jobs.byID {
		undecided := j.acceptedAt.After(after) || j.inFlight == 0 && !j.mayHaveRun
		if undecided && !j.answered.Load() {
			c.answerUndecided(j, shuttingDownReason)
		}
	}
}

// answerUndecided answers a job without a decision of the module, which is notified that the client left.
func (c *Core) answerUndecided(j *job, why string) {
	a := Answer{End: Failed, Reason: why}
	if j.inFlight == 0 && !j.mayHaveRun {
		a.End, a.RetryAfter = Rejected, FromMs(c.settings.MaxRetryAfter)
	}
	c.queueEvent(dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: j.id})
	c.answer(j, a)
}
