package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
	"gatetack/internal/precheck"
)

// requeueRejected puts a job that the core rejected back in the queue, to be tried again after a delay.
func (f *Front) requeueRejected(j *job, after time.Duration, now time.Time) {
	j.mu.Lock()
	j.core = 0
	j.mu.Unlock()
	id := j.record().ID
	j.setPlacement(nil)
	f.mu.Lock()
	if f.jobs[id] != j {
		f.mu.Unlock()
		return // it was dropped while it was with the core: only the partition's owner may queue it
	}
	f.queue.Rejected(j.ref, now.Add(after), now)
	f.ramp.Rejected()
	j.startCounted = false
	f.mu.Unlock()
	f.recordLater(j) // record that nothing of it is in flight any more
	f.wake()
}

// raiseRamp counts the start of a queued job for the ramp, once each time that the job is handed over. An executor
// that starts a job had room for it, however long the job runs: a ramp that waited for jobs to end would keep a
// tenant below its reserved share for as long as they run.
func (f *Front) raiseRamp(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !j.queue || j.startCounted {
		return
	}
	j.startCounted = true
	f.ramp.Started()
	f.wake()
}

// pump hands the jobs whose turn it is to the core, and returns after how long to call it again if nothing wakes it.
func (f *Front) pump(ctx context.Context) time.Duration {
	const never = time.Hour
	if f.draining.Load() {
		return never
	}
	now := time.Now()
	f.mu.Lock()
	refs, wake := f.queue.Next(now, f.ramp.Allowed()-f.queue.InFlight())
	jobs := make([]*job, 0, len(refs))
	for _, ref := range refs {
		j := f.waiting[ref.ID]
		if a := f.arrays[ref.ID]; a != nil {
			j = f.memberJob(a, ref, now)
		}
		jobs = append(jobs, j)
	}
	f.mu.Unlock()
	var g sync.WaitGroup
	for _, j := range jobs {
		g.Go(func() { f.handOver(ctx, j) })
	}
	g.Wait()
	if wake.IsZero() {
		return never
	}
	return max(time.Until(wake), time.Millisecond)
}

// handOver hands a waiting job to the core. The hand-over is recorded first, so a job without such a record has not
// run.
func (f *Front) handOver(ctx context.Context, j *job) {
	now := time.Now()
	if !j.deadline.IsZero() && !now.Before(j.deadline) {
		j.end(func(r *Record) {
			r.State, r.SubState, r.Annotation = Failed, subTerminated, "its deadline passed while it waited"
			if r.mayHaveRun() {
				r.SubState, r.Annotation = subFailed, mayHaveRunAnnotation
			}
		}, now)
		return
	}
	if !j.isRepeatAllowed(now) {
		j.end(func(r *Record) { r.State, r.SubState, r.Annotation = Failed, subFailed, mayHaveRunAnnotation }, now)
		return
	}
	j.update(func(r *Record) {
		r.wait()
		r.HandedOver, r.RetryMS = true, 0
	})
	failpoint.At(failpoint.JobHandOver)
	if err := f.writeRecord(ctx, j, nil); err != nil {
		id := j.record().ID
		if p, ok := partitionOf(id); ok && f.ownedElsewhere(id) {
			f.Drop(p) // it was queued while the partition was being dropped, and that drop missed it
		}
		f.requeueRejected(j, f.lim.StoreElectionTimeout, now)
		return
	}
	in := j.in
	in.TraceID, in.Earlier = newTraceID(), j.earliestAttempt()
	_ = f.submitToCore(in, j) // if the core rejects it, it waits again
}

// submitToCore submits a job to the core.
func (f *Front) submitToCore(in node.Job, j *job) error {
	if in.TimeLeft = node.FromMs(in.AcceptedClass.Rules.Deadline); !j.deadline.IsZero() {
		in.TimeLeft = time.Until(j.deadline)
	}
	if f.placer != nil && len(in.Inputs) > 0 {
		prices, why, ended := f.placer.Place(in.Inputs, in.AcceptedClass, in.TimeLeft)
		in.ZonePrices = prices
		j.setPlacement(ended)
		j.update(func(r *Record) { r.Annotation = why })
	}
	if f.store != nil {
		until := time.Now().Add(in.TimeLeft)
		in.BeforeSend = func(executor string) error { return f.recordSend(j, executor, in.TraceID, until) }
	}
	id := j.record().ID
	if f.router != nil && failpoint.Without != failpoint.Fence {
		in.PreSendCheck = func() precheck.Reason {
			if f.ownedElsewhere(id) {
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

// recordSend records a send before it is made: after a restart, a job with a recorded send may have run, and a job
// without one has not.
func (f *Front) recordSend(j *job, executor, trace string, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	j.mu.Lock()
	previous := j.r.Trace
	j.r.Trace = trace
	traces := j.r.traces()
	j.mu.Unlock()
	var more []jobstore.Change
	if previous != "" && !slices.Contains(traces, previous) {
		more = append(more, jobstore.Change{Kind: kindSent, Key: previous})
	}
	err := f.writeRecord(ctx, j, func(r *Record) error {
		if r.State.final() {
			return &endedError{r.ID}
		}
		r.SubState, r.Machines = subSent, []string{executor}
		return nil
	}, more...)
	if err == nil {
		failpoint.At(failpoint.Intent)
	}
	return err
}
