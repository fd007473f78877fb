package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// An attempt that was cancelled before it was sent says nothing of its executor: the same job goes there again with the
// next step, and so does the next job. After a failed connection, for comparison, the executor gets neither for a
// while.
func TestCancelledBeforeSendMarksNoExecutor(t *testing.T) {
	for name, x := range map[string]struct {
		outcome dispatch.Outcome
		sends   int // to the only executor, within 50 ms of the outcome
	}{
		"cancelled before send": {dispatch.CanceledBeforeSend, 2},
		"failed connection":     {dispatch.ConnectFailed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeAdapters(t, readyEndpoint("s-1"))
			submit := func(trace string) {
				if _, err := h.core.Submit(Job{TimeLeft: 7 * time.Second, Slots: 1, TraceID: trace}, &recordingClient{t: t}); err != nil {
					t.Fatal(err)
				}
			}
			submit("a")
			h.run(20 * time.Millisecond)
			if h.sent() != 1 {
				t.Fatalf("%d sends at first", h.sent())
			}
			h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: x.outcome})
			h.run(10 * time.Millisecond)
			submit("b")
			h.run(40 * time.Millisecond)
			if got := h.sent() - 1; got != x.sends {
				t.Errorf("%d sends after it, want %d", got, x.sends)
			}
		})
	}
}

// A job whose attempts all end before they are sent gets its final answer, a refusal, since nothing of it has run; and
// no more attempts are made than the settings allow, however soon each ends.
func TestCancelledBeforeSendIsBounded(t *testing.T) {
	for class := range settings().Classes {
		h, cl := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2")), &recordingClient{t: t}
		if _, err := h.core.Submit(Job{Class: class, TimeLeft: 7 * time.Second, Slots: 1, TraceID: "a"}, cl); err != nil {
			t.Fatal(err)
		}
		for ended := 0; h.now.Before(h.core.clock.start.Add(8 * time.Second)); h.run(2 * time.Millisecond) {
			for ; ended < len(h.attempts); ended++ {
				h.core.Result(Result{Attempt: h.attempts[ended].ID, Outcome: dispatch.CanceledBeforeSend})
			}
		}
		if len(cl.answers) != 1 || cl.answers[0].End != Rejected || h.sent() > settings().MaxAttempts {
			t.Errorf("class %d: answers %+v after %d attempts", class, cl.answers, h.sent())
		}
	}
}
