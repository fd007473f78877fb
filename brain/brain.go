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
	d.now, d.out = now, out
	for i := range events {
		d.intake(&events[i])
	}
	d.admitArrived()
	if now >= d.tickAt {
		d.tick()
	}
	if d.dirty {
		d.place()
	}
	if d.telling == gossipAggregator {
		d.tellHub()
	}
	out, d.out = d.out, nil
	return out
}

// ---- intake

func (d *Dispatcher) intake(event *Event) {
	switch event.Kind {
	case EvRequest:
		d.request(event)
	case EvOutcome:
		d.outcome(event)
	case EvNote:
		d.note(event)
	case EvProbed:
		d.probed(event)
	case EvList:
		d.list(event)
	case EvGone:
		if job := d.jobs[event.Job]; job != nil && !job.done {
			d.finish(job)
		}
	case EvFirst:
		if job := d.jobs[event.Job]; job != nil && int(event.Attempt) < len(job.attempts) {
			job.attempts[event.Attempt].executor.lastHeard = d.now
			job.deadline = math.Inf(1)
		}
	case EvPeer:
		d.heardPeer(event)
	}
}

// newJob gives an empty job, one that has ended if there is one.
func (d *Dispatcher) newJob() *job {
	n := len(d.pool)
	if n == 0 {
		return &job{}
	}
	reused := d.pool[n-1]
	d.pool = d.pool[:n-1]
	*reused = job{attempts: reused.attempts[:0], candidates: reused.candidates[:0]}
	return reused
}

func (d *Dispatcher) request(event *Event) {
	if d.jobs[event.Job] != nil {
		return
	}
	job := d.newJob()
	job.id, job.key, job.arrivedAt, job.maxAttempts = event.Job, event.Key, d.now, d.s.MaxAttempts
	job.class = min(int(event.Class), len(d.s.Classes)-1)
	job.tenant = min(int(event.Tenant), len(d.tenants)-1)
	class, stats := &d.s.Classes[job.class], &d.classes[job.class]
	slots, memory, left := event.sane()
	job.slots, job.memory = slots, memory
	likely := event.Work
	if event.Flags&FlagWork != 0 && event.Work > 0 && !math.IsInf(event.Work, 0) {
		job.work = event.Work
		stats.work += (job.work - stats.work) * 0.02
	} else {
		// Most jobs are shorter than a heavy-tailed mean, and a short one's aim comes soon. Where worth goes
		// by work, most of it lies in jobs as much longer than the mean, and their aim comes as much later.
		if job.work, likely = stats.work, unhintedWork*stats.work; d.s.WorthByWork {
			likely = stats.work / unhintedWork
		}
	}
	d.widest = max(d.widest, job.slots)
	stats.slots += (job.slots - stats.slots) * 0.02
	job.deadline = d.now + left
	age := 0.0
	if event.Flags&FlagRepeat != 0 { // its aim runs from the client's first try
		age = max(0, class.Deadline-left)
	}
	job.objectiveAt = min(d.now-age+class.Aim+class.Stretch*likely+(job.work-likely)/d.meanSpeed(), job.deadline)
	d.jobs[job.id] = job
	job.overQuota = d.meter(job, event.Flags&FlagRepeat != 0)
	job.zonePrices, job.value = event.Prices, class.Worth // the worth for each ms
	if !d.s.WorthByWork {
		job.value /= job.work
	}
	if job.overQuota {
		// A node tells only roughly what is beyond a share, so it is taken to be right half of the time.
		job.value *= (1 + d.s.OverShareWorth) / 2
	}
	d.value += (job.value - d.value) * 0.02
	d.arrived = append(d.arrived, job)
	d.countKey(job.key)
	d.countArrival(event.Flags&FlagRepeat != 0)
}

// ---- admission

// admitArrived runs the design's steps for each arrival: limit, reservation, remainder, else refuse.
func (d *Dispatcher) admitArrived() {
	if len(d.arrived) == 0 || d.awaitHub() {
		return
	}
	d.estimate()
	for _, job := range d.arrived {
		if job.done {
			continue
		}
		tenant := &d.tenants[job.tenant]
		tenant.lastSeen = d.now
		if d.hopeless(job) {
			d.end(job, causeTooLate)
			continue
		}
		fits := d.admit(job)
		for n := 0.0; !fits && n <= job.slots && d.evict(job); n++ {
			fits = d.admit(job)
		}
		if !fits {
			d.end(job, causeNoTokens)
			continue
		}
		job.admitted = true
		tenant.reservedSlots += job.slots
		d.wait(job)
		d.probeFor(job)
	}
	d.arrived = d.arrived[:0]
}

