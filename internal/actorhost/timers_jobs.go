package actorhost

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/actor"
	"gatetack/internal/http1"
	"gatetack/internal/operr"
)

// hasWork reports whether an actor must be loaded, has a timer that is due, or has open jobs. x.mu is held.
func (h *Host) hasWork(x *hostedActor) bool {
	if x.lost {
		return false
	}
	if x.state == nil {
		return true
	}
	_, due, ok := x.state.NextTimer()
	return ok && due <= time.Now().UnixMilli() || len(x.state.Jobs) > 0
}

// process loads an actor, fires a timer that is due, and checks the open jobs.
func (h *Host) process(ctx context.Context, id string, x *hostedActor) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lost || h.load(ctx, id, x) != nil {
		return
	}
	if name, due, ok := x.state.NextTimer(); ok && due <= time.Now().UnixMilli() {
		if _, err := h.applyEvent(ctx, id, x, &actor.Event{Kind: actor.TimerFired, At: time.Now().UnixMilli(), Name: name, Due: due}); err != nil {
			h.Log.Warn("timer of a desk not applied", "desk", id, "timer", name, operr.Attrs(err))
			return
		}
	}
	var names []string
	for name := range x.state.Jobs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if x.lost || x.state == nil {
			return
		}
		h.syncJob(ctx, id, x, name, x.state.Jobs[name])
	}
}

// syncJob submits an open job of an actor, or checks whether a submitted one has ended. The idempotency key makes it
// one job, however often and at whichever node it is submitted. x.mu is held.
func (h *Host) syncJob(ctx context.Context, id string, x *hostedActor, name string, j actor.OpenJob) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCallTimeout)
	defer cancel()
	if x.jobIDs[name] == "" {
		key := sha256.Sum256([]byte(j.Key)) // names of actors and jobs may contain characters that a key may not
		template := map[string]any{"jobCategory": j.Category, "accountingId": j.Account, "payload": j.Payload, "idempotencyKey": hex.EncodeToString(key[:])}
		if len(j.Inputs) > 0 {
			template["inputs"] = j.Inputs
		}
		body, _ := json.Marshal(template)
		r := h.Front.Handle(ctx, &http1.Message{Method: "POST", Target: h.Prefix + "/jobs", Body: body})
		switch r.Status {
		case 200, 201:
			x.jobIDs[name] = gjson.GetBytes(r.Body, "jobId").String()
		case 400: // it can never be submitted: the function is notified and may continue
			why := gjson.GetBytes(r.Body, "message").String()
			h.Log.Warn("job of a desk rejected", "desk", id, "job", name, "field", gjson.GetBytes(r.Body, "field").String(), "why", why)
			h.jobEnded(ctx, id, x, name, j, false, why)
		}
		return
	}
	r := h.Front.Handle(ctx, &http1.Message{Method: "GET", Target: h.Prefix + "/jobs/" + x.jobIDs[name]})
	v := gjson.ParseBytes(r.Body)
	switch state := v.Get("jobState").String(); {
	case r.Status != 200:
	case state == "DONE":
		h.jobEnded(ctx, id, x, name, j, true, v.Get("result").String())
	case state == "FAILED":
		h.jobEnded(ctx, id, x, name, j, false, v.Get("annotation").String())
	}
}

// jobEnded applies the end of a job.
func (h *Host) jobEnded(ctx context.Context, id string, x *hostedActor, name string, j actor.OpenJob, served bool, result string) {
	if _, err := h.applyEvent(ctx, id, x, &actor.Event{Kind: actor.JobEnded, At: time.Now().UnixMilli(), Job: name, Key: j.Key, Served: served, Result: result}); err != nil && !errors.Is(err, errNotOwner) {
		h.Log.Warn("end of a desk's job not applied", "desk", id, "job", name, operr.Attrs(err))
	}
}
