// Package owner carries out what package duty decides: it keeps this node's lease in the replicated store, claims duties and
// lets go of them, and fences all that is written on their behalf. It is the batch front's store: a write is made only if the
// duty that it belongs to still has the epoch under which this node holds it, in the same transaction.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/duty"
	"gatetack/internal/failpoint"
	"gatetack/internal/http1"
	"gatetack/internal/keys"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/records"
	"gatetack/internal/store"
)

// The tables of leases, by node, and of duties, by key. A duty's version is its epoch.
const (
	Leases = "lease"
	Duties = "duty"
)

// Store is the part of a member of the replicated store that duties need.
type Store interface {
	records.Store
	Txn(context.Context, *kv.Txn) (*kv.Result, error)
	View() *kv.View
	Local(kind, key string) ([]byte, bool)
}

// Front does the work that duties stand for: the jobs on record of one life of a node.
type Front interface {
	// Open names the partitions of a node of which something is open on record.
	Open(ctx context.Context, node string) ([]string, error)
	// Adopt takes up what is on record of a partition, and says how much of it is still to be done.
	Adopt(ctx context.Context, partition string) (int, error)
	// Drop lets go of a partition that is another's by now.
	Drop(partition string)
	// Left says whether anything of a partition is on record.
	Left(ctx context.Context, partition string) (bool, error)
	// Reborn has all that is taken from now on belong to another life.
	Reborn(born int64)
}

// Owner is one node's.
type Owner struct {
	store Store
	front Front
	addr  string // of this node's batch front
	name  string
	lim   limits.Limits
	log   *slog.Logger
	ring  *keys.Ring
	clock func() time.Duration
	spawn func(func()) // runs what waits for the store beside the loop

	refused atomic.Int64  // writes that a fence kept out
	taking  chan struct{} // a place for each duty that is taken up at a time: its records are read at the leader

	mu     sync.Mutex
	keeper *duty.Keeper
	own    duty.Life // under which new jobs are taken
	born   bool      // its duty is held
	asked  bool      // which partitions this node's earlier lives left was found out,
	old    []string  // and these are still to be taken up
	gone   bool

	leaving bool

	stamp  any         // of the table of duties, and
	duties []duty.Duty // what was read of it: leases change all the time, and duties seldom
}

// New makes an owner for one life of a node.
func New(s Store, name string, born int64, addr string, lim limits.Limits, log *slog.Logger) (*Owner, error) {
	t := duty.Times{TTL: lim.LeaseTTL, Renew: lim.LeaseTTL / 3, Drift: lim.LeaseTTL / 6, Rank: lim.LeaseTTL / 6, Again: 2 * lim.LeaseTTL}
	if err := t.Check(); err != nil {
		return nil, err
	}
	self := duty.Life{Node: name, Born: born}
	return &Owner{store: s, addr: addr, name: name, lim: lim, log: log, clock: store.BootTime, spawn: func(f func()) { go f() }, taking: make(chan struct{}, mostTaken), keeper: duty.New(self, t), own: self}, nil
}

// Connect sets the front. It must be called before Run.
func (o *Owner) Connect(f Front, ring *keys.Ring) { o.front, o.ring = f, ring }

// ErrLost says that a duty is not, or no longer, this node's: what was to be written for it was not.
var ErrLost = errors.New("owner: the duty is another node's")

// partition is the one that changes belong to: that of their jobs, or where they are of none, that of this life.
func (o *Owner) partition(changes []records.Change) string {
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

// Write makes all changes or none, under the epoch of the duty that they belong to.
func (o *Owner) Write(ctx context.Context, changes ...records.Change) error {
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
		do(func() { o.carry(context.WithoutCancel(ctx), acts) }) // beside the caller, who may hold a job's lock
		return fmt.Errorf("%w: %s", ErrLost, key)
	}
	return store.Refusal(r)
}

// Get and Page are the store's: what is read is fenced by nothing.
func (o *Owner) Get(ctx context.Context, kind, key string) ([]byte, bool, error) {
	return o.store.Get(ctx, kind, key)
}

// Page gives rows in the order of their keys.
func (o *Owner) Page(ctx context.Context, kind, after string, limit int) ([]records.Row, error) {
	return o.store.Page(ctx, kind, after, limit)
}

// Local gives a value as this member has it, which may be old.
func (o *Owner) Local(kind, key string) ([]byte, bool) { return o.store.Local(kind, key) }

// Ready says whether this life has its own duty, and all that earlier lives of this node left and nobody has was taken up.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.born && o.asked && len(o.old) == 0
}

// Place says whose a partition is: this node's, or that of the node whose batch front is at an address; neither, where nobody
// has it at the moment, or, not known, where there is no such duty.
func (o *Owner) Place(partition string) (addr string, ours, known bool) {
	o.mu.Lock()
	_, ours = o.keeper.Epoch(partition)
	o.mu.Unlock()
	if ours {
		return "", true, true
	}
	now := o.store.View()
	d, known := dutyOf(now.Get(Duties, partition))
	if known {
		if l, ok := leaseOf(now.Get(Leases, d.Owner.Node)); ok && l.Life == d.Owner {
			return l.Addr, false, true
		}
	}
	return "", false, known
}

