package node

// This file holds how jobs and attempts begin and end.

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/precheck"
)

func (c *Core) submitted(j *job, now time.Time) {
	c.counts.Taken++
	// Callbacks name a job by its id alone: a second job of an id that is live could get the first one's result.
	if j.in.Trace == "" || c.traces[j.in.Trace] != nil {
		c.answer(j, Answer{End: Failed, Why: "a job of this id is still open"})
		return
	}
	if c.leaving {
		c.answer(j, Answer{End: Refused, RetryAfter: Span(c.s.MaxRetryAfter), Why: leaves})
		return
	}
	j.rules = c.rules.Load()
	c.jobs[j.id], c.traces[j.in.Trace] = j, j
	flags := uint8(0)
	if j.in.Work > 0 {
		flags |= dispatch.FlagWork
	}
	if j.in.Repeat {
		flags |= dispatch.FlagRepeat
	}
	c.event(dispatch.Event{Kind: dispatch.EvRequest, Job: j.id, Class: uint8(j.in.Class), Tenant: uint16(j.in.Tenant),
		Key: j.in.Key, TimeLeft: millis(j.deadline.Sub(now)), Work: j.in.Work, Slots: j.in.Slots,
		Memory: j.in.Memory, Flags: flags, Prices: j.in.Prices})
	c.at(j.deadline.Add(-c.lim.AnswerEarly), deadline(j.id))
}

// settle marks that nothing more is owed for a job.
func (c *Core) settle(j *job) {
	j.answered.Store(true)
	c.free(j)
}

// answer gives a job's final answer, once.
func (c *Core) answer(j *job, a Answer) {
	if j.answered.Load() {
		return
	}
	c.settle(j)
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
	c.forget(j)
}

// forget drops a job that is answered once nothing of it is out.
func (c *Core) forget(j *job) {
	if j.answered.Load() && j.live == 0 && c.jobs[j.id] == j {
		delete(c.jobs, j.id)
		delete(c.traces, j.in.Trace)
	}
}

func (c *Core) terminate(id uint32) error {
	j := c.jobs[id]
	switch {
	case j == nil || j.answered.Load():
		return ErrUnknown
	case j.live > 0 || j.ran:
		return ErrRunning
	}
	// The module hears that the client left: that ends a job without an answer of its own.
	c.event(dispatch.Event{Kind: dispatch.EvGone, Job: id})
	c.answer(j, Answer{End: Terminated, Why: "terminated before it was sent"})
	return nil
}

// result takes in what came of an attempt. What comes after its end is passed over: each ActSend gets exactly
// one outcome.
func (c *Core) result(r Result, now time.Time) {
	a := c.attempts[r.Attempt]
	if a == nil || a.over {
		return
	}
	if r.Outcome == 0 {
		if r.Topic == dispatch.NoteStarted && !a.started {
			a.started = true
			if !a.j.answered.Load() {
				a.j.client.Started()
			}
		}
		c.event(dispatch.Event{Kind: dispatch.EvNote, Job: a.j.id, Attempt: a.n, Worker: a.worker, Topic: r.Topic, Amount: r.Amount})
		return
	}
	c.end(a, r.Outcome, r.Report, r.Body, now)
}

func (c *Core) end(a *attempt, o dispatch.Outcome, report []float32, body []byte, now time.Time) {
	j := a.j
	a.over = true
	j.live--
	delete(c.attempts, a.id)
	if a.ran = !o.NeverRan(); a.ran {
		j.ran = true
	}
	if o == dispatch.Served {
		c.answer(j, Answer{End: Served, Result: body})
	}
	if !j.answered.Load() && j.live == 0 {
		j.client.Returned(!j.ran)
	}
	c.event(dispatch.Event{Kind: dispatch.EvOutcome, Job: j.id, Attempt: a.n, Worker: a.worker, Outcome: o,
		Elapsed: millis(now.Sub(a.sent)), Final: j.answered.Load(), Report: report})
	c.forget(j)
}

// repeats are the rules for the next attempt of a job, by those it came under and what became of the ones before.
func (j *job) repeats() precheck.Rules {
	s := &j.rules.Settings
	class := s.Classes[min(j.in.Class, len(s.Classes)-1)]
	r := precheck.Rules{Number: len(j.tries) + 1, Most: s.MaxAttempts, Effect: class.Effect}
	for _, t := range j.tries { // in the order of their sending: the first that counts is the earliest
		if t.ran && !r.Ran {
			r.Ran, r.RepeatBy = true, t.sent.Add(Span(class.Window))
		}
	}
	return r
}

// overdue sees to it that a job is answered before its client gives up, should the module not have done so by a
// step after its time-outs.
func (c *Core) overdue(id uint32, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.answered.Load() {
		return
	}
	last := j.deadline.Add(-c.lim.AnswerEarly / 3)
	if now.Before(last) {
		c.at(last, deadline(id))
		return
	}
	c.log.Warn("the module left a job unanswered", "job", j.in.Trace, "live", j.live, "sends", len(j.tries))
	c.cut(j, "its time is over")
}

// leaves tells why a node that is about to end answers.
const leaves = "the node leaves"

// cut ends a job without the module, which hears that the client left.
func (c *Core) cut(j *job, why string) {
	a := Answer{End: Failed, Why: why}
	if j.live == 0 && !j.ran {
		a.End, a.RetryAfter = Refused, Span(c.s.MaxRetryAfter)
	}
	c.event(dispatch.Event{Kind: dispatch.EvGone, Job: j.id})
	c.answer(j, a)
}
