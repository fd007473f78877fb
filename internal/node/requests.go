package node

import (
	"context"
	"errors"
	"time"

	"gatetack/internal/dispatch"
)

// Errors of Submit.
var (
	// ErrQueueFull is the answer to a job for which the core's queue has no place.
	ErrQueueFull = errors.New("node: the queue of events is full")
	// ErrTenantLimit is the answer to a job whose tenant has as many open as the operators' file allows.
	ErrTenantLimit = errors.New("node: the customer has as many open as it may")
)

// Errors of Terminate.
var (
	// ErrRunning says that an attempt of the job is in flight, or may have run.
	ErrRunning = errors.New("node: the job was sent and is not stopped")
	// ErrUnknown says that no such job waits for an answer.
	ErrUnknown = errors.New("node: no such job is open")
)

// Submit hands in a job. Unless it fails, the client gets one answer, or ClientGone is called. It never blocks.
func (c *Core) Submit(in Job, client Client) (uint32, error) {
	now := c.clock.now()
	j := &job{id: c.intake.lastJobID.Add(1), request: in, client: client, acceptedAt: now, deadline: now.Add(in.TimeLeft)}
	if err := c.reserve(j); err != nil {
		return 0, err
	}
	select {
	case c.intake.events <- submittedJob{j}:
		return j.id, nil
	default:
		c.unreserve(j)
		return 0, ErrQueueFull
	}
}

// ClientGone says that a job's client has left. Its answer may cross with it.
func (c *Core) ClientGone(id uint32) { c.post(clientLeft{id}) }

// ShutDown says that the node may end any moment. What it took after a time, and whatever nothing was sent of, is
// answered now, and so is all that still comes; what is older may yet be served.
func (c *Core) ShutDown(after time.Time) { c.post(shutdown{after}) }

// Result takes what came of an attempt.
func (c *Core) Result(r Result) { c.post(attemptResult{r}) }

// HealthChecked takes what came of a probe.
func (c *Core) HealthChecked(worker uint32, o dispatch.Outcome, elapsed time.Duration, report []float32) {
	c.post(
		moduleEvent{
			dispatch.Event{
				Kind: dispatch.EvHealthCheck, Executor: worker, Outcome: o, Elapsed: milliseconds(elapsed), Report: report,
			},
		},
	)
}

// UpdateEndpoints takes a list or a change of it.
func (c *Core) UpdateEndpoints(l EndpointList) { c.post(endpointUpdate{l}) }

// PeerMessage takes a message of another node.
func (c *Core) PeerMessage(from uint32, data []byte) {
	c.post(moduleEvent{dispatch.Event{Kind: dispatch.EvGossip, From: from, Data: data}})
}

// Terminate ends a job of which nothing was sent, or else says why not. A job that was sent goes on: nothing
// stops it at an executor.
func (c *Core) Terminate(ctx context.Context, id uint32) error {
	done := make(chan error, 1)
	c.post(terminateRequest{id, done})
	select {
	case err := <-done:
		return err
	case <-c.intake.stopped:
		return ErrUnknown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Counts tells what was done so far.
func (c *Core) Counts(ctx context.Context) (Counts, error) {
	request := make(countsRequest, 1)
	c.post(request)
	select {
	case counts := <-request:
		return counts, nil
	case <-c.intake.stopped:
		return Counts{}, context.Canceled
	case <-ctx.Done():
		return Counts{}, ctx.Err()
	}
}

// Executors tells which executors are listed, by name, and what of this node is out there.
func (c *Core) Executors(ctx context.Context) ([]ExecutorInfo, error) {
	request := make(executorsRequest, 1)
	c.post(request)
	select {
	case all := <-request:
		return all, nil
	case <-c.intake.stopped:
		return nil, context.Canceled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Rules are those in force. A place in them stands for the same class or tenant for as long as a job of it can be open.
func (c *Core) Rules() *Rules { return c.rules.Load() }

// Retune puts settings read anew in force: new jobs come under them, open ones keep the rules they came under. Late is
// how long jobs of a class that is no longer named are still taken. After an error all is as it was. Calls must not
// overlap.
func (c *Core) Retune(ctx context.Context, s dispatch.Settings, names Names, late time.Duration) error {
	next, origins, err := c.Rules().Retune(s, names, c.clock.now(), late)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	c.post(configChange{next, origins, done})
	select {
	case err := <-done:
		return err
	case <-c.intake.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready says whether the node can serve: it runs and its list names an executor that takes work. For a list it does not
// wait longer than a while: discovery may be down, and a node that refuses what it can not send is of more use than
// none.
func (c *Core) Ready() bool {
	if c.status.holdsJobs.Load() {
		return false
	}
	return c.status.hasReadyExecutor.Load() ||
		!c.status.endpointsConfirmed.Load() && c.clock.sinceStart(c.clock.now()) >= c.limits.ReadyBy
}

// Drain marks the node as drained by its operator: it tells clients to go elsewhere, and goes on answering what it
// took. It says whether the node was serving before; a second drain changes nothing.
func (c *Core) Drain() bool { return !c.status.drained.Swap(true) }

// Activate undoes a drain; on a node that was not drained it changes nothing. It says whether the node was drained.
func (c *Core) Activate() bool { return c.status.drained.Swap(false) }

// Drained says whether the operator has drained the node.
func (c *Core) Drained() bool { return c.status.drained.Load() }

// Open is how many jobs are owed an answer.
func (c *Core) Open() int { return int(c.open.total.Load()) }
