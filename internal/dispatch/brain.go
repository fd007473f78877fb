package dispatch

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
	if d.telling == tellHub {
		d.tellHub()
	}
	out, d.out = d.out, nil
	return out
}

// ---- intake

func (d *Dispatcher) intake(e *Event) {
	switch e.Kind {
	case EvRequest:
		d.request(e)
	case EvOutcome:
		d.outcome(e)
	case EvNote:
		d.note(e)
	case EvProbed:
		d.probed(e)
	case EvList:
		d.list(e)
	case EvGone:
		if j := d.jobs[e.Job]; j != nil && !j.done {
			d.finish(j)
		}
	case EvFirst:
		if j := d.jobs[e.Job]; j != nil && int(e.Attempt) < len(j.attempts) {
			j.attempts[e.Attempt].w.heard = d.now
			j.deadline = math.Inf(1)
		}
	case EvPeer:
		d.heardPeer(e)
	}
}

func (d *Dispatcher) request(e *Event) {
	if d.jobs[e.Job] != nil {
		return
	}
	var j *job
	if n := len(d.pool); n > 0 {
		j, d.pool = d.pool[n-1], d.pool[:n-1]
		*j = job{attempts: j.attempts[:0], homes: j.homes[:0]}
	} else {
		j = &job{}
	}
	j.id, j.key, j.arrived, j.most = e.Job, e.Key, d.now, d.s.MaxAttempts
	j.class = min(int(e.Class), len(d.s.Classes)-1)
	j.tenant = min(int(e.Tenant), len(d.tenants)-1)
	c, st := &d.s.Classes[j.class], &d.classes[j.class]
	slots, memory, left := e.sane()
	j.slots, j.memory = slots, memory
	likely := e.Work
	if e.Flags&FlagWork != 0 && e.Work > 0 && !math.IsInf(e.Work, 0) {
		j.work = e.Work
		st.work += (j.work - st.work) * 0.02
	} else {
		// Most jobs are shorter than a heavy-tailed mean, and a short one's aim comes soon. Where worth goes
		// by work, most of it lies in jobs as much longer than the mean, and their aim comes as much later.
		if j.work, likely = st.work, unhintedWork*st.work; d.s.WorthByWork {
			likely = st.work / unhintedWork
		}
	}
	d.widest = max(d.widest, j.slots)
	st.slots += (j.slots - st.slots) * 0.02
	j.deadline = d.now + left
	age := 0.0
	if e.Flags&FlagRepeat != 0 { // its aim runs from the client's first try
		age = max(0, c.Deadline-left)
	}
	j.aimAt = min(d.now-age+c.Aim+c.Stretch*likely+(j.work-likely)/d.meanSpeed(), j.deadline)
	d.jobs[j.id] = j
	j.over = d.meter(j, e.Flags&FlagRepeat != 0)
	j.prices, j.value = e.Prices, c.Worth // the worth for each ms
	if !d.s.WorthByWork {
		j.value /= j.work
	}
	if j.over {
		// A node tells only roughly what is beyond a share, so it is taken to be right half of the time.
		j.value *= (1 + d.s.OverShareWorth) / 2
	}
	d.value += (j.value - d.value) * 0.02
	d.arrived = append(d.arrived, j)
	d.countKey(j.key)
	d.countArrival(e.Flags&FlagRepeat != 0)
}

// ---- admission

// admitArrived runs the design's steps for each arrival: limit, reservation, remainder, else refuse.
func (d *Dispatcher) admitArrived() {
	if len(d.arrived) == 0 || d.awaitHub() {
		return
	}
	d.estimate()
	for _, j := range d.arrived {
		if j.done {
			continue
		}
		t := &d.tenants[j.tenant]
		t.lastSeen = d.now
		if d.hopeless(j) {
			d.end(j, tooLate)
			continue
		}
		fits := d.admit(j)
		for n := 0.0; !fits && n <= j.slots && d.evict(j); n++ {
			fits = d.admit(j)
		}
		if !fits {
			d.end(j, noTokens)
			continue
		}
		j.admitted = true
		t.inflight += j.slots
		d.wait(j)
		d.probeFor(j)
	}
	d.arrived = d.arrived[:0]
}

