package dispatch

import "math"

const (
	// reportDecayRate is how fast the weight of a report decays with its age, relative to meanRun. A larger rate spreads
	// jobs more evenly.
	reportDecayRate = 0.5

	// assumedFreeSlots is the number of free slots assumed at an executor whose report has lost its weight. With more,
	// jobs are sent sooner; with fewer, they are held longer.
	assumedFreeSlots = 0.3

	// starvationFraction is the part of its share of all slots below which a node that sees no free slots is starved.
	starvationFraction = 0.8

	// starvationThreshold is how long a node without load information goes without dispatching before it dispatches one
	// request speculatively, in mean slot times.
	starvationThreshold = 2

	// scarcityThreshold is the part of all slots below which a node counts only on its share of the free ones, because
	// all nodes see the same few.
	scarcityThreshold = 0.2

	// initialSoftLimit is the initial soft limit of an executor without load reports. A larger one fills the fleet sooner
	// after a start.
	initialSoftLimit = 2

	// softLimitBackoff is the factor by which a Full outcome or a late response reduces the soft limit of an executor.
	softLimitBackoff = 0.7

	// An executor counts as overloaded if its live weight indicates at least liveLoadLimit requests per core and
	// liveLoadExcess times the mean of the fleet: if all executors are loaded, the limit alone says nothing.
	liveLoadLimit  = 1.1
	liveLoadExcess = 1.5

	// occupancyIntervals is the number of report intervals over which the peer occupancy of a group is averaged.
	occupancyIntervals = 4

	// occupancyPrior is the weight of the fleet's mean in the peer occupancy of a group, in reports.
	occupancyPrior = 3

	// noReportShareFactor is the number of even shares of an executor's slots that a node uses without a fresh report.
	noReportShareFactor = 2
)

// loadEstimate is the estimated capacity of an executor, from its load reports and the outcomes of this node's
// attempts.
type loadEstimate struct {
	slots          float64 // total slots: the maximum of reported free slots plus the slots then in use
	freeSlots      float64 // as last reported, adjusted by this node's sends and completions since
	reportedAt     float64 // time of the last new report, 0 for never
	available      float64 // slots that this node may use, as estimated in the current placement round
	softLimit      float64 // slots of this node that it takes, learned from outcomes
	softLimitCutAt float64 // when the soft limit was last reduced because of a late response
	rejectedUntil  float64 // nothing is sent to it until then, because it returned Full
	rejections     int     // consecutive Full outcomes
	sampleHash     uint64  // hash of the values of the last report
	freeMemory     float64 // as last reported, adjusted like freeSlots; valid only if reportsMemory
	reportsMemory  bool
}

// executorGroup holds the statistics of all executors of one kind in one zone: the mean part of their slots that other
// nodes hold.
type executorGroup struct {
	kind, zone                       int
	occupancySum, samples, updatedAt float64
}

// fleetCapacity is the estimated capacity of all executors together.
type fleetCapacity struct {
	slots             float64               // slots that this node may use
	fairShareSlots    float64               // slots below which this node counts as starved
	nextEstimate      float64               // time of the next estimate of slots
	fleetSlots        float64               // known slots of all executors that are ready
	nextFleetSlots    float64               // time of the next count of fleetSlots
	widestRequest     float64               // maximum number of slots that a job asked for
	meanPeerOccupancy float64               // mean part of an executor's slots that other nodes hold, from reports
	kindSlots         [machineKinds]float64 // maximum number of slots of an executor of each kind
	groups            []*executorGroup
}

// groupOf returns the group of a kind and zone, creating it if necessary.
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

// countFleetSlots returns the known slots of all executors that are ready. The count visits every executor, so it is
// repeated less often in a large fleet.
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

// capacityTotals holds sums over the executors of the endpoint list, in slots.
type capacityTotals struct {
	own             float64 // held by this node
	reported        float64 // free, by a current report or by the loads of peers
	estimated       float64 // free, by estimates without a current report
	queued          float64 // held by this node's attempts that executors have not started in time
	total           float64 // known slots
	assumed         float64 // like total, but with a minimum for executors whose slots are unknown
	largestExecutor float64 // known slots of the largest executor
	peersKnown      bool    // the slots that other nodes hold are known
	reportLimit     float64 // the age up to which a report counts as current
}

// add adds an executor that is ready to the totals.
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

// estimateCapacity estimates the slots that this node may use: those that its jobs hold and those that are free. In a
// large fleet it runs less often. A send only turns free slots into slots of this node, so the sum stays valid for a
// while.
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

// setCapacity derives the capacity and the fair share of this node from the totals.
func (d *Dispatcher) setCapacity(totals *capacityTotals) {
	c := &d.capacity
	c.fairShareSlots = starvationFraction * d.fleetShare() * totals.total
	c.slots = totals.own + totals.reported
	if !totals.peersKnown {
		c.slots = d.capacityWithoutPeers(totals)
		c.fairShareSlots = c.slots
	}
	minSlots := totals.largestExecutor
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() && c.slots < scarcityThreshold*totals.total {
		minSlots = min(minSlots, max(c.widestRequest, d.fleetShare()*totals.total)) // all nodes see the same few slots
		own := d.ownSlotsInFlight()
		c.slots = own + (c.slots-own)*c.slots/(scarcityThreshold*totals.total)
	}
	c.slots = max(c.slots, minSlots) // otherwise a node without free slots or attempts in flight would never send any
}

// capacityWithoutPeers returns the capacity of a node that does not know the load of its peers. It is the larger of
// two values: the node's share of all slots, as estimated from the endpoint list and the quotas; and the slots of its
// running jobs, plus the reported free slots, plus estimated free slots up to the number of its running slots less its
// queued ones.
func (d *Dispatcher) capacityWithoutPeers(totals *capacityTotals) float64 {
	share := d.fleetShare() * max(totals.assumed, d.admission.totalQuota*d.serviceTimes.meanSlotTime/1000)
	running := totals.own - totals.queued
	return max(initialSoftLimit, share, running+totals.reported+max(0, min(totals.estimated, running-totals.queued)))
}

