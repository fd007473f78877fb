package jobstore

import (
	"encoding/binary"

	bolt "go.etcd.io/bbolt"
)

// usageBucket holds the Usage of each kind. Kinds can not begin with its first byte.
var usageBucket = []byte("\x00tallies")

// encodedUsage is the length of a Usage in the file: two numbers of 8 bytes, big-endian.
const encodedUsage = 16

// Usage is the number of a kind's values, and the bytes of their keys and values.
type Usage struct{ Values, Bytes int64 }

func (u *Usage) add(key string, value []byte) {
	u.Values++
	u.Bytes += int64(len(key) + len(value))
}

func (u *Usage) remove(key string, value []byte) {
	u.Values--
	u.Bytes -= int64(len(key) + len(value))
}

// exceeds reports whether there is more than a limit, of which 0 is none.
func (u Usage) exceeds(limit Usage) bool {
	return limit.Values > 0 && u.Values > limit.Values || limit.Bytes > 0 && u.Bytes > limit.Bytes
}

func (u Usage) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(u.Values))
	return binary.BigEndian.AppendUint64(b, uint64(u.Bytes))
}

func decodeUsage(b []byte) (u Usage) {
	if len(b) == encodedUsage {
		u.Values, u.Bytes = int64(binary.BigEndian.Uint64(b)), int64(binary.BigEndian.Uint64(b[8:]))
	}
	return u
}

// Usage returns the usage of a kind.
func (b *Bolt) Usage(kind string) (u Usage, err error) {
	err = b.db.View(func(tx *bolt.Tx) error {
		if usages := tx.Bucket(usageBucket); usages != nil {
			u = decodeUsage(usages.Get([]byte(kind)))
		}
		return nil
	})
	return u, err
}
