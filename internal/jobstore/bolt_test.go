package jobstore

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

func open(t testing.TB, dir string) *Bolt {
	t.Helper()
	b, err := OpenBolt(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// drawChanges draws the changes of one write.
func drawChanges(t *rapid.T) (changes []Change) {
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		c := Change{Kind: "job", Key: fmt.Sprintf("k%02d", rapid.IntRange(0, 20).Draw(t, "key"))}
		if rapid.IntRange(0, 3).Draw(t, "delete") > 0 {
			c.Value = []byte(rapid.StringN(0, 9, 9).Draw(t, "value"))
		}
		changes = append(changes, c)
	}
	return changes
}

// checkWrite writes changes to the file and to the model, and expects that a write with an invalid change has no
// effect.
func checkWrite(t *rapid.T, b *Bolt, model map[string]string) {
	changes := drawChanges(t)
	if err := b.Write(t.Context(), changes...); err != nil {
		t.Fatal(err)
	}
	for _, c := range changes {
		if c.Value == nil {
			delete(model, c.Key)
		} else {
			model[c.Key] = string(c.Value)
		}
	}
	invalid := []Change{{Kind: "job", Key: "k00", Value: []byte("bad")}, {Kind: "job"}}
	if err := b.Write(t.Context(), invalid...); err == nil {
		t.Fatal("a change without a key was accepted")
	}
}

// checkValues compares the values and the usage with the model.
func checkValues(t *rapid.T, b *Bolt, model map[string]string) {
	bytes := int64(0)
	for k, v := range model {
		bytes += int64(len(k) + len(v))
		if got, ok, err := b.Get(t.Context(), "job", k); err != nil || !ok || string(got) != v {
			t.Fatalf("%s: got %q, found %v, error %v; want %q", k, got, ok, err, v)
		}
	}
	if got, err := b.Usage("job"); err != nil || got != (Usage{int64(len(model)), bytes}) {
		t.Fatalf("usage %+v, error %v; want %d values with %d bytes", got, err, len(model), bytes)
	}
}

// checkPages expects that the pages have each value of the model once, in key order.
func checkPages(t *rapid.T, b *Bolt, model map[string]string) {
	const limit = 3
	after, seen := "", 0
	for {
		rows, err := b.Page(t.Context(), "job", after, limit)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			if r.Key <= after || string(r.Value) != model[r.Key] {
				t.Fatalf("%q after %q", r.Key, after)
			}
			after = r.Key
			seen++
		}
		if len(rows) < limit {
			break
		}
	}
	if seen != len(model) {
		t.Fatalf("%d rows, want %d", seen, len(model))
	}
}

// Written values persist after the file is reopened, pages return them in key order, and the usage is correct.
func TestBoltAgainstAMap(t *testing.T) {
	n, dir := 0, t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		n++
		folder := filepath.Join(dir, fmt.Sprint(n))
		b, err := OpenBolt(folder)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = b.Close() }()
		model := map[string]string{}
		for range rapid.IntRange(0, 12).Draw(t, "writes") {
			checkWrite(t, b, model)
		}
		if rapid.Bool().Draw(t, "again") {
			_ = b.Close()
			if b, err = OpenBolt(folder); err != nil {
				t.Fatal(err)
			}
		}
		checkValues(t, b, model)
		checkPages(t, b, model)
	})
}

// Sweep deletes expired values, and evictable ones over the limit, in key order. It skips retained values.
func TestSweepDeletesTheOldestAndNoRetainedValue(t *testing.T) {
	b := open(t, t.TempDir())
	ctx := context.Background()
	for i := range 20 {
		if err := b.Write(ctx, Change{Kind: "job", Key: fmt.Sprintf("k%02d", i), Value: []byte("value")}); err != nil {
			t.Fatal(err)
		}
	}
	retention := func(key string, _ []byte) Retention {
		switch {
		case key == "k03" || key == "k07":
			return Retained
		case key < "k05":
			return Expired
		}
		return Evictable
	}
	deleted, err := b.Sweep("job", Usage{Values: 10}, 100, retention)
	if err != nil || deleted != 10 {
		t.Errorf("%d deleted, %v", deleted, err)
	}
	rows, _ := b.Page(ctx, "job", "", 100)
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	if got := fmt.Sprint(keys); got != "[k03 k07 k12 k13 k14 k15 k16 k17 k18 k19]" {
		t.Errorf("remaining values: %s", got)
	}
	if got, _ := b.Usage("job"); got.Values != 10 {
		t.Errorf("%+v", got)
	}
}

// The file cannot be opened while it is open; it can be reopened after Close.
func TestFileIsOpenedOnceAtATime(t *testing.T) {
	dir := t.TempDir()
	b := open(t, dir)
	if _, err := OpenBolt(dir); err == nil {
		t.Fatal("the file was opened twice")
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if err := b.Write(context.Background(), Change{Kind: "job", Key: "k", Value: []byte("v")}); err == nil {
		t.Error("a write succeeded after Close")
	}
	open(t, dir)
}

func BenchmarkWrite(b *testing.B) {
	s := open(b, b.TempDir())
	value := make([]byte, 400)
	var mu sync.Mutex
	n := 0
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			n++
			key := fmt.Sprintf("%012d", n)
			mu.Unlock()
			if err := s.Write(context.Background(), Change{Kind: "job", Key: key, Value: value}); err != nil {
				b.Error(err)
			}
		}
	})
}

// After a commit that failed, the file says whether the write counts: what it contains is synced and acknowledged, and
// what it does not contain was not written.
func TestFailedCommitIsResolvedByTheFile(t *testing.T) {
	b := open(t, t.TempDir())
	ctx, cause := context.Background(), errors.New("sync failed")
	put(t, b, "there", []byte("value"))
	there := []Change{{Kind: "job", Key: "there", Value: []byte("value")}, {Kind: "job", Key: "deleted"}}
	if err := b.resolveCommit(ctx, there, cause); err != nil {
		t.Errorf("a write that is in the file: %v", err)
	}
	for _, changes := range [][]Change{
		{{Kind: "job", Key: "missing", Value: []byte("value")}},
		{{Kind: "job", Key: "there", Value: []byte("other")}},
		{{Kind: "job", Key: "there"}},
	} {
		if err := b.resolveCommit(ctx, changes, cause); !errors.Is(err, cause) || IsUnknownOutcome(err) {
			t.Errorf("%+v, which is not in the file: %v", changes, err)
		}
	}
	if err := b.Write(ctx, Change{Kind: "job", Key: "there", Value: []byte("x"), New: true}); IsUnknownOutcome(err) {
		t.Errorf("a write with a condition that failed: %v", err)
	}
}
