package lease

import (
	"testing"
	"time"
)

var timing = Timing{
	TTL:           3 * time.Second,
	RenewInterval: time.Second,
	MaxClockDrift: 500 * time.Millisecond,
	RankDelay:     500 * time.Millisecond,
	ReclaimDelay:  6 * time.Second,
}

func incarnation(node string) Incarnation { return Incarnation{node, 1} }

func leases(nodes ...string) map[string]Lease {
	out := map[string]Lease{}
	for i, node := range nodes {
		out[node] = Lease{Incarnation: incarnation(node), Version: uint64(100 + i)}
	}
	return out
}

// newManager returns the Manager of a node whose lease was renewed at time 0.
func newManager(node string, view View) *Manager {
	m := New(incarnation(node), timing)
	m.Step(0, View{})
	m.LeaseRenewed(0, view.Leases[node].Version)
	return m
}

func claims(actions []Action) (out []Action) {
	for _, action := range actions {
		if action.Kind == ClaimPartition {
			out = append(out, action)
		}
	}
	return out
}

// A partition whose owner has a lease is not claimed. Once the lease has expired the preferred node claims first and
// each other node one RankDelay later, all on the condition that nothing has changed.
func TestExpiredPartitionIsClaimedInRankOrder(t *testing.T) {
	partition := Partition{Key: "n9.000000000001", Owner: incarnation("n9"), Epoch: 7}
	nodes := []string{"n0", "n1", "n2"}
	view := View{Leases: leases(append(nodes, "n9")...), Partitions: []Partition{partition}}
	for _, node := range nodes {
		if got := claims(newManager(node, view).Step(100*time.Millisecond, view)); len(got) != 0 {
			t.Fatalf("%s claims %v while the owner has a lease", node, got)
		}
	}
	delete(view.Leases, "n9")
	claimedAt := map[string]time.Duration{}
	for _, node := range nodes {
		claimedAt[node] = firstClaim(t, node, view, partition)
	}
	preferred, ranks := PreferredNode(partition.Key, nodes), map[int]bool{}
	for node, at := range claimedAt {
		ranks[int(at/timing.RankDelay)] = true
		if node == preferred && at > 100*time.Millisecond {
			t.Errorf("%s is preferred and claims after %v", node, at)
		}
	}
	if len(ranks) != 3 {
		t.Errorf("claims at %v: two of one rank", claimedAt)
	}
}

// firstClaim returns when a node first claims a partition, and checks the conditions of the claim.
func firstClaim(t *testing.T, node string, view View, partition Partition) time.Duration {
	t.Helper()
	m := newManager(node, view)
	for now := time.Duration(1); now < 2*time.Second; now += 100 * time.Millisecond {
		got := claims(m.Step(now, view))
		if len(got) != 1 {
			continue
		}
		claim := got[0]
		if claim.ExpectedVersion != partition.Epoch || claim.OwnerNode != partition.Owner.Node || claim.OwnerLease != 0 ||
			claim.OwnLease != view.Leases[node].Version {
			t.Errorf("%s claims by %+v", node, claim)
		}
		if again := claims(m.Step(now+1, view)); len(again) != 0 {
			t.Errorf("%s claims while a claim is in progress: %v", node, again)
		}
		return now
	}
	return 0
}

// A node that lost a partition stops working on it, and does not claim it again at once although its new owner is
// gone. A write that was fenced under an epoch that the node no longer has was late, and has no consequence.
func TestLostPartitionIsNotReclaimedAtOnce(t *testing.T) {
	partition := Partition{Key: "p", Owner: incarnation("n0"), Epoch: 5}
	view := View{Leases: leases("n0", "n1"), Partitions: []Partition{partition}}
	m := newManager("n0", view)
	m.ClaimCompleted("p", 5)
	if got := m.WriteFenced("p", 4, 0); len(got) != 0 {
		t.Errorf("fenced under an old epoch: %v", got)
	}
	view.Partitions[0].Owner, view.Partitions[0].Epoch = incarnation("n1"), 9
	actions := m.Step(1, view)
	if len(actions) == 0 || actions[len(actions)-1].Kind != StopPartition {
		t.Fatalf("seen with another's epoch: %v", actions)
	}
	delete(view.Leases, "n1")
	for now := time.Duration(1); now < timing.ReclaimDelay; now += 250 * time.Millisecond {
		m.LeaseRenewed(now, 100)
		if got := claims(m.Step(now, view)); len(got) != 0 {
			t.Fatalf("claims back after %v", now)
		}
	}
	m.LeaseRenewed(timing.ReclaimDelay+time.Second, 100)
	if got := claims(m.Step(timing.ReclaimDelay+time.Second, view)); len(got) != 1 {
		t.Error("never claims again")
	}
}

