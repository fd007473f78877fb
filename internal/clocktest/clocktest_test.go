package clocktest

import (
	"testing"
	"time"
)

// A step moves the wall clock alone: spans to other readings stay as they are, and dates move by the step.
func TestStepMovesTheWallClockAlone(t *testing.T) {
	before := time.Now()
	for _, by := range Steps {
		after := Step(before.Add(time.Minute), by)
		if got := after.Sub(before); got != time.Minute {
			t.Errorf("step %v: span %v, want 1m", by, got)
		}
		if got := after.UnixNano() - before.UnixNano(); got != int64(time.Minute+by) {
			t.Errorf("step %v: dates differ by %v", by, time.Duration(got))
		}
	}
	defer func() {
		if recover() == nil {
			t.Error("a time without a monotonic reading was stepped")
		}
	}()
	Step(time.Unix(1, 0), time.Hour)
}
