package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// An attempt that was canceled before send is no sign of a fault of its executor: the next step sends the same job
// there again, and the next job too. After a failed connection, for comparison, the executor gets neither for a while.
func TestCanceledBeforeSendIsNoExecutorFault(t *testing.T) {
	for name, x := range map[string]struct {
		outcome dispatch.Outcome
		sends   int // to the only executor, within 50 ms of the outcome
	}{
		"canceled before send": {dispatch.CanceledBeforeSend, 2},
		"failed connection":    {dispatch.ConnectFailed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeAdapters(t, readyEndpoint("s-1"))
			submit := func(trace string) {
				if _, err := h.core.Submit(Job{TimeLeft: 7 * time.Second, Slots: 1, TraceID: trace},
					&recordingClient{t: t}); err != nil {
					t.Fatal(err)
				}
			}
			submit("a")
			h.run(20 * time.Millisecond)
			if h.sent() != 1 {
				t.Fatalf("%d sends before the outcome, want 1", h.sent())
			}
			h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: x.outcome})
			h.run(10 * time.Millisecond)
			submit("b")
			h.run(40 * time.Millisecond)
			if got := h.sent() - 1; got != x.sends {
				t.Errorf("%d sends after the outcome, want %d", got, x.sends)
			}
		})
	}
}

// A job whose attempts are all canceled before send is rejected, since it never ran. The number of its attempts stays
// within MaxAttempts, however soon each ends.
func TestCanceledBeforeSendIsBounded(t *testing.T) {
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
			t.Errorf("class %d: answers %+v after %d attempts, want one rejection within MaxAttempts",
				class, cl.answers, h.sent())
		}
	}
}
