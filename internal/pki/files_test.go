package pki

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gatetack/internal/atomicfile"
	"gatetack/internal/atomicfile/atomicfiletest"
)

// withFaults replaces the file system for keys, until the test ends, with one whose calls fail on demand.
func withFaults(t *testing.T) *atomicfiletest.FaultFS {
	t.Helper()
	fsys := atomicfiletest.New()
	files = fsys
	t.Cleanup(func() { files = atomicfile.OS })
	return fsys
}

// If the disk fails during a renewal, in any call for any of the three files before the first one is replaced, the
// existing keys remain and a process starts with them. The next renewal succeeds, and no temporary files remain.
func TestRenewalOnAFailingDiskPreservesTheKeys(t *testing.T) {
	for _, x := range []struct {
		op    atomicfiletest.Op
		cause error
	}{
		{atomicfiletest.Create, syscall.ENOSPC},
		{atomicfiletest.Write, syscall.ENOSPC},
		{atomicfiletest.Sync, syscall.EIO},
	} {
		for file := range 3 {
			ca, nodes := newFolders(t, "n0")
			before := serialIn(t, nodes[0])
			fsys := withFaults(t)
			fsys.FailAfter(x.op, file, 1, x.cause)
			if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); !errors.Is(err, x.cause) {
				t.Fatalf("%s of file %d: %v, want %v", x.op, file, err, x.cause)
			}
			if _, err := Open(nodes[0], func(error) {}); err != nil {
				t.Errorf("%s of file %d: the remaining keys cannot be opened: %v", x.op, file, err)
			}
			if got := serialIn(t, nodes[0]); got != before {
				t.Errorf("%s of file %d: certificate %s, want %s", x.op, file, got, before)
			}
			expectNoTemporaries(t, nodes[0])
			if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); err != nil || serialIn(t, nodes[0]) == before {
				t.Errorf("%s of file %d: not renewed afterwards: %v", x.op, file, err)
			}
		}
	}
}

// killingFS simulates a kill of the writing process at one of its renames.
type killingFS struct {
	atomicfile.FS
	renames int // remaining renames before the kill
}

var errKilled = errors.New("killed")

func (k *killingFS) Rename(from, to string) error {
	if k.renames == 0 {
		panic(errKilled) // no later operation or cleanup is performed
	}
	k.renames--
	return k.FS.Rename(from, to)
}

// A renewal that is killed between any two of its renames leaves a matching key and certificate. The key and the
// certificate are renamed one after the other. Without the renewal file, which has both, no process of the node started
// after a kill between the two ("tls: private key does not match public key") until the keys were issued again.
func TestKilledRenewalLeavesAMatchingPair(t *testing.T) {
	for renames := range 5 {
		ca, nodes := newFolders(t, "n0")
		files = &killingFS{FS: atomicfile.OS, renames: renames}
		func() {
			defer func() {
				files = atomicfile.OS
				if reason := recover(); reason != nil && reason != any(errKilled) {
					panic(reason)
				}
			}()
			if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); err != nil {
				t.Error(err)
			}
		}()
		if _, err := Open(nodes[0], func(error) {}); err != nil {
			t.Errorf("killed after %d renames: the remaining keys cannot be opened: %v", renames, err)
		}
		before := serialIn(t, nodes[0])
		if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); err != nil || serialIn(t, nodes[0]) == before {
			t.Errorf("killed after %d renames: not renewed afterwards: %v", renames, err)
		}
	}
}

// An authority whose creation failed can be created again.
func TestAuthorityCanBeCreatedAgainAfterADiskFailure(t *testing.T) {
	for _, op := range []atomicfiletest.Op{atomicfiletest.Write, atomicfiletest.Sync, atomicfiletest.Rename} {
		for file := range 2 {
			dir := filepath.Join(t.TempDir(), "ca")
			fsys := withFaults(t)
			fsys.FailAfter(op, file, 1, syscall.ENOSPC)
			if err := Init(dir, "Põhjakaart", time.Hour, time.Now()); !errors.Is(err, syscall.ENOSPC) {
				t.Fatalf("%s of file %d: %v", op, file, err)
			}
			if err := Init(dir, "Põhjakaart", time.Hour, time.Now()); err != nil {
				t.Errorf("%s of file %d: %v", op, file, err)
			}
			expectNoTemporaries(t, dir)
		}
	}
}

// A revocation that cannot be written returns an error and leaves the list unchanged.
func TestRevocationOnAFailingDisk(t *testing.T) {
	dir, fsys := t.TempDir(), withFaults(t)
	if err := Revoke(dir, "a1"); err != nil {
		t.Fatal(err)
	}
	fsys.Fail(atomicfiletest.Sync, 1, syscall.EIO)
	if err := Revoke(dir, "b2"); !errors.Is(err, syscall.EIO) {
		t.Errorf("%v", err)
	}
	if err := Revoke(dir, "c3"); err != nil {
		t.Fatal(err)
	}
	list, err := readRevoked(filepath.Join(dir, revokedFile))
	if err != nil || len(list) != 2 || !list["a1"] || !list["c3"] {
		t.Errorf("%v, %v", list, err)
	}
}

// serialIn returns the serial number of the certificate in a folder.
func serialIn(t *testing.T, dir string) string {
	t.Helper()
	shown, err := Describe(dir)
	if err != nil {
		t.Fatal(err)
	}
	return shown[len(shown)-1].Serial
}

func expectNoTemporaries(t *testing.T, dir string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), atomicfile.TempPrefix) {
			t.Errorf("temporary file remains: %s", entry.Name())
		}
	}
}
