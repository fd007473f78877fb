package jobstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	boltFile = "batch.db"
	fileMode = 0o600
	dirMode  = 0o700

	openTimeout = time.Second // timeout for the lock of a file that another process has open

	// maxBatchDelay is how long a write waits for other writes that share its sync to disk.
	maxBatchDelay = 2 * time.Millisecond
)

// Bolt is a Store in one bbolt file. The file is mapped into memory, so that only the pages in use occupy memory.
type Bolt struct {
	db *bolt.DB
}

// OpenBolt opens the file in a directory and creates both if necessary. It returns an error after openTimeout if
// another process has the file open.
func OpenBolt(dir string) (*Bolt, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	path := filepath.Join(dir, boltFile)
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: openTimeout, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("records: %s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	return &Bolt{db}, nil
}

// Close closes the file. Later writes return ErrClosed.
func (b *Bolt) Close() error { return b.db.Close() }

// Write commits changes in one transaction, which may be shared with concurrent writes.
func (b *Bolt) Write(ctx context.Context, changes ...Change) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	applied := false
	err := b.db.Batch(func(tx *bolt.Tx) error {
		applied = false
		for i := range changes {
			if err := applyChange(tx, &changes[i]); err != nil {
				return err
			}
		}
		applied = true
		return nil
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bolterrors.ErrDatabaseNotOpen):
		return ErrClosed
	case applied: // the commit failed
		return b.resolveCommit(context.WithoutCancel(ctx), changes, err)
	}
	return fmt.Errorf("records: %w", err)
}

// resolveCommit returns the error of a write whose commit failed. If the last step of a commit fails, the sync of the
// page that makes it valid, the transaction is in the file and a restart of the process finds it.
func (b *Bolt) resolveCommit(ctx context.Context, changes []Change, cause error) error {
	visible, err := b.contains(ctx, changes)
	switch {
	case err != nil:
		return &UnknownOutcomeError{errors.Join(cause, err)}
	case !visible:
		return fmt.Errorf("records: %w", cause)
	}
	if err := b.db.Sync(); err != nil {
		return &UnknownOutcomeError{errors.Join(cause, err)}
	}
	return nil
}

// contains reports whether the file has the values that changes write.
func (b *Bolt) contains(ctx context.Context, changes []Change) (bool, error) {
	for i := range changes {
		c := &changes[i]
		value, found, err := b.Get(ctx, c.Kind, c.Key)
		if err != nil {
			return false, err
		}
		if found != (c.Value != nil) || !bytes.Equal(value, c.Value) {
			return false, nil
		}
	}
	return true, nil
}

func applyChange(tx *bolt.Tx, c *Change) error {
	if c.Key == "" || c.Kind == "" || c.Kind[0] == usageBucket[0] {
		return fmt.Errorf("invalid change: kind %q, key %q", c.Kind, c.Key)
	}
	values, err := tx.CreateBucketIfNotExists([]byte(c.Kind))
	if err != nil {
		return err
	}
	usages, err := tx.CreateBucketIfNotExists(usageBucket)
	if err != nil {
		return err
	}
	usage := decodeUsage(usages.Get([]byte(c.Kind)))
	if old := values.Get([]byte(c.Key)); old != nil {
		if c.New {
			return ErrExists
		}
		usage.remove(c.Key, old)
	}
	if c.Value == nil {
		err = values.Delete([]byte(c.Key))
	} else {
		usage.add(c.Key, c.Value)
		err = values.Put([]byte(c.Key), c.Value)
	}
	if err != nil {
		return err
	}
	return usages.Put([]byte(c.Kind), usage.encode())
}

// Get returns a copy of a value.
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

// Local returns a value, like Get. For a member of the replicated store, in contrast, the value may be stale.
func (b *Bolt) Local(kind, key string) ([]byte, bool) {
	value, found, err := b.Get(context.Background(), kind, key)
	return value, found && err == nil
}

// Page returns rows in key order.
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
