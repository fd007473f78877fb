package endpointwatch

import "time"

// Startup decides for how long a new process holds the requests that it accepts because nobody has confirmed the
// endpoint list that it was started with. The list may have changed long before the start, and those changes count as
// notified from the first moment on. So nothing is sent by it until discovery has answered the first call, which is
// made at once. If that call fails, discovery is down, overloaded or cut off, and the process goes on with the list
// that it has: the Tracker's deadline bounds how long. A zero Startup holds nothing.
type Startup struct {
	holdUntil time.Time // zero: nothing is held
}

// Started notes that the process has started with an unconfirmed list. It holds requests for as long as a call may
// take.
func (s *Startup) Started(now time.Time, timeouts Timeouts) {
	s.holdUntil = now.Add(timeouts.PollWait + 2*timeouts.AnswerTimeout)
}

// Confirmed notes that a list has come in this process.
func (s *Startup) Confirmed() { s.holdUntil = time.Time{} }

// CallFailed notes that a call for the list has failed.
func (s *Startup) CallFailed() { s.holdUntil = time.Time{} }

// Holding reports whether requests are held.
func (s *Startup) Holding(now time.Time) bool { return now.Before(s.holdUntil) }

// HoldUntil returns when requests are released at the latest.
func (s *Startup) HoldUntil() time.Time { return s.holdUntil }
