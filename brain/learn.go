package brain

import "math"

// This file holds what is learned from what was seen: what load
// reports and peers tell of room, speeds, and how old reports are. Nothing is decided here;
// the constants are in brain.go with the others.

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
	if sample == executor.sampleHash && (executor.ownSlots > 0 || d.now-executor.reportedAt < d.reportInterval) {
		return // while nothing of ours is there, an idle worker may well report the same again
	}
	if service > 0 && d.slowStartShare(executor) == 1 && executor.time*d.meanSpeed() < speedShrink*d.classes[0].work {
		// Told without the wait: of a worker that always queues, and of one seldom used, our own runs tell little.
		d.addServiceTime(executor, d.classes[0].work, service)
	}
	slots := max(softStart, math.Round(executor.slots), math.Round(d.kinds[executor.kind].slots))
	width, told := d.classes[0].slots, free
	if math.IsNaN(free) {
		switch {
		case !math.IsNaN(busy):
			free = slots - busy*width
		case !math.IsNaN(util):
			free = slots * (1 - util)
		default:
			return
		}
	} else if free < d.widestRequest-0.5 {
		// More requests than slots in use: the rest is queued. A wide one at the head keeps slots free that
		// nobody behind it gets.
		if math.IsNaN(pending) {
			pending = math.Round(busy - (max(slots, free) - free))
		}
		if pending > 0 {
			free = -pending * width
		}
	}
	if executor.reportedAt > 0 && sample != executor.sampleHash {
		gap := d.now - executor.reportedAt
		pull := 0.02
		if gap < d.reportInterval {
			pull = 0.1
		}
		d.reportInterval = max(d.reportInterval+(min(gap, 10*d.reportInterval)-d.reportInterval)*pull, d.settings.Step, 1)
	}
	executor.sampleHash, executor.reportedAt = sample, d.now
	d.recentReporters.add(executor)
	held := busy
	if math.IsNaN(busy) {
		if math.IsNaN(told) {
			told = free
		}
		held = max(0, slots-told)
	}
	d.learnReportAge(executor, held, math.IsNaN(busy))
	taken := d.now - d.reportAge
	executor.freeSlots, executor.freeMemory, executor.reportsMemory = free, memory, !math.IsNaN(memory)
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved {
				if attempt.sentAt > taken {
					executor.freeSlots -= job.slots
					executor.freeMemory -= job.memory
				}
			}
		}
	}
	for _, x := range executor.endedAttempts {
		if x.endedAt > taken {
			executor.freeSlots += x.slots
		}
	}
	// With room for the widest job nothing is queued, and all that is held runs. Noise asks for a slow rise.
	most := free
	if free >= d.widestRequest-0.5 && busy > 0 {
		most += busy
	}
	if executor.slots == 0 {
		executor.slots = max(0, math.Round(most))
	} else if most > executor.slots {
		executor.slots += (most - executor.slots) * 0.3
	}
	d.kinds[executor.kind].slots = max(d.kinds[executor.kind].slots, executor.slots)
	executor.freeSlots = min(executor.freeSlots, max(slots, executor.slots)-executor.ownSlots)
	theirs := max(0, executor.slots-executor.ownSlots-executor.freeSlots) / max(executor.slots, 1)
	d.meanPeerOccupancy += (theirs - d.meanPeerOccupancy) * 0.02
	group, fade := executor.group, max(0, 1-(d.now-executor.group.updatedAt)/d.occupancyWindow())
	group.occupancySum, group.samples, group.updatedAt = group.occupancySum*fade+theirs, group.samples*fade+1, d.now
	d.lastReportAt = d.now
	// Room that a report tells ends a wait after one 'full', which a late report may have led to. A worker that turns
	// away the next as well, beside free slots, drains and was not listed so yet: it is left alone for as long as ever.
	if executor.freeSlots >= 1 && executor.rejections < 2 {
		executor.rejectedUntil = 0
	}
	d.needsPlacement = true
}

