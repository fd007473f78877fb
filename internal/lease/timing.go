package lease

import (
	"fmt"
	"time"
)

// Timing holds the durations that leases and claims go by.
type Timing struct {
	TTL           time.Duration // of a lease
	RenewInterval time.Duration // between renewals of the own lease
	MaxClockDrift time.Duration // end of the own lease that stays unused
	RankDelay     time.Duration // that a node waits for each node that is to claim before it
	ReclaimDelay  time.Duration // for which a node does not claim a partition that it lost
}

// Validate returns a *TimingError if a node might not have stopped using its lease by the time that another may
// claim, or if a lease does not last for two renewals.
func (t Timing) Validate() error {
	positive := t.TTL > 0 && t.RenewInterval > 0 && t.MaxClockDrift > 0 && t.RankDelay > 0
	if !positive || 2*t.RenewInterval > t.TTL-t.MaxClockDrift {
		return &TimingError{t}
	}
	return nil
}

// TimingError reports durations that do not fit together.
type TimingError struct{ Timing Timing }

func (e *TimingError) Error() string {
	return fmt.Sprintf("lease timing: TTL %v, renewal %v, clock drift %v, rank delay %v: all must be positive, "+
		"and two renewals and the drift must fit into the TTL",
		e.Timing.TTL, e.Timing.RenewInterval, e.Timing.MaxClockDrift, e.Timing.RankDelay)
}
