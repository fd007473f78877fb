package dispatch

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// What a node sent to an executor before it was told of its start counts against the executor's budget: a process
// that has just begun with an old list, or one that is told late, sent as to a warm executor, and then began with all
// of its part (austin-flags zone+mass: one executor got 9 of 18 jobs in 2 s from such processes, which then had their
// part of the budget as well).
func TestSendsBeforeAStartIsNotifiedCount(t *testing.T) {
	s := base()
	s.Nodes = 4
	for seed := uint64(1); seed <= 20; seed++ { // whatever part of a job the node owes at first
		r := newRig(t, s, ready(7, 0))
		r.d.randomState = seed
		executor, startedAt := r.d.endpoints.byID[7], r.now+1
		r.after(1)
		executor.load.freeSlots, executor.load.reportedAt, executor.load.slots = 6, r.now, 6
		var requests []Event
		for id := uint32(1); id <= 6; id++ {
			e := request(id, 0, 0, 1)
			e.Work = 400
			requests = append(requests, e)
		}
		for _, a := range r.after(1, requests...) {
			if a.Kind == ActSend && a.Job <= 3 {
				r.after(50, outcome(a.Job, 0, 7, Served))
			}
		}
		if executor.inFlight.slots != 3 || executor.inFlight.endedCount != 3 {
			t.Fatalf("%v jobs out and %d ended, want 3 of each", executor.inFlight.slots, executor.inFlight.endedCount)
		}
		cold := ready(7, 0)
		cold.StartedAt = startedAt
		r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{cold}})
		// Three jobs that are out take 400 ms each, and those that ended have held the executor for up to 150 ms.
		if paid := 3 * 400.0; executor.slowStart.credit > -paid {
			t.Errorf("seed %d: the budget stands at %.0f ms, want %.0f at most", seed, executor.slowStart.credit, -paid)
		}
	}
}

// A wide job costs an executor that warms up as much as its slots together: credit that is overdrawn by one slot's
// work is not by the further ones', or one job of four slots spends more than the whole of a window's budget.
func TestWideJobsDoNotOverdrawSlowStart(t *testing.T) {
	most := func(slots float64) float64 {
		s := base()
		s.Nodes, s.StartNotifications, s.ProgressInterval = 1, false, 0
		cold := ready(7, 0)
		cold.StartedAt = 100000
		r := newRig(t, s, cold)
		executor := r.d.endpoints.byID[7]
		executor.load.slots, r.d.capacity.kindSlots[0] = 4, 4
		least := 0.0
		for id := uint32(1); id < 60; id++ {
			e := request(id, 0, 0, slots)
			e.Work = 1500
			for _, a := range r.after(50, e) {
				if a.Kind == ActSend {
					r.after(1, outcome(a.Job, 0, 7, Served, 4+float32(id)*1e-4))
				}
			}
			least = min(least, executor.slowStart.credit)
		}
		return -least
	}
	one, four := most(1), most(4)
	if four > 3*one {
		t.Errorf("credit overdrawn by %.0f ms by jobs of four slots, %.0f by those of one", four, one)
	}
}

// While it is cold an executor is given what it can do by then, all nodes' jobs counted, and a job is not taken to run
// slowly there while few others do: it was used to a tenth while old executors queued (join+vast, herd+vast). It is
// inspected whenever it is our turn, not only when it is drawn.
func TestExecutorIsUsedAsItWarmsUp(t *testing.T) {
	rows := fleet(60)
	rows[30].StartedAt = 100000
	c := newReadyCluster(t, 60, 4, rows...)
	for i, d := range c.nodes {
		if i == d.aggregatorClient.current {
			continue
		}
		executor := d.endpoints.listed[30]
		share := d.slowStart.capacityFraction(executor)
		c.sendJob(i, 300) // brings what the aggregator tells
		got, want := d.availableSlots(executor), math.Round(4*share)-d.peerSlotsAt(executor)-executor.inFlight.slots
		if got != want {
			t.Errorf("node %d: free slots for %v more at a share of %.2f, want %v", i, got, share, want)
		}
		if n := executor.inFlight.slots + d.peerSlotsAt(executor) + 1; n <= 4*share &&
			d.executorSpeed(executor) < d.serviceTimes.kindSpeed(executor.endpoint.kind) {
			t.Errorf("node %d: job %v of 4 slots at a share of %.2f is taken to run slowly", i, n, share)
		}
		if executor.slowStart.creditAt == 0 {
			t.Errorf("node %d did not look at the executor that warms up", i)
		}
		break
	}
}

