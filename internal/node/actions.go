package node

// This file holds how the actions of the module are carried out.

import (
	"time"

	"gatetack/internal/dispatch"
)

// act carries out one action.
func (c *Core) act(a *dispatch.Action, now time.Time) {
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
		if j == nil || int(a.Attempt) >= len(j.tries) {
			return
		}
		if t := j.tries[a.Attempt]; !t.over {
			c.exec.GiveUp(t.id)
			c.end(t, dispatch.Cancelled, nil, nil, now)
		}
	case dispatch.ActTimer:
		c.at(now.Add(Span(a.For)), token(a.Token))
	case dispatch.ActProbe:
		c.exec.Probe(a.Worker)
	case dispatch.ActClose:
		c.exec.CloseIdle(a.Worker)
	case dispatch.ActWatch:
		c.lists.Watch(a.On)
	case dispatch.ActFetch:
		c.lists.Fetch()
	case dispatch.ActTell:
		c.peers.Tell(a.To, a.Data)
	case dispatch.ActLog:
		c.log.Info("module", "says", a.Text)
	}
}

func (c *Core) send(a *dispatch.Action, now time.Time) {
	j := c.jobs[a.Job]
	if j == nil {
		return
	}
	c.lastTry++
	t := &attempt{id: c.lastTry, n: uint16(len(j.tries)), j: j, worker: a.Worker, sent: now, ran: true}
	rules := j.repeats()
	j.tries = append(j.tries, t)
	j.live++
	c.attempts[t.id] = t
	w, ok := c.workers[a.Worker]
	until := j.deadline.Add(-c.lim.AnswerEarly)
	if a.For > 0 {
		until = earlier(until, now.Add(Span(a.For)))
	}
	if j.answered.Load() || !ok || !until.After(now) {
		c.end(t, dispatch.Moot, nil, nil, now)
		return
	}
	c.counts.Sends++
	j.client.Sent(w.Name)
	c.at(until, timeout(t.id))
	c.exec.Send(Attempt{ID: t.id, Worker: a.Worker, Deadline: until, Job: &j.in, Answered: &j.answered, Born: w.SinceMS, Rules: rules})
}
