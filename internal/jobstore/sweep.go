package jobstore

import bolt "go.etcd.io/bbolt"

// Retention says what Sweep may do with a value.
type Retention uint8

// The kinds of retention.
const (
	Evictable Retention = iota // deleted where there is more than the limit
	Expired                    // deleted
	Retained                   // not deleted
)

// Sweep deletes the first values of a kind, in key order, that are expired, or that are evictable while there is more
// than the limit. Keys are in the order of age: it stops at the first value that stays for neither reason. It looks at
// no more than a number of values, and returns how many it deleted.
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
				break // those that follow are younger
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
			k, v = c.Seek(key) // a cursor that has deleted is at the next key or before it
		}
		return usages.Put([]byte(kind), usage.encode())
	})
	return deleted, err
}
