package dispatch

import "math"

// Placement compares executors by cost: the part of a job's priority weight that is likely lost by sending the job
// there. Each term is between 0 and 1.
const (
	// crowdingCost is the cost of an executor without spare slots. A larger one spreads jobs more widely.
	crowdingCost = 0.2

	// latencyCost is the cost of an executor where a job's run would take 1.5 times the time left until its objective.
	latencyCost = 0.5

	// slotTimeCost is the cost of holding slots on an executor of mean speed. A larger one favours fast executors.
	slotTimeCost = 0.1

	// cacheMissCost is the cost of a cache miss, in addition to Fees.Origin.
	cacheMissCost = 0.1

	// tieBreakNoise is the range of the random cost that keeps nodes from choosing the same executor.
	tieBreakNoise = 0.01
)

const (
	// fullScanLimit is the largest number of executors for which a placement round inspects all of them.
	fullScanLimit = 24

	// sampledExecutors is how many random executors a placement round inspects in a larger fleet. A larger sample finds
	// more free slots, but costs CPU and makes the nodes choose the same executors.
	sampledExecutors = 12

	// speculationDelayFraction is the part of a job's slack for which a starved node holds the job before it sends it to
	// an executor without free slots.
	speculationDelayFraction = 0.3

	// roundingSlack is the tolerance for rounding errors in sums of slots and memory.
	roundingSlack = 1e-6
)

// placement holds the executors among which queued jobs choose in one placement round, a pass over the queue.
type placement struct {
	eligible       []*executor // with free slots
	inspected      []*executor
	round          uint64
	inspectedAll   bool            // the fleet or a sample of it, not only affinity candidates, is inspected
	recentlyUsed   recentExecutors // executors that served this node's latest jobs and have an open connection
	lastDispatchAt float64
}

// beginRound discards the results of the previous placement round.
func (p *placement) beginRound() {
	p.eligible, p.inspected = p.eligible[:0], p.inspected[:0]
	p.inspectedAll = false
	p.round++
}

// inspectExecutors inspects the executors among which queued jobs choose: all executors of a small fleet, and in a
// large one those that reported or served last, those that are warming up and a random sample. Inspecting all of a
// large fleet would cost too much CPU, and all nodes would overload the one executor with the most free slots.
func (d *Dispatcher) inspectExecutors() {
	if d.placement.inspectedAll {
		return
	}
	d.placement.inspectedAll = true
	if len(d.endpoints.listed) <= fullScanLimit {
		for _, executor := range d.endpoints.listed {
			d.inspect(executor)
		}
		return
	}
	for i := range d.reports.recentReporters {
		d.inspect(d.reports.recentReporters[i])
		d.inspect(d.placement.recentlyUsed[i])
	}
	for _, executor := range d.slowStart.warmingUp() {
		d.inspect(executor) // its slow start budget seldom allows a job of this node, so each opportunity counts
	}
	for range sampledExecutors {
		d.inspect(d.randomExecutor())
	}
}

// randomExecutor returns a random executor of the endpoint list.
func (d *Dispatcher) randomExecutor() *executor {
	return d.endpoints.listed[int(d.random()*float64(len(d.endpoints.listed)))]
}

// inspect estimates the available slots of an executor, once per round, and makes it eligible if it is usable and has
// free slots.
func (d *Dispatcher) inspect(executor *executor) {
	if executor == nil || executor.lastInspectionRound == d.placement.round || !d.isUsable(executor) {
		return
	}
	executor.lastInspectionRound = d.placement.round
	d.placement.inspected = append(d.placement.inspected, executor)
	executor.load.available = d.availableSlots(executor)
	if executor.load.available >= 1 && d.slowStartAllows(executor, 0) {
		d.placement.eligible = append(d.placement.eligible, executor)
	}
}

// chooseExecutor returns the eligible executor with the lowest cost for a job. It returns nil if there is none, or if
// the job should rather wait for an executor that likely has the data of its key cached.
func (d *Dispatcher) chooseExecutor(job *job) *executor {
	d.findAffinityCandidates(job)
	for _, executor := range job.candidates {
		d.inspect(executor)
	}
	waits := d.waitsForAffinity(job)
	from := job.candidates // while a job waits for one of them, the rest of a large fleet is not inspected
	if !waits || len(d.endpoints.listed) <= fullScanLimit {
		d.inspectExecutors()
		from = d.placement.eligible
	}
	var best *executor
	minCost, bestMiss := math.Inf(1), 0.0
	for _, executor := range from {
		if !d.isEligible(job, executor) {
			continue
		}
		cost, miss := d.costOf(job, executor)
		if cost < minCost {
			minCost, best, bestMiss = cost, executor, miss
		}
	}
	if best != nil && bestMiss >= cacheMissThreshold && waits {
		return nil
	}
	return best
}

