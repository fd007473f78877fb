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
	slowPeers slowpeer.Tally
}

// Counts are what the node did since its start. Both fronts show the same ones.
type Counts struct {
	Taken, Served, Refused, Failed, Terminated, Gone int
	Sends, Open, Queued, Running                     int
	// Slow are the slow peers by kind, as JSON; see slowpeer.Tally.
	Slow []byte
	// Knows tells how current the node's knowledge is; see recovery.Knowledge.
	Knows map[string]string
}

// JSON gives the counts as both fronts show them.
func (n Counts) JSON() []byte {
	out := fmt.Appendf(nil, `{"taken":%d,"served":%d,"refused":%d,"failed":%d,"terminated":%d,"gone":%d,`+
		`"sends":%d,"open":%d,"queued":%d,"running":%d`, n.Taken, n.Served, n.Refused, n.Failed, n.Terminated, n.Gone,
		n.Sends, n.Open, n.Queued, n.Running)
	if len(n.Slow) > 0 {
		out = append(append(out, `,"slow":`...), n.Slow...)
	}
	if len(n.Knows) > 0 {
		knows, _ := json.Marshal(n.Knows)
		out = append(append(out, `,"knows":`...), knows...)
	}
	return append(out, '}')
}

// countAnswer counts a final answer.
func (n *Counts) countAnswer(end End) {
	switch end {
	case Served:
		n.Served++
	case Refused:
		n.Refused++
	case Failed:
		n.Failed++
	case Terminated:
		n.Terminated++
	}
}

// Slow counts the slow peers that the core's carriers and fronts find; the counts show them.
func (c *Core) Slow() *slowpeer.Tally { return &c.counters.slowPeers }

// currentCounts adds to the counts what is open at this moment.
func (c *Core) currentCounts(now time.Time) Counts {
	counts := c.counters.Counts
	counts.Slow = c.counters.slowPeers.JSON()
	counts.Knows = c.endpoints.knowledge.Stages(c.clock.sinceStart(now))
	counts.Open = c.Open()
	for _, j := range c.jobs.byID {
		if !j.answered.Load() && j.inFlight > 0 {
			counts.Running++
		}
	}
	counts.Queued = max(0, counts.Open-counts.Running)
	return counts
}
