package endpointwatch

import "time"

// Timeouts are the times after which changes count as notified and calls are aborted. Package limits sets them and
// documents their origin.
type Timeouts struct {
	MaxStaleness time.Duration // after the last byte of a watch that became unresponsive
	PollWait     time.Duration // how long a call may wait for its response
	PollGrace    time.Duration // after the end of PollWait, for a call without any byte until then
	ReloadGrace  time.Duration // after a reload that changed the source of the list

	PollInterval     time.Duration // after the last call, without a watch; 0 if polling is off
	FailedPollFactor int           // multiple of PollInterval that applies after a failed call

	HeartbeatInterval time.Duration // maximum time between lines of a watch; a heartbeat is an empty line
	HeartbeatSlack    time.Duration // how late a line may be before the call is aborted
	AnswerTimeout     time.Duration // how long after PollWait a response may arrive
	StableAfter       time.Duration // a watch that ends after this time is renewed at once: its last line may be lost
	MinBackoff        time.Duration // between calls that fail; it doubles up to the maximum that MaxStaleness allows
}

// maxCallAge is how long before a given time a call must be made so that it is answered by then, even if the response
// comes at the end of its wait.
func (t *Timeouts) maxCallAge() time.Duration { return t.MaxStaleness - t.PollWait - t.AnswerTimeout }

// maxGap is the longest time between two calls: if one starts just before discovery becomes reachable and gets no
// response, the next is still answered in time.
func (t *Timeouts) maxGap() time.Duration { return t.maxCallAge() - t.PollWait }

// CallEnd is the way in which a call ended.
type CallEnd uint8

// The ways in which a call ends.
const (
	CallClosed    CallEnd = iota // the connection or the response ended
	CallRejected                 // discovery responded with an error status, or refused the connection
	CallTimedOut                 // aborted by this node because no more bytes arrived
	CallTruncated                // the connection ended within a line
)

// NextCall is what follows the end of a call.
type NextCall struct {
	// Owned means that the Tracker makes the next call and the decision module is not notified of a failure. Otherwise
	// the module decides on the next call, and a call is made at At if the module has not called by then.
	Owned bool
	At    time.Time // when the call is made
}
