package actorhost

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/actor"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/migration"
	"gatetack/internal/store"
)

// Call makes a client's call at the current owner of an actor. Via is the client's zone. If hop is set, another node
// forwarded the call, and it is not forwarded again.
func (h *Host) Call(ctx context.Context, id string, number uint64, body json.RawMessage, via string, hop bool) (answer json.RawMessage, at string, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCallTimeout)
	defer cancel()
	var unknown error
	for {
		answer, at, err = h.tryCall(ctx, id, number, body, via, hop)
		if jobstore.IsUnknownOutcome(err) {
			unknown = err
		}
		if away := (*UnavailableError)(nil); !errors.Is(err, errNotOwner) && !errors.As(err, &away) || hop || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if errors.Is(err, errNotOwner) {
		err = &UnavailableError{ID: id, Why: "its owner changed during the call"}
	}
	if unknown != nil && errors.As(err, new(*UnavailableError)) {
		err = unknown // an earlier attempt may have had the call's effect
	}
	return answer, at, err
}

// tryCall makes one attempt at a call.
func (h *Host) tryCall(ctx context.Context, id string, number uint64, body json.RawMessage, via string, hop bool) (json.RawMessage, string, error) {
	v := h.Store.View()
	node, epoch, ok := ownerOf(v, id)
	if !ok {
		r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: OwnerTable, Key: id, Cond: true})
		if err != nil {
			return nil, "", unavailable(id, err)
		}
		if r.OK() {
			return nil, "", &NotFoundError{id}
		}
		return nil, "", &UnavailableError{ID: id, Why: "this node does not know its owner yet"}
	}
	if node != h.Name {
		row, found := hostOf(v, node)
		switch {
		case !found:
			return nil, "", h.takeOver(ctx, id, node, epoch)
		case hop:
			return nil, "", errNotOwner
		}
		return h.forward(ctx, row.Addr, id, number, body, via)
	}
	x := h.hosted(id, epoch)
	x.mu.Lock()
	defer x.mu.Unlock()
	answer, err := h.applyEvent(ctx, id, x, &actor.Event{Kind: actor.Call, At: time.Now().UnixMilli(), Number: number, Body: body})
	if err == nil {
		x.device.ObserveCall(via, h.elapsedMillis(), h.Rules)
		h.migrate(ctx, id, x)
	}
	return answer, h.Name, err
}

// takeOver makes this node the owner of an actor whose node is lost, which means that its entry in the host table has
// expired by the log's time.
func (h *Host) takeOver(ctx context.Context, id, node string, epoch uint64) error {
	value, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: HostTable, Key: node, Cond: true},
		kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: value, Keep: true, Cond: true, If: epoch})
	if err == nil && r.OK() {
		h.Log.Info("desk taken over", "desk", id, "epoch", r.Version, "was", node)
		_, err = h.waitApplied(ctx, r.Version)
	}
	if err != nil {
		return unavailable(id, err)
	}
	return errNotOwner // the caller looks up the owner again: it is this node or one that was faster
}

// migrate moves an actor closer to its device if the planner decides so. x.mu is held: calls that arrive meanwhile
// wait, and are made at the new owner.
func (h *Host) migrate(ctx context.Context, id string, x *hostedActor) {
	v := h.Store.View()
	here := migration.Node{Name: h.Name, Zone: h.Zone}
	if row, ok := hostOf(v, h.Name); ok {
		here = row.node(h.Name)
	}
	h.mu.Lock()
	to, _ := h.planner.Decide(h.elapsedMillis(), &x.device, here, func() []migration.Node { return candidates(v) })
	h.mu.Unlock()
	if to == "" {
		return
	}
	row, ok := hostOf(v, to)
	if !ok {
		return
	}
	began := time.Now()
	value, _ := json.Marshal(ownerRow{to})
	// If the target is lost by then, the actor is taken over like any other actor of a lost node.
	r, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: value, Keep: true, Cond: true, If: x.epoch})
	if err != nil {
		x.state = nil // the migration may have been committed: the next load checks the owner
		return
	}
	if !r.OK() {
		h.evict(id, x)
		return
	}
	h.evict(id, x)
	h.Log.Info("desk moved", "desk", id, "to", to, "zone", row.Zone, "epoch", r.Version, "took", time.Since(began))
}

// zoneHeader is the header field with the client's zone in a forwarded call.
const zoneHeader = "X-Gatetack-Zone"

// forward makes a call at the owner of an actor.
func (h *Host) forward(ctx context.Context, addr, id string, number uint64, body json.RawMessage, via string) (json.RawMessage, string, error) {
	text, _ := json.Marshal(map[string]any{"number": number, "body": body})
	ctx, cancel := context.WithTimeout(ctx, h.Limits.LeaseTTL/2)
	defer cancel()
	m, err := h.Forward(ctx, addr, &http1.Message{Method: "POST", Target: h.Prefix + "/desks/" + url.PathEscape(id) + "/calls", Body: text,
		Fields: []http1.Field{{Name: zoneHeader, Value: via}}})
	if err != nil && !errors.As(err, new(*store.UnreachableError)) { // the owner may have received the call
		err = &jobstore.UnknownOutcomeError{Cause: err}
	}
	if err != nil {
		return nil, "", notWritten(id, err)
	}
	v := gjson.ParseBytes(m.Body)
	if v.Get("error").String() == outcomeUnknown {
		return nil, "", notWritten(id, &jobstore.UnknownOutcomeError{Cause: errors.New(v.Get("message").String())})
	}
	switch v.Get("code").String() {
	case "":
	case (&actor.OrderError{}).Code():
		return nil, "", &actor.OrderError{Number: number, Next: v.Get("next").Uint()}
	case (&actor.CallError{}).Code():
		return nil, "", &actor.CallError{Why: v.Get("message").String()}
	default:
		return nil, "", &UnavailableError{ID: id, Why: v.Get("message").String()}
	}
	if m.Status != 200 {
		return nil, "", &UnavailableError{ID: id, Why: "unexpected response of its owner: " + string(m.Body)}
	}
	return json.RawMessage(v.Get("answer").Raw), v.Get("node").String(), nil
}
