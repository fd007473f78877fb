package dispatch

import (
	"math"
	"testing"
)

// noGossipNodes is the number of nodes of a cluster with noGossipSettings.
const noGossipNodes = 100

// noGossipSettings returns the settings of a cluster of 100 nodes and 200 executors, sized for its quotas, whose nodes
// do not exchange their loads.
func noGossipSettings() Settings {
	s := base()
	s.Nodes, s.HedgingAllowed = noGossipNodes, false
	s.ReportFields = []ReportField{FieldPending, FieldFree}
	for i := range s.Tenants {
		s.Tenants[i].Quota = 1000 * s.Tenants[i].ReservedShare
	}
	return s
}

// The nodes of a cluster that have just started count together on about the slots of the fleet. If each counted the
// free slots of the whole fleet as its own, they would admit four times what the executors can run in a burst, and
// jobs would queue at executors for half a minute.
func TestNewNodesShareFleetCapacity(t *testing.T) {
	const nodes, executors = noGossipNodes, 200
	sum := 0.0
	for i := range nodes {
		s := noGossipSettings()
		s.Node = i
		r := newRig(t, s, fleet(executors)...)
		r.step(request(1, 0, 0, 1))
		sum += r.d.capacity.slots
	}
	if low, high := 1.0*executors, 5.0*executors; sum < low || sum > high {
		t.Errorf(
			"%d nodes that have just started count on %.0f slots of %d executors, want %.0f to %.0f",
			nodes,
			sum,
			executors,
			low,
			high,
		)
	}
}

// Running jobs let a node admit as many again, so that a node with several times the mean traffic is not limited to an
// even share. Queued jobs reduce this again, down to the node's share.
func TestCapacityGrowsWithStartedJobs(t *testing.T) {
	r := newRig(t, noGossipSettings(), fleet(200)...)
	id, running := uint32(0), 0.0
	for range 12 { // more jobs arrive than it admits, and every job that is sent starts at once
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
				started = append(started,
					Event{Kind: EvNotification, Job: a.Job, Executor: a.Executor, Topic: NotificationStarted})
			}
		}
		r.after(10, started...)
	}
	share := r.d.fleetShare() * 200 * 5
	if running < 4*share {
		t.Errorf("got %.0f running jobs after 5 s in which each job started at once, want over %.0f", running, 4*share)
	}
	for id++; id%3 != 0; id++ {
	}
	r.after(400, request(id, 0, 0, 1))
	if r.d.capacity.slots < running || r.d.capacity.slots > 3*running+share {
		t.Errorf("got capacity %.0f with %.0f running jobs", r.d.capacity.slots, running)
	}
}

// queueingFleet simulates a fleet as one of many equal nodes observes it: it runs as many of the node's jobs as the
// node's share of all slots, in the order in which they were sent, and each load report shows a full executor.
type queueingFleet struct {
	slots    int
	runMs    float64 // run time of each job
	sent     []Action
	ends     []float64 // end times of the jobs that have started
	resolved int
}

// events returns the start notifications and outcomes that are due.
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
		q.ends = append(q.ends, now+q.runMs)
	}
	return events
}

// During a burst, a node that has just started admits its share. If it admitted everything, because it has not yet
// seen a full executor, its jobs would queue at executors. It would then count on little more than its running jobs
// and reject all requests until those are done: 57 to 68 of 288 nodes rejected everything for 4 s, with a capacity of
// 7 slots and 26 in flight.
func TestNewNodeServesDuringBurst(t *testing.T) {
	const nodes, executors, slots = noGossipNodes, 200, 5
	r := newRig(t, noGossipSettings(), fleet(executors)...)
	q := &queueingFleet{slots: executors * slots / nodes, runMs: 2500}
	first, id, consecutive, maxInFlight, since := r.now, uint32(0), 0, 0, r.now
	longest := 0.0
	for r.now < first+20000 {
		events := q.events(r.now)
		arrivals := 1 // 10 per second, of which 4 can be served
		if r.now < first+1500 {
			arrivals = 6
		}
		if math.Mod(r.now-first, 100) >= 10 {
			arrivals = 0
		}
		for range arrivals {
			id++
			e := request(id, uint8(id%3), uint16(id%3), 1)
			e.Flags, e.Work = 0, 0
			events = append(events, e)
		}
		for _, a := range r.after(10, events...) {
			switch a.Kind {
			case ActSend:
				q.sent = append(q.sent, a)
				consecutive, since = 0, r.now
			case ActReject:
				consecutive++
			}
		}
		if consecutive >= 15 {
			longest = max(longest, r.now-since)
		}
		maxInFlight = max(maxInFlight, len(q.sent)-q.resolved)
	}
	if longest >= 4000 {
		t.Errorf("all requests were rejected for %.0f ms, want less than 4000", longest)
	}
	if maxInFlight > 4*q.slots {
		t.Errorf("got up to %d jobs in flight, of which %d can run", maxInFlight, q.slots)
	}
	if served := q.resolved; served < 60 {
		t.Errorf("got %d jobs served, want at least 60 of the 80 that could be", served)
	}
}

