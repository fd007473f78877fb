package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// First attempts, retries and hedged attempts all end AnswerEarly before their client's deadline, whenever they are
// sent. The time left that an executor gets is counted from that end.
func TestAttemptsEndBeforeClientDeadline(t *testing.T) {
	type kind struct {
		sends  int
		second func(h *fakeAdapters, id uint32)
	}
	for name, x := range map[string]kind{
		"first": {1, func(*fakeAdapters, uint32) {}},
		"retry": {2, func(h *fakeAdapters, _ uint32) {
			h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Full})
		}},
		"hedge": {2, func(h *fakeAdapters, id uint32) {
			other := ExecutorID("s-1")
			if h.attempts[0].Executor == other {
				other = ExecutorID("s-2")
			}
			h.core.execute(&dispatch.Action{Kind: dispatch.ActSend, Job: id, Executor: other}, h.now)
		}},
		"bounded hedge": {2, func(h *fakeAdapters, id uint32) {
			h.core.execute(&dispatch.Action{Kind: dispatch.ActSend, Job: id, Executor: h.attempts[0].Executor, Delay: 60_000},
				h.now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeAdapters(t, readyEndpoint("s-1"), readyEndpoint("s-2"))
			const left = 3 * time.Second
			clientDeadline := h.now.Add(left)
			id, err := h.core.Submit(Job{Class: 1, TimeLeft: left, Slots: 1, TraceID: "a"}, &recordingClient{t: t})
			if err != nil {
				t.Fatal(err)
			}
			h.run(time.Second)
			x.second(h, id)
			h.run(time.Second)
			if len(h.attempts) != x.sends {
				t.Fatalf("got %d sends, want %d", len(h.attempts), x.sends)
			}
			for i, a := range h.attempts {
				if latest := clientDeadline.Add(-lim.ResponseMargin); a.Deadline.After(latest) {
					t.Errorf("attempt %d ends %v after AnswerEarly before the client's deadline", i+1, a.Deadline.Sub(latest))
				}
			}
		})
	}
}
