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

// writes is what was written for partitions so far: the latest epoch of each, and who wrote under which.
type writes struct {
	epochs  map[string]uint64
	writers map[string]string
}

// write lets a node write for each partition that it believes to own, and fails the test for a write that is
// committed under an epoch older than a committed one, or by a second node under one epoch.
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
			f.t.Fatalf("%s wrote for %s under epoch %d after %d\n%v", node.name, key, epoch, committed.epochs[key], f.history)
		}
		if other := committed.writers[id]; other != "" && other != writer {
			f.t.Fatalf("%s and %s both wrote for %s under epoch %d\n%v", other, writer, key, epoch, f.history)
		}
		committed.epochs[key], committed.writers[id] = epoch, writer
	}
}

// heal ends all faults, and waits for four leases.
func (f *fleet) heal() {
	for _, node := range f.nodes {
		node.paused, node.member.unreachable, node.member.losesResponses = false, false, false
	}
	for end := f.elapsed + 4*testLimits.LeaseTTL; f.elapsed < end; {
		f.step(false)
	}
}

// checkOwners fails the test unless each partition has one owner among the nodes, which runs its jobs. It returns the
// number of partitions that another node than their first owns.
func (f *fleet) checkOwners(seed int64) (takeovers int) {
	owners := map[string]string{}
	for _, node := range f.nodes {
		for _, key := range node.manager.Partitions() {
			if other, ok := owners[key]; ok {
				f.t.Errorf("seed %d: %s and %s both own %s\n%v", seed, other, node.name, key, f.history)
			}
			owners[key] = node.name
			if !node.front.adopted[key] && key != node.self.incarnation.PartitionKey() {
				f.t.Errorf("seed %d: %s owns %s and did not adopt it", seed, node.name, key)
			}
		}
	}
	for _, partition := range f.nodes[0].view().Partitions {
		if owners[partition.Key] == "" {
			f.t.Errorf("seed %d: nobody owns %s\n%v", seed, partition.Key, f.history)
		}
		first, ok := lease.ParsePartitionKey(partition.Key)
		if ok && first.Node != owners[partition.Key] {
			takeovers++
		}
	}
	return takeovers
}

// Nodes pause, restart, are cut off, lose answers and go by wrong clocks, from seeds. No write is committed under an
// epoch older than that of an earlier write, no two nodes write under one epoch, and once the faults are over each
// partition has one living owner.
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
		t.Errorf("%d partitions were taken over by another node: the test shows too little", takeovers)
	}
}

// A node that is paused for longer than its lease and believes in it afterwards does not get a write committed.
// Without the fence the store takes the same write.
func TestLateWriteOfAFormerOwnerIsFenced(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.steps(200)
	formerOwner, successor := f.nodes[0], f.nodes[1]
	key := formerOwner.self.incarnation.PartitionKey()
	if !formerOwner.owns(key) {
		t.Fatal("a node without its own partition")
	}
	formerOwner.paused = true
	f.steps(200)
	if !successor.owns(key) {
		t.Fatal("the other did not take over")
	}
	formerOwner.bootTime = func() time.Duration { return 0 } // its clock stood still
	formerOwner.manager.LeaseRenewed(0, 1)
	change := jobstore.Change{Kind: "job", Key: key + ".x", Value: []byte("late")}
	if err := formerOwner.Write(context.Background(), change); !errors.Is(err, ErrNotOwner) {
		t.Fatalf("a late owner's write: %v", err)
	}
	if _, found, _ := successor.member.Get(context.Background(), "job", key+".x"); found {
		t.Error("a late owner's write was committed")
	}
	if formerOwner.FencedWrites() != 1 {
		t.Errorf("%d writes counted as fenced", formerOwner.FencedWrites())
	}
	bare := &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: "job", Key: key + ".x", Value: []byte("late")}}}
	if r, err := formerOwner.member.Txn(context.Background(), bare); err != nil || !r.OK() {
		t.Fatal("the store rejects what is not fenced: the test does not show that the fence does")
	}
}

// At a planned shutdown partitions are handed over: other nodes do not wait for the lease to expire.
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
		t.Errorf("nobody claimed the partition within %v", f.elapsed-from)
	}
}

// A node restarts, finds that its earlier incarnation left a partition, and another node claims that first. The node
// does not wait for it: it would never take a job again.
func TestPartitionClaimedElsewhereDoesNotBlockReadiness(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 2)
	restarted.predecessors = predecessorState{listed: true, unadopted: []string{left}}
	other := f.nodes[1]
	claim := lease.Action{Partition: left, OwnLease: other.manager.OwnLease(), ExpectedVersion: f.epoch(left)}
	other.claim(t.Context(), claim, "test")
	f.steps(60)
	if !restarted.Ready() {
		t.Errorf("it waits for %v, which %s owns", restarted.predecessors.unadopted, other.name)
	}
}

// A node that restarts while its earlier incarnation's lease has not expired waits for what that left, until it has
// adopted it.
func TestRestartedNodeWaitsForItsOwnUnexpiredLease(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 1)
	restarted.predecessors = predecessorState{listed: true, unadopted: []string{left}}
	if restarted.step(t.Context()); restarted.Ready() || !slices.Contains(restarted.predecessors.unadopted, left) {
		t.Fatalf("it does not wait for %s: %v", left, restarted.predecessors.unadopted)
	}
	f.steps(80)
	if !restarted.Ready() || !restarted.front.adopted[left] {
		t.Errorf("it has not adopted %s: %v", left, restarted.predecessors.unadopted)
	}
}

// A partition of an ended incarnation is deleted once it has no records, and not before. The node's own partition
// stays.
func TestPartitionWithoutRecordsIsDeleted(t *testing.T) {
	f, restarted, left := newRestartedFleet(t, 1)
	f.steps(80)
	own := restarted.self.incarnation.PartitionKey()
	restarted.front.records = map[string]bool{left: true}
	restarted.deleteEmptyPartitions(t.Context())
	if f.epoch(left) == 0 || f.epoch(own) == 0 {
		t.Fatalf("epochs %d of %s, %d of %s", f.epoch(left), left, f.epoch(own), own)
	}
	clear(restarted.front.records)
	restarted.deleteEmptyPartitions(t.Context())
	if f.epoch(left) != 0 || f.epoch(own) == 0 {
		t.Errorf("epochs %d of %s, %d of %s", f.epoch(left), left, f.epoch(own), own)
	}
	restarted.member.view = f.store.state.Snapshot()
	if _, here, known := restarted.Locate(left); here || known {
		t.Error("a deleted partition is still known")
	}
}
