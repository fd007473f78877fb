package endpointwatch

import "time"

// Tracker tracks the calls for one endpoint list. A Tracker with only Timeouts set is in the state of a new process. It
// is not safe for concurrent use.
type Tracker struct {
	Timeouts

	call        callState
	missedFrom  time.Time // from when on missed changes count as notified; zero if no changes were missed
	confirmedAt time.Time // when a watch that had reported the list last sent a byte, or the process started
	failures    int       // consecutive failed calls that the Tracker owned
}

// callState is the state of the latest call.
type callState struct {
	startedAt  time.Time
	lastByteAt time.Time // zero until a byte arrives
	open       bool
	updated    bool // a complete line has arrived
	failed     bool // the call ended without a complete response
}

// Started records that the process has started and is about to make its first call.
func (t *Tracker) Started(now time.Time) { t.confirmedAt = now }

// CallStarted records that a call is made.
func (t *Tracker) CallStarted(now time.Time) { t.call = callState{startedAt: now, open: true} }

// BytesReceived records that part of a response has arrived.
func (t *Tracker) BytesReceived(now time.Time) {
	t.call.lastByteAt = now
	if t.call.updated {
		t.confirmedAt = now
	}
}

// UpdateReceived records that a complete line of a response has arrived. The first line includes everything that was
// missed.
func (t *Tracker) UpdateReceived(now time.Time) {
	t.call.lastByteAt, t.call.updated = now, true
	t.confirmedAt, t.missedFrom, t.failures = now, time.Time{}, 0
}

// SourceMoved records that the list has another source from now on.
func (t *Tracker) SourceMoved(now time.Time) { t.addMissed(now.Add(t.ReloadGrace)) }

// IdleDeadline returns when the call in progress is aborted if no more bytes arrive.
func (t *Tracker) IdleDeadline() time.Time {
	if t.call.lastByteAt.IsZero() {
		return t.call.startedAt.Add(t.PollWait + t.AnswerTimeout)
	}
	return t.call.lastByteAt.Add(t.HeartbeatInterval + t.HeartbeatSlack)
}

// CallEnded records that the call has ended, and returns the next call. Draw is a random number from [0, 1): without
// jitter, nodes whose watches became unresponsive together would also call again together.
func (t *Tracker) CallEnded(now time.Time, how CallEnd, draw float64) NextCall {
	renew := t.call.updated && now.Sub(t.call.startedAt) >= t.StableAfter
	t.call.open, t.call.failed = false, true
	switch how {
	case CallTruncated:
		t.addMissed(now) // the truncated line counts as written to the node
	case CallTimedOut:
		t.addMissed(t.idleCallNotifiedFrom())
		if renew = t.call.updated || t.failures == 0; renew {
			t.failures++
		}
	}
	if renew {
		return NextCall{Owned: true, At: now}
	}
	if t.missedFrom.IsZero() {
		return NextCall{At: now.Add(jittered(t.pollDelay(now), draw))}
	}
	return NextCall{Owned: true, At: now.Add(t.backoff(now, draw))}
}

// pollDelay returns the longest time to the next call while no changes were missed.
func (t *Tracker) pollDelay(now time.Time) time.Duration {
	delay := t.maxGap()
	if left := t.confirmedAt.Add(t.maxCallAge()).Sub(now); left > 0 {
		delay = min(delay, left)
	}
	return delay
}

// maxDoublings bounds the exponent of the backoff; the backoff reaches maxGap long before.
const maxDoublings = 8

// backoff returns the time to the next call after changes were missed. As long as a response can still arrive before
// these count as notified, the call is made in time for it.
func (t *Tracker) backoff(now time.Time, draw float64) time.Duration {
	delay := jittered(min(t.MinBackoff<<min(t.failures, maxDoublings), t.maxGap()), draw)
	t.failures++
	if left := t.missedFrom.Sub(now) - t.PollWait - t.AnswerTimeout; left > 0 {
		delay = min(delay, left)
	}
	return delay
}

// jittered returns a time between half the delay and the full delay.
func jittered(delay time.Duration, draw float64) time.Duration {
	return time.Duration(float64(delay) * (0.5 + draw/2))
}

// NotifiedFrom returns the time from which on changes that have not arrived count as notified: earlier changes from
// that time on, later ones as soon as they are made. Zero means never. While a watch is open, each byte from it moves
// the time forward.
func (t *Tracker) NotifiedFrom() time.Time {
	from := time.Time{}
	switch {
	case t.call.startedAt.IsZero():
	case t.call.open:
		from = t.idleCallNotifiedFrom()
	case t.PollInterval > 0 && t.call.failed:
		from = t.call.startedAt.Add(t.PollInterval * time.Duration(t.FailedPollFactor))
	case t.PollInterval > 0:
		from = t.call.startedAt.Add(t.PollInterval)
	}
	if from.IsZero() || !t.missedFrom.IsZero() && t.missedFrom.Before(from) {
		return t.missedFrom
	}
	return from
}

// idleCallNotifiedFrom returns from when on changes that the latest call misses count as notified if no more bytes
// arrive.
func (t *Tracker) idleCallNotifiedFrom() time.Time {
	if !t.call.lastByteAt.IsZero() {
		return t.call.lastByteAt.Add(t.MaxStaleness)
	}
	byStaleness, byWait := t.call.startedAt.Add(t.MaxStaleness), t.call.startedAt.Add(t.PollWait+t.PollGrace)
	if byStaleness.After(byWait) {
		return byStaleness
	}
	return byWait
}

// addMissed records that changes were missed that count as notified from the given time on.
func (t *Tracker) addMissed(from time.Time) {
	if t.missedFrom.IsZero() || from.Before(t.missedFrom) {
		t.missedFrom = from
	}
}
