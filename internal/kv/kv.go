// Package kv implements the state machine of the replicated store. It applies a log of transactions to a State. It does
// no I/O, reads no clock and starts no goroutine, so that equal logs produce equal states on every member. A State is
// used by one goroutine; a View is safe for concurrent reads.
//
// Values are stored by table and key in immutable radix trees: a snapshot consists of the roots of the trees and is
// taken without copying and without blocking writes. Each transaction is identified by its log index. The version of an
// entry is the index of the transaction that wrote it, so that versions increase and are never reused.
//
// Leases expire according to the log: each transaction carries the leader's time, the time in the state never
// decreases, and expired entries are removed before a transaction is evaluated. The clocks of followers have no effect.
package kv

import (
	"encoding/binary"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Bounds limits the size of a state. All members must use the same bounds, because the state that results from a log
// depends on them.
type Bounds struct {
	Values  int // entries of a table; the oldest are evicted beyond that
	Bytes   int // size of the keys and values of a table; the oldest entries are evicted beyond that
	History int // former values that are kept for each key
	Key     int // bytes of a table name or of a key
	Value   int // bytes of a value
	Ops     int // operations in a transaction
	Results int // results of the latest transactions that are kept for retries
}

// State is the state that results from applying a log. It is not safe for concurrent use.
type State struct {
	bounds Bounds
	roots
	events []Event // of the latest transaction
}

// roots holds the immutable trees of a state after one transaction. The comment on each tree describes its keys and, if
// it is not obvious, its values.
type roots struct {
	index         uint64                // of the latest transaction
	now           int64                 // time of the log, Unix ms
	entries       *iradix.Tree[*Entry]  // table, key
	evictionOrder *iradix.Tree[string]  // table, creation version, key: key; evictable entries only
	leases        *iradix.Tree[string]  // expiry time, table, key: key
	formerValues  *iradix.Tree[*Entry]  // table, key, version
	tables        *iradix.Tree[*volume] // table
	results       *iradix.Tree[*Result] // transaction ID
	resultOrder   *iradix.Tree[string]  // log index: transaction ID
}

// volume is the size of a table.
type volume struct {
	values, bytes           int
	reserved, reservedBytes int // the part of them that belongs to entries that are never evicted
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

// Apply applies the transaction at a log index. Indexes increase; a transaction whose index is not greater than the
// latest one has no effect.
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

// cacheResult stores the result of a transaction for retries and drops the oldest results beyond the bound.
func (s *State) cacheResult(index uint64, id string, r *Result) {
	s.results, _, _ = s.results.Insert([]byte(id), r)
	s.resultOrder, _, _ = s.resultOrder.Insert(binary.BigEndian.AppendUint64(nil, index), id)
	for s.results.Len() > s.bounds.Results {
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
		return Result{Failed: -1, Err: FullPrefix + table + " holds as much as may be kept there"}
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

func (s *State) remove(e *Entry, reason string) {
	p := path(e.Table, e.Key)
	s.entries, _, _ = s.entries.Delete(p)
	s.evictionOrder, _, _ = s.evictionOrder.Delete(evictionKey(e))
	if e.Expires > 0 {
		s.leases, _, _ = s.leases.Delete(leaseKey(e))
	}
	s.formerValues, _ = s.formerValues.DeletePrefix(append(append([]byte{}, p...), 0))
	s.addToVolume(e, -1)
	s.events = append(s.events, Event{Version: s.index, Verb: Delete, Table: e.Table, Key: e.Key, Reason: reason})
}

// Events returns the changes that the latest transaction made.
func (s *State) Events() []Event { return s.events }

// NextExpiry returns the time at which the next lease expires, in Unix milliseconds, or 0 if there is no lease.
func (s *State) NextExpiry() int64 {
	if k, _, ok := s.leases.Root().Minimum(); ok {
		return int64(binary.BigEndian.Uint64(k))
	}
	return 0
}
