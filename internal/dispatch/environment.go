package dispatch

import "fmt"

const (
	maxLogBurst   = 60    // number of log lines that may be emitted at once
	logIntervalMs = 10000 // interval at which the log budget grows by one line
)

// environment is the state that all concerns of a Dispatcher share: the settings, the time of the current step, the
// random number generator and the actions that the step returns.
type environment struct {
	settings       Settings
	now            float64 // time of the current step
	actions        []Action
	needsPlacement bool // a change since the last placement round may allow a queued job to be sent
	randomState    uint64
	logBudget      float64 // log lines that may be emitted as of logBudgetAt
	logBudgetAt    float64
}

func (e *environment) act(action Action) { e.actions = append(e.actions, action) }

// random returns the next number in [0, 1) of the node's own pseudo-random sequence (SplitMix64).
func (e *environment) random() float64 {
	e.randomState += 0x9e3779b97f4a7c15
	return float64(mix64(e.randomState)>>11) / (1 << 53)
}

// mix64 is the finalizer of SplitMix64: each bit of its result depends on all bits of the argument.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// logf emits a log line, rate-limited to a burst of maxLogBurst lines and one more line per logIntervalMs.
func (e *environment) logf(format string, args ...any) {
	e.logBudget = min(maxLogBurst, e.logBudget+(e.now-e.logBudgetAt)/logIntervalMs)
	e.logBudgetAt = e.now
	if e.logBudget >= 1 {
		e.logBudget--
		e.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}
