// Package kv is the state machine of the replicated store: the state that results from a log of transactions. It does
// no I/O, reads no clock and starts no goroutine, so that equal logs give equal states on every member. A State belongs
// to one goroutine; a View may be read by any.
//
// Values are kept in tables, by key, in immutable radix trees: a snapshot is the trees' roots, taken without copying
// and without blocking writes. Each transaction has a number, its index in the log; an entry's version is the number of
// the transaction that wrote it, so that versions grow and are never reused.
//
// Leases expire by the log: a transaction carries the leader's time, time in the state never runs backwards, and
// expired entries are removed before the transaction is evaluated. A follower's clock decides nothing.
package kv

import (
	"encoding/binary"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Bounds limit a state. They determine what a log results in: all members must have the same.
type Bounds struct {
	Values  int // entries of a table; the oldest are evicted
	Bytes   int // of a table's keys and values; the oldest are evicted
	History int // former values of a key
	Key     int // bytes of a table's name or a key
	Value   int // bytes of a value
	Ops     int // operations of a transaction
	Done    int // results of the latest transactions, for those that are sent again
}

// State is the state that results from a log. It is not safe for concurrent use.
type State struct {
	bounds Bounds
	roots
	events []Event // of the latest transaction
}

// roots are the trees of a state at one transaction. They are immutable.
type roots struct {
	index         uint64 // of the latest transaction
	now           int64
	entries       *iradix.Tree[*Entry]  // table, key
	evictionOrder *iradix.Tree[string]  // table, created: key, of those that may go
	leases        *iradix.Tree[string]  // expires, table, key: table's entry
	formerValues  *iradix.Tree[*Entry]  // table, key, version
	tables        *iradix.Tree[*volume] // table
	results       *iradix.Tree[*Result] // transaction's ID
	resultOrder   *iradix.Tree[string]  // version: ID
}

// volume is the size of a table.
type volume struct {
	values, bytes           int
	reserved, reservedBytes int // of these, entries that are never evicted
}

// New returns an empty state.
func New(b Bounds) *State {
	return &State{
		bounds: b,
		roots: roots{
			entries:       iradix.New[*Entry](),
			evictionOrder: iradix.New[string](),
			leases:        iradix.New[string](),
			formerValues:  iradix.New[*Entry](),
			tables:        iradix.New[*volume](),
			results:       iradix.New[*Result](),
			resultOrder:   iradix.New[string](),
		},
	}
}

// Apply applies the transaction with a number. Numbers grow; a transaction whose number was passed has no effect.
func (s *State) Apply(index uint64, t *Txn) Result {
	s.events = nil
	if index <= s.index {
		return Result{Failed: -1, Err: fmt.Sprintf("transaction %d after %d", index, s.index)}
	}
	s.index = index
	s.now = max(s.now, t.At)
	s.expire()
	if t.ID == "" {
		return s.apply(index, t)
	}
	if r, ok := s.results.Get([]byte(t.ID)); ok {
		return *r
	}
	r := s.apply(index, t)
	s.cacheResult(index, t.ID, &r)
	return r
}

// cacheResult keeps a transaction's result for a repetition and drops the oldest.
func (s *State) cacheResult(index uint64, id string, r *Result) {
	s.results, _, _ = s.results.Insert([]byte(id), r)
	s.resultOrder, _, _ = s.resultOrder.Insert(binary.BigEndian.AppendUint64(nil, index), id)
	for s.results.Len() > s.bounds.Done {
		k, old, _ := s.resultOrder.Root().Minimum()
		s.resultOrder, _, _ = s.resultOrder.Delete(k)
		s.results, _, _ = s.results.Delete([]byte(old))
	}
}

func (s *State) apply(index uint64, t *Txn) Result {
	if err := s.validate(t); err != nil {
		return Result{Failed: -1, Err: err.Error()}
	}
	for i := range t.Ops {
		if op := &t.Ops[i]; op.Cond {
			current := uint64(0)
			if e, ok := s.entries.Get(path(op.Table, op.Key)); ok {
				current = e.Version
			}
			if current != op.If {
				return Result{Failed: i, Current: current}
			}
		}
	}
	if table := s.fullTable(t); table != "" {
		return Result{Failed: -1, Err: Full + table + " holds as much as may be kept there"}
	}
	for i := range t.Ops {
		switch op := &t.Ops[i]; op.Verb {
		case Put:
			s.put(op)
		case Delete:
			if e, ok := s.entries.Get(path(op.Table, op.Key)); ok {
				s.remove(e, "")
			}
		}
	}
	return Result{Version: index, Failed: -1}
}

func (s *State) put(op *Op) {
	e := &Entry{Table: op.Table, Key: op.Key, Value: op.Value, Created: s.index, Version: s.index, Keep: op.Keep}
	if op.TTL > 0 {
		e.Expires = s.now + op.TTL
	}
	p := path(op.Table, op.Key)
	if old, ok := s.entries.Get(p); ok {
		e.Created = old.Created
		s.addToVolume(old, -1)
		s.evictionOrder, _, _ = s.evictionOrder.Delete(evictionKey(old))
		if old.Expires > 0 {
			s.leases, _, _ = s.leases.Delete(leaseKey(old))
		}
		s.archive(old)
	}
	s.addToVolume(e, 1)
	if !e.Keep {
		s.evictionOrder, _, _ = s.evictionOrder.Insert(evictionKey(e), op.Key)
	}
	s.entries, _, _ = s.entries.Insert(p, e)
	if e.Expires > 0 {
		s.leases, _, _ = s.leases.Insert(leaseKey(e), e.Key)
	}
	s.events = append(s.events, Event{Version: s.index, Verb: Put, Table: e.Table, Key: e.Key, Value: e.Value})
	s.evict(op.Table, op.Key)
}

func (s *State) remove(e *Entry, why string) {
	p := path(e.Table, e.Key)
	s.entries, _, _ = s.entries.Delete(p)
	s.evictionOrder, _, _ = s.evictionOrder.Delete(evictionKey(e))
	if e.Expires > 0 {
		s.leases, _, _ = s.leases.Delete(leaseKey(e))
	}
	s.formerValues, _ = s.formerValues.DeletePrefix(append(append([]byte{}, p...), 0))
	s.addToVolume(e, -1)
	s.events = append(s.events, Event{Version: s.index, Verb: Delete, Table: e.Table, Key: e.Key, Why: why})
}

// Events returns the changes of the latest transaction.
func (s *State) Events() []Event { return s.events }

// Due returns when the next lease ends, in Unix milliseconds, 0 for none.
func (s *State) Due() int64 {
	if k, _, ok := s.leases.Root().Minimum(); ok {
		return int64(binary.BigEndian.Uint64(k))
	}
	return 0
}
