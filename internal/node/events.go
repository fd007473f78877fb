package node

import (
	"time"

	"gatetack/internal/dispatch"
)

// event is what fronts and adapters post to the core. The goroutine of Run applies it.
type event interface {
	apply(c *Core, now time.Time)
}

// post queues an event that must not be lost. It blocks while the queue is full, until Run has returned.
func (c *Core) post(e event) {
	select {
	case c.intake.events <- e:
	case <-c.intake.stopped:
	}
}

// submittedJob is a job that a front submitted.
type submittedJob struct{ job *job }

func (e submittedJob) apply(c *Core, now time.Time) { c.addJob(e.job, now) }

// clientGone reports that the client of a job has left and that the job needs no answer.
type clientGone struct{ job uint32 }

func (e clientGone) apply(c *Core, _ time.Time) {
	j := c.jobs.byID[e.job]
	if j == nil || j.answered.Load() {
		return
	}
	c.counters.ClientsGone++
	c.markAnswered(j)
	c.queueEvent(dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: j.id})
	c.release(j)
}

// attemptResult is the result of an attempt, or a notification of its progress.
type attemptResult struct{ Result }

func (e attemptResult) apply(c *Core, now time.Time) { c.handleResult(e.Result, now) }

// endpointUpdate is a snapshot or delta of the endpoint list.
type endpointUpdate struct{ EndpointList }

func (e endpointUpdate) apply(c *Core, now time.Time) { c.applyEndpointList(e.EndpointList, now) }

// listConfirmed reports that the endpoint list has not changed since the last line of the watch.
type listConfirmed struct{}

func (listConfirmed) apply(c *Core, _ time.Time) { c.confirmEndpoints() }

// listCallFailed reports that a call for the endpoint list failed.
type listCallFailed struct{}

func (listCallFailed) apply(c *Core, _ time.Time) { c.startup.watch.CallFailed() }

// moduleEvent is passed on to the module unchanged.
type moduleEvent struct{ dispatch.Event }

func (e moduleEvent) apply(c *Core, _ time.Time) { c.queueEvent(e.Event) }

// terminateRequest asks to terminate a job that was never sent.
type terminateRequest struct {
	job  uint32
	done chan error
}

func (e terminateRequest) apply(c *Core, _ time.Time) { e.done <- c.terminate(e.job) }

// shutdown reports that the process may end at any moment. Jobs that were accepted later than after are answered at
// once.
type shutdown struct{ after time.Time }

func (e shutdown) apply(c *Core, _ time.Time) { c.beginShutdown(e.after) }

// configChange puts new settings in force.
type configChange struct {
	settings dispatch.Settings
	names    Names
	late     time.Duration // how long classes that the settings no longer contain are accepted
	done     chan error
}

func (e configChange) apply(c *Core, now time.Time) {
	if c.holdsJobs(now) {
		c.startup.waitingChanges = append(c.startup.waitingChanges, e)
		return
	}
	c.reconfigure(e, now)
}

// executorsRequest asks for the listed executors.
type executorsRequest chan []ExecutorInfo

func (e executorsRequest) apply(c *Core, _ time.Time) { e <- c.listedExecutors() }

// countsRequest asks for the counts.
type countsRequest chan Counts

func (e countsRequest) apply(c *Core, now time.Time) { e <- c.currentCounts(now) }