// Without a lease on its own clock a node claims nothing and begins nothing. A later incarnation of the node
// supersedes it.
func TestExpiredLeaseAndLaterIncarnationStopClaims(t *testing.T) {
	view := View{Leases: leases("n0"), Partitions: []Partition{{Key: "p", Owner: incarnation("gone"), Epoch: 3}}}
	m := newManager("n0", view)
	if end := timing.TTL - timing.MaxClockDrift; m.HoldsLease(end) || !m.HoldsLease(end-1) {
		t.Error("the lease does not end MaxClockDrift before the store's")
	}
	if got := claims(m.Step(timing.TTL, view)); len(got) != 0 {
		t.Errorf("claims without a lease: %v", got)
	}
	m.LeaseRenewed(timing.TTL, 100)
	m.ClaimCompleted("p", 4)
	view.Leases["n0"] = Lease{Incarnation: Incarnation{"n0", 2}, Version: 200}
	actions := m.Step(timing.TTL+1, view)
	if len(actions) != 2 || actions[0].Kind != StopPartition || actions[1].Kind != Superseded ||
		m.HoldsLease(timing.TTL+1) {
		t.Errorf("beside a later incarnation: %v", actions)
	}
	if got := m.Step(timing.TTL+2, view); len(got) != 0 {
		t.Errorf("a superseded incarnation acts: %v", got)
	}
}

// The answer to a claim was lost: a partition that is this node's in the store and not here is claimed again, under
// an epoch that is then known.
func TestPartitionWhoseClaimWasNotAnsweredIsClaimedAgain(t *testing.T) {
	view := View{Leases: leases("n0", "n1"), Partitions: []Partition{{Key: "p", Owner: incarnation("n0"), Epoch: 8}}}
	got := claims(newManager("n0", view).Step(1, view))
	if len(got) != 1 || got[0].ExpectedVersion != 8 || got[0].OwnerNode != "" {
		t.Errorf("claims %v", got)
	}
}

// A process whose clock was set back finds a later incarnation of its node in the store. It moves after that one
// before its first lease and takes its place; the one that had a lease is the earlier one, and is superseded.
func TestIncarnationStartedWithItsClockSetBackMovesForward(t *testing.T) {
	earlier := Incarnation{"n0", 50}
	view := View{
		Leases:     map[string]Lease{"n0": {Incarnation: earlier, Version: 9}},
		Partitions: []Partition{{Key: Incarnation{"n0", 70}.PartitionKey(), Owner: earlier, Epoch: 3}},
	}
	m := New(Incarnation{"n0", 5}, timing)
	actions := m.Step(0, view)
	if len(actions) != 2 || actions[0].Kind != AdvanceIncarnation || actions[1].Kind != RenewLease ||
		actions[1].ExpectedVersion != 9 || m.Incarnation().StartedMs != 71 {
		t.Errorf("%+v as %+v", actions, m.Incarnation())
	}
	old := New(earlier, timing)
	old.Step(0, View{})
	old.LeaseRenewed(0, 9)
	view.Leases["n0"] = Lease{Incarnation: m.Incarnation(), Version: 12}
	actions = old.Step(time.Second, view)
	if len(actions) != 1 || actions[0].Kind != Superseded || old.Incarnation() != earlier {
		t.Errorf("the earlier one: %+v as %+v", actions, old.Incarnation())
	}
}
