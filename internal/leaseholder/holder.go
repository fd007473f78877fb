// Package leaseholder carries out the decisions of package lease: it renews this node's lease in the replicated store,
// claims and releases partitions of batch jobs, and fences all writes to them. The batch front uses it as its store: a
// write commits only if the partition that it belongs to still has the epoch under which this node owns it.
//
// A Holder owns the only lease.Manager of its process. Only the loop in Run steps the Manager; calls to the store run
// in goroutines that Run starts and waits for.
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
	driftsPerTTL   = 6 // maximum clock drift and delay of a rank
	stepsPerTTL    = 30
	reclaimTTLs    = 2  // TTLs for which a lost partition is not reclaimed
	retireTTLs     = 10 // TTLs between checks for partitions without records
)

// maxAdoptions is the number of partitions that a node adopts concurrently. After the loss of most nodes each remaining
// node has many partitions to adopt, and all of them read the records from one leader.
const maxAdoptions = 2

// Store is the part of a member of the replicated store that a Holder needs.
type Store interface {
	jobstore.Store
	// Txn commits all operations of a transaction or none of them.
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	// View returns this member's local state, which may be stale.
	View() *kv.View
	// Local returns a value from this member's local state, which may be stale.
	Local(kind, key string) ([]byte, bool)
}

// Front runs the jobs of the partitions that this node owns.
type Front interface {
	// OpenPartitions returns the partitions of a node that have records of open jobs.
	OpenPartitions(ctx context.Context, node string) ([]string, error)
	// Adopt takes over the recorded jobs of a partition and returns how many of them have not ended.
	Adopt(ctx context.Context, partition string) (int, error)
	// Drop gives up a partition that another node owns.
	Drop(partition string)
	// HasRecords reports whether a partition has any records.
	HasRecords(ctx context.Context, partition string) (bool, error)
	// SetIncarnationStart sets the start, in Unix milliseconds, of the incarnation that jobs belong to from now on.
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
	bootTime func() time.Duration // a clock that keeps running while the machine sleeps

	fencedWrites atomic.Int64
	adoptions    chan struct{}  // semaphore of maxAdoptions
	partitions   partitionCache // used only by the loop

	mu           sync.Mutex
	spawn        func(func()) // runs a call to the store outside the loop
	manager      *lease.Manager
	self         selfState
	predecessors predecessorState
	released     bool // after Release nothing is claimed any more
}

// selfState is the state of the partition for this node's own new jobs.
type selfState struct {
	incarnation lease.Incarnation // incarnation that new jobs belong to
	owned       bool
	superseded  bool // a later incarnation of this node is running
}

// predecessorState is the state of partitions of this node's earlier incarnations.
type predecessorState struct {
	listed    bool
	unadopted []string // partitions that no node has adopted yet
}

// New returns a Holder for an incarnation of a node whose batch front listens at addr.
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

// Ready reports whether this incarnation owns its own partition, and all partitions of earlier incarnations of this
// node were adopted by some node.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self.owned && h.predecessors.listed && len(h.predecessors.unadopted) == 0
}

// Run maintains the lease and the partitions until the context ends.
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

// step reads the state of the store and carries out the actions that are due.
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

// listPredecessors determines, once, the partitions that earlier incarnations of this node left.
func (h *Holder) listPredecessors(ctx context.Context, view lease.View) {
	h.mu.Lock()
	listed, self := h.predecessors.listed, h.self.incarnation
	h.mu.Unlock()
	if listed {
		return
	}
	keys, err := h.front.OpenPartitions(ctx, h.node)
	if err != nil {
		return // the next step retries
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

// claimSelf creates the partition of this incarnation once the node has a lease.
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

// removeAdoptedElsewhere removes partitions of earlier incarnations that another node has claimed from those to adopt:
// that node adopts them, and waiting for them here would keep this incarnation from ever accepting jobs. A partition
// whose owner is an earlier incarnation of this node with an unexpired lease is not removed. The caller holds the lock.
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

// markAdopted records that some node has adopted a partition. The caller holds the lock.
func (h *Holder) markAdopted(key string) {
	h.predecessors.unadopted = slices.DeleteFunc(h.predecessors.unadopted, func(k string) bool { return k == key })
}

// unclaimedPredecessors returns partitions of earlier incarnations that have records but no entry in the partition
// table. They were written by a version of the program without that table. The caller holds the lock.
func (h *Holder) unclaimedPredecessors(view lease.View) (out []lease.Partition) {
	for _, key := range h.predecessors.unadopted {
		known := slices.ContainsFunc(view.Partitions, func(p lease.Partition) bool { return p.Key == key })
		if _, owned := h.manager.Epoch(key); !known && !owned {
			out = append(out, lease.Partition{Key: key})
		}
	}
	return out
}
