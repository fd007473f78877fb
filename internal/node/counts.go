package node

import (
	"encoding/json"
	"fmt"
	"time"

	"gatetack/internal/slowpeer"
)

// counters holds the counts of the core's goroutine, and the slow peers that fronts and adapters report.
type counters struct {
	Counts
	slowPeers slowpeer.Counters
}

// Counts is what the node has done since its start. Both fronts report the same counts.
type Counts struct {
	Accepted, Served, Rejected, Failed, Terminated, ClientsGone int
	Sends, Open, Queued, Running                                int
	// SlowPeers holds the slow peers by kind, as JSON; see slowpeer.Counters.
	SlowPeers []byte
	// Knowledge maps each kind of data to how current it is; see recovery.Knowledge.
	Knowledge map[string]string
}

// JSON returns the counts in the form in which both fronts report them.
func (n Counts) JSON() []byte {
	out := fmt.Appendf(nil, `{"taken":%d,"served":%d,"refused":%d,"failed":%d,"terminated":%d,"gone":%d,`+
		`"sends":%d,"open":%d,"queued":%d,"running":%d`, n.Accepted, n.Served, n.Rejected, n.Failed, n.Terminated,
		n.ClientsGone, n.Sends, n.Open, n.Queued, n.Running)
	if len(n.SlowPeers) > 0 {
		out = append(append(out, `,"slow":`...), n.SlowPeers...)
	}
	if len(n.Knowledge) > 0 {
		knowledge, _ := json.Marshal(n.Knowledge)
		out = append(append(out, `,"knows":`...), knowledge...)
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

// SlowPeers returns the counters to which adapters and fronts add slow peers. Counts reports them.
func (c *Core) SlowPeers() *slowpeer.Counters { return &c.counters.slowPeers }

// currentCounts returns the counts together with the jobs that are open, queued and running at the moment.
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
