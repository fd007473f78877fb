package recovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// taskModel is a reference queue that sorts all tasks on each call.
type taskModel []Task

func (m *taskModel) next(now time.Duration, n int) (ready, late []Task) {
	slices.SortStableFunc(*m, compareDeadlines)
	var left taskModel
	for _, task := range *m {
		switch {
		case task.Deadline != 0 && now+task.MinDuration > task.Deadline:
			late = append(late, task)
		case len(ready) < n:
			ready = append(ready, task)
		default:
			left = append(left, task)
		}
	}
	*m = left
	return ready, late
}

// drawTask draws a task that is added at the given time.
func drawTask(t *rapid.T, key string, now time.Duration) Task {
	task := Task{Key: key, MinDuration: time.Duration(rapid.IntRange(0, 300).Draw(t, "needed")) * time.Millisecond}
	if rapid.Bool().Draw(t, "has a deadline") {
		task.Deadline = now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "left"))*time.Millisecond
	}
	return task
}

// Tasks are returned earliest deadline first, and those that cannot meet their deadline are dropped immediately.
func TestDeadlineQueueReturnsTheEarliestDeadlineFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue DeadlineQueue
		var model taskModel
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "add") {
				task := drawTask(t, fmt.Sprint(i), now)
				queue.Add(task)
				model = append(model, task)
				continue
			}
			n := rapid.IntRange(0, 4).Draw(t, "n")
			ready, late := queue.Next(now, n)
			wantReady, wantLate := model.next(now, n)
			if fmt.Sprint(ready, late) != fmt.Sprint(wantReady, wantLate) || queue.Len() != len(model) {
				t.Fatalf("ready %v, late %v, want %v, %v", ready, late, wantReady, wantLate)
			}
		}
	})
}
