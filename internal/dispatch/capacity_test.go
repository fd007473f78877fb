package dispatch

import (
	"math"
	"testing"
)

// noGossipNodes is how many nodes the fleets of these tests have.
const noGossipNodes = 100

// noGossipSettings are those of a fleet of 100 nodes and 200 executors, sized for its quotas, whose nodes tell one another
// nothing.
func noGossipSettings() Settings {
	s := base()
	s.Nodes, s.HedgingAllowed = noGossipNodes, false
	s.Fields = []Field{FieldPending, FieldFree}
	for i := range s.Tenants {
		s.Tenants[i].Quota = 1000 * s.Tenants[i].ReservedShare
	}
	return s
}

// Nodes that have just begun counted the free slots of the whole fleet as their own, each of them: under a burst they
// took in four times what all executors could run, and the jobs queued there for half a minute (austin-flags
// roll+mass).
func TestNewNodesShareFleetCapacity(t *testing.T) {
	const nodes, workers = noGossipNodes, 200
	sum := 0.0
	for i := range nodes {
		s := noGossipSettings()
		s.Node = i
		r := newRig(t, s, fleet(workers)...)
		r.step(request(1, 0, 0, 1))
		sum += r.d.capacity.slots
	}
	if least, most := 1.0*workers, 5.0*workers; sum < least || sum > most {
		t.Errorf(
			"%d nodes that have just begun count on %.0f slots of %d executors, want %.0f to %.0f",
			nodes,
			sum,
			workers,
			least,
			most,
		)
	}
}

// What runs of a node's jobs lets it take as many again, so that one with several times the mean of the traffic is not
// held to an even part; what queues takes that back, down to its part.
func TestCapacityGrowsWithStartedJobs(t *testing.T) {
	r := newRig(t, noGossipSettings(), fleet(200)...)
	id, running := uint32(0), 0.0
	for range 12 { // more come than it takes, and all that is sent starts at once
		var started []Event
		for range 20 {
			id++
			started = append(started, request(id, uint8(id%3), uint16(id%3), 1))
		}
		out := r.after(400, started...)
		started = started[:0]
		for _, a := range out {
			if a.Kind == ActSend {
				running++
				started = append(started, Event{Kind: EvNotification, Job: a.Job, Executor: a.Executor, Topic: NotificationStarted})
			}
		}
		r.after(10, started...)
	}
	part := r.d.fleetShare() * 200 * 5
	if running < 4*part {
		t.Errorf("%.0f jobs run after 5 s in which each that was sent started at once, want over %.0f", running, 4*part)
	}
	for id++; id%3 != 0; id++ {
	}
	r.after(400, request(id, 0, 0, 1))
	if r.d.capacity.slots < running || r.d.capacity.slots > 3*running+part {
		t.Errorf("capacity %.0f with %.0f jobs running", r.d.capacity.slots, running)
	}
}

// queueing is a fleet as one of many like nodes sees it: it runs as many of the node's jobs as are its part of all
// slots, in the order they were sent, and each answer tells of a full executor.
type queueingFleet struct {
	slots    int
	runs     float64 // ms of each job
	sent     []Action
	ends     []float64 // of those that have started
	resolved int
}

// events are the starts and ends that are due.
func (q *queueingFleet) events(now float64) (events []Event) {
	for q.resolved < len(q.ends) && now >= q.ends[q.resolved] {
		a := q.sent[q.resolved]
		e := outcome(a.Job, 0, a.Executor, Served, 4, float32(a.Job%7)/100)
		e.Final = true
		events = append(events, e)
		q.resolved++
	}
	for len(q.ends) < len(q.sent) && len(q.ends) < q.resolved+q.slots {
		a := q.sent[len(q.ends)]
		events = append(events, Event{Kind: EvNotification, Job: a.Job, Executor: a.Executor, Topic: NotificationStarted})
		q.ends = append(q.ends, now+q.runs)
	}
	return events
}

