// Package desks runs desks (package desk) on the nodes that share a store. A desk stands in the store with its owner beside it; the
// version that the owner was written with is its epoch, and whatever is applied to a desk is one transaction under that epoch and
// the desk's own version. So a call is answered only once its effects stand, and an owner of before can neither answer, nor send,
// nor set anything. A move is one transaction that writes another owner: it was made or it was not, whatever dies at that moment.
package desks

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

// The tables: desks, who has them, functions by hash, and the nodes that may hold desks.
const (
	Desks     = "desk"
	Owners    = "deskat"
	Functions = "deskfn"
	Hosts     = "host"
)

// Store is the part of a member that is needed.
type Store interface {
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	View() *kv.View
}

// Front takes calls as the batch front does: jobs of desks are handed in there.
type Front interface {
	Handle(context.Context, *http1.Message) http1.Response
}

// Pass makes a call at another node.
type Pass func(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error)

// Config is one node's.
type Config struct {
	Name, Zone, Addr string // of its batch front
	Store            Store
	Front            Front
	Pass             Pass
	Prefix           string // of paths of the front
	Most             int    // desks that this node is full with
	Rules            migration.Rules
	Limits           limits.Limits
	Log              *slog.Logger
}

// Host holds desks at one node.
type Host struct {
	Config
	start time.Time

	mu    sync.Mutex
	held  map[string]*held
	fns   map[string]*actor.Function
	book  *migration.Planner
	back  bool
	stamp any // of the table of owners, as it was last looked through
}

// held is a desk here. Its lock is that of its order: one event is applied after the other.
type held struct {
	mu      sync.Mutex
	d       *actor.Actor // nil: to be read anew
	version uint64       // of its entry
	epoch   uint64
	gone    bool // it is another's
	device  migration.Device
	jobs    map[string]string // ids of open jobs that were handed in, by name
}

type ownerRow struct {
	Node string `json:"node"`
}

type hostRow struct {
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Desks int    `json:"desks"`
	Most  int    `json:"most"`
	Back  bool   `json:"back"`
}

// errGone says that a desk is not, or no longer, this node's: it is looked for anew.
var errGone = errors.New("desks: the desk is another node's by now")

// UnknownError says that there is no such desk.
type UnknownError struct{ ID string }

func (e *UnknownError) Error() string { return fmt.Sprintf("desks: there is no desk %q", e.ID) }

// Code is its kind.
func (*UnknownError) Code() string { return "desks.unknown" }

// Do is what can be done.
func (*UnknownError) Do() string { return "create the desk first" }

// AwayError says that a desk can not be reached at the moment.
type AwayError struct{ ID, Why string }

func (e *AwayError) Error() string {
	return fmt.Sprintf("desks: %q can not be reached: %s", e.ID, e.Why)
}

// Code is its kind.
func (*AwayError) Code() string { return "desks.away" }

// Do is what can be done.
func (*AwayError) Do() string {
	return "make the same call, with its number, again in a moment: it has one effect"
}

// ExistsError says that a desk is there already.
type ExistsError struct{ ID string }

func (e *ExistsError) Error() string { return fmt.Sprintf("desks: %q is there already", e.ID) }

// Code is its kind.
func (*ExistsError) Code() string { return "desks.exists" }

// Do is what can be done.
func (*ExistsError) Do() string { return "call it, or choose another name" }

var _ = []struct{}{fault.Kind(&UnknownError{}), fault.Kind(&AwayError{}), fault.Kind(&ExistsError{})}

// New makes a host.
func New(c Config) *Host {
	return &Host{Config: c, start: time.Now(), held: map[string]*held{}, fns: map[string]*actor.Function{}, book: migration.NewPlanner(c.Rules), back: true}
}

func (h *Host) ms() float64 { return float64(time.Since(h.start).Microseconds()) / 1000 }

// txn makes a transaction within the time of a call.
func (h *Host) txn(ctx context.Context, ops ...kv.Op) (*kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCall)
	defer cancel()
	return h.Store.Txn(ctx, &kv.Txn{Ops: ops})
}

