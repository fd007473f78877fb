package dispatch

import "testing"

// No message reports the jobs that killed nodes or aggregators left behind. A job that does not start shows one node
// that an executor is full. This node reports it, and all others avoid the executor for about one run. Without this,
// each of 80 nodes found out by a waiting job of its own.
func TestUnreportedSlotsAreGossiped(t *testing.T) {
	c := newReadyCluster(t, 60, 2, fleet(50)...)
	c.noStarts = true
	jobsAt := map[uint32]int{}
	for i := range 40 {
		if executor := c.sendJob(i, 300); executor != 0 {
			if jobsAt[executor]++; jobsAt[executor] > 1 {
				t.Errorf("node %d sends to executor %d, where a job of another node already waits", i, executor)
			}
		}
		c.run(c.nodes[i].serviceTimes.startNotificationTimeout() + 100)
	}
	if len(jobsAt) < 10 {
		t.Errorf("%d executors were used, want at least 10", len(jobsAt))
	}
}

// The jobs of a killed node continue to run. The aggregator counts them for about one run after the node restarts.
func TestJobsOfKilledNodeStillCount(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(0, 300)
	aggregator := c.aggregator()
	node, other := (aggregator+1)%60, (aggregator+2)%60
	executor := c.sendJob(node, 300)
	c.run(50)
	c.start(node, rows)
	c.step(nil)
	c.setSlots(2)
	c.sendJob(node, 300)
	c.run(50)
	c.sendJob(other, 300)
	d := c.nodes[other]
	if n := d.peerSlotsAt(d.endpoints.byID[executor]); n < 1 {
		t.Error("the job of a killed node is not counted while it runs")
	}
	c.run(2*d.serviceTimes.meanRun + 200)
	c.sendJob(other, 300)
	if n := d.peerSlotsAt(d.endpoints.byID[executor]); n > 0 {
		t.Errorf("the job of a killed node still counts as %v slots two runs later, want 0", n)
	}
}

// A fleet of 318 nodes with a total quota of 504 requests per second uses an aggregator. With a former limit of 300,
// this fleet exchanged no load, and during restarts and releases its nodes rejected a tenth to a quarter of the jobs
// beside free slots.
func TestLargestFleetUsesAnAggregator(t *testing.T) {
	s := base()
	s.Nodes, s.GossipAllowed, s.Tenants = 318, true, nil
	for _, quota := range []float64{151, 131, 116, 106} {
		s.Tenants = append(s.Tenants, Tenant{ReservedShare: 0.25, Quota: quota})
	}
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	if d.gossip.mode != gossipAggregator {
		t.Errorf("gossip mode %d, want an aggregator", d.gossip.mode)
	}
}

// A few dozen nodes with a dozen executors use an aggregator. The byte budget allowed them broadcasts only about once a
// run: each of 32 nodes saw the same free slots for a second, and jobs queued for seconds beside idle slots.
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
		s.Nodes, s.GossipAllowed = c.nodes, true
		s.Classes = s.Classes[:2]
		s.Classes[1].Objective = 1500
		s.Tenants = []Tenant{{ReservedShare: 1, Quota: c.quota}}
		d, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		if d.gossip.mode != c.want {
			t.Errorf("%d nodes with %v requests per second use gossip mode %d, want %d", c.nodes, c.quota, d.gossip.mode, c.want)
		}
	}
}

// A small number of nodes broadcasts its load, many nodes do not. If the byte budget delays broadcasts until they are
// outdated, they mislead: half of the sends of nodes that trusted them were rejected as full.
func TestManyNodesDoNotBroadcast(t *testing.T) {
	for _, c := range []struct {
		nodes int
		want  bool
	}{{3, true}, {150, false}} {
		s := base()
		s.Nodes, s.GossipAllowed = c.nodes, true
		for i := range s.Tenants {
			s.Tenants[i].Quota = 4 * float64(c.nodes)
		}
		r := newRig(t, s, fleet(40)...)
		sent := false
		for id := uint32(1); id <= 20; id++ {
			for _, a := range r.after(100, request(id, 0, 0, 1)) {
				sent = sent || a.Kind == ActGossip
			}
		}
		if sent != c.want {
			t.Errorf("%d nodes: sent broadcasts %v, want %v", c.nodes, sent, c.want)
		}
	}
}
