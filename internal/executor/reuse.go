package executor

import (
	"math"
	"time"

	"gatetack/internal/limits"
)

// reuseBuckets is the number of ranges of idle time; each is twice as long as the one before.
const reuseBuckets = 12

// reuseHistory counts how many reused connections were found broken by the next request, by their idle time in
// doubling ranges, the first up to KeepAliveMinIdle. Executors, or proxies before them, may drop idle connections long
// before connIdle without any sign until the next request. A request that breaks on such a connection may have run,
// and must not run twice in some classes.
type reuseHistory struct {
	decayedAt    time.Time
	uses, breaks [reuseBuckets]float64
}

// decay reduces the weight of older observations.
func (h *reuseHistory) decay(now time.Time, halfLife time.Duration) {
	factor := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(halfLife))
	h.decayedAt = now
	for i := range h.uses {
		h.uses[i] *= factor
		h.breaks[i] *= factor
	}
}

// record records whether a connection that had been idle for idleFor was found broken.
func (h *reuseHistory) record(lim *limits.Limits, idleFor time.Duration, broke bool, now time.Time) {
	h.decay(now, lim.KeepAliveHalfLife)
	i, edge := 0, lim.KeepAliveMinIdle
	for ; i < reuseBuckets-1 && idleFor >= edge; i++ {
		edge *= 2
	}
	h.uses[i]++
	if broke {
		h.breaks[i]++
	}
}

// maxIdleTime returns how long a connection may have been idle and still be reused: up to the first range in which too
// many were broken.
func (h *reuseHistory) maxIdleTime(lim *limits.Limits, now time.Time) time.Duration {
	h.decay(now, lim.KeepAliveHalfLife)
	from, to := time.Duration(0), lim.KeepAliveMinIdle
	for i := range h.uses {
		if h.breaks[i] > lim.KeepAliveMaxBroken*(h.uses[i]+lim.KeepAlivePriorUses) {
			return min(from, lim.ExecutorIdleTimeout)
		}
		from, to = to, 2*to
	}
	return lim.ExecutorIdleTimeout
}
