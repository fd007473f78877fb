package endpointwatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gatetack/internal/testrand"
)

const ms = time.Millisecond

var timeouts = Timeouts{
	MaxStaleness:      6000 * ms,
	PollWait:          2000 * ms,
	PollGrace:         2000 * ms,
	ReloadGrace:       4000 * ms,
	PollInterval:      10000 * ms,
	FailedPollFactor:  4,
	HeartbeatInterval: 2000 * ms,
	HeartbeatSlack:    1200 * ms,
	AnswerTimeout:     500 * ms,
	StableAfter:       1000 * ms,
	MinBackoff:        100 * ms,
}

var start = time.Unix(1000, 0)

// at returns the time n ms after the start.
func at(n int) time.Time { return start.Add(time.Duration(n) * ms) }

// callCase is a call with its end and the expected consequences. Times are in ms from the start.
type callCase struct {
	name         string
	call         func(*Tracker)
	endedAt      int
	end          CallEnd
	notifiedFrom int
	owned        bool // the Tracker owns the next call
	nextBy       int  // when the next call is made at the latest, if the Tracker owns it
}

// called starts a call at 0 and reports an update and other bytes at the given times, if they are not 0.
func called(updateAt, bytesAt int) func(*Tracker) {
	return func(t *Tracker) {
		t.CallStarted(at(0))
		if updateAt > 0 {
			t.UpdateReceived(at(updateAt))
		}
		if bytesAt > 0 {
			t.BytesReceived(at(bytesAt))
		}
	}
}

// calledAfterTimeout starts a call after a watch that became unresponsive.
func calledAfterTimeout(t *Tracker) {
	called(500, 0)(t)
	t.CallEnded(at(3700), CallTimedOut, 0)
	t.CallStarted(at(3700))
}

var callCases = []callCase{
	{"no byte during the wait: MaxStaleness is the later time", called(0, 0), 2500, CallTimedOut, 6000, true, 2500},
	{"unresponsive after the response head", called(0, 500), 3700, CallTimedOut, 6500, true, 3700},
	{"unresponsive after a line", called(500, 0), 3700, CallTimedOut, 6500, true, 3700},
	{"unresponsive within a line", called(500, 900), 4100, CallTimedOut, 6900, true, 4100},
	{"rejected after a wait", called(0, 0), 2000, CallRejected, 40000, false, 0},
	{"rejected immediately", called(0, 0), 1, CallRejected, 40000, false, 0},
	{"closed before it was stable", called(500, 0), 900, CallClosed, 40000, false, 0},
	{"closed after it was stable", called(500, 0), 9000, CallClosed, 40000, true, 9000},
	{"connection ended within a line", called(100, 300), 300, CallTruncated, 300, true, 400},
	{"source moved, new source rejects the call", func(t *Tracker) { t.SourceMoved(at(0)); t.CallStarted(at(0)) },
		10, CallRejected, 4000, true, 110},
	{"unresponsive, next call rejected", calledAfterTimeout, 3701, CallRejected, 6500, true, 4000},
	{"unresponsive, next call rejected late", calledAfterTimeout, 3990, CallRejected, 6500, true, 4000},
}

// For each way in which a call ends: from when on missed changes count as notified, who owns the next call, and by when
// that call is made.
func TestNextCallFollowsFromTheEndOfACall(t *testing.T) {
	for _, c := range callCases {
		tracker := Tracker{Timeouts: timeouts}
		c.call(&tracker)
		next := tracker.CallEnded(at(c.endedAt), c.end, 0.999)
		from := tracker.NotifiedFrom()
		if from != at(c.notifiedFrom) || next.Owned != c.owned || c.owned && next.At.After(at(c.nextBy)) {
			t.Errorf("%s: notified from %v, next call owned %v at %v; want %v, %v by %d", c.name, from.Sub(start), next.Owned,
				next.At.Sub(start), c.notifiedFrom, c.owned, c.nextBy)
		}
	}
}

func TestNothingCountsAsNotifiedBeforeTheFirstCall(t *testing.T) {
	tracker := Tracker{Timeouts: timeouts}
	if !tracker.NotifiedFrom().IsZero() {
		t.Error("changes count as notified before the first call")
	}
	called(10, 0)(&tracker)
	if deadline := tracker.IdleDeadline(); deadline != at(3210) {
		t.Errorf("call aborted at %v after the start, want 3.21s", deadline.Sub(start))
	}
}

// draws generates the random numbers that are passed to a Tracker.
var draws = rapid.Float64Range(0, 0.999)

// drawMs draws a duration of up to limit ms.
func drawMs(t *rapid.T, label string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * ms
}

// watchUntilUnresponsive starts a watch that sends lines, or nothing at all, and returns the time of its last byte.
func watchUntilUnresponsive(t *rapid.T, tracker *Tracker) (lastByteAt time.Time) {
	now := start
	tracker.CallStarted(now)
	lastByteAt = now
	if !rapid.Bool().Draw(t, "answered") {
		return lastByteAt
	}
	now = now.Add(drawMs(t, "wait", 2000))
	for range rapid.IntRange(1, 5).Draw(t, "lines") {
		tracker.UpdateReceived(now)
		lastByteAt = now
		now = now.Add(drawMs(t, "heartbeat", 2000))
	}
	if rapid.Bool().Draw(t, "mid-line") {
		tracker.BytesReceived(now)
		lastByteAt = now
	}
	return lastByteAt
}

