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
	Deadline    time.Duration // when the result becomes useless; zero for no deadline
	MinDuration time.Duration // lower bound on the task's run time
}

// DeadlineQueue orders tasks by earliest deadline first and drops those that can no longer meet their deadline.
type DeadlineQueue struct{ tasks []Task }

// Add inserts a task.
func (q *DeadlineQueue) Add(t Task) {
	at, _ := slices.BinarySearchFunc(q.tasks, t, compareDeadlines)
	q.tasks = slices.Insert(q.tasks, at, t)
}

// compareDeadlines orders tasks by deadline, tasks without one last, and tasks with the same deadline by key.
func compareDeadlines(a, b Task) int {
	return cmp.Or(cmp.Compare(a.deadlineOrMax(), b.deadlineOrMax()), cmp.Compare(a.Key, b.Key))
}

func (t Task) deadlineOrMax() time.Duration {
	if t.Deadline == 0 {
		return math.MaxInt64
	}
	return t.Deadline
}

// Len returns the number of queued tasks.
func (q *DeadlineQueue) Len() int { return len(q.tasks) }

// Next removes and returns up to n tasks in order, and all tasks that can no longer meet their deadline.
func (q *DeadlineQueue) Next(now time.Duration, n int) (ready, late []Task) {
	rest := q.tasks[:0]
	for _, t := range q.tasks {
		switch {
		case t.Deadline != 0 && now+t.MinDuration > t.Deadline:
			late = append(late, t)
		case len(ready) < n:
			ready = append(ready, t)
		default:
			rest = append(rest, t)
		}
	}
	q.tasks = rest
	return ready, late
}
