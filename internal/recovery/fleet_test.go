package recovery

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var extraNodes = flag.Int("nodes", 0, "a further size for the test of a fleet's restart, with -v its figures")

// restartPolicy is how the nodes of a restarted fleet spread their calls to a shared resource.
type restartPolicy int

const (
	immediate  restartPolicy = iota // and again a second after each failure
	fullJitter                      // over the same round, its span doubling with each failure
	timeSlots
	policyCount
)

// Parameters of the simulated restart.
const (
	restartedShare  = 0.92 // of the nodes
	plannedLoad     = 0.8  // of the capacity, which the round's length is made for
	callTimeoutMs   = 2000 // that a call waits at the resource
	maxCallsPerNode = 200  // after which a run is given up
	runs            = 5    // from different seeds
)

// scheduledCall is a call to the shared resource.
type scheduledCall struct {
	at   float64 // ms
	node int
}

// callQueue is a heap of calls, the earliest first.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].node < q[k].node
}
func (q callQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// recoveryResult is how a restart went.
type recoveryResult struct {
	fullServiceMs float64 // until 95% of the nodes were served
	peakRate      float64 // calls in the busiest second, over the planned rate
	calls         int
}

// restart is a fleet that comes back within a span, on virtual time. Each node makes calls to one resource, which
// serves them one after the other and rejects what waited too long, until one was served.
type restart struct {
	policy        restartPolicy
	nodes         int
	withinMs      float64
	capacity      float64 // of the resource, in calls a second
	downMs        float64 // for which it rejects everything at first
	rng           *rand.Rand
	roundMs       float64
	backoffs      []SlotBackoff
	failures      []int
	queue         callQueue
	busyUntilMs   float64
	callsInSecond map[int]int
	servedAt      []float64
	calls         int
	restarted     int // nodes
}

// schedule schedules the first call of each node.
func (r *restart) schedule() {
	r.roundMs = 1000 * float64(r.nodes) / (plannedLoad * r.capacity)
	r.restarted = int(restartedShare * float64(r.nodes))
	r.backoffs, r.failures = make([]SlotBackoff, r.restarted), make([]int, r.restarted)
	r.callsInSecond = map[int]int{}
	for node := range r.restarted {
		at := r.rng.Float64() * r.withinMs
		slots := TimeSlots{Node: node, Nodes: r.nodes, Salt: 5}
		r.backoffs[node] = SlotBackoff{TimeSlots: slots, Round: r.roundMs, MaxSkipped: 8}
		switch r.policy {
		case fullJitter:
			at += r.rng.Float64() * r.roundMs
		case timeSlots:
			at += r.backoffs[node].First(at)
		}
		heap.Push(&r.queue, scheduledCall{at, node})
	}
}

// serve lets the resource serve or reject a call.
func (r *restart) serve(call scheduledCall) {
	r.calls++
	r.callsInSecond[int(call.at/1000)]++
	wait := max(0, r.busyUntilMs-call.at)
	if call.at >= r.downMs && wait <= callTimeoutMs {
		r.busyUntilMs = max(r.busyUntilMs, call.at) + 1000/r.capacity
		r.servedAt = append(r.servedAt, r.busyUntilMs)
		return
	}
	r.retry(call.node, call.at+min(wait, callTimeoutMs))
}

// retry schedules the next call of a node after one that failed at a time.
func (r *restart) retry(node int, failedAt float64) {
	r.failures[node]++
	at := failedAt
	switch r.policy {
	case immediate:
		at += 1000
	case fullJitter:
		at += r.rng.Float64() * r.roundMs * math.Pow(2, float64(min(r.failures[node], 3)))
	case timeSlots:
		at += r.backoffs[node].Retry(failedAt)
	}
	heap.Push(&r.queue, scheduledCall{at, node})
}

// result plays the restart to its end.
func (r *restart) result() recoveryResult {
	r.schedule()
	for r.queue.Len() > 0 && r.calls < maxCallsPerNode*r.nodes {
		r.serve(heap.Pop(&r.queue).(scheduledCall))
	}
	out := recoveryResult{fullServiceMs: math.Inf(1), calls: r.calls}
	slices.Sort(r.servedAt)
	if len(r.servedAt) >= r.restarted {
		out.fullServiceMs = r.servedAt[int(0.95*float64(r.restarted-1))]
	}
	for _, calls := range r.callsInSecond {
		out.peakRate = max(out.peakRate, float64(calls)/(plannedLoad*r.capacity))
	}
	return out
}

// meanOfRuns plays a restart from several seeds: the mean time and calls, and the highest peak.
func meanOfRuns(policy restartPolicy, nodes int, withinMs, downMs float64) (mean recoveryResult) {
	for seed := range uint64(runs) {
		r := restart{policy: policy, nodes: nodes, withinMs: withinMs, downMs: downMs,
			capacity: 35 * float64(nodes) / 300, // as a list that 300 nodes share
			rng:      rand.New(rand.NewPCG(seed, uint64(nodes)))}
		one := r.result()
		mean.fullServiceMs += one.fullServiceMs / runs
		mean.peakRate = max(mean.peakRate, one.peakRate)
		mean.calls += one.calls
	}
	mean.calls /= runs
	return mean
}

// Where 92% of a fleet come back, at one moment or within 28 s, with the shared resource up or down at first, the
// peak of what it is asked stays at 1.5 times its planned rate, less than with full jitter and far less than without
// any spreading, and the time to full service is no longer than with full jitter.
func TestTimeSlotsSpreadARestartedFleet(t *testing.T) {
	sizes := []int{100, 300, 1000}
	if *extraNodes > 0 {
		sizes = append(sizes, *extraNodes)
	}
	for _, nodes := range sizes {
		for _, c := range []struct {
			name             string
			withinMs, downMs float64
		}{
			{"at one moment", 50, 0},
			{"within 28 s", 28000, 0},
			{"at one moment, the resource down for 8 s", 50, 8000},
		} {
			var results [policyCount]recoveryResult
			for policy := range policyCount {
				results[policy] = meanOfRuns(policy, nodes, c.withinMs, c.downMs)
				t.Logf("%4d nodes, %s, policy %d: %.1f s to full service, peak %.2f, %d calls", nodes, c.name, policy,
					results[policy].fullServiceMs/1000, results[policy].peakRate, results[policy].calls)
			}
			slots, jitter := results[timeSlots], results[fullJitter]
			if slots.peakRate > 1.5 || slots.peakRate > max(1, jitter.peakRate) ||
				slots.fullServiceMs > jitter.fullServiceMs*1.1 {
				t.Errorf("%d nodes, %s: time slots %+v, full jitter %+v", nodes, c.name, slots, jitter)
			}
		}
	}
}
