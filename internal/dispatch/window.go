package dispatch

// arrivals is how often something comes, as learned from the times between.
type arrivals struct{ perSecond, last float64 }

// spread is a mean that forgets, and the scatter around it.
type spread struct{ mean, scatter float64 }

func (s *spread) add(x, pull float64) float64 {
	off := x - s.mean
	s.mean += off * pull
	s.scatter += (off*off - s.scatter) * pull
	return s.scatter
}

func (a *arrivals) add(now float64) {
	if a.last > 0 {
		gap := max(now-a.last, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/2000)
	}
	a.last = now
}
