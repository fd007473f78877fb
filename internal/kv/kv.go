// Package kv is the state machine of the replicated store: what a log of transactions adds up to. It does no I/O, reads no
// clock and starts no goroutine: equal logs give equal states on every member.
//
// Values stand in tables, under keys, on an immutable radix tree: a snapshot is a root that is kept, taken without copying
// and without stopping what is written meanwhile. Each transaction has a number, its place in the log; an entry's version
// is the number of the transaction that wrote it, so that versions grow and are never given twice.
//
// Leases expire by the log: a transaction carries the leader's time, time in the state never runs backwards, and what is
// due goes before the transaction is looked at. A follower's clock decides nothing.
package kv

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Verb is what an operation does.
type Verb uint8

// The verbs.
const (
	Put    Verb = iota + 1
	Delete      // of a key that is not there it does nothing
	Check       // only its condition counts
)

// Op is one operation of a transaction.
type Op struct {
	Verb       Verb
	Table, Key string
	Value      []byte
	TTL        int64 // ms until it expires, 0 for never
	Keep       bool  // of a Put: what was promised, which no bound takes away; where a table is full of it, more is refused
	// If Cond, the entry must have the version If - 0: there must be none - or the whole transaction does nothing.
	Cond bool
	If   uint64
}

// Txn is a transaction: all of its operations are made, or none. At is the leader's time in Unix milliseconds.
//
// A client that was not told what came of a transaction sends it again under the same ID, and is told what came of it the
// first time: made twice, a value could stand again that another's write had replaced, and a key that was created would be
// told as another's (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", section 8). "" is no ID.
type Txn struct {
	At  int64
	ID  string
	Ops []Op
}

// Result is what came of a transaction.
type Result struct {
	Version uint64 // its number, where it was made
	Failed  int    // the operation whose condition did not hold, -1 for none
	Current uint64 // the version that stood there, 0 for none
	Err     string // of a transaction that none could make
}

// OK says whether it was made.
func (r *Result) OK() bool { return r.Err == "" && r.Failed < 0 }

// Entry is a value as it stands.
type Entry struct {
	Table, Key string
	Value      []byte
	Created    uint64 // the version with which the key came to be
	Version    uint64
	Expires    int64 // Unix ms, 0 for never
	Keep       bool  // no bound takes it away
}

// Full begins the Err of a transaction that would put more into a table than may be kept there.
const Full = "full: "

// Event is a change, for those who watch.
type Event struct {
	Version uint64
	Verb    Verb // Put or Delete
	Table   string
	Key     string
	Value   []byte
	Why     string // of a deletion that nobody asked for: expired, or evicted
}

// Bounds are those of a state. They are part of the log's meaning: all members must have the same.
type Bounds struct {
	Values  int // of a table, and
	Bytes   int // their bytes: the ones that came first go first, but for those to be kept
	History int // former values of a key that are kept
	Key     int // bytes of a table's name or a key
	Value   int // bytes of a value
	Ops     int // operations of a transaction
	Done    int // latest transactions whose results are kept for those that come again
}

// State is what the log adds up to. Its methods are for one goroutine, but for those of Snapshot's result.
type State struct {
	bounds Bounds
	roots
	events []Event // of the latest transaction
}

// roots is a state as it stood: nothing in it is ever changed.
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

// volume is how much a table holds.
type volume struct{ values, bytes, reserved, reservedBytes int }

// New makes an empty state.
func New(b Bounds) *State {
	return &State{bounds: b, roots: roots{entries: iradix.New[*Entry](), evictionOrder: iradix.New[string](), leases: iradix.New[string](),
		formerValues: iradix.New[*Entry](), tables: iradix.New[*volume](), results: iradix.New[*Result](), resultOrder: iradix.New[string]()}}
}

// path of a key in a table: no name holds a zero byte.
func path(table, key string) []byte { return append(append([]byte(table), 0), key...) }

func ordinal(prefix []byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64(append(prefix, 0), n)
}

func leaseKey(e *Entry) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(e.Expires)), path(e.Table, e.Key)...)
}

var errInvalidName = errors.New("a name that is empty, too long, or holds a zero byte")

func (s *State) validate(t *Txn) error {
	if len(t.Ops) > s.bounds.Ops {
		return fmt.Errorf("%d operations, %d at most", len(t.Ops), s.bounds.Ops)
	}
	for i := range t.Ops {
		op := &t.Ops[i]
		for _, name := range []string{op.Table, op.Key} {
			if name == "" || len(name) > s.bounds.Key || strings.IndexByte(name, 0) >= 0 {
				return fmt.Errorf("operation %d: %w", i, errInvalidName)
			}
		}
		switch {
		case op.Verb < Put || op.Verb > Check:
			return fmt.Errorf("operation %d: verb %d", i, op.Verb)
		case len(op.Value) > s.bounds.Value:
			return fmt.Errorf("operation %d: a value of %d bytes, %d at most", i, len(op.Value), s.bounds.Value)
		case op.TTL < 0 || op.Verb != Put && (op.TTL != 0 || len(op.Value) > 0):
			return fmt.Errorf("operation %d: a time to live of %d, or a value that has no place", i, op.TTL)
		}
	}
	return nil
}

// Apply takes a transaction in, the one with the number index. Numbers grow; one that was taken in already does nothing.
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

// cacheResult keeps a transaction's result, and lets the oldest go.
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

