package brain

// Every decision is here, in a job's order: intake, admission, placement, outcomes, health, list, timers.

import (
	"cmp"
	"math"
	"slices"

	"gatetack/internal/recovery"
)

// Tunable constants. Each is a ratio to a setting or to something observed, unless it says otherwise.
const (
	reserved     = 0.7   // reservations together, of capacity: more protects small tenants, less lends more
	limitBase    = 0.8   // a tenant's limit is its portion plus this part of the rest: lower stops floods
	activeFor    = 5000  // ms a reservation outlives its tenant's last job: longer idles slots
	shareSlack   = 1.3   // part of its quota that a tenant has at this node, of its usual rate
	shareMemory  = 15000 // ms over which the usual rate is taken: shorter follows a flood
	shareDepth   = 2000  // ms of the quota that may come at once
	unhintedWork = 0.5   // of its class's mean, what half of all jobs stay under; by work, its inverse
	hubFresh     = 1     // waits for the hub that its answer may be old for another job, and from how many
	hubAgain     = 2     // on jobs that wait for room ask again
	relax        = 0.5   // how fast reports fade, in runs weighted by what they hold: faster evens out
	relaxHope    = 0.3   // slots hoped for where a report has faded: more sends sooner, less holds
	trunk        = 0.15  // part of the tokens kept from work worth less than the mean
	evictGain    = 0.7   // how much less, of an arrival's worth a slot, a waiting job must be worth to go
	pushAfter    = 0.3   // part of its slack that a starved node holds a job before it queues it at a worker
	pushShare    = 0.8   // part of our part of all slots under which a node without room counts as starved
	starvedRuns  = 2     // mean runs without a send after which a node that knows little tries one more job
	waitMost     = 1.0   // admitted work that may wait, of capacity: more waiting serves late what it serves
	scarce       = 0.2   // part of all slots under which free ones are shared
	softStart    = 2     // slots a worker without reports is tried with: more fills a cold start quicker
	softCut      = 0.7   // what 'full' leaves of the slots we thought it takes
	freshPeriods = 4     // report periods a report stays fresh: longer trusts old room
	staleFor     = 4     // times that span until reports are taken to have ended
	ageShare     = 0.7   // age of a report when it comes, of a period, while nothing else is learned
	ageStep      = 1.75  // between the ages that are compared: finer ones tell less apart
	ageKeep      = 0.99  // memory of that comparison: shorter follows a change sooner and errs more
	ageSure      = 0.8   // part of the usual age's scatter under which another age is believed
	firstPeriod  = 500   // ms between new reports until some are seen
	probesPerJob = 4     // probes for each of our requests, at most: knowledge against their price
	crowdLoss    = 0.2   // loss feared on a worker with no slot to spare; larger spreads more
	slowLoss     = 0.5   // loss feared when a job's run would use up all the time its aim leaves
	holdLoss     = 0.1   // loss for holding slots on a worker of mean speed; larger favours fast workers
	setupLoss    = 0.1   // loss for a missed fetch besides its price
	loadMost     = 1.1   // requests a core, as a live weight tells, from which on a worker has no room,
	loadOver     = 1.5   // if that is this many times the mean: where all hold many, it says nothing
	usualPeriods = 4     // report periods over which it is learned what others hold of workers of a kind
	usualShrink  = 3     // reports' worth of the fleet's mean mixed into a kind's own
	blindShare   = 2     // even parts of a worker's slots a node uses without a fresh report
	startGrace   = 4     // batches a start note may take beyond a connection until a job counts as queued
	homeWait     = 0.5   // part of the time its aim leaves that a job waits for a worker that holds its key
	homeSpread   = 2.0   // homes of a key, in workers' worth of its traffic: more divides it, fewer keep it
	keyMemory    = 1000  // requests after which the counts of keys are halved
	fetchPool    = 0.25  // part of capacity for jobs that must fetch their key: less spares the store
	homeMiss     = 0.5   // chance of a fetch from which on a worker is not worth waiting for
	lookAll      = 24    // workers of a fleet that is looked at whole for the jobs waiting
	lookSome     = 12    // drawn ones looked at of a larger one: more finds more room, costs CPU and herds
	tieLoss      = 0.01  // random part that keeps nodes from choosing alike
	coldSafety   = 0.6   // part of a cold worker's budget that is used: heavy tails need the rest
	coldKnown    = 0.8   // likewise while the hub tells what all nodes have there: room bounds what is sent
	coldPart     = 1.6   // even parts a node has at most, under 1/coldSafety: else all at once outgrow it
	coldBurst    = 0.5   // of its span, what may be saved up: more fills sooner, and pushes over
	silentAfter  = 2.5   // progress periods without a sign of life before a worker counts as standing still
	queueWaits   = 8     // usual waits that a queued job may have: fewer finds the dead sooner, and copies
	errorKeep    = 0.8   // memory of the error average: higher ejects later and forgives later
	errorEject   = 0.45  // error average that ejects: three failures running
	panicShare   = 0.5   // with more than this part of the workers ejected, ejection is ignored
	ejectFirst   = 2     // first ejection, in connect time-outs; doubles each time
	ejectMost    = 5     // doublings at most
	classAway    = 16    // likewise for a class that fails at a worker: a trial may lose a job for good
	flakyPrior   = 2     // jobs' worth of all classes' errors mixed into one class's
	flakyFor     = 40    // connect time-outs in which errors fade: shorter tries a bad one sooner
	speedKeep    = 0.98  // memory of the speed averages
	speedShrink  = 6     // jobs' worth of the kind's speed mixed into a worker's own
	askSpread    = 0.003 // of the time to ask within, for each node: a round of their asks,
	askLeast     = 0.025 // and at least this part of it
	comeBackRuns = 0.5   // mean runs, by tokens out, until a refused client may find one: fewer storms
)

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

// ---- intake

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
			job.attempts[event.Attempt].executor.lastHeard = d.now
			job.deadline = math.Inf(1)
		}
	case EvPeer:
		d.handlePeerMessage(event)
	}
}

// newJob gives an empty job, one that has ended if there is one.
func (d *Dispatcher) newJob() *job {
	n := len(d.jobPool)
	if n == 0 {
		return &job{}
	}
	reused := d.jobPool[n-1]
	d.jobPool = d.jobPool[:n-1]
	*reused = job{attempts: reused.attempts[:0], candidates: reused.candidates[:0]}
	return reused
}

