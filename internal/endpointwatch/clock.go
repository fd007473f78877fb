// Package endpointwatch decides when a node that follows the list of executors calls discovery, gives a call up and calls again, so
// that it never acts on a list that is staler than the protocol allows. It does no I/O, reads no clock and starts no goroutine:
// package discovery tells it what happened and does what it says.
//
// Changes of the list count as told whether they arrived or not, and a request sent against one that counts as told breaks
// the rule of drains. These are the times at which they do, each in one place here:
//
//   - what is written to the node: then, though its connection broke within the line;
//   - what a watch that fell silent misses: Silence after the last byte of it; of a call that was silent while it could wait
//     for its turn: After once that wait is over, if that is later;
//   - after a reload that moves the list: Reload later;
//   - without a watch: Ask after the last call, Failed times that if it failed; from then on, so long after it was made;
//   - whatever else is allowed: Silence after the list had it and could be reached. This goes before all of the above.
//
// The first three can run out long before the module would ask again, whose calls grow rarer with each failure so that an
// overbooked list is spared. Then the calls are made here, until a whole line has come: that holds all that was missed. For the
// last there is one deadline: Silence after the last good look (the start of the process, where there was none), less the time
// that an answer may take. The module may call sooner; if it has not, the call is made here then. Once that is past, since the
// list could not be reached, calls are made here so often that two fit into the time from its return on.
package endpointwatch

import "time"

// Timeouts are the times by which changes count as told. See limits.Staleness for where they come from.
type Timeouts struct {
	MaxStaleness     time.Duration // from the last byte of a watch that fell silent
	PollWait         time.Duration // for so long a call may wait for its turn
	PollGrace        time.Duration // from the end of that wait, for a call that was silent in it
	ReloadGrace      time.Duration // from a reload that moved the list
	PollInterval     time.Duration // from the last call, without a watch; zero: nobody asks
	FailedPollFactor int           // times that, if it failed

	HeartbeatInterval time.Duration // lines of a watch, empty ones at least, come as often
	HeartbeatSlack    time.Duration // a line may be so much later before its call is given up,
	AnswerTimeout     time.Duration // and a first answer than the wait
	StableAfter       time.Duration // a watch that ends after so long is begun anew at once: its last line may be lost with it
	MinBackoff        time.Duration // between calls made here that fail; doubles as far as it may
}

// End is how a call ended.
type CallEnd uint8

// The ends.
const (
	CallClosed   CallEnd = iota // its connection, or its answer
	CallRejected                // with a status, or its connection was
	CallSilent                  // given up here: nothing came any more
	CallCut                     // its connection, within a line
)

// Next is what follows the end of a call.
type NextCall struct {
	Owned bool      // the next call is made here, and the module hears of no failure
	At    time.Time // then; where it is the module's, it is made here all the same if the module has not called by then
}

// Clock follows one list. A zero Clock with its Timeouts is that of a new process.
type Tracker struct {
	Timeouts

	calledAt    time.Time // when the last call was made
	lastByteAt  time.Time // when something of it came last, zero before
	open        bool      // it has not ended
	updated     bool      // a whole line of it came
	failed      bool      // it ended, and not in an answer
	missedFrom  time.Time // from then on what was missed before is held against the node; zero: nothing was
	confirmedAt time.Time // when all was known last: a call told it and went on speaking, or the process began
	failures    int       // of calls made here, running
}

// Begin notes that the process begins, and makes its first call.
func (c *Tracker) Started(now time.Time) { c.confirmedAt = now }

// answered is how long before a moment a call must be made that is to be answered by it, at the end of its wait too.
func (c *Tracker) maxStalenessOfCall() time.Duration {
	return c.MaxStaleness - c.PollWait - c.AnswerTimeout
}

// gap is the longest between two calls: one that began just before the list was within reach waits in vain, and the next is
// still answered in time.
func (c *Tracker) maxGap() time.Duration { return c.maxStalenessOfCall() - c.PollWait }

