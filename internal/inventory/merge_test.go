package inventory

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gatetack/internal/kv"
	"gatetack/internal/testenv"
)

// draw draws rows with few names and addresses, so that changes concern the same rows.
func draw(t *rapid.T, label string) []row {
	var rows []row
	addresses := rapid.Permutation([]int{1, 2, 3, 4, 5, 6}).Draw(t, label+" addresses")
	for i := range 5 {
		if !rapid.Bool().Draw(t, label+" has") {
			continue
		}
		status := rapid.SampledFrom([]string{statusReady, statusDraining}).Draw(t, label+" status")
		rows = append(rows, row{fmt.Sprintf("s-%d", i), fmt.Sprintf("127.0.0.1:%d", addresses[i]), "tallinn", "type-a",
			rapid.IntRange(1, 2).Draw(t, label+" group"), status})
	}
	return rows
}

func find(rows []row, name string) (row, bool) {
	for _, r := range rows {
		if r.Name == name {
			return r, true
		}
	}
	return row{}, false
}

// For all lists and changes: an unchanged file changes nothing; rows that the file did not change remain; a drain in
// the file counts; a drain that the node could not know is not ended; names and addresses stay unique.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := sharedList{serial: 9, rows: listOf(draw(t, "shared")).rows}
		for i := range list.rows {
			list.rows[i].changedIn = uint64(rapid.IntRange(1, 9).Draw(t, "changed in"))
		}
		change := fileChange{previous: draw(t, "previous"), current: draw(t, "current"),
			basedOn: uint64(rapid.IntRange(1, 9).Draw(t, "based on"))}
		same, conflicts := merge(list, fileChange{previous: change.previous, current: change.previous})
		if same.serial != list.serial || len(conflicts) > 0 || fmt.Sprint(same) != fmt.Sprint(list) {
			t.Fatalf("an unchanged file changed %v to %v", list, same)
		}
		next, _ := merge(list, change)
		got := rowsOfList(next)
		addresses := map[string]bool{}
		for _, r := range got {
			if addresses[r.Address] {
				t.Fatalf("address %s twice in %v", r.Address, got)
			}
			addresses[r.Address] = true
		}
		for _, shared := range list.rows {
			if fault := checkMerged(shared, change, got); fault != "" {
				t.Fatalf("%v: %s", shared, fault)
			}
		}
	})
}

// checkMerged returns what is wrong with a shared row after a merge, or an empty string.
func checkMerged(shared sharedRow, change fileChange, got []row) string {
	previous, had := find(change.previous, shared.Name)
	current, has := find(change.current, shared.Name)
	merged, remains := find(got, shared.Name)
	drains := has && current.Status == statusDraining && (!had || previous.Status != statusDraining)
	unknownDrain := shared.Status == statusDraining && shared.changedIn > change.basedOn
	switch {
	case remains == (had && !has):
		return "kept although removed, or lost"
	case remains && had == has && previous == current && merged != shared.row:
		return fmt.Sprintf("became %v, the file did not change it", merged)
	case remains && (drains || unknownDrain) && merged.Status != statusDraining:
		return "does not drain"
	}
	return ""
}

// What another node has removed or given away is not taken back by a change that did not know of it, and is reported.
func TestMergeReportsConflicts(t *testing.T) {
	a := row{"a", "127.0.0.1:1", "tallinn", "type-a", 1, statusReady}
	b := row{"b", "127.0.0.1:2", "tallinn", "type-a", 1, statusReady}
	draining := a
	draining.Status = statusDraining
	moved := a
	moved.Address = b.Address
	for _, x := range []struct {
		name              string
		shared            []row
		previous, current row
		want              row
		reason            string
	}{
		{"removed elsewhere", []row{b}, a, draining, b, "removed"},
		{"address given away", []row{a, b}, a, moved, a, "address"},
		{"drained elsewhere", []row{draining}, draining, a, draining, "drain"},
		{"added but draining", []row{draining}, row{}, a, draining, "drain"},
	} {
		list := sharedList{serial: 5, rows: listOf(x.shared).rows}
		for i := range list.rows {
			list.rows[i].changedIn = 5
		}
		change := fileChange{current: []row{x.current}, basedOn: 4}
		if x.previous != (row{}) {
			change.previous = []row{x.previous}
		}
		next, conflicts := merge(list, change)
		if got := rowsOfList(next); got[0] != x.want || len(got) != len(x.shared) {
			t.Errorf("%s: got %v", x.name, got)
		}
		if len(conflicts) != 1 || !strings.Contains(conflicts[0].String(), x.reason) {
			t.Errorf("%s: conflicts %v", x.name, conflicts)
		}
	}
}