func (d *Dispatcher) handleRequest(event *Event) {
	if d.jobs[event.Job] != nil {
		return
	}
	job := d.newJob()
	job.id, job.key, job.arrivedAt, job.maxAttempts = event.Job, event.Key, d.now, d.settings.MaxAttempts
	job.class = min(int(event.Class), len(d.settings.Classes)-1)
	job.tenant = min(int(event.Tenant), len(d.tenants)-1)
	class, stats := &d.settings.Classes[job.class], &d.classes[job.class]
	slots, memory, left := event.sanitizedNeeds()
	job.slots, job.memory = slots, memory
	likely := event.Work
	if event.Flags&FlagWork != 0 && event.Work > 0 && !math.IsInf(event.Work, 0) {
		job.work = event.Work
		stats.work += (job.work - stats.work) * 0.02
	} else {
		// Most jobs are shorter than a heavy-tailed mean, and a short one's aim comes soon. Where worth goes
		// by work, most of it lies in jobs as much longer than the mean, and their aim comes as much later.
		if job.work, likely = stats.work, unhintedWork*stats.work; d.settings.WorthByWork {
			likely = stats.work / unhintedWork
		}
	}
	d.widestRequest = max(d.widestRequest, job.slots)
	stats.slots += (job.slots - stats.slots) * 0.02
	job.deadline = d.now + left
	age := 0.0
	if event.Flags&FlagRepeat != 0 { // its aim runs from the client's first try
		age = max(0, class.Deadline-left)
	}
	job.objectiveAt = min(d.now-age+class.Aim+class.Stretch*likely+(job.work-likely)/d.meanSpeed(), job.deadline)
	d.jobs[job.id] = job
	job.overQuota = d.isOverQuota(job, event.Flags&FlagRepeat != 0)
	job.zonePrices, job.value = event.Prices, class.Worth // the worth for each ms
	if !d.settings.WorthByWork {
		job.value /= job.work
	}
	if job.overQuota {
		// A node tells only roughly what is beyond a share, so it is taken to be right half of the time.
		job.value *= (1 + d.settings.OverShareWorth) / 2
	}
	d.meanValue += (job.value - d.meanValue) * 0.02
	d.arrived = append(d.arrived, job)
	d.countKey(job.key)
	d.countArrival(event.Flags&FlagRepeat != 0)
}

// ---- admission

// admitArrived runs the design's steps for each arrival: limit, reservation, remainder, else refuse.
func (d *Dispatcher) admitArrived() {
	if len(d.arrived) == 0 || d.awaitsAggregator() {
		return
	}
	d.estimateCapacity()
	for _, job := range d.arrived {
		if job.done {
			continue
		}
		tenant := &d.tenants[job.tenant]
		tenant.lastSeen = d.now
		if d.isHopeless(job) {
			d.endJob(job, causeTooLate)
			continue
		}
		fits := d.admit(job)
		for n := 0.0; !fits && n <= job.slots && d.preempt(job); n++ {
			fits = d.admit(job)
		}
		if !fits {
			d.endJob(job, causeNoTokens)
			continue
		}
		job.admitted = true
		tenant.reservedSlots += job.slots
		d.enqueue(job)
		d.checkHealthFor(job)
	}
	d.arrived = d.arrived[:0]
}

func (d *Dispatcher) admit(job *job) bool {
	stats := &d.classes[job.class]
	tokens := d.capacity * (1 + min(waitMost, d.settings.Classes[job.class].Aim/stats.work))
	if job.value < d.meanValue {
		tokens *= 1 - trunk // the last tokens are for work worth more than the mean
	}
	active := 0.0
	for i := range d.tenants {
		if tenant := &d.tenants[i]; d.now-tenant.lastSeen <= activeFor || tenant.reservedSlots > 0 {
			active += tenant.reservedShare
		}
	}
	active = max(active, 1e-9)
	unit := reserved * tokens / active
	tenant := &d.tenants[job.tenant]
	limit := tokens * (tenant.reservedShare/active + limitBase*(1-tenant.reservedShare/active))
	if tenant.reservedSlots+job.slots > limit {
		return false
	}
	// A small tenant's reservation can be less than one wide job: its first job is within it all the same.
	if tenant.reservedSlots+job.slots <= unit*tenant.reservedShare || tenant.reservedSlots == 0 && !job.overQuota {
		job.borrowed = false
		return true
	}
	borrowed := 0.0
	for i := range d.tenants {
		borrowed += max(0, d.tenants[i].reservedSlots-unit*d.tenants[i].reservedShare)
	}
	job.borrowed = true
	return borrowed+job.slots <= tokens-reserved*tokens || len(d.queue) == 0 && d.isStarved()
}

// estimate counts capacity: slots of our running jobs and free slots, by report or by what was served.
func (d *Dispatcher) estimateCapacity() {
	if d.now < d.nextEstimate {
		return // sends move slots from free ones to our own: the sum stays
	}
	if n := float64(len(d.executors)); n > lookAll {
		d.nextEstimate = d.now + d.tickInterval()*n/lookAll
	}
	known := len(d.executors) <= lookAll || d.peerLoadsKnown() // what others hold
	own, free, hoped, queued, total, assumed, most := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, executor := range d.executors {
		own += executor.ownSlots
		if executor.condition != Ready {
			continue
		}
		n := max(executor.slots, d.kinds[executor.kind].slots)
		total += n
		assumed += max(n, d.widestRequest, softStart)
		most = max(most, n)
		if known || executor.reportedAt > 0 && d.now-executor.reportedAt <= min(d.reportTTL(), d.meanRun) {
			free += max(0, d.availableSlots(executor))
		} else {
			hoped += max(0, d.availableSlots(executor))
		}
		if !known && d.settings.TellsStart && d.now-executor.oldestUnstarted > d.startNoteTimeout() {
			queued += executor.unstartedSlots
		}
	}
	d.fairSlots = pushShare * d.fleetShare() * total
	if d.capacity = own + free; !known {
		d.capacity = d.capacityWithoutPeers(own-queued, queued, free, hoped, assumed)
		d.fairSlots = d.capacity
	}
	if d.gossipMode == gossipAggregator && d.peerLoadsKnown() && d.capacity < scarce*total {
		most = min(most, max(d.widestRequest, d.fleetShare()*total)) // all see the same few slots
		own := d.ownSlotsInFlight()
		d.capacity = own + (d.capacity-own)*d.capacity/(scarce*total)
	}
	d.capacity = max(d.capacity, most) // else a node that sees no room and has nothing out never begins
}

