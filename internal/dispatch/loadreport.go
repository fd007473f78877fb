package dispatch

import "math"

const (
	// freshReportIntervals is how many report intervals a report stays fresh. More trusts old reports of free slots.
	freshReportIntervals = 4

	// reportsEndedFactor is how many times that time passes until reports are taken to have ended.
	reportsEndedFactor = 4

	// defaultReportAge is the age of a report when it comes, in report intervals, while nothing else is learned.
	defaultReportAge = 0.7

	// reportAgeStep is the factor between the ages that are compared. Finer ones tell less apart.
	reportAgeStep = 1.75

	// reportAgeDecay is the memory of that comparison. A shorter one follows a change sooner and errs more.
	reportAgeDecay = 0.99

	// reportAgeConfidence is the part of the usual age's scatter under which another age is believed.
	reportAgeConfidence = 0.8

	// defaultAgeCandidate is the candidate that stands for the default age.
	defaultAgeCandidate = 1

	// initialReportIntervalMs is the time between new reports until some are seen.
	initialReportIntervalMs = 500

	// Weights of one gap between new reports in the interval: gaps that are shorter tell more, because a report can be
	// missed.
	shortGapWeight = 0.1
	longGapWeight  = 0.02

	// maxGapFactor bounds a gap, in intervals.
	maxGapFactor = 10

	// slotsRiseWeight is how fast more slots than were seen before are believed: reports are noisy.
	slotsRiseWeight = 0.3

	// occupancyWeight is the weight of one report in the fleet's mean of what others hold.
	occupancyWeight = 0.02

	// slotTolerance is how much a number of slots in a report may be off and still be meant.
	slotTolerance = 0.5
)

// loadReports is what is learned of load reports: how often they come and how old they are then.
type loadReports struct {
	*environment

	interval        float64   // between new reports of an executor
	age             float64   // of a report when it comes
	ageCandidates   [9]spread // of what executors reported to hold less our own jobs, at each age
	reportedHeld    spread    // of what they reported to hold
	selectedAge     int       // the candidate that is believed
	samples         float64   // reports that were compared
	lastAt          float64   // when any executor last sent a new report
	recentReporters recentExecutors
}

func newLoadReports(env *environment) loadReports {
	return loadReports{environment: env, interval: initialReportIntervalMs, selectedAge: defaultAgeCandidate,
		age: defaultReportAge * initialReportIntervalMs}
}

// loadReport is what one report tells; NaN stands for a value that it does not hold.
type loadReport struct {
	free, busy, pending, utilization, memory float64
	serviceTime                              float64 // 0 if not told
	hash                                     uint64
}

// parse reads the values of a report in the order of the settings. Odd values count as not told.
func (r *loadReports) parse(values []float32) loadReport {
	unknown := math.NaN()
	report := loadReport{free: unknown, busy: unknown, pending: unknown, utilization: unknown, memory: unknown, hash: 1}
	for i, value := range values {
		report.hash = mix64(report.hash ^ uint64(math.Float32bits(value)))
		if i >= len(r.settings.Fields) {
			break
		}
		if x := float64(value); !math.IsInf(x, 0) && !(x < 0) {
			report.set(r.settings.Fields[i], x)
		}
	}
	return report
}

func (l *loadReport) set(field Field, value float64) {
	switch field {
	case FieldFree:
		l.free = value
	case FieldBusy:
		l.busy = value
	case FieldPending:
		l.pending = value
	case FieldUtil:
		l.utilization = value
	case FieldMemory:
		l.memory = value
	case FieldLatency:
		l.serviceTime = value
	}
}

// freeSlots is how many slots a report shows to be free, negative where jobs queue, of slots in all. A job holds
// width of them in the mean, and widest at most. It gives false if the report does not tell.
func (l *loadReport) freeSlots(slots, width, widest float64) (free float64, ok bool) {
	switch {
	case !math.IsNaN(l.free):
		if queued := l.queuedJobs(slots, widest); queued > 0 {
			return -queued * width, true
		}
		return l.free, true
	case !math.IsNaN(l.busy):
		return slots - l.busy*width, true
	case !math.IsNaN(l.utilization):
		return slots * (1 - l.utilization), true
	}
	return 0, false
}

