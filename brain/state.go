package brain

import (
	"fmt"
	"math"
	"slices"
)

// This file holds what a Dispatcher remembers and how it is kept; nothing is decided here.

// attempt is one send of a job.
type attempt struct {
	executor         *executor
	sentAt           float64
	startedAt        float64 // 0: not told
	heardAt          float64 // last note
	hadFreeSlots     bool
	fetchesKey       bool // likely had to fetch its key
	openedConnection bool // on a new connection
	resolved         bool
	writtenOff       bool // out when its worker fell silent, or late, and not heard of since
	errored          bool // it ended in an error
	ackOverdue       bool // its worker owes a sign that it has taken the job
}

// job is a request this node owes an answer, or whose attempts are still out.
type job struct {
	id          uint32
	class       int
	tenant      int
	key         uint64
	slots       float64
	memory      float64
	work        float64 // ms on a worker of speed 1
	arrivedAt   float64
	maxAttempts int     // attempts, by the settings when it came
	objectiveAt float64 // full worth until then
	deadline    float64
	attempts    []attempt
	inFlight    int
	admitted    bool    // holds tokens
	value       float64 // worth for each slot and time
	overQuota   bool    // beyond its tenant's share
	borrowed    bool    // admitted from the remainder
	queued      bool
	done        bool
	// What may have run; set in mark, read by maySend and mayRefuse alone.
	mayHaveRun         bool
	ranOn              *executor
	ranSince           float64
	rank               float64
	holdUntil          float64     // for answers to its probes, at most
	candidates         []*executor // of its key, the last to fall back on
	candidatesRevision int         // the list they were drawn from
	zonePrices         []float64   // of zones, where they are the request's own
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

// sane are a request's slots, memory and time left; odd numbers count as the least.
func (event *Event) sanitizedNeeds() (slots, memory, left float64) {
	slots = 1
	if event.Slots > 0 && event.Slots < 1e6 {
		slots = event.Slots
	}
	if event.Memory > 0 && event.Memory < 1e6 {
		memory = event.Memory
	}
	if event.TimeLeft >= 0 {
		left = event.TimeLeft
	}
	return slots, memory, left
}

type endedAttempt struct{ sentAt, endedAt, slots float64 }

// worker is what this node knows of one worker. What placement reads of each worker it looks at comes first and
// close together: in a large fleet the memory it lies in is what a look costs.
type executor struct {
	id           uint32
	tag          uint16 // its name in messages between nodes
	cell         uint16
	condition    Condition
	unresponsive bool
	onProbation  bool // after an ejection: one job at a time until one is served
	checkPending bool
	zone         int
	kind         int
	position     int // its place in the list, where weights are live
	dialFailures int // new connections that failed since one was made
	unstarted    int // attempts out that were not started
	group        *executorGroup

	ownSlots         float64
	freeSlots        float64 // free slots as last reported, moved by what we sent and got back since
	reportedAt       float64 // when a new report came, 0 for never
	slots            float64 // most free slots ever seen with our own
	softLimit        float64
	rejectedUntil    float64
	ejectedUntil     float64
	listedStart      float64 // its start as the list tells it, on the clock of another machine: it tells one process from another
	startedAt        float64 // its start by our clock, as estimated when it was notified; 0 for long ago
	peerSlots        float64 // slots that other nodes told to have out here
	unstartedSlots   float64 // slots of the attempts that were not started
	oldestUnstarted  float64 // since when the oldest of them
	retryAt          float64 // a silent worker gets one job from then on
	inspectedIn      uint64  // the last look that took it in
	available        float64 // slots that it takes now, while jobs are placed
	work             float64
	time             float64
	errorAverage     float64
	classes          []classFailures // by class
	errors           errorTally      // of all classes
	opening          int             // attempts out on connections opened for them
	idleSince        []float64       // idle connections: since when
	inFlight         []*job          // one entry for each attempt out
	dialBackoffUntil float64         // no new one before

	affinityKeys      [12]uint64
	row               Row // the list's when it last changed but for its weight
	sampleHash        uint64
	freeMemory        float64 // free memory as last reported, moved likewise; NaN or of no meaning if not told
	reportsMemory     bool
	ackOverdueAt      float64 // when it was last ejected for owing signs that it has taken jobs,
	ackOverdueUntil   float64 // and until when nothing goes there that may be lost for good
	softLimitCutAt    float64 // when soft was cut for lateness
	rejections        int
	lastHeard         float64 // last sign of life
	ejections         int
	retries           int
	hiddenSlots       float64 // slots held here that no message told of, as was seen
	hiddenAt          float64 // then
	notifiedSlots     float64 // our slots out here as the others were told,
	notifiedAt        float64 // and when
	slowStartCredit   float64 // our part of its budget while it is cold, in slot-time on a warm one, as of
	slowStartCreditAt float64 // then
	slowStartUntil    float64 // the end of that budget
	slowStartOpened   bool    // that budget was opened for the process that runs now
	// The last probe, and its random part of the span to the next: the span itself follows the traffic, so
	// that a node that was quiet at its start is not blind for long once requests come.
	checkedAt, checkIntervalFactor float64
	endedAttempts                  [24]endedAttempt // our jobs that ended lately
	endedCount                     int
}

// group is what is learned of the workers of one kind in one zone together.
type executorGroup struct {
	kind, zone                       int
	occupancySum, samples, updatedAt float64
}

// failing is how a class fares at a worker.
type classFailures struct {
	consecutive int     // failures running
	awayUntil   float64 // nothing of the class goes there before
	failedAt    float64 // when it failed last
	errors      errorTally
}

type kindStats struct{ work, time, slots, scale float64 }

type tenant struct {
	reservedShare float64
	reservedSlots float64
	lastSeen      float64
	quota         float64
	usualRate     float64 // requests a second that come this way, over a while
	tokens        float64 // requests still within the share
	refilledAt    float64
}

type classStats struct {
	work, slots     float64
	failsEverywhere bool // at so many workers that it is not theirs
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

// cause says why a node ended a job itself.
type rejectCause uint8

const (
	causeNoTokens  rejectCause = iota // the admission steps left no room for it
	causeTooLate                      // it could not end usefully any more, or may not be tried again
	causePreempted                    // it waited, and another took its tokens
	causeCount
)

// lastOnes are workers of which something was seen last, the latest first.
type recentExecutors [8]*executor

func (l *recentExecutors) add(executor *executor) {
	i := slices.Index(l[:], executor)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = executor
}

// touch moves a key to the front of those the worker likely holds.
func (executor *executor) touchKey(key uint64) {
	i := slices.Index(executor.affinityKeys[:], key)
	if i < 0 {
		i = len(executor.affinityKeys) - 1
	}
	copy(executor.affinityKeys[1:i+1], executor.affinityKeys[:i])
	executor.affinityKeys[0] = key
}

// warm says whether the next job to a worker needs no new connection.
func (d *Dispatcher) hasOpenConnection(executor *executor) bool {
	n := len(executor.idleSince)
	for n > 0 && d.now-executor.idleSince[0] >= d.settings.ConnIdle {
		executor.idleSince = executor.idleSince[:copy(executor.idleSince, executor.idleSince[1:])]
		n--
	}
	return n > 0 || d.sharesConnection(executor)
}

// shares says whether connections carry several jobs and one that is open has room for another.
func (d *Dispatcher) sharesConnection(executor *executor) bool {
	open := len(executor.inFlight) - executor.opening // attempts on connections that stand, if each had its own
	return d.settings.Multiplex > 1 && open > 0 && open%d.settings.Multiplex != 0
}

// countKey keeps how often keys are asked for.
func (d *Dispatcher) countKey(key uint64) {
	if key == 0 {
		return
	}
	d.keyCounts[key]++
	if d.keyTotal++; d.keyTotal < 2*keyMemory {
		return
	}
	d.keyTotal /= 2
	for k, n := range d.keyCounts {
		if d.keyCounts[k] = n / 2; n < 1 {
			delete(d.keyCounts, k)
		}
	}
}

// pull is how strongly a key is drawn to the worker at a place in the list.
type rankedCandidate struct {
	position int
	weight   float64
}

func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// random gives the next number of the instance's own sequence, in [0, 1).
func (d *Dispatcher) random() float64 {
	d.randomState += 0x9e3779b97f4a7c15
	return float64(mix64(d.randomState)>>11) / (1 << 53)
}

const (
	maxLogs  = 60    // log lines at once; one more each logEvery
	logEvery = 10000 // ms
)

// log writes a line, at most maxLogs at once and one more each logEvery.
func (d *Dispatcher) logf(format string, args ...any) {
	d.logBudget = min(maxLogs, d.logBudget+(d.now-d.logBudgetAt)/logEvery)
	d.logBudgetAt = d.now
	if d.logBudget >= 1 {
		d.logBudget--
		d.actions = append(d.actions, Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// ownOut is how many slots of ours are out at all workers.
func (d *Dispatcher) ownSlotsInFlight() (slots float64) {
	for _, executor := range d.busyExecutors {
		slots += executor.ownSlots
	}
	return slots
}

// inflight is how many tokens are out.
func (d *Dispatcher) reservedTotal() float64 {
	held := 0.0
	for i := range d.tenants {
		held += d.tenants[i].reservedSlots
	}
	return held
}

// logState writes, when a node begins to end jobs itself and when it has not for a while, what it goes by.
func (d *Dispatcher) logRejecting() {
	refusing := d.lastEndedAt > 0 && d.now-d.lastEndedAt < activeFor
	if refusing == d.rejecting {
		return
	}
	d.rejecting = refusing
	held, bad := d.reservedTotal(), 0
	for _, executor := range d.executors {
		if !d.isUsable(executor) {
			bad++
		}
	}
	d.logf("refusing %v: capacity %.0f slots, %.0f in flight, %d waiting, %d of %d workers unusable, "+
		"list %.0f ms old; ended so far: %d no tokens, %d too late, %d made place", refusing, d.capacity, held,
		len(d.queue), bad, len(d.executors), d.now-d.listUpdatedAt, d.endedByCause[causeNoTokens], d.endedByCause[causeTooLate], d.endedByCause[causePreempted])
}

// alive takes in a sign of life. After a silence, what was out there may have ended or never come without our
// hearing of it, until its client's time is over: it holds no slots in our books unless it is heard of again.
func (d *Dispatcher) noteAlive(executor *executor) {
	executor.lastHeard = d.now
	if !executor.unresponsive {
		return
	}
	executor.unresponsive, executor.retries = false, 0
	d.needsPlacement = true
	d.logf("worker %d heard of again", executor.id)
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff {
				attempt.writtenOff = true
				executor.ownSlots -= job.slots
			}
		}
	}
	d.countUnstarted(executor)
}

// sentSince is the slot-time of the attempts that were sent to a worker from a time on, with those that have ended.
func (d *Dispatcher) workSentSince(executor *executor, from float64) (work float64) {
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && attempt.sentAt >= from {
				work += job.slots * job.work / d.kindSpeed(executor.kind)
			}
		}
	}
	for _, x := range executor.endedAttempts {
		if x.sentAt >= from {
			work += x.slots * (x.endedAt - x.sentAt)
		}
	}
	return work
}

// silence is how long a worker with jobs out may give no sign of life.
func (d *Dispatcher) unresponsiveTimeout() float64 {
	if d.settings.Progress > 0 {
		return silentAfter * d.settings.Progress
	}
	return silentAfter * 2 * d.classes[0].work / d.meanSpeed()
}

// countWaits counts a worker's attempts of ours that were not started.
func (d *Dispatcher) countUnstarted(executor *executor) {
	executor.unstarted, executor.unstartedSlots, executor.oldestUnstarted = 0, 0, d.now
	for _, job := range executor.inFlight {
		for i := range job.attempts {
			if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff && attempt.startedAt == 0 {
				executor.unstarted++
				executor.unstartedSlots += job.slots
				executor.oldestUnstarted = min(executor.oldestUnstarted, attempt.sentAt)
			}
		}
	}
}

// newClass is what is held of a class before its jobs are seen: an aim is the best hint at the work it was set for.
func newClassStats(c Class) classStats { return classStats{work: max(1, c.Aim), slots: 1} }

// share takes over the tenants' shares. What was learned of those that are there already stays.
func (d *Dispatcher) setTenants(tenants []Tenant) {
	sum := 0.0
	d.totalQuota = 0
	for _, t := range tenants {
		sum += t.Portion
		d.totalQuota += max(0, t.Quota)
	}
	for i := len(d.tenants); i < max(1, len(tenants)); i++ {
		t := tenant{lastSeen: math.Inf(-1)}
		if len(tenants) > 0 {
			t.usualRate, t.tokens = tenants[i].Quota/2, tenants[i].Quota*shareDepth/1000
		}
		d.tenants = append(d.tenants, t)
	}
	for i := range d.tenants {
		tenant := &d.tenants[i]
		tenant.reservedShare = 1 / float64(len(d.tenants))
		if sum > 0 {
			tenant.reservedShare = tenants[i].Portion / sum
		}
		if len(tenants) > 0 {
			tenant.quota = tenants[i].Quota
		}
	}
}

// New makes a Dispatcher for one life of a node. Absent settings: no tenants means one; portions that are
// all zero are taken as equal; an error names any setting that cannot be used.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: s, randomState: seed, jobs: map[uint32]*job{}, executorsByID: map[uint32]*executor{},
		executorsByTag: map[uint16]*executor{}, removedStarts: map[uint32]knownStart{}, widestRequest: 1, keyCounts: map[uint64]float64{},
		reportInterval: firstPeriod, minStartLag: s.ConnectTimeout / 10, logBudget: maxLogs,
		reportAge: ageShare * firstPeriod, bestAge: 1}
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