// Under a burst a node that has just begun took in all, for it saw none of the executors full; when its jobs queued
// there it counted on little more than what ran, and rejected all that came until they were through (austin-flags
// roll+mass: 57 to 68 of 288 nodes rejected all for 4 s, with lines such as "capacity 7 slots, 26 in flight, 0
// waiting"). It takes in its part.
func TestNewNodeServesDuringBurst(t *testing.T) {
	const nodes, workers, slots = noGossipNodes, 200, 5
	r := newRig(t, noGossipSettings(), fleet(workers)...)
	q := &queueingFleet{slots: workers * slots / nodes, runs: 2500}
	first, id, inARow, most, since := r.now, uint32(0), 0, 0, r.now
	longest := 0.0
	for r.now < first+20000 {
		events := q.events(r.now)
		came := 1 // 10 a second, where 4 can be served
		if r.now < first+1500 {
			came = 6
		}
		if math.Mod(r.now-first, 100) >= 10 {
			came = 0
		}
		for range came {
			id++
			e := request(id, uint8(id%3), uint16(id%3), 1)
			e.Flags, e.Work = 0, 0
			events = append(events, e)
		}
		for _, a := range r.after(10, events...) {
			switch a.Kind {
			case ActSend:
				q.sent = append(q.sent, a)
				inARow, since = 0, r.now
			case ActReject:
				inARow++
			}
		}
		if inARow >= 15 {
			longest = max(longest, r.now-since)
		}
		most = max(most, len(q.sent)-q.resolved)
	}
	if longest >= 4000 {
		t.Errorf("all were rejected for %.0f ms, want less than 4000", longest)
	}
	if most > 4*q.slots {
		t.Errorf("%d jobs out, where %d can run", most, q.slots)
	}
	if served := q.resolved; served < 60 {
		t.Errorf("%d jobs served of 80 that could be", served)
	}
}

// A node whose jobs all queue at executors that hang had its tokens out for as long as the clients waited, and rejected
// all that came until then (austin-flags roll+mass, one node in ten). It tries one more job after some runs, and no
// flood of them.
func TestStarvedNodeKeepsDispatching(t *testing.T) {
	r := newRig(t, noGossipSettings(), fleet(200)...)
	first, last, longest, sends := r.now, r.now, 0.0, 0
	hang := map[uint32]Action{}
	for id := uint32(1); r.now < first+20000; id++ {
		e := request(id, uint8(id%3), uint16(id%3), 1)
		e.Flags, e.Work = 0, 0
		events := []Event{e}
		if a, ok := hang[id-uint32(e.TimeLeft/100)]; ok { // its client's time is over
			events = append(events, outcome(a.Job, 0, a.Executor, TimedOut))
		}
		for _, a := range r.after(100, events...) {
			if a.Kind == ActSend {
				longest, last = max(longest, r.now-last), r.now
				sends++
				hang[a.Job] = a
			}
		}
	}
	longest = max(longest, r.now-last)
	if longest >= 4000 {
		t.Errorf("nothing was sent for %.0f ms", longest)
	}
	least := starvationThreshold * r.d.serviceTimes.meanSlotTime
	if float64(sends) > 20000/least+3*r.d.fleetShare()*200*initialSoftLimit+2 {
		t.Errorf("%d jobs sent that hang, one more each %.0f ms is meant", sends, least)
	}
}

// Where all know that the fleet is full or nearly so, a node counts on its part of the free slots and not on all of
// them, which every other sees as well. (With a zone lost 230 nodes admitted for the same few: half of what they
// admitted ended late.) In a fleet with free slots each counts on all of it.
func TestScarceSlotsAreShared(t *testing.T) {
	for _, x := range []struct{ theirs, least, most float64 }{{4, 1, 4}, {3.75, 1, 5}, {1, 100, 200}} {
		c := newReadyCluster(t, 40, 4, fleet(40)...)
		i := 0
		for i == c.aggregator() {
			i++
		}
		d := c.nodes[i]
		d.aggregatorClient.answeredAt, d.capacity.nextEstimate = d.now, 0
		for k, executor := range d.endpoints.listed {
			executor.load.slots = 4
			if d.aggregatorClient.peerSlots[executor.tag] = math.Floor(x.theirs); float64(
				k,
			)/40 < x.theirs-math.Floor(
				x.theirs,
			) {
				d.aggregatorClient.peerSlots[executor.tag]++
			}
		}
		if d.estimateCapacity(); d.capacity.slots < x.least || d.capacity.slots > x.most {
			t.Errorf(
				"with %v of 4 slots of each of 40 executors taken a node counts on %v, want %v to %v",
				x.theirs,
				d.capacity.slots,
				x.least,
				x.most,
			)
		}
	}
}

// Free slots behind a wide job at the head of a queue are nobody's (icdebae).
func TestNoFreeSlotsBehindQueuedWideJob(t *testing.T) {
	s := base()
	s.Fields = []Field{FieldFree, FieldBusy}
	r := newRig(t, s, ready(7, 0))
	r.step(request(1, 0, 0, 4)) // there are wide jobs
	r.d.endpoints.listed[0].load.slots = 4
	r.after(10, outcome(1, 0, 7, Served, 2, 6)) // 2 free of 4, yet 6 held: 4 are queued
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room > 0 {
		t.Errorf("free slots %v on an executor with a queue", room)
	}
	r.after(2000, request(2, 0, 0, 1))
	r.after(10, outcome(2, 0, 7, Served, 2, 2))
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room < 1 {
		t.Errorf("free slots %v on an executor with 2 free slots and no queue", room)
	}
}

