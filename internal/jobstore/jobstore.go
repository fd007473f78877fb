// Package jobstore is the batch front's durable storage: job sessions, arrays, jobs and their ends. Its interface has
// two implementations: Bolt, a file of a node that is alone, and the replicated store. It starts no goroutine; calls
// are safe for concurrent use.
package jobstore

import (
	"context"
	"errors"
)

// Change writes one value, or deletes it where Value is nil.
type Change struct {
	Kind, Key string
	Value     []byte
	New       bool // the key must be absent, or nothing is written: ErrExists
	Keep      bool // the value is never evicted; where there is no space for it, nothing is written: ErrFull
}

// Row is a stored value.
type Row struct {
	Key   string
	Value []byte
}

// Store keeps values by kind and key.
type Store interface {
	// Write commits all changes or none, and returns once they are durable. After an error other than ErrExists, ErrFull
	// and ErrClosed it may not be known whether they were committed.
	Write(ctx context.Context, changes ...Change) error
	// Get returns the latest value. It is never stale: an older record could say of a job that it was not sent.
	Get(ctx context.Context, kind, key string) (value []byte, found bool, err error)
	// Page returns up to limit rows of a kind in key order, after a key that need not exist. Rows that are written
	// meanwhile may be included or not.
	Page(ctx context.Context, kind, after string, limit int) ([]Row, error)
}

// Errors of Write after which nothing was written.
var (
	ErrExists = errors.New("records: there is one already")
	ErrFull   = errors.New("records: as much as may be kept is there")
	ErrClosed = errors.New("records: closed")
)
