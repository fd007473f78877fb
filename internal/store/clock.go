package store

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/failpoint"
)

// BootTime returns the time of a monotonic clock that also advances while the machine sleeps. A process that slept for
// longer than a lease must detect that, and a step of the wall clock must not end a lease.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// logTime computes the time that a leader assigns to its transactions. It starts at the log's time when the leader's
// term begins and advances by a monotonic clock. With the wall clock, a leader whose clock is an hour ahead would
// expire every lease at once, and under its successor, whose clock is right, no lease would expire for an hour. Without
// a leader the time stops, so that leases last longer by that time; their holders must renew before any lease expires.
type logTime struct {
	mu        sync.Mutex
	started   bool
	term      uint64
	base      int64         // time of the log at the beginning of the term, Unix ms
	baseClock time.Duration // BootTime at the beginning of the term
}

// now returns the time of the log in Unix milliseconds. Only the first time in a new store comes from the wall clock.
func (s *Store) now() int64 {
	term, clock, logNow := s.raft.CurrentTerm(), BootTime(), s.fsm.view().Now()
	if logNow == 0 {
		logNow = failpoint.Wall().UnixMilli()
	}
	return s.logTime.now(term, clock, logNow)
}

// now returns the time of the log for a term and a time of the monotonic clock. logNow is the latest time in the log;
// it is the new base at the beginning of a term, or if the computed time is behind it.
func (l *logTime) now(term uint64, clock time.Duration, logNow int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.base + (clock - l.baseClock).Milliseconds(); l.started && l.term == term && now >= logNow {
		return now
	}
	l.started, l.term, l.base, l.baseClock = true, term, logNow, clock
	return logNow
}