// queuedJobs is how many jobs a report with free slots shows to be queued: more requests than slots in use. A wide
// job at the head keeps slots free that none behind it gets.
func (l *loadReport) queuedJobs(slots, widest float64) float64 {
	if !(l.free < widest-slotTolerance) {
		return 0
	}
	if math.IsNaN(l.pending) {
		return math.Round(l.busy - (max(slots, l.free) - l.free))
	}
	return l.pending
}

// held is what a report shows an executor to hold, in requests where it tells them, else in slots.
func (l *loadReport) held(slots, free float64) (held float64, inSlots bool) {
	if !math.IsNaN(l.busy) {
		return l.busy, false
	}
	if !math.IsNaN(l.free) {
		free = l.free
	}
	return max(0, slots-free), true
}

// observeReportGap takes in the time between two reports of an executor.
func (r *loadReports) observeReportGap(gap float64) {
	weight := longGapWeight
	if gap < r.interval {
		weight = shortGapWeight
	}
	r.interval = max(r.interval+(min(gap, maxGapFactor*r.interval)-r.interval)*weight, r.settings.MinStepInterval, 1)
}

// hasFreeSlots says whether a report tells of free slots for a job, and of nothing that is queued for them.
func (r *loadReports) hasFreeSlots(values []float32, slots float64) bool {
	free := false
	for i, value := range values {
		if i >= len(r.settings.Fields) {
			break
		}
		switch x := float64(value); {
		case r.settings.Fields[i] == FieldFree:
			free = x > slots-slotTolerance/2
		case r.settings.Fields[i] == FieldPending && x >= slotTolerance:
			return false
		}
	}
	return free
}

// learnAge learns how old reports are when they come. Reports can be delayed by far more than they usually are
// without any sign of it: all nodes then fill executors that were idle seconds ago and shun those that were full.
// What an executor reports to hold goes up and down with our own jobs there, as they were when the report was taken;
// so of some ages, the one at which the reported load less our own scatters least is the age.
func (r *loadReports) learnAge(executor *executor, held float64, inSlots bool) {
	r.samples++
	weight := max(1-reportAgeDecay, 1/r.samples)
	least, best := math.Inf(1), 0
	unexplained := r.reportedHeld.add(held, weight) // what no jobs of ours explain
	for k := range r.ageCandidates {
		taken := r.now - r.candidateAge(k)
		scatter := r.ageCandidates[k].add(held-executor.ownHeldAt(taken, inSlots), weight)
		// Beyond the oldest of our jobs that are remembered an age counts none of them, explains nothing, and may still
		// beat the usual one where ours are few.
		explained := r.reportedHeld.mean - r.ageCandidates[k].mean
		if scatter < least && explained >= (r.reportedHeld.mean-r.ageCandidates[defaultAgeCandidate].mean)/2 {
			least, best = scatter, k
		}
	}
	confidence := reportAgeConfidence
	if r.selectedAge != defaultAgeCandidate {
		confidence = 1 // once believed, another age holds until the usual one fits as well
	}
	uncertain := least > confidence*r.ageCandidates[defaultAgeCandidate].scatter || least > unexplained
	if uncertain || r.samples < 1/(1-reportAgeDecay) {
		best = defaultAgeCandidate
	}
	age := defaultReportAge * r.interval * math.Pow(reportAgeStep, float64(best-defaultAgeCandidate))
	if best != r.selectedAge {
		r.logf("load report age changed age_ms=%.0f previous_ms=%.0f", age, r.age)
		r.selectedAge = best
	}
	r.age = age
}

func (r *loadReports) candidateAge(k int) float64 {
	return r.interval * defaultReportAge * math.Pow(reportAgeStep, float64(k-defaultAgeCandidate))
}

// ownHeldAt is what our own jobs held at an executor at a time: slots, or requests.
func (e *executor) ownHeldAt(at float64, inSlots bool) (held float64) {
	each := func(slots float64) float64 {
		if inSlots {
			return slots
		}
		return 1
	}
	for _, job := range e.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == e && !attempt.resolved && attempt.sentAt <= at {
				held += each(job.slots)
			}
		}
	}
	for _, attempt := range e.inFlight.ended {
		if attempt.sentAt <= at && attempt.endedAt > at {
			held += each(attempt.slots)
		}
	}
	return held
}

