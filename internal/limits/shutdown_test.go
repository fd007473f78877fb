package limits

import (
	"testing"
	"time"
)

// A process may be killed so long after SIGTERM as the longest deadline of its deployment, 3 s at most, and 0.7 s. It
// stops serving 0.2 s before that, also where all deadlines are so short that it has 1 s in all.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	for longest, killed := range map[time.Duration]time.Duration{
		0:                       700 * time.Millisecond,
		300 * time.Millisecond:  time.Second,
		2500 * time.Millisecond: 3200 * time.Millisecond,
		3 * time.Second:         3700 * time.Millisecond,
		25 * time.Second:        3700 * time.Millisecond,
	} {
		l := New(0, 0, 0, 0, 0)
		l.SetLongestDeadline(longest)
		if got, want := l.ShutdownGrace, killed-200*time.Millisecond; got != want {
			t.Errorf("deadline %v: it serves for %v, want %v", longest, got, want)
		}
	}
}
