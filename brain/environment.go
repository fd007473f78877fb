package brain

import "fmt"

const (
	maxLogBurst   = 60    // log lines at once; one more each logEvery
	logIntervalMs = 10000 // ms
)

func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// random gives the next number of the instance's own sequence, in [0, 1).
func (d *Dispatcher) random() float64 {
	d.randomState += 0x9e3779b97f4a7c15
	return float64(mix64(d.randomState)>>11) / (1 << 53)
}

// log writes a line, at most maxLogs at once and one more each logEvery.
func (d *Dispatcher) logf(format string, args ...any) {
	d.logBudget = min(maxLogBurst, d.logBudget+(d.now-d.logBudgetAt)/logIntervalMs)
	d.logBudgetAt = d.now
	if d.logBudget >= 1 {
		d.logBudget--
		d.actions = append(d.actions, Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// logState writes, when a node begins to end jobs itself and when it has not for a while, what it goes by.
func (d *Dispatcher) logRejecting() {
	refusing := d.lastEndedAt > 0 && d.now-d.lastEndedAt < tenantActiveMs
	if refusing == d.rejecting {
		return
	}
	d.rejecting = refusing
	held, bad := d.reservedTotal(), 0
	for _, executor := range d.executors {
		if !d.isUsable(executor) {
			bad++
		}
	}
	d.logf("refusing %v: capacity %.0f slots, %.0f in flight, %d waiting, %d of %d workers unusable, "+
		"list %.0f ms old; ended so far: %d no tokens, %d too late, %d made place", refusing, d.capacity, held,
		len(d.queue), bad, len(d.executors), d.now-d.listUpdatedAt, d.endedByCause[causeNoTokens], d.endedByCause[causeTooLate], d.endedByCause[causePreempted])
}
