package dispatch

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Requests sent to an executor before its start is notified count against its slow start budget. A node that has
// just started with a cached list, or is notified late, sends as to a warm executor; if it then received its full
// budget in addition, the executor would be overloaded. In one run, such nodes sent 9 of 18 jobs within 2 s, and
// then used their budget as well.
func TestSlowStartCountsSendsBeforeNotification(t *testing.T) {
	s := base()
	s.Nodes = 4
	for seed := uint64(1); seed <= 20; seed++ { // for any initial random debt
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
			t.Fatalf("%v slots in flight and %d attempts ended, want 3 of each",
				executor.inFlight.slots, executor.inFlight.endedCount)
		}
		cold := ready(7, 0)
		cold.StartedAt = startedAt
		r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{cold}})
		// The three jobs in flight take 400 ms each, and the ended ones occupied the executor for up to 150 ms.
		if inFlightWork := 3 * 400.0; executor.slowStart.credit > -inFlightWork {
			t.Errorf("seed %d: budget credit is %.0f ms, want at most %.0f", seed, executor.slowStart.credit, -inFlightWork)
		}
	}
}

// The cost of a job is that of all its slots. If overdrawing the credit by the work of one slot allowed a job of
// four slots, one such job would use more than the budget of a window.
func TestWideJobsDoNotOverdrawSlowStart(t *testing.T) {
	overdraft := func(slots float64) float64 {
		s := base()
		s.Nodes, s.StartNotifications, s.ProgressInterval = 1, false, 0
		cold := ready(7, 0)
		cold.StartedAt = 100000
		r := newRig(t, s, cold)
		executor := r.d.endpoints.byID[7]
		executor.load.slots, r.d.capacity.kindSlots[0] = 4, 4
		minCredit := 0.0
		for id := uint32(1); id < 60; id++ {
			e := request(id, 0, 0, slots)
			e.Work = 1500
			for _, a := range r.after(50, e) {
				if a.Kind == ActSend {
					r.after(1, outcome(a.Job, 0, 7, Served, 4+float32(id)*1e-4))
				}
			}
			minCredit = min(minCredit, executor.slowStart.credit)
		}
		return -minCredit
	}
	one, four := overdraft(1), overdraft(4)
	if four > 3*one {
		t.Errorf("credit overdrawn by %.0f ms with four-slot jobs, and by %.0f ms with one-slot jobs", four, one)
	}
}

// An executor that is warming up is sent what it can serve at its current capacity, counting the jobs of all nodes,
// and is not considered slow while few jobs run there. Otherwise it is used at a tenth of its capacity while the
// other executors have queues. Each placement considers it, not only those that draw it at random.
func TestExecutorIsUsedAsItWarmsUp(t *testing.T) {
	updates := fleet(60)
	updates[30].StartedAt = 100000
	c := newReadyCluster(t, 60, 4, updates...)
	for i, d := range c.nodes {
		if i == d.aggregatorClient.current {
			continue
		}
		executor := d.endpoints.listed[30]
		fraction := d.slowStart.capacityFraction(executor)
		c.sendJob(i, 300) // updates the node with the aggregator's data
		got, want := d.availableSlots(executor), math.Round(4*fraction)-d.peerSlotsAt(executor)-executor.inFlight.slots
		if got != want {
			t.Errorf("node %d: %v available slots at a capacity fraction of %.2f, want %v", i, got, fraction, want)
		}
		if n := executor.inFlight.slots + d.peerSlotsAt(executor) + 1; n <= 4*fraction &&
			d.executorSpeed(executor) < d.serviceTimes.kindSpeed(executor.endpoint.kind) {
			t.Errorf("node %d: speed is reduced for job %v on 4 slots at a capacity fraction of %.2f", i, n, fraction)
		}
		if executor.slowStart.creditAt == 0 {
			t.Errorf("node %d did not consider the executor that is warming up", i)
		}
		break
	}
}

