package dispatch

import "math"

const (
	// freshReportIntervals is the time that a report stays fresh, in report intervals. A higher value trusts old reports
	// of free slots.
	freshReportIntervals = 4

	// reportsEndedFactor is the multiple of that time after which executors are assumed to send no reports any more.
	reportsEndedFactor = 4

	// defaultReportAge is the assumed age of a report on arrival, in report intervals.
	defaultReportAge = 0.7

	// reportAgeStep is the ratio of adjacent candidate ages. A smaller ratio makes candidates harder to distinguish.
	reportAgeStep = 1.75

	// reportAgeDecay is the part of the statistics of the candidates that is kept at each report. A lower value follows a
	// change sooner and selects a wrong age more often.
	reportAgeDecay = 0.99

	// reportAgeConfidence is the fraction of the default candidate's variance below which another candidate is selected.
	reportAgeConfidence = 0.8

	// defaultAgeCandidate is the index of the candidate for the default age.
	defaultAgeCandidate = 1

	// initialReportIntervalMs is the assumed report interval before any is observed.
	initialReportIntervalMs = 500

	// Weights of one gap between new reports in the estimated interval. Gaps below the estimate weigh more, because a
	// missed report lengthens a gap.
	shortGapWeight = 0.1
	longGapWeight  = 0.02

	// maxGapFactor is the longest gap that counts, in report intervals.
	maxGapFactor = 10

	// slotsRiseWeight is the weight of one report that shows more slots than are known. Reports are noisy.
	slotsRiseWeight = 0.3

	// occupancyWeight is the weight of one report in the fleet's mean occupancy by other nodes.
	occupancyWeight = 0.02

	// slotTolerance is the error up to which a reported number of slots counts as equal.
	slotTolerance = 0.5
)

// loadReports estimates how often load reports arrive and how old they are on arrival.
type loadReports struct {
	*environment

	interval          float64           // ms between new reports of an executor
	age               float64           // estimated age of a report on arrival, in ms
	ageCandidates     [9]movingVariance // reported occupancy minus this node's own at each candidate age
	reportedOccupancy movingVariance    // reported occupancy
	selectedAge       int               // index of the candidate in use
	samples           float64           // number of reports in the comparison
	lastReportAt      float64           // arrival of the last new report of any executor
	recentReporters   recentExecutors
}

func newLoadReports(env *environment) loadReports {
	return loadReports{environment: env, interval: initialReportIntervalMs, selectedAge: defaultAgeCandidate,
		age: defaultReportAge * initialReportIntervalMs}
}

// loadReport holds the values of one report. A value that the report lacks is NaN.
type loadReport struct {
	free, busy, pending, utilization, memory float64
	serviceTime                              float64 // 0 if absent
	hash                                     uint64
}

// parse reads the values of a report in the order of the settings. Negative and infinite values count as absent.
func (r *loadReports) parse(values []float32) loadReport {
	unknown := math.NaN()
	report := loadReport{free: unknown, busy: unknown, pending: unknown, utilization: unknown, memory: unknown, hash: 1}
	for i, value := range values {
		report.hash = mix64(report.hash ^ uint64(math.Float32bits(value)))
		if i >= len(r.settings.ReportFields) {
			break
		}
		if x := float64(value); !math.IsInf(x, 0) && !(x < 0) {
			report.set(r.settings.ReportFields[i], x)
		}
	}
	return report
}

// set stores the value of one field.
func (l *loadReport) set(field ReportField, value float64) {
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

// freeSlots returns the number of free slots that a report shows, which is negative where jobs are queued. The executor
// has slots in total; a job uses width of them on average and widest at most. It returns false if the report lacks
// the fields for this.
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

// queuedJobs returns the number of queued jobs that a report with free slots shows: the pending ones or, without that
// field, the requests in excess of the slots in use. A wide job at the head of the queue keeps free slots from the jobs
// behind it.
func (l *loadReport) queuedJobs(slots, widest float64) float64 {
	if !(l.free < widest-slotTolerance) {
		return 0
	}
	if math.IsNaN(l.pending) {
		return math.Round(l.busy - (max(slots, l.free) - l.free))
	}
	return l.pending
}

// occupancy returns the occupancy that a report shows, in requests if it has that field, otherwise in slots.
func (l *loadReport) occupancy(slots, free float64) (occupancy float64, inSlots bool) {
	if !math.IsNaN(l.busy) {
		return l.busy, false
	}
	if !math.IsNaN(l.free) {
		free = l.free
	}
	return max(0, slots-free), true
}

// observeReportGap updates the estimated report interval with the time between two reports of an executor.
func (r *loadReports) observeReportGap(gap float64) {
	weight := longGapWeight
	if gap < r.interval {
		weight = shortGapWeight
	}
	r.interval = max(r.interval+(min(gap, maxGapFactor*r.interval)-r.interval)*weight, r.settings.MinStepInterval, 1)
}

// hasFreeSlots reports whether a load report shows enough free slots for a job and no queued jobs.
func (r *loadReports) hasFreeSlots(values []float32, slots float64) bool {
	free := false
	for i, value := range values {
		if i >= len(r.settings.ReportFields) {
			break
		}
		switch x := float64(value); {
		case r.settings.ReportFields[i] == FieldFree:
			free = x > slots-slotTolerance/2
		case r.settings.ReportFields[i] == FieldPending && x >= slotTolerance:
			return false
		}
	}
	return free
}

// estimateAge estimates how old reports are on arrival. Reports can be delayed by far more than usual without any sign
// of it. All nodes then fill the executors that were idle seconds ago and avoid those that were full. The occupancy
// that an executor reports follows this node's own jobs there, as they were when the report was taken. The estimate is
// therefore the candidate age at which the reported occupancy minus this node's own has the least variance.
func (r *loadReports) estimateAge(executor *executor, occupancy float64, inSlots bool) {
	r.samples++
	weight := max(1-reportAgeDecay, 1/r.samples)
	leastVariance, best := math.Inf(1), 0
	unexplained := r.reportedOccupancy.add(occupancy, weight) // variance without this node's jobs
	for k := range r.ageCandidates {
		takenAt := r.now - r.candidateAge(k)
		variance := r.ageCandidates[k].add(occupancy-executor.ownOccupancyAt(takenAt, inSlots), weight)
		// An age beyond the oldest recorded job of this node counts none of its jobs. Such an age explains nothing, but
		// may still have less variance than the default one where this node has few jobs.
		explained := r.reportedOccupancy.mean - r.ageCandidates[k].mean
		if variance < leastVariance && explained >= (r.reportedOccupancy.mean-r.ageCandidates[defaultAgeCandidate].mean)/2 {
			leastVariance, best = variance, k
		}
	}
	confidence := reportAgeConfidence
	if r.selectedAge != defaultAgeCandidate {
		confidence = 1 // a selected age stays until the default one fits as well
	}
	uncertain := leastVariance > confidence*r.ageCandidates[defaultAgeCandidate].variance || leastVariance > unexplained
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

// candidateAge returns the age of candidate k in ms.
func (r *loadReports) candidateAge(k int) float64 {
	return r.interval * defaultReportAge * math.Pow(reportAgeStep, float64(k-defaultAgeCandidate))
}

// ownOccupancyAt returns the slots or requests that this node's own jobs occupied at an executor at a point in time.
func (e *executor) ownOccupancyAt(at float64, inSlots bool) (occupancy float64) {
	each := func(slots float64) float64 {
		if inSlots {
			return slots
		}
		return 1
	}
	for _, job := range e.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == e && !attempt.resolved && attempt.sentAt <= at {
				occupancy += each(job.slots)
			}
		}
	}
	for _, attempt := range e.inFlight.ended {
		if attempt.sentAt <= at && attempt.endedAt > at {
			occupancy += each(attempt.slots)
		}
	}
	return occupancy
}

