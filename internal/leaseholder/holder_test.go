package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gatetack/internal/jobstore"
	"gatetack/internal/kv"
	"gatetack/internal/lease"
)

// writes records the committed writes by partition: the latest epoch, and the writer under each epoch.
type writes struct {
	epochs  map[string]uint64
	writers map[string]string
}

// write lets a node write to each partition that it believes it owns. It fails the test if a write is committed under
// an epoch older than that of an earlier write, or if a second node writes under the same epoch.
func (f *fleet) write(node *testNode, committed *writes) {
	for _, key := range node.manager.Partitions() {
		epoch, _ := node.manager.Epoch(key)
		change := jobstore.Change{Kind: "job", Key: key + ".x", Value: []byte(node.name)}
		if node.Write(context.Background(), change) != nil {
			continue
		}
		id := fmt.Sprintf("%s %d", key, epoch)
		writer := fmt.Sprintf("%s %d", node.name, node.manager.Incarnation().StartedMs)
		if epoch < committed.epochs[key] {
			f.t.Fatalf("%s wrote to %s under epoch %d after %d\n%v", node.name, key, epoch, committed.epochs[key], f.history)
		}
		if other := committed.writers[id]; other != "" && other != writer {
			f.t.Fatalf("%s and %s both wrote to %s under epoch %d\n%v", other, writer, key, epoch, f.history)
		}
		committed.epochs[key], committed.writers[id] = epoch, writer
	}
}

// heal ends all faults and waits for four lease TTLs.
func (f *fleet) heal() {
	for _, node := range f.nodes {
		node.paused, node.member.unreachable, node.member.losesResponses = false, false, false
	}
	for end := f.elapsed + 4*testLimits.LeaseTTL; f.elapsed < end; {
		f.step(false)
	}
}

// checkOwners fails the test unless each partition has exactly one owner, which has adopted its jobs. It returns the
// number of partitions that are owned by another node than their first owner.
func (f *fleet) checkOwners(seed int64) (takeovers int) {
	owners := map[string]string{}
	for _, node := range f.nodes {
		for _, key := range node.manager.Partitions() {
			if other, ok := owners[key]; ok {
				f.t.Errorf("seed %d: %s and %s both own %s\n%v", seed, other, node.name, key, f.history)
			}
			owners[key] = node.name
			if !node.front.adopted[key] && key != node.self.incarnation.PartitionKey() {
				f.t.Errorf("seed %d: %s owns %s but did not adopt it", seed, node.name, key)
			}
		}
	}
	for _, partition := range f.nodes[0].view().Partitions {
		if owners[partition.Key] == "" {
			f.t.Errorf("seed %d: no node owns %s\n%v", seed, partition.Key, f.history)
		}
		first, ok := lease.ParsePartitionKey(partition.Key)
		if ok && first.Node != owners[partition.Key] {
			takeovers++
		}
	}
	return takeovers
}

// Nodes pause, restart, become unreachable, lose responses and have wrong clocks, with several seeds. No write is
// committed under an epoch older than that of an earlier write, no two nodes write under one epoch, and after the
// faults each partition has one running owner.
func TestEachPartitionHasOneWriterUnderFaults(t *testing.T) {
	takeovers := 0
	for seed := int64(1); seed <= 60; seed++ {
		f := newFleet(t, seed, 5)
		committed := &writes{epochs: map[string]uint64{}, writers: map[string]string{}}
		for range 1500 {
			f.step(true)
			for _, node := range f.nodes {
				if !node.paused && f.rng.Intn(5) == 0 {
					f.write(node, committed)
				}
			}
		}
		f.heal()
		for _, node := range f.nodes {
			f.write(node, committed)
		}
		takeovers += f.checkOwners(seed)
		if t.Failed() {
			t.FailNow()
		}
	}
	if takeovers < 60 {
		t.Errorf("only %d partitions were taken over by another node, want at least 60 for a meaningful test", takeovers)
	}
}

