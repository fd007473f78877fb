package dispatch

import "testing"

// A refused client is told when to come back, and never for longer than the settings allow. A node that told
// nothing made its clients come back at their own pace, all while nothing was free.
func TestRejectionsTellRetryAfter(t *testing.T) {
	for _, most := range []float64{0, 50, 2000} {
		s := base()
		s.MaxRetryAfter = most
		r := newRig(t, s, ready(1, 1))
		var events []Event
		for id := range uint32(60) {
			events = append(events, request(id+1, 0, 0, 1))
		}
		refused := 0
		for _, a := range r.step(events...) {
			if a.Kind != ActRefuse {
				continue
			}
			refused++
			if most == 0 && a.For != 0 || most > 0 && !(a.For > 0 && a.For <= most) {
				t.Errorf("at most %v: told to stay away for %v", most, a.For)
			}
		}
		if refused == 0 {
			t.Error("nothing was refused: the test shows nothing")
		}
	}
}
