package node

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// The decision module's clock runs on with the monotonic clock: slow start, windows, ejections and patience, which
// are all spans of it, do not see that the wall clock was set.
func TestModuleClockIgnoresWallClockSteps(t *testing.T) {
	began := time.Now()
	c := clock{start: began, startMS: float64(began.UnixMicro()) / 1000}
	for _, step := range clocktest.Steps {
		if got := c.unixMillis(clocktest.Step(began.Add(1500*time.Millisecond), step)) - c.startMS; got != 1500 {
			t.Errorf("step %v: 1500 ms are %v ms", step, got)
		}
	}
}