// A node is paused for longer than its lease and still believes that it holds the lease. Its write is not committed.
// Without the fencing condition the store accepts the same write.
func TestWriteOfAFormerOwnerIsFenced(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.steps(200)
	formerOwner, successor := f.nodes[0], f.nodes[1]
	key := formerOwner.self.incarnation.PartitionKey()
	if !formerOwner.owns(key) {
		t.Fatal("the node does not own its own partition")
	}
	formerOwner.paused = true
	f.steps(200)
	if !successor.owns(key) {
		t.Fatal("the other node did not take over the partition")
	}
	formerOwner.bootTime = func() time.Duration { return 0 } // the clock did not run during the pause
	formerOwner.manager.LeaseRenewed(0, 1)
	change := jobstore.Change{Kind: "job", Key: key + ".x", Value: []byte("late")}
	if err := formerOwner.Write(context.Background(), change); !errors.Is(err, ErrNotOwner) {
		t.Fatalf("write of the former owner: %v, want ErrNotOwner", err)
	}
	if _, found, _ := successor.member.Get(context.Background(), "job", key+".x"); found {
		t.Error("write of the former owner was committed")
	}
	if formerOwner.FencedWrites() != 1 {
		t.Errorf("%d writes counted as fenced, want 1", formerOwner.FencedWrites())
	}
	bare := &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "job", Key: key + ".x", Value: []byte("late")}}}
	if r, err := formerOwner.member.Txn(context.Background(), bare); err != nil || !r.OK() {
		t.Fatal("the store rejects the unfenced write, so the test does not prove that fencing works")
	}
}

// A node releases its partitions at a planned shutdown, so that other nodes do not wait for its lease to expire.
func TestReleasedPartitionIsClaimedBeforeTheLeaseWouldExpire(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.steps(200)
	leaving := f.nodes[0]
	key := leaving.self.incarnation.PartitionKey()
	leaving.Release(context.Background())
	from := f.elapsed
	claimed := func() bool {
		return slices.ContainsFunc(f.nodes[1:], func(node *testNode) bool { return node.owns(key) })
	}
	for !claimed() && f.elapsed-from < testLimits.LeaseTTL {
		f.step(false)
	}
	if !claimed() || f.elapsed-from >= testLimits.LeaseTTL {
		t.Errorf("no node claimed the partition within %v", f.elapsed-from)
	}
}

// A node restarts and finds a partition of its earlier incarnation, which another node claims first. The node must not
// wait for that partition, because it would then never accept jobs again.
func TestPartitionClaimedElsewhereDoesNotBlockReadiness(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 2)
	restarted.predecessors = predecessorState{listed: true, unadopted: []string{left}}
	other := f.nodes[1]
	claim := lease.Action{Partition: left, OwnLease: other.manager.OwnLease(), ExpectedVersion: f.epoch(left)}
	other.claim(t.Context(), claim, "test")
	f.steps(60)
	if !restarted.Ready() {
		t.Errorf("node waits for %v, which %s owns", restarted.predecessors.unadopted, other.name)
	}
}

// A node that restarts before the lease of its earlier incarnation has expired is not ready until it has adopted the
// partition of that incarnation.
func TestRestartedNodeWaitsForItsOwnUnexpiredLease(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 1)
	restarted.predecessors = predecessorState{listed: true, unadopted: []string{left}}
	if restarted.step(t.Context()); restarted.Ready() || !slices.Contains(restarted.predecessors.unadopted, left) {
		t.Fatalf("node does not wait for %s: %v", left, restarted.predecessors.unadopted)
	}
	f.steps(80)
	if !restarted.Ready() || !restarted.front.adopted[left] {
		t.Errorf("node has not adopted %s: %v", left, restarted.predecessors.unadopted)
	}
}

// A partition of an ended incarnation is deleted once it has no records, and not before. The node's own partition is
// not deleted.
func TestPartitionWithoutRecordsIsDeleted(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 1)
	f.steps(80)
	own := restarted.self.incarnation.PartitionKey()
	restarted.front.records = map[string]bool{left: true}
	restarted.deleteEmptyPartitions(t.Context())
	if f.epoch(left) == 0 || f.epoch(own) == 0 {
		t.Fatalf("partition with records deleted: epochs %d of %s, %d of %s", f.epoch(left), left, f.epoch(own), own)
	}
	clear(restarted.front.records)
	restarted.deleteEmptyPartitions(t.Context())
	if f.epoch(left) != 0 || f.epoch(own) == 0 {
		t.Errorf("without records: epochs %d of %s, want 0, %d of %s, want above 0", f.epoch(left), left, f.epoch(own), own)
	}
	restarted.member.view = f.store.state.Snapshot()
	if _, here, known := restarted.Locate(left); here || known {
		t.Error("a deleted partition is still known")
	}
}
