package lease

import "testing"

func TestPartitionKeyRoundTrip(t *testing.T) {
	for _, incarnation := range []Incarnation{{"n0", 0}, {"a.b", 1 << 40}, {"n-1", 5}} {
		if got, ok := ParsePartitionKey(incarnation.PartitionKey()); !ok || got != incarnation {
			t.Errorf("partition key of %v parsed as %v, %v", incarnation, got, ok)
		}
	}
	for _, text := range []string{"", ".", "n0", "n0.", "n0.xyz", ".000000000001", "n0.1"} {
		if incarnation, ok := ParsePartitionKey(text); ok {
			t.Errorf("%q, which is not a partition key, parsed as %v", text, incarnation)
		}
	}
}
