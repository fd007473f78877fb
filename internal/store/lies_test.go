package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"gatetack/internal/failpoint"
	"gatetack/internal/membership"
	"gatetack/internal/operr"
	"gatetack/internal/testenv"
)

// leader waits until a member is the leader and returns it.
func leader(t *testing.T, all []*node) (lead *node) {
	t.Helper()
	testenv.Until(t, "a leader", func() bool {
		lead = nil
		for _, m := range all {
			if m.s.IsLeader() {
				lead = m
			}
		}
		return lead != nil
	})
	return lead
}

// diskFault returns the fault that is injected into the writes of a member.
func diskFault(m *node) *atomic.Pointer[failpoint.DiskFault] { return &m.disk }

// A leader whose disk fails writes, takes two seconds for each, or never completes one does not block the store: the
// other members elect a leader and accept writes, and acknowledged values persist. Once the disk works again, the
// member receives the writes that it missed.
func TestLeaderWithABadDisk(t *testing.T) {
	for _, x := range []struct {
		what  string
		disk  failpoint.DiskFault
		heals bool
	}{
		{"fails", failpoint.DiskFault{Fail: true}, true},
		{"slow", failpoint.DiskFault{Delay: 2 * time.Second}, true},
		{"hangs", failpoint.DiskFault{Delay: -1}, false},
	} {
		t.Run(x.what, func(t *testing.T) {
			all := cluster(t, 3)
			put(t, all[0], "before", "x")
			lead := leader(t, all)
			disk := diskFault(lead)
			disk.Store(&x.disk)
			var others []*node
			for _, m := range all {
				if m != lead {
					others = append(others, m)
				}
			}
			put(t, others[0], "after", "y")
			testenv.Until(
				t,
				"another member is the leader",
				func() bool { return others[0].s.IsLeader() || others[1].s.IsLeader() },
			)
			expectValue(t, others[1], "before", "x")
			if x.disk.Delay < 0 { // a member that lost the leadership before its first write reaches the disk as a follower
				testenv.Until(t, "the status reports the disk", func() bool { return lead.s.Status().Disk != "answers" })
			}
			if x.heals {
				disk.Store(&failpoint.DiskFault{})
				testenv.Until(
					t,
					"it has the write that it missed",
					func() bool { v, ok := lead.s.Local("job", "after"); return ok && string(v) == "y" },
				)
			}
		})
	}
}

