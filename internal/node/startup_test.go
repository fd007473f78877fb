package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// restarted is a core that was started with an old list, which nobody has confirmed.
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

// Nothing is sent on the list of an earlier life before a list of this one has come, and then nothing to an executor
// that was gone meanwhile. What had been taken is sent at once, with the time that its client has left by then.
func TestJobsAreHeldUntilTheListIsConfirmed(t *testing.T) {
	h := newHoldingAdapters(t, readyEndpoint("s-gone"))
	held := &recordingClient{t: t}
	if _, err := h.core.Submit(Job{TraceID: "a", Class: 0, TimeLeft: 7 * time.Second, Slots: 1}, held); err != nil {
		t.Fatal(err)
	}
	h.run(time.Second)
	if h.sent() != 0 || h.core.Ready() {
		t.Fatalf("%d sends and ready %v on a list that nobody has confirmed", h.sent(), h.core.Ready())
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-new")}})
	h.run(time.Second)
	if !h.core.Ready() || h.sent() != 1 || h.attempts[0].Executor != ExecutorID("s-new") {
		t.Fatalf("ready %v, sent %v", h.core.Ready(), h.sends)
	}
	if latest := h.core.clock.start.Add(7 * time.Second); h.attempts[0].Deadline.After(latest) {
		t.Errorf("sent until %v after the start, its client leaves after 7 s", h.attempts[0].Deadline.Sub(h.core.clock.start))
	}
}

// Where the first call fails, or is not answered for as long as a call may take, the core goes on with the list it has.
func TestCoreGoesOnWithTheOldList(t *testing.T) {
	for what, wait := range map[string]func(h *fakeAdapters){
		"the call fails": func(h *fakeAdapters) { h.core.ListCallFailed(); h.run(time.Second) },
		"no answer": func(h *fakeAdapters) {
			h.run(lim.Staleness.PollWait + 2*lim.Staleness.AnswerTimeout + time.Second)
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
			t.Errorf("%s: sent before", what)
		}
		if wait(h); h.sent() != 1 || !h.core.Ready() {
			t.Errorf("%s: %d sends, ready %v", what, h.sent(), h.core.Ready())
		}
	}
}

// A job whose time ends while it is held is refused, and so is one that is held when the node is told to leave.
func TestHeldJobsAreAnswered(t *testing.T) {
	for what, end := range map[string]func(h *fakeAdapters){
		"its time ends":   func(h *fakeAdapters) { h.run(time.Second) },
		"the node leaves": func(h *fakeAdapters) { h.core.ShutDown(h.now); h.run(0) },
	} {
		h := newHoldingAdapters(t, readyEndpoint("s-old"))
		cl := &recordingClient{t: t}
		if _, err := h.core.Submit(Job{TraceID: "a", Class: 0, TimeLeft: time.Second, Slots: 1}, cl); err != nil {
			t.Fatal(err)
		}
		h.run(10 * time.Millisecond)
		if end(h); len(cl.answers) != 1 || cl.answers[0].End != Rejected {
			t.Errorf("%s: %+v", what, cl.answers)
		}
		h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-old")}})
		if h.run(time.Second); h.sent() != 0 {
			t.Errorf("%s: sent after its answer", what)
		}
	}
}

// New rules that come while jobs are held are put in force after them: open jobs keep the rules they came under.
func TestRetuneWaitsForHeldJobs(t *testing.T) {
	h := newHoldingAdapters(t, readyEndpoint("s-old"))
	to := make(chan error, 1)
	rules, from, err := h.core.Rules().Retune(settings(), h.core.names, h.now, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	h.core.post(configChange{rules, from, to})
	h.run(100 * time.Millisecond)
	if len(to) != 0 {
		t.Error("put in force while jobs are held")
	}
	h.core.ListCallFailed()
	if h.run(100 * time.Millisecond); len(to) != 1 || h.core.Rules() != rules {
		t.Error("not put in force after that")
	}
}

// A watch that says that nothing has changed confirms the list to the module, once this process has had a list.
func TestConfirmedListReachesTheModule(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	confirm := func() []dispatch.Event {
		h.core.ListConfirmed()
		h.core.handle(<-h.core.intake.events)
		return h.core.pending.events
	}
	if batch := confirm(); len(batch) != 0 {
		t.Errorf("%+v, though there is no list to confirm yet", batch)
	}
	h.core.UpdateEndpoints(EndpointList{Form: dispatch.ListSnapshot, Entries: []Endpoint{readyEndpoint("s-1")}})
	h.run(100 * time.Millisecond)
	batch := confirm()
	if len(batch) != 1 || batch[0].Kind != dispatch.EvEndpoints || batch[0].Form != dispatch.ListDelta ||
		len(batch[0].Rows) != 0 {
		t.Errorf("%+v, want one change of no row", batch)
	}
}