// fullTable names a table that a transaction would put more into than may be kept there. What is there already can always be
// changed, and let go of: what was promised must be able to end.
func (s *State) fullTable(t *Txn) string {
	with := map[string]volume{} // by table, with what is new there so far
	for i := range t.Ops {
		op := &t.Ops[i]
		if op.Verb != Put || !op.Keep {
			continue
		}
		if old, ok := s.entries.Get(path(op.Table, op.Key)); ok && old.Keep {
			continue
		}
		v, seen := with[op.Table]
		if at, ok := s.tables.Get([]byte(op.Table)); ok && !seen {
			v = *at
		}
		v.reserved++
		v.reservedBytes += len(op.Key) + len(op.Value)
		with[op.Table] = v
		if s.bounds.Values > 0 && v.reserved > s.bounds.Values || s.bounds.Bytes > 0 && v.reservedBytes > s.bounds.Bytes {
			return op.Table
		}
	}
	return ""
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

// evictionKey is where an entry stands among its table's by their coming: those of one transaction by their keys.
func evictionKey(e *Entry) []byte {
	return append(ordinal(append([]byte(e.Table), 0), e.Created), e.Key...)
}

// addToVolume counts an entry that comes, or that goes where by is -1.
func (s *State) addToVolume(e *Entry, by int) {
	v, size := volume{}, by*(len(e.Key)+len(e.Value))
	if old, ok := s.tables.Get([]byte(e.Table)); ok {
		v = *old
	}
	v.values += by
	v.bytes += size
	if e.Keep {
		v.reserved += by
		v.reservedBytes += size
	}
	s.tables, _, _ = s.tables.Insert([]byte(e.Table), &v)
}

// archive takes a former value into the history, and lets the oldest of it go.
func (s *State) archive(old *Entry) {
	if s.bounds.History <= 0 {
		return
	}
	p := path(old.Table, old.Key)
	s.formerValues, _, _ = s.formerValues.Insert(ordinal(p, old.Version), old)
	n := 0
	var first []byte
	it := s.formerValues.Root().Iterator()
	it.SeekPrefix(append(append([]byte{}, p...), 0))
	for k, _, ok := it.Next(); ok; k, _, ok = it.Next() {
		if n++; n == 1 {
			first = k
		}
	}
	if n > s.bounds.History {
		s.formerValues, _, _ = s.formerValues.Delete(first)
	}
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

// expire takes away what is due.
func (s *State) expire() {
	for {
		k, _, ok := s.leases.Root().Minimum()
		if !ok || int64(binary.BigEndian.Uint64(k)) > s.now {
			return
		}
		e, ok := s.entries.Get(k[8:])
		if !ok {
			s.leases, _, _ = s.leases.Delete(k)
			continue
		}
		s.remove(e, "expired")
	}
}

// evict keeps a table within its bounds: the keys that came first go first, but for the one just written and those that are
// to be kept.
func (s *State) evict(table, but string) {
	for {
		v, ok := s.tables.Get([]byte(table))
		if !ok || v.values <= 1 || (s.bounds.Values <= 0 || v.values <= s.bounds.Values) && (s.bounds.Bytes <= 0 || v.bytes <= s.bounds.Bytes) {
			return
		}
		it := s.evictionOrder.Root().Iterator()
		it.SeekPrefix(append([]byte(table), 0, 0))
		_, key, ok := it.Next()
		if ok && key == but {
			_, key, ok = it.Next()
		}
		if !ok {
			return
		}
		e, ok := s.entries.Get(path(table, key))
		if !ok {
			return
		}
		s.remove(e, "evicted")
	}
}

// Events are the changes of the latest transaction.
func (s *State) Events() []Event { return s.events }

// Due says when the next lease ends, in Unix milliseconds; 0 for none.
func (s *State) Due() int64 {
	if k, _, ok := s.leases.Root().Minimum(); ok {
		return int64(binary.BigEndian.Uint64(k))
	}
	return 0
}

// View is a state as it stood when it was taken. It may be read by any goroutine for as long as it is kept.
type View struct{ roots }

// Snapshot gives the state as it stands, at no cost.
func (s *State) Snapshot() *View { return &View{s.roots} }

// Index is the number of the latest transaction in it.
func (v *View) Index() uint64 { return v.index }

// Now is the leader's time in it.
func (v *View) Now() int64 { return v.now }

// Stamp is another one after each change of a table, and the same while there is none.
func (v *View) Stamp(table string) any {
	at, _ := v.tables.Get([]byte(table))
	return at
}

// Get gives an entry.
func (v *View) Get(table, key string) (*Entry, bool) { return v.entries.Get(path(table, key)) }

// List gives up to limit entries of a table whose keys begin with a prefix, after a key, in their order.
func (v *View) List(table, prefix, after string, limit int) []*Entry {
	var out []*Entry
	it := v.entries.Root().Iterator()
	if after > prefix {
		it.SeekLowerBound(path(table, after))
	} else {
		it.SeekLowerBound(path(table, prefix))
	}
	for _, e, ok := it.Next(); ok && len(out) < limit && e.Table == table; _, e, ok = it.Next() {
		switch {
		case e.Key <= after && after != "":
		case strings.HasPrefix(e.Key, prefix):
			out = append(out, e)
		case e.Key > prefix:
			return out
		}
	}
	return out
}

// History gives a key's former values, the oldest first, and the one that stands.
func (v *View) History(table, key string) []*Entry {
	var out []*Entry
	it := v.formerValues.Root().Iterator()
	it.SeekPrefix(append(path(table, key), 0))
	for _, e, ok := it.Next(); ok; _, e, ok = it.Next() {
		out = append(out, e)
	}
	if e, ok := v.Get(table, key); ok {
		out = append(out, e)
	}
	return out
}

// Tables tells how many values, and bytes of them, each table holds.
func (v *View) Tables() map[string][2]int {
	out := map[string][2]int{}
	it := v.tables.Root().Iterator()
	for k, t, ok := it.Next(); ok; k, t, ok = it.Next() {
		if t.values > 0 {
			out[string(k)] = [2]int{t.values, t.bytes}
		}
	}
	return out
}
