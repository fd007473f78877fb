// Package duty decides who of a fleet's nodes does which piece of its work: who owns it, under which epoch, until when, who
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
package duty

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
type Incarnation struct {
	Node string `json:"node"`
	StartedMs int64  `json:"born"` // Unix ms
}

// Partition names the jobs that a life takes: their ids begin with it.
func (l Incarnation) PartitionKey() string { return fmt.Sprintf("%s.%012x", l.Node, l.StartedMs) }

// Zero says that no life is meant.
func (l Incarnation) IsZero() bool { return l.Node == "" }

// ParsePartition reads what Partition gave.
func ParsePartitionKey(text string) (Incarnation, bool) {
	at := strings.LastIndexByte(text, '.')
	if at <= 0 {
		return Incarnation{}, false
	}
	born, err := strconv.ParseInt(text[at+1:], 16, 64)
	l := Incarnation{text[:at], born}
	return l, err == nil && born >= 0 && l.PartitionKey() == text
}

// Lease is a node's, as it stands in the store.
type Lease struct {
	Incarnation
	Addr    string // of its batch front
	Version uint64
}

// Duty is a piece of work, as it stands in the store.
type Partition struct {
	Key   string
	Owner Incarnation // zero: handed over, and nobody's yet
	Epoch uint64
}

// View is what a node sees of the store: it may be old. What is decided by it is made only if it still holds.
type View struct {
	Leases map[string]Lease // by node
	Partitions []Partition
}

// Times are those of leases and claims.
type Timing struct {
	TTL   time.Duration // of a lease
	RenewInterval time.Duration // after which it is renewed
	MaxClockDrift time.Duration // of the lease that an owner leaves unused
	RankDelay  time.Duration // that a node waits for each one that is to claim before it
	ReclaimDelay time.Duration // after a duty was lost, its former owner does not claim it
}

// Check says whether times can work: an owner must have stopped by when another may claim.
func (t Timing) Validate() error {
	if t.TTL <= 0 || t.RenewInterval <= 0 || t.RenewInterval*2 > t.TTL-t.MaxClockDrift || t.MaxClockDrift <= 0 || t.RankDelay <= 0 {
		return fmt.Errorf("duty: leases of %v renewed after %v with %v unused and %v a rank: a lease must last two renewals, and "+
			"all be over 0", t.TTL, t.RenewInterval, t.MaxClockDrift, t.RankDelay)
	}
	return nil
}

// Verb is what is to be done.
type ActionKind uint8

// The verbs.
const (
	RenewLease ActionKind = iota + 1 // write the own lease, in the place of the version If
	ClaimPartition                 // write the duty as ours, if its epoch is If, the owner's lease is as Owner says, and ours as Mine
	StartPartition                  // do the duty, under Epoch
	StopPartition                  // it is no longer ours: let go of it
	Superseded                 // this life was replaced by another of its name: nothing of it is done any more
	AdvanceIncarnation                 // Self is called by a later time than it was: what it takes belongs to that
)

// Action is one.
type Action struct {
	Kind  ActionKind
	Partition   string
	ExpectedVersion    uint64 // Renew: of the lease that stands there, 0 for none; Claim: the epoch
	OwnerNode string // Claim: the node whose lease must have the version Lease, 0 for none; "" for no condition
	OwnerLease uint64
	OwnLease  uint64 // Claim: the version of our lease
	Epoch uint64
}

// Keeper decides for one life of a node. All times are spans on one clock of the caller's that never runs backwards and
// goes on while the machine sleeps.
type Manager struct {
	self  Incarnation
	timing     Timing
	lastRenewal time.Duration // when the lease was last asked for
	ownLease  uint64        // the version of our lease, 0 for none
	expiresAt time.Duration // our lease, by our clock
	epochs  map[string]uint64
	unownedSince  map[string]time.Duration // since when a duty was seen without an owner
	lostAt  map[string]time.Duration
	claiming   map[string]bool // claims under way
	superseded  bool
	established bool // our lease stood once
}

// New makes a keeper.
func New(self Incarnation, t Timing) *Manager {
	return &Manager{self: self, timing: t, lastRenewal: -t.TTL, epochs: map[string]uint64{}, unownedSince: map[string]time.Duration{},
		lostAt: map[string]time.Duration{}, claiming: map[string]bool{}}
}

// Self is the life that is kept.
func (k *Manager) Incarnation() Incarnation { return k.self }

// Mine is the version of our lease, 0 for none.
func (k *Manager) OwnLease() uint64 { return k.ownLease }

// Valid says whether our lease stands by our own clock: new effects are begun only then.
func (k *Manager) HoldsLease(now time.Duration) bool { return !k.superseded && k.ownLease != 0 && now < k.expiresAt }

// Epoch is that under which a duty is held here.
func (k *Manager) Epoch(key string) (uint64, bool) {
	e, ok := k.epochs[key]
	return e, ok && !k.superseded
}

