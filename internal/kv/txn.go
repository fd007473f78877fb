package kv

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is what an operation does.
type Verb uint8

// The verbs.
const (
	Put    Verb = iota + 1
	Delete      // of an absent key does nothing
	Check       // has no effect but its condition
)

// Op is one operation of a transaction.
type Op struct {
	Verb       Verb
	Table, Key string
	Value      []byte
	TTL        int64 // ms until it expires, 0 for never
	Keep       bool  // of a Put: never evicted; where a table is full of such entries, another is rejected
	// With Cond, the entry must have the version If, 0 for absent, or the whole transaction has no effect.
	Cond bool
	If   uint64
}

// Txn is a transaction: all of its operations are applied, or none. At is the leader's time in Unix milliseconds.
//
// A client that did not get the result of a transaction sends it again under the same ID, and gets the result of the
// first time. Applied twice, it could restore a value that another write had replaced, and a key that it created would
// be reported as another's (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", section 8). An
// empty ID is none.
type Txn struct {
	At  int64
	ID  string
	Ops []Op
}

// Result is the outcome of a transaction.
type Result struct {
	Version uint64 // the transaction's number, where it was applied
	Failed  int    // the operation whose condition did not hold, -1 for none
	Current uint64 // the version of that operation's entry, 0 for absent
	Err     string // why the transaction is invalid in any state
}

// OK reports whether the transaction was applied.
func (r *Result) OK() bool { return r.Err == "" && r.Failed < 0 }

// Entry is the value of a key.
type Entry struct {
	Table, Key string
	Value      []byte
	Created    uint64 // the version that created the key
	Version    uint64
	Expires    int64 // Unix ms, 0 for never
	Keep       bool  // never evicted
}

// Full begins the Err of a transaction that would exceed a table's bounds with entries that are never evicted.
const Full = "full: "

// Event is a change, for watchers.
type Event struct {
	Version uint64
	Verb    Verb // Put or Delete
	Table   string
	Key     string
	Value   []byte
	Why     string // of a deletion by the state machine: expired or evicted
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
