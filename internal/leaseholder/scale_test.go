package leaseholder

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

var scaleNodes = flag.Int("scale", 20, "nodes of the scale test; the results in docs/design/duties.md are for 100")

// partitionsPerNode is the number of partitions of earlier incarnations that each node of the scale test owns.
const partitionsPerNode = 100

// tick simulates 100 ms, in which all nodes except lost update their local state, step, and complete their calls.
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

// own makes a node the owner of the partitions of partitionsPerNode earlier incarnations.
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

// The number of writes to the store depends on the lease renewals, not on the number of partitions. When a node is
// lost, only its partitions move. They are spread over the remaining nodes, and each is claimed about once.
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
		t.Errorf("%d writes in 10 s of %d nodes with %d partitions, want at most %d", written, n, partitionsPerNode*n, limit)
	}
	lost := f.nodes[n/2]
	before = f.store.index
	f.ticks(80, lost)
	claims := int(f.store.index-before) - 8*(n-1) // without lease renewals
	moved := f.movedPartitions(owners, lost)
	total, largest := 0, 0
	for _, count := range moved {
		total, largest = total+count, max(largest, count)
	}
	t.Logf("%d nodes, %d partitions: %d writes in 10 s, %v per step; one lost: %d moved to %d nodes, at most %d to one, "+
		"%d writes without renewals", n, partitionsPerNode*n, written, step.Round(time.Microsecond), total, len(moved),
		largest, claims)
	if total != partitionsPerNode || len(moved) < min(n-1, partitionsPerNode)/2 || claims > 2*(partitionsPerNode+1)+n {
		t.Errorf("%d partitions moved to %d nodes with %d writes", total, len(moved), claims)
	}
}

// movedPartitions returns the number of partitions that moved to each node. It fails the test if a partition of the
// lost node did not move, or another one did.
func (f *fleet) movedPartitions(owners map[string]string, lost *testNode) map[string]int {
	moved := map[string]int{}
	for key, before := range owners {
		partition, _ := decodePartition(f.store.state.Snapshot().Get(PartitionTable, key))
		now := partition.Owner.Node
		if now != before {
			moved[now]++
		}
		if now == lost.name || before != lost.name && now != before {
			f.t.Errorf("partition %s was owned by %s and is now owned by %s", key, before, now)
		}
	}
	return moved
}
