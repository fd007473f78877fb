package dispatch

import "testing"

// crowd is a fleet of nodes that hear one another's messages 10 ms later, as long as both are up.
type cluster struct {
	t        *testing.T
	settings Settings
	now      float64
	nodes    []*Dispatcher
	down     []bool
	inbox    [][]Event // what comes at the next step
	sent     [][]Action
	bytes    int
	lastJob  uint32
	noStarts bool
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
		c.t.Fatalf("%d nodes tell in way %d, want by an aggregator", s.Nodes, d.gossip.mode)
	}
	c.nodes[i], c.down[i] = d, false
	c.inbox[i] = []Event{{Kind: EvEndpoints, Form: ListCached, Rows: rows}}
}

// step takes all nodes 10 ms on; each may also be given an event.
func (c *cluster) step(more map[int]Event) {
	c.now += 10
	in := c.inbox
	c.inbox = make([][]Event, len(c.nodes))
	for i := range c.nodes {
		for _, a := range c.sent[i] {
			if !c.noStarts { // else no executor has free slots
				c.inbox[i] = append(c.inbox[i], Event{Kind: EvNotification, Job: a.Job, Executor: a.Executor, Topic: NotificationStarted})
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
					c.t.Fatalf("a message of %d bytes to %d", len(a.Data), a.To)
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

// sendJob has a node take a job and gives the executor that it goes to, 0 if it goes nowhere within some time.
func (c *cluster) sendJob(node int, within float64) (worker uint32) {
	c.lastJob++
	c.step(map[int]Event{node: request(c.lastJob, 0, 0, 1)})
	for end := c.now + within; len(c.sent[node]) == 0; c.step(nil) {
		if c.now >= end {
			return 0
		}
	}
	return c.sent[node][0].Executor
}

// listening makes a crowd whose nodes know the executors' slots, 0 for nodes that do not, and that has listened for
// long enough for any of them to be the aggregator.
func newReadyCluster(t *testing.T, n int, slots float64, rows ...EndpointUpdate) *cluster {
	c := newCluster(t, n, rows...)
	c.step(nil)
	if slots > 0 {
		c.setSlots(slots)
	}
	c.run(aggregatorReadyRuns*c.nodes[0].serviceTimes.meanRun + 1000)
	return c
}

// setSlots gives all nodes the slots of all executors, as reports would with time.
func (c *cluster) setSlots(slots float64) {
	for _, d := range c.nodes {
		for _, executor := range d.endpoints.listed {
			executor.load.slots = slots
		}
		d.capacity.kindSlots[0] = slots
	}
}

// aggregator gives the node that is told by all that are up, -1 if they differ.
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
