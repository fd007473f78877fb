package recovery

import "testing"

func TestConcurrencyRampDoublesOnSuccessAndHalvesOnRejection(t *testing.T) {
	ramp := ConcurrencyRamp{Min: 2, Max: 16}
	for range 13 {
		ramp.Succeeded()
	}
	if ramp.Allowed() != 8 {
		t.Errorf("%d after 13 successes", ramp.Allowed())
	}
	ramp.Rejected()
	if ramp.Allowed() != 4 {
		t.Errorf("%d after a rejection at 8", ramp.Allowed())
	}
	for range 60 {
		ramp.Succeeded()
	}
	if ramp.Rejected(); ramp.Allowed() != 16 {
		t.Errorf("%d of 16: a rejection at the maximum has nothing to do with a recovery", ramp.Allowed())
	}
	if ramp.Restart(); ramp.Allowed() != 2 {
		t.Errorf("%d after a restart", ramp.Allowed())
	}
}
