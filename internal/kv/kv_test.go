package kv

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

var bounds = Bounds{Values: 6, Bytes: 200, History: 3, Key: 20, Value: 60, Ops: 8, Results: 5}

// appliedTxn is a transaction with its result.
type appliedTxn struct {
	txn    Txn
	result Result
}

// model is a reference implementation of State with plain maps.
type model struct {
	now     int64
	entries map[string]Entry
	history map[string][]Entry
}

func (m *model) drop(p string) { delete(m.entries, p); delete(m.history, p) }

func (m *model) apply(index uint64, t *Txn) (failed int, current uint64) {
	m.now = max(m.now, t.At)
	for p, e := range m.entries {
		if e.Expires > 0 && e.Expires <= m.now {
			m.drop(p)
		}
	}
	for i, op := range t.Ops {
		if e := m.entries[op.Table+"/"+op.Key]; op.Cond && e.Version != op.If {
			return i, e.Version
		}
	}
	if m.full(t) {
		return -2, 0
	}
	for _, op := range t.Ops {
		p := op.Table + "/" + op.Key
		switch op.Verb {
		case Put:
			e := Entry{Table: op.Table, Key: op.Key, Value: op.Value, Created: index, Version: index, Keep: op.Keep}
			if op.TTL > 0 {
				e.Expires = m.now + op.TTL
			}
			if old, ok := m.entries[p]; ok {
				e.Created = old.Created
				m.archive(p, old)
			}
			m.entries[p] = e
			m.evict(op.Table, p)
		case Delete:
			m.drop(p)
		}
	}
	return -1, 0
}

// archive adds a former value to the history of a path.
func (m *model) archive(p string, old Entry) {
	h := m.history[p]
	if n := len(h); n == 0 || h[n-1].Version != old.Version {
		h = append(h, old)
	} else {
		h[n-1] = old
	}
	m.history[p] = h[max(0, len(h)-bounds.History):]
}

// evict drops the oldest entries of a table, except one, until the table is within its bounds.
func (m *model) evict(table, except string) {
	for m.over(table) {
		first := m.oldest(table, except)
		if first == "" {
			return
		}
		m.drop(first)
	}
}

// oldest returns the path of the entry that is evicted next, or an empty string.
func (m *model) oldest(table, except string) string {
	first := ""
	for q, x := range m.entries {
		if x.Table != table || q == except || x.Keep {
			continue
		}
		y := m.entries[first]
		if first == "" || x.Created < y.Created || x.Created == y.Created && x.Key < y.Key {
			first = q
		}
	}
	return first
}

// full reports whether the entries that are never evicted would exceed the bounds of their table after a transaction.
func (m *model) full(t *Txn) bool {
	for _, table := range []string{"a", "ab"} {
		n, size, adds := 0, 0, false
		add := func(key string, value []byte) { n++; size += len(key) + len(value) }
		for _, e := range m.entries {
			if e.Table == table && e.Keep {
				add(e.Key, e.Value)
			}
		}
		for _, op := range t.Ops {
			if op.Verb == Put && op.Keep && op.Table == table && !m.entries[table+"/"+op.Key].Keep {
				add(op.Key, op.Value)
				adds = true
			}
		}
		if adds && (n > bounds.Values || size > bounds.Bytes) {
			return true
		}
	}
	return false
}

func (m *model) over(table string) bool {
	n, size := 0, 0
	for _, e := range m.entries {
		if e.Table == table {
			n++
			size += len(e.Key) + len(e.Value)
		}
	}
	return n > 1 && (n > bounds.Values || size > bounds.Bytes)
}

// drawOp draws one operation, whose condition holds in most cases.
func drawOp(t *rapid.T, m *model) Op {
	op := Op{
		Verb:  Verb(rapid.IntRange(1, 3).Draw(t, "verb")),
		Table: rapid.SampledFrom([]string{"a", "ab"}).Draw(t, "table"),
		Key:   fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")),
	}
	if op.Verb == Put {
		op.Value = rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "value")
		op.Keep = rapid.IntRange(0, 2).Draw(t, "kept") == 0
		op.TTL = int64(rapid.SampledFrom([]int{0, 0, 5, 50}).Draw(t, "ttl"))
	}
	if op.Cond = rapid.IntRange(0, 3).Draw(t, "cond") == 0; op.Cond {
		op.If = m.entries[op.Table+"/"+op.Key].Version
		if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
			op.If += uint64(rapid.IntRange(0, 2).Draw(t, "off"))
		}
	}
	return op
}

