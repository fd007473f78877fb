package node

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/endpointwatch"
)

// startup is what a core does until its endpoint list is confirmed: it takes no step and holds the jobs that come.
type startup struct {
	watch          endpointwatch.Startup
	waitingChanges []configChange // that came meanwhile
}

// ListCallFailed takes in that a call for the list of executors failed.
func (c *Core) ListCallFailed() { c.post(listCallFailed{}) }

// AwaitList makes the core hold what it accepts until the list that it was started with is confirmed, or
// endpointwatch.Startup says that it is not waited for any more. It must be called before Run. A core that knows of no
// executor sends nothing and holds nothing.
func (c *Core) AwaitList(known int) {
	if known == 0 {
		return
	}
	c.startup.watch.Started(c.clock.start, c.limits.Staleness)
	c.status.holdsJobs.Store(true)
}

// holdsJobs says whether jobs are held now. When they no longer are, it lets them go to the module.
func (c *Core) holdsJobs(now time.Time) bool {
	if !c.status.holdsJobs.Load() {
		return false
	}
	if c.startup.watch.Holding(now) {
		return true
	}
	c.status.holdsJobs.Store(false)
	c.log.Info("endpoint list no longer awaited", "confirmed", c.status.endpointsConfirmed.Load(),
		"after", c.clock.sinceStart(now).Round(time.Millisecond), "held_jobs", len(c.jobs.byID))
	for i := range c.pending.events {
		c.refreshTimeLeft(&c.pending.events[i], now)
	}
	for _, change := range c.startup.waitingChanges {
		c.reconfigure(change, now)
	}
	c.startup.waitingChanges = nil
	return false
}

// refreshTimeLeft counts the time that a held job's client still waits from now on.
func (c *Core) refreshTimeLeft(e *dispatch.Event, now time.Time) {
	if e.Kind != dispatch.EvRequest {
		return
	}
	if j := c.jobs.byID[e.Job]; j != nil {
		e.TimeLeft = max(0, milliseconds(j.deadline.Sub(now)))
	}
}

// reconfigure puts new rules in force. What came before them is the module's to decide by the old ones.
func (c *Core) reconfigure(change configChange, now time.Time) {
	if len(c.pending.events) > 0 {
		c.step(now)
	}
	err := c.dispatcher.UpdateSettings(change.rules.Settings, change.origins)
	if err == nil {
		c.settings = change.rules.Settings
		c.rules.Store(change.rules)
	}
	change.done <- err
}
