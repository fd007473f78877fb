package node

import (
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// First attempts, retries and hedged requests all end AnswerEarly before their client leaves, whenever they are made: the time that an
// executor is told is counted from that end.
func TestAttemptsEndBeforeTheirClientLeaves(t *testing.T) {
	type kind struct {
		sends  int
		second func(h *host, id uint32)
	}
	for name, x := range map[string]kind{
		"first": {1, func(*host, uint32) {}},
		"retry": {2, func(h *host, _ uint32) { h.c.Result(Result{Attempt: h.live[0].ID, Outcome: dispatch.Full}) }},
		"hedge": {2, func(h *host, id uint32) {
			other := WorkerID("s-1")
			if h.live[0].Worker == other {
				other = WorkerID("s-2")
			}
			h.c.act(&dispatch.Action{Kind: dispatch.ActSend, Job: id, Worker: other}, h.at)
		}},
		"bounded hedge": {2, func(h *host, id uint32) {
			h.c.act(&dispatch.Action{Kind: dispatch.ActSend, Job: id, Worker: h.live[0].Worker, For: 60_000}, h.at)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, box("s-1"), box("s-2"))
			const left = 3 * time.Second
			clientLeaves := h.at.Add(left)
			id, err := h.c.Submit(Job{Class: 1, Left: left, Slots: 1, Trace: "a"}, &client{t: t})
			if err != nil {
				t.Fatal(err)
			}
			h.run(time.Second)
			x.second(h, id)
			h.run(time.Second)
			if len(h.live) != x.sends {
				t.Fatalf("%d sends, want %d", len(h.live), x.sends)
			}
			for i, a := range h.live {
				if latest := clientLeaves.Add(-lim.AnswerEarly); a.Deadline.After(latest) {
					t.Errorf("attempt %d ends %v after the latest moment", i+1, a.Deadline.Sub(latest))
				}
			}
		})
	}
}
