package node

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// The dispatch module's clock follows the monotonic clock: slow start, time windows, ejections and time-outs, which
// the module measures by it, must not be affected by a step of the wall clock.
func TestModuleClockIgnoresWallClockSteps(t *testing.T) {
	began := time.Now()
	c := clock{start: began, startMS: float64(began.UnixMicro()) / 1000}
	for _, step := range clocktest.Steps {
		if got := c.unixMillis(clocktest.Step(began.Add(1500*time.Millisecond), step)) - c.startMS; got != 1500 {
			t.Errorf("step %v: the clock advanced by %v ms, want 1500", step, got)
		}
	}
}
