package sharedids

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/atomicfile"
	"gatetack/internal/idclaims"
	"gatetack/internal/testenv"
)

const id = "9b1f03aa5c7e2d41"

// open returns the IDs of a process that knows the others.
func open(dir string) *IDs {
	ids := Open(dir, testenv.DiscardLog)
	ids.ObserveOthers(Sharing)
	return ids
}

// refresh retries at once.
func refresh(ids *IDs) {
	ids.retryAt = time.Time{}
	ids.Refresh()
}

// claim claims the test's ID for a second.
func claim(ids *IDs) (idclaims.Claim, error) {
	now := time.Now()
	return ids.Claim(id, now, now.Add(time.Second))
}

// Two processes see each other's open requests, whichever of them started first. Processes that start at the same time
// use the same file, and leave no other.
func TestProcessesShareOpenIDs(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "handover")
	processes := make([]*IDs, 8)
	var started sync.WaitGroup
	for i := range processes {
		started.Go(func() { processes[i] = open(dir) })
	}
	started.Wait()
	for i, process := range processes {
		held, err := claim(process)
		if err != nil || !process.Shared() || process.OpenElsewhere(id) {
			t.Fatalf("process %d: %v, shared %v, open elsewhere %v", i, err, process.Shared(), process.OpenElsewhere(id))
		}
		for k, other := range processes {
			if _, err := claim(other); !errors.Is(err, idclaims.ErrOpen) {
				t.Errorf("process %d accepts an ID that process %d has open: error %v", k, i, err)
			}
			if k != i && !other.OpenElsewhere(id) {
				t.Errorf("process %d does not see that process %d has the ID open", k, i)
			}
		}
		process.Release(held)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("files %v, error %v, want one file", files, err)
	}
}

// Until it is known what the other processes have open, no ID can be claimed.
func TestNothingIsClaimedWhileOthersAreUnknown(t *testing.T) {
	ids := Open(t.TempDir(), testenv.DiscardLog)
	if _, err := claim(ids); !errors.Is(err, ErrUnknown) || ids.Known() {
		t.Errorf("error %v, known %v, want %v", err, ids.Known(), ErrUnknown)
	}
	ids.ObserveOthers(Sharing)
	if _, err := claim(ids); err != nil || !ids.Known() {
		t.Errorf("error %v, known %v after the others were observed", err, ids.Known())
	}
}

// A process without a usable file serves while it is alone, and tells the others that its open requests cannot be seen:
// also after the file becomes usable, until those requests have ended. Beside another process it knows too little.
func TestRequestsWithoutFileAreNotShared(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(blocked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	ids := open(filepath.Join(blocked, "handover"))
	if _, err := claim(ids); !errors.Is(err, ErrUnknown) || ids.Known() {
		t.Errorf("beside another process: error %v, known %v", err, ids.Known())
	}
	ids.ObserveOthers(None)
	held, err := claim(ids)
	if err != nil || ids.Shared() {
		t.Fatalf("error %v, shared %v", err, ids.Shared())
	}
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	if ids.Refresh(); ids.file != nil {
		t.Error("the file was tried again at once")
	}
	refresh(ids)
	if ids.Shared() {
		t.Error("a request from before the file was usable counts as shared")
	}
	ids.Release(held)
	if !ids.Shared() {
		t.Error("not shared after the request's end")
	}
}

// A file that is removed, as happens to temporary files, is created again. The requests that were open in it count as
// not shared until they end.
func TestRemovedFileIsReplaced(t *testing.T) {
	dir := t.TempDir()
	ids := open(dir)
	held, err := claim(ids)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil {
		t.Fatal(err)
	}
	ids.Refresh()
	if ids.Shared() {
		t.Error("the request counts as shared after its file was removed")
	}
	ids.Release(held)
	other := open(dir)
	if _, err := claim(ids); err != nil || !ids.Shared() {
		t.Errorf("claim in the new file: %v, shared %v", err, ids.Shared())
	}
	if _, err := claim(other); !errors.Is(err, idclaims.ErrOpen) {
		t.Errorf("another process accepts the ID: error %v", err)
	}
}

// Files that a process was killed over, and files of other content, are not mapped: an access beyond the end of a
// mapped file would kill the process.
func TestFileOfOtherContentIsNotMapped(t *testing.T) {
	for _, size := range []int{0, 100, fileSize} {
		dir := t.TempDir()
		for _, name := range []string{fileName, atomicfile.TempPrefix + fileName + "-17"} {
			if err := os.WriteFile(filepath.Join(dir, name), make([]byte, size), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := openTable(filepath.Join(dir, fileName)); !errors.Is(err, errLayout) {
			t.Errorf("%d bytes: error %v, want %v", size, err, errLayout)
		}
		if ids := open(dir); ids.Shared() {
			t.Errorf("%d bytes: the IDs count as shared", size)
		}
	}
}

// Of many copies that reach all processes at once, at most one is accepted.
func TestCopiesAtAllProcessesAreAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	processes := []*IDs{open(dir), open(dir)}
	for round := range 100 {
		var accepted atomic.Int32
		var done sync.WaitGroup
		for i := range 16 {
			done.Go(func() {
				now := time.Now()
				if _, err := processes[i%2].Claim(fmt.Sprint(round), now, now.Add(time.Minute)); err == nil {
					accepted.Add(1)
				}
			})
		}
		done.Wait()
		if n := accepted.Load(); n > 1 {
			t.Fatalf("round %d: %d copies were accepted", round, n)
		}
	}
}
