package kv

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is the kind of an operation.
type Verb uint8

// Verbs of operations.
const (
	Put    Verb = iota + 1
	Delete      // has no effect on an absent key
	Check       // only evaluates its condition
)

// Op is one operation of a transaction.
type Op struct {
	Verb       Verb
	Table, Key string
	Value      []byte
	TTL        int64 // ms until the entry expires, 0 for never
	Keep       bool  // for Put: never evicted; the transaction is rejected if such entries fill the table
	// If Cond is set, the entry must have the version If (0: it must be absent). Otherwise the whole transaction has no
	// effect.
	Cond bool
	If   uint64
}

// Txn is a transaction: all of its operations are applied, or none. At is the leader's time in Unix milliseconds.
//
// A client that did not receive the result of a transaction retries it with the same ID and receives the result of the
// first attempt. If a transaction were applied twice, it could restore a value that another write had replaced, and a
// key that it created would be reported as created by another client (Ongaro and Ousterhout, "In search of an
// understandable consensus algorithm", section 8). Transactions with an empty ID are not deduplicated.
type Txn struct {
	At  int64
	ID  string
	Ops []Op
}

// Result is the outcome of a transaction.
type Result struct {
	Version uint64 // log index of the transaction, 0 if it was not applied
	Failed  int    // index of the operation whose condition failed, -1 for none
	Current uint64 // current version of the entry of that operation, 0 if absent
	Err     string // why the transaction is invalid or was rejected, empty otherwise
}

// OK reports whether the transaction was applied.
func (r *Result) OK() bool { return r.Err == "" && r.Failed < 0 }

// Entry is a key with its value.
type Entry struct {
	Table, Key string
	Value      []byte
	Created    uint64 // the version that created the key
	Version    uint64
	Expires    int64 // Unix ms, 0 for never
	Keep       bool  // never evicted
}

// FullPrefix begins Result.Err if the entries that are never evicted would exceed the bounds of a table.
const FullPrefix = "full: "

// Event is one change of an entry, for watchers.
type Event struct {
	Version uint64
	Verb    Verb // Put or Delete
	Table   string
	Key     string
	Value   []byte
	Reason  string // of a deletion by the state machine: "expired" or "evicted"
}

var errInvalidName = errors.New("a name that is empty, too long, or holds a zero byte")

func (s *State) validate(t *Txn) error {
	if len(t.Ops) > s.bounds.Ops {
		return fmt.Errorf("%d operations, %d at most", len(t.Ops), s.bounds.Ops)
	}
	for i := range t.Ops {
		op := &t.Ops[i]
		for _, name := range []string{op.Table, op.Key} {
			if name == "" || len(name) > s.bounds.Key || strings.IndexByte(name, 0) >= 0 {
				return fmt.Errorf("operation %d: %w", i, errInvalidName)
			}
		}
		switch {
		case op.Verb < Put || op.Verb > Check:
			return fmt.Errorf("operation %d: verb %d", i, op.Verb)
		case len(op.Value) > s.bounds.Value:
			return fmt.Errorf("operation %d: a value of %d bytes, %d at most", i, len(op.Value), s.bounds.Value)
		case op.TTL < 0 || op.Verb != Put && (op.TTL != 0 || len(op.Value) > 0):
			return fmt.Errorf("operation %d: a time to live of %d, or a value that has no place", i, op.TTL)
		}
	}
	return nil
}