// With the aggregator, more of the budget of an executor that is warming up is used. The budget holds in every
// window with 2.5 times the quota and no other executor. Each job holds a slot for its run time.
func TestSlowStartBudgetWithAggregator(t *testing.T) {
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
	var running []run
	const work = 300.0
	for c.now < cold.StartedAt+c.settings.MaxSlowStartDuration-100 {
		c.lastJob++
		requests := map[int]Event{int(c.lastJob*37) % 60: request(c.lastJob, 0, 0, 1)} // 100 per second, 2.5 times the quota
		for len(running) > 0 && c.now-running[0].at >= work {
			c.inbox[running[0].node] = append(c.inbox[running[0].node], outcome(running[0].job, 0, 7, Served))
			running = running[1:]
		}
		c.step(requests)
		for i := range c.nodes {
			for _, a := range c.sent[i] {
				sends, running = append(sends, c.now), append(running, run{i, a.Job, c.now})
			}
		}
		sum := 0.0
		for k := len(sends) - 1; k >= 0 && c.now-sends[k] <= c.settings.OverloadWindow; k-- {
			sum += work
		}
		fraction := c.settings.SlowStartMinShare + (1-c.settings.SlowStartMinShare)*(c.now-cold.StartedAt)/
			c.settings.MaxSlowStartDuration
		if limit := c.settings.OverloadMultiple * fraction * 4 * c.settings.OverloadWindow; sum > limit {
			t.Fatalf("%.0f ms of work sent in the window at %.0f, want at most %.0f", sum, c.now-cold.StartedAt, limit)
		}
	}
	// Half of its capacity during slow start.
	if got, want := work*float64(len(sends)), 0.5*0.65*4*c.settings.MaxSlowStartDuration; got < want {
		t.Errorf("%.0f ms of work sent during slow start, want at least %.0f", got, want)
	}
}

func TestSlowStartBudget(t *testing.T) {
	s := base()
	s.Nodes = 2
	cold := ready(7, 0)
	cold.StartedAt = 100000 // the initial time of the rig
	r := newRig(t, s, cold)
	r.d.endpoints.listed[0].load.slots, r.d.capacity.kindSlots[0] = 4, 4
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	// In each window, at most this node's share of the budget, at the capacity of the end of the window, and one
	// job.
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
		fraction := s.SlowStartMinShare + (1-s.SlowStartMinShare)*(r.now-100000)/s.MaxSlowStartDuration
		if limit := 0.5*s.OverloadMultiple*fraction*4*s.OverloadWindow + 700; sum > limit {
			t.Fatalf("%.0f ms of work sent in the window at %.0f, want at most %.0f", sum, r.now, limit)
		}
	}
	if len(sends) < 10 {
		t.Errorf("%d jobs sent during slow start, want at least 10", len(sends))
	}
}

// With 80 nodes, a node's share of the slow start budget is less than one job. Under an exact limit, no node would
// send anything until the executor is warm, and replaced executors would be idle while jobs queue. All nodes
// together must use the budget and stay within it.
func TestManyNodesShareSlowStartBudget(t *testing.T) {
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
	var sends []float64 // times of jobs of 300 ms
	outcomes := make([][]Event, len(nodes))
	for id := uint32(1); now < 100000+s.MaxSlowStartDuration-20; id++ {
		now += 20
		for i, d := range nodes {
			e := request(id, 0, 0, 1)
			e.Work, e.TimeLeft = 300, 1000
			actions := d.Step(now, append(outcomes[i], e), nil)
			outcomes[i] = outcomes[i][:0]
			for _, a := range actions {
				if a.Kind == ActSend {
					sends = append(sends, now)
					outcomes[i] = append(outcomes[i], outcome(a.Job, 0, 7, Served))
				}
			}
		}
		sum := 0.0
		for k := len(sends) - 1; k >= 0 && now-sends[k] <= s.OverloadWindow; k-- {
			sum += 300
		}
		fraction := s.SlowStartMinShare + (1-s.SlowStartMinShare)*(now-100000)/s.MaxSlowStartDuration
		if limit := s.OverloadMultiple * fraction * 4 * s.OverloadWindow; sum > limit {
			t.Fatalf("all nodes sent %.0f ms of work in the window at %.0f, want at most %.0f", sum, now, limit)
		}
	}
	// Half of the budget within the safety margin: 0.6 x 4 x 0.65 x 4 slots over 9 s.
	if got, want := 300*float64(len(sends)),
		slowStartSafety*s.OverloadMultiple*0.65*4*s.MaxSlowStartDuration/2; got < want {
		t.Errorf("all nodes sent %.0f ms of work during slow start, want at least %.0f", got, want)
	}
}

