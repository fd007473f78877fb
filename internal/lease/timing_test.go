package lease

import (
	"errors"
	"testing"
	"time"
)

func TestTimingShorterThanTwoRenewalsIsRejected(t *testing.T) {
	if err := timing.Validate(); err != nil {
		t.Error(err)
	}
	invalid := Timing{TTL: time.Second, RenewInterval: time.Second, MaxClockDrift: 1, RankDelay: 1}
	var rejected *TimingError
	if err := invalid.Validate(); !errors.As(err, &rejected) || rejected.Timing != invalid {
		t.Errorf("timing in which a lease is renewed only when it ends: %v, want a *TimingError", err)
	}
}
