package node

import (
	"time"

	"gatetack/internal/dispatch"
)

// event is something that fronts and carriers hand to the core. The goroutine of Run applies it.
type event interface {
	apply(c *Core, now time.Time)
}

// post hands an event in that must not be lost. It waits for a place, and only the core's end makes it give up.
func (c *Core) post(e event) {
	select {
	case c.intake.events <- e:
	case <-c.intake.stopped:
	}
}

// submittedJob is a job that a front handed in.
type submittedJob struct{ job *job }

func (e submittedJob) apply(c *Core, now time.Time) { c.addJob(e.job, now) }

// clientLeft says that the client of a job has left: no answer is owed to it.
type clientLeft struct{ job uint32 }

func (e clientLeft) apply(c *Core, _ time.Time) {
	j := c.jobs.byID[e.job]
	if j == nil || j.answered.Load() {
		return
	}
	c.counters.ClientsGone++
	c.markAnswered(j)
	c.queueEvent(dispatch.Event{Kind: dispatch.EvClientGone, Job: j.id})
	c.release(j)
}

// attemptResult is what came of an attempt.
type attemptResult struct{ Result }

func (e attemptResult) apply(c *Core, now time.Time) { c.handleResult(e.Result, now) }

// endpointUpdate is an endpoint list or a change of it.
type endpointUpdate struct{ EndpointList }

func (e endpointUpdate) apply(c *Core, now time.Time) { c.applyEndpointList(e.EndpointList, now) }

// listConfirmed is the event that a watch said that nothing has changed since its last line.
type listConfirmed struct{}

func (listConfirmed) apply(c *Core, _ time.Time) { c.confirmEndpoints() }

// listCallFailed is the event that a call for the endpoint list failed.
type listCallFailed struct{}

func (listCallFailed) apply(c *Core, _ time.Time) { c.startup.watch.CallFailed() }

// moduleEvent is passed on to the module as it is.
type moduleEvent struct{ dispatch.Event }

func (e moduleEvent) apply(c *Core, _ time.Time) { c.queueEvent(e.Event) }

// terminateRequest asks for the end of a job of which nothing was sent.
type terminateRequest struct {
	job  uint32
	done chan error
}

func (e terminateRequest) apply(c *Core, _ time.Time) { e.done <- c.terminate(e.job) }

// shutdown says that the node may end at any moment, and after which time jobs are answered at once.
type shutdown struct{ after time.Time }

func (e shutdown) apply(c *Core, _ time.Time) { c.beginShutdown(e.after) }

// configChange puts new rules in force.
type configChange struct {
	rules   *Rules
	origins map[int]int // where the places whose rules are new take what was learned from
	done    chan error
}

func (e configChange) apply(c *Core, now time.Time) {
	if c.holdsJobs(now) {
		c.startup.waitingChanges = append(c.startup.waitingChanges, e)
		return
	}
	c.reconfigure(e, now)
}

// executorsRequest asks for the executors as the node sees them.
type executorsRequest chan []ExecutorInfo

func (e executorsRequest) apply(c *Core, _ time.Time) { e <- c.listedExecutors() }

// countsRequest asks for the counts.
type countsRequest chan Counts

func (e countsRequest) apply(c *Core, now time.Time) { e <- c.currentCounts(now) }
