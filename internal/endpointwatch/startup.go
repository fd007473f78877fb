package endpointwatch

import "time"

// Startup decides for how long a new process holds the jobs that it takes, since nobody has confirmed the list of executors that it
// was started with. What that list says may have changed long before the start, and those changes count as told from the first
// moment on. So nothing is sent on it until discovery has answered the first call, which is made at once. Only where that call
// fails, which shows that discovery is down, overbooked or cut off, does the process go on with the list it has: the clock's
// deadline for the next good look bounds how long. A zero Startup holds nothing.
type Startup struct {
	until time.Time // nothing is held from then on, zero: nothing is held
}

// Begin notes that the process begins with a list that nobody has confirmed. It holds jobs for as long as a call may take.
func (s *Startup) Begin(now time.Time, timeouts Timeouts) {
	s.until = now.Add(timeouts.Wait + 2*timeouts.Slow)
}

// Confirmed notes that a list has come in this life of the process.
func (s *Startup) Confirmed() { s.until = time.Time{} }

// Failed notes that a call for the list has failed.
func (s *Startup) Failed() { s.until = time.Time{} }

// Holds says whether jobs are held now.
func (s *Startup) Holds(now time.Time) bool { return now.Before(s.until) }

// Until is when the hold ends at the latest.
func (s *Startup) Until() time.Time { return s.until }
