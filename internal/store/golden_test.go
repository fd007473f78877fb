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

// goldenEntries returns log entries as raft passes them to the log store.
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
		}, // format of version 0.2
	}
}

// The stored bytes of log entries, votes and the watermark match the golden file. GOLDEN_UPDATE=1 rewrites the file
// after an intended change of the stored format.
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
			t.Errorf("entry %d was read as %+v, %v", want.Index, got, err)
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

// goldenSink is a snapshot sink in memory.
type goldenSink struct{ bytes.Buffer }

func (*goldenSink) Close() error  { return nil }
func (*goldenSink) ID() string    { return "golden" }
func (*goldenSink) Cancel() error { return nil }

// Snapshots of the state machine match the golden files and can be read, including a snapshot of version 0.2.
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
	persisted := persist(f)
	compareGolden(t, "snapshot.hex", hex.EncodeToString(persisted)+"\n")
	read := newFSM(lim)
	if err := read.Restore(io.NopCloser(bytes.NewReader(persisted))); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(persist(read), persisted) {
		t.Error("the snapshot differs after it was read and written again")
	}
	legacy := newFSM(lim)
	if err := legacy.Restore(
		io.NopCloser(strings.NewReader(`{"kind":"job","key":"k","value":"djAuMg=="}` + "\n")),
	); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "snapshot-of-version-0.2.hex", hex.EncodeToString(persist(legacy))+"\n")
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
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
