package dispatch

// Means that forget, and backoff factors.

// arrivals is how often something comes, as learned from the times between.
type arrivals struct{ perSecond, last float64 }

// arrivalWindowMs is the time constant of an arrival rate. A shorter one follows a flood sooner.
const arrivalWindowMs = 2000

func (a *arrivals) add(now float64) {
	if a.last > 0 {
		gap := max(now-a.last, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/arrivalWindowMs)
	}
	a.last = now
}

// spread is a mean that forgets, and the scatter around it.
type spread struct{ mean, scatter float64 }

// add takes in a value with a weight between 0 and 1, and gives the scatter.
func (s *spread) add(value, weight float64) float64 {
	off := value - s.mean
	s.mean += off * weight
	s.scatter += (off*off - s.scatter) * weight
	return s.scatter
}

// doublings is the factor of a backoff that has doubled so many times, at most limit times.
func doublings(times, limit int) float64 { return float64(int(1) << min(times, limit)) }
