package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
	"gatetack/internal/limits"
)

var lim = limits.New(0, 0, 0, 0, 0)

// shared is the replicated store as one state machine: what consensus makes of it. Faults are of those who use it.
type shared struct {
	state *kv.State
	index uint64
	now   int64 // the leader's clock
}

// member is the store as one node reaches it.
type member struct {
	*shared
	view  *kv.View // what it has seen, which may be old
	cut   bool     // it reaches no leader
	lossy bool     // what it asks for is made and the answer is lost
}

var errCut = errors.New("no leader")

func (m *member) Txn(_ context.Context, t *kv.Txn) (*kv.Result, error) {
	if m.cut {
		return nil, errCut
	}
	t.At = m.now
	m.index++
	r := m.state.Apply(m.index, t)
	if m.lossy {
		return nil, errors.New("the answer was lost")
	}
	return &r, nil
}
func (m *member) View() *kv.View { return m.view }
func (m *member) Local(kind, key string) ([]byte, bool) {
	e, ok := m.view.Get(kind, key)
	if !ok {
		return nil, false
	}
	return e.Value, true
}
func (m *member) Write(context.Context, ...jobstore.Change) error {
	return errors.New("an owner's writes are transactions")
}
func (m *member) Get(_ context.Context, kind, key string) ([]byte, bool, error) {
	if m.cut {
		return nil, false, errCut
	}
	e, ok := m.state.Snapshot().Get(kind, key)
	if !ok {
		return nil, false, nil
	}
	return e.Value, true, nil
}
func (m *member) Page(context.Context, string, string, int) ([]jobstore.Row, error) { return nil, nil }

// work stands for the batch front.
type work struct {
	adopted map[string]bool
	born    int64
	left    map[string]bool
}

func (w *work) Open(context.Context, string) ([]string, error) { return nil, nil }
func (w *work) Adopt(_ context.Context, p string) (int, error) { w.adopted[p] = true; return 1, nil }
func (w *work) Drop(p string)                                  { delete(w.adopted, p) }
func (w *work) Reborn(born int64)                              { w.born = born }
func (w *work) Left(_ context.Context, p string) (bool, error) { return w.left[p], nil }

// fleet is nodes of one store, driven step by step from a seed.
type fleet struct {
	t     *testing.T
	rng   *rand.Rand
	s     *shared
	at    time.Duration // of all clocks; each node's is ahead or behind by its own
	nodes []*one
	lives int64
	trace []string
}

type one struct {
	*Owner
	name    string
	m       *member
	w       *work
	paused  bool
	ahead   time.Duration
	waiting []func() // calls to the store that are under way
}

func newFleet(t *testing.T, seed int64, n int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewSource(seed)), s: &shared{state: kv.New(kv.Bounds{Key: 512, Value: 1 << 16, Ops: 256, Done: 64}),
		now: 1 << 40}}
	for i := range n {
		x := &one{name: fmt.Sprintf("n%d", i)}
		f.nodes = append(f.nodes, x)
		f.boot(x)
	}
	return f
}

