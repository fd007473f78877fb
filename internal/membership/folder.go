package membership

import "slices"

// A member that finds its folder empty begins a store, or has forgotten one. It can not tell by itself: votes that it gave and
// writes that it acknowledged under its name are gone, and if it voted anew a majority could be made of some that never had
// what another majority promised. So each folder has an identity, made when it first holds anything and kept in it, and before
// an empty one begins enough others must have put on their own disks that it is this one's, and have known no other under its
// name. Any two such groups of others have a member in common, which tells the second folder of the first.

// RequiredWitnesses is how many others must know a folder before it begins, of a store of so many members: with them any two groups
// of others overlap.
func RequiredWitnesses(members int) int { return min((members+1)/2, members-1) }

// BootstrapDecision is what a member with an empty folder does.
type BootstrapDecision uint8

// The verdicts.
const (
	WaitForWitnesses BootstrapDecision = iota // too few have answered
	BeginStore                                // nobody can have been promised anything by an earlier folder of this name
	RejoinStore                               // there was one: it neither votes nor counts until those who remember let it in anew
)

// KnownFolders is what the others answered of those that were asked about a folder: the identity that they know under its name.
type KnownFolders map[string]string

// DecideBootstrap decides for a member with an empty folder of an identity, in a store of some members.
func DecideBootstrap(self, folder string, members []string, answers KnownFolders) (v BootstrapDecision, missing []string) {
	yes := 0
	for _, name := range members {
		known, heard := answers[name]
		switch {
		case name == self:
		case !heard:
			missing = append(missing, name)
		case known != folder:
			return RejoinStore, nil
		default:
			yes++
		}
	}
	slices.Sort(missing)
	if yes >= RequiredWitnesses(len(members)) {
		return BeginStore, nil
	}
	return WaitForWitnesses, missing
}