func (d *Dispatcher) admit(j *job) bool {
	st := &d.classes[j.class]
	tokens := d.capacity * (1 + min(waitMost, d.s.Classes[j.class].Aim/st.work))
	if j.value < d.value {
		tokens *= 1 - trunk // the last tokens are for work worth more than the mean
	}
	active := 0.0
	for i := range d.tenants {
		if t := &d.tenants[i]; d.now-t.lastSeen <= activeFor || t.inflight > 0 {
			active += t.portion
		}
	}
	active = max(active, 1e-9)
	unit := reserved * tokens / active
	t := &d.tenants[j.tenant]
	limit := tokens * (t.portion/active + limitBase*(1-t.portion/active))
	if t.inflight+j.slots > limit {
		return false
	}
	// A small tenant's reservation can be less than one wide job: its first job is within it all the same.
	if t.inflight+j.slots <= unit*t.portion || t.inflight == 0 && !j.over {
		j.borrowed = false
		return true
	}
	borrowed := 0.0
	for i := range d.tenants {
		borrowed += max(0, d.tenants[i].inflight-unit*d.tenants[i].portion)
	}
	j.borrowed = true
	return borrowed+j.slots <= tokens-reserved*tokens || len(d.waiting) == 0 && d.starved()
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
	for _, w := range d.workers {
		own += w.own
		if w.cond != Ready {
			continue
		}
		n := max(w.slots, d.kinds[w.kind].slots)
		total += n
		assumed += max(n, d.widest, softStart)
		most = max(most, n)
		if known || w.reported > 0 && d.now-w.reported <= min(d.freshFor(), d.run) {
			free += max(0, d.room(w))
		} else {
			hoped += max(0, d.room(w))
		}
		if !known && d.s.TellsStart && d.now-w.waitsFrom > d.startLag() {
			queued += w.waiting
		}
	}
	d.fair = pushShare * d.ourPart() * total
	if d.capacity = own + free; !known {
		d.capacity = d.unseenCapacity(own-queued, queued, free, hoped, assumed)
		d.fair = d.capacity
	}
	if d.telling == tellHub && d.peersKnown() && d.capacity < scarce*total {
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
func (d *Dispatcher) meter(j *job, repeat bool) bool {
	t := &d.tenants[j.tenant]
	if t.quota <= 0 {
		return false
	}
	rate := min(t.quota, max(shareSlack*t.usual, t.quota/(2*float64(d.s.Balancers))))
	span := d.now - t.metered
	t.metered = d.now
	deep := max(rate*shareDepth/1000, 2)
	t.bucket = min(deep, t.bucket+rate*span/1000)
	t.usual *= math.Exp(-span / shareMemory)
	if !repeat {
		t.usual += 1000 / shareMemory
		if t.bucket < 1 {
			return true
		}
		t.bucket--
	}
	return t.bucket < 1
}

// hopeless says that a job cannot end before its client leaves, wherever it goes.
func (d *Dispatcher) hopeless(j *job) bool {
	return d.now+0.2*j.work/d.meanSpeed() > j.deadline-d.margin()
}

// evict refuses a waiting job, of the same tenant or a borrower, that is past its aim or worth less.
func (d *Dispatcher) evict(j *job) bool {
	speed := d.meanSpeed()
	if d.now+j.work/speed > j.aimAt {
		return false
	}
	for _, k := range slices.Backward(d.waiting) {
		if k.done || k.out > 0 || k.mayHaveRun || !(k.borrowed || k.tenant == j.tenant) {
			continue
		}
		if k.value < evictGain*j.value || d.now+k.work/speed > k.aimAt {
			d.end(k, madePlace)
			return true
		}
	}
	return false
}

// ---- placement

func (d *Dispatcher) wait(j *job) {
	if !j.waiting {
		j.waiting = true
		d.waiting = append(d.waiting, j)
	}
	d.dirty = true
}

// place sends waiting jobs to workers with room: those within a reservation, then those that borrow, then
// those too late for their aim; among equals, the one that must start soonest.
func (d *Dispatcher) place() {
	d.dirty = false
	keep := d.waiting[:0]
	speed := d.meanSpeed()
	for _, j := range d.waiting {
		if len(j.attempts) > 0 {
			d.settle(j)
		}
		if j.done || !j.waiting {
			j.waiting = false
			d.release(j)
			continue
		}
		start := j.aimAt - j.work/speed
		j.rank = start
		if d.now < j.holdUntil && d.probesOut > 0 {
			j.rank = math.Inf(1)
		}
		if start < d.now {
			j.rank += 2e9
		} else if j.borrowed || j.over || j.out > 0 {
			j.rank += 1e9
		}
		keep = append(keep, j)
	}
	d.waiting = keep
	if len(keep) == 0 {
		return
	}
	slices.SortStableFunc(keep, func(a, b *job) int { return cmp.Compare(a.rank, b.rank) })
	d.open, d.seen, d.lookedAll, d.looks = d.open[:0], d.seen[:0], false, d.looks+1
	left := keep[:0]
	for _, j := range keep {
		if math.IsInf(j.rank, 1) { // until its probes are back
			left = append(left, j)
			continue
		}
		w := d.choose(j)
		if w == nil {
			w = d.push(j)
		}
		if w != nil {
			d.send(j, w)
			w.room = d.room(w)
			j.waiting = false
			continue
		}
		left = append(left, j)
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
		for _, w := range d.workers {
			d.lookAt(w)
		}
		return
	}
	for i := range d.heardLast {
		d.lookAt(d.heardLast[i])
		d.lookAt(d.usedLast[i])
	}
	for _, w := range d.workers {
		if d.coldShare(w) < 1 {
			d.lookAt(w) // for it is seldom our turn there, and then all the more wanted
		}
	}
	for n := 0; n < lookSome; n++ {
		d.lookAt(d.workers[int(d.random()*float64(len(d.workers)))])
	}
}

// lookAt adds a worker to those that waiting jobs choose among, once, if it may be sent to and has room.
func (d *Dispatcher) lookAt(w *worker) {
	if w == nil || w.looked == d.looks || !d.usable(w) {
		return
	}
	w.looked = d.looks
	d.seen = append(d.seen, w)
	if w.room = d.room(w); w.room >= 1 && d.coldOpen(w, 0) {
		d.open = append(d.open, w)
	}
}

// choose picks the worker with room where the least is lost: little room to spare, a long run, prices.
func (d *Dispatcher) choose(j *job) *worker {
	var best *worker
	least, bestMiss := math.Inf(1), 0.0
	d.findHomes(j)
	for _, w := range j.homes {
		d.lookAt(w)
	}
	mean := d.meanSpeed()
	// Waiting a little for a worker that holds the key is better than a fetch: when the store behind the
	// keys is short of capacity, fetches hold slots for long, and every job sent astray makes more of them.
	forHome := j.key != 0 && (d.now < j.arrived+homeWait*(j.aimAt-j.work/mean-j.arrived) || d.fetchesFull(j))
	var from []*worker
	if forHome && len(d.workers) > lookAll {
		from = j.homes // of many workers the rest is not even looked at
	} else {
		d.look()
		from = d.open
	}
	c, slack := &d.s.Classes[j.class], max(j.aimAt-d.now, 1)
	for _, w := range from {
		spare := w.room - j.slots
		if spare < -1e-6 {
			continue
		}
		if c.Kind >= 0 && w.kind != c.Kind || !d.usable(w) || !d.maySend(j, w) || d.fails(j, w) {
			continue
		}
		odds := d.lostFor(j, w)
		if odds > errorEject || (w.silent || d.now < w.lateUntil && !d.panicking) && c.Effect == Unsafe {
			continue // it may well be lost there
		}
		if w.tellsMemory && j.memory > w.memory+1e-6 && w.own > 0 {
			continue // with nothing of ours out, a report that stays low must not shut a worker out for good
		}
		run := j.work / d.speed(w)
		loss := crowdLoss/(1+spare) + slowLoss*min(max(0, run/slack-0.5), 1) + holdLoss*run*mean/j.work
		loss += w.errs + odds + tieLoss*d.random()
		loss += d.zonePrice(j, w.zone)
		if d.s.Fees.Handshake > 0 && !d.warm(w) {
			loss += d.s.Fees.Handshake
		}
		miss := 0.0
		if j.key != 0 {
			miss = missing(j, w, d.s.Balancers)
			loss += miss * (d.s.Fees.Origin + setupLoss)
		}
		if loss < least {
			least, best, bestMiss = loss, w, miss
		}
	}
	if best != nil && bestMiss >= homeMiss && forHome {
		return nil
	}
	return best
}

// fetchesFull says that the pool for jobs that must fetch their key is used up while a home of it works.
// Without it a short jam lasts: jobs go wherever room shows, fetch, hold slots longer, and keep all full.
func (d *Dispatcher) fetchesFull(j *job) bool {
	if d.fetching == 0 || d.fetching+j.slots <= fetchPool*d.capacity {
		return false
	}
	return slices.ContainsFunc(j.homes, d.usable)
}

// push finds a worker for a job of a starved node: one that has less than its part of all slots out, sees no
// room, and held the job for a good part of its slack. Busy nodes refill a slot as their own job ends: no
// report shows it. It takes the worker with fewest of our slots, and queues no more than one job there.
func (d *Dispatcher) push(j *job) *worker {
	held := pushAfter * (j.aimAt - j.work/d.meanSpeed() - j.arrived)
	full := d.ownOut()+j.slots > d.fair && !d.starved()
	if full || j.out > 0 || j.key != 0 || d.peersKnown() || d.now < j.arrived+held {
		return nil
	}
	var best *worker
	for _, w := range d.seen {
		n := max(w.slots, d.kinds[w.kind].slots)
		if !d.usable(w) || w.silent || w.waits > 0 && d.s.TellsStart || d.now < w.fullUntil || d.fails(j, w) {
			continue
		}
		c, part := &d.s.Classes[j.class], d.ourPart()*n+0.5
		if c.Kind >= 0 && w.kind != c.Kind || d.lostFor(j, w) > errorEject || !d.maySend(j, w) ||
			w.own > 0 && w.own+j.slots > part {
			continue
		}
		if best == nil || w.own < best.own || w.own == best.own && w.room > best.room {
			best = w
		}
	}
	return best
}

// missing estimates the chance that a worker must fetch a key: homes of the key likely hold it, and so do
// those we sent it to lately, unless others filled them since.
func missing(j *job, w *worker, nodes int) float64 {
	miss := 1.0
	if i := slices.Index(j.homes, w); i >= 0 {
		miss = 0.1
		if i == len(j.homes)-1 {
			miss = homeMiss
		}
	}
	if i := slices.Index(w.keys[:], j.key); i >= 0 {
		miss = min(miss, float64(i*nodes)/float64(len(w.keys)))
	}
	return miss
}

// findHomes ranks workers for a job's key by rendezvous hashing weighted by size, so that all nodes agree: as
// many homes as the key's share of our requests asks for, and one more to fall back on.
func (d *Dispatcher) findHomes(j *job) {
	if j.key == 0 || j.homesOf == d.listSerial {
		return
	}
	j.homesOf, j.homes = d.listSerial, j.homes[:0]
	share := d.keyCount[j.key] / max(d.keySum, keyMemory/10)
	want := 2 + int(homeSpread*share*float64(len(d.workers)))
	best := d.best[:0] // the greatest, in order
	for i, x := range d.hashes {
		h, scale := float64(mix(j.key^x.hash)>>11+1)/(1<<53), d.kinds[x.kind].scale
		if !x.ready || len(best) == want && h-1 <= best[want-1].pull*scale {
			continue // h-1 is never less than the logarithm, which costs more
		}
		p := pull{i, math.Log(h) / scale}
		if len(best) < want {
			best = append(best, p)
		} else if p.pull <= best[want-1].pull {
			continue
		}
		k := len(best) - 1
		for ; k > 0 && best[k-1].pull < p.pull; k-- {
			best[k] = best[k-1]
		}
		best[k] = p
	}
	for _, p := range best {
		j.homes = append(j.homes, d.workers[p.at])
	}
	d.best = best
}

// room is how many more slots of ours a worker takes: by its report, else by what it took before.
func (d *Dispatcher) room(w *worker) float64 {
	if d.now < w.fullUntil {
		return 0
	}
	if w.silent && !d.panicking {
		return 1
	}
	if w.trial {
		return 1 - w.own
	}
	// Reports come late and can hide a queue: a job of ours that was not started says there is no room,
	// whatever free slots were last told or got back.
	if d.s.TellsStart && w.waits > 0 && d.now-w.waitsFrom > d.startLag() {
		return 0
	}
	n := math.Round(d.slotsOf(w))
	if n > 0 && d.peersKnown() {
		// This is newer than any report.
		return math.Round(max(1, n*d.coldShare(w)) - w.own - d.foreign(w) - d.hidden(w))
	}
	// A weight in the list is the same for all nodes and late: it is no reason to go to a worker, since all
	// would, but one that tells of more requests than cores is a reason to stay away.
	if w.at < len(d.rows) && d.rows[w.at].load >= max(loadMost, loadOver*d.load) {
		return 0
	}
	if w.reported > 0 && d.now-w.reported <= d.freshFor() {
		return math.Round(d.relaxed(w)) // to the nearest: reports are a little noisy
	}
	most := math.Floor(w.soft)
	if n > 0 {
		// Every node guesses at once when reports fail: none takes more than twice its even part.
		most = min(most, max(1, math.Round(blindShare*n/float64(d.s.Balancers))))
	}
	if w.own == 0 {
		most = max(most, d.widest) // else a job wider than what was tried so far would never be sent
	}
	most -= w.own
	if n > 0 && d.heardAt > 0 && d.now-d.heardAt <= staleFor*d.freshFor() && d.coldShare(w) == 1 {
		// Others tell what is usual: where the fleet is full, so is likely one not heard of, unless new.
		most = min(most, math.Round(n*(1-d.usual(w))-w.own))
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
func (d *Dispatcher) usable(w *worker) bool {
	if (w.linkFails > 0 && (d.now < w.linkUntil || w.opening > 0) || d.marked(w, noConns)) && !d.warm(w) {
		// A worker can serve over the connections it has and take no new one (its table is full, or new
		// ones are cut): a served job says nothing of the next connect. One new connection tries at a time.
		return false
	}
	// A silent worker is tried again with one job now and then: else one that was cut off and holds jobs
	// whose end was lost would stay out until the last client's time is over (i3f1d0e).
	return w.cond == Ready && (d.panicking || d.now >= w.badUntil && (!w.silent || d.now >= w.tryAt))
}

// maySend is the one gate that every send passes: the request's state, what of it may have run, drains, and
// a cold worker's budget.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	over := j.done || len(j.attempts) >= j.most || d.now >= j.deadline
	if over || w.cond != Ready || j.out > 0 && !d.s.MayDuplicate {
		return false
	}
	for i := range j.attempts {
		if a := &j.attempts[i]; a.w == w && (!a.resolved || j.mayHaveRun) {
			return false
		}
	}
	if (j.out > 0 || j.mayHaveRun) && !d.repeatable(j, w) {
		return false
	}
	// Credit may be overdrawn by one slot's work, for all jobs cost some, not by a wide job's further slots.
	return d.coldOpen(w, (j.slots-1)*j.work/d.kindSpeed(w.kind))
}

// repeatable says whether a job that is out, or may have run, may go to w as well.
func (d *Dispatcher) repeatable(j *job, w *worker) bool {
	c := &d.s.Classes[j.class]
	switch c.Effect {
	case Safe:
		return true
	case Keyed:
		ran, since := j.ranWorker, j.ranSince
		for i := range j.attempts {
			if a := &j.attempts[i]; !a.resolved && (ran == nil || a.sent < since) {
				ran, since = a.w, a.sent
			}
		}
		if d.now-since >= c.Window-d.margin() {
			return false
		}
		switch c.Scope {
		case ScopeAll:
			return true
		case ScopeZone:
			return ran.zone == w.zone
		default:
			return ran.zone == w.zone && ran.cell == w.cell
		}
	}
	return false
}

// mayRefuse is the one gate of refusals: nothing of the request may have run, or a repeat does no harm.
func (d *Dispatcher) mayRefuse(j *job) bool {
	c := &d.s.Classes[j.class]
	return c.Effect == Safe || j.out == 0 && !j.mayHaveRun || c.Effect == Keyed && c.Scope == ScopeAll
}

// comeBack is how long a refused client should stay away: until a token of ours is back, at the pace of runs.
func (d *Dispatcher) comeBack(j *job) float64 {
	held := max(j.slots, d.inflight())
	return min(d.s.MaxRetryAfter, comeBackRuns*d.run*j.slots/held)
}

// coldShare is the least part of its capacity that a worker has by now.
func (d *Dispatcher) coldShare(w *worker) float64 {
	if w.born <= 0 || d.s.WarmWithin <= 0 || d.now-w.born >= d.s.WarmWithin {
		return 1
	}
	return min(1, d.s.ColdFrom+(1-d.s.ColdFrom)*max(0, d.now-w.born)/d.s.WarmWithin)
}

// coldOpen says whether our part of a cold worker's budget lets a job of ours go there. One of many nodes has
// less than a job of it, and pays it off after one, from a random debt at first: all send the sum together.
func (d *Dispatcher) coldOpen(w *worker, more float64) bool {
	share := d.coldShare(w)
	if share >= 1 {
		return true
	}
	if w.coldAt < w.born { // what the list did not tell in time is ours to send as well, in part
		w.coldAt = max(w.born, d.now-coldBurst*d.s.Fall)
		w.coldCredit = -d.random()*d.held - d.sentSince(w, w.born)
	}
	part := min(d.ourPart(), coldPart/float64(d.s.Balancers))
	rate := d.safety() * part * d.s.FallMultiple * share * max(1, w.slots, d.kinds[w.kind].slots)
	most := rate * d.s.Fall * coldBurst
	if w.coldCredit += rate * (d.now - w.coldAt); w.coldCredit > most {
		w.coldCredit = min(most, w.coldCredit-max(0, d.held-most)) // else all keep a turn, and use it at once
	}
	w.coldAt = d.now
	return w.coldCredit > min(more, coldKnown*most)
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

func (d *Dispatcher) send(j *job, w *worker) {
	w.coldCredit -= j.slots * j.work / d.kindSpeed(w.kind)
	shared := d.shares(w)
	if w.silent {
		w.tryAt = d.now + d.silence()/2*float64(int(1)<<min(w.tries, 3))*(0.75+0.5*d.random())
		w.tries++
	}
	d.sentAt = d.now
	d.out = append(d.out, Action{Kind: ActSend, Job: j.id, Worker: w.id})
	j.attempts = append(j.attempts, attempt{w: w, sent: d.now, heard: d.now, hadRoom: w.free >= j.slots})
	if j.key != 0 && missing(j, w, d.s.Balancers) >= homeMiss {
		j.attempts[len(j.attempts)-1].fetches = true
		d.fetching += j.slots
	}
	j.out++
	if len(w.outs) == 0 {
		d.busy = append(d.busy, w)
	}
	w.outs = append(w.outs, j)
	w.own += j.slots
	w.free -= j.slots
	w.memory -= j.memory
	d.countWaits(w)
	if n := len(w.idle); n > 0 {
		w.idle = w.idle[:n-1]
	} else if !shared {
		j.attempts[len(j.attempts)-1].opened = true
		w.opening++
	}
	if j.key != 0 {
		w.touch(j.key)
	}
}

// ---- outcomes

func (d *Dispatcher) outcome(e *Event) {
	w := d.byID[e.Worker]
	j := d.jobs[e.Job]
	if j == nil || int(e.Attempt) >= len(j.attempts) || j.attempts[e.Attempt].resolved {
		if w != nil {
			d.report(w, e.Report)
		}
		return
	}
	a := &j.attempts[e.Attempt]
	w = a.w
	a.resolved = true
	j.out--
	d.dirty = true
	if i := slices.Index(w.outs, j); i >= 0 {
		w.outs = slices.Delete(w.outs, i, i+1)
		if len(w.outs) == 0 {
			w.silent = false
			i := slices.Index(d.busy, w)
			d.busy = slices.Delete(d.busy, i, i+1)
		}
	}
	if !a.lost {
		w.own -= j.slots
	}
	w.memory += j.memory
	d.countWaits(w)
	d.mark(j, a, e.Outcome)
	if a.opened {
		w.opening--
	}
	if a.fetches {
		d.fetching -= j.slots
	}
	d.judge(j, a, e.Outcome)
	d.fared(j, w, e)
	d.report(w, e.Report)
	if e.Final {
		d.finish(j)
	}
	if j.done {
		d.release(j)
		return
	}
	if j.out == 0 {
		d.wait(j) // and settled once the batch is taken in: a later event of it may end the job
	}
}

// mark keeps, in one place, what of a request may have run.
func (d *Dispatcher) mark(j *job, a *attempt, o Outcome) {
	if o.NeverRan() {
		return
	}
	if !j.mayHaveRun || a.sent < j.ranSince {
		j.mayHaveRun, j.ranWorker, j.ranSince = true, a.w, a.sent
	}
}

// settle ends a job with nothing out for which nothing more can be done.
func (d *Dispatcher) settle(j *job) {
	if j.done || j.out > 0 {
		return
	}
	c := &d.s.Classes[j.class]
	spent := len(j.attempts) >= j.most || d.now >= j.deadline-d.margin()
	if j.mayHaveRun {
		spent = spent || c.Effect == Unsafe || c.Effect == Keyed && d.now-j.ranSince >= c.Window-d.margin()
	}
	if spent || d.hopeless(j) {
		d.end(j, tooLate)
	}
}

// end gives the final answer that the gate allows: a refusal where a repeat is harmless, else a failure.
func (d *Dispatcher) end(j *job, why cause) {
	if j.done {
		return
	}
	d.ended[why]++
	d.endedAt = d.now
	a := Action{Kind: ActFail, Job: j.id}
	if d.mayRefuse(j) {
		a.Kind, a.For = ActRefuse, d.comeBack(j)
	}
	d.out = append(d.out, a)
	d.finish(j)
}

// finish returns a job's tokens, once, and calls off what is still out.
func (d *Dispatcher) finish(j *job) {
	if j.done {
		return
	}
	j.done = true
	if j.admitted {
		j.admitted = false
		t := &d.tenants[j.tenant]
		t.inflight = max(0, t.inflight-j.slots)
	}
	for i := range j.attempts {
		if !j.attempts[i].resolved && d.s.MayCancel {
			d.out = append(d.out, Action{Kind: ActCancel, Job: j.id, Attempt: uint16(i)})
		}
	}
	d.dirty = true
	d.release(j)
}

// release forgets a job that is done once nothing of it is out.
func (d *Dispatcher) release(j *job) {
	if j.done && j.out == 0 && !j.waiting && d.jobs[j.id] == j {
		delete(d.jobs, j.id)
		if !slices.Contains(d.arrived, j) {
			d.pool = append(d.pool, j)
		}
	}
}

func (d *Dispatcher) note(e *Event) {
	j := d.jobs[e.Job]
	if j == nil || int(e.Attempt) >= len(j.attempts) || j.attempts[e.Attempt].resolved {
		return
	}
	a := &j.attempts[e.Attempt]
	if e.Topic == NoteLate {
		d.late(j, a)
		return
	}
	d.alive(a.w)
	a.heard, a.late = d.now, false
	if a.lost {
		a.lost = false
		a.w.own += j.slots
	}
	if a.started == 0 {
		a.started = d.now
		lag := d.now - a.sent
		d.queued += (lag - d.queued) * 0.02
		if lag < d.lag {
			d.lag = lag
		} else {
			d.lag += (min(lag, 4*d.lag) - d.lag) * 0.01
		}
		d.countWaits(a.w)
		d.dirty = true
		j.waiting = false // no second copy of what has begun
	}
}

// late takes in that a worker owes a sign that it took a job for longer than it and its peers usually do.
// Beside others that are heard of, one such attempt is its connection's fault: the worker is kept. It holds
// no slots in our books, and its job may be tried elsewhere too, where that is allowed.
func (d *Dispatcher) late(j *job, a *attempt) {
	w, owed := a.w, 0
	if a.started > 0 || a.late || a.lost {
		return
	}
	a.late, a.lost, d.dirty = true, true, true
	w.own -= j.slots
	d.countWaits(w)
	for _, k := range w.outs {
		if last := &k.attempts[len(k.attempts)-1]; last.w == w && last.late {
			owed++
		}
	}
	if w.heard <= a.sent || owed > 1 {
		d.eject(w, "owing signs of jobs")
		w.lateAt, w.lateUntil = d.now, 2*w.badUntil-d.now
	}
}

// ---- health

// judge draws from an outcome what it says of the worker: its room, speed, errors and connections.
func (d *Dispatcher) judge(j *job, a *attempt, o Outcome) {
	w := a.w
	switch o {
	case Served, Errored, Reset:
		w.free += j.slots
		w.ended[w.endedAt%len(w.ended)] = ending{a.sent, d.now, j.slots}
		w.endedAt++
	case Full:
		w.free = min(w.free+j.slots, 0)
		w.soft = max(1, softCut*w.own)
		w.fullRun = min(w.fullRun+1, 6)
		w.fullUntil = d.now + d.period*0.25*float64(int(1)<<(w.fullRun-1))*(0.5+d.random())
	case ConnectFailed, Moot:
		w.free += j.slots
	}
	switch o {
	case Served:
		d.alive(w)
		w.errs *= errorKeep
		if w.fullRun = 0; a.sent >= w.lateAt { // else it shows nothing of what came since
			w.strikes, w.trial, w.lateUntil = 0, false, 0
		}
		late := d.now > j.aimAt && a.sent+j.work/d.meanSpeed() <= j.aimAt
		blind := w.reported == 0 || d.now-w.reported > staleFor*d.freshFor() // a pause is not the end
		if late && blind && a.sent > w.cutAt {
			// With no reports and no 'full' only lateness shows a queue: one cut for all sent before it.
			w.soft, w.cutAt = max(1, softCut*w.soft), d.now
		} else if !late && w.own+j.slots >= math.Floor(w.soft) {
			w.soft += j.slots / w.soft
		}
		if a.opened {
			w.linkFails = 0
		}
		d.clock(j, a)
		if len(w.idle) > len(w.outs) && d.s.Multiplex > 1 {
			w.idle = w.idle[:0] // jobs share connections: one idle entry stands for all
		}
		w.idle = append(w.idle, d.now)
		d.usedLast.add(w)
	case Errored:
		d.alive(w) // and else a matter of the job's class, see fared
	case Reset:
		d.alive(w)
		w.errs = w.errs*errorKeep + 1 - errorKeep
		if w.errs > errorEject || w.trial {
			d.eject(w, "errors")
		}
	case ConnectFailed:
		d.linkFailed(w)
	}
}

// linkFailed backs off from new connections to a worker; those that are open go on being used.
func (d *Dispatcher) linkFailed(w *worker) {
	if d.find(w, noConns); d.now >= w.linkUntil {
		back := max(d.s.ConnectTimeout, d.s.Step) * float64(int(1)<<min(w.linkFails, ejectMost))
		w.linkUntil = d.now + back*(0.75+0.5*d.random())
		if w.linkFails++; w.linkFails == 1 {
			d.log("worker %d takes no new connections", w.id)
		}
	}
	w.idle = w.idle[:0] // it was to use an idle one if there was one
}

// eject keeps new work off a worker for a while, doubling, then lets it in one job at a time.
func (d *Dispatcher) eject(w *worker, why string) {
	if d.now < w.badUntil {
		return
	}
	base := ejectFirst * max(d.s.ConnectTimeout, d.s.Step)
	w.badUntil = d.now + base*float64(int(1)<<min(w.strikes, ejectMost))*(0.75+0.5*d.random())
	w.strikes++
	w.trial = true
	d.ejected = append(d.ejected, w)
	w.errs = min(w.errs, errorEject)
	d.log("eject worker %d for %s until %.0f, strike %d", w.id, why, w.badUntil, w.strikes)
}

func (d *Dispatcher) probed(e *Event) {
	w := d.byID[e.Worker]
	if w == nil {
		return
	}
	if w.probing {
		w.probing = false
		d.probesOut--
		d.dirty = true
	}
	switch e.Outcome {
	case Served:
		d.alive(w)
		d.report(w, e.Report)
	case ConnectFailed:
		d.linkFailed(w)
	}
}

// watchHealth finds workers that stand still and jobs to be tried elsewhere meanwhile.
func (d *Dispatcher) watchHealth() {
	limit := d.silence()
	d.sumFails()
	d.ejected = slices.DeleteFunc(d.ejected, func(w *worker) bool {
		return d.now >= w.badUntil || w.cond != Ready
	})
	bad := len(d.ejected)
	for _, w := range d.busy {
		if w.cond != Ready {
			continue
		}
		silent := false
		for _, j := range w.outs {
			for i := range j.attempts {
				if a := &j.attempts[i]; a.w == w && !a.resolved && !a.lost {
					since := max(a.sent, w.heard)
					if a.started == 0 && d.s.TellsStart {
						since += queueWaits * d.queued // a queued job tells nothing
					}
					silent = silent || d.now-since > limit
				}
			}
		}
		if silent && !w.silent {
			d.log("worker %d silent", w.id)
			w.tryAt = d.now + limit*(0.25+0.5*d.random())
		}
		w.silent = silent
		// All slow together still tell their progress: where it is told, silence is no sign of slowness.
		if silent && d.s.Progress <= 0 && d.now >= w.badUntil {
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
	for _, w := range d.busy {
		for _, j := range w.outs {
			// One that was sent to see whether the worker lives gets its time for that, and one that queues
			// would only queue elsewhere too.
			c, last := &d.s.Classes[j.class], &j.attempts[len(j.attempts)-1]
			still := w.silent && d.now-last.sent > d.silence()/2 && (last.started > 0 || !d.s.TellsStart)
			if (still || last.late) && !j.done && !j.waiting && j.out == 1 && c.Effect != Unsafe {
				d.wait(j)
			}
		}
	}
}

// ---- list

func (d *Dispatcher) list(e *Event) {
	d.dirty = true
	if e.Form == ListFailed {
		if d.askFails == 0 {
			d.log("list out of reach, last heard %.0f ms ago", d.now-d.listAt)
		}
		d.asked, d.watching = 0, false
		d.askFails = min(d.askFails+1, 8)
		d.nextAsk = d.now + d.askBackoff()
		return
	}
	if e.Form != ListCached {
		if d.askFails > 0 {
			d.log("list within reach again after %d failed calls", d.askFails)
		}
		d.asked, d.watching, d.askFails = 0, true, 0
	}
	if d.listAt == 0 {
		d.hub.since = d.now
	}
	if d.listAt = d.now; e.Form == ListCached && float64(d.s.Balancers)*askSpread > askLeast {
		d.nextAsk = d.now + d.askBackoff() // many nodes that were killed together start together
	}
	d.applyRows(e)
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
	for _, j := range d.waiting {
		d.settle(j)
	}
	if len(d.waiting) > 0 {
		d.dirty = true
		d.hub.wanted = d.hub.wanted || d.now-d.hub.answered > hubAgain*d.hubWait()
	}
	d.probe()
	d.tell()
	if (d.peersFresh > 0 || d.telling == tellHub) && d.now >= d.peersAt {
		d.sumPeers()
	}
	d.logState()
}

// awaitHub says whether jobs wait for what the hub tells: free slots known here are old, and others use them.
func (d *Dispatcher) awaitHub() bool {
	h, wait := &d.hub, d.hubWait()
	if d.telling != tellHub || h.now == d.s.Me || d.now < max(h.deaf, h.answered+hubFresh*wait) {
		return false
	}
	h.wanted = true
	return d.now-d.arrived[0].arrived < wait
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
	for _, w := range d.workers {
		if w.cond != Ready || w.probing || d.now-w.probeAt < span*w.probeTurn {
			continue
		}
		d.probeOne(w)
	}
}

func (d *Dispatcher) probeOne(w *worker) {
	w.probing, w.probeAt, w.probeTurn = true, d.now, 0.8+0.4*d.random()
	d.probesOut++
	d.out = append(d.out, Action{Kind: ActProbe, Worker: w.id})
}

// probeFor asks, in a large fleet, some workers for each job that comes, which waits for their answers: by
// turns each would be old when a job comes. Half are those used last, half are drawn.
func (d *Dispatcher) probeFor(j *job) {
	if !d.s.MayProbe || d.s.Telemetry != ReportProbes || len(d.workers) <= lookAll {
		return
	}
	n := 0
	try := func(w *worker) {
		if w != nil && w.cond == Ready && !w.probing && d.now-w.reported > d.period/2 && d.usable(w) {
			d.probeOne(w)
			n++
		}
	}
	for i := 0; i < len(d.usedLast) && n < probesPerJob/2; i++ {
		if w := d.usedLast[i]; w != nil && d.warm(w) {
			try(w)
		}
	}
	for i := 0; i < 2*probesPerJob && n < probesPerJob; i++ {
		try(d.workers[int(d.random()*float64(len(d.workers)))])
	}
	j.holdUntil = d.now + d.tickSpan()
}
