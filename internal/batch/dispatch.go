package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
)

// refused takes back a job that the core refused, to wait for a while.
func (f *Front) refused(j *job, after time.Duration, now time.Time) {
	j.mu.Lock()
	j.core = 0
	j.mu.Unlock()
	id := j.record().ID
	j.place(nil)
	f.mu.Lock()
	if f.jobs[id] != j {
		f.mu.Unlock()
		return // let go of while it was out: to wait here again it would have to be this node's
	}
	f.queue.Rejected(j.ref, now.Add(after), now)
	f.ramp.Rejected()
	j.raisedRamp = false
	f.mu.Unlock()
	f.later(j) // that nothing of it is out any more
	f.wake()
}

// raiseRamp counts the start of a job from the queue, once each time that it is handed over. An executor that starts a
// job had room for it, however long the job runs: a ramp that waited for ends held back for as long what a tenant may run
// in its reserved share.
func (f *Front) raiseRamp(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !j.queue || j.raisedRamp {
		return
	}
	j.raisedRamp = true
	f.ramp.Started()
	f.wake()
}

// pump hands jobs whose turn it is to the core, and says when to do so again if nothing else happens.
func (f *Front) pump(ctx context.Context) time.Duration {
	const never = time.Hour
	if f.stop.Load() {
		return never
	}
	now := time.Now()
	f.mu.Lock()
	refs, wake := f.queue.Next(now, f.ramp.Allowed()-f.queue.InFlight())
	jobs := make([]*job, 0, len(refs))
	for _, ref := range refs {
		j := f.waits[ref.ID]
		if a := f.arrays[ref.ID]; a != nil {
			j = f.member(a, ref, now)
		}
		jobs = append(jobs, j)
	}
	f.mu.Unlock()
	var g sync.WaitGroup
	for _, j := range jobs {
		g.Go(func() { f.hand(ctx, j) })
	}
	g.Wait()
	if wake.IsZero() {
		return never
	}
	return max(time.Until(wake), time.Millisecond)
}

// hand gives a job that waited to the core. It is on record as given before that: a job that is not has not run.
func (f *Front) hand(ctx context.Context, j *job) {
	now := time.Now()
	if !j.until.IsZero() && !now.Before(j.until) {
		j.end(func(r *Record) {
			r.State, r.SubState, r.Annotation = Failed, subTerminated, "its deadline passed while it waited"
		}, now)
		return
	}
	j.update(func(r *Record) {
		r.State, r.SubState, r.Handed = Queued, subHeld, true
		r.RetryMS = 0
	})
	failpoint.At(failpoint.Hand)
	if err := f.put(ctx, j, nil); err != nil {
		id := j.record().ID
		if p, ok := partitionOf(id); ok && f.foreign(id) {
			f.Drop(p) // it was taken while the partition was being let go of, and was not seen then
		}
		f.refused(j, f.lim.StoreElectionTimeout, now)
		return
	}
	in := j.in
	in.TraceID = trace()
	_ = f.give(in, j) // refused, it waits again
}

// give submits to the core.
func (f *Front) give(in node.Job, j *job) error {
	if in.TimeLeft = node.FromMs(f.class(in.Class).Deadline); !j.until.IsZero() {
		in.TimeLeft = time.Until(j.until)
	}
	if f.placer != nil && len(in.Inputs) > 0 {
		prices, why, ended := f.placer.Place(in.Inputs, in.Class, in.TimeLeft)
		in.ZonePrices = prices
		j.place(ended)
		j.update(func(r *Record) { r.Annotation = why })
	}
	if f.store != nil {
		until := time.Now().Add(in.TimeLeft)
		in.BeforeSend = func(executor string) error { return f.sending(j, executor, in.TraceID, until) }
	}
	id := j.record().ID
	if f.fleet != nil && failpoint.Without != failpoint.Fence {
		in.PreSendCheck = func() precheck.Reason {
			if f.foreign(id) {
				return precheck.LeaseLost
			}
			return precheck.Allowed
		}
	}
	core, err := f.core.Submit(in, j)
	if err != nil {
		j.Answer(node.Answer{End: node.Rejected, RetryAfter: f.lim.MinBatchRetryDelay, Reason: err.Error()})
		return err
	}
	j.mu.Lock()
	j.core = core
	j.mu.Unlock()
	return nil
}

// sending records a send before it is made: after a restart, a job with a send on record may have run, and one
// without any has not.
func (f *Front) sending(j *job, executor, trace string, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	j.mu.Lock()
	was := j.r.Trace
	j.r.Trace = trace
	j.mu.Unlock()
	var more []jobstore.Change
	if was != "" && was != trace {
		more = append(more, jobstore.Change{Kind: kindSent, Key: was})
	}
	err := f.put(ctx, j, func(r *Record) error {
		if r.State.over() {
			return errors.New("the job has ended")
		}
		r.SubState, r.Machines = subSent, []string{executor}
		return nil
	}, more...)
	if err == nil {
		failpoint.At(failpoint.Intent)
	}
	return err
}
