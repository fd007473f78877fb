package dispatch

import "math"

const (
	freshReportIntervals    = 4    // report periods a report stays fresh: longer trusts old room
	reportsEndedFactor      = 4    // times that span until reports are taken to have ended
	defaultReportAge        = 0.7  // age of a report when it comes, of a period, while nothing else is learned
	reportAgeStep           = 1.75 // between the ages that are compared: finer ones tell less apart
	reportAgeMemory         = 0.99 // memory of that comparison: shorter follows a change sooner and errs more
	reportAgeConfidence     = 0.8  // part of the usual age's scatter under which another age is believed
	initialReportIntervalMs = 500  // ms between new reports until some are seen
)

// freshFor is how long a report holds: some periods, and at least a run where only answers bring reports.
func (d *Dispatcher) reportTTL() float64 {
	fresh := freshReportIntervals * d.reports.interval
	if d.settings.Telemetry == ReportAnswers {
		fresh = max(fresh, d.serviceTimes.classes[0].work/d.meanSpeed())
	}
	return fresh
}

// report takes in a load report. One that is the same to the last digit is the same reading come again.
func (d *Dispatcher) handleLoadReport(executor *executor, values []float32) {
	if len(values) == 0 {
		return
	}
	free, busy, pending, util, memory, service := math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.NaN(), 0.0
	sample := uint64(1)
	for i, v := range values {
		sample = mix64(sample ^ uint64(math.Float32bits(v)))
		if i >= len(d.settings.Fields) {
			break
		}
		x := float64(v)
		if math.IsInf(x, 0) || x < 0 {
			continue
		}
		switch d.settings.Fields[i] {
		case FieldFree:
			free = x
		case FieldBusy:
			busy = x
		case FieldPending:
			pending = x
		case FieldUtil:
			util = x
		case FieldMemory:
			memory = x
		case FieldLatency:
			service = x
		}
	}
	if sample == executor.load.sampleHash && (executor.inFlight.slots > 0 || d.now-executor.load.reportedAt < d.reports.interval) {
		return // while nothing of ours is there, an idle worker may well report the same again
	}
	if service > 0 && d.slowStartShare(executor) == 1 && executor.serviceTime.time*d.meanSpeed() < kindSpeedPrior*d.serviceTimes.classes[0].work {
		// Told without the wait: of a worker that always queues, and of one seldom used, our own runs tell little.
		d.addServiceTime(executor, d.serviceTimes.classes[0].work, service)
	}
	slots := max(initialSoftLimit, math.Round(executor.load.slots), math.Round(d.capacity.kindSlots[executor.endpoint.kind]))
	width, told := d.serviceTimes.classes[0].slots, free
	if math.IsNaN(free) {
		switch {
		case !math.IsNaN(busy):
			free = slots - busy*width
		case !math.IsNaN(util):
			free = slots * (1 - util)
		default:
			return
		}
	} else if free < d.capacity.widestRequest-0.5 {
		// More requests than slots in use: the rest is queued. A wide one at the head keeps slots free that
		// nobody behind it gets.
		if math.IsNaN(pending) {
			pending = math.Round(busy - (max(slots, free) - free))
		}
		if pending > 0 {
			free = -pending * width
		}
	}
	if executor.load.reportedAt > 0 && sample != executor.load.sampleHash {
		gap := d.now - executor.load.reportedAt
		pull := 0.02
		if gap < d.reports.interval {
			pull = 0.1
		}
		d.reports.interval = max(d.reports.interval+(min(gap, 10*d.reports.interval)-d.reports.interval)*pull, d.settings.Step, 1)
	}
	executor.load.sampleHash, executor.load.reportedAt = sample, d.now
	d.reports.recentReporters.add(executor)
	held := busy
	if math.IsNaN(busy) {
		if math.IsNaN(told) {
			told = free
		}
		held = max(0, slots-told)
	}
	d.learnReportAge(executor, held, math.IsNaN(busy))
	taken := d.now - d.reports.age
	executor.load.freeSlots, executor.load.freeMemory, executor.load.reportsMemory = free, memory, !math.IsNaN(memory)
	for _, job := range executor.inFlight.jobs {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved {
				if attempt.sentAt > taken {
					executor.load.freeSlots -= job.slots
					executor.load.freeMemory -= job.memory
				}
			}
		}
	}
	for _, x := range executor.inFlight.ended {
		if x.endedAt > taken {
			executor.load.freeSlots += x.slots
		}
	}
	// With room for the widest job nothing is queued, and all that is held runs. Noise asks for a slow rise.
	most := free
	if free >= d.capacity.widestRequest-0.5 && busy > 0 {
		most += busy
	}
	if executor.load.slots == 0 {
		executor.load.slots = max(0, math.Round(most))
	} else if most > executor.load.slots {
		executor.load.slots += (most - executor.load.slots) * 0.3
	}
	d.capacity.kindSlots[executor.endpoint.kind] = max(d.capacity.kindSlots[executor.endpoint.kind], executor.load.slots)
	executor.load.freeSlots = min(executor.load.freeSlots, max(slots, executor.load.slots)-executor.inFlight.slots)
	theirs := max(0, executor.load.slots-executor.inFlight.slots-executor.load.freeSlots) / max(executor.load.slots, 1)
	d.capacity.meanPeerOccupancy += (theirs - d.capacity.meanPeerOccupancy) * 0.02
	group, fade := executor.group, max(0, 1-(d.now-executor.group.updatedAt)/d.occupancyWindow())
	group.occupancySum, group.samples, group.updatedAt = group.occupancySum*fade+theirs, group.samples*fade+1, d.now
	d.reports.lastAt = d.now
	// Room that a report tells ends a wait after one 'full', which a late report may have led to. A worker that turns
	// away the next as well, beside free slots, drains and was not listed so yet: it is left alone for as long as ever.
	if executor.load.freeSlots >= 1 && executor.load.rejections < 2 {
		executor.load.rejectedUntil = 0
	}
	d.needsPlacement = true
}

