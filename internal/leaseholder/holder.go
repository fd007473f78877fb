// Package leaseholder carries out what package lease decides: it renews this node's lease in the replicated store,
// claims and releases partitions of batch jobs, and fences all that is written for them. It is the store of the batch
// front: a write commits only if the partition that it belongs to still has the epoch under which this node owns it.
//
// A Holder owns the only lease.Manager of its process. Its Run is the one loop that steps the Manager; calls to the
// store run in goroutines that Run starts and waits for.
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

// The tables of leases, by node, and of partitions, by key. A partition's version is its epoch, a fencing token.
const (
	LeaseTable     = "lease"
	PartitionTable = "duty"
)

// Fractions of the lease's TTL.
const (
	renewalsPerTTL = 3
	driftsPerTTL   = 6 // of the end of a lease that stays unused, and of the delay of a rank
	stepsPerTTL    = 30
	reclaimTTLs    = 2  // for which a lost partition is not claimed back
	retireTTLs     = 10 // between looks for partitions without records
)

// maxAdoptions is how many partitions a node adopts at a time. After most nodes were lost each of the others has many
// to adopt, and all of them read the records at one leader.
const maxAdoptions = 2

// Store is the part of a member of the replicated store that a Holder needs.
type Store interface {
	jobstore.Store
	// Txn commits all operations of a transaction or none.
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	// View returns the state as this member has it, which may be stale.
	View() *kv.View
	// Local returns a value as this member has it, which may be stale.
	Local(kind, key string) ([]byte, bool)
}

// Front runs the jobs of the partitions that this node owns.
type Front interface {
	// OpenPartitions returns the partitions of a node that have open jobs on record.
	OpenPartitions(ctx context.Context, node string) ([]string, error)
	// Adopt takes over the recorded jobs of a partition and returns how many of them are not done.
	Adopt(ctx context.Context, partition string) (int, error)
	// Drop gives up a partition that another node owns by now.
	Drop(partition string)
	// HasRecords reports whether anything of a partition is on record.
	HasRecords(ctx context.Context, partition string) (bool, error)
	// SetIncarnationStart makes all jobs that are taken from now on belong to an incarnation that started at a Unix time in ms.
	SetIncarnationStart(started int64)
}

// Holder holds the lease and the partitions of one node.
type Holder struct {
	store    Store
	front    Front
	addr     string // of this node's batch front
	node     string
	limits   limits.Limits
	log      *slog.Logger
	ring     *pki.Ring
	bootTime func() time.Duration // a clock that runs on while the machine sleeps

	fencedWrites atomic.Int64
	adoptions    chan struct{}  // semaphore of maxAdoptions
	partitions   partitionCache // of the loop alone

	mu           sync.Mutex
	spawn        func(func()) // runs a call to the store outside the loop
	manager      *lease.Manager
	self         selfState
	predecessors predecessorState
	released     bool // at a planned shutdown: nothing is claimed any more
}

// selfState is what a Holder knows of the partition for its own new jobs.
type selfState struct {
	incarnation lease.Incarnation // under which new jobs are taken
	owned       bool
	superseded  bool // a later incarnation of this node runs
}

// predecessorState is what earlier incarnations of this node left.
type predecessorState struct {
	listed    bool
	unadopted []string // partitions that no node has adopted yet
}

// New returns a Holder for an incarnation of a node, whose batch front listens at an address.
func New(s Store, self lease.Incarnation, addr string, lim limits.Limits, log *slog.Logger) (*Holder, error) {
	timing := lease.Timing{
		TTL:           lim.LeaseTTL,
		RenewInterval: lim.LeaseTTL / renewalsPerTTL,
		MaxClockDrift: lim.LeaseTTL / driftsPerTTL,
		RankDelay:     lim.LeaseTTL / driftsPerTTL,
		ReclaimDelay:  reclaimTTLs * lim.LeaseTTL,
	}
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Holder{
		store:     s,
		addr:      addr,
		node:      self.Node,
		limits:    lim,
		log:       log,
		bootTime:  store.BootTime,
		spawn:     func(call func()) { go call() },
		adoptions: make(chan struct{}, maxAdoptions),
		manager:   lease.New(self, timing),
		self:      selfState{incarnation: self},
	}, nil
}

