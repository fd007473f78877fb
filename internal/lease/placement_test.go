package lease

import (
	"fmt"
	"testing"
)

// Ten thousand partitions are spread evenly over a hundred nodes, and when a node is lost only its own partitions move.
func TestPlacementIsEvenAndMovesOnlyPartitionsOfALostNode(t *testing.T) {
	var nodes []string
	for i := range 100 {
		nodes = append(nodes, fmt.Sprintf("n%d", i))
	}
	count, moved, lost := map[string]int{}, 0, 0
	for i := range 10000 {
		key := fmt.Sprintf("n%d.%012x", i, i)
		before, after := PreferredNode(key, nodes), PreferredNode(key, nodes[1:])
		count[before]++
		if before == nodes[0] {
			lost++
		} else if after != before {
			moved++
		}
	}
	for node, n := range count {
		if n < 60 || n > 145 {
			t.Errorf("%s has %d of 10,000 partitions among 100 nodes, want 60 to 145", node, n)
		}
	}
	if moved > 0 || lost == 0 {
		t.Errorf("%d partitions of other nodes moved when a node with %d partitions was lost, want 0", moved, lost)
	}
}