// A start that differs from the known one belongs to a new process, even if it is earlier, as from a list whose
// clock was stepped back: the state of the old process is dropped, and the new one warms up.
func TestEarlierStartIsNewProcess(t *testing.T) {
	update := ready(7, 0)
	update.StartedAt = 90000 - hourMS/100
	r := newRig(t, base(), update)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{update}})
	executor := r.d.endpoints.byID[7]
	executor.outlier.errorAverage, executor.outlier.ejections, executor.load.slots = 0.4, 3, 4
	update.StartedAt -= 5000
	r.after(500, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
	if executor.outlier.errorAverage != 0 || executor.outlier.ejections != 0 {
		t.Errorf(
			"error average %v and %d ejections after the restart, want 0 and 0",
			executor.outlier.errorAverage,
			executor.outlier.ejections,
		)
	}
	if fraction := r.d.slowStart.capacityFraction(executor); fraction != r.d.settings.SlowStartMinShare {
		t.Errorf("capacity fraction is %.2f, want %.2f", fraction, r.d.settings.SlowStartMinShare)
	}
}

// The first list of a node has only the clocks to rely on. The latest start in the future is assumed to be now, and
// the other future starts earlier by their listed difference.
func TestFirstListWithFutureStarts(t *testing.T) {
	const now = 100 * hourMS
	starts := map[uint32]float64{1: 0, 2: now - 1000, 3: now + hourMS, 4: now + hourMS - 2000, 5: now + hourMS/2}
	var updates []EndpointUpdate
	for id := uint32(1); id <= 5; id++ {
		update := ready(id, 0)
		update.StartedAt = starts[id]
		updates = append(updates, update)
	}
	r := newRig(t, base())
	r.now = now
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: updates})
	want := map[uint32]float64{1: 0, 2: now - 1000, 3: now, 4: now - 2000, 5: now - hourMS/2}
	for id, at := range want {
		if got := r.d.endpoints.byID[id].slowStart.startedAt; got != at {
			t.Errorf("executor %d: estimated start %.0f, want %.0f", id, got, at)
		}
	}
	r.after(3000, Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: updates})
	if got := r.d.endpoints.byID[3].slowStart.startedAt; got != now {
		t.Errorf("executor 3: estimated start after 3 s is %.0f, want %.0f", got, now)
	}
}

// A start that is notified as a change lies between the last confirmed list and now, regardless of the list's
// clock.
func TestNotifiedStartIsAfterLastConfirmedList(t *testing.T) {
	const confirmed, now = 100 * hourMS, 100*hourMS + 4000
	for _, c := range []struct {
		name         string
		listed, want float64
	}{
		{"clocks agree", now - 1700, now - 1700}, {"before the confirmed list", confirmed - 10, now},
		{"an hour behind", now - hourMS, now},
		{"an hour ahead", now + hourMS, now}, {"slightly ahead", now + 5, now}, {"long ago", 0, 0},
	} {
		old := ready(7, 0)
		old.StartedAt = confirmed - 10*hourMS
		r := newRig(t, base(), old)
		r.now = confirmed
		r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{old}})
		r.now = now
		update := old
		update.StartedAt = c.listed
		r.step(Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
		if got := r.d.endpoints.byID[7].slowStart.startedAt; got != c.want {
			t.Errorf(
				"%s: estimated start %.0f ms after the confirmed list, want %.0f",
				c.name,
				got-confirmed,
				c.want-confirmed,
			)
		}
	}
}

// A start that is notified slightly later than another change is estimated as the time of the last confirmed list.
func TestNotifiedStartJustBeforeAnotherChange(t *testing.T) {
	old := ready(7, 0)
	r := newRig(t, base(), old)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{old}})
	confirmed := r.now
	old.StartedAt = confirmed - 100
	r.after(50, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{old}})
	if got := r.d.endpoints.byID[7].slowStart.startedAt; got != confirmed {
		t.Errorf("estimated start %.0f, want %.0f", got, confirmed)
	}
}

