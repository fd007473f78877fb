package membership

import (
	"fmt"
	"math/bits"
	"testing"
)

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("n", i))
	}
	return out
}

func TestAssessment(t *testing.T) {
	f := Folder{Name: "n0", Identity: "f", Last: Position{3, 90}, Term: 3, Boot: "b"}
	mark := func(folder, boot string, last Position, term uint64) *Watermark {
		return &Watermark{folder, boot, last, term}
	}
	all, both := names(3), map[string]Progress{"n1": {Position{3, 95}, 4}, "n2": {Position{3, 80}, 5}}
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
		{"a mark that is behind: killed before it was made", f, mark("f", "b", Position{3, 88}, 3), nil, Assessment{Complete: true}},
		{"a mark that is ahead", f, mark("f", "b", Position{3, 91}, 3), nil, Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 91}, 3}}},
		{"a mark of an earlier term is behind, however long its log", f, mark("f", "b", Position{2, 900}, 2), nil, Assessment{Complete: true}},
		{"a vote that the folder does not know", f, mark("f", "b", Position{3, 90}, 4), nil, Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 90}, 4}}},
		{"a mark of another boot counts for nothing", f, mark("f", "a", Position{3, 91}, 3), nil, Assessment{Missing: []string{"n1", "n2"}}},
		{"a mark of another folder likewise", f, mark("g", "b", Position{3, 91}, 3), nil, Assessment{Missing: []string{"n1", "n2"}}},
		{"no mark, one answer of two", f, nil, map[string]Progress{"n2": {Position{3, 80}, 5}}, Assessment{Missing: []string{"n1"}, Floor: VoteFloor{Position{3, 80}, 5}}},
		{"no mark, enough answers", f, nil, both, Assessment{Complete: true, Floor: VoteFloor{Position{3, 95}, 5}}},
		{"the disk's word is taken", trusts, nil, nil, Assessment{Complete: true}},
		{"entries that can not be read, and a mark", lost, mark("f", "b", Position{3, 97}, 3), nil, Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 3}}},
		{"entries that can not be read, and answers", lost, nil, both, Assessment{Complete: true, Regressed: true, Floor: VoteFloor{Position{3, 97}, 5}}},
	} {
		if got := Assess(x.f, x.mark, all, x.answers); fmt.Sprint(got) != fmt.Sprint(x.want) {
			t.Errorf("%s: %+v, want %+v", x.what, got, x.want)
		}
	}
	if got := Assess(f, nil, names(1), nil); !got.Complete {
		t.Error("a store of one asks nobody")
	}
}

// Explored in full for stores of two to seven: whichever majority acknowledged a write with a member that forgets it afterwards,
// whichever others answer it when it starts, and whoever stands then: none that lacks the write gets a majority of votes. And
// with one answer fewer, or with a floor that is not kept, some do. The same for a vote that was forgotten: in the term of a
// leader that it was given to no other gets a majority.
func TestForgottenWritesAndVotesWinNoElection(t *testing.T) {
	for n := 2; n <= 7; n++ {
		missed, unkept := 0, 0
		most := n/2 + 1
		for has := range 1 << n { // who acknowledged the write, or gave a vote in term 2; n0 is the one that forgets
			if has&1 == 0 || bits.OnesCount(uint(has)) < most {
				continue
			}
			standing := func(i int) Progress {
				if has&(1<<i) != 0 {
					return Progress{Position{2, 9}, 2}
				}
				return Progress{Position{1, 8}, 1}
			}
			for heard := 0; heard < 1<<n; heard += 2 {
				answers := map[string]Progress{}
				for i := 1; i < n; i++ {
					if heard&(1<<i) != 0 {
						answers[fmt.Sprint("n", i)] = standing(i)
					}
				}
				r := Assess(Folder{Name: "n0", Identity: "f", Last: Position{1, 8}, Term: 1}, nil, names(n), answers)
				for c := range n {
					if c > 0 && has&(1<<c) != 0 {
						continue // it has the write, or was voted for
					}
					log := Position{1, 8}
					votes, floor := 0, 0 // of members that lack the write or did not vote in term 2
					for i := 1; i < n; i++ {
						if has&(1<<i) == 0 {
							votes++
						}
					}
					if r.Floor.Allows(3, log) {
						floor = 1
					}
					if votes+floor >= most && r.Complete {
						t.Fatalf("%d members: %b have the write, %b answered, n%d stands without it and wins", n, has, heard, c)
					}
					if votes+floor >= most && len(answers) == RequiredWitnesses(n)-1 {
						missed++
					}
					if votes+1 >= most {
						unkept++
					}
					if r.Complete && r.Floor.Allows(2, Position{2, 9}) && votes+1 >= most {
						t.Fatalf("%d members: %b voted in term 2, %b answered, and n%d gets a second vote in it", n, has, heard, c)
					}
				}
			}
		}
		// Of an even number one that forgets is not enough for a second majority.
		if n%2 == 1 && (missed == 0 || unkept == 0) {
			t.Errorf("%d members: one answer fewer was never too few (%d), or no floor was never missed (%d)", n, missed, unkept)
		}
	}
}
