package dispatch

import (
	"testing"
)

// Tests of what large fleets brought: many workers, each node with a small part of the traffic.

// fleet lists n workers of one kind, ids from 100 on.
func fleet(n int) []Row {
	rows := make([]Row, n)
	for i := range rows {
		rows[i] = ready(uint32(100+i), 0)
	}
	return rows
}

// Of a large fleet no more workers are looked at than have a reason and some drawn ones, whatever its size: else
// a node needs more CPU than it has, and all nodes storm the same roomiest worker (recife later big-1).
func TestLargeFleetIsSampled(t *testing.T) {
	for _, n := range []int{fullScanLimit, 400} {
		s := base()
		s.Balancers = 100
		r := newRig(t, s, fleet(n)...)
		r.step(request(1, 0, 0, 1))
		most := n
		if n > fullScanLimit {
			most = sampledExecutors + 2*len(r.d.reports.recentReporters)
		}
		if got := len(r.d.placement.inspected); got == 0 || got > most {
			t.Errorf("%d workers looked at of %d, want 1 to %d", got, n, most)
		}
		if len(actionsOf(r.last, ActSend, 1)) != 1 {
			t.Errorf("not sent although all of %d workers are idle", n)
		}
	}
}

// The worker that served us last has an open connection and is always looked at (nordeste later: handshakes).
func TestExecutorUsedLastIsInspected(t *testing.T) {
	s := base()
	s.Balancers, s.Fees.Handshake, s.Telemetry = 100, 0.5, ReportProbes
	r := newRig(t, s, fleet(400)...)
	sent := actionsOf(r.step(request(1, 0, 0, 1)), ActSend, 1)
	if len(sent) != 1 {
		t.Fatal("not sent")
	}
	first := sent[0].Worker
	r.after(100, outcome(1, 0, first, Served))
	for id := uint32(2); id < 12; id++ {
		got := actionsOf(r.after(100, request(id, 0, 0, 1)), ActSend, id)
		if len(got) != 1 || got[0].Worker != first {
			t.Fatalf("job %d: %v, want one send to %d, where a connection is open", id, got, first)
		}
		r.after(50, outcome(id, 0, first, Served))
	}
}

// Where those heard of are full, one not heard of is taken to be full too: small nodes sent blindly into a full
// fleet while large ones, who had reports, refused nine of ten (ceara later big-2).
func TestFullFleetIsFullWithoutReports(t *testing.T) {
	s := base()
	s.Balancers = 100
	r := newRig(t, s, fleet(400)...)
	unheard := r.d.endpoints.listed[200]
	before := r.d.availableSlots(unheard)
	if before < 1 {
		t.Fatalf("room %v before anything is known, want 1 or more", before)
	}
	r.d.capacity.kindSlots[0] = 4
	for i, executor := range r.d.endpoints.listed[:40] {
		executor.load.slots = 4
		r.after(5)
		r.d.handleLoadReport(executor, []float32{float32(i%2) * 0.01})
	}
	if room := r.d.availableSlots(unheard); room >= 1 {
		t.Errorf("room %v at a worker not heard of while 40 of its kind are full, want none", room)
	}
	for i, executor := range r.d.endpoints.listed[40:120] {
		executor.load.slots = 4
		r.after(20)
		r.d.handleLoadReport(executor, []float32{4 - float32(i%2)*0.01})
	}
	if room := r.d.availableSlots(unheard); room < 1 {
		t.Errorf("room %v though those heard of lately are idle, want 1 or more", room)
	}
}

// A node that takes all for full and has nothing out hears nothing and would stay so for good: it queues a job
// where it has none, however small its part of the fleet is (ceara later big-2).
func TestStarvedNodeOfManySpeculates(t *testing.T) {
	s := base()
	s.Balancers = 200
	r := newRig(t, s, fleet(200)...)
	r.d.capacity.kindSlots[0] = 4
	for i, executor := range r.d.endpoints.listed {
		executor.load.slots = 4
		r.d.handleLoadReport(executor, []float32{float32(i%2) * 0.01})
		executor.load.freeSlots = -3
	}
	if got := r.step(request(1, 0, 0, 1)); len(actionsOf(got, ActSend, 1)) != 0 {
		t.Fatal("sent at once although no worker has room")
	}
	for range 20 {
		if len(actionsOf(r.after(40, Event{Kind: EvTimer}), ActSend, 1)) == 1 {
			return
		}
	}
	t.Error("held for good although the node has nothing of its part out")
}