// relaxed is a worker's free slots, with what others have there drawn from the report to the fleet's mean as
// the report ages against a job's run. Where reports are older than jobs are long, each says who was idle and
// not who is: all nodes storm the roomiest and shun the full, turn about.
func (d *Dispatcher) decayedFreeSlots(executor *executor) float64 {
	if d.settings.Balancers < 2 || executor.slots == 0 {
		return executor.freeSlots
	}
	x := relax * (d.now - executor.reportedAt + d.reportAge) / d.meanRun
	keep := 1 / (1 + x + x*x/2)
	foreign, usual := executor.slots-executor.ownSlots-executor.freeSlots, d.peerOccupancyAt(executor)*executor.slots
	return executor.slots - executor.ownSlots - usual - (foreign-usual)*keep + relaxHope*(1-keep)
}

// usual is the part of a worker's slots that others hold, as reports of its kind in its zone tell, drawn to
// the fleet's while they are few. It can be over 1 where jobs are queued.
func (d *Dispatcher) peerOccupancyAt(executor *executor) float64 {
	if len(d.executors) <= lookAll {
		return d.meanPeerOccupancy // too few of a kind in a zone for a mean of their own
	}
	group := executor.group
	keep := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	return (group.occupancySum*keep + usualShrink*d.meanPeerOccupancy) / (group.samples*keep + usualShrink)
}

func (d *Dispatcher) occupancyWindow() float64 { return usualPeriods * d.reportInterval }

// slotsOf is how many slots a worker has, as reports showed, 0 if none did. Where the hub tells what others have out it is
// then as many as a first trial takes: else each of many nodes tries every worker of a kind that it has not met.
func (d *Dispatcher) knownSlots(executor *executor) float64 {
	n := max(executor.slots, d.kinds[executor.kind].slots)
	if n == 0 && d.gossipMode == gossipAggregator {
		return softStart
	}
	return n
}

// startLag is how long a start note takes from a worker with room: learned, least lags seen.
func (d *Dispatcher) startNoteTimeout() float64 { return 2*d.minStartLag + startGrace*d.settings.Step }

// arrivals is how often something comes, as learned from the times between.
type arrivals struct{ perSecond, last float64 }

func (a *arrivals) add(now float64) {
	if a.last > 0 {
		gap := max(now-a.last, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/2000)
	}
	a.last = now
}

// countArrival takes in that a request came now.
func (d *Dispatcher) countArrival(repeat bool) {
	d.allArrivals.add(d.now)
	if !repeat {
		d.firstArrivals.add(d.now)
	}
}

// quotaRate is the rate that our part of the quotas goes by. Quotas count a request once, however often its client
// sends it again: in a storm of repeats the parts of all nodes summed to 2.7. Small fleets count each try: there a node
// sees most workers itself, and its part bounds little.
func (d *Dispatcher) quotaRate() float64 {
	if len(d.executors) > lookAll {
		return d.firstArrivals.perSecond
	}
	return d.allArrivals.perSecond
}

// clock learns speed from a served attempt.
func (d *Dispatcher) learnServiceTime(job *job, attempt *attempt) {
	if d.slowStartShare(attempt.executor) < 1 {
		return
	}
	from := attempt.startedAt
	if from == 0 {
		if d.settings.TellsStart || !attempt.hadFreeSlots {
			return // the wait cannot be told from the run
		}
		from = attempt.sentAt
	}
	span := max(d.now-from, 0.1)
	d.meanSlotTime += (job.slots*span - d.meanSlotTime) * 0.02
	d.meanRun += (job.slots*span*span/max(d.meanSlotTime, 1) - d.meanRun) * 0.02
	stats := &d.classes[job.class]
	if job.work == stats.work { // no hint: the class's mean stands for the work
		stats.work += (span*d.meanSpeed() - stats.work) * 0.02
	}
	d.addServiceTime(attempt.executor, job.work, span)
}

// clocked takes in that a worker did some work in some time.
func (d *Dispatcher) addServiceTime(executor *executor, work, span float64) {
	kind := &d.kinds[executor.kind]
	executor.work, executor.time = executor.work*speedKeep+work, executor.time*speedKeep+span
	kind.work, kind.time = kind.work*speedKeep+work, kind.time*speedKeep+span
	d.allKinds.work, d.allKinds.time = d.allKinds.work*speedKeep+work, d.allKinds.time*speedKeep+span
}

func (d *Dispatcher) meanSpeed() float64 {
	mean := d.classes[0].work
	return (d.allKinds.work + mean) / (d.allKinds.time + mean)
}

