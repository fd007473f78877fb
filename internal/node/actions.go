package node

import (
	"time"

	"gatetack/internal/dispatch"
)

// execute carries out one action of the dispatch module.
func (c *Core) execute(a *dispatch.Action, now time.Time) {
	switch a.Kind {
	case dispatch.ActSend:
		c.send(a, now)
	case dispatch.ActReject:
		c.answerByID(a.Job, Answer{End: Rejected, RetryAfter: FromMs(a.Delay), Reason: "no room for it in time"})
	case dispatch.ActFail:
		c.answerByID(a.Job, Answer{End: Failed, Reason: "it may have run, and can not be tried again in time"})
	case dispatch.ActCancel:
		c.cancel(a, now)
	case dispatch.ActTimer:
		c.startTimer(now.Add(FromMs(a.Delay)), moduleTimer(a.Token))
	case dispatch.ActHealthCheck:
		c.adapters.executors.CheckHealth(a.Executor)
	case dispatch.ActClose:
		c.adapters.executors.CloseIdle(a.Executor)
	case dispatch.ActPollList:
		c.adapters.endpoints.Watch(a.Subscribe)
	case dispatch.ActFetch:
		c.adapters.endpoints.Fetch()
	case dispatch.ActGossip:
		c.adapters.peers.SendGossip(a.To, a.Data)
	case dispatch.ActLog:
		c.log.Info("dispatch module", "message", a.Text)
	}
}

// send starts the job's next attempt. The attempt ends at once as canceled before send if the job is answered, the
// executor is no longer listed, or no time is left.
func (c *Core) send(a *dispatch.Action, now time.Time) {
	j := c.jobs.byID[a.Job]
	if j == nil {
		return
	}
	rules := j.retryRules()
	attempt := c.jobs.addAttempt(j, a.Executor, now)
	endpoint, listed := c.endpoints.byID[a.Executor]
	attempt.zone, attempt.cell = position(c.names.Zones, endpoint.Zone), uint16(endpoint.Group)
	until := j.deadline.Add(-c.limits.ResponseMargin)
	if a.Delay > 0 {
		until = earlier(until, now.Add(FromMs(a.Delay)))
	}
	if j.answered.Load() || !listed || !until.After(now) {
		c.finish(attempt, dispatch.CanceledBeforeSend, nil, nil, now)
		return
	}
	c.counters.Sends++
	j.client.Sent(endpoint.Name)
	c.startTimer(until, attemptTimeout(attempt.id))
	c.adapters.executors.Send(Attempt{
		ID:                attempt.id,
		Executor:          a.Executor,
		Deadline:          until,
		Job:               &j.request,
		Answered:          &j.answered,
		ExecutorStartedAt: endpoint.StartedAtMs,
		Rules:             rules,
	})
}

// cancel ends an attempt that is in flight.
func (c *Core) cancel(a *dispatch.Action, now time.Time) {
	j := c.jobs.byID[a.Job]
	if j == nil || int(a.Attempt) >= len(j.attempts) {
		return
	}
	if attempt := j.attempts[a.Attempt]; !attempt.ended {
		c.adapters.executors.Cancel(attempt.id)
		c.finish(attempt, dispatch.Canceled, nil, nil, now)
	}
}
