package dispatch

import (
	"fmt"
	"math"
	"slices"
)

// This file holds what a Dispatcher remembers and how it is kept; nothing is decided here.

// attempt is one send of a job.
type attempt struct {
	w        *worker
	sent     float64
	started  float64 // 0: not told
	heard    float64 // last note
	hadRoom  bool
	fetches  bool // likely had to fetch its key
	opened   bool // on a new connection
	resolved bool
	lost     bool // out when its worker fell silent, or late, and not heard of since
	erred    bool // it ended in an error
	late     bool // its worker owes a sign that it has taken the job
}

// job is a request this node owes an answer, or whose attempts are still out.
type job struct {
	id       uint32
	class    int
	tenant   int
	key      uint64
	slots    float64
	memory   float64
	work     float64 // ms on a worker of speed 1
	arrived  float64
	most     int     // attempts, by the settings when it came
	aimAt    float64 // full worth until then
	deadline float64
	attempts []attempt
	out      int
	admitted bool    // holds tokens
	value    float64 // worth for each slot and time
	over     bool    // beyond its tenant's share
	borrowed bool    // admitted from the remainder
	waiting  bool
	done     bool
	// What may have run; set in mark, read by maySend and mayRefuse alone.
	mayHaveRun bool
	ranWorker  *worker
	ranSince   float64
	rank       float64
	holdUntil  float64   // for answers to its probes, at most
	homes      []*worker // of its key, the last to fall back on
	homesOf    int       // the list they were drawn from
	prices     []float64 // of zones, where they are the request's own
}

// zonePrice is what a worker's zone costs a job: what the request says of it, or else the price of crossing.
func (d *Dispatcher) zonePrice(j *job, zone int) float64 {
	switch {
	case zone < len(j.prices):
		return j.prices[zone]
	case zone != d.s.Zone:
		return d.s.Fees.CrossZone
	}
	return 0
}

// sane are a request's slots, memory and time left; odd numbers count as the least.
func (e *Event) sane() (slots, memory, left float64) {
	slots = 1
	if e.Slots > 0 && e.Slots < 1e6 {
		slots = e.Slots
	}
	if e.Memory > 0 && e.Memory < 1e6 {
		memory = e.Memory
	}
	if e.TimeLeft >= 0 {
		left = e.TimeLeft
	}
	return slots, memory, left
}

type ending struct{ sent, at, slots float64 }

// worker is what this node knows of one worker. What placement reads of each worker it looks at comes first and
// close together: in a large fleet the memory it lies in is what a look costs.
type worker struct {
	id        uint32
	tag       uint16 // its name in messages between nodes
	cell      uint16
	cond      Condition
	silent    bool
	trial     bool // after an ejection: one job at a time until one is served
	probing   bool
	zone      int
	kind      int
	at        int // its place in the list, where weights are live
	linkFails int // new connections that failed since one was made
	waits     int // attempts out that were not started
	group     *group

	own       float64
	free      float64 // free slots as last reported, moved by what we sent and got back since
	reported  float64 // when a new report came, 0 for never
	slots     float64 // most free slots ever seen with our own
	soft      float64
	fullUntil float64
	badUntil  float64
	born      float64
	theirs    float64 // slots that other nodes told to have out here
	waiting   float64 // slots of the attempts that were not started
	waitsFrom float64 // since when the oldest of them
	tryAt     float64 // a silent worker gets one job from then on
	looked    uint64  // the last look that took it in
	room      float64 // slots that it takes now, while jobs are placed
	work      float64
	time      float64
	errs      float64
	fails     []failing // by class
	all       tally     // of all classes
	opening   int       // attempts out on connections opened for them
	idle      []float64 // idle connections: since when
	outs      []*job    // one entry for each attempt out
	linkUntil float64   // no new one before

	keys        [12]uint64
	row         Row // the list's when it last changed but for its weight
	sample      uint64
	memory      float64 // free memory as last reported, moved likewise; NaN or of no meaning if not told
	tellsMemory bool
	lateAt      float64 // when it was last ejected for owing signs that it has taken jobs,
	lateUntil   float64 // and until when nothing goes there that may be lost for good
	cutAt       float64 // when soft was cut for lateness
	fullRun     int
	heard       float64 // last sign of life
	strikes     int
	tries       int
	hidden      float64 // slots held here that no message told of, as was seen
	hiddenAt    float64 // then
	told        float64 // our slots out here as the others were told,
	toldAt      float64 // and when
	coldCredit  float64 // our part of its budget while it is cold, in slot-time on a warm one, as of
	coldAt      float64 // then
	// The last probe, and its random part of the span to the next: the span itself follows the traffic, so
	// that a node that was quiet at its start is not blind for long once requests come.
	probeAt, probeTurn float64
	ended              [24]ending // our jobs that ended lately
	endedAt            int
}

