package store

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	bolt "go.etcd.io/bbolt"

	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/membership"
)

// goldenEntries are entries of the log as raft hands them over.
func goldenEntries(t *testing.T) []*raft.Log {
	t.Helper()
	txn := &kv.Txn{
		At: 1700000000000,
		ID: "n0.5.1",
		Ops: []kv.Op{{Verb: kv.Put, Table: "job", Key: "n0.000000000005.000000000001",
			Value: []byte(`{"jobId":"n0.5.1"}`), Keep: true}},
	}
	data, err := txn.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return []*raft.Log{
		{
			Index: 1,
			Term:  1,
			Type:  raft.LogConfiguration,
			Data:  raft.EncodeConfiguration(raftConfiguration(map[string]string{"n0": "127.0.0.1:1"})),
		},
		{Index: 2, Term: 2, Type: raft.LogNoop},
		{Index: 3, Term: 2, Type: raft.LogCommand, Data: data},
		{
			Index: 4,
			Term:  2,
			Type:  raft.LogCommand,
			Data:  []byte(`{"kind":"job","key":"k","value":"djAuMg=="}`),
		}, // as version 0.2 wrote it
	}
}

// Entries of the log, votes and the mark beside it are, byte for byte, what the program wrote before its code was
// reshaped. GOLDEN_UPDATE=1 writes the golden file anew, for a change of the stored form that is meant.
func TestGoldenDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "raft.db")
	log, err := openLog(path)
	if err != nil {
		t.Fatal(err)
	}
	d := newDisk(log, nil)
	if err := d.StoreLogs(goldenEntries(t)); err != nil {
		t.Fatal(err)
	}
	if err := d.SetUint64([]byte("CurrentTerm"), 2); err != nil {
		t.Fatal(err)
	}
	if err := d.Set([]byte("LastVoteCand"), []byte("n0")); err != nil {
		t.Fatal(err)
	}
	for _, want := range goldenEntries(t) {
		var got raft.Log
		if err := d.GetLog(want.Index, &got); err != nil || !bytes.Equal(got.Data, want.Data) || got.Type != want.Type {
			t.Errorf("entry %d is read as %+v, %v", want.Index, got, err)
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(table []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %x %x\n", table, k, v)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	m := &watermark{
		folder: 0x1122334455667788,
		boot:   0x99aabbccddeeff00,
		last:   membership.Position{Term: 2, Index: 4},
		term:   3,
	}
	fmt.Fprintf(&out, "mark %x\n", m.encode())
	compareGolden(t, "disk.txt", out.String())
}

// goldenSink takes a snapshot.
type goldenSink struct{ bytes.Buffer }

func (*goldenSink) Close() error  { return nil }
func (*goldenSink) ID() string    { return "golden" }
func (*goldenSink) Cancel() error { return nil }

// The state machine's snapshot is what it was, and is read again; so is one that version 0.2 wrote.
func TestGoldenStateMachine(t *testing.T) {
	lim := limits.New(0, 0, 0, 0, 0)
	f := newFSM(lim)
	for _, l := range goldenEntries(t) {
		if l.Type == raft.LogCommand {
			f.Apply(l)
		}
	}
	persist := func(f *fsm) []byte {
		s, err := f.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		var sink goldenSink
		if err := s.Persist(&sink); err != nil {
			t.Fatal(err)
		}
		return sink.Bytes()
	}
	written := persist(f)
	compareGolden(t, "snapshot.hex", hex.EncodeToString(written)+"\n")
	read := newFSM(lim)
	if err := read.Restore(io.NopCloser(bytes.NewReader(written))); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(persist(read), written) {
		t.Error("a snapshot that was read and written again differs")
	}
	old := newFSM(lim)
	if err := old.Restore(
		io.NopCloser(strings.NewReader(`{"kind":"job","key":"k","value":"djAuMg=="}` + "\n")),
	); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "snapshot-of-version-0.2.hex", hex.EncodeToString(persist(old))+"\n")
}

func compareGolden(t *testing.T, name, got string) {
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
	if string(want) != got {
		t.Errorf("%s: is now\n%s\nwant\n%s", name, got, want)
	}
}