// boot starts a node's process: nothing of an earlier one is left in it.
func (f *fleet) boot(x *one) {
	f.lives++
	x.m = &member{shared: f.s, view: f.s.state.Snapshot()}
	x.w = &work{adopted: map[string]bool{}}
	x.paused, x.waiting = false, nil
	o, err := New(x.m, x.name, f.lives, "addr of "+x.name, lim, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	x.Owner = o
	o.Connect(x.w, nil)
	o.clock = func() time.Duration { return f.at + x.ahead }
	o.spawn = func(g func()) { x.waiting = append(x.waiting, g) }
}

func (f *fleet) say(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%v ", f.at)+fmt.Sprintf(format, args...))
}

// step lets time pass and one or another go on.
func (f *fleet) step(faults bool) {
	d := time.Duration(f.rng.Intn(100)) * time.Millisecond
	f.at += d
	f.s.now += d.Milliseconds()
	if faults && f.rng.Intn(25) == 0 {
		x := f.nodes[f.rng.Intn(len(f.nodes))]
		switch f.rng.Intn(7) {
		case 0, 1:
			x.paused = !x.paused
			f.say("%s paused %v", x.name, x.paused)
		case 2:
			f.boot(x)
			f.say("%s starts anew", x.name)
		case 3:
			x.m.cut = !x.m.cut
			f.say("%s cut off %v", x.name, x.m.cut)
		case 4:
			x.m.lossy = !x.m.lossy
			f.say("%s loses answers %v", x.name, x.m.lossy)
		case 5:
			f.s.now += int64(f.rng.Intn(3600_000))
			f.say("a leader whose clock is ahead")
		case 6:
			x.ahead += time.Duration(f.rng.Intn(2000)) * time.Millisecond
			f.say("%s slept", x.name)
		}
	}
	for _, x := range f.nodes {
		if x.paused {
			continue
		}
		if f.rng.Intn(3) > 0 {
			x.m.view = f.s.state.Snapshot()
		}
		switch f.rng.Intn(3) {
		case 0:
			x.step(context.Background())
		default:
			for len(x.waiting) > 0 && f.rng.Intn(4) > 0 { // calls return in any order
				i := f.rng.Intn(len(x.waiting))
				g := x.waiting[i]
				x.waiting = slices.Delete(x.waiting, i, i+1)
				g()
			}
		}
	}
}

// check looks at the store's log of effects, which stand under key "PARTITION.x" with who wrote them under which epoch.
func (f *fleet) write(x *one, last map[string]uint64, by map[string]string) {
	for _, p := range x.keeper.Held() {
		epoch, _ := x.keeper.Epoch(p)
		err := x.Write(context.Background(), jobstore.Change{Kind: "job", Key: p + ".x", Value: []byte(x.name)})
		if err != nil {
			continue
		}
		id := fmt.Sprintf("%s %d", p, epoch)
		who := fmt.Sprintf("%s %d", x.name, x.keeper.Self().Born)
		if epoch < last[p] {
			f.t.Fatalf("%s wrote for %s under epoch %d after %d\n%v", x.name, p, epoch, last[p], f.trace)
		}
		if was := by[id]; was != "" && was != who {
			f.t.Fatalf("%s and %s both wrote for %s under epoch %d\n%v", was, who, p, epoch, f.trace)
		}
		last[p], by[id] = epoch, who
	}
}

// Nodes pause, start anew, are cut off, lose answers and go by wrong clocks, from seeds: no write is taken under an epoch older
// than one that was, no two write under one, and once all is well again each duty has one owner that holds it, among the
// living, before two leases are over.
func TestFleetFromSeeds(t *testing.T) {
	takeovers := 0
	for seed := int64(1); seed <= 60; seed++ {
		f := newFleet(t, seed, 5)
		last, by := map[string]uint64{}, map[string]string{}
		for range 1500 {
			f.step(true)
			for _, x := range f.nodes {
				if !x.paused && f.rng.Intn(5) == 0 {
					f.write(x, last, by)
				}
			}
		}
		for _, x := range f.nodes {
			x.paused, x.m.cut, x.m.lossy = false, false, false
		}
		for end := f.at + 4*lim.LeaseTTL; f.at < end; {
			f.step(false)
		}
		for _, x := range f.nodes {
			f.write(x, last, by)
		}
		held := map[string]string{}
		for _, x := range f.nodes {
			for _, p := range x.keeper.Held() {
				if was, ok := held[p]; ok {
					t.Errorf("seed %d: %s and %s both hold %s\n%v", seed, was, x.name, p, f.trace)
				}
				held[p] = x.name
				if !x.w.adopted[p] && p != x.own.Partition() {
					t.Errorf("seed %d: %s holds %s and does not do it", seed, x.name, p)
				}
			}
		}
		all := f.nodes[0].view()
		for _, d := range all.Duties {
			if held[d.Key] == "" {
				t.Errorf("seed %d: nobody has %s\n%v", seed, d.Key, f.trace)
			}
			if l, ok := lease.ParsePartition(d.Key); ok && l.Node != held[d.Key] {
				takeovers++
			}
		}
		if t.Failed() {
			t.FailNow()
		}
	}
	if takeovers < 60 {
		t.Errorf("%d duties were taken over by another node: the test shows too little", takeovers)
	}
}

// The guard out: with writes that are not fenced the same run is caught.
func TestFleetWithoutFenceIsCaught(t *testing.T) {
	f := newFleet(t, 1, 2)
	settle := func() {
		for range 200 {
			f.step(false)
		}
	}
	settle()
	a, b := f.nodes[0], f.nodes[1]
	p := a.own.Partition()
	epoch, ok := a.keeper.Epoch(p)
	if !ok {
		t.Fatal("a node without its own duty")
	}
	a.paused = true
	settle()
	if _, ok := b.keeper.Epoch(p); !ok {
		t.Fatal("the other did not take over")
	}
	// Woken late, it believes in its lease (its clock stood still) and writes.
	a.clock = func() time.Duration { return 0 }
	a.keeper.Renewed(0, 1)
	change := jobstore.Change{Kind: "job", Key: p + ".x", Value: []byte("late")}
	if err := a.Write(context.Background(), change); !errors.Is(err, ErrLost) {
		t.Fatalf("a late owner's write: %v", err)
	}
	if _, found, _ := b.m.Get(context.Background(), "job", p+".x"); found {
		t.Error("a late owner's write stands")
	}
	if a.Refused() != 1 {
		t.Errorf("%d writes counted as refused", a.Refused())
	}
	bare := &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "job", Key: p + ".x", Value: []byte("late")}}}
	if r, err := a.m.Txn(context.Background(), bare); err != nil || !r.OK() {
		t.Fatal("the store takes what is not fenced: the fence is what keeps it out")
	}
	_ = epoch
}

