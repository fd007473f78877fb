package dispatch

// Exponential moving averages and backoff factors.

// arrivalRate is a moving average of the rate of arrivals, derived from the gaps between them.
type arrivalRate struct{ perSecond, lastAt float64 }

// arrivalWindowMs is the time constant of an arrivalRate. A shorter one reacts to a flood sooner.
const arrivalWindowMs = 2000

func (a *arrivalRate) add(now float64) {
	if a.lastAt > 0 {
		gap := max(now-a.lastAt, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/arrivalWindowMs)
	}
	a.lastAt = now
}

// movingVariance is an exponential moving average of values and of their squared deviation from it.
type movingVariance struct{ mean, variance float64 }

// add adds a value with a weight between 0 and 1 and returns the updated variance.
func (s *movingVariance) add(value, weight float64) float64 {
	deviation := value - s.mean
	s.mean += deviation * weight
	s.variance += (deviation*deviation - s.variance) * weight
	return s.variance
}

// backoffFactor returns the factor of an exponential backoff after the given number of doublings, of which at most
// limit count.
func backoffFactor(doublings, limit int) float64 { return float64(int(1) << min(doublings, limit)) }
