package jobstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"testing"

	"gatetack/internal/atomicfile/atomicfiletest"
)

// Writes of any size fail on a disk that is full or loses data until it is synced. Values that were acknowledged before
// remain readable, writes succeed once the disk works again, and acknowledged values persist after the file is
// reopened.
func TestBoltOnAFailingDisk(t *testing.T) {
	for _, x := range []struct {
		what, device string
		cause        error
	}{
		{"full", atomicfiletest.FullDevice, syscall.ENOSPC},
		{"loses unsynced writes", atomicfiletest.UnsyncedDevice, syscall.EINVAL},
	} {
		t.Run(x.what, func(t *testing.T) {
			ctx, dir := context.Background(), t.TempDir()
			b := open(t, dir)
			before := bytes.Repeat([]byte("before"), 100)
			put(t, b, "before", before)
			restore, err := atomicfiletest.ReplaceOpenFile(filepath.Join(dir, "batch.db"), x.device)
			if err != nil {
				t.Fatal(err)
			}
			for i, size := range []int{1, 100, 100_000} { // the last one exceeds the size of the file
				change := Change{Kind: "job", Key: fmt.Sprint("lost", i), Value: make([]byte, size)}
				if err := b.Write(ctx, change); err == nil {
					t.Errorf("a write of %d bytes was acknowledged", size)
				} else if size < 1000 && !errors.Is(err, x.cause) {
					t.Errorf("%d bytes: %v, want %v", size, err, x.cause)
				}
				expect(t, b, "before", before)
			}
			if err := restore(); err != nil {
				t.Fatal(err)
			}
			put(t, b, "after", []byte("after"))
			put(t, b, "grown", make([]byte, 100_000))
			if err := b.Close(); err != nil {
				t.Fatal(err)
			}
			b = open(t, dir)
			expect(t, b, "before", before)
			expect(t, b, "after", []byte("after"))
			expect(t, b, "grown", make([]byte, 100_000))
			for i := range 3 {
				if _, found, err := b.Get(ctx, "job", fmt.Sprint("lost", i)); found || err != nil {
					t.Errorf("write %d failed, but its value is present: %v", i, err)
				}
			}
		})
	}
}

func put(t *testing.T, b *Bolt, key string, value []byte) {
	t.Helper()
	if err := b.Write(context.Background(), Change{Kind: "job", Key: key, Value: value}); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, b *Bolt, key string, value []byte) {
	t.Helper()
	got, found, err := b.Get(context.Background(), "job", key)
	if err != nil || !found || !bytes.Equal(got, value) {
		t.Errorf("%s: %d bytes, %v, %v, want %d", key, len(got), found, err, len(value))
	}
}
