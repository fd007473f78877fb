package dispatch

import "testing"

// Jobs that nodes or aggregators left behind when they were killed are told by none. A job of ours that is not
// started shows that an executor is full all the same, and all others then keep away too, for about a run (herd+vast:
// each node of 80 found out for itself, by a job that waited).
func TestUnreportedSlotsAreGossiped(t *testing.T) {
	c := newReadyCluster(t, 60, 2, fleet(50)...)
	c.noStarts = true
	at := map[uint32]int{}
	for i := range 40 {
		if w := c.sendJob(i, 300); w != 0 {
			if at[w]++; at[w] > 1 {
				t.Errorf("node %d sends to executor %d, where another's job waits already", i, w)
			}
		}
		c.run(c.nodes[i].serviceTimes.startNoteTimeout() + 100)
	}
	if len(at) < 10 {
		t.Errorf("%d executors were tried", len(at))
	}
}

// What a killed node had out runs on: its next life does not make the aggregator forget it at once.
func TestJobsOfKilledNodeStillCount(t *testing.T) {
	rows := fleet(50)
	c := newReadyCluster(t, 60, 2, rows...)
	c.sendJob(0, 300)
	h := c.aggregator()
	node, other := (h+1)%60, (h+2)%60
	w := c.sendJob(node, 300)
	c.run(50)
	c.start(node, rows)
	c.step(nil)
	c.setSlots(2)
	c.sendJob(node, 300)
	c.run(50)
	c.sendJob(other, 300)
	d := c.nodes[other]
	if n := d.peerSlotsAt(d.endpoints.byID[w]); n < 1 {
		t.Error("the job of a node that was killed is forgotten while it runs")
	}
	c.run(2*d.serviceTimes.meanRun + 200)
	c.sendJob(other, 300)
	if n := d.peerSlotsAt(d.endpoints.byID[w]); n > 0 {
		t.Errorf("the job of a node that was killed still counts %v two runs later", n)
	}
}

// A fleet of 318 nodes with 504 requests a second in all tells an aggregator. (The bound stood at 300, and the whole
// fleet told nothing: its nodes rejected a tenth to a quarter of the jobs of a restart's or a release's seconds
// beside free slots.)
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
		t.Errorf("told in way %d, want by an aggregator", d.gossip.mode)
	}
}

// Some dozen nodes at a dozen executors told one another all that they had out, about once a run, for the bytes allowed
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
		s.Nodes, s.GossipAllowed = c.nodes, true
		s.Classes = s.Classes[:2]
		s.Classes[1].Objective = 1500
		s.Tenants = []Tenant{{ReservedShare: 1, Quota: c.quota}}
		d, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		if d.gossip.mode != c.want {
			t.Errorf("%d nodes with %v requests a second tell in way %d, want %d", c.nodes, c.quota, d.gossip.mode, c.want)
		}
	}
}

// Messages that the bytes allow only when what they told is long over mislead: half of the sends of nodes that
// trusted them were rejected as full (recife later big-2). Few nodes tell, many do not.
func TestManyNodesDoNotBroadcast(t *testing.T) {
	for _, c := range []struct {
		nodes int
		tells bool
	}{{3, true}, {150, false}} {
		s := base()
		s.Nodes, s.GossipAllowed = c.nodes, true
		for i := range s.Tenants {
			s.Tenants[i].Quota = 4 * float64(c.nodes)
		}
		r := newRig(t, s, fleet(40)...)
		told := false
		for id := uint32(1); id <= 20; id++ {
			for _, a := range r.after(100, request(id, 0, 0, 1)) {
				told = told || a.Kind == ActGossip
			}
		}
		if told != c.tells {
			t.Errorf("%d nodes: told %v, want %v", c.nodes, told, c.tells)
		}
	}
}
