// Package owner carries out what package duty decides: it keeps this node's lease in the replicated store, claims and releases duties,
// and fences all that is written on their behalf. It is the batch front's store: a write is committed only if the duty that it belongs
// to still has the epoch under which this node holds it, in the same transaction.
package owner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/duty"
	"gatetack/internal/keys"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/records"
	"gatetack/internal/store"
)

// The tables of leases, by node, and of duties, by key. A duty's version is its epoch, a fencing token.
const (
	LeaseTable     = "lease"
	PartitionTable = "duty"
)

// Store is the part of a member of the replicated store that duties need.
type Store interface {
	records.Store
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	View() *kv.View
	Local(kind, key string) ([]byte, bool)
}

// Front does the work that duties stand for: the recorded jobs of one life (process) of a node.
type Front interface {
	// Open returns the partitions of a node that have open jobs on record.
	Open(ctx context.Context, node string) ([]string, error)
	// Adopt takes over the recorded jobs of a partition and returns how many of them are not done.
	Adopt(ctx context.Context, partition string) (int, error)
	// Drop gives up a partition that another node owns by now.
	Drop(partition string)
	// Left reports whether anything of a partition is on record.
	Left(ctx context.Context, partition string) (bool, error)
	// Reborn makes all jobs that are taken from now on belong to another life.
	Reborn(born int64)
}

// Owner holds the lease and the duties of one node.
type Holder struct {
	store  Store
	front  Front
	addr   string // of this node's batch front
	name   string
	limits limits.Limits
	log    *slog.Logger
	ring   *keys.Ring
	now    func() time.Duration
	spawn  func(func()) // runs what waits for the store outside the loop

	fencedWrites atomic.Int64  // writes that were fenced off
	adoptions    chan struct{} // a semaphore for adopting duties: their records are read at the leader

	mu                 sync.Mutex
	manager            *duty.Manager
	self               duty.Incarnation // under which new jobs are taken
	ownsSelf           bool             // its duty is held by this node
	predecessorsListed bool             // which partitions this node's earlier lives left was found out,
	predecessors       []string         // and these are still to be taken up
	superseded         bool

	released bool

	cachedStamp      any              // of the table of duties, and
	cachedPartitions []duty.Partition // what was read of it: leases change all the time, and duties seldom
}

// New returns an Owner for one life of a node.
func New(s Store, name string, born int64, addr string, lim limits.Limits, log *slog.Logger) (*Holder, error) {
	t := duty.Timing{TTL: lim.LeaseTTL, RenewInterval: lim.LeaseTTL / 3, MaxClockDrift: lim.LeaseTTL / 6, RankDelay: lim.LeaseTTL / 6, ReclaimDelay: 2 * lim.LeaseTTL}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	self := duty.Incarnation{Node: name, StartedMs: born}
	return &Holder{store: s, addr: addr, name: name, limits: lim, log: log, now: store.BootTime, spawn: func(f func()) { go f() }, adoptions: make(chan struct{}, maxAdoptions), manager: duty.New(self, t), self: self}, nil
}

// Connect sets the front. It must be called before Run.
func (o *Holder) Connect(f Front, ring *keys.Ring) { o.front, o.ring = f, ring }

// Ready reports whether this life holds its own duty, and everything that earlier lives of this node left was adopted by some node.
func (o *Holder) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownsSelf && o.predecessorsListed && len(o.predecessors) == 0
}

// Run keeps the lease and the duties until the context ends.
func (o *Holder) Run(ctx context.Context) error {
	var g errgroup.Group
	o.mu.Lock()
	o.spawn = func(f func()) { g.Go(func() error { f(); return nil }) }
	o.mu.Unlock()
	tick, clear := time.NewTicker(o.limits.LeaseTTL/30), time.NewTicker(o.limits.LeaseTTL*10)
	defer tick.Stop()
	defer clear.Stop()
	for {
		select {
		case <-tick.C:
		case <-clear.C:
			g.Go(func() error { o.retire(ctx); return nil })
			continue
		case <-ctx.Done():
			_ = g.Wait()
			return nil
		}
		o.step(ctx)
	}
}

// step looks at the store and does what is due.
func (o *Holder) step(ctx context.Context) {
	o.mu.Lock()
	leaving := o.released
	o.mu.Unlock()
	if leaving {
		return
	}
	v := o.view()
	o.claimSelf(ctx, v)
	o.mu.Lock()
	if len(o.predecessors) > 0 {
		for _, d := range v.Partitions {
			// What an earlier life left and another node has or was quicker to claim is that one's to take up: waited for
			// here, this life would take no job ever. An earlier life of our own, whose lease may still stand, is not another.
			if l, ok := v.Leases[d.Owner.Node]; ok && l.Incarnation == d.Owner && d.Owner.Node != o.name {
				o.predecessors = slices.DeleteFunc(o.predecessors, func(key string) bool { return key == d.Key })
			}
		}
	}
	v.Partitions = append(v.Partitions, o.unclaimedPredecessors(v)...)
	acts := o.manager.Step(o.now(), v)
	o.mu.Unlock()
	o.execute(ctx, acts)
}

// unborn are partitions of earlier lives that are on record and have no duty yet: a version that had none left them.
func (o *Holder) unclaimedPredecessors(v duty.View) (out []duty.Partition) {
	for _, key := range o.predecessors {
		known := false
		for _, d := range v.Partitions {
			known = known || d.Key == key
		}
		if _, held := o.manager.Epoch(key); !known && !held {
			out = append(out, duty.Partition{Key: key})
		}
	}
	return out
}

// begin finds out what earlier lives of this node left, once, and makes this life's own duty.
func (o *Holder) claimSelf(ctx context.Context, v duty.View) {
	o.mu.Lock()
	now, own, asked := o.now(), o.self, o.predecessorsListed
	mine, standing := v.Leases[o.name]
	wants := !o.ownsSelf && !o.superseded && o.manager.HoldsLease(now) && standing
	o.mu.Unlock()
	if !asked {
		parts, err := o.front.Open(ctx, o.name)
		if err != nil {
			return
		}
		for _, d := range v.Partitions {
			if d.Owner.Node == o.name && !slices.Contains(parts, d.Key) {
				parts = append(parts, d.Key)
			}
		}
		o.mu.Lock()
		o.predecessors = slices.DeleteFunc(parts, func(p string) bool { return p == own.PartitionKey() })
		o.predecessorsListed = true
		o.mu.Unlock()
	}
	if !wants {
		return
	}
	o.claim(ctx, duty.Action{Partition: own.PartitionKey(), OwnLease: mine.Version}, "this life's own")
}
