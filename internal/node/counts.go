package node

import (
	"encoding/json"
	"fmt"
	"time"

	"gatetack/internal/slowpeer"
)

// counters are what the core's goroutine counts, and the slow peers that fronts and carriers count.
type counters struct {
	Counts
	slowPeers slowpeer.Counters
}

// Counts are what the node did since its start. Both fronts show the same ones.
type Counts struct {
	Accepted, Served, Rejected, Failed, Terminated, ClientsGone int
	Sends, Open, Queued, Running                                int
	// SlowPeers are the slow peers by kind, as JSON; see slowpeer.Tally.
	SlowPeers []byte
	// Knowledge tells how current the node's knowledge is; see recovery.Knowledge.
	Knowledge map[string]string
}

// JSON gives the counts as both fronts show them.
func (n Counts) JSON() []byte {
	out := fmt.Appendf(nil, `{"taken":%d,"served":%d,"refused":%d,"failed":%d,"terminated":%d,"gone":%d,`+
		`"sends":%d,"open":%d,"queued":%d,"running":%d`, n.Accepted, n.Served, n.Rejected, n.Failed, n.Terminated, n.ClientsGone,
		n.Sends, n.Open, n.Queued, n.Running)
	if len(n.SlowPeers) > 0 {
		out = append(append(out, `,"slow":`...), n.SlowPeers...)
	}
	if len(n.Knowledge) > 0 {
		knows, _ := json.Marshal(n.Knowledge)
		out = append(append(out, `,"knows":`...), knows...)
	}
	return append(out, '}')
}

// countAnswer counts a final answer.
func (n *Counts) countAnswer(end End) {
	switch end {
	case Served:
		n.Served++
	case Rejected:
		n.Rejected++
	case Failed:
		n.Failed++
	case Terminated:
		n.Terminated++
	}
}

// SlowPeers counts the slow peers that the core's carriers and fronts find; the counts show them.
func (c *Core) SlowPeers() *slowpeer.Counters { return &c.counters.slowPeers }

// currentCounts adds to the counts what is open at this moment.
func (c *Core) currentCounts(now time.Time) Counts {
	counts := c.counters.Counts
	counts.SlowPeers = c.counters.slowPeers.JSON()
	counts.Knowledge = c.endpoints.knowledge.Stages(c.clock.sinceStart(now))
	counts.Open = c.Open()
	for _, j := range c.jobs.byID {
		if !j.answered.Load() && j.inFlight > 0 {
			counts.Running++
		}
	}
	counts.Queued = max(0, counts.Open-counts.Running)
	return counts
}