// seen waits until this member has a transaction.
func (h *Host) seen(ctx context.Context, version uint64) (*kv.View, error) {
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

// Create makes a desk here.
func (h *Host) Create(ctx context.Context, id string, function []byte) error {
	f, err := actor.Compile(function)
	if err != nil {
		return err
	}
	owner, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: Functions, Key: f.Hash, Value: function, Keep: true},
		kv.Op{Verb: kv.Put, Table: Desks, Key: id, Value: actor.New(id, f).Encode(), Keep: true, Cond: true},
		kv.Op{Verb: kv.Put, Table: Owners, Key: id, Value: owner, Keep: true, Cond: true})
	switch {
	case err != nil:
		return &AwayError{id, err.Error()}
	case r.Err != "":
		return &AwayError{id, r.Err}
	case !r.OK():
		return &ExistsError{id}
	}
	return nil
}

// owner is who has a desk, as this member has it.
func ownerOf(v *kv.View, id string) (node string, epoch uint64, ok bool) {
	e, found := v.Get(Owners, id)
	var o ownerRow
	if !found || json.Unmarshal(e.Value, &o) != nil {
		return "", 0, false
	}
	return o.Node, e.Version, true
}

func hostOf(v *kv.View, node string) (r hostRow, ok bool) {
	e, found := v.Get(Hosts, node)
	return r, found && json.Unmarshal(e.Value, &r) == nil
}

// get gives a desk that is held here, and makes a place for one that is not yet.
func (h *Host) get(id string, epoch uint64) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.held[id]
	if x == nil || x.epoch < epoch {
		x = &held{epoch: epoch, jobs: map[string]string{}}
		h.held[id] = x
	}
	return x
}

func (h *Host) drop(id string, x *held) {
	x.gone, x.d = true, nil
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[id] == x {
		delete(h.held, id)
	}
}

// read takes a desk in as it stands. The lock of x is held. What it reads is no older than the check of the epoch that it makes in
// the log: nobody writes to the desk after that but under this epoch.
func (h *Host) read(ctx context.Context, id string, x *held) error {
	if x.d != nil {
		return nil
	}
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: Owners, Key: id, Cond: true, If: x.epoch})
	if err != nil {
		return &AwayError{id, err.Error()}
	}
	if !r.OK() {
		h.drop(id, x)
		return errGone
	}
	v, err := h.seen(ctx, r.Version)
	if err != nil {
		return &AwayError{id, err.Error()}
	}
	e, ok := v.Get(Desks, id)
	if !ok {
		return &UnknownError{id}
	}
	if x.d, err = actor.Decode(e.Value); err != nil {
		return err
	}
	x.version = e.Version
	return nil
}

func (h *Host) function(hash string) (*actor.Function, error) {
	h.mu.Lock()
	f := h.fns[hash]
	h.mu.Unlock()
	if f != nil {
		return f, nil
	}
	e, ok := h.Store.View().Get(Functions, hash)
	if !ok {
		return nil, &AwayError{hash, "its function is not here yet"}
	}
	f, err := actor.Compile(e.Value)
	if err == nil {
		h.mu.Lock()
		h.fns[hash] = f
		h.mu.Unlock()
	}
	return f, err
}

// apply has an event happen to a desk that this node has. The lock of x is held.
func (h *Host) apply(ctx context.Context, id string, x *held, e *actor.Event) (json.RawMessage, error) {
	if x.gone {
		return nil, errGone
	}
	if err := h.read(ctx, id, x); err != nil {
		return nil, err
	}
	f, err := h.function(x.d.Function)
	if err != nil {
		return nil, err
	}
	next, answer, err := x.d.Apply(f, e)
	if err != nil || next == x.d {
		return answer, err
	}
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: Owners, Key: id, Cond: true, If: x.epoch},
		kv.Op{Verb: kv.Put, Table: Desks, Key: id, Value: next.Encode(), Keep: true, Cond: true, If: x.version})
	switch {
	case err != nil: // it may have been made: it is read anew before anything else is done
		x.d = nil
		return nil, &AwayError{id, err.Error()}
	case r.Err != "":
		return nil, &AwayError{id, r.Err}
	case r.Failed == 0:
		h.drop(id, x)
		return nil, errGone
	case !r.OK():
		x.d = nil
		return nil, &AwayError{id, "it was changed beside this node's copy"}
	}
	x.d, x.version = next, r.Version
	for name := range x.jobs {
		if _, open := next.Jobs[name]; !open {
			delete(x.jobs, name)
		}
	}
	return answer, nil
}

