package dispatch

import "fmt"

const (
	maxLogBurst   = 60    // log lines at once; one more each logEvery
	logIntervalMs = 10000 // ms
)

// environment is what every concern of a Dispatcher shares: the settings, the time of the step, random numbers, and the actions that
// the step returns.
type environment struct {
	settings       Settings
	now            float64 // of this step
	actions        []Action
	needsPlacement bool // something has changed that may let a queued job go
	randomState    uint64
	logBudget      float64 // lines that may be logged as of logBudgetAt
	logBudgetAt    float64
}

// mix64 scrambles a number so that each of its bits depends on all of the argument's.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// random gives the next number of the instance's own sequence, in [0, 1).
func (e *environment) random() float64 {
	e.randomState += 0x9e3779b97f4a7c15
	return float64(mix64(e.randomState)>>11) / (1 << 53)
}

// log writes a line, at most maxLogs at once and one more each logEvery.
func (e *environment) logf(format string, args ...any) {
	e.logBudget = min(maxLogBurst, e.logBudget+(e.now-e.logBudgetAt)/logIntervalMs)
	e.logBudgetAt = e.now
	if e.logBudget >= 1 {
		e.logBudget--
		e.actions = append(e.actions, Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// logState writes, when a node begins to end jobs itself and when it has not for a while, what it goes by.
func (d *Dispatcher) logRejecting() {
	refusing := d.rejections.lastAt > 0 && d.now-d.rejections.lastAt < tenantActiveMs
	if refusing == d.rejections.active {
		return
	}
	d.rejections.active = refusing
	held, bad := d.reservedTotal(), 0
	for _, executor := range d.endpoints.listed {
		if !d.isUsable(executor) {
			bad++
		}
	}
	d.logf("refusing %v: capacity %.0f slots, %.0f in flight, %d waiting, %d of %d workers unusable, "+
		"list %.0f ms old; ended so far: %d no tokens, %d too late, %d made place", refusing, d.capacity.slots, held,
		len(d.jobs.queue), bad, len(d.endpoints.listed), d.now-d.listWatch.updatedAt, d.rejections.byCause[causeNoTokens], d.rejections.byCause[causeTooLate], d.rejections.byCause[causePreempted])
}
