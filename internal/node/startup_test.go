package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// restarted is a core that was started with an old list, which nobody has confirmed.
func restarted(t *testing.T, rows ...Entry) *host {
	t.Helper()
	h := startHost(t, rows...)
	h.c.AwaitList(len(rows))
	h.run(0)
	return h
}

func (h *host) sent() int {
	n := 0
	for _, to := range h.sends {
		n += len(to)
	}
	return n
}

// Nothing is sent on the list of an earlier life before a list of this one has come, and then nothing to an executor that was gone
// meanwhile. What had been taken is sent at once, with the time that its client has left by then.
func TestJobsAreHeldUntilTheListIsConfirmed(t *testing.T) {
	h := restarted(t, box("s-gone"))
	held := &client{t: t}
	if _, err := h.c.Submit(Job{Trace: "a", Class: 0, Left: 7 * time.Second, Slots: 1}, held); err != nil {
		t.Fatal(err)
	}
	h.run(time.Second)
	if h.sent() != 0 || h.c.Ready() {
		t.Fatalf("%d sends and ready %v on a list that nobody has confirmed", h.sent(), h.c.Ready())
	}
	h.c.List(List{Form: dispatch.ListFull, Entries: []Entry{box("s-new")}})
	h.run(time.Second)
	if !h.c.Ready() || h.sent() != 1 || h.live[0].Worker != WorkerID("s-new") {
		t.Fatalf("ready %v, sent %v", h.c.Ready(), h.sends)
	}
	if latest := h.c.start.Add(7 * time.Second); h.live[0].Deadline.After(latest) {
		t.Errorf("sent until %v after the start, its client leaves after 7 s", h.live[0].Deadline.Sub(h.c.start))
	}
}

// Where the first call fails, or is not answered for as long as a call may take, the core goes on with the list it has.
func TestCoreGoesOnWithTheOldList(t *testing.T) {
	for what, wait := range map[string]func(h *host){
		"the call fails": func(h *host) { h.c.ListCallFailed(); h.run(time.Second) },
		"no answer":      func(h *host) { h.run(lim.Staleness.Wait + 2*lim.Staleness.Slow + time.Second) },
	} {
		h := restarted(t, box("s-old"))
		if _, err := h.c.Submit(Job{Trace: "a", Class: 0, Left: 7 * time.Second, Slots: 1}, &client{t: t}); err != nil {
			t.Fatal(err)
		}
		h.run(100 * time.Millisecond)
		if h.sent() != 0 {
			t.Errorf("%s: sent before", what)
		}
		if wait(h); h.sent() != 1 || !h.c.Ready() {
			t.Errorf("%s: %d sends, ready %v", what, h.sent(), h.c.Ready())
		}
	}
}

// A job whose time ends while it is held is refused, and so is one that is held when the node is told to leave.
func TestHeldJobsAreAnswered(t *testing.T) {
	for what, end := range map[string]func(h *host){
		"its time ends":   func(h *host) { h.run(time.Second) },
		"the node leaves": func(h *host) { h.c.Leave(h.at); h.run(0) },
	} {
		h := restarted(t, box("s-old"))
		cl := &client{t: t}
		if _, err := h.c.Submit(Job{Trace: "a", Class: 0, Left: time.Second, Slots: 1}, cl); err != nil {
			t.Fatal(err)
		}
		h.run(10 * time.Millisecond)
		if end(h); len(cl.answers) != 1 || cl.answers[0].End != Refused {
			t.Errorf("%s: %+v", what, cl.answers)
		}
		h.c.List(List{Form: dispatch.ListFull, Entries: []Entry{box("s-old")}})
		if h.run(time.Second); h.sent() != 0 {
			t.Errorf("%s: sent after its answer", what)
		}
	}
}

// New rules that come while jobs are held are put in force after them: open jobs keep the rules they came under.
func TestRetuneWaitsForHeldJobs(t *testing.T) {
	h := restarted(t, box("s-old"))
	to := make(chan error, 1)
	rules, from, err := h.c.Rules().Retune(settings(), h.c.names, h.at, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	h.c.post(retune{rules, from, to})
	h.run(100 * time.Millisecond)
	if len(to) != 0 {
		t.Error("put in force while jobs are held")
	}
	h.c.ListCallFailed()
	if h.run(100 * time.Millisecond); len(to) != 1 || h.c.Rules() != rules {
		t.Error("not put in force after that")
	}
}

// A watch that says that nothing has changed confirms the list to the module, once this process has had a list.
func TestConfirmedListReachesTheModule(t *testing.T) {
	h := newHost(t, box("s-1"))
	confirm := func() []dispatch.Event {
		h.c.ListConfirmed()
		h.c.intake(<-h.c.in)
		return h.c.batch
	}
	if batch := confirm(); len(batch) != 0 {
		t.Errorf("%+v, though there is no list to confirm yet", batch)
	}
	h.c.List(List{Form: dispatch.ListFull, Entries: []Entry{box("s-1")}})
	h.run(100 * time.Millisecond)
	batch := confirm()
	if len(batch) != 1 || batch[0].Kind != dispatch.EvList || batch[0].Form != dispatch.ListDelta || len(batch[0].Rows) != 0 {
		t.Errorf("%+v, want one change of no row", batch)
	}
}
