package jobqueue

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// testRetryDelay is how long a rejected job waits in these tests.
const testRetryDelay = 2 * time.Second

// handedOut reports whether Next returns a job of an item at the given time.
func handedOut(q *Queue, id string, now time.Time) bool {
	refs, _ := q.Next(now, 10)
	for _, ref := range refs {
		if ref.ID == id {
			return true
		}
	}
	return false
}

// The wait after a rejection is a duration on the monotonic clock: steps of the wall clock do not change it, even if
// the queue also has a job whose start date the step moves closer or further away.
func TestRetryDelayIgnoresWallClockSteps(t *testing.T) {
	for _, step := range clocktest.Steps {
		for _, startsIn := range []time.Duration{10 * time.Second, 30 * time.Minute} {
			q, now := New(), time.Now()
			q.Add(Item{ID: "rejected", Session: "s"}, now)
			q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(startsIn)}, now)
			refs, _ := q.Next(now, 1)
			// The job is rejected after the step.
			now = clocktest.Step(now.Add(time.Millisecond), step)
			q.Rejected(refs[0], now.Add(testRetryDelay), now)
			if handedOut(q, "rejected", now.Add(testRetryDelay-time.Millisecond)) {
				t.Errorf("step %v, start in %v: job handed out before its retry delay was over", step, startsIn)
			}
			if !handedOut(q, "rejected", now.Add(testRetryDelay)) {
				t.Errorf("step %v, start in %v: job not handed out after its retry delay", step, startsIn)
			}
		}
	}
}

// Steps of the wall clock after a rejection do not change the retry delay either.
func TestRetryDelayIgnoresWallClockStepsAfterRejection(t *testing.T) {
	for _, step := range clocktest.Steps {
		q, now := New(), time.Now()
		q.Add(Item{ID: "rejected", Session: "s"}, now)
		q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(30 * time.Minute)}, now)
		refs, _ := q.Next(now, 1)
		q.Rejected(refs[0], now.Add(testRetryDelay), now)
		now = clocktest.Step(now.Add(time.Millisecond), step)
		// An item added after the step is ordered among those added before it.
		q.Add(Item{ID: "later", Session: "s", Start: now.Round(0).Add(10 * time.Second)}, now)
		if handedOut(q, "rejected", now.Add(testRetryDelay-2*time.Millisecond)) {
			t.Errorf("step %v: job handed out before its retry delay was over", step)
		}
		if !handedOut(q, "rejected", now.Add(testRetryDelay)) {
			t.Errorf("step %v: job not handed out after its retry delay", step)
		}
	}
}

// A start is a date: if the wall clock steps past it, the next check hands the job out, and checks are at most one
// second apart.
func TestStartDateFollowsTheWallClock(t *testing.T) {
	for _, step := range clocktest.Steps {
		q, now := New(), time.Now()
		q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(20 * time.Second)}, now)
		refs, wake := q.Next(now, 10)
		if len(refs) > 0 || wake.Sub(now) > dateCheckInterval || !wake.After(now) {
			t.Fatalf("%v handed out, next check after %v; want none, and a check within a second", refs, wake.Sub(now))
		}
		now = clocktest.Step(wake, step)
		if got, want := handedOut(q, "dated", now), step >= 20*time.Second; got != want {
			t.Errorf("step %v: handed out %v, want %v", step, got, want)
		}
	}
}

// A start date that was reached remains reached: setting the clock back does not stop an array that has started.
func TestStartedArrayIsNotStoppedByBackwardClockStep(t *testing.T) {
	for _, step := range clocktest.Steps {
		q, now := New(), time.Now()
		array := Item{ID: "array", Session: "s", Start: now.Round(0).Add(-time.Millisecond),
			Array: true, End: 9, Step: 1, MaxParallel: 1}
		q.Add(array, now)
		for index := range 10 {
			refs, _ := q.Next(now, 1)
			if len(refs) != 1 || refs[0].Index != index {
				t.Fatalf("step %v: %v handed out, want member %d", step, refs, index)
			}
			now = clocktest.Step(now.Add(time.Millisecond), step)
			q.Ended(refs[0], now)
		}
	}
}
