package endpointwatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/clocktest"
)

// followed drives one clock with the readings of a machine whose wall clock may be set.
type followed struct {
	clock Clock
	read  func(time.Time) time.Time
}

// event applies one event at a time, and gives what is to follow.
func (f *followed) event(kind int, at time.Time, end End, draw float64) Next {
	now := f.read(at)
	switch kind {
	case 0:
		f.clock.Call(now)
	case 1:
		f.clock.Sign(now)
	case 2:
		f.clock.Line(now)
	case 3:
		f.clock.Moved(now)
	case 4:
		return f.clock.Ended(now, end, draw)
	}
	return Next{}
}

// However the wall clock is set between events, a clock gives the same times as one whose wall clock was left alone,
// on the monotonic clock of both.
func TestDeadlinesIgnoreWallClockSteps(t *testing.T) {
	began := time.Now()
	same := func(a, b time.Time) bool {
		return a.IsZero() == b.IsZero() && (a.IsZero() || a.Sub(began) == b.Sub(began))
	}
	rapid.Check(t, func(t *rapid.T) {
		off, at := time.Duration(0), began
		timeouts := Timeouts{Silence: 6 * time.Second, Wait: 2 * time.Second, After: 2 * time.Second, Reload: 4 * time.Second, Ask: 5 * time.Second,
			Failed: 4, Beat: time.Second, Late: 500 * time.Millisecond, Slow: 500 * time.Millisecond, Stood: time.Second, Least: 50 * time.Millisecond}
		plain := followed{Clock{Timeouts: timeouts}, func(at time.Time) time.Time { return at }}
		set := followed{Clock{Timeouts: timeouts}, func(at time.Time) time.Time { return clocktest.Step(at, off) }}
		plain.clock.Begin(plain.read(at))
		set.clock.Begin(set.read(at))
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at = at.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			off += rapid.SampledFrom(clocktest.Steps).Draw(t, "step")
			kind, end := rapid.IntRange(0, 4).Draw(t, "event"), End(rapid.IntRange(0, 3).Draw(t, "end"))
			draw := rapid.Float64Range(0, 0.99).Draw(t, "draw")
			a, b := plain.event(kind, at, end, draw), set.event(kind, at, end, draw)
			if a.Mine != b.Mine || !same(a.At, b.At) {
				t.Fatalf("after event %d the next call is %+v, want %+v", kind, b, a)
			}
			if !same(plain.clock.Held(), set.clock.Held()) || !same(plain.clock.SilentBy(), set.clock.SilentBy()) {
				t.Fatalf("after event %d it is held from %v and silent from %v, want %v and %v", kind, set.clock.Held(), set.clock.SilentBy(),
					plain.clock.Held(), plain.clock.SilentBy())
			}
		}
	})
}