func (d *Dispatcher) admit(job *job) bool {
	stats := &d.classes[job.class]
	tokens := d.capacity * (1 + min(waitMost, d.s.Classes[job.class].Aim/stats.work))
	if job.value < d.value {
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
	return borrowed+job.slots <= tokens-reserved*tokens || len(d.waiting) == 0 && d.starved()
}

// estimate counts capacity: slots of our running jobs and free slots, by report or by what was served.
func (d *Dispatcher) estimate() {
	if d.now < d.estimateAt {
		return // sends move slots from free ones to our own: the sum stays
	}
	if n := float64(len(d.workers)); n > lookAll {
		d.estimateAt = d.now + d.tickSpan()*n/lookAll
	}
	known := len(d.workers) <= lookAll || d.peersKnown() // what others hold
	own, free, hoped, queued, total, assumed, most := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for _, executor := range d.workers {
		own += executor.ownSlots
		if executor.condition != Ready {
			continue
		}
		n := max(executor.slots, d.kinds[executor.kind].slots)
		total += n
		assumed += max(n, d.widest, softStart)
		most = max(most, n)
		if known || executor.reportedAt > 0 && d.now-executor.reportedAt <= min(d.freshFor(), d.run) {
			free += max(0, d.room(executor))
		} else {
			hoped += max(0, d.room(executor))
		}
		if !known && d.s.TellsStart && d.now-executor.oldestUnstarted > d.startLag() {
			queued += executor.unstartedSlots
		}
	}
	d.fair = pushShare * d.ourPart() * total
	if d.capacity = own + free; !known {
		d.capacity = d.unseenCapacity(own-queued, queued, free, hoped, assumed)
		d.fair = d.capacity
	}
	if d.telling == gossipAggregator && d.peersKnown() && d.capacity < scarce*total {
		most = min(most, max(d.widest, d.ourPart()*total)) // all see the same few slots
		own := d.ownOut()
		d.capacity = own + (d.capacity-own)*d.capacity/(scarce*total)
	}
	d.capacity = max(d.capacity, most) // else a node that sees no room and has nothing out never begins
}

// unseenCapacity is the capacity of a node that is not told what others hold: its part of all slots, as list
// and quotas show them; or what runs of its jobs, room it knows of, and while nothing queues as much again.
func (d *Dispatcher) unseenCapacity(running, queued, reported, hoped, assumed float64) float64 {
	part := d.ourPart() * max(assumed, d.quota*d.held/1000)
	return max(softStart, part, running+reported+max(0, min(hoped, running-queued)))
}

// starved says that such a node has sent nothing for long, for its jobs hang or run long. It may send one
// more, else it would refuse all that comes for as long as their clients wait.
func (d *Dispatcher) starved() bool {
	return len(d.workers) > lookAll && !d.peersKnown() && d.now-d.sentAt > starvedRuns*d.held
}

// meter tells whether a request is beyond its tenant's share, by a bucket that fills at the part of the quota
// that usually comes this way: nodes see only their own traffic, and it is uneven.
func (d *Dispatcher) meter(job *job, repeat bool) bool {
	tenant := &d.tenants[job.tenant]
	if tenant.quota <= 0 {
		return false
	}
	rate := min(tenant.quota, max(shareSlack*tenant.usualRate, tenant.quota/(2*float64(d.s.Balancers))))
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
func (d *Dispatcher) hopeless(job *job) bool {
	return d.now+0.2*job.work/d.meanSpeed() > job.deadline-d.margin()
}

// evict refuses a waiting job, of the same tenant or a borrower, that is past its aim or worth less.
func (d *Dispatcher) evict(job *job) bool {
	speed := d.meanSpeed()
	if d.now+job.work/speed > job.objectiveAt {
		return false
	}
	for _, k := range slices.Backward(d.waiting) {
		if k.done || k.inFlight > 0 || k.mayHaveRun || !(k.borrowed || k.tenant == job.tenant) {
			continue
		}
		if k.value < evictGain*job.value || d.now+k.work/speed > k.objectiveAt {
			d.end(k, causePreempted)
			return true
		}
	}
	return false
}

// ---- placement

func (d *Dispatcher) wait(job *job) {
	if !job.queued {
		job.queued = true
		d.waiting = append(d.waiting, job)
	}
	d.dirty = true
}

// place sends waiting jobs to workers with room: those within a reservation, then those that borrow, then
// those too late for their aim; among equals, the one that must start soonest.
func (d *Dispatcher) place() {
	d.dirty = false
	keep := d.waiting[:0]
	speed := d.meanSpeed()
	for _, job := range d.waiting {
		if len(job.attempts) > 0 {
			d.settle(job)
		}
		if job.done || !job.queued {
			job.queued = false
			d.release(job)
			continue
		}
		start := job.objectiveAt - job.work/speed
		job.rank = start
		if d.now < job.holdUntil && d.probesOut > 0 {
			job.rank = math.Inf(1)
		}
		if start < d.now {
			job.rank += 2e9
		} else if job.borrowed || job.overQuota || job.inFlight > 0 {
			job.rank += 1e9
		}
		keep = append(keep, job)
	}
	d.waiting = keep
	if len(keep) == 0 {
		return
	}
	slices.SortStableFunc(keep, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	d.open, d.seen, d.lookedAll, d.looks = d.open[:0], d.seen[:0], false, d.looks+1
	left := keep[:0]
	for _, job := range keep {
		if math.IsInf(job.rank, 1) { // until its probes are back
			left = append(left, job)
			continue
		}
		executor := d.choose(job)
		if executor == nil {
			executor = d.push(job)
		}
		if executor != nil {
			d.send(job, executor)
			executor.available = d.room(executor)
			job.queued = false
			continue
		}
		left = append(left, job)
	}
	d.waiting = left
}

// look gathers the workers with room that waiting jobs choose among: all of a small fleet; of a large one
// those heard of last and some drawn: to look at all takes CPU, and all would storm the same roomiest one.
func (d *Dispatcher) look() {
	if d.lookedAll {
		return
	}
	d.lookedAll = true
	if len(d.workers) <= lookAll {
		for _, executor := range d.workers {
			d.lookAt(executor)
		}
		return
	}
	for i := range d.heardLast {
		d.lookAt(d.heardLast[i])
		d.lookAt(d.usedLast[i])
	}
	for _, executor := range d.workers {
		if d.coldShare(executor) < 1 {
			d.lookAt(executor) // for it is seldom our turn there, and then all the more wanted
		}
	}
	for n := 0; n < lookSome; n++ {
		d.lookAt(d.workers[int(d.random()*float64(len(d.workers)))])
	}
}

// lookAt adds a worker to those that waiting jobs choose among, once, if it may be sent to and has room.
func (d *Dispatcher) lookAt(executor *executor) {
	if executor == nil || executor.inspectedIn == d.looks || !d.usable(executor) {
		return
	}
	executor.inspectedIn = d.looks
	d.seen = append(d.seen, executor)
	if executor.available = d.room(executor); executor.available >= 1 && d.coldOpen(executor, 0) {
		d.open = append(d.open, executor)
	}
}

// choose picks the worker with room where the least is lost: little room to spare, a long run, prices.
func (d *Dispatcher) choose(job *job) *executor {
	var best *executor
	least, bestMiss := math.Inf(1), 0.0
	d.findHomes(job)
	for _, executor := range job.candidates {
		d.lookAt(executor)
	}
	mean := d.meanSpeed()
	// Waiting a little for a worker that holds the key is better than a fetch: when the store behind the
	// keys is short of capacity, fetches hold slots for long, and every job sent astray makes more of them.
	forHome := job.key != 0 && (d.now < job.arrivedAt+homeWait*(job.objectiveAt-job.work/mean-job.arrivedAt) || d.fetchesFull(job))
	var from []*executor
	if forHome && len(d.workers) > lookAll {
		from = job.candidates // of many workers the rest is not even looked at
	} else {
		d.look()
		from = d.open
	}
	class, slack := &d.s.Classes[job.class], max(job.objectiveAt-d.now, 1)
	for _, executor := range from {
		spare := executor.available - job.slots
		if spare < -1e-6 {
			continue
		}
		if class.Kind >= 0 && executor.kind != class.Kind || !d.usable(executor) || !d.maySend(job, executor) || d.fails(job, executor) {
			continue
		}
		odds := d.lostFor(job, executor)
		if odds > errorEject || (executor.unresponsive || d.now < executor.ackOverdueUntil && !d.panicking) && class.Effect == Unsafe {
			continue // it may well be lost there
		}
		if executor.reportsMemory && job.memory > executor.freeMemory+1e-6 && executor.ownSlots > 0 {
			continue // with nothing of ours out, a report that stays low must not shut a worker out for good
		}
		run := job.work / d.speed(executor)
		loss := crowdLoss/(1+spare) + slowLoss*min(max(0, run/slack-0.5), 1) + holdLoss*run*mean/job.work
		loss += executor.errorAverage + odds + tieLoss*d.random()
		loss += d.zonePrice(job, executor.zone)
		if d.s.Fees.Handshake > 0 && !d.warm(executor) {
			loss += d.s.Fees.Handshake
		}
		miss := 0.0
		if job.key != 0 {
			miss = cacheMissProbability(job, executor, d.s.Balancers)
			loss += miss * (d.s.Fees.Origin + setupLoss)
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
func (d *Dispatcher) fetchesFull(job *job) bool {
	if d.fetching == 0 || d.fetching+job.slots <= fetchPool*d.capacity {
		return false
	}
	return slices.ContainsFunc(job.candidates, d.usable)
}

// push finds a worker for a job of a starved node: one that has less than its part of all slots out, sees no
// room, and held the job for a good part of its slack. Busy nodes refill a slot as their own job ends: no
// report shows it. It takes the worker with fewest of our slots, and queues no more than one job there.
func (d *Dispatcher) push(job *job) *executor {
	held := pushAfter * (job.objectiveAt - job.work/d.meanSpeed() - job.arrivedAt)
	full := d.ownOut()+job.slots > d.fair && !d.starved()
	if full || job.inFlight > 0 || job.key != 0 || d.peersKnown() || d.now < job.arrivedAt+held {
		return nil
	}
	var best *executor
	for _, executor := range d.seen {
		n := max(executor.slots, d.kinds[executor.kind].slots)
		if !d.usable(executor) || executor.unresponsive || executor.unstarted > 0 && d.s.TellsStart || d.now < executor.rejectedUntil || d.fails(job, executor) {
			continue
		}
		class, part := &d.s.Classes[job.class], d.ourPart()*n+0.5
		if class.Kind >= 0 && executor.kind != class.Kind || d.lostFor(job, executor) > errorEject || !d.maySend(job, executor) ||
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
func (d *Dispatcher) findHomes(job *job) {
	if job.key == 0 || job.candidatesRevision == d.listSerial {
		return
	}
	job.candidatesRevision, job.candidates = d.listSerial, job.candidates[:0]
	share := d.keyCount[job.key] / max(d.keySum, keyMemory/10)
	want := 2 + int(homeSpread*share*float64(len(d.workers)))
	best := d.best[:0] // the greatest, in order
	for i, x := range d.hashes {
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
		job.candidates = append(job.candidates, d.workers[p.position])
	}
	d.best = best
}

// room is how many more slots of ours a worker takes: by its report, else by what it took before.
func (d *Dispatcher) room(executor *executor) float64 {
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
	if d.s.TellsStart && executor.unstarted > 0 && d.now-executor.oldestUnstarted > d.startLag() {
		return 0
	}
	n := math.Round(d.slotsOf(executor))
	if n > 0 && d.peersKnown() {
		// This is newer than any report.
		return math.Round(max(1, n*d.coldShare(executor)) - executor.ownSlots - d.foreign(executor) - d.hidden(executor))
	}
	// A weight in the list is the same for all nodes and late: it is no reason to go to a worker, since all
	// would, but one that tells of more requests than cores is a reason to stay away.
	if executor.position < len(d.rows) && d.rows[executor.position].liveLoad >= max(loadMost, loadOver*d.load) {
		return 0
	}
	if executor.reportedAt > 0 && d.now-executor.reportedAt <= d.freshFor() {
		return math.Round(d.relaxed(executor)) // to the nearest: reports are a little noisy
	}
	most := math.Floor(executor.softLimit)
	if n > 0 {
		// Every node guesses at once when reports fail: none takes more than twice its even part.
		most = min(most, max(1, math.Round(blindShare*n/float64(d.s.Balancers))))
	}
	if executor.ownSlots == 0 {
		most = max(most, d.widest) // else a job wider than what was tried so far would never be sent
	}
	most -= executor.ownSlots
	if n > 0 && d.heardAt > 0 && d.now-d.heardAt <= staleFor*d.freshFor() && d.coldShare(executor) == 1 {
		// Others tell what is usual: where the fleet is full, so is likely one not heard of, unless new.
		most = min(most, math.Round(n*(1-d.usual(executor))-executor.ownSlots))
	}
	return most
}

// freshFor is how long a report holds: some periods, and at least a run where only answers bring reports.
func (d *Dispatcher) freshFor() float64 {
	fresh := freshPeriods * d.period
	if d.s.Telemetry == ReportAnswers {
		fresh = max(fresh, d.classes[0].work/d.meanSpeed())
	}
	return fresh
}

// usable says whether new work may go to a worker at all.
func (d *Dispatcher) usable(executor *executor) bool {
	if (executor.dialFailures > 0 && (d.now < executor.dialBackoffUntil || executor.opening > 0) || d.marked(executor, noConns)) && !d.warm(executor) {
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
func (d *Dispatcher) maySend(job *job, executor *executor) bool {
	over := job.done || len(job.attempts) >= job.maxAttempts || d.now >= job.deadline
	if over || executor.condition != Ready || job.inFlight > 0 && !d.s.MayDuplicate {
		return false
	}
	for i := range job.attempts {
		if attempt := &job.attempts[i]; attempt.executor == executor && (!attempt.resolved || job.mayHaveRun) {
			return false
		}
	}
	if (job.inFlight > 0 || job.mayHaveRun) && !d.repeatable(job, executor) {
		return false
	}
	// Credit may be overdrawn by one slot's work, for all jobs cost some, not by a wide job's further slots.
	return d.coldOpen(executor, (job.slots-1)*job.work/d.kindSpeed(executor.kind))
}

// repeatable says whether a job that is out, or may have run, may go to w as well.
func (d *Dispatcher) repeatable(job *job, executor *executor) bool {
	class := &d.s.Classes[job.class]
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
		if d.now-since >= class.Window-d.margin() {
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
func (d *Dispatcher) mayRefuse(job *job) bool {
	class := &d.s.Classes[job.class]
	return class.Effect == Safe || job.inFlight == 0 && !job.mayHaveRun || class.Effect == Keyed && class.Scope == ScopeAll
}

// comeBack is how long a refused client should stay away: until a token of ours is back, at the pace of runs.
func (d *Dispatcher) comeBack(job *job) float64 {
	held := max(job.slots, d.inflight())
	return min(d.s.MaxRetryAfter, comeBackRuns*d.run*job.slots/held)
}

// ourPart is our part of what all nodes may do together: half of it even, half by our part of the traffic
// that the quotas stand for. The parts of all nodes sum to 1 while traffic is at quota.
func (d *Dispatcher) ourPart() float64 {
	even := 1 / float64(d.s.Balancers)
	if d.quota <= 0 {
		return even
	}
	return (even + min(1, d.quotaRate()/d.quota)) / 2
}

func (d *Dispatcher) send(job *job, executor *executor) {
	executor.slowStartCredit -= job.slots * job.work / d.kindSpeed(executor.kind)
	shared := d.shares(executor)
	if executor.unresponsive {
		executor.retryAt = d.now + d.silence()/2*float64(int(1)<<min(executor.retries, 3))*(0.75+0.5*d.random())
		executor.retries++
	}
	d.sentAt = d.now
	d.out = append(d.out, Action{Kind: ActSend, Job: job.id, Worker: executor.id})
	job.attempts = append(job.attempts, attempt{executor: executor, sentAt: d.now, heardAt: d.now, hadFreeSlots: executor.freeSlots >= job.slots})
	if job.key != 0 && cacheMissProbability(job, executor, d.s.Balancers) >= homeMiss {
		job.attempts[len(job.attempts)-1].fetchesKey = true
		d.fetching += job.slots
	}
	job.inFlight++
	if len(executor.inFlight) == 0 {
		d.busy = append(d.busy, executor)
	}
	executor.inFlight = append(executor.inFlight, job)
	executor.ownSlots += job.slots
	executor.freeSlots -= job.slots
	executor.freeMemory -= job.memory
	d.countWaits(executor)
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

func (d *Dispatcher) outcome(event *Event) {
	executor := d.byID[event.Worker]
	job := d.jobs[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		if executor != nil {
			d.report(executor, event.Report)
		}
		return
	}
	attempt := &job.attempts[event.Attempt]
	executor = attempt.executor
	attempt.resolved = true
	job.inFlight--
	d.dirty = true
	if i := slices.Index(executor.inFlight, job); i >= 0 {
		executor.inFlight = slices.Delete(executor.inFlight, i, i+1)
		if len(executor.inFlight) == 0 {
			executor.unresponsive = false
			i := slices.Index(d.busy, executor)
			d.busy = slices.Delete(d.busy, i, i+1)
		}
	}
	if !attempt.writtenOff {
		executor.ownSlots -= job.slots
	}
	executor.freeMemory += job.memory
	d.countWaits(executor)
	d.mark(job, attempt, event.Outcome)
	if attempt.openedConnection {
		executor.opening--
	}
	if attempt.fetchesKey {
		d.fetching -= job.slots
	}
	d.judge(job, attempt, event.Outcome)
	d.fared(job, executor, event)
	d.report(executor, event.Report)
	if event.Final {
		d.finish(job)
	}
	if job.done {
		d.release(job)
		return
	}
	if job.inFlight == 0 {
		d.wait(job) // and settled once the batch is taken in: a later event of it may end the job
	}
}

// mark keeps, in one place, what of a request may have run.
func (d *Dispatcher) mark(job *job, attempt *attempt, o Outcome) {
	if o.NeverRan() {
		return
	}
	if !job.mayHaveRun || attempt.sentAt < job.ranSince {
		job.mayHaveRun, job.ranOn, job.ranSince = true, attempt.executor, attempt.sentAt
	}
}

// settle ends a job with nothing out for which nothing more can be done.
func (d *Dispatcher) settle(job *job) {
	if job.done || job.inFlight > 0 {
		return
	}
	class := &d.s.Classes[job.class]
	spent := len(job.attempts) >= job.maxAttempts || d.now >= job.deadline-d.margin()
	if job.mayHaveRun {
		spent = spent || class.Effect == Unsafe || class.Effect == Keyed && d.now-job.ranSince >= class.Window-d.margin()
	}
	if spent || d.hopeless(job) {
		d.end(job, causeTooLate)
	}
}

// end gives the final answer that the gate allows: a refusal where a repeat is harmless, else a failure.
func (d *Dispatcher) end(job *job, why rejectCause) {
	if job.done {
		return
	}
	d.ended[why]++
	d.endedAt = d.now
	a := Action{Kind: ActFail, Job: job.id}
	if d.mayRefuse(job) {
		a.Kind, a.For = ActRefuse, d.comeBack(job)
	}
	d.out = append(d.out, a)
	d.finish(job)
}

// finish returns a job's tokens, once, and calls off what is still out.
func (d *Dispatcher) finish(job *job) {
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
		if !job.attempts[i].resolved && d.s.MayCancel {
			d.out = append(d.out, Action{Kind: ActCancel, Job: job.id, Attempt: uint16(i)})
		}
	}
	d.dirty = true
	d.release(job)
}

// release forgets a job that is done once nothing of it is out.
func (d *Dispatcher) release(job *job) {
	if job.done && job.inFlight == 0 && !job.queued && d.jobs[job.id] == job {
		delete(d.jobs, job.id)
		if !slices.Contains(d.arrived, job) {
			d.pool = append(d.pool, job)
		}
	}
}

func (d *Dispatcher) note(event *Event) {
	job := d.jobs[event.Job]
	if job == nil || int(event.Attempt) >= len(job.attempts) || job.attempts[event.Attempt].resolved {
		return
	}
	attempt := &job.attempts[event.Attempt]
	if event.Topic == NoteLate {
		d.late(job, attempt)
		return
	}
	d.alive(attempt.executor)
	attempt.heardAt, attempt.ackOverdue = d.now, false
	if attempt.writtenOff {
		attempt.writtenOff = false
		attempt.executor.ownSlots += job.slots
	}
	if attempt.startedAt == 0 {
		attempt.startedAt = d.now
		lag := d.now - attempt.sentAt
		d.queued += (lag - d.queued) * 0.02
		if lag < d.lag {
			d.lag = lag
		} else {
			d.lag += (min(lag, 4*d.lag) - d.lag) * 0.01
		}
		d.countWaits(attempt.executor)
		d.dirty = true
		job.queued = false // no second copy of what has begun
	}
}

// late takes in that a worker owes a sign that it took a job for longer than it and its peers usually do.
// Beside others that are heard of, one such attempt is its connection's fault: the worker is kept. It holds
// no slots in our books, and its job may be tried elsewhere too, where that is allowed.
func (d *Dispatcher) late(job *job, attempt *attempt) {
	executor, owed := attempt.executor, 0
	if attempt.startedAt > 0 || attempt.ackOverdue || attempt.writtenOff {
		return
	}
	attempt.ackOverdue, attempt.writtenOff, d.dirty = true, true, true
	executor.ownSlots -= job.slots
	d.countWaits(executor)
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
func (d *Dispatcher) judge(job *job, attempt *attempt, o Outcome) {
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
		executor.rejectedUntil = d.now + d.period*0.25*float64(int(1)<<(executor.rejections-1))*(0.5+d.random())
	case ConnectFailed, Moot:
		executor.freeSlots += job.slots
	}
	switch o {
	case Served:
		d.alive(executor)
		executor.errorAverage *= errorKeep
		if executor.rejections = 0; attempt.sentAt >= executor.ackOverdueAt { // else it shows nothing of what came since
			executor.ejections, executor.onProbation, executor.ackOverdueUntil = 0, false, 0
		}
		late := d.now > job.objectiveAt && attempt.sentAt+job.work/d.meanSpeed() <= job.objectiveAt
		blind := executor.reportedAt == 0 || d.now-executor.reportedAt > staleFor*d.freshFor() // a pause is not the end
		if late && blind && attempt.sentAt > executor.softLimitCutAt {
			// With no reports and no 'full' only lateness shows a queue: one cut for all sent before it.
			executor.softLimit, executor.softLimitCutAt = max(1, softCut*executor.softLimit), d.now
		} else if !late && executor.ownSlots+job.slots >= math.Floor(executor.softLimit) {
			executor.softLimit += job.slots / executor.softLimit
		}
		if attempt.openedConnection {
			executor.dialFailures = 0
		}
		d.clock(job, attempt)
		if len(executor.idleSince) > len(executor.inFlight) && d.s.Multiplex > 1 {
			executor.idleSince = executor.idleSince[:0] // jobs share connections: one idle entry stands for all
		}
		executor.idleSince = append(executor.idleSince, d.now)
		d.usedLast.add(executor)
	case Errored:
		d.alive(executor) // and else a matter of the job's class, see fared
	case Reset:
		d.alive(executor)
		executor.errorAverage = executor.errorAverage*errorKeep + 1 - errorKeep
		if executor.errorAverage > errorEject || executor.onProbation {
			d.eject(executor, "errors")
		}
	case ConnectFailed:
		d.linkFailed(executor)
	}
}

// linkFailed backs off from new connections to a worker; those that are open go on being used.
func (d *Dispatcher) linkFailed(executor *executor) {
	if d.find(executor, noConns); d.now >= executor.dialBackoffUntil {
		back := max(d.s.ConnectTimeout, d.s.Step) * float64(int(1)<<min(executor.dialFailures, ejectMost))
		executor.dialBackoffUntil = d.now + back*(0.75+0.5*d.random())
		if executor.dialFailures++; executor.dialFailures == 1 {
			d.log("worker %d takes no new connections", executor.id)
		}
	}
	executor.idleSince = executor.idleSince[:0] // it was to use an idle one if there was one
}

// eject keeps new work off a worker for a while, doubling, then lets it in one job at a time.
func (d *Dispatcher) eject(executor *executor, why string) {
	if d.now < executor.ejectedUntil {
		return
	}
	base := ejectFirst * max(d.s.ConnectTimeout, d.s.Step)
	executor.ejectedUntil = d.now + base*float64(int(1)<<min(executor.ejections, ejectMost))*(0.75+0.5*d.random())
	executor.ejections++
	executor.onProbation = true
	d.ejected = append(d.ejected, executor)
	executor.errorAverage = min(executor.errorAverage, errorEject)
	d.log("eject worker %d for %s until %.0f, strike %d", executor.id, why, executor.ejectedUntil, executor.ejections)
}

func (d *Dispatcher) probed(event *Event) {
	executor := d.byID[event.Worker]
	if executor == nil {
		return
	}
	if executor.checkPending {
		executor.checkPending = false
		d.probesOut--
		d.dirty = true
	}
	switch event.Outcome {
	case Served:
		d.alive(executor)
		d.report(executor, event.Report)
	case ConnectFailed:
		d.linkFailed(executor)
	}
}

// watchHealth finds workers that stand still and jobs to be tried elsewhere meanwhile.
func (d *Dispatcher) watchHealth() {
	limit := d.silence()
	d.sumFails()
	d.ejected = slices.DeleteFunc(d.ejected, func(executor *executor) bool {
		return d.now >= executor.ejectedUntil || executor.condition != Ready
	})
	bad := len(d.ejected)
	for _, executor := range d.busy {
		if executor.condition != Ready {
			continue
		}
		silent := false
		for _, job := range executor.inFlight {
			for i := range job.attempts {
				if attempt := &job.attempts[i]; attempt.executor == executor && !attempt.resolved && !attempt.writtenOff {
					since := max(attempt.sentAt, executor.lastHeard)
					if attempt.startedAt == 0 && d.s.TellsStart {
						since += queueWaits * d.queued // a queued job tells nothing
					}
					silent = silent || d.now-since > limit
				}
			}
		}
		if silent && !executor.unresponsive {
			d.log("worker %d silent", executor.id)
			executor.retryAt = d.now + limit*(0.25+0.5*d.random())
		}
		executor.unresponsive = silent
		// All slow together still tell their progress: where it is told, silence is no sign of slowness.
		if silent && d.s.Progress <= 0 && d.now >= executor.ejectedUntil {
			bad++
		}
	}
	panicking := float64(bad) > panicShare*float64(len(d.workers))
	if panicking != d.panicking {
		d.panicking = panicking
		d.dirty = true
		d.log("%d of %d workers ejected, ignored %v", bad, len(d.workers), panicking)
	}
}

// hedge sends the jobs of a silent worker elsewhere too, where that is allowed.
func (d *Dispatcher) hedge() {
	for _, executor := range d.busy {
		for _, job := range executor.inFlight {
			// One that was sent to see whether the worker lives gets its time for that, and one that queues
			// would only queue elsewhere too.
			class, last := &d.s.Classes[job.class], &job.attempts[len(job.attempts)-1]
			still := executor.unresponsive && d.now-last.sentAt > d.silence()/2 && (last.startedAt > 0 || !d.s.TellsStart)
			if (still || last.ackOverdue) && !job.done && !job.queued && job.inFlight == 1 && class.Effect != Unsafe {
				d.wait(job)
			}
		}
	}
}

// ---- list

func (d *Dispatcher) list(event *Event) {
	d.dirty = true
	if event.Form == ListFailed {
		if d.askFails == 0 {
			d.log("list out of reach, last heard %.0f ms ago", d.now-d.listAt)
		}
		d.asked, d.watching = 0, false
		d.askFails = min(d.askFails+1, 8)
		d.nextAsk = d.now + d.askBackoff()
		return
	}
	if event.Form != ListCached {
		if d.askFails > 0 {
			d.log("list within reach again after %d failed calls", d.askFails)
		}
		d.asked, d.watching, d.askFails = 0, true, 0
	}
	if d.listAt == 0 {
		d.hub.since = d.now
	}
	if d.listAt = d.now; event.Form == ListCached && float64(d.s.Balancers)*askSpread > askLeast {
		d.nextAsk = d.now + d.askBackoff() // many nodes that were killed together start together
	}
	d.applyRows(event)
	if event.Form != ListCached && len(d.workers) > 0 {
		d.confirmedAt = d.now
	}
}

// askBackoff is until this node's turn in a round that all nodes have: calls that come together wait in vain.
func (d *Dispatcher) askBackoff() float64 {
	span := max(askLeast, askSpread*float64(d.s.Balancers)) * float64(int(1)<<min(d.askFails, 3))
	return recovery.TimeSlots{Me: d.s.Me, Nodes: d.s.Balancers}.After(d.now, d.s.AskWithin*min(1, span))
}

// ask keeps a subscription to the list.
func (d *Dispatcher) ask() {
	if !d.s.Ask || d.watching || d.now < d.nextAsk || d.asked > 0 && d.now-d.asked < d.s.AskWithin/2 {
		return
	}
	d.asked = max(d.now, 1e-9)
	d.nextAsk = d.now + d.askBackoff()
	d.out = append(d.out, Action{Kind: ActWatch, On: true})
}

// ---- timers

// tickSpan is the time between ticks: longer in a large fleet, where a tick has more to look at.
func (d *Dispatcher) tickSpan() float64 {
	if len(d.workers) > lookAll {
		return max(10*d.s.Step, 40)
	}
	return max(5*d.s.Step, 10)
}

// margin is how long before a client leaves its answer is given: two ticks and a batch.
func (d *Dispatcher) margin() float64 {
	return d.tickSpan() + max(d.tickSpan(), d.tickAt-d.now) + d.s.Step
}

// tick does all that goes by time.
func (d *Dispatcher) tick() {
	d.tickAt = d.now + d.tickSpan()
	d.lastTag++
	d.out = append(d.out, Action{Kind: ActTimer, For: d.tickSpan(), Token: d.lastTag})
	d.ask()
	if len(d.workers) <= lookAll || d.now >= d.healthAt {
		d.healthAt = d.now + d.silence()/16
		d.watchHealth()
		if d.s.MayDuplicate && !d.panicking {
			d.hedge()
		}
	}
	for _, job := range d.waiting {
		d.settle(job)
	}
	if len(d.waiting) > 0 {
		d.dirty = true
		d.hub.wanted = d.hub.wanted || d.now-d.hub.answered > hubAgain*d.hubWait()
	}
	d.probe()
	d.tell()
	if (d.peersFresh > 0 || d.telling == gossipAggregator) && d.now >= d.peersAt {
		d.sumPeers()
	}
	d.logState()
}

// awaitHub says whether jobs wait for what the hub tells: free slots known here are old, and others use them.
func (d *Dispatcher) awaitHub() bool {
	aggregator, wait := &d.hub, d.hubWait()
	if d.telling != gossipAggregator || aggregator.now == d.s.Me || d.now < max(aggregator.deaf, aggregator.answered+hubFresh*wait) {
		return false
	}
	aggregator.wanted = true
	return d.now-d.arrived[0].arrivedAt < wait
}

// probe asks workers for their load, about once a report period, within a number for each request.
func (d *Dispatcher) probe() {
	if n := len(d.workers); !d.s.MayProbe || d.s.Telemetry != ReportProbes || n == 0 || n > lookAll {
		return // of a large fleet probeFor asks for each job
	}
	rate := d.tries.perSecond
	if quiet := d.now - d.tries.last; d.tries.last > 0 && quiet > 1000 {
		rate = min(rate, 1000/quiet)
	}
	span := max(d.period*0.8, 1000*float64(len(d.workers))/(probesPerJob*max(rate, 0.5)))
	for _, executor := range d.workers {
		if executor.condition != Ready || executor.checkPending || d.now-executor.checkedAt < span*executor.checkIntervalFactor {
			continue
		}
		d.probeOne(executor)
	}
}

func (d *Dispatcher) probeOne(executor *executor) {
	executor.checkPending, executor.checkedAt, executor.checkIntervalFactor = true, d.now, 0.8+0.4*d.random()
	d.probesOut++
	d.out = append(d.out, Action{Kind: ActProbe, Worker: executor.id})
}

// probeFor asks, in a large fleet, some workers for each job that comes, which waits for their answers: by
// turns each would be old when a job comes. Half are those used last, half are drawn.
func (d *Dispatcher) probeFor(job *job) {
	if !d.s.MayProbe || d.s.Telemetry != ReportProbes || len(d.workers) <= lookAll {
		return
	}
	n := 0
	try := func(executor *executor) {
		if executor != nil && executor.condition == Ready && !executor.checkPending && d.now-executor.reportedAt > d.period/2 && d.usable(executor) {
			d.probeOne(executor)
			n++
		}
	}
	for i := 0; i < len(d.usedLast) && n < probesPerJob/2; i++ {
		if executor := d.usedLast[i]; executor != nil && d.warm(executor) {
			try(executor)
		}
	}
	for i := 0; i < 2*probesPerJob && n < probesPerJob; i++ {
		try(d.workers[int(d.random()*float64(len(d.workers)))])
	}
	job.holdUntil = d.now + d.tickSpan()
}