// Of the values in the store, those with a serial number are accepted, those of version 0.3.0 only with a later stamp.
func TestAcceptedInventory(t *testing.T) {
	numbered := func(stamp int64, serial uint64, status string) string {
		return strings.Replace(legacy(stamp, status), `{"at"`, fmt.Sprintf(`{"serial":%d,"at"`, serial), 1)
	}
	for _, x := range []struct {
		name   string
		values []string
		status string // of the first executor, empty for no inventory
		serial uint64
		stale  bool
	}{
		{"none", nil, "", 0, false},
		{"only an invalid one", []string{`{"at":7,"rows":[{"Name":"a"}]}`}, "", 0, true},
		{"the first of 0.3.0", []string{legacy(5, statusReady)}, statusReady, 1, false},
		{"a later one of 0.3.0", []string{legacy(5, statusReady), legacy(6, statusDraining)}, statusDraining, 2, false},
		{"an earlier one of 0.3.0", []string{legacy(5, statusDraining), legacy(4, statusReady)}, statusDraining, 1, true},
		{"one of 0.3.0 with the same stamp", []string{numbered(5, 3, statusDraining), legacy(5, statusReady)},
			statusDraining, 3, true},
		{"a numbered one with any stamp", []string{legacy(5, statusReady), numbered(1, 2, statusDraining)},
			statusDraining, 2, false},
		{"an invalid one last", []string{numbered(5, 3, statusDraining), "{"}, statusDraining, 3, true},
	} {
		var values []*kv.Entry
		for i, v := range x.values {
			values = append(values, &kv.Entry{Value: []byte(v), Version: uint64(i + 10)})
		}
		got := accept(values)
		status := ""
		if got.exists {
			status = got.rows[0].Status
		}
		if status != x.status || got.serial != x.serial || got.stale != x.stale {
			t.Errorf("%s: got %+v", x.name, got)
		}
		if len(values) > 0 && got.version != values[len(values)-1].Version {
			t.Errorf("%s: version %d", x.name, got.version)
		}
	}
}

// The encodings of the inventory and of a node's file in the store are stable, since other versions of the program read
// them. Version 0.3.0 reads the former and ignores what it does not know.
func TestStoredInventoryEncodingIsStable(t *testing.T) {
	entries, err := Parse("a.csv", []byte(asCSV), names, testenv.Limits)
	if err != nil {
		t.Fatal(err)
	}
	list := listOf(rowsOf(entries))
	list.stampMs = 1700000000123
	const want = `{"at":1700000000123,"rows":[` +
		`{"Name":"s-1","Address":"127.0.0.1:9001","Zone":"tallinn","Kind":"type-a","Group":1,"Status":"ready",` +
		`"Weight":1,"SinceMS":0},` +
		`{"Name":"s-2","Address":"127.0.0.1:9002","Zone":"tartu","Kind":"type-b","Group":2,"Status":"draining",` +
		`"Weight":1,"SinceMS":0}]}`
	got, err := list.encode()
	if err != nil || string(got) != want {
		t.Errorf("got encoding %s, %v\nwant %s", got, err, want)
	}
	list = withSerial(list, sharedList{serial: 6})
	numbered := strings.NewReplacer(`"SinceMS":0}`, `"SinceMS":0,"ChangedIn":7}`, `]}`, `],"serial":7}`).Replace(want)
	if got, err = list.encode(); err != nil || string(got) != numbered {
		t.Errorf("got encoding %s, %v\nwant %s", got, err, numbered)
	}
	if back, err := decodeList(got); err != nil || fmt.Sprint(back) != fmt.Sprint(list) {
		t.Errorf("decoded %v, %v", back, err)
	}
	const wantFile = `{"mergedIn":7,"rows":[["s-1","127.0.0.1:9001","tallinn","type-a","1","ready"],` +
		`["s-2","127.0.0.1:9002","tartu","type-b","2","draining"]]}`
	contents := mergedFile{rows: rowsOf(entries), mergedIn: 7}
	file, err := contents.encode()
	if err != nil || string(file) != wantFile {
		t.Errorf("got encoding %s, %v\nwant %s", file, err, wantFile)
	}
	if back, err := decodeFile(file); err != nil || fmt.Sprint(back) != fmt.Sprint(contents) {
		t.Errorf("decoded %v, %v", back, err)
	}
}