// Watches become unresponsive at any point, then up to three calls are rejected, and the response comes at any time
// within its wait. An update arrives before the time from which the protocol counts missed changes as notified. While
// no changes are missed, the decision module owns the call after each failure.
func TestUpdateArrivesBeforeMissedChangesCountAsNotified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := Tracker{Timeouts: timeouts}
		notified := watchUntilUnresponsive(t, &tracker).Add(6 * time.Second) // per the protocol
		if tracker.NotifiedFrom() != notified {
			t.Fatalf("notified from %v, want %v by protocol", tracker.NotifiedFrom().Sub(start), notified.Sub(start))
		}
		next := tracker.CallEnded(tracker.IdleDeadline(), CallTimedOut, draws.Draw(t, "draw"))
		for range rapid.IntRange(0, 3).Draw(t, "rejected calls") {
			if !next.Owned {
				t.Fatal("the decision module owns the next call after missed changes")
			}
			tracker.CallStarted(next.At)
			rejectedAt := next.At.Add(drawMs(t, "until it is rejected", 50))
			next = tracker.CallEnded(rejectedAt, CallRejected, draws.Draw(t, "draw"))
		}
		if !next.Owned {
			t.Fatal("the decision module owns the next call after missed changes")
		}
		tracker.CallStarted(next.At)
		now := next.At.Add(drawMs(t, "last wait", 2000))
		if now.After(notified) {
			t.Fatalf("updated at %v, notified from %v", now.Sub(start), notified.Sub(start))
		}
		tracker.UpdateReceived(now)
		if tracker.NotifiedFrom().Before(now.Add(6 * time.Second)) {
			t.Fatal("changes count as notified too early after an update")
		}
		checkModuleOwnsCalls(t, &tracker, now)
	})
}

// checkModuleOwnsCalls fails the test unless the decision module owns the calls after failures that follow an update.
func checkModuleOwnsCalls(t *rapid.T, tracker *Tracker, now time.Time) {
	if next := tracker.CallEnded(now.Add(ms), CallRejected, 0.5); next.Owned && !tracker.call.updated {
		t.Fatal("the Tracker owns the next call after a failure that missed no changes")
	}
	tracker.CallStarted(now)
	if next := tracker.CallEnded(now.Add(drawMs(t, "rejected", 2000)), CallRejected, 0.5); next.Owned {
		t.Fatal("the Tracker owns the next call after a failure that missed no changes")
	}
}

// While discovery rejects all calls, the gaps between them grow as long as two calls with their waits still fit into
// MaxStaleness.
func TestRejectedCallsBackOffWithinMaxStaleness(t *testing.T) {
	tracker := Tracker{Timeouts: timeouts}
	tracker.CallStarted(at(0))
	tracker.BytesReceived(at(0))
	now, gaps := at(0), []time.Duration{}
	next := tracker.CallEnded(tracker.IdleDeadline(), CallTimedOut, 0)
	for range 12 {
		tracker.CallStarted(next.At)
		now = next.At
		next = tracker.CallEnded(now, CallRejected, 0.999)
		gaps = append(gaps, next.At.Sub(now))
	}
	longest := timeouts.MaxStaleness - 2*timeouts.PollWait - timeouts.AnswerTimeout
	for i, gap := range gaps {
		if gap > longest || i > 6 && gap < longest*9/10 ||
			i > 0 && gap < gaps[i-1]*9/10 && at(6000).Before(now) && i > 6 {
			t.Fatalf("gaps between rejected calls: %v", gaps)
		}
	}
}

// Calls fail in any way and after any time, and then discovery is reachable again. Whatever happened before, a call is
// made and answered within 6 s of that, even if the response comes at the end of its wait and the decision module makes
// no call. The same applies from the start of a process.
func TestReachableDiscoveryIsCalledWithinMaxStaleness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := Tracker{Timeouts: timeouts}
		tracker.Started(start) // the first call is made immediately
		now, reachableFrom := start, start
		for range rapid.IntRange(0, 12).Draw(t, "calls that fail") {
			tracker.CallStarted(now)
			missed, endedAt, end := failedCall(t, &tracker, now)
			reachableFrom = missed.Add(ms) // just too late for this call and what it reported
			now = tracker.CallEnded(endedAt, end, draws.Draw(t, "draw")).At
		}
		tracker.CallStarted(now)
		if now = now.Add(drawMs(t, "wait", 2000)); now.After(reachableFrom.Add(6 * time.Second)) {
			t.Fatalf("reachable from %v, updated only at %v", reachableFrom.Sub(start), now.Sub(start))
		}
	})
}

// failedCall makes the call in progress fail in some way. It returns the latest time at which the call reported the
// list, and when and how the call ended.
func failedCall(t *rapid.T, tracker *Tracker, startedAt time.Time) (reportedAt, endedAt time.Time, end CallEnd) {
	end = rapid.SampledFrom([]CallEnd{CallClosed, CallRejected, CallTimedOut, CallTruncated}).Draw(t, "end")
	updated := rapid.Bool().Draw(t, "updated")
	now, reportedAt := startedAt, startedAt
	switch {
	case end == CallTimedOut && updated:
		now = now.Add(drawMs(t, "wait", 2000))
		tracker.UpdateReceived(now)
		return now, tracker.IdleDeadline(), end
	case end == CallTimedOut:
		return reportedAt, tracker.IdleDeadline(), end
	case updated:
		now = now.Add(drawMs(t, "wait", 2000))
		tracker.UpdateReceived(now)
		now = now.Add(drawMs(t, "open for", 2000))
		return now, now, end
	}
	return reportedAt, now.Add(drawMs(t, "wait", 2000)), end
}
