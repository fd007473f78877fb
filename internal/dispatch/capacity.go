package dispatch

import "math"

const (
	reportDecayRate     = 0.5 // how fast reports fade, in runs weighted by what they hold: faster evens out
	hopedSlots          = 0.3 // slots hoped for where a report has faded: more sends sooner, less holds
	starvationShare     = 0.8 // part of our part of all slots under which a node without room counts as starved
	starvationThreshold = 2   // mean runs without a send after which a node that knows little tries one more job
	scarcityThreshold   = 0.2 // part of all slots under which free ones are shared
	initialSoftLimit    = 2   // slots a worker without reports is tried with: more fills a cold start quicker
	softLimitBackoff    = 0.7 // what 'full' leaves of the slots we thought it takes
	liveLoadLimit       = 1.1 // requests a core, as a live weight tells, from which on a worker has no room,
	liveLoadExcess      = 1.5 // if that is this many times the mean: where all hold many, it says nothing
	occupancyIntervals  = 4   // report periods over which it is learned what others hold of workers of a kind
	occupancyPrior      = 3   // reports' worth of the fleet's mean mixed into a kind's own
	blindShareFactor    = 2   // even parts of a worker's slots a node uses without a fresh report
)

// estimate counts capacity: slots of our running jobs and free slots, by report or by what was served.
func (d *Dispatcher) estimateCapacity() {
	if d.now < d.capacity.nextEstimate {
		return // sends move slots from free ones to our own: the sum stays
	}
	if n := float64(len(d.endpoints.listed)); n > fullScanLimit {
		d.capacity.nextEstimate = d.now + d.tickInterval()*n/fullScanLimit
	}
	known := len(d.endpoints.listed) <= fullScanLimit || d.peerLoadsKnown() // what others hold
	own, free, hoped, queued, total, assumed, most := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, executor := range d.endpoints.listed {
		own += executor.inFlight.slots
		if executor.endpoint.condition != Ready {
			continue
		}
		n := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
		total += n
		assumed += max(n, d.capacity.widestRequest, initialSoftLimit)
		most = max(most, n)
		if known || executor.load.reportedAt > 0 && d.now-executor.load.reportedAt <= min(d.reportTTL(), d.serviceTimes.meanRun) {
			free += max(0, d.availableSlots(executor))
		} else {
			hoped += max(0, d.availableSlots(executor))
		}
		if !known && d.settings.TellsStart && d.now-executor.inFlight.oldestUnstarted > d.startNoteTimeout() {
			queued += executor.inFlight.unstartedSlots
		}
	}
	d.capacity.fairSlots = starvationShare * d.fleetShare() * total
	if d.capacity.slots = own + free; !known {
		d.capacity.slots = d.capacityWithoutPeers(own-queued, queued, free, hoped, assumed)
		d.capacity.fairSlots = d.capacity.slots
	}
	if d.gossip.mode == gossipAggregator && d.peerLoadsKnown() && d.capacity.slots < scarcityThreshold*total {
		most = min(most, max(d.capacity.widestRequest, d.fleetShare()*total)) // all see the same few slots
		own := d.ownSlotsInFlight()
		d.capacity.slots = own + (d.capacity.slots-own)*d.capacity.slots/(scarcityThreshold*total)
	}
	d.capacity.slots = max(d.capacity.slots, most) // else a node that sees no room and has nothing out never begins
}

// unseenCapacity is the capacity of a node that is not told what others hold: its part of all slots, as list
// and quotas show them; or what runs of its jobs, room it knows of, and while nothing queues as much again.
func (d *Dispatcher) capacityWithoutPeers(running, queued, reported, hoped, assumed float64) float64 {
	part := d.fleetShare() * max(assumed, d.admission.totalQuota*d.serviceTimes.meanSlotTime/1000)
	return max(initialSoftLimit, part, running+reported+max(0, min(hoped, running-queued)))
}

// starved says that such a node has sent nothing for long, for its jobs hang or run long. It may send one
// more, else it would refuse all that comes for as long as their clients wait.
func (d *Dispatcher) isStarved() bool {
	return len(d.endpoints.listed) > fullScanLimit && !d.peerLoadsKnown() && d.now-d.placement.lastDispatchAt > starvationThreshold*d.serviceTimes.meanSlotTime
}

