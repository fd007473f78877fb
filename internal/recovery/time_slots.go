package recovery

import "math"

// TimeSlots divides a round into one time slot for each node of a fleet.
type TimeSlots struct {
	Node, Nodes int
	Salt        uint64 // of the shared resource: neighbors in one resource's round are not neighbors in another's
}

// place returns the start of this node's slot as a fraction of the round. No two nodes have the same place: the step is
// coprime to the number of nodes, so that multiples of it reach every place once.
func (t TimeSlots) place() float64 {
	n := max(t.Nodes, 1)
	step := 1 + int(t.Salt%uint64(n))
	for gcd(step, n) != 1 {
		step = step%n + 1
	}
	return float64(int(uint64(t.Node%n)*uint64(step)%uint64(n))) / float64(n)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Next returns the time in ms from now to this node's next slot. Round is the length of a round in ms, and now is a
// time in ms on the clock that all nodes share.
func (t TimeSlots) Next(now, round float64) float64 {
	if round <= 0 || t.Nodes < 2 {
		return 0
	}
	return math.Mod(t.place()*round-math.Mod(now, round)+2*round, round)
}

// singleNodeWait is how long the only node of a fleet waits for its next slot, in rounds.
const singleNodeWait = 0.75

// After returns the time in ms from now to this node's next slot other than the current one. The only node of a fleet
// has no slots and waits for a fixed part of a round.
func (t TimeSlots) After(now, round float64) float64 {
	if t.Nodes < 2 {
		return singleNodeWait * round
	}
	wait := t.Next(now, round)
	if wait < round/float64(2*t.Nodes) {
		wait += round
	}
	return wait
}

// SlotBackoff schedules a node's calls to a shared resource: at most one call per round, in the node's own slot. While
// calls fail it skips rounds, twice as many each time, so that a failing resource gets fewer calls. The length of a
// round stays the same for all nodes, so that the slots of failing nodes do not overlap with those of others.
type SlotBackoff struct {
	TimeSlots
	Round      float64 // length in ms: number of nodes divided by the resource's capacity in calls per second
	MaxSkipped int     // maximum number of rounds that are skipped
	failures   int
}

// toleratedFailures is the number of consecutive failures that are not yet treated as a sign of overload.
const toleratedFailures = 2

// maxDoublings bounds the exponent of the backoff; MaxSkipped is reached long before.
const maxDoublings = 16

// First returns the time in ms from now to the first call.
func (s *SlotBackoff) First(now float64) float64 { return s.Next(now, s.Round) }

// Succeeded records that a call succeeded.
func (s *SlotBackoff) Succeeded() { s.failures = 0 }

// Retry records that a call failed and returns the time in ms from now to the next one.
func (s *SlotBackoff) Retry(now float64) float64 {
	s.failures++
	skip := 0
	if s.failures > toleratedFailures {
		skip = min(1<<min(s.failures-toleratedFailures-1, maxDoublings), s.MaxSkipped)
	}
	return s.After(now, s.Round) + float64(skip)*s.Round // After skips the slot of the failed call
}
