package dispatch

import "fmt"

const (
	maxLogBurst   = 60    // log lines at once
	logIntervalMs = 10000 // after which one more line may be logged
)

// environment is what every concern of a Dispatcher shares: the settings, the time of the step, random numbers, and
// the actions that the step returns.
type environment struct {
	settings       Settings
	now            float64 // of this step
	actions        []Action
	needsPlacement bool // something has changed that may let a queued job go
	randomState    uint64
	logBudget      float64 // lines that may be logged as of logBudgetAt
	logBudgetAt    float64
}

func (e *environment) act(action Action) { e.actions = append(e.actions, action) }

// random gives the next number of the node's own sequence, in [0, 1).
func (e *environment) random() float64 {
	e.randomState += 0x9e3779b97f4a7c15
	return float64(mix64(e.randomState)>>11) / (1 << 53)
}

// mix64 scrambles a number so that each of its bits depends on all of the argument's (the finalizer of SplitMix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// logf writes a line, at most maxLogBurst at once and one more each logIntervalMs.
func (e *environment) logf(format string, args ...any) {
	e.logBudget = min(maxLogBurst, e.logBudget+(e.now-e.logBudgetAt)/logIntervalMs)
	e.logBudgetAt = e.now
	if e.logBudget >= 1 {
		e.logBudget--
		e.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}
