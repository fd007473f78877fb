// Package jobstore is the durable storage of the batch front for job sessions, arrays, jobs and their results. Its
// interface has two implementations: Bolt, a file for a single node, and the replicated store. It starts no goroutine;
// calls are safe for concurrent use.
package jobstore

import (
	"context"
	"errors"
	"fmt"
)

// Change writes one value, or deletes it where Value is nil.
type Change struct {
	Kind, Key string
	Value     []byte
	New       bool // if the key exists, nothing is written: ErrExists
	Keep      bool // the value is never evicted; if there is no space for it, nothing is written: ErrFull
}

// Row is a stored value.
type Row struct {
	Key   string
	Value []byte
}

// Store stores values by kind and key.
type Store interface {
	// Write commits all changes or none, and returns once they are durable. After an UnknownOutcomeError they may have
	// been committed, or may be committed later. After any other error nothing was written.
	Write(ctx context.Context, changes ...Change) error
	// Get returns the latest value. It is never stale: according to an older record, a job that was sent could seem not
	// to be.
	Get(ctx context.Context, kind, key string) (value []byte, found bool, err error)
	// Page returns up to limit rows of a kind in key order, with keys greater than after. Rows that are written during
	// the call may be included or not.
	Page(ctx context.Context, kind, after string, limit int) ([]Row, error)
}

// UnknownOutcomeError reports that it is unknown whether a write was committed. It may still be committed later, for
// instance when a store that has lost its quorum has one again.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("records: unknown whether the write was committed: %v", e.Cause)
}

// Unwrap returns the error of the last attempt to write.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// IsUnknownOutcome reports whether an error of Write leaves it unknown whether the write was committed.
func IsUnknownOutcome(err error) bool {
	_, unknown := errors.AsType[*UnknownOutcomeError](err)
	return unknown
}

// RejectedError reports a write that the store can never accept, for instance of a value that is too large. Nothing was
// written, and a repetition fails as well.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return "records: rejected: " + e.Reason }

// Errors of Write that guarantee that nothing was written.
var (
	ErrExists = errors.New("records: key already exists")
	ErrFull   = errors.New("records: no space left in the table")
	ErrClosed = errors.New("records: closed")
)
