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
	c.startup.Begin(c.start, c.lim.Staleness)
	c.holding.Store(true)
}

// holds says whether jobs are held now. When they no longer are, it lets them go to the module.
func (c *Core) holds(now time.Time) bool {
	if !c.holding.Load() {
		return false
	}
	if c.startup.Holds(now) {
		return true
	}
	c.holding.Store(false)
	c.log.Info("list", "confirmed", c.heard.Load(), "after", now.Sub(c.start).Round(time.Millisecond), "held", len(c.jobs))
	for i := range c.batch {
		c.refreshTimeLeft(&c.batch[i], now)
	}
	for _, r := range c.retunes {
		c.retune(r, now)
	}
	c.retunes = nil
	return false
}

// refreshTimeLeft counts the time that a held job's client still waits from now on.
func (c *Core) refreshTimeLeft(e *dispatch.Event, now time.Time) {
	if e.Kind != dispatch.EvRequest {
		return
	}
	if j := c.jobs[e.Job]; j != nil {
		e.TimeLeft = max(0, millis(j.deadline.Sub(now)))
	}
}

// retune puts new rules in force. What came before them is the module's to decide by the old ones.
func (c *Core) retune(r retune, now time.Time) {
	if len(c.batch) > 0 {
		c.step(now)
	}
	err := c.d.Retune(r.rules.Settings, r.from)
	if err == nil {
		c.s = r.rules.Settings
		c.rules.Store(r.rules)
	}
	r.to <- err
}

// wake is when the core has something to do next, if nothing comes before.
func (c *Core) wake() time.Time {
	next := time.Now().Add(time.Hour)
	if len(c.timers) > 0 {
		next = c.timers[0].at
	}
	switch {
	case c.holding.Load():
		return earlier(next, c.startup.Until())
	case len(c.batch) > 0:
		return c.stepAt
	}
	return next
}
