package jobstore

import bolt "go.etcd.io/bbolt"

// Retention determines whether Sweep deletes a value.
type Retention uint8

// Values of Retention.
const (
	Evictable Retention = iota // deleted while the usage exceeds the limit
	Expired                    // always deleted
	Retained                   // never deleted
)

// Sweep deletes values of a kind that are expired, or that are evictable while the usage exceeds the limit, in key
// order. Keys are ordered by age, so that it stops at the first evictable value within the limit. It examines at most
// maxExamined values and returns the number of deleted ones.
func (b *Bolt) Sweep(kind string, limit Usage, maxExamined int,
	retention func(key string, value []byte) Retention) (deleted int, err error) {
	err = b.db.Update(func(tx *bolt.Tx) error {
		values, usages := tx.Bucket([]byte(kind)), tx.Bucket(usageBucket)
		if values == nil || usages == nil {
			return nil
		}
		usage := decodeUsage(usages.Get([]byte(kind)))
		c := values.Cursor()
		for k, v := c.First(); k != nil && maxExamined > 0; maxExamined-- {
			class := retention(string(k), v)
			if class == Evictable && !usage.exceeds(limit) {
				break // the following values are younger
			}
			if class == Retained {
				k, v = c.Next()
				continue
			}
			key := append([]byte{}, k...)
			usage.remove(string(k), v)
			deleted++
			if err := c.Delete(); err != nil {
				return err
			}
			k, v = c.Seek(key) // after Delete, the cursor is at the next key or before it
		}
		return usages.Put([]byte(kind), usage.encode())
	})
	return deleted, err
}
