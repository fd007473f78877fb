package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"gatetack/internal/failpoint"
	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/store"
)

// ErrNotOwner reports that this node does not own a partition, or no longer owns it. Nothing was written.
var ErrNotOwner = errors.New("partition owned by another node")

// partitionOf returns the partition of changes: the partition of the job that they belong to, or this incarnation's own
// if they belong to no job.
func (h *Holder) partitionOf(changes []jobstore.Change) string {
	for _, change := range changes {
		if change.Kind == "job" || change.Kind == "open" || change.Kind == "array" ||
			change.Kind == "rules" {
			if at := strings.LastIndexByte(change.Key, '.'); at > 0 {
				return change.Key[:at]
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self.incarnation.PartitionKey()
}

// Write commits all changes or none of them, under the epoch of the partition that they belong to.
func (h *Holder) Write(ctx context.Context, changes ...jobstore.Change) error {
	if failpoint.Without == failpoint.Fence {
		return h.store.Write(ctx, changes...)
	}
	key := h.partitionOf(changes)
	h.mu.Lock()
	epoch, owned := h.manager.Epoch(key)
	owned = owned && h.manager.HoldsLease(h.bootTime())
	h.mu.Unlock()
	if !owned {
		return fmt.Errorf("%w: %s", ErrNotOwner, key)
	}
	ops := []kv.Op{{Verb: kv.Check, Table: PartitionTable, Key: key, Cond: true, If: epoch}}
	result, err := h.store.Txn(ctx, &kv.Txn{Ops: append(ops, store.Ops(changes)...)})
	if err != nil {
		return err
	}
	if result.Failed == 0 { // the first operation, the check of the epoch
		h.writeFenced(ctx, key, epoch, result.Current)
		return fmt.Errorf("%w: %s", ErrNotOwner, key)
	}
	return store.RejectionError(result)
}

// writeFenced handles a write that failed because its partition has another epoch.
func (h *Holder) writeFenced(ctx context.Context, key string, epoch, current uint64) {
	h.fencedWrites.Add(1)
	h.mu.Lock()
	actions, spawn := h.manager.WriteFenced(key, epoch, h.bootTime()), h.spawn
	h.mu.Unlock()
	h.log.Warn("write fenced", "partition", key, "epoch", epoch, "current_epoch", current)
	// The actions run in another goroutine: the caller may hold the lock of a job that giving up the partition needs.
	spawn(func() { h.execute(context.WithoutCancel(ctx), actions) })
}

// Get reads a value from the store. Reads are not fenced.
func (h *Holder) Get(ctx context.Context, kind, key string) ([]byte, bool, error) {
	return h.store.Get(ctx, kind, key)
}

// Page returns rows ordered by key.
func (h *Holder) Page(ctx context.Context, kind, after string, limit int) ([]jobstore.Row, error) {
	return h.store.Page(ctx, kind, after, limit)
}

// Local returns a value from this member's local state, which may be stale.
func (h *Holder) Local(kind, key string) ([]byte, bool) { return h.store.Local(kind, key) }

// FencedWrites returns the number of writes that failed because their partition had another epoch.
func (h *Holder) FencedWrites() int64 { return h.fencedWrites.Load() }
