package dispatch

import "math"

// Failures of a class at an executor are distinguished from failures of the executor as a whole. An executor can
// fail one class immediately and serve another: its errors then do not lead to an ejection, while it appears to
// have free slots and attracts more jobs. It can also reject one class while it reports free slots for all.

const (
	// classQuarantineFactor is the duration of the first quarantine of a class at an executor, in connect timeouts.
	// It doubles with each further failure. It is long because a trial may lose a job.
	classQuarantineFactor = 16

	// errorPrior is the weight of the error rate of all classes in that of one class, in jobs. With a larger
	// weight, errors of other classes at an executor count for longer.
	errorPrior = 2

	// errorWindowFactor is the time constant of the decay of errors, in connect timeouts. With a shorter one, a
	// failing executor is tried again sooner.
	errorWindowFactor = 40

	// minErrors is the decayed number of errors below which an executor counts as error-free.
	minErrors = 0.01
)

// failureState counts the failures of jobs at an executor.
type failureState struct {
	byClass []classFailures
	all     errorCounts // over all classes
}

// classFailures counts the failures of one class at an executor.
type classFailures struct {
	consecutive      int     // failures since the last served job
	quarantinedUntil float64 // no job of the class is sent there before
	lastFailureAt    float64 // time of the last failure
	errors           errorCounts
}

// resetClass clears the failures of a class, or adds a new class.
func (f *failureState) resetClass(class int) {
	if class < len(f.byClass) {
		f.byClass[class] = classFailures{}
		return
	}
	f.byClass = append(f.byClass, classFailures{})
}

// retract withdraws one error of a class, which was not the executor's fault.
func (f *failureState) retract(env *environment, class int) {
	failures := &f.byClass[class]
	failures.errors.retract(env)
	failures.consecutive = max(0, failures.consecutive-1)
	if failures.consecutive == 0 {
		failures.quarantinedUntil = 0
	}
	f.all.retract(env)
}

// add counts a job of a class that has ended.
func (f *failureState) add(env *environment, class int, errored bool) {
	f.byClass[class].errors.add(env, errored)
	f.all.add(env, errored)
}

// errorCounts counts the jobs that ended, and those that ended with an error. Both counts decay.
type errorCounts struct{ total, errors, updatedAt float64 }

// decayed returns the counts as of now.
func (t *errorCounts) decayed(env *environment) (total, errors float64) {
	window := errorWindowFactor * max(env.settings.ConnectTimeout, env.settings.MinStepInterval)
	decay := math.Exp((t.updatedAt - env.now) / window)
	return t.total * decay, t.errors * decay
}

func (t *errorCounts) retract(env *environment) {
	total, errors := t.decayed(env)
	t.total, t.errors, t.updatedAt = max(0, total-1), max(0, errors-1), env.now
}

func (t *errorCounts) add(env *environment, errored bool) {
	t.total, t.errors = t.decayed(env)
	t.updatedAt = env.now
	t.total++
	if errored {
		t.errors++
	}
}

// observeClassOutcome records how a job of a class ended at an executor. A single Full outcome despite free slots
// can be caused by an outdated load report, and does not quarantine the class. A job that fails at a second
// executor may fail wherever it is sent, so the first executor is cleared of its error as well: otherwise one bad
// request with six attempts would quarantine its class at six executors. If a third executor serves the job, the
// errors are attributed to the executors where it failed.
func (d *Dispatcher) observeClassOutcome(job *job, executor *executor, event *Event) {
	attempt := &job.attempts[event.Attempt]
	switch {
	case event.Outcome == Served:
		d.observeClassServed(job, executor, attempt)
	case event.Outcome == Errored:
		d.observeClassError(job, executor, attempt)
	case event.Outcome == Full && d.reports.hasFreeSlots(event.Report, job.slots):
		d.recordClassFailure(executor, job.class, Full)
	}
}

