package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

// execute carries out actions. Calls to the store run outside the loop, because a call that waits for a leader must not
// delay the detection of an expired lease.
func (h *Holder) execute(ctx context.Context, actions []lease.Action) {
	h.mu.Lock()
	spawn := h.spawn
	h.mu.Unlock()
	for _, action := range actions {
		switch action.Kind {
		case lease.RenewLease:
			startedAt := h.bootTime()
			spawn(func() { h.renewLease(ctx, startedAt, action.ExpectedVersion) })
		case lease.ClaimPartition:
			spawn(func() { h.claim(ctx, action, "owner has no lease") })
		case lease.StartPartition:
			spawn(func() { h.adopt(ctx, action) })
		case lease.StopPartition:
			h.stop(action)
		case lease.AdvanceIncarnation:
			h.advanceIncarnation()
		case lease.Superseded:
			h.supersede()
		}
	}
}

// supersede records that a later incarnation of this node is running.
func (h *Holder) supersede() {
	h.mu.Lock()
	h.self.superseded = true
	h.mu.Unlock()
	h.log.Error("another process runs under this node's name, rejecting batch jobs from now on", "node", h.node)
}

// advanceIncarnation applies the incarnation whose start the Manager moved past that of an earlier one with a later
// clock.
func (h *Holder) advanceIncarnation() {
	h.mu.Lock()
	h.self.incarnation = h.manager.Incarnation()
	started := h.self.incarnation.StartedMs
	h.mu.Unlock()
	h.front.SetIncarnationStart(started)
	h.log.Warn("wall clock behind an earlier incarnation, incarnation moved forward",
		"node", h.node, "incarnation", started)
}

// renewLease writes this node's lease if the stored one has the given version.
func (h *Holder) renewLease(ctx context.Context, startedAt time.Duration, version uint64) {
	h.mu.Lock()
	record := leaseRecord{StartedMs: h.manager.Incarnation().StartedMs, Addr: h.addr}
	h.mu.Unlock()
	value, _ := json.Marshal(record) // cannot fail for a number and a string
	put := kv.Op{Verb: kv.Put, Table: LeaseTable, Key: h.node, Value: value, Keep: true,
		TTL: h.limits.LeaseTTL.Milliseconds(), Cond: true, If: version}
	result, err := h.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{put}})
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil: // indeterminate outcome: the last lease is valid until it expires, and the next renewal resolves it
	case result.OK():
		h.manager.LeaseRenewed(startedAt, result.Version)
	default:
		h.manager.LeaseLost()
	}
}

// claim writes this node as the owner of a partition. This incarnation's own partition is not adopted afterwards: its
// records are jobs in progress here, which would be mistaken for jobs of an earlier incarnation.
func (h *Holder) claim(ctx context.Context, action lease.Action, reason string) {
	h.mu.Lock()
	incarnation := h.manager.Incarnation()
	h.mu.Unlock()
	value, _ := json.Marshal(incarnation)
	ops := []kv.Op{{Verb: kv.Check, Table: LeaseTable, Key: h.node, Cond: true, If: action.OwnLease}}
	if action.OwnerNode != "" {
		ops = append(ops, kv.Op{Verb: kv.Check, Table: LeaseTable, Key: action.OwnerNode, Cond: true, If: action.OwnerLease})
	}
	ops = append(ops, kv.Op{Verb: kv.Put, Table: PartitionTable, Key: action.Partition, Value: value, Keep: true,
		Cond: true, If: action.ExpectedVersion})
	result, err := h.store.Txn(ctx, &kv.Txn{Ops: ops})
	epoch := uint64(0)
	if err == nil && result.OK() {
		epoch = result.Version
		h.log.Info("partition claimed", "partition", action.Partition, "epoch", epoch,
			"previous_epoch", action.ExpectedVersion, "reason", reason)
	}
	h.mu.Lock()
	actions := h.manager.ClaimCompleted(action.Partition, epoch)
	if action.Partition == h.self.incarnation.PartitionKey() {
		h.self.owned, actions = h.self.owned || len(actions) > 0, nil
	}
	h.mu.Unlock()
	h.execute(ctx, actions)
}