// room is how many more slots of ours a worker takes: by its report, else by what it took before.
func (d *Dispatcher) availableSlots(executor *executor) float64 {
	if d.now < executor.load.rejectedUntil {
		return 0
	}
	if executor.outlier.unresponsive && !d.outliers.panicking {
		return 1
	}
	if executor.outlier.onProbation {
		return 1 - executor.inFlight.slots
	}
	// Reports come late and can hide a queue: a job of ours that was not started says there is no room,
	// whatever free slots were last told or got back.
	if d.settings.TellsStart && executor.inFlight.unstarted > 0 && d.now-executor.inFlight.oldestUnstarted > d.startNoteTimeout() {
		return 0
	}
	n := math.Round(d.knownSlots(executor))
	if n > 0 && d.peerLoadsKnown() {
		// This is newer than any report.
		return math.Round(max(1, n*d.slowStartShare(executor)) - executor.inFlight.slots - d.peerSlotsAt(executor) - d.hiddenSlots(executor))
	}
	// A weight in the list is the same for all nodes and late: it is no reason to go to a worker, since all
	// would, but one that tells of more requests than cores is a reason to stay away.
	if executor.endpoint.position < len(d.endpoints.rows) && d.endpoints.rows[executor.endpoint.position].liveLoad >= max(liveLoadLimit, liveLoadExcess*d.endpoints.meanLiveLoad) {
		return 0
	}
	if executor.load.reportedAt > 0 && d.now-executor.load.reportedAt <= d.reportTTL() {
		return math.Round(d.decayedFreeSlots(executor)) // to the nearest: reports are a little noisy
	}
	most := math.Floor(executor.load.softLimit)
	if n > 0 {
		// Every node guesses at once when reports fail: none takes more than twice its even part.
		most = min(most, max(1, math.Round(blindShareFactor*n/float64(d.settings.Balancers))))
	}
	if executor.inFlight.slots == 0 {
		most = max(most, d.capacity.widestRequest) // else a job wider than what was tried so far would never be sent
	}
	most -= executor.inFlight.slots
	if n > 0 && d.reports.lastAt > 0 && d.now-d.reports.lastAt <= reportsEndedFactor*d.reportTTL() && d.slowStartShare(executor) == 1 {
		// Others tell what is usual: where the fleet is full, so is likely one not heard of, unless new.
		most = min(most, math.Round(n*(1-d.peerOccupancyAt(executor))-executor.inFlight.slots))
	}
	return most
}

// relaxed is a worker's free slots, with what others have there drawn from the report to the fleet's mean as
// the report ages against a job's run. Where reports are older than jobs are long, each says who was idle and
// not who is: all nodes storm the roomiest and shun the full, turn about.
func (d *Dispatcher) decayedFreeSlots(executor *executor) float64 {
	if d.settings.Balancers < 2 || executor.load.slots == 0 {
		return executor.load.freeSlots
	}
	x := reportDecayRate * (d.now - executor.load.reportedAt + d.reports.age) / d.serviceTimes.meanRun
	keep := 1 / (1 + x + x*x/2)
	foreign, usual := executor.load.slots-executor.inFlight.slots-executor.load.freeSlots, d.peerOccupancyAt(executor)*executor.load.slots
	return executor.load.slots - executor.inFlight.slots - usual - (foreign-usual)*keep + hopedSlots*(1-keep)
}

// usual is the part of a worker's slots that others hold, as reports of its kind in its zone tell, drawn to
// the fleet's while they are few. It can be over 1 where jobs are queued.
func (d *Dispatcher) peerOccupancyAt(executor *executor) float64 {
	if len(d.endpoints.listed) <= fullScanLimit {
		return d.capacity.meanPeerOccupancy // too few of a kind in a zone for a mean of their own
	}
	group := executor.group
	keep := max(0, 1-(d.now-group.updatedAt)/d.occupancyWindow())
	return (group.occupancySum*keep + occupancyPrior*d.capacity.meanPeerOccupancy) / (group.samples*keep + occupancyPrior)
}

func (d *Dispatcher) occupancyWindow() float64 { return occupancyIntervals * d.reports.interval }

// slotsOf is how many slots a worker has, as reports showed, 0 if none did. Where the hub tells what others have out it is
// then as many as a first trial takes: else each of many nodes tries every worker of a kind that it has not met.
func (d *Dispatcher) knownSlots(executor *executor) float64 {
	n := max(executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
	if n == 0 && d.gossip.mode == gossipAggregator {
		return initialSoftLimit
	}
	return n
}

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

// executorGroup is what is learned of the executors of one kind in one zone together: the mean part of their slots that other
// nodes hold.
type executorGroup struct {
	kind, zone                       int
	occupancySum, samples, updatedAt float64
}

// fleetCapacity is what all executors together take.
type fleetCapacity struct {
	slots             float64               // that this node may use
	fairSlots         float64               // our part of all slots
	nextEstimate      float64               // the slots are not estimated anew before
	widestRequest     float64               // most slots that a job asked for
	meanPeerOccupancy float64               // part of an executor's slots that other nodes hold, as reports tell
	kindSlots         [machineKinds]float64 // most slots of an executor of each kind
	groups            []*executorGroup
}
