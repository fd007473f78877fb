package endpointwatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/clocktest"
)

// event is an event that is reported to a Tracker.
type event struct {
	kind int // selects the case in apply
	at   time.Time
	end  CallEnd
	draw float64
}

const eventKinds = 5

// apply reports the event to a Tracker, and returns the next call if the event ends one.
func (e event) apply(tracker *Tracker) NextCall {
	switch e.kind {
	case 0:
		tracker.CallStarted(e.at)
	case 1:
		tracker.BytesReceived(e.at)
	case 2:
		tracker.UpdateReceived(e.at)
	case 3:
		tracker.SourceMoved(e.at)
	case 4:
		return tracker.CallEnded(e.at, e.end, e.draw)
	}
	return NextCall{}
}

// Steps of the wall clock between events do not change the times that a Tracker returns on the monotonic clock.
func TestDeadlinesIgnoreWallClockSteps(t *testing.T) {
	startedAt := time.Now()
	same := func(a, b time.Time) bool {
		return a.IsZero() == b.IsZero() && (a.IsZero() || a.Sub(startedAt) == b.Sub(startedAt))
	}
	rapid.Check(t, func(t *rapid.T) {
		offset, now := time.Duration(0), startedAt
		plain, stepped := Tracker{Timeouts: timeouts}, Tracker{Timeouts: timeouts}
		plain.Started(now)
		stepped.Started(now)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * ms)
			offset += rapid.SampledFrom(clocktest.Steps).Draw(t, "step")
			e := event{
				kind: rapid.IntRange(0, eventKinds-1).Draw(t, "event"),
				at:   now,
				end:  CallEnd(rapid.IntRange(0, int(CallTruncated)).Draw(t, "end")),
				draw: draws.Draw(t, "draw"),
			}
			want := e.apply(&plain)
			e.at = clocktest.Step(now, offset)
			if got := e.apply(&stepped); got.Owned != want.Owned || !same(got.At, want.At) {
				t.Fatalf("after event %d the next call is %+v, want %+v", e.kind, got, want)
			}
			if !same(plain.NotifiedFrom(), stepped.NotifiedFrom()) {
				t.Fatalf("after event %d notified from %v, want %v", e.kind, stepped.NotifiedFrom(), plain.NotifiedFrom())
			}
			if !same(plain.IdleDeadline(), stepped.IdleDeadline()) {
				t.Fatalf("after event %d deadline %v, want %v", e.kind, stepped.IdleDeadline(), plain.IdleDeadline())
			}
		}
	})
}
