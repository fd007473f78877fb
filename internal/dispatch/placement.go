package dispatch

import "math"

const (
	speculationDelay = 0.3  // part of its slack that a starved node holds a job before it queues it at a worker
	crowdingCost     = 0.2  // loss feared on a worker with no slot to spare; larger spreads more
	latencyCost      = 0.5  // loss feared when a job's run would use up all the time its aim leaves
	slotTimeCost     = 0.1  // loss for holding slots on a worker of mean speed; larger favours fast workers
	cacheMissCost    = 0.1  // loss for a missed fetch besides its price
	fullScanLimit    = 24   // workers of a fleet that is looked at whole for the jobs waiting
	sampledExecutors = 12   // drawn ones looked at of a larger one: more finds more room, costs CPU and herds
	tieBreakNoise    = 0.01 // random part that keeps nodes from choosing alike
)

// look gathers the workers with room that waiting jobs choose among: all of a small fleet; of a large one
// those heard of last and some drawn: to look at all takes CPU, and all would storm the same roomiest one.
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
		d.inspect(d.placement.recentServers[i])
	}
	for _, executor := range d.endpoints.listed {
		if d.slowStartShare(executor) < 1 {
			d.inspect(executor) // for it is seldom our turn there, and then all the more wanted
		}
	}
	for n := 0; n < sampledExecutors; n++ {
		d.inspect(d.endpoints.listed[int(d.random()*float64(len(d.endpoints.listed)))])
	}
}

// lookAt adds a worker to those that waiting jobs choose among, once, if it may be sent to and has room.
func (d *Dispatcher) inspect(executor *executor) {
	if executor == nil || executor.inspectedIn == d.placement.round || !d.isUsable(executor) {
		return
	}
	executor.inspectedIn = d.placement.round
	d.placement.inspected = append(d.placement.inspected, executor)
	if executor.load.available = d.availableSlots(executor); executor.load.available >= 1 && d.slowStartAllows(executor, 0) {
		d.placement.eligible = append(d.placement.eligible, executor)
	}
}

// choose picks the worker with room where the least is lost: little room to spare, a long run, prices.
func (d *Dispatcher) chooseExecutor(job *job) *executor {
	var best *executor
	least, bestMiss := math.Inf(1), 0.0
	d.findAffinityCandidates(job)
	for _, executor := range job.candidates {
		d.inspect(executor)
	}
	mean := d.meanSpeed()
	// Waiting a little for a worker that holds the key is better than a fetch: when the store behind the
	// keys is short of capacity, fetches hold slots for long, and every job sent astray makes more of them.
	forHome := job.key != 0 && (d.now < job.arrivedAt+affinityWait*(job.objectiveAt-job.work/mean-job.arrivedAt) || d.cacheFetchesExhausted(job))
	var from []*executor
	if forHome && len(d.endpoints.listed) > fullScanLimit {
		from = job.candidates // of many workers the rest is not even looked at
	} else {
		d.inspectExecutors()
		from = d.placement.eligible
	}
	class, slack := &d.settings.Classes[job.class], max(job.objectiveAt-d.now, 1)
	for _, executor := range from {
		spare := executor.load.available - job.slots
		if spare < -1e-6 {
			continue
		}
		if class.Kind >= 0 && executor.endpoint.kind != class.Kind || !d.isUsable(executor) || !d.isSendAllowed(job, executor) || d.classFailsAt(job, executor) {
			continue
		}
		odds := d.errorProbability(job, executor)
		if odds > ejectionErrorRate || (executor.outlier.unresponsive || d.now < executor.outlier.ackOverdueUntil && !d.outliers.panicking) && class.Effect == Unsafe {
			continue // it may well be lost there
		}
		if executor.load.reportsMemory && job.memory > executor.load.freeMemory+1e-6 && executor.inFlight.slots > 0 {
			continue // with nothing of ours out, a report that stays low must not shut a worker out for good
		}
		run := job.work / d.executorSpeed(executor)
		loss := crowdingCost/(1+spare) + latencyCost*min(max(0, run/slack-0.5), 1) + slotTimeCost*run*mean/job.work
		loss += executor.outlier.errorAverage + odds + tieBreakNoise*d.random()
		loss += d.zonePrice(job, executor.endpoint.zone)
		if d.settings.Fees.Handshake > 0 && !d.hasOpenConnection(executor) {
			loss += d.settings.Fees.Handshake
		}
		miss := 0.0
		if job.key != 0 {
			miss = cacheMissProbability(job, executor, d.settings.Balancers)
			loss += miss * (d.settings.Fees.Origin + cacheMissCost)
		}
		if loss < least {
			least, best, bestMiss = loss, executor, miss
		}
	}
	if best != nil && bestMiss >= cacheMissThreshold && forHome {
		return nil
	}
	return best
}

// push finds a worker for a job of a starved node: one that has less than its part of all slots out, sees no
// room, and held the job for a good part of its slack. Busy nodes refill a slot as their own job ends: no
// report shows it. It takes the worker with fewest of our slots, and queues no more than one job there.
func (d *Dispatcher) speculate(job *job) *executor {
	held := speculationDelay * (job.objectiveAt - job.work/d.meanSpeed() - job.arrivedAt)
	full := d.ownSlotsInFlight()+job.slots > d.capacity.fairSlots && !d.isStarved()
	if full || job.inFlight > 0 || job.key != 0 || d.peerLoadsKnown() || d.now < job.arrivedAt+held {
		return nil
	}
	var best *executor
	for _, executor := range d.placement.inspected {
		n := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
		if !d.isUsable(executor) || executor.outlier.unresponsive || executor.inFlight.unstarted > 0 && d.settings.TellsStart || d.now < executor.load.rejectedUntil || d.classFailsAt(job, executor) {
			continue
		}
		class, part := &d.settings.Classes[job.class], d.fleetShare()*n+0.5
		if class.Kind >= 0 && executor.endpoint.kind != class.Kind || d.errorProbability(job, executor) > ejectionErrorRate || !d.isSendAllowed(job, executor) ||
			executor.inFlight.slots > 0 && executor.inFlight.slots+job.slots > part {
			continue
		}
		if best == nil || executor.inFlight.slots < best.inFlight.slots || executor.inFlight.slots == best.inFlight.slots && executor.load.available > best.load.available {
			best = executor
		}
	}
	return best
}

// zonePrice is what a worker's zone costs a job: what the request says of it, or else the price of crossing.
func (d *Dispatcher) zonePrice(job *job, zone int) float64 {
	switch {
	case zone < len(job.zonePrices):
		return job.zonePrices[zone]
	case zone != d.settings.Zone:
		return d.settings.Fees.CrossZone
	}
	return 0
}

// placement is which executors queued jobs choose among, in one round over the queue.
type placement struct {
	eligible       []*executor // with free slots
	inspected      []*executor
	round          uint64
	inspectedAll   bool            // the fleet or a sample of it, not only affinity candidates
	recentServers  recentExecutors // those that last served a job of ours, and have a connection
	lastDispatchAt float64
}
