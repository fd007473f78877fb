package membership

import (
	"fmt"
	"slices"
)

// A disk may have claimed flushes that it lost, and a folder may be put back from a copy: its member then has less than it
// acknowledged, under its own identity. A majority that it acknowledged a write with is broken by its vote for one that never
// had that write. So before a member votes it finds out whether it may have forgotten, and while it has, it votes as one that
// had all: only for who has at least as much. That needs no leader and no change of the membership, and what it is sent it may
// acknowledge at once: that it has.
//
// Two remember for it. A mark, kept in the machine's memory outside of the folder, holds exactly how far the member got and the
// last term in which it voted; it outlives the process, and is good for the boot that it was made in. Where it is gone the
// others are asked: of any majority that acknowledged something with this member, enough others hold one (Witnesses), and who
// has as much as each of these has all that this one ever acknowledged.

// Point is a place in the log. Of two, the one with the later term has more.
type Point struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less says whether a log that ends here has less than one that ends there.
func (p Point) Less(q Point) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

func (p Point) String() string { return fmt.Sprintf("entry %d of term %d", p.Index, p.Term) }

// Mark is how far a member got, as its machine's memory has it.
type Mark struct {
	Folder, Boot string // what it is of, and the boot that it was made in
	Last         Point  // acknowledged
	Term         uint64 // the last in which a vote may have been given
}

// Standing is what another member tells of itself.
type Standing struct {
	Last Point  `json:"last"`
	Term uint64 `json:"term"`
}

// Floor bounds the votes of a member that may have forgotten.
type Floor struct {
	Last Point  // nobody that has less gets its vote, itself included
	Term uint64 // no vote is given in this term or an earlier one: one may have been given
}

// May says whether a candidate of a term whose log ends at a point may have the vote.
func (f Floor) May(term uint64, last Point) bool { return term > f.Term && !last.Less(f.Last) }

func (f Floor) raise(last Point, term uint64) Floor {
	if f.Last.Less(last) {
		f.Last = last
	}
	f.Term = max(f.Term, term)
	return f
}

// Recollection is what is known of what a member acknowledged.
type Recollection struct {
	Sure    bool     // the floor holds all; else it gives no vote yet
	Floor   Floor    // zero: nothing was forgotten that is known of
	Forgot  bool     // it has less than it had acknowledged, for certain
	Missing []string // others that are to be heard first
}

// Folder is what a member's folder says of itself.
type Folder struct {
	Name, Identity string
	Last           Point  // how far its log goes
	Term           uint64 // the last in which it may have voted
	Lost           Point  // what is known to have been there and can not be read any more, zero for nothing
	Boot           string // of the machine, by now
	Trust          bool   // the operator takes the disk's word
}

// Recall decides for a member that starts with a folder that holds something. The mark is nil where there is none, answers are
// of the others that were heard; all are the members that the folder or the configuration names.
func Recall(f Folder, mark *Mark, all []string, answers map[string]Standing) (r Recollection) {
	r.Floor = Floor{}.raise(f.Lost, 0)
	r.Forgot = f.Last.Less(f.Lost)
	if mark != nil && mark.Folder == f.Identity && mark.Boot == f.Boot {
		r.Sure = true
		if r.Forgot = r.Forgot || f.Last.Less(mark.Last) || f.Term < mark.Term; r.Forgot {
			r.Floor = r.Floor.raise(mark.Last, mark.Term)
		}
		return r
	}
	if f.Trust && !r.Forgot {
		r.Sure = true
		return r
	}
	heard := 0
	for _, name := range all {
		if name == f.Name {
			continue
		}
		if a, ok := answers[name]; ok {
			heard++
			r.Floor = r.Floor.raise(a.Last, a.Term)
		} else {
			r.Missing = append(r.Missing, name)
		}
	}
	slices.Sort(r.Missing)
	r.Sure = heard >= Witnesses(len(all))
	return r
}
