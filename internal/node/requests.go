package node

import (
	"context"
	"errors"
	"time"

	"gatetack/internal/dispatch"
)

// Errors of Submit.
var (
	// ErrQueueFull is returned for a job that exceeds the limit of open jobs or finds the core's event queue full.
	ErrQueueFull = errors.New("node: the queue of events is full")
	// ErrTenantLimit is returned for a job whose tenant has as many open jobs as the limits allow.
	ErrTenantLimit = errors.New("node: the customer has as many open as it may")
)

// Errors of Terminate.
var (
	// ErrRunning is returned for a job with an attempt that is in flight or may have run.
	ErrRunning = errors.New("node: the job was sent and is not stopped")
	// ErrUnknown is returned if no open job has the ID.
	ErrUnknown = errors.New("node: no such job is open")
)

// Submit queues a job and returns its ID. Unless it fails, the client gets exactly one answer, or ClientGone is
// called. Submit never blocks.
func (c *Core) Submit(in Job, client Client) (uint32, error) {
	now := c.clock.now()
	j := &job{id: c.intake.lastJobID.Add(1), request: in, client: client, acceptedAt: now, deadline: now.Add(in.TimeLeft),
		mayHaveRun: in.Earlier != nil}
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

// ClientGone reports that a job's client has left. The job's answer may already be on its way.
func (c *Core) ClientGone(id uint32) { c.post(clientGone{id}) }

// ShutDown reports that the process may end at any moment. Jobs that were accepted later than after, jobs that were
// never sent, and jobs submitted from now on are answered at once. Older jobs that were sent may still be served.
func (c *Core) ShutDown(after time.Time) { c.post(shutdown{after}) }

// Result takes the result of an attempt, or a notification of its progress.
func (c *Core) Result(r Result) { c.post(attemptResult{r}) }

// HealthChecked takes the result of a health check.
func (c *Core) HealthChecked(executor uint32, o dispatch.Outcome, elapsed time.Duration, report []float32) {
	c.post(
		moduleEvent{
			dispatch.Event{
				Kind: dispatch.EvHealthCheck, Executor: executor, Outcome: o, Elapsed: milliseconds(elapsed), Report: report,
			},
		},
	)
}

// UpdateEndpoints takes a snapshot or delta of the endpoint list.
func (c *Core) UpdateEndpoints(l EndpointList) { c.post(endpointUpdate{l}) }

// PeerMessage takes a message of another node.
func (c *Core) PeerMessage(from uint32, data []byte) {
	c.post(moduleEvent{dispatch.Event{Kind: dispatch.EvGossip, From: from, Data: data}})
}

// SetProcesses takes how many processes of this node send at the same time, this one included.
func (c *Core) SetProcesses(count int) {
	c.post(moduleEvent{dispatch.Event{Kind: dispatch.EvProcesses, Amount: float64(count)}})
}

// Terminate ends a job that was never sent, or returns why it cannot. A job that was sent goes on, since executors
// offer no way to stop it.
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

// Counts returns the node's counts.
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

// Executors returns the listed executors, sorted by name, with the attempts of this node in flight.
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

// Rules returns the rules in force. An index of a class in them stands for the same rules while a job of the class is
// open, and until RetiredClass.ReusableAt; whoever keeps a class for longer keeps ClassRules. An index of a tenant
// never changes.
func (c *Core) Rules() *Rules { return c.rules.Load() }

// UpdateSettings puts new settings in force. New jobs follow them, and open jobs keep the rules under which they were
// accepted. Jobs of a class that the new settings do not contain are still accepted for the time late. After an error
// the old settings stay in force. Calls must not overlap.
func (c *Core) UpdateSettings(ctx context.Context, s dispatch.Settings, names Names, late time.Duration) error {
	// Invalid settings are reported at once, even while changes wait for the endpoint list.
	if _, _, err := c.Rules().Update(s, names, c.clock.now(), late, NoneInUse); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.post(configChange{s, names, late, done})
	select {
	case err := <-done:
		return err
	case <-c.intake.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether the node can serve: it does not hold jobs, its endpoint list contains a ready executor, and it
// is known which requests the node's other processes have open.
// Without a list from discovery the node counts as ready after ReadyBy: if discovery is down, a node that rejects what
// it cannot send is of more use than none.
func (c *Core) Ready() bool {
	if c.status.holdsJobs.Load() || c.adapters.traceIDs != nil && !c.adapters.traceIDs.Known() {
		return false
	}
	return c.status.hasReadyExecutor.Load() ||
		!c.status.endpointsConfirmed.Load() && c.clock.sinceStart(c.clock.now()) >= c.limits.ReadyTimeout
}

// Drain marks the node as drained by the operator: its health checks fail, so that clients go elsewhere, and it goes
// on answering the jobs it accepted. Drain reports whether the node was not drained before; a second call changes
// nothing.
func (c *Core) Drain() bool { return !c.status.drained.Swap(true) }

// Activate reverts a drain and reports whether the node was drained.
func (c *Core) Activate() bool { return c.status.drained.Swap(false) }

// Drained reports whether the operator has drained the node.
func (c *Core) Drained() bool { return c.status.drained.Load() }

// Open returns the number of jobs that are not answered yet.
func (c *Core) Open() int { return int(c.open.total.Load()) }
