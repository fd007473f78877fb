package batch

import (
	"context"
	"errors"
	"slices"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

func (f *Front) info(ctx context.Context, session, id string) http1.Response {
	_, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknownJob(id)
	}
	return f.jobResponse(200, r)
}

// visible finds a job that clients of a session may see: one of that session. With an empty session, which the
// clients of the default session and the monitoring calls use, jobs of all sessions are visible by ID.
func (f *Front) visible(ctx context.Context, session, id string) (*job, Record, bool) {
	j, r, ok := f.find(ctx, id)
	if ok && session != "" && r.Session != session {
		return nil, Record{}, false
	}
	return j, r, ok
}

// template returns the template of a job (Job::jobTemplate).
func (f *Front) template(ctx context.Context, session, id string) http1.Response {
	_, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknownJob(id)
	}
	if len(r.Template) == 0 && r.Array != "" {
		if a, ok, _ := f.findArray(ctx, r.Array); ok {
			r.Template = a.record().Template
		}
	}
	if len(r.Template) == 0 {
		return conflict(r, "the template is not kept")
	}
	return http1.Response{Status: 200, Fields: jsonType(), Body: r.Template}
}

// terminate ends a job that was not sent. A job that was sent can not be stopped, and the response says so.
func (f *Front) terminate(ctx context.Context, session, id string) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknownJob(id)
	}
	if j == nil {
		if r.Array != "" && !r.State.final() && r.State != Undetermined {
			return f.terminateMember(ctx, r)
		}
		return conflict(r, "the job is not one that this node can end")
	}
	if j.queue && j.array == nil {
		if response, waited := f.terminateWaiting(j); waited {
			return response
		}
	}
	now := time.Now()
	if j.queue && f.dequeue(j, now) {
		j.end((*Record).terminate, now)
		return f.terminated(j)
	}
	err := node.ErrUnknown
	if core := j.coreID(); core != 0 {
		err = f.core.Terminate(ctx, core)
	}
	switch r = j.record(); {
	case err == nil:
		return f.terminated(j)
	case errors.Is(err, node.ErrRunning):
		return conflict(r, "the job was sent to an executor, is not stopped there, and its result still comes")
	case errors.Is(err, node.ErrUnknown) && !r.State.final():
		return conflict(r, "the job is being handed over: ask again")
	case errors.Is(err, node.ErrUnknown):
		return conflict(r, "the job has ended")
	}
	return problem(500, "INTERNAL", "", err.Error())
}

// terminateWaiting ends a job that waits in the queue and is no member of an array, once its end is on record. It
// reports false if the job does not wait. If nothing was recorded, the job goes on waiting.
func (f *Front) terminateWaiting(j *job) (response http1.Response, waited bool) {
	j.controlMu.Lock()
	defer j.controlMu.Unlock()
	now := time.Now()
	f.mu.Lock()
	wasHeld, waits := f.queue.IsHeld(j.ref.ID), f.queue.Hold(j.ref.ID, now)
	f.mu.Unlock()
	if !waits {
		return http1.Response{}, false
	}
	terminate := func(r *Record) {
		r.Finished = now
		r.terminate()
	}
	err := f.commitRecord(j, terminate)
	if err != nil && !jobstore.IsUnknownOutcome(err) {
		if !wasHeld {
			f.mu.Lock()
			f.queue.Release(j.ref.ID, time.Now())
			f.mu.Unlock()
			f.wake()
		}
		return f.recordingError(j, "the end could not be recorded", err), true
	}
	f.dequeue(j, now)
	if err != nil {
		j.end(terminate, now) // is written until the outcome is known
		return writeError(j.ref.ID, "the end could not be recorded", err), true
	}
	j.ended(now)
	f.wake()
	return f.terminatedResponse(j), true
}

// terminated records the end of a job that was terminated, and returns the response. The job has ended at this node, so
// the response never promises that the call had no effect.
func (f *Front) terminated(j *job) http1.Response {
	if err := f.recordEnd(j); err != nil {
		return outcomeUnknown(j.record().ID, "the job has ended here, and that is not on record yet: "+err.Error())
	}
	return f.terminatedResponse(j)
}

// terminatedResponse returns the response for a job whose end by its client is on record.
func (f *Front) terminatedResponse(j *job) http1.Response {
	r := j.record()
	if r.mayHaveRun() {
		return conflict(r, "an attempt may have run; the job is not repeated")
	}
	return f.jobResponse(200, r)
}

// dequeue removes a job from the queue, and reports whether it was there.
func (f *Front) dequeue(j *job, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j.array != nil {
		return f.queue.RemoveOne(j.ref, now)
	}
	return len(f.queue.Remove(j.ref.ID, now)) > 0
}