// Reports that tell how long jobs run, waits left out, set the speeds: of a worker that always queues our own
// runs tell nothing, and slow ones were overrun (ceara later big-2).
func TestReportedServiceTimesSetSpeeds(t *testing.T) {
	s := base()
	s.TellsStart = false
	s.Fields = []Field{FieldLatency, FieldFree}
	slow := ready(8, 0)
	slow.Kind = 1
	r := newRig(t, s, ready(7, 0), slow)
	for i := range 30 {
		r.after(500)
		r.d.handleLoadReport(r.d.endpoints.byID[7], []float32{200 + float32(i), 2})
		r.d.handleLoadReport(r.d.endpoints.byID[8], []float32{800 + float32(i), 2})
	}
	if fast, slow := r.d.serviceTimes.kindSpeed(0), r.d.serviceTimes.kindSpeed(1); fast < 2*slow {
		t.Errorf("speeds %.2f and %.2f, want the first over twice the second", fast, slow)
	}
}

// A live weight is a reason to stay away from a worker, not to go to one, and none where all hold many: all
// nodes see the same weights, late (recife later).
func TestLiveWeightShutsOut(t *testing.T) {
	s := base()
	s.Balancers, s.LiveWeights = 100, true
	weigh := func(r *rig, scale func(i int) float64) {
		for range 12 {
			rows := fleet(30)
			for i := range rows {
				rows[i].Scale = scale(i)
			}
			r.after(500, Event{Kind: EvList, Form: ListDelta, Rows: rows})
		}
	}
	r := newRig(t, s, fleet(30)...)
	idle := r.d.availableSlots(r.d.endpoints.byID[101])
	weigh(r, func(i int) float64 {
		if i == 0 {
			return 0.2 // four requests a core
		}
		return 0.8
	})
	if room := r.d.availableSlots(r.d.endpoints.byID[100]); room > 0 {
		t.Errorf("room %v at a worker told to hold four requests a core, want none", room)
	}
	if room := r.d.availableSlots(r.d.endpoints.byID[101]); room != idle {
		t.Errorf("room %v at another, want %v as without weights", room, idle)
	}
	weigh(r, func(int) float64 { return 0.2 })
	if room := r.d.availableSlots(r.d.endpoints.byID[100]); room != idle {
		t.Errorf("room %v where all hold as many, want %v as without weights", room, idle)
	}
}

// Messages that the bytes allow only when what they told is long over mislead: half of the sends of nodes that
// trusted them were turned away as full (recife later big-2). Few nodes tell, many do not.
func TestManyNodesDoNotBroadcast(t *testing.T) {
	for _, c := range []struct {
		nodes int
		tells bool
	}{{3, true}, {150, false}} {
		s := base()
		s.Balancers, s.MayTell = c.nodes, true
		for i := range s.Tenants {
			s.Tenants[i].Quota = 4 * float64(c.nodes)
		}
		r := newRig(t, s, fleet(40)...)
		told := false
		for id := uint32(1); id <= 20; id++ {
			for _, a := range r.after(100, request(id, 0, 0, 1)) {
				told = told || a.Kind == ActTell
			}
		}
		if told != c.tells {
			t.Errorf("%d nodes: told %v, want %v", c.nodes, told, c.tells)
		}
	}
}

