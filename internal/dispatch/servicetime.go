package dispatch

const (
	startNoteGraceSteps = 4    // batches a start note may take beyond a connection until a job counts as queued
	serviceTimeMemory   = 0.98 // memory of the speed averages
	kindSpeedPrior      = 6    // jobs' worth of the kind's speed mixed into a worker's own
)

// startLag is how long a start note takes from a worker with room: learned, least lags seen.
func (d *Dispatcher) startNoteTimeout() float64 {
	return 2*d.serviceTimes.minStartLag + startNoteGraceSteps*d.settings.Step
}

// clock learns speed from a served attempt.
func (d *Dispatcher) learnServiceTime(job *job, attempt *attempt) {
	if d.slowStartShare(attempt.executor) < 1 {
		return
	}
	from := attempt.startedAt
	if from == 0 {
		if d.settings.TellsStart || !attempt.hadFreeSlots {
			return // the wait cannot be told from the run
		}
		from = attempt.sentAt
	}
	span := max(d.now-from, 0.1)
	d.serviceTimes.meanSlotTime += (job.slots*span - d.serviceTimes.meanSlotTime) * 0.02
	d.serviceTimes.meanRun += (job.slots*span*span/max(d.serviceTimes.meanSlotTime, 1) - d.serviceTimes.meanRun) * 0.02
	stats := &d.serviceTimes.classes[job.class]
	if job.work == stats.work { // no hint: the class's mean stands for the work
		stats.work += (span*d.meanSpeed() - stats.work) * 0.02
	}
	d.addServiceTime(attempt.executor, job.work, span)
}

// clocked takes in that a worker did some work in some time.
func (d *Dispatcher) addServiceTime(executor *executor, work, span float64) {
	kind := &d.serviceTimes.kinds[executor.endpoint.kind]
	executor.serviceTime.work, executor.serviceTime.time = executor.serviceTime.work*serviceTimeMemory+work, executor.serviceTime.time*serviceTimeMemory+span
	kind.work, kind.time = kind.work*serviceTimeMemory+work, kind.time*serviceTimeMemory+span
	d.serviceTimes.allKinds.work, d.serviceTimes.allKinds.time = d.serviceTimes.allKinds.work*serviceTimeMemory+work, d.serviceTimes.allKinds.time*serviceTimeMemory+span
}

func (d *Dispatcher) meanSpeed() float64 {
	mean := d.serviceTimes.classes[0].work
	return (d.serviceTimes.allKinds.work + mean) / (d.serviceTimes.allKinds.time + mean)
}

func (d *Dispatcher) kindSpeed(kind int) float64 {
	stats, mean := &d.serviceTimes.kinds[kind], d.serviceTimes.classes[0].work
	return (stats.work + mean*d.meanSpeed()) / (stats.time + mean)
}

// speed is a worker's own, drawn to its kind's while little is known, and less while it is cold: it then has a part
// of its capacity, which few jobs do not use up.
func (d *Dispatcher) executorSpeed(executor *executor) float64 {
	mean := kindSpeedPrior * d.serviceTimes.classes[0].work
	speed, cold := (executor.serviceTime.work+mean*d.kindSpeed(executor.endpoint.kind))/(executor.serviceTime.time+mean), d.slowStartShare(executor)
	if cold < 1 && d.peerLoadsKnown() {
		cold = min(1, cold*max(1, executor.load.slots, d.capacity.kindSlots[executor.endpoint.kind])/(executor.inFlight.slots+d.peerSlotsAt(executor)+1))
	}
	return speed * cold
}

// classStats are the means of a class's requests.
type classStats struct{ work, slots float64 }

// newClass is what is held of a class before its jobs are seen: an aim is the best hint at the work it was set for.
func newClassStats(c Class) classStats { return classStats{work: max(1, c.Aim), slots: 1} }

// observedWork is work that was done and the time that it took, both fading.
type observedWork struct{ work, time float64 }

// serviceTimes is what is learned of how much work jobs are and how fast executors do it.
type serviceTimes struct {
	classes      []classStats
	kinds        [machineKinds]observedWork
	allKinds     observedWork
	meanRun      float64 // mean run time, weighted by the slot-time held: how long what is held stays so
	meanSlotTime float64 // mean of slots times run time
	startDelay   float64 // mean time from a send to its start note
	minStartLag  float64 // usual time from a send to its start note where there were free slots
}
