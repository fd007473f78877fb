package dispatch

// Means that forget, and backoff factors.

// arrivalRate is how often something comes, as learned from the times between.
type arrivalRate struct{ perSecond, lastAt float64 }

// arrivalWindowMs is the time constant of an arrival rate. A shorter one follows a flood sooner.
const arrivalWindowMs = 2000

func (a *arrivalRate) add(now float64) {
	if a.lastAt > 0 {
		gap := max(now-a.lastAt, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/arrivalWindowMs)
	}
	a.lastAt = now
}

// movingVariance is a mean that forgets, and the scatter around it.
type movingVariance struct{ mean, variance float64 }

// add takes in a value with a weight between 0 and 1, and gives the scatter.
func (s *movingVariance) add(value, weight float64) float64 {
	off := value - s.mean
	s.mean += off * weight
	s.variance += (off*off - s.variance) * weight
	return s.variance
}

// backoffFactor is the factor of a backoff that has doubled so many times, at most limit times.
func backoffFactor(times, limit int) float64 { return float64(int(1) << min(times, limit)) }
