package jobqueue

import (
	"testing"
	"time"

	"gatetack/internal/clocktest"
)

// retryDelay is for how long a refused job waits in these tests.
const retryDelay = 2 * time.Second

// handedOut reports whether an item is handed out at a time.
func handedOut(q *Queue, id string, now time.Time) bool {
	refs, _ := q.Next(now, 10)
	for _, ref := range refs {
		if ref.ID == id {
			return true
		}
	}
	return false
}

// The wait after a refusal is a span: however the wall clock is set meanwhile, it is over when the monotonic clock
// says so, also beside a job whose start date the step moved nearer or farther.
func TestRetryDelayIgnoresWallClockSteps(t *testing.T) {
	for _, step := range clocktest.Steps {
		for _, startsIn := range []time.Duration{10 * time.Second, 30 * time.Minute} {
			q, now := New(), time.Now()
			q.Add(Item{ID: "refused", Session: "s"}, now)
			q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(startsIn)}, now)
			refs, _ := q.Next(now, 1)
			// Refused after the step, and before it in the monotonic order of all that follows.
			now = clocktest.Step(now.Add(time.Millisecond), step)
			q.Rejected(refs[0], now.Add(retryDelay), now)
			if handedOut(q, "refused", now.Add(retryDelay-time.Millisecond)) {
				t.Errorf("step %v, start in %v: handed out before its wait was over", step, startsIn)
			}
			if !handedOut(q, "refused", now.Add(retryDelay)) {
				t.Errorf("step %v, start in %v: not handed out when its wait was over", step, startsIn)
			}
		}
	}
}

// The same where the refusal came before the step.
func TestRetryDelayRunsOnThroughWallClockSteps(t *testing.T) {
	for _, step := range clocktest.Steps {
		q, now := New(), time.Now()
		q.Add(Item{ID: "refused", Session: "s"}, now)
		q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(30 * time.Minute)}, now)
		refs, _ := q.Next(now, 1)
		q.Rejected(refs[0], now.Add(retryDelay), now)
		now = clocktest.Step(now.Add(time.Millisecond), step)
		// An item that comes after the step is ordered beside those from before it.
		q.Add(Item{ID: "later", Session: "s", Start: now.Round(0).Add(10 * time.Second)}, now)
		if handedOut(q, "refused", now.Add(retryDelay-2*time.Millisecond)) {
			t.Errorf("step %v: handed out before its wait was over", step)
		}
		if !handedOut(q, "refused", now.Add(retryDelay)) {
			t.Errorf("step %v: not handed out when its wait was over", step)
		}
	}
}

// A start is a date: a step of the wall clock over it starts the job at the next look, and a look comes within a
// second.
func TestStartDateFollowsTheWallClock(t *testing.T) {
	for _, step := range clocktest.Steps {
		q, now := New(), time.Now()
		q.Add(Item{ID: "dated", Session: "s", Start: now.Round(0).Add(20 * time.Second)}, now)
		refs, wake := q.Next(now, 10)
		if len(refs) > 0 || wake.Sub(now) > dateCheckInterval || !wake.After(now) {
			t.Fatalf("%v handed out, next look after %v", refs, wake.Sub(now))
		}
		now = clocktest.Step(wake, step)
		if got, want := handedOut(q, "dated", now), step >= 20*time.Second; got != want {
			t.Errorf("step %v: handed out %v, want %v", step, got, want)
		}
	}
}

// A start date that has come stays come: a step back does not stop an array that has begun.
func TestStartedArrayIsNotStoppedByAStepBack(t *testing.T) {
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
