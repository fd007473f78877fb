package store

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/failpoint"
)

// BootTime is a monotonic clock that goes on while the machine sleeps: a process that slept for longer than a lease
// must notice, and a step of the wall clock must not end one.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// logTime is the time that a leader gives its transactions. It continues from the log's time at the beginning of the
// leader's term, by a monotonic clock: a leader whose wall clock is an hour ahead would end every lease at once, and
// under its successor, whose clock is right, none would end for an hour. Without a leader the time stops: leases last
// as much longer, and their holders must renew before any ends.
type logTime struct {
	mu      sync.Mutex
	started bool
	term    uint64
	base    int64         // Unix ms of the log at the beginning of the term
	at      time.Duration // BootTime at that moment
}

// now returns the log's time, in Unix milliseconds. Only the first time of a store comes from the wall clock.
func (s *Store) now() int64 {
	term, clock, stands := s.raft.CurrentTerm(), BootTime(), s.fsm.view().Now()
	if stands == 0 {
		stands = failpoint.Wall().UnixMilli()
	}
	return s.logTime.now(term, clock, stands)
}

func (l *logTime) now(term uint64, clock time.Duration, stands int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.base + (clock - l.at).Milliseconds(); l.started && l.term == term && now >= stands {
		return now
	}
	l.started, l.term, l.base, l.at = true, term, stands, clock
	return stands
}
