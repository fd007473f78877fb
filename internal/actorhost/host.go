// Package actorhost runs actors (package actor) on the nodes that share a store. An actor and its owner are entries of the store. The
// version of the owner's entry is the epoch, a fencing token: every event is applied in one transaction under the epoch and the
// version of the actor. So a call is answered only once its effects are committed, and a former owner can neither answer, nor send,
// nor write. A migration is one transaction that writes another owner: it is atomic, whatever fails meanwhile.
//
// The public API, the stored tables and the error codes call an actor a desk.
package actorhost

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/actor"
	"gatetack/internal/http1"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/migration"
)

// Store is the part of a store member that a host needs.
type Store interface {
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	View() *kv.View
}

// Front handles requests as the batch front does. The jobs of actors are submitted to it.
type Front interface {
	Handle(context.Context, *http1.Message) http1.Response
}

// Forwarder sends a request to another node.
type Forwarder func(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error)

// Config is the configuration of one node's Host.
type Config struct {
	Name, Zone, Addr string // Addr is the address of the node's batch front
	Store            Store
	Front            Front
	Forward          Forwarder
	Prefix           string // of the batch front's paths
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
	ownersStamp any // stamp of the owner table when it was last read
}

// hostedActor is an actor on this node. Its lock serializes the events.
type hostedActor struct {
	mu           sync.Mutex
	state        *actor.Actor // nil: must be loaded
	stateVersion uint64       // version of the actor's entry
	epoch        uint64
	lost         bool // another node owns it
	device       migration.Device
	jobIDs       map[string]string // IDs of submitted open jobs, by name
}

// New returns a Host.
func New(c Config) *Host {
	return &Host{Config: c, start: time.Now(), actors: map[string]*hostedActor{}, functions: map[string]*actor.Function{}, planner: migration.NewPlanner(c.Rules), recovering: true}
}

func (h *Host) elapsedMillis() float64 { return float64(time.Since(h.start).Microseconds()) / 1000 }

// txn runs a transaction with the timeout of a store call.
func (h *Host) txn(ctx context.Context, ops ...kv.Op) (*kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCallTimeout)
	defer cancel()
	return h.Store.Txn(ctx, &kv.Txn{Ops: ops})
}

// settledTxn runs a transaction whose result a client is told, and repeats it while its outcome is unknown, until
// StoreSettleTimeout. The store applies transactions with the same ID once and returns the same result again.
func (h *Host) settledTxn(ctx context.Context, ops ...kv.Op) (*kv.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreSettleTimeout)
	defer cancel()
	id := rand.Text()
	r, err := h.Store.Txn(ctx, &kv.Txn{ID: id, Ops: ops})
	if !jobstore.IsUnknownOutcome(err) {
		return r, err
	}
	unknown := err
	for {
		select {
		case <-time.After(h.Limits.StoreElectionTimeout):
		case <-ctx.Done():
			return nil, unknown
		}
		if r, err := h.Store.Txn(ctx, &kv.Txn{ID: id, Ops: ops}); err == nil {
			return r, nil
		}
	}
}

// waitApplied waits until this member has applied the log up to a version.
func (h *Host) waitApplied(ctx context.Context, version uint64) (*kv.View, error) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	ctx, cancel := context.WithTimeout(ctx, h.Limits.StoreCallTimeout)
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

// hosted returns an actor of this node, adding it if it is new or has a later epoch.
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

// evict marks an actor as lost and removes it. x.mu is held.
func (h *Host) evict(id string, x *hostedActor) {
	x.lost, x.state = true, nil
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.actors[id] == x {
		delete(h.actors, id)
	}
}

// Run renews this node's entry in the host table, and processes the timers and jobs of its actors.
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
			if x.mu.TryLock() { // an actor in use is checked at the next tick
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

// heartbeat renews this node's entry in the host table. When it expires, other nodes take over its actors.
func (h *Host) heartbeat(ctx context.Context) {
	h.mu.Lock()
	row := hostRow{Zone: h.Zone, Addr: h.Addr, Actors: len(h.actors), Capacity: h.Capacity, Unready: h.recovering}
	h.recovering = false // from the second heartbeat on it hosts the actors that it owns
	h.mu.Unlock()
	value, _ := json.Marshal(row)
	if _, err := h.txn(ctx, kv.Op{Verb: kv.Put, Table: HostTable, Key: h.Name, Value: value, Keep: true, TTL: h.Limits.LeaseTTL.Milliseconds()}); err != nil {
		h.Log.Debug("host table entry not renewed", "err", err)
	}
}

// Deregister removes this node's entry at a planned shutdown. Other nodes take over its actors as they are called.
func (h *Host) Deregister(ctx context.Context) {
	_, _ = h.txn(ctx, kv.Op{Verb: kv.Delete, Table: HostTable, Key: h.Name})
}
