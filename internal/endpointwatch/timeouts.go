package endpointwatch

import "time"

// Timeouts are the times after which changes count as notified and calls are given up. Package limits says where they
// come from.
type Timeouts struct {
	MaxStaleness time.Duration // from the last byte of a watch that fell silent
	PollWait     time.Duration // for which a call may wait for its answer
	PollGrace    time.Duration // from the end of PollWait, for a call that was silent in it
	ReloadGrace  time.Duration // from a reload that moved the source of the list

	PollInterval     time.Duration // from the last call, without a watch; 0 where nothing polls
	FailedPollFactor int           // of PollInterval, after a call that failed

	HeartbeatInterval time.Duration // within which a watch sends a line, an empty one at least
	HeartbeatSlack    time.Duration // by which a line may be late before the call is given up
	AnswerTimeout     time.Duration // by which an answer may come after PollWait
	StableAfter       time.Duration // a watch that ends after so long is renewed at once: its last line may be lost
	MinBackoff        time.Duration // between calls that fail; it doubles up to what MaxStaleness allows
}

// maxCallAge is how long before a moment a call must be made that is to be answered by then, even at the end of its
// wait.
func (t *Timeouts) maxCallAge() time.Duration { return t.MaxStaleness - t.PollWait - t.AnswerTimeout }

// maxGap is the longest time between two calls: one that began just before discovery could be reached waits in vain,
// and the next is still answered in time.
func (t *Timeouts) maxGap() time.Duration { return t.maxCallAge() - t.PollWait }

// CallEnd is how a call ended.
type CallEnd uint8

// The ends.
const (
	CallClosed   CallEnd = iota // its connection, or its answer, ended
	CallRejected                // with a status, or its connection was refused
	CallSilent                  // given up here: nothing came any more
	CallCut                     // its connection ended within a line
)

// NextCall is what follows the end of a call.
type NextCall struct {
	// Owned says that the next call is made by the Tracker, and the decision module is not notified of a failure.
	// Otherwise the module decides on the next call, and the call is made at At if the module has not called by then.
	Owned bool
	At    time.Time
}