// drawTxn draws a transaction.
func drawTxn(t *rapid.T, m *model) *Txn {
	txn := &Txn{At: int64(rapid.IntRange(0, 100).Draw(t, "at"))}
	for range rapid.IntRange(0, 4).Draw(t, "ops") {
		txn.Ops = append(txn.Ops, drawOp(t, m))
	}
	return txn
}

// roundTrip encodes and decodes a transaction, as a member does.
func roundTrip(t *rapid.T, txn *Txn) Txn {
	data, err := txn.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	var out Txn
	if err := out.Unmarshal(data); err != nil {
		t.Fatal(err)
	}
	return out
}

// checkApply applies a transaction to the state and to the model and compares the results.
func checkApply(t *rapid.T, s *State, m *model, index uint64, txn *Txn) appliedTxn {
	decoded := roundTrip(t, txn)
	decoded.ID = fmt.Sprint("id", index)
	got := s.Apply(index, &decoded)
	failed, current := m.apply(index, txn)
	switch {
	case failed == -2:
		if !strings.HasPrefix(got.Err, FullPrefix) {
			t.Fatalf("%+v, want a rejection because the table is full", got)
		}
	case got.Err != "" || got.Failed != failed || failed >= 0 && got.Current != current:
		t.Fatalf("%+v, want failed %d, current %d", got, failed, current)
	}
	if r := s.Apply(index, &decoded); r.OK() {
		t.Fatal("a transaction was applied twice at one index")
	}
	return appliedTxn{Txn{ID: decoded.ID, Ops: decoded.Ops}, got}
}

// checkRepeat applies one of the latest transactions again and expects the same result and no effect.
func checkRepeat(t *rapid.T, s *State, index uint64, applied []appliedTxn) {
	x := applied[rapid.IntRange(max(0, len(applied)-bounds.Results), len(applied)-1).Draw(t, "which")]
	if r := s.Apply(index, &x.txn); r != x.result || len(s.Events()) != 0 {
		t.Fatalf("retry returned %+v, first attempt %+v, events %+v", r, x.result, s.Events())
	}
}

// checkSnapshot encodes and decodes a snapshot and expects the same state.
func checkSnapshot(t *rapid.T, s *State, m *model) {
	back, err := Read(bytes.NewReader(encodeSnapshot(t, s.Snapshot())), bounds)
	if err != nil {
		t.Fatal(err)
	}
	expectState(t, back.Snapshot(), m)
	if back.index != s.index || back.now != s.now || back.NextExpiry() != s.NextExpiry() ||
		!reflect.DeepEqual(back.Snapshot().Tables(), s.Snapshot().Tables()) {
		t.Fatal("the state that was read from a snapshot differs")
	}
}

// After any transactions the state equals the model. A snapshot that is taken in between does not change, and decoding
// it restores the same state.
func TestAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := New(bounds), &model{entries: map[string]Entry{}, history: map[string][]Entry{}}
		var snapshot *View
		var snapshotBytes []byte
		index := uint64(0)
		var applied []appliedTxn
		for range rapid.IntRange(1, 40).Draw(t, "transactions") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			applied = append(applied, checkApply(t, s, m, index, drawTxn(t, m)))
			if rapid.IntRange(0, 2).Draw(t, "again") == 0 {
				index++
				checkRepeat(t, s, index, applied)
			}
			expectState(t, s.Snapshot(), m)
			if rapid.IntRange(0, 5).Draw(t, "keep") == 0 {
				snapshot, snapshotBytes = s.Snapshot(), encodeSnapshot(t, s.Snapshot())
			}
		}
		if snapshot != nil && !bytes.Equal(encodeSnapshot(t, snapshot), snapshotBytes) {
			t.Fatal("a snapshot changed after it was taken")
		}
		checkSnapshot(t, s, m)
	})
}

