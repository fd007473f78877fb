package leaseholder

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

var scaleNodes = flag.Int("scale", 20, "nodes of the scale test; the figures in docs/design/duties.md are of 100")

// partitionsPerNode is how many partitions of earlier incarnations each node of the scale test owns.
const partitionsPerNode = 100

// tick lets 100 ms pass: all nodes but one see the store, step, and have their calls return.
func (f *fleet) tick(lost *testNode) {
	f.elapsed += 100 * time.Millisecond
	f.store.nowMs += 100
	for _, node := range f.nodes {
		if node == lost {
			continue
		}
		node.member.view = f.store.state.Snapshot()
		node.step(f.t.Context())
		for len(node.calls) > 0 {
			call := node.calls[0]
			node.calls = node.calls[1:]
			call()
		}
	}
}

func (f *fleet) ticks(n int, lost *testNode) {
	for range n {
		f.tick(lost)
	}
}

// own makes a node the owner of partitions of a hundred earlier incarnations.
func (f *fleet) own(node *testNode, owners map[string]string) {
	value, err := json.Marshal(node.self.incarnation)
	if err != nil {
		f.t.Fatal(err)
	}
	for i := range partitionsPerNode {
		key := lease.Incarnation{Node: node.name, StartedMs: int64(1000 + i)}.PartitionKey()
		put := kv.Op{Verb: kv.Put, Table: PartitionTable, Key: key, Value: value}
		f.store.index++
		f.store.state.Apply(f.store.index, &kv.Txn{At: f.store.nowMs, Ops: []kv.Op{put}})
		node.manager.ClaimCompleted(key, f.store.index)
		owners[key] = node.name
	}
}

// The store is written as often as leases are renewed, however many partitions there are. When a node is lost its
// partitions move and no others, spread over all remaining nodes, each claimed about once.
func TestStoreWritesDoNotGrowWithPartitions(t *testing.T) {
	n := *scaleNodes
	f := newFleet(t, 1, n)
	f.store.nowMs, f.elapsed = 1<<40, time.Hour
	f.ticks(20, nil)
	owners := map[string]string{}
	for _, node := range f.nodes {
		f.own(node, owners)
	}
	before, startedAt := f.store.index, time.Now()
	f.ticks(100, nil)
	step := time.Since(startedAt) / time.Duration(100*n)
	written := f.store.index - before
	if limit := uint64(11 * n); written > limit {
		t.Errorf("%d writes in 10 s of %d nodes with %d partitions, want %d at most", written, n, partitionsPerNode*n, limit)
	}
	lost := f.nodes[n/2]
	before = f.store.index
	f.ticks(80, lost)
	claims := int(f.store.index-before) - 8*(n-1) // beside renewals
	moved := f.movedPartitions(owners, lost)
	total, largest := 0, 0
	for _, count := range moved {
		total, largest = total+count, max(largest, count)
	}
	t.Logf("%d nodes, %d partitions: %d writes in 10 s, %v a step; one lost: %d moved to %d nodes, %d at most to one, "+
		"%d writes beside renewals", n, partitionsPerNode*n, written, step.Round(time.Microsecond), total, len(moved),
		largest, claims)
	if total != partitionsPerNode || len(moved) < min(n-1, partitionsPerNode)/2 || claims > 2*(partitionsPerNode+1)+n {
		t.Errorf("%d moved to %d nodes by %d writes", total, len(moved), claims)
	}
}

// movedPartitions returns how many partitions moved to which node, and fails the test for one that moved and was not
// the lost node's, or that was and did not.
func (f *fleet) movedPartitions(owners map[string]string, lost *testNode) map[string]int {
	moved := map[string]int{}
	for key, before := range owners {
		partition, _ := decodePartition(f.store.state.Snapshot().Get(PartitionTable, key))
		now := partition.Owner.Node
		if now != before {
			moved[now]++
		}
		if now == lost.name || before != lost.name && now != before {
			f.t.Errorf("%s was %s's and is %s's", key, before, now)
		}
	}
	return moved
}
