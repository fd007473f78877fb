package leaseholder

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

var scale = flag.Int("scale", 20, "nodes of TestScale, with a hundred duties each; the figures on the page are of 100")

// The store is written as often as leases are renewed, however many duties there are; when a node is lost its duties move and
// no others, spread over all that are left, each claimed about once.
func TestScale(t *testing.T) {
	n := *scale
	f := newFleet(t, 1, n)
	f.s.now, f.at = 1<<40, time.Hour
	tick := func(skip *one) {
		f.at += 100 * time.Millisecond
		f.s.now += 100
		for _, x := range f.nodes {
			if x == skip {
				continue
			}
			x.m.view = f.s.state.Snapshot()
			x.step(t.Context())
			for len(x.waiting) > 0 {
				g := x.waiting[0]
				x.waiting = x.waiting[1:]
				g()
			}
		}
	}
	for range 20 {
		tick(nil)
	}
	holds := map[string]string{}
	for i, x := range f.nodes { // what a hundred earlier lives of each left, held by it
		value, _ := json.Marshal(x.own)
		for k := range 100 {
			key := lease.Life{Node: fmt.Sprintf("n%d", i), Born: int64(1000 + k)}.Partition()
			f.s.index++
			f.s.state.Apply(f.s.index, &kv.Txn{At: f.s.now, Ops: []kv.Op{{Verb: kv.Put, Table: Duties, Key: key, Value: value}}})
			x.keeper.Claimed(key, f.s.index, f.at)
			holds[key] = x.name
		}
	}
	before := f.s.index
	began := time.Now()
	for range 100 {
		tick(nil)
	}
	steps := time.Since(began) / time.Duration(100*n)
	writes := f.s.index - before
	if most := uint64(11 * n); writes > most {
		t.Errorf("%d writes in 10 s of %d nodes with %d duties, want %d at most", writes, n, 100*n, most)
	}
	lost := f.nodes[n/2]
	before = f.s.index
	for range 80 {
		tick(lost)
	}
	moved, by := 0, map[string]int{}
	for key, was := range holds {
		d, _ := dutyOf(f.s.state.Snapshot().Get(Duties, key))
		if d.Owner.Node != was {
			moved++
			by[d.Owner.Node]++
		}
		if d.Owner.Node == lost.name || was != lost.name && d.Owner.Node != was {
			t.Errorf("%s was %s's and is %s's", key, was, d.Owner.Node)
		}
	}
	most := 0
	for _, k := range by {
		most = max(most, k)
	}
	claims := int(f.s.index-before) - 8*(n-1) // beside renewals
	t.Logf("%d nodes, %d duties: %d writes in 10 s, %v a step; one lost: %d moved to %d nodes, %d at most to one, %d writes beside renewals",
		n, 100*n, writes, steps.Round(time.Microsecond), moved, len(by), most, claims)
	if moved != 100 || len(by) < min(n-1, 100)/2 || claims > 2*101+n {
		t.Errorf("%d moved to %d nodes by %d writes", moved, len(by), claims)
	}
}
