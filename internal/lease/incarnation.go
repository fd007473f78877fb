package lease

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation is one process of a node, from its start to its end. Two processes of one node name are two incarnations.
type Incarnation struct {
	Node      string `json:"node"`
	StartedMs int64  `json:"born"` // Unix time in milliseconds
}

// PartitionKey returns the key of the partition of the incarnation's own jobs. The ids of these jobs begin with it.
func (i Incarnation) PartitionKey() string { return fmt.Sprintf("%s.%012x", i.Node, i.StartedMs) }

// IsZero reports whether the Incarnation is the zero value, which stands for none.
func (i Incarnation) IsZero() bool { return i.Node == "" }

// ParsePartitionKey returns the incarnation whose PartitionKey equals text, and whether text is a partition key.
func ParsePartitionKey(text string) (Incarnation, bool) {
	separator := strings.LastIndexByte(text, '.')
	if separator <= 0 {
		return Incarnation{}, false
	}
	started, err := strconv.ParseInt(text[separator+1:], 16, 64)
	incarnation := Incarnation{text[:separator], started}
	return incarnation, err == nil && started >= 0 && incarnation.PartitionKey() == text
}
