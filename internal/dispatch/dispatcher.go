package dispatch

import "math"

// Dispatcher makes the dispatch decisions of one node. The package comment lists the obligations of its host. It holds
// the state of each concern, consumes events and emits actions; the types of the concerns do not depend on one
// another.
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

	processes      float64 // of this node that send at the same time
	nextTick       float64
	lastTimerToken uint32
}

const (
	// The tick interval is a multiple of MinStepInterval with a lower bound in ms. It is longer in a large fleet, where
	// each tick inspects more executors.
	tickSteps                   = 5
	minTickIntervalMs           = 10
	largeFleetTickSteps         = 10
	minLargeFleetTickIntervalMs = 40

	// outlierChecksPerTimeout is how many times outlier detection runs in a large fleet within the timeout after which
	// an executor counts as unresponsive.
	outlierChecksPerTimeout = 16
)

// New returns a Dispatcher for one incarnation of a node. Without tenants in the settings it uses a single one, and if
// all reserved shares are zero it treats them as equal. The error names the first invalid setting.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	env := &environment{settings: s, randomState: seed, logBudget: maxLogBurst}
	d := &Dispatcher{
		environment:  env,
		processes:    1,
		jobs:         jobTable{byID: map[uint32]*job{}},
		admission:    admission{environment: env},
		capacity:     fleetCapacity{widestRequest: 1},
		reports:      newLoadReports(env),
		serviceTimes: newServiceTimes(env),
		affinity:     keyAffinity{keyCounts: map[uint64]float64{}},
		slowStart:    slowStartTracker{environment: env, removed: map[uint32]removedStart{}},
		outliers:     outlierDetection{failingClasses: make([]bool, len(s.Classes))},
		endpoints:    endpointList{environment: env, byID: map[uint32]*executor{}, byTag: map[uint16]*executor{}},
		listWatch:    listWatch{environment: env},
	}
	d.admission.setTenants(s.Tenants)
	d.admission.allArrivals.perSecond = d.admission.totalQuota / float64(s.Nodes)
	d.admission.firstArrivals.perSecond = d.admission.allArrivals.perSecond
	d.gossip.mode = d.chooseGossipMode()
	if s.GossipAllowed {
		d.gossip.peers = make([]peer, s.Nodes)
		d.aggregatorClient = newAggregatorClient(s.Nodes)
		d.aggregatorServer = newAggregatorServer(env)
	}
	return d, nil
}

// Step handles the events that happened up to now, makes the decisions that are due and appends the resulting actions
// to out.
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
	case EvNotification:
		d.handleNotification(event)
	case EvHealthCheck:
		d.handleHealthCheck(event)
	case EvEndpoints:
		d.handleList(event)
	case EvClientDisconnected:
		if job := d.jobs.byID[event.Job]; job != nil {
			d.finishJob(job)
		}
	case EvProcesses:
		d.setProcesses(event.Amount)
	case EvStreamStarted:
		d.handleStreamStart(event)
	case EvGossip:
		d.handlePeerMessage(event)
	}
}

// handleStreamStart records that a response has begun to stream. The client is receiving it, so the job no longer has
// a deadline, however long the rest of the response takes.
func (d *Dispatcher) handleStreamStart(event *Event) {
	job := d.jobs.byID[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) {
		return
	}
	job.attempts[event.Attempt].executor.outlier.lastActiveAt = d.now
	job.deadline = math.Inf(1)
}

// tickInterval returns the time between ticks, in ms.
func (d *Dispatcher) tickInterval() float64 {
	if len(d.endpoints.listed) > fullScanLimit {
		return max(largeFleetTickSteps*d.settings.MinStepInterval, minLargeFleetTickIntervalMs)
	}
	return max(tickSteps*d.settings.MinStepInterval, minTickIntervalMs)
}

// tick runs the periodic work and requests the timer for the next tick.
func (d *Dispatcher) tick() {
	d.nextTick = d.now + d.tickInterval()
	d.lastTimerToken++
	d.act(Action{Kind: ActTimer, Delay: d.tickInterval(), Token: d.lastTimerToken})
	d.listWatch.poll()
	if len(d.endpoints.listed) <= fullScanLimit || d.now >= d.outliers.nextCheck {
		d.outliers.nextCheck = d.now + d.unresponsiveTimeout()/outlierChecksPerTimeout
		d.detectOutliers()
		if d.settings.HedgingAllowed && !d.outliers.panicking {
			d.hedgeUnresponsive()
		}
	}
	for _, job := range d.jobs.queue {
		d.endIfExhausted(job)
	}
	if len(d.jobs.queue) > 0 {
		d.needsPlacement = true
		d.requestAnswerForQueue()
	}
	d.checkHealth()
	d.broadcastLoad()
	if (d.gossip.freshPeers > 0 || d.gossip.mode == gossipAggregator) && d.now >= d.gossip.nextPeerSum {
		d.sumPeerLoads()
	}
	d.logLoadShedding()
}
