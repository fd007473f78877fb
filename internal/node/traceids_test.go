package node

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/idclaims"
	"gatetack/internal/sharedids"
)

// processOf returns a core of a process that shares its open IDs in a directory.
func processOf(t testing.TB, dir string) *fakeAdapters {
	h := startFakeAdapters(t, readyEndpoint("s-1"))
	ids := sharedids.Open(dir, slog.New(slog.DiscardHandler))
	ids.ObserveOthers(sharedids.Sharing)
	h.core.ShareTraceIDs(ids)
	h.run(0)
	return h
}

// submitID submits a job with an ID that its client chose, and returns where its answer arrives.
func (h *fakeAdapters) submitID(t testing.TB, id string) chan Answer {
	t.Helper()
	answers := make(recordedAnswers, 4)
	job := Job{TraceID: id, ClientTraceID: true, TimeLeft: 7500 * time.Millisecond, Slots: 1, Method: "POST", Target: "/x"}
	if _, err := h.core.Submit(job, answers); err != nil {
		t.Fatal(err)
	}
	h.run(10 * time.Millisecond)
	return answers
}

type recordedAnswers chan Answer

func (recordedAnswers) Sent(string)       {}
func (recordedAnswers) Started()          {}
func (recordedAnswers) Requeued(bool)     {}
func (r recordedAnswers) Answer(a Answer) { r <- a }

// Guards against an at-most-once request that runs twice while one process of a node replaces the other: an ID that is
// open in one process is refused by the other, in both orders, until its request has ended.
func TestIDOfOtherProcessIsRefused(t *testing.T) {
	const id = "9b1f03aa5c7e2d41"
	dir := t.TempDir()
	first, second := processOf(t, dir), processOf(t, dir)
	for range 2 {
		answers := first.submitID(t, id)
		if len(first.attempts) != 1 || len(answers) != 0 {
			t.Fatalf("%d attempts, %d answers for the first request", len(first.attempts), len(answers))
		}
		for _, process := range []*fakeAdapters{second, first} {
			copied := process.submitID(t, id)
			if len(copied) != 1 || len(second.attempts) != 0 || len(first.attempts) != 1 {
				t.Fatalf("%d answers to a copy, %d and %d attempts", len(copied), len(first.attempts), len(second.attempts))
			}
			if a := <-copied; a.End != Failed || a.Reason != openTraceIDReason {
				t.Errorf("answer to a copy: %+v", a)
			}
		}
		first.core.Result(Result{Attempt: first.attempts[0].ID, Outcome: 100, Body: []byte("tile")})
		first.run(10 * time.Millisecond)
		if a := <-answers; a.End != Served {
			t.Errorf("answer to the first request: %+v", a)
		}
		first.attempts, second.attempts = nil, nil
		first, second = second, first
	}
}

// Guards against an ID that runs twice because it comes again after its client has left: the attempt that was sent is
// given up, and may still run. Both processes refuse the ID until the time of its request is over, and accept it then.
func TestIDOfAClientThatLeftIsRefusedUntilItsDeadline(t *testing.T) {
	dir := t.TempDir()
	first, second := processOf(t, dir), processOf(t, dir)
	first.submitID(t, "a")
	first.core.ClientGone(1)
	first.run(10 * time.Millisecond)
	if n := len(first.core.jobs.attempts); n != 0 {
		t.Fatalf("%d attempts in flight, so that the retention is not tested", n)
	}
	for range 2 {
		for _, process := range []*fakeAdapters{second, first} {
			if copied := process.submitID(t, "a"); len(copied) != 1 || (<-copied).End != Failed {
				t.Error("a copy was accepted while the attempt may run")
			}
		}
		first.run(3 * time.Second)
		second.run(3 * time.Second)
	}
	first.run(2600 * time.Millisecond)
	second.run(2600 * time.Millisecond)
	if copied := second.submitID(t, "a"); len(copied) != 0 || len(second.attempts) != 1 {
		t.Errorf("%d answers, %d attempts after the deadline; want the ID accepted", len(copied), len(second.attempts))
	}
	if len(first.core.jobs.retained) != 0 {
		t.Errorf("%v retained after the deadline", first.core.jobs.retained)
	}
}

