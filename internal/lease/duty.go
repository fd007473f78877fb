// Package lease decides who of a fleet's nodes does which piece of its work: who owns it, under which epoch, until when, who
// is next and when a claim may be made. It does no I/O, reads no clock and starts no goroutine.
//
// # What holds
//
// A duty stands in the replicated store; the version that a claim is written with is its epoch: it grows and is never given
// twice. A claim is one transaction, made only if the duty still has the epoch that the claimant saw and the owner has no
// lease any more, as the store's log has it, while the claimant has one. Whatever an owner writes carries its epoch as a
// condition in the same transaction. So of two owners the late one's writes fail, whatever either believes and whatever
// their clocks say. Leases and clocks here only make it rare that anybody tries: no safety rests on them.
//
// # Times
//
// An owner counts its lease from before it asked for it, by a clock of its own that goes on while the machine sleeps, and
// stops Drift before its end; the store ends it TTL after it took it in, by its leader's clock. With clocks that drift apart
// by less than Drift in a TTL the owner has stopped before another may claim. With worse clocks both act for a while, and
// the fence decides.
package lease

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Life is one life of a node: a process from its start to its end. Two of one name are two.
type Life struct {
	Node string `json:"node"`
	Born int64  `json:"born"` // Unix ms
}

// Partition names the jobs that a life takes: their ids begin with it.
func (l Life) Partition() string { return fmt.Sprintf("%s.%012x", l.Node, l.Born) }

// Zero says that no life is meant.
func (l Life) Zero() bool { return l.Node == "" }

// ParsePartition reads what Partition gave.
func ParsePartition(text string) (Life, bool) {
	at := strings.LastIndexByte(text, '.')
	if at <= 0 {
		return Life{}, false
	}
	born, err := strconv.ParseInt(text[at+1:], 16, 64)
	l := Life{text[:at], born}
	return l, err == nil && born >= 0 && l.Partition() == text
}

// Lease is a node's, as it stands in the store.
type Lease struct {
	Life
	Addr    string // of its batch front
	Version uint64
}

// Duty is a piece of work, as it stands in the store.
type Duty struct {
	Key   string
	Owner Life // zero: handed over, and nobody's yet
	Epoch uint64
}

// View is what a node sees of the store: it may be old. What is decided by it is made only if it still holds.
type View struct {
	Leases map[string]Lease // by node
	Duties []Duty
}

// Times are those of leases and claims.
type Times struct {
	TTL   time.Duration // of a lease
	Renew time.Duration // after which it is renewed
	Drift time.Duration // of the lease that an owner leaves unused
	Rank  time.Duration // that a node waits for each one that is to claim before it
	Again time.Duration // after a duty was lost, its former owner does not claim it
}

// Check says whether times can work: an owner must have stopped by when another may claim.
func (t Times) Check() error {
	if t.TTL <= 0 || t.Renew <= 0 || t.Renew*2 > t.TTL-t.Drift || t.Drift <= 0 || t.Rank <= 0 {
		return fmt.Errorf("duty: leases of %v renewed after %v with %v unused and %v a rank: a lease must last two renewals, and "+
			"all be over 0", t.TTL, t.Renew, t.Drift, t.Rank)
	}
	return nil
}

// Verb is what is to be done.
type Verb uint8

// The verbs.
const (
	Renew Verb = iota + 1 // write the own lease, in the place of the version If
	Claim                 // write the duty as ours, if its epoch is If, the owner's lease is as Owner says, and ours as Mine
	Take                  // do the duty, under Epoch
	Stop                  // it is no longer ours: let go of it
	Leave                 // this life was replaced by another of its name: nothing of it is done any more
	Later                 // Self is called by a later time than it was: what it takes belongs to that
)

// Action is one.
type Action struct {
	Verb  Verb
	Key   string
	If    uint64 // Renew: of the lease that stands there, 0 for none; Claim: the epoch
	Owner string // Claim: the node whose lease must have the version Lease, 0 for none; "" for no condition
	Lease uint64
	Mine  uint64 // Claim: the version of our lease
	Epoch uint64
}

