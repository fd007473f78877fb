package store

import (
	"fmt"
	"testing"

	"github.com/hashicorp/raft"

	"gatetack/internal/kv"
	"gatetack/internal/limits"
)

// applyPuts applies n transactions of one change each, the first with the given index.
func applyPuts(t testing.TB, f *fsm, first, n int) {
	t.Helper()
	for i := first; i < first+n; i++ {
		txn := &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "job", Key: fmt.Sprint(i % 64), Value: []byte("x")}}}
		data, err := txn.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if r := f.Apply(&raft.Log{Index: uint64(i), Data: data}).(*kv.Result); !r.OK() {
			t.Fatalf("%d: %+v", i, r)
		}
	}
}

// The changes that are promised to watchers are kept, not many more, and letting go of old ones costs a copy of them
// once in as many changes and not at each: that took the store from 4,200 to 1,050 writes a second.
func TestChangesAreTrimmedSeldom(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	lim.BatchEvents = 100
	f := newFSM(lim)
	trims, next := 0, 1
	for first := f.firstKept; next <= 1000; next++ {
		applyPuts(t, f, next, 1)
		if f.firstKept != first {
			first = f.firstKept
			trims++
		}
		if n := len(f.events); n > 2*lim.BatchEvents || n < min(next, lim.BatchEvents) {
			t.Fatalf("%d changes are kept after %d, want %d to %d", n, next, lim.BatchEvents, 2*lim.BatchEvents)
		}
	}
	if most := 1000 / lim.BatchEvents; trims == 0 || trims > most {
		t.Errorf("%d trims in 1000 changes, want 1 to %d", trims, most)
	}
	events, upTo, lost, _ := f.changesAfter(1000-uint64(lim.BatchEvents), "job", "")
	if lost || upTo != 1000 || len(events) != lim.BatchEvents || events[0].Version != 901 {
		t.Errorf("lost %v, up to %d, %d events", lost, upTo, len(events))
	}
	if _, _, lost, _ := f.changesAfter(f.firstKept-1, "job", ""); !lost {
		t.Error("changes that are gone are not told as lost")
	}
}

// BenchmarkApply is what one change costs once as many are kept as are promised.
func BenchmarkApply(b *testing.B) {
	lim := limits.New(0, 0, 0, 0, 0)
	f := newFSM(lim)
	applyPuts(b, f, 1, 2*lim.BatchEvents)
	b.ResetTimer()
	applyPuts(b, f, 2*lim.BatchEvents+1, b.N)
}
