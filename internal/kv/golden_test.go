package kv

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The golden files pin the stored format: encoded transactions as in log entries, the result and events of each, and
// the snapshot of the resulting state. GOLDEN_UPDATE=1 rewrites them after an intended change of the format.

const goldenTransactions = "transactions.txt"

var goldenBounds = Bounds{Values: 6, Bytes: 200, History: 3, Key: 40, Value: 64, Ops: 8, Results: 4}

// goldenTxns returns transactions of each kind: all verbs, conditions that hold and that fail, leases, entries that are
// evicted and that are never evicted, retries, and invalid transactions.
func goldenTxns() []Txn {
	txns := []Txn{
		{At: 1000, Ops: []Op{{Verb: Put, Table: "job", Key: "a", Value: []byte("one")}}},
		{At: 1010, ID: "first", Ops: []Op{{Verb: Put, Table: "job", Key: "a", Value: []byte("two"), Cond: true, If: 1},
			{Verb: Put, Table: "open", Key: "a", Value: []byte{0, 1, 0xff}, Keep: true}}},
		{At: 1010, ID: "first", Ops: []Op{{Verb: Put, Table: "job", Key: "a", Value: []byte("two"), Cond: true, If: 1}}},
		{
			At:  1020,
			ID:  "second",
			Ops: []Op{{Verb: Check, Table: "job", Key: "a", Cond: true, If: 1}, {Verb: Delete, Table: "open", Key: "a"}},
		},
		{At: 1030, Ops: []Op{{Verb: Put, Table: "lease", Key: "n0", Value: []byte(`{"born":5}`), TTL: 3000}}},
		{At: 1040, Ops: []Op{{Verb: Delete, Table: "job", Key: "nothing"}}},
		{
			At:  900,
			Ops: []Op{{Verb: Put, Table: "duty", Key: "n0.000000000005", Value: []byte(`{"node":"n0","born":5}`), Keep: true}},
		},
		{At: 1050, Ops: []Op{{Verb: Put, Table: "", Key: "a"}}},
		{At: 1050, Ops: []Op{{Verb: 9, Table: "job", Key: "a"}}},
		{At: 1060, Ops: []Op{{Verb: Put, Table: "job", Key: "long", Value: bytes.Repeat([]byte("x"), 65)}}},
		{At: 4031, ID: "third", Ops: []Op{{Verb: Delete, Table: "job", Key: "a"}}},
	}
	for i := range 9 {
		txns = append(
			txns,
			Txn{At: 5000, ID: fmt.Sprint("of ", i%6), Ops: []Op{{Verb: Put, Table: "many", Key: fmt.Sprint("key ", i%8),
				Value: []byte(strings.Repeat("v", 20+i)), Keep: i == 2}}},
		)
	}
	return txns
}

// goldenState applies the transactions and returns the state and a text with their encoding, results and events. If
// lines of the golden file are given, it decodes the transactions from them.
func goldenState(t *testing.T, lines []string) (*State, string) {
	t.Helper()
	state := New(goldenBounds)
	var out strings.Builder
	for i, txn := range goldenTxns() {
		data, err := txn.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if lines != nil {
			if data, err = hex.DecodeString(strings.TrimPrefix(lines[3*i], "entry ")); err != nil {
				t.Fatal(err)
			}
			txn = Txn{}
			if err := txn.Unmarshal(data); err != nil {
				t.Fatal(err)
			}
		}
		result := state.Apply(uint64(i+1), &txn)
		fmt.Fprintf(
			&out,
			"entry %x\nresult version=%d failed=%d current=%d %s\nevents",
			data,
			result.Version,
			result.Failed,
			result.Current,
			result.Err,
		)
		for _, e := range state.Events() {
			fmt.Fprintf(&out, " [%d %d %s/%s %q %s]", e.Version, e.Verb, e.Table, e.Key, e.Value, e.Reason)
		}
		out.WriteString("\n")
	}
	return state, out.String()
}

func goldenCompare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("GOLDEN_UPDATE") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	a, b := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := 0; i < max(len(a), len(b)); i++ {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			t.Errorf("%s: line %d differs; got %d lines, want %d", name, i+1, len(b), len(a))
			if i < min(len(a), len(b)) {
				t.Errorf("got  %s\nwant %s", b[i], a[i])
			}
			return
		}
	}
}

// The encoding of transactions, their results and their events match the golden file, also if the transactions are
// decoded from that file.
func TestGoldenTransactions(t *testing.T) {
	_, encoded := goldenState(t, nil)
	goldenCompare(t, goldenTransactions, encoded)
	data, err := os.ReadFile(filepath.Join("testdata", "golden", goldenTransactions))
	if err != nil {
		t.Fatal(err)
	}
	_, read := goldenState(t, strings.Split(string(data), "\n"))
	goldenCompare(t, goldenTransactions, read)
}

// The snapshot of a state matches the golden file, and the state that is read from that file has the same snapshot.
func TestGoldenSnapshot(t *testing.T) {
	state, _ := goldenState(t, nil)
	var now bytes.Buffer
	if err := state.Snapshot().Write(&now); err != nil {
		t.Fatal(err)
	}
	goldenCompare(t, "snapshot.hex", hex.EncodeToString(now.Bytes()))
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "snapshot.hex"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(string(text))
	if err != nil {
		t.Fatal(err)
	}
	read, err := Read(bytes.NewReader(data), goldenBounds)
	if err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	if err := read.Snapshot().Write(&again); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), data) {
		t.Error("the snapshot differs after it was read and written again")
	}
	// The next transaction has the same result on the original state and on the one that was read.
	txn := Txn{At: 9000, ID: "of 5", Ops: []Op{{Verb: Put, Table: "many", Key: "next", Value: []byte("w")}}}
	a, _ := json.Marshal(state.Apply(100, &txn))
	b, _ := json.Marshal(read.Apply(100, &txn))
	if string(a) != string(b) {
		t.Errorf("result on the state that was read: %s, want %s", b, a)
	}
}