// isStarved reports whether a node of a large fleet that does not know the load of its peers has sent nothing for a
// long time, because its jobs hang or run long. Such a node may send one more job; otherwise it would reject all
// requests until the clients of those jobs give up.
func (d *Dispatcher) isStarved() bool {
	return len(d.endpoints.listed) > fullScanLimit && !d.peerLoadsKnown() &&
		d.now-d.placement.lastDispatchAt > starvationThreshold*d.serviceTimes.meanSlotTime
}

// isStartOverdue reports whether an executor has not started an attempt of this node within the usual time. It then
// queues attempts, even if a late report shows free slots.
func (d *Dispatcher) isStartOverdue(executor *executor) bool {
	return d.settings.StartNotifications &&
		d.now-executor.inFlight.oldestUnstarted > d.serviceTimes.startNotificationTimeout()
}

// availableSlots returns how many more slots this node may use at an executor, from the loads of peers if they are
// known, else from a fresh load report, else from the executor's soft limit.
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
	if slots > 0 && d.peerLoadsKnown() { // peer loads are newer than any load report
		currentSlots := max(1, slots*d.slowStart.capacityFraction(executor))
		return math.Round(currentSlots - own - d.peerSlotsAt(executor) - d.unreportedSlots(executor))
	}
	if d.isOverloadedByWeight(executor) {
		return 0
	}
	if executor.load.reportedAt > 0 && d.now-executor.load.reportedAt <= d.reportTTL() {
		return math.Round(d.decayedFreeSlots(executor)) // rounded to the nearest, because reports are slightly noisy
	}
	return d.slotsWithoutReport(executor, slots)
}

// isOverloadedByWeight reports whether an executor's live weight indicates more requests than cores. All nodes see the
// same weights, with a delay: a high weight does not attract jobs, because all nodes would send there, but a low one
// excludes an executor.
func (d *Dispatcher) isOverloadedByWeight(executor *executor) bool {
	position := executor.endpoint.position
	return position < len(d.endpoints.entries) &&
		d.endpoints.entries[position].liveLoad >= max(liveLoadLimit, liveLoadExcess*d.endpoints.meanLiveLoad)
}

// slotsWithoutReport returns how many more slots this node may use at an executor without a fresh load report.
func (d *Dispatcher) slotsWithoutReport(executor *executor, slots float64) float64 {
	own := executor.inFlight.slots
	limit := math.Floor(executor.load.softLimit)
	if slots > 0 {
		// When load reports fail, all nodes estimate at the same time: none uses more than twice its even share.
		limit = min(limit, max(1, math.Round(noReportShareFactor*slots/float64(d.settings.Nodes))))
	}
	if own == 0 {
		limit = max(limit, d.capacity.widestRequest) // otherwise a job wider than the soft limit would never be sent
	}
	limit -= own
	reportsArrive := d.reports.lastReportAt > 0 && d.now-d.reports.lastReportAt <= reportsEndedFactor*d.reportTTL()
	if slots > 0 && reportsArrive && d.slowStart.capacityFraction(executor) == 1 {
		// If the fleet is full, an executor without a fresh report likely is full too, unless it is warming up.
		limit = min(limit, math.Round(slots*(1-d.peerOccupancyAt(executor))-own))
	}
	return limit
}

// decayedFreeSlots returns the free slots of an executor, as last reported. With the report's age relative to the mean
// run, the slots that peers hold there move from the reported value towards the mean of its group. A report that is
// older than a run shows which executors were idle, not which are: without the decay all nodes would overload the idle
// ones and avoid the full ones in turn.
func (d *Dispatcher) decayedFreeSlots(executor *executor) float64 {
	load := &executor.load
	if d.settings.Nodes < 2 || load.slots == 0 {
		return load.freeSlots
	}
	age := reportDecayRate * (d.now - load.reportedAt + d.reports.age) / d.serviceTimes.meanRun
	weight := 1 / (1 + age + age*age/2)
	reported := load.slots - executor.inFlight.slots - load.freeSlots
	mean := d.peerOccupancyAt(executor) * load.slots
	return load.slots - executor.inFlight.slots - mean - (reported-mean)*weight + assumedFreeSlots*(1-weight)
}

// peerOccupancyAt returns the part of an executor's slots that other nodes hold, as the mean of the reports of its
// group. While these are few, it is close to the mean of the fleet. It exceeds 1 if jobs are queued.
func (d *Dispatcher) peerOccupancyAt(executor *executor) float64 {
	if len(d.endpoints.listed) <= fullScanLimit {
		return d.capacity.meanPeerOccupancy // the groups of a small fleet are too small for a mean of their own
	}
	group := executor.group
	weight := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	return (group.occupancySum*weight + occupancyPrior*d.capacity.meanPeerOccupancy) /
		(group.samples*weight + occupancyPrior)
}

// occupancyWindow returns the time over which the peer occupancy of a group is averaged.
func (d *Dispatcher) occupancyWindow() float64 { return occupancyIntervals * d.reports.interval }

// knownSlots returns the number of slots of an executor or of its kind according to load reports, 0 if unknown. While
// an aggregator reports the loads of peers, an unknown number counts as initialSoftLimit: otherwise each of many nodes
// would probe every executor of a kind that is new to it.
func (d *Dispatcher) knownSlots(executor *executor) float64 {
	slots := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	if slots == 0 && d.gossip.mode == gossipAggregator {
		return initialSoftLimit
	}
	return slots
}