// terminateMember ends an array member whose turn has not come.
func (f *Front) terminateMember(ctx context.Context, r Record) http1.Response {
	now := time.Now()
	f.mu.Lock()
	a := f.arrays[r.Array]
	ref := jobqueue.JobRef{ID: r.Array, Index: *r.Index}
	if a == nil || !f.queue.RemoveOne(ref, now) {
		f.mu.Unlock()
		if _, r, ok := f.find(ctx, r.ID); ok { // its turn came in the meantime
			return conflict(r, "the job is being handed over: ask again")
		}
		return unknownJob(r.ID)
	}
	r.State, r.SubState, r.Annotation, r.Finished = Failed, subTerminated, terminatedUnsent, now
	j := f.memberWithoutTurn(a, ref)
	f.mu.Unlock()
	j.end(func(x *Record) { *x = r }, now)
	return f.terminated(j)
}

// memberWithoutTurn creates the job of a member that ends without a turn in this incarnation. f.mu is held.
func (f *Front) memberWithoutTurn(a *array, ref jobqueue.JobRef) *job {
	x := a.record()
	j := &job{f: f, array: a, ref: ref, changed: make(chan struct{}), ready: closedChan, r: a.memberRecord(&x, ref.Index)}
	f.register(j)
	return j
}

// hold holds or releases a waiting job (Job::hold, Job::release). A job that was handed to the core or sent to an
// executor can not be held, and the response says so.
func (f *Front) hold(ctx context.Context, session, id string, held bool) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknownJob(id)
	}
	if j == nil || !j.queue || j.array != nil {
		if r.Array != "" {
			return conflict(r, "members of an array are held and released together: name the array")
		}
		return conflict(r, "only a job that waits at this node, on hold or for its start time, can be held or released")
	}
	j.controlMu.Lock()
	defer j.controlMu.Unlock()
	if held {
		return f.holdJob(j)
	}
	return f.releaseJob(j)
}

// holdJob keeps a waiting job from being handed to the core, and records that.
func (f *Front) holdJob(j *job) http1.Response {
	now := time.Now()
	if r := j.record(); r.mayHaveRun() {
		return conflict(r, "an attempt may have run, and the job waits to be repeated in time: it can not be held")
	}
	f.mu.Lock()
	wasHeld, done := f.queue.IsHeld(j.ref.ID), f.queue.Hold(j.ref.ID, now)
	f.mu.Unlock()
	if !done {
		return conflict(j.record(), "nothing to hold: it was handed over already")
	}
	err := f.commitRecord(j, func(r *Record) { r.State, r.SubState = QueuedHeld, subHeld })
	if err == nil {
		return f.jobResponse(200, j.record())
	}
	if !wasHeld && !jobstore.IsUnknownOutcome(err) {
		f.mu.Lock()
		f.queue.Release(j.ref.ID, now)
		f.mu.Unlock()
		f.wake()
	}
	return f.recordingError(j, "the hold could not be recorded", err)
}

// recordingError returns the response to a control call whose record could not be changed.
func (f *Front) recordingError(j *job, text string, err error) http1.Response {
	r := j.record()
	if _, ended := errors.AsType[*endedError](err); ended {
		return conflict(r, "the job has ended")
	}
	return writeError(r.ID, text, err)
}

// releaseJob records that a held job may be handed to the core, and then lets it go.
func (f *Front) releaseJob(j *job) http1.Response {
	now := time.Now()
	f.mu.Lock()
	held := f.queue.IsHeld(j.ref.ID)
	f.mu.Unlock()
	if !held {
		return conflict(j.record(), "nothing to release: it is not on hold")
	}
	err := f.commitRecord(j, func(r *Record) {
		if r.State, r.SubState = Queued, subHeld; r.Start.After(now) {
			r.SubState = subDeferred
		}
	})
	if err != nil {
		return f.recordingError(j, "the release could not be recorded", err)
	}
	f.mu.Lock()
	f.queue.Release(j.ref.ID, time.Now())
	f.mu.Unlock()
	f.wake()
	return f.jobResponse(200, j.record())
}

// reap deletes a job that has ended, and its record (Job::reap).
func (f *Front) reap(ctx context.Context, session, id string) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknownJob(id)
	}
	if !r.State.final() && (j != nil || r.State != Undetermined) {
		return conflict(r, "only a job that has ended can be reaped")
	}
	if f.ownedElsewhere(id) {
		return conflict(r, "it is another node's job")
	}
	if j != nil {
		j.recordMu.Lock() // the write of its end may be in progress: delete the record after it
		defer j.recordMu.Unlock()
	}
	if f.store != nil {
		deletions := []jobstore.Change{{Kind: kindJob, Key: recordKey(id)}, {Kind: kindOpen, Key: recordKey(id)},
			{Kind: kindClassRules, Key: recordKey(id)}}
		for _, trace := range r.traces() { // of an UNDETERMINED job
			deletions = append(deletions, jobstore.Change{Kind: kindSent, Key: trace})
		}
		if err := f.commit(deletions...); err != nil {
			return writeError(id, "its end could not be recorded", err)
		}
	}
	if j != nil {
		f.mu.Lock()
		if i := slices.Index(f.order, j); i >= 0 {
			f.order = slices.Delete(f.order, i, i+1)
			f.forget(j, &r)
		}
		f.mu.Unlock()
	}
	return http1.Response{Status: 204}
}
