package dispatch

import (
	"math"
	"testing"
)

// Tests of nodes that are told nothing of what the others hold, in a fleet of which each sees little.

// blindNodes is how many nodes the fleets of these tests have.
const blindNodes = 100

// blindSettings are those of a fleet of 100 nodes and 200 executors, sized for its quotas, whose nodes tell one another
// nothing.
func blindSettings() Settings {
	s := base()
	s.Balancers, s.MayDuplicate = blindNodes, false
	s.Fields = []Field{FieldPending, FieldFree}
	for i := range s.Tenants {
		s.Tenants[i].Quota = 1000 * s.Tenants[i].Portion
	}
	return s
}

// Nodes that have just begun counted the free slots of the whole fleet as their own, each of them: under a burst they
// took in four times what all workers could run, and the jobs queued there for half a minute (austin-flags roll+mass).
func TestNewNodesTogetherCountOnTheFleet(t *testing.T) {
	const nodes, workers = blindNodes, 200
	sum := 0.0
	for i := range nodes {
		s := blindSettings()
		s.Me = i
		r := newRig(t, s, fleet(workers)...)
		r.step(request(1, 0, 0, 1))
		sum += r.d.capacity.slots
	}
	if least, most := 1.0*workers, 5.0*workers; sum < least || sum > most {
		t.Errorf(
			"%d nodes that have just begun count on %.0f slots of %d workers, want %.0f to %.0f",
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
	r := newRig(t, blindSettings(), fleet(200)...)
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
				started = append(started, Event{Kind: EvNote, Job: a.Job, Worker: a.Worker, Topic: NoteStarted})
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
// slots, in the order they were sent, and each answer tells of a full worker.
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
		e := outcome(a.Job, 0, a.Worker, Served, 4, float32(a.Job%7)/100)
		e.Final = true
		events = append(events, e)
		q.resolved++
	}
	for len(q.ends) < len(q.sent) && len(q.ends) < q.resolved+q.slots {
		a := q.sent[len(q.ends)]
		events = append(events, Event{Kind: EvNote, Job: a.Job, Worker: a.Worker, Topic: NoteStarted})
		q.ends = append(q.ends, now+q.runs)
	}
	return events
}

// Under a burst a node that has just begun took in all, for it saw none of the workers full; when its jobs queued
// there it counted on little more than what ran, and refused all that came until they were through (austin-flags
// roll+mass: 57 to 68 of 288 nodes refused all for 4 s, with lines such as "capacity 7 slots, 26 in flight, 0
// waiting"). It takes in its part.
func TestNewNodeServesThroughABurst(t *testing.T) {
	const nodes, workers, slots = blindNodes, 200, 5
	r := newRig(t, blindSettings(), fleet(workers)...)
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
			case ActRefuse:
				inARow++
			}
		}
		if inARow >= 15 {
			longest = max(longest, r.now-since)
		}
		most = max(most, len(q.sent)-q.resolved)
	}
	if longest >= 4000 {
		t.Errorf("all were refused for %.0f ms, want less than 4000", longest)
	}
	if most > 4*q.slots {
		t.Errorf("%d jobs out, where %d can run", most, q.slots)
	}
	if served := q.resolved; served < 60 {
		t.Errorf("%d jobs served of 80 that could be", served)
	}
}

// A node whose jobs all queue at workers that hang had its tokens out for as long as the clients waited, and refused
// all that came until then (austin-flags roll+mass, one node in ten). It tries one more job after some runs, and no
// flood of them.
func TestStarvedNodeGoesOnDispatching(t *testing.T) {
	r := newRig(t, blindSettings(), fleet(200)...)
	first, last, longest, sends := r.now, r.now, 0.0, 0
	hang := map[uint32]Action{}
	for id := uint32(1); r.now < first+20000; id++ {
		e := request(id, uint8(id%3), uint16(id%3), 1)
		e.Flags, e.Work = 0, 0
		events := []Event{e}
		if a, ok := hang[id-uint32(e.TimeLeft/100)]; ok { // its client's time is over
			events = append(events, outcome(a.Job, 0, a.Worker, TimedOut))
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
