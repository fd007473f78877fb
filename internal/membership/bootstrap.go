package membership

import "slices"

// A member with an empty folder begins a store, or has lost the folder of one. It can not tell which: the votes and the
// acknowledged writes of the lost folder are gone, and with a new vote of the same name there could be a majority of
// members that lack what another majority acknowledged. Therefore each folder has an identity, created with its first
// content and stored in it. Before a store begins on an empty folder, enough other members, its witnesses, must have
// stored that identity under the member's name, and have known no other. Any two sets of witnesses overlap, so that a
// second folder of the name meets a witness of the first.

// RequiredWitnesses returns how many other members must know a folder before it begins a store of a number of members,
// so that any two such sets overlap.
func RequiredWitnesses(members int) int { return min((members+1)/2, members-1) }

// BootstrapDecision is what a member with an empty folder does.
type BootstrapDecision uint8

// The decisions.
const (
	WaitForWitnesses BootstrapDecision = iota // too few witnesses have answered
	BeginStore                                // no earlier folder of this name can have acknowledged anything
	RejoinStore                               // there was one: the member does not vote until the others add it anew
)

// KnownFolders is the identity that each member which answered knows under the asking member's name.
type KnownFolders map[string]string

// DecideBootstrap decides for a member with an empty folder of an identity. It returns the members that have not
// answered.
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
			return RejoinStore, nil
		default:
			witnesses++
		}
	}
	slices.Sort(missing)
	if witnesses >= RequiredWitnesses(len(members)) {
		return BeginStore, nil
	}
	return WaitForWitnesses, missing
}
