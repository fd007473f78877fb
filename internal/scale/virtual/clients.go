package virtual

import (
	"time"

	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// submitNext schedules the next task of the load.
func (w *World) submitNext() {
	t, ok := w.load.Next()
	if !ok {
		return
	}
	w.at(t.Due, func() {
		w.counts.Tasks[t.Kind]++
		w.submit(t, t.Due)
		w.submitNext()
	})
}

// submit submits a request for a task.
func (w *World) submit(t workload.Task, due time.Duration) {
	w.requests++
	j := &job{request: w.requests, task: t, due: due, deadline: due + w.rules.Deadlines[t.Class]}
	w.observe(verdict.Event{Kind: verdict.Submitted, Request: j.request, Task: int32(t.Number), Tenant: int32(t.Tenant), Class: uint8(t.Class),
		Slots: int32(t.Slots), Dispatcher: int16(t.Dispatcher), Deadline: j.deadline})
	w.dispatchers[t.Dispatcher].submit(j)
}

// answered counts how a task ended, and schedules a retry of a rejected one if its deadline allows it.
func (w *World) answered(j *job, a verdict.Answer, retry time.Duration) {
	kind := j.task.Kind
	switch a {
	case verdict.Served:
		w.counts.Served[kind]++
	case verdict.Rejected:
		retry = max(retry, minRetryInterval)
		if w.now+retry < j.deadline {
			w.after(retry, func() { w.submit(j.task, j.due) })
			return
		}
		w.counts.Rejected[kind]++
		w.observe(verdict.Event{Kind: verdict.Withdrawn, Task: int32(j.task.Number)})
	default:
		w.counts.Failed[kind]++
	}
}
