package membership

import (
	"fmt"
	"slices"
)

// A disk may lose writes that it reported as flushed, and a folder may be restored from a copy: the member then has
// less than it acknowledged, under its own identity. Its vote for a candidate without an acknowledged write would break
// the majority that the write had. Before a member votes it therefore assesses whether it may have lost something, and
// if so it votes as if it had lost nothing: only for candidates that have at least as much. That needs no leader and no
// change of membership, and the member may acknowledge new entries at once, because it has those.
//
// There are two sources. A watermark, in the machine's memory outside of the folder, has the last acknowledged position
// and the last term in which the member voted; it outlives the process and is valid for one boot. Without it the other
// members are asked: any majority that acknowledged something together with this member includes enough of the others
// (RequiredWitnesses), and a candidate that has as much as each of these has all that this member acknowledged.

// Position is a position in the log. Positions are ordered by term and then by index.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less reports whether a log that ends at p has less than one that ends at q.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

func (p Position) String() string { return fmt.Sprintf("entry %d of term %d", p.Index, p.Term) }

// Watermark is what a member acknowledged, according to its machine's memory.
type Watermark struct {
	Folder, Boot string   // the folder's identity and the machine's boot for which it is valid
	Last         Position // the last acknowledged one
	Term         uint64   // the last in which the member may have voted
}

// Progress is the position and term of another member, as it reports them.
type Progress struct {
	Last Position `json:"last"`
	Term uint64   `json:"term"`
}

// VoteFloor restricts the votes of a member that may have lost what it acknowledged.
type VoteFloor struct {
	Last Position // no candidate that has less gets the vote, the member itself included
	Term uint64   // the member may have voted in this term, and does not in it or an earlier one
}

// Allows reports whether a candidate of a term whose log ends at a position may get the vote.
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
	Complete  bool      // the floor covers all that was acknowledged; until then the member does not vote
	Floor     VoteFloor // zero where nothing is known to be lost
	Regressed bool      // the member has less than it acknowledged, for certain
	Missing   []string  // members whose answers are still needed
}

// Folder is the state of a member's folder at its start.
type Folder struct {
	Name, Identity string
	Last           Position // the end of the log
	Term           uint64   // the last in which the member may have voted
	Unreadable     Position // the end of what the folder had and can not be read any more, zero for nothing
	Boot           string   // the machine's current one
	TrustDisk      bool     // the operator trusts that the disk lost nothing
}

// Assess decides for a member that starts with a folder that is not empty. The watermark is nil where there is none.
// members are those that the folder or the configuration names, and answers come from those of them that answered.
func Assess(f Folder, mark *Watermark, members []string, answers map[string]Progress) (r Assessment) {
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
	answered := 0
	for _, name := range members {
		if name == f.Name {
			continue
		}
		if a, ok := answers[name]; ok {
			answered++
			r.Floor = r.Floor.raise(a.Last, a.Term)
		} else {
			r.Missing = append(r.Missing, name)
		}
	}
	slices.Sort(r.Missing)
	r.Complete = answered >= RequiredWitnesses(len(members))
	return r
}