// With the aggregator more of the budget of an executor that warms up is used, and it is kept in every window, though
// 2.5 times the quota comes and no other executor is there. Each job holds a slot for its time.
func TestSlowStartBudgetIsKeptWithTheAggregator(t *testing.T) {
	cold := ready(7, 0)
	c := newReadyCluster(t, 60, 4, cold)
	cold.StartedAt = c.now
	for i := range c.nodes {
		c.inbox[i] = append(c.inbox[i], Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{cold}})
	}
	type run struct {
		node int
		job  uint32
		at   float64
	}
	var sends []float64
	var out []run
	const work = 300.0
	for c.now < cold.StartedAt+c.settings.MaxSlowStartDuration-100 {
		c.lastJob++
		more := map[int]Event{int(c.lastJob*37) % 60: request(c.lastJob, 0, 0, 1)} // 100 a second, 2.5 times the quota
		for len(out) > 0 && c.now-out[0].at >= work {
			c.inbox[out[0].node] = append(c.inbox[out[0].node], outcome(out[0].job, 0, 7, Served))
			out = out[1:]
		}
		c.step(more)
		for i := range c.nodes {
			for _, a := range c.sent[i] {
				sends, out = append(sends, c.now), append(out, run{i, a.Job, c.now})
			}
		}
		sum := 0.0
		for k := len(sends) - 1; k >= 0 && c.now-sends[k] <= c.settings.OverloadWindow; k-- {
			sum += work
		}
		share := c.settings.SlowStartMinShare + (1-c.settings.SlowStartMinShare)*(c.now-cold.StartedAt)/c.settings.MaxSlowStartDuration
		if most := c.settings.OverloadMultiple * share * 4 * c.settings.OverloadWindow; sum > most {
			t.Fatalf("%.0f ms of work sent in a window at %.0f, want %.0f at most", sum, c.now-cold.StartedAt, most)
		}
	}
	// Half of what it can do while it warms.
	if got, want := work*float64(len(sends)), 0.5*0.65*4*c.settings.MaxSlowStartDuration; got < want {
		t.Errorf("%.0f ms of work sent while it warmed, want %.0f", got, want)
	}
}

func TestSlowStartBudget(t *testing.T) {
	s := base()
	s.Nodes = 2
	cold := ready(7, 0)
	cold.StartedAt = 100000 // the rig's first moment
	r := newRig(t, s, cold)
	r.d.endpoints.listed[0].load.slots, r.d.capacity.kindSlots[0] = 4, 4
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	// In any window no more than our part of the budget, by what it has at the end of it, and one job at its edge.
	type send struct{ at, cost float64 }
	var sends []send
	for id := uint32(1); r.now < 100000+s.MaxSlowStartDuration; id++ {
		e := request(id, 0, 0, 1)
		e.Work = 700
		events := []Event{e}
		for _, a := range r.last {
			if a.Kind == ActSend {
				events = append(events, outcome(a.Job, 0, 7, Served))
			}
		}
		for _, a := range r.after(100, events...) {
			if a.Kind == ActSend {
				sends = append(sends, send{r.now, 700})
			}
		}
		sum := 0.0
		for _, x := range sends {
			if r.now-x.at <= s.OverloadWindow {
				sum += x.cost
			}
		}
		share := s.SlowStartMinShare + (1-s.SlowStartMinShare)*(r.now-100000)/s.MaxSlowStartDuration
		if most := 0.5*s.OverloadMultiple*share*4*s.OverloadWindow + 700; sum > most {
			t.Fatalf("%.0f ms of work sent in a window at %.0f, want %.0f at most", sum, r.now, most)
		}
	}
	if len(sends) < 10 {
		t.Errorf("%d jobs sent to an executor while it warms, want 10", len(sends))
	}
}

