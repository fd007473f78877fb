package kv

import "strings"

// View is a state at one transaction. It is immutable and safe for concurrent use.
type View struct{ roots }

// Snapshot returns the current state, at no cost.
func (s *State) Snapshot() *View { return &View{s.roots} }

// Index returns the number of the latest transaction.
func (v *View) Index() uint64 { return v.index }

// Now returns the leader's time, in Unix milliseconds.
func (v *View) Now() int64 { return v.now }

// Stamp returns a value that is equal as long as a table has not changed.
func (v *View) Stamp(table string) any {
	at, _ := v.tables.Get([]byte(table))
	return at
}

// Get returns an entry.
func (v *View) Get(table, key string) (*Entry, bool) { return v.entries.Get(path(table, key)) }

// List returns up to limit entries of a table whose keys begin with a prefix and follow a key, in key order.
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

// History returns a key's former values, the oldest first, and its current one.
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

// Tables returns the number of values, and their bytes, of each table that is not empty. The pair is part of the
// store's status in JSON.
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
