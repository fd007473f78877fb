package recovery

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var extraNodes = flag.Int("nodes", 0, "additional fleet size for the restart test; -v prints its results")

// restartPolicy determines how the nodes of a restarted fleet spread their calls to a shared resource.
type restartPolicy int

const (
	immediate  restartPolicy = iota // call at once, and again one second after each failure
	fullJitter                      // random time in the round; the interval doubles with each failure
	timeSlots
	policyCount
)

// Parameters of the simulated restart.
const (
	restartedShare  = 0.92 // share of the nodes that restart
	plannedLoad     = 0.8  // share of the capacity for which the round's length is planned
	callTimeoutMs   = 2000 // longest wait of a call at the resource
	maxCallsPerNode = 200  // after which a run is stopped
	runs            = 5    // each with its own seed
)

// scheduledCall is a call to the shared resource.
type scheduledCall struct {
	at   float64 // ms
	node int
}

// callQueue is a heap of calls, earliest first.
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

// recoveryResult is the result of a simulated restart.
type recoveryResult struct {
	fullServiceMs float64 // time until 95% of the nodes were served
	peakRate      float64 // calls in the busiest second divided by the planned rate
	calls         int
}

// restart simulates the restart of a fleet within a time span, on virtual time. Each node calls one shared resource
// until one of its calls is served. The resource serves calls one at a time and rejects those that waited too long.
type restart struct {
	policy        restartPolicy
	nodes         int
	withinMs      float64
	capacity      float64 // of the resource, in calls per second
	downMs        float64 // how long the resource rejects all calls at first
	rng           *rand.Rand
	roundMs       float64
	backoffs      []SlotBackoff
	failures      []int
	queue         callQueue
	busyUntilMs   float64
	callsInSecond map[int]int
	servedAt      []float64
	calls         int
	restarted     int // number of nodes that restart
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

// serve simulates the resource serving or rejecting a call.
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

// retry schedules a node's next call after a call that failed at failedAt.
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

// result runs the simulation to its end.
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

// meanOfRuns simulates a restart with several seeds. It returns the mean time and number of calls, and the highest
// peak.
func meanOfRuns(policy restartPolicy, nodes int, withinMs, downMs float64) (mean recoveryResult) {
	for seed := range uint64(runs) {
		r := restart{policy: policy, nodes: nodes, withinMs: withinMs, downMs: downMs,
			capacity: 35 * float64(nodes) / 300, // the capacity of an endpoint list that 300 nodes share, scaled
			rng:      rand.New(rand.NewPCG(seed, uint64(nodes)))}
		one := r.result()
		mean.fullServiceMs += one.fullServiceMs / runs
		mean.peakRate = max(mean.peakRate, one.peakRate)
		mean.calls += one.calls
	}
	mean.calls /= runs
	return mean
}

// 92% of a fleet restart, at one moment or within 28 s, with the shared resource available or unavailable at first.
// With time slots the peak call rate is at most 1.5 times the planned rate and not above that of full jitter, and the
// time to full service is at most 1.1 times that of full jitter.
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
