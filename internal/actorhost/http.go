package actorhost

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"gatetack/internal/actor"
	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/leaseholder"
	"gatetack/internal/operr"
)

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, v any) http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return http1.Text(500, "%v", err)
	}
	return http1.Response{Status: status, Body: body, Fields: []http1.Field{{Name: "Content-Type", Value: "application/json"}}}
}

// outcomeUnknown is the error of a response to a call that may have had its effect, or may have it later.
const outcomeUnknown = "OUTCOME_UNKNOWN"

// errorResponse returns the response for an error, with its code and what the caller can do.
func errorResponse(id string, err error) http1.Response {
	status, v := 503, map[string]any{"error": "TRY_LATER", "message": err.Error(), "do": operr.Remedy(err)}
	var order *actor.OrderError
	var t operr.Error
	if errors.As(err, &t) {
		v["code"] = t.Code()
	}
	switch {
	case jobstore.IsUnknownOutcome(err):
		status, v["error"], v["id"] = 504, outcomeUnknown, id
	case errors.As(err, &order):
		status, v["error"], v["next"] = 409, "INVALID_STATE", order.Next
	case errors.As(err, new(*actor.CallError)), errors.As(err, new(*actor.FunctionError)):
		status, v["error"] = 400, "INVALID_ARGUMENT"
	case errors.As(err, new(*NotFoundError)):
		status, v["error"] = 404, "INVALID_ARGUMENT"
	case errors.As(err, new(*ExistsError)):
		status, v["error"] = 409, "INVALID_STATE"
	}
	r := jsonResponse(status, v)
	if status == 503 {
		r.Fields = append(r.Fields, http1.RetryAfter(200*time.Millisecond))
	}
	return r
}

// Handle serves requests under /desks. p is the rest of the path, split.
func (h *Host) Handle(ctx context.Context, m *http1.Message, p []string) http1.Response {
	bad := func(text string) http1.Response {
		return jsonResponse(400, map[string]any{"error": "INVALID_ARGUMENT", "message": text})
	}
	v, err := boundedjson.Parse(m.Body, boundedjson.DocumentDepth)
	if m.Method == "POST" && err != nil {
		return bad("body: " + err.Error())
	}
	switch {
	case len(p) == 0 && m.Method == "POST":
		id := v.Get("id").String()
		if id == "" || len(id) > 128 {
			return bad("id: expected 1 to 128 bytes")
		}
		if err := h.Create(ctx, id, []byte(v.Get("function").String())); err != nil {
			return errorResponse(id, err)
		}
		return jsonResponse(201, map[string]any{"id": id, "node": h.Name})
	case len(p) == 2 && p[1] == "calls" && m.Method == "POST":
		via, hop := h.Zone, m.Get(leaseholder.ForwardedByHeader) != ""
		if z := m.Get(zoneHeader); hop && z != "" {
			via = z
		}
		body := json.RawMessage(v.Get("body").Raw)
		if body == nil {
			body = json.RawMessage("null")
		}
		out, at, err := h.Call(ctx, p[0], v.Get("number").Uint(), body, via, hop)
		if err != nil {
			return errorResponse(p[0], err)
		}
		if out == nil {
			out = json.RawMessage("null")
		}
		return jsonResponse(200, map[string]any{"answer": out, "node": at})
	case len(p) == 1 && m.Method == "GET":
		return h.describe(ctx, p[0])
	}
	return jsonResponse(404, map[string]any{"error": "INVALID_ARGUMENT", "message": "no such path, or not by " + m.Method})
}

// describe returns the committed state of an actor, whichever node owns it.
func (h *Host) describe(ctx context.Context, id string) http1.Response {
	r, err := h.txn(ctx)
	if err != nil {
		return errorResponse(id, unavailable(id, err))
	}
	view, err := h.waitApplied(ctx, r.Version)
	if err != nil {
		return errorResponse(id, unavailable(id, err))
	}
	e, ok := view.Get(ActorTable, id)
	node, epoch, _ := ownerOf(view, id)
	if !ok {
		return errorResponse(id, &NotFoundError{id})
	}
	d, err := actor.Decode(e.Value)
	if err != nil {
		return errorResponse(id, err)
	}
	return jsonResponse(200, map[string]any{"id": id, "node": node, "epoch": epoch, "last": d.LastCall, "state": d.State, "jobs": len(d.Jobs), "timers": d.Timers})
}