// reportTTL is how long a report holds: some intervals, and at least a run where only answers bring reports.
func (d *Dispatcher) reportTTL() float64 {
	fresh := freshReportIntervals * d.reports.interval
	if d.settings.Telemetry == ReportAnswers {
		fresh = max(fresh, d.serviceTimes.classes[0].work/d.serviceTimes.meanSpeed())
	}
	return fresh
}

// handleLoadReport takes in a load report. One that is the same to the last digit is the same reading come again; but
// while nothing of ours is there, an idle executor may well report the same anew.
func (d *Dispatcher) handleLoadReport(executor *executor, values []float32) {
	if len(values) == 0 {
		return
	}
	load := &executor.load
	report := d.reports.parse(values)
	repeated := report.hash == load.sampleHash
	if repeated && (executor.inFlight.slots > 0 || d.now-load.reportedAt < d.reports.interval) {
		return
	}
	if report.serviceTime > 0 && d.slowStart.share(executor) == 1 && d.serviceTimes.isLittleKnown(executor) {
		// It is told without the wait: of an executor that always queues, and of one seldom used, our own runs tell little.
		d.serviceTimes.add(executor, d.serviceTimes.classes[0].work, report.serviceTime)
	}
	kindSlots := d.capacity.kindSlots[executor.endpoint.kind]
	slots := max(initialSoftLimit, math.Round(load.slots), math.Round(kindSlots))
	free, ok := report.freeSlots(slots, d.serviceTimes.classes[0].slots, d.capacity.widestRequest)
	if !ok {
		return
	}
	if load.reportedAt > 0 && !repeated {
		d.reports.observeReportGap(d.now - load.reportedAt)
	}
	load.sampleHash, load.reportedAt = report.hash, d.now
	d.reports.recentReporters.add(executor)
	held, inSlots := report.held(slots, free)
	d.reports.learnAge(executor, held, inSlots)
	d.setFreeSlots(executor, &report, free)
	d.learnSlots(executor, &report, free, slots)
	d.learnOccupancy(executor)
	// Free slots in a report end the backoff after one Full outcome, to which a late report may have led. An executor
	// that rejects the next attempt as well, beside free slots, drains and is not listed so yet: its backoff stays as
	// long as ever.
	if load.freeSlots >= 1 && load.rejections < 2 {
		load.rejectedUntil = 0
	}
	d.needsPlacement = true
}

// setFreeSlots sets what a report tells to be free, moved by what was sent and what ended since the report was taken.
func (d *Dispatcher) setFreeSlots(executor *executor, report *loadReport, free float64) {
	load := &executor.load
	taken := d.now - d.reports.age
	load.freeSlots, load.freeMemory, load.reportsMemory = free, report.memory, !math.IsNaN(report.memory)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt > taken {
				load.freeSlots -= job.slots
				load.freeMemory -= job.memory
			}
		}
	}
	for _, attempt := range executor.inFlight.ended {
		if attempt.endedAt > taken {
			load.freeSlots += attempt.slots
		}
	}
}

// learnSlots learns how many slots an executor has. With free slots for the widest job nothing is queued, and all
// that is held runs.
func (d *Dispatcher) learnSlots(executor *executor, report *loadReport, free, slots float64) {
	load := &executor.load
	seen := free
	if free >= d.capacity.widestRequest-slotTolerance && report.busy > 0 {
		seen += report.busy
	}
	if load.slots == 0 {
		load.slots = max(0, math.Round(seen))
	} else if seen > load.slots {
		load.slots += (seen - load.slots) * slotsRiseWeight
	}
	kindSlots := &d.capacity.kindSlots[executor.endpoint.kind]
	*kindSlots = max(*kindSlots, load.slots)
	load.freeSlots = min(load.freeSlots, max(slots, load.slots)-executor.inFlight.slots)
}

// learnOccupancy learns what part of an executor's slots other nodes hold.
func (d *Dispatcher) learnOccupancy(executor *executor) {
	load, group := &executor.load, executor.group
	occupancy := max(0, load.slots-executor.inFlight.slots-load.freeSlots) / max(load.slots, 1)
	d.capacity.meanPeerOccupancy += (occupancy - d.capacity.meanPeerOccupancy) * occupancyWeight
	keep := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	group.occupancySum, group.samples, group.updatedAt = group.occupancySum*keep+occupancy, group.samples*keep+1, d.now
	d.reports.lastAt = d.now
}