// Keeper decides for one life of a node. All times are spans on one clock of the caller's that never runs backwards and
// goes on while the machine sleeps.
type Keeper struct {
	self  Life
	t     Times
	asked time.Duration // when the lease was last asked for
	mine  uint64        // the version of our lease, 0 for none
	until time.Duration // our lease, by our clock
	held  map[string]uint64
	idle  map[string]time.Duration // since when a duty was seen without an owner
	lost  map[string]time.Duration
	out   map[string]bool // claims under way
	gone  bool
	began bool // our lease stood once
}

// New makes a keeper.
func New(self Life, t Times) *Keeper {
	return &Keeper{self: self, t: t, asked: -t.TTL, held: map[string]uint64{}, idle: map[string]time.Duration{},
		lost: map[string]time.Duration{}, out: map[string]bool{}}
}

// Self is the life that is kept.
func (k *Keeper) Self() Life { return k.self }

// Mine is the version of our lease, 0 for none.
func (k *Keeper) Mine() uint64 { return k.mine }

// Valid says whether our lease stands by our own clock: new effects are begun only then.
func (k *Keeper) Valid(now time.Duration) bool { return !k.gone && k.mine != 0 && now < k.until }

// Epoch is that under which a duty is held here.
func (k *Keeper) Epoch(key string) (uint64, bool) {
	e, ok := k.held[key]
	return e, ok && !k.gone
}

