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

// Work that runs for long raises the limit as it starts: it leaves no place for as many again, and its ends are far.
func TestConcurrencyRampDoublesAsWorkStarts(t *testing.T) {
	ramp := ConcurrencyRamp{Min: 2, Max: 16}
	for started := 1; started <= 16; started++ {
		if started > ramp.Allowed() {
			t.Fatalf("%d allowed after %d starts and no end", ramp.Allowed(), started-1)
		}
		ramp.Started()
		if ramp.Allowed() > 2*max(started, ramp.Min/2) {
			t.Errorf("%d allowed after %d starts", ramp.Allowed(), started)
		}
	}
	ramp.Restart()
	ramp.Started()
	ramp.Started()
	ramp.Rejected()
	ramp.Started()
	if ramp.Allowed() != 2 {
		t.Errorf("%d allowed after a rejection and one start, want 2", ramp.Allowed())
	}
}