// At a planned end duties are handed over in order: others need not wait for the lease's end.
func TestLetGo(t *testing.T) {
	f := newFleet(t, 3, 3)
	for range 200 {
		f.step(false)
	}
	a := f.nodes[0]
	p := a.own.Partition()
	a.Release(context.Background())
	from := f.at
	taken := func() bool {
		for _, x := range f.nodes[1:] {
			if _, ok := x.keeper.Epoch(p); ok {
				return true
			}
		}
		return false
	}
	for !taken() && f.at-from < lim.LeaseTTL {
		f.step(false)
	}
	if !taken() || f.at-from >= lim.LeaseTTL {
		t.Errorf("nobody took the duty within %v", f.at-from)
	}
}

// A node starts again, finds that its earlier life left a duty, and another node claims it first: it does not wait for it, or
// it would never take a job again.
func TestAnotherWasQuicker(t *testing.T) {
	f, x, left := restarted(t, 2)
	x.old, x.asked = []string{left}, true
	other := f.nodes[1]
	other.claim(t.Context(), lease.Action{Key: left, Mine: other.keeper.Mine(), If: f.epoch(left)}, "quicker")
	for range 60 {
		f.step(false)
	}
	if !x.Ready() {
		t.Errorf("it waits for %v, which %s has", x.old, other.name)
	}
}

// A node that starts again while its earlier life's lease still stands waits for what that life left, until it has it.
func TestOwnLeaseStillStands(t *testing.T) {
	f, x, left := restarted(t, 1)
	x.old, x.asked = []string{left}, true
	if x.step(t.Context()); x.Ready() || !slices.Contains(x.old, left) {
		t.Fatalf("it does not wait for %s: %v", left, x.old)
	}
	for range 80 {
		f.step(false)
	}
	if !x.Ready() || !x.w.adopted[left] {
		t.Errorf("it has not taken up %s: %v", left, x.old)
	}
}

// restarted is a fleet of which one node has just started again, and the duty that its earlier life left.
func restarted(t *testing.T, n int) (f *fleet, x *one, left string) {
	f = newFleet(t, 1, n)
	for range 40 {
		f.step(false)
	}
	x = f.nodes[0]
	left = x.own.Partition()
	f.boot(x)
	return f, x, left
}

func (f *fleet) epoch(key string) uint64 {
	if e, ok := f.s.state.Snapshot().Get(Duties, key); ok {
		return e.Version
	}
	return 0
}

// A duty of a life that is over goes once nothing of it is on record, and not before; the life's own stays.
func TestRetire(t *testing.T) {
	f, x, was := restarted(t, 1)
	for range 80 {
		f.step(false)
	}
	own := x.own.Partition()
	x.w.left = map[string]bool{was: true}
	x.retire(t.Context())
	if f.epoch(was) == 0 || f.epoch(own) == 0 {
		t.Fatalf("%s stands by %d, %s by %d", was, f.epoch(was), own, f.epoch(own))
	}
	clear(x.w.left)
	x.retire(t.Context())
	if f.epoch(was) != 0 || f.epoch(own) == 0 {
		t.Errorf("%s stands by %d, %s by %d", was, f.epoch(was), own, f.epoch(own))
	}
	x.m.view = f.s.state.Snapshot()
	if _, ours, known := x.Place(was); ours || known {
		t.Error("a duty that was retired is still known")
	}
}
