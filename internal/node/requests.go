package node

// This file holds what fronts and carriers call: each call becomes an event of the core.

import (
	"context"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/slowpeer"
)

type submittedJob struct {
	job *job
	at  time.Time
}
type clientLeft uint32
type terminateRequest struct {
	id   uint32
	done chan error
}
type peerMessage struct {
	from uint32
	data []byte
}
type countsRequest chan Counts
type machinesRequest chan []Machine
type shutdown time.Time
type configChange struct {
	rules   *Rules
	origins map[int]int
	done    chan error
}

// Submit hands in a job. Unless it fails, the client gets one answer, or Gone is called. It never blocks.
func (c *Core) Submit(in Job, client Client) (uint32, error) {
	now := c.now()
	j := &job{id: c.lastJobID.Add(1), request: in, client: client, acceptedAt: now, deadline: now.Add(in.Left)}
	if err := c.reserve(j); err != nil {
		return 0, err
	}
	select {
	case c.events <- submittedJob{j, now}:
		return j.id, nil
	default:
		c.unreserve(j)
		return 0, ErrFull
	}
}

// reserve counts an open job, unless there are too many: of all, or of its customer where the file bounds those. Which
// job is admitted is the module's to say; this keeps what waits to be told to it from growing without bound.
func (c *Core) reserve(j *job) error {
	if int(c.openJobs.Add(1)) > c.limits.MaxOpen {
		c.openJobs.Add(-1)
		return ErrFull
	}
	if most := c.limits.Pace.Requests; most > 0 && j.request.Tenant < len(c.openByTenant) && int(c.openByTenant[j.request.Tenant].Add(1)) > most {
		c.unreserve(j)
		c.slowPeers.Add(slowpeer.ClientShare)
		return ErrShare
	}
	return nil
}

// free gives back what reserve counted.
func (c *Core) unreserve(j *job) {
	c.openJobs.Add(-1)
	if c.limits.Pace.Requests > 0 && j.request.Tenant < len(c.openByTenant) {
		c.openByTenant[j.request.Tenant].Add(-1)
	}
}

// post hands an event in that must not be lost. Only the core's end makes it give up.
func (c *Core) post(ev any) {
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// Gone says that a job's client has left. Its answer may cross with it.
func (c *Core) Gone(id uint32) { c.post(clientLeft(id)) }

// Leave says that the node may end any moment. What it took after a time, and whatever nothing was sent of, is
// answered now, and so is all that still comes; what is older may yet be served.
func (c *Core) Leave(after time.Time) { c.post(shutdown(after)) }

// Result takes what came of an attempt.
func (c *Core) Result(r Result) { c.post(r) }

// Probed takes what came of a probe.
func (c *Core) Probed(worker uint32, o dispatch.Outcome, elapsed time.Duration, report []float32) {
	c.post(dispatch.Event{Kind: dispatch.EvProbed, Worker: worker, Outcome: o, Elapsed: milliseconds(elapsed), Report: report})
}

// List takes a list or a change of it.
func (c *Core) List(l List) { c.post(l) }

// Peer takes a message of another node.
func (c *Core) Peer(from uint32, data []byte) { c.post(peerMessage{from, data}) }

// Terminate ends a job of which nothing was sent, or else says why not. A job that was sent goes on: nothing
// stops it at an executor.
func (c *Core) Terminate(ctx context.Context, id uint32) error {
	to := make(chan error, 1)
	c.post(terminateRequest{id, to})
	select {
	case err := <-to:
		return err
	case <-c.stopped:
		return ErrUnknown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Counts tells what was done so far.
func (c *Core) Counts(ctx context.Context) (Counts, error) {
	to := make(countsRequest, 1)
	c.post(to)
	select {
	case n := <-to:
		return n, nil
	case <-c.stopped:
		return Counts{}, context.Canceled
	case <-ctx.Done():
		return Counts{}, ctx.Err()
	}
}

// Machines tells which executors are listed, by name, and what of this node is out there.
func (c *Core) Machines(ctx context.Context) ([]Machine, error) {
	to := make(machinesRequest, 1)
	c.post(to)
	select {
	case all := <-to:
		return all, nil
	case <-c.stopped:
		return nil, context.Canceled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Rules are those in force. A place in them stands for the same class or tenant for as long as a job of it can be open.
func (c *Core) Rules() *Rules { return c.rules.Load() }

// Retune puts settings read anew in force: new jobs come under them, open ones keep the rules they came under. Late is how
// long jobs of a class that is no longer named are still taken. After an error all is as it was. Calls must not overlap.
func (c *Core) Retune(ctx context.Context, s dispatch.Settings, names Names, late time.Duration) error {
	next, from, err := c.Rules().Retune(s, names, c.now(), late)
	if err != nil {
		return err
	}
	to := make(chan error, 1)
	c.post(configChange{next, from, to})
	select {
	case err := <-to:
		return err
	case <-c.stopped:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready says whether the node can serve: it runs and its list names an executor that takes work. For a list it does not wait
// longer than a while: discovery may be down, and a node that refuses what it can not send is of more use than none.
func (c *Core) Ready() bool {
	if c.holdsJobs.Load() {
		return false
	}
	return c.hasReadyExecutor.Load() || !c.endpointsConfirmed.Load() && c.now().Sub(c.start) >= c.limits.ReadyBy
}

// Drain marks the node as drained by its operator: it tells clients to go elsewhere, and goes on answering what it
// took. It says whether the node was serving before; a second drain changes nothing.
func (c *Core) Drain() bool { return !c.drained.Swap(true) }

// Activate undoes a drain; on a node that was not drained it changes nothing. It says whether the node was drained.
func (c *Core) Activate() bool { return c.drained.Swap(false) }

// Drained says whether the operator has drained the node.
func (c *Core) Drained() bool { return c.drained.Load() }

// Open is how many jobs are owed an answer.
func (c *Core) Open() int { return int(c.openJobs.Load()) }
