// Package site decides in which zone a job with input data sets is best run: the time to transfer what is missing against the wait for
// free slots, the run time on the zone's machines, and the price of crossing zones. It does no I/O, reads no clock and starts no
// goroutine. The executor is still chosen by the decision module, which takes a price for each zone.
//
// # What it goes by
//
// A catalogue of which zones have which data, links with the transfers in progress, the wait in each zone as last reported, and this
// node's own choices that no report shows yet. Many nodes see the same report of the same empty zone at the same moment: each assumes
// that all others decide as it does, in proportion to its share of the fleet's jobs, so that the zone fills up in its accounts before
// the next report comes. Nodes do not ask one another; a stale report, an unreachable zone or a wrong entry costs time and breaks no
// rule.
//
// Texts for operators call a zone a hall, as the operators' file does.
package site

import (
	"cmp"
	"math"
	"slices"
)

// Figures of what is kept and believed.
const (
	maxZones         = 16
	copyLifetime     = 3600e3 // ms that a copy which a job made is trusted, unless it is used again
	waitDecayPeriods = 3      // report periods over which an old wait decays to the fleet's mean
	priceAtObjective = 1.0    // the price when all the time that the aim leaves is used up, on the module's scale
	missingLifetime  = 60e3   // ms that a zone is taken not to have what was missing there
	transferCost     = 0.5    // for each ms that a transfer occupies a link, for which others wait
	minLinkShare     = 0.05   // of a link that a transfer is assumed to get at least
)

// Zone is the known state of a zone.
type Zone struct {
	Slots         float64 // of executors that take work
	Speed         float64 // of its machines, 1 for the standard
	Wait          float64 // ms until a job that comes now begins, as reported
	ReportedAt    float64 // of the report, in ms
	Unreachable   bool    // no link reaches it, or it drains: it takes no job, and no data come from it
	CrossingPrice float64 // from this node's zone, on the module's scale
	reservedWork  float64 // work in ms chosen since the report, extrapolated to all nodes
	reservedJobs  int
}

// Links are the links between zones.
type Links struct {
	Rate [maxZones][maxZones]float64 // bytes a ms, zero for none
	busy [maxZones][maxZones]float64 // until when transfers in progress occupy it
}

// transfer is a data set on its way to a zone.
type transfer struct {
	id   ID
	zone int
}

// Site decides for one node.
type Site struct {
	Catalogue    *Catalogue
	Zones        []Zone
	Links        Links
	ReportPeriod float64 // ms between reports
	FleetShare   float64 // of the fleet's jobs that this node gets
	LocalZone    int     // this node's zone
	arrivals     map[transfer]float64
}

// New returns a Site of some zones, with a catalogue of at most so many data sets.
func New(zones, maxSets int) *Site {
	return &Site{Catalogue: NewCatalogue(maxSets), Zones: make([]Zone, zones), ReportPeriod: 1000, FleetShare: 1, arrivals: map[transfer]float64{}}
}

// Input is a data set that a job needs.
type Input struct {
	ID   ID
	Size float64 // bytes, if the job says; else the catalogue's
}

// Job is a job to be placed.
type Job struct {
	Inputs    []Input
	Work      float64 // ms on a standard machine
	Slots     float64
	Objective float64 // ms from now until which it has its full worth
	TimeLeft  float64 // until its deadline
	Pinned    int     // the only zone it may go to, -1 for any: a job that may have run is never sent to a better zone
}

// UpdateZone takes in the report of a zone's wait as of a time. Choices made before that time are part of it.
func (s *Site) UpdateZone(zone int, slots, speed, wait, at float64) {
	z := &s.Zones[zone]
	if at < z.ReportedAt {
		return
	}
	// Choices made while the report was on its way are not part of it: of the reserved work the part since its time stays.
	keep := 0.0
	if at > z.ReportedAt && s.ReportPeriod > 0 {
		keep = math.Exp(-(at - z.ReportedAt) / s.ReportPeriod)
	}
	z.reservedWork *= keep
	z.Slots, z.Speed, z.Wait, z.ReportedAt = slots, speed, wait, at
}

// meanWait returns the mean wait of the zones that take work.
func (s *Site) meanWait() float64 {
	mean, n := 0.0, 0.0
	for i := range s.Zones {
		if x := &s.Zones[i]; !x.Unreachable && x.Slots > 0 {
			mean += x.Wait
			n++
		}
	}
	return mean / max(n, 1)
}

// wait returns how long a job waits for a free slot in a zone.
func (s *Site) wait(z *Zone, mean, now float64) float64 {
	age := max(0, now-z.ReportedAt)
	decay := math.Exp(-age / (waitDecayPeriods * max(s.ReportPeriod, 1)))
	reported := max(0, z.Wait-age*decay*0.5) // the backlog of then is being worked off
	reserved := z.reservedWork / max(z.Slots*z.Speed, 1e-3)
	return reported*decay + mean*(1-decay) + reserved
}

// locateInput returns an input's size and the zones that have it, and whether a zone lacks it. If it is on its way there, it is not locateInput,
// and arrives says in how many ms it will be there.
func (s *Site) locateInput(in Input, zone int, now float64) (size float64, at uint16, arrives float64, lacks bool) {
	size, at = s.Catalogue.Locate(in.ID, now)
	if in.Size > 0 {
		size = in.Size
	}
	if at&(1<<zone) != 0 {
		return size, at, 0, false
	}
	if t, ok := s.arrivals[transfer{in.ID, zone}]; ok && t > now {
		return size, at, t - now, false
	}
	return size, at, 0, true
}

