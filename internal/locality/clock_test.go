package locality

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// Waits, reservations and ages of data are durations, which steps of the wall clock must not change.
func TestPlacerClockIgnoresWallClockSteps(t *testing.T) {
	startedAt := time.Now()
	for _, step := range clocktest.Steps {
		p := &Placer{started: startedAt, now: func() time.Time { return startedAt.Add(time.Second) }}
		before := p.nowMillis()
		p.now = func() time.Time { return clocktest.Step(startedAt.Add(3*time.Second), step) }
		if got := p.nowMillis() - before; got != 2000 {
			t.Errorf("step %v: 2 s were measured as %v ms", step, got)
		}
	}
}
