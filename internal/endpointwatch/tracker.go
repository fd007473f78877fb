package endpointwatch

import "time"

// Tracker follows one endpoint list. A zero Tracker with its Timeouts is that of a new process. It is not safe for
// concurrent use.
type Tracker struct {
	Timeouts

	call        callState
	missedFrom  time.Time // when what was missed before counts as notified; zero: nothing was missed
	confirmedAt time.Time // when a watch last spoke that had reported the list, or the process started
	failures    int       // consecutive failed calls that the Tracker owned
}

// callState is that of the latest call.
type callState struct {
	startedAt  time.Time
	lastByteAt time.Time // zero while nothing has come
	open       bool
	updated    bool // a whole line has come
	failed     bool // it ended otherwise than by an answer
}

// Started notes that the process has started, and makes its first call.
func (t *Tracker) Started(now time.Time) { t.confirmedAt = now }

// CallStarted notes that a call is made.
func (t *Tracker) CallStarted(now time.Time) { t.call = callState{startedAt: now, open: true} }

// BytesReceived notes that some of an answer has come.
func (t *Tracker) BytesReceived(now time.Time) {
	t.call.lastByteAt = now
	if t.call.updated {
		t.confirmedAt = now
	}
}

// UpdateReceived notes that a whole line of an answer has come. The first holds everything that was missed.
func (t *Tracker) UpdateReceived(now time.Time) {
	t.call.lastByteAt, t.call.updated = now, true
	t.confirmedAt, t.missedFrom, t.failures = now, time.Time{}, 0
}

// SourceMoved notes that the list is served elsewhere from now on.
func (t *Tracker) SourceMoved(now time.Time) { t.addMissed(now.Add(t.ReloadGrace)) }

// SilenceDeadline returns when the call in progress is given up if nothing more comes.
func (t *Tracker) SilenceDeadline() time.Time {
	if t.call.lastByteAt.IsZero() {
		return t.call.startedAt.Add(t.PollWait + t.AnswerTimeout)
	}
	return t.call.lastByteAt.Add(t.HeartbeatInterval + t.HeartbeatSlack)
}

// CallEnded notes that the call has ended, and says what follows. Draw is a random number from [0, 1): nodes whose
// watches fell silent together would otherwise call again together.
func (t *Tracker) CallEnded(now time.Time, how CallEnd, draw float64) NextCall {
	renew := t.call.updated && now.Sub(t.call.startedAt) >= t.StableAfter
	t.call.open, t.call.failed = false, true
	switch how {
	case CallCut:
		t.addMissed(now) // the line that was cut was written
	case CallSilent:
		t.addMissed(t.silentCallNotifiedFrom())
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

// pollDelay returns the longest time to the next call while nothing was missed.
func (t *Tracker) pollDelay(now time.Time) time.Duration {
	delay := t.maxGap()
	if left := t.confirmedAt.Add(t.maxCallAge()).Sub(now); left > 0 {
		delay = min(delay, left)
	}
	return delay
}

// maxDoublings bounds the exponent of the backoff, which reaches maxGap long before.
const maxDoublings = 8

// backoff returns the time to the next call while something was missed. While an answer can still come before that
// counts as notified, the call is made in time for it.
func (t *Tracker) backoff(now time.Time, draw float64) time.Duration {
	delay := jittered(min(t.MinBackoff<<min(t.failures, maxDoublings), t.maxGap()), draw)
	t.failures++
	if left := t.missedFrom.Sub(now) - t.PollWait - t.AnswerTimeout; left > 0 {
		delay = min(delay, left)
	}
	return delay
}

// jittered returns a time between half of a delay and all of it.
func jittered(delay time.Duration, draw float64) time.Duration {
	return time.Duration(float64(delay) * (0.5 + draw/2))
}

// NotifiedFrom returns from when on changes count as notified that have not come: those made before then, and later
// ones at once. Zero stands for never. While a watch is open and speaks, the time moves on with each byte.
func (t *Tracker) NotifiedFrom() time.Time {
	from := time.Time{}
	switch {
	case t.call.startedAt.IsZero():
	case t.call.open:
		from = t.silentCallNotifiedFrom()
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

// silentCallNotifiedFrom returns from when on what the latest call misses counts as notified, if it has fallen silent.
func (t *Tracker) silentCallNotifiedFrom() time.Time {
	if !t.call.lastByteAt.IsZero() {
		return t.call.lastByteAt.Add(t.MaxStaleness)
	}
	bySilence, byWait := t.call.startedAt.Add(t.MaxStaleness), t.call.startedAt.Add(t.PollWait+t.PollGrace)
	if bySilence.After(byWait) {
		return bySilence
	}
	return byWait
}

// addMissed notes that changes were missed which count as notified from a time on.
func (t *Tracker) addMissed(from time.Time) {
	if t.missedFrom.IsZero() || from.Before(t.missedFrom) {
		t.missedFrom = from
	}
}