// Pass makes a client's call at another node, once: a call that was passed on is not passed on again.
func (o *Owner) Pass(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error) {
	fields := []http1.Field{{Name: Hop, Value: o.name}}
	for _, x := range m.Fields {
		if strings.HasPrefix(x.Name, own) && x.Name != Hop {
			fields = append(fields, x)
		}
	}
	return store.Call(ctx, addr, m.Method, m.Target, m.Body, o.ring, o.lim, fields...)
}

// Hop marks a call that a node passed on.
const Hop = own + "Hop"

// own begins the fields that nodes add for one another.
const own = "X-Gatetack-"

// lease is what stands in the store.
type lease struct {
	Born int64  `json:"born"`
	Addr string `json:"addr"`
}

// view reads leases and duties as this member has them. It is the loop's alone.
func (o *Owner) view() duty.View {
	now := o.store.View()
	v := duty.View{Leases: map[string]duty.Lease{}}
	for _, e := range now.List(Leases, "", "", 1<<16) {
		if l, ok := leaseOf(e, true); ok {
			v.Leases[l.Node] = l
		}
	}
	if at := now.Stamp(Duties); at != o.stamp || o.stamp == nil {
		o.stamp, o.duties = at, nil
		for _, e := range now.List(Duties, "", "", 1<<16) {
			if d, ok := dutyOf(e, true); ok {
				o.duties = append(o.duties, d)
			}
		}
	}
	v.Duties = slices.Clip(o.duties) // what is added to it is a copy's
	return v
}

// leaseOf and dutyOf read an entry, if there is one and it is what it should be.
func leaseOf(e *kv.Entry, found bool) (duty.Lease, bool) {
	var l lease
	if !found || json.Unmarshal(e.Value, &l) != nil {
		return duty.Lease{}, false
	}
	return duty.Lease{Life: duty.Life{Node: e.Key, Born: l.Born}, Addr: l.Addr, Version: e.Version}, true
}

func dutyOf(e *kv.Entry, found bool) (duty.Duty, bool) {
	var owner duty.Life
	if !found || json.Unmarshal(e.Value, &owner) != nil {
		return duty.Duty{}, false
	}
	return duty.Duty{Key: e.Key, Owner: owner, Epoch: e.Version}, true
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
	o.carry(ctx, acts)
}

// unborn are partitions of earlier lives that are on record and have no duty yet: a version that had none left them.
func (o *Owner) unborn(v duty.View) (out []duty.Duty) {
	for _, key := range o.old {
		known := false
		for _, d := range v.Duties {
			known = known || d.Key == key
		}
		if _, held := o.keeper.Epoch(key); !known && !held {
			out = append(out, duty.Duty{Key: key})
		}
	}
	return out
}

// begin finds out what earlier lives of this node left, once, and makes this life's own duty.
func (o *Owner) begin(ctx context.Context, v duty.View) {
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
	o.claim(ctx, duty.Action{Key: own.Partition(), Mine: mine.Version}, "this life's own")
}

// carry carries actions out. Calls to the store run beside the loop: one that waits for a leader must not keep a lease from
// being seen as ended.
func (o *Owner) carry(ctx context.Context, acts []duty.Action) {
	o.mu.Lock()
	do := o.spawn
	o.mu.Unlock()
	for _, a := range acts {
		switch a.Verb {
		case duty.Renew:
			asked := o.clock()
			do(func() { o.renew(ctx, asked, a.If) })
		case duty.Claim:
			do(func() { o.claim(ctx, a, "its owner has no lease") })
		case duty.Take:
			do(func() { o.take(ctx, a) })
		case duty.Stop:
			o.stop(a)
		case duty.Later:
			o.mu.Lock()
			o.own = o.keeper.Self()
			born := o.own.Born
			o.mu.Unlock()
			o.front.Reborn(born)
			o.log.Warn("an earlier life of this node began later by its clock: this one is called by a later time", "node", o.name, "born", born)
		case duty.Leave:
			o.mu.Lock()
			o.gone = true
			o.mu.Unlock()
			o.log.Error("another process runs under this node's name, and began later: this one takes no batch jobs any more", "node", o.name)
		}
	}
}

func (o *Owner) renew(ctx context.Context, asked time.Duration, at uint64) {
	o.mu.Lock()
	l := lease{Addr: o.addr}
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

// claim writes a duty as ours. Nothing is taken up of this life's own: what is on record of it is being done here, and would be
// taken for what an earlier life left.
func (o *Owner) claim(ctx context.Context, a duty.Action, why string) {
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
	o.carry(ctx, acts)
}

// mostTaken duties are taken up at a time by one node. After most nodes were lost each of the others has many to take up, and all
// read what is on record of them at one leader.
const mostTaken = 2

// take does a duty.
func (o *Owner) take(ctx context.Context, a duty.Action) {
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

// stop lets go of a duty that was lost. Where it was that of this life's own jobs, what is taken from now on is of another.
func (o *Owner) stop(a duty.Action) {
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

// retire takes away the duties held here of lives that are over and of which nothing is on record any more: a fleet that is
// restarted every day would gather them for good.
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

// LetGo writes all that is held as nobody's and takes the lease away, at a planned end, so that others need not wait for the
// lease's end. Nothing is claimed any more.
func (o *Owner) LetGo(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	t := &kv.Txn{}
	none, _ := json.Marshal(duty.Life{})
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

// Refused counts writes that a fence kept out.
func (o *Owner) Refused() int64 { return o.refused.Load() }
