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

const testID = "9b1f03aa5c7e2d41"

// testCallback is a callback as an executor sends it.
const testCallback = `{"id":"` + testID + `","from":"s-0badcafe","state":"done","result":"tile"}`

var testLimits = Limits{
	Interval:       time.Millisecond,
	TTL:            time.Minute,
	ReplaceTimeout: time.Minute,
	StoredBytes:    1 << 20,
	StoredFiles:    64,
}

// fakeIDs are the IDs of a process that does not share them, unless a test sets them.
type fakeIDs struct {
	shared   bool
	open     string // an ID that is open in another process
	observed Others
}

func (f *fakeIDs) Shared() bool                 { return f.shared }
func (f *fakeIDs) OpenElsewhere(id string) bool { return id == f.open }
func (f *fakeIDs) ObserveOthers(others Others)  { f.observed = others }

// faultyDirectory injects faults into the directory calls, in addition to those of files.
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

// register returns a registered relay with a pid. Tests use the parent's pid for the other process of the node.
func register(t *testing.T, files Directory, dir string, pid int) *Relay {
	t.Helper()
	r := newRelay(files, dir, pid, testLimits, &fakeIDs{}, testenv.DiscardLog)
	if err := r.Register(); err != nil {
		t.Fatal(err)
	}
	return r
}

// scanned returns the callbacks that a scan taken.
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

// A process that is alone stores nothing. While another process is running, a forwarded callback reaches it once and
// complete, and is then removed from the directory. The marker of a process that has ended does not count.
func TestForwardedCallbackIsTakenOnce(t *testing.T) {
	dir := t.TempDir()
	old := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	if stored, err := old.Forward(testID, []byte("x")); stored || err != nil {
		t.Fatalf("a callback was stored while the process was alone: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "p999999999"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if stored, err := old.Forward(testID, []byte("x")); stored || err != nil {
		t.Fatalf("a callback was stored for a process that has ended: %v", err)
	}
	// The new process has another pid and the same directory.
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if stored, err := next.Forward(testID, []byte(testCallback)); !stored || err != nil {
		t.Fatalf("nothing was stored while another process is running: %v", err)
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
		t.Fatal("the old process did not take the callback within 10 s")
	}
	testenv.Until(t, "the file is removed", func() bool { return len(callbacksIn(t, dir)) == 0 })
	cancel()
	if err := <-done; err != nil {
		t.Error("Run returned", err)
	}
	if len(got) != 0 {
		t.Errorf("the callback was taken more than once")
	}
}

// A callback that cannot be written returns an error, whichever system call fails. Nothing of it is ever taken, and
// the executor's next call succeeds once the disk works again.
func TestCallbackThatCannotBeStoredIsRejected(t *testing.T) {
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
			stored, err := next.Forward(testID, []byte(testCallback))
			if _, ok := errors.AsType[*NotStoredError](err); stored || !ok || !errors.Is(err, x.cause) {
				t.Fatalf("stored %v, error %v, want a NotStoredError of %v", stored, err, x.cause)
			}
			if got := scanned(t, old); len(got) != 0 {
				t.Errorf("taken: %q", got)
			}
			if stored, err := next.Forward(testID, []byte(testCallback)); !stored || err != nil {
				t.Fatalf("second call: stored %v, error %v", stored, err)
			}
			if got := scanned(t, old); len(got) != 1 || got[0] != testCallback {
				t.Errorf("taken: %q", got)
			}
		})
	}
}

// While the directory cannot be read it is unknown whether another process is running, and callbacks are rejected.
func TestCallbackIsRejectedWhileDirectoryIsUnreadable(t *testing.T) {
	files := newFaultyDirectory()
	r := register(t, files, t.TempDir(), os.Getpid())
	files.list = syscall.EIO
	if _, err := r.Forward(testID, []byte(testCallback)); !errors.Is(err, syscall.EIO) {
		t.Fatalf("got %v, want EIO", err)
	}
	files.list = nil
	if _, err := r.Forward(testID, []byte(testCallback)); err != nil {
		t.Fatal(err)
	}
}

