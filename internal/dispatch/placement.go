package dispatch

import "math"

// Placement compares executors by the part of a job's weight that is likely lost there, between 0 and 1 for each term.
const (
	// crowdingCost is feared at an executor with no slot to spare. More spreads jobs wider.
	crowdingCost = 0.2

	// latencyCost is feared when a job's run would use up all the time that its objective leaves.
	latencyCost = 0.5

	// slotTimeCost is for holding slots at an executor of mean speed. More favours fast executors.
	slotTimeCost = 0.1

	// cacheMissCost is for a missed fetch, besides its price.
	cacheMissCost = 0.1

	// tieBreakNoise is a random part that keeps nodes from choosing alike.
	tieBreakNoise = 0.01
)

const (
	// fullScanLimit is the number of executors up to which all of them are inspected for the queued jobs.
	fullScanLimit = 24

	// sampledExecutors is how many are drawn from a larger fleet. More finds more free slots, costs CPU, and herds.
	sampledExecutors = 12

	// speculationDelayFraction is the part of its slack that a starved node holds a job before it queues the job at an executor.
	speculationDelayFraction = 0.3

	// roundingSlack is how much slots and memory may seem to lack by the rounding of sums.
	roundingSlack = 1e-6
)

// placement is which executors queued jobs choose among, in one round over the queue.
type placement struct {
	eligible       []*executor // with free slots
	inspected      []*executor
	round          uint64
	inspectedAll   bool            // the fleet or a sample of it, not only affinity candidates
	recentlyUsed   recentExecutors // those that last served a job of ours, and have a connection
	lastDispatchAt float64
}

// beginRound forgets what was inspected for the last round.
func (p *placement) beginRound() {
	p.eligible, p.inspected = p.eligible[:0], p.inspected[:0]
	p.inspectedAll = false
	p.round++
}

// inspectExecutors gathers the executors with free slots that queued jobs choose among: all of a small fleet; of a
// large one those heard of last, those that warm up and some that are drawn. To inspect all takes CPU, and all nodes
// would storm the same one with most free slots.
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
		d.inspect(executor) // its budget seldom lets a job of this node go there, which is then all the more wanted
	}
	for range sampledExecutors {
		d.inspect(d.randomExecutor())
	}
}

// randomExecutor gives an executor of the list by chance.
func (d *Dispatcher) randomExecutor() *executor {
	return d.endpoints.listed[int(d.random()*float64(len(d.endpoints.listed)))]
}

// inspect adds an executor to those that queued jobs choose among, once in a round, if it is usable and has free slots.
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

// chooseExecutor picks, of the executors with free slots, the one where the least is lost. It gives none where a job
// had better wait for an executor that has its key's data.
func (d *Dispatcher) chooseExecutor(job *job) *executor {
	d.findAffinityCandidates(job)
	for _, executor := range job.candidates {
		d.inspect(executor)
	}
	waits := d.waitsForAffinity(job)
	from := job.candidates // where a job waits for one of them, the rest of a large fleet is not inspected
	if !waits || len(d.endpoints.listed) <= fullScanLimit {
		d.inspectExecutors()
		from = d.placement.eligible
	}
	var best *executor
	leastCost, bestMiss := math.Inf(1), 0.0
	for _, executor := range from {
		if !d.isEligible(job, executor) {
			continue
		}
		cost, miss := d.costOf(job, executor)
		if cost < leastCost {
			leastCost, best, bestMiss = cost, executor, miss
		}
	}
	if best != nil && bestMiss >= cacheMissThreshold && waits {
		return nil
	}
	return best
}

// isEligible says whether an executor has slots for a job and may be sent it.
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
	// With nothing of ours in flight there, a report that stays low must not shut an executor out for good.
	lacksMemory := executor.load.reportsMemory && job.memory > executor.load.freeMemory+roundingSlack
	return !lacksMemory || executor.inFlight.slots <= 0
}

func (d *Dispatcher) isKindAllowed(job *job, executor *executor) bool {
	kind := d.settings.Classes[job.class].Kind
	return kind < 0 || executor.endpoint.kind == kind
}

// mayLoseJob says that an executor may well lose a job that must not be attempted again.
func (d *Dispatcher) mayLoseJob(job *job, executor *executor) bool {
	outlier := &executor.outlier
	doubtful := outlier.unresponsive || d.now < outlier.ackOverdueUntil && !d.outliers.panicking
	return doubtful && d.settings.Classes[job.class].RetrySafety == AtMostOnce
}

// costOf is what is likely lost if a job goes to an executor, and how likely it has to fetch the data of the job's key.
func (d *Dispatcher) costOf(job *job, executor *executor) (cost, miss float64) {
	spare := executor.load.available - job.slots
	slack := max(job.objectiveAt-d.now, 1)
	run := job.work / d.executorSpeed(executor)
	cost = crowdingCost/(1+spare) + latencyCost*min(max(0, run/slack-0.5), 1) +
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

// zonePrice is what an executor's zone costs a job: what the request says of it, or else the price of crossing.
func (d *Dispatcher) zonePrice(job *job, zone int) float64 {
	switch {
	case zone < len(job.zonePrices):
		return job.zonePrices[zone]
	case zone != d.settings.Zone:
		return d.settings.Fees.CrossZone
	}
	return 0
}

// chooseSpeculatively finds an executor for a job of a starved node: one that holds less than its part of all slots, sees none
// free, and has held the job for a good part of its slack. Busy nodes refill a slot as their own job ends, so that no
// report shows it. It takes the executor with fewest of our slots, and queues no more than one job there.
func (d *Dispatcher) chooseSpeculatively(job *job) *executor {
	slack := job.objectiveAt - job.work/d.serviceTimes.meanSpeed() - job.arrivedAt
	hasItsPart := d.ownSlotsInFlight()+job.slots > d.capacity.fairShareSlots && !d.isStarved()
	held := d.now >= job.arrivedAt+speculationDelayFraction*slack
	if hasItsPart || job.inFlight > 0 || job.key != 0 || d.peerLoadsKnown() || !held {
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

func hasFewerOwnSlots(a, b *executor) bool {
	if a.inFlight.slots != b.inFlight.slots {
		return a.inFlight.slots < b.inFlight.slots
	}
	return a.load.available > b.load.available
}

func (d *Dispatcher) isSpeculationAllowed(job *job, executor *executor) bool {
	queuesThere := executor.inFlight.unstarted > 0 && d.settings.StartNotifications
	if !d.isUsable(executor) || executor.outlier.unresponsive || queuesThere || d.now < executor.load.rejectedUntil {
		return false
	}
	if d.excludesClass(job, executor) || !d.isKindAllowed(job, executor) {
		return false
	}
	if d.errorProbability(job, executor) > ejectionErrorRate || !d.isSendAllowed(job, executor) {
		return false
	}
	slots := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	part := d.fleetShare()*slots + 0.5
	return executor.inFlight.slots <= 0 || executor.inFlight.slots+job.slots <= part
}
