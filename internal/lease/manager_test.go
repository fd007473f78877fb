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

// A partition whose owner has a lease is not claimed. Once the lease has expired, the preferred node claims first and
// each further node one RankDelay later, all on the condition that nothing has changed.
func TestExpiredPartitionIsClaimedInRankOrder(t *testing.T) {
	partition := Partition{Key: "n9.000000000001", Owner: incarnation("n9"), Epoch: 7}
	nodes := []string{"n0", "n1", "n2"}
	view := View{Leases: leases(append(nodes, "n9")...), Partitions: []Partition{partition}}
	for _, node := range nodes {
		if got := claims(newManager(node, view).Step(100*time.Millisecond, view)); len(got) != 0 {
			t.Fatalf("%s claimed %v while the owner had a lease", node, got)
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
			t.Errorf("preferred node %s claimed only after %v", node, at)
		}
	}
	if len(ranks) != 3 {
		t.Errorf("claims at %v: two nodes have the same rank", claimedAt)
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
			t.Errorf("%s claimed with wrong conditions: %+v", node, claim)
		}
		if repeated := claims(m.Step(now+1, view)); len(repeated) != 0 {
			t.Errorf("%s claimed again while a claim was in progress: %v", node, repeated)
		}
		return now
	}
	return 0
}

// A node that lost a partition stops working on it, and does not reclaim it immediately even if the new owner loses its
// lease. A fenced write under an epoch that the node no longer has is late and has no effect.
func TestLostPartitionIsNotReclaimedAtOnce(t *testing.T) {
	partition := Partition{Key: "p", Owner: incarnation("n0"), Epoch: 5}
	view := View{Leases: leases("n0", "n1"), Partitions: []Partition{partition}}
	m := newManager("n0", view)
	m.ClaimCompleted("p", 5)
	if got := m.WriteFenced("p", 4, 0); len(got) != 0 {
		t.Errorf("actions after a write was fenced under an old epoch: %v, want none", got)
	}
	view.Partitions[0].Owner, view.Partitions[0].Epoch = incarnation("n1"), 9
	actions := m.Step(1, view)
	if len(actions) == 0 || actions[len(actions)-1].Kind != StopPartition {
		t.Fatalf("actions after another node claimed the partition: %v, want StopPartition last", actions)
	}
	delete(view.Leases, "n1")
	for now := time.Duration(1); now < timing.ReclaimDelay; now += 250 * time.Millisecond {
		m.LeaseRenewed(now, 100)
		if got := claims(m.Step(now, view)); len(got) != 0 {
			t.Fatalf("partition reclaimed after %v, before ReclaimDelay", now)
		}
	}
	m.LeaseRenewed(timing.ReclaimDelay+time.Second, 100)
	if got := claims(m.Step(timing.ReclaimDelay+time.Second, view)); len(got) != 1 {
		t.Error("partition not reclaimed after ReclaimDelay")
	}
}

// A node whose lease has expired on its own clock claims nothing and starts nothing. A later incarnation of the node
// supersedes it.
func TestExpiredLeaseAndLaterIncarnationStopClaims(t *testing.T) {
	view := View{Leases: leases("n0"), Partitions: []Partition{{Key: "p", Owner: incarnation("gone"), Epoch: 3}}}
	m := newManager("n0", view)
	if end := timing.TTL - timing.MaxClockDrift; m.HoldsLease(end) || !m.HoldsLease(end-1) {
		t.Error("the node's lease does not end MaxClockDrift before the stored one")
	}
	if got := claims(m.Step(timing.TTL, view)); len(got) != 0 {
		t.Errorf("claims after the lease expired: %v, want none", got)
	}
	m.LeaseRenewed(timing.TTL, 100)
	m.ClaimCompleted("p", 4)
	view.Leases["n0"] = Lease{Incarnation: Incarnation{"n0", 2}, Version: 200}
	actions := m.Step(timing.TTL+1, view)
	if len(actions) != 2 || actions[0].Kind != StopPartition || actions[1].Kind != Superseded ||
		m.HoldsLease(timing.TTL+1) {
		t.Errorf("actions when a later incarnation is running: %v, want StopPartition and Superseded", actions)
	}
	if got := m.Step(timing.TTL+2, view); len(got) != 0 {
		t.Errorf("actions of a superseded incarnation: %v, want none", got)
	}
}

// If the response to a claim was lost, the store shows this node as the owner but the node does not know the epoch. It
// claims the partition again and so learns a valid epoch.
func TestPartitionIsClaimedAgainAfterALostClaimResponse(t *testing.T) {
	view := View{Leases: leases("n0", "n1"), Partitions: []Partition{{Key: "p", Owner: incarnation("n0"), Epoch: 8}}}
	got := claims(newManager("n0", view).Step(1, view))
	if len(got) != 1 || got[0].ExpectedVersion != 8 || got[0].OwnerNode != "" {
		t.Errorf("claims %v, want one at epoch 8 without a condition on the owner", got)
	}
}

// A process whose clock was set back finds a later incarnation of its node in the store. Before its first lease it
// moves its own start past that one and replaces it; the process that had the lease is then the earlier one and is
// superseded.
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
		t.Errorf("new process: actions %+v as incarnation %+v", actions, m.Incarnation())
	}
	old := New(earlier, timing)
	old.Step(0, View{})
	old.LeaseRenewed(0, 9)
	view.Leases["n0"] = Lease{Incarnation: m.Incarnation(), Version: 12}
	actions = old.Step(time.Second, view)
	if len(actions) != 1 || actions[0].Kind != Superseded || old.Incarnation() != earlier {
		t.Errorf("earlier process: actions %+v as incarnation %+v, want Superseded", actions, old.Incarnation())
	}
}
