// Package site chooses the zone in which a job with input data sets runs. It weighs the time to transfer missing data
// sets, the wait for free slots, the run time on the zone's machines, and the price of crossing zones. It does no I/O,
// reads no clock and starts no goroutine. The decision module still chooses the executor; it gets a price for each
// zone.
//
// # Inputs of the choice
//
// The choice is based on a catalogue of the zones that have a data set, links with their transfers in progress, the
// wait in each zone as last reported, and this node's own choices that no report includes yet. Many nodes see the same
// report of the same empty zone at the same moment. Each therefore assumes that all others decide as it does, in
// proportion to its share of the fleet's jobs, so that the zone fills up in its accounting before the next report
// arrives. Nodes do not coordinate; a stale report, an unreachable zone or a wrong catalogue entry costs time but
// violates no rule.
//
// Texts for operators call a zone a hall, as the operators' file does.
package site

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the choice.
const (
	maxZones         = 16
	copyLifetime     = 3600e3 // ms for which a copy made by a job is assumed to exist after its latest use
	waitDecayPeriods = 3      // time constant, in report periods, with which a reported wait decays to the mean
	priceAtObjective = 1.0    // price when the slack of the objective is used up, on the decision module's scale
	missingLifetime  = 60e3   // ms for which a data set that was missing in a zone is assumed to be missing
	transferCost     = 0.5    // cost of each ms for which a transfer occupies a link, because other transfers wait
	minLinkShare     = 0.05   // minimum share of a link that a transfer is assumed to get
)

// Zone is the known state of a zone.
type Zone struct {
	Slots         float64 // slots of the executors that accept work
	Speed         float64 // of its machines, 1 for a standard machine
	Wait          float64 // reported ms until a new job starts
	ReportedAt    float64 // time of the report in ms
	Unreachable   bool    // no link reaches it, or it is draining: it gets no jobs and is no source of data
	CrossingPrice float64 // from this node's zone, on the decision module's scale
	reservedWork  float64 // ms of work chosen since the report, extrapolated to all nodes
	reservedJobs  int
}

// Links are the links between zones.
type Links struct {
	Rate [maxZones][maxZones]float64 // bytes per ms, zero for no link
	busy [maxZones][maxZones]float64 // until when transfers in progress occupy the link
}

// transfer identifies the transfer of a data set to a zone.
type transfer struct {
	id   ID
	zone int
}

// Site chooses zones for the jobs of one node. It is not safe for concurrent use.
type Site struct {
	Catalogue    *Catalogue
	Zones        []Zone
	Links        Links
	ReportPeriod float64 // time between reports in ms
	FleetShare   float64 // this node's share of the fleet's jobs
	LocalZone    int     // zone of this node
	arrivals     map[transfer]float64
}

// New returns a Site of zones zones, with a catalogue of at most maxSets data sets.
func New(zones, maxSets int) *Site {
	return &Site{Catalogue: NewCatalogue(maxSets), Zones: make([]Zone, zones), ReportPeriod: 1000, FleetShare: 1,
		arrivals: map[transfer]float64{}}
}

// Input is a data set that a job needs.
type Input struct {
	ID   ID
	Size float64 // bytes, if the job states it; otherwise the size in the catalogue applies
}

// Job is a job to be placed.
type Job struct {
	Inputs    []Input
	Work      float64 // run time in ms on a standard machine
	Slots     float64
	Objective float64 // latency objective in ms from now
	TimeLeft  float64 // ms until its deadline; 0 for no deadline
	Pinned    int     // the only allowed zone, -1 for any: a job that may have run is never sent to a better zone
}

// UpdateZone applies a report of a zone's state at the given time. The report includes choices made before that time.
func (s *Site) UpdateZone(zone int, slots, speed, wait, at float64) {
	z := &s.Zones[zone]
	if at < z.ReportedAt {
		return
	}
	// Choices made while the report was in transit are not included in it: a part of the reserved work is kept for them.
	keep := 0.0
	if at > z.ReportedAt && s.ReportPeriod > 0 {
		keep = math.Exp(-(at - z.ReportedAt) / s.ReportPeriod)
	}
	z.reservedWork *= keep
	z.Slots, z.Speed, z.Wait, z.ReportedAt = slots, speed, wait, at
}

// meanWait returns the mean wait of the zones that accept work.
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

// wait estimates how long a job waits for a free slot in a zone.
func (s *Site) wait(z *Zone, mean, now float64) float64 {
	age := max(0, now-z.ReportedAt)
	decay := math.Exp(-age / (waitDecayPeriods * max(s.ReportPeriod, 1)))
	reported := max(0, z.Wait-age*decay*0.5) // the reported backlog shrinks meanwhile
	reserved := z.reservedWork / max(z.Slots*z.Speed, 1e-3)
	return reported*decay + mean*(1-decay) + reserved
}

// locateInput returns the size of an input, the bit set of zones that have it, and whether the given zone lacks it. An
// input in transfer to the zone is not lacking, and arrives is the time in ms until it is there.
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

// source returns the zone from which a data set arrives soonest, or -1 if no zone is known to have it, and the time
// that takes. Load is the time for which other transfers of the same job occupy the links from each zone.
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

// transferTime returns the time until all inputs of a job are in a zone, the bytes to transfer, and the time for which
// the transfers occupy links.
func (s *Site) transferTime(j *Job, zone int, now float64) (ms, bytes, moves float64) {
	var load [maxZones]float64
	for _, in := range j.Inputs {
		size, at, arrives, lacks := s.locateInput(in, zone, now)
		if !lacks {
			ms = max(ms, arrives)
			continue
		}
		best, from := s.source(size, at, zone, &load, now)
		if from < 0 { // no zone is known to have it: assume a transfer from its origin over the slowest link
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

// slowestRate returns the rate that a single transfer is assumed to get on the slowest link to a zone.
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

// rank returns the costs of a job in all suitable zones, best first.
func (s *Site) rank(j *Job, now float64) []ZoneCost {
	out, mean := make([]ZoneCost, 0, len(s.Zones)), s.meanWait()
	for i := range s.Zones {
		z := &s.Zones[i]
		if z.Unreachable || z.Slots < max(j.Slots, 1) || j.Pinned >= 0 && j.Pinned != i {
			continue
		}
		t := ZoneCost{Zone: i, Wait: s.wait(z, mean, now), Run: j.Work / max(z.Speed, 1e-3)}
		t.Transfer, t.Bytes, t.linkTime = s.transferTime(j, i, now)
		t.Total = max(t.Transfer, t.Wait) + t.Run // data are transferred while the job waits for a slot
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

// Choose chooses the zone for a job and reserves the work there. If no zone can finish the job in time, the error is a
// *NoZoneError with the best zone, and nothing is reserved.
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

// reserve accounts for a choice: the work, extrapolated to all nodes by this node's share, and the transfers.
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
			// All other nodes are assumed to use the link like this one.
			s.Links.busy[from][c.Zone] = max(now, s.Links.busy[from][c.Zone]) +
				size/s.Links.Rate[from][c.Zone]/max(s.FleetShare, 0.01)
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

// Ended releases a choice after its job has ended in any way. RanThere tells whether the job ran in the chosen zone,
// which then has its inputs.
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

// Reserved returns the number of choices whose jobs have not ended.
func (s *Site) Reserved() (n int) {
	for i := range s.Zones {
		n += s.Zones[i].reservedJobs
	}
	return n
}