func (d *Dispatcher) kindSpeed(kind int) float64 {
	stats, mean := &d.kinds[kind], d.classes[0].work
	return (stats.work + mean*d.meanSpeed()) / (stats.time + mean)
}

// speed is a worker's own, drawn to its kind's while little is known, and less while it is cold: it then has a part
// of its capacity, which few jobs do not use up.
func (d *Dispatcher) executorSpeed(executor *executor) float64 {
	mean := speedShrink * d.classes[0].work
	speed, cold := (executor.work+mean*d.kindSpeed(executor.kind))/(executor.time+mean), d.slowStartShare(executor)
	if cold < 1 && d.peerLoadsKnown() {
		cold = min(1, cold*max(1, executor.slots, d.kinds[executor.kind].slots)/(executor.ownSlots+d.peerSlotsAt(executor)+1))
	}
	return speed * cold
}

// fared takes in how a job of a class ended at a worker. A worker can fail one class at once and serve another well,
// so that its errors do not add up to an ejection while it looks roomy and draws more; or turn one class away while it
// tells of free slots. So classes are told apart. One 'full' beside free slots can come of a late report.
// A job that errs at a second worker too may be one that errs wherever it goes: then the first is not to blame either,
// or one bad request that may be tried six times puts its class out at six workers. It was theirs if a third serves it.
func (d *Dispatcher) learnClassOutcome(job *job, executor *executor, event *Event) {
	f, attempt, erred := &executor.classes[job.class], &job.attempts[event.Attempt], 0
	for i := range job.attempts {
		if job.attempts[i].errored {
			erred++
		}
	}
	switch {
	case event.Outcome == Served:
		f.errors.add(d, false)
		executor.errors.add(d, false)
		if attempt.sentAt >= f.failedAt { // else it shows nothing of what came since
			f.consecutive, f.awayUntil = 0, 0
		}
		for i := range job.attempts {
			if erred > 1 && job.attempts[i].errored {
				d.blameClass(job.attempts[i].executor, job.class, Errored)
			}
		}
	case event.Outcome == Errored:
		attempt.errored = true
		switch erred {
		case 0:
			d.blameClass(executor, job.class, Errored)
		case 1:
			for i := range job.attempts {
				if x := &job.attempts[i]; x.errored && x != attempt {
					x.executor.classes[job.class].takeBack(d)
					x.executor.errors.takeBack(d)
				}
			}
		}
	case event.Outcome == Full && d.reportsFreeSlots(event.Report, job.slots):
		d.blameClass(executor, job.class, Full)
	}
}

// lift takes one error back.
func (f *classFailures) takeBack(d *Dispatcher) {
	f.errors.takeBack(d)
	if f.consecutive = max(0, f.consecutive-1); f.consecutive == 0 {
		f.awayUntil = 0
	}
}

// blame holds a job's end against a worker, for its class.
func (d *Dispatcher) blameClass(executor *executor, class int, o Outcome) {
	f := &executor.classes[class]
	if o == Errored {
		f.errors.add(d, true)
		executor.errors.add(d, true)
	}
	if d.now < f.awayUntil {
		return // it was sent before the last one failed
	}
	f.consecutive++
	f.failedAt = d.now
	if o == Full && f.consecutive == 1 {
		return
	}
	base := classAway * max(d.settings.ConnectTimeout, d.settings.Step)
	f.awayUntil = d.now + base*float64(int(1)<<min(f.consecutive-1, ejectMost))*(0.75+0.5*d.random())
	d.reportQuarantine(executor, firstMark+class)
	d.logf("class %d fails at worker %d, kept away until %.0f", class, executor.id, f.awayUntil)
}

// tally counts jobs that ended and those of them that erred, and forgets.
type errorTally struct{ total, errors, updatedAt float64 }

// now is a tally as faded by now.
func (t *errorTally) faded(d *Dispatcher) (n, errs float64) {
	f := math.Exp((t.updatedAt - d.now) / (flakyFor * max(d.settings.ConnectTimeout, d.settings.Step)))
	return t.total * f, t.errors * f
}

// lift takes an error back.
func (t *errorTally) takeBack(d *Dispatcher) {
	n, errs := t.faded(d)
	t.total, t.errors, t.updatedAt = max(0, n-1), max(0, errs-1), d.now
}

func (t *errorTally) add(d *Dispatcher, erred bool) {
	t.total, t.errors = t.faded(d)
	t.total++
	if t.updatedAt = d.now; erred {
		t.errors++
	}
}