// unseenCapacity is the capacity of a node that is not told what others hold: its part of all slots, as list
// and quotas show them; or what runs of its jobs, room it knows of, and while nothing queues as much again.
func (d *Dispatcher) capacityWithoutPeers(running, queued, reported, hoped, assumed float64) float64 {
	part := d.fleetShare() * max(assumed, d.totalQuota*d.meanSlotTime/1000)
	return max(softStart, part, running+reported+max(0, min(hoped, running-queued)))
}

// starved says that such a node has sent nothing for long, for its jobs hang or run long. It may send one
// more, else it would refuse all that comes for as long as their clients wait.
func (d *Dispatcher) isStarved() bool {
	return len(d.executors) > lookAll && !d.peerLoadsKnown() && d.now-d.lastDispatchAt > starvedRuns*d.meanSlotTime
}

// meter tells whether a request is beyond its tenant's share, by a bucket that fills at the part of the quota
// that usually comes this way: nodes see only their own traffic, and it is uneven.
func (d *Dispatcher) isOverQuota(job *job, repeat bool) bool {
	tenant := &d.tenants[job.tenant]
	if tenant.quota <= 0 {
		return false
	}
	rate := min(tenant.quota, max(shareSlack*tenant.usualRate, tenant.quota/(2*float64(d.settings.Balancers))))
	span := d.now - tenant.refilledAt
	tenant.refilledAt = d.now
	deep := max(rate*shareDepth/1000, 2)
	tenant.tokens = min(deep, tenant.tokens+rate*span/1000)
	tenant.usualRate *= math.Exp(-span / shareMemory)
	if !repeat {
		tenant.usualRate += 1000 / shareMemory
		if tenant.tokens < 1 {
			return true
		}
		tenant.tokens--
	}
	return tenant.tokens < 1
}

// hopeless says that a job cannot end before its client leaves, wherever it goes.
func (d *Dispatcher) isHopeless(job *job) bool {
	return d.now+0.2*job.work/d.meanSpeed() > job.deadline-d.answerMargin()
}

// evict refuses a waiting job, of the same tenant or a borrower, that is past its aim or worth less.
func (d *Dispatcher) preempt(job *job) bool {
	speed := d.meanSpeed()
	if d.now+job.work/speed > job.objectiveAt {
		return false
	}
	for _, k := range slices.Backward(d.queue) {
		if k.done || k.inFlight > 0 || k.mayHaveRun || (!k.borrowed && k.tenant != job.tenant) {
			continue
		}
		if k.value < evictGain*job.value || d.now+k.work/speed > k.objectiveAt {
			d.endJob(k, causePreempted)
			return true
		}
	}
	return false
}

// ---- placement

func (d *Dispatcher) enqueue(job *job) {
	if !job.queued {
		job.queued = true
		d.queue = append(d.queue, job)
	}
	d.needsPlacement = true
}