// A process whose directory fails at the start continues without it, and is registered once the directory is usable.
func TestRegistrationIsRetriedOnAFailingDirectory(t *testing.T) {
	for _, x := range []struct {
		name string
		fail func(*faultyDirectory)
	}{
		{"mkdir", func(d *faultyDirectory) { d.mkdir = syscall.ENOSPC }},
		{"marker", func(d *faultyDirectory) { d.Fail(atomicfiletest.Write, -1, syscall.ENOSPC) }},
		{"sync", func(d *faultyDirectory) { d.Fail(atomicfiletest.Sync, -1, syscall.EIO) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			dir, files := filepath.Join(t.TempDir(), "handover"), newFaultyDirectory()
			x.fail(files)
			r := newRelay(files, dir, os.Getpid(), testLimits, &fakeIDs{}, testenv.DiscardLog)
			if err := r.Register(); err == nil {
				t.Fatal("Register succeeded on a failing directory")
			}
			if err := r.scan(func([]byte) bool { return true }); err == nil {
				t.Fatal("a scan succeeded on a failing directory")
			}
			files.mkdir = nil
			files.Heal()
			if got := scanned(t, r); len(got) != 0 {
				t.Errorf("taken: %q", got)
			}
			other := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
			if stored, err := other.Forward(testID, []byte(testCallback)); !stored || err != nil {
				t.Errorf("the process is not seen as running: stored %v, error %v", stored, err)
			}
		})
	}
}

// A process that was killed at any point of a write leaves nothing that is taken for a callback, under the old and the
// new names of temporary files, and the remaining files are removed.
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
	r.limits.TTL = -1
	scanned(t, r)
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != filepath.Base(r.marker()) {
		t.Errorf("files left: %v, %v, want the marker alone", entries, err)
	}
}

// A waiting callback is not removed because of its file's modification time, which a step of the wall clock can make
// old at once.
func TestClockStepRemovesNoCallback(t *testing.T) {
	dir := t.TempDir()
	old := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if stored, err := next.Forward(testID, []byte(testCallback)); !stored || err != nil {
		t.Fatal(err)
	}
	hourAgo := time.Now().Add(-time.Hour)
	for _, name := range callbacksIn(t, dir) {
		if err := os.Chtimes(name, hourAgo, hourAgo); err != nil {
			t.Fatal(err)
		}
	}
	scanned(t, next) // the process that stored it scans first
	if got := scanned(t, old); len(got) != 1 {
		t.Errorf("taken: %q", got)
	}
}

// A process with the pid of an earlier one taken the callbacks that the earlier one stored, and overwrites none of
// them.
func TestReusedPidTakesCallbacksOfEarlierProcess(t *testing.T) {
	dir := t.TempDir()
	register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	earlier := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	later := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	for _, r := range []*Relay{earlier, later} {
		if stored, err := r.Forward(testID, []byte(testCallback)); !stored || err != nil {
			t.Fatal(err)
		}
	}
	if names := callbacksIn(t, dir); len(names) != 2 {
		t.Fatalf("files %v, want 2", names)
	}
	if got := scanned(t, later); len(got) != 1 {
		t.Errorf("callbacks taken from the earlier process: %q, want 1", got)
	}
}

// A callback that cannot be read for a while is taken afterwards.
func TestUnreadableCallbackIsTakenLater(t *testing.T) {
	dir, files := t.TempDir(), newFaultyDirectory()
	old := register(t, files, dir, os.Getpid())
	next := register(t, osDirectory{atomicfile.OS}, dir, os.Getppid())
	if stored, err := next.Forward(testID, []byte(testCallback)); !stored || err != nil {
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

// If the directory is emptied, as happens to temporary directories, the marker is created again.
func TestMarkerIsRestored(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "handover")
	r := register(t, osDirectory{atomicfile.OS}, dir, os.Getpid())
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	var taken atomic.Int32
	if err := r.scan(func([]byte) bool { taken.Add(1); return true }); err != nil || taken.Load() != 0 {
		t.Fatal(err)
	}
	if _, err := os.Stat(r.marker()); err != nil {
		t.Error(err)
	}
}