// A job that waits for a home of its key does not look at a large fleet each tick, and still gets elsewhere when
// it has waited its part (recife later: CPU).
func TestCandidatesOnlyWhileWaitingForOne(t *testing.T) {
	s := base()
	s.Balancers = 100
	r := newRig(t, s, fleet(100)...)
	j := request(1, 0, 0, 1)
	j.Key = 77
	r.d.affinity.keyTotal = keyCountWindow // the key is a rare one
	probe := &job{key: 77, slots: 1, work: 200}
	r.d.findAffinityCandidates(probe)
	for _, executor := range probe.candidates {
		executor.load.rejectedUntil = r.now + 1e6
	}
	if got := actionsOf(r.step(j), ActSend, 1); len(got) != 0 {
		t.Fatal("sent astray at once")
	}
	if n := len(r.d.placement.inspected); n > len(probe.candidates) {
		t.Errorf("%d workers looked at while it waits for one of %d homes", n, len(probe.candidates))
	}
	for range 30 {
		if len(actionsOf(r.after(40, Event{Kind: EvTimer}), ActSend, 1)) == 1 {
			return
		}
	}
	t.Error("never sent elsewhere although all others are idle")
}

// Probes of a large fleet asked in turn are old when a job comes, and a node with little traffic pays for many it
// never uses (i601dc3: 11 for each request): some are asked for each job, which waits for them, but not for long.
func TestLargeFleetIsCheckedForEachJob(t *testing.T) {
	s := base()
	s.Balancers, s.MayProbe, s.Telemetry = 100, true, ReportProbes
	r := newRig(t, s, fleet(200)...)
	probes := func(actions []Action) (ids []uint32) {
		for _, a := range actions {
			if a.Kind == ActProbe {
				ids = append(ids, a.Worker)
			}
		}
		return ids
	}
	for range 100 {
		if got := probes(r.after(40, Event{Kind: EvTimer})); len(got) > 0 {
			t.Fatalf("%d probes without a job", len(got))
		}
	}
	asked := probes(r.after(1, request(1, 0, 0, 1)))
	if len(asked) == 0 || len(asked) > maxChecksPerRequest {
		t.Fatalf("%d probes for a job, want 1 to %d", len(asked), maxChecksPerRequest)
	}
	if len(actionsOf(r.last, ActSend, 1)) != 0 {
		t.Fatal("sent before its probes were back")
	}
	for i, id := range asked {
		free := float32(0)
		if i == 1 {
			free = 4
		}
		r.after(1, Event{Kind: EvProbed, Worker: id, Outcome: Served, Report: []float32{free}})
	}
	if got := actionsOf(r.last, ActSend, 1); len(got) != 1 || got[0].Worker != asked[1] {
		t.Errorf("%v, want one send to %d, which told of room", got, asked[1])
	}
	asked = probes(r.after(1, request(2, 0, 0, 1)))
	if len(asked) == 0 {
		t.Fatal("no probes for the second job")
	}
	if got := actionsOf(r.after(100, Event{Kind: EvTimer}), ActSend, 2); len(got) != 1 {
		t.Error("held for good for probes that do not come back")
	}
}

