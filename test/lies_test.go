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

// buildWithoutGuard builds the program with the named guard disabled.
func buildWithoutGuard(t *testing.T, guard string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bare")
	if out, err := exec.Command("go", "build", "-race", "-tags", "faults",
		"-ldflags", "-X gatetack/internal/failpoint.Without="+guard, "-o", binary,
		"gatetack/cmd/gatetack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// storeDir returns the directory of the process's store.
func (s *testNode) storeDir() string { return filepath.Join(s.dir, "store") }

func (s *testNode) copyStoreDir(to string) {
	s.t.Helper()
	if err := os.CopyFS(to, os.DirFS(s.storeDir())); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testNode) restoreStoreDir(from string) {
	s.t.Helper()
	if err := os.RemoveAll(s.storeDir()); err != nil {
		s.t.Fatal(err)
	}
	if err := os.CopyFS(s.storeDir(), os.DirFS(from)); err != nil {
		s.t.Fatal(err)
	}
}

// awaitValue waits until the process's own replica has the value.
func (s *testNode) awaitValue(key, value string) {
	s.t.Helper()
	s.until(key+" is in the replica of "+s.name, func() bool {
		out, err := s.storeCommand("get", "mark", key, "--stale")
		return err == nil && strings.Contains(out, value)
	})
}

// writeUntilAcknowledged repeats a write at the process until it is acknowledged.
func (s *testNode) writeUntilAcknowledged(key, value string) {
	s.t.Helper()
	s.until("acknowledgement of "+key, func() bool { _, err := s.storeCommand("set", "mark", key, value); return err == nil })
}

// deniesValue reports whether a consistent read at the process returns a different value for the key, or none.
func (s *testNode) deniesValue(key, value string) bool {
	out, err := s.storeCommand("get", "mark", key, "--timeout", "1s")
	return err == nil && !strings.Contains(out, value) || strings.Contains(out, "nothing stands")
}

// newFleetWithLostWrite starts three members and makes the disk of n1 lose an acknowledged write. n0 and n1 acknowledge
// the write while n2 is down. Then n0 and n1 are killed, the store directory of n1 is restored to its state before the
// write, and n1 and n2 are started. If lost is set, n1 loses the marks kept outside its store directory, too.
func newFleetWithLostWrite(t *testing.T, program string, lost bool) fleet {
	f := makeFleet(t, 3, 20*time.Millisecond)
	for _, s := range f {
		s.program = program
	}
	f.startAll()
	f[0].writeUntilAcknowledged("before", "x")
	for _, s := range f {
		s.awaitValue("before", "x")
	}
	f[1].kill()
	before := filepath.Join(t.TempDir(), "before")
	f[1].copyStoreDir(before)
	f[1].start()
	f[1].writeUntilAcknowledged("since", "y")
	f[2].awaitValue("since", "y")
	f[2].kill() // a stopped process would still receive what the leader had sent to it, once it continues
	f[0].writeUntilAcknowledged("promised", "kept")
	f[1].awaitValue("promised", "kept")
	f[0].kill()
	f[1].kill()
	f[1].restoreStoreDir(before)
	if lost { // as after a restart of the machine
		if err := os.RemoveAll(filepath.Join(f[1].dir, "marks")); err != nil {
			t.Fatal(err)
		}
	}
	f[2].startWithoutWaiting()
	f[1].startWithoutWaiting()
	return f
}

// A member's store directory reverts to an earlier state under the same identity. Reads at that member and at one that
// never had the acknowledged write must not deny the write, whether the machine still has its marks or only the other
// members know the positions. Once a member that has the write is back, all members have it. Afterwards the affected
// member forms a quorum with a member that was killed without losing data.
func TestDiskLosesAcknowledgedWrite(t *testing.T) {
	for _, x := range []struct {
		name    string
		lost    bool
		logText string
	}{
		{"marks are kept", false, "store member lost acknowledged entries, restricting its votes"},
		{"marks are lost", true, "store member not voting, waiting for the positions of others"},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newFleetWithLostWrite(t, "", x.lost)
			for range 4 { // for longer than an election takes
				for _, s := range f[1:] {
					if s.deniesValue("promised", "kept") {
						t.Fatalf("%s denies the acknowledged write", s.name)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
			f[1].until("n1 logs that its votes are restricted", func() bool { return f[1].logContains(x.logText) })
			f[0].startWithoutWaiting()
			for _, s := range f {
				s.awaitValue("promised", "kept")
			}
			f[1].writeUntilAcknowledged("after", "z")
			f[1].until("the vote of n1 is no longer restricted", func() bool {
				out, err := f[1].storeCommand("status")
				return err == nil && strings.Contains(out, "as any")
			})
			// n1 counts towards a quorum again: it accepts a write together with n0, which was killed and lost nothing.
			f[2].kill()
			f[0].kill()
			f[0].startWithoutWaiting()
			f[1].writeUntilAcknowledged("again", "w")
		})
	}
}

// With the guard of the votes disabled, the same member elects one that never had the write, and the write is denied.
// This shows that TestDiskLosesAcknowledgedWrite depends on the guard.
func TestDiskLosesAcknowledgedWriteWithoutVoteGuard(t *testing.T) {
	f := newFleetWithLostWrite(t, buildWithoutGuard(t, failpoint.Floor), false)
	f[2].until("the write is denied", func() bool { return f[1].deniesValue("promised", "kept") || f[2].deniesValue("promised", "kept") })
}

// A store directory is copied to a second machine, and both are started. The copy has an address that is not that of
// its member, so it does not vote, and no acknowledged write is lost.
func TestFolderStartedTwice(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	f[0].writeUntilAcknowledged("before", "x")
	f[1].kill()
	twin := newTestNode(t, 1, 20*time.Millisecond)
	twin.name = f[1].name
	f[1].copyStoreDir(filepath.Join(twin.dir, "store"))
	f[1].start()
	twin.extraConfig = strings.ReplaceAll(f[1].extraConfig, f[1].store, twin.store)
	twin.startWithoutWaiting()
	for i := range 5 {
		f[i%3].writeUntilAcknowledged("k", string(rune('a'+i)))
	}
	twin.until("the copy logs that it does not vote", func() bool {
		return twin.logContains("store member known at another address, not voting")
	})
	f[0].kill()
	f[2].writeUntilAcknowledged("after", "y")
	f[1].awaitValue("after", "y")
}
