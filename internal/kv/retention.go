package kv

import "encoding/binary"

// fullTable returns the table in which the entries that are never evicted would exceed the bounds after a transaction,
// or an empty string. Such entries that already exist can always be changed and deleted.
func (s *State) fullTable(t *Txn) string {
	volumes := map[string]volume{} // by table, including the new entries of the operations examined so far
	for i := range t.Ops {
		op := &t.Ops[i]
		if op.Verb != Put || !op.Keep {
			continue
		}
		if old, ok := s.entries.Get(path(op.Table, op.Key)); ok && old.Keep {
			continue
		}
		v, seen := volumes[op.Table]
		if at, ok := s.tables.Get([]byte(op.Table)); ok && !seen {
			v = *at
		}
		v.reserved++
		v.reservedBytes += len(op.Key) + len(op.Value)
		volumes[op.Table] = v
		if s.bounds.Values > 0 && v.reserved > s.bounds.Values || s.bounds.Bytes > 0 && v.reservedBytes > s.bounds.Bytes {
			return op.Table
		}
	}
	return ""
}

// addToVolume adds the size of an entry to that of its table, or subtracts it if sign is -1.
func (s *State) addToVolume(e *Entry, sign int) {
	v, size := volume{}, sign*(len(e.Key)+len(e.Value))
	if old, ok := s.tables.Get([]byte(e.Table)); ok {
		v = *old
	}
	v.values += sign
	v.bytes += size
	if e.Keep {
		v.reserved += sign
		v.reservedBytes += size
	}
	s.tables, _, _ = s.tables.Insert([]byte(e.Table), &v)
}

// archive adds a former value to the history of its key and drops the oldest one beyond the bound.
func (s *State) archive(old *Entry) {
	if s.bounds.History <= 0 {
		return
	}
	p := path(old.Table, old.Key)
	s.formerValues, _, _ = s.formerValues.Insert(appendNumber(p, old.Version), old)
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

// expire removes the entries whose lease has expired.
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

// evict removes the oldest evictable entries of a table until the table is within its bounds. It does not remove the
// key that was just written.
func (s *State) evict(table, except string) {
	for {
		v, ok := s.tables.Get([]byte(table))
		if !ok || v.values <= 1 ||
			(s.bounds.Values <= 0 || v.values <= s.bounds.Values) && (s.bounds.Bytes <= 0 || v.bytes <= s.bounds.Bytes) {
			return
		}
		it := s.evictionOrder.Root().Iterator()
		it.SeekPrefix(append([]byte(table), 0, 0))
		_, key, ok := it.Next()
		if ok && key == except {
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