// look is when the next call is made at the latest, after one that has ended now.
func (c *Tracker) nextPoll(now time.Time, draw float64) time.Time {
	wait := c.maxGap()
	if left := c.confirmedAt.Add(c.maxStalenessOfCall()).Sub(now); left > 0 {
		wait = min(wait, left)
	}
	return now.Add(time.Duration(float64(wait) * (0.5 + draw/2)))
}

// Call notes that a call is made.
func (c *Tracker) CallStarted(now time.Time) {
	c.calledAt, c.lastByteAt, c.open, c.updated, c.failed = now, time.Time{}, true, false, false
}

// Sign notes that something came of it.
func (c *Tracker) BytesReceived(now time.Time) {
	if c.lastByteAt = now; c.updated {
		c.confirmedAt = now
	}
}

// Line notes that a whole line of it came. The first holds all that was missed; one that merely began holds nothing.
func (c *Tracker) UpdateReceived(now time.Time) {
	c.lastByteAt, c.confirmedAt, c.updated, c.missedFrom, c.failures = now, now, true, time.Time{}, 0
}

// Moved notes that the list is elsewhere from now on.
func (c *Tracker) SourceMoved(now time.Time) { c.addMissed(now.Add(c.ReloadGrace)) }

func (c *Tracker) addMissed(at time.Time) {
	if c.missedFrom.IsZero() || at.Before(c.missedFrom) {
		c.missedFrom = at
	}
}

// SilentBy is when the call that is under way is given up if nothing more comes.
func (c *Tracker) SilenceDeadline() time.Time {
	if c.lastByteAt.IsZero() {
		return c.calledAt.Add(c.PollWait + c.AnswerTimeout)
	}
	return c.lastByteAt.Add(c.HeartbeatInterval + c.HeartbeatSlack)
}

// missed is from when on what the call under way misses is held against the node, if it has fallen silent.
func (c *Tracker) missedSince() time.Time {
	if c.lastByteAt.IsZero() {
		return later(c.calledAt.Add(c.MaxStaleness), c.calledAt.Add(c.PollWait+c.PollGrace))
	}
	return c.lastByteAt.Add(c.MaxStaleness)
}

// Ended notes that the call has ended and says what follows. Draw is from [0, 1): nodes whose watches fell silent at one
// moment would else call again together.
func (c *Tracker) CallEnded(now time.Time, how CallEnd, draw float64) NextCall {
	stood := c.updated && now.Sub(c.calledAt) >= c.StableAfter
	c.open, c.failed = false, true
	switch how {
	case CallCut: // what the line told was written
		c.addMissed(now)
	case CallSilent:
		c.addMissed(c.missedSince())
		if stood = c.updated || c.failures == 0; stood {
			c.failures++
		}
	}
	if stood {
		return NextCall{true, now}
	}
	if c.missedFrom.IsZero() {
		return NextCall{At: c.nextPoll(now, draw)}
	}
	gap := min(c.MinBackoff<<min(c.failures, 8), c.maxGap())
	c.failures++
	wait := time.Duration(float64(gap) * (0.5 + draw/2))
	// While an answer can still come before what was missed is held against the node, the call is made in time for that.
	if left := c.missedFrom.Sub(now) - c.PollWait - c.AnswerTimeout; left > 0 {
		wait = min(wait, left)
	}
	return NextCall{true, now.Add(wait)}
}

// Held is from when on the node is held to changes it was not told: what has been made by then, or is made later, at once.
// Zero is never. While a watch stands and speaks, it moves on with each byte.
func (c *Tracker) NotifiedFrom() time.Time {
	at := time.Time{}
	switch {
	case c.calledAt.IsZero():
	case c.open:
		at = c.missedSince()
	case c.PollInterval > 0 && c.failed:
		at = c.calledAt.Add(c.PollInterval * time.Duration(c.FailedPollFactor))
	case c.PollInterval > 0:
		at = c.calledAt.Add(c.PollInterval)
	}
	if at.IsZero() || !c.missedFrom.IsZero() && c.missedFrom.Before(at) {
		return c.missedFrom
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
