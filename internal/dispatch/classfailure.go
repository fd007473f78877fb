package dispatch

import "math"

// Class failures are told apart from failures of an executor as a whole. An executor can fail one class at once and
// serve another well: its errors then do not add up to an ejection, while it seems to have free slots and attracts
// more. It can also reject one class while it reports free slots for all.

const (
	// classQuarantineFactor is how long a class that failed at an executor is first kept away from it, in connect
	// timeouts; the time doubles with each further failure. It is long because a trial may lose a job for good.
	classQuarantineFactor = 16

	// errorPrior is how many jobs' worth of all classes' error rate is mixed into the rate of one class. More lets what
	// other classes met at an executor count for longer.
	errorPrior = 2

	// errorWindowFactor is the time constant with which errors fade, in connect timeouts. A shorter one tries a failing
	// executor sooner.
	errorWindowFactor = 40

	// minErrors is the number of faded errors under which an executor counts as one without errors.
	minErrors = 0.01
)

// failureState is how jobs fare at an executor.
type failureState struct {
	byClass []classFailures
	all     errorTally // of all classes
}

// classFailures is how one class fares at an executor.
type classFailures struct {
	consecutive      int     // failures in a row
	quarantinedUntil float64 // no job of the class goes there before
	failedAt         float64 // when it failed last
	errors           errorTally
}

// resetClass forgets how a class fared, and makes place for one more if it is new.
func (f *failureState) resetClass(class int) {
	if class < len(f.byClass) {
		f.byClass[class] = classFailures{}
		return
	}
	f.byClass = append(f.byClass, classFailures{})
}

// takeBack withdraws one error of a class, which was not the executor's.
func (f *failureState) takeBack(env *environment, class int) {
	failures := &f.byClass[class]
	failures.errors.takeBack(env)
	failures.consecutive = max(0, failures.consecutive-1)
	if failures.consecutive == 0 {
		failures.quarantinedUntil = 0
	}
	f.all.takeBack(env)
}

// add counts an ended job of a class.
func (f *failureState) add(env *environment, class int, errored bool) {
	f.byClass[class].errors.add(env, errored)
	f.all.add(env, errored)
}

// errorTally counts jobs that ended, and those of them that ended in an error. Both counts fade.
type errorTally struct{ total, errors, updatedAt float64 }

// faded gives the counts as of now.
func (t *errorTally) faded(env *environment) (total, errors float64) {
	window := errorWindowFactor * max(env.settings.ConnectTimeout, env.settings.MinStepInterval)
	keep := math.Exp((t.updatedAt - env.now) / window)
	return t.total * keep, t.errors * keep
}

func (t *errorTally) takeBack(env *environment) {
	total, errors := t.faded(env)
	t.total, t.errors, t.updatedAt = max(0, total-1), max(0, errors-1), env.now
}

func (t *errorTally) add(env *environment, errored bool) {
	t.total, t.errors = t.faded(env)
	t.updatedAt = env.now
	t.total++
	if errored {
		t.errors++
	}
}

// observeClassOutcome takes in how a job of a class ended at an executor. A single Full outcome beside free slots can
// come of a late load report and is not held against the class. A job that errs at a second executor may be one that
// errs wherever it goes, so that the first is not to blame either: one bad request that may be attempted six times
// would put its class out at six executors. Once a third executor serves the job, the errors were the executors' own.
func (d *Dispatcher) observeClassOutcome(job *job, executor *executor, event *Event) {
	attempt := &job.attempts[event.Attempt]
	switch {
	case event.Outcome == Served:
		d.learnServed(job, executor, attempt)
	case event.Outcome == Errored:
		d.learnErrored(job, executor, attempt)
	case event.Outcome == Full && d.reports.hasFreeSlots(event.Report, job.slots):
		d.blameClass(executor, job.class, Full)
	}
}

func (d *Dispatcher) learnServed(job *job, executor *executor, attempt *attempt) {
	executor.failures.add(d.environment, job.class, false)
	failures := &executor.failures.byClass[job.class]
	if attempt.sentAt >= failures.failedAt { // an earlier attempt shows nothing of what came since
		failures.consecutive, failures.quarantinedUntil = 0, 0
	}
	if job.erroredAttempts() <= 1 {
		return
	}
	for i := range job.attempts {
		if job.attempts[i].errored {
			d.blameClass(job.attempts[i].executor, job.class, Errored)
		}
	}
}

func (d *Dispatcher) learnErrored(job *job, executor *executor, attempt *attempt) {
	earlier := job.erroredAttempts()
	attempt.errored = true
	switch earlier {
	case 0:
		d.blameClass(executor, job.class, Errored)
	case 1:
		for i := range job.attempts {
			if first := &job.attempts[i]; first.errored && first != attempt {
				first.executor.failures.takeBack(d.environment, job.class)
			}
		}
	}
}

// blameClass holds a job's end against an executor, for its class alone.
func (d *Dispatcher) blameClass(executor *executor, class int, o Outcome) {
	failures := &executor.failures.byClass[class]
	if o == Errored {
		executor.failures.add(d.environment, class, true)
	}
	if d.now < failures.quarantinedUntil {
		return // it was sent before the last one failed
	}
	failures.consecutive++
	failures.failedAt = d.now
	if o == Full && failures.consecutive == 1 {
		return
	}
	base := classQuarantineFactor * max(d.settings.ConnectTimeout, d.settings.MinStepInterval)
	failures.quarantinedUntil = d.now + base*backoffFactor(failures.consecutive-1, maxBackoffDoublings)*(0.75+0.5*d.random())
	d.reportQuarantine(executor, firstClassQuarantine+class)
	d.logf("class kept away executor=%d class=%d until=%.0f", executor.id, class, failures.quarantinedUntil)
}

// errorProbability is the chance that a job errs at an executor, for a job that is lost with it; others are attempted
// again, and it is they that show when an executor works again. An executor can err for a part of its jobs, whichever
// they are, and serve the next. An error would then keep its class alone away, until the next success, and each class
// in turn would lose jobs there that must not be retried. What other classes met there counts until a class has fared
// often enough itself.
func (d *Dispatcher) errorProbability(job *job, executor *executor) float64 {
	all, errors := executor.failures.all.faded(d.environment)
	lostWithAnError := d.settings.Classes[job.class].RetrySafety == AtMostOnce
	if errors < minErrors || !lostWithAnError || d.outliers.panicking || d.outliers.failingClasses[job.class] {
		return 0
	}
	own, ownErrors := executor.failures.byClass[job.class].errors.faded(d.environment)
	return (ownErrors + errorPrior*errors/(all+errorPrior)) / (own + errorPrior)
}

// excludesClass says whether a job's class failed at an executor lately, and not nearly everywhere.
func (d *Dispatcher) excludesClass(job *job, executor *executor) bool {
	return d.isClassQuarantined(executor, job.class) && !d.outliers.failingClasses[job.class]
}

// isClassQuarantined says whether a class failed at an executor lately, here or as other nodes found.
func (d *Dispatcher) isClassQuarantined(executor *executor, class int) bool {
	return d.now < executor.failures.byClass[class].quarantinedUntil || d.isQuarantined(executor, firstClassQuarantine+class)
}

// findFailingClasses finds the classes that fail at so many executors that it does not help to keep them away.
func (d *Dispatcher) findFailingClasses() {
	for class := range d.serviceTimes.classes {
		away := 0
		for _, executor := range d.endpoints.listed {
			if d.isClassQuarantined(executor, class) {
				away++
			}
		}
		d.outliers.failingClasses[class] = float64(away) > panicThreshold*float64(len(d.endpoints.listed))
	}
}
