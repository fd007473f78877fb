package node

import (
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/endpointwatch"
)

// startup is the state of a core that waits for its endpoint list to be confirmed: it does not step the module, and
// holds the jobs it accepts.
type startup struct {
	watch          endpointwatch.Startup
	waitingChanges []configChange // received during the wait
}

// ListCallFailed reports that a call for the endpoint list failed.
func (c *Core) ListCallFailed() { c.post(listCallFailed{}) }

// AwaitList makes the core hold the jobs it accepts until the endpoint list that it was started with is confirmed, or
// until endpointwatch.Startup gives up waiting. Known is the number of executors in that list; without any there is
// nothing to send to, and no job is held. AwaitList must be called before Run.
func (c *Core) AwaitList(known int) {
	if known == 0 {
		return
	}
	c.startup.watch.Started(c.clock.start, c.limits.ListTimeouts)
	c.status.holdsJobs.Store(true)
}

// holdsJobs reports whether jobs are held. When the wait ends it releases them to the module.
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

// refreshTimeLeft updates the time left of a request that was held, and the age of its earlier attempt.
func (c *Core) refreshTimeLeft(e *dispatch.Event, now time.Time) {
	if e.Kind != dispatch.EvRequest {
		return
	}
	if j := c.jobs.byID[e.Job]; j != nil {
		e.TimeLeft = max(0, milliseconds(j.deadline.Sub(now)))
		e.Earlier = earlierAttempt(&j.request, now)
	}
}

// reconfigure puts new settings in force.
func (c *Core) reconfigure(change configChange, now time.Time) {
	next, origins, err := c.rules.Load().Update(change.settings, change.names, now, change.late, c.classesInUse())
	if err == nil {
		err = c.replaceRules(next, origins, now)
	}
	change.done <- err
}

// replaceRules puts new rules in force. Events that were queued earlier are decided under the old rules. Origins maps a
// class with new rules to the class whose learned state it takes over.
func (c *Core) replaceRules(next *Rules, origins map[int]int, now time.Time) error {
	if len(c.pending.events) > 0 && !c.status.holdsJobs.Load() {
		c.step(now)
	}
	if err := c.dispatcher.UpdateSettings(next.Settings, origins); err != nil {
		return err
	}
	c.settings = next.Settings
	c.open.addTenants(len(next.Names.Tenants))
	c.rules.Store(next)
	return nil
}
