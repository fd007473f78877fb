// Package actorhost runs actors (package actor) on the nodes that share a store. An actor and its owner are entries of the store. The
// version of the owner's entry is the epoch, a fencing token: every event is applied in one transaction under the epoch and the
// version of the actor. So a call is answered only once its effects are committed, and a former owner can neither answer, nor send,
// nor write. A migration is one transaction that writes another owner: it is atomic, whatever fails meanwhile.
//
// The public API, the stored tables and the error codes call an actor a desk.
package actorhost

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/actor"
	"gatetack/internal/fault"
	"gatetack/internal/http1"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/migration"
)

// The tables: actors, their owners, functions by hash, and the nodes that may host actors.
const (
	ActorTable    = "desk"
	OwnerTable    = "deskat"
	FunctionTable = "deskfn"
	HostTable     = "host"
)

// Store is the part of a store member that a host needs.
type Store interface {
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	View() *kv.View
}

// Front takes requests as the batch front does. The jobs of actors are submitted there.
type Front interface {
	Handle(context.Context, *http1.Message) http1.Response
}

// Forwarder sends a request to another node.
type Forwarder func(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error)

// Config is the configuration of one node's Host.
type Config struct {
	Name, Zone, Addr string // Addr is that of the node's batch front
	Store            Store
	Front            Front
	Forward          Forwarder
	Prefix           string // of the front's paths
	Capacity         int    // number of actors at which this node is full
	Rules            migration.Rules
	Limits           limits.Limits
	Log              *slog.Logger
}

// Host hosts the actors of one node.
type Host struct {
	Config
	start time.Time

	mu          sync.Mutex
	actors      map[string]*hostedActor
	functions   map[string]*actor.Function
	planner     *migration.Planner
	recovering  bool
	ownersStamp any // of the owner table when it was last read
}

// hostedActor is an actor on this node. Its lock orders the events: they are applied one after the other.
type hostedActor struct {
	mu           sync.Mutex
	state        *actor.Actor // nil: to be loaded
	stateVersion uint64       // of the actor's entry
	epoch        uint64
	lost         bool // another node owns it
	device       migration.Device
	jobIDs       map[string]string // ids of submitted jobs that are open, by name
}

type ownerRow struct {
	Node string `json:"node"`
}

type hostRow struct {
	Zone     string `json:"zone"`
	Addr     string `json:"addr"`
	Actors   int    `json:"desks"`
	Capacity int    `json:"most"`
	Unready  bool   `json:"back"`
}

// errNotOwner reports that this node does not, or no longer, own an actor. The caller looks its owner up again.
var errNotOwner = errors.New("desks: the desk is another node's by now")

// NotFoundError reports that there is no such actor.
type NotFoundError struct{ ID string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("desks: there is no desk %q", e.ID) }

// Code is its kind.
func (*NotFoundError) Code() string { return "desks.unknown" }

// Do is what can be done.
func (*NotFoundError) Do() string { return "create the desk first" }

// UnavailableError reports that an actor can not be reached at the moment.
type UnavailableError struct{ ID, Why string }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("desks: %q can not be reached: %s", e.ID, e.Why)
}

// Code is its kind.
func (*UnavailableError) Code() string { return "desks.away" }

// Do is what can be done.
func (*UnavailableError) Do() string {
	return "make the same call, with its number, again in a moment: it has one effect"
}

// ExistsError reports that an actor of the same id exists.
type ExistsError struct{ ID string }

func (e *ExistsError) Error() string { return fmt.Sprintf("desks: %q is there already", e.ID) }

// Code is its kind.
func (*ExistsError) Code() string { return "desks.exists" }

// Do is what can be done.
func (*ExistsError) Do() string { return "call it, or choose another name" }

var _ = []struct{}{fault.Kind(&NotFoundError{}), fault.Kind(&UnavailableError{}), fault.Kind(&ExistsError{})}

// New returns a Host.
func New(c Config) *Host {
	return &Host{Config: c, start: time.Now(), actors: map[string]*hostedActor{}, functions: map[string]*actor.Function{}, planner: migration.NewPlanner(c.Rules), recovering: true}
}

func (h *Host) elapsedMillis() float64 { return float64(time.Since(h.start).Microseconds()) / 1000 }

// txn runs a transaction within the time of a store call.
func (h *Host) txn(ctx context.Context, ops ...kv.Op) (*kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCall)
	defer cancel()
	return h.Store.Txn(ctx, &kv.Txn{Ops: ops})
}

