package dispatch

import (
	"math"
	"math/rand"
	"testing"
)

// Tests of what many nodes tell one another through a hub.

// crowd is a fleet of nodes that hear one another's messages 10 ms later, as long as both are up.
type cluster struct {
	t     *testing.T
	s     Settings
	now   float64
	nodes []*Dispatcher
	down  []bool
	in    [][]Event // what comes at the next step
	sends [][]Action
	bytes int
	next  uint32
	stuck bool
}

func newCluster(t *testing.T, n int, rows ...Row) *cluster {
	c := &cluster{t: t, s: base(), now: 100000, down: make([]bool, n), in: make([][]Event, n),
		sends: make([][]Action, n), nodes: make([]*Dispatcher, n)}
	c.s.Balancers, c.s.MayTell, c.s.Progress = n, true, 60000
	for i := range c.s.Tenants {
		c.s.Tenants[i].Quota = 20
	}
	for i := range c.nodes {
		c.start(i, rows)
	}
	return c
}

func (c *cluster) start(i int, rows []Row) {
	c.t.Helper()
	s := c.s
	s.Me = i
	d, err := New(s, uint64(c.next)*1000+uint64(i))
	if err != nil {
		c.t.Fatal(err)
	}
	if d.gossip.mode != gossipAggregator {
		c.t.Fatalf("%d nodes tell in way %d, want by a hub", s.Balancers, d.gossip.mode)
	}
	c.nodes[i], c.down[i] = d, false
	c.in[i] = []Event{{Kind: EvList, Form: ListCached, Rows: rows}}
}

// step takes all nodes 10 ms on; each may also be given an event.
func (c *cluster) step(more map[int]Event) {
	c.now += 10
	in := c.in
	c.in = make([][]Event, len(c.nodes))
	for i := range c.nodes {
		for _, a := range c.sends[i] {
			if !c.stuck { // else no worker has room
				c.in[i] = append(c.in[i], Event{Kind: EvNote, Job: a.Job, Worker: a.Worker, Topic: NoteStarted})
			}
		}
	}
	for i, d := range c.nodes {
		c.sends[i] = c.sends[i][:0]
		if c.down[i] {
			continue
		}
		if e, ok := more[i]; ok {
			in[i] = append(in[i], e)
		}
		for _, a := range d.Step(c.now, in[i], nil) {
			switch a.Kind {
			case ActSend:
				c.sends[i] = append(c.sends[i], a)
			case ActTell:
				if len(a.Data) > 255 || int(a.To) >= len(c.nodes) {
					c.t.Fatalf("a message of %d bytes to %d", len(a.Data), a.To)
				}
				c.bytes += len(a.Data)
				c.in[a.To] = append(c.in[a.To], Event{Kind: EvPeer, From: uint32(i), Data: a.Data})
			}
		}
	}
}

func (c *cluster) run(ms float64) {
	for end := c.now + ms; c.now < end; {
		c.step(nil)
	}
}

// send has a node take a job and gives the worker that it goes to, 0 if it goes nowhere within some time.
func (c *cluster) send(node int, within float64) (worker uint32) {
	c.next++
	c.step(map[int]Event{node: request(c.next, 0, 0, 1)})
	for end := c.now + within; len(c.sends[node]) == 0; c.step(nil) {
		if c.now >= end {
			return 0
		}
	}
	return c.sends[node][0].Worker
}

// listening makes a crowd whose nodes know the workers' slots, 0 for nodes that do not, and that has listened for long
// enough for any of them to be the hub.
func listeningCluster(t *testing.T, n int, slots float64, rows ...Row) *cluster {
	c := newCluster(t, n, rows...)
	c.step(nil)
	if slots > 0 {
		c.know(slots)
	}
	c.run(aggregatorListenRuns*c.nodes[0].serviceTimes.meanRun + 1000)
	return c
}

// know gives all nodes the slots of all workers, as reports would with time.
func (c *cluster) know(slots float64) {
	for _, d := range c.nodes {
		for _, executor := range d.endpoints.listed {
			executor.load.slots = slots
		}
		d.capacity.kindSlots[0] = slots
	}
}

// hub gives the node that is told by all that are up, -1 if they differ.
func (c *cluster) aggregator() int {
	at := -1
	for i, d := range c.nodes {
		if c.down[i] {
			continue
		}
		if at >= 0 && d.aggregatorClient.current != at {
			return -1
		}
		at = d.aggregatorClient.current
	}
	return at
}

