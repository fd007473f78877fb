package dispatch

// This file compares the clock by which the endpoint list tells starts with this node's.
//
// Both are wall clocks of different machines, either may be off by hours, and discovery lists a process some time after
// it started. What a node observes of each start is the sum of the two: the time from the listed start to its
// notification. A constant error of a clock is in all such delays alike. So the difference between two of them is a
// difference of true delays, and a process is at least as old at its notification as its delay is longer than the least
// one that was observed. What that least delay itself is, time or error, cannot be told; it counts as time as far as a
// budget's margin bears the error.

const (
	// listClockSamples is how many notified starts are compared. After a step of the list's clock by less than would
	// show, estimates are wrong for so many starts.
	listClockSamples = 16

	// maxClockDrift is by how much one clock may run faster than another.
	maxClockDrift = 0.0005
)

// startDelay is how long after its listed start a process was notified.
type startDelay struct{ delay, observedAt float64 }

// listClock holds the delays of the last starts that were notified.
type listClock struct {
	samples [listClockSamples]startDelay
	count   int // of all samples since the last step that showed
}

// processAge is how old a process is when it is notified.
type processAge struct {
	known  bool    // there was an earlier start to compare with
	least  float64 // whatever the list's clock, unless it was stepped
	likely float64 // too much by no more than is tolerated
}

// observe takes in a start that is notified now, and gives the age of its process. Where the least age would be over
// maxAge, the list's clock was likely stepped back, and nothing is known.
//
// A least delay that is tolerated as an error is taken to be a true delay, as it is where the clocks agree. A delay
// over maxAge is none: it says that the clocks differ.
func (c *listClock) observe(now, listed, tolerated, maxAge float64) processAge {
	delay := now - listed
	leastDelay := delay
	for _, sample := range c.samples[:min(c.count, listClockSamples)] {
		leastDelay = min(leastDelay, sample.delay+maxClockDrift*(now-sample.observedAt))
	}
	age := processAge{known: c.count > 0, least: delay - leastDelay, likely: delay - leastDelay}
	switch {
	case age.least > maxAge:
		age, c.count = processAge{}, 0
	case leastDelay > 0 && leastDelay <= maxAge:
		age.likely += min(leastDelay, tolerated)
	}
	c.samples[c.count%listClockSamples] = startDelay{delay, now}
	c.count++
	return age
}
