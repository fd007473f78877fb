package duty

import (
	"fmt"
	"testing"
	"time"
)

var timing = Timing{TTL: 3 * time.Second, RenewInterval: time.Second, MaxClockDrift: 500 * time.Millisecond, RankDelay: 500 * time.Millisecond, ReclaimDelay: 6 * time.Second}

func incarnation(name string) Incarnation { return Incarnation{name, 1} }

func leases(names ...string) map[string]Lease {
	out := map[string]Lease{}
	for i, n := range names {
		out[n] = Lease{Incarnation: incarnation(n), Version: uint64(100 + i)}
	}
	return out
}

// keeper is one whose lease stands at time 0.
func newManager(name string, v View) *Manager {
	k := New(incarnation(name), timing)
	k.Step(0, View{})
	k.LeaseRenewed(0, v.Leases[name].Version)
	return k
}

func claims(acts []Action) (out []Action) {
	for _, a := range acts {
		if a.Kind == ClaimPartition {
			out = append(out, a)
		}
	}
	return out
}

// A duty whose owner's lease stands is nobody else's to claim; once it has ended the node that hashing names claims first, the
// others each a rank later, all on the condition that nothing has changed.
func TestClaimsByRank(t *testing.T) {
	d := Partition{Key: "n9.000000000001", Owner: incarnation("n9"), Epoch: 7}
	names := []string{"n0", "n1", "n2"}
	v := View{Leases: leases(append(names, "n9")...), Partitions: []Partition{d}}
	for _, name := range names {
		if got := claims(newManager(name, v).Step(100*time.Millisecond, v)); len(got) != 0 {
			t.Fatalf("%s claims %v while the owner's lease stands", name, got)
		}
	}
	delete(v.Leases, "n9")
	first := PreferredNode(d.Key, names)
	at := map[string]time.Duration{}
	for _, name := range names {
		k := newManager(name, v)
		for now := time.Duration(0); now < 2*time.Second && at[name] == 0; now += 100 * time.Millisecond {
			if got := claims(k.Step(now+1, v)); len(got) == 1 {
				a := got[0]
				if at[name] = now + 1; a.ExpectedVersion != 7 || a.OwnerNode != "n9" || a.OwnerLease != 0 || a.OwnLease != v.Leases[name].Version {
					t.Errorf("%s claims by %+v", name, a)
				}
				if again := claims(k.Step(now+2, v)); len(again) != 0 {
					t.Errorf("%s claims beside a claim that is under way: %v", name, again)
				}
			}
		}
	}
	seen := map[int]bool{}
	for name, when := range at {
		seen[int(when/timing.RankDelay)] = true
		if name == first && when > 100*time.Millisecond {
			t.Errorf("%s is first and claims after %v", name, when)
		}
	}
	if len(seen) != 3 {
		t.Errorf("claims at %v: two of one rank", at)
	}
}

// Whoever lost a duty stops it, and does not claim it again at once although its new owner is gone; who was fenced under an
// epoch that it no longer holds was late, and goes on with the one it has.
func TestLostIsNotClaimedAtOnce(t *testing.T) {
	d := Partition{Key: "d", Owner: incarnation("n0"), Epoch: 5}
	v := View{Leases: leases("n0", "n1"), Partitions: []Partition{d}}
	k := newManager("n0", v)
	k.ClaimCompleted("d", 5, 0)
	if got := k.WriteFenced("d", 4, 0); len(got) != 0 {
		t.Errorf("fenced under an old epoch: %v", got)
	}
	v.Partitions[0].Owner, v.Partitions[0].Epoch = incarnation("n1"), 9
	acts := k.Step(1, v)
	if len(acts) == 0 || acts[len(acts)-1].Kind != StopPartition {
		t.Fatalf("seen with another's epoch: %v", acts)
	}
	delete(v.Leases, "n1")
	for now := time.Duration(1); now < timing.ReclaimDelay; now += 250 * time.Millisecond {
		k.LeaseRenewed(now, 100)
		if got := claims(k.Step(now, v)); len(got) != 0 {
			t.Fatalf("claims back after %v", now)
		}
	}
	k.LeaseRenewed(timing.ReclaimDelay+time.Second, 100)
	if got := claims(k.Step(timing.ReclaimDelay+time.Second, v)); len(got) != 1 {
		t.Error("never claims again")
	}
}

