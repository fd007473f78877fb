package atomicfile_test

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"gatetack/internal/atomicfile"
)

// A second caller waits for the lock until it is released.
func TestLockIsHeldByOneCaller(t *testing.T) {
	dir := t.TempDir()
	unlock, err := atomicfile.Lock(dir)
	if err != nil {
		t.Fatal(err)
	}
	locked := make(chan error)
	go func() {
		second, err := atomicfile.Lock(dir)
		if err == nil {
			second()
		}
		locked <- err
	}()
	select {
	case err := <-locked:
		t.Fatalf("locked twice: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	unlock()
	if err := <-locked; err != nil {
		t.Error(err)
	}
	if _, err := atomicfile.Lock(filepath.Join(dir, "absent")); err == nil {
		t.Error("a directory that does not exist was locked")
	}
}

// A caller does not wait forever for a process that holds the lock.
func TestLockTimesOut(t *testing.T) {
	dir := t.TempDir()
	unlock, err := atomicfile.Lock(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer unlock()
	_, err = atomicfile.Lock(dir)
	if _, timedOut := errors.AsType[*atomicfile.LockTimeoutError](err); !timedOut {
		t.Errorf("got %v, want a timeout", err)
	}
}
