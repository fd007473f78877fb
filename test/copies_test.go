package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// storeCommand runs a store command at a member and returns its output.
func (s *testNode) storeCommand(args ...string) (string, error) {
	cmd := exec.Command(program, append([]string{"store"}, append(args, "--store-addr", s.store)...)...)
	timer := time.AfterFunc(15*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// restartWithoutDisk kills the process, removes its store folder and starts it again with the same configuration file.
func (s *testNode) restartWithoutDisk() {
	s.kill()
	if err := os.RemoveAll(filepath.Join(s.dir, "store")); err != nil {
		s.t.Fatal(err)
	}
	s.startWithoutWaiting()
}

// A write is acknowledged by two of three members. One of them loses its disk, the other is killed, and the third one, which was
// stopped during the write, resumes. The two running members must not answer that the key does not exist. Once the killed member
// is back, the acknowledged write can be read, and the member that lost its disk rejoins and gets its vote back.
func TestMemberLosesItsDisk(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	f[0].until("the store accepts writes", func() bool { _, err := f[0].storeCommand("set", "mark", "before", "x"); return err == nil })
	f[2].until("the third member has the write", func() bool {
		out, err := f[2].storeCommand("get", "mark", "before", "--stale")
		return err == nil && strings.Contains(out, "x")
	})
	f[2].signal(syscall.SIGSTOP)
	f[0].until("a write is acknowledged", func() bool { _, err := f[0].storeCommand("set", "mark", "promised", "kept"); return err == nil })
	f[1].restartWithoutDisk()
	f[0].kill()
	f[2].signal(syscall.SIGCONT)
	for range 5 { // for longer than a leader election takes
		for _, s := range f[1:] {
			out, err := s.storeCommand("get", "mark", "promised", "--timeout", "1s")
			if err == nil && !strings.Contains(out, "kept") || strings.Contains(out, "nothing stands") {
				t.Fatalf("%s denies an acknowledged write: %s", s.name, out)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f[0].startWithoutWaiting()
	for _, s := range f {
		s.until("the acknowledged write is at "+s.name, func() bool {
			out, err := s.storeCommand("get", "mark", "promised", "--stale")
			return err == nil && strings.Contains(out, "kept")
		})
	}
	f[1].until("the member without its disk logs that it rejoins without a vote", func() bool {
		return f[1].logContains("store folder empty and known to others, rejoining without a vote")
	})
	f[1].until("all three members vote again", func() bool {
		out, err := f[1].storeCommand("members")
		return err == nil && strings.Count(out, `"voter": true`)+strings.Count(out, `"voter":true`) == 3
	})
	// Its vote counts again: it forms a quorum with one other member.
	f[2].kill()
	f[1].until("a write succeeds with the quorum",
		func() bool { _, err := f[1].storeCommand("set", "mark", "after", "y"); return err == nil })
}

// A new store accepts no writes until enough members have confirmed that they know no earlier member of the same name.
func TestNewStoreWaitsForWitnesses(t *testing.T) {
	f := makeFleet(t, 3, 20*time.Millisecond)
	f[0].start()
	f[1].start()
	f[0].until("the member waits for one more witness",
		func() bool { return f[0].logContains("store waiting for witnesses") })
	if out, err := f[0].storeCommand("set", "mark", "early", "x"); err == nil {
		t.Errorf("a write succeeded before there were enough witnesses: %s", out)
	}
	f[2].start()
	f[0].until("the store accepts writes",
		func() bool { _, err := f[0].storeCommand("set", "mark", "k", "x"); return err == nil })
	f[2].kill()
	f[0].until("two of three members accept writes",
		func() bool { _, err := f[0].storeCommand("set", "mark", "k2", "x"); return err == nil })
	f[0].kill()
	f[0].start()
	f[0].until("a restarted member with its folder accepts writes again", func() bool { _, err := f[0].storeCommand("set", "mark", "k3", "x"); return err == nil })
}
