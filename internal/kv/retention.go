package kv

import "encoding/binary"

// fullTable returns the table whose bounds a transaction would exceed with entries that are never evicted, empty for
// none. Entries that exist can always be changed and deleted.
func (s *State) fullTable(t *Txn) string {
	with := map[string]volume{} // by table, with the transaction's new entries so far
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

// addToVolume counts an entry that is added, or removed where by is -1.
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

// archive adds a former value to a key's history and drops the oldest.
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

// expire removes the entries whose lease has ended.
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

// evict removes the oldest entries of a table until it is within its bounds, except the key that was just written and
// those that are never evicted.
func (s *State) evict(table, but string) {
	for {
		v, ok := s.tables.Get([]byte(table))
		if !ok || v.values <= 1 ||
			(s.bounds.Values <= 0 || v.values <= s.bounds.Values) && (s.bounds.Bytes <= 0 || v.bytes <= s.bounds.Bytes) {
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
