package dispatch

import (
	"math/rand"
	"testing"
)

// Nodes that never met at an executor see what the others have out there: each of 80 sends one job, and no executor
// gets more than it has slots for. Each by its own knowledge, many queue while slots are free (join+vast: 30 to 120
// queued beside 60 free slots).
func TestAggregatorReportsSlotsOfOtherNodes(t *testing.T) {
	c := newReadyCluster(t, 80, 2, fleet(50)...)
	at := map[uint32]int{}
	for i := range c.nodes {
		w := c.sendJob(i, 300)
		if w == 0 {
			t.Fatalf("node %d sent nothing", i)
		}
		if at[w]++; at[w] > 2 {
			t.Errorf("executor %d got %d jobs for its 2 slots", w, at[w])
		}
		c.run(50)
	}
}

// What a request costs in messages does not grow with the number of nodes, and idle nodes say nothing.
func TestAggregatorCostIsIndependentOfNodes(t *testing.T) {
	for _, n := range []int{60, 240} {
		c := newReadyCluster(t, n, 2, fleet(50)...)
		if c.bytes > 0 {
			t.Errorf("%d bytes told while nothing came", c.bytes)
		}
		for i := range 40 {
			c.sendJob(i, 300)
		}
		if per := c.bytes / 40; per == 0 || per > 130 {
			t.Errorf("%d nodes: %d bytes a request, want 1 to 130", n, per)
		}
	}
}

// An aggregator that is gone costs a job one wait for its answer, and not the next ones; another takes its place, and
// is left again once the first is back.
func TestAggregatorIsReplaced(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(3, 300)
	first := c.aggregator()
	if first < 0 {
		t.Fatal("nodes differ about the aggregator from the start")
	}
	c.down[first] = true
	node := (first + 1) % 60
	wait := c.nodes[node].answerTimeout()
	for k := range 4 {
		from := c.now
		if c.sendJob(node, 1000) == 0 || c.now-from > wait+50 {
			t.Errorf("job %d took %.0f ms to be sent while the aggregator is gone, want %.0f at most", k, c.now-from, wait+50)
		}
		c.run(wait + 50)
	}
	if now := c.nodes[node].aggregatorClient.current; now == first {
		t.Error("an aggregator that is gone is still asked")
	}
	from := c.now
	c.sendJob(node, 1000)
	if c.now-from > 50 {
		t.Errorf("a job took %.0f ms although the next aggregator answers", c.now-from)
	}
	c.start(first, rows)
	c.run(1.5 * aggregatorSuspicionFactor * wait)
	c.sendJob(node, 1000)
	c.run(100)
	if now := c.nodes[node].aggregatorClient.current; now != first {
		t.Errorf("node %d is the aggregator, want %d, which is back", now, first)
	}
}

// An aggregator that was started anew in between holds nothing of us: it says so, and is told all again.
func TestAggregatorRestart(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(0, 300)
	h := c.aggregator()
	node := (h + 1) % 60
	w := c.sendJob(node, 300)
	c.run(100)
	c.start(h, rows)
	c.step(nil)
	c.setSlots(2)
	c.run(aggregatorReadyRuns*c.nodes[0].serviceTimes.meanRun + 200)
	c.sendJob(node, 300)
	c.run(50) // before any reminder
	held := 0.0
	for _, x := range c.nodes[h].gossip.peers[node].loads {
		if x.tag == c.nodes[h].tagOf(w) {
			held = x.slots
		}
	}
	if held < 1 {
		t.Error("the aggregator's new life does not know a job that was sent before it")
	}
}