// Nodes that never met at a worker see what the others have out there: each of 80 sends one job, and no worker gets
// more than it has slots for. Each by its own knowledge, many queue while slots are free (join+vast: 30 to 120 queued
// beside 60 free slots).
func TestAggregatorTellsWhatOthersHold(t *testing.T) {
	c := listeningCluster(t, 80, 2, fleet(50)...)
	at := map[uint32]int{}
	for i := range c.nodes {
		w := c.send(i, 300)
		if w == 0 {
			t.Fatalf("node %d sent nothing", i)
		}
		if at[w]++; at[w] > 2 {
			t.Errorf("worker %d got %d jobs for its 2 slots", w, at[w])
		}
		c.run(50)
	}
}

// What a request costs in messages does not grow with the number of nodes, and idle nodes say nothing.
func TestAggregatorCostsTheSameForManyNodes(t *testing.T) {
	for _, n := range []int{60, 240} {
		c := listeningCluster(t, n, 2, fleet(50)...)
		if c.bytes > 0 {
			t.Errorf("%d bytes told while nothing came", c.bytes)
		}
		for i := range 40 {
			c.send(i, 300)
		}
		if per := c.bytes / 40; per == 0 || per > 130 {
			t.Errorf("%d nodes: %d bytes a request, want 1 to 130", n, per)
		}
	}
}

// A hub that is gone costs a job one wait for its answer, and not the next ones; another takes its place, and is left
// again once the first is back.
func TestAggregatorIsReplaced(t *testing.T) {
	rows := fleet(50)
	c := listeningCluster(t, 60, 2, rows...)
	c.send(3, 300)
	first := c.aggregator()
	if first < 0 {
		t.Fatal("nodes differ about the hub from the start")
	}
	c.down[first] = true
	node := (first + 1) % 60
	wait := c.nodes[node].answerTimeout()
	for k := range 4 {
		from := c.now
		if c.send(node, 1000) == 0 || c.now-from > wait+50 {
			t.Errorf("job %d took %.0f ms to be sent while the hub is gone, want %.0f at most", k, c.now-from, wait+50)
		}
		c.run(wait + 50)
	}
	if now := c.nodes[node].aggregatorClient.current; now == first {
		t.Error("a hub that is gone is still asked")
	}
	from := c.now
	c.send(node, 1000)
	if c.now-from > 50 {
		t.Errorf("a job took %.0f ms although the next hub answers", c.now-from)
	}
	c.start(first, rows)
	c.run(1.5 * aggregatorAwayFactor * wait)
	c.send(node, 1000)
	c.run(100)
	if now := c.nodes[node].aggregatorClient.current; now != first {
		t.Errorf("node %d is the hub, want %d, which is back", now, first)
	}
}

// A hub that was started anew in between holds nothing of us: it says so, and is told all again.
func TestAggregatorBeginsAnew(t *testing.T) {
	rows := fleet(50)
	c := listeningCluster(t, 60, 2, rows...)
	c.send(0, 300)
	h := c.aggregator()
	node := (h + 1) % 60
	w := c.send(node, 300)
	c.run(100)
	c.start(h, rows)
	c.step(nil)
	c.know(2)
	c.run(aggregatorListenRuns*c.nodes[0].serviceTimes.meanRun + 200)
	c.send(node, 300)
	c.run(50) // before any reminder
	held := 0.0
	for _, x := range c.nodes[h].gossip.peers[node].loads {
		if x.tag == c.nodes[h].tagOf(w) {
			held = x.slots
		}
	}
	if held < 1 {
		t.Error("the hub's new life does not know a job that was sent before it")
	}
}

