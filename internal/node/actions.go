package node

import (
	"time"

	"gatetack/internal/dispatch"
)

// execute carries out one action of the module.
func (c *Core) execute(a *dispatch.Action, now time.Time) {
	switch a.Kind {
	case dispatch.ActSend:
		c.send(a, now)
	case dispatch.ActReject:
		c.answerByID(a.Job, Answer{End: Refused, RetryAfter: Span(a.For), Why: "no room for it in time"})
	case dispatch.ActFail:
		c.answerByID(a.Job, Answer{End: Failed, Why: "it may have run, and can not be tried again in time"})
	case dispatch.ActCancel:
		c.cancel(a, now)
	case dispatch.ActTimer:
		c.startTimer(now.Add(Span(a.For)), moduleTimer(a.Token))
	case dispatch.ActHealthCheck:
		c.carriers.executors.Probe(a.Executor)
	case dispatch.ActClose:
		c.carriers.executors.CloseIdle(a.Executor)
	case dispatch.ActPollList:
		c.carriers.endpoints.Watch(a.Subscribe)
	case dispatch.ActFetch:
		c.carriers.endpoints.Fetch()
	case dispatch.ActGossip:
		c.carriers.peers.Tell(a.To, a.Data)
	case dispatch.ActLog:
		c.log.Info("dispatch module", "message", a.Text)
	}
}

// send starts a job's next attempt. One that can't be sent any more ends at once.
func (c *Core) send(a *dispatch.Action, now time.Time) {
	j := c.jobs.byID[a.Job]
	if j == nil {
		return
	}
	rules := j.retryRules()
	attempt := c.jobs.addAttempt(j, a.Executor, now)
	endpoint, listed := c.endpoints.byID[a.Executor]
	until := j.deadline.Add(-c.limits.AnswerEarly)
	if a.For > 0 {
		until = earlier(until, now.Add(Span(a.For)))
	}
	if j.answered.Load() || !listed || !until.After(now) {
		c.finish(attempt, dispatch.CanceledBeforeSend, nil, nil, now)
		return
	}
	c.counters.Sends++
	j.client.Sent(endpoint.Name)
	c.startTimer(until, attemptTimeout(attempt.id))
	c.carriers.executors.Send(Attempt{
		ID:       attempt.id,
		Worker:   a.Executor,
		Deadline: until,
		Job:      &j.request,
		Answered: &j.answered,
		Born:     endpoint.SinceMS,
		Rules:    rules,
	})
}

// cancel ends an attempt that is in flight.
func (c *Core) cancel(a *dispatch.Action, now time.Time) {
	j := c.jobs.byID[a.Job]
	if j == nil || int(a.Attempt) >= len(j.attempts) {
		return
	}
	if attempt := j.attempts[a.Attempt]; !attempt.ended {
		c.carriers.executors.GiveUp(attempt.id)
		c.finish(attempt, dispatch.Canceled, nil, nil, now)
	}
}
