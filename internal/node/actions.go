package node

// This file holds how the actions of the module are carried out.

import (
	"time"

	"gatetack/internal/dispatch"
)

// act carries out one action.
func (c *Core) execute(a *dispatch.Action, now time.Time) {
	switch a.Kind {
	case dispatch.ActSend:
		c.send(a, now)
	case dispatch.ActRefuse, dispatch.ActFail:
		j := c.jobs[a.Job]
		if j == nil {
			return
		}
		ans := Answer{End: Failed, Why: "it may have run, and can not be tried again in time"}
		if a.Kind == dispatch.ActRefuse {
			ans = Answer{End: Refused, RetryAfter: Span(a.For), Why: "no room for it in time"}
		}
		c.answer(j, ans)
	case dispatch.ActCancel:
		j := c.jobs[a.Job]
		if j == nil || int(a.Attempt) >= len(j.attempts) {
			return
		}
		if t := j.attempts[a.Attempt]; !t.ended {
			c.executors.GiveUp(t.id)
			c.finish(t, dispatch.Cancelled, nil, nil, now)
		}
	case dispatch.ActTimer:
		c.startTimer(now.Add(Span(a.For)), moduleTimer(a.Token))
	case dispatch.ActProbe:
		c.executors.Probe(a.Worker)
	case dispatch.ActClose:
		c.executors.CloseIdle(a.Worker)
	case dispatch.ActWatch:
		c.endpointSource.Watch(a.On)
	case dispatch.ActFetch:
		c.endpointSource.Fetch()
	case dispatch.ActTell:
		c.peerMessenger.Tell(a.To, a.Data)
	case dispatch.ActLog:
		c.log.Info("module", "says", a.Text)
	}
}

func (c *Core) send(a *dispatch.Action, now time.Time) {
	j := c.jobs[a.Job]
	if j == nil {
		return
	}
	c.lastAttemptID++
	t := &attempt{id: c.lastAttemptID, index: uint16(len(j.attempts)), job: j, executor: a.Worker, sentAt: now, mayHaveRun: true}
	rules := j.retryRules()
	j.attempts = append(j.attempts, t)
	j.inFlight++
	c.attempts[t.id] = t
	w, ok := c.endpoints[a.Worker]
	until := j.deadline.Add(-c.limits.AnswerEarly)
	if a.For > 0 {
		until = earlier(until, now.Add(Span(a.For)))
	}
	if j.answered.Load() || !ok || !until.After(now) {
		c.finish(t, dispatch.Moot, nil, nil, now)
		return
	}
	c.counts.Sends++
	j.client.Sent(w.Name)
	c.startTimer(until, attemptTimeout(t.id))
	c.executors.Send(Attempt{ID: t.id, Worker: a.Worker, Deadline: until, Job: &j.request, Answered: &j.answered, Born: w.SinceMS, Rules: rules})
}