func (d *Dispatcher) observeClassServed(job *job, executor *executor, attempt *attempt) {
	executor.failures.add(d.environment, job.class, false)
	failures := &executor.failures.byClass[job.class]
	if attempt.sentAt >= failures.lastFailureAt { // an earlier attempt says nothing about later failures
		failures.consecutive, failures.quarantinedUntil = 0, 0
	}
	if job.erroredAttempts() <= 1 {
		return
	}
	for i := range job.attempts {
		if job.attempts[i].errored {
			d.recordClassFailure(job.attempts[i].executor, job.class, Errored)
		}
	}
}

func (d *Dispatcher) observeClassError(job *job, executor *executor, attempt *attempt) {
	earlier := job.erroredAttempts()
	attempt.errored = true
	switch earlier {
	case 0:
		d.recordClassFailure(executor, job.class, Errored)
	case 1:
		for i := range job.attempts {
			if first := &job.attempts[i]; first.errored && first != attempt {
				first.executor.failures.retract(d.environment, job.class)
			}
		}
	}
}

// recordClassFailure attributes a failure to an executor, for the class of the job alone.
func (d *Dispatcher) recordClassFailure(executor *executor, class int, o Outcome) {
	failures := &executor.failures.byClass[class]
	if o == Errored {
		executor.failures.add(d.environment, class, true)
	}
	if d.now < failures.quarantinedUntil {
		return // the job was sent before the previous failure
	}
	failures.consecutive++
	failures.lastFailureAt = d.now
	if o == Full && failures.consecutive == 1 {
		return
	}
	base := classQuarantineFactor * max(d.settings.ConnectTimeout, d.settings.MinStepInterval)
	failures.quarantinedUntil = d.now +
		base*backoffFactor(failures.consecutive-1, maxBackoffDoublings)*(0.75+0.5*d.random())
	d.reportQuarantine(executor, d.settings.classQuarantine(class))
	d.logf("class quarantined executor=%d class=%d until=%.0f", executor.id, class, failures.quarantinedUntil)
}

// errorProbability returns the probability that a job fails at an executor, and 0 for a job that can be retried:
// retried jobs show when an executor has recovered. An executor can fail a fraction of its jobs regardless of their
// class. An error then quarantines only its own class until the next success, and each class in turn would lose
// jobs there that must not be retried. The error rate of all classes is therefore used until a class has enough
// outcomes of its own.
func (d *Dispatcher) errorProbability(job *job, executor *executor) float64 {
	all, errors := executor.failures.all.decayed(d.environment)
	lostOnError := d.settings.Classes[job.class].RetrySafety == AtMostOnce
	if errors < minErrors || !lostOnError || d.outliers.panicking || d.outliers.failingClasses[job.class] {
		return 0
	}
	own, ownErrors := executor.failures.byClass[job.class].errors.decayed(d.environment)
	return (ownErrors + errorPrior*errors/(all+errorPrior)) / (own + errorPrior)
}

// excludesClass reports whether a job's class is quarantined at an executor, unless it is failing at
// most executors.
func (d *Dispatcher) excludesClass(job *job, executor *executor) bool {
	return d.isClassQuarantined(executor, job.class) && !d.outliers.failingClasses[job.class]
}

// isClassQuarantined reports whether a class is quarantined at an executor, by this node or by another one.
func (d *Dispatcher) isClassQuarantined(executor *executor, class int) bool {
	return d.now < executor.failures.byClass[class].quarantinedUntil ||
		d.isQuarantined(executor, d.settings.classQuarantine(class))
}

// findFailingClasses finds the classes that fail at so many executors that a quarantine does not help.
func (d *Dispatcher) findFailingClasses() {
	for class := range d.serviceTimes.classes {
		quarantined := 0
		for _, executor := range d.endpoints.listed {
			if d.isClassQuarantined(executor, class) {
				quarantined++
			}
		}
		d.outliers.failingClasses[class] = float64(quarantined) > panicThreshold*float64(len(d.endpoints.listed))
	}
}
