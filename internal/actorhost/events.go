package actorhost

import (
	"context"
	"encoding/json"

	"gatetack/internal/actor"
	"gatetack/internal/kv"
)

// Create creates an actor on this node.
func (h *Host) Create(ctx context.Context, id string, function []byte) error {
	f, err := actor.Compile(function)
	if err != nil {
		return err
	}
	owner, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.settledTxn(ctx, kv.Op{Verb: kv.Put, Table: FunctionTable, Key: f.Hash, Value: function, Keep: true},
		kv.Op{Verb: kv.Put, Table: ActorTable, Key: id, Value: actor.New(id, f).Encode(), Keep: true, Cond: true},
		kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: owner, Keep: true, Cond: true})
	switch {
	case err != nil:
		return notWritten(id, err)
	case r.Err != "":
		return &UnavailableError{ID: id, Why: r.Err}
	case !r.OK():
		return &ExistsError{id}
	}
	return nil
}

// load reads an actor's state. x.mu is held. The state is no older than the check of the epoch in the log, and no
// other node writes it under this epoch after that check.
func (h *Host) load(ctx context.Context, id string, x *hostedActor) error {
	if x.state != nil {
		return nil
	}
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: OwnerTable, Key: id, Cond: true, If: x.epoch})
	if err != nil {
		return unavailable(id, err)
	}
	if !r.OK() {
		h.evict(id, x)
		return errNotOwner
	}
	v, err := h.waitApplied(ctx, r.Version)
	if err != nil {
		return unavailable(id, err)
	}
	e, ok := v.Get(ActorTable, id)
	if !ok {
		return &NotFoundError{id}
	}
	if x.state, err = actor.Decode(e.Value); err != nil {
		return err
	}
	x.stateVersion = e.Version
	return nil
}

// function returns the function with a hash. Each function is compiled once.
func (h *Host) function(hash string) (*actor.Function, error) {
	h.mu.Lock()
	f := h.functions[hash]
	h.mu.Unlock()
	if f != nil {
		return f, nil
	}
	e, ok := h.Store.View().Get(FunctionTable, hash)
	if !ok {
		return nil, &UnavailableError{ID: hash, Why: "this node does not have the function yet"}
	}
	f, err := actor.Compile(e.Value)
	if err == nil {
		h.mu.Lock()
		h.functions[hash] = f
		h.mu.Unlock()
	}
	return f, err
}

// applyEvent applies an event to an actor of this node and commits the result. x.mu is held.
func (h *Host) applyEvent(ctx context.Context, id string, x *hostedActor, e *actor.Event) (json.RawMessage, error) {
	if x.lost {
		return nil, errNotOwner
	}
	if err := h.load(ctx, id, x); err != nil {
		return nil, err
	}
	f, err := h.function(x.state.Function)
	if err != nil {
		return nil, err
	}
	next, answer, err := x.state.Apply(f, e)
	if err != nil || next == x.state {
		return answer, err
	}
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: OwnerTable, Key: id, Cond: true, If: x.epoch},
		kv.Op{Verb: kv.Put, Table: ActorTable, Key: id, Value: next.Encode(), Keep: true, Cond: true, If: x.stateVersion})
	switch {
	case err != nil: // it may have been committed: load the state before the next event
		x.state = nil
		return nil, notWritten(id, err)
	case r.Err != "":
		return nil, &UnavailableError{ID: id, Why: r.Err}
	case r.Failed == 0:
		h.evict(id, x)
		return nil, errNotOwner
	case !r.OK():
		x.state = nil
		return nil, &UnavailableError{ID: id, Why: "the stored desk is newer than this node's copy"}
	}
	x.state, x.stateVersion = next, r.Version
	for name := range x.jobIDs {
		if _, open := next.Jobs[name]; !open {
			delete(x.jobIDs, name)
		}
	}
	return answer, nil
}
