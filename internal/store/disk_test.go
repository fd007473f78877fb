package store

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"gatetack/internal/atomicfile/atomicfiletest"
	"gatetack/internal/testenv"
)

// A store of one member whose disk is full, or loses what it took until it is synced, acknowledges nothing meanwhile, keeps
// what it acknowledged before, and takes writes again by itself once the disk works; a restart finds the same.
func TestLoneMemberOnAFailingDisk(t *testing.T) {
	for _, x := range []struct{ what, device string }{
		{"full", atomicfiletest.FullDevice},
		{"loses unsynced writes", atomicfiletest.UnsyncedDevice},
	} {
		t.Run(x.what, func(t *testing.T) {
			m := cluster(t, 1)[0]
			put(t, m, "before", "x")
			restore, err := atomicfiletest.ReplaceOpenFile(filepath.Join(m.cfg.Dir, "raft.db"), x.device)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := m.s.Put(ctx, "job", "lost", []byte("y")); err == nil {
				t.Error("acknowledged by a disk that fails")
			}
			if err := restore(); err != nil {
				t.Fatal(err)
			}
			testenv.Until(t, "it leads again", m.s.Leads)
			put(t, m, "after", "z")
			m.stop()
			m.start(t)
			want(t, m, "before", "x")
			want(t, m, "after", "z")
		})
	}
}