// Call makes a client's call, wherever the desk is by now. Via is the zone that the client is in, hop says that another node passed
// the call on: it is not passed on again.
func (h *Host) Call(ctx context.Context, id string, number uint64, body json.RawMessage, via string, hop bool) (answer json.RawMessage, at string, err error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCall)
	defer cancel()
	for {
		answer, at, err = h.try(ctx, id, number, body, via, hop)
		if away := (*AwayError)(nil); !errors.Is(err, errGone) && !errors.As(err, &away) || hop || ctx.Err() != nil {
			break
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if errors.Is(err, errGone) {
		err = &AwayError{id, "it moved meanwhile"}
	}
	return answer, at, err
}

func (h *Host) try(ctx context.Context, id string, number uint64, body json.RawMessage, via string, hop bool) (json.RawMessage, string, error) {
	v := h.Store.View()
	node, epoch, ok := ownerOf(v, id)
	if !ok {
		r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: Owners, Key: id, Cond: true})
		if err != nil {
			return nil, "", &AwayError{id, err.Error()}
		}
		if r.OK() {
			return nil, "", &UnknownError{id}
		}
		return nil, "", &AwayError{id, "it is not known here yet"}
	}
	if node != h.Name {
		row, alive := hostOf(v, node)
		switch {
		case !alive:
			return nil, "", h.claim(ctx, id, node, epoch)
		case hop:
			return nil, "", errGone
		}
		return h.pass(ctx, row.Addr, id, number, body, via)
	}
	x := h.get(id, epoch)
	x.mu.Lock()
	defer x.mu.Unlock()
	answer, err := h.apply(ctx, id, x, &actor.Event{Kind: actor.Call, At: time.Now().UnixMilli(), Number: number, Body: body})
	if err == nil {
		x.device.ObserveCall(via, h.ms(), h.Rules)
		h.follow(ctx, id, x)
	}
	return answer, h.Name, err
}

// claim takes over the desk of a node that is lost: one whose row has ended in the log.
func (h *Host) claim(ctx context.Context, id, node string, epoch uint64) error {
	value, _ := json.Marshal(ownerRow{h.Name})
	r, err := h.txn(ctx, kv.Op{Verb: kv.Check, Table: Hosts, Key: node, Cond: true},
		kv.Op{Verb: kv.Put, Table: Owners, Key: id, Value: value, Keep: true, Cond: true, If: epoch})
	if err == nil && r.OK() {
		h.Log.Info("desk taken over", "desk", id, "epoch", r.Version, "was", node)
		_, err = h.seen(ctx, r.Version)
	}
	if err != nil {
		return &AwayError{id, err.Error()}
	}
	return errGone // and is looked for anew: it is here, or at who was quicker
}

// follow moves a desk after its device, if that is decided. The lock of x is held: calls that come meanwhile wait, and go on at the
// desk's new place.
func (h *Host) follow(ctx context.Context, id string, x *held) {
	v := h.Store.View()
	here := migration.Node{Name: h.Name, Zone: h.Zone}
	if row, ok := hostOf(v, h.Name); ok {
		here = row.node(h.Name)
	}
	h.mu.Lock()
	to, _ := h.book.Decide(h.ms(), &x.device, here, func() []migration.Node { return nodes(v) })
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
	// If the target is lost by then, the desk is claimed as any other of a lost node's.
	r, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: Owners, Key: id, Value: value, Keep: true, Cond: true, If: x.epoch})
	if err != nil {
		x.d = nil // it may have moved: the next look at the log tells
		return
	}
	if !r.OK() {
		h.drop(id, x)
		return
	}
	h.drop(id, x)
	h.Log.Info("desk moved", "desk", id, "to", to, "zone", row.Zone, "epoch", r.Version, "took", time.Since(began))
}