// Connect sets the front and the keys for calls to other nodes. It must be called before Run.
func (h *Holder) Connect(front Front, ring *pki.Ring) { h.front, h.ring = front, ring }

// Ready reports whether this incarnation owns its own partition, and everything that earlier incarnations of this
// node left was adopted by some node.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self.owned && h.predecessors.listed && len(h.predecessors.unadopted) == 0
}

// Run keeps the lease and the partitions until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	var calls errgroup.Group
	h.mu.Lock()
	h.spawn = func(call func()) { calls.Go(func() error { call(); return nil }) }
	h.mu.Unlock()
	steps, retirements := time.NewTicker(h.limits.LeaseTTL/stepsPerTTL), time.NewTicker(h.limits.LeaseTTL*retireTTLs)
	defer steps.Stop()
	defer retirements.Stop()
	for {
		select {
		case <-steps.C:
			h.step(ctx)
		case <-retirements.C:
			calls.Go(func() error { h.deleteEmptyPartitions(ctx); return nil })
		case <-ctx.Done():
			return calls.Wait()
		}
	}
}

// step looks at the store and does what is due.
func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	released := h.released
	h.mu.Unlock()
	if released {
		return
	}
	view := h.view()
	h.listPredecessors(ctx, view)
	h.claimSelf(ctx, view)
	h.mu.Lock()
	h.removeAdoptedElsewhere(view)
	view.Partitions = append(view.Partitions, h.unclaimedPredecessors(view)...)
	actions := h.manager.Step(h.bootTime(), view)
	h.mu.Unlock()
	h.execute(ctx, actions)
}

// listPredecessors finds out, once, which partitions earlier incarnations of this node left.
func (h *Holder) listPredecessors(ctx context.Context, view lease.View) {
	h.mu.Lock()
	listed, self := h.predecessors.listed, h.self.incarnation
	h.mu.Unlock()
	if listed {
		return
	}
	keys, err := h.front.OpenPartitions(ctx, h.node)
	if err != nil {
		return // the next step asks again
	}
	for _, partition := range view.Partitions {
		if partition.Owner.Node == h.node && !slices.Contains(keys, partition.Key) {
			keys = append(keys, partition.Key)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.predecessors.unadopted = slices.DeleteFunc(keys, func(key string) bool { return key == self.PartitionKey() })
	h.predecessors.listed = true
}

// claimSelf makes the partition of this incarnation, once it has a lease.
func (h *Holder) claimSelf(ctx context.Context, view lease.View) {
	stored, found := view.Leases[h.node]
	h.mu.Lock()
	due := h.predecessors.listed && !h.self.owned && !h.self.superseded && h.manager.HoldsLease(h.bootTime()) && found
	key := h.self.incarnation.PartitionKey()
	h.mu.Unlock()
	if due {
		h.claim(ctx, lease.Action{Partition: key, OwnLease: stored.Version}, "own incarnation")
	}
}

// removeAdoptedElsewhere forgets partitions of earlier incarnations that another node has claimed: it adopts them,
// and waiting for them here would keep this incarnation from taking jobs for good. A partition whose owner is an
// earlier incarnation of this very node, whose lease has not expired yet, is not among them. The lock is held.
func (h *Holder) removeAdoptedElsewhere(view lease.View) {
	if len(h.predecessors.unadopted) == 0 {
		return
	}
	for _, partition := range view.Partitions {
		owner, alive := view.Leases[partition.Owner.Node]
		if alive && owner.Incarnation == partition.Owner && partition.Owner.Node != h.node {
			h.markAdopted(partition.Key)
		}
	}
}

// markAdopted notes that some node has markAdopted a partition. The lock is held.
func (h *Holder) markAdopted(key string) {
	h.predecessors.unadopted = slices.DeleteFunc(h.predecessors.unadopted, func(k string) bool { return k == key })
}

// unclaimedPredecessors returns partitions of earlier incarnations that are on record without an entry in the
// partition table: a version of the program that had no such table left them. The lock is held.
func (h *Holder) unclaimedPredecessors(view lease.View) (out []lease.Partition) {
	for _, key := range h.predecessors.unadopted {
		known := slices.ContainsFunc(view.Partitions, func(p lease.Partition) bool { return p.Key == key })
		if _, owned := h.manager.Epoch(key); !known && !owned {
			out = append(out, lease.Partition{Key: key})
		}
	}
	return out
}
