package jobstore

import (
	"encoding/binary"

	bolt "go.etcd.io/bbolt"
)

// usageBucket contains the Usage of each kind. Names of kinds cannot begin with its first byte.
var usageBucket = []byte("\x00tallies")

// encodedUsage is the length in bytes of an encoded Usage: two big-endian numbers of 8 bytes.
const encodedUsage = 16

// Usage is the number of values of a kind and the total bytes of their keys and values.
type Usage struct{ Values, Bytes int64 }

func (u *Usage) add(key string, value []byte) {
	u.Values++
	u.Bytes += int64(len(key) + len(value))
}

func (u *Usage) remove(key string, value []byte) {
	u.Values--
	u.Bytes -= int64(len(key) + len(value))
}

// exceeds reports whether the usage exceeds a limit. A limit of 0 means no limit.
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
