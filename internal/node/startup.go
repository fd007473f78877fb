package node

import (
	"time"

	"gatetack/internal/dispatch"
)

// listCallFailed is the event that a call for the list of executors failed.
type listCallFailed struct{}

// ListCallFailed takes in that a call for the list of executors failed.
func (c *Core) ListCallFailed() { c.post(listCallFailed{}) }

// AwaitList makes the core hold what it takes until the list that it was started with is confirmed, or endpointwatch.Startup says that it
// is not waited for any more. It must be called before Run. A core that knows of no executor sends nothing and holds nothing.
func (c *Core) AwaitList(known int) {
	if known == 0 {
		return
	}
	c.startup.Started(c.start, c.limits.Staleness)
	c.holdsJobs.Store(true)
}

// holds says whether jobs are held now. When they no longer are, it lets them go to the module.
func (c *Core) stillHolds(now time.Time) bool {
	if !c.holdsJobs.Load() {
		return false
	}
	if c.startup.Holding(now) {
		return true
	}
	c.holdsJobs.Store(false)
	c.log.Info("list", "confirmed", c.endpointsConfirmed.Load(), "after", now.Sub(c.start).Round(time.Millisecond), "held", len(c.jobs))
	for i := range c.batch {
		c.refreshTimeLeft(&c.batch[i], now)
	}
	for _, r := range c.waitingChanges {
		c.reconfigure(r, now)
	}
	c.waitingChanges = nil
	return false
}

// refreshTimeLeft counts the time that a held job's client still waits from now on.
func (c *Core) refreshTimeLeft(e *dispatch.Event, now time.Time) {
	if e.Kind != dispatch.EvRequest {
		return
	}
	if j := c.jobs[e.Job]; j != nil {
		e.TimeLeft = max(0, milliseconds(j.deadline.Sub(now)))
	}
}

// retune puts new rules in force. What came before them is the module's to decide by the old ones.
func (c *Core) reconfigure(r configChange, now time.Time) {
	if len(c.batch) > 0 {
		c.step(now)
	}
	err := c.dispatcher.Retune(r.rules.Settings, r.origins)
	if err == nil {
		c.settings = r.rules.Settings
		c.rules.Store(r.rules)
	}
	r.done <- err
}

// wake is when the core has something to do next, if nothing comes before.
func (c *Core) nextWake() time.Time {
	next := time.Now().Add(time.Hour)
	if len(c.timers) > 0 {
		next = c.timers[0].at
	}
	switch {
	case c.holdsJobs.Load():
		return earlier(next, c.startup.HoldUntil())
	case len(c.batch) > 0:
		return c.nextStepAt
	}
	return next
}
