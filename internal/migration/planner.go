// Package migration decides when an actor (package actor) moves after the device of its client, and to which node. It
// does no I/O, reads no clock and starts no goroutine. An actor moves when its device has settled in another zone and
// a node there is worth the move. Hysteresis keeps an actor whose device is at a border from moving back and forth:
// each return to a zone left recently doubles the cooldown. A rate limit for each node bounds the moves when many
// devices change zones at once.
package migration

import (
	"cmp"
	"slices"
)

// Node is one that may host actors.
type Node struct {
	Name, Zone string
	Load       float64 // 0 to 1
	Unready    bool    // it recovers or shuts down, and takes no actors
}

const msPerSecond = 1000

// moveBudget is a token bucket for the moves into or out of one node.
type moveBudget struct{ tokens, refilledAt float64 }

// available refills the bucket, and reports whether a move is left in it.
func (b *moveBudget) available(now float64, r Rules) bool {
	if b.refilledAt == 0 {
		b.tokens = r.MoveBurst
	}
	b.tokens = min(r.MoveBurst, b.tokens+(now-b.refilledAt)/msPerSecond*r.MoveRate)
	b.refilledAt = now
	return b.tokens >= 1
}

// Planner decides for the actors of one node.
type Planner struct {
	Rules
	outbound moveBudget
	inbound  map[string]*moveBudget
}

// NewPlanner returns a Planner.
func NewPlanner(r Rules) *Planner { return &Planner{Rules: r, inbound: map[string]*moveBudget{}} }

// Decide returns the node to which an actor at node here moves, or "", and the reason. It is called for each call of
// a client and rarely needs the nodes.
func (p *Planner) Decide(now float64, d *Device, here Node, nodes func() []Node) (to string, why string) {
	zone, ok := d.settled(now, p.Rules)
	switch {
	case !ok:
		return "", "its device has not settled"
	case now-d.movedAt < d.cooldown(p.Rules):
		return "", "it moved lately"
	}
	if here.Zone == zone && here.Load < p.MaxLoad && !here.Unready {
		return "", "it is where its device is"
	}
	to, why = p.target(now, zone, here, nodes())
	if to != "" && !p.outbound.available(now, p.Rules) {
		return "", "enough actors move from here"
	}
	if to != "" {
		p.outbound.tokens--
		p.inbound[to].tokens--
	}
	return to, why
}

// target returns the least loaded node of a zone that takes actors, or "", and the reason.
func (p *Planner) target(now float64, zone string, here Node, nodes []Node) (string, string) {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(x, y Node) int {
		return cmp.Or(cmp.Compare(x.Load, y.Load), cmp.Compare(x.Name, y.Name))
	})
	why := "no node of its zone is there"
	for _, n := range nodes {
		if n.Zone != zone || n.Name == here.Name {
			continue
		}
		if p.inbound[n.Name] == nil {
			p.inbound[n.Name] = &moveBudget{}
		}
		switch {
		case n.Unready:
			why = n.Name + " is coming back or leaving"
		case n.Load >= p.MaxLoad:
			why = n.Name + " is full"
		case here.Zone == zone && !here.Unready && n.Load > here.Load-p.MinImprovement:
			why = "no node of its zone is much better"
		case !p.inbound[n.Name].available(now, p.Rules):
			why = "enough actors move to " + n.Name
		default:
			return n.Name, "its device is in " + zone
		}
	}
	return "", why
}

// TakeoverOrder orders the actors of a lost node or zone by their last call, latest first. Its argument is the time
// of that call by id.
func TakeoverOrder(lastCalls map[string]float64) []string {
	out := make([]string, 0, len(lastCalls))
	for id := range lastCalls {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(lastCalls[b], lastCalls[a]), cmp.Compare(a, b))
	})
	return out
}
