package dispatch

import "math"

// Step takes in all that happened up to now, decides, and appends what to do to out.
func (d *Dispatcher) Step(now float64, events []Event, out []Action) []Action {
	d.now, d.actions = now, out
	for i := range events {
		d.handleEvent(&events[i])
	}
	d.admitArrived()
	if now >= d.nextTick {
		d.tick()
	}
	if d.needsPlacement {
		d.dispatchQueue()
	}
	if d.gossip.mode == gossipAggregator {
		d.notifyAggregator()
	}
	out, d.actions = d.actions, nil
	return out
}

func (d *Dispatcher) handleEvent(event *Event) {
	switch event.Kind {
	case EvRequest:
		d.handleRequest(event)
	case EvOutcome:
		d.handleOutcome(event)
	case EvNote:
		d.handleNote(event)
	case EvProbed:
		d.handleHealthCheck(event)
	case EvList:
		d.handleList(event)
	case EvGone:
		if job := d.jobs.byID[event.Job]; job != nil && !job.done {
			d.finishJob(job)
		}
	case EvFirst:
		if job := d.jobs.byID[event.Job]; job != nil && int(event.Attempt) < len(job.attempts) {
			job.attempts[event.Attempt].executor.outlier.lastHeard = d.now
			job.deadline = math.Inf(1)
		}
	case EvPeer:
		d.handlePeerMessage(event)
	}
}

// tickSpan is the time between ticks: longer in a large fleet, where a tick has more to look at.
func (d *Dispatcher) tickInterval() float64 {
	if len(d.endpoints.listed) > fullScanLimit {
		return max(10*d.settings.Step, 40)
	}
	return max(5*d.settings.Step, 10)
}

// margin is how long before a client leaves its answer is given: two ticks and a batch.
func (d *Dispatcher) answerMargin() float64 {
	return d.tickInterval() + max(d.tickInterval(), d.nextTick-d.now) + d.settings.Step
}

// tick does all that goes by time.
func (d *Dispatcher) tick() {
	d.nextTick = d.now + d.tickInterval()
	d.lastTimerToken++
	d.actions = append(d.actions, Action{Kind: ActTimer, For: d.tickInterval(), Token: d.lastTimerToken})
	d.pollList()
	if len(d.endpoints.listed) <= fullScanLimit || d.now >= d.outliers.nextCheck {
		d.outliers.nextCheck = d.now + d.unresponsiveTimeout()/16
		d.detectOutliers()
		if d.settings.MayDuplicate && !d.outliers.panicking {
			d.hedgeUnresponsive()
		}
	}
	for _, job := range d.jobs.queue {
		d.endIfExhausted(job)
	}
	if len(d.jobs.queue) > 0 {
		d.needsPlacement = true
		d.aggregatorClient.answerWanted = d.aggregatorClient.answerWanted || d.now-d.aggregatorClient.answeredAt > queryRetryFactor*d.answerTimeout()
	}
	d.checkHealth()
	d.broadcastLoad()
	if (d.gossip.freshPeers > 0 || d.gossip.mode == gossipAggregator) && d.now >= d.gossip.nextPeerSum {
		d.sumPeerLoads()
	}
	d.logRejecting()
}

// Dispatcher decides for one node. See the package comment for what its host promises. It holds the state of each concern, takes
// events in and gives actions out; the concerns do not know one another.
type Dispatcher struct {
	*environment

	jobs             jobTable
	admission        admission
	capacity         fleetCapacity
	reports          loadReports
	serviceTimes     serviceTimes
	affinity         keyAffinity
	placement        placement
	slowStart        slowStartTracker
	outliers         outlierDetection
	healthChecks     healthChecks
	endpoints        endpointList
	listWatch        listWatch
	gossip           gossip
	aggregatorClient aggregatorClient
	aggregatorServer aggregatorServer
	rejections       rejectionLog

	nextTick       float64
	lastTimerToken uint32
}

// New makes a Dispatcher for one life of a node. Absent settings: no tenants means one; portions that are
// all zero are taken as equal; an error names any setting that cannot be used.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{environment: &environment{settings: s, randomState: seed, logBudget: maxLogBurst}}
	d.jobs.byID = map[uint32]*job{}
	d.endpoints.byID, d.endpoints.byTag = map[uint32]*executor{}, map[uint16]*executor{}
	d.slowStart.removed = map[uint32]knownStart{}
	d.capacity.widestRequest = 1
	d.affinity.keyCounts = map[uint64]float64{}
	d.reports.interval, d.reports.age, d.reports.bestAge = initialReportIntervalMs, defaultReportAge*initialReportIntervalMs, 1
	d.serviceTimes.minStartLag = s.ConnectTimeout / 10
	d.setTenants(s.Tenants)
	d.admission.allArrivals.perSecond = d.admission.totalQuota / float64(s.Balancers)
	d.admission.firstArrivals.perSecond = d.admission.allArrivals.perSecond
	d.serviceTimes.classes = make([]classStats, len(s.Classes))
	d.outliers.failingClasses = make([]bool, len(s.Classes))
	for i, c := range s.Classes {
		d.serviceTimes.meanRun += max(1, c.Aim) / float64(len(s.Classes))
		d.serviceTimes.meanSlotTime = d.serviceTimes.meanRun
		d.serviceTimes.classes[i] = newClassStats(c)
	}
	if d.gossip.mode = d.chooseGossipMode(); s.MayTell {
		d.gossip.peers = make([]peer, s.Balancers)
		d.startAggregator()
	}
	return d, nil
}
