package idclaims

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

const (
	id       = "9b1f03aa5c7e2d41"
	deadline = 7500 // ms
)

func owners(n int) []*Table {
	slots, tables := new([Slots]atomic.Uint64), make([]*Table, n)
	for i := range tables {
		tables[i] = New(slots, 7, uint8(i+1))
	}
	return tables
}

// An ID is open in one process at a time, in both orders, until its request ends.
func TestClaimedIDIsRefusedUntilItsRequestEnds(t *testing.T) {
	tables := owners(2)
	for _, x := range []struct{ first, second *Table }{{tables[0], tables[1]}, {tables[1], tables[0]}} {
		claim, err := x.first.Claim(id, 0, deadline)
		if err != nil {
			t.Fatal(err)
		}
		for _, table := range tables {
			if _, err := table.Claim(id, deadline-1, 2*deadline); !errors.Is(err, ErrOpen) {
				t.Errorf("claim of an open ID: error %v, want %v", err, ErrOpen)
			}
		}
		if x.first.ClaimedByOther(id, 0) || !x.second.ClaimedByOther(id, 0) || x.second.ClaimedByOther("another", 0) {
			t.Error("ClaimedByOther does not tell the claim of the other process")
		}
		claim.Release()
		claim, err = x.second.Claim(id, 1, deadline)
		if err != nil {
			t.Errorf("claim after the release: %v", err)
		}
		claim.Release()
	}
}

// The claim of a process that was killed ends with the deadline of its request. A release that comes after that, of a
// process that was only stopped, leaves the claim of the other process in place.
func TestClaimOfKilledProcessEndsWithItsDeadline(t *testing.T) {
	tables := owners(2)
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Int64Range(0, 40*3600*1000).Draw(t, "now")
		id := rapid.StringN(1, 20, -1).Draw(t, "id")
		stale, err := tables[0].Claim(id, now, now+deadline)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tables[1].Claim(id, now+deadline, now+2*deadline); !errors.Is(err, ErrOpen) {
			t.Fatalf("claim at the deadline: error %v", err)
		}
		later := now + deadline + 2*endUnitMs
		claim, err := tables[1].Claim(id, later, later+deadline)
		if err != nil {
			t.Fatalf("claim after the deadline: %v", err)
		}
		stale.Release()
		if !tables[0].ClaimedByOther(id, later) {
			t.Fatal("the late release removed the claim of the other process")
		}
		claim.Release()
	})
}

// Guards against two processes that accept the same ID at the same moment: of any number of simultaneous copies at most
// one is accepted, also while claims of other IDs come and go in the same bucket.
func TestSimultaneousCopiesAreAcceptedOnce(t *testing.T) {
	const copies, rounds = 8, 300
	tables := owners(2)
	accepted := 0
	for round := range rounds {
		var start, done sync.WaitGroup
		var open atomic.Int32
		claims := make([]Claim, copies)
		start.Add(1)
		for i := range copies {
			done.Go(func() {
				table := tables[i%2]
				other, err := table.Claim(fmt.Sprint("other", round, i), 0, deadline)
				start.Wait()
				if err == nil {
					other.Release()
				}
				if claim, err := table.Claim(id, 0, deadline); err == nil {
					open.Add(1)
					claims[i] = claim
				}
			})
		}
		start.Done()
		done.Wait()
		if n := open.Load(); n > 1 {
			t.Fatalf("round %d: %d copies were accepted", round, n)
		}
		accepted += int(open.Load())
		for i := range claims {
			claims[i].Release()
		}
	}
	if accepted < rounds/2 {
		t.Errorf("only %d of %d rounds accepted a copy", accepted, rounds)
	}
}

// A bucket that is full rejects further claims, takes them again once claims have ended, and Purge removes these.
func TestFullBucket(t *testing.T) {
	table := owners(1)[0]
	_, bucket := table.locate(id)
	var same []string
	for i := 0; len(same) <= bucketSlots; i++ {
		if _, b := table.locate(fmt.Sprint(i)); b == bucket {
			same = append(same, fmt.Sprint(i))
		}
	}
	for i, id := range same {
		_, err := table.Claim(id, 0, deadline)
		if full := i == bucketSlots; errors.Is(err, ErrFull) != full || (err == nil) == full {
			t.Errorf("claim %d: %v", i, err)
		}
	}
	if _, err := table.Claim(same[bucketSlots], 2*deadline, 3*deadline); err != nil {
		t.Errorf("claim after the others have ended: %v", err)
	}
	table.Purge(4 * deadline)
	for i := range table.slots {
		if word := table.slots[i].Load(); word != 0 {
			t.Fatalf("slot %d holds %x after Purge", i, word)
		}
	}
}

func BenchmarkClaimAndRelease(b *testing.B) {
	table := owners(1)[0]
	b.ReportAllocs()
	for b.Loop() {
		claim, err := table.Claim(id, 0, deadline)
		if err != nil {
			b.Fatal(err)
		}
		claim.Release()
	}
}