// Held are the duties held here, in their order.
func (k *Manager) Partitions() []string {
	var out []string
	for key := range k.epochs {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Renewed takes in that the lease that was asked for at a time stands, with a version.
func (k *Manager) LeaseRenewed(asked time.Duration, version uint64) {
	k.ownLease, k.expiresAt, k.established = version, asked+k.timing.TTL-k.timing.MaxClockDrift, true
}

// Unrenewed takes in that another version stands where ours did, 0 for none: ours has ended. It is asked for anew.
func (k *Manager) LeaseLost() { k.ownLease, k.lastRenewal = 0, -k.timing.TTL }

// Claimed takes in what came of a claim: the epoch, or 0 for a claim that failed.
func (k *Manager) ClaimCompleted(key string, epoch uint64, now time.Duration) []Action {
	delete(k.claiming, key)
	delete(k.unownedSince, key)
	if epoch == 0 || k.superseded {
		return nil
	}
	k.epochs[key] = epoch
	return []Action{{Kind: StartPartition, Partition: key, Epoch: epoch}}
}

// Fenced takes in that a write under a duty's epoch failed for the epoch: it is another's. Whoever was fenced under an epoch
// that is not the one held now was late, and nothing follows.
func (k *Manager) WriteFenced(key string, epoch uint64, now time.Duration) []Action {
	if k.epochs[key] != epoch {
		return nil
	}
	delete(k.epochs, key)
	k.lostAt[key] = now
	return []Action{{Kind: StopPartition, Partition: key, Epoch: epoch}}
}

// Release lets go of a duty of our own accord; the caller writes it as nobody's, or takes it away.
func (k *Manager) ReleasePartition(key string) { delete(k.epochs, key) }

// Step decides by a view.
func (k *Manager) Step(now time.Duration, v View) []Action {
	if k.superseded {
		return nil
	}
	var out []Action
	mine, standing := v.Leases[k.self.Node]
	if !k.established {
		// Lives are in the order in which they come to the store, whatever the clocks say that they began by: one that was
		// started with its clock set back is no earlier one.
		if born := k.latestStart(v); born >= k.self.StartedMs {
			k.self.StartedMs = born + 1
			out = append(out, Action{Kind: AdvanceIncarnation})
		}
	}
	if standing && mine.StartedMs > k.self.StartedMs {
		// A name that was started twice: the later life has all that is written under the name from now on.
		k.superseded = true
		for _, key := range k.Partitions() {
			out = append(out, Action{Kind: StopPartition, Partition: key, Epoch: k.epochs[key]})
		}
		clear(k.epochs)
		return append(out, Action{Kind: Superseded})
	}
	if now-k.lastRenewal >= k.timing.RenewInterval {
		k.lastRenewal = now
		at := uint64(0)
		if standing {
			at = mine.Version
		}
		if k.HoldsLease(now) {
			at = max(at, k.ownLease) // the view may be older than what came of the last renewal
		}
		out = append(out, Action{Kind: RenewLease, ExpectedVersion: at})
	}
	seen := map[string]bool{} // of those without an owner: there are few, and duties are many
	for _, d := range v.Partitions {
		if _, ok := k.unownedSince[d.Key]; ok {
			seen[d.Key] = true
		}
		if epoch, ok := k.epochs[d.Key]; ok && d.Epoch > epoch {
			out = append(out, k.WriteFenced(d.Key, epoch, now)...)
		}
		if a, ok := k.claim(now, v, d); ok {
			k.claiming[d.Key] = true
			out = append(out, a)
		}
	}
	for key, since := range k.unownedSince {
		if !seen[key] && since != now {
			delete(k.unownedSince, key)
		}
	}
	return out
}

// latest is when the latest other life of our node began, as far as a view shows.
func (k *Manager) latestStart(v View) int64 {
	born := v.Leases[k.self.Node].StartedMs
	for _, d := range v.Partitions {
		if l, ok := ParsePartitionKey(d.Key); ok && l.Node == k.self.Node {
			born = max(born, l.StartedMs)
		}
	}
	return born
}

// claim decides whether to claim a duty.
func (k *Manager) claim(now time.Duration, v View, d Partition) (Action, bool) {
	if _, ok := k.epochs[d.Key]; ok || k.claiming[d.Key] || !k.HoldsLease(now) {
		return Action{}, false
	}
	if at, ok := k.lostAt[d.Key]; ok && now-at < k.timing.ReclaimDelay {
		return Action{}, false
	}
	if d.Owner == k.self {
		// Ours in the store and not here: the answer to a claim was lost. Claimed again it has an epoch that is known.
		return Action{Kind: ClaimPartition, Partition: d.Key, ExpectedVersion: d.Epoch, OwnLease: k.ownLease}, true
	}
	lease, standing := v.Leases[d.Owner.Node]
	if standing && lease.Incarnation == d.Owner {
		delete(k.unownedSince, d.Key)
		return Action{}, false // its owner is alive, as far as is known
	}
	since, known := k.unownedSince[d.Key]
	if !known {
		since = now
		k.unownedSince[d.Key] = now
	}
	if now-since < time.Duration(k.rank(v, d))*k.timing.RankDelay {
		return Action{}, false
	}
	a := Action{Kind: ClaimPartition, Partition: d.Key, ExpectedVersion: d.Epoch, OwnLease: k.ownLease}
	if !d.Owner.IsZero() && d.Owner.Node != k.self.Node {
		a.OwnerNode, a.OwnerLease = d.Owner.Node, lease.Version // none, or that of a later life: the owner's has ended
	}
	return a, true
}

// rank is how many living nodes are to claim a duty before us. A later life of the owner is first, for it has its disk and
// its address; then whom rendezvous hashing names, so that a lost node's duties are spread over all, and few move when one
// comes or goes.
func (k *Manager) rank(v View, d Partition) int {
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
		next := PreferredNode(d.Key, alive)
		if next == k.self.Node {
			return rank
		}
		alive = slices.DeleteFunc(alive, func(x string) bool { return x == next })
		rank++
	}
	return rank
}

// Place is the node that a key belongs to, of some: the same for all that ask, whatever their order.
func PreferredNode(key string, nodes []string) string {
	sorted := slices.Sorted(slices.Values(nodes))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}
