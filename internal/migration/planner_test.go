package migration

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

// nodes returns nodes of these loads, in zones a, b and c in turn.
func nodes(loads ...float64) (out []Node) {
	for i, load := range loads {
		out = append(out, Node{Name: fmt.Sprint("n", i), Zone: []string{"a", "b", "c"}[i%3], Load: load})
	}
	return out
}

// drive has a device call every 100 ms, each time from a zone, and returns the moves.
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
	leavesAfter := func(i int) string { return map[bool]string{true: "a", false: "b"}[i < 20] }
	seldomElsewhere := func(i int) string { return map[bool]string{true: "b", false: "a"}[i%7 == 6] }
	for _, c := range []struct {
		name  string
		all   []Node
		zones func(int) string
		want  string
	}{
		{"stays with its device", all, always("a"), "[]"},
		{"follows once", all, leavesAfter, "[n1]"},
		{"a call from elsewhere now and then moves nothing", all, seldomElsewhere, "[]"},
		{"not to a node that recovers", recovering, always("b"), "[]"},
		{"nor to a full one", nodes(0.1, 0.95, 0.1), always("b"), "[]"},
		{"to the least loaded", nodes(0.1, 0.8, 0.1, 0.1, 0.2), always("b"), "[n4]"},
	} {
		if got := fmt.Sprint(drive(DefaultRules(), c.all, c.all[0], c.zones, 100)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	// On a border, half a second here and half a second there for ten minutes: a few moves, ever further apart.
	border := func(i int) string { return []string{"a", "b"}[i/8%2] }
	if n := len(drive(DefaultRules(), all, all[0], border, 6000)); n > 12 {
		t.Errorf("%d moves of a device on a border", n)
	}
}

// hostedActor is an actor of the fleet below.
type hostedActor struct {
	device  *Device
	here    Node
	movedAt float64
}

// actorFleet moves actors between nodes by one planner, and records the moves.
type actorFleet struct {
	t       *rapid.T
	rules   Rules
	planner *Planner
	nodes   []Node
	now     float64
	moves   map[string][]float64 // when actors moved to a node
}

// call has a device call from a zone, and fails the test for a move that is not allowed.
func (f *actorFleet) call(a *hostedActor, zone string) {
	a.device.ObserveCall(zone, f.now, f.rules)
	to, _ := f.planner.Decide(f.now, a.device, a.here, func() []Node { return f.nodes })
	if to == "" {
		return
	}
	target := f.nodes[slices.IndexFunc(f.nodes, func(n Node) bool { return n.Name == to })]
	if target.Unready || target.Load >= f.rules.MaxLoad || target.Name == a.here.Name {
		f.t.Fatalf("an actor moves from %+v to %+v", a.here, target)
	}
	if f.now-a.movedAt < f.rules.Cooldown {
		f.t.Fatalf("an actor moves %v ms after it moved", f.now-a.movedAt)
	}
	a.device.RecordMove(a.here.Zone, target.Zone, f.now, f.rules)
	a.here, a.movedAt = target, f.now
	f.moves[to] = append(f.moves[to], f.now)
}

// checkBudgets fails the test if more actors moved into a node within a second than its budget allows.
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
				f.t.Fatalf("%d moves into %s within a second", within, name)
			}
		}
	}
}

// Whatever devices do: no more actors move into a node than its budget allows, none to a node that takes none, and none
// sooner after its last move than the cooldown.
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
