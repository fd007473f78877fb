package endpointwatch

import "testing"

// A process that starts with an unconfirmed list holds requests until a list arrives or a call for it fails, and at
// most for the maximum duration of a call.
func TestRequestsAreHeldUntilTheListIsConfirmedOrTheCallFails(t *testing.T) {
	var none Startup
	if none.Holding(at(0)) {
		t.Error("a process without an unconfirmed list holds requests, want none held")
	}
	longest := int((timeouts.PollWait + 2*timeouts.AnswerTimeout) / ms)
	for _, c := range []struct {
		name         string
		event        func(*Startup)
		releasedFrom int
	}{
		{"no answer", func(*Startup) {}, longest},
		{"a list", (*Startup).Confirmed, 1},
		{"a failed call", (*Startup).CallFailed, 1},
	} {
		var startup Startup
		startup.Started(at(0), timeouts)
		if !startup.Holding(at(0)) {
			t.Errorf("%s: requests are not held at the start", c.name)
		}
		c.event(&startup)
		if startup.Holding(at(c.releasedFrom)) || c.releasedFrom == longest && !startup.Holding(at(longest-1)) {
			t.Errorf("%s: requests held until %v after the start", c.name, startup.HoldUntil().Sub(start))
		}
	}
}
