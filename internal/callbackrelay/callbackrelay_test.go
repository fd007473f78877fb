package callbackrelay

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/atomicfile"
	"gatetack/internal/atomicfile/atomicfiletest"
	"gatetack/internal/testenv"
)

// testCallback is a callback as an executor sends it.
const testCallback = `{"id":"9b1f03aa5c7e2d41","from":"s-0badcafe","state":"done","result":"tile"}`

// faultyDirectory makes calls fail beside those of the files in it.
type faultyDirectory struct {
	*atomicfiletest.FaultFS
	mkdir, list, read error
}

func newFaultyDirectory() *faultyDirectory {
	return &faultyDirectory{FaultFS: atomicfiletest.New()}
}

func (d *faultyDirectory) MkdirAll(path string, mode fs.FileMode) error {
	if d.mkdir != nil {
		return d.mkdir
	}
	return os.MkdirAll(path, mode)
}

func (d *faultyDirectory) ReadDir(path string) ([]fs.DirEntry, error) {
	if d.list != nil {
		return nil, d.list
	}
	return os.ReadDir(path)
}

func (d *faultyDirectory) ReadFile(path string) ([]byte, error) {
	if d.read != nil {
		return nil, d.read
	}
	return os.ReadFile(path)
}

// register returns a relay of this process. Its parent's pid stands for the other process of the node.
func register(t *testing.T, files Directory, dir string, pid int) *Relay {
	t.Helper()
	r := newRelay(files, dir, pid, time.Millisecond, time.Minute, testenv.Quiet)
	if err := r.Register(); err != nil {
		t.Fatal(err)
	}
	return r
}

// scanned returns what a scan takes.
func scanned(t *testing.T, r *Relay) (out []string) {
	t.Helper()
	if err := r.scan(func(body []byte) bool { out = append(out, string(body)); return true }); err != nil {
		t.Fatal(err)
	}
	return out
}