// Messages of chance, cut or of the wrong kind do no harm: no panic, nothing below nothing, bounded memory, and jobs
// are sent.
func TestAggregatorBearsRandomMessages(t *testing.T) {
	c := listeningCluster(t, 60, 2, fleet(50)...)
	rng := rand.New(rand.NewSource(5))
	for range 4000 {
		node := rng.Intn(60)
		data := make([]byte, rng.Intn(256))
		rng.Read(data)
		c.step(map[int]Event{node: {Kind: EvPeer, From: uint32(60 * rng.Intn(2) * rng.Intn(2)), Data: data}})
	}
	for i, d := range c.nodes {
		for _, all := range []map[uint16]float64{d.aggregatorClient.peerSlots, d.aggregatorServer.slotTotals} {
			for tag, n := range all {
				if n < 0 {
					t.Fatalf("node %d holds %v slots out under tag %d", i, n, tag)
				}
			}
		}
		for k := range d.gossip.peers {
			if n := len(d.gossip.peers[k].loads); n > maxPeerEntries {
				t.Fatalf("node %d keeps %d entries of node %d", i, n, k)
			}
		}
	}
	c.run(4 * c.nodes[0].reminderInterval())
	if c.send(7, 500) == 0 {
		t.Error("nothing is sent any more")
	}
}

// While it is cold a worker is given what it can do by then, all nodes' jobs counted, and a job is not taken to run
// slowly there while few others do: it was used to a tenth while old workers queued (join+vast, herd+vast). It is
// looked at whenever it is our turn, not only when it is drawn.
func TestExecutorIsUsedAsItWarmsUp(t *testing.T) {
	rows := fleet(60)
	rows[30].Born = 100000
	c := listeningCluster(t, 60, 4, rows...)
	for i, d := range c.nodes {
		if i == d.aggregatorClient.current {
			continue
		}
		executor := d.endpoints.listed[30]
		share := d.slowStart.share(executor)
		c.send(i, 300) // brings what the hub tells
		got, want := d.availableSlots(executor), math.Round(4*share)-d.peerSlotsAt(executor)-executor.inFlight.slots
		if got != want {
			t.Errorf("node %d: room for %v more at a share of %.2f, want %v", i, got, share, want)
		}
		if n := executor.inFlight.slots + d.peerSlotsAt(executor) + 1; n <= 4*share &&
			d.executorSpeed(executor) < d.serviceTimes.kindSpeed(executor.endpoint.kind) {
			t.Errorf("node %d: job %v of 4 slots at a share of %.2f is taken to run slowly", i, n, share)
		}
		if executor.slowStart.creditAt == 0 {
			t.Errorf("node %d did not look at the cold worker", i)
		}
		break
	}
}

// Jobs that nodes or hubs left behind when they were killed are told by none. A job of ours that is not started shows
// that a worker is full all the same, and all others then keep away too, for about a run (herd+vast: each node of 80
// found out for itself, by a job that waited).
func TestHiddenSlotsAreTold(t *testing.T) {
	c := listeningCluster(t, 60, 2, fleet(50)...)
	c.stuck = true
	at := map[uint32]int{}
	for i := range 40 {
		if w := c.send(i, 300); w != 0 {
			if at[w]++; at[w] > 1 {
				t.Errorf("node %d sends to worker %d, where another's job waits already", i, w)
			}
		}
		c.run(c.nodes[i].serviceTimes.startNoteTimeout() + 100)
	}
	if len(at) < 10 {
		t.Errorf("%d workers were tried", len(at))
	}
}

// What a killed node had out runs on: its next life does not make the hub forget it at once.
func TestKilledNodesJobsRunOn(t *testing.T) {
	rows := fleet(50)
	c := listeningCluster(t, 60, 2, rows...)
	c.send(0, 300)
	h := c.aggregator()
	node, other := (h+1)%60, (h+2)%60
	w := c.send(node, 300)
	c.run(50)
	c.start(node, rows)
	c.step(nil)
	c.know(2)
	c.send(node, 300)
	c.run(50)
	c.send(other, 300)
	d := c.nodes[other]
	if n := d.peerSlotsAt(d.endpoints.byID[w]); n < 1 {
		t.Error("the job of a node that was killed is forgotten while it runs")
	}
	c.run(2*d.serviceTimes.meanRun + 200)
	c.send(other, 300)
	if n := d.peerSlotsAt(d.endpoints.byID[w]); n > 0 {
		t.Errorf("the job of a node that was killed still counts %v two runs later", n)
	}
}

