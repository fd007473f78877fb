package dispatch

const (
	// startNoteGraceSteps is how many steps a start note may take beyond the usual time until a job counts as queued.
	startNoteGraceSteps = 4

	// serviceTimeMemory is the memory of the averages of work and time.
	serviceTimeMemory = 0.98

	// kindSpeedPrior is how many jobs' worth of its kind's speed are mixed into an executor's own.
	kindSpeedPrior = 6

	// runWeight is the weight of one run in the means of run time and slot time.
	runWeight = 0.02

	// startLagPart is the part of the connect timeout that a start note is taken to need until some are seen.
	startLagPart = 10

	// minRunMs is the least time that a run counts for.
	minRunMs = 0.1
)

// serviceTimes is what is learned of how much work jobs are and how fast executors do it.
type serviceTimes struct {
	*environment

	classes      []classStats
	kinds        [machineKinds]observedWork
	allKinds     observedWork
	meanRun      float64 // mean run time, weighted by the slot-time held: how long what is held stays so
	meanSlotTime float64 // mean of slots times run time
	startDelay   float64 // mean time from a send to its start note
	minStartLag  float64 // usual time from a send to its start note where there were free slots
	slotTime     slotTimeEstimate
}

func newServiceTimes(env *environment) serviceTimes {
	s := serviceTimes{environment: env, minStartLag: env.settings.ConnectTimeout / startLagPart}
	s.classes = make([]classStats, len(env.settings.Classes))
	for i, class := range env.settings.Classes {
		s.meanRun += max(1, class.Objective) / float64(len(s.classes))
		s.meanSlotTime = s.meanRun
		s.classes[i] = newClassStats(class)
	}
	return s
}

// meanDeadline is the mean of the classes' deadlines.
func (s *serviceTimes) meanDeadline() float64 {
	sum := 0.0
	for i := range s.settings.Classes {
		sum += s.settings.Classes[i].Deadline
	}
	return sum / float64(len(s.settings.Classes))
}

// classStats are the means of a class's requests.
type classStats struct{ work, slots float64 }

// newClassStats is what is held of a class before its jobs are seen: an objective is the best hint at the work that
// it was set for.
func newClassStats(c Class) classStats { return classStats{work: max(1, c.Objective), slots: 1} }

// observedWork is work that was done and the time that it took, both fading.
type observedWork struct{ work, time float64 }

func (o *observedWork) add(work, time float64) {
	o.work, o.time = o.work*serviceTimeMemory+work, o.time*serviceTimeMemory+time
}

// startNoteTimeout is how long a start note takes from an executor with free slots, with some grace.
func (s *serviceTimes) startNoteTimeout() float64 {
	return 2*s.minStartLag + startNoteGraceSteps*s.settings.MinStepInterval
}

// observeStartLag takes in how long an executor needed to say that it started an attempt. Lags over the least count
// little, because they tell of a queue.
func (s *serviceTimes) observeStartLag(lag float64) {
	s.startDelay += (lag - s.startDelay) * startDelayWeight
	if lag < s.minStartLag {
		s.minStartLag = lag
		return
	}
	s.minStartLag += (min(lag, maxStartLagFactor*s.minStartLag) - s.minStartLag) * startLagWeight
}

// learn takes in a served attempt at an executor that is not warming up.
func (s *serviceTimes) learn(job *job, attempt *attempt) {
	from := attempt.startedAt
	if from == 0 {
		if s.settings.StartNotifications || !attempt.hadFreeSlots {
			return // the wait cannot be told from the run
		}
		from = attempt.sentAt
	}
	run := max(s.now-from, minRunMs)
	s.meanSlotTime += (job.slots*run - s.meanSlotTime) * runWeight
	s.meanRun += (job.slots*run*run/max(s.meanSlotTime, 1) - s.meanRun) * runWeight
	stats := &s.classes[job.class]
	if job.work == stats.work { // there was no hint: the class's mean stands for the work
		stats.work += (run*s.meanSpeed() - stats.work) * classMeanWeight
	}
	s.add(attempt.executor, job.work, run)
}

// add takes in that an executor did some work in some time.
func (s *serviceTimes) add(executor *executor, work, time float64) {
	executor.serviceTime.add(work, time)
	s.kinds[executor.endpoint.kind].add(work, time)
	s.allKinds.add(work, time)
}

// meanSpeed is the mean of all executors, in work for each ms.
func (s *serviceTimes) meanSpeed() float64 {
	prior := s.classes[0].work
	return (s.allKinds.work + prior) / (s.allKinds.time + prior)
}

// kindSpeed is the mean of the executors of a kind, drawn to that of all while little is known.
func (s *serviceTimes) kindSpeed(kind int) float64 {
	stats, prior := &s.kinds[kind], s.classes[0].work
	return (stats.work + prior*s.meanSpeed()) / (stats.time + prior)
}

// hasFewRuns says that fewer runs of an executor were seen than its kind's speed counts for.
func (s *serviceTimes) hasFewRuns(executor *executor) bool {
	return executor.serviceTime.time*s.meanSpeed() < kindSpeedPrior*s.classes[0].work
}

// executorSpeed is an executor's own speed, drawn to its kind's while little is known, and less while it warms up: it
// then has a part of its capacity, which few jobs do not use up.
func (d *Dispatcher) executorSpeed(executor *executor) float64 {
	prior := kindSpeedPrior * d.serviceTimes.classes[0].work
	observed := &executor.serviceTime
	kindSpeed := d.serviceTimes.kindSpeed(executor.endpoint.kind)
	speed := (observed.work + prior*kindSpeed) / (observed.time + prior)
	share := d.slowStart.capacityFraction(executor)
	if share < 1 && d.peerLoadsKnown() {
		slots := max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])
		share = min(1, share*slots/(executor.inFlight.slots+d.peerSlotsAt(executor)+1))
	}
	return speed * share
}
