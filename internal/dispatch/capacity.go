package dispatch

import "math"

const (
	// reportDecayRate is how fast reports fade, in runs weighted by what they hold. Faster evens out.
	reportDecayRate = 0.5

	// assumedFreeSlots is how many slots are hoped for where a report has faded. More sends sooner, less holds.
	assumedFreeSlots = 0.3

	// starvationFraction is the part of our part of all slots under which a node that sees no free slots counts as starved.
	starvationFraction = 0.8

	// starvationThreshold is how long a node without load information goes without dispatching before it dispatches one
	// request speculatively, in mean slot times.
	starvationThreshold = 2

	// scarcityThreshold is the part of all slots under which free ones are shared among the nodes that see the same few.
	scarcityThreshold = 0.2

	// initialSoftLimit is how many slots an executor without reports is tried with. More fills the fleet quicker at a
	// start.
	initialSoftLimit = 2

	// softLimitBackoff is what a Full outcome, or lateness, leaves of the slots that an executor was thought to take.
	softLimitBackoff = 0.7

	// liveLoadLimit is how many requests a core, as a live weight tells, shut an executor out, if they are
	// liveLoadExcess times the mean as well: where all hold many, the number says nothing.
	liveLoadLimit  = 1.1
	liveLoadExcess = 1.5

	// occupancyIntervals is over how many report intervals it is learned what others hold at executors of a kind.
	occupancyIntervals = 4

	// occupancyPrior is how many reports' worth of the fleet's mean are mixed into a kind's own.
	occupancyPrior = 3

	// noReportShareFactor is how many even parts of an executor's slots a node uses without a fresh report.
	noReportShareFactor = 2
)

// loadEstimate is how much work an executor takes, by its load reports and by what became of this node's attempts.
type loadEstimate struct {
	slots          float64 // most free slots that were ever reported, with those in use then
	freeSlots      float64 // as last reported, moved by what this node sent and what ended since
	reportedAt     float64 // of the last new report, 0 for never
	available      float64 // slots that may be sent now, while jobs are placed
	softLimit      float64 // slots of this node's that it takes, learned without reports
	softLimitCutAt float64 // when the limit was last cut for lateness
	rejectedUntil  float64 // nothing is sent before, because it was full
	rejections     int     // Full outcomes without a served one between
	sampleHash     uint64  // of the values of the last report
	freeMemory     float64 // as last reported, moved like freeSlots; of no meaning unless reportsMemory
	reportsMemory  bool
}

// executorGroup is what is learned of the executors of one kind in one zone together: the mean part of their slots
// that other nodes hold.
type executorGroup struct {
	kind, zone                       int
	occupancySum, samples, updatedAt float64
}

// fleetCapacity is what all executors together take.
type fleetCapacity struct {
	slots             float64               // that this node may use
	fairShareSlots    float64               // our part of all slots
	nextEstimate      float64               // the slots are not estimated anew before
	fleetSlots        float64               // of all executors that are ready, as far as reports showed them
	nextFleetSlots    float64               // these are not counted anew before
	widestRequest     float64               // most slots that a job asked for
	meanPeerOccupancy float64               // part of an executor's slots that other nodes hold, as reports tell
	kindSlots         [machineKinds]float64 // most slots of an executor of each kind
	groups            []*executorGroup
}

func (c *fleetCapacity) groupOf(kind, zone uint8) *executorGroup {
	for _, group := range c.groups {
		if group.kind == int(kind) && group.zone == int(zone) {
			return group
		}
	}
	group := &executorGroup{kind: int(kind), zone: int(zone)}
	c.groups = append(c.groups, group)
	return group
}

// countFleetSlots gives how many slots the executors that are ready have, as far as reports showed them. In a large
// fleet they are counted less often, because a count looks at all.
func (d *Dispatcher) countFleetSlots() float64 {
	capacity := &d.capacity
	if d.now < capacity.nextFleetSlots {
		return capacity.fleetSlots
	}
	capacity.nextFleetSlots = d.now + d.tickInterval()*max(1, float64(len(d.endpoints.listed))/fullScanLimit)
	capacity.fleetSlots = 0
	for _, executor := range d.endpoints.listed {
		if executor.endpoint.condition == Ready {
			capacity.fleetSlots += max(executor.load.slots, capacity.kindSlots[executor.endpoint.kind])
		}
	}
	return capacity.fleetSlots
}

