package migration

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

// nodes returns nodes with the given loads, in zones a, b and c in turn.
func nodes(loads ...float64) (out []Node) {
	for i, load := range loads {
		out = append(out, Node{Name: fmt.Sprint("n", i), Zone: []string{"a", "b", "c"}[i%3], Load: load})
	}
	return out
}

// drive simulates a device that calls every 100 ms from the zone of the i-th call, and returns the actor's moves.
func drive(rules Rules, all []Node, from Node, zones func(i int) string, calls int) (moves []string) {
	planner, device, here := NewPlanner(rules), &Device{}, from
	for i := range calls {
		now := float64(100 * i)
		device.ObserveCall(zones(i), now, rules)
		to, _ := planner.Decide(now, device, here, func() []Node { return all })
		if to == "" {
			continue
		}
		target := all[slices.IndexFunc(all, func(n Node) bool { return n.Name == to })]
		device.RecordMove(here.Zone, target.Zone, now, rules)
		here = target
		moves = append(moves, to)
	}
	return moves
}

func always(zone string) func(int) string { return func(int) string { return zone } }

func TestActorFollowsItsDeviceToAReadyNode(t *testing.T) {
	all := nodes(0.1, 0.1, 0.1, 0, 0.5, 0.95)
	recovering := nodes(0.1, 0.1, 0.1)
	recovering[1].Unready = true
	changesZone := func(i int) string { return map[bool]string{true: "a", false: "b"}[i < 20] }
	rarelyElsewhere := func(i int) string { return map[bool]string{true: "b", false: "a"}[i%7 == 6] }
	for _, c := range []struct {
		name  string
		all   []Node
		zones func(int) string
		want  string
	}{
		{"device stays in the zone of the actor", all, always("a"), "[]"},
		{"device changes zone once", all, changesZone, "[n1]"},
		{"occasional calls from another zone", all, rarelyElsewhere, "[]"},
		{"only node of the zone is recovering", recovering, always("b"), "[]"},
		{"only node of the zone is overloaded", nodes(0.1, 0.95, 0.1), always("b"), "[]"},
		{"least loaded node of the zone is chosen", nodes(0.1, 0.8, 0.1, 0.1, 0.2), always("b"), "[n4]"},
	} {
		if got := fmt.Sprint(drive(DefaultRules(), c.all, c.all[0], c.zones, 100)); got != c.want {
			t.Errorf("%s: moves %s, want %s", c.name, got, c.want)
		}
	}
	// At a zone border, a device that alternates every 800 ms for ten minutes causes only a few moves.
	border := func(i int) string { return []string{"a", "b"}[i/8%2] }
	if n := len(drive(DefaultRules(), all, all[0], border, 6000)); n > 12 {
		t.Errorf("%d moves for a device at a zone border, want at most 12", n)
	}
}

// hostedActor is an actor of an actorFleet.
type hostedActor struct {
	device  *Device
	here    Node
	movedAt float64
}

// actorFleet moves actors between nodes with one Planner and records the moves.
type actorFleet struct {
	t       *rapid.T
	rules   Rules
	planner *Planner
	nodes   []Node
	now     float64
	moves   map[string][]float64 // times of moves, by target node
}

// call simulates a call from a zone, and fails the test if it causes a move that the rules do not allow.
func (f *actorFleet) call(a *hostedActor, zone string) {
	a.device.ObserveCall(zone, f.now, f.rules)
	to, _ := f.planner.Decide(f.now, a.device, a.here, func() []Node { return f.nodes })
	if to == "" {
		return
	}
	target := f.nodes[slices.IndexFunc(f.nodes, func(n Node) bool { return n.Name == to })]
	if target.Unready || target.Load >= f.rules.MaxLoad || target.Name == a.here.Name {
		f.t.Fatalf("actor moved from %+v to %+v, which accepts none", a.here, target)
	}
	if f.now-a.movedAt < f.rules.Cooldown {
		f.t.Fatalf("actor moved %v ms after its previous move", f.now-a.movedAt)
	}
	a.device.RecordMove(a.here.Zone, target.Zone, f.now, f.rules)
	a.here, a.movedAt = target, f.now
	f.moves[to] = append(f.moves[to], f.now)
}

// checkBudgets fails the test if more actors moved to a node within a second than its budget allows.
func (f *actorFleet) checkBudgets() {
	for name, times := range f.moves {
		for i, from := range times {
			within := 0
			for _, at := range times[i:] {
				if at-from <= msPerSecond {
					within++
				}
			}
			if within > int(f.rules.MoveBurst+f.rules.MoveRate)+1 {
				f.t.Fatalf("%d moves to %s within a second exceed its budget", within, name)
			}
		}
	}
}

// For any calls of the devices: no more actors move to a node than its budget allows, none to a node that accepts none,
// and none earlier than the cooldown after its previous move.
func TestMovesKeepBudgetsAndCooldowns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := DefaultRules()
		rules.MoveRate, rules.MoveBurst, rules.Cooldown = 2, 3, 500
		f := &actorFleet{t: t, rules: rules, planner: NewPlanner(rules), nodes: nodes(0.1, 0.2, 0.3), now: 1,
			moves: map[string][]float64{}}
		actors := make([]hostedActor, 30)
		for i := range actors {
			actors[i] = hostedActor{&Device{}, f.nodes[0], -1e9}
		}
		for range rapid.IntRange(20, 120).Draw(t, "rounds") {
			f.now += float64(rapid.IntRange(50, 400).Draw(t, "ms"))
			f.nodes[rapid.IntRange(0, 2).Draw(t, "node")].Unready = rapid.IntRange(0, 4).Draw(t, "unready") == 0
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			for i := range actors {
				f.call(&actors[i], zone)
			}
		}
		f.checkBudgets()
	})
}

func TestTakeoverStartsWithTheLatestCall(t *testing.T) {
	if got := fmt.Sprint(TakeoverOrder(map[string]float64{"a": 1, "b": 9, "c": 9})); got != "[b c a]" {
		t.Error(got)
	}
}