// A node whose jobs all wait at hanging executors sends one more job at intervals, but no flood. Otherwise its slots
// would stay in use until the clients give up, and it would reject all requests until then, as one node in ten did.
func TestStarvedNodeKeepsDispatching(t *testing.T) {
	r := newRig(t, noGossipSettings(), fleet(200)...)
	first, last, longest, sends := r.now, r.now, 0.0, 0
	hanging := map[uint32]Action{}
	for id := uint32(1); r.now < first+20000; id++ {
		e := request(id, uint8(id%3), uint16(id%3), 1)
		e.Flags, e.Work = 0, 0
		events := []Event{e}
		if a, ok := hanging[id-uint32(e.TimeLeft/100)]; ok { // its client's deadline has passed
			events = append(events, outcome(a.Job, 0, a.Executor, TimedOut))
		}
		for _, a := range r.after(100, events...) {
			if a.Kind == ActSend {
				longest, last = max(longest, r.now-last), r.now
				sends++
				hanging[a.Job] = a
			}
		}
	}
	longest = max(longest, r.now-last)
	if longest >= 4000 {
		t.Errorf("nothing was sent for %.0f ms", longest)
	}
	interval := starvationThreshold * r.d.serviceTimes.meanSlotTime
	if float64(sends) > 20000/interval+3*r.d.fleetShare()*200*initialSoftLimit+2 {
		t.Errorf("got %d sends to hanging executors, want about one per %.0f ms", sends, interval)
	}
}

// When all nodes know that the fleet is almost full, each counts only on its share of the free slots, because all
// others see the same ones. Without this, after the loss of a zone, 230 nodes admitted jobs for the same few slots,
// and half of these jobs ended late. In a fleet with many free slots each node counts on all of them.
func TestScarceSlotsAreShared(t *testing.T) {
	for _, x := range []struct{ peerSlots, low, high float64 }{{4, 1, 4}, {3.75, 1, 5}, {1, 100, 200}} {
		c := newReadyCluster(t, 40, 4, fleet(40)...)
		i := 0
		for i == c.aggregator() {
			i++
		}
		d := c.nodes[i]
		d.aggregatorClient.answeredAt, d.capacity.nextEstimate = d.now, 0
		for k, executor := range d.endpoints.listed {
			executor.load.slots = 4
			if d.aggregatorClient.peerSlots[executor.tag] = math.Floor(x.peerSlots); float64(
				k,
			)/40 < x.peerSlots-math.Floor(
				x.peerSlots,
			) {
				d.aggregatorClient.peerSlots[executor.tag]++
			}
		}
		if d.estimateCapacity(); d.capacity.slots < x.low || d.capacity.slots > x.high {
			t.Errorf(
				"with %v of 4 slots of each of 40 executors in use, a node counts on %v slots, want %v to %v",
				x.peerSlots,
				d.capacity.slots,
				x.low,
				x.high,
			)
		}
	}
}

// Slots that are free only because a wide job at the head of an executor's queue does not fit are not available.
func TestNoFreeSlotsBehindQueuedWideJob(t *testing.T) {
	s := base()
	s.ReportFields = []ReportField{FieldFree, FieldBusy}
	r := newRig(t, s, ready(7, 0))
	r.step(request(1, 0, 0, 4)) // there are wide jobs
	r.d.endpoints.listed[0].load.slots = 4
	r.after(10, outcome(1, 0, 7, Served, 2, 6)) // 2 free of 4, yet 6 held: 4 are queued
	if available := r.d.availableSlots(r.d.endpoints.listed[0]); available > 0 {
		t.Errorf("got %v available slots at an executor with a queue, want none", available)
	}
	r.after(2000, request(2, 0, 0, 1))
	r.after(10, outcome(2, 0, 7, Served, 2, 2))
	if available := r.d.availableSlots(r.d.endpoints.listed[0]); available < 1 {
		t.Errorf("got %v available slots at an executor with 2 free slots and no queue, want 1 or more", available)
	}
}

// While an attempt of this node has not started in time, its executor has no available slots, whatever it reports.
func TestUnstartedJobMeansNoFreeSlot(t *testing.T) {
	r := newRig(t, base(), ready(7, 0))
	r.d.endpoints.listed[0].load.freeSlots, r.d.endpoints.listed[0].load.reportedAt = 4, r.now
	r.step(request(1, 0, 0, 1))
	r.d.now += 400
	if available := r.d.availableSlots(r.d.endpoints.listed[0]); available > 0 {
		t.Errorf("got %v available slots while a job of this node waits there, want none", available)
	}
	r.step(Event{Kind: EvNotification, Job: 1, Executor: 7, Topic: NotificationStarted})
	if available := r.d.availableSlots(r.d.endpoints.listed[0]); available < 1 {
		t.Errorf("got %v available slots after the job started, want 1 or more", available)
	}
}

