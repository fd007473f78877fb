package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gatetack/internal/duty"
	"gatetack/internal/failpoint"
	"gatetack/internal/kv"
)

// execute carries out actions. Calls to the store run outside the loop: one that waits for a leader must not delay noticing that a
// lease has ended.
func (o *Holder) execute(ctx context.Context, acts []duty.Action) {
	o.mu.Lock()
	do := o.spawn
	o.mu.Unlock()
	for _, a := range acts {
		switch a.Kind {
		case duty.RenewLease:
			asked := o.now()
			do(func() { o.renewLease(ctx, asked, a.ExpectedVersion) })
		case duty.ClaimPartition:
			do(func() { o.claim(ctx, a, "its owner has no lease") })
		case duty.StartPartition:
			do(func() { o.adopt(ctx, a) })
		case duty.StopPartition:
			o.stop(a)
		case duty.AdvanceIncarnation:
			o.mu.Lock()
			o.self = o.manager.Incarnation()
			born := o.self.StartedMs
			o.mu.Unlock()
			o.front.Reborn(born)
			o.log.Warn("an earlier life of this node began later by its clock: this one is called by a later time", "node", o.name, "born", born)
		case duty.Superseded:
			o.mu.Lock()
			o.superseded = true
			o.mu.Unlock()
			o.log.Error("another process runs under this node's name, and began later: this one takes no batch jobs any more", "node", o.name)
		}
	}
}

// renew renews this node's lease.
func (o *Holder) renewLease(ctx context.Context, asked time.Duration, at uint64) {
	o.mu.Lock()
	l := leaseRecord{Addr: o.addr}
	l.StartedMs = o.manager.Incarnation().StartedMs
	o.mu.Unlock()
	value, _ := json.Marshal(l)
	r, err := o.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: LeaseTable, Key: o.name, Value: value, Keep: true,
		TTL: o.limits.LeaseTTL.Milliseconds(), Cond: true, If: at}}})
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil: // not known: it stands until it ends, and is asked for again
	case r.OK():
		o.manager.LeaseRenewed(asked, r.Version)
	default:
		o.manager.LeaseLost()
	}
}

// claim writes this node as the owner of a duty. This life's own duty is not adopted: its records are jobs in progress here, which would
// be taken for what an earlier life left.
func (o *Holder) claim(ctx context.Context, a duty.Action, why string) {
	o.mu.Lock()
	self := o.manager.Incarnation()
	o.mu.Unlock()
	value, _ := json.Marshal(self)
	t := &kv.Txn{Ops: []kv.Op{{Verb: kv.Check, Table: LeaseTable, Key: o.name, Cond: true, If: a.OwnLease}}}
	if a.OwnerNode != "" {
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Check, Table: LeaseTable, Key: a.OwnerNode, Cond: true, If: a.OwnerLease})
	}
	t.Ops = append(t.Ops, kv.Op{Verb: kv.Put, Table: PartitionTable, Key: a.Partition, Value: value, Keep: true, Cond: true, If: a.ExpectedVersion})
	r, err := o.store.Txn(ctx, t)
	epoch := uint64(0)
	if err == nil && r.OK() {
		epoch = r.Version
		o.log.Info("duty taken", "duty", a.Partition, "epoch", epoch, "was", a.ExpectedVersion, "why", why)
	}
	o.mu.Lock()
	acts := o.manager.ClaimCompleted(a.Partition, epoch)
	if a.Partition == o.self.PartitionKey() {
		o.ownsSelf, acts = o.ownsSelf || len(acts) > 0, nil
	}
	o.mu.Unlock()
	o.execute(ctx, acts)
}

// maxAdoptions duties are adopted at a time by one node. After most nodes were lost each of the others has many to adopt, and all
// read what is on record of them at one leader.
const maxAdoptions = 2

// adopt adopts the jobs of a claimed duty.
func (o *Holder) adopt(ctx context.Context, a duty.Action) {
	select {
	case o.adoptions <- struct{}{}:
		defer func() { <-o.adoptions }()
	case <-ctx.Done():
		return
	}
	for {
		open, err := o.front.Adopt(ctx, a.Partition)
		if err == nil {
			o.log.Info("duty taken up", "duty", a.Partition, "epoch", a.Epoch, "open", open)
			break
		}
		o.mu.Lock()
		epoch, ours := o.manager.Epoch(a.Partition)
		o.mu.Unlock()
		if !ours || epoch != a.Epoch || ctx.Err() != nil {
			return
		}
		o.log.Warn("a duty can not be taken up yet", "duty", a.Partition, "err", err)
		select {
		case <-time.After(o.limits.StoreBeat):
		case <-ctx.Done():
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.predecessors = slices.DeleteFunc(o.predecessors, func(key string) bool { return key == a.Partition })
}

// release gives up a duty that was lost. If it was that of this life's own jobs, jobs taken from now on belong to another life.
func (o *Holder) stop(a duty.Action) {
	o.log.Warn("duty lost", "duty", a.Partition, "epoch", a.Epoch)
	if failpoint.Without == failpoint.Fence {
		return
	}
	o.front.Drop(a.Partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Partition != o.self.PartitionKey() {
		return
	}
	o.self.StartedMs, o.ownsSelf = max(o.self.StartedMs+1, time.Now().UnixMilli()), false
	o.front.Reborn(o.self.StartedMs)
}

// retire deletes duties held here of ended lives that have nothing on record any more: a fleet that is restarted every day would
// collect them for good.
func (o *Holder) retire(ctx context.Context) {
	o.mu.Lock()
	held, own := o.manager.Partitions(), o.self.PartitionKey()
	o.mu.Unlock()
	for _, key := range held {
		if key == own {
			continue
		}
		if left, err := o.front.Left(ctx, key); err != nil || left {
			continue
		}
		o.mu.Lock()
		epoch, ours := o.manager.Epoch(key)
		o.mu.Unlock()
		if !ours {
			continue
		}
		r, err := o.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Delete, Table: PartitionTable, Key: key, Cond: true, If: epoch}}})
		if err == nil && r.OK() {
			o.mu.Lock()
			o.manager.ReleasePartition(key)
			o.mu.Unlock()
			o.log.Info("duty retired: nothing of it is on record", "duty", key, "epoch", epoch)
		}
	}
}

// Release releases all duties and the lease at a planned shutdown, so that other nodes need not wait for the lease to expire. Nothing is
// claimed after that.
func (o *Holder) Release(ctx context.Context) {
	o.mu.Lock()
	o.released = true
	t := &kv.Txn{}
	none, _ := json.Marshal(duty.Incarnation{})
	for _, key := range o.manager.Partitions() {
		epoch, _ := o.manager.Epoch(key)
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Put, Table: PartitionTable, Key: key, Value: none, Keep: true, Cond: true, If: epoch})
		o.manager.ReleasePartition(key)
	}
	if mine := o.manager.OwnLease(); mine != 0 {
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Delete, Table: LeaseTable, Key: o.name, Cond: true, If: mine})
	}
	o.mu.Unlock()
	if len(t.Ops) == 0 {
		return
	}
	if r, err := o.store.Txn(ctx, t); err != nil || !r.OK() {
		o.log.Info("duties were not handed over in order: others wait for the lease's end", "err", err)
	}
}