// Messages of chance, cut or of the wrong kind do no harm: no panic, nothing below nothing, bounded memory, and jobs
// are sent.
func TestAggregatorToleratesRandomMessages(t *testing.T) {
	c := newReadyCluster(t, 60, 2, fleet(50)...)
	rng := rand.New(rand.NewSource(5))
	for range 4000 {
		node := rng.Intn(60)
		data := make([]byte, rng.Intn(256))
		rng.Read(data)
		c.step(map[int]Event{node: {Kind: EvGossip, From: uint32(60 * rng.Intn(2) * rng.Intn(2)), Data: data}})
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
	if c.sendJob(7, 500) == 0 {
		t.Error("nothing is sent any more")
	}
}

// What one node finds of an executor keeps all others away for a while: a class that fails there, another still served,
// and connections rejected. By itself each of 80 nodes loses a job for it (zone+vast: 280 errors of two bad executors).
func TestAggregatorDistributesQuarantines(t *testing.T) {
	c := newReadyCluster(t, 60, 20, fleet(3)...)
	bad := c.sendJob(0, 300)
	c.step(map[int]Event{0: outcome(c.lastJob, 0, bad, Errored)})
	c.run(50)
	var dead uint32
	lapses := 0.0
	for i := 1; i < 30; i++ {
		w := c.sendJob(i, 300)
		if w == bad {
			t.Fatalf("node %d sends a job to executor %d, where its class failed at another node", i, w)
		}
		if i == 10 {
			c.step(map[int]Event{i: outcome(c.lastJob, 0, w, ConnectFailed)})
			dead, lapses = w, c.now+connectionQuarantineFactor*c.settings.ConnectTimeout
		} else if w == dead && c.now < lapses {
			t.Errorf("node %d sends to executor %d, which took no connection of another node", i, w)
		}
		c.run(30)
	}
	d := c.nodes[29]
	if !d.isClassQuarantined(d.endpoints.byID[bad], 0) || d.isClassQuarantined(d.endpoints.byID[bad], 1) {
		t.Error("the class that failed is to be kept away, and only that one")
	}
	c.run(2 * classQuarantineFactor * c.settings.ConnectTimeout)
	c.sendJob(29, 300)
	if d.isClassQuarantined(d.endpoints.byID[bad], 0) || d.isQuarantined(d.endpoints.byID[dead], connectionQuarantine) {
		t.Error("a mark that nobody found again still holds")
	}
}

// A node that has met no executor of a kind knows nothing of its slots. It must go by what the aggregator tells all
// the same: each of 80 nodes sent a first job blindly, and 13 queued at one slow executor (join+vast, seed
// 245395339836).
func TestAggregatorBoundsUnknownKinds(t *testing.T) {
	c := newReadyCluster(t, 60, 0, fleet(20)...)
	at := map[uint32]int{}
	for i := range c.nodes {
		if w := c.sendJob(i, 200); w != 0 {
			if at[w]++; at[w] > initialSoftLimit {
				t.Errorf("%d jobs at executor %d, of which nobody knows that it has more than %d slots", at[w], w, initialSoftLimit)
			}
		}
		c.run(50)
	}
	if len(at) != 20 {
		t.Errorf("%d of 20 executors were used", len(at))
	}
}

// BenchmarkHub is an aggregator's work for one job of a fleet of 300 nodes and 200 executors: the node asks with what
// it has out, is answered, tells of a send and of an end.
func BenchmarkAggregator(b *testing.B) {
	s := base()
	s.Nodes, s.GossipAllowed = 300, true
	for i := range s.Tenants {
		s.Tenants[i].Quota = 2000
	}
	d, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	d.gossip.mode = gossipAggregator // whatever the bound is
	d.settings.Node = d.aggregatorClient.pick(d.gossip.peers, d.now)
	rows := fleet(200)
	now := 100000.0
	out := d.Step(now, []Event{{Kind: EvEndpoints, Form: ListCached, Rows: rows}}, nil)
	for i := range 900 { // what is out
		n, w := i%300, rows[i%200]
		if n != d.settings.Node {
			out = d.Step(
				now,
				[]Event{
					{
						Kind: EvGossip,
						From: uint32(n),
						Data: []byte{messageUpdate, byte(d.tagOf(w.Executor) >> 8), byte(d.tagOf(w.Executor)) | 3},
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
		from := uint32((d.settings.Node + 1 + rng.Intn(298)) % 300)
		tag := d.tagOf(rows[rng.Intn(200)].Executor)
		entry := func(kind byte, n uint16) Event {
			return Event{Kind: EvGossip, From: from, Data: []byte{kind, byte(tag >> 8), byte(tag) | byte(n)}}
		}
		out = d.Step(now, []Event{entry(messageQuery, 2)}, out[:0])
		out = d.Step(now+0.5, []Event{entry(messageUpdate, 3)}, out[:0])
		out = d.Step(now+1, []Event{entry(messageUpdate, 2)}, out[:0])
	}
}
