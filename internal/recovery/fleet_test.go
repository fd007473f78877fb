package recovery

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var simNodes = flag.Int("nodes", 0, "a further number of nodes for TestFleetComesBack, with -v its figures")

// A fleet on virtual time: nodes that were killed come back over some seconds, each with one call to a shared thing that works
// calls off in their turn and refuses what waited too long. A node serves in full once its call was served.

type policy int

const (
	atOnce policy = iota // and again a second after each failure
	jitter               // full jitter over the same round, its span doubling
	turns
)

type callAt struct {
	at   float64
	node int
}
type calls []callAt

func (c calls) Len() int { return len(c) }
func (c calls) Less(i, k int) bool {
	return c[i].at < c[k].at || c[i].at == c[k].at && c[i].node < c[k].node
}
func (c calls) Swap(i, k int) { c[i], c[k] = c[k], c[i] }
func (c *calls) Push(x any)   { *c = append(*c, x.(callAt)) }
func (c *calls) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

type outcome struct {
	full  float64 // ms until 95% of the nodes serve in full
	peak  float64 // calls in the busiest second, over those of the round's rate
	total int     // calls made
}

// play has n nodes come back within a span, 92% of them, with a shared thing of a capacity in calls a second of which a tenth
// may be down at first.
func play(p policy, n int, within, capacity, down float64, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	round := 1000 * float64(n) / (0.8 * capacity) // what the fleet is known to need, at 0.8 of what is borne
	back := int(0.92 * float64(n))
	var q calls
	shares := make([]SlotBackoff, back)
	fails := make([]int, back)
	for i := range back {
		at := rng.Float64() * within
		shares[i] = SlotBackoff{TimeSlots: TimeSlots{Me: i, Nodes: n, Salt: 5}, Round: round, MaxSkipped: 8}
		switch p {
		case jitter:
			at += rng.Float64() * round
		case turns:
			at += shares[i].First(at)
		}
		heap.Push(&q, callAt{at, i})
	}
	busyUntil, seconds, served, o := 0.0, map[int]int{}, []float64{}, outcome{}
	for q.Len() > 0 && o.total < 200*n {
		c := heap.Pop(&q).(callAt)
		o.total++
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
		case atOnce:
			failed += 1000
		case jitter:
			failed += rng.Float64() * round * math.Pow(2, float64(min(fails[c.node], 3)))
		case turns:
			failed += shares[c.node].Retry(failed)
		}
		heap.Push(&q, callAt{failed, c.node})
	}
	slices.Sort(served)
	if len(served) < back {
		o.full = math.Inf(1)
	} else {
		o.full = served[int(0.95*float64(back-1))]
	}
	for _, k := range seconds {
		o.peak = max(o.peak, float64(k)/(0.8*capacity))
	}
	return o
}

// Where 92% of a fleet come back, all at one moment or within 28 s, with the shared thing up or down at first, the peak of what it
// is asked stays at 1.5 times its steady rate, less than full jitter and far less than all at once; and the time to full service
// is no longer than with full jitter.
func TestFleetComesBack(t *testing.T) {
	sizes := []int{100, 300, 1000}
	if *simNodes > 0 {
		sizes = append(sizes, *simNodes)
	}
	for _, n := range sizes {
		for _, x := range []struct {
			what         string
			within, down float64
		}{{"all at one moment", 50, 0}, {"within 28 s", 28000, 0}, {"all at one moment, the shared thing down for 8 s", 50, 8000}} {
			capacity := 35.0 * float64(n) / 300 // as a list that 300 nodes share
			var all [3]outcome
			for p := atOnce; p <= turns; p++ {
				for seed := range uint64(5) {
					o := play(p, n, x.within, capacity, x.down, seed)
					all[p].full += o.full / 5
					all[p].peak = max(all[p].peak, o.peak)
					all[p].total += o.total
				}
			}
			t.Logf("%4d nodes, %s: to full %6.1f s at once, %5.1f jitter, %5.1f turns; peak %5.1f, %4.2f, %4.2f; calls a node %.1f, %.1f, %.1f", n, x.what,
				all[0].full/1000, all[1].full/1000, all[2].full/1000, all[0].peak, all[1].peak, all[2].peak,
				float64(all[0].total)/5/float64(n), float64(all[1].total)/5/float64(n), float64(all[2].total)/5/float64(n))
			if all[turns].peak > 1.5 || all[turns].peak > max(1, all[jitter].peak) || all[turns].full > all[jitter].full*1.1 {
				t.Errorf("%d nodes, %s: peak %.2f and %.1f s to full service, full jitter %.2f and %.1f s", n, x.what, all[turns].peak, all[turns].full/1000,
					all[jitter].peak, all[jitter].full/1000)
			}
		}
	}
}