// Held are the duties held here, in their order.
func (k *Keeper) Held() []string {
	var out []string
	for key := range k.held {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Renewed takes in that the lease that was asked for at a time stands, with a version.
func (k *Keeper) Renewed(asked time.Duration, version uint64) {
	k.mine, k.until, k.began = version, asked+k.t.TTL-k.t.Drift, true
}

// Unrenewed takes in that another version stands where ours did, 0 for none: ours has ended. It is asked for anew.
func (k *Keeper) Unrenewed() { k.mine, k.asked = 0, -k.t.TTL }

// Claimed takes in what came of a claim: the epoch, or 0 for a claim that failed.
func (k *Keeper) Claimed(key string, epoch uint64, now time.Duration) []Action {
	delete(k.out, key)
	delete(k.idle, key)
	if epoch == 0 || k.gone {
		return nil
	}
	k.held[key] = epoch
	return []Action{{Verb: Take, Key: key, Epoch: epoch}}
}

// Fenced takes in that a write under a duty's epoch failed for the epoch: it is another's. Whoever was fenced under an epoch
// that is not the one held now was late, and nothing follows.
func (k *Keeper) Fenced(key string, epoch uint64, now time.Duration) []Action {
	if k.held[key] != epoch {
		return nil
	}
	delete(k.held, key)
	k.lost[key] = now
	return []Action{{Verb: Stop, Key: key, Epoch: epoch}}
}

// Release lets go of a duty of our own accord; the caller writes it as nobody's, or takes it away.
func (k *Keeper) Release(key string) { delete(k.held, key) }

// Step decides by a view.
func (k *Keeper) Step(now time.Duration, v View) []Action {
	if k.gone {
		return nil
	}
	var out []Action
	mine, standing := v.Leases[k.self.Node]
	if !k.began {
		// Lives are in the order in which they come to the store, whatever the clocks say that they began by: one that was
		// started with its clock set back is no earlier one.
		if born := k.latest(v); born >= k.self.Born {
			k.self.Born = born + 1
			out = append(out, Action{Verb: Later})
		}
	}
	if standing && mine.Born > k.self.Born {
		// A name that was started twice: the later life has all that is written under the name from now on.
		k.gone = true
		for _, key := range k.Held() {
			out = append(out, Action{Verb: Stop, Key: key, Epoch: k.held[key]})
		}
		clear(k.held)
		return append(out, Action{Verb: Leave})
	}
	if now-k.asked >= k.t.Renew {
		k.asked = now
		at := uint64(0)
		if standing {
			at = mine.Version
		}
		if k.Valid(now) {
			at = max(at, k.mine) // the view may be older than what came of the last renewal
		}
		out = append(out, Action{Verb: Renew, If: at})
	}
	seen := map[string]bool{} // of those without an owner: there are few, and duties are many
	for _, d := range v.Duties {
		if _, ok := k.idle[d.Key]; ok {
			seen[d.Key] = true
		}
		if epoch, ok := k.held[d.Key]; ok && d.Epoch > epoch {
			out = append(out, k.Fenced(d.Key, epoch, now)...)
		}
		if a, ok := k.claim(now, v, d); ok {
			k.out[d.Key] = true
			out = append(out, a)
		}
	}
	for key, since := range k.idle {
		if !seen[key] && since != now {
			delete(k.idle, key)
		}
	}
	return out
}

// latest is when the latest other life of our node began, as far as a view shows.
func (k *Keeper) latest(v View) int64 {
	born := v.Leases[k.self.Node].Born
	for _, d := range v.Duties {
		if l, ok := ParsePartition(d.Key); ok && l.Node == k.self.Node {
			born = max(born, l.Born)
		}
	}
	return born
}

// claim decides whether to claim a duty.
func (k *Keeper) claim(now time.Duration, v View, d Duty) (Action, bool) {
	if _, ok := k.held[d.Key]; ok || k.out[d.Key] || !k.Valid(now) {
		return Action{}, false
	}
	if at, ok := k.lost[d.Key]; ok && now-at < k.t.Again {
		return Action{}, false
	}
	if d.Owner == k.self {
		// Ours in the store and not here: the answer to a claim was lost. Claimed again it has an epoch that is known.
		return Action{Verb: Claim, Key: d.Key, If: d.Epoch, Mine: k.mine}, true
	}
	lease, standing := v.Leases[d.Owner.Node]
	if standing && lease.Life == d.Owner {
		delete(k.idle, d.Key)
		return Action{}, false // its owner is alive, as far as is known
	}
	since, known := k.idle[d.Key]
	if !known {
		since = now
		k.idle[d.Key] = now
	}
	if now-since < time.Duration(k.rank(v, d))*k.t.Rank {
		return Action{}, false
	}
	a := Action{Verb: Claim, Key: d.Key, If: d.Epoch, Mine: k.mine}
	if !d.Owner.Zero() && d.Owner.Node != k.self.Node {
		a.Owner, a.Lease = d.Owner.Node, lease.Version // none, or that of a later life: the owner's has ended
	}
	return a, true
}

// rank is how many living nodes are to claim a duty before us. A later life of the owner is first, for it has its disk and
// its address; then whom rendezvous hashing names, so that a lost node's duties are spread over all, and few move when one
// comes or goes.
func (k *Keeper) rank(v View, d Duty) int {
	var alive []string
	for name := range v.Leases {
		alive = append(alive, name)
	}
	if !slices.Contains(alive, k.self.Node) {
		alive = append(alive, k.self.Node)
	}
	slices.SortFunc(alive, cmp.Compare)
	rank := 0
	if at := slices.Index(alive, d.Owner.Node); at >= 0 {
		if d.Owner.Node == k.self.Node {
			return 0
		}
		alive, rank = slices.Delete(alive, at, at+1), 4 // it needs its time to start
	}
	for len(alive) > 0 {
		next := Place(d.Key, alive)
		if next == k.self.Node {
			return rank
		}
		alive = slices.DeleteFunc(alive, func(x string) bool { return x == next })
		rank++
	}
	return rank
}

// Place is the node that a key belongs to, of some: the same for all that ask, whatever their order.
func Place(key string, nodes []string) string {
	sorted := slices.Sorted(slices.Values(nodes))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}