// capacityTotals are sums over the executors of the list, in slots.
type capacityTotals struct {
	own             float64 // held by this node
	reported        float64 // free by a report that is known to hold
	estimated       float64 // free by what was learned otherwise
	queued          float64 // held by this node's attempts that the executors have not started in time
	total           float64
	assumed         float64 // the total, with what an executor is tried with where nothing is known
	largestExecutor float64 // of one executor
	peersKnown      bool    // it is known what other nodes hold
	reportLimit     float64 // the age up to which a report is known to hold
}

// add takes in one executor that new work may go to.
func (t *capacityTotals) add(d *Dispatcher, executor *executor) {
	slots := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	t.total += slots
	t.assumed += max(slots, d.capacity.widestRequest, initialSoftLimit)
	t.largestExecutor = max(t.largestExecutor, slots)
	if t.peersKnown || executor.load.reportedAt > 0 && d.now-executor.load.reportedAt <= t.reportLimit {
		t.reported += max(0, d.availableSlots(executor))
	} else {
		t.estimated += max(0, d.availableSlots(executor))
	}
	if !t.peersKnown && d.isStartOverdue(executor) {
		t.queued += executor.inFlight.unstartedSlots
	}
}

// estimateCapacity counts the slots of this node's running jobs and the free ones, by reports or by what was served.
// Sends move slots from the free ones to our own, so that the sum stays for a while; a large fleet is counted less
// often.
func (d *Dispatcher) estimateCapacity() {
	if d.now < d.capacity.nextEstimate {
		return
	}
	executors := len(d.endpoints.listed)
	if executors > fullScanLimit {
		d.capacity.nextEstimate = d.now + d.tickInterval()*float64(executors)/fullScanLimit
	}
	totals := capacityTotals{peersKnown: executors <= fullScanLimit || d.peerLoadsKnown(),
		reportLimit: min(d.reportTTL(), d.serviceTimes.meanRun)}
	for _, executor := range d.endpoints.listed {
		totals.own += executor.inFlight.slots
		if executor.endpoint.condition == Ready {
			totals.add(d, executor)
		}
	}
	d.setCapacity(&totals)
}

func (d *Dispatcher) setCapacity(totals *capacityTotals) {
	c := &d.capacity
	c.fairShareSlots = starvationFraction * d.fleetShare() * totals.total
	c.slots = totals.own + totals.reported
	if !totals.peersKnown {
		c.slots = d.capacityWithoutPeers(totals)
		c.fairShareSlots = c.slots
	}
	least := totals.largestExecutor
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() && c.slots < scarcityThreshold*totals.total {
		least = min(least, max(c.widestRequest, d.fleetShare()*totals.total)) // all see the same few slots
		own := d.ownSlotsInFlight()
		c.slots = own + (c.slots-own)*c.slots/(scarcityThreshold*totals.total)
	}
	c.slots = max(c.slots, least) // a node that sees no free slots and has nothing in flight would never begin
}

// capacityWithoutPeers is the capacity of a node that does not know what others hold: its part of all slots, as list
// and quotas show them; or what runs of its jobs, free slots that it knows of, and, while nothing queues, as much
// again.
func (d *Dispatcher) capacityWithoutPeers(totals *capacityTotals) float64 {
	part := d.fleetShare() * max(totals.assumed, d.admission.totalQuota*d.serviceTimes.meanSlotTime/1000)
	running := totals.own - totals.queued
	return max(initialSoftLimit, part, running+totals.reported+max(0, min(totals.estimated, running-totals.queued)))
}

// isStarved says that such a node has sent nothing for long, because its jobs hang or run long. It may send one more;
// it would otherwise reject all that comes for as long as their clients wait.
func (d *Dispatcher) isStarved() bool {
	return len(d.endpoints.listed) > fullScanLimit && !d.peerLoadsKnown() &&
		d.now-d.placement.lastDispatchAt > starvationThreshold*d.serviceTimes.meanSlotTime
}

// isStartOverdue says that an executor has not started an attempt of ours in the usual time: it queues, whatever a
// late report tells of free slots.
func (d *Dispatcher) isStartOverdue(executor *executor) bool {
	return d.settings.StartNotifications && d.now-executor.inFlight.oldestUnstarted > d.serviceTimes.startNoteTimeout()
}

