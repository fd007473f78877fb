package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// newHoldingAdapters returns adapters of a core that was started with a cached list which is not confirmed yet.
func newHoldingAdapters(t *testing.T, rows ...Endpoint) *fakeAdapters {
	t.Helper()
	h := startFakeAdapters(t, rows...)
	h.core.AwaitList(len(rows))
	h.run(0)
	return h
}

func (h *fakeAdapters) sent() int {
	n := 0
	for _, to := range h.sends {
		n += len(to)
	}
	return n
}

// Before discovery has sent a list to this process nothing is sent on the cached list of an earlier process, and
// afterwards nothing to an executor that has been removed meanwhile. Jobs that were held are sent at once, with the
// time that their client has left by then.
func TestJobsAreHeldUntilTheListIsConfirmed(t *testing.T) {
	h := newHoldingAdapters(t, readyEndpoint("s-gone"))
	held := &recordingClient{t: t}
	if _, err := h.core.Submit(Job{TraceID: "a", Class: 0, TimeLeft: 7 * time.Second, Slots: 1}, held); err != nil {
		t.Fatal(err)
	}
	h.run(time.Second)
	if h.sent() != 0 || h.core.Ready() {
		t.Fatalf("%d sends, ready %v before the list is confirmed, want 0 sends, not ready", h.sent(), h.core.Ready())
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-new")}})
	h.run(time.Second)
	if !h.core.Ready() || h.sent() != 1 || h.attempts[0].Executor != ExecutorID("s-new") {
		t.Fatalf("ready %v, sends %v, want one send to s-new", h.core.Ready(), h.sends)
	}
	if latest := h.core.clock.start.Add(7 * time.Second); h.attempts[0].Deadline.After(latest) {
		t.Errorf("the attempt ends %v after the start, later than its client's deadline at 7 s",
			h.attempts[0].Deadline.Sub(h.core.clock.start))
	}
}

// If the first call fails, or is not answered within the time a call may take, the core continues with the cached
// list.
func TestCoreContinuesWithCachedList(t *testing.T) {
	for name, wait := range map[string]func(h *fakeAdapters){
		"the call fails": func(h *fakeAdapters) { h.core.ListCallFailed(); h.run(time.Second) },
		"no answer": func(h *fakeAdapters) {
			h.run(lim.ListTimeouts.PollWait + 2*lim.ListTimeouts.AnswerTimeout + time.Second)
		},
	} {
		h := newHoldingAdapters(t, readyEndpoint("s-old"))
		if _, err := h.core.Submit(
			Job{TraceID: "a", Class: 0, TimeLeft: 7 * time.Second, Slots: 1},
			&recordingClient{t: t},
		); err != nil {
			t.Fatal(err)
		}
		h.run(100 * time.Millisecond)
		if h.sent() != 0 {
			t.Errorf("%s: a job was sent while jobs are held", name)
		}
		if wait(h); h.sent() != 1 || !h.core.Ready() {
			t.Errorf("%s: %d sends, ready %v, want 1 send, ready", name, h.sent(), h.core.Ready())
		}
	}
}

// A job whose deadline passes while it is held is rejected, and so is a job that is held when the node shuts down.
func TestHeldJobsAreAnswered(t *testing.T) {
	for name, end := range map[string]func(h *fakeAdapters){
		"deadline": func(h *fakeAdapters) { h.run(time.Second) },
		"shutdown": func(h *fakeAdapters) { h.core.ShutDown(h.now); h.run(0) },
	} {
		h := newHoldingAdapters(t, readyEndpoint("s-old"))
		cl := &recordingClient{t: t}
		if _, err := h.core.Submit(Job{TraceID: "a", Class: 0, TimeLeft: time.Second, Slots: 1}, cl); err != nil {
			t.Fatal(err)
		}
		h.run(10 * time.Millisecond)
		if end(h); len(cl.answers) != 1 || cl.answers[0].End != Rejected {
			t.Errorf("%s: answers %+v, want one rejection", name, cl.answers)
		}
		h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-old")}})
		if h.run(time.Second); h.sent() != 0 {
			t.Errorf("%s: the job was sent after its answer", name)
		}
	}
}

// New rules that arrive while jobs are held are put in force after the held jobs, which keep the rules under which
// they were accepted.
func TestUpdateSettingsWaitsForHeldJobs(t *testing.T) {
	h := newHoldingAdapters(t, readyEndpoint("s-old"))
	to := make(chan error, 1)
	was := h.core.Rules()
	h.core.post(configChange{settings(), h.core.names, time.Second, to})
	h.run(100 * time.Millisecond)
	if len(to) != 0 || h.core.Rules() != was {
		t.Error("the rules were put in force while jobs are held")
	}
	h.core.ListCallFailed()
	if h.run(100 * time.Millisecond); len(to) != 1 || <-to != nil || h.core.Rules() == was {
		t.Error("the rules were not put in force after the wait")
	}
}

// A watch that reports no change confirms the list to the module, once this process has received a list.
func TestConfirmedListReachesTheModule(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	confirm := func() []dispatch.Event {
		h.core.ListConfirmed()
		h.core.handle(<-h.core.intake.events)
		return h.core.pending.events
	}
	if batch := confirm(); len(batch) != 0 {
		t.Errorf("events %+v before there is a list to confirm, want none", batch)
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-1")}})
	h.run(100 * time.Millisecond)
	batch := confirm()
	if len(batch) != 1 || batch[0].Kind != dispatch.EvEndpoints || batch[0].Form != dispatch.ListDelta ||
		len(batch[0].Updates) != 0 {
		t.Errorf("events %+v, want one delta without rows", batch)
	}
}
