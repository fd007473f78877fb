package limits

import (
	"testing"
	"time"
)

// A process may be killed after SIGTERM once the longest deadline of its deployment, but at most 3 s, plus 0.7 s has
// passed. It serves until 0.2 s before that, even if the deadlines are so short that it has only 1 s in total.
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
			t.Errorf("longest deadline %v: shutdown grace %v, want %v", longest, got, want)
		}
	}
}