func encodeSnapshot(t interface{ Fatal(...any) }, v *View) []byte {
	var b bytes.Buffer
	if err := v.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func expectState(t *rapid.T, v *View, m *model) {
	n := 0
	for _, table := range []string{"a", "ab"} {
		for _, e := range v.List(table, "", "", 100) {
			if n++; !reflect.DeepEqual(*e, m.entries[table+"/"+e.Key]) {
				t.Fatalf("%+v, want %+v", *e, m.entries[table+"/"+e.Key])
			}
			h := v.History(table, e.Key)
			want := append(append([]Entry{}, m.history[table+"/"+e.Key]...), m.entries[table+"/"+e.Key])
			if len(h) != len(want) {
				t.Fatalf("%d former values of %s, want %d", len(h), e.Key, len(want))
			}
			for i := range h {
				if !reflect.DeepEqual(*h[i], want[i]) {
					t.Fatalf("%+v, want %+v", *h[i], want[i])
				}
			}
		}
	}
	if n != len(m.entries) {
		t.Fatalf("%d entries, want %d", n, len(m.entries))
	}
}

// Listing a prefix page by page returns each key once.
func TestPagesContainEachKeyOnce(t *testing.T) {
	s := New(Bounds{Key: 20, Value: 20, Ops: 100})
	var ops []Op
	for _, k := range []string{"a", "b/1", "b/2", "b/3", "b0", "c"} {
		ops = append(ops, Op{Verb: Put, Table: "t", Key: k}, Op{Verb: Put, Table: "t2", Key: k})
	}
	if r := s.Apply(1, &Txn{Ops: ops}); !r.OK() {
		t.Fatalf("%+v", r)
	}
	var keys []string
	for after := ""; ; {
		page := s.Snapshot().List("t", "b/", after, 2)
		for _, e := range page {
			keys = append(keys, e.Key)
			after = e.Key
		}
		if len(page) < 2 {
			break
		}
	}
	if got := fmt.Sprint(keys); got != "[b/1 b/2 b/3]" {
		t.Error(got)
	}
	if n := len(s.Snapshot().List("t", "", "", 100)); n != 6 {
		t.Errorf("%d entries in the table, want 6", n)
	}
}

// Invalid transactions have no effect and return a reason.
func TestInvalidTransactionsHaveNoEffect(t *testing.T) {
	for i, ops := range [][]Op{
		{{Verb: Put, Key: "k"}},
		{{Verb: Put, Table: "t"}},
		{{Verb: 9, Table: "t", Key: "k"}},
		{{Verb: Put, Table: "t", Key: "a\x00b"}},
		{{Verb: Put, Table: "t", Key: "k", Value: make([]byte, 61)}},
		make([]Op, 9),
		{{Verb: Put, Table: "t", Key: "k", TTL: -1}},
		{{Verb: Delete, Table: "t", Key: "k", TTL: 1}},
	} {
		s := New(bounds)
		if r := s.Apply(1, &Txn{Ops: ops}); r.Err == "" || len(s.Snapshot().Tables()) != 0 || len(s.Events()) != 0 {
			t.Errorf("%d: %+v", i, r)
		}
	}
}

// Reading a snapshot with any byte changed, or truncated at any position, returns an error.
func TestDamagedSnapshotIsAnError(t *testing.T) {
	s := New(bounds)
	for i := range uint64(5) {
		s.Apply(i+1, &Txn{At: 5, Ops: []Op{{Verb: Put, Table: "t", Key: fmt.Sprint(i % 3), Value: []byte("value"), TTL: 99}}})
	}
	good := encodeSnapshot(t, s.Snapshot())
	if _, err := Read(bytes.NewReader(good), bounds); err != nil {
		t.Fatal(err)
	}
	for i := range good {
		bad := bytes.Clone(good)
		bad[i] ^= 0x41
		if _, err := Read(bytes.NewReader(bad), bounds); err == nil {
			t.Errorf("snapshot with byte %d of %d changed was read without an error", i, len(good))
		}
		if _, err := Read(bytes.NewReader(good[:i]), bounds); err == nil {
			t.Errorf("snapshot truncated at %d of %d bytes was read without an error", i, len(good))
		}
	}
}

// FuzzDecoders checks that no input makes the decoders panic.
func FuzzDecoders(f *testing.F) {
	txn, _ := (&Txn{At: 1, Ops: []Op{{Verb: Put, Table: "t", Key: "k", Value: []byte("v")}}}).Marshal()
	f.Add(txn)
	f.Add([]byte{txnFormat, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte(snapshotFormat))
	f.Fuzz(func(t *testing.T, b []byte) {
		var x Txn
		if err := x.Unmarshal(b); err == nil {
			New(bounds).Apply(1, &x)
		} else if len(b) > 0 && b[0] != txnFormat && !errors.Is(err, ErrUnknownFormat) {
			t.Fatal(err)
		}
		_, _ = Read(bytes.NewReader(b), bounds)
	})
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Bounds{Key: 100, Value: 1000, Ops: 10, History: 4})
			value := make([]byte, 100)
			i := uint64(0)
			for b.Loop() {
				i++
				s.Apply(i, &Txn{Ops: []Op{{Verb: Put, Table: "t", Key: fmt.Sprint(i % uint64(n)), Value: value}}})
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s := New(Bounds{Key: 100, Value: 1000, Ops: 10})
	for i := range uint64(100000) {
		s.Apply(i+1, &Txn{Ops: []Op{{Verb: Put, Table: "t", Key: fmt.Sprint(i), Value: make([]byte, 100)}}})
	}
	for b.Loop() {
		if err := s.Snapshot().Write(io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
