package dispatch

const (
	// startNotificationGraceSteps is how many steps beyond the usual delay a start notification may take before a job
	// counts as queued.
	startNotificationGraceSteps = 4

	// serviceTimeDecay is the decay factor of the sums of observed work and time per run.
	serviceTimeDecay = 0.98

	// kindSpeedPrior is the weight of the kind's speed in the speed of an executor, in jobs.
	kindSpeedPrior = 6

	// runTimeWeight is the weight of one run in the means of run time and slot-time.
	runTimeWeight = 0.02

	// initialStartLagDivisor divides the connect timeout to give the initial estimate of a start notification's
	// delay.
	initialStartLagDivisor = 10

	// minRunMs is the minimum run time that is recorded.
	minRunMs = 0.1
)

// serviceTimes holds the estimates of the work of jobs and the speed of executors.
type serviceTimes struct {
	*environment

	classes      []classStats
	kinds        [machineKinds]observedWork
	allKinds     observedWork
	meanRun      float64 // mean run time, weighted by the slot-time: how long occupied slots stay occupied
	meanSlotTime float64 // mean of slots times run time
	startDelay   float64 // mean delay from a send to its start notification
	minStartLag  float64 // usual delay from a send to its start notification at an executor with free slots
	slotTime     slotTimeEstimate
}

func newServiceTimes(env *environment) serviceTimes {
	s := serviceTimes{environment: env, minStartLag: env.settings.ConnectTimeout / initialStartLagDivisor}
	s.classes = make([]classStats, len(env.settings.Classes))
	for i, class := range env.settings.Classes {
		s.meanRun += max(1, class.Objective) / float64(len(s.classes))
		s.meanSlotTime = s.meanRun
		s.classes[i] = newClassStats(class)
	}
	return s
}

// meanDeadline returns the mean of the classes' deadlines.
func (s *serviceTimes) meanDeadline() float64 {
	sum := 0.0
	for i := range s.settings.Classes {
		sum += s.settings.Classes[i].Deadline
	}
	return sum / float64(len(s.settings.Classes))
}

// classStats are the means of a class's requests.
type classStats struct{ work, slots float64 }

// newClassStats returns the estimates for a class without observed jobs. The latency objective is the best hint at
// the work of its jobs.
func newClassStats(c Class) classStats { return classStats{work: max(1, c.Objective), slots: 1} }

// observedWork is the completed work and the time that it took, both decaying.
type observedWork struct{ work, time float64 }

func (o *observedWork) add(work, time float64) {
	o.work, o.time = o.work*serviceTimeDecay+work, o.time*serviceTimeDecay+time
}

// startNotificationTimeout returns how long a start notification from an executor with free slots may take, including a
// grace period.
func (s *serviceTimes) startNotificationTimeout() float64 {
	return 2*s.minStartLag + startNotificationGraceSteps*s.settings.MinStepInterval
}

// observeStartLag records the delay from a send to its start notification. Delays above the minimum have little
// weight in it, because they include queueing.
func (s *serviceTimes) observeStartLag(lag float64) {
	s.startDelay += (lag - s.startDelay) * startDelayWeight
	if lag < s.minStartLag {
		s.minStartLag = lag
		return
	}
	s.minStartLag += (min(lag, maxStartLagFactor*s.minStartLag) - s.minStartLag) * startLagWeight
}

// learn records a served attempt at an executor that is not warming up.
func (s *serviceTimes) learn(job *job, attempt *attempt) {
	from := attempt.startedAt
	if from == 0 {
		if s.settings.StartNotifications || !attempt.hadFreeSlots {
			return // the wait is indistinguishable from the run
		}
		from = attempt.sentAt
	}
	run := max(s.now-from, minRunMs)
	s.meanSlotTime += (job.slots*run - s.meanSlotTime) * runTimeWeight
	s.meanRun += (job.slots*run*run/max(s.meanSlotTime, 1) - s.meanRun) * runTimeWeight
	stats := &s.classes[job.class]
	if job.work == stats.work { // without a hint, the work is the mean of the class
		stats.work += (run*s.meanSpeed() - stats.work) * classMeanWeight
	}
	s.add(attempt.executor, job.work, run)
}

// add records work that an executor completed in a time.
func (s *serviceTimes) add(executor *executor, work, time float64) {
	executor.serviceTime.add(work, time)
	s.kinds[executor.endpoint.kind].add(work, time)
	s.allKinds.add(work, time)
}

// meanSpeed returns the mean speed of all executors, in work per ms.
func (s *serviceTimes) meanSpeed() float64 {
	prior := s.classes[0].work
	return (s.allKinds.work + prior) / (s.allKinds.time + prior)
}

// kindSpeed returns the mean speed of the executors of a kind, weighted towards that of all while few runs were
// observed.
func (s *serviceTimes) kindSpeed(kind int) float64 {
	stats, prior := &s.kinds[kind], s.classes[0].work
	return (stats.work + prior*s.meanSpeed()) / (stats.time + prior)
}

// hasFewRuns reports whether the observed runs of an executor have less weight than the speed of its kind.
func (s *serviceTimes) hasFewRuns(executor *executor) bool {
	return executor.serviceTime.time*s.meanSpeed() < kindSpeedPrior*s.classes[0].work
}

// executorSpeed returns an executor's own speed, weighted towards that of its kind while few runs were observed. It
// is lower while the executor is warming up, unless the jobs there are few enough for its current capacity.
func (d *Dispatcher) executorSpeed(executor *executor) float64 {
	prior := kindSpeedPrior * d.serviceTimes.classes[0].work
	observed := &executor.serviceTime
	kindSpeed := d.serviceTimes.kindSpeed(executor.endpoint.kind)
	speed := (observed.work + prior*kindSpeed) / (observed.time + prior)
	fraction := d.slowStart.capacityFraction(executor)
	if fraction < 1 && d.peerLoadsKnown() {
		slots := max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
		fraction = min(1, fraction*slots/(executor.inFlight.slots+d.peerSlotsAt(executor)+1))
	}
	return speed * fraction
}
