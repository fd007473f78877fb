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
	Silence time.Duration // from the last byte of a watch that fell silent
	Wait    time.Duration // for so long a call may wait for its turn
	After   time.Duration // from the end of that wait, for a call that was silent in it
	Reload  time.Duration // from a reload that moved the list
	Ask     time.Duration // from the last call, without a watch; zero: nobody asks
	Failed  int           // times that, if it failed

	Beat  time.Duration // lines of a watch, empty ones at least, come as often
	Late  time.Duration // a line may be so much later before its call is given up,
	Slow  time.Duration // and a first answer than the wait
	Stood time.Duration // a watch that ends after so long is begun anew at once: its last line may be lost with it
	Least time.Duration // between calls made here that fail; doubles as far as it may
}

// End is how a call ended.
type End uint8

// The ends.
const (
	Ended   End = iota // its connection, or its answer
	Refused            // with a status, or its connection was
	Silent             // given up here: nothing came any more
	Cut                // its connection, within a line
)

// Next is what follows the end of a call.
type Next struct {
	Mine bool      // the next call is made here, and the module hears of no failure
	At   time.Time // then; where it is the module's, it is made here all the same if the module has not called by then
}

// Clock follows one list. A zero Clock with its Timeouts is that of a new process.
type Clock struct {
	Timeouts

	call     time.Time // when the last call was made
	sign     time.Time // when something of it came last, zero before
	open     bool      // it has not ended
	told     bool      // a whole line of it came
	failed   bool      // it ended, and not in an answer
	due      time.Time // from then on what was missed before is held against the node; zero: nothing was
	good     time.Time // when all was known last: a call told it and went on speaking, or the process began
	failures int       // of calls made here, running
}

// Begin notes that the process begins, and makes its first call.
func (c *Clock) Begin(now time.Time) { c.good = now }

// answered is how long before a moment a call must be made that is to be answered by it, at the end of its wait too.
func (c *Clock) answered() time.Duration { return c.Silence - c.Wait - c.Slow }

// gap is the longest between two calls: one that began just before the list was within reach waits in vain, and the next is
// still answered in time.
func (c *Clock) gap() time.Duration { return c.answered() - c.Wait }

// look is when the next call is made at the latest, after one that has ended now.
func (c *Clock) look(now time.Time, draw float64) time.Time {
	wait := c.gap()
	if left := c.good.Add(c.answered()).Sub(now); left > 0 {
		wait = min(wait, left)
	}
	return now.Add(time.Duration(float64(wait) * (0.5 + draw/2)))
}

// Call notes that a call is made.
func (c *Clock) Call(now time.Time) {
	c.call, c.sign, c.open, c.told, c.failed = now, time.Time{}, true, false, false
}

// Sign notes that something came of it.
func (c *Clock) Sign(now time.Time) {
	if c.sign = now; c.told {
		c.good = now
	}
}

// Line notes that a whole line of it came. The first holds all that was missed; one that merely began holds nothing.
func (c *Clock) Line(now time.Time) {
	c.sign, c.good, c.told, c.due, c.failures = now, now, true, time.Time{}, 0
}

// Moved notes that the list is elsewhere from now on.
func (c *Clock) Moved(now time.Time) { c.owe(now.Add(c.Reload)) }

func (c *Clock) owe(at time.Time) {
	if c.due.IsZero() || at.Before(c.due) {
		c.due = at
	}
}

// SilentBy is when the call that is under way is given up if nothing more comes.
func (c *Clock) SilentBy() time.Time {
	if c.sign.IsZero() {
		return c.call.Add(c.Wait + c.Slow)
	}
	return c.sign.Add(c.Beat + c.Late)
}

// missed is from when on what the call under way misses is held against the node, if it has fallen silent.
func (c *Clock) missed() time.Time {
	if c.sign.IsZero() {
		return later(c.call.Add(c.Silence), c.call.Add(c.Wait+c.After))
	}
	return c.sign.Add(c.Silence)
}

// Ended notes that the call has ended and says what follows. Draw is from [0, 1): nodes whose watches fell silent at one
// moment would else call again together.
func (c *Clock) Ended(now time.Time, how End, draw float64) Next {
	stood := c.told && now.Sub(c.call) >= c.Stood
	c.open, c.failed = false, true
	switch how {
	case Cut: // what the line told was written
		c.owe(now)
	case Silent:
		c.owe(c.missed())
		if stood = c.told || c.failures == 0; stood {
			c.failures++
		}
	}
	if stood {
		return Next{true, now}
	}
	if c.due.IsZero() {
		return Next{At: c.look(now, draw)}
	}
	gap := min(c.Least<<min(c.failures, 8), c.gap())
	c.failures++
	wait := time.Duration(float64(gap) * (0.5 + draw/2))
	// While an answer can still come before what was missed is held against the node, the call is made in time for that.
	if left := c.due.Sub(now) - c.Wait - c.Slow; left > 0 {
		wait = min(wait, left)
	}
	return Next{true, now.Add(wait)}
}

// Held is from when on the node is held to changes it was not told: what has been made by then, or is made later, at once.
// Zero is never. While a watch stands and speaks, it moves on with each byte.
func (c *Clock) Held() time.Time {
	at := time.Time{}
	switch {
	case c.call.IsZero():
	case c.open:
		at = c.missed()
	case c.Ask > 0 && c.failed:
		at = c.call.Add(c.Ask * time.Duration(c.Failed))
	case c.Ask > 0:
		at = c.call.Add(c.Ask)
	}
	if at.IsZero() || !c.due.IsZero() && c.due.Before(at) {
		return c.due
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