// A job that queues tells nothing. Where jobs usually wait long for their start, one that was not started is no
// sign that its worker stands still: copies of queued jobs queue too (recife later at full size: 3,000 of 17,000
// sends were copies). A started one that tells no progress still is, and so is a wait far past the usual.
func TestQueuedJobIsNoSignOfAnUnresponsiveExecutor(t *testing.T) {
	for _, c := range []struct {
		name    string
		wait    float64 // that jobs usually have before they start
		started bool
		after   float64
		silent  bool
	}{
		{"queued where waits are long", 2000, false, 5000, false},
		{"queued for far longer than usual", 2000, false, 20000, true},
		{"queued where none wait", 0, false, 5000, true},
		{"started, no progress", 2000, true, 5000, true},
	} {
		s := base()
		for i := range s.Classes {
			s.Classes[i].Aim, s.Classes[i].Deadline = 20000, 60000
		}
		r := newRig(t, s, ready(7, 0), ready(8, 0))
		executor := r.d.endpoints.byID[7]
		for i := range uint32(200) {
			job := request(100+i, 0, 0, 1)
			job.TimeLeft = 60000
			sent := actionsOf(r.after(10, job), ActSend, 100+i)
			r.after(c.wait, Event{Kind: EvNote, Job: 100 + i, Topic: NoteStarted})
			r.after(10, outcome(100+i, 0, sent[0].Worker, Served))
		}
		r.d.endpoints.byID[8].outlier.ejectedUntil = r.now + 1 // so that the next goes to the first
		job := request(1, 0, 0, 1)
		job.TimeLeft = 60000
		if len(actionsOf(r.step(job), ActSend, 1)) != 1 || executor.inFlight.slots != 1 {
			t.Fatalf("%s: not sent to the first worker", c.name)
		}
		if c.started {
			r.after(1, Event{Kind: EvNote, Job: 1, Topic: NoteStarted})
		}
		copied := false
		for range int(c.after / 10) {
			r.after(10, Event{Kind: EvTimer})
			copied = copied || len(actionsOf(r.last, ActSend, 1)) > 0
		}
		if executor.outlier.unresponsive != c.silent || copied != c.started {
			t.Errorf(
				"%s: silent %v, copied %v, want %v, %v",
				c.name,
				executor.outlier.unresponsive,
				copied,
				c.silent,
				c.started,
			)
		}
	}
}

// Each of many nodes counted the free slots of all workers it had not heard of as its own, and so refused nothing
// while jobs queued at workers for longer than they ran (recife later at full size). A node counts on its part, and
// on more only for what runs: as many slots again, and none for what queues.
func TestQueuedJobsBoundCapacity(t *testing.T) {
	s := base()
	s.Balancers, s.MayDuplicate = 100, false
	r := newRig(t, s, fleet(400)...)
	const part = 400 * initialSoftLimit / 100
	for id := uint32(1); id <= part; id++ {
		r.step(request(id, 0, uint16(id%3), 1))
		if n := len(actionsOf(r.last, ActSend, id)); n != 1 || r.d.capacity.slots != part {
			t.Fatalf("job %d was sent %d times, capacity %v: want once and %v, the even part", id, n, r.d.capacity.slots, part)
		}
	}
	r.after(3000, request(101, 0, 0, 1))
	if r.d.capacity.slots != part {
		t.Errorf("capacity %v while all jobs out are queued, want the even part, %v", r.d.capacity.slots, part)
	}
	for id := uint32(1); id <= part; id++ {
		r.step(Event{Kind: EvNote, Job: id, Topic: NoteStarted})
	}
	r.after(4000, request(102, 0, 0, 1))
	if want := 2.0*part - 1; r.d.capacity.slots != want { // job 101 queues
		t.Errorf("capacity %v while %v jobs run and one queues, want %v", r.d.capacity.slots, part, want)
	}
}

// Weights are told for all workers again and again; when a worker joins, those of the others stay as last told.
func TestWeightsOutlastListChanges(t *testing.T) {
	s := base()
	s.Balancers, s.LiveWeights = 100, true
	r := newRig(t, s, fleet(30)...)
	rows := fleet(30)
	for i := range rows {
		rows[i].Scale = 0.25
	}
	r.after(500, Event{Kind: EvList, Form: ListDelta, Rows: rows})
	r.after(500, Event{Kind: EvList, Form: ListDelta, Rows: []Row{ready(500, 0)}})
	for _, executor := range r.d.endpoints.listed {
		want := 3.0
		if executor.id == 500 {
			want = 0
		}
		if got := r.d.endpoints.rows[executor.endpoint.position].liveLoad; got != want {
			t.Fatalf("worker %d holds %v requests a core by its weight, want %v", executor.id, got, want)
		}
	}
}

