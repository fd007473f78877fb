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

func leader(t *testing.T, all []*node) (lead *node) {
	t.Helper()
	testenv.Until(t, "a leader", func() bool {
		lead = nil
		for _, m := range all {
			if m.s.Leads() {
				lead = m
			}
		}
		return lead != nil
	})
	return lead
}

// faulty has a member's writes meet what is set, from now on.
func faulty(m *node) *atomic.Pointer[failpoint.Disk] { return &m.disk }

// A leader whose disk fails a write, is full, takes two seconds for each, or never comes back with one, does not keep
// the store: the others write, and what was acknowledged before stands. Once the disk does again, it has what it
// missed.
func TestLeaderWithABadDisk(t *testing.T) {
	for _, x := range []struct {
		what  string
		disk  failpoint.Disk
		heals bool
	}{
		{"fails", failpoint.Disk{Fails: true}, true},
		{"slow", failpoint.Disk{Waits: 2 * time.Second}, true},
		{"hangs", failpoint.Disk{Waits: -1}, false},
	} {
		t.Run(x.what, func(t *testing.T) {
			all := cluster(t, 3)
			put(t, all[0], "before", "x")
			lead := leader(t, all)
			disk := faulty(lead)
			disk.Store(&x.disk)
			var others []*node
			for _, m := range all {
				if m != lead {
					others = append(others, m)
				}
			}
			put(t, others[0], "after", "y")
			testenv.Until(t, "another leads", func() bool { return others[0].s.Leads() || others[1].s.Leads() })
			want(t, others[1], "before", "x")
			if x.disk.Waits < 0 { // for good, also where it lost the lead before it met the disk, and meets it as a follower
				testenv.Until(t, "its disk is told", func() bool { return lead.s.Status().Disk != "answers" })
			}
			if x.heals {
				disk.Store(&failpoint.Disk{})
				testenv.Until(
					t,
					"it has what it missed",
					func() bool { v, ok := lead.s.Local("job", "after"); return ok && string(v) == "y" },
				)
			}
		})
	}
}

// Without the look at the disk a leader that hangs leads on, and nothing is written: what the test above rests on is
// seen.
func TestLeaderThatHangsWithoutTheGuard(t *testing.T) {
	failpoint.Without = failpoint.Stalled
	defer func() { failpoint.Without = "" }()
	all := cluster(t, 3)
	put(t, all[0], "before", "x")
	lead := leader(t, all)
	faulty(lead).Store(&failpoint.Disk{Waits: -1})
	for _, m := range all {
		if m == lead {
			continue
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		if err := m.s.Put(ctx, "job", "after", []byte("y")); err == nil || !lead.s.Leads() {
			t.Errorf("%v: it gave up the lead with nothing that looks at its disk", err)
		}
		cancel()
		break
	}
	for _, m := range all { // before the guard is back: it is looked at by what ends
		m.stop()
	}
}

// A follower that can not write acknowledges nothing: with it and one more down nothing is written, and with it alone
// all is.
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
	disk := faulty(full)
	disk.Store(&failpoint.Disk{Fails: true})
	put(t, lead, "with the other", "y")
	other.stop()
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if err := lead.s.Put(ctx, "job", "alone", []byte("z")); err == nil {
		t.Error("acknowledged with one disk of three")
	}
	disk.Store(&failpoint.Disk{})
	put(t, lead, "again", "w")
	want(t, full, "with the other", "y")
}

