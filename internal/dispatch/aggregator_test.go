package dispatch

import (
	"math/rand"
	"testing"
)

// Nodes know the slots that others use at an executor before they send a job there themselves: each of 80 nodes sends
// one job, and no executor gets more jobs than it has slots. Without the aggregator, 30 to 120 jobs queued beside 60
// free slots.
func TestAggregatorReportsSlotsOfOtherNodes(t *testing.T) {
	c := newReadyCluster(t, 80, 2, fleet(50)...)
	jobsAt := map[uint32]int{}
	for i := range c.nodes {
		executor := c.sendJob(i, 300)
		if executor == 0 {
			t.Fatalf("node %d sent no job", i)
		}
		if jobsAt[executor]++; jobsAt[executor] > 2 {
			t.Errorf("executor %d got %d jobs for its 2 slots", executor, jobsAt[executor])
		}
		c.run(50)
	}
}

// The message bytes for a request do not grow with the number of nodes, and idle nodes send no messages.
func TestAggregatorCostIsIndependentOfNodes(t *testing.T) {
	for _, n := range []int{60, 240} {
		c := newReadyCluster(t, n, 2, fleet(50)...)
		if c.bytes > 0 {
			t.Errorf("%d message bytes sent without any request, want 0", c.bytes)
		}
		for i := range 40 {
			c.sendJob(i, 300)
		}
		if perRequest := c.bytes / 40; perRequest == 0 || perRequest > 130 {
			t.Errorf("%d nodes: %d message bytes per request, want 1 to 130", n, perRequest)
		}
	}
}

// If the aggregator is down, a job waits at most one answer timeout, and another node becomes the aggregator. The first
// one is used again after it is back.
func TestAggregatorIsReplaced(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(3, 300)
	first := c.aggregator()
	if first < 0 {
		t.Fatal("the nodes do not agree on an aggregator at the start")
	}
	c.down[first] = true
	node := (first + 1) % 60
	wait := c.nodes[node].answerTimeout()
	for k := range 4 {
		from := c.now
		if c.sendJob(node, 1000) == 0 || c.now-from > wait+50 {
			t.Errorf("job %d took %.0f ms to be sent while the aggregator is down, want %.0f at most", k, c.now-from, wait+50)
		}
		c.run(wait + 50)
	}
	if now := c.nodes[node].aggregatorClient.current; now == first {
		t.Error("an aggregator that is down is still in use")
	}
	from := c.now
	c.sendJob(node, 1000)
	if c.now-from > 50 {
		t.Errorf("a job took %.0f ms although the next aggregator answers, want at most 50", c.now-from)
	}
	c.start(first, rows)
	c.run(1.5 * aggregatorSuspicionFactor * wait)
	c.sendJob(node, 1000)
	c.run(100)
	if now := c.nodes[node].aggregatorClient.current; now != first {
		t.Errorf("node %d is the aggregator, want %d, which is back", now, first)
	}
}

// A restarted aggregator knows no slots of other nodes. Its new incarnation tag makes them send a snapshot.
func TestAggregatorRestart(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(0, 300)
	aggregator := c.aggregator()
	node := (aggregator + 1) % 60
	executor := c.sendJob(node, 300)
	c.run(100)
	c.start(aggregator, rows)
	c.step(nil)
	c.setSlots(2)
	c.run(aggregatorReadyRuns*c.nodes[0].serviceTimes.meanRun + 200)
	c.sendJob(node, 300)
	c.run(50) // less than the reminder interval
	slots := 0.0
	for _, x := range c.nodes[aggregator].gossip.peers[node].loads {
		if x.tag == c.nodes[aggregator].tagOf(executor) {
			slots = x.slots
		}
	}
	if slots < 1 {
		t.Error("the new incarnation of the aggregator does not know a job that was sent before its start")
	}
}

// Random, truncated and misdirected messages do no harm: no panic, no negative slots, bounded memory, and jobs are
// still sent.
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
					t.Fatalf("node %d counts %v slots under tag %d, want none below 0", i, n, tag)
				}
			}
		}
		for k := range d.gossip.peers {
			if n := len(d.gossip.peers[k].loads); n > maxPeerEntries {
				t.Fatalf("node %d keeps %d entries of node %d, want at most maxPeerEntries", i, n, k)
			}
		}
	}
	c.run(4 * c.nodes[0].reminderInterval())
	if c.sendJob(7, 500) == 0 {
		t.Error("a job was not sent after the random messages")
	}
}

// A fault that one node finds at an executor keeps all others from using it for a while: a class that fails there,
// while other classes are still sent, or rejected connections. Without this, each of 80 nodes lost a job, and two
// faulty executors caused 280 errors.
func TestAggregatorDistributesQuarantines(t *testing.T) {
	c := newReadyCluster(t, 60, 20, fleet(3)...)
	failing := c.sendJob(0, 300)
	c.step(map[int]Event{0: outcome(c.lastJob, 0, failing, Errored)})
	c.run(50)
	var unreachable uint32
	expiresAt := 0.0
	for i := 1; i < 30; i++ {
		executor := c.sendJob(i, 300)
		if executor == failing {
			t.Fatalf("node %d sends a job to executor %d, where the class failed for another node", i, executor)
		}
		if i == 10 {
			c.step(map[int]Event{i: outcome(c.lastJob, 0, executor, ConnectFailed)})
			unreachable, expiresAt = executor, c.now+connectionQuarantineFactor*c.settings.ConnectTimeout
		} else if executor == unreachable && c.now < expiresAt {
			t.Errorf("node %d sends to executor %d, which accepted no connection of another node", i, executor)
		}
		c.run(30)
	}
	d := c.nodes[29]
	if !d.isClassQuarantined(d.endpoints.byID[failing], 0) || d.isClassQuarantined(d.endpoints.byID[failing], 1) {
		t.Error("want the class that failed quarantined, and only that one")
	}
	c.run(2 * classQuarantineFactor * c.settings.ConnectTimeout)
	c.sendJob(29, 300)
	if d.isClassQuarantined(d.endpoints.byID[failing], 0) ||
		d.isQuarantined(d.endpoints.byID[unreachable], connectionQuarantine) {
		t.Error("a quarantine that no node reported again is still active")
	}
}

// A node that has used no executor of a kind does not know how many slots it has. It must still consider the answers of
// the aggregator: otherwise each of 80 nodes sent a first job without them, and 13 jobs queued at one slow executor.
func TestAggregatorBoundsUnknownKinds(t *testing.T) {
	c := newReadyCluster(t, 60, 0, fleet(20)...)
	jobsAt := map[uint32]int{}
	for i := range c.nodes {
		if executor := c.sendJob(i, 200); executor != 0 {
			if jobsAt[executor]++; jobsAt[executor] > initialSoftLimit {
				t.Errorf("%d jobs at executor %d, which is not known to have more than %d slots",
					jobsAt[executor], executor, initialSoftLimit)
			}
		}
		c.run(50)
	}
	if len(jobsAt) != 20 {
		t.Errorf("%d of 20 executors were used", len(jobsAt))
	}
}

// BenchmarkAggregator measures the work of an aggregator for one job in a fleet of 300 nodes and 200 executors: a query
// with an entry, its answer, and the updates for the send and the end of the job.
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
	d.gossip.mode = gossipAggregator // independent of the limit on the request rate
	d.settings.Node = d.aggregatorClient.pick(d.gossip.peers, d.now)
	rows := fleet(200)
	now := 100000.0
	out := d.Step(now, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: rows}}, nil)
	for i := range 900 { // jobs in flight
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