// reportTTL returns how long a report stays valid: some report intervals and, where only answers carry reports, at
// least one run.
func (d *Dispatcher) reportTTL() float64 {
	fresh := freshReportIntervals * d.reports.interval
	if d.settings.Telemetry == ReportAnswers {
		fresh = max(fresh, d.serviceTimes.classes[0].work/d.serviceTimes.meanSpeed())
	}
	return fresh
}

// handleLoadReport updates the load estimate of an executor from a load report. A report with exactly the same values
// is a repeat of the previous sample and is ignored, except that an executor without jobs of this node may report the
// same values in a new sample.
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
	if report.serviceTime > 0 && d.slowStart.capacityFraction(executor) == 1 && d.serviceTimes.hasFewRuns(executor) {
		// The reported service time excludes queueing. This node's own runs say little about an executor that always has
		// a queue, or that it seldom uses.
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
	occupancy, inSlots := report.occupancy(slots, free)
	d.reports.estimateAge(executor, occupancy, inSlots)
	d.setFreeSlots(executor, &report, free)
	d.estimateSlots(executor, &report, free, slots)
	d.observeOccupancy(executor)
	// Free slots in a report end the backoff after a single Full outcome, which may be the consequence of a late report.
	// An executor that reports free slots but rejects the next attempt as well is draining and not yet listed as such, so
	// its backoff stays.
	if load.freeSlots >= 1 && load.rejections < 2 {
		load.rejectedUntil = 0
	}
	d.needsPlacement = true
}

// setFreeSlots sets the free slots and memory from a report, corrected for the attempts that this node sent and that
// ended since the report was taken.
func (d *Dispatcher) setFreeSlots(executor *executor, report *loadReport, free float64) {
	load := &executor.load
	takenAt := d.now - d.reports.age
	load.freeSlots, load.freeMemory, load.reportsMemory = free, report.memory, !math.IsNaN(report.memory)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt > takenAt {
				load.freeSlots -= job.slots
				load.freeMemory -= job.memory
			}
		}
	}
	for _, attempt := range executor.inFlight.ended {
		if attempt.endedAt > takenAt {
			load.freeSlots += attempt.slots
		}
	}
}

// estimateSlots estimates how many slots an executor has. If there are free slots for the widest job, nothing is queued
// and all busy requests are running.
func (d *Dispatcher) estimateSlots(executor *executor, report *loadReport, free, slots float64) {
	load := &executor.load
	shownSlots := free
	if free >= d.capacity.widestRequest-slotTolerance && report.busy > 0 {
		shownSlots += report.busy
	}
	if load.slots == 0 {
		load.slots = max(0, math.Round(shownSlots))
	} else if shownSlots > load.slots {
		load.slots += (shownSlots - load.slots) * slotsRiseWeight
	}
	kindSlots := &d.capacity.kindSlots[executor.endpoint.kind]
	*kindSlots = max(*kindSlots, load.slots)
	load.freeSlots = min(load.freeSlots, max(slots, load.slots)-executor.inFlight.slots)
}

// observeOccupancy updates the estimated fraction of an executor's slots that other nodes use.
func (d *Dispatcher) observeOccupancy(executor *executor) {
	load, group := &executor.load, executor.group
	occupancy := max(0, load.slots-executor.inFlight.slots-load.freeSlots) / max(load.slots, 1)
	d.capacity.meanPeerOccupancy += (occupancy - d.capacity.meanPeerOccupancy) * occupancyWeight
	keep := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	group.occupancySum, group.samples, group.updatedAt = group.occupancySum*keep+occupancy, group.samples*keep+1, d.now
	d.reports.lastReportAt = d.now
}
