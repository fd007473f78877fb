package dispatch

import "testing"

// Open jobs keep the rules they came under, new ones have the new rules, and what can not be taken over changes
// nothing.
func TestRetune(t *testing.T) {
	s := base()
	r := newRig(t, s, ready(1, 0), ready(2, 0))
	r.step(request(1, 0, 0, 1)) // class 0 is safe: it may be tried up to four times
	next := s
	next.MaxAttempts = 1
	next.Classes = append(
		append([]Class{}, s.Classes...),
		Class{Aim: 500, Deadline: 6000, Worth: 1, Effect: Unsafe, Kind: -1},
	)
	if err := r.d.Retune(next, map[int]int{3: 2}); err != nil {
		t.Fatal(err)
	}
	attempts := map[uint32]uint16{}
	run := func(events ...Event) {
		for range 400 {
			out := r.after(5, events...)
			events = nil
			for _, a := range out {
				if a.Kind == ActSend {
					events = append(events, outcome(a.Job, attempts[a.Job], a.Worker, Reset))
					attempts[a.Job]++
				}
			}
		}
	}
	attempts[1] = 1
	run(outcome(1, 0, 1, Reset), request(2, 0, 0, 1), request(3, 3, 0, 1))
	if attempts[1] < 2 || attempts[2] != 1 || attempts[3] != 1 {
		t.Errorf("attempts %v, want more than one of the job from before, one of each since", attempts)
	}
	r.step(request(4, 1, 0, 1))
	changed := next
	changed.Classes = append([]Class{}, next.Classes...)
	changed.Classes[1].Effect = Unsafe
	if err := r.d.Retune(changed, nil); err == nil || r.d.settings.Classes[1].Effect != Keyed {
		t.Errorf("the rules of a class with an open job changed: %v", err)
	}
	if err := r.d.Retune(Settings{}, nil); err == nil || r.d.settings.MaxAttempts != 1 {
		t.Errorf("no classes: %v", err)
	}
	fewer := next
	fewer.Classes = next.Classes[:2]
	if err := r.d.Retune(fewer, nil); err == nil {
		t.Error("a place went")
	}
}
