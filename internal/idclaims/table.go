// Package idclaims decides which of several processes may accept a request ID, so that no two of them have a request of
// the same ID open. The processes share a table of claims in memory that all of them map. They need no lock, and none
// waits for another: a process that is stopped or killed between any two instructions leaves the table usable, and its
// claims end at the deadlines of their requests.
//
// The package does no I/O, reads no clock and starts no goroutine.
package idclaims

import (
	"errors"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Errors of Claim.
var (
	// ErrOpen is returned for an ID that is claimed, by this process or by another.
	ErrOpen = errors.New("idclaims: a request of this ID is open")
	// ErrFull is returned if the table has no place for the claim.
	ErrFull = errors.New("idclaims: too many claims")
)

// The table consists of buckets of one cache line. An ID belongs into one bucket and may have any of its slots, so that
// a lookup reads one cache line.
const (
	buckets     = 4096
	bucketSlots = 8

	// Slots is the number of slots of a table.
	Slots = buckets * bucketSlots
	// MaxOwner is the highest number of an owner. Number 0 is not used.
	MaxOwner = 1<<ownerBits - 1
)

// A slot is a single word, so that it changes atomically: the tag of an ID, the number of the claim's owner, and when
// the claim ends. A slot that is not claimed is 0. Ends count in units of 256 ms and wrap around after 18 hours.
const (
	endBits   = 18
	ownerBits = 6

	endMask    = 1<<endBits - 1
	ownerMask  = MaxOwner << endBits
	tagMask    = ^uint64(endMask | ownerMask)
	endUnitMs  = 256
	endHorizon = 1 << (endBits - 1) // an end is at most this many units away from the present
)

// Table is a view of the claims that belongs to one owner. It is safe for concurrent use.
type Table struct {
	slots []atomic.Uint64
	seed  uint64
	owner uint64
}

// New returns the view of an owner. The slots are shared by all owners, and so is the seed, which must be random: with
// it, nobody outside can choose IDs that fill a bucket.
func New(slots *[Slots]atomic.Uint64, seed uint64, owner uint8) *Table {
	return &Table{slots: slots[:], seed: seed, owner: uint64(owner) % (MaxOwner + 1) << endBits}
}

// Claim is the claim of one ID. The zero value claims nothing.
type Claim struct {
	table *Table
	word  uint64
	slot  uint32
}

// In reports whether the claim is in a table.
func (c Claim) In(t *Table) bool { return c.table != nil && c.table == t }

// Release ends the claim.
func (c Claim) Release() {
	if c.table != nil {
		c.table.slots[c.slot].CompareAndSwap(c.word, 0) // a claim that has ended may have been replaced
	}
}

// Claim claims an ID until the time end, unless it is released earlier. Times are in milliseconds on a clock that all
// owners share and that is not set.
func (t *Table) Claim(id string, now, end int64) (Claim, error) {
	tag, bucket := t.locate(id)
	word := tag | t.owner | uint64((end+endUnitMs)/endUnitMs)&endMask
	slot, err := t.insert(bucket, word, now)
	if err != nil {
		return Claim{}, err
	}
	// Another owner may have taken another slot for the same ID since insert looked for one. Each owner looks again
	// after it has written its claim, so at least one of two sees the other, and gives up.
	for other := range uint32(bucketSlots) {
		if at := bucket + other; at != slot && matches(t.slots[at].Load(), tag, now) {
			t.slots[slot].CompareAndSwap(word, 0)
			return Claim{}, ErrOpen
		}
	}
	return Claim{table: t, word: word, slot: slot}, nil
}

// insert writes a claim into a free slot of its bucket.
func (t *Table) insert(bucket uint32, word uint64, now int64) (uint32, error) {
	for range bucketSlots { // a slot that another owner takes first is looked for again
		free, found := uint32(0), false
		for i := range uint32(bucketSlots) {
			current := t.slots[bucket+i].Load()
			switch {
			case matches(current, word&tagMask, now):
				return 0, ErrOpen
			case !found && ended(current, now):
				free, found = bucket+i, true
			}
		}
		if !found {
			return 0, ErrFull
		}
		if current := t.slots[free].Load(); ended(current, now) && t.slots[free].CompareAndSwap(current, word) {
			return free, nil
		}
	}
	return 0, ErrFull
}

// ClaimedByOther reports whether another owner has claimed an ID.
func (t *Table) ClaimedByOther(id string, now int64) bool {
	tag, bucket := t.locate(id)
	for i := range uint32(bucketSlots) {
		if current := t.slots[bucket+i].Load(); matches(current, tag, now) && current&ownerMask != t.owner {
			return true
		}
	}
	return false
}

// Purge removes the claims that have ended. They do no harm until the count of their ends wraps around.
func (t *Table) Purge(now int64) {
	for i := range t.slots {
		if current := t.slots[i].Load(); current != 0 && ended(current, now) {
			t.slots[i].CompareAndSwap(current, 0)
		}
	}
}

// locate returns the tag of an ID and the first slot of its bucket.
func (t *Table) locate(id string) (tag uint64, bucket uint32) {
	var hash xxhash.Digest
	hash.ResetWithSeed(t.seed)
	_, _ = hash.WriteString(id)
	sum := hash.Sum64()
	// The bucket comes from bits that the tag does not contain.
	tag = sum & tagMask
	if tag == 0 {
		tag = 1 << (endBits + ownerBits) // a claim differs from an empty slot
	}
	return tag, uint32(sum%buckets) * bucketSlots
}

// matches reports whether a slot holds a claim of a tag that has not ended.
func matches(word, tag uint64, now int64) bool { return word&tagMask == tag && !ended(word, now) }

// ended reports whether a slot holds no claim or one that has ended.
func ended(word uint64, now int64) bool {
	return word == 0 || (uint64(now/endUnitMs)-word)&endMask < endHorizon
}