// The part that one of 80 nodes has of the budget of an executor that warms up is less than a job: held to it exactly,
// none sent anything until the executor was warm, and replaced executors stood idle beside queues (join+vast,
// zone+vast). All together must use the budget, and keep it.
func TestManyNodesShareASlowStart(t *testing.T) {
	s := base()
	s.Nodes = 80
	nodes := make([]*Dispatcher, s.Nodes)
	now := 100000.0
	cold := ready(7, 0)
	cold.StartedAt = now
	for i := range nodes {
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		d.Step(now, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: []EndpointUpdate{cold}}}, nil)
		d.capacity.kindSlots[0] = 4
		nodes[i] = d
	}
	var sends []float64 // each a job of 300 ms
	out := make([][]Event, len(nodes))
	for id := uint32(1); now < 100000+s.MaxSlowStartDuration-20; id++ {
		now += 20
		for i, d := range nodes {
			e := request(id, 0, 0, 1)
			e.Work, e.TimeLeft = 300, 1000
			acts := d.Step(now, append(out[i], e), nil)
			out[i] = out[i][:0]
			for _, a := range acts {
				if a.Kind == ActSend {
					sends = append(sends, now)
					out[i] = append(out[i], outcome(a.Job, 0, 7, Served))
				}
			}
		}
		sum := 0.0
		for k := len(sends) - 1; k >= 0 && now-sends[k] <= s.OverloadWindow; k-- {
			sum += 300
		}
		share := s.SlowStartMinShare + (1-s.SlowStartMinShare)*(now-100000)/s.MaxSlowStartDuration
		if most := s.OverloadMultiple * share * 4 * s.OverloadWindow; sum > most {
			t.Fatalf("all nodes sent %.0f ms of work in a window at %.0f, want %.0f at most", sum, now, most)
		}
	}
	// Half of what the safety leaves of the budget: 0.6 x 4 x 0.65 x 4 slots over 9 s.
	if got, want := 300*float64(len(sends)), slowStartSafety*s.OverloadMultiple*0.65*4*s.MaxSlowStartDuration/2; got < want {
		t.Errorf("all nodes sent %.0f ms of work while it warmed, want %.0f", got, want)
	}
}

// A start that differs from the known one is that of a new process, also an earlier one, as a list tells whose clock
// was stepped back: what was learned of the old process is dropped, and the new one warms up.
func TestEarlierStartIsANewProcess(t *testing.T) {
	row := ready(7, 0)
	row.StartedAt = 90000 - hourMS/100
	r := newRig(t, base(), row)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{row}})
	executor := r.d.endpoints.byID[7]
	executor.outlier.errorAverage, executor.outlier.ejections, executor.load.slots = 0.4, 3, 4
	row.StartedAt -= 5000
	r.after(500, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
	if executor.outlier.errorAverage != 0 || executor.outlier.ejections != 0 {
		t.Errorf(
			"the error average %v and %d strikes of the old process stand",
			executor.outlier.errorAverage,
			executor.outlier.ejections,
		)
	}
	if share := r.d.slowStart.capacityFraction(executor); share != r.d.settings.SlowStartMinShare {
		t.Errorf("its share of capacity is %.2f, want %.2f", share, r.d.settings.SlowStartMinShare)
	}
}

// In the first list of a node the clocks are all there is: a start in the future is taken to be now if it is the
// latest, and the others there as much earlier as the list says.
func TestFirstListWithStartsInTheFuture(t *testing.T) {
	const now = 100 * hourMS
	starts := map[uint32]float64{1: 0, 2: now - 1000, 3: now + hourMS, 4: now + hourMS - 2000, 5: now + hourMS/2}
	var rows []EndpointUpdate
	for id := uint32(1); id <= 5; id++ {
		row := ready(id, 0)
		row.StartedAt = starts[id]
		rows = append(rows, row)
	}
	r := newRig(t, base())
	r.now = now
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: rows})
	want := map[uint32]float64{1: 0, 2: now - 1000, 3: now, 4: now - 2000, 5: now - hourMS/2}
	for id, at := range want {
		if got := r.d.endpoints.byID[id].slowStart.startedAt; got != at {
			t.Errorf("executor %d: taken to have started at %.0f, want %.0f", id, got, at)
		}
	}
	r.after(3000, Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: rows})
	if got := r.d.endpoints.byID[3].slowStart.startedAt; got != now {
		t.Errorf("its age does not grow with our clock: started at %.0f, want %.0f", got, now)
	}
}

// A start that is notified as a change lies between the last confirmed list and now, whatever the list's clock says.
func TestNotifiedStartLiesAfterTheLastConfirmedList(t *testing.T) {
	const confirmed, now = 100 * hourMS, 100*hourMS + 4000
	for _, c := range []struct {
		name         string
		listed, want float64
	}{
		{"right", now - 1700, now - 1700}, {"before", confirmed - 10, now}, {"an hour behind", now - hourMS, now},
		{"an hour ahead", now + hourMS, now}, {"a little ahead", now + 5, now}, {"long ago", 0, 0},
	} {
		old := ready(7, 0)
		old.StartedAt = confirmed - 10*hourMS
		r := newRig(t, base(), old)
		r.now = confirmed
		r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{old}})
		r.now = now
		row := old
		row.StartedAt = c.listed
		r.step(Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
		if got := r.d.endpoints.byID[7].slowStart.startedAt; got != c.want {
			t.Errorf(
				"%s: taken to have started %.0f ms after the confirmed list, want %.0f",
				c.name,
				got-confirmed,
				c.want-confirmed,
			)
		}
	}
}