// source returns the zone from which data arrive soonest and how long that takes; -1 if none is known to have them. Load is what the
// same job transfers over the links from each zone besides.
func (s *Site) source(size float64, at uint16, zone int, load *[maxZones]float64, now float64) (ms float64, from int) {
	ms, from = math.Inf(1), -1
	for f := range s.Zones {
		rate := s.Links.Rate[f][zone]
		if at&(1<<f) == 0 || rate <= 0 || s.Zones[f].Unreachable {
			continue
		}
		if t := max(0, s.Links.busy[f][zone]-now) + load[f] + size/rate; t < ms {
			ms, from = t, f
		}
	}
	return ms, from
}

// transferTime returns how long it takes until all inputs are in a zone, and what has to be transferred.
func (s *Site) transferTime(j *Job, zone int, now float64) (ms, bytes, moves float64) {
	var load [maxZones]float64
	for _, in := range j.Inputs {
		size, at, arrives, lacks := s.locateInput(in, zone, now)
		if !lacks {
			ms = max(ms, arrives)
			continue
		}
		best, from := s.source(size, at, zone, &load, now)
		if from < 0 { // no zone is known to have it: it comes from wherever it was made, at the rate of the worst link
			best = size / max(s.slowestRate(zone), 1e-9)
		} else {
			load[from] += size / s.Links.Rate[from][zone]
			moves += size / s.Links.Rate[from][zone]
		}
		ms = max(ms, best)
		bytes += size
	}
	return ms, bytes, moves
}

// slowestRate returns the rate of the slowestRate link to a zone, as a single transfer gets it.
func (s *Site) slowestRate(zone int) float64 {
	rate := math.Inf(1)
	for f := range s.Zones {
		if r := s.Links.Rate[f][zone]; r > 0 {
			rate = min(rate, r)
		}
	}
	if math.IsInf(rate, 1) {
		return 0
	}
	return rate * minLinkShare * 4
}

// rank returns the terms of all zones for a job, the best first.
func (s *Site) rank(j *Job, now float64) []ZoneCost {
	out, mean := make([]ZoneCost, 0, len(s.Zones)), s.meanWait()
	for i := range s.Zones {
		z := &s.Zones[i]
		if z.Unreachable || z.Slots < max(j.Slots, 1) || j.Pinned >= 0 && j.Pinned != i {
			continue
		}
		t := ZoneCost{Zone: i, Wait: s.wait(z, mean, now), Run: j.Work / max(z.Speed, 1e-3)}
		t.Transfer, t.Bytes, t.linkTime = s.transferTime(j, i, now)
		t.Total = max(t.Transfer, t.Wait) + t.Run // data come while it waits for room
		t.Feasible = j.TimeLeft <= 0 || t.Total <= j.TimeLeft
		slack := max(j.Objective-j.Work, 100)
		t.Price = priceAtObjective*(t.Total-j.Work+transferCost*t.linkTime)/slack + z.CrossingPrice
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b ZoneCost) int {
		if a.Feasible != b.Feasible {
			if a.Feasible {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// Choose decides in which zone a job runs, and reserves the work there. If no zone has it done in time the error is a *NoZoneError with
// the best there is.
func (s *Site) Choose(j Job, now float64) (Choice, error) {
	terms := s.rank(&j, now)
	if len(terms) == 0 {
		return Choice{Zone: -1}, &NoZoneError{ZoneCost{Zone: -1, Total: math.Inf(1)}}
	}
	c := Choice{Zone: terms[0].Zone, Costs: terms, ValidUntil: now + s.ReportPeriod, Work: j.Work * max(j.Slots, 1)}
	if !terms[0].Feasible {
		return c, &NoZoneError{terms[0]}
	}
	s.reserve(&j, c, now)
	return c, nil
}

// reserve accounts for a choice: this node's share of what all nodes choose alike, and the transfers for it.
func (s *Site) reserve(j *Job, c Choice, now float64) {
	z := &s.Zones[c.Zone]
	z.reservedWork += c.Work / max(s.FleetShare, 0.01)
	z.reservedJobs++
	var alone [maxZones]float64
	for _, in := range j.Inputs {
		size, at, _, lacks := s.locateInput(in, c.Zone, now)
		if !lacks {
			continue
		}
		if ms, from := s.source(size, at, c.Zone, &alone, now); from >= 0 {
			// The other nodes use the link as this one does.
			s.Links.busy[from][c.Zone] = max(now, s.Links.busy[from][c.Zone]) + size/s.Links.Rate[from][c.Zone]/max(s.FleetShare, 0.01)
			s.arrivals[transfer{in.ID, c.Zone}] = now + ms
		}
	}
	if len(s.arrivals) > 4096 {
		for k, t := range s.arrivals {
			if t <= now {
				delete(s.arrivals, k)
			}
		}
	}
}

// Ended releases a choice, however its job ended; there says whether it ran in the chosen zone, with its inputs there.
func (s *Site) Ended(job Job, c Choice, ranThere bool, now float64) {
	if c.Zone < 0 {
		return
	}
	z := &s.Zones[c.Zone]
	z.reservedJobs = max(0, z.reservedJobs-1)
	if z.reservedJobs == 0 {
		z.reservedWork = 0
	}
	for _, in := range job.Inputs {
		delete(s.arrivals, transfer{in.ID, c.Zone})
		if ranThere {
			size, _ := s.Catalogue.Locate(in.ID, now)
			s.Catalogue.AddCopy(in.ID, max(size, in.Size), c.Zone, now)
		}
	}
}

// Reserved returns the number of choices that have not ended.
func (s *Site) Reserved() (n int) {
	for i := range s.Zones {
		n += s.Zones[i].reservedJobs
	}
	return n
}
