// Package jobstore is where the batch front keeps what outlives a node: job sessions, arrays, jobs and their ends. It is
// one interface with two carriers: a file of the node's own (Bolt), and the replicated store.
package jobstore

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Change is one value to be written, or taken away where Value is nil.
type Change struct {
	Kind, Key string
	Value     []byte
	New       bool // there must be none yet, or nothing is written: ErrExists
	Keep      bool // it was promised, and no bound of the store's takes it away; where there is no room, nothing is written: ErrFull
}

// What a write may be refused for.
var (
	ErrExists = errors.New("records: there is one already")
	ErrFull   = errors.New("records: as much as may be kept is there")
)

// Row is one value on record.
type Row struct {
	Key   string
	Value []byte
}

// Store keeps values by kind and key.
type Store interface {
	// Write makes all changes or none, and returns once they are safe.
	Write(ctx context.Context, changes ...Change) error
	// Get tells nothing that is out of date: an older record could say of a job that nothing of it was sent.
	Get(ctx context.Context, kind, key string) (value []byte, found bool, err error)
	// Page gives up to limit rows of a kind in the order of their keys, after one that need not be there. Rows written
	// meanwhile may be among them or not.
	Page(ctx context.Context, kind, after string, limit int) ([]Row, error)
}

// ErrClosed says that the file is closed.
var ErrClosed = errors.New("records: closed")

// Bolt keeps records in one file, for a node alone. Its pages are mapped from the file: what is on record takes no
// memory of the process's own but for the pages in use.
type Bolt struct {
	db *bolt.DB
}

var usageBucket = []byte("\x00tallies") // of each kind: how many values, and their bytes

// OpenBolt opens a folder's file, or makes it. Only one process has it at a time: another is told so within a second.
func OpenBolt(dir string) (*Bolt, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	path := filepath.Join(dir, "batch.db")
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("records: %s: %w", path, err)
	}
	db.MaxBatchDelay = 2 * time.Millisecond // writes that come together share one sync of the disk
	return &Bolt{db}, nil
}

// Close ends the use of the file.
func (b *Bolt) Close() error { return b.db.Close() }

// Write makes changes in one transaction, which it shares with others that come at the same time.
func (b *Bolt) Write(ctx context.Context, changes ...Change) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	err := b.db.Batch(func(tx *bolt.Tx) error {
		for i := range changes {
			if err := applyChange(tx, &changes[i]); err != nil {
				return err
			}
		}
		return nil
	})
	if errors.Is(err, bolterrors.ErrDatabaseNotOpen) {
		return ErrClosed
	}
	if err != nil {
		return fmt.Errorf("records: %w", err)
	}
	return nil
}

func applyChange(tx *bolt.Tx, c *Change) error {
	if c.Key == "" || c.Kind == "" || c.Kind[0] == 0 {
		return fmt.Errorf("a change of %q %q", c.Kind, c.Key)
	}
	bucket, err := tx.CreateBucketIfNotExists([]byte(c.Kind))
	if err != nil {
		return err
	}
	sums, err := tx.CreateBucketIfNotExists(usageBucket)
	if err != nil {
		return err
	}
	t := decodeUsage(sums.Get([]byte(c.Kind)))
	if old := bucket.Get([]byte(c.Key)); old != nil {
		if c.New {
			return ErrExists
		}
		t.Values--
		t.Bytes -= int64(len(old) + len(c.Key))
	}
	if c.Value == nil {
		err = bucket.Delete([]byte(c.Key))
	} else {
		t.Values++
		t.Bytes += int64(len(c.Value) + len(c.Key))
		err = bucket.Put([]byte(c.Key), c.Value)
	}
	if err != nil {
		return err
	}
	return sums.Put([]byte(c.Kind), t.encode())
}

// Usage is how much of a kind is on record.
type Usage struct{ Values, Bytes int64 }

func decodeUsage(b []byte) (t Usage) {
	if len(b) == 16 {
		t.Values, t.Bytes = int64(binary.BigEndian.Uint64(b)), int64(binary.BigEndian.Uint64(b[8:]))
	}
	return t
}

func (t Usage) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.Values))
	return binary.BigEndian.AppendUint64(b, uint64(t.Bytes))
}

// Usage tells how much of a kind is on record.
func (b *Bolt) Usage(kind string) (t Usage, err error) {
	err = b.db.View(func(tx *bolt.Tx) error {
		if sums := tx.Bucket(usageBucket); sums != nil {
			t = decodeUsage(sums.Get([]byte(kind)))
		}
		return nil
	})
	return t, err
}

// Get gives a value, a copy that stays good.
func (b *Bolt) Get(_ context.Context, kind, key string) (value []byte, found bool, err error) {
	err = b.db.View(func(tx *bolt.Tx) error {
		if bucket := tx.Bucket([]byte(kind)); bucket != nil {
			if v := bucket.Get([]byte(key)); v != nil {
				value, found = append([]byte{}, v...), true
			}
		}
		return nil
	})
	return value, found, err
}

// Local gives a value as it stands.
func (b *Bolt) Local(kind, key string) ([]byte, bool) {
	value, found, err := b.Get(context.Background(), kind, key)
	return value, found && err == nil
}

// Page gives rows in the order of their keys.
func (b *Bolt) Page(_ context.Context, kind, after string, limit int) (rows []Row, err error) {
	err = b.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket([]byte(kind))
		if bucket == nil {
			return nil
		}
		c := bucket.Cursor()
		k, v := c.Seek([]byte(after))
		if after != "" && string(k) == after {
			k, v = c.Next()
		}
		for ; k != nil && len(rows) < limit; k, v = c.Next() {
			rows = append(rows, Row{string(k), append([]byte{}, v...)})
		}
		return nil
	})
	return rows, err
}

// Sweep takes the first values of a kind away, in the order of their keys, while there are more than most of them, or
// more bytes, or drop says that one is too old. It passes over those that keep says must stay, looks at no more than
// limit values a call, and tells how many went.
func (b *Bolt) Sweep(kind string, most Usage, limit int, fate func(key string, value []byte) Retention) (gone int, err error) {
	err = b.db.Update(func(tx *bolt.Tx) error {
		bucket, sums := tx.Bucket([]byte(kind)), tx.Bucket(usageBucket)
		if bucket == nil || sums == nil {
			return nil
		}
		t := decodeUsage(sums.Get([]byte(kind)))
		c := bucket.Cursor()
		for k, v := c.First(); k != nil && limit > 0; limit-- {
			over := most.Values > 0 && t.Values > most.Values || most.Bytes > 0 && t.Bytes > most.Bytes
			f := fate(string(k), v)
			if f == Evictable && !over {
				break // those after it are younger
			}
			if f == Retained || f == Evictable && !over {
				k, v = c.Next()
				continue
			}
			t.Values--
			t.Bytes -= int64(len(k) + len(v))
			gone++
			key := append([]byte{}, k...)
			if err := c.Delete(); err != nil {
				return err
			}
			k, v = c.Seek(key) // a cursor that has deleted stands on what follows, or before it
		}
		return sums.Put([]byte(kind), t.encode())
	})
	return gone, err
}

// Retention is what Sweep is told of a value.
type Retention uint8

// The fates.
const (
	Evictable Retention = iota // it may go if there is too much
	Expired                    // it is too old
	Retained                   // it must stay
)
