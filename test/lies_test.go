package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gatetack/internal/failpoint"
)

// without builds the program with a guard taken out.
func without(t *testing.T, guard string) string {
	t.Helper()
	bare := filepath.Join(t.TempDir(), "bare")
	if out, err := exec.Command("go", "build", "-race", "-tags", "faults", "-ldflags", "-X gatetack/internal/failpoint.Without="+guard, "-o", bare,
		"gatetack/cmd/gatetack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bare
}

// folder is that of a process's store.
func (s *testNode) folder() string { return filepath.Join(s.dir, "store") }

func (s *testNode) copyFolder(to string) {
	s.t.Helper()
	if err := os.CopyFS(to, os.DirFS(s.folder())); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testNode) putBack(from string) {
	s.t.Helper()
	if err := os.RemoveAll(s.folder()); err != nil {
		s.t.Fatal(err)
	}
	if err := os.CopyFS(s.folder(), os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
}

// has waits until a process has a value, as it holds it itself.
func (s *testNode) has(key, value string) {
	s.t.Helper()
	s.until(key+" is at "+s.name, func() bool {
		out, err := s.storeCommand("get", "mark", key, "--stale")
		return err == nil && strings.Contains(out, value)
	})
}

// writes waits until a write is acknowledged there.
func (s *testNode) writes(key, value string) {
	s.t.Helper()
	s.until("a write of "+key, func() bool { _, err := s.storeCommand("set", "mark", key, value); return err == nil })
}

// denied says whether a process tells for certain that nothing stands where a write was acknowledged.
func (s *testNode) denied(key, value string) bool {
	out, err := s.storeCommand("get", "mark", key, "--timeout", "1s")
	return err == nil && !strings.Contains(out, value) || strings.Contains(out, "nothing stands")
}

// lied has a member's disk lose what it said was written: of three, one and the first acknowledge a write while the third is
// down; the one's folder is put back as it was before, the first is killed and the third started.
func lied(t *testing.T, program string, lost bool) fleet {
	f := makeFleet(t, 3, 20*time.Millisecond)
	for _, s := range f {
		s.program = program
	}
	f.startAll()
	f[0].writes("before", "x")
	for _, s := range f {
		s.has("before", "x")
	}
	f[1].kill()
	before := filepath.Join(t.TempDir(), "before")
	f[1].copyFolder(before)
	f[1].start()
	f[1].writes("since", "y")
	f[2].has("since", "y")
	f[2].kill() // one that were merely stopped would find what the leader had sent it, once it goes on
	f[0].writes("promised", "kept")
	f[1].has("promised", "kept")
	f[0].kill()
	f[1].kill()
	f[1].putBack(before)
	if lost { // the machine was started anew as well
		if err := os.RemoveAll(filepath.Join(f[1].dir, "marks")); err != nil {
			t.Fatal(err)
		}
	}
	f[2].startWithoutWaiting()
	f[1].startWithoutWaiting()
	return f
}

// A folder goes back to an earlier state of itself under its own identity. What it had acknowledged is not denied by it and one
// that never had it; whether its machine still remembers, or only the others can say; and once one that has it is back it is at
// all. A member whose disk did not lie, and whose machine remembers, goes on at once with one other.
func TestDiskThatLied(t *testing.T) {
	for _, x := range []struct {
		what string
		lost bool
		says string
	}{
		{"its machine remembers", false, "store member lost acknowledged entries, restricting its votes"},
		{"nothing remembers on its machine", true, "store member not voting, waiting for the positions of others"},
	} {
		t.Run(x.what, func(t *testing.T) {
			f := lied(t, "", x.lost)
			for range 4 { // for longer than it takes to choose a leader
				for _, s := range f[1:] {
					if s.denied("promised", "kept") {
						t.Fatalf("%s denies what was acknowledged", s.name)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			f[1].until("it says so", func() bool { return f[1].logContains(x.says) })
			f[0].startWithoutWaiting()
			for _, s := range f {
				s.has("promised", "kept")
			}
			f[1].writes("after", "z")
			f[1].until("its vote is as any again", func() bool {
				out, err := f[1].storeCommand("status")
				return err == nil && strings.Contains(out, "as any")
			})
			// It counts again: with one other, one that was killed and did not lie, it writes.
			f[2].kill()
			f[0].kill()
			f[0].startWithoutWaiting()
			f[1].writes("again", "w")
		})
	}
}

// With the floor of votes taken out the same member elects one that never had the write, and both deny it: what the test above
// rests on is seen.
func TestDiskThatLiedWithoutTheFloor(t *testing.T) {
	f := lied(t, without(t, failpoint.Floor), false)
	f[2].until("what was acknowledged is denied", func() bool { return f[1].denied("promised", "kept") || f[2].denied("promised", "kept") })
}

// A folder is copied to a second machine and both are started: the copy is at an address that is not its member's, and does not
// vote; nothing that is acknowledged is lost by it.
func TestFolderStartedTwice(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	f[0].writes("before", "x")
	f[1].kill()
	twin := newTestNode(t, 1, 20*time.Millisecond)
	twin.name = f[1].name
	f[1].copyFolder(filepath.Join(twin.dir, "store"))
	f[1].start()
	twin.extraConfig = strings.ReplaceAll(f[1].extraConfig, f[1].store, twin.store)
	twin.startWithoutWaiting()
	for i := range 5 {
		f[i%3].writes("k", string(rune('a'+i)))
	}
	twin.until("the copy says so", func() bool {
		return twin.logContains("store member known at another address, not voting")
	})
	f[0].kill()
	f[2].writes("after", "y")
	f[1].has("after", "y")
}
