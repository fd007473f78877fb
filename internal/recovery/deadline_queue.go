package recovery

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Task is an entry of a DeadlineQueue.
type Task struct {
	Key         string
	Deadline    time.Duration // after which its result has no value; zero for none
	MinDuration time.Duration // that it takes at least
}

// DeadlineQueue orders tasks by the earliest deadline and drops those that can no longer meet theirs.
type DeadlineQueue struct{ tasks []Task }

// Add inserts a task.
func (l *DeadlineQueue) Add(t Task) {
	at, _ := slices.BinarySearchFunc(l.tasks, t, compareDeadlines)
	l.tasks = slices.Insert(l.tasks, at, t)
}

func compareDeadlines(a, b Task) int {
	far := func(t Task) time.Duration {
		if t.Deadline == 0 {
			return math.MaxInt64
		}
		return t.Deadline
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Key, b.Key))
}

// Len returns the number of queued tasks.
func (l *DeadlineQueue) Len() int { return len(l.tasks) }

// Next removes and returns up to n tasks in order, and all that can no longer meet their deadline.
func (l *DeadlineQueue) Next(now time.Duration, n int) (ready, late []Task) {
	rest := l.tasks[:0]
	for _, t := range l.tasks {
		switch {
		case t.Deadline != 0 && now+t.MinDuration > t.Deadline:
			late = append(late, t)
		case len(ready) < n:
			ready = append(ready, t)
		default:
			rest = append(rest, t)
		}
	}
	l.tasks = rest
	return ready, late
}

// RetryDelay returns how long a rejected client should wait, so that clients rejected together do not retry together: a time between
// when capacity is expected and when all clients ahead can have been served. Ahead is their number, rate how many are served a second
// and draw a random number from 0 to 1.
func RetryDelay(ready time.Duration, ahead int, rate float64, draw float64, most time.Duration) time.Duration {
	span := time.Duration(float64(ahead+1) / max(rate, 1e-3) * float64(time.Second))
	d := ready + time.Duration(draw*float64(max(span, ready/4)))
	return max(0, min(d, most))
}