// A job of ours that was not started says there is no free slots (icb5b2f).
func TestUnstartedJobMeansNoFreeSlot(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	r.step(request(1, 0, 0, 1))
	r.d.now += 400
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room > 0 {
		t.Errorf("free slots %v although our job waits there", room)
	}
	r.step(Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationStarted})
	if room := r.d.availableSlots(r.d.endpoints.listed[0]); room < 1 {
		t.Errorf("free slots %v after our job started", room)
	}
}

// Without a fresh report no node takes more than its blind part of an executor (i9622f9).
func TestShareWithoutReports(t *testing.T) {
	s := base()
	s.Nodes = 4
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.softLimit, executor.load.reportedAt = 4, 20, 1
	if room := r.d.availableSlots(executor); room != 2 {
		t.Errorf("free slots %v without a fresh report, want 2: twice an even part of 4 slots", room)
	}
}

func TestPeerLoadReducesAvailableSlots(t *testing.T) {
	s := base()
	s.Nodes, s.GossipAllowed = 2, true
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.freeSlots, executor.load.reportedAt = 4, 4, r.now
	r.step(Event{Kind: EvGossip, From: 1, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 3}})
	if room := r.d.availableSlots(executor); room != 1 {
		t.Errorf("free slots %v, want 1: the other node has 3 of 4 slots out", room)
	}
	r.step(Event{Kind: EvGossip, From: 1, Data: []byte{1}}, Event{Kind: EvGossip, From: 77, Data: []byte{1, 2, 3}},
		Event{Kind: EvGossip, From: 0, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 200}})
	if room := r.d.availableSlots(executor); room != 4 {
		t.Errorf("free slots %v, want 4: nothing out by the last good message", room)
	}
	r.after(60000, Event{Kind: EvTimer})
	if r.d.peerLoadsKnown() {
		t.Error("a node not heard of for a minute still counts as known")
	}
}

// Without reports a job wider than what executors were tried with is still sent (a copy of nordeste without any).
func TestWideJobWithoutReports(t *testing.T) {
	s := base()
	s.Telemetry, s.Fields, s.StartNotifications = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0), ready(8, 0), ready(9, 0))
	if got := r.step(request(1, 0, 0, 4)); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("held although no executor has anything of ours")
	}
}

// Where reports are older than runs are long, they fade to the mean: the executor last seen idle is not stormed
// and the one last seen full is not shunned for good (i9c57dc, ifd594e).
func TestReportsDecay(t *testing.T) {
	s := base()
	s.Nodes = 5
	r := newRig(t, s, ready(7, 0), ready(8, 0))
	idle, full := r.d.endpoints.listed[0], r.d.endpoints.listed[1]
	for _, executor := range r.d.endpoints.listed {
		executor.load.slots, executor.load.reportedAt = 4, r.now
	}
	idle.load.freeSlots, full.load.freeSlots = 4, -2
	r.d.capacity.meanPeerOccupancy, r.d.serviceTimes.meanRun, r.d.reports.interval = 0.5, 300, 600
	if a, b := r.d.decayedFreeSlots(idle), r.d.decayedFreeSlots(full); a < 3 || b > 0 {
		t.Errorf("fresh reports: %v and %v slots, want about 4 and -2", a, b)
	}
	r.d.now += 2000
	a, b := r.d.decayedFreeSlots(idle), r.d.decayedFreeSlots(full)
	if a > 3 || b < 1 {
		t.Errorf("old reports: %v and %v slots, want both near 2", a, b)
	}
	if a <= b {
		t.Error("an old report still says something")
	}
}

// What is held stays so for as long as the jobs that hold most of it run: a few long, wide jobs among many short
// ones make reports fade slowly (nordeste), jobs of one kind fast (ceara).
func TestMeanRunIsWeightedBySlots(t *testing.T) {
	run := func(long bool) float64 {
		r := newRig(t, base(), ready(7, 0))
		executor := r.d.endpoints.listed[0]
		for i := range 2000 {
			job, span := &job{slots: 1, work: 200}, 200.0
			if long && i%10 == 0 {
				job.slots, span = 4, 2000
			}
			r.now += 10
			r.d.now = r.now
			r.d.serviceTimes.learn(job, &attempt{executor: executor, startedAt: r.now - span})
		}
		return r.d.serviceTimes.meanRun
	}
	if got := run(false); math.Abs(got-200) > 20 {
		t.Errorf("jobs of 200 ms: held for %.0f ms", got)
	}
	if got := run(true); got < 1200 || got > 2400 { // 8,000 of 9,800 slot-ms are the long ones'
		t.Errorf("one long wide job in ten: held for %.0f ms, want about 1,670", got)
	}
}

