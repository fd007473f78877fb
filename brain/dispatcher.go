package brain

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
	if d.gossipMode == gossipAggregator {
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
		if job := d.jobs[event.Job]; job != nil && !job.done {
			d.finishJob(job)
		}
	case EvFirst:
		if job := d.jobs[event.Job]; job != nil && int(event.Attempt) < len(job.attempts) {
			job.attempts[event.Attempt].executor.outlier.lastHeard = d.now
			job.deadline = math.Inf(1)
		}
	case EvPeer:
		d.handlePeerMessage(event)
	}
}

// tickSpan is the time between ticks: longer in a large fleet, where a tick has more to look at.
func (d *Dispatcher) tickInterval() float64 {
	if len(d.executors) > fullScanLimit {
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
	if len(d.executors) <= fullScanLimit || d.now >= d.nextOutlierCheck {
		d.nextOutlierCheck = d.now + d.unresponsiveTimeout()/16
		d.detectOutliers()
		if d.settings.MayDuplicate && !d.panicking {
			d.hedgeUnresponsive()
		}
	}
	for _, job := range d.queue {
		d.endIfExhausted(job)
	}
	if len(d.queue) > 0 {
		d.needsPlacement = true
		d.aggregator.answerWanted = d.aggregator.answerWanted || d.now-d.aggregator.answeredAt > queryRetryFactor*d.answerTimeout()
	}
	d.checkHealth()
	d.broadcastLoad()
	if (d.freshPeers > 0 || d.gossipMode == gossipAggregator) && d.now >= d.nextPeerSum {
		d.sumPeerLoads()
	}
	d.logRejecting()
}

// Dispatcher decides for one node. See the package comment for what its host promises.
type Dispatcher struct {
	settings    Settings
	now         float64
	actions     []Action
	randomState uint64

	jobs    map[uint32]*job
	jobPool []*job
	arrived []*job
	queue   []*job

	executorsByID    map[uint32]*executor
	executors        []*executor // listed, by id
	removedExecutors []*executor // gone from the list, and kept while attempts of ours are out there
	kinds            [256]kindStats
	allKinds         kindStats

	tenants []tenant
	classes []classStats

	reportInterval float64
	reportAge      float64   // of reports when they come
	ageCandidates  [9]spread // of what workers told to hold less our own jobs, at each age
	reportedLoad   spread    // of what they told to hold
	bestAge        int
	ageSamples     float64
	startDelay     float64  // mean time from a send to its start note
	minStartLag    float64  // usual time from a send to its start note where there was room
	allArrivals    arrivals // of requests here, those that clients send again counted each time
	firstArrivals  arrivals // likewise without those
	totalQuota     float64  // requests a second that all tenants may send to all nodes
	capacity       float64
	lastDispatchAt float64 // when a job was last sent
	fairSlots      float64 // our part of all slots
	panicking      bool

	eligible         []*executor // those with room, while jobs are placed
	inspected        []*executor // those looked at for that
	inspectionRound  uint64
	inspectedAll     bool // in this look, not only at homes
	checksInFlight   int
	nextOutlierCheck float64         // when health is next watched in a large fleet
	busyExecutors    []*executor     // those with attempts of ours out
	ejectedExecutors []*executor     // those that are, or were, since the last tick
	recentReporters  recentExecutors // those that reported last
	recentServers    recentExecutors // those that served us last, and have a connection
	nextEstimate     float64         // capacity is not estimated anew before
	listRevision     int             // counts changes of the list, from 1
	peers            []peer          // by node number
	freshPeers       int
	nextPeerSum      float64 // when those not heard of are next left out
	executorsByTag   map[uint16]*executor
	gossipMode       gossipMode
	aggregator       aggregatorState
	nextGossip       float64

	watching    bool
	pollSentAt  float64 // when the call that is out was made, 0 for none
	nextPoll    float64
	failedPolls int

	meanValue         float64 // mean worth of arrivals for each slot and time
	fetchingSlots     float64 // slots out of jobs that likely fetch their key
	meanRun           float64 // mean run, each weighted by what it holds: how long what is held stays so
	meanSlotTime      float64 // mean of slots times run
	groups            []*executorGroup
	meanLiveLoad      float64 // mean of the live weights' requests per core
	lastReportAt      float64 // when any worker last reported anew
	meanPeerOccupancy float64 // part of a worker's slots that others hold, as reports tell
	widestRequest     float64 // most slots that a job asked for
	keyCounts         map[uint64]float64
	keyTotal          float64
	rankedScratch     []rankedCandidate // scratch of findHomes
	endpointRows      []endpointRow     // of d.workers, in their order
	affinityHashes    []affinityHash    // likewise
	changedScratch    []*executor       // scratch of applyRows

	listConfirmedAt   float64               // when discovery last confirmed a list that holds executors, 0 for never
	newestListedStart float64               // of the list at hand, on the clock of another machine
	removedStarts     map[uint32]knownStart // starts of executors that left the list a short while ago

	nextTick       float64
	lastTimerToken uint32
	needsPlacement bool

	endedByCause  [causeCount]int // jobs that this node ended itself, by cause
	lastEndedAt   float64
	rejecting     bool    // as last logged
	listUpdatedAt float64 // when the list was last heard of
	logBudget     float64
	logBudgetAt   float64
}

// New makes a Dispatcher for one life of a node. Absent settings: no tenants means one; portions that are
// all zero are taken as equal; an error names any setting that cannot be used.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: s, randomState: seed, jobs: map[uint32]*job{}, executorsByID: map[uint32]*executor{},
		executorsByTag: map[uint16]*executor{}, removedStarts: map[uint32]knownStart{}, widestRequest: 1, keyCounts: map[uint64]float64{},
		reportInterval: initialReportIntervalMs, minStartLag: s.ConnectTimeout / 10, logBudget: maxLogBurst,
		reportAge: defaultReportAge * initialReportIntervalMs, bestAge: 1}
	d.setTenants(s.Tenants)
	d.allArrivals.perSecond = d.totalQuota / float64(s.Balancers)
	d.firstArrivals.perSecond = d.allArrivals.perSecond
	d.classes = make([]classStats, len(s.Classes))
	for i, c := range s.Classes {
		d.meanRun += max(1, c.Aim) / float64(len(s.Classes))
		d.meanSlotTime = d.meanRun
		d.classes[i] = newClassStats(c)
	}
	if d.gossipMode = d.chooseGossipMode(); s.MayTell {
		d.peers = make([]peer, s.Balancers)
		d.startAggregator()
	}
	return d, nil
}
