package atomicfile_test

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gatetack/internal/atomicfile"
	"gatetack/internal/atomicfile/atomicfiletest"
)

const testMode = 0o600

// The content is synced before the file is renamed, and the directory before the write returns.
func TestContentIsSyncedBeforeTheRename(t *testing.T) {
	fsys, path := atomicfiletest.New(), filepath.Join(t.TempDir(), "file")
	if err := atomicfile.Write(fsys, path, []byte("content"), testMode); err != nil {
		t.Fatal(err)
	}
	want := []atomicfiletest.Op{atomicfiletest.Create, atomicfiletest.Write, atomicfiletest.Sync, atomicfiletest.Rename,
		atomicfiletest.SyncDir}
	if got := fsys.Calls(); !slices.Equal(got, want) {
		t.Errorf("calls %v, want %v", got, want)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != testMode {
		t.Errorf("mode: %v, %v", info.Mode(), err)
	}
}

// A failed operation is reported with its cause. The former content remains, unless the rename preceded the failure. No
// temporary file remains, and the next write succeeds.
func TestFailedWritePreservesTheFormerContent(t *testing.T) {
	for _, x := range []struct {
		op    atomicfiletest.Op
		cause error
		after string
	}{
		{atomicfiletest.Create, syscall.ENOSPC, "former"},
		{atomicfiletest.Write, syscall.ENOSPC, "former"},
		{atomicfiletest.Write, syscall.EIO, "former"},
		{atomicfiletest.Sync, syscall.EIO, "former"},
		{atomicfiletest.Sync, syscall.ENOSPC, "former"},
		{atomicfiletest.Rename, syscall.ENOSPC, "former"},
		{atomicfiletest.SyncDir, syscall.EIO, "latest"},
	} {
		t.Run(string(x.op)+" "+x.cause.Error(), func(t *testing.T) {
			fsys, dir := atomicfiletest.New(), t.TempDir()
			path := filepath.Join(dir, "file")
			if err := atomicfile.Write(fsys, path, []byte("former"), testMode); err != nil {
				t.Fatal(err)
			}
			fsys.Fail(x.op, 1, x.cause)
			err := atomicfile.Write(fsys, path, []byte("latest"), testMode)
			failed, ok := errors.AsType[*atomicfile.WriteError](err)
			if !ok || failed.Op != string(x.op) || !errors.Is(err, x.cause) {
				t.Fatalf("error %v, want a failure of %s with cause %v", err, x.op, x.cause)
			}
			expectOnly(t, dir, "file", x.after)
			if err := atomicfile.Write(fsys, path, []byte("again"), testMode); err != nil {
				t.Fatal(err)
			}
			expectOnly(t, dir, "file", "again")
		})
	}
}

// A short write without an error is reported as an error.
func TestShortWriteIsAnError(t *testing.T) {
	fsys, dir := atomicfiletest.New(), t.TempDir()
	fsys.ShortenWrites(1)
	err := atomicfile.Write(fsys, filepath.Join(dir, "file"), []byte("content"), testMode)
	if !errors.Is(err, io.ErrShortWrite) {
		t.Errorf("%v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("files remain: %v", left)
	}
}

// A process that is killed before the rename leaves the former content, and a temporary file whose name has the prefix.
func TestKilledBeforeTheRename(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	if err := atomicfile.Write(atomicfile.OS, path, []byte("former"), testMode); err != nil {
		t.Fatal(err)
	}
	if _, err := atomicfile.Stage(atomicfile.OS, path, []byte("latest"), testMode); err != nil { // without Commit
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || string(data) != "former" {
		t.Errorf("%q, %v", data, err)
	}
	names, err := os.ReadDir(dir)
	if err != nil || len(names) != 2 {
		t.Fatalf("%v, %v", names, err)
	}
	for _, name := range names {
		if name.Name() != "file" && !strings.HasPrefix(name.Name(), atomicfile.TempPrefix) {
			t.Errorf("unexpected file: %s", name.Name())
		}
	}
}

// expectOnly checks that a directory contains exactly one file with the given content.
func expectOnly(t *testing.T, dir, name, content string) {
	t.Helper()
	names, err := os.ReadDir(dir)
	if err != nil || len(names) != 1 || names[0].Name() != name {
		t.Fatalf("files in the directory: %v, %v", names, err)
	}
	if data, err := os.ReadFile(filepath.Join(dir, name)); err != nil || string(data) != content {
		t.Errorf("%q, %v, want %q", data, err, content)
	}
}