// Any byte of a member's folder is changed while it is down. It starts without what it can not trust and gets it from
// the others, or does not start and says why; it never tells another value, nor sends one to others.
func TestAnyByteChanged(t *testing.T) {
	all := cluster(t, 3)
	for i := range 60 {
		put(t, all[i%3], fmt.Sprint("k", i), fmt.Sprint("value ", i, " of some length"))
	}
	m := all[1]
	testenv.Until(t, "it has all", func() bool { _, ok := m.s.Local("job", "k59"); return ok })
	if err := m.s.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	put(t, all[0], "last", "after the snapshot")
	testenv.Until(t, "it has the last", func() bool { _, ok := m.s.Local("job", "last"); return ok })
	m.stop()
	good := t.TempDir()
	if err := os.CopyFS(good, os.DirFS(m.cfg.Dir)); err != nil {
		t.Fatal(err)
	}
	files := filesIn(good)
	rng := rand.New(rand.NewPCG(11, 0))
	started, rejected := 0, 0
	for range 24 {
		dir := filepath.Join(t.TempDir(), "n1")
		if err := os.CopyFS(dir, os.DirFS(good)); err != nil {
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
		t.Errorf("it started %d times of 24, and did not %d times", started, rejected)
	}
	want(t, all[0], "k7", "value 7 of some length")
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

// damageFile changes a bit of a file, and truncates some there. It returns what it did, empty for a file without
// content.
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
	for file == logFile && data[at] == 0 { // most of a new log is empty
		at = (at + 1) % len(data)
	}
	data[at] ^= byte(1 << rng.IntN(8))
	if rng.IntN(6) == 0 {
		data = data[:at] // torn
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s at %d of %d", file, at, len(data))
}

// checkDamagedMember starts a member on a damaged folder, and expects it to have all values again and never another
// one. It reports whether the member started.
func checkDamagedMember(t *testing.T, cfg Config, what string) bool {
	t.Helper()
	s, err := Open(cfg, testenv.Limits, nil, testenv.DiscardLog)
	if err != nil {
		if operr.Remedy(err) == "" && !errors.Is(err, os.ErrNotExist) {
			t.Logf("%s: it does not start: %v", what, err)
		}
		return false
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	check := func(key, value string) {
		if v, ok := s.Local("job", key); ok && string(v) != value {
			t.Errorf("%s: %s is told as %q", what, key, v)
		}
	}
	testenv.Until(t, what+": it has all again", func() bool {
		for i := range 60 {
			check(fmt.Sprint("k", i), fmt.Sprint("value ", i, " of some length"))
		}
		check("last", "after the snapshot")
		_, ok := s.Local("job", "last")
		return ok
	})
	cancel()
	if err := <-done; err != nil {
		t.Logf("%s: it ended with %v", what, err)
	}
	return true
}

// An entry that was changed anywhere is found, whatever it says; one that was not is what it was.
func TestEntriesAreSealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := raft.Log{
			Index: rapid.Uint64().Draw(t, "index"),
			Term:  rapid.Uint64().Draw(t, "term"),
			Type:  raft.LogType(rapid.IntRange(0, 5).Draw(t, "type")),
			Data:  rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data"),
		}
		x := l
		x.Extensions = seal(&x)
		back := x
		if err := unseal(l.Index, &back); err != nil || back.Extensions != nil {
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
		if err := unseal(l.Index, &bad); !errors.Is(err, ErrDamaged) {
			t.Fatalf("%+v was taken for %+v", bad, l)
		}
	})
}

// FuzzMark reads marks: one that was written is read back, and any other text is none.
func FuzzMark(f *testing.F) {
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
			t.Errorf("%x is read as %+v", raw, x)
		}
	})
}

// A mark vouches for nothing before it is armed, goes on after the process, and is taken away when it can not be
// written.
func TestMark(t *testing.T) {
	dir := t.TempDir()
	m, known, err := openWatermark(dir, "f", "boot")
	if err != nil || known != nil {
		t.Fatalf("%v %v", known, err)
	}
	again := func(boot string) *membership.Watermark {
		t.Helper()
		x, known, err := openWatermark(dir, "f", boot)
		if err != nil {
			t.Fatal(err)
		}
		x.close()
		return known
	}
	_ = m.raise(membership.Position{Term: 1, Index: 5}, 1)
	if k := again("boot"); k != nil {
		t.Errorf("%+v vouches before it is armed", k)
	}
	_ = m.arm(membership.Position{Term: 2, Index: 3}, 2)
	_ = m.raise(membership.Position{Term: 1, Index: 9}, 0) // behind
	if k := again("boot"); k == nil || k.Last != (membership.Position{Term: 2, Index: 3}) || k.Term != 2 {
		t.Errorf("%+v", k)
	}
	if k := again("another"); k != nil {
		t.Errorf("%+v of another boot", k)
	}
	_ = m.file.Close()
	if err := m.raise(membership.Position{Term: 2, Index: 4}, 0); err != nil {
		t.Errorf("it could be taken away: %v", err)
	}
	if k := again("boot"); k != nil {
		t.Errorf("%+v stayed behind what was acknowledged", k)
	}
}
