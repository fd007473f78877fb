package actorhost

import "testing"

// A model of the migration protocol: two nodes, a store, and a client that makes calls 1, 2, 3 in turn at either node
// and repeats each until it is answered. A transaction is committed at any later moment, or never, and its result may
// be lost; a node may be stopped with a transaction in flight for any time; leases expire and are renewed. The state
// space is explored exhaustively up to a bound.

type txn struct {
	kind           uint8 // 0 none, 1 apply, 2 move, 3 claim
	epoch, version uint8
	number         uint8
}

type modelNode struct {
	copy           bool
	epoch, version uint8
	last           uint8
	pending        txn
	lease          bool
}

type modelWorld struct {
	owner, epoch, version, last uint8
	answered                    uint8
	nodes                       [2]modelNode
}

type guards struct{ epoch, version, lease bool }

// explore visits all states. It returns their number and a violation in one of them, if any.
func explore(g guards, calls, epochs uint8) (states int, violation string) {
	first := modelWorld{owner: 0, epoch: 1, version: 1}
	first.nodes[0].lease, first.nodes[1].lease = true, true
	seen := map[modelWorld]bool{first: true}
	todo := []modelWorld{first}
	push := func(w modelWorld) {
		if !seen[w] {
			seen[w] = true
			todo = append(todo, w)
		}
	}
	for len(todo) > 0 && violation == "" {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if w.last < w.answered {
			return len(seen), "an answered call is lost"
		}
		for i := range w.nodes {
			n := w.nodes[i]
			x := w
			if n.lease { // it expires, or is renewed
				x.nodes[i].lease = false
			} else {
				x.nodes[i].lease = true
			}
			push(x)
			if !n.copy && n.pending.kind == 0 && w.owner == uint8(i) {
				x := w
				x.nodes[i].copy, x.nodes[i].epoch, x.nodes[i].version, x.nodes[i].last = true, w.epoch, w.version, w.last
				push(x)
			}
			if n.copy && n.pending.kind == 0 {
				if next := w.answered + 1; next <= calls {
					x := w
					if n.last >= next { // answered before: the answer is remembered
						x.answered = next
						push(x)
					} else if n.last+1 == next {
						x.nodes[i].pending = txn{1, n.epoch, n.version, next}
						push(x)
					}
				}
				if w.epoch < epochs {
					x := w
					x.nodes[i].pending = txn{2, n.epoch, 0, 0}
					push(x)
				}
			}
			if !n.copy && n.pending.kind == 0 && w.owner != uint8(i) && w.epoch < epochs && (!w.nodes[1-i].lease || !g.lease) {
				x := w
				x.nodes[i].pending = txn{3, w.epoch, 0, 0}
				push(x)
			}
			if n.pending.kind == 0 {
				continue
			}
			x = w // the transaction is not committed, or not known to be: the copy is read again
			x.nodes[i].pending, x.nodes[i].copy = txn{}, false
			push(x)
			made := n.pending.epoch == w.epoch || !g.epoch
			x = w
			x.nodes[i].pending = txn{}
			switch n.pending.kind {
			case 1:
				if made = made && (n.pending.version == w.version || !g.version); !made {
					x.nodes[i].copy = false
					push(x)
					continue
				}
				if w.owner != uint8(i) {
					return len(seen), "a node that is not the owner applied a call"
				}
				if n.pending.number != w.last+1 {
					return len(seen), "a call was applied twice or lost"
				}
				x.last, x.version = n.pending.number, w.version+1
				x.nodes[i].last, x.nodes[i].version = x.last, x.version
				lost := x
				lost.nodes[i].copy = false // the result of the transaction was lost
				push(lost)
				x.answered = max(x.answered, n.pending.number)
			case 2, 3:
				if n.pending.kind == 3 {
					made = made && (!w.nodes[1-i].lease || !g.lease)
				}
				x.nodes[i].copy = false
				if made {
					x.epoch++
					if x.owner = uint8(i); n.pending.kind == 2 {
						x.owner = uint8(1 - i)
					}
				}
			}
			push(x)
		}
	}
	return len(seen), violation
}

// With all guards the migration loses no call, applies none twice, and only the owner applies calls. Without the epoch
// the exploration must find a violation; without the epoch and the version of the actor a call is lost or applied
// twice. The lease is not a guard: without it, an actor is only taken over sooner.
func TestMigrationStatesExplored(t *testing.T) {
	states, violation := explore(guards{true, true, true}, 3, 5)
	t.Logf("%d states", states)
	if violation != "" || states < 10000 {
		t.Errorf("%s in %d states", violation, states)
	}
	if _, violation := explore(guards{true, true, false}, 3, 5); violation != "" {
		t.Errorf("without leases: %s", violation)
	}
	if _, violation := explore(guards{false, true, true}, 3, 5); violation == "" {
		t.Error("no violation found without the epoch")
	}
	if _, violation := explore(guards{false, false, true}, 3, 5); violation == "" {
		t.Error("no violation found without the epoch and the version")
	}
}