// Without a fresh load report, a node uses at most twice its even share of an executor's slots.
func TestShareWithoutReports(t *testing.T) {
	s := base()
	s.Nodes = 4
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.softLimit, executor.load.reportedAt = 4, 20, 1
	if available := r.d.availableSlots(executor); available != 2 {
		t.Errorf("got %v available slots without a fresh report, want 2: twice an even share of 4 slots", available)
	}
}

func TestPeerLoadReducesAvailableSlots(t *testing.T) {
	s := base()
	s.Nodes, s.GossipAllowed = 2, true
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.listed[0]
	executor.load.slots, executor.load.freeSlots, executor.load.reportedAt = 4, 4, r.now
	r.step(Event{Kind: EvGossip, From: 1, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 3}})
	if available := r.d.availableSlots(executor); available != 1 {
		t.Errorf("got %v available slots, want 1: the other node holds 3 of 4", available)
	}
	r.step(Event{Kind: EvGossip, From: 1, Data: []byte{1}}, Event{Kind: EvGossip, From: 77, Data: []byte{1, 2, 3}},
		Event{Kind: EvGossip, From: 0, Data: []byte{byte(executor.tag >> 8), byte(executor.tag), 200}})
	if available := r.d.availableSlots(executor); available != 4 {
		t.Errorf("got %v available slots, want 4: by its last valid message the other node holds none", available)
	}
	r.after(60000, Event{Kind: EvTimer})
	if r.d.peerLoadsKnown() {
		t.Error("the load of a node without messages for a minute still counts as known")
	}
}

// Without load reports, a job that is wider than the initial soft limit is sent nevertheless.
func TestWideJobWithoutReports(t *testing.T) {
	s := base()
	s.Telemetry, s.ReportFields, s.StartNotifications = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0), ready(8, 0), ready(9, 0))
	if got := r.step(request(1, 0, 0, 4)); len(actionsOf(got, ActSend, 1)) != 1 {
		t.Error("job 1 was not sent although no executor holds a job of this node")
	}
}

// Load reports that are older than a run decay to the mean: an executor that was last reported idle is not overloaded,
// and one that was last reported full is not avoided forever.
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
		t.Errorf("got %v and %v free slots with fresh reports, want about 4 and -2", a, b)
	}
	r.d.now += 2000
	a, b := r.d.decayedFreeSlots(idle), r.d.decayedFreeSlots(full)
	if a > 3 || b < 1 {
		t.Errorf("got %v and %v free slots with old reports, want both near 2", a, b)
	}
	if a <= b {
		t.Error("the executor that was last reported idle does not have more free slots than the full one")
	}
}

// meanRun, by which load reports decay, is the mean run weighted by slot-time: a few long, wide jobs among many short
// ones make reports decay slowly, because these jobs hold most of the slots; short jobs alone make them decay fast.
func TestMeanRunIsWeightedBySlots(t *testing.T) {
	meanRun := func(long bool) float64 {
		r := newRig(t, base(), ready(7, 0))
		executor := r.d.endpoints.listed[0]
		for i := range 2000 {
			job, runMs := &job{slots: 1, work: 200}, 200.0
			if long && i%10 == 0 {
				job.slots, runMs = 4, 2000
			}
			r.now += 10
			r.d.now = r.now
			r.d.serviceTimes.learn(job, &attempt{executor: executor, startedAt: r.now - runMs})
		}
		return r.d.serviceTimes.meanRun
	}
	if got := meanRun(false); math.Abs(got-200) > 20 {
		t.Errorf("got a mean run of %.0f ms for jobs of 200 ms, want about 200", got)
	}
	if got := meanRun(true); got < 1200 || got > 2400 { // the long jobs have 8,000 of 9,800 slot-ms
		t.Errorf("got a mean run of %.0f ms with one long wide job in ten, want about 1,670", got)
	}
}