// A node of many sees few requests: were a key's share taken of more than it has seen, hot keys would stay on two or
// three homes for a minute, as at all other nodes, and storm them (recife later h238d8e: busiest 9 times the mean).
func TestHotKeysSpreadSoonAtNodesWithLittleTraffic(t *testing.T) {
	s := base()
	s.Balancers = 150
	r := newRig(t, s, fleet(150)...)
	for id := uint32(1); id <= 40; id++ {
		job := request(id, 0, 0, 1)
		job.Key = uint64(1000 + id)
		if id%4 == 0 {
			job.Key = 7
		}
		r.after(200, job)
		if sent := actionsOf(r.last, ActSend, id); len(sent) == 1 && id < 39 {
			r.after(10, outcome(id, 0, sent[0].Worker, Served))
		}
	}
	hot, rare := len(r.d.jobs.byID[40].candidates), len(r.d.jobs.byID[39].candidates)
	if hot < 25 || rare > 5 {
		t.Errorf(
			"%d homes of a key that every fourth job of 40 asks for, %d of one asked for once; want 25 at least, 5 at most",
			hot,
			rare,
		)
	}
}

// The part that one of 80 nodes has of a cold worker's budget is less than a job: held to it exactly, none sent
// anything until the worker was warm, and replaced workers stood idle beside queues (join+vast, zone+vast). All
// together must use the budget, and keep it.
func TestManyNodesShareASlowStart(t *testing.T) {
	s := base()
	s.Balancers = 80
	nodes := make([]*Dispatcher, s.Balancers)
	now := 100000.0
	cold := ready(7, 0)
	cold.Born = now
	for i := range nodes {
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		d.Step(now, []Event{{Kind: EvList, Form: ListCached, Rows: []Row{cold}}}, nil)
		d.capacity.kindSlots[0] = 4
		nodes[i] = d
	}
	var sends []float64 // each a job of 300 ms
	out := make([][]Event, len(nodes))
	for id := uint32(1); now < 100000+s.WarmWithin-20; id++ {
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
		for k := len(sends) - 1; k >= 0 && now-sends[k] <= s.Fall; k-- {
			sum += 300
		}
		share := s.ColdFrom + (1-s.ColdFrom)*(now-100000)/s.WarmWithin
		if most := s.FallMultiple * share * 4 * s.Fall; sum > most {
			t.Fatalf("all nodes sent %.0f ms of work in a window at %.0f, want %.0f at most", sum, now, most)
		}
	}
	// Half of what the safety leaves of the budget: 0.6 x 4 x 0.65 x 4 slots over 9 s.
	if got, want := 300*float64(len(sends)), slowStartSafety*s.FallMultiple*0.65*4*s.WarmWithin/2; got < want {
		t.Errorf("all nodes sent %.0f ms of work while it warmed, want %.0f", got, want)
	}
}

// Where many nodes are refused by an overbooked discovery, their asks spread out and thin out: retries at a fixed pace
// kept it overbooked to the end of the day (herd+vast: 69 of 80 nodes never had a watch again).
func TestManyNodesPollApart(t *testing.T) {
	s := base()
	s.Balancers, s.Ask = 80, true
	asked := map[int]int{} // by half second
	for i := range s.Balancers {
		s.Me = i
		d, err := New(s, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		now, events := 100000.0, []Event{{Kind: EvList, Form: ListCached, Rows: fleet(3)}}
		for ; now < 140000; now += 20 {
			acts := d.Step(now, events, nil)
			events = events[:0]
			for _, a := range acts {
				switch a.Kind {
				case ActTimer:
					events = append(events, Event{Kind: EvTimer, Token: a.Token})
				case ActWatch:
					asked[int(now-100000)/500]++
					events = append(events, Event{Kind: EvList, Form: ListFailed})
				}
			}
		}
	}
	late := 0
	for k, n := range asked {
		if n > 25 {
			t.Errorf("%d of 80 nodes ask in half a second %d ms after they all started, want 25 at most", n, 500*k)
		}
		if k >= 40 {
			late += n
		}
	}
	if per := float64(late) / 20; per > 25 || per < 80*20/s.AskWithin {
		t.Errorf(
			"%.0f asks a second after 20 s of refusals, want no more than 25 and one of each node in %.0f ms",
			per,
			s.AskWithin,
		)
	}
}
