package inventory

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
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

// replaceFile replaces the contents of a file in one step.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := errors.Join(os.WriteFile(path+".new", []byte(text), 0o600), os.Rename(path+".new", path)); err != nil {
		t.Fatal(err)
	}
}

// A valid change of the file is delivered. An invalid change is not, and the previous list stays in use.
func TestFileChangeIsDelivered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boxes.csv")
	write := func(text string) { replaceFile(t, path, text) }
	lim := testenv.Limits
	lim.InventoryCheckInterval = time.Millisecond
	write(strings.SplitAfter(asCSV, "\n")[1])
	s := &testenv.ListRecorder{}
	if _, err := Open(Config{Path: path, Names: names, Limits: lim, Log: testenv.DiscardLog}, s); err != nil {
		t.Errorf("file with only a header, want an empty list: %v", err)
	}
	write("name,address,zone,type,group,status\nx,,,,,\n")
	if _, err := Open(Config{Path: path, Names: names, Limits: lim, Log: testenv.DiscardLog}, s); err == nil {
		t.Error("Open accepted a file with an invalid row")
	}
	write(asCSV)
	src, err := Open(Config{Path: path, Names: names, Limits: lim, Log: testenv.DiscardLog}, s)
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

// A store that does not respond does not delay changes of the file: a drain must be delivered at once.
func TestStoreWithoutLeaderDoesNotDelayFileChanges(t *testing.T) {
	path, s := filepath.Join(t.TempDir(), "boxes.csv"), &testenv.ListRecorder{}
	if err := os.WriteFile(path, []byte(asCSV), 0o600); err != nil {
		t.Fatal(err)
	}
	src, err := Open(Config{Path: path, Node: "n0", Names: names, Limits: testenv.Limits, Store: newStuckStore(),
		Log: testenv.DiscardLog}, s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return src.Run(ctx) })
	defer func() { cancel(); _ = g.Wait() }()
	src.Watch(true)
	testenv.Until(t, "the list", func() bool { return len(s.All()) == 1 })
	replaceFile(t, path, strings.Replace(asCSV, "1,ready", "1,draining", 1))
	testenv.Until(t, "the drain", func() bool {
		l := s.All()
		return len(l) == 2 && l[1].Entries[0].Status == "draining"
	})
}
