package endpointwatch

import "testing"

// A process that begins with a list that nobody has confirmed holds jobs until a list comes or a call for it fails, and no longer
// than a call may take.
func TestStartupHolds(t *testing.T) {
	var none Startup
	if none.Holding(at(0)) {
		t.Error("a process without an old list holds jobs")
	}
	most := int((timeouts.PollWait + 2*timeouts.AnswerTimeout) / ms)
	for _, x := range []struct {
		what  string
		event func(*Startup)
		from  int // nothing is held from then on
	}{
		{"no answer", func(*Startup) {}, most},
		{"a list", (*Startup).Confirmed, 1},
		{"a call that failed", (*Startup).CallFailed, 1},
	} {
		var s Startup
		s.Started(at(0), timeouts)
		if !s.Holding(at(0)) {
			t.Errorf("%s: does not hold at the start", x.what)
		}
		x.event(&s)
		if s.Holding(at(x.from)) || x.from == most && !s.Holding(at(most-1)) {
			t.Errorf("%s: held until %v", x.what, s.HoldUntil().Sub(zero))
		}
	}
}
