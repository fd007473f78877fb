package dispatch

import "testing"

// cluster is a set of nodes that receive each other's messages after 10 ms, as long as both are up.
type cluster struct {
	t        *testing.T
	settings Settings
	now      float64
	nodes    []*Dispatcher
	down     []bool
	inbox    [][]Event  // events for the next step
	sent     [][]Action // by each node in the last step
	bytes    int
	lastJob  uint32
	noStarts bool // executors start no jobs
}

func newCluster(t *testing.T, n int, rows ...EndpointUpdate) *cluster {
	c := &cluster{t: t, settings: base(), now: 100000, down: make([]bool, n), inbox: make([][]Event, n),
		sent: make([][]Action, n), nodes: make([]*Dispatcher, n)}
	c.settings.Nodes, c.settings.GossipAllowed, c.settings.ProgressInterval = n, true, 60000
	for i := range c.settings.Tenants {
		c.settings.Tenants[i].Quota = 20
	}
	for i := range c.nodes {
		c.start(i, rows)
	}
	return c
}

func (c *cluster) start(i int, rows []EndpointUpdate) {
	c.t.Helper()
	s := c.settings
	s.Node = i
	d, err := New(s, uint64(c.lastJob)*1000+uint64(i))
	if err != nil {
		c.t.Fatal(err)
	}
	if d.gossip.mode != gossipAggregator {
		c.t.Fatalf("%d nodes use gossip mode %d, want an aggregator", s.Nodes, d.gossip.mode)
	}
	c.nodes[i], c.down[i] = d, false
	c.inbox[i] = []Event{{Kind: EvEndpoints, Form: ListCached, Updates: rows}}
}

// step advances all nodes by 10 ms. Each node may get one more event.
func (c *cluster) step(more map[int]Event) {
	c.now += 10
	in := c.inbox
	c.inbox = make([][]Event, len(c.nodes))
	for i := range c.nodes {
		for _, a := range c.sent[i] {
			if !c.noStarts {
				c.inbox[i] = append(c.inbox[i],
					Event{Kind: EvNotification, Job: a.Job, Executor: a.Executor, Topic: NotificationStarted})
			}
		}
	}
	for i, d := range c.nodes {
		c.sent[i] = c.sent[i][:0]
		if c.down[i] {
			continue
		}
		if e, ok := more[i]; ok {
			in[i] = append(in[i], e)
		}
		for _, a := range d.Step(c.now, in[i], nil) {
			switch a.Kind {
			case ActSend:
				c.sent[i] = append(c.sent[i], a)
			case ActGossip:
				if len(a.Data) > 255 || int(a.To) >= len(c.nodes) {
					c.t.Fatalf("message of %d bytes to node %d, want at most 255 bytes to a node of the cluster", len(a.Data), a.To)
				}
				c.bytes += len(a.Data)
				c.inbox[a.To] = append(c.inbox[a.To], Event{Kind: EvGossip, From: uint32(i), Data: a.Data})
			}
		}
	}
}

func (c *cluster) run(ms float64) {
	for end := c.now + ms; c.now < end; {
		c.step(nil)
	}
}

// sendJob gives a node a job and returns the executor that it sends the job to, or 0 if it sends it nowhere in time.
func (c *cluster) sendJob(node int, timeout float64) (executor uint32) {
	c.lastJob++
	c.step(map[int]Event{node: request(c.lastJob, 0, 0, 1)})
	for end := c.now + timeout; len(c.sent[node]) == 0; c.step(nil) {
		if c.now >= end {
			return 0
		}
	}
	return c.sent[node][0].Executor
}

// newReadyCluster returns a cluster that has run for long enough for any node to be a ready aggregator. Its nodes know
// that each executor has the given slots, or know nothing of them if slots is 0.
func newReadyCluster(t *testing.T, n int, slots float64, rows ...EndpointUpdate) *cluster {
	c := newCluster(t, n, rows...)
	c.step(nil)
	if slots > 0 {
		c.setSlots(slots)
	}
	c.run(aggregatorReadyRuns*c.nodes[0].serviceTimes.meanRun + 1000)
	return c
}

// setSlots sets the known slots of all executors at all nodes, as reports would do over time.
func (c *cluster) setSlots(slots float64) {
	for _, d := range c.nodes {
		for _, executor := range d.endpoints.listed {
			executor.load.slots = slots
		}
		d.capacity.kindSlots[0] = slots
	}
}

// aggregator returns the node that all running nodes use as the aggregator, or -1 if they differ.
func (c *cluster) aggregator() int {
	node := -1
	for i, d := range c.nodes {
		if c.down[i] {
			continue
		}
		if node >= 0 && d.aggregatorClient.current != node {
			return -1
		}
		node = d.aggregatorClient.current
	}
	return node
}
