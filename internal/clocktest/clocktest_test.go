package clocktest

import (
	"testing"
	"time"
)

// A step moves only the wall clock: durations to other readings stay the same, and dates move by the step.
func TestStepMovesTheWallClockAlone(t *testing.T) {
	before := time.Now()
	for _, by := range Steps {
		after := Step(before.Add(time.Minute), by)
		if got := after.Sub(before); got != time.Minute {
			t.Errorf("step %v: duration %v, want 1m", by, got)
		}
		if got := after.UnixNano() - before.UnixNano(); got != int64(time.Minute+by) {
			t.Errorf("step %v: dates differ by %v", by, time.Duration(got))
		}
	}
	defer func() {
		if recover() == nil {
			t.Error("Step did not panic for a time without a monotonic reading")
		}
	}()
	Step(time.Unix(1, 0), time.Hour)
}
