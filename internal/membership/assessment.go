package membership

import (
	"fmt"
	"slices"
)

// A disk may lose writes that it reported as flushed, and a folder may be restored from a backup. The member then has
// fewer entries than it acknowledged, under the same identity. If it voted for a candidate that lacks an acknowledged
// write, that candidate could win although a majority had the write. Before a member votes, it therefore assesses
// whether it may have lost entries. If so, it votes as if it had lost none: only for candidates whose log reaches at
// least as far. This needs neither a leader nor a change of membership, and the member may acknowledge new entries at
// once, because it has those.
//
// There are two sources of information. The watermark, a file in the machine's memory outside of the folder, contains
// the last acknowledged position and the last term in which the member voted. It outlives the process and is valid for
// one boot. Without a watermark the member asks the other members: any majority that acknowledged an entry together
// with this member includes one of the members that answered, if there are enough of them (RequiredWitnesses). A
// candidate whose log reaches as far as theirs therefore has all that this member acknowledged.

// Position is a position in the log. Positions are ordered by term and then by index.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Less reports whether p precedes q: a log that ends at p is less complete than one that ends at q.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index
}

func (p Position) String() string { return fmt.Sprintf("entry %d of term %d", p.Index, p.Term) }

// Watermark is the record in the machine's memory of what a member acknowledged.
type Watermark struct {
	Folder, Boot string   // the folder's identity and the machine's boot for which it is valid
	Last         Position // the last acknowledged position
	Term         uint64   // the last term in which the member may have voted
}

// Progress is the last position and the term that another member reports.
type Progress struct {
	Last Position `json:"last"`
	Term uint64   `json:"term"`
}

// VoteFloor restricts the votes of a member that may have lost what it acknowledged.
type VoteFloor struct {
	Last Position // candidates whose log ends before this get no vote, the member itself included
	Term uint64   // the member may have voted in this term and does not vote in it or an earlier one
}

// Allows reports whether the member may vote, in a term, for a candidate whose log ends at a position.
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

// Assessment is the result of Assess: what a member is known to have acknowledged.
type Assessment struct {
	Complete  bool      // the floor covers all that the member acknowledged; if false, it does not vote
	Floor     VoteFloor // zero if nothing is known to be lost
	Regressed bool      // the member has certainly lost acknowledged entries or a vote
	Missing   []string  // members whose answers are still needed
}

// Folder is the state of a member's folder when the member starts.
type Folder struct {
	Name, Identity string
	Last           Position // the end of the log
	Term           uint64   // the last term in which the member may have voted
	Unreadable     Position // the last entry that was in the folder and cannot be read, zero for none
	Boot           string   // the machine's current boot
	TrustDisk      bool     // the operator asserts that the disk has lost nothing
}

// Assess determines which votes a member may give that starts with a non-empty folder. mark is nil if there is no
// watermark, members are the names from the folder and the configuration, and answers has the progress of those members
// that answered.
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