// tellsRoom says whether a report tells of free slots for a job, and of nothing that queues for them.
func (d *Dispatcher) reportsFreeSlots(values []float32, slots float64) bool {
	room := false
	for i, v := range values {
		switch x := float64(v); {
		case i >= len(d.settings.Fields):
		case d.settings.Fields[i] == FieldFree:
			room = x > slots-0.25
		case d.settings.Fields[i] == FieldPending && x >= 0.5:
			return false
		}
	}
	return room
}

// learnAge learns how old reports are when they come. Reports can be delayed by far more than they usually are
// without any sign of it: all nodes then fill workers that were idle seconds ago and shun those that were full
// (iacbb5d). What a worker told to hold goes up and down with our own jobs there, as they were when the report
// was taken; so of some ages, the one at which held less our own scatters least is the age.
func (d *Dispatcher) learnReportAge(executor *executor, held float64, inSlots bool) {
	d.reports.samples++
	pull := max(1-reportAgeMemory, 1/d.reports.samples)
	least, best := math.Inf(1), 0
	plain := d.reports.held.add(held, pull) // what no jobs of ours explain
	for k := range d.reports.ageCandidates {
		at, ours := d.now-d.reports.interval*defaultReportAge*math.Pow(reportAgeStep, float64(k-1)), 0.0
		add := func(slots float64) {
			if inSlots {
				ours += slots
			} else {
				ours++
			}
		}
		for _, job := range executor.inFlight.jobs {
			for i := range job.attempts {
				if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt <= at {
					add(job.slots)
				}
			}
		}
		for _, x := range executor.inFlight.ended {
			if x.sentAt <= at && x.endedAt > at {
				add(x.slots)
			}
		}
		scatter := d.reports.ageCandidates[k].add(held-ours, pull)
		// Beyond the oldest of our jobs that are remembered an age counts none of them, explains nothing, and still
		// beats the usual one where ours are few: reports were taken to be half a minute old on a day of drains.
		counts := d.reports.held.mean-d.reports.ageCandidates[k].mean >= (d.reports.held.mean-d.reports.ageCandidates[1].mean)/2
		if scatter < least && counts {
			least, best = scatter, k
		}
	}
	sure := reportAgeConfidence
	if d.reports.bestAge != 1 {
		sure = 1 // once believed, it holds until the usual one fits as well
	}
	if least > sure*d.reports.ageCandidates[1].scatter || least > plain || d.reports.samples < 1/(1-reportAgeMemory) {
		best = 1
	}
	age := defaultReportAge * d.reports.interval * math.Pow(reportAgeStep, float64(best-1))
	if best != d.reports.bestAge {
		d.logf("reports are %.0f ms old when they come, was %.0f", age, d.reports.age)
		d.reports.bestAge = best
	}
	d.reports.age = age
}

// loadReports is what is learned of load reports: how often they come and how old they are then.
type loadReports struct {
	interval        float64   // between new reports of an executor
	age             float64   // of a report when it comes
	ageCandidates   [9]spread // of what executors reported to hold less our own jobs, at each age
	held            spread    // of what they reported to hold
	bestAge         int       // the candidate that is believed
	samples         float64   // reports that were compared
	lastAt          float64   // when any executor last sent a new report
	recentReporters recentExecutors
}