// waitApplied waits until this member has applied the log up to a version.
func (h *Host) waitApplied(ctx context.Context, version uint64) (*kv.View, error) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCall)
	defer cancel()
	for {
		if v := h.Store.View(); v.Index() >= version {
			return v, nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Create makes an actor on this node.
func (h *Host) Create(ctx context.Context, id string, function []byte) error {
	f, err := actor.Compile(function)
	if err != nil {
		return err
	}
	owner, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: FunctionTable, Key: f.Hash, Value: function, Keep: true},
		kv.Op{Verb: kv.Put, Table: ActorTable, Key: id, Value: actor.New(id, f).Encode(), Keep: true, Cond: true},
		kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: owner, Keep: true, Cond: true})
	switch {
	case err != nil:
		return &UnavailableError{id, err.Error()}
	case r.Err != "":
		return &UnavailableError{id, r.Err}
	case !r.OK():
		return &ExistsError{id}
	}
	return nil
}

// ownerOf returns the owner of an actor and its epoch, as this member has them.
func ownerOf(v *kv.View, id string) (node string, epoch uint64, ok bool) {
	e, found := v.Get(OwnerTable, id)
	var o ownerRow
	if !found || json.Unmarshal(e.Value, &o) != nil {
		return "", 0, false
	}
	return o.Node, e.Version, true
}

// hostOf returns a node's entry in the host table, as this member has it.
func hostOf(v *kv.View, node string) (r hostRow, ok bool) {
	e, found := v.Get(HostTable, node)
	return r, found && json.Unmarshal(e.Value, &r) == nil
}

// hosted returns an actor of this node, and adds it if it is new or has a later epoch.
func (h *Host) hosted(id string, epoch uint64) *hostedActor {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.actors[id]
	if x == nil || x.epoch < epoch {
		x = &hostedActor{epoch: epoch, jobIDs: map[string]string{}}
		h.actors[id] = x
	}
	return x
}

// evict marks an actor as lost and forgets it. Its lock is held.
func (h *Host) evict(id string, x *hostedActor) {
	x.lost, x.state = true, nil
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.actors[id] == x {
		delete(h.actors, id)
	}
}

// load reads an actor's state. The lock of x is held. The state is no older than the check of the epoch in the log, and nobody else
// writes it under this epoch after that.
func (h *Host) load(ctx context.Context, id string, x *hostedActor) error {
	if x.state != nil {
		return nil
	}
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: OwnerTable, Key: id, Cond: true, If: x.epoch})
	if err != nil {
		return &UnavailableError{id, err.Error()}
	}
	if !r.OK() {
		h.evict(id, x)
		return errNotOwner
	}
	v, err := h.waitApplied(ctx, r.Version)
	if err != nil {
		return &UnavailableError{id, err.Error()}
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

// function returns the function of a hash, compiled once.
func (h *Host) function(hash string) (*actor.Function, error) {
	h.mu.Lock()
	f := h.functions[hash]
	h.mu.Unlock()
	if f != nil {
		return f, nil
	}
	e, ok := h.Store.View().Get(FunctionTable, hash)
	if !ok {
		return nil, &UnavailableError{hash, "its function is not here yet"}
	}
	f, err := actor.Compile(e.Value)
	if err == nil {
		h.mu.Lock()
		h.functions[hash] = f
		h.mu.Unlock()
	}
	return f, err
}

// applyEvent applies an event to an actor of this node and commits the result. The lock of x is held.
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
	case err != nil: // it may have been committed: the state is loaded before anything else is done
		x.state = nil
		return nil, &UnavailableError{id, err.Error()}
	case r.Err != "":
		return nil, &UnavailableError{id, r.Err}
	case r.Failed == 0:
		h.evict(id, x)
		return nil, errNotOwner
	case !r.OK():
		x.state = nil
		return nil, &UnavailableError{id, "it was changed beside this node's copy"}
	}
	x.state, x.stateVersion = next, r.Version
	for name := range x.jobIDs {
		if _, open := next.Jobs[name]; !open {
			delete(x.jobIDs, name)
		}
	}
	return answer, nil
}

// Call makes a client's call at the owner of an actor, wherever that is by now. Via is the zone of the client; hop says that another
// node forwarded the call, which is then not forwarded again.
func (h *Host) Call(ctx context.Context, id string, number uint64, body json.RawMessage, via string, hop bool) (answer json.RawMessage, at string, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCall)
	defer cancel()
	for {
		answer, at, err = h.tryCall(ctx, id, number, body, via, hop)
		if away := (*UnavailableError)(nil); !errors.Is(err, errNotOwner) && !errors.As(err, &away) || hop || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if errors.Is(err, errNotOwner) {
		err = &UnavailableError{id, "it moved meanwhile"}
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
			return nil, "", &UnavailableError{id, err.Error()}
		}
		if r.OK() {
			return nil, "", &NotFoundError{id}
		}
		return nil, "", &UnavailableError{id, "it is not known here yet"}
	}
	if node != h.Name {
		row, alive := hostOf(v, node)
		switch {
		case !alive:
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

// takeOver makes this node the owner of an actor whose node is lost: its entry in the host table has expired in the log.
func (h *Host) takeOver(ctx context.Context, id, node string, epoch uint64) error {
	value, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: HostTable, Key: node, Cond: true},
		kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: value, Keep: true, Cond: true, If: epoch})
	if err == nil && r.OK() {
		h.Log.Info("desk taken over", "desk", id, "epoch", r.Version, "was", node)
		_, err = h.waitApplied(ctx, r.Version)
	}
	if err != nil {
		return &UnavailableError{id, err.Error()}
	}
	return errNotOwner // the caller looks the owner up again: it is this node or a faster one
}

