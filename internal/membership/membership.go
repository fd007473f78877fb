// Package membership contains the rules for members of the replicated store: which nodes may join, become voters or
// leave without the store losing its quorum, whether a member with an empty folder bootstraps a store, and how the
// votes of a member are restricted that may have lost acknowledged entries. It does no I/O, reads no clock and starts
// no goroutine; its callers own all state.
package membership

import (
	"errors"
	"fmt"
	"slices"
)

// Server is a member as the leader sees it.
type Server struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Alive   bool   `json:"alive"`
	Leader  bool   `json:"leader"`
}

// Cluster is the set of all members.
type Cluster []Server

// Verb is the kind of a Change.
type Verb uint8

// Verbs of changes.
const (
	NoChange Verb = iota
	AddNonvoter
	AddVoter
	Remove
	Replace // remove the member of this name, then add it as a non-voter at the new address
)

// Change is a change of the membership.
type Change struct {
	Verb          Verb
	Name, Address string
}

// Errors for changes that are rejected.
var (
	ErrUnknown       = errors.New("no member has this name")
	ErrDuplicateName = errors.New("a member of this name is alive at another address: the same name was started twice")
	ErrAddressInUse  = errors.New("a member of another name is at this address")
	ErrQuorum        = errors.New("the remaining members would have no quorum")
	ErrAlive         = errors.New("the member is alive and must leave by itself")
	ErrIncomplete    = errors.New("a name and an address are required")
)

// Find returns the member of a name.
func (c Cluster) Find(name string) (Server, bool) {
	i := slices.IndexFunc(c, func(s Server) bool { return s.Name == name })
	if i < 0 {
		return Server{}, false
	}
	return c[i], true
}

// hasQuorum reports whether more than half of the voters are alive.
func (c Cluster) hasQuorum() bool {
	voters, alive := 0, 0
	for _, s := range c {
		if s.Voter {
			voters++
			if s.Alive {
				alive++
			}
		}
	}
	return alive > voters/2
}

// without returns a copy of the cluster without a member.
func (c Cluster) without(name string) Cluster {
	return slices.DeleteFunc(slices.Clone(c), func(s Server) bool { return s.Name == name })
}

// Join decides about a node that asks to become a member. It is added as a non-voter: if a member that has not caught
// up counted for the majority, adding it could cost the store its quorum. A node that is a member at the same address
// causes no change. A member that returns at another address or with an empty folder is replaced.
func (c Cluster) Join(name, address string, emptyFolder bool) (Change, error) {
	if name == "" || address == "" {
		return Change{}, ErrIncomplete
	}
	for _, s := range c {
		if s.Address == address && s.Name != name {
			return Change{}, fmt.Errorf("%w: %s", ErrAddressInUse, s.Name)
		}
	}
	old, ok := c.Find(name)
	switch {
	case !ok:
		return Change{AddNonvoter, name, address}, nil
	case old.Address == address && !emptyFolder:
		return Change{}, nil
	case old.Alive && old.Address != address:
		return Change{}, fmt.Errorf("%w: %s", ErrDuplicateName, old.Address)
	case !c.without(name).hasQuorum():
		return Change{}, ErrQuorum
	}
	return Change{Replace, name, address}, nil
}

// Promote decides about a non-voter that lags by a number of entries. It becomes a voter if the lag is at most maxLag
// and there are fewer than maxVoters voters. Each further voter makes writes wait for more disks; non-voters receive
// all writes and serve reads.
func (c Cluster) Promote(name string, lag uint64, maxLag uint64, maxVoters int) (Change, error) {
	s, ok := c.Find(name)
	voters := 0
	for _, x := range c {
		if x.Voter {
			voters++
		}
	}
	switch {
	case !ok:
		return Change{}, ErrUnknown
	case s.Voter || !s.Alive || voters >= maxVoters || lag > maxLag:
		return Change{}, nil // a voter that is not alive would only increase the size of a majority
	}
	x := Change{AddVoter, s.Name, s.Address}
	if !c.Apply(x).hasQuorum() {
		return Change{}, ErrQuorum
	}
	return x, nil
}

// Leave decides about a member that asks to leave.
func (c Cluster) Leave(name string) (Change, error) { return c.remove(name, true) }

// Remove decides about the removal of a member by an operator. Without force, only an unresponsive member is removed.
func (c Cluster) Remove(name string, force bool) (Change, error) { return c.remove(name, force) }

// remove decides about the removal of a member. It is rejected for a member that is alive unless mayBeAlive is set.
func (c Cluster) remove(name string, mayBeAlive bool) (Change, error) {
	s, ok := c.Find(name)
	remaining := c.without(name)
	voters := 0
	for _, x := range remaining {
		if x.Voter {
			voters++
		}
	}
	switch {
	case !ok:
		return Change{}, ErrUnknown
	case s.Alive && !mayBeAlive:
		return Change{}, ErrAlive
	case s.Voter && voters == 0:
		return Change{}, fmt.Errorf("%w: it is the last voter", ErrQuorum)
	case !remaining.hasQuorum():
		return Change{}, ErrQuorum
	}
	return Change{Remove, s.Name, s.Address}, nil
}

// Apply returns the cluster after a change, so that several changes can be decided in sequence.
func (c Cluster) Apply(x Change) Cluster {
	out := slices.Clone(c)
	switch x.Verb {
	case AddNonvoter:
		return append(out, Server{Name: x.Name, Address: x.Address, Alive: true})
	case AddVoter:
		for i := range out {
			if out[i].Name == x.Name {
				out[i].Voter = true
			}
		}
	case Remove:
		return c.without(x.Name)
	case Replace:
		return append(c.without(x.Name), Server{Name: x.Name, Address: x.Address, Alive: true})
	}
	return out
}
