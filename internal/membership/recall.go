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

// Position is a place in the log. Of two, the one with the later term has more.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less says whether a log that ends here has less than one that ends there.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

func (p Position) String() string { return fmt.Sprintf("entry %d of term %d", p.Index, p.Term) }

// Watermark is how far a member got, as its machine's memory has it.
type Watermark struct {
	Folder, Boot string   // what it is of, and the boot that it was made in
	Last         Position // acknowledged
	Term         uint64   // the last in which a vote may have been given
}

// Progress is what another member tells of itself.
type Progress struct {
	Last Position `json:"last"`
	Term uint64   `json:"term"`
}

// VoteFloor bounds the votes of a member that may have forgotten.
type VoteFloor struct {
	Last Position // nobody that has less gets its vote, itself included
	Term uint64   // no vote is given in this term or an earlier one: one may have been given
}

// May says whether a candidate of a term whose log ends at a point may have the vote.
func (f VoteFloor) Allows(term uint64, last Position) bool {
	return term > f.Term && !last.Less(f.Last)
}

func (f VoteFloor) raise(last Position, term uint64) VoteFloor {
	if f.Last.Less(last) {
		f.Last = last
	}
	f.Term = max(f.Term, term)
	return f
}

// Assessment is what is known of what a member acknowledged.
type Assessment struct {
	Complete  bool      // the floor holds all; else it gives no vote yet
	Floor     VoteFloor // zero: nothing was forgotten that is known of
	Regressed bool      // it has less than it had acknowledged, for certain
	Missing   []string  // others that are to be heard first
}

// Folder is what a member's folder says of itself.
type Folder struct {
	Name, Identity string
	Last           Position // how far its log goes
	Term           uint64   // the last in which it may have voted
	Unreadable     Position // what is known to have been there and can not be read any more, zero for nothing
	Boot           string   // of the machine, by now
	TrustDisk      bool     // the operator takes the disk's word
}

// Assess decides for a member that starts with a folder that holds something. The mark is nil where there is none, answers are
// of the others that were heard; all are the members that the folder or the configuration names.
func Assess(f Folder, mark *Watermark, all []string, answers map[string]Progress) (r Assessment) {
	r.Floor = VoteFloor{}.raise(f.Unreadable, 0)
	r.Regressed = f.Last.Less(f.Unreadable)
	if mark != nil && mark.Folder == f.Identity && mark.Boot == f.Boot {
		r.Complete = true
		if r.Regressed = r.Regressed || f.Last.Less(mark.Last) || f.Term < mark.Term; r.Regressed {
			r.Floor = r.Floor.raise(mark.Last, mark.Term)
		}
		return r
	}
	if f.TrustDisk && !r.Regressed {
		r.Complete = true
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
	r.Complete = heard >= RequiredWitnesses(len(all))
	return r
}