// availableSlots is how many more slots of ours an executor takes: by its report, else by what it took before.
func (d *Dispatcher) availableSlots(executor *executor) float64 {
	own := executor.inFlight.slots
	switch {
	case d.now < executor.load.rejectedUntil:
		return 0
	case executor.outlier.unresponsive && !d.outliers.panicking:
		return 1
	case executor.outlier.onProbation:
		return 1 - own
	case executor.inFlight.unstarted > 0 && d.isStartOverdue(executor):
		return 0
	}
	slots := math.Round(d.knownSlots(executor))
	if slots > 0 && d.peerLoadsKnown() { // this is newer than any report
		byNow := max(1, slots*d.slowStart.capacityFraction(executor))
		return math.Round(byNow - own - d.peerSlotsAt(executor) - d.unreportedSlots(executor))
	}
	if d.isOverloadedByWeight(executor) {
		return 0
	}
	if executor.load.reportedAt > 0 && d.now-executor.load.reportedAt <= d.reportTTL() {
		return math.Round(d.decayedFreeSlots(executor)) // to the nearest, because reports are a little noisy
	}
	return d.slotsWithoutReport(executor, slots)
}

// isOverloadedByWeight says that an executor's live weight tells of more requests than cores. A weight is the same
// for all nodes, and late: a high one is no reason to go to an executor, since all would, but a low one is a reason
// to stay away.
func (d *Dispatcher) isOverloadedByWeight(executor *executor) bool {
	position := executor.endpoint.position
	return position < len(d.endpoints.rows) &&
		d.endpoints.rows[position].liveLoad >= max(liveLoadLimit, liveLoadExcess*d.endpoints.meanLiveLoad)
}

// slotsWithoutReport is how many more slots of ours an executor takes that has not reported lately.
func (d *Dispatcher) slotsWithoutReport(executor *executor, slots float64) float64 {
	own := executor.inFlight.slots
	limit := math.Floor(executor.load.softLimit)
	if slots > 0 {
		// Every node guesses at once when reports fail: none takes more than twice its even part.
		limit = min(limit, max(1, math.Round(noReportShareFactor*slots/float64(d.settings.Nodes))))
	}
	if own == 0 {
		limit = max(limit, d.capacity.widestRequest) // a job wider than what was tried so far would never be sent
	}
	limit -= own
	othersReport := d.reports.lastReportAt > 0 && d.now-d.reports.lastReportAt <= reportsEndedFactor*d.reportTTL()
	if slots > 0 && othersReport && d.slowStart.capacityFraction(executor) == 1 {
		// Where the fleet is full, an executor that is not heard of likely is too, unless it is new.
		limit = min(limit, math.Round(slots*(1-d.peerOccupancyAt(executor))-own))
	}
	return limit
}

// decayedFreeSlots is an executor's free slots, with what others hold there drawn from the report to the fleet's mean
// as the report ages against a job's run. Where reports are older than jobs are long, each says who was idle and not
// who is, and all nodes would storm the idlest and shun the full, turn about.
func (d *Dispatcher) decayedFreeSlots(executor *executor) float64 {
	load := &executor.load
	if d.settings.Nodes < 2 || load.slots == 0 {
		return load.freeSlots
	}
	age := reportDecayRate * (d.now - load.reportedAt + d.reports.age) / d.serviceTimes.meanRun
	keep := 1 / (1 + age + age*age/2)
	reported := load.slots - executor.inFlight.slots - load.freeSlots
	usual := d.peerOccupancyAt(executor) * load.slots
	return load.slots - executor.inFlight.slots - usual - (reported-usual)*keep + assumedFreeSlots*(1-keep)
}

// peerOccupancyAt is the part of an executor's slots that others hold, as reports of its kind in its zone tell, drawn
// to the fleet's while they are few. It can be over 1 where jobs are queued.
func (d *Dispatcher) peerOccupancyAt(executor *executor) float64 {
	if len(d.endpoints.listed) <= fullScanLimit {
		return d.capacity.meanPeerOccupancy // too few of a kind in a zone for a mean of their own
	}
	group := executor.group
	keep := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	return (group.occupancySum*keep + occupancyPrior*d.capacity.meanPeerOccupancy) / (group.samples*keep + occupancyPrior)
}

func (d *Dispatcher) occupancyWindow() float64 { return occupancyIntervals * d.reports.interval }

// knownSlots is how many slots an executor has, as reports showed, 0 if none did. Where an aggregator tells what
// others hold, an unknown number counts as what a first trial takes: each of many nodes would otherwise try every
// executor of a kind that it has not met.
func (d *Dispatcher) knownSlots(executor *executor) float64 {
	slots := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	if slots == 0 && d.gossip.mode == gossipAggregator {
		return initialSoftLimit
	}
	return slots
}
