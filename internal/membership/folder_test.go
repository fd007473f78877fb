package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

// Explored in full up to seven members: whichever members a first folder was known to, whichever of these lost theirs too short
// of all that it overlaps with, a second folder of its name never begins while one that was told of the first answers among
// enough; and with one witness fewer it does.
func TestNoSecondFolderBeginsAStore(t *testing.T) {
	for n := 2; n <= 7; n++ {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("n", i))
		}
		others := n - 1
		missed := 0
		for first := range 1 << others {
			if bits.OnesCount(uint(first)) < RequiredWitnesses(n)-1 {
				continue
			}
			for heard := range 1 << others {
				answers := KnownFolders{}
				for i := range others {
					if heard&(1<<i) == 0 {
						continue
					}
					if answers[names[i+1]] = "second"; first&(1<<i) != 0 {
						answers[names[i+1]] = "first"
					}
				}
				if first&heard == 0 && bits.OnesCount(uint(heard)) >= RequiredWitnesses(n)-1 {
					missed++ // one witness fewer would not have been enough
				}
				if bits.OnesCount(uint(first)) < RequiredWitnesses(n) {
					continue // the first folder had not begun: nothing was promised by it
				}
				switch v, missing := DecideBootstrap("n0", "second", names, answers); {
				case v == BeginStore:
					t.Fatalf("%d members: known to %b, heard %b, and it begins", n, first, heard)
				case v == WaitForWitnesses && len(missing) == 0:
					t.Fatalf("%d members: it waits for nobody", n)
				}
			}
		}
		if missed == 0 {
			t.Errorf("%d members: fewer witnesses would do", n)
		}
	}
	if v, _ := DecideBootstrap("n0", "a", []string{"n0"}, nil); v != BeginStore {
		t.Error("a store of one does not begin")
	}
}
