// Package migration decides when an actor (package actor) migrates to follow its client's device, and to which node. It
// does no I/O, reads no clock and starts no goroutine. An actor moves when its device has settled in another zone that
// has a suitable node. Hysteresis keeps an actor whose device is at a zone border from moving back and forth: each
// return to a zone that it left recently doubles the cooldown. A rate limit for each node bounds the moves when many
// devices change zones at once.
package migration

import (
	"cmp"
	"slices"
)

// Node is a node that can host actors.
type Node struct {
	Name, Zone string
	Load       float64 // from 0 to 1
	Unready    bool    // the node is recovering or shutting down and accepts no actors
}

const msPerSecond = 1000

// moveBudget is a token bucket for the moves to or from one node.
type moveBudget struct{ tokens, refilledAt float64 }

// available refills the bucket and reports whether it has a token for a move.
func (b *moveBudget) available(now float64, r Rules) bool {
	if b.refilledAt == 0 {
		b.tokens = r.MoveBurst
	}
	b.tokens = min(r.MoveBurst, b.tokens+(now-b.refilledAt)/msPerSecond*r.MoveRate)
	b.refilledAt = now
	return b.tokens >= 1
}

// Planner decides on the migrations of the actors on one node.
type Planner struct {
	Rules
	outbound moveBudget
	inbound  map[string]*moveBudget
}

// NewPlanner returns a Planner.
func NewPlanner(r Rules) *Planner { return &Planner{Rules: r, inbound: map[string]*moveBudget{}} }

// Decide returns the node to which an actor on the node here moves, or "" if it stays, and the reason. It is called for
// each call of a client, and nodes is a function because the list is rarely needed.
func (p *Planner) Decide(now float64, d *Device, here Node, nodes func() []Node) (to string, why string) {
	zone, ok := d.settled(now, p.Rules)
	switch {
	case !ok:
		return "", "the device has not settled in a zone"
	case now-d.movedAt < d.cooldown(p.Rules):
		return "", "the actor is in its cooldown after a move"
	}
	if here.Zone == zone && here.Load < p.MaxLoad && !here.Unready {
		return "", "the actor is in the zone of its device"
	}
	to, why = p.target(now, zone, here, nodes())
	if to != "" && !p.outbound.available(now, p.Rules) {
		return "", "rate limit of moves from this node"
	}
	if to != "" {
		p.outbound.tokens--
		p.inbound[to].tokens--
	}
	return to, why
}

// target returns the least loaded node of a zone that accepts the actor, or "" if there is none, and the reason.
func (p *Planner) target(now float64, zone string, here Node, nodes []Node) (string, string) {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(x, y Node) int {
		return cmp.Or(cmp.Compare(x.Load, y.Load), cmp.Compare(x.Name, y.Name))
	})
	why := "no other node in the device's zone"
	for _, n := range nodes {
		if n.Zone != zone || n.Name == here.Name {
			continue
		}
		if p.inbound[n.Name] == nil {
			p.inbound[n.Name] = &moveBudget{}
		}
		switch {
		case n.Unready:
			why = n.Name + " is recovering or shutting down"
		case n.Load >= p.MaxLoad:
			why = n.Name + " is overloaded"
		case here.Zone == zone && !here.Unready && n.Load > here.Load-p.MinImprovement:
			why = "no node of the zone has much less load"
		case !p.inbound[n.Name].available(now, p.Rules):
			why = "rate limit of moves to " + n.Name
		default:
			return n.Name, "the device has settled in " + zone
		}
	}
	return "", why
}

// TakeoverOrder returns the ids of the actors of a lost node or zone, ordered by last call, latest first. The argument
// maps each id to the time of that call.
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
