package dispatch

import "testing"

// List out of reach while the fleet changes: the node asks again, neither once nor in a storm, works on with what it
// holds, and keeps to the new list at once when it comes.
func TestListOutOfReachWhileTheFleetChanges(t *testing.T) {
	s := base()
	s.PollsList = true
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	polls, sends := 0, 0
	for i := range uint32(1000) {
		events := []Event{request(i+1, 0, 0, 1)}
		for _, a := range r.last {
			switch {
			case a.Kind == ActPollList:
				polls++
				events = append(events, Event{Kind: EvEndpoints, Form: ListFailed})
			case a.Kind == ActSend && a.Executor == 7: // it is gone, which no list says
				events = append(events, outcome(a.Job, 0, 7, ConnectFailed))
			case a.Kind == ActSend:
				sends++
				events = append(events, outcome(a.Job, 0, 8, Served, 4))
			}
		}
		r.after(20, events...)
	}
	if polls < 5 || polls > 100 {
		t.Errorf("asked %d times in 20 s", polls)
	}
	if sends < 700 {
		t.Errorf("%d of 1000 sent to the executor that is left", sends)
	}
	r.after(
		1,
		Event{
			Kind:    EvEndpoints,
			Form:    ListSnapshot,
			Updates: []EndpointUpdate{ready(9, 0), {Executor: 8, Condition: Draining}},
		},
	)
	for i := range uint32(50) {
		for _, a := range r.after(20, request(2000+i, 0, 0, 1)) {
			if a.Kind == ActSend && a.Executor != 9 {
				t.Fatalf("sent to executor %d, which drains or is gone", a.Executor)
			}
		}
	}
}

// Where many nodes are rejected by an overbooked discovery, their asks spread out and thin out: retries at a fixed pace
// kept it overbooked to the end of the day (herd+vast: 69 of 80 nodes never had a watch again).
func TestManyNodesPollApart(t *testing.T) {
	s := base()
	s.Nodes, s.PollsList = 80, true
	polls := map[int]int{} // by half second
	for i := range s.Nodes {
		s.Node = i
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		now, events := 100000.0, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: fleet(3)}}
		for ; now < 140000; now += 20 {
			acts := d.Step(now, events, nil)
			events = events[:0]
			for _, a := range acts {
				switch a.Kind {
				case ActTimer:
					events = append(events, Event{Kind: EvTimer, Token: a.Token})
				case ActPollList:
					polls[int(now-100000)/500]++
					events = append(events, Event{Kind: EvEndpoints, Form: ListFailed})
				}
			}
		}
	}
	late := 0
	for k, n := range polls {
		if n > 25 {
			t.Errorf("%d of 80 nodes ask in half a second %d ms after they all started, want 25 at most", n, 500*k)
		}
		if k >= 40 {
			late += n
		}
	}
	if per := float64(late) / 20; per > 25 || per < 80*20/s.MaxPollInterval {
		t.Errorf(
			"%.0f asks a second after 20 s of refusals, want no more than 25 and one of each node in %.0f ms",
			per,
			s.MaxPollInterval,
		)
	}
}