// lostFor is the chance that a job errs at a worker, for one that is lost with it: others are tried again, and so it is
// they that show when a worker has mended. A worker can err for a part of its jobs, whichever they
// are, and serve the next: an error kept away its class alone, until the next success, so that each class in turn lost
// jobs there that can not be repeated, and lost them again. What other classes fared there counts until a class has
// fared often enough itself.
func (d *Dispatcher) errorProbability(job *job, executor *executor) float64 {
	all, errs := executor.errors.faded(d)
	if errs < 0.01 || d.settings.Classes[job.class].Effect != Unsafe || d.panicking || d.classes[job.class].failsEverywhere {
		return 0
	}
	own, ownErrs := executor.classes[job.class].errors.faded(d)
	return (ownErrs + flakyPrior*errs/(all+flakyPrior)) / (own + flakyPrior)
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

// fails says whether a job's class failed at a worker lately, and not nearly everywhere.
func (d *Dispatcher) classFailsAt(job *job, executor *executor) bool {
	return d.isClassAway(executor, job.class) && !d.classes[job.class].failsEverywhere
}

// failing says whether a class failed at a worker lately, here or as other nodes found.
func (d *Dispatcher) isClassAway(executor *executor, class int) bool {
	return d.now < executor.classes[class].awayUntil || d.isQuarantined(executor, firstMark+class)
}

// sumFails finds the classes that fail at so many workers that it does not help to keep them away.
func (d *Dispatcher) findFailingClasses() {
	for c := range d.classes {
		n := 0
		for _, executor := range d.executors {
			if d.isClassAway(executor, c) {
				n++
			}
		}
		d.classes[c].failsEverywhere = float64(n) > panicShare*float64(len(d.executors))
	}
}

// spread is a mean that forgets, and the scatter around it.
type spread struct{ mean, scatter float64 }

func (s *spread) add(x, pull float64) float64 {
	off := x - s.mean
	s.mean += off * pull
	s.scatter += (off*off - s.scatter) * pull
	return s.scatter
}

// learnAge learns how old reports are when they come. Reports can be delayed by far more than they usually are
// without any sign of it: all nodes then fill workers that were idle seconds ago and shun those that were full
// (iacbb5d). What a worker told to hold goes up and down with our own jobs there, as they were when the report
// was taken; so of some ages, the one at which held less our own scatters least is the age.
func (d *Dispatcher) learnReportAge(executor *executor, held float64, inSlots bool) {
	d.ageSamples++
	pull := max(1-ageKeep, 1/d.ageSamples)
	least, best := math.Inf(1), 0
	plain := d.reportedLoad.add(held, pull) // what no jobs of ours explain
	for k := range d.ageCandidates {
		at, ours := d.now-d.reportInterval*ageShare*math.Pow(ageStep, float64(k-1)), 0.0
		add := func(slots float64) {
			if inSlots {
				ours += slots
			} else {
				ours++
			}
		}
		for _, job := range executor.inFlight {
			for i := range job.attempts {
				if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt <= at {
					add(job.slots)
				}
			}
		}
		for _, x := range executor.endedAttempts {
			if x.sentAt <= at && x.endedAt > at {
				add(x.slots)
			}
		}
		scatter := d.ageCandidates[k].add(held-ours, pull)
		// Beyond the oldest of our jobs that are remembered an age counts none of them, explains nothing, and still
		// beats the usual one where ours are few: reports were taken to be half a minute old on a day of drains.
		counts := d.reportedLoad.mean-d.ageCandidates[k].mean >= (d.reportedLoad.mean-d.ageCandidates[1].mean)/2
		if scatter < least && counts {
			least, best = scatter, k
		}
	}
	sure := ageSure
	if d.bestAge != 1 {
		sure = 1 // once believed, it holds until the usual one fits as well
	}
	if least > sure*d.ageCandidates[1].scatter || least > plain || d.ageSamples < 1/(1-ageKeep) {
		best = 1
	}
	age := ageShare * d.reportInterval * math.Pow(ageStep, float64(best-1))
	if best != d.bestAge {
		d.logf("reports are %.0f ms old when they come, was %.0f", age, d.reportAge)
		d.bestAge = best
	}
	d.reportAge = age
}
