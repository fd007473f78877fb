package locality

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// Waits, reservations and ages of data are spans: a step of the wall clock moves none of them.
func TestPlacerClockIgnoresWallClockSteps(t *testing.T) {
	began := time.Now()
	for _, step := range clocktest.Steps {
		p := &Placer{started: began, now: func() time.Time { return began.Add(time.Second) }}
		before := p.nowMillis()
		p.now = func() time.Time { return clocktest.Step(began.Add(3*time.Second), step) }
		if got := p.nowMillis() - before; got != 2000 {
			t.Errorf("step %v: 2 s are %v ms", step, got)
		}
	}
}
