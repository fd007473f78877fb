package batch

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"gatetack/internal/lease"
)

// ids generates job IDs that contain the node and its incarnation, so that jobs of earlier incarnations can be told
// apart.
type ids struct {
	node        string
	incarnation atomic.Int64
	last        atomic.Uint64
}

func (x *ids) next() string {
	return fmt.Sprintf("%s.%x.%d", x.node, x.incarnation.Load(), x.last.Add(1))
}

// jobID is a parsed ID: NODE.INCARNATION.NUMBER, followed by -INDEX for an array member.
type jobID struct {
	node        string
	incarnation int64
	number      uint64
	index       int
	member      bool
}

const maxIndex = 1 << 30

// parseID parses an ID; ok is false for text that no node generates.
func parseID(id string) (n jobID, ok bool) {
	if len(id) > 200 {
		return n, false
	}
	head, last, ok := cutLastDot(id)
	if !ok {
		return n, false
	}
	if number, index, member := strings.Cut(last, "-"); member {
		i, err := strconv.ParseUint(index, 10, 31)
		if err != nil || i > maxIndex || strconv.FormatUint(i, 10) != index {
			return n, false
		}
		n.index, n.member, last = int(i), true, number
	}
	node, text, ok := cutLastDot(head)
	number, err := strconv.ParseUint(last, 10, 64)
	incarnation, err2 := strconv.ParseInt(text, 16, 64)
	if !ok || err != nil || err2 != nil || number == 0 || node == "" || incarnation < 0 {
		return n, false
	}
	n.node, n.incarnation, n.number = node, incarnation, number
	return n, true
}

// key returns the record key of an ID. Keys sort by node and, within a node, in the order of submission.
func (n jobID) key() string {
	k := fmt.Sprintf("%s.%012x.%012x", n.node, n.incarnation, n.number)
	if n.member {
		k += fmt.Sprintf("-%08x", n.index)
	}
	return k
}

// partition returns the partition of the ID, which is a prefix of its key.
func (n jobID) partition() string {
	return lease.Incarnation{Node: n.node, StartedMs: n.incarnation}.PartitionKey()
}

// recordKey returns the record key of a valid ID.
func recordKey(id string) string {
	n, _ := parseID(id)
	return n.key()
}

func memberID(array string, index int) string { return array + "-" + strconv.Itoa(index) }

// origin says which node and incarnation generated an ID.
type origin uint8

const (
	unknownOrigin      origin = iota
	thisIncarnation           // of this node
	earlierIncarnation        // of this node
	otherNode
)

// origin returns the origin of an ID.
func (x *ids) origin(id string) origin {
	n, ok := parseID(id)
	current := x.incarnation.Load()
	switch {
	case !ok:
		return unknownOrigin
	case n.node != x.node:
		return otherNode
	case predecessor(n.incarnation, current):
		return earlierIncarnation
	case n.incarnation == current && n.number <= x.last.Load():
		return thisIncarnation
	}
	return unknownOrigin
}

func cutLastDot(s string) (before, after string, ok bool) {
	at := strings.LastIndexByte(s, '.')
	if at < 0 {
		return "", "", false
	}
	return s[:at], s[at+1:], true
}
