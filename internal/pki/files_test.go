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

// withFaults has keys written to a file system whose calls fail on demand until the test ends.
func withFaults(t *testing.T) *atomicfiletest.FaultFS {
	t.Helper()
	fsys := atomicfiletest.New()
	files = fsys
	t.Cleanup(func() { files = atomicfile.OS })
	return fsys
}

// A disk that fails while keys are renewed, at any of the three files and any call before the first is in its place,
// leaves the keys that were there, with which a process starts; the next renewal succeeds, and nothing else is left in
// the folder.
func TestRenewalOnAFailingDiskKeepsTheKeys(t *testing.T) {
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
				t.Errorf("%s of file %d: a process does not start: %v", x.op, file, err)
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

// killedFS ends the process that writes, as far as the files show it, at one of its renames.
type killedFS struct {
	atomicfile.FS
	renames int // that are still made
}

var errKilled = errors.New("killed")

func (k *killedFS) Rename(from, to string) error {
	if k.renames == 0 {
		panic(errKilled) // nothing after this is done, nor cleaned up
	}
	k.renames--
	return k.FS.Rename(from, to)
}

// A renewal that is killed between any two of its renames leaves a key and a certificate that go together. The key and
// its certificate were renamed one after the other: after a kill between the two ("tls: private key does not match
// public key") no process of that node started until somebody issued the keys again. The renewal's file has both.
func TestRenewalThatIsKilledLeavesAPairThatFits(t *testing.T) {
	for renames := range 5 {
		ca, nodes := newFolders(t, "n0")
		files = &killedFS{FS: atomicfile.OS, renames: renames}
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
			t.Errorf("killed after %d renames: a process does not start: %v", renames, err)
		}
		before := serialIn(t, nodes[0])
		if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); err != nil || serialIn(t, nodes[0]) == before {
			t.Errorf("killed after %d renames: not renewed afterwards: %v", renames, err)
		}
	}
}

// An authority that could not be made whole can be made again.
func TestAuthorityOnAFailingDiskCanBeMadeAgain(t *testing.T) {
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

// A revocation that could not be written leaves the list as it was, and says so.
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
			t.Errorf("left: %s", entry.Name())
		}
	}
}