// An ID is free at once after its request was served, or if nothing of it was sent. IDs are retained for no longer than
// the deadline of their class, whatever deadline their clients set, and for no more requests than may be open.
func TestRetentionOfIDsIsBounded(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	answers := h.submitID(t, "served")
	h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: dispatch.Served})
	h.run(10 * time.Millisecond)
	h.submitID(t, "rejected")
	h.core.Result(Result{Attempt: h.attempts[1].ID, Outcome: dispatch.Full})
	h.core.ClientGone(2)
	h.run(10 * time.Millisecond)
	if len(answers) != 1 || len(h.core.jobs.retained) != 0 {
		t.Errorf("%d answers, retained %v; want none", len(answers), h.core.jobs.retained)
	}
	h = newFakeAdapters(t, readyEndpoint("s-1"))
	h.core.limits.MaxOpen = 2
	for i, id := range []string{"a", "b", "c"} {
		job := Job{TraceID: id, ClientTraceID: true, TimeLeft: 24 * time.Hour, Slots: 1}
		number, err := h.core.Submit(job, &recordingClient{t: t})
		if err != nil {
			t.Fatal(err)
		}
		h.run(10 * time.Millisecond)
		h.core.ClientGone(number)
		h.run(10 * time.Millisecond)
		if n := len(h.core.jobs.retained); n != min(i+1, 2) {
			t.Errorf("%d IDs retained after %d, want at most 2", n, i+1)
		}
	}
	h.run(8100 * time.Millisecond)
	if n := len(h.core.jobs.retained); n != 0 {
		t.Errorf("%d IDs retained after the deadline of their class", n)
	}
}

// unknownIDs are those of a node whose other process does not share its open requests.
type unknownIDs struct{}

func (unknownIDs) Known() bool { return false }
func (unknownIDs) Claim(string, time.Time, time.Time) (idclaims.Claim, error) {
	return idclaims.Claim{}, sharedids.ErrUnknown
}
func (unknownIDs) Release(idclaims.Claim) { panic("released without a claim") }

// While it is not known what the other process has open, requests of clients are rejected without an attempt, health
// checks fail, and jobs whose ID no client can choose run.
func TestRequestsAreRejectedWhileOtherProcessIsUnknown(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	ready := h.core.Ready()
	h.core.ShareTraceIDs(unknownIDs{})
	answers := h.submitID(t, "a")
	if a := <-answers; a.End != Rejected || a.RetryAfter <= 0 || len(h.attempts) != 0 {
		t.Errorf("answer %+v, %d attempts", a, len(h.attempts))
	}
	if !ready || h.core.Ready() {
		t.Errorf("ready %v before, %v while unknown", ready, h.core.Ready())
	}
	batch := make(recordedAnswers, 4)
	if _, err := h.core.Submit(Job{TraceID: "b", TimeLeft: time.Second, Slots: 1}, batch); err != nil {
		t.Fatal(err)
	}
	h.run(10 * time.Millisecond)
	if len(h.attempts) != 1 {
		t.Errorf("%d attempts of a batch job, want 1", len(h.attempts))
	}
}

// fullIDs has no place for another ID.
type fullIDs struct{ unknownIDs }

func (fullIDs) Known() bool { return true }
func (fullIDs) Claim(string, time.Time, time.Time) (idclaims.Claim, error) {
	return idclaims.Claim{}, idclaims.ErrFull
}

// An ID that cannot be recorded is rejected and not accepted without a record.
func TestRequestIsRejectedIfItsIDCannotBeRecorded(t *testing.T) {
	h := newFakeAdapters(t, readyEndpoint("s-1"))
	h.core.ShareTraceIDs(fullIDs{})
	if a := <-h.submitID(t, "a"); a.End != Rejected || len(h.attempts) != 0 {
		t.Errorf("answer %+v, %d attempts", a, len(h.attempts))
	}
}

// The core's cost of a job without other processes on its socket, and with the IDs in a shared file.
func BenchmarkJobWithSharedIDs(b *testing.B) {
	for _, shared := range []bool{false, true} {
		name := map[bool]string{false: "alone", true: "shared file"}[shared]
		b.Run(name, func(b *testing.B) {
			h := processOf(b, b.TempDir())
			if !shared {
				h.core.adapters.traceIDs = nil
			}
			answers := make(recordedAnswers, 4)
			job := Job{TraceID: "9b1f03aa5c7e2d41", ClientTraceID: true, TimeLeft: 7500 * time.Millisecond, Slots: 1}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := h.core.Submit(job, answers); err != nil {
					b.Fatal(err)
				}
				h.run(4 * time.Millisecond)
				if len(h.attempts) != 1 {
					b.Fatal(errors.New("the job was not sent"))
				}
				h.core.Result(Result{Attempt: h.attempts[0].ID, Outcome: 100})
				h.run(4 * time.Millisecond)
				<-answers
				h.attempts = h.attempts[:0]
				clear(h.sends)
			}
		})
	}
}
