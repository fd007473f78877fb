package store

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"gatetack/internal/failpoint"
)

// BootTime is a clock that goes on while the machine sleeps and that nobody sets: what was asleep for longer than a lease must
// know, and a clock that an operator or a time server moves must not end one.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// logTime is the time that a leader gives its transactions. It goes on from where the log's time stood when this member began
// to lead, by a clock that is not the wall's: a leader whose wall clock is an hour ahead would end every lease at once, and
// the one after it, whose clock is right, would end none for an hour. A store without a leader has no time: leases last as
// much longer, and those who hold them are asked to renew before any ends.
type logTime struct {
	mu      sync.Mutex
	started bool
	term    uint64
	base    int64         // Unix ms, of the log
	at      time.Duration // when it stood there
}

// now is the log's time, in Unix milliseconds. Only the very first of a store comes from the wall's clock.
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
