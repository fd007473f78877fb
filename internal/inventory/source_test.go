package inventory

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"gatetack/internal/node"
	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

var names = node.Names{Zones: []string{"tallinn", "tartu"}, Kinds: []string{"type-a", "type-b"}}

const asCSV = `# render boxes
name,address,zone,type,group,status
s-1,127.0.0.1:9001,tallinn,type-a,1,ready
s-2,127.0.0.1:9002,tartu,type-b,2,draining
`

const asYAML = `- {name: s-1, address: "127.0.0.1:9001", zone: tallinn, type: type-a, group: 1, status: ready}
- name: s-2
  address: 127.0.0.1:9002
  zone: tartu
  type: type-b
  group: 2
  status: draining
`

// Equivalent CSV and YAML files result in the same endpoints.
func TestCSVAndYAMLGiveSameEndpoints(t *testing.T) {
	want := []node.Endpoint{
		{Name: "s-1", Address: "127.0.0.1:9001", Zone: "tallinn", Kind: "type-a", Group: 1, Status: "ready", Weight: 1},
		{Name: "s-2", Address: "127.0.0.1:9002", Zone: "tartu", Kind: "type-b", Group: 2, Status: "draining", Weight: 1}}
	for name, text := range map[string]string{"a.csv": asCSV, "a.yaml": asYAML, "a.YML": asYAML} {
		got, err := Parse(name, []byte(text), names, testenv.Limits)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
}

// An invalid row is rejected with an error that names its line.
func TestInvalidRowIsRejectedWithLine(t *testing.T) {
	for _, c := range []struct {
		name, text string
		line       int
		about      string
	}{
		{"a.csv", strings.Replace(asCSV, "tartu", "riga", 1), 4, "zone"},
		{"a.csv", strings.Replace(asCSV, ",2,", ",-2,", 1), 4, "group"},
		{"a.csv", strings.Replace(asCSV, "draining", "gone", 1), 4, "status"},
		{"a.csv", strings.Replace(asCSV, "9002", "9001", 1), 4, "line 3"},
		{"a.csv", strings.Replace(asCSV, "s-2", "s-1", 1), 4, "line 3"},
		{"a.csv", strings.Replace(asCSV, "127.0.0.1:9001", "box1:9001", 1), 3, "address"},
		{"a.csv", strings.Replace(asCSV, ",ready", "", 1), 3, "fields"},
		{"a.csv", strings.Replace(asCSV, "status", "state", 1), 1, "state"},
		{"a.csv", "", 1, "header"},
		{"a.csv", "name,zone\n", 1, "columns"},
		{"a.yaml", strings.Replace(asYAML, "type-b", "type-c", 1), 2, "type"},
		{"a.yaml", strings.Replace(asYAML, "  group: 2\n", "", 1), 2, "group"},
		{"a.yaml", strings.Replace(asYAML, "  group: 2\n", "  group: [2]\n", 1), 6, "group"},
		{"a.yaml", strings.Replace(asYAML, "  zone:", "  hall:", 1), 4, "hall"},
		{"a.yaml", "boxes: 3", 1, "list"},
	} {
		_, err := Parse(c.name, []byte(c.text), names, testenv.Limits)
		var re *RowError
		if !errors.As(err, &re) || re.Line != c.line || !strings.Contains(err.Error(), c.about) {
			t.Errorf("got error %v, want line %d and %q, file:\n%s", err, c.line, c.about, c.text)
		}
	}
}

// A corrupted file results in complete rows or an error.
func TestCorruptedFileGivesCompleteRowsOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name, text := "a.csv", asCSV
		if rapid.Bool().Draw(t, "yaml") {
			name, text = "a.yaml", asYAML
		}
		b := []byte(text)
		for range rapid.IntRange(1, 5).Draw(t, "hits") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		rows, err := Parse(name, b[:rapid.IntRange(0, len(b)).Draw(t, "cut")], names, testenv.Limits)
		for _, r := range rows {
			if err != nil || r.Name == "" || r.Address == "" || r.Status != "ready" && r.Status != "draining" {
				t.Fatal(rows, err)
			}
		}
	})
}

// A valid change of the file is delivered. An invalid change is not, and the previous list stays in use.
func TestFileChangeIsDelivered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.csv")
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	lim := testenv.Limits
	lim.InventoryCheckInterval = time.Millisecond
	write(strings.SplitAfter(asCSV, "\n")[1])
	s := &testenv.ListRecorder{}
	if _, err := Open(path, names, lim, s, nil, testenv.DiscardLog); err != nil {
		t.Errorf("file with only a header, want an empty list: %v", err)
	}
	write("name,address,zone,type,group,status\nx,,,,,\n")
	if _, err := Open(path, names, lim, s, nil, testenv.DiscardLog); err == nil {
		t.Error("Open accepted a file with an invalid row")
	}
	write(asCSV)
	src, err := Open(path, names, lim, s, nil, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return src.Run(ctx) })
	defer func() { cancel(); _ = g.Wait() }()
	until := func(what string, ok func([]node.EndpointList) bool) {
		t.Helper()
		testenv.Until(t, what, func() bool { return ok(s.All()) })
	}
	src.Watch(true)
	until("the list", func(l []node.EndpointList) bool { return len(l) == 1 && len(l[0].Entries) == 2 })
	write(strings.Replace(asCSV, "tartu", "riga", 1))
	write(strings.Replace(asCSV, "s-1", "", 1))
	write(strings.Replace(asCSV, "draining", "ready", 1))
	until("the change", func(l []node.EndpointList) bool {
		return len(l) == 2 && len(l[1].Entries) == 2 && l[1].Entries[1].Status == "ready"
	})
}

