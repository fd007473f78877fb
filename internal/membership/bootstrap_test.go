package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

// memberNames returns the names of a number of members, n0 first.
func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("n", i))
	}
	return out
}

// knownFolders returns the answers of some of n0's others, as a set of bits, to a second folder of n0. Those that were
// told of the first folder know that.
func knownFolders(names []string, answering, toldOfFirst int) KnownFolders {
	answers := KnownFolders{}
	for i, name := range names[1:] {
		if answering&(1<<i) == 0 {
			continue
		}
		if answers[name] = "second"; toldOfFirst&(1<<i) != 0 {
			answers[name] = "first"
		}
	}
	return answers
}

// checkSecondFolder has a second folder ask all sets of members after the first one was known to a set of them. It
// reports how often one witness fewer would have let it begin.
func checkSecondFolder(t *testing.T, names []string, toldOfFirst int) (missed int) {
	t.Helper()
	n := len(names)
	for answering := range 1 << (n - 1) {
		if toldOfFirst&answering == 0 && bits.OnesCount(uint(answering)) >= RequiredWitnesses(n)-1 {
			missed++
		}
		if bits.OnesCount(uint(toldOfFirst)) < RequiredWitnesses(n) {
			continue // the first folder had not begun, and has acknowledged nothing
		}
		decision, missing := DecideBootstrap("n0", "second", names, knownFolders(names, answering, toldOfFirst))
		switch {
		case decision == BeginStore:
			t.Fatalf("%d members: known to %b, %b answer, and it begins", n, toldOfFirst, answering)
		case decision == WaitForWitnesses && len(missing) == 0:
			t.Fatalf("%d members: it waits for nobody", n)
		}
	}
	return missed
}

// Explored in full up to seven members: whichever members a first folder was known to, and whichever of these lost
// their own too, short of all that it overlaps with, a second folder of its name never begins while a witness of the
// first is among those that answer. With one witness fewer it does.
func TestNoSecondFolderBeginsAStore(t *testing.T) {
	for n := 2; n <= 7; n++ {
		missed := 0
		for toldOfFirst := range 1 << (n - 1) {
			if bits.OnesCount(uint(toldOfFirst)) >= RequiredWitnesses(n)-1 {
				missed += checkSecondFolder(t, memberNames(n), toldOfFirst)
			}
		}
		if missed == 0 {
			t.Errorf("%d members: fewer witnesses would do", n)
		}
	}
	if decision, _ := DecideBootstrap("n0", "a", []string{"n0"}, nil); decision != BeginStore {
		t.Error("a store of one does not begin")
	}
}
