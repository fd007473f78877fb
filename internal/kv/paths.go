package kv

import "encoding/binary"

// path is the tree key of an entry. No name contains a zero byte.
func path(table, key string) []byte { return append(append([]byte(table), 0), key...) }

func ordinal(prefix []byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64(append(prefix, 0), n)
}

func leaseKey(e *Entry) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(e.Expires)), path(e.Table, e.Key)...)
}

// evictionKey orders the entries of a table by their creation, and those of one transaction by key.
func evictionKey(e *Entry) []byte {
	return append(ordinal(append([]byte(e.Table), 0), e.Created), e.Key...)
}
