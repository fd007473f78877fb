package batch

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"gatetack/internal/lease"
)

// ids name jobs by node and life, so that after a restart a job of an earlier life is told from one of this.
type ids struct {
	node string
	life atomic.Int64
	last atomic.Uint64
}

func (x *ids) next() string { return fmt.Sprintf("%s.%x.%d", x.node, x.life.Load(), x.last.Add(1)) }

// name is an id taken apart: NODE.LIFE.NUMBER, and -INDEX behind it for a member of an array.
type name struct {
	node   string
	life   int64
	number uint64
	index  int
	member bool
}

const mostIndex = 1 << 30

// parseID takes an id apart; ok is false for what no node ever gave.
func parseID(id string) (n name, ok bool) {
	if len(id) > 200 {
		return n, false
	}
	head, last, ok := cutLast(id)
	if !ok {
		return n, false
	}
	if number, index, member := strings.Cut(last, "-"); member {
		i, err := strconv.ParseUint(index, 10, 31)
		if err != nil || i > mostIndex || strconv.FormatUint(i, 10) != index {
			return n, false
		}
		n.index, n.member, last = int(i), true, number
	}
	node, text, ok := cutLast(head)
	number, err := strconv.ParseUint(last, 10, 64)
	life, err2 := strconv.ParseInt(text, 16, 64)
	if !ok || err != nil || err2 != nil || number == 0 || node == "" || life < 0 {
		return n, false
	}
	n.node, n.life, n.number = node, life, number
	return n, true
}

// key orders ids as their jobs were submitted, node by node.
func (n name) key() string {
	k := fmt.Sprintf("%s.%012x.%012x", n.node, n.life, n.number)
	if n.member {
		k += fmt.Sprintf("-%08x", n.index)
	}
	return k
}

// partition names the jobs of one life of one node: their keys begin with it.
func (n name) partition() string {
	return lease.Incarnation{Node: n.node, StartedMs: n.life}.PartitionKey()
}

// key is that of an id that one of this front's own.
func key(id string) string {
	n, _ := parseID(id)
	return n.key()
}

func memberID(array string, index int) string { return array + "-" + strconv.Itoa(index) }

// origin is where an id comes from.
type origin uint8

const (
	noID      origin = iota
	ours             // this life of this node gave it
	formerly         // an earlier life of this node did
	elsewhere        // another node did
)

// origin tells where an id comes from.
func (x *ids) origin(id string) origin {
	n, ok := parseID(id)
	current := x.life.Load()
	switch {
	case !ok:
		return noID
	case n.node != x.node:
		return elsewhere
	case predecessor(n.life, current):
		return formerly
	case n.life == current && n.number <= x.last.Load():
		return ours
	}
	return noID
}

func cutLast(s string) (before, after string, ok bool) {
	at := strings.LastIndexByte(s, '.')
	if at < 0 {
		return "", "", false
	}
	return s[:at], s[at+1:], true
}
