package batch

import (
	"context"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
)

// kindSent is the kind of the records that map the trace ID of an attempt to its job. A callback that arrives after
// the sender was lost names nothing else.
const kindSent = "sent" // by trace ID, of jobs that have not ended: the job ID

// localReader is a store that can read this node's replica without a round trip. Callbacks that match no stored job
// may arrive at any rate, so looking them up must be cheap.
type localReader interface {
	Local(kind, key string) ([]byte, bool)
}

// LateCallbackError reports a callback that may resolve a job and could not be handled in time. The executor should
// repeat it.
type LateCallbackError struct{ Reason string }

func (e *LateCallbackError) Error() string { return "late callback: " + e.Reason }

// LateCallback handles a callback of an attempt that no process of this node knows: one of an earlier incarnation, or
// of a lost node whose address this one took over. If its job is UNDETERMINED, the callback resolves the job, at
// whichever node owns it. It returns nil once the resolution is on record, or if the callback concerns no stored job. It
// waits for the store for at most the time of a lease; a write in progress may take longer.
func (f *Front) LateCallback(body []byte) error {
	s, ok := f.store.(localReader)
	v := gjson.ParseBytes(body)
	trace, state := v.Get("id").String(), v.Get("state").String()
	if !ok || trace == "" || state != "done" && state != "failed" && state != "returned" {
		return nil
	}
	if _, known := s.Local(kindSent, trace); !known && f.isRecovered() {
		return nil
	}
	select {
	case f.lateCallbacks <- struct{}{}:
		defer func() { <-f.lateCallbacks }()
	default:
		return &LateCallbackError{"too many of them are in progress"}
	}
	ctx, cancel := context.WithTimeout(f.settling, f.lim.LeaseTTL)
	defer cancel()
	for {
		id, known := s.Local(kindSent, trace)
		if known && f.deliverLateCallback(ctx, string(id), body) || !known && f.isRecovered() {
			return nil
		}
		select {
		case <-time.After(f.lim.StoreElectionTimeout / 10):
		case <-ctx.Done():
			return &LateCallbackError{"the store does not say yet to which job it belongs, or the job has no owner yet"}
		}
	}
}

// isRecovered reports whether this node's replica has the records that earlier incarnations left: it holds its lease,
// and their partitions were adopted. Before, an attempt that is not in the replica may be on record all the same.
func (f *Front) isRecovered() bool {
	return f.router == nil || f.router.Ready() && f.router.HoldsLease()
}

// deliverLateCallback delivers a late callback to the job's owner, and reports whether the callback needs no retry.
func (f *Front) deliverLateCallback(ctx context.Context, id string, body []byte) bool {
	part, ok := partitionOf(id)
	if !ok {
		return true
	}
	if f.router != nil {
		addr, ours, known := f.router.Locate(part)
		if !known {
			return true
		}
		if !ours {
			if addr == "" {
				return false
			}
			m, err := f.router.Forward(ctx, addr, &http1.Message{Method: "POST", Target: Prefix + "/jobs/" + id + "/callback", Body: body})
			return err == nil && m.Status != 503
		}
	}
	return f.resolveByCallback(ctx, id, body).Status != 503
}

// resolveByCallback resolves an UNDETERMINED job by a callback from the executor that it was last sent to. Any other
// callback changes nothing: the core handles those of jobs that run here, and an end is final.
func (f *Front) resolveByCallback(ctx context.Context, id string, body []byte) http1.Response {
	f.resolving.Lock()
	defer f.resolving.Unlock()
	v, err := boundedjson.ParseObject(body, boundedjson.MessageDepth)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON")
	}
	if f.ownedElsewhere(id) || f.store == nil {
		return tryLater("it is not this node's job")
	}
	value, found, err := f.store.Get(ctx, kindJob, recordKey(id))
	if err != nil {
		return tryLater(err.Error())
	}
	r := parseRecord(value)
	f.mu.Lock()
	running := f.jobs[id] != nil
	f.mu.Unlock()
	switch {
	case !found || running || r.State.final() || !r.hasAttempt(v.Get("id").String(), v.Get("from").String()):
		return http1.Response{Status: 204}
	case r.State != Undetermined:
		return tryLater("the job has not been taken up yet")
	}
	r.Annotation, r.Finished = "told by its box after the node that sent it had ended", time.Now()
	result := v.Get("result")
	switch state := v.Get("state").String(); {
	case state != "done" && r.mayHaveRun(): // it says nothing of the other attempts
		return http1.Response{Status: 204}
	case state == "done" && result.Type == gjson.String:
		r.done(result.Str, f.lim.StoreBodyBytes)
	case state == "failed":
		r.State, r.SubState = Failed, subFailed
	case state == "returned":
		r.State, r.SubState = Failed, subUnsent
	default:
		return http1.Response{Status: 204}
	}
	if err := f.recordResolution(ctx, &r); err != nil {
		return tryLater(err.Error())
	}
	f.log.Info("undetermined job resolved by a callback", "job", id, "from", v.Get("from").String(), "state", r.State)
	return http1.Response{Status: 204}
}

// hasAttempt reports whether an attempt that may have run was sent to an executor under a trace ID.
func (r *Record) hasAttempt(trace, executor string) bool {
	return r.Trace == trace && slices.Contains(r.Machines, executor) ||
		slices.Contains(r.Earlier, sentAttempt{Trace: trace, Machine: executor})
}

// recordResolution records the end of a job that was UNDETERMINED. Its array counted it as failed at the adoption.
func (f *Front) recordResolution(ctx context.Context, r *Record) error {
	all := r.changes()
	a, found, err := f.findArray(ctx, r.Array)
	if err != nil {
		return err
	}
	recount := func(x *arrayRecord) { x.Done, x.Failed = x.Done+1, x.Failed-1 }
	if found = found && r.State == Done; found {
		x := a.record()
		recount(&x)
		all = append(all, x.changes()...)
	}
	if err := f.commit(all...); err != nil {
		return err
	}
	if found {
		a.update(recount)
	}
	f.events.add(r)
	return nil
}
