package batch

import (
	"context"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
)

// kindSent says which job was sent under a trace id: a box that calls back after its sender was lost names nothing else.
const kindSent = "sent" // by trace id, of jobs that have not ended: the id

// localReader is a store that tells what this node has of it, at no cost: callbacks of no job on record come at any rate.
type localReader interface {
	Local(kind, key string) ([]byte, bool)
}

// Late takes a callback of an attempt that no process of this node knows: one of a life that is over, or of a node that is lost
// and whose address this one took over. Where it is of a job in doubt, the doubt ends with it, at whichever node has the job.
// It does not wait.
func (f *Front) Late(body []byte) {
	s, ok := f.store.(localReader)
	v := gjson.ParseBytes(body)
	trace, state := v.Get("id").String(), v.Get("state").String()
	if !ok || trace == "" || state != "done" && state != "failed" && state != "returned" {
		return
	}
	id, ok := s.Local(kindSent, trace)
	if !ok {
		return
	}
	select {
	case f.lateCallbacks <- struct{}{}:
	default:
		return // as many as there may be are being looked into, and a doubt stays one
	}
	go func() {
		defer func() { <-f.lateCallbacks }()
		// Its partition may have no owner yet, or one that has not taken it up.
		ctx, cancel := context.WithTimeout(context.Background(), 4*f.lim.LeaseTTL)
		defer cancel()
		for !f.deliverLateCallback(ctx, string(id), body) {
			select {
			case <-time.After(f.lim.StoreElectionTimeout):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// deliverLateCallback says whether nothing more is to be done about a late callback.
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

// resolveByCallback ends the doubt of a job by what the box tells that it was last sent to. Anything else changes nothing: a job that
// goes on here is told by the core, and an end is never changed.
func (f *Front) resolveByCallback(ctx context.Context, id string, body []byte) http1.Response {
	f.resolving.Lock()
	defer f.resolving.Unlock()
	if f.ownedElsewhere(id) || f.store == nil || !gjson.ValidBytes(body) {
		return tryLater("it is not this node's job")
	}
	value, found, err := f.store.Get(ctx, kindJob, recordKey(id))
	if err != nil {
		return tryLater(err.Error())
	}
	r, v := parseRecord(value), gjson.ParseBytes(body)
	f.mu.Lock()
	alive := f.jobs[id] != nil
	f.mu.Unlock()
	switch {
	case !found || alive || r.State.final() || r.Trace != v.Get("id").String() || !slices.Contains(r.Machines, v.Get("from").String()):
		return http1.Response{Status: 204}
	case r.State != Undetermined:
		return tryLater("the job has not been taken up yet")
	}
	result := v.Get("result")
	switch state := v.Get("state").String(); {
	case state == "done" && result.Type == gjson.String:
		zero, text := 0, result.Str
		r.State, r.ExitStatus, r.Result = Done, &zero, &text
	case state == "failed":
		r.State, r.SubState = Failed, subFailed
	case state == "returned":
		r.State, r.SubState = Failed, subUnsent
	default:
		return http1.Response{Status: 204}
	}
	r.Annotation, r.Finished = "told by its box after the node that sent it had ended", time.Now()
	if err := f.recordResolution(ctx, &r); err != nil {
		return tryLater(err.Error())
	}
	f.log.Info("a box told of a job in doubt", "job", id, "from", v.Get("from").String(), "state", r.State)
	return http1.Response{Status: 204}
}

// recordResolution records the end of a job that was in doubt. Its array counted it as failed when it was taken up.
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
		all = append(all, x.change())
	}
	if err := f.store.Write(ctx, all...); err != nil {
		return err
	}
	if found {
		a.update(recount)
	}
	f.events.add(r)
	return nil
}
