// Package membership decides about the members of the replicated store: who may join, become a voter or leave without
// costing the store its quorum, whether a member with an empty folder begins a store, and for whom a member may vote
// that may have lost what it acknowledged. It does no I/O, reads no clock and starts no goroutine; its callers own all
// state.
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

// Cluster is all members.
type Cluster []Server

// Verb is the kind of a Change.
type Verb uint8

// The verbs.
const (
	NoChange Verb = iota
	AddNonvoter
	AddVoter
	Remove
	Replace // remove the member of this name, then add it at the new address as a non-voter
)

// Change is a change of the membership.
type Change struct {
	Verb          Verb
	Name, Address string
}

// Reasons for which a change is rejected.
var (
	ErrUnknown       = errors.New("no member has this name")
	ErrDuplicateName = errors.New("a member of this name is alive at another address: the same name was started twice")
	ErrAddressInUse  = errors.New("a member of another name is at this address")
	ErrQuorum        = errors.New("the members left would have no quorum")
	ErrAlive         = errors.New("the member is alive: have it leave")
	ErrIncomplete    = errors.New("a name and an address are needed")
)

func (c Cluster) find(name string) (Server, bool) {
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

// without returns the cluster without a member.
func (c Cluster) without(name string) Cluster {
	return slices.DeleteFunc(slices.Clone(c), func(s Server) bool { return s.Name == name })
}

// Join decides about a node that asks to be a member. It starts as a non-voter: a member that has not caught up must
// not count for the majority, or adding it could cost the store its quorum. For a member at its address nothing
// changes. One that comes back at another address, or anew, that is with an empty folder, replaces its former self.
func (c Cluster) Join(name, address string, anew bool) (Change, error) {
	if name == "" || address == "" {
		return Change{}, ErrIncomplete
	}
	for _, s := range c {
		if s.Address == address && s.Name != name {
			return Change{}, fmt.Errorf("%w: %s", ErrAddressInUse, s.Name)
		}
	}
	old, ok := c.find(name)
	switch {
	case !ok:
		return Change{AddNonvoter, name, address}, nil
	case old.Address == address && !anew:
		return Change{}, nil
	case old.Alive && old.Address != address:
		return Change{}, fmt.Errorf("%w: %s", ErrDuplicateName, old.Address)
	case !c.without(name).hasQuorum():
		return Change{}, ErrQuorum
	}
	return Change{Replace, name, address}, nil
}

// Promote decides about a non-voter that lags by a number of entries: it becomes a voter if that is at most maxLag and
// there are fewer than maxVoters. Each further voter makes writes wait for more disks; non-voters have all that is
// written and serve reads.
func (c Cluster) Promote(name string, lag uint64, maxLag uint64, maxVoters int) (Change, error) {
	s, ok := c.find(name)
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
		return Change{}, nil // a voter that does not vote would only raise the size of a majority
	}
	x := Change{AddVoter, s.Name, s.Address}
	if !c.Apply(x).hasQuorum() {
		return Change{}, ErrQuorum
	}
	return x, nil
}

// Leave decides about a member that asks to leave.
func (c Cluster) Leave(name string) (Change, error) { return c.remove(name, true) }

// Remove decides about a member that others want removed: an unresponsive one, unless forced.
func (c Cluster) Remove(name string, force bool) (Change, error) { return c.remove(name, force) }

// remove decides about the removal of a member, which may be alive or not.
func (c Cluster) remove(name string, mayBeAlive bool) (Change, error) {
	s, ok := c.find(name)
	left := c.without(name)
	voters := 0
	for _, x := range left {
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
	case !left.hasQuorum():
		return Change{}, ErrQuorum
	}
	return Change{Remove, s.Name, s.Address}, nil
}

// Apply returns the cluster after a change, for deciding about several in turn.
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
