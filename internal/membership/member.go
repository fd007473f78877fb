// Package membership decides about the store's membership: who may join, become a voter, or go, so that no change asked for
// costs the store its quorum. It does no I/O and reads no clock; the leader of the store carries out what it says.
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

// Cluster are all members.
type Cluster []Server

// Verb is what is to be done.
type Verb uint8

// The verbs.
const (
	NoChange Verb = iota
	AddNonvoter
	AddVoter
	Remove
	Replace // remove the one of this name, then add it at the new address as a non-voter
)

// Change is a change of the membership.
type Change struct {
	Verb          Verb
	Name, Address string
}

// Refusals.
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

// hasQuorum says whether more than half of the voters are alive.
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

// without is the cluster after a member has gone.
func (c Cluster) without(name string) Cluster {
	return slices.DeleteFunc(slices.Clone(c), func(s Server) bool { return s.Name == name })
}

// Join decides about a node that asks to be a member. It begins as a non-voter: one that is not caught up must not count
// for a majority, or the store could lose it by adding a member. One that is there already changes nothing; one that comes
// back at another address, or anew, with nothing of what it held, takes the former one's place.
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

// Promote decides about a non-voter that says it is caught up: it votes while there are fewer than most voters. More
// voters make each write wait for more disks; members past them have all that is written and serve reads.
func (c Cluster) Promote(name string, behind uint64, near uint64, most int) (Change, error) {
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
	case s.Voter || !s.Alive || voters >= most || behind > near:
		return Change{}, nil // a vote that is never given would only raise what a majority takes
	}
	x := Change{AddVoter, s.Name, s.Address}
	if !c.Apply(x).hasQuorum() {
		return Change{}, ErrQuorum
	}
	return x, nil
}

// Leave decides about a member that asks to go, and Drop about one that others want gone: a dead one, unless forced.
func (c Cluster) Leave(name string) (Change, error) { return c.remove(name, true) }

// Remove removes a member that does not ask for it.
func (c Cluster) Remove(name string, force bool) (Change, error) { return c.remove(name, force) }

func (c Cluster) remove(name string, alive bool) (Change, error) {
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
	case s.Alive && !alive:
		return Change{}, ErrAlive
	case s.Voter && voters == 0:
		return Change{}, fmt.Errorf("%w: it is the last voter", ErrQuorum)
	case !left.hasQuorum():
		return Change{}, ErrQuorum
	}
	return Change{Remove, s.Name, s.Address}, nil
}

// Apply is the cluster after a change, for those who decide about several in turn.
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