// adopt adopts the jobs of a claimed partition. It retries until it succeeds, the partition is lost or the context
// ends.
func (h *Holder) adopt(ctx context.Context, action lease.Action) {
	select {
	case h.adoptions <- struct{}{}:
		defer func() { <-h.adoptions }()
	case <-ctx.Done():
		return
	}
	for {
		open, err := h.front.Adopt(ctx, action.Partition)
		if err == nil {
			h.log.Info("partition adopted", "partition", action.Partition, "epoch", action.Epoch, "open", open)
			break
		}
		h.mu.Lock()
		epoch, owned := h.manager.Epoch(action.Partition)
		h.mu.Unlock()
		if !owned || epoch != action.Epoch || ctx.Err() != nil {
			return
		}
		h.log.Warn("partition not adopted, retrying", "partition", action.Partition, "err", err)
		select {
		case <-time.After(h.limits.StoreElectionTimeout):
		case <-ctx.Done():
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markAdopted(action.Partition)
}

// stop gives up a partition that was lost. If it was the partition of this incarnation's own jobs, jobs accepted from
// now on belong to a new incarnation.
func (h *Holder) stop(action lease.Action) {
	h.log.Warn("partition lost", "partition", action.Partition, "epoch", action.Epoch)
	if failpoint.Without == failpoint.Fence {
		return
	}
	h.front.Drop(action.Partition)
	h.mu.Lock()
	defer h.mu.Unlock()
	self := &h.self.incarnation
	if action.Partition != self.PartitionKey() {
		return
	}
	self.StartedMs, h.self.owned = max(self.StartedMs+1, time.Now().UnixMilli()), false
	h.front.SetIncarnationStart(self.StartedMs)
}

// deleteEmptyPartitions deletes the partitions of ended incarnations that this node owns and that have no records left.
// Without it, a fleet that is restarted every day would accumulate them.
func (h *Holder) deleteEmptyPartitions(ctx context.Context) {
	h.mu.Lock()
	owned, self := h.manager.Partitions(), h.self.incarnation.PartitionKey()
	h.mu.Unlock()
	for _, key := range owned {
		if key == self {
			continue
		}
		if hasRecords, err := h.front.HasRecords(ctx, key); err == nil && !hasRecords {
			h.deletePartition(ctx, key)
		}
	}
}

// deletePartition deletes a partition that this node owns.
func (h *Holder) deletePartition(ctx context.Context, key string) {
	h.mu.Lock()
	epoch, owned := h.manager.Epoch(key)
	h.mu.Unlock()
	if !owned {
		return
	}
	remove := kv.Op{Verb: kv.Delete, Table: PartitionTable, Key: key, Cond: true, If: epoch}
	result, err := h.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{remove}})
	if err != nil || !result.OK() {
		return // the next check finds the partition again
	}
	h.mu.Lock()
	h.manager.ReleasePartition(key)
	h.mu.Unlock()
	h.log.Info("partition without records deleted", "partition", key, "epoch", epoch)
}

// Release releases all partitions and the lease at a planned shutdown, so that other nodes need not wait for the lease
// to expire. The Holder claims nothing after that.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.released = true
	var ops []kv.Op
	nobody, _ := json.Marshal(lease.Incarnation{})
	for _, key := range h.manager.Partitions() {
		epoch, _ := h.manager.Epoch(key)
		ops = append(ops, kv.Op{Verb: kv.Put, Table: PartitionTable, Key: key, Value: nobody, Keep: true,
			Cond: true, If: epoch})
		h.manager.ReleasePartition(key)
	}
	if version := h.manager.OwnLease(); version != 0 {
		ops = append(ops, kv.Op{Verb: kv.Delete, Table: LeaseTable, Key: h.node, Cond: true, If: version})
	}
	h.mu.Unlock()
	if len(ops) == 0 {
		return
	}
	if result, err := h.store.Txn(ctx, &kv.Txn{Ops: ops}); err != nil || !result.OK() {
		h.log.Info("partitions not released, other nodes wait for the lease to expire", "err", err)
	}
}
