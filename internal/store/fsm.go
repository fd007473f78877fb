package store

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"

	"github.com/hashicorp/raft"
	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
)

// stateBounds returns the bounds of the state. They must be the same on all members.
func stateBounds(lim limits.Limits) kv.Bounds {
	return kv.Bounds{
		Values:  lim.StoreValues,
		Bytes:   lim.StoreBytes,
		History: 8,
		Key:     512,
		Value:   lim.StoreBodyBytes,
		Ops:     256,
		Results: 8192,
	}
}

// fsm implements raft.FSM: it applies the log to the state machine and buffers the latest changes for watchers.
type fsm struct {
	lim limits.Limits

	mu          sync.Mutex
	state       *kv.State
	events      []kv.Event
	lastTrimmed uint64        // changes up to this version are no longer buffered
	changed     chan struct{} // closed and replaced at the next change
}

func newFSM(lim limits.Limits) *fsm {
	return &fsm{lim: lim, state: kv.New(stateBounds(lim)), changed: make(chan struct{})}
}

// view returns the current state.
func (f *fsm) view() *kv.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

func (f *fsm) nextLeaseExpiry() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.NextExpiry()
}

// Apply applies one log entry. An entry that cannot be decoded has no effect on any member.
func (f *fsm) Apply(l *raft.Log) any {
	t, err := decodeTxn(l.Data)
	if err != nil {
		return &kv.Result{Failed: -1, Err: err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.state.Apply(l.Index, t)
	if events := f.state.Events(); len(events) > 0 {
		f.events = append(f.events, events...)
		f.trim()
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return &r
}

// trim drops the oldest changes once the buffer has twice the promised number. Trimming copies the remaining changes;
// doing so for each transaction took longer than the rest of the transaction.
func (f *fsm) trim() {
	if len(f.events) <= 2*f.lim.BatchEvents {
		return
	}
	old := len(f.events) - f.lim.BatchEvents
	f.lastTrimmed = f.events[old-1].Version
	f.events = slices.Clone(f.events[old:])
}

// changesAfter returns the changes after a version to keys of a table that begin with a prefix; an empty table stands
// for all tables. upTo is the version up to which the changes are complete, lost reports that some of them are no
// longer buffered, and more is closed at the next change.
func (f *fsm) changesAfter(
	version uint64,
	table, prefix string,
) (out []kv.Event, upTo uint64, lost bool, more <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	upTo = f.state.Snapshot().Index()
	if version < f.lastTrimmed {
		return nil, upTo, true, f.changed
	}
	next := sort.Search(len(f.events), func(i int) bool { return f.events[i].Version > version })
	for _, e := range f.events[next:] {
		if (table == "" || e.Table == table) && len(e.Key) >= len(prefix) && e.Key[:len(prefix)] == prefix {
			out = append(out, e)
		}
	}
	return out, upTo, false, f.changed
}

// decodeTxn decodes a log entry: a transaction, or a change in the format of version 0.2.
func decodeTxn(data []byte) (*kv.Txn, error) {
	t := &kv.Txn{}
	if err := t.Unmarshal(data); !errors.Is(err, kv.ErrUnknownFormat) {
		return t, err
	}
	value, err := boundedjson.Parse(data, boundedjson.MessageDepth)
	if err != nil {
		return nil, fmt.Errorf("store: log entry in an unknown format: %w", err)
	}
	op, err := decodeLegacyOp(value)
	if err != nil {
		return nil, err
	}
	return &kv.Txn{Ops: []kv.Op{op}}, nil
}

// decodeLegacyOp decodes a change in the JSON of version 0.2.
func decodeLegacyOp(v gjson.Result) (kv.Op, error) {
	value, err := base64.StdEncoding.DecodeString(v.Get("value").String())
	op := kv.Op{Verb: kv.Put, Table: v.Get("kind").String(), Key: v.Get("key").String(), Value: value}
	if op.Table == "" || op.Key == "" {
		err = errors.Join(err, errors.New("store: change without a kind or a key"))
	}
	return op, err
}

// Snapshot returns the current state. It copies no entries.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) { return snapshot{f.view()}, nil }

// Restore replaces the state with a snapshot. The state is unchanged if the snapshot is corrupt.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	state, err := readSnapshot(r, f.lim)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.events, f.lastTrimmed = state, nil, state.Snapshot().Index()
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// readSnapshot decodes a snapshot. A snapshot of version 0.2 has one change per line.
func readSnapshot(r io.Reader, lim limits.Limits) (*kv.State, error) {
	var head bytes.Buffer
	state, err := kv.Read(io.TeeReader(r, &head), stateBounds(lim))
	if !errors.Is(err, kv.ErrUnknownFormat) {
		return state, err
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	state = kv.New(stateBounds(lim))
	n := uint64(0)
	for line := range bytes.Lines(append(head.Bytes(), rest...)) {
		value, err := boundedjson.Parse(line, boundedjson.MessageDepth)
		if err != nil {
			return nil, fmt.Errorf("store: snapshot line %d: unknown format: %w", n+1, err)
		}
		op, err := decodeLegacyOp(value)
		if err != nil {
			return nil, err
		}
		n++
		if r := state.Apply(n, &kv.Txn{Ops: []kv.Op{op}}); !r.OK() {
			return nil, fmt.Errorf("store: snapshot line %d: %s", n, r.Err)
		}
	}
	return state, nil
}

type snapshot struct{ *kv.View }

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := s.Write(sink); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}
