package lease

import (
	"fmt"
	"testing"
	"time"
)

var times = Times{TTL: 3 * time.Second, Renew: time.Second, Drift: 500 * time.Millisecond, Rank: 500 * time.Millisecond, Again: 6 * time.Second}

func life(name string) Life { return Life{name, 1} }

func leases(names ...string) map[string]Lease {
	out := map[string]Lease{}
	for i, n := range names {
		out[n] = Lease{Life: life(n), Version: uint64(100 + i)}
	}
	return out
}

// keeper is one whose lease stands at time 0.
func keeper(name string, v View) *Keeper {
	k := New(life(name), times)
	k.Step(0, View{})
	k.Renewed(0, v.Leases[name].Version)
	return k
}

func claims(acts []Action) (out []Action) {
	for _, a := range acts {
		if a.Verb == Claim {
			out = append(out, a)
		}
	}
	return out
}

// A duty whose owner's lease stands is nobody else's to claim; once it has ended the node that hashing names claims first, the
// others each a rank later, all on the condition that nothing has changed.
func TestClaimsByRank(t *testing.T) {
	d := Duty{Key: "n9.000000000001", Owner: life("n9"), Epoch: 7}
	names := []string{"n0", "n1", "n2"}
	v := View{Leases: leases(append(names, "n9")...), Duties: []Duty{d}}
	for _, name := range names {
		if got := claims(keeper(name, v).Step(100*time.Millisecond, v)); len(got) != 0 {
			t.Fatalf("%s claims %v while the owner's lease stands", name, got)
		}
	}
	delete(v.Leases, "n9")
	first := Place(d.Key, names)
	at := map[string]time.Duration{}
	for _, name := range names {
		k := keeper(name, v)
		for now := time.Duration(0); now < 2*time.Second && at[name] == 0; now += 100 * time.Millisecond {
			if got := claims(k.Step(now+1, v)); len(got) == 1 {
				a := got[0]
				if at[name] = now + 1; a.If != 7 || a.Owner != "n9" || a.Lease != 0 || a.Mine != v.Leases[name].Version {
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
		seen[int(when/times.Rank)] = true
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
	d := Duty{Key: "d", Owner: life("n0"), Epoch: 5}
	v := View{Leases: leases("n0", "n1"), Duties: []Duty{d}}
	k := keeper("n0", v)
	k.Claimed("d", 5, 0)
	if got := k.Fenced("d", 4, 0); len(got) != 0 {
		t.Errorf("fenced under an old epoch: %v", got)
	}
	v.Duties[0].Owner, v.Duties[0].Epoch = life("n1"), 9
	acts := k.Step(1, v)
	if len(acts) == 0 || acts[len(acts)-1].Verb != Stop {
		t.Fatalf("seen with another's epoch: %v", acts)
	}
	delete(v.Leases, "n1")
	for now := time.Duration(1); now < times.Again; now += 250 * time.Millisecond {
		k.Renewed(now, 100)
		if got := claims(k.Step(now, v)); len(got) != 0 {
			t.Fatalf("claims back after %v", now)
		}
	}
	k.Renewed(times.Again+time.Second, 100)
	if got := claims(k.Step(times.Again+time.Second, v)); len(got) != 1 {
		t.Error("never claims again")
	}
}

// Without a lease by its own clock a node claims nothing and begins nothing; a later life under its name ends it.
func TestOwnLeaseAndTwin(t *testing.T) {
	v := View{Leases: leases("n0"), Duties: []Duty{{Key: "d", Owner: life("gone"), Epoch: 3}}}
	k := keeper("n0", v)
	if late := times.TTL - times.Drift; k.Valid(late) || !k.Valid(late-1) {
		t.Error("the lease does not end Drift before the store's")
	}
	if got := claims(k.Step(times.TTL, v)); len(got) != 0 {
		t.Errorf("claims without a lease: %v", got)
	}
	k.Renewed(times.TTL, 100)
	k.Claimed("d", 4, times.TTL)
	v.Leases["n0"] = Lease{Life: Life{"n0", 2}, Version: 200}
	acts := k.Step(times.TTL+1, v)
	if len(acts) != 2 || acts[0].Verb != Stop || acts[1].Verb != Leave || k.Valid(times.TTL+1) {
		t.Errorf("beside a later life: %v", acts)
	}
	if got := k.Step(times.TTL+2, v); len(got) != 0 {
		t.Errorf("a replaced life acts: %v", got)
	}
}

// The answer to a claim was lost: what is ours in the store and not here is claimed under an epoch that is known.
func TestLostAnswerToAClaim(t *testing.T) {
	v := View{Leases: leases("n0", "n1"), Duties: []Duty{{Key: "d", Owner: life("n0"), Epoch: 8}}}
	got := claims(keeper("n0", v).Step(1, v))
	if len(got) != 1 || got[0].If != 8 || got[0].Owner != "" {
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
		was := Place(key, all)
		count[was]++
		now := Place(key, all[1:])
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
	for _, l := range []Life{{"n0", 0}, {"a.b", 1 << 40}, {"n-1", 5}} {
		if got, ok := ParsePartition(l.Partition()); !ok || got != l {
			t.Errorf("%v: %v %v", l, got, ok)
		}
	}
	for _, text := range []string{"", ".", "n0", "n0.", "n0.xyz", ".000000000001", "n0.1"} {
		if l, ok := ParsePartition(text); ok {
			t.Errorf("%q is read as %v", text, l)
		}
	}
	if (Times{TTL: time.Second, Renew: time.Second, Drift: 1, Rank: 1}).Check() == nil {
		t.Error("a lease that is renewed when it ends is taken")
	}
}

// A life whose clock was set back finds a later one of its name in the store: it takes a later time before its first lease, and
// takes the earlier one's place; one that had a lease is the earlier one itself, and leaves.
func TestClockSetBack(t *testing.T) {
	was := Life{"n0", 50}
	v := View{Leases: map[string]Lease{"n0": {Life: was, Version: 9}}, Duties: []Duty{{Key: Life{"n0", 70}.Partition(), Owner: was, Epoch: 3}}}
	k := New(Life{"n0", 5}, times)
	acts := k.Step(0, v)
	if len(acts) != 2 || acts[0].Verb != Later || acts[1].Verb != Renew || acts[1].If != 9 || k.Self().Born != 71 {
		t.Errorf("%+v as %+v", acts, k.Self())
	}
	old := New(was, times)
	old.Step(0, View{})
	old.Renewed(0, 9)
	v.Leases["n0"] = Lease{Life: k.Self(), Version: 12}
	if acts := old.Step(time.Second, v); len(acts) != 1 || acts[0].Verb != Leave || old.Self() != was {
		t.Errorf("the earlier one: %+v as %+v", acts, old.Self())
	}
}
