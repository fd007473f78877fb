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

// ErrLost reports that this node does not, or no longer, hold a duty. Nothing was written.
var ErrLost = errors.New("owner: the duty is another node's")

// partition returns the partition of changes: that of their jobs or, if they have none, that of this life.
func (o *Owner) partition(changes []jobstore.Change) string {
	for _, c := range changes {
		if c.Kind == "job" || c.Kind == "open" || c.Kind == "array" {
			if at := strings.LastIndexByte(c.Key, '.'); at > 0 {
				return c.Key[:at]
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own.Partition()
}

// Write commits all changes or none, under the epoch of the duty that they belong to.
func (o *Owner) Write(ctx context.Context, changes ...jobstore.Change) error {
	if failpoint.Without == failpoint.Fence {
		return o.store.Write(ctx, changes...)
	}
	key := o.partition(changes)
	o.mu.Lock()
	epoch, ok := o.keeper.Epoch(key)
	ok = ok && o.keeper.Valid(o.clock())
	o.mu.Unlock()
	if !ok {
		return fmt.Errorf("%w: %s", ErrLost, key)
	}
	t := &kv.Txn{Ops: []kv.Op{{Verb: kv.Check, Table: Duties, Key: key, Cond: true, If: epoch}}}
	t.Ops = append(t.Ops, store.Ops(changes)...)
	r, err := o.store.Txn(ctx, t)
	switch {
	case err != nil:
		return err
	case r.Failed == 0:
		o.refused.Add(1)
		o.mu.Lock()
		acts, do := o.keeper.Fenced(key, epoch, o.clock()), o.spawn
		o.mu.Unlock()
		o.log.Warn("a write was refused by its epoch", "duty", key, "epoch", epoch, "now", r.Current)
		do(func() { o.execute(context.WithoutCancel(ctx), acts) }) // not in this goroutine: the caller may hold a job's lock
		return fmt.Errorf("%w: %s", ErrLost, key)
	}
	return store.Refusal(r)
}

// Get reads a value from the store. Reads are not fenced.
func (o *Owner) Get(ctx context.Context, kind, key string) ([]byte, bool, error) {
	return o.store.Get(ctx, kind, key)
}

// Page returns rows in the order of their keys.
func (o *Owner) Page(ctx context.Context, kind, after string, limit int) ([]jobstore.Row, error) {
	return o.store.Page(ctx, kind, after, limit)
}

// Local returns a value as this member has it, which may be stale.
func (o *Owner) Local(kind, key string) ([]byte, bool) { return o.store.Local(kind, key) }

// Refused returns the number of writes that were fenced off.
func (o *Owner) Refused() int64 { return o.refused.Load() }
