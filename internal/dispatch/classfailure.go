package dispatch

import "math"

const (
	classQuarantineFactor = 16 // likewise for a class that fails at a worker: a trial may lose a job for good
	errorPrior            = 2  // jobs' worth of all classes' errors mixed into one class's
	errorWindowFactor     = 40 // connect time-outs in which errors fade: shorter tries a bad one sooner
)

// fared takes in how a job of a class ended at a worker. A worker can fail one class at once and serve another well,
// so that its errors do not add up to an ejection while it looks roomy and draws more; or turn one class away while it
// tells of free slots. So classes are told apart. One 'full' beside free slots can come of a late report.
// A job that errs at a second worker too may be one that errs wherever it goes: then the first is not to blame either,
// or one bad request that may be tried six times puts its class out at six workers. It was theirs if a third serves it.
func (d *Dispatcher) learnClassOutcome(job *job, executor *executor, event *Event) {
	f, attempt, erred := &executor.failures.byClass[job.class], &job.attempts[event.Attempt], 0
	for i := range job.attempts {
		if job.attempts[i].errored {
			erred++
		}
	}
	switch {
	case event.Outcome == Served:
		f.errors.add(d, false)
		executor.failures.all.add(d, false)
		if attempt.sentAt >= f.failedAt { // else it shows nothing of what came since
			f.consecutive, f.awayUntil = 0, 0
		}
		for i := range job.attempts {
			if erred > 1 && job.attempts[i].errored {
				d.blameClass(job.attempts[i].executor, job.class, Errored)
			}
		}
	case event.Outcome == Errored:
		attempt.errored = true
		if erred == 0 {
			d.blameClass(executor, job.class, Errored)
		} else if erred == 1 {
			for i := range job.attempts {
				if x := &job.attempts[i]; x.errored && x != attempt {
					x.executor.failures.byClass[job.class].takeBack(d)
					x.executor.failures.all.takeBack(d)
				}
			}
		}
	case event.Outcome == Full && d.reportsFreeSlots(event.Report, job.slots):
		d.blameClass(executor, job.class, Full)
	}
}

// lift takes one error back.
func (f *classFailures) takeBack(d *Dispatcher) {
	f.errors.takeBack(d)
	if f.consecutive = max(0, f.consecutive-1); f.consecutive == 0 {
		f.awayUntil = 0
	}
}

// blame holds a job's end against a worker, for its class.
func (d *Dispatcher) blameClass(executor *executor, class int, o Outcome) {
	f := &executor.failures.byClass[class]
	if o == Errored {
		f.errors.add(d, true)
		executor.failures.all.add(d, true)
	}
	if d.now < f.awayUntil {
		return // it was sent before the last one failed
	}
	f.consecutive++
	f.failedAt = d.now
	if o == Full && f.consecutive == 1 {
		return
	}
	base := classQuarantineFactor * max(d.settings.ConnectTimeout, d.settings.Step)
	f.awayUntil = d.now + base*float64(int(1)<<min(f.consecutive-1, maxBackoffDoublings))*(0.75+0.5*d.random())
	d.reportQuarantine(executor, firstClassQuarantine+class)
	d.logf("class %d fails at worker %d, kept away until %.0f", class, executor.id, f.awayUntil)
}

// tally counts jobs that ended and those of them that erred, and forgets.
type errorTally struct{ total, errors, updatedAt float64 }

// now is a tally as faded by now.
func (t *errorTally) faded(d *Dispatcher) (n, errs float64) {
	f := math.Exp((t.updatedAt - d.now) / (errorWindowFactor * max(d.settings.ConnectTimeout, d.settings.Step)))
	return t.total * f, t.errors * f
}

// lift takes an error back.
func (t *errorTally) takeBack(d *Dispatcher) {
	n, errs := t.faded(d)
	t.total, t.errors, t.updatedAt = max(0, n-1), max(0, errs-1), d.now
}

// lostFor is the chance that a job errs at a worker, for one that is lost with it: others are tried again, and so it is
// they that show when a worker has mended. A worker can err for a part of its jobs, whichever they
// are, and serve the next: an error kept away its class alone, until the next success, so that each class in turn lost
// jobs there that can not be repeated, and lost them again. What other classes fared there counts until a class has
// fared often enough itself.
func (d *Dispatcher) errorProbability(job *job, executor *executor) float64 {
	all, errs := executor.failures.all.faded(d)
	if errs < 0.01 || d.settings.Classes[job.class].Effect != Unsafe || d.outliers.panicking || d.outliers.failingClasses[job.class] {
		return 0
	}
	own, ownErrs := executor.failures.byClass[job.class].errors.faded(d)
	return (ownErrs + errorPrior*errs/(all+errorPrior)) / (own + errorPrior)
}

// fails says whether a job's class failed at a worker lately, and not nearly everywhere.
func (d *Dispatcher) classFailsAt(job *job, executor *executor) bool {
	return d.isClassAway(executor, job.class) && !d.outliers.failingClasses[job.class]
}

// failing says whether a class failed at a worker lately, here or as other nodes found.
func (d *Dispatcher) isClassAway(executor *executor, class int) bool {
	return d.now < executor.failures.byClass[class].awayUntil || d.isQuarantined(executor, firstClassQuarantine+class)
}

// sumFails finds the classes that fail at so many workers that it does not help to keep them away.
func (d *Dispatcher) findFailingClasses() {
	for c := range d.serviceTimes.classes {
		n := 0
		for _, executor := range d.endpoints.listed {
			if d.isClassAway(executor, c) {
				n++
			}
		}
		d.outliers.failingClasses[c] = float64(n) > panicThreshold*float64(len(d.endpoints.listed))
	}
}

// failing is how a class fares at a worker.
type classFailures struct {
	consecutive int     // failures running
	awayUntil   float64 // nothing of the class goes there before
	failedAt    float64 // when it failed last
	errors      errorTally
}

func (t *errorTally) add(d *Dispatcher, erred bool) {
	t.total, t.errors = t.faded(d)
	t.total++
	if t.updatedAt = d.now; erred {
		t.errors++
	}
}

// failureState is how jobs fare at an executor.
type failureState struct {
	byClass []classFailures
	all     errorTally // of all classes
}

// resetClass forgets how a class fared, and makes place for one more if it is new.
func (f *failureState) resetClass(class int) {
	if class < len(f.byClass) {
		f.byClass[class] = classFailures{}
		return
	}
	f.byClass = append(f.byClass, classFailures{})
}
