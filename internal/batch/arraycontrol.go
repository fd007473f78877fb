package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
)

// arrayCall handles a call on an array.
func (f *Front) arrayCall(ctx context.Context, session, id, call string) http1.Response {
	a, ok, err := f.findArray(ctx, id)
	if err != nil {
		return tryLater("the store can not tell: " + err.Error())
	}
	if !ok || session != "" && a.record().Session != session {
		return problem(404, "INVALID_ARGUMENT", "jobArrayId", "no job array has the id "+quote(id))
	}
	switch call {
	case "":
		return jsonResponse(200, a.record().status())
	case "terminate":
		return f.terminateArray(ctx, a)
	case "hold", "release":
		return f.holdArray(a, call == "hold")
	}
	return f.suspendUnsupported(call)
}

// suspendUnsupported rejects suspend and resume, which executors do not offer.
func (f *Front) suspendUnsupported(call string) http1.Response {
	return problem(501, "UNSUPPORTED_OPERATION", "", call+": nothing stops or continues a job at a render box")
}

// holdArray holds the members whose turn is yet to come, or releases them.
func (f *Front) holdArray(a *array, held bool) http1.Response {
	a.controlMu.Lock()
	defer a.controlMu.Unlock()
	now, id := time.Now(), a.record().ID
	f.mu.Lock()
	wasHeld := f.queue.IsHeld(id)
	done := wasHeld
	if held {
		done = f.queue.Hold(id, now)
	}
	f.mu.Unlock()
	if !done {
		return jsonResponse(409, map[string]any{"error": "INVALID_STATE", "message": "no member of the array waits, or none is on hold", "jobArray": a.record().status()})
	}
	// A release is on record before members are handed to the core.
	err := f.commitArray(a, func(r *arrayRecord) { r.Held = held })
	rejected := err != nil && !jobstore.IsUnknownOutcome(err)
	if err == nil && !held || rejected && !wasHeld {
		f.mu.Lock()
		f.queue.Release(id, time.Now())
		f.mu.Unlock()
		f.wake()
	}
	if err != nil {
		return writeError(id, "the call could not be recorded", err)
	}
	return jsonResponse(200, a.record().status())
}

// terminateArray ends the members that were not sent. Members that were sent keep running, and are counted by how
// they end.
func (f *Front) terminateArray(ctx context.Context, a *array) http1.Response {
	now := time.Now()
	x := a.record()
	f.mu.Lock()
	requeued := f.queue.Requeued(x.ID)
	refs := f.queue.Remove(x.ID, now)
	var waiting []*job // members that had their turn, were requeued, and wait again
	ended := 0
	for _, r := range refs {
		switch j := f.jobs[memberID(r.ID, r.Index)]; {
		case j != nil:
			waiting = append(waiting, j)
		case slices.Contains(requeued, r.Index): // the turn was in an earlier incarnation
			waiting = append(waiting, f.memberWithoutTurn(a, r))
		default:
			ended++
		}
	}
	a.update(func(r *arrayRecord) {
		if ended > 0 {
			r.Terminated = true
			r.Failed += ended
		}
	})
	var sent []*job
	for _, j := range f.order {
		if j.array == a && !slices.Contains(waiting, j) {
			if r := j.record(); !r.State.final() {
				sent = append(sent, j)
			}
		}
	}
	if a.finished() {
		f.releaseArray(a)
	}
	f.mu.Unlock()
	for _, j := range waiting {
		j.end((*Record).terminate, now)
	}
	still, terminated := 0, waiting
	for _, j := range sent {
		if core := j.coreID(); core != 0 && f.core.Terminate(ctx, core) == nil {
			terminated = append(terminated, j)
		} else if r := j.record(); !r.State.final() {
			still++
		}
	}
	if err := f.recordEnds(terminated); err != nil {
		go f.recordArrayUntilWritten(a)
		return outcomeUnknown(x.ID, "members are ended here, and that is not on record yet: "+err.Error())
	}
	if err := f.recordArray(a); err != nil {
		go f.recordArrayUntilWritten(a)
		return outcomeUnknown(x.ID, "its members are ended here, and that is not on record yet: "+err.Error())
	}
	if still > 0 {
		return jsonResponse(409, map[string]any{"error": "INVALID_STATE", "jobArray": a.record().status(), "stillOut": still,
			"message": fmt.Sprintf("%d members were sent to executors, are not stopped there, and their results still come; the others are terminated", still)})
	}
	return jsonResponse(200, a.record().status())
}
