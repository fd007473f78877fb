package dispatch

import "math"

// This file holds what is learned from what was seen: what load
// reports and peers tell of room, speeds, and how old reports are. Nothing is decided here;
// the constants are in brain.go with the others.

// report takes in a load report. One that is the same to the last digit is the same reading come again.
func (d *Dispatcher) report(w *worker, values []float32) {
	if len(values) == 0 {
		return
	}
	free, busy, pending, util, memory, service := math.NaN(), math.NaN(), math.NaN(), math.NaN(), math.NaN(), 0.0
	sample := uint64(1)
	for i, v := range values {
		sample = mix(sample ^ uint64(math.Float32bits(v)))
		if i >= len(d.s.Fields) {
			break
		}
		x := float64(v)
		if math.IsInf(x, 0) || x < 0 {
			continue
		}
		switch d.s.Fields[i] {
		case FieldFree:
			free = x
		case FieldBusy:
			busy = x
		case FieldPending:
			pending = x
		case FieldUtil:
			util = x
		case FieldMemory:
			memory = x
		case FieldLatency:
			service = x
		}
	}
	if sample == w.sample && (w.own > 0 || d.now-w.reported < d.period) {
		return // while nothing of ours is there, an idle worker may well report the same again
	}
	if service > 0 && d.coldShare(w) == 1 && w.time*d.meanSpeed() < speedShrink*d.classes[0].work {
		// Told without the wait: of a worker that always queues, and of one seldom used, our own runs tell little.
		d.clocked(w, d.classes[0].work, service)
	}
	slots := max(softStart, math.Round(w.slots), math.Round(d.kinds[w.kind].slots))
	width, told := d.classes[0].slots, free
	if math.IsNaN(free) {
		switch {
		case !math.IsNaN(busy):
			free = slots - busy*width
		case !math.IsNaN(util):
			free = slots * (1 - util)
		default:
			return
		}
	} else if free < d.widest-0.5 {
		// More requests than slots in use: the rest is queued. A wide one at the head keeps slots free that
		// nobody behind it gets.
		if math.IsNaN(pending) {
			pending = math.Round(busy - (max(slots, free) - free))
		}
		if pending > 0 {
			free = -pending * width
		}
	}
	if w.reported > 0 && sample != w.sample {
		gap := d.now - w.reported
		pull := 0.02
		if gap < d.period {
			pull = 0.1
		}
		d.period = max(d.period+(min(gap, 10*d.period)-d.period)*pull, d.s.Step, 1)
	}
	w.sample, w.reported = sample, d.now
	d.heardLast.add(w)
	held := busy
	if math.IsNaN(busy) {
		if math.IsNaN(told) {
			told = free
		}
		held = max(0, slots-told)
	}
	d.learnAge(w, held, math.IsNaN(busy))
	taken := d.now - d.age
	w.free, w.memory, w.tellsMemory = free, memory, !math.IsNaN(memory)
	for _, j := range w.outs {
		for i := range j.attempts {
			if a := &j.attempts[i]; a.w == w && !a.resolved {
				if a.sent > taken {
					w.free -= j.slots
					w.memory -= j.memory
				}
			}
		}
	}
	for _, x := range w.ended {
		if x.at > taken {
			w.free += x.slots
		}
	}
	// With room for the widest job nothing is queued, and all that is held runs. Noise asks for a slow rise.
	most := free
	if free >= d.widest-0.5 && busy > 0 {
		most += busy
	}
	if w.slots == 0 {
		w.slots = max(0, math.Round(most))
	} else if most > w.slots {
		w.slots += (most - w.slots) * 0.3
	}
	d.kinds[w.kind].slots = max(d.kinds[w.kind].slots, w.slots)
	w.free = min(w.free, max(slots, w.slots)-w.own)
	theirs := max(0, w.slots-w.own-w.free) / max(w.slots, 1)
	d.occupied += (theirs - d.occupied) * 0.02
	g, fade := w.group, max(0, 1-(d.now-w.group.at)/d.usualFor())
	g.sum, g.n, g.at = g.sum*fade+theirs, g.n*fade+1, d.now
	d.heardAt = d.now
	// Room that a report tells ends a wait after one 'full', which a late report may have led to. A worker that turns
	// away the next as well, beside free slots, drains and was not listed so yet: it is left alone for as long as ever.
	if w.free >= 1 && w.fullRun < 2 {
		w.fullUntil = 0
	}
	d.dirty = true
}

