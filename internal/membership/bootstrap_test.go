package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

// memberNames returns the names of n members, n0 first.
func memberNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("n", i))
	}
	return out
}

// knownFolders returns the answers of a set of the other members to a request of n0 with a second folder. Members that
// know the first folder answer with that. Both sets are bit sets.
func knownFolders(names []string, answering, knowingFirst int) KnownFolders {
	answers := KnownFolders{}
	for i, name := range names[1:] {
		if answering&(1<<i) == 0 {
			continue
		}
		if answers[name] = "second"; knowingFirst&(1<<i) != 0 {
			answers[name] = "first"
		}
	}
	return answers
}

// checkSecondFolder decides the bootstrap of a second folder for each set of answering members, with the first folder
// known to a set of members. It returns how often the second folder would be bootstrapped with one witness fewer.
func checkSecondFolder(t *testing.T, names []string, knowingFirst int) (missed int) {
	t.Helper()
	n := len(names)
	for answering := range 1 << (n - 1) {
		if knowingFirst&answering == 0 && bits.OnesCount(uint(answering)) >= RequiredWitnesses(n)-1 {
			missed++
		}
		if bits.OnesCount(uint(knowingFirst)) < RequiredWitnesses(n) {
			continue // the first folder was not bootstrapped and has acknowledged nothing
		}
		decision, missing := DecideBootstrap("n0", "second", names, knownFolders(names, answering, knowingFirst))
		switch {
		case decision == Bootstrap:
			t.Fatalf("%d members: first folder known to %b, %b answered: second one bootstrapped", n, knowingFirst, answering)
		case decision == WaitForWitnesses && len(missing) == 0:
			t.Fatalf("%d members: waiting, but no member is missing", n)
		}
	}
	return missed
}

// The test covers all combinations for stores of two to seven members: any set of members that know the first folder of
// a name, and any set that answers the second folder of that name. The second folder is never bootstrapped once the
// first had enough witnesses. With one witness fewer it would be.
func TestSecondFolderDoesNotBootstrapAStore(t *testing.T) {
	for n := 2; n <= 7; n++ {
		missed := 0
		for knowingFirst := range 1 << (n - 1) {
			if bits.OnesCount(uint(knowingFirst)) >= RequiredWitnesses(n)-1 {
				missed += checkSecondFolder(t, memberNames(n), knowingFirst)
			}
		}
		if missed == 0 {
			t.Errorf("%d members: one witness fewer would suffice", n)
		}
	}
	if decision, _ := DecideBootstrap("n0", "a", []string{"n0"}, nil); decision != Bootstrap {
		t.Error("a store with one member is not bootstrapped")
	}
}
