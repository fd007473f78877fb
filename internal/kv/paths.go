package kv

import "encoding/binary"

// path returns the tree key of an entry. A zero byte, which no name contains, separates the table from the key.
func path(table, key string) []byte { return append(append([]byte(table), 0), key...) }

// appendNumber appends a separator and a big-endian number to a prefix, so that tree keys sort by the number.
func appendNumber(prefix []byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64(append(prefix, 0), n)
}

// leaseKey orders entries by their expiry time.
func leaseKey(e *Entry) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(e.Expires)), path(e.Table, e.Key)...)
}

// evictionKey orders the entries of a table by the version that created them, and those of one transaction by key.
func evictionKey(e *Entry) []byte {
	return append(appendNumber(append([]byte(e.Table), 0), e.Created), e.Key...)
}