// What one node finds of a worker keeps all others away for a while: a class that fails there, another still served,
// and connections refused. By itself each of 80 nodes loses a job for it (zone+vast: 280 errors of two bad workers).
func TestAggregatorTellsQuarantines(t *testing.T) {
	c := listeningCluster(t, 60, 20, fleet(3)...)
	bad := c.send(0, 300)
	c.step(map[int]Event{0: outcome(c.next, 0, bad, Errored)})
	c.run(50)
	var dead uint32
	lapses := 0.0
	for i := 1; i < 30; i++ {
		w := c.send(i, 300)
		if w == bad {
			t.Fatalf("node %d sends a job to worker %d, where its class failed at another node", i, w)
		}
		if i == 10 {
			c.step(map[int]Event{i: outcome(c.next, 0, w, ConnectFailed)})
			dead, lapses = w, c.now+connectionQuarantineFactor*c.s.ConnectTimeout
		} else if w == dead && c.now < lapses {
			t.Errorf("node %d sends to worker %d, which took no connection of another node", i, w)
		}
		c.run(30)
	}
	d := c.nodes[29]
	if !d.isClassAway(d.endpoints.byID[bad], 0) || d.isClassAway(d.endpoints.byID[bad], 1) {
		t.Error("the class that failed is to be kept away, and only that one")
	}
	c.run(2 * classQuarantineFactor * c.s.ConnectTimeout)
	c.send(29, 300)
	if d.isClassAway(d.endpoints.byID[bad], 0) || d.isQuarantined(d.endpoints.byID[dead], connectionQuarantine) {
		t.Error("a mark that nobody found again still holds")
	}
}

// A node that has met no worker of a kind knows nothing of its slots. It must go by what the hub tells all the same:
// each of 80 nodes sent a first job blindly, and 13 queued at one slow worker (join+vast, seed 245395339836).
func TestAggregatorBoundsKindsNotMet(t *testing.T) {
	c := listeningCluster(t, 60, 0, fleet(20)...)
	at := map[uint32]int{}
	for i := range c.nodes {
		if w := c.send(i, 200); w != 0 {
			if at[w]++; at[w] > initialSoftLimit {
				t.Errorf("%d jobs at worker %d, of which nobody knows that it has more than %d slots", at[w], w, initialSoftLimit)
			}
		}
		c.run(50)
	}
	if len(at) != 20 {
		t.Errorf("%d of 20 workers were used", len(at))
	}
}

// With the hub more of a cold worker's budget is used, and it is kept in every window, though 2.5 times the quota
// comes and no other worker is there. Each job holds a slot for its time.
func TestSlowStartBudgetIsKeptWithTheAggregator(t *testing.T) {
	cold := ready(7, 0)
	c := listeningCluster(t, 60, 4, cold)
	cold.Born = c.now
	for i := range c.nodes {
		c.in[i] = append(c.in[i], Event{Kind: EvList, Form: ListDelta, Rows: []Row{cold}})
	}
	type run struct {
		node int
		job  uint32
		at   float64
	}
	var sends []float64
	var out []run
	const work = 300.0
	for c.now < cold.Born+c.s.WarmWithin-100 {
		c.next++
		more := map[int]Event{int(c.next*37) % 60: request(c.next, 0, 0, 1)} // 100 a second, 2.5 times the quota
		for len(out) > 0 && c.now-out[0].at >= work {
			c.in[out[0].node] = append(c.in[out[0].node], outcome(out[0].job, 0, 7, Served))
			out = out[1:]
		}
		c.step(more)
		for i := range c.nodes {
			for _, a := range c.sends[i] {
				sends, out = append(sends, c.now), append(out, run{i, a.Job, c.now})
			}
		}
		sum := 0.0
		for k := len(sends) - 1; k >= 0 && c.now-sends[k] <= c.s.Fall; k-- {
			sum += work
		}
		share := c.s.ColdFrom + (1-c.s.ColdFrom)*(c.now-cold.Born)/c.s.WarmWithin
		if most := c.s.FallMultiple * share * 4 * c.s.Fall; sum > most {
			t.Fatalf("%.0f ms of work sent in a window at %.0f, want %.0f at most", sum, c.now-cold.Born, most)
		}
	}
	// Half of what it can do while it warms.
	if got, want := work*float64(len(sends)), 0.5*0.65*4*c.s.WarmWithin; got < want {
		t.Errorf("%.0f ms of work sent while it warmed, want %.0f", got, want)
	}
}