// A change that was notified a little later than another is believed as far as the last confirmed list allows it.
func TestNotifiedStartJustBeforeAnotherChange(t *testing.T) {
	old := ready(7, 0)
	r := newRig(t, base(), old)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{old}})
	confirmed := r.now
	old.StartedAt = confirmed - 100
	r.after(50, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{old}})
	if got := r.d.endpoints.byID[7].slowStart.startedAt; got != confirmed {
		t.Errorf("taken to have started at %.0f, want %.0f", got, confirmed)
	}
}

// An executor that leaves the list and comes back with the same start was not restarted: it is not cold.
func TestReturnWithTheSameStartIsNoStart(t *testing.T) {
	other, row := ready(6, 0), ready(7, 0)
	row.StartedAt = 40000
	r := newRig(t, base(), other, row)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{other, row}})
	left := row
	left.Condition = Removed
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{left}})
	if r.d.endpoints.byID[7] != nil {
		t.Fatal("the executor is still known")
	}
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
	if share := r.d.slowStart.capacityFraction(r.d.endpoints.byID[7]); share != 1 {
		t.Errorf("its share of capacity is %.2f, want all", share)
	}
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{left}})
	row.StartedAt++
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
	if share := r.d.slowStart.capacityFraction(r.d.endpoints.byID[7]); share == 1 {
		t.Error("a new process is not cold")
	}
}

// Starts of executors that left are not kept for ever.
func TestStartsOfRemovedExecutorsExpire(t *testing.T) {
	r := newRig(t, base(), ready(1, 0))
	for round := range 4 {
		var come, leave []EndpointUpdate
		for i := range 2 * removedStartsPurgeThreshold {
			row := ready(uint32(1000*round+i+10), 0)
			row.StartedAt = 50000
			come = append(come, row)
			row.Condition = Removed
			leave = append(leave, row)
		}
		r.after(removedStartTTLMs, Event{Kind: EvEndpoints, Form: ListDelta, Updates: come})
		r.after(removedStartTTLMs, Event{Kind: EvEndpoints, Form: ListDelta, Updates: leave})
		if n := len(r.d.slowStart.removed); n > 3*removedStartsPurgeThreshold {
			t.Fatalf("%d starts are remembered", n)
		}
	}
}

// An executor that starts again while it warms up begins a new budget, also where it is notified late: the nodes went
// on taking their part of the old one until then.
func TestStartAgainWhileWarmingOpensANewBudget(t *testing.T) {
	row := ready(7, 0)
	r := newRig(t, base(), row)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{row}})
	row.StartedAt = r.now + 1000
	r.after(1001, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
	executor := r.d.endpoints.byID[7]
	for range 20 {
		r.after(100, Event{Kind: EvEndpoints, Form: ListDelta, Updates: nil})
		r.d.slowStartAllows(executor, 0)
	}
	if executor.slowStart.credit <= 0 {
		t.Fatalf("credit %.0f ms after two seconds in which nothing was sent", executor.slowStart.credit)
	}
	row.StartedAt = r.now + 5
	r.after(10)
	r.d.slowStartAllows(executor, 0)
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{row}})
	if executor.slowStart.credit > 0 {
		t.Errorf("the new process begins with %.0f ms of the old one's credit", executor.slowStart.credit)
	}
}

// The executors that are kept as warming up are those of the list with less than their whole capacity, in the list's
// order, through starts, drains, removals and returns.
func TestWarmingExecutorsAreThoseOfTheList(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	first := fleet(300)
	r := newRig(t, base(), first...)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: first})
	rows := map[uint32]EndpointUpdate{}
	for _, row := range first {
		rows[row.Executor] = row
	}
	most := 0
	for range 400 {
		event := Event{Kind: EvEndpoints, Form: ListDelta, Updates: randomChange(rng, rows, r.now)}
		if rng.Intn(20) == 0 {
			event.Form, event.Updates = ListSnapshot, nil
			for id := uint32(0); id < 1000; id++ {
				if row, ok := rows[id]; ok && row.Condition != Removed {
					event.Updates = append(event.Updates, row)
				}
			}
		}
		r.after(100, event)
		var want []uint32
		for _, executor := range r.d.endpoints.listed {
			if r.d.slowStart.capacityFraction(executor) < 1 {
				want = append(want, executor.id)
			}
		}
		var got []uint32
		for _, executor := range r.d.slowStart.warmingUp() {
			got = append(got, executor.id)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%v warm up, want %v", got, want)
		}
		most = max(most, len(got))
	}
	if most < 10 {
		t.Errorf("at most %d executors warmed up at a time: the test shows little", most)
	}
}