// Without load reports, and before any Full outcome, only late responses show that an executor queues its jobs. They
// reduce its soft limit, once for all jobs sent before the reduction; jobs served in time raise it again.
func TestLateResponsesReduceSoftLimit(t *testing.T) {
	s := base()
	s.Telemetry, s.ReportFields, s.StartNotifications = ReportNone, nil, false
	r := newRig(t, s, ready(7, 0))
	executor := r.d.endpoints.byID[7]
	executor.load.softLimit = 8
	for id := uint32(1); id <= 6; id++ {
		e := request(id, 0, 0, 1)
		e.Work, e.Flags = 200, FlagWorkHint
		r.step(e)
	}
	if len(executor.inFlight.jobs) < 4 {
		t.Fatalf("got %d jobs in flight, want at least 4", len(executor.inFlight.jobs))
	}
	before := executor.load.softLimit
	r.after(3000, outcome(1, 0, 7, Served), outcome(2, 0, 7, Served), outcome(3, 0, 7, Served))
	if want := softLimitBackoff * before; math.Abs(executor.load.softLimit-want) > 1e-9 {
		t.Errorf("got soft limit %v after three late responses to one burst, want %v", executor.load.softLimit, want)
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
		t.Errorf("got soft limit %v after a response in time, want more than 1", executor.load.softLimit)
	}
}

// If all executors with fresh load reports are full, one without a report counts as full too. Otherwise nodes with
// little traffic, and so few reports, would keep sending to a full fleet while nodes with reports reject nine of ten
// requests.
func TestExecutorsWithoutReportAreFullInFullFleet(t *testing.T) {
	s := base()
	s.Nodes = 100
	r := newRig(t, s, fleet(400)...)
	unreported := r.d.endpoints.listed[200]
	before := r.d.availableSlots(unreported)
	if before < 1 {
		t.Fatalf("got %v available slots before any report, want 1 or more", before)
	}
	r.d.capacity.kindSlots[0] = 4
	for i, executor := range r.d.endpoints.listed[:40] {
		executor.load.slots = 4
		r.after(5)
		r.d.handleLoadReport(executor, []float32{float32(i%2) * 0.01})
	}
	if available := r.d.availableSlots(unreported); available >= 1 {
		t.Errorf("got %v available slots at an executor without reports while 40 of its kind are full, want none", available)
	}
	for i, executor := range r.d.endpoints.listed[40:120] {
		executor.load.slots = 4
		r.after(20)
		r.d.handleLoadReport(executor, []float32{4 - float32(i%2)*0.01})
	}
	if available := r.d.availableSlots(unreported); available < 1 {
		t.Errorf("got %v available slots while the latest reports show idle executors, want 1 or more", available)
	}
}

// A low live weight excludes an executor, but a high one does not attract jobs, and if all executors are loaded the
// weights have no effect: all nodes see the same weights, with a delay.
func TestLowLiveWeightExcludesExecutor(t *testing.T) {
	s := base()
	s.Nodes, s.LiveWeights = 100, true
	setWeights := func(r *rig, scale func(i int) float64) {
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
	setWeights(r, func(i int) float64 {
		if i == 0 {
			return 0.2 // four requests per core
		}
		return 0.8
	})
	if available := r.d.availableSlots(r.d.endpoints.byID[100]); available > 0 {
		t.Errorf("got %v available slots at an executor with four requests per core, want none", available)
	}
	if available := r.d.availableSlots(r.d.endpoints.byID[101]); available != idle {
		t.Errorf("got %v available slots at another executor, want %v as without weights", available, idle)
	}
	setWeights(r, func(int) float64 { return 0.2 })
	if available := r.d.availableSlots(r.d.endpoints.byID[100]); available != idle {
		t.Errorf("got %v available slots while all are equally loaded, want %v as without weights", available, idle)
	}
}

// A node without the load of its peers counts on its share, and beyond that on as many slots again as its jobs run in,
// but on none for queued jobs. If each of many nodes counted the free slots of all executors without reports as its
// own, they would reject nothing while jobs queue at executors for longer than they run.
func TestQueuedJobsBoundCapacity(t *testing.T) {
	s := base()
	s.Nodes, s.HedgingAllowed = 100, false
	r := newRig(t, s, fleet(400)...)
	const share = 400 * initialSoftLimit / 100
	for id := uint32(1); id <= share; id++ {
		r.step(request(id, 0, uint16(id%3), 1))
		if n := len(actionsOf(r.last, ActSend, id)); n != 1 || r.d.capacity.slots != share {
			t.Fatalf("job %d: got %d sends and capacity %v, want 1 and the even share, %v", id, n, r.d.capacity.slots, share)
		}
	}
	r.after(3000, request(101, 0, 0, 1))
	if r.d.capacity.slots != share {
		t.Errorf("got capacity %v while all jobs in flight are queued, want the even share, %v", r.d.capacity.slots, share)
	}
	for id := uint32(1); id <= share; id++ {
		r.step(Event{Kind: EvNotification, Job: id, Topic: NotificationStarted})
	}
	r.after(4000, request(102, 0, 0, 1))
	if want := 2.0*share - 1; r.d.capacity.slots != want { // job 101 is queued
		t.Errorf("got capacity %v while %v jobs run and one is queued, want %v", r.d.capacity.slots, share, want)
	}
}