// An executor that returns to the list with the same start was not restarted, and does not warm up again.
func TestRelistedExecutorWithSameStartIsWarm(t *testing.T) {
	other, update := ready(6, 0), ready(7, 0)
	update.StartedAt = 40000
	r := newRig(t, base(), other, update)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{other, update}})
	removed := update
	removed.Condition = Removed
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{removed}})
	if r.d.endpoints.byID[7] != nil {
		t.Fatal("removed executor 7 is still known")
	}
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
	if fraction := r.d.slowStart.capacityFraction(r.d.endpoints.byID[7]); fraction != 1 {
		t.Errorf("capacity fraction is %.2f, want 1", fraction)
	}
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{removed}})
	update.StartedAt++
	r.after(1000, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
	if fraction := r.d.slowStart.capacityFraction(r.d.endpoints.byID[7]); fraction == 1 {
		t.Error("capacity fraction of a restarted executor is 1, want slow start")
	}
}

// The starts of removed executors are purged after their TTL.
func TestStartsOfRemovedExecutorsExpire(t *testing.T) {
	r := newRig(t, base(), ready(1, 0))
	for round := range 4 {
		var added, removed []EndpointUpdate
		for i := range 2 * removedStartsPurgeThreshold {
			update := ready(uint32(1000*round+i+10), 0)
			update.StartedAt = 50000
			added = append(added, update)
			update.Condition = Removed
			removed = append(removed, update)
		}
		r.after(removedStartTTLMs, Event{Kind: EvEndpoints, Form: ListDelta, Updates: added})
		r.after(removedStartTTLMs, Event{Kind: EvEndpoints, Form: ListDelta, Updates: removed})
		if n := len(r.d.slowStart.removed); n > 3*removedStartsPurgeThreshold {
			t.Fatalf("starts of %d removed executors are kept", n)
		}
	}
}

// An executor that restarts while it is warming up gets a new budget, also where the restart is notified late and
// this node has used the old budget until then.
func TestRestartDuringSlowStartOpensNewBudget(t *testing.T) {
	update := ready(7, 0)
	r := newRig(t, base(), update)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: []EndpointUpdate{update}})
	update.StartedAt = r.now + 1000
	r.after(1001, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
	executor := r.d.endpoints.byID[7]
	for range 20 {
		r.after(100, Event{Kind: EvEndpoints, Form: ListDelta, Updates: nil})
		r.d.slowStartAllows(executor, 0)
	}
	if executor.slowStart.credit <= 0 {
		t.Fatalf("credit is %.0f ms after two seconds without sends, want more than 0", executor.slowStart.credit)
	}
	update.StartedAt = r.now + 5
	r.after(10)
	r.d.slowStartAllows(executor, 0)
	r.after(10, Event{Kind: EvEndpoints, Form: ListDelta, Updates: []EndpointUpdate{update}})
	if executor.slowStart.credit > 0 {
		t.Errorf("credit is %.0f ms after the restart, want at most 0", executor.slowStart.credit)
	}
}

// The tracked warming-up executors are the listed ones below full capacity, in list order, through starts, drains,
// removals and returns.
func TestWarmingUpExecutorsMatchList(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	first := fleet(300)
	r := newRig(t, base(), first...)
	r.step(Event{Kind: EvEndpoints, Form: ListSnapshot, Updates: first})
	updates := map[uint32]EndpointUpdate{}
	for _, update := range first {
		updates[update.Executor] = update
	}
	maxWarming := 0
	for range 400 {
		event := Event{Kind: EvEndpoints, Form: ListDelta, Updates: randomChange(rng, updates, r.now)}
		if rng.Intn(20) == 0 {
			event.Form, event.Updates = ListSnapshot, nil
			for id := uint32(0); id < 1000; id++ {
				if update, ok := updates[id]; ok && update.Condition != Removed {
					event.Updates = append(event.Updates, update)
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
			t.Fatalf("warming-up executors %v, want %v", got, want)
		}
		maxWarming = max(maxWarming, len(got))
	}
	if maxWarming < 10 {
		t.Errorf("at most %d executors warmed up at once, want at least 10", maxWarming)
	}
}
