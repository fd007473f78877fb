package migration

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

func nodes(loads ...float64) (out []Node) {
	for i, l := range loads {
		out = append(out, Node{Name: fmt.Sprint("n", i), Zone: []string{"a", "b", "c"}[i%3], Load: l})
	}
	return out
}

// drive has a device call every 100 ms, each time from a zone, and gives the moves.
func drive(r Rules, all []Node, from Node, zones func(i int) string, calls int) (moves []string) {
	b, d, here := NewPlanner(r), &Device{}, from
	for i := range calls {
		now := float64(100 * i)
		d.ObserveCall(zones(i), now, r)
		if to, _ := b.Decide(now, d, here, func() []Node { return all }); to != "" {
			for _, n := range all {
				if n.Name == to {
					d.RecordMove(here.Zone, n.Zone, now, r)
					here = n
				}
			}
			moves = append(moves, to)
		}
	}
	return moves
}

func TestFollows(t *testing.T) {
	all := nodes(0.1, 0.1, 0.1, 0, 0.5, 0.95)
	back := nodes(0.1, 0.1, 0.1)
	back[1].Unready = true
	for _, x := range []struct {
		what  string
		all   []Node
		zones func(int) string
		want  string
	}{
		{"stays with its device", all, func(int) string { return "a" }, "[]"},
		{"follows once", all, func(i int) string { return map[bool]string{true: "a", false: "b"}[i < 20] }, "[n1]"},
		{"a call from elsewhere now and then moves nothing", all, func(i int) string { return map[bool]string{true: "b", false: "a"}[i%7 == 6] }, "[]"},
		{"not to a node that is coming back", back, func(int) string { return "b" }, "[]"},
		{"nor to a full one", nodes(0.1, 0.95, 0.1), func(int) string { return "b" }, "[]"},
		{"to the least loaded", nodes(0.1, 0.8, 0.1, 0.1, 0.2), func(int) string { return "b" }, "[n4]"},
	} {
		if got := fmt.Sprint(drive(DefaultRules(), x.all, x.all[0], x.zones, 100)); got != x.want {
			t.Errorf("%s: %s, want %s", x.what, got, x.want)
		}
	}
	// On a border, half a second here and half a second there for ten minutes: a few moves, ever further apart.
	if n := len(drive(DefaultRules(), all, all[0], func(i int) string { return []string{"a", "b"}[i/8%2] }, 6000)); n > 12 {
		t.Errorf("%d moves of a device on a border", n)
	}
}

// Whatever devices do: no more actors move into or out of a node than its budget, none to a node that takes none, and none sooner after
// its last move than it is to stay.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := DefaultRules()
		r.MoveRate, r.MoveBurst, r.Cooldown = 2, 3, 500
		all := nodes(0.1, 0.2, 0.3)
		b := NewPlanner(r)
		type state struct {
			d     *Device
			here  Node
			moved float64
		}
		actors := make([]state, 30)
		for i := range actors {
			actors[i] = state{&Device{}, all[0], -1e9}
		}
		moves := map[string][]float64{}
		now := 1.0
		for range rapid.IntRange(20, 120).Draw(t, "rounds") {
			now += float64(rapid.IntRange(50, 400).Draw(t, "ms"))
			all[rapid.IntRange(0, 2).Draw(t, "node")].Unready = rapid.IntRange(0, 4).Draw(t, "back") == 0
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			for i := range actors {
				s := &actors[i]
				s.d.ObserveCall(zone, now, r)
				to, _ := b.Decide(now, s.d, s.here, func() []Node { return all })
				if to == "" {
					continue
				}
				for _, n := range all {
					if n.Name != to {
						continue
					}
					if n.Unready || n.Load >= r.MaxLoad || n.Name == s.here.Name {
						t.Fatalf("an actor moves from %+v to %+v", s.here, n)
					}
					if now-s.moved < r.Cooldown {
						t.Fatalf("an actor moves %v ms after it moved", now-s.moved)
					}
					s.d.RecordMove(s.here.Zone, n.Zone, now, r)
					s.here, s.moved = n, now
					moves[to] = append(moves[to], now)
				}
			}
		}
		for name, at := range moves {
			for i := range at {
				n := 0
				for _, x := range at[i:] {
					if x-at[i] <= 1000 {
						n++
					}
				}
				if n > int(r.MoveBurst+r.MoveRate)+1 {
					t.Fatalf("%d moves into %s within a second", n, name)
				}
			}
		}
	})
}

func TestLostDesksThatCallFirst(t *testing.T) {
	if got := fmt.Sprint(TakeoverOrder(map[string]float64{"a": 1, "b": 9, "c": 9})); got != "[b c a]" {
		t.Error(got)
	}
}