// relaxed is a worker's free slots, with what others have there drawn from the report to the fleet's mean as
// the report ages against a job's run. Where reports are older than jobs are long, each says who was idle and
// not who is: all nodes storm the roomiest and shun the full, turn about.
func (d *Dispatcher) relaxed(w *worker) float64 {
	if d.s.Balancers < 2 || w.slots == 0 {
		return w.free
	}
	x := relax * (d.now - w.reported + d.age) / d.run
	keep := 1 / (1 + x + x*x/2)
	foreign, usual := w.slots-w.own-w.free, d.usual(w)*w.slots
	return w.slots - w.own - usual - (foreign-usual)*keep + relaxHope*(1-keep)
}

// usual is the part of a worker's slots that others hold, as reports of its kind in its zone tell, drawn to
// the fleet's while they are few. It can be over 1 where jobs are queued.
func (d *Dispatcher) usual(w *worker) float64 {
	if len(d.workers) <= lookAll {
		return d.occupied // too few of a kind in a zone for a mean of their own
	}
	g := w.group
	keep := max(0, 1-(d.now-g.at)/d.usualFor())
	return (g.sum*keep + usualShrink*d.occupied) / (g.n*keep + usualShrink)
}

func (d *Dispatcher) usualFor() float64 { return usualPeriods * d.period }

// slotsOf is how many slots a worker has, as reports showed, 0 if none did. Where the hub tells what others have out it is
// then as many as a first trial takes: else each of many nodes tries every worker of a kind that it has not met.
func (d *Dispatcher) slotsOf(w *worker) float64 {
	n := max(w.slots, d.kinds[w.kind].slots)
	if n == 0 && d.telling == tellHub {
		return softStart
	}
	return n
}

// startLag is how long a start note takes from a worker with room: learned, least lags seen.
func (d *Dispatcher) startLag() float64 { return 2*d.lag + startGrace*d.s.Step }

// arrivals is how often something comes, as learned from the times between.
type arrivals struct{ perSecond, last float64 }

func (a *arrivals) add(now float64) {
	if a.last > 0 {
		gap := max(now-a.last, 1)
		a.perSecond += (1000/gap - a.perSecond) * min(1, gap/2000)
	}
	a.last = now
}

// countArrival takes in that a request came now.
func (d *Dispatcher) countArrival(repeat bool) {
	d.tries.add(d.now)
	if !repeat {
		d.firsts.add(d.now)
	}
}

// quotaRate is the rate that our part of the quotas goes by. Quotas count a request once, however often its client
// sends it again: in a storm of repeats the parts of all nodes summed to 2.7. Small fleets count each try: there a node
// sees most workers itself, and its part bounds little.
func (d *Dispatcher) quotaRate() float64 {
	if len(d.workers) > lookAll {
		return d.firsts.perSecond
	}
	return d.tries.perSecond
}

// clock learns speed from a served attempt.
func (d *Dispatcher) clock(j *job, a *attempt) {
	if d.coldShare(a.w) < 1 {
		return
	}
	from := a.started
	if from == 0 {
		if d.s.TellsStart || !a.hadRoom {
			return // the wait cannot be told from the run
		}
		from = a.sent
	}
	span := max(d.now-from, 0.1)
	d.held += (j.slots*span - d.held) * 0.02
	d.run += (j.slots*span*span/max(d.held, 1) - d.run) * 0.02
	st := &d.classes[j.class]
	if j.work == st.work { // no hint: the class's mean stands for the work
		st.work += (span*d.meanSpeed() - st.work) * 0.02
	}
	d.clocked(a.w, j.work, span)
}

// clocked takes in that a worker did some work in some time.
func (d *Dispatcher) clocked(w *worker, work, span float64) {
	k := &d.kinds[w.kind]
	w.work, w.time = w.work*speedKeep+work, w.time*speedKeep+span
	k.work, k.time = k.work*speedKeep+work, k.time*speedKeep+span
	d.all.work, d.all.time = d.all.work*speedKeep+work, d.all.time*speedKeep+span
}

func (d *Dispatcher) meanSpeed() float64 {
	mean := d.classes[0].work
	return (d.all.work + mean) / (d.all.time + mean)
}

