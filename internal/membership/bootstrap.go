package membership

import "slices"

// A member with an empty folder either belongs to a new store or has lost its folder, and cannot distinguish the two.
// If the folder was lost, so were its votes and acknowledged writes, and with a new vote under the same name a majority
// could form that lacks what another majority acknowledged. Each folder therefore has an identity, which is created
// with its first content and stored in it. Before a member bootstraps a store on an empty folder, enough other members,
// its witnesses, must have stored that identity under the member's name and must not know another one. Any two sets of
// witnesses overlap, so that for a second folder of the same name at least one witness knows the first.

// RequiredWitnesses returns the number of other members that must know a folder before a store with a number of members
// is bootstrapped on it. Any two sets of so many witnesses overlap.
func RequiredWitnesses(members int) int { return min((members+1)/2, members-1) }

// BootstrapDecision is the action of a member with an empty folder.
type BootstrapDecision uint8

// Decisions of DecideBootstrap.
const (
	WaitForWitnesses BootstrapDecision = iota // too few witnesses have answered
	Bootstrap                                 // no earlier folder of this name can have acknowledged an entry
	Rejoin                                    // an earlier folder is known: no vote until the others add it again
)

// KnownFolders maps each member that answered to the folder identity that it knows under the asking member's name.
type KnownFolders map[string]string

// DecideBootstrap decides what the member self does whose folder is empty and has the given identity. If it must wait,
// missing has the members that have not answered.
func DecideBootstrap(
	self, folder string, members []string, answers KnownFolders,
) (decision BootstrapDecision, missing []string) {
	witnesses := 0
	for _, name := range members {
		known, answered := answers[name]
		switch {
		case name == self:
		case !answered:
			missing = append(missing, name)
		case known != folder:
			return Rejoin, nil
		default:
			witnesses++
		}
	}
	slices.Sort(missing)
	if witnesses >= RequiredWitnesses(len(members)) {
		return Bootstrap, nil
	}
	return WaitForWitnesses, missing
}
