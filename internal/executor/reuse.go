package executor

import (
	"math"
	"time"

	"gatetack/internal/limits"
)

// reuseBuckets is how many spans of idle time are told apart; each is twice as long as the one before.
const reuseBuckets = 12

// reuseHistory counts how many reused connections broke at the next request, by the time they had been idle: doubling
// spans, the first up to KeptFirst. Executors, or what stands before them, may forget idle connections long before
// connIdle, and show nothing of it until the next request; what breaks then may have run, and must not run twice in
// some classes.
type reuseHistory struct {
	decayedAt    time.Time
	uses, breaks [reuseBuckets]float64
}

// decay lets what was learned be forgotten with time.
func (h *reuseHistory) decay(now time.Time, halfLife time.Duration) {
	factor := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(halfLife))
	h.decayedAt = now
	for i := range h.uses {
		h.uses[i] *= factor
		h.breaks[i] *= factor
	}
}

// record takes in what came of a connection that had been idle for some time.
func (h *reuseHistory) record(lim *limits.Limits, idleFor time.Duration, broke bool, now time.Time) {
	h.decay(now, lim.KeptMemory)
	i, edge := 0, lim.KeptFirst
	for ; i < reuseBuckets-1 && idleFor >= edge; i++ {
		edge *= 2
	}
	h.uses[i]++
	if broke {
		h.breaks[i]++
	}
}

// maxIdleTime is how long a connection may have been idle and still be used: up to the first span in which too many
// broke.
func (h *reuseHistory) maxIdleTime(lim *limits.Limits, now time.Time) time.Duration {
	h.decay(now, lim.KeptMemory)
	from, to := time.Duration(0), lim.KeptFirst
	for i := range h.uses {
		if h.breaks[i] > lim.KeptBroken*(h.uses[i]+lim.KeptSure) {
			return min(from, lim.WorkerIdle)
		}
		from, to = to, 2*to
	}
	return lim.WorkerIdle
}