// A fleet of 318 nodes with 504 requests a second in all tells a hub. (The bound stood at 300, and the whole fleet
// told nothing: its nodes refused a tenth to a quarter of the jobs of a restart's or a release's seconds beside free
// slots.)
func TestLargestFleetUsesAnAggregator(t *testing.T) {
	s := base()
	s.Balancers, s.MayTell, s.Tenants = 318, true, nil
	for _, quota := range []float64{151, 131, 116, 106} {
		s.Tenants = append(s.Tenants, Tenant{Portion: 0.25, Quota: quota})
	}
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	if d.gossip.mode != gossipAggregator {
		t.Errorf("told in way %d, want by a hub", d.gossip.mode)
	}
}

// Where all know that the fleet is full or nearly so, a node counts on its part of the free slots and not on all of
// them, which every other sees as well. (With a zone lost 230 nodes admitted for the same few: half of what they
// admitted ended late.) In a fleet with room each counts on all of it.
func TestScarceSlotsAreShared(t *testing.T) {
	for _, x := range []struct{ theirs, least, most float64 }{{4, 1, 4}, {3.75, 1, 5}, {1, 100, 200}} {
		c := listeningCluster(t, 40, 4, fleet(40)...)
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
				"with %v of 4 slots of each of 40 workers taken a node counts on %v, want %v to %v",
				x.theirs,
				d.capacity.slots,
				x.least,
				x.most,
			)
		}
	}
}

// BenchmarkHub is a hub's work for one job of a fleet of 300 nodes and 200 workers: the node asks with what it has
// out, is answered, tells of a send and of an end.
func BenchmarkAggregator(b *testing.B) {
	s := base()
	s.Balancers, s.MayTell = 300, true
	for i := range s.Tenants {
		s.Tenants[i].Quota = 2000
	}
	d, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	d.gossip.mode = gossipAggregator // whatever the bound is
	d.settings.Me = d.aggregatorClient.pick(d.gossip.peers, d.now)
	rows := fleet(200)
	now := 100000.0
	out := d.Step(now, []Event{{Kind: EvList, Form: ListCached, Rows: rows}}, nil)
	for i := range 900 { // what is out
		n, w := i%300, rows[i%200]
		if n != d.settings.Me {
			out = d.Step(
				now,
				[]Event{
					{
						Kind: EvPeer,
						From: uint32(n),
						Data: []byte{messageUpdate, byte(d.tagOf(w.Worker) >> 8), byte(d.tagOf(w.Worker)) | 3},
					},
				},
				out[:0],
			)
		}
	}
	now += 10 * d.serviceTimes.meanRun
	rng := rand.New(rand.NewSource(1))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 2
		from := uint32((d.settings.Me + 1 + rng.Intn(298)) % 300)
		tag := d.tagOf(rows[rng.Intn(200)].Worker)
		entry := func(kind byte, n uint16) Event {
			return Event{Kind: EvPeer, From: from, Data: []byte{kind, byte(tag >> 8), byte(tag) | byte(n)}}
		}
		out = d.Step(now, []Event{entry(messageQuery, 2)}, out[:0])
		out = d.Step(now+0.5, []Event{entry(messageUpdate, 3)}, out[:0])
		out = d.Step(now+1, []Event{entry(messageUpdate, 2)}, out[:0])
	}
}

// Some dozen nodes at a dozen workers told one another all that they had out, about once a run, for the bytes allowed
// no more: each of 32 saw the same free slots for a second, and jobs queued for seconds beside idle slots
// (tallinn-tiles throng+brink).
func TestAggregatorWhereBroadcastsAreOlderThanReports(t *testing.T) {
	for _, c := range []struct {
		nodes int
		quota float64
		want  gossipMode
	}{
		{4, 28, gossipBroadcast}, {6, 28, gossipBroadcast}, {9, 40, gossipBroadcast},
		{20, 26, gossipAggregator}, {32, 26, gossipAggregator}, {32, 40, gossipAggregator},
	} {
		s := base()
		s.Balancers, s.MayTell = c.nodes, true
		s.Classes = s.Classes[:2]
		s.Classes[1].Aim = 1500
		s.Tenants = []Tenant{{Portion: 1, Quota: c.quota}}
		d, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		if d.gossip.mode != c.want {
			t.Errorf("%d nodes with %v requests a second tell in way %d, want %d", c.nodes, c.quota, d.gossip.mode, c.want)
		}
	}
}