// isEligible reports whether an executor has the slots and memory for a job and may be sent it.
func (d *Dispatcher) isEligible(job *job, executor *executor) bool {
	if executor.load.available-job.slots < -roundingSlack || !d.isKindAllowed(job, executor) {
		return false
	}
	if !d.isUsable(executor) || !d.isSendAllowed(job, executor) || d.excludesClass(job, executor) {
		return false
	}
	if d.errorProbability(job, executor) > ejectionErrorRate || d.mayLoseJob(job, executor) {
		return false
	}
	// A report of too little memory that no longer changes must not exclude an executor forever: without slots of this
	// node in flight there, memory is not checked.
	lacksMemory := executor.load.reportsMemory && job.memory > executor.load.freeMemory+roundingSlack
	return !lacksMemory || executor.inFlight.slots <= 0
}

func (d *Dispatcher) isKindAllowed(job *job, executor *executor) bool {
	kind := d.settings.Classes[job.class].Kind
	return kind < 0 || executor.endpoint.kind == kind
}

// mayLoseJob reports whether an executor is doubtful enough to lose a job, and the job could not be retried then.
func (d *Dispatcher) mayLoseJob(job *job, executor *executor) bool {
	outlier := &executor.outlier
	doubtful := outlier.unresponsive || d.now < outlier.ackOverdueUntil && !d.outliers.panicking
	return doubtful && d.settings.Classes[job.class].RetrySafety == AtMostOnce
}

// costOf returns the cost of sending a job to an executor and the probability of a cache miss there for the job's key.
func (d *Dispatcher) costOf(job *job, executor *executor) (cost, miss float64) {
	spareSlots := executor.load.available - job.slots
	slack := max(job.objectiveAt-d.now, 1)
	run := job.work / d.executorSpeed(executor)
	cost = crowdingCost/(1+spareSlots) + latencyCost*min(max(0, run/slack-0.5), 1) +
		slotTimeCost*run*d.serviceTimes.meanSpeed()/job.work
	cost += executor.outlier.errorAverage + d.errorProbability(job, executor) + tieBreakNoise*d.random()
	cost += d.zonePrice(job, executor.endpoint.zone)
	if d.settings.Fees.Handshake > 0 && !d.hasOpenConnection(executor) {
		cost += d.settings.Fees.Handshake
	}
	if job.key != 0 {
		miss = cacheMissProbability(job, executor, d.settings.Nodes)
		cost += miss * (d.settings.Fees.Origin + cacheMissCost)
	}
	return cost, miss
}

// zonePrice returns the cost of running a job in a zone: the request's own price if it has one, or else Fees.CrossZone
// for any zone but the node's.
func (d *Dispatcher) zonePrice(job *job, zone int) float64 {
	switch {
	case zone < len(job.zonePrices):
		return job.zonePrices[zone]
	case zone != d.settings.Zone:
		return d.settings.Fees.CrossZone
	}
	return 0
}

// chooseSpeculatively returns an executor without free slots for a job of a starved node, or nil. A node is starved if
// it holds less than its fair share of the slots, sees none free, and has held the job for a part of its slack: busy
// nodes reuse a slot as soon as their own job ends, so that no report shows it as free. The executor is the one with
// the fewest slots of this node, and at most one job queues there.
func (d *Dispatcher) chooseSpeculatively(job *job) *executor {
	slack := job.objectiveAt - job.work/d.serviceTimes.meanSpeed() - job.arrivedAt
	usesFairShare := d.ownSlotsInFlight()+job.slots > d.capacity.fairShareSlots && !d.isStarved()
	delayed := d.now >= job.arrivedAt+speculationDelayFraction*slack
	if usesFairShare || job.inFlight > 0 || job.key != 0 || d.peerLoadsKnown() || !delayed {
		return nil
	}
	var best *executor
	for _, executor := range d.placement.inspected {
		if !d.isSpeculationAllowed(job, executor) {
			continue
		}
		if best == nil || hasFewerOwnSlots(executor, best) {
			best = executor
		}
	}
	return best
}

// hasFewerOwnSlots reports whether this node holds fewer slots at a than at b or, if it holds as many, whether a has
// more available slots.
func hasFewerOwnSlots(a, b *executor) bool {
	if a.inFlight.slots != b.inFlight.slots {
		return a.inFlight.slots < b.inFlight.slots
	}
	return a.load.available > b.load.available
}

// isSpeculationAllowed reports whether a starved node may send a job to an executor that shows no free slots: at most
// one job may queue there, and the node's slots there stay within its fair share unless it holds none.
func (d *Dispatcher) isSpeculationAllowed(job *job, executor *executor) bool {
	hasQueuedJob := executor.inFlight.unstarted > 0 && d.settings.StartNotifications
	if !d.isUsable(executor) || executor.outlier.unresponsive || hasQueuedJob || d.now < executor.load.rejectedUntil {
		return false
	}
	if d.excludesClass(job, executor) || !d.isKindAllowed(job, executor) {
		return false
	}
	if d.errorProbability(job, executor) > ejectionErrorRate || !d.isSendAllowed(job, executor) {
		return false
	}
	slots := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	fairShare := d.fleetShare()*slots + 0.5
	return executor.inFlight.slots <= 0 || executor.inFlight.slots+job.slots <= fairShare
}
