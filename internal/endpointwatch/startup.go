package endpointwatch

import "time"

// Startup decides for how long a new process holds the jobs that it takes, since nobody has confirmed the list of executors that it
// was started with. What that list says may have changed long before the start, and those changes count as told from the first
// moment on. So nothing is sent on it until discovery has answered the first call, which is made at once. Only where that call
// fails, which shows that discovery is down, overbooked or cut off, does the process go on with the list it has: the clock's
// deadline for the next good look bounds how long. A zero Startup holds nothing.
type Startup struct {
	holdUntil time.Time // nothing is held from then on, zero: nothing is held
}

// Begin notes that the process begins with a list that nobody has confirmed. It holds jobs for as long as a call may take.
func (s *Startup) Started(now time.Time, timeouts Timeouts) {
	s.holdUntil = now.Add(timeouts.PollWait + 2*timeouts.AnswerTimeout)
}

// Confirmed notes that a list has come in this life of the process.
func (s *Startup) Confirmed() { s.holdUntil = time.Time{} }

// Failed notes that a call for the list has failed.
func (s *Startup) CallFailed() { s.holdUntil = time.Time{} }

// Holds says whether jobs are held now.
func (s *Startup) Holding(now time.Time) bool { return now.Before(s.holdUntil) }

// Until is when the hold ends at the latest.
func (s *Startup) HoldUntil() time.Time { return s.holdUntil }
