package test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// The conformance suite passes against the built program, with and without a file of persisted jobs.
func TestConformance(t *testing.T) {
	for _, dir := range []string{"", filepath.Join(t.TempDir(), "batch")} {
		s := newTestNode(t, 4, 20*time.Millisecond)
		for _, b := range s.executors {
			b.Set(func(h *testenv.Behavior) { h.FreeSlots = 16 })
		}
		if dir != "" {
			s.extraConfig = "  dir: " + dir + "\n"
		}
		s.start()
		out, err := exec.Command(program, "conform", "--addr", s.batch, "--failed").CombinedOutput()
		if err != nil {
			t.Errorf("batch folder %q: %v\n%s", dir, err, out)
		}
	}
}