// Without a lease by its own clock a node claims nothing and begins nothing; a later life under its name ends it.
func TestOwnLeaseAndTwin(t *testing.T) {
	v := View{Leases: leases("n0"), Partitions: []Partition{{Key: "d", Owner: incarnation("gone"), Epoch: 3}}}
	k := newManager("n0", v)
	if late := timing.TTL - timing.MaxClockDrift; k.HoldsLease(late) || !k.HoldsLease(late-1) {
		t.Error("the lease does not end Drift before the store's")
	}
	if got := claims(k.Step(timing.TTL, v)); len(got) != 0 {
		t.Errorf("claims without a lease: %v", got)
	}
	k.LeaseRenewed(timing.TTL, 100)
	k.ClaimCompleted("d", 4, timing.TTL)
	v.Leases["n0"] = Lease{Incarnation: Incarnation{"n0", 2}, Version: 200}
	acts := k.Step(timing.TTL+1, v)
	if len(acts) != 2 || acts[0].Kind != StopPartition || acts[1].Kind != Superseded || k.HoldsLease(timing.TTL+1) {
		t.Errorf("beside a later life: %v", acts)
	}
	if got := k.Step(timing.TTL+2, v); len(got) != 0 {
		t.Errorf("a replaced life acts: %v", got)
	}
}

// The answer to a claim was lost: what is ours in the store and not here is claimed under an epoch that is known.
func TestLostAnswerToAClaim(t *testing.T) {
	v := View{Leases: leases("n0", "n1"), Partitions: []Partition{{Key: "d", Owner: incarnation("n0"), Epoch: 8}}}
	got := claims(newManager("n0", v).Step(1, v))
	if len(got) != 1 || got[0].ExpectedVersion != 8 || got[0].OwnerNode != "" {
		t.Errorf("claims %v", got)
	}
}

// Ten thousand duties over a hundred nodes lie evenly, and when one goes only its own move.
func TestSpread(t *testing.T) {
	var all []string
	for i := range 100 {
		all = append(all, fmt.Sprintf("n%d", i))
	}
	count, moved, gone := map[string]int{}, 0, 0
	for i := range 10000 {
		key := fmt.Sprintf("n%d.%012x", i, i)
		was := PreferredNode(key, all)
		count[was]++
		now := PreferredNode(key, all[1:])
		if was == all[0] {
			gone++
		} else if now != was {
			moved++
		}
	}
	for name, n := range count {
		if n < 60 || n > 145 {
			t.Errorf("%s has %d of 10,000 duties of a hundred nodes", name, n)
		}
	}
	if moved > 0 || gone == 0 {
		t.Errorf("%d duties of others moved when one node went, which had %d", moved, gone)
	}
}

func TestPartition(t *testing.T) {
	for _, l := range []Incarnation{{"n0", 0}, {"a.b", 1 << 40}, {"n-1", 5}} {
		if got, ok := ParsePartitionKey(l.PartitionKey()); !ok || got != l {
			t.Errorf("%v: %v %v", l, got, ok)
		}
	}
	for _, text := range []string{"", ".", "n0", "n0.", "n0.xyz", ".000000000001", "n0.1"} {
		if l, ok := ParsePartitionKey(text); ok {
			t.Errorf("%q is read as %v", text, l)
		}
	}
	if (Timing{TTL: time.Second, RenewInterval: time.Second, MaxClockDrift: 1, RankDelay: 1}).Validate() == nil {
		t.Error("a lease that is renewed when it ends is taken")
	}
}

// A life whose clock was set back finds a later one of its name in the store: it takes a later time before its first lease, and
// takes the earlier one's place; one that had a lease is the earlier one itself, and leaves.
func TestClockSetBack(t *testing.T) {
	was := Incarnation{"n0", 50}
	v := View{Leases: map[string]Lease{"n0": {Incarnation: was, Version: 9}}, Partitions: []Partition{{Key: Incarnation{"n0", 70}.PartitionKey(), Owner: was, Epoch: 3}}}
	k := New(Incarnation{"n0", 5}, timing)
	acts := k.Step(0, v)
	if len(acts) != 2 || acts[0].Kind != AdvanceIncarnation || acts[1].Kind != RenewLease || acts[1].ExpectedVersion != 9 || k.Incarnation().StartedMs != 71 {
		t.Errorf("%+v as %+v", acts, k.Incarnation())
	}
	old := New(was, timing)
	old.Step(0, View{})
	old.LeaseRenewed(0, 9)
	v.Leases["n0"] = Lease{Incarnation: k.Incarnation(), Version: 12}
	if acts := old.Step(time.Second, v); len(acts) != 1 || acts[0].Kind != Superseded || old.Incarnation() != was {
		t.Errorf("the earlier one: %+v as %+v", acts, old.Incarnation())
	}
}