// place sends waiting jobs to workers with room: those within a reservation, then those that borrow, then
// those too late for their aim; among equals, the one that must start soonest.
func (d *Dispatcher) dispatchQueue() {
	d.needsPlacement = false
	keep := d.queue[:0]
	speed := d.meanSpeed()
	for _, job := range d.queue {
		if len(job.attempts) > 0 {
			d.endIfExhausted(job)
		}
		if job.done || !job.queued {
			job.queued = false
			d.releaseJob(job)
			continue
		}
		start := job.objectiveAt - job.work/speed
		job.rank = start
		if d.now < job.holdUntil && d.checksInFlight > 0 {
			job.rank = math.Inf(1)
		}
		if start < d.now {
			job.rank += 2e9
		} else if job.borrowed || job.overQuota || job.inFlight > 0 {
			job.rank += 1e9
		}
		keep = append(keep, job)
	}
	d.queue = keep
	if len(keep) == 0 {
		return
	}
	slices.SortStableFunc(keep, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	d.eligible, d.inspected, d.inspectedAll, d.inspectionRound = d.eligible[:0], d.inspected[:0], false, d.inspectionRound+1
	left := keep[:0]
	for _, job := range keep {
		if math.IsInf(job.rank, 1) { // until its probes are back
			left = append(left, job)
			continue
		}
		executor := d.chooseExecutor(job)
		if executor == nil {
			executor = d.speculate(job)
		}
		if executor != nil {
			d.sendAttempt(job, executor)
			executor.available = d.availableSlots(executor)
			job.queued = false
			continue
		}
		left = append(left, job)
	}
	d.queue = left
}

// look gathers the workers with room that waiting jobs choose among: all of a small fleet; of a large one
// those heard of last and some drawn: to look at all takes CPU, and all would storm the same roomiest one.
func (d *Dispatcher) inspectExecutors() {
	if d.inspectedAll {
		return
	}
	d.inspectedAll = true
	if len(d.executors) <= lookAll {
		for _, executor := range d.executors {
			d.inspect(executor)
		}
		return
	}
	for i := range d.recentReporters {
		d.inspect(d.recentReporters[i])
		d.inspect(d.recentServers[i])
	}
	for _, executor := range d.executors {
		if d.slowStartShare(executor) < 1 {
			d.inspect(executor) // for it is seldom our turn there, and then all the more wanted
		}
	}
	for n := 0; n < lookSome; n++ {
		d.inspect(d.executors[int(d.random()*float64(len(d.executors)))])
	}
}

// lookAt adds a worker to those that waiting jobs choose among, once, if it may be sent to and has room.
func (d *Dispatcher) inspect(executor *executor) {
	if executor == nil || executor.inspectedIn == d.inspectionRound || !d.isUsable(executor) {
		return
	}
	executor.inspectedIn = d.inspectionRound
	d.inspected = append(d.inspected, executor)
	if executor.available = d.availableSlots(executor); executor.available >= 1 && d.slowStartAllows(executor, 0) {
		d.eligible = append(d.eligible, executor)
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
	forHome := job.key != 0 && (d.now < job.arrivedAt+homeWait*(job.objectiveAt-job.work/mean-job.arrivedAt) || d.cacheFetchesExhausted(job))
	var from []*executor
	if forHome && len(d.executors) > lookAll {
		from = job.candidates // of many workers the rest is not even looked at
	} else {
		d.inspectExecutors()
		from = d.eligible
	}
	class, slack := &d.settings.Classes[job.class], max(job.objectiveAt-d.now, 1)
	for _, executor := range from {
		spare := executor.available - job.slots
		if spare < -1e-6 {
			continue
		}
		if class.Kind >= 0 && executor.kind != class.Kind || !d.isUsable(executor) || !d.isSendAllowed(job, executor) || d.classFailsAt(job, executor) {
			continue
		}
		odds := d.errorProbability(job, executor)
		if odds > errorEject || (executor.unresponsive || d.now < executor.ackOverdueUntil && !d.panicking) && class.Effect == Unsafe {
			continue // it may well be lost there
		}
		if executor.reportsMemory && job.memory > executor.freeMemory+1e-6 && executor.ownSlots > 0 {
			continue // with nothing of ours out, a report that stays low must not shut a worker out for good
		}
		run := job.work / d.executorSpeed(executor)
		loss := crowdLoss/(1+spare) + slowLoss*min(max(0, run/slack-0.5), 1) + holdLoss*run*mean/job.work
		loss += executor.errorAverage + odds + tieLoss*d.random()
		loss += d.zonePrice(job, executor.zone)
		if d.settings.Fees.Handshake > 0 && !d.hasOpenConnection(executor) {
			loss += d.settings.Fees.Handshake
		}
		miss := 0.0
		if job.key != 0 {
			miss = cacheMissProbability(job, executor, d.settings.Balancers)
			loss += miss * (d.settings.Fees.Origin + setupLoss)
		}
		if loss < least {
			least, best, bestMiss = loss, executor, miss
		}
	}
	if best != nil && bestMiss >= homeMiss && forHome {
		return nil
	}
	return best
}

// fetchesFull says that the pool for jobs that must fetch their key is used up while a home of it works.
// Without it a short jam lasts: jobs go wherever room shows, fetch, hold slots longer, and keep all full.
func (d *Dispatcher) cacheFetchesExhausted(job *job) bool {
	if d.fetchingSlots == 0 || d.fetchingSlots+job.slots <= fetchPool*d.capacity {
		return false
	}
	return slices.ContainsFunc(job.candidates, d.isUsable)
}

// push finds a worker for a job of a starved node: one that has less than its part of all slots out, sees no
// room, and held the job for a good part of its slack. Busy nodes refill a slot as their own job ends: no
// report shows it. It takes the worker with fewest of our slots, and queues no more than one job there.
func (d *Dispatcher) speculate(job *job) *executor {
	held := pushAfter * (job.objectiveAt - job.work/d.meanSpeed() - job.arrivedAt)
	full := d.ownSlotsInFlight()+job.slots > d.fairSlots && !d.isStarved()
	if full || job.inFlight > 0 || job.key != 0 || d.peerLoadsKnown() || d.now < job.arrivedAt+held {
		return nil
	}
	var best *executor
	for _, executor := range d.inspected {
		n := max(executor.slots, d.kinds[executor.kind].slots)
		if !d.isUsable(executor) || executor.unresponsive || executor.unstarted > 0 && d.settings.TellsStart || d.now < executor.rejectedUntil || d.classFailsAt(job, executor) {
			continue
		}
		class, part := &d.settings.Classes[job.class], d.fleetShare()*n+0.5
		if class.Kind >= 0 && executor.kind != class.Kind || d.errorProbability(job, executor) > errorEject || !d.isSendAllowed(job, executor) ||
			executor.ownSlots > 0 && executor.ownSlots+job.slots > part {
			continue
		}
		if best == nil || executor.ownSlots < best.ownSlots || executor.ownSlots == best.ownSlots && executor.available > best.available {
			best = executor
		}
	}
	return best
}

// missing estimates the chance that a worker must fetch a key: homes of the key likely hold it, and so do
// those we sent it to lately, unless others filled them since.
func cacheMissProbability(job *job, executor *executor, nodes int) float64 {
	miss := 1.0
	if i := slices.Index(job.candidates, executor); i >= 0 {
		miss = 0.1
		if i == len(job.candidates)-1 {
			miss = homeMiss
		}
	}
	if i := slices.Index(executor.affinityKeys[:], job.key); i >= 0 {
		miss = min(miss, float64(i*nodes)/float64(len(executor.affinityKeys)))
	}
	return miss
}

// findHomes ranks workers for a job's key by rendezvous hashing weighted by size, so that all nodes agree: as
// many homes as the key's share of our requests asks for, and one more to fall back on.
func (d *Dispatcher) findAffinityCandidates(job *job) {
	if job.key == 0 || job.candidatesRevision == d.listRevision {
		return
	}
	job.candidatesRevision, job.candidates = d.listRevision, job.candidates[:0]
	share := d.keyCounts[job.key] / max(d.keyTotal, keyMemory/10)
	want := 2 + int(homeSpread*share*float64(len(d.executors)))
	best := d.rankedScratch[:0] // the greatest, in order
	for i, x := range d.affinityHashes {
		h, scale := float64(mix64(job.key^x.hash)>>11+1)/(1<<53), d.kinds[x.kind].scale
		if !x.ready || len(best) == want && h-1 <= best[want-1].weight*scale {
			continue // h-1 is never less than the logarithm, which costs more
		}
		p := rankedCandidate{i, math.Log(h) / scale}
		if len(best) < want {
			best = append(best, p)
		} else if p.weight <= best[want-1].weight {
			continue
		}
		k := len(best) - 1
		for ; k > 0 && best[k-1].weight < p.weight; k-- {
			best[k] = best[k-1]
		}
		best[k] = p
	}
	for _, p := range best {
		job.candidates = append(job.candidates, d.executors[p.position])
	}
	d.rankedScratch = best
}

// room is how many more slots of ours a worker takes: by its report, else by what it took before.
func (d *Dispatcher) availableSlots(executor *executor) float64 {
	if d.now < executor.rejectedUntil {
		return 0
	}
	if executor.unresponsive && !d.panicking {
		return 1
	}
	if executor.onProbation {
		return 1 - executor.ownSlots
	}
	// Reports come late and can hide a queue: a job of ours that was not started says there is no room,
	// whatever free slots were last told or got back.
	if d.settings.TellsStart && executor.unstarted > 0 && d.now-executor.oldestUnstarted > d.startNoteTimeout() {
		return 0
	}
	n := math.Round(d.knownSlots(executor))
	if n > 0 && d.peerLoadsKnown() {
		// This is newer than any report.
		return math.Round(max(1, n*d.slowStartShare(executor)) - executor.ownSlots - d.peerSlotsAt(executor) - d.hiddenSlots(executor))
	}
	// A weight in the list is the same for all nodes and late: it is no reason to go to a worker, since all
	// would, but one that tells of more requests than cores is a reason to stay away.
	if executor.position < len(d.endpointRows) && d.endpointRows[executor.position].liveLoad >= max(loadMost, loadOver*d.meanLiveLoad) {
		return 0
	}
	if executor.reportedAt > 0 && d.now-executor.reportedAt <= d.reportTTL() {
		return math.Round(d.decayedFreeSlots(executor)) // to the nearest: reports are a little noisy
	}
	most := math.Floor(executor.softLimit)
	if n > 0 {
		// Every node guesses at once when reports fail: none takes more than twice its even part.
		most = min(most, max(1, math.Round(blindShare*n/float64(d.settings.Balancers))))
	}
	if executor.ownSlots == 0 {
		most = max(most, d.widestRequest) // else a job wider than what was tried so far would never be sent
	}
	most -= executor.ownSlots
	if n > 0 && d.lastReportAt > 0 && d.now-d.lastReportAt <= staleFor*d.reportTTL() && d.slowStartShare(executor) == 1 {
		// Others tell what is usual: where the fleet is full, so is likely one not heard of, unless new.
		most = min(most, math.Round(n*(1-d.peerOccupancyAt(executor))-executor.ownSlots))
	}
	return most
}

// freshFor is how long a report holds: some periods, and at least a run where only answers bring reports.
func (d *Dispatcher) reportTTL() float64 {
	fresh := freshPeriods * d.reportInterval
	if d.settings.Telemetry == ReportAnswers {
		fresh = max(fresh, d.classes[0].work/d.meanSpeed())
	}
	return fresh
}

// usable says whether new work may go to a worker at all.
func (d *Dispatcher) isUsable(executor *executor) bool {
	if (executor.dialFailures > 0 && (d.now < executor.dialBackoffUntil || executor.opening > 0) || d.isQuarantined(executor, noConns)) && !d.hasOpenConnection(executor) {
		// A worker can serve over the connections it has and take no new one (its table is full, or new
		// ones are cut): a served job says nothing of the next connect. One new connection tries at a time.
		return false
	}
	// A silent worker is tried again with one job now and then: else one that was cut off and holds jobs
	// whose end was lost would stay out until the last client's time is over (i3f1d0e).
	return executor.condition == Ready && (d.panicking || d.now >= executor.ejectedUntil && (!executor.unresponsive || d.now >= executor.retryAt))
}

// maySend is the one gate that every send passes: the request's state, what of it may have run, drains, and
// a cold worker's budget.
func (d *Dispatcher) isSendAllowed(job *job, executor *executor) bool {
	over := job.done || len(job.attempts) >= job.maxAttempts || d.now >= job.deadline
	if over || executor.condition != Ready || job.inFlight > 0 && !d.settings.MayDuplicate {
		return false
	}
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.executor == executor && (!attempt.resolved || job.mayHaveRun) {
			return false
		}
	}
	if (job.inFlight > 0 || job.mayHaveRun) && !d.isRetrySafe(job, executor) {
		return false
	}
	// Credit may be overdrawn by one slot's work, for all jobs cost some, not by a wide job's further slots.
	return d.slowStartAllows(executor, (job.slots-1)*job.work/d.kindSpeed(executor.kind))
}

// repeatable says whether a job that is out, or may have run, may go to w as well.
func (d *Dispatcher) isRetrySafe(job *job, executor *executor) bool {
	class := &d.settings.Classes[job.class]
	switch class.Effect {
	case Safe:
		return true
	case Keyed:
		ran, since := job.ranOn, job.ranSince
		for i := range job.attempts {
			if attempt := &job.attempts[i]; !attempt.resolved && (ran == nil || attempt.sentAt < since) {
				ran, since = attempt.executor, attempt.sentAt
			}
		}
		if d.now-since >= class.Window-d.answerMargin() {
			return false
		}
		switch class.Scope {
		case ScopeAll:
			return true
		case ScopeZone:
			return ran.zone == executor.zone
		default:
			return ran.zone == executor.zone && ran.cell == executor.cell
		}
	}
	return false
}

// mayRefuse is the one gate of refusals: nothing of the request may have run, or a repeat does no harm.
func (d *Dispatcher) isRejectSafe(job *job) bool {
	class := &d.settings.Classes[job.class]
	return class.Effect == Safe || job.inFlight == 0 && !job.mayHaveRun || class.Effect == Keyed && class.Scope == ScopeAll
}

// comeBack is how long a refused client should stay away: until a token of ours is back, at the pace of runs.
func (d *Dispatcher) retryAfter(job *job) float64 {
	held := max(job.slots, d.reservedTotal())
	return min(d.settings.MaxRetryAfter, comeBackRuns*d.meanRun*job.slots/held)
}

// ourPart is our part of what all nodes may do together: half of it even, half by our part of the traffic
// that the quotas stand for. The parts of all nodes sum to 1 while traffic is at quota.
func (d *Dispatcher) fleetShare() float64 {
	even := 1 / float64(d.settings.Balancers)
	if d.totalQuota <= 0 {
		return even
	}
	return (even + min(1, d.quotaRate()/d.totalQuota)) / 2
}

func (d *Dispatcher) sendAttempt(job *job, executor *executor) {
	executor.slowStartCredit -= job.slots * job.work / d.kindSpeed(executor.kind)
	shared := d.sharesConnection(executor)
	if executor.unresponsive {
		executor.retryAt = d.now + d.unresponsiveTimeout()/2*float64(int(1)<<min(executor.retries, 3))*(0.75+0.5*d.random())
		executor.retries++
	}
	d.lastDispatchAt = d.now
	d.actions = append(d.actions, Action{Kind: ActSend, Job: job.id, Worker: executor.id})
	job.attempts = append(job.attempts, attempt{executor: executor, sentAt: d.now, heardAt: d.now, hadFreeSlots: executor.freeSlots >= job.slots})
	if job.key != 0 && cacheMissProbability(job, executor, d.settings.Balancers) >= homeMiss {
		job.attempts[len(job.attempts)-1].fetchesKey = true
		d.fetchingSlots += job.slots
	}
	job.inFlight++
	if len(executor.inFlight) == 0 {
		d.busyExecutors = append(d.busyExecutors, executor)
	}
	executor.inFlight = append(executor.inFlight, job)
	executor.ownSlots += job.slots
	executor.freeSlots -= job.slots
	executor.freeMemory -= job.memory
	d.countUnstarted(executor)
	if n := len(executor.idleSince); n > 0 {
		executor.idleSince = executor.idleSince[:n-1]
	} else if !shared {
		job.attempts[len(job.attempts)-1].openedConnection = true
		executor.opening++
	}
	if job.key != 0 {
		executor.touchKey(job.key)
	}
}

// ---- outcomes

func (d *Dispatcher) handleOutcome(event *Event) {
	executor := d.executorsByID[event.Worker]
	job := d.jobs[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		if executor != nil {
			d.handleLoadReport(executor, event.Report)
		}
		return
	}
	attempt := &job.attempts[event.Attempt]
	executor = attempt.executor
	attempt.resolved = true
	job.inFlight--
	d.needsPlacement = true
	if i := slices.Index(executor.inFlight, job); i >= 0 {
		executor.inFlight = slices.Delete(executor.inFlight, i, i+1)
		if len(executor.inFlight) == 0 {
			executor.unresponsive = false
			i := slices.Index(d.busyExecutors, executor)
			d.busyExecutors = slices.Delete(d.busyExecutors, i, i+1)
		}
	}
	if !attempt.writtenOff {
		executor.ownSlots -= job.slots
	}
	executor.freeMemory += job.memory
	d.countUnstarted(executor)
	d.noteMayHaveRun(job, attempt, event.Outcome)
	if attempt.openedConnection {
		executor.opening--
	}
	if attempt.fetchesKey {
		d.fetchingSlots -= job.slots
	}
	d.judgeOutcome(job, attempt, event.Outcome)
	d.learnClassOutcome(job, executor, event)
	d.handleLoadReport(executor, event.Report)
	if event.Final {
		d.finishJob(job)
	}
	if job.done {
		d.releaseJob(job)
		return
	}
	if job.inFlight == 0 {
		d.enqueue(job) // and settled once the batch is taken in: a later event of it may end the job
	}
}

// mark keeps, in one place, what of a request may have run.
func (d *Dispatcher) noteMayHaveRun(job *job, attempt *attempt, o Outcome) {
	if o.NeverRan() {
		return
	}
	if !job.mayHaveRun || attempt.sentAt < job.ranSince {
		job.mayHaveRun, job.ranOn, job.ranSince = true, attempt.executor, attempt.sentAt
	}
}

// settle ends a job with nothing out for which nothing more can be done.
func (d *Dispatcher) endIfExhausted(job *job) {
	if job.done || job.inFlight > 0 {
		return
	}
	class := &d.settings.Classes[job.class]
	spent := len(job.attempts) >= job.maxAttempts || d.now >= job.deadline-d.answerMargin()
	if job.mayHaveRun {
		spent = spent || class.Effect == Unsafe || class.Effect == Keyed && d.now-job.ranSince >= class.Window-d.answerMargin()
	}
	if spent || d.isHopeless(job) {
		d.endJob(job, causeTooLate)
	}
}

// end gives the final answer that the gate allows: a refusal where a repeat is harmless, else a failure.
func (d *Dispatcher) endJob(job *job, why rejectCause) {
	if job.done {
		return
	}
	d.endedByCause[why]++
	d.lastEndedAt = d.now
	a := Action{Kind: ActFail, Job: job.id}
	if d.isRejectSafe(job) {
		a.Kind, a.For = ActRefuse, d.retryAfter(job)
	}
	d.actions = append(d.actions, a)
	d.finishJob(job)
}

// finish returns a job's tokens, once, and calls off what is still out.
func (d *Dispatcher) finishJob(job *job) {
	if job.done {
		return
	}
	job.done = true
	if job.admitted {
		job.admitted = false
		tenant := &d.tenants[job.tenant]
		tenant.reservedSlots = max(0, tenant.reservedSlots-job.slots)
	}
	for i := range job.attempts {
		if !job.attempts[i].resolved && d.settings.MayCancel {
			d.actions = append(d.actions, Action{Kind: ActCancel, Job: job.id, Attempt: uint16(i)})
		}
	}
	d.needsPlacement = true
	d.releaseJob(job)
}

// release forgets a job that is done once nothing of it is out.
func (d *Dispatcher) releaseJob(job *job) {
	if job.done && job.inFlight == 0 && !job.queued && d.jobs[job.id] == job {
		delete(d.jobs, job.id)
		if !slices.Contains(d.arrived, job) {
			d.jobPool = append(d.jobPool, job)
		}
	}
}

func (d *Dispatcher) handleNote(event *Event) {
	job := d.jobs[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		return
	}
	attempt := &job.attempts[event.Attempt]
	if event.Topic == NoteLate {
		d.handleOverdueAck(job, attempt)
		return
	}
	d.noteAlive(attempt.executor)
	attempt.heardAt, attempt.ackOverdue = d.now, false
	if attempt.writtenOff {
		attempt.writtenOff = false
		attempt.executor.ownSlots += job.slots
	}
	if attempt.startedAt == 0 {
		attempt.startedAt = d.now
		lag := d.now - attempt.sentAt
		d.startDelay += (lag - d.startDelay) * 0.02
		if lag < d.minStartLag {
			d.minStartLag = lag
		} else {
			d.minStartLag += (min(lag, 4*d.minStartLag) - d.minStartLag) * 0.01
		}
		d.countUnstarted(attempt.executor)
		d.needsPlacement = true
		job.queued = false // no second copy of what has begun
	}
}

// late takes in that a worker owes a sign that it took a job for longer than it and its peers usually do.
// Beside others that are heard of, one such attempt is its connection's fault: the worker is kept. It holds
// no slots in our books, and its job may be tried elsewhere too, where that is allowed.
func (d *Dispatcher) handleOverdueAck(job *job, attempt *attempt) {
	executor, owed := attempt.executor, 0
	if attempt.startedAt > 0 || attempt.ackOverdue || attempt.writtenOff {
		return
	}
	attempt.ackOverdue, attempt.writtenOff, d.needsPlacement = true, true, true
	executor.ownSlots -= job.slots
	d.countUnstarted(executor)
	for _, k := range executor.inFlight {
		if last := &k.attempts[len(k.attempts)-1]; last.executor == executor && last.ackOverdue {
			owed++
		}
	}
	if executor.lastHeard <= attempt.sentAt || owed > 1 {
		d.eject(executor, "owing signs of jobs")
		executor.ackOverdueAt, executor.ackOverdueUntil = d.now, 2*executor.ejectedUntil-d.now
	}
}

// ---- health

// judge draws from an outcome what it says of the worker: its room, speed, errors and connections.
func (d *Dispatcher) judgeOutcome(job *job, attempt *attempt, o Outcome) {
	executor := attempt.executor
	switch o {
	case Served, Errored, Reset:
		executor.freeSlots += job.slots
		executor.endedAttempts[executor.endedCount%len(executor.endedAttempts)] = endedAttempt{attempt.sentAt, d.now, job.slots}
		executor.endedCount++
	case Full:
		executor.freeSlots = min(executor.freeSlots+job.slots, 0)
		executor.softLimit = max(1, softCut*executor.ownSlots)
		executor.rejections = min(executor.rejections+1, 6)
		executor.rejectedUntil = d.now + d.reportInterval*0.25*float64(int(1)<<(executor.rejections-1))*(0.5+d.random())
	case ConnectFailed, Moot:
		executor.freeSlots += job.slots
	}
	switch o {
	case Served:
		d.noteAlive(executor)
		executor.errorAverage *= errorKeep
		if executor.rejections = 0; attempt.sentAt >= executor.ackOverdueAt { // else it shows nothing of what came since
			executor.ejections, executor.onProbation, executor.ackOverdueUntil = 0, false, 0
		}
		late := d.now > job.objectiveAt && attempt.sentAt+job.work/d.meanSpeed() <= job.objectiveAt
		blind := executor.reportedAt == 0 || d.now-executor.reportedAt > staleFor*d.reportTTL() // a pause is not the end
		if late && blind && attempt.sentAt > executor.softLimitCutAt {
			// With no reports and no 'full' only lateness shows a queue: one cut for all sent before it.
			executor.softLimit, executor.softLimitCutAt = max(1, softCut*executor.softLimit), d.now
		} else if !late && executor.ownSlots+job.slots >= math.Floor(executor.softLimit) {
			executor.softLimit += job.slots / executor.softLimit
		}
		if attempt.openedConnection {
			executor.dialFailures = 0
		}
		d.learnServiceTime(job, attempt)
		if len(executor.idleSince) > len(executor.inFlight) && d.settings.Multiplex > 1 {
			executor.idleSince = executor.idleSince[:0] // jobs share connections: one idle entry stands for all
		}
		executor.idleSince = append(executor.idleSince, d.now)
		d.recentServers.add(executor)
	case Errored:
		d.noteAlive(executor) // and else a matter of the job's class, see fared
	case Reset:
		d.noteAlive(executor)
		executor.errorAverage = executor.errorAverage*errorKeep + 1 - errorKeep
		if executor.errorAverage > errorEject || executor.onProbation {
			d.eject(executor, "errors")
		}
	case ConnectFailed:
		d.noteDialFailure(executor)
	}
}

// linkFailed backs off from new connections to a worker; those that are open go on being used.
func (d *Dispatcher) noteDialFailure(executor *executor) {
	if d.reportQuarantine(executor, noConns); d.now >= executor.dialBackoffUntil {
		back := max(d.settings.ConnectTimeout, d.settings.Step) * float64(int(1)<<min(executor.dialFailures, ejectMost))
		executor.dialBackoffUntil = d.now + back*(0.75+0.5*d.random())
		if executor.dialFailures++; executor.dialFailures == 1 {
			d.logf("worker %d takes no new connections", executor.id)
		}
	}
	executor.idleSince = executor.idleSince[:0] // it was to use an idle one if there was one
}

// eject keeps new work off a worker for a while, doubling, then lets it in one job at a time.
func (d *Dispatcher) eject(executor *executor, why string) {
	if d.now < executor.ejectedUntil {
		return
	}
	base := ejectFirst * max(d.settings.ConnectTimeout, d.settings.Step)
	executor.ejectedUntil = d.now + base*float64(int(1)<<min(executor.ejections, ejectMost))*(0.75+0.5*d.random())
	executor.ejections++
	executor.onProbation = true
	d.ejectedExecutors = append(d.ejectedExecutors, executor)
	executor.errorAverage = min(executor.errorAverage, errorEject)
	d.logf("eject worker %d for %s until %.0f, strike %d", executor.id, why, executor.ejectedUntil, executor.ejections)
}

func (d *Dispatcher) handleHealthCheck(event *Event) {
	executor := d.executorsByID[event.Worker]
	if executor == nil {
		return
	}
	if executor.checkPending {
		executor.checkPending = false
		d.checksInFlight--
		d.needsPlacement = true
	}
	switch event.Outcome {
	case Served:
		d.noteAlive(executor)
		d.handleLoadReport(executor, event.Report)
	case ConnectFailed:
		d.noteDialFailure(executor)
	}
}

// watchHealth finds workers that stand still and jobs to be tried elsewhere meanwhile.
func (d *Dispatcher) detectOutliers() {
	limit := d.unresponsiveTimeout()
	d.findFailingClasses()
	d.ejectedExecutors = slices.DeleteFunc(d.ejectedExecutors, func(executor *executor) bool {
		return d.now >= executor.ejectedUntil || executor.condition != Ready
	})
	bad := len(d.ejectedExecutors)
	for _, executor := range d.busyExecutors {
		if executor.condition != Ready {
			continue
		}
		silent := false
		for _, job := range executor.inFlight {
			for i := range job.attempts {
				if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff {
					since := max(attempt.sentAt, executor.lastHeard)
					if attempt.startedAt == 0 && d.settings.TellsStart {
						since += queueWaits * d.startDelay // a queued job tells nothing
					}
					silent = silent || d.now-since > limit
				}
			}
		}
		if silent && !executor.unresponsive {
			d.logf("worker %d silent", executor.id)
			executor.retryAt = d.now + limit*(0.25+0.5*d.random())
		}
		executor.unresponsive = silent
		// All slow together still tell their progress: where it is told, silence is no sign of slowness.
		if silent && d.settings.Progress <= 0 && d.now >= executor.ejectedUntil {
			bad++
		}
	}
	panicking := float64(bad) > panicShare*float64(len(d.executors))
	if panicking != d.panicking {
		d.panicking = panicking
		d.needsPlacement = true
		d.logf("%d of %d workers ejected, ignored %v", bad, len(d.executors), panicking)
	}
}

// hedge sends the jobs of a silent worker elsewhere too, where that is allowed.
func (d *Dispatcher) hedgeUnresponsive() {
	for _, executor := range d.busyExecutors {
		for _, job := range executor.inFlight {
			// One that was sent to see whether the worker lives gets its time for that, and one that queues
			// would only queue elsewhere too.
			class, last := &d.settings.Classes[job.class], &job.attempts[len(job.attempts)-1]
			still := executor.unresponsive && d.now-last.sentAt > d.unresponsiveTimeout()/2 && (last.startedAt > 0 || !d.settings.TellsStart)
			if (still || last.ackOverdue) && !job.done && !job.queued && job.inFlight == 1 && class.Effect != Unsafe {
				d.enqueue(job)
			}
		}
	}
}

// ---- list

func (d *Dispatcher) handleList(event *Event) {
	d.needsPlacement = true
	if event.Form == ListFailed {
		if d.failedPolls == 0 {
			d.logf("list out of reach, last heard %.0f ms ago", d.now-d.listUpdatedAt)
		}
		d.pollSentAt, d.watching = 0, false
		d.failedPolls = min(d.failedPolls+1, 8)
		d.nextPoll = d.now + d.pollBackoff()
		return
	}
	if event.Form != ListCached {
		if d.failedPolls > 0 {
			d.logf("list within reach again after %d failed calls", d.failedPolls)
		}
		d.pollSentAt, d.watching, d.failedPolls = 0, true, 0
	}
	if d.listUpdatedAt == 0 {
		d.aggregator.since = d.now
	}
	if d.listUpdatedAt = d.now; event.Form == ListCached && float64(d.settings.Balancers)*askSpread > askLeast {
		d.nextPoll = d.now + d.pollBackoff() // many nodes that were killed together start together
	}
	d.applyRows(event)
	if event.Form != ListCached && len(d.executors) > 0 {
		d.listConfirmedAt = d.now
	}
}

// askBackoff is until this node's turn in a round that all nodes have: calls that come together wait in vain.
func (d *Dispatcher) pollBackoff() float64 {
	span := max(askLeast, askSpread*float64(d.settings.Balancers)) * float64(int(1)<<min(d.failedPolls, 3))
	return recovery.TimeSlots{Me: d.settings.Me, Nodes: d.settings.Balancers}.After(d.now, d.settings.AskWithin*min(1, span))
}

// ask keeps a subscription to the list.
func (d *Dispatcher) pollList() {
	if !d.settings.Ask || d.watching || d.now < d.nextPoll || d.pollSentAt > 0 && d.now-d.pollSentAt < d.settings.AskWithin/2 {
		return
	}
	d.pollSentAt = max(d.now, 1e-9)
	d.nextPoll = d.now + d.pollBackoff()
	d.actions = append(d.actions, Action{Kind: ActWatch, On: true})
}

// ---- timers

// tickSpan is the time between ticks: longer in a large fleet, where a tick has more to look at.
func (d *Dispatcher) tickInterval() float64 {
	if len(d.executors) > lookAll {
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
	if len(d.executors) <= lookAll || d.now >= d.nextOutlierCheck {
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
		d.aggregator.wanted = d.aggregator.wanted || d.now-d.aggregator.answered > hubAgain*d.answerTimeout()
	}
	d.checkHealth()
	d.broadcastLoad()
	if (d.freshPeers > 0 || d.gossipMode == gossipAggregator) && d.now >= d.nextPeerSum {
		d.sumPeerLoads()
	}
	d.logRejecting()
}

// awaitHub says whether jobs wait for what the hub tells: free slots known here are old, and others use them.
func (d *Dispatcher) awaitsAggregator() bool {
	aggregator, wait := &d.aggregator, d.answerTimeout()
	if d.gossipMode != gossipAggregator || aggregator.now == d.settings.Me || d.now < max(aggregator.deaf, aggregator.answered+hubFresh*wait) {
		return false
	}
	aggregator.wanted = true
	return d.now-d.arrived[0].arrivedAt < wait
}

// probe asks workers for their load, about once a report period, within a number for each request.
func (d *Dispatcher) checkHealth() {
	if n := len(d.executors); !d.settings.MayProbe || d.settings.Telemetry != ReportProbes || n == 0 || n > lookAll {
		return // of a large fleet probeFor asks for each job
	}
	rate := d.allArrivals.perSecond
	if quiet := d.now - d.allArrivals.last; d.allArrivals.last > 0 && quiet > 1000 {
		rate = min(rate, 1000/quiet)
	}
	span := max(d.reportInterval*0.8, 1000*float64(len(d.executors))/(probesPerJob*max(rate, 0.5)))
	for _, executor := range d.executors {
		if executor.condition != Ready || executor.checkPending || d.now-executor.checkedAt < span*executor.checkIntervalFactor {
			continue
		}
		d.sendHealthCheck(executor)
	}
}

func (d *Dispatcher) sendHealthCheck(executor *executor) {
	executor.checkPending, executor.checkedAt, executor.checkIntervalFactor = true, d.now, 0.8+0.4*d.random()
	d.checksInFlight++
	d.actions = append(d.actions, Action{Kind: ActProbe, Worker: executor.id})
}

// probeFor asks, in a large fleet, some workers for each job that comes, which waits for their answers: by
// turns each would be old when a job comes. Half are those used last, half are drawn.
func (d *Dispatcher) checkHealthFor(job *job) {
	if !d.settings.MayProbe || d.settings.Telemetry != ReportProbes || len(d.executors) <= lookAll {
		return
	}
	n := 0
	try := func(executor *executor) {
		if executor != nil && executor.condition == Ready && !executor.checkPending && d.now-executor.reportedAt > d.reportInterval/2 && d.isUsable(executor) {
			d.sendHealthCheck(executor)
			n++
		}
	}
	for i := 0; i < len(d.recentServers) && n < probesPerJob/2; i++ {
		if executor := d.recentServers[i]; executor != nil && d.hasOpenConnection(executor) {
			try(executor)
		}
	}
	for i := 0; i < 2*probesPerJob && n < probesPerJob; i++ {
		try(d.executors[int(d.random()*float64(len(d.executors)))])
	}
	job.holdUntil = d.now + d.tickInterval()
}
