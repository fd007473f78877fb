package lease

import (
	"fmt"
	"time"
)

// Timing holds the durations that govern leases and claims.
type Timing struct {
	TTL           time.Duration // of a lease
	RenewInterval time.Duration // between renewals of the node's own lease
	MaxClockDrift time.Duration // how long before its end a node stops using its lease
	RankDelay     time.Duration // how long a node waits for each node that ranks before it in claiming
	ReclaimDelay  time.Duration // how long a node does not claim a partition that it lost
}

// Validate returns a *TimingError if a duration is not positive, because a node might then still use its lease when
// another may claim, or if the usable part of a lease is shorter than two renewals.
func (t Timing) Validate() error {
	positive := t.TTL > 0 && t.RenewInterval > 0 && t.MaxClockDrift > 0 && t.RankDelay > 0
	if !positive || 2*t.RenewInterval > t.TTL-t.MaxClockDrift {
		return &TimingError{t}
	}
	return nil
}

// TimingError reports an inconsistent Timing.
type TimingError struct{ Timing Timing }

func (e *TimingError) Error() string {
	return fmt.Sprintf("lease timing: TTL %v, renewal %v, clock drift %v, rank delay %v: all must be positive, "+
		"and two renewals and the drift must fit into the TTL",
		e.Timing.TTL, e.Timing.RenewInterval, e.Timing.MaxClockDrift, e.Timing.RankDelay)
}