func (d *Dispatcher) kindSpeed(kind int) float64 {
	k, mean := &d.kinds[kind], d.classes[0].work
	return (k.work + mean*d.meanSpeed()) / (k.time + mean)
}

// speed is a worker's own, drawn to its kind's while little is known, and less while it is cold: it then has a part
// of its capacity, which few jobs do not use up.
func (d *Dispatcher) speed(w *worker) float64 {
	mean := speedShrink * d.classes[0].work
	speed, cold := (w.work+mean*d.kindSpeed(w.kind))/(w.time+mean), d.coldShare(w)
	if cold < 1 && d.peersKnown() {
		cold = min(1, cold*max(1, w.slots, d.kinds[w.kind].slots)/(w.own+d.foreign(w)+1))
	}
	return speed * cold
}

// fared takes in how a job of a class ended at a worker. A worker can fail one class at once and serve another well,
// so that its errors do not add up to an ejection while it looks roomy and draws more; or turn one class away while it
// tells of free slots. So classes are told apart. One 'full' beside free slots can come of a late report.
// A job that errs at a second worker too may be one that errs wherever it goes: then the first is not to blame either,
// or one bad request that may be tried six times puts its class out at six workers. It was theirs if a third serves it.
func (d *Dispatcher) fared(j *job, w *worker, e *Event) {
	f, a, erred := &w.fails[j.class], &j.attempts[e.Attempt], 0
	for i := range j.attempts {
		if j.attempts[i].erred {
			erred++
		}
	}
	switch {
	case e.Outcome == Served:
		f.all.add(d, false)
		w.all.add(d, false)
		if a.sent >= f.at { // else it shows nothing of what came since
			f.strikes, f.until = 0, 0
		}
		for i := range j.attempts {
			if erred > 1 && j.attempts[i].erred {
				d.blame(j.attempts[i].w, j.class, Errored)
			}
		}
	case e.Outcome == Errored:
		a.erred = true
		if erred == 0 {
			d.blame(w, j.class, Errored)
		} else if erred == 1 {
			for i := range j.attempts {
				if x := &j.attempts[i]; x.erred && x != a {
					x.w.fails[j.class].lift(d)
					x.w.all.lift(d)
				}
			}
		}
	case e.Outcome == Full && d.tellsRoom(e.Report, j.slots):
		d.blame(w, j.class, Full)
	}
}

// lift takes one error back.
func (f *failing) lift(d *Dispatcher) {
	f.all.lift(d)
	if f.strikes = max(0, f.strikes-1); f.strikes == 0 {
		f.until = 0
	}
}

// blame holds a job's end against a worker, for its class.
func (d *Dispatcher) blame(w *worker, class int, o Outcome) {
	f := &w.fails[class]
	if o == Errored {
		f.all.add(d, true)
		w.all.add(d, true)
	}
	if d.now < f.until {
		return // it was sent before the last one failed
	}
	f.strikes++
	f.at = d.now
	if o == Full && f.strikes == 1 {
		return
	}
	base := classAway * max(d.s.ConnectTimeout, d.s.Step)
	f.until = d.now + base*float64(int(1)<<min(f.strikes-1, ejectMost))*(0.75+0.5*d.random())
	d.find(w, firstMark+class)
	d.log("class %d fails at worker %d, kept away until %.0f", class, w.id, f.until)
}

// tally counts jobs that ended and those of them that erred, and forgets.
type tally struct{ n, errs, at float64 }

// now is a tally as faded by now.
func (t *tally) now(d *Dispatcher) (n, errs float64) {
	f := math.Exp((t.at - d.now) / (flakyFor * max(d.s.ConnectTimeout, d.s.Step)))
	return t.n * f, t.errs * f
}

// lift takes an error back.
func (t *tally) lift(d *Dispatcher) {
	n, errs := t.now(d)
	t.n, t.errs, t.at = max(0, n-1), max(0, errs-1), d.now
}

func (t *tally) add(d *Dispatcher, erred bool) {
	t.n, t.errs = t.now(d)
	t.n++
	if t.at = d.now; erred {
		t.errs++
	}
}

