package kv

import "strings"

// View is the state after one transaction. It is immutable and safe for concurrent use.
type View struct{ roots }

// Snapshot returns the current state. It copies no entries.
func (s *State) Snapshot() *View { return &View{s.roots} }

// Fork returns a state that continues from the view. Transactions that are applied to it do not affect the view.
func (v *View) Fork(b Bounds) *State { return &State{bounds: b, roots: v.roots} }

// Index returns the log index of the latest transaction.
func (v *View) Index() uint64 { return v.index }

// Now returns the time of the log, in Unix milliseconds: the greatest leader's time of its transactions.
func (v *View) Now() int64 { return v.now }

// Stamp returns a value that compares equal in two views if the table did not change between them.
func (v *View) Stamp(table string) any {
	at, _ := v.tables.Get([]byte(table))
	return at
}

// Get returns the entry of a key.
func (v *View) Get(table, key string) (*Entry, bool) { return v.entries.Get(path(table, key)) }

// List returns up to limit entries of a table in key order, whose keys begin with a prefix and are greater than after.
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

// History returns the former values of a key, the oldest first, followed by the current one.
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

// Tables returns the number of entries and the bytes of their keys and values, for each table that is not empty. The
// status of the store contains the pairs in JSON.
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
