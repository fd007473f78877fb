package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

// The floor of a member follows from its watermark or, without one, from the answers of enough others.
func TestAssessment(t *testing.T) {
	f := Folder{Name: "n0", Identity: "f", Last: Position{3, 90}, Term: 3, Boot: "b"}
	mark := func(folder, boot string, last Position, term uint64) *Watermark {
		return &Watermark{folder, boot, last, term}
	}
	all, both := memberNames(3), map[string]Progress{"n1": {Position{3, 95}, 4}, "n2": {Position{3, 80}, 5}}
	lost := f
	lost.Unreadable = Position{3, 97}
	trusts := f
	trusts.TrustDisk = true
	for _, x := range []struct {
		what    string
		f       Folder
		mark    *Watermark
		answers map[string]Progress
		want    Assessment
	}{
		{"a mark that agrees", f, mark("f", "b", Position{3, 90}, 3), nil, Assessment{Complete: true}},
		{"a mark that is behind: killed before it was made",
			f, mark("f", "b", Position{3, 88}, 3), nil,
			Assessment{Complete: true}},
		{"a mark that is ahead",
			f, mark("f", "b", Position{3, 91}, 3), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 91}, 3}}},
		{"a mark of an earlier term is behind, however long its log",
			f, mark("f", "b", Position{2, 900}, 2), nil,
			Assessment{Complete: true}},
		{"a vote that the folder does not know",
			f, mark("f", "b", Position{3, 90}, 4), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 90}, 4}}},
		{"a mark of another boot counts for nothing",
			f, mark("f", "a", Position{3, 91}, 3), nil,
			Assessment{Missing: []string{"n1", "n2"}}},
		{"a mark of another folder likewise",
			f, mark("g", "b", Position{3, 91}, 3), nil,
			Assessment{Missing: []string{"n1", "n2"}}},
		{"no mark, one answer of two",
			f, nil, map[string]Progress{"n2": {Position{3, 80}, 5}},
			Assessment{Missing: []string{"n1"}, Floor: VoteFloor{Position{3, 80}, 5}}},
		{"no mark, enough answers", f, nil, both, Assessment{Complete: true, Floor: VoteFloor{Position{3, 95}, 5}}},
		{"the disk's word is taken", trusts, nil, nil, Assessment{Complete: true}},
		{"entries that can not be read, and a mark",
			lost, mark("f", "b", Position{3, 97}, 3), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 3}}},
		{"entries that can not be read, and answers",
			lost, nil, both,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 5}}},
	} {
		if got := Assess(x.f, x.mark, all, x.answers); fmt.Sprint(got) != fmt.Sprint(x.want) {
			t.Errorf("%s: %+v, want %+v", x.what, got, x.want)
		}
	}
	if got := Assess(f, nil, memberNames(1), nil); !got.Complete {
		t.Error("a store of one asks nobody")
	}
}

// forgottenWrite is a store in which some members, n0 among them, acknowledged an entry and voted in term 2, and n0
// lost both.
type forgottenWrite struct {
	members  int
	majority int
	holders  int // a set of bits
}

func (w forgottenWrite) holds(member int) bool { return w.holders&(1<<member) != 0 }

var (
	forgottenEntry = Position{2, 9}
	entryBefore    = Position{1, 8}
)

func (w forgottenWrite) progress(member int) Progress {
	if w.holds(member) {
		return Progress{forgottenEntry, 2}
	}
	return Progress{entryBefore, 1}
}

// assess returns n0's assessment after a set of members answered, and how many those are.
func (w forgottenWrite) assess(answering int) (Assessment, int) {
	answers := map[string]Progress{}
	for i := 1; i < w.members; i++ {
		if answering&(1<<i) != 0 {
			answers[fmt.Sprint("n", i)] = w.progress(i)
		}
	}
	folder := Folder{Name: "n0", Identity: "f", Last: entryBefore, Term: 1}
	return Assess(folder, nil, memberNames(w.members), answers), len(answers)
}

// certainVotes is the number of members that lack the entry: they vote for a candidate that lacks it as well.
func (w forgottenWrite) certainVotes() int {
	votes := 0
	for i := 1; i < w.members; i++ {
		if !w.holds(i) {
			votes++
		}
	}
	return votes
}

// explored counts the elections that a weaker rule would have lost.
type explored struct{ missed, unkept int }

// check has each member that lacks the entry stand for election after a set of members answered n0.
func (w forgottenWrite) check(t *testing.T, answering int) (out explored) {
	t.Helper()
	assessment, answers := w.assess(answering)
	for candidate := range w.members {
		if candidate > 0 && w.holds(candidate) {
			continue
		}
		votes, ofForgetful := w.certainVotes(), 0
		if assessment.Floor.Allows(3, entryBefore) {
			ofForgetful = 1
		}
		wins := votes+ofForgetful >= w.majority
		if wins && assessment.Complete {
			t.Fatalf("%d members: %b have the write, %b answered, n%d stands without it and wins",
				w.members, w.holders, answering, candidate)
		}
		if wins && answers == RequiredWitnesses(w.members)-1 {
			out.missed++
		}
		if votes+1 >= w.majority {
			out.unkept++
		}
		if assessment.Complete && assessment.Floor.Allows(2, forgottenEntry) && votes+1 >= w.majority {
			t.Fatalf("%d members: %b voted in term 2, %b answered, and n%d gets a second vote in it",
				w.members, w.holders, answering, candidate)
		}
	}
	return out
}

// Explored in full for stores of two to seven: whichever majority acknowledged a write with a member that then loses
// it, whichever others answer that member when it starts, and whoever is a candidate, none that lacks the write gets a
// majority of votes. With one answer fewer, or with a floor that is not kept, some do. The same holds for a vote that
// was lost: in the term of a leader that got it, no other candidate gets a majority.
func TestForgottenWritesAndVotesWinNoElection(t *testing.T) {
	for n := 2; n <= 7; n++ {
		var total explored
		for holders := range 1 << n {
			w := forgottenWrite{members: n, majority: n/2 + 1, holders: holders}
			if !w.holds(0) || bits.OnesCount(uint(holders)) < w.majority {
				continue
			}
			for answering := 0; answering < 1<<n; answering += 2 {
				found := w.check(t, answering)
				total.missed += found.missed
				total.unkept += found.unkept
			}
		}
		// Of an even number one that forgets is not enough for a second majority.
		if n%2 == 1 && (total.missed == 0 || total.unkept == 0) {
			t.Errorf("%d members: one answer fewer was never too few (%d), or no floor was never missed (%d)",
				n, total.missed, total.unkept)
		}
	}
}