// lostFor is the chance that a job errs at a worker, for one that is lost with it: others are tried again, and so it is
// they that show when a worker has mended. A worker can err for a part of its jobs, whichever they
// are, and serve the next: an error kept away its class alone, until the next success, so that each class in turn lost
// jobs there that can not be repeated, and lost them again. What other classes fared there counts until a class has
// fared often enough itself.
func (d *Dispatcher) lostFor(j *job, w *worker) float64 {
	all, errs := w.all.now(d)
	if errs < 0.01 || d.s.Classes[j.class].Effect != Unsafe || d.panicking || d.classes[j.class].failing {
		return 0
	}
	own, ownErrs := w.fails[j.class].all.now(d)
	return (ownErrs + flakyPrior*errs/(all+flakyPrior)) / (own + flakyPrior)
}

// tellsRoom says whether a report tells of free slots for a job, and of nothing that queues for them.
func (d *Dispatcher) tellsRoom(values []float32, slots float64) bool {
	room := false
	for i, v := range values {
		switch x := float64(v); {
		case i >= len(d.s.Fields):
		case d.s.Fields[i] == FieldFree:
			room = x > slots-0.25
		case d.s.Fields[i] == FieldPending && x >= 0.5:
			return false
		}
	}
	return room
}

// fails says whether a job's class failed at a worker lately, and not nearly everywhere.
func (d *Dispatcher) fails(j *job, w *worker) bool {
	return d.failing(w, j.class) && !d.classes[j.class].failing
}

// failing says whether a class failed at a worker lately, here or as other nodes found.
func (d *Dispatcher) failing(w *worker, class int) bool {
	return d.now < w.fails[class].until || d.marked(w, firstMark+class)
}

// sumFails finds the classes that fail at so many workers that it does not help to keep them away.
func (d *Dispatcher) sumFails() {
	for c := range d.classes {
		n := 0
		for _, w := range d.workers {
			if d.failing(w, c) {
				n++
			}
		}
		d.classes[c].failing = float64(n) > panicShare*float64(len(d.workers))
	}
}

// spread is a mean that forgets, and the scatter around it.
type spread struct{ mean, scatter float64 }

func (s *spread) add(x, pull float64) float64 {
	off := x - s.mean
	s.mean += off * pull
	s.scatter += (off*off - s.scatter) * pull
	return s.scatter
}

// learnAge learns how old reports are when they come. Reports can be delayed by far more than they usually are
// without any sign of it: all nodes then fill workers that were idle seconds ago and shun those that were full
// (iacbb5d). What a worker told to hold goes up and down with our own jobs there, as they were when the report
// was taken; so of some ages, the one at which held less our own scatters least is the age.
func (d *Dispatcher) learnAge(w *worker, held float64, inSlots bool) {
	d.ageCount++
	pull := max(1-ageKeep, 1/d.ageCount)
	least, best := math.Inf(1), 0
	plain := d.heldStat.add(held, pull) // what no jobs of ours explain
	for k := range d.ages {
		at, ours := d.now-d.period*ageShare*math.Pow(ageStep, float64(k-1)), 0.0
		add := func(slots float64) {
			if inSlots {
				ours += slots
			} else {
				ours++
			}
		}
		for _, j := range w.outs {
			for i := range j.attempts {
				if a := &j.attempts[i]; a.w == w && !a.resolved && a.sent <= at {
					add(j.slots)
				}
			}
		}
		for _, x := range w.ended {
			if x.sent <= at && x.at > at {
				add(x.slots)
			}
		}
		scatter := d.ages[k].add(held-ours, pull)
		// Beyond the oldest of our jobs that are remembered an age counts none of them, explains nothing, and still
		// beats the usual one where ours are few: reports were taken to be half a minute old on a day of drains.
		counts := d.heldStat.mean-d.ages[k].mean >= (d.heldStat.mean-d.ages[1].mean)/2
		if scatter < least && counts {
			least, best = scatter, k
		}
	}
	sure := ageSure
	if d.ageBest != 1 {
		sure = 1 // once believed, it holds until the usual one fits as well
	}
	if least > sure*d.ages[1].scatter || least > plain || d.ageCount < 1/(1-ageKeep) {
		best = 1
	}
	age := ageShare * d.period * math.Pow(ageStep, float64(best-1))
	if best != d.ageBest {
		d.log("reports are %.0f ms old when they come, was %.0f", age, d.age)
		d.ageBest = best
	}
	d.age = age
}