// Without the guard's check of the disk, a leader whose disk hangs remains the leader and no write succeeds. This shows
// that TestLeaderWithABadDisk depends on the check.
func TestLeaderWithAHangingDiskWithoutTheGuard(t *testing.T) {
	failpoint.Without = failpoint.Stalled
	defer func() { failpoint.Without = "" }()
	all := cluster(t, 3)
	put(t, all[0], "before", "x")
	lead := leader(t, all)
	diskFault(lead).Store(&failpoint.DiskFault{Delay: -1})
	for _, m := range all {
		if m == lead {
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		if err := m.s.Put(ctx, "job", "after", []byte("y")); err == nil || !lead.s.IsLeader() {
			t.Errorf("write: %v; want an error and an unchanged leader without the check of the disk", err)
		}
		cancel()
		break
	}
	for _, m := range all { // before failpoint.Without is reset, which running members read
		m.stop()
	}
}

// A follower that cannot write acknowledges nothing: writes succeed while only this follower fails, and fail if another
// member is down as well.
func TestFollowerWithAFullDisk(t *testing.T) {
	all := cluster(t, 3)
	put(t, all[0], "before", "x")
	lead := leader(t, all)
	var full, other *node
	for _, m := range all {
		switch {
		case m == lead:
		case full == nil:
			full = m
		default:
			other = m
		}
	}
	disk := diskFault(full)
	disk.Store(&failpoint.DiskFault{Fail: true})
	put(t, lead, "with the other", "y")
	other.stop()
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if err := lead.s.Put(ctx, "job", "alone", []byte("z")); err == nil {
		t.Error("a write was acknowledged with one working disk of three")
	}
	disk.Store(&failpoint.DiskFault{})
	put(t, lead, "again", "w")
	expectValue(t, full, "with the other", "y")
}

// Any byte in the folder of a member is changed while the member is down. The member starts without the corrupt data
// and receives it from the others, or does not start and returns an error. It never returns a wrong value, nor sends
// one to other members.
func TestCorruptFolder(t *testing.T) {
	all := cluster(t, 3)
	for i := range 60 {
		put(t, all[i%3], fmt.Sprint("k", i), fmt.Sprint("value ", i, " of some length"))
	}
	m := all[1]
	testenv.Until(t, "the member has all values", func() bool { _, ok := m.s.Local("job", "k59"); return ok })
	if err := m.s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	put(t, all[0], "last", "after the snapshot")
	testenv.Until(t, "the member has the last value", func() bool { _, ok := m.s.Local("job", "last"); return ok })
	m.stop()
	intactDir := t.TempDir()
	if err := os.CopyFS(intactDir, os.DirFS(m.cfg.Dir)); err != nil {
		t.Fatal(err)
	}
	files := filesIn(intactDir)
	rng := rand.New(rand.NewPCG(11, 0))
	started, rejected := 0, 0
	for range 24 {
		dir := filepath.Join(t.TempDir(), "n1")
		if err := os.CopyFS(dir, os.DirFS(intactDir)); err != nil {
			t.Fatal(err)
		}
		file := files[rng.IntN(len(files))]
		if rng.IntN(2) == 0 {
			file = logFile
		}
		what := damageFile(t, rng, dir, file)
		if what == "" {
			continue
		}
		m.cfg.Dir = dir
		if checkDamagedMember(t, m.cfg, what) {
			started++
		} else {
			rejected++
		}
	}
	if started < 12 {
		t.Errorf("the member started %d times of 24 and did not start %d times", started, rejected)
	}
	expectValue(t, all[0], "k7", "value 7 of some length")
}

// filesIn returns the paths of the files below a directory, relative to it.
func filesIn(dir string) (files []string) {
	_ = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			relative, _ := filepath.Rel(dir, path)
			files = append(files, relative)
		}
		return nil
	})
	return files
}

// damageFile changes a bit of a file and truncates some files at that position. It returns a description, or an empty
// string for an empty file.
func damageFile(t *testing.T, rng *rand.Rand, dir, file string) string {
	t.Helper()
	path := filepath.Join(dir, file)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) == 0 {
		return ""
	}
	at := rng.IntN(len(data))
	for file == logFile && data[at] == 0 { // most of a new log file consists of zeros
		at = (at + 1) % len(data)
	}
	data[at] ^= byte(1 << rng.IntN(8))
	if rng.IntN(6) == 0 {
		data = data[:at] // a torn write
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s at %d of %d", file, at, len(data))
}

