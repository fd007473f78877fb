package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

// The vote floor of a member results from its watermark or, without one, from the answers of enough other members.
func TestAssessment(t *testing.T) {
	f := Folder{Name: "n0", Identity: "f", Last: Position{3, 90}, Term: 3, Boot: "b"}
	mark := func(folder, boot string, last Position, term uint64) *Watermark {
		return &Watermark{folder, boot, last, term}
	}
	names, both := memberNames(3), map[string]Progress{"n1": {Position{3, 95}, 4}, "n2": {Position{3, 80}, 5}}
	unreadable := f
	unreadable.Unreadable = Position{3, 97}
	trustingDisk := f
	trustingDisk.TrustDisk = true
	for _, x := range []struct {
		what    string
		f       Folder
		mark    *Watermark
		answers map[string]Progress
		want    Assessment
	}{
		{"a watermark at the end of the log", f, mark("f", "b", Position{3, 90}, 3), nil, Assessment{Complete: true}},
		{"a watermark behind the log, after a kill before it was raised",
			f, mark("f", "b", Position{3, 88}, 3), nil,
			Assessment{Complete: true}},
		{"a watermark ahead of the log",
			f, mark("f", "b", Position{3, 91}, 3), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 91}, 3}}},
		{"a watermark of an earlier term with a greater index is behind",
			f, mark("f", "b", Position{2, 900}, 2), nil,
			Assessment{Complete: true}},
		{"a vote that is not in the folder",
			f, mark("f", "b", Position{3, 90}, 4), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 90}, 4}}},
		{"a watermark of another boot is ignored",
			f, mark("f", "a", Position{3, 91}, 3), nil,
			Assessment{Missing: []string{"n1", "n2"}}},
		{"a watermark of another folder is ignored",
			f, mark("g", "b", Position{3, 91}, 3), nil,
			Assessment{Missing: []string{"n1", "n2"}}},
		{"no watermark, one answer of two",
			f, nil, map[string]Progress{"n2": {Position{3, 80}, 5}},
			Assessment{Missing: []string{"n1"}, Floor: VoteFloor{Position{3, 80}, 5}}},
		{"no watermark, enough answers", f, nil, both, Assessment{Complete: true, Floor: VoteFloor{Position{3, 95}, 5}}},
		{"no watermark, the disk is trusted", trustingDisk, nil, nil, Assessment{Complete: true}},
		{"unreadable entries and a watermark",
			unreadable, mark("f", "b", Position{3, 97}, 3), nil,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 3}}},
		{"unreadable entries and answers",
			unreadable, nil, both,
			Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 5}}},
	} {
		if got := Assess(x.f, x.mark, names, x.answers); fmt.Sprint(got) != fmt.Sprint(x.want) {
			t.Errorf("%s: %+v, want %+v", x.what, got, x.want)
		}
	}
	if got := Assess(f, nil, memberNames(1), nil); !got.Complete {
		t.Error("a store with one member waits for answers")
	}
}

// lostWrite is a store in which some members, among them n0, acknowledged an entry and voted in term 2, and n0 lost
// both.
type lostWrite struct {
	members      int
	majority     int
	acknowledged int // bit set of the members that acknowledged the entry and voted
}

func (w lostWrite) hasEntry(member int) bool { return w.acknowledged&(1<<member) != 0 }

var (
	lostEntry     = Position{2, 9}
	previousEntry = Position{1, 8}
)

func (w lostWrite) progress(member int) Progress {
	if w.hasEntry(member) {
		return Progress{lostEntry, 2}
	}
	return Progress{previousEntry, 1}
}

// assess returns the assessment of n0 after a set of members answered, and the number of answers.
func (w lostWrite) assess(answering int) (Assessment, int) {
	answers := map[string]Progress{}
	for i := 1; i < w.members; i++ {
		if answering&(1<<i) != 0 {
			answers[fmt.Sprint("n", i)] = w.progress(i)
		}
	}
	folder := Folder{Name: "n0", Identity: "f", Last: previousEntry, Term: 1}
	return Assess(folder, nil, memberNames(w.members), answers), len(answers)
}

// certainVotes returns the number of other members that lack the entry and therefore vote for a candidate that lacks
// it.
func (w lostWrite) certainVotes() int {
	votes := 0
	for i := 1; i < w.members; i++ {
		if !w.hasEntry(i) {
			votes++
		}
	}
	return votes
}

// weakerRuleWins counts the elections that a candidate without the entry would win under a weaker rule: with one answer
// fewer, or without a vote floor.
type weakerRuleWins struct{ fewerWitnesses, noFloor int }

// check runs an election for each candidate that lacks the entry, after a set of members answered n0.
func (w lostWrite) check(t *testing.T, answering int) (out weakerRuleWins) {
	t.Helper()
	assessment, answers := w.assess(answering)
	for candidate := range w.members {
		if candidate > 0 && w.hasEntry(candidate) {
			continue
		}
		votes, ownVote := w.certainVotes(), 0
		if assessment.Floor.Allows(3, previousEntry) {
			ownVote = 1
		}
		wins := votes+ownVote >= w.majority
		if wins && assessment.Complete {
			t.Fatalf("%d members: %b have the write, %b answered, n%d wins the election without it",
				w.members, w.acknowledged, answering, candidate)
		}
		if wins && answers == RequiredWitnesses(w.members)-1 {
			out.fewerWitnesses++
		}
		if votes+1 >= w.majority {
			out.noFloor++
		}
		if assessment.Complete && assessment.Floor.Allows(2, lostEntry) && votes+1 >= w.majority {
			t.Fatalf("%d members: %b voted in term 2, %b answered, and n%d gets a second vote in it",
				w.members, w.acknowledged, answering, candidate)
		}
	}
	return out
}

// The test covers all combinations for stores of two to seven members: any majority that acknowledged a write together
// with a member that then loses it, any set of other members that answer that member when it starts, and any candidate.
// No candidate that lacks the write gets a majority of votes. With one answer fewer, or without the vote floor, some
// do. Lost votes are covered, too: in the term of a leader that got such a vote, no other candidate gets a majority.
func TestLostWritesAndVotesWinNoElection(t *testing.T) {
	for n := 2; n <= 7; n++ {
		var total weakerRuleWins
		for acknowledged := range 1 << n {
			w := lostWrite{members: n, majority: n/2 + 1, acknowledged: acknowledged}
			if !w.hasEntry(0) || bits.OnesCount(uint(acknowledged)) < w.majority {
				continue
			}
			for answering := 0; answering < 1<<n; answering += 2 {
				found := w.check(t, answering)
				total.fewerWitnesses += found.fewerWitnesses
				total.noFloor += found.noFloor
			}
		}
		// With an even number of members, one that lost its state does not suffice for a second majority.
		if n%2 == 1 && (total.fewerWitnesses == 0 || total.noFloor == 0) {
			t.Errorf("%d members: elections won with one answer fewer (%d) or without a floor (%d): want some of both",
				n, total.fewerWitnesses, total.noFloor)
		}
	}
}
