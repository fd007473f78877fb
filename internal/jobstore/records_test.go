package jobstore

import (
	"context"
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

// Whatever is written is there after the file is opened again, in order, page by page, and the tally adds up.
func TestBoltAgainstAMap(t *testing.T) {
	ctx, n := context.Background(), 0
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		n++
		b, err := OpenBolt(filepath.Join(dir, fmt.Sprint(n)))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = b.Close() }()
		want := map[string]string{}
		for range rapid.IntRange(0, 12).Draw(t, "writes") {
			var changes []Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				c := Change{Kind: "job", Key: fmt.Sprintf("k%02d", rapid.IntRange(0, 20).Draw(t, "key"))}
				if rapid.IntRange(0, 3).Draw(t, "delete") > 0 {
					c.Value = []byte(rapid.StringN(0, 9, 9).Draw(t, "value"))
				}
				changes = append(changes, c)
			}
			if err := b.Write(ctx, changes...); err != nil {
				t.Fatal(err)
			}
			for _, c := range changes {
				if c.Value == nil {
					delete(want, c.Key)
				} else {
					want[c.Key] = string(c.Value)
				}
			}
			// One bad change, and none is made.
			if err := b.Write(ctx, Change{Kind: "job", Key: "k00", Value: []byte("bad")}, Change{Kind: "job"}); err == nil {
				t.Fatal("a change without a key")
			}
		}
		if rapid.Bool().Draw(t, "again") {
			_ = b.Close()
			if b, err = OpenBolt(filepath.Join(dir, fmt.Sprint(n))); err != nil {
				t.Fatal(err)
			}
		}
		bytes := int64(0)
		for k, v := range want {
			bytes += int64(len(k) + len(v))
			if got, ok, err := b.Get(ctx, "job", k); err != nil || !ok || string(got) != v {
				t.Fatalf("%s: %q %v %v, want %q", k, got, ok, err, v)
			}
		}
		if got, err := b.Usage("job"); err != nil || got != (Usage{int64(len(want)), bytes}) {
			t.Fatalf("%+v %v, want %d values of %d bytes", got, err, len(want), bytes)
		}
		after, seen := "", 0
		for {
			rows, err := b.Page(ctx, "job", after, 3)
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range rows {
				if r.Key <= after || string(r.Value) != want[r.Key] {
					t.Fatalf("%q after %q", r.Key, after)
				}
				after = r.Key
				seen++
			}
			if len(rows) < 3 {
				break
			}
		}
		if seen != len(want) {
			t.Fatalf("%d rows, want %d", seen, len(want))
		}
	})
}

// Values go by age and by number, the first ones first; those that must stay are passed over.
func TestSweep(t *testing.T) {
	b := open(t, t.TempDir())
	ctx := context.Background()
	for i := range 20 {
		if err := b.Write(ctx, Change{Kind: "job", Key: fmt.Sprintf("k%02d", i), Value: []byte("value")}); err != nil {
			t.Fatal(err)
		}
	}
	fate := func(key string, _ []byte) Retention {
		switch {
		case key == "k03" || key == "k07":
			return Retained
		case key < "k05":
			return Expired
		}
		return Evictable
	}
	gone, err := b.Sweep("job", Usage{Values: 10}, 100, fate)
	if err != nil || gone != 10 {
		t.Errorf("%d went, %v", gone, err)
	}
	rows, _ := b.Page(ctx, "job", "", 100)
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	if got := fmt.Sprint(keys); got != "[k03 k07 k12 k13 k14 k15 k16 k17 k18 k19]" {
		t.Errorf("left: %s", got)
	}
	if got, _ := b.Usage("job"); got.Values != 10 {
		t.Errorf("%+v", got)
	}
}

// A second process is told that the file is in use; after the end of the first one it gets it.
func TestOneAtATime(t *testing.T) {
	dir := t.TempDir()
	b := open(t, dir)
	if _, err := OpenBolt(dir); err == nil {
		t.Fatal("opened twice")
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	if err := b.Write(context.Background(), Change{Kind: "job", Key: "k", Value: []byte("v")}); err == nil {
		t.Error("written after its end")
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
