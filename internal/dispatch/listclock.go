package dispatch

// This file compares the clock on which the endpoint list gives start times with the clock of this node.
//
// Both are wall clocks of different machines, either may be off by hours, and discovery lists a process some time
// after it started. The observed delay of each start, from its listed time to its notification, is the sum of both
// effects. A constant clock error is the same in every delay, so the difference between two observed delays is a
// difference of true delays: at its notification, a process is at least as old as its delay exceeds the minimum
// observed delay. Whether that minimum is itself a true delay or a clock error cannot be determined. It is counted
// as a true delay as far as the margin of a budget tolerates the error.

const (
	// listClockSamples is the number of starts that are compared. After an undetected step of the list's clock, the
	// estimates of this many starts are wrong.
	listClockSamples = 16

	// maxClockDrift is the maximum relative difference in speed between two clocks.
	maxClockDrift = 0.0005
)

// listingDelay is the time from the listed start of a process to its notification.
type listingDelay struct{ delay, observedAt float64 }

// listClock holds the delays of the most recently notified starts.
type listClock struct {
	samples [listClockSamples]listingDelay
	count   int // number of samples since the last detected clock step
}

// processAge is the age of a process when it is notified.
type processAge struct {
	known    bool    // there was an earlier start to compare with
	minimum  float64 // regardless of a constant error of the list's clock
	estimate float64 // too high by at most the tolerated error
}

// observe records a start that is notified now, and returns the age of its process. If the minimum age is over
// maxAge, the list's clock was probably stepped back; the age is then unknown and the earlier samples are
// discarded.
//
// A minimum delay up to the tolerance is assumed to be a true delay, which is correct where the clocks agree. A
// delay over maxAge is caused by a difference between the clocks.
func (c *listClock) observe(now, listed, tolerance, maxAge float64) processAge {
	delay := now - listed
	minDelay := delay
	for _, sample := range c.samples[:min(c.count, listClockSamples)] {
		minDelay = min(minDelay, sample.delay+maxClockDrift*(now-sample.observedAt))
	}
	age := processAge{known: c.count > 0, minimum: delay - minDelay, estimate: delay - minDelay}
	switch {
	case age.minimum > maxAge:
		age, c.count = processAge{}, 0
	case minDelay > 0 && minDelay <= maxAge:
		age.estimate += min(minDelay, tolerance)
	}
	c.samples[c.count%listClockSamples] = listingDelay{delay, now}
	c.count++
	return age
}
