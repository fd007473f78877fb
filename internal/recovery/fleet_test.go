package recovery

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var extraNodes = flag.Int("nodes", 0, "a further number of nodes for TestFleetComesBack, with -v its figures")

// A fleet on virtual time: nodes that were killed come back over some seconds, each with one call to a shared thing that works
// calls off in their turn and refuses what waited too long. A node serves in full once its call was served.

type restartPolicy int

const (
	immediate  restartPolicy = iota // and again a second after each failure
	fullJitter                      // full jitter over the same round, its span doubling
	timeSlots
)

type scheduledCall struct {
	at   float64
	node int
}
type callQueue []scheduledCall

func (c callQueue) Len() int { return len(c) }
func (c callQueue) Less(i, k int) bool {
	return c[i].at < c[k].at || c[i].at == c[k].at && c[i].node < c[k].node
}
func (c callQueue) Swap(i, k int) { c[i], c[k] = c[k], c[i] }
func (c *callQueue) Push(x any)   { *c = append(*c, x.(scheduledCall)) }
func (c *callQueue) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

type recoveryResult struct {
	fullServiceMs float64 // ms until 95% of the nodes serve in full
	peakRate      float64 // calls in the busiest second, over those of the round's rate
	calls         int     // calls made
}

// play has n nodes come back within a span, 92% of them, with a shared thing of a capacity in calls a second of which a tenth
// may be down at first.
func play(p restartPolicy, n int, within, capacity, down float64, seed uint64) recoveryResult {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	round := 1000 * float64(n) / (0.8 * capacity) // what the fleet is known to need, at 0.8 of what is borne
	back := int(0.92 * float64(n))
	var q callQueue
	shares := make([]SlotBackoff, back)
	fails := make([]int, back)
	for i := range back {
		at := rng.Float64() * within
		shares[i] = SlotBackoff{TimeSlots: TimeSlots{Node: i, Nodes: n, Salt: 5}, Round: round, MaxSkipped: 8}
		switch p {
		case fullJitter:
			at += rng.Float64() * round
		case timeSlots:
			at += shares[i].First(at)
		}
		heap.Push(&q, scheduledCall{at, i})
	}
	busyUntil, seconds, served, o := 0.0, map[int]int{}, []float64{}, recoveryResult{}
	for q.Len() > 0 && o.calls < 200*n {
		c := heap.Pop(&q).(scheduledCall)
		o.calls++
		seconds[int(c.at/1000)]++
		wait := max(0, busyUntil-c.at)
		if c.at >= down && wait <= 2000 {
			busyUntil = max(busyUntil, c.at) + 1000/capacity
			served = append(served, busyUntil)
			continue
		}
		failed := c.at + min(wait, 2000)
		fails[c.node]++
		switch p {
		case immediate:
			failed += 1000
		case fullJitter:
			failed += rng.Float64() * round * math.Pow(2, float64(min(fails[c.node], 3)))
		case timeSlots:
			failed += shares[c.node].Retry(failed)
		}
		heap.Push(&q, scheduledCall{failed, c.node})
	}
	slices.Sort(served)
	if len(served) < back {
		o.fullServiceMs = math.Inf(1)
	} else {
		o.fullServiceMs = served[int(0.95*float64(back-1))]
	}
	for _, k := range seconds {
		o.peakRate = max(o.peakRate, float64(k)/(0.8*capacity))
	}
	return o
}

// Where 92% of a fleet come back, all at one moment or within 28 s, with the shared thing up or down at first, the peak of what it
// is asked stays at 1.5 times its steady rate, less than full jitter and far less than all at once; and the time to full service
// is no longer than with full jitter.
func TestFleetComesBack(t *testing.T) {
	sizes := []int{100, 300, 1000}
	if *extraNodes > 0 {
		sizes = append(sizes, *extraNodes)
	}
	for _, n := range sizes {
		for _, x := range []struct {
			what         string
			within, down float64
		}{{"all at one moment", 50, 0}, {"within 28 s", 28000, 0}, {"all at one moment, the shared thing down for 8 s", 50, 8000}} {
			capacity := 35.0 * float64(n) / 300 // as a list that 300 nodes share
			var all [3]recoveryResult
			for p := immediate; p <= timeSlots; p++ {
				for seed := range uint64(5) {
					o := play(p, n, x.within, capacity, x.down, seed)
					all[p].fullServiceMs += o.fullServiceMs / 5
					all[p].peakRate = max(all[p].peakRate, o.peakRate)
					all[p].calls += o.calls
				}
			}
			t.Logf("%4d nodes, %s: to full %6.1f s at once, %5.1f jitter, %5.1f turns; peak %5.1f, %4.2f, %4.2f; calls a node %.1f, %.1f, %.1f", n, x.what,
				all[0].fullServiceMs/1000, all[1].fullServiceMs/1000, all[2].fullServiceMs/1000, all[0].peakRate, all[1].peakRate, all[2].peakRate,
				float64(all[0].calls)/5/float64(n), float64(all[1].calls)/5/float64(n), float64(all[2].calls)/5/float64(n))
			if all[timeSlots].peakRate > 1.5 || all[timeSlots].peakRate > max(1, all[fullJitter].peakRate) || all[timeSlots].fullServiceMs > all[fullJitter].fullServiceMs*1.1 {
				t.Errorf("%d nodes, %s: peak %.2f and %.1f s to full service, full jitter %.2f and %.1f s", n, x.what, all[timeSlots].peakRate, all[timeSlots].fullServiceMs/1000,
					all[fullJitter].peakRate, all[fullJitter].fullServiceMs/1000)
			}
		}
	}
}
