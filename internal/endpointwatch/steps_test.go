package endpointwatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/clocktest"
)

// followed drives one clock with the readings of a machine whose wall clock may be set.
type followed struct {
	clock Tracker
	read  func(time.Time) time.Time
}

// event applies one event at a time, and gives what is to follow.
func (f *followed) event(kind int, at time.Time, end CallEnd, draw float64) NextCall {
	now := f.read(at)
	switch kind {
	case 0:
		f.clock.CallStarted(now)
	case 1:
		f.clock.BytesReceived(now)
	case 2:
		f.clock.UpdateReceived(now)
	case 3:
		f.clock.SourceMoved(now)
	case 4:
		return f.clock.CallEnded(now, end, draw)
	}
	return NextCall{}
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
		timeouts := Timeouts{MaxStaleness: 6 * time.Second, PollWait: 2 * time.Second, PollGrace: 2 * time.Second, ReloadGrace: 4 * time.Second, PollInterval: 5 * time.Second,
			FailedPollFactor: 4, HeartbeatInterval: time.Second, HeartbeatSlack: 500 * time.Millisecond, AnswerTimeout: 500 * time.Millisecond, StableAfter: time.Second, MinBackoff: 50 * time.Millisecond}
		plain := followed{Tracker{Timeouts: timeouts}, func(at time.Time) time.Time { return at }}
		set := followed{Tracker{Timeouts: timeouts}, func(at time.Time) time.Time { return clocktest.Step(at, off) }}
		plain.clock.Started(plain.read(at))
		set.clock.Started(set.read(at))
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at = at.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			off += rapid.SampledFrom(clocktest.Steps).Draw(t, "step")
			kind, end := rapid.IntRange(0, 4).Draw(t, "event"), CallEnd(rapid.IntRange(0, 3).Draw(t, "end"))
			draw := rapid.Float64Range(0, 0.99).Draw(t, "draw")
			a, b := plain.event(kind, at, end, draw), set.event(kind, at, end, draw)
			if a.Owned != b.Owned || !same(a.At, b.At) {
				t.Fatalf("after event %d the next call is %+v, want %+v", kind, b, a)
			}
			if !same(plain.clock.NotifiedFrom(), set.clock.NotifiedFrom()) || !same(plain.clock.SilenceDeadline(), set.clock.SilenceDeadline()) {
				t.Fatalf("after event %d it is held from %v and silent from %v, want %v and %v", kind, set.clock.NotifiedFrom(), set.clock.SilenceDeadline(),
					plain.clock.NotifiedFrom(), plain.clock.SilenceDeadline())
			}
		}
	})
}
