package recovery

import "testing"

func TestConcurrencyRampDoublesOnSuccessAndHalvesOnRejection(t *testing.T) {
	ramp := ConcurrencyRamp{Min: 2, Max: 16}
	for range 13 {
		ramp.Succeeded()
	}
	if ramp.Allowed() != 8 {
		t.Errorf("%d allowed after 13 successes, want 8", ramp.Allowed())
	}
	ramp.Rejected()
	if ramp.Allowed() != 4 {
		t.Errorf("%d allowed after a rejection at 8, want 4", ramp.Allowed())
	}
	for range 60 {
		ramp.Succeeded()
	}
	if ramp.Rejected(); ramp.Allowed() != 16 {
		t.Errorf("%d allowed after a rejection at the maximum of 16, want no change", ramp.Allowed())
	}
	if ramp.Restart(); ramp.Allowed() != 2 {
		t.Errorf("%d allowed after a restart, want 2", ramp.Allowed())
	}
}

// Long-running work raises the limit when it starts, because it ends much later. The limit stays at most twice the
// number of starts.
func TestConcurrencyRampDoublesAsWorkStarts(t *testing.T) {
	ramp := ConcurrencyRamp{Min: 2, Max: 16}
	for started := 1; started <= 16; started++ {
		if started > ramp.Allowed() {
			t.Fatalf("only %d allowed after %d starts with none ended", ramp.Allowed(), started-1)
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