// store is an in-memory Store.
type store struct {
	mu    sync.Mutex
	value []byte
}

func (k *store) Put(_ context.Context, _, _ string, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.value = value
	return nil
}

func (k *store) Local(_, _ string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.value, k.value != nil
}

// stuck is a store without a leader: Put blocks until its context ends.
type stuck struct{ store }

func (*stuck) Put(ctx context.Context, _, _ string, _ []byte) error { <-ctx.Done(); return ctx.Err() }

// A store that does not respond does not delay changes of the file: a drain must be delivered at once.
func TestStoreWithoutLeaderDoesNotDelayFileChanges(t *testing.T) {
	path, s := filepath.Join(t.TempDir(), "boxes.csv"), &testenv.ListRecorder{}
	if err := os.WriteFile(path, []byte(asCSV), 0o600); err != nil {
		t.Fatal(err)
	}
	src, err := Open(path, names, testenv.Limits, s, &stuck{}, testenv.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return src.Run(ctx) })
	defer func() { cancel(); _ = g.Wait() }()
	src.Watch(true)
	testenv.Until(t, "the list", func() bool { return len(s.All()) == 1 })
	if err := os.WriteFile(path, []byte(strings.Replace(asCSV, "1,ready", "1,draining", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	testenv.Until(t, "the drain", func() bool {
		l := s.All()
		return len(l) == 2 && l[1].Entries[0].Status == "draining"
	})
}

// With a store, a later inventory of one node reaches the others. Invalid rows in the store leave the list unchanged.
func TestLaterInventoryReachesOtherNodes(t *testing.T) {
	lim := testenv.Limits
	lim.InventoryCheckInterval = time.Millisecond
	k := &store{}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	startNode := func(text string, at time.Time) (string, *testenv.ListRecorder) {
		path, s := filepath.Join(t.TempDir(), "boxes.csv"), &testenv.ListRecorder{}
		if err := errors.Join(os.WriteFile(path, []byte(text), 0o600), os.Chtimes(path, at, at)); err != nil {
			t.Fatal(err)
		}
		src, err := Open(path, names, lim, s, k, testenv.DiscardLog)
		if err != nil {
			t.Fatal(err)
		}
		g.Go(func() error { return src.Run(ctx) })
		src.Watch(true)
		return path, s
	}
	last := func(s *testenv.ListRecorder, rows int) func() bool {
		return func() bool { l := s.All(); return len(l) > 0 && len(l[len(l)-1].Entries) == rows }
	}
	now := time.Now()
	short := strings.Join(strings.SplitAfter(asCSV, "\n")[:3], "")
	path, a := startNode(asCSV, now.Add(-time.Hour))
	testenv.Until(t, "its own rows", last(a, 2))
	_, b := startNode(short, now.Add(-time.Minute))
	testenv.Until(t, "the later rows of another", last(a, 1))
	k.mu.Lock()
	k.value = []byte(`{"at":` + strconv.FormatInt(now.UnixMilli(), 10) + `,"rows":[{"Name":"s-9"}]}`)
	k.mu.Unlock()
	if err := errors.Join(os.WriteFile(path+".new", []byte(asCSV+"s-3,127.0.0.1:9003,tartu,type-b,2,ready\n"), 0o600),
		os.Chtimes(path+".new", now.Add(time.Minute), now.Add(time.Minute)), os.Rename(path+".new", path)); err != nil {
		t.Fatal(err)
	}
	testenv.Until(t, "the newest rows at both", func() bool { return last(a, 3)() && last(b, 3)() })
	for _, s := range []*testenv.ListRecorder{a, b} {
		for _, l := range s.All() {
			for _, e := range l.Entries {
				if e.Name == "s-9" {
					t.Error("an invalid row of the store was adopted")
				}
			}
		}
	}
}

// The encoding of the inventory in the store is stable, since other versions of the program read it.
func TestStoredInventoryEncodingIsStable(t *testing.T) {
	entries, err := Parse("a.csv", []byte(asCSV), names, testenv.Limits)
	if err != nil {
		t.Fatal(err)
	}
	got, err := inventory{at: 1700000000123, entries: entries}.encode()
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"at":1700000000123,"rows":[` +
		`{"Name":"s-1","Address":"127.0.0.1:9001","Zone":"tallinn","Kind":"type-a","Group":1,"Status":"ready",` +
		`"Weight":1,"SinceMS":0},` +
		`{"Name":"s-2","Address":"127.0.0.1:9002","Zone":"tartu","Kind":"type-b","Group":2,"Status":"draining",` +
		`"Weight":1,"SinceMS":0}]}`
	if string(got) != want {
		t.Errorf("got encoding %s\nwant %s", got, want)
	}
}