// migrate moves an actor after its device if the planner decides so. The lock of x is held: calls that come meanwhile wait, and go on
// at the new owner.
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
	// If the target is lost by then, the actor is taken over as any other of a lost node.
	r, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: OwnerTable, Key: id, Value: value, Keep: true, Cond: true, If: x.epoch})
	if err != nil {
		x.state = nil // it may have moved: the next load tells
		return
	}
	if !r.OK() {
		h.evict(id, x)
		return
	}
	h.evict(id, x)
	h.Log.Info("desk moved", "desk", id, "to", to, "zone", row.Zone, "epoch", r.Version, "took", time.Since(began))
}

// node returns the row as the planner takes it.
func (r hostRow) node(name string) migration.Node {
	return migration.Node{Name: name, Zone: r.Zone, Load: float64(r.Actors) / float64(max(r.Capacity, 1)), Unready: r.Unready}
}

// candidates returns the nodes that may host actors.
func candidates(v *kv.View) (all []migration.Node) {
	for _, e := range v.List(HostTable, "", "", 1<<12) {
		if r, ok := hostOf(v, e.Key); ok {
			all = append(all, r.node(e.Key))
		}
	}
	return all
}

// Run keeps this node's entry in the host table alive, and handles the timers and jobs of its actors.
func (h *Host) Run(ctx context.Context) error {
	var g errgroup.Group
	g.SetLimit(64)
	every := max(h.Limits.LeaseTTL/60, 10*time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	renewed := time.Time{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = g.Wait()
			return nil
		}
		if time.Since(renewed) >= h.Limits.LeaseTTL/3 {
			renewed = time.Now()
			g.TryGo(func() error { h.heartbeat(ctx); return nil })
		}
		h.adoptOwned()
		h.mu.Lock()
		all := make(map[string]*hostedActor, len(h.actors))
		for id, x := range h.actors {
			all[id] = x
		}
		h.mu.Unlock()
		for id, x := range all {
			if x.mu.TryLock() { // an actor that is in use is looked at the next time
				busy := h.hasWork(x)
				x.mu.Unlock()
				if busy {
					g.TryGo(func() error { h.process(ctx, id, x); return nil })
				}
			}
		}
	}
}

// adoptOwned adds the actors that this node owns in the store and does not host yet, after a restart or a migration.
func (h *Host) adoptOwned() {
	v := h.Store.View()
	h.mu.Lock()
	same := h.ownersStamp == v.Stamp(OwnerTable)
	h.ownersStamp = v.Stamp(OwnerTable)
	h.mu.Unlock()
	if same {
		return
	}
	for _, e := range v.List(OwnerTable, "", "", 1<<16) {
		if node, epoch, ok := ownerOf(v, e.Key); ok && node == h.Name {
			h.hosted(e.Key, epoch)
		}
	}
}

// heartbeat renews this node's entry in the host table. Without it other nodes take its actors over.
func (h *Host) heartbeat(ctx context.Context) {
	h.mu.Lock()
	row := hostRow{Zone: h.Zone, Addr: h.Addr, Actors: len(h.actors), Capacity: h.Capacity, Unready: h.recovering}
	h.recovering = false // from the second heartbeat on it hosts what it owns
	h.mu.Unlock()
	value, _ := json.Marshal(row)
	if _, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: HostTable, Key: h.Name, Value: value, Keep: true, TTL: h.Limits.LeaseTTL.Milliseconds()}); err != nil {
		h.Log.Debug("this node's row", "err", err)
	}
}

// Deregister removes this node's entry at a planned shutdown: other nodes take its actors over as they are called.
func (h *Host) Deregister(ctx context.Context) {
	_, _ = h.txn(ctx, kv.Op{Verb: kv.Delete, Table: HostTable, Key: h.Name})
}

// hasWork reports whether an actor has to be loaded, has a timer that is due, or has open jobs. The lock of x is held.
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

// process does what hasWork reports.
func (h *Host) process(ctx context.Context, id string, x *hostedActor) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lost || h.load(ctx, id, x) != nil {
		return
	}
	if name, due, ok := x.state.NextTimer(); ok && due <= time.Now().UnixMilli() {
		if _, err := h.applyEvent(ctx, id, x, &actor.Event{Kind: actor.TimerFired, At: time.Now().UnixMilli(), Name: name, Due: due}); err != nil {
			h.Log.Warn("a desk's timer", "desk", id, "timer", name, fault.Attrs(err))
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