// group is what is learned of the workers of one kind in one zone together.
type group struct {
	kind, zone int
	sum, n, at float64
}

// failing is how a class fares at a worker.
type failing struct {
	strikes int     // failures running
	until   float64 // nothing of the class goes there before
	at      float64 // when it failed last
	all     tally
}

type kindStat struct{ work, time, slots, scale float64 }

type tenant struct {
	portion  float64
	inflight float64
	lastSeen float64
	quota    float64
	usual    float64 // requests a second that come this way, over a while
	bucket   float64 // requests still within the share
	metered  float64
}

type classStat struct {
	work, slots float64
	failing     bool // at so many workers that it is not theirs
}

// Dispatcher decides for one node. See the package comment for what its host promises.
type Dispatcher struct {
	s   Settings
	now float64
	out []Action
	rng uint64

	jobs    map[uint32]*job
	pool    []*job
	arrived []*job
	waiting []*job

	byID    map[uint32]*worker
	workers []*worker // listed, by id
	left    []*worker // gone from the list, and kept while attempts of ours are out there
	kinds   [256]kindStat
	all     kindStat

	tenants []tenant
	classes []classStat

	period    float64
	age       float64   // of reports when they come
	ages      [9]spread // of what workers told to hold less our own jobs, at each age
	heldStat  spread    // of what they told to hold
	ageBest   int
	ageCount  float64
	queued    float64  // mean time from a send to its start note
	lag       float64  // usual time from a send to its start note where there was room
	tries     arrivals // of requests here, those that clients send again counted each time
	firsts    arrivals // likewise without those
	quota     float64  // requests a second that all tenants may send to all nodes
	capacity  float64
	sentAt    float64 // when a job was last sent
	fair      float64 // our part of all slots
	panicking bool

	open       []*worker // those with room, while jobs are placed
	seen       []*worker // those looked at for that
	looks      uint64
	lookedAll  bool // in this look, not only at homes
	probesOut  int
	healthAt   float64   // when health is next watched in a large fleet
	busy       []*worker // those with attempts of ours out
	ejected    []*worker // those that are, or were, since the last tick
	heardLast  lastOnes  // those that reported last
	usedLast   lastOnes  // those that served us last, and have a connection
	estimateAt float64   // capacity is not estimated anew before
	listSerial int       // counts changes of the list, from 1
	peers      []peer    // by node number
	peersFresh int
	peersAt    float64 // when those not heard of are next left out
	byTag      map[uint16]*worker
	telling    telling
	hub        hub
	tellAt     float64

	watching bool
	asked    float64 // when the call that is out was made, 0 for none
	nextAsk  float64
	askFails int

	value    float64 // mean worth of arrivals for each slot and time
	fetching float64 // slots out of jobs that likely fetch their key
	run      float64 // mean run, each weighted by what it holds: how long what is held stays so
	held     float64 // mean of slots times run
	groups   []*group
	load     float64 // mean of the live weights' requests per core
	heardAt  float64 // when any worker last reported anew
	occupied float64 // part of a worker's slots that others hold, as reports tell
	widest   float64 // most slots that a job asked for
	keyCount map[uint64]float64
	keySum   float64
	best     []pull     // scratch of findHomes
	rows     []listed   // of d.workers, in their order
	hashes   []homeHash // likewise
	changed  []*worker  // scratch of applyRows

	tickAt  float64
	lastTag uint32
	dirty   bool

	ended    [causes]int // jobs that this node ended itself, by cause
	endedAt  float64
	refusing bool    // as last logged
	listAt   float64 // when the list was last heard of
	logLeft  float64
	loggedAt float64
}