// checkDamagedMember starts a member on a damaged folder and expects that it receives all values and never has a wrong
// one. It returns whether the member started.
func checkDamagedMember(t *testing.T, cfg Config, what string) bool {
	t.Helper()
	s, err := Open(cfg, testenv.Limits, nil, testenv.DiscardLog)
	if err != nil {
		if operr.Remedy(err) == "" && !errors.Is(err, os.ErrNotExist) {
			t.Logf("%s: the member does not start: %v", what, err)
		}
		return false
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	check := func(key, value string) {
		if v, ok := s.Local("job", key); ok && string(v) != value {
			t.Errorf("%s: wrong value of %s: %q", what, key, v)
		}
	}
	testenv.Until(t, what+": the member has all values", func() bool {
		for i := range 60 {
			check(fmt.Sprint("k", i), fmt.Sprint("value ", i, " of some length"))
		}
		check("last", "after the snapshot")
		_, ok := s.Local("job", "last")
		return ok
	})
	cancel()
	if err := <-done; err != nil {
		t.Logf("%s: the member ended with error: %v", what, err)
	}
	return true
}

// A changed log entry is detected, whichever of its bits was changed; an unchanged entry is read as written.
func TestCorruptEntriesAreDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := raft.Log{
			Index: rapid.Uint64().Draw(t, "index"),
			Term:  rapid.Uint64().Draw(t, "term"),
			Type:  raft.LogType(rapid.IntRange(0, 5).Draw(t, "type")),
			Data:  rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data"),
		}
		x := l
		x.Extensions = encodeChecksum(&x)
		back := x
		if err := verifyChecksum(l.Index, &back); err != nil || back.Extensions != nil {
			t.Fatalf("%v %v", err, back.Extensions)
		}
		bad := x
		bad.Data = append([]byte(nil), x.Data...)
		bad.Extensions = append([]byte(nil), x.Extensions...)
		bit := byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		switch where := rapid.IntRange(0, 4).Draw(t, "where"); {
		case where == 0:
			bad.Index ^= uint64(bit)
		case where == 1:
			bad.Term ^= uint64(bit)
		case where == 2 && len(bad.Data) > 0:
			bad.Data[rapid.IntRange(0, len(bad.Data)-1).Draw(t, "at")] ^= bit
		case where == 3:
			bad.Type ^= raft.LogType(bit)
		default:
			bad.Extensions[rapid.IntRange(0, len(bad.Extensions)-1).Draw(t, "at")] ^= bit
		}
		if err := verifyChecksum(l.Index, &bad); !errors.Is(err, ErrDamaged) {
			t.Fatalf("changed entry %+v was accepted in place of %+v", bad, l)
		}
	})
}

// FuzzWatermark decodes watermarks: decoding accepts only data that encoding produces.
func FuzzWatermark(f *testing.F) {
	m := watermark{folder: 7, boot: 9, last: membership.Position{Term: 3, Index: 12}, term: 4}
	f.Add(m.encode())
	f.Add([]byte{})
	f.Add(make([]byte, watermarkLength))
	f.Fuzz(func(t *testing.T, raw []byte) {
		x := decodeWatermark(raw, 7, 9)
		if x == nil {
			return
		}
		back := watermark{folder: 7, boot: 9, last: x.Last, term: x.Term}
		if string(back.encode()) != string(raw) {
			t.Errorf("%x was decoded as %+v", raw, x)
		}
	})
}

// A watermark has no content before it is armed, persists across processes, and is removed if it cannot be written.
func TestWatermark(t *testing.T) {
	dir := t.TempDir()
	m, known, err := openWatermark(dir, "f", "boot")
	if err != nil || known != nil {
		t.Fatalf("%v %v", known, err)
	}
	reopen := func(boot string) *membership.Watermark {
		t.Helper()
		x, known, err := openWatermark(dir, "f", boot)
		if err != nil {
			t.Fatal(err)
		}
		x.close()
		return known
	}
	_ = m.raise(membership.Position{Term: 1, Index: 5}, 1)
	if k := reopen("boot"); k != nil {
		t.Errorf("watermark %+v was written before it was armed", k)
	}
	_ = m.arm(membership.Position{Term: 2, Index: 3}, 2)
	_ = m.raise(membership.Position{Term: 1, Index: 9}, 0) // behind
	if k := reopen("boot"); k == nil || k.Last != (membership.Position{Term: 2, Index: 3}) || k.Term != 2 {
		t.Errorf("%+v", k)
	}
	if k := reopen("another"); k != nil {
		t.Errorf("watermark %+v was accepted after another boot", k)
	}
	_ = m.file.Close()
	if err := m.raise(membership.Position{Term: 2, Index: 4}, 0); err != nil {
		t.Errorf("the file can be removed, but raise failed: %v", err)
	}
	if k := reopen("boot"); k != nil {
		t.Errorf("stale watermark %+v was not removed", k)
	}
}
