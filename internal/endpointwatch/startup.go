package endpointwatch

import "time"

// Startup decides for how long a new process holds accepted requests because the endpoint list that it was started with
// is not confirmed yet. The list may have changed long before the start, and those changes count as notified from the
// start on. Therefore no request is sent according to this list until discovery has answered the first call, which is
// made immediately. If that call fails, discovery is down, overloaded or unreachable, and the process uses the list
// that it has; the Tracker's deadline bounds for how long. A zero Startup holds no requests.
type Startup struct {
	holdUntil time.Time // zero if requests are not held
}

// Started records that the process has started with an unconfirmed list. Requests are then held for the maximum
// duration of a call.
func (s *Startup) Started(now time.Time, timeouts Timeouts) {
	s.holdUntil = now.Add(timeouts.PollWait + 2*timeouts.AnswerTimeout)
}

// Confirmed records that a list has arrived since the process started.
func (s *Startup) Confirmed() { s.holdUntil = time.Time{} }

// CallFailed records that a call for the list has failed.
func (s *Startup) CallFailed() { s.holdUntil = time.Time{} }

// Holding reports whether requests are held.
func (s *Startup) Holding(now time.Time) bool { return now.Before(s.holdUntil) }

// HoldUntil returns the latest time at which requests are released.
func (s *Startup) HoldUntil() time.Time { return s.holdUntil }
