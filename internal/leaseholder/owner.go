// Package leaseholder carries out what package lease decides: it keeps this node's lease in the replicated store, claims and releases duties,
// and fences all that is written on their behalf. It is the batch front's store: a write is committed only if the duty that it belongs
// to still has the epoch under which this node holds it, in the same transaction.
package leaseholder

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
	"gatetack/internal/store"
)

// The tables of leases, by node, and of duties, by key. A duty's version is its epoch, a fencing token.
const (
	Leases = "lease"
	Duties = "duty"
)

// Store is the part of a member of the replicated store that duties need.
type Store interface {
	jobstore.Store
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
type Owner struct {
	store Store
	front Front
	addr  string // of this node's batch front
	name  string
	lim   limits.Limits
	log   *slog.Logger
	ring  *pki.Ring
	clock func() time.Duration
	spawn func(func()) // runs what waits for the store outside the loop

	refused atomic.Int64  // writes that were fenced off
	taking  chan struct{} // a semaphore for adopting duties: their records are read at the leader

	mu     sync.Mutex
	keeper *lease.Keeper
	own    lease.Life // under which new jobs are taken
	born   bool       // its duty is held by this node
	asked  bool       // which partitions this node's earlier lives left was found out,
	old    []string   // and these are still to be taken up
	gone   bool

	leaving bool

	stamp  any          // of the table of duties, and
	duties []lease.Duty // what was read of it: leases change all the time, and duties seldom
}

// New returns an Owner for one life of a node.
func New(s Store, name string, born int64, addr string, lim limits.Limits, log *slog.Logger) (*Owner, error) {
	t := lease.Times{TTL: lim.LeaseTTL, Renew: lim.LeaseTTL / 3, Drift: lim.LeaseTTL / 6, Rank: lim.LeaseTTL / 6, Again: 2 * lim.LeaseTTL}
	if err := t.Check(); err != nil {
		return nil, err
	}
	self := lease.Life{Node: name, Born: born}
	return &Owner{store: s, addr: addr, name: name, lim: lim, log: log, clock: store.BootTime, spawn: func(f func()) { go f() }, taking: make(chan struct{}, maxAdoptions), keeper: lease.New(self, t), own: self}, nil
}

// Connect sets the front. It must be called before Run.
func (o *Owner) Connect(f Front, ring *pki.Ring) { o.front, o.ring = f, ring }

// Ready reports whether this life holds its own duty, and everything that earlier lives of this node left was adopted by some node.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.born && o.asked && len(o.old) == 0
}

// Run keeps the lease and the duties until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	var g errgroup.Group
	o.mu.Lock()
	o.spawn = func(f func()) { g.Go(func() error { f(); return nil }) }
	o.mu.Unlock()
	tick, clear := time.NewTicker(o.lim.LeaseTTL/30), time.NewTicker(o.lim.LeaseTTL*10)
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
func (o *Owner) step(ctx context.Context) {
	o.mu.Lock()
	leaving := o.leaving
	o.mu.Unlock()
	if leaving {
		return
	}
	v := o.view()
	o.begin(ctx, v)
	o.mu.Lock()
	if len(o.old) > 0 {
		for _, d := range v.Duties {
			// What an earlier life left and another node has or was quicker to claim is that one's to take up: waited for
			// here, this life would take no job ever. An earlier life of our own, whose lease may still stand, is not another.
			if l, ok := v.Leases[d.Owner.Node]; ok && l.Life == d.Owner && d.Owner.Node != o.name {
				o.old = slices.DeleteFunc(o.old, func(key string) bool { return key == d.Key })
			}
		}
	}
	v.Duties = append(v.Duties, o.unborn(v)...)
	acts := o.keeper.Step(o.clock(), v)
	o.mu.Unlock()
	o.execute(ctx, acts)
}

// unborn are partitions of earlier lives that are on record and have no duty yet: a version that had none left them.
func (o *Owner) unborn(v lease.View) (out []lease.Duty) {
	for _, key := range o.old {
		known := false
		for _, d := range v.Duties {
			known = known || d.Key == key
		}
		if _, held := o.keeper.Epoch(key); !known && !held {
			out = append(out, lease.Duty{Key: key})
		}
	}
	return out
}

// begin finds out what earlier lives of this node left, once, and makes this life's own duty.
func (o *Owner) begin(ctx context.Context, v lease.View) {
	o.mu.Lock()
	now, own, asked := o.clock(), o.own, o.asked
	mine, standing := v.Leases[o.name]
	wants := !o.born && !o.gone && o.keeper.Valid(now) && standing
	o.mu.Unlock()
	if !asked {
		parts, err := o.front.Open(ctx, o.name)
		if err != nil {
			return
		}
		for _, d := range v.Duties {
			if d.Owner.Node == o.name && !slices.Contains(parts, d.Key) {
				parts = append(parts, d.Key)
			}
		}
		o.mu.Lock()
		o.old = slices.DeleteFunc(parts, func(p string) bool { return p == own.Partition() })
		o.asked = true
		o.mu.Unlock()
	}
	if !wants {
		return
	}
	o.claim(ctx, lease.Action{Key: own.Partition(), Mine: mine.Version}, "this life's own")
}