// node is what a row says, as moves are decided by it.
func (r hostRow) node(name string) migration.Node {
	return migration.Node{Name: name, Zone: r.Zone, Load: float64(r.Desks) / float64(max(r.Most, 1)), Unready: r.Back}
}

// nodes are those that may hold desks.
func nodes(v *kv.View) (all []migration.Node) {
	for _, e := range v.List(Hosts, "", "", 1<<12) {
		if r, ok := hostOf(v, e.Key); ok {
			all = append(all, r.node(e.Key))
		}
	}
	return all
}

// Run keeps this node's row, and does what desks here wait for: timers, jobs, ends.
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
			g.TryGo(func() error { h.renew(ctx); return nil })
		}
		h.gather()
		h.mu.Lock()
		all := make(map[string]*held, len(h.held))
		for id, x := range h.held {
			all[id] = x
		}
		h.mu.Unlock()
		for id, x := range all {
			if x.mu.TryLock() { // one that is busy is looked at the next time
				busy := h.busy(x)
				x.mu.Unlock()
				if busy {
					g.TryGo(func() error { h.work(ctx, id, x); return nil })
				}
			}
		}
	}
}

// gather finds the desks that are this node's in the store and not here yet: it was started anew, or was given them.
func (h *Host) gather() {
	v := h.Store.View()
	h.mu.Lock()
	same := h.stamp == v.Stamp(Owners)
	h.stamp = v.Stamp(Owners)
	h.mu.Unlock()
	if same {
		return
	}
	for _, e := range v.List(Owners, "", "", 1<<16) {
		if node, epoch, ok := ownerOf(v, e.Key); ok && node == h.Name {
			h.get(e.Key, epoch)
		}
	}
}

// renew writes this node's row. A row that ends takes desks away from here: they are read anew if they still are this node's.
func (h *Host) renew(ctx context.Context) {
	h.mu.Lock()
	row := hostRow{Zone: h.Zone, Addr: h.Addr, Desks: len(h.held), Most: h.Most, Back: h.back}
	h.back = false // from the second time on: it has what was its
	h.mu.Unlock()
	value, _ := json.Marshal(row)
	if _, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: Hosts, Key: h.Name, Value: value, Keep: true, TTL: h.Limits.LeaseTTL.Milliseconds()}); err != nil {
		h.Log.Debug("this node's row", "err", err)
	}
}

// LetGo gives up this node's row at a planned end: others take its desks over as they are called.
func (h *Host) LetGo(ctx context.Context) {
	_, _ = h.txn(ctx, kv.Op{Verb: kv.Delete, Table: Hosts, Key: h.Name})
}

// busy says whether a desk waits for something. The lock of x is held.
func (h *Host) busy(x *held) bool {
	if x.gone {
		return false
	}
	if x.d == nil {
		return true
	}
	_, due, ok := x.d.NextTimer()
	return ok && due <= time.Now().UnixMilli() || len(x.d.Jobs) > 0
}

// work does what a desk waits for.
func (h *Host) work(ctx context.Context, id string, x *held) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone || h.read(ctx, id, x) != nil {
		return
	}
	if name, due, ok := x.d.NextTimer(); ok && due <= time.Now().UnixMilli() {
		if _, err := h.apply(ctx, id, x, &actor.Event{Kind: actor.TimerFired, At: time.Now().UnixMilli(), Name: name, Due: due}); err != nil {
			h.Log.Warn("a desk's timer", "desk", id, "timer", name, fault.Attrs(err))
			return
		}
	}
	var names []string
	for name := range x.d.Jobs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if x.gone || x.d == nil {
			return
		}
		h.job(ctx, id, x, name, x.d.Jobs[name])
	}
}
