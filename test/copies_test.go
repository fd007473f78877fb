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

// storeCommand runs a store command at a member.
func (s *testNode) storeCommand(args ...string) (string, error) {
	cmd := exec.Command(program, append([]string{"store"}, append(args, "--store-addr", s.store)...)...)
	timer := time.AfterFunc(15*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// restartWithoutDisk has a process lose its disk: it is killed and its folder is empty when it starts again with the file it always had.
func (s *testNode) restartWithoutDisk() {
	s.kill()
	if err := os.RemoveAll(filepath.Join(s.dir, "store")); err != nil {
		s.t.Fatal(err)
	}
	s.startWithoutWaiting()
}

// A write is acknowledged by two of three members. One of these loses its disk, the other is killed, and the third, which was
// stopped all the while, goes on: the two that are up must not tell that nothing was written. Once one that remembers is back,
// what was acknowledged is there, and the one that forgot is let in anew.
func TestForgotItsDisk(t *testing.T) {
	f := newFleet(t, 3, 20*time.Millisecond)
	f[0].until("the store writes", func() bool { _, err := f[0].storeCommand("set", "mark", "before", "x"); return err == nil })
	f[2].until("all have it", func() bool {
		out, err := f[2].storeCommand("get", "mark", "before", "--stale")
		return err == nil && strings.Contains(out, "x")
	})
	f[2].signal(syscall.SIGSTOP)
	f[0].until("a write is acknowledged", func() bool { _, err := f[0].storeCommand("set", "mark", "promised", "kept"); return err == nil })
	f[1].restartWithoutDisk()
	f[0].kill()
	f[2].signal(syscall.SIGCONT)
	for range 5 { // for longer than it takes to choose a leader
		for _, s := range f[1:] {
			out, err := s.storeCommand("get", "mark", "promised", "--timeout", "1s")
			if err == nil && !strings.Contains(out, "kept") || strings.Contains(out, "nothing stands") {
				t.Fatalf("%s tells of what was acknowledged: %s", s.name, out)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f[0].startWithoutWaiting()
	for _, s := range f {
		s.until("what was promised is at "+s.name, func() bool {
			out, err := s.storeCommand("get", "mark", "promised", "--stale")
			return err == nil && strings.Contains(out, "kept")
		})
	}
	f[1].until("the one that forgot says so", func() bool {
		return f[1].logContains("store folder empty and known to others, rejoining without a vote")
	})
	f[1].until("it votes again", func() bool {
		out, err := f[1].storeCommand("members")
		return err == nil && strings.Count(out, `"voter": true`)+strings.Count(out, `"voter":true`) == 3
	})
	// It counts again: the two others are not needed both.
	f[2].kill()
	f[1].until("a write with it", func() bool { _, err := f[1].storeCommand("set", "mark", "after", "y"); return err == nil })
}

// Members that begin are in no doubt: each waits for enough of the others to say that they never knew another of its name.
func TestBeginsWithEnough(t *testing.T) {
	f := makeFleet(t, 3, 20*time.Millisecond)
	f[0].start()
	f[1].start()
	f[0].until("it waits for one more", func() bool { return f[0].logContains("store waiting for witnesses") })
	if out, err := f[0].storeCommand("set", "mark", "early", "x"); err == nil {
		t.Errorf("a write before enough are there: %s", out)
	}
	f[2].start()
	f[0].until("the store writes", func() bool { _, err := f[0].storeCommand("set", "mark", "k", "x"); return err == nil })
	f[2].kill()
	f[0].until("two of three write", func() bool { _, err := f[0].storeCommand("set", "mark", "k2", "x"); return err == nil })
	f[0].kill()
	f[0].start()
	f[0].until("one that remembers goes on at once", func() bool { _, err := f[0].storeCommand("set", "mark", "k3", "x"); return err == nil })
}
