package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// restartRanks is the lead in ranks of the owner's own node over all others: it gives its next process time to start.
const restartRanks = 4

// PreferredNode returns the node to which rendezvous hashing assigns a key. The result does not depend on the order
// of the nodes.
func PreferredNode(key string, nodes []string) string {
	sorted := slices.Sorted(slices.Values(nodes))
	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(key)
}

// rank returns the number of nodes with a lease that may claim a partition before the given node. The next incarnation
// of the owner's node comes first, because it has the partition's disk and address. The others follow in the order of
// rendezvous hashing, which spreads the partitions of a lost node over all others and moves few partitions when a node
// joins or leaves.
func rank(partition Partition, node string, leases map[string]Lease) int {
	if partition.Owner.Node == node {
		return 0
	}
	candidates := []string{node}
	for name := range leases {
		if name != node {
			candidates = append(candidates, name)
		}
	}
	before := 0
	if at := slices.Index(candidates, partition.Owner.Node); at >= 0 {
		candidates, before = slices.Delete(candidates, at, at+1), restartRanks
	}
	for {
		next := PreferredNode(partition.Key, candidates)
		if next == node {
			return before
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == next })
		before++
	}
}