// Without reports, and before any 'full', only late answers show that an executor queues what it is sent: what it is
// thought to take falls, once for all that was sent before, and grows again with jobs served in time.
func TestLateResponsesReduceSoftLimit(t *testing.T) {
	s := base()
	s.Telemetry, s.Fields, s.StartNotifications = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.byID[7]
	executor.load.softLimit = 8
	for id := uint32(1); id <= 6; id++ {
		e := request(id, 0, 0, 1)
		e.Work, e.Flags = 200, FlagWorkHint
		r.step(e)
	}
	if len(executor.inFlight.jobs) < 4 {
		t.Fatalf("%d out, want some", len(executor.inFlight.jobs))
	}
	before := executor.load.softLimit
	r.after(3000, outcome(1, 0, 7, Served), outcome(2, 0, 7, Served), outcome(3, 0, 7, Served))
	if want := softLimitBackoff * before; math.Abs(executor.load.softLimit-want) > 1e-9 {
		t.Errorf("takes %v after three late answers to one burst, want %v", executor.load.softLimit, want)
	}
	executor.load.softLimit = 2
	e := request(20, 0, 0, 1)
	e.Work, e.Flags = 200, FlagWorkHint
	r.after(10, outcome(4, 0, 7, Served), outcome(5, 0, 7, Served), outcome(6, 0, 7, Served))
	for len(executor.inFlight.jobs) > 0 {
		r.after(10, Event{Kind: EvTimer})
	}
	executor.load.softLimit = 1
	r.after(10, e)
	r.after(100, outcome(20, 0, 7, Served))
	if executor.load.softLimit <= 1 {
		t.Errorf("takes %v after an answer in time, want more", executor.load.softLimit)
	}
}

// Where those heard of are full, one not heard of is taken to be full too: small nodes sent blindly into a full
// fleet while large ones, who had reports, rejected nine of ten (ceara later big-2).
func TestExecutorsWithoutReportAreFullInFullFleet(t *testing.T) {
	s := base()
	s.Nodes = 100
	r := newRig(t, s, fleet(400)...)
	unheard := r.d.endpoints.listed[200]
	before := r.d.availableSlots(unheard)
	if before < 1 {
		t.Fatalf("free slots %v before anything is known, want 1 or more", before)
	}
	r.d.capacity.kindSlots[0] = 4
	for i, executor := range r.d.endpoints.listed[:40] {
		executor.load.slots = 4
		r.after(5)
		r.d.handleLoadReport(executor, []float32{float32(i%2) * 0.01})
	}
	if room := r.d.availableSlots(unheard); room >= 1 {
		t.Errorf("free slots %v at an executor not heard of while 40 of its kind are full, want none", room)
	}
	for i, executor := range r.d.endpoints.listed[40:120] {
		executor.load.slots = 4
		r.after(20)
		r.d.handleLoadReport(executor, []float32{4 - float32(i%2)*0.01})
	}
	if room := r.d.availableSlots(unheard); room < 1 {
		t.Errorf("free slots %v though those heard of lately are idle, want 1 or more", room)
	}
}

// A live weight is a reason to stay away from an executor, not to go to one, and none where all hold many: all
// nodes see the same weights, late (recife later).
func TestLowLiveWeightExcludesExecutor(t *testing.T) {
	s := base()
	s.Nodes, s.LiveWeights = 100, true
	weigh := func(r *rig, scale func(i int) float64) {
		for range 12 {
			rows := fleet(30)
			for i := range rows {
				rows[i].Weight = scale(i)
			}
			r.after(500, Event{Kind: EvEndpoints, Form: ListDelta, Updates: rows})
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
		t.Errorf("free slots %v at an executor told to hold four requests a core, want none", room)
	}
	if room := r.d.availableSlots(r.d.endpoints.byID[101]); room != idle {
		t.Errorf("free slots %v at another, want %v as without weights", room, idle)
	}
	weigh(r, func(int) float64 { return 0.2 })
	if room := r.d.availableSlots(r.d.endpoints.byID[100]); room != idle {
		t.Errorf("free slots %v where all hold as many, want %v as without weights", room, idle)
	}
}

// Each of many nodes counted the free slots of all executors it had not heard of as its own, and so rejected nothing
// while jobs queued at executors for longer than they ran (recife later at full size). A node counts on its part, and
// on more only for what runs: as many slots again, and none for what queues.
func TestQueuedJobsBoundCapacity(t *testing.T) {
	s := base()
	s.Nodes, s.HedgingAllowed = 100, false
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
		r.step(Event{Kind: EvNotification, Job: id, Topic: NotificationStarted})
	}
	r.after(4000, request(102, 0, 0, 1))
	if want := 2.0*part - 1; r.d.capacity.slots != want { // job 101 queues
		t.Errorf("capacity %v while %v jobs run and one queues, want %v", r.d.capacity.slots, part, want)
	}
}
