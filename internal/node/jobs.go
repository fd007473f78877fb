package node

// This file holds how jobs and attempts begin and end.

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/precheck"
)

func (c *Core) admit(j *job, now time.Time) {
	c.counts.Taken++
	// Callbacks name a job by its id alone: a second job of an id that is live could get the first one's result.
	if j.request.Trace == "" || c.jobByTrace[j.request.Trace] != nil {
		c.answer(j, Answer{End: Failed, Why: "a job of this id is still open"})
		return
	}
	if c.shuttingDown {
		c.answer(j, Answer{End: Refused, RetryAfter: Span(c.settings.MaxRetryAfter), Why: shuttingDownReason})
		return
	}
	j.rules = c.rules.Load()
	c.jobs[j.id], c.jobByTrace[j.request.Trace] = j, j
	flags := uint8(0)
	if j.request.Work > 0 {
		flags |= dispatch.FlagWork
	}
	if j.request.Repeat {
		flags |= dispatch.FlagRepeat
	}
	c.queueEvent(dispatch.Event{Kind: dispatch.EvRequest, Job: j.id, Class: uint8(j.request.Class), Tenant: uint16(j.request.Tenant),
		Key: j.request.Key, TimeLeft: milliseconds(j.deadline.Sub(now)), Work: j.request.Work, Slots: j.request.Slots,
		Memory: j.request.Memory, Flags: flags, Prices: j.request.Prices})
	c.startTimer(j.deadline.Add(-c.limits.AnswerEarly), jobDeadline(j.id))
}

// settle marks that nothing more is owed for a job.
func (c *Core) markAnswered(j *job) {
	j.answered.Store(true)
	c.unreserve(j)
}

// answer gives a job's final answer, once.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	c.markAnswered(j)
	switch a.End {
	case Served:
		c.counts.Served++
	case Refused:
		c.counts.Refused++
	case Failed:
		c.counts.Failed++
	case Terminated:
		c.counts.Terminated++
	}
	j.client.Answer(a)
	c.release(j)
}

// forget drops a job that is answered once nothing of it is out.
func (c *Core) release(j *job) {
	if j.answered.Load() && j.inFlight == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		delete(c.jobByTrace, j.request.Trace)
	}
}

func (c *Core) terminate(id uint32) error {
	j := c.jobs[id]
	switch {
	case j == nil || j.answered.Load():
		return ErrUnknown
	case j.inFlight > 0 || j.mayHaveRun:
		return ErrRunning
	}
	// The module hears that the client left: that ends a job without an answer of its own.
	c.queueEvent(dispatch.Event{Kind: dispatch.EvGone, Job: id})
	c.answer(j, Answer{End: Terminated, Why: "terminated before it was sent"})
	return nil
}

// result takes in what came of an attempt. What comes after its end is passed over: each ActSend gets exactly
// one outcome.
func (c *Core) handleResult(r Result, now time.Time) {
	a := c.attempts[r.Attempt]
	if a == nil || a.ended {
		return
	}
	if r.Outcome == 0 {
		if r.Topic == dispatch.NoteStarted && !a.started {
			a.started = true
			if !a.job.answered.Load() {
				a.job.client.Started()
			}
		}
		c.queueEvent(dispatch.Event{Kind: dispatch.EvNote, Job: a.job.id, Attempt: a.index, Worker: a.executor, Topic: r.Topic, Amount: r.Amount})
		return
	}
	c.finish(a, r.Outcome, r.Report, r.Body, now)
}

func (c *Core) finish(a *attempt, o dispatch.Outcome, report []float32, body []byte, now time.Time) {
	j := a.job
	a.ended = true
	j.inFlight--
	delete(c.attempts, a.id)
	if a.mayHaveRun = !o.NeverRan(); a.mayHaveRun {
		j.mayHaveRun = true
	}
	if o == dispatch.Served {
		c.answer(j, Answer{End: Served, Result: body})
	}
	if !j.answered.Load() && j.inFlight == 0 {
		j.client.Returned(!j.mayHaveRun)
	}
	c.queueEvent(dispatch.Event{Kind: dispatch.EvOutcome, Job: j.id, Attempt: a.index, Worker: a.executor, Outcome: o,
		Elapsed: milliseconds(now.Sub(a.sentAt)), Final: j.answered.Load(), Report: report})
	c.release(j)
}

// repeats are the rules for the next attempt of a job, by those it came under and what became of the ones before.
func (j *job) retryRules() precheck.Rules {
	s := &j.rules.Settings
	class := s.Classes[min(j.request.Class, len(s.Classes)-1)]
	r := precheck.Rules{Number: len(j.attempts) + 1, Most: s.MaxAttempts, Effect: class.Effect}
	for _, t := range j.attempts { // in the order of their sending: the first that counts is the earliest
		if t.mayHaveRun && !r.Ran {
			r.Ran, r.RepeatBy = true, t.sentAt.Add(Span(class.Window))
		}
	}
	return r
}

// overdue sees to it that a job is answered before its client gives up, should the module not have done so by a
// step after its time-outs.
func (c *Core) answerOverdue(id uint32, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.answered.Load() {
		return
	}
	last := j.deadline.Add(-c.limits.AnswerEarly / 3)
	if now.Before(last) {
		c.startTimer(last, jobDeadline(id))
		return
	}
	c.log.Warn("the module left a job unanswered", "job", j.request.Trace, "live", j.inFlight, "sends", len(j.attempts))
	c.answerUndecided(j, "its time is over")
}

// leaves tells why a node that is about to end answers.
const shuttingDownReason = "the node leaves"

// cut ends a job without the module, which hears that the client left.
func (c *Core) answerUndecided(j *job, why string) {
	a := Answer{End: Failed, Why: why}
	if j.inFlight == 0 && !j.mayHaveRun {
		a.End, a.RetryAfter = Refused, Span(c.settings.MaxRetryAfter)
	}
	c.queueEvent(dispatch.Event{Kind: dispatch.EvGone, Job: j.id})
	c.answer(j, a)
}