// cause says why a node ended a job itself.
type cause uint8

const (
	noTokens  cause = iota // the admission steps left no room for it
	tooLate                // it could not end usefully any more, or may not be tried again
	madePlace              // it waited, and another took its tokens
	causes
)

// lastOnes are workers of which something was seen last, the latest first.
type lastOnes [8]*worker

func (l *lastOnes) add(w *worker) {
	i := slices.Index(l[:], w)
	if i < 0 {
		i = len(l) - 1
	}
	copy(l[1:i+1], l[:i])
	l[0] = w
}

// touch moves a key to the front of those the worker likely holds.
func (w *worker) touch(key uint64) {
	i := slices.Index(w.keys[:], key)
	if i < 0 {
		i = len(w.keys) - 1
	}
	copy(w.keys[1:i+1], w.keys[:i])
	w.keys[0] = key
}

// warm says whether the next job to a worker needs no new connection.
func (d *Dispatcher) warm(w *worker) bool {
	n := len(w.idle)
	for n > 0 && d.now-w.idle[0] >= d.s.ConnIdle {
		w.idle = w.idle[:copy(w.idle, w.idle[1:])]
		n--
	}
	return n > 0 || d.shares(w)
}

// shares says whether connections carry several jobs and one that is open has room for another.
func (d *Dispatcher) shares(w *worker) bool {
	open := len(w.outs) - w.opening // attempts on connections that stand, if each had its own
	return d.s.Multiplex > 1 && open > 0 && open%d.s.Multiplex != 0
}

// countKey keeps how often keys are asked for.
func (d *Dispatcher) countKey(key uint64) {
	if key == 0 {
		return
	}
	d.keyCount[key]++
	if d.keySum++; d.keySum < 2*keyMemory {
		return
	}
	d.keySum /= 2
	for k, n := range d.keyCount {
		if d.keyCount[k] = n / 2; n < 1 {
			delete(d.keyCount, k)
		}
	}
}

