package recovery

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// For any number of nodes and any salt, no two nodes have the same slot, each node has one slot per round, and the
// slots are evenly spaced.
func TestTimeSlotsOfAllNodesAreEvenlySpaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, salt := rapid.IntRange(2, 400).Draw(t, "nodes"), rapid.Uint64().Draw(t, "salt")
		round, now := rapid.Float64Range(100, 20000).Draw(t, "round"), rapid.Float64Range(0, 1e12).Draw(t, "now")
		var slots []float64
		for node := range nodes {
			next := TimeSlots{node, nodes, salt}.Next(now, round)
			if next < 0 || next >= round*(1+1e-9) {
				t.Fatalf("node %d of %d: next slot in %v ms, outside a round of %v ms", node, nodes, next, round)
			}
			slots = append(slots, next)
		}
		slices.Sort(slots)
		even := round / float64(nodes)
		for i := 1; i < nodes; i++ {
			if gap := slots[i] - slots[i-1]; math.Abs(gap-even) > even*0.1+0.1 {
				t.Fatalf("gap of %v ms between slots of %d nodes in a round of %v ms", gap, nodes, round)
			}
		}
	})
}

// A resource gets fewer calls the longer it fails.
func TestSlotBackoffSkipsMoreRoundsAfterEachFailure(t *testing.T) {
	backoff := SlotBackoff{TimeSlots: TimeSlots{Node: 3, Nodes: 10, Salt: 7}, Round: 1000, MaxSkipped: 60}
	now := backoff.First(0)
	var gaps []float64
	for range 12 {
		last := now
		now += backoff.Retry(now)
		gaps = append(gaps, now-last)
	}
	if gaps[0] > 1001 || gaps[11] < 30000 || gaps[11] > 120000 {
		t.Errorf("gaps in ms between calls: %v", gaps)
	}
}
