package leaseholder

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gatetack/internal/failpoint"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

// execute carries out actions. Calls to the store run outside the loop: one that waits for a leader must not delay noticing that a
// lease has ended.
func (o *Owner) execute(ctx context.Context, acts []lease.Action) {
	o.mu.Lock()
	do := o.spawn
	o.mu.Unlock()
	for _, a := range acts {
		switch a.Verb {
		case lease.Renew:
			asked := o.clock()
			do(func() { o.renew(ctx, asked, a.If) })
		case lease.Claim:
			do(func() { o.claim(ctx, a, "its owner has no lease") })
		case lease.Take:
			do(func() { o.adopt(ctx, a) })
		case lease.Stop:
			o.release(a)
		case lease.Later:
			o.mu.Lock()
			o.own = o.keeper.Self()
			born := o.own.Born
			o.mu.Unlock()
			o.front.Reborn(born)
			o.log.Warn("an earlier life of this node began later by its clock: this one is called by a later time", "node", o.name, "born", born)
		case lease.Leave:
			o.mu.Lock()
			o.gone = true
			o.mu.Unlock()
			o.log.Error("another process runs under this node's name, and began later: this one takes no batch jobs any more", "node", o.name)
		}
	}
}

// renew renews this node's lease.
func (o *Owner) renew(ctx context.Context, asked time.Duration, at uint64) {
	o.mu.Lock()
	l := leaseRecord{Addr: o.addr}
	l.Born = o.keeper.Self().Born
	o.mu.Unlock()
	value, _ := json.Marshal(l)
	r, err := o.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: Leases, Key: o.name, Value: value, Keep: true,
		TTL: o.lim.LeaseTTL.Milliseconds(), Cond: true, If: at}}})
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil: // not known: it stands until it ends, and is asked for again
	case r.OK():
		o.keeper.Renewed(asked, r.Version)
	default:
		o.keeper.Unrenewed()
	}
}

// claim writes this node as the owner of a duty. This life's own duty is not adopted: its records are jobs in progress here, which would
// be taken for what an earlier life left.
func (o *Owner) claim(ctx context.Context, a lease.Action, why string) {
	o.mu.Lock()
	self := o.keeper.Self()
	o.mu.Unlock()
	value, _ := json.Marshal(self)
	t := &kv.Txn{Ops: []kv.Op{{Verb: kv.Check, Table: Leases, Key: o.name, Cond: true, If: a.Mine}}}
	if a.Owner != "" {
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Check, Table: Leases, Key: a.Owner, Cond: true, If: a.Lease})
	}
	t.Ops = append(t.Ops, kv.Op{Verb: kv.Put, Table: Duties, Key: a.Key, Value: value, Keep: true, Cond: true, If: a.If})
	r, err := o.store.Txn(ctx, t)
	epoch := uint64(0)
	if err == nil && r.OK() {
		epoch = r.Version
		o.log.Info("duty taken", "duty", a.Key, "epoch", epoch, "was", a.If, "why", why)
	}
	o.mu.Lock()
	acts := o.keeper.Claimed(a.Key, epoch, o.clock())
	if a.Key == o.own.Partition() {
		o.born, acts = o.born || len(acts) > 0, nil
	}
	o.mu.Unlock()
	o.execute(ctx, acts)
}

// maxAdoptions duties are adopted at a time by one node. After most nodes were lost each of the others has many to adopt, and all
// read what is on record of them at one leader.
const maxAdoptions = 2

// adopt adopts the jobs of a claimed duty.
func (o *Owner) adopt(ctx context.Context, a lease.Action) {
	select {
	case o.taking <- struct{}{}:
		defer func() { <-o.taking }()
	case <-ctx.Done():
		return
	}
	for {
		open, err := o.front.Adopt(ctx, a.Key)
		if err == nil {
			o.log.Info("duty taken up", "duty", a.Key, "epoch", a.Epoch, "open", open)
			break
		}
		o.mu.Lock()
		epoch, ours := o.keeper.Epoch(a.Key)
		o.mu.Unlock()
		if !ours || epoch != a.Epoch || ctx.Err() != nil {
			return
		}
		o.log.Warn("a duty can not be taken up yet", "duty", a.Key, "err", err)
		select {
		case <-time.After(o.lim.StoreBeat):
		case <-ctx.Done():
			return
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.old = slices.DeleteFunc(o.old, func(key string) bool { return key == a.Key })
}

// release gives up a duty that was lost. If it was that of this life's own jobs, jobs taken from now on belong to another life.
func (o *Owner) release(a lease.Action) {
	o.log.Warn("duty lost", "duty", a.Key, "epoch", a.Epoch)
	if failpoint.Without == failpoint.Fence {
		return
	}
	o.front.Drop(a.Key)
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Key != o.own.Partition() {
		return
	}
	o.own.Born, o.born = max(o.own.Born+1, time.Now().UnixMilli()), false
	o.front.Reborn(o.own.Born)
}

// retire deletes duties held here of ended lives that have nothing on record any more: a fleet that is restarted every day would
// collect them for good.
func (o *Owner) retire(ctx context.Context) {
	o.mu.Lock()
	held, own := o.keeper.Held(), o.own.Partition()
	o.mu.Unlock()
	for _, key := range held {
		if key == own {
			continue
		}
		if left, err := o.front.Left(ctx, key); err != nil || left {
			continue
		}
		o.mu.Lock()
		epoch, ours := o.keeper.Epoch(key)
		o.mu.Unlock()
		if !ours {
			continue
		}
		r, err := o.store.Txn(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Delete, Table: Duties, Key: key, Cond: true, If: epoch}}})
		if err == nil && r.OK() {
			o.mu.Lock()
			o.keeper.Release(key)
			o.mu.Unlock()
			o.log.Info("duty retired: nothing of it is on record", "duty", key, "epoch", epoch)
		}
	}
}

// Release releases all duties and the lease at a planned shutdown, so that other nodes need not wait for the lease to expire. Nothing is
// claimed after that.
func (o *Owner) Release(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	t := &kv.Txn{}
	none, _ := json.Marshal(lease.Life{})
	for _, key := range o.keeper.Held() {
		epoch, _ := o.keeper.Epoch(key)
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Put, Table: Duties, Key: key, Value: none, Keep: true, Cond: true, If: epoch})
		o.keeper.Release(key)
	}
	if mine := o.keeper.Mine(); mine != 0 {
		t.Ops = append(t.Ops, kv.Op{Verb: kv.Delete, Table: Leases, Key: o.name, Cond: true, If: mine})
	}
	o.mu.Unlock()
	if len(t.Ops) == 0 {
		return
	}
	if r, err := o.store.Txn(ctx, t); err != nil || !r.OK() {
		o.log.Info("duties were not handed over in order: others wait for the lease's end", "err", err)
	}
}