// pull is how strongly a key is drawn to the worker at a place in the list.
type pull struct {
	at   int
	pull float64
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// random gives the next number of the instance's own sequence, in [0, 1).
func (d *Dispatcher) random() float64 {
	d.rng += 0x9e3779b97f4a7c15
	return float64(mix(d.rng)>>11) / (1 << 53)
}

const (
	maxLogs  = 60    // log lines at once; one more each logEvery
	logEvery = 10000 // ms
)

// log writes a line, at most maxLogs at once and one more each logEvery.
func (d *Dispatcher) log(format string, args ...any) {
	d.logLeft = min(maxLogs, d.logLeft+(d.now-d.loggedAt)/logEvery)
	d.loggedAt = d.now
	if d.logLeft >= 1 {
		d.logLeft--
		d.out = append(d.out, Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
	}
}

// ownOut is how many slots of ours are out at all workers.
func (d *Dispatcher) ownOut() (slots float64) {
	for _, w := range d.busy {
		slots += w.own
	}
	return slots
}

// inflight is how many tokens are out.
func (d *Dispatcher) inflight() float64 {
	held := 0.0
	for i := range d.tenants {
		held += d.tenants[i].inflight
	}
	return held
}

// logState writes, when a node begins to end jobs itself and when it has not for a while, what it goes by.
func (d *Dispatcher) logState() {
	refusing := d.endedAt > 0 && d.now-d.endedAt < activeFor
	if refusing == d.refusing {
		return
	}
	d.refusing = refusing
	held, bad := d.inflight(), 0
	for _, w := range d.workers {
		if !d.usable(w) {
			bad++
		}
	}
	d.log("refusing %v: capacity %.0f slots, %.0f in flight, %d waiting, %d of %d workers unusable, "+
		"list %.0f ms old; ended so far: %d no tokens, %d too late, %d made place", refusing, d.capacity, held,
		len(d.waiting), bad, len(d.workers), d.now-d.listAt, d.ended[noTokens], d.ended[tooLate], d.ended[madePlace])
}

// alive takes in a sign of life. After a silence, what was out there may have ended or never come without our
// hearing of it, until its client's time is over: it holds no slots in our books unless it is heard of again.
func (d *Dispatcher) alive(w *worker) {
	w.heard = d.now
	if !w.silent {
		return
	}
	w.silent, w.tries = false, 0
	d.dirty = true
	d.log("worker %d heard of again", w.id)
	for _, j := range w.outs {
		for i := range j.attempts {
			if a := &j.attempts[i]; a.w == w && !a.resolved && !a.lost {
				a.lost = true
				w.own -= j.slots
			}
		}
	}
	d.countWaits(w)
}

// sentSince is the slot-time of the attempts that were sent to a worker from a time on, with those that have ended.
func (d *Dispatcher) sentSince(w *worker, from float64) (work float64) {
	for _, j := range w.outs {
		for i := range j.attempts {
			if a := &j.attempts[i]; a.w == w && !a.resolved && a.sent >= from {
				work += j.slots * j.work / d.kindSpeed(w.kind)
			}
		}
	}
	for _, x := range w.ended {
		if x.sent >= from {
			work += x.slots * (x.at - x.sent)
		}
	}
	return work
}

// silence is how long a worker with jobs out may give no sign of life.
func (d *Dispatcher) silence() float64 {
	if d.s.Progress > 0 {
		return silentAfter * d.s.Progress
	}
	return silentAfter * 2 * d.classes[0].work / d.meanSpeed()
}

// countWaits counts a worker's attempts of ours that were not started.
func (d *Dispatcher) countWaits(w *worker) {
	w.waits, w.waiting, w.waitsFrom = 0, 0, d.now
	for _, j := range w.outs {
		for i := range j.attempts {
			if a := &j.attempts[i]; a.w == w && !a.resolved && !a.lost && a.started == 0 {
				w.waits++
				w.waiting += j.slots
				w.waitsFrom = min(w.waitsFrom, a.sent)
			}
		}
	}
}

// newClass is what is held of a class before its jobs are seen: an aim is the best hint at the work it was set for.
func newClass(c Class) classStat { return classStat{work: max(1, c.Aim), slots: 1} }

// share takes over the tenants' shares. What was learned of those that are there already stays.
func (d *Dispatcher) share(tenants []Tenant) {
	sum := 0.0
	d.quota = 0
	for _, t := range tenants {
		sum += t.Portion
		d.quota += max(0, t.Quota)
	}
	for i := len(d.tenants); i < max(1, len(tenants)); i++ {
		t := tenant{lastSeen: math.Inf(-1)}
		if len(tenants) > 0 {
			t.usual, t.bucket = tenants[i].Quota/2, tenants[i].Quota*shareDepth/1000
		}
		d.tenants = append(d.tenants, t)
	}
	for i := range d.tenants {
		t := &d.tenants[i]
		t.portion = 1 / float64(len(d.tenants))
		if sum > 0 {
			t.portion = tenants[i].Portion / sum
		}
		if len(tenants) > 0 {
			t.quota = tenants[i].Quota
		}
	}
}

// New makes a Dispatcher for one life of a node. Absent settings: no tenants means one; portions that are
// all zero are taken as equal; an error names any setting that cannot be used.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{s: s, rng: seed, jobs: map[uint32]*job{}, byID: map[uint32]*worker{},
		byTag: map[uint16]*worker{}, widest: 1, keyCount: map[uint64]float64{},
		period: firstPeriod, lag: s.ConnectTimeout / 10, logLeft: maxLogs,
		age: ageShare * firstPeriod, ageBest: 1}
	d.share(s.Tenants)
	d.tries.perSecond = d.quota / float64(s.Balancers)
	d.firsts.perSecond = d.tries.perSecond
	d.classes = make([]classStat, len(s.Classes))
	for i, c := range s.Classes {
		d.run += max(1, c.Aim) / float64(len(s.Classes))
		d.held = d.run
		d.classes[i] = newClass(c)
	}
	if d.telling = d.howToTell(); s.MayTell {
		d.peers = make([]peer, s.Balancers)
		d.startHub()
	}
	return d, nil
}
