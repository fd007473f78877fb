package lease

import (
	"flag"
	"testing"
)

var faults = flag.Int("faults", 1, "that the exploration may use: 2 takes minutes under the race detector")

// The protocol of duties, leases and intents explored exhaustively, up to a bound: three nodes, two duties of one job each
// that must never start twice. At every step any node goes on by one atomic piece - a look, a transaction, a byte - or stands
// still for as long as anything, loses its lease whatever it believes, loses the answer to its claim, or crashes. Whoever was
// stopped goes on from where it was. In no state that can be reached do two owners' writes of one duty interleave, a job
// start twice, or a job have nobody left who could end it or tell that it is in doubt. Each guard taken out is found.

const (
	nodes  = 3
	duties = 2
	epochs = 3 // claims of a duty, at most
)

type step uint8

const (
	idle    step = iota
	taken        // claimed: the record is still to be read
	mayRun       // read: nothing of it was sent
	inDoubt      // read: it may have run
	intent       // its intent is on record: the first byte is next
	sent         // the byte is out: the end is to be recorded
)

type proc struct {
	at    [duties]step
	epoch [duties]uint8 // under which it believes to own
	lease bool          // as the store has it
}

type world struct {
	procs   [nodes]proc
	epoch   [duties]uint8
	owner   [duties]int8 // -1 nobody
	intents [duties]bool // on record
	over    [duties]uint8
	starts  [duties]uint8
	last    [duties]uint8 // the epoch of the latest write that was taken
	broken  bool          // a write under an older epoch followed one under a later
	faults  uint8
}

type guards struct {
	fence      bool // writes are made under the current epoch alone
	intentions bool // an intent stands on record before the first byte
	claimFirst bool // the epoch is committed before the record is read
	lease      bool // a claim needs the owner's lease gone
}

const (
	open uint8 = iota
	ended
	doubt
)

// write takes a fenced write in, or refuses it.
func (w *world) write(g guards, d int, epoch uint8) bool {
	if g.fence && w.epoch[d] != epoch {
		return false
	}
	w.broken = w.broken || epoch < w.last[d]
	w.last[d] = max(w.last[d], epoch)
	return true
}

// next are the worlds that one step leads to.
func (w world) next(g guards) (out []world) {
	add := func(f func(*world)) { n := w; f(&n); out = append(out, n) }
	for i := range w.procs {
		p := &w.procs[i]
		if !p.lease {
			add(func(n *world) { n.procs[i].lease = true })
		} else if w.faults > 0 {
			add(func(n *world) { n.procs[i].lease = false; n.faults-- }) // paused, cut off, or a clock far ahead
		}
		if w.faults > 0 {
			add(func(n *world) { n.procs[i] = proc{}; n.faults-- }) // crashed, and started anew with nothing
		}
		for d := range duties {
			switch p.at[d] {
			case idle:
				if w.over[d] != open || !p.lease || w.epoch[d] >= epochs {
					continue
				}
				if g.lease && w.owner[d] >= 0 && w.owner[d] != int8(i) && w.procs[w.owner[d]].lease {
					continue
				}
				if !g.claimFirst && w.procs[i].epoch[d] == 0 {
					// Reads first and claims later: what it read may be old by then.
					add(func(n *world) {
						n.procs[i].at[d] = mayRun
						if n.intents[d] {
							n.procs[i].at[d] = inDoubt
						}
					})
					continue
				}
				claim := func(n *world) { n.epoch[d]++; n.owner[d] = int8(i) }
				add(func(n *world) { claim(n); n.procs[i].epoch[d], n.procs[i].at[d] = n.epoch[d], taken })
				if w.faults > 0 {
					add(func(n *world) { claim(n); n.faults-- }) // the answer is lost
				}
			case taken:
				add(func(n *world) {
					n.procs[i].at[d] = mayRun
					if n.intents[d] {
						n.procs[i].at[d] = inDoubt
					}
				})
			case mayRun, inDoubt:
				if !g.claimFirst && p.epoch[d] == 0 { // the claim of the reversed order
					if w.epoch[d] < epochs && p.lease {
						add(func(n *world) { n.epoch[d]++; n.owner[d] = int8(i); n.procs[i].epoch[d] = n.epoch[d] })
					}
					continue
				}
				if p.at[d] == inDoubt {
					add(func(n *world) {
						if n.write(g, d, p.epoch[d]) && n.over[d] == open {
							n.over[d] = doubt
						}
						n.procs[i].at[d], n.procs[i].epoch[d] = idle, 0
					})
					continue
				}
				if !g.intentions {
					add(func(n *world) { n.starts[d]++; n.procs[i].at[d] = sent })
					continue
				}
				add(func(n *world) {
					if !n.write(g, d, p.epoch[d]) {
						n.procs[i].at[d], n.procs[i].epoch[d] = idle, 0
						return
					}
					n.intents[d], n.procs[i].at[d] = true, intent
				})
			case intent:
				add(func(n *world) { n.starts[d]++; n.procs[i].at[d] = sent })
			case sent:
				add(func(n *world) {
					if n.write(g, d, p.epoch[d]) {
						n.over[d] = ended
					}
					n.procs[i].at[d], n.procs[i].epoch[d] = idle, 0
				})
			}
		}
	}
	return out
}

// explore visits every world that can be reached and tells what it found wrong first.
func explore(g guards, faults uint8) (seen int, wrong string) {
	var first world
	first.owner, first.faults = [duties]int8{-1, -1}, faults
	known := map[world]bool{first: true}
	for queue := []world{first}; len(queue) > 0; {
		w := queue[0]
		queue = queue[1:]
		next := w.next(g)
		for d := range duties {
			switch {
			case w.starts[d] > 1:
				return len(known), "a job that must never run twice started twice"
			case w.broken:
				return len(known), "a write under an older epoch was taken after one under a later"
			}
		}
		if len(next) == 0 {
			for d := range duties {
				if w.over[d] == open && w.epoch[d] < epochs {
					return len(known), "a job is left that nobody ends"
				}
			}
		}
		for _, n := range next {
			if !known[n] {
				known[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(known), ""
}

func TestExplored(t *testing.T) {
	all := guards{true, true, true, true}
	seen, wrong := explore(all, uint8(*faults))
	if wrong != "" || seen < 40000 {
		t.Errorf("%d worlds: %s", seen, wrong)
	}
	t.Logf("%d worlds", seen)
	// Leases only make it rare that two try: without them nothing else breaks.
	if _, wrong := explore(guards{true, true, true, false}, 0); wrong != "" {
		t.Errorf("without leases: %s", wrong)
	}
	for name, g := range map[string]guards{
		"no fence":              {false, true, true, true},
		"no intent":             {true, false, true, true},
		"read before the claim": {true, true, false, true},
	} {
		if seen, wrong := explore(g, 1); wrong == "" {
			t.Errorf("%s: nothing is found in %d worlds", name, seen)
		} else {
			t.Logf("%s: found after %d worlds: %s", name, seen, wrong)
		}
	}
}