func callbacksIn(t *testing.T, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, callbackPrefix+"*"))
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// A process alone stores nothing. Beside another one, what it forwards reaches the other once and whole, and is then
// removed from the directory. The marker of a process that has ended does not count.
func TestForwardedCallbackIsTakenOnce(t *testing.T) {
	dir := t.TempDir()
	old := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	if passed, err := old.Forward([]byte("x")); passed || err != nil {
		t.Fatalf("a callback was stored while the process was alone: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "p999999999"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if passed, err := old.Forward([]byte("x")); passed || err != nil {
		t.Fatalf("a callback was stored for a process that has ended: %v", err)
	}
	// The new process: another pid on the same directory.
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if passed, err := next.Forward([]byte(testCallback)); !passed || err != nil {
		t.Fatalf("nothing was stored beside a process that runs: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan string, 4)
	done := make(chan error)
	go func() { done <- old.Run(ctx, func(b []byte) bool { got <- string(b); return true }) }()
	select {
	case b := <-got:
		if b != testCallback {
			t.Errorf("took %q, want %q", b, testCallback)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the old process never took the callback")
	}
	testenv.Until(t, "the file removed", func() bool { return len(callbacksIn(t, dir)) == 0 })
	cancel()
	if err := <-done; err != nil {
		t.Error("the relay ended with", err)
	}
	if len(got) != 0 {
		t.Errorf("a callback was taken twice")
	}
}

// A callback that can not be written is an error, whichever call fails, nothing of it is ever taken, and the executor's
// next call succeeds once the disk does.
func TestCallbackThatCanNotBeStoredIsRefused(t *testing.T) {
	for _, x := range []struct {
		op    atomicfiletest.Op
		cause error
	}{
		{atomicfiletest.Create, syscall.ENOSPC},
		{atomicfiletest.Write, syscall.ENOSPC},
		{atomicfiletest.Write, syscall.EIO},
		{atomicfiletest.Sync, syscall.EIO},
		{atomicfiletest.Rename, syscall.ENOSPC},
	} {
		t.Run(string(x.op)+" "+x.cause.Error(), func(t *testing.T) {
			dir, files := t.TempDir(), newFaultyDirectory()
			old := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
			next := register(t, files, dir, os.Getppid())
			files.Fail(x.op, 1, x.cause)
			passed, err := next.Forward([]byte(testCallback))
			if _, ok := errors.AsType[*NotStoredError](err); passed || !ok || !errors.Is(err, x.cause) {
				t.Fatalf("passed %v, %v, want a NotStoredError of %v", passed, err, x.cause)
			}
			if got := scanned(t, old); len(got) != 0 {
				t.Errorf("taken: %q", got)
			}
			if passed, err := next.Forward([]byte(testCallback)); !passed || err != nil {
				t.Fatalf("called again: %v, %v", passed, err)
			}
			if got := scanned(t, old); len(got) != 1 || got[0] != testCallback {
				t.Errorf("taken: %q", got)
			}
		})
	}
}

// While the directory can not be read it is not known whether another process runs, and a callback is refused.
func TestCallbackIsRefusedWhileTheDirectoryCanNotBeRead(t *testing.T) {
	files := newFaultyDirectory()
	r := register(t, files, t.TempDir(), os.Getpid())
	files.list = syscall.EIO
	if _, err := r.Forward([]byte(testCallback)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("%v", err)
	}
	files.list = nil
	if _, err := r.Forward([]byte(testCallback)); err != nil {
		t.Fatal(err)
	}
}

// A process whose directory fails at the start goes on without it, and is registered once the directory is usable.
func TestRegistrationIsRetriedOnAFailingDirectory(t *testing.T) {
	for _, x := range []struct {
		what string
		fail func(*faultyDirectory)
	}{
		{"mkdir", func(d *faultyDirectory) { d.mkdir = syscall.ENOSPC }},
		{"marker", func(d *faultyDirectory) { d.Fail(atomicfiletest.Write, -1, syscall.ENOSPC) }},
		{"sync", func(d *faultyDirectory) { d.Fail(atomicfiletest.Sync, -1, syscall.EIO) }},
	} {
		t.Run(x.what, func(t *testing.T) {
			dir, files := filepath.Join(t.TempDir(), "handover"), newFaultyDirectory()
			x.fail(files)
			r := newRelay(files, dir, os.Getpid(), time.Millisecond, time.Minute, testenv.Quiet)
			if err := r.Register(); err == nil {
				t.Fatal("registered on a directory that fails")
			}
			if err := r.scan(func([]byte) bool { return true }); err == nil {
				t.Fatal("a scan registered on a directory that fails")
			}
			files.mkdir = nil
			files.Heal()
			if got := scanned(t, r); len(got) != 0 {
				t.Errorf("taken: %q", got)
			}
			other := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
			if passed, err := other.Forward([]byte(testCallback)); !passed || err != nil {
				t.Errorf("it is not seen: %v, %v", passed, err)
			}
		})
	}
}

// A process that was killed at any point of a write leaves nothing that is taken for a callback, of either version of
// the temporary names, and what it left is removed.
func TestHalfWrittenCallbackIsNotTaken(t *testing.T) {
	dir := t.TempDir()
	r := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	half := []byte(testCallback[:20])
	if err := os.WriteFile(filepath.Join(dir, "c17-1.part"), half, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := atomicfile.Stage(osDirectory{atomicfile.OS}, filepath.Join(dir, "c17-2"), half, fileMode); err != nil {
		t.Fatal(err)
	}
	if got := scanned(t, r); len(got) != 0 {
		t.Errorf("taken: %q", got)
	}
	r.ttl = -1
	scanned(t, r)
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != filepath.Base(r.marker()) {
		t.Errorf("left: %v, %v", entries, err)
	}
}

// A callback that waits is not removed for its file's date, which a step of the wall clock makes old at once.
func TestClockStepRemovesNoCallback(t *testing.T) {
	dir := t.TempDir()
	old := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if passed, err := next.Forward([]byte(testCallback)); !passed || err != nil {
		t.Fatal(err)
	}
	hourAgo := time.Now().Add(-time.Hour)
	for _, name := range callbacksIn(t, dir) {
		if err := os.Chtimes(name, hourAgo, hourAgo); err != nil {
			t.Fatal(err)
		}
	}
	scanned(t, next) // the process that stored it looks first
	if got := scanned(t, old); len(got) != 1 {
		t.Errorf("taken: %q", got)
	}
}

// A process with the pid of an earlier one takes what that one stored, and replaces none of it.
func TestReusedPidTakesItsPredecessorsCallbacks(t *testing.T) {
	dir := t.TempDir()
	register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	earlier := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	later := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	for _, r := range []*Relay{earlier, later} {
		if passed, err := r.Forward([]byte(testCallback)); !passed || err != nil {
			t.Fatal(err)
		}
	}
	if names := callbacksIn(t, dir); len(names) != 2 {
		t.Fatalf("%v", names)
	}
	if got := scanned(t, later); len(got) != 1 {
		t.Errorf("of the earlier one: %q", got)
	}
}

// A callback that can not be read for a while is taken afterwards.
func TestCallbackThatCanNotBeReadIsTakenLater(t *testing.T) {
	dir, files := t.TempDir(), newFaultyDirectory()
	old := register(t, files, dir, os.Getpid())
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if passed, err := next.Forward([]byte(testCallback)); !passed || err != nil {
		t.Fatal(err)
	}
	files.read = syscall.EIO
	if got := scanned(t, old); len(got) != 0 {
		t.Fatalf("taken: %q", got)
	}
	files.read = nil
	if got := scanned(t, old); len(got) != 1 {
		t.Errorf("taken: %q", got)
	}
}

// A directory that was emptied, as temporary directories are, gets the marker again.
func TestMarkerIsRestored(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "handover")
	r := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	var takes atomic.Int32
	if err := r.scan(func([]byte) bool { takes.Add(1); return true }); err != nil || takes.Load() != 0 {
		t.Fatal(err)
	}
	if _, err := os.Stat(r.marker()); err != nil {
		t.Error(err)
	}
}
