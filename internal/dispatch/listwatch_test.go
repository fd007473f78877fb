package dispatch

import "testing"

// While the list is unreachable and the fleet changes, the node polls repeatedly at a limited rate, continues with
// its current list, and uses the new list as soon as it arrives.
func TestUnreachableListDuringFleetChange(t *testing.T) {
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
			case a.Kind == ActSend && a.Executor == 7: // the executor is gone, but the list does not say so
				events = append(events, outcome(a.Job, 0, 7, ConnectFailed))
			case a.Kind == ActSend:
				sends++
				events = append(events, outcome(a.Job, 0, 8, Served, 4))
			}
		}
		r.after(20, events...)
	}
	if polls < 5 || polls > 100 {
		t.Errorf("polled %d times in 20 s, want 5 to 100", polls)
	}
	if sends < 700 {
		t.Errorf("%d of 1000 jobs sent to the remaining executor, want at least 700", sends)
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
				t.Fatalf("job sent to executor %d, which is draining or removed", a.Executor)
			}
		}
	}
}

// Where discovery is overloaded and rejects the polls of many nodes, the polls are spread and back off. Retries at
// a fixed interval kept discovery overloaded for the rest of a run, and 69 of 80 nodes did not get a subscription
// again.
func TestPollsOfManyNodesAreSpread(t *testing.T) {
	s := base()
	s.Nodes, s.PollsList = 80, true
	polls := map[int]int{} // number of polls by half second
	for i := range s.Nodes {
		s.Node = i
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		now, events := 100000.0, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: fleet(3)}}
		for ; now < 140000; now += 20 {
			actions := d.Step(now, events, nil)
			events = events[:0]
			for _, a := range actions {
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
			t.Errorf("%d polls of 80 nodes in half a second, %d ms after all nodes started, want at most 25", n, 500*k)
		}
		if k >= 40 {
			late += n
		}
	}
	if rate := float64(late) / 20; rate > 25 || rate < 80*20/s.MaxPollInterval {
		t.Errorf(
			"%.0f polls per second after 20 s of failures, want at most 25 and at least one per node in %.0f ms",
			rate,
			s.MaxPollInterval,
		)
	}
}
