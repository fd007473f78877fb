package node

// This file holds how the actions of the module are carried out.

import (
	"time"

	"gatetack/brain"
)

// act carries out one action.
func (c *Core) act(a *brain.Action, now time.Time) {
	switch a.Kind {
	case brain.ActSend:
		c.send(a, now)
	case brain.ActRefuse, brain.ActFail:
		j := c.jobs[a.Job]
		if j == nil {
			return
		}
		ans := Answer{End: Failed, Why: "it may have run, and can not be tried again in time"}
		if a.Kind == brain.ActRefuse {
			ans = Answer{End: Refused, RetryAfter: Span(a.For), Why: "no room for it in time"}
		}
		c.answer(j, ans)
	case brain.ActCancel:
		j := c.jobs[a.Job]
		if j == nil || int(a.Attempt) >= len(j.tries) {
			return
		}
		if t := j.tries[a.Attempt]; !t.over {
			c.exec.GiveUp(t.id)
			c.end(t, brain.Cancelled, nil, nil, now)
		}
	case brain.ActTimer:
		c.at(now.Add(Span(a.For)), token(a.Token))
	case brain.ActProbe:
		c.exec.Probe(a.Worker)
	case brain.ActClose:
		c.exec.CloseIdle(a.Worker)
	case brain.ActWatch:
		c.lists.Watch(a.On)
	case brain.ActFetch:
		c.lists.Fetch()
	case brain.ActTell:
		c.peers.Tell(a.To, a.Data)
	case brain.ActLog:
		c.log.Info("module", "says", a.Text)
	}
}

func (c *Core) send(a *brain.Action, now time.Time) {
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
		c.end(t, brain.Moot, nil, nil, now)
		return
	}
	c.counts.Sends++
	j.client.Sent(w.Name)
	c.at(until, timeout(t.id))
	c.exec.Send(Attempt{ID: t.id, Worker: a.Worker, Deadline: until, Job: &j.in, Answered: &j.answered, Born: w.SinceMS, Rules: rules})
}
