package settingsync

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/atomicfile"
	"gatetack/internal/atomicfile/atomicfiletest"
	"gatetack/internal/settings"
)

// faultyCache returns a cache on a file system whose calls fail on demand.
func faultyCache(t *testing.T) (Cache, *atomicfiletest.FaultFS) {
	t.Helper()
	files := atomicfiletest.New()
	return Cache{filepath.Join(t.TempDir(), "settings.json"), files}, files
}

// documentOf returns a document of a version with one item.
func documentOf(t *testing.T, version uint64) *settings.Document {
	t.Helper()
	u := settings.Update{
		Version:  version,
		Snapshot: true,
		Changes:  []settings.Change{{Key: "class/a", Version: version, Value: json.RawMessage(`{"worth":2}`)}},
	}
	d, err := settings.NewDocument().Apply(u)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// loadVersion returns the version of the document in the cache.
func loadVersion(t *testing.T, c Cache) uint64 {
	t.Helper()
	d, err := c.Load()
	if err != nil {
		t.Fatal(err)
	}
	return d.Version()
}

// The content is synced before the file is renamed, so that a power loss does not leave an empty file.
func TestCacheIsSyncedBeforeTheRename(t *testing.T) {
	cache, files := faultyCache(t)
	if err := cache.Save(documentOf(t, 7)); err != nil {
		t.Fatal(err)
	}
	want := []atomicfiletest.Op{
		atomicfiletest.Create,
		atomicfiletest.Write,
		atomicfiletest.Sync,
		atomicfiletest.Rename,
		atomicfiletest.SyncDir,
	}
	got := files.Calls()
	if len(got) != len(want) {
		t.Fatalf("%v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("%v, want %v", got, want)
		}
	}
}

// Whichever call fails, Save returns an error, and the cache contains the previous document or this one completely.
func TestCacheOnAFailingDisk(t *testing.T) {
	for _, x := range []struct {
		op    atomicfiletest.Op
		cause error
		want  uint64
	}{
		{atomicfiletest.Create, syscall.ENOSPC, 7},
		{atomicfiletest.Write, syscall.ENOSPC, 7},
		{atomicfiletest.Sync, syscall.EIO, 7},
		{atomicfiletest.Rename, syscall.EIO, 7},
		{atomicfiletest.SyncDir, syscall.EIO, 8},
	} {
		t.Run(string(x.op), func(t *testing.T) {
			cache, files := faultyCache(t)
			if err := cache.Save(documentOf(t, 7)); err != nil {
				t.Fatal(err)
			}
			files.Fail(x.op, 1, x.cause)
			err := cache.Save(documentOf(t, 8))
			if _, ok := errors.AsType[*CacheError](err); !ok || !errors.Is(err, x.cause) {
				t.Errorf("%v, want a CacheError of %v", err, x.cause)
			}
			if got := loadVersion(t, cache); got != x.want {
				t.Errorf("version %d, want %d", got, x.want)
			}
			if err := cache.Save(documentOf(t, 9)); err != nil || loadVersion(t, cache) != 9 {
				t.Errorf("after the disk works again: %v", err)
			}
		})
	}
}

// An invalid file, for example one that is empty or full of zeros after a power loss, is treated as absent. The error
// contains the path and a remedy.
func TestDamagedCacheIsIgnored(t *testing.T) {
	for _, content := range []string{
		"", "\n", "{}", "null", "[]", string(make([]byte, 4096)),
		`{"version":7,"from":7,"changes":[]}`,
		`{"version":7,"snapshot":true,"changes":[]}x`} {
		cache, _ := faultyCache(t)
		if err := os.WriteFile(cache.path, []byte(content), cacheMode); err != nil {
			t.Fatal(err)
		}
		d, err := cache.Load()
		damaged, ok := errors.AsType[*CacheError](err)
		if !ok || damaged.Path != cache.path || damaged.Remedy() == "" || d == nil || d.Version() != 0 || d.Len() != 0 {
			t.Errorf("%q: %v, %v", content, d, err)
		}
	}
}

// Settings that were activated while the disk was full are written to the cache once it has space, without another
// change.
func TestCacheIsWrittenOnceTheDiskWorksAgain(t *testing.T) {
	cache, files := faultyCache(t)
	s := startService(t, newFakeStore())
	files.Fail(atomicfiletest.Write, -1, syscall.ENOSPC)
	target := &fakeTarget{}
	startFollower(t, "p", s, target, cache)
	version := apply(t, s, oneChange("class/a", `{"worth":2}`))
	waitFor(t, "the write was attempted twice", func() bool {
		writes := 0
		for _, op := range files.Calls() {
			if op == atomicfiletest.Write {
				writes++
			}
		}
		return writes >= 2
	})
	if got := loadVersion(t, cache); got != 0 || target.latest() != version {
		t.Fatalf("version %d in the cache, %d active", got, target.latest())
	}
	files.Heal()
	waitFor(t, "the version is in the cache", func() bool { return loadVersion(t, cache) == version })
}

// Each start has a higher incarnation than the previous one, also after the clock was stepped back, as long as the
// folder persists.
func TestIncarnationIncreasesWhenTheClockIsSteppedBack(t *testing.T) {
	cache, _ := faultyCache(t)
	start := time.Now()
	last := int64(0)
	for _, at := range []time.Duration{0, -time.Second, -30 * time.Second, -time.Hour, time.Hour, 0} {
		now := start.Add(at).UnixMilli()
		got, err := cache.NextIncarnation(now)
		if err != nil || got <= last || got < now {
			t.Errorf("at %v: %d after %d, %v", at, got, last, err)
		}
		last = got
	}
}

// An incarnation that cannot be stored, or whose predecessor is unknown, is the time of the clock, with an error.
func TestIncarnationThatCannotBeStored(t *testing.T) {
	cache, files := faultyCache(t)
	files.Fail(atomicfiletest.Sync, 1, syscall.ENOSPC)
	if got, err := cache.NextIncarnation(1000); got != 1000 || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("%d, %v", got, err)
	}
	if err := os.WriteFile(cache.path+incarnationSuffix, nil, cacheMode); err != nil {
		t.Fatal(err)
	}
	if got, err := cache.NextIncarnation(1000); got != 1000 || !errors.Is(err, strconv.ErrSyntax) {
		t.Errorf("%d, %v", got, err)
	}
	if got, err := cache.NextIncarnation(1000); got != 1001 || err != nil {
		t.Errorf("it was not stored again: %d, %v", got, err)
	}
	if got, err := (Cache{files: atomicfile.OS}).NextIncarnation(1000); got != 1000 || err != nil {
		t.Errorf("without a cache: %d, %v", got, err)
	}
}

// While one process of a node replaces another, both save their settings. The later settings stay, whichever process
// saves last.
func TestCacheKeepsTheLaterSettings(t *testing.T) {
	cache, _ := faultyCache(t)
	for _, version := range []uint64{7, 9, 8} {
		if err := cache.Save(documentOf(t, version)); err != nil {
			t.Fatal(err)
		}
	}
	if got := loadVersion(t, cache); got != 9 {
		t.Errorf("version %d in the cache, want 9", got)
	}
}

// Processes that start at the same time have different incarnations.
func TestIncarnationsAtTheSameTime(t *testing.T) {
	cache := NewCache(filepath.Join(t.TempDir(), "settings.json"))
	const processes = 10
	got := make(chan int64, processes)
	var g sync.WaitGroup
	for range processes {
		g.Go(func() {
			incarnation, err := cache.NextIncarnation(1000)
			if err != nil {
				t.Error(err)
			}
			got <- incarnation
		})
	}
	g.Wait()
	close(got)
	seen := map[int64]bool{}
	for incarnation := range got {
		if seen[incarnation] {
			t.Errorf("incarnation %d twice", incarnation)
		}
		seen[incarnation] = true
	}
}
