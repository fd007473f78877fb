package node

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gatetack/internal/dispatch"
)

// submittedByTest is a job of the model, with the state that its answer depends on.
type submittedByTest struct {
	id       uint32
	client   *recordingClient
	deadline time.Time
	ran      bool // an attempt may have run
	left     bool // the client has left
}

// answerModel posts random events to a core and tracks which answers each job may get.
type answerModel struct {
	t       *rapid.T
	h       *fakeAdapters
	jobs    []*submittedByTest
	byTrace map[string]*submittedByTest
}

// playEvent posts one random event.
func (m *answerModel) playEvent(step int) {
	switch rapid.IntRange(0, 6).Draw(m.t, "what") {
	case 0, 1:
		m.submit(string(rune('a' + step)))
	case 2, 3:
		m.endAttempt()
	case 4:
		if len(m.h.attempts) > 0 {
			a := rapid.SampledFrom(m.h.attempts).Draw(m.t, "attempt")
			m.h.core.Result(Result{Attempt: a.ID, Topic: dispatch.NotificationStarted})
		}
	case 5:
		if len(m.jobs) > 0 {
			job := rapid.SampledFrom(m.jobs).Draw(m.t, "job")
			job.left = true
			m.h.core.ClientGone(job.id)
		}
	case 6:
		m.h.run(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
	}
	m.h.run(0)
}

func (m *answerModel) submit(trace string) {
	job := &submittedByTest{client: &recordingClient{t: m.t}}
	class := rapid.IntRange(0, 1).Draw(m.t, "class")
	left := time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "left")) * time.Millisecond
	id, err := m.h.core.Submit(Job{Class: class, TimeLeft: left, Slots: 1, TraceID: trace}, job.client)
	if err != nil {
		m.t.Fatal(err)
	}
	job.id, job.deadline = id, m.h.now.Add(left)
	m.jobs, m.byTrace[trace] = append(m.jobs, job), job
}

// endAttempt posts an outcome, sometimes for an attempt that has already ended.
func (m *answerModel) endAttempt() {
	if len(m.h.attempts) == 0 {
		return
	}
	a := rapid.SampledFrom(m.h.attempts).Draw(m.t, "attempt")
	outcome := rapid.SampledFrom([]dispatch.Outcome{
		dispatch.Served, dispatch.Errored, dispatch.Full, dispatch.ConnectFailed, dispatch.Reset, dispatch.CanceledBeforeSend,
	}).Draw(m.t, "outcome")
	if _, inFlight := m.h.core.jobs.attempts[a.ID]; inFlight && !outcome.NeverRan() {
		m.byTrace[a.Job.TraceID].ran = true
	}
	m.h.core.Result(Result{Attempt: a.ID, Outcome: outcome, Body: []byte("tile"), Report: []float32{0, 2}})
}

// runToTheEnd advances the time past the deadlines of all jobs and checks that none is answered late.
func (m *answerModel) runToTheEnd() {
	for end := m.h.now.Add(3100 * time.Millisecond); m.h.now.Before(end); {
		m.h.run(2 * time.Millisecond)
		for _, job := range m.jobs {
			if len(job.client.answers) > 0 || job.left || !job.deadline.After(m.h.core.clock.start) {
				continue
			}
			if late := m.h.now.Sub(job.deadline); late > 10*time.Millisecond {
				m.t.Fatal("a job has no answer", late, "after its client's deadline")
			}
		}
	}
}

func (m *answerModel) checkAnswers() {
	for _, job := range m.jobs {
		if len(job.client.answers) == 0 && !job.left {
			m.t.Fatal("a job has no answer")
		}
		for _, a := range job.client.answers {
			if a.End == Rejected && job.ran {
				m.t.Fatal("a job was rejected though it may have run")
			}
		}
	}
}

func (m *answerModel) checkAttempts(sent []Attempt) {
	attempts := map[string]int{}
	for _, a := range sent {
		attempts[a.Job.TraceID]++
		if attempts[a.Job.TraceID] > 3 {
			m.t.Fatal("a job had more than three attempts")
		}
	}
}

func (m *answerModel) checkNoStateIsLeft() {
	core := m.h.core
	attempts, jobs, traces, open := len(core.jobs.attempts), len(core.jobs.byID), len(core.jobs.byTrace), core.Open()
	if attempts != 0 || jobs != 0 || traces != 0 || open != 0 {
		m.t.Fatal("state of ended jobs is left (attempts, jobs, trace IDs, open jobs):", attempts, jobs, traces, open)
	}
}

// For any events in any order and number, each job gets one answer before its client's deadline, unless the client has
// left; a job is rejected only if no attempt may have run; and no job has more attempts than MaxAttempts.
func TestOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &answerModel{t: t, h: newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2"))}
		m.byTrace = map[string]*submittedByTest{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.playEvent(step)
		}
		sent := m.h.attempts
		m.runToTheEnd()
		m.checkAnswers()
		m.checkAttempts(sent)
		m.checkNoStateIsLeft()
	})
}
