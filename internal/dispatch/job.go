package dispatch

import (
	"math"
	"slices"
)

const (
	// unhintedWorkFactor times the mean work of its class is the likely work of a request without a hint: the median of a
	// heavy-tailed distribution lies below its mean. With WeightByWork the inverse of the factor is used.
	unhintedWorkFactor = 0.5

	// classMeanWeight is the weight of one request in the moving averages of its class. A larger weight follows changes
	// sooner and is noisier.
	classMeanWeight = 0.02

	// maxRequirement is the exclusive upper bound of the slots and of the memory units that a request may ask for.
	maxRequirement = 1e6
)

// job is a request that awaits a response of this node or has attempts in flight.
type job struct {
	id          uint32
	class       int
	tenant      int
	key         uint64
	slots       float64
	memory      float64
	work        float64 // ms on an executor of speed 1
	arrivedAt   float64
	maxAttempts int     // from the settings under which it was accepted
	objectiveAt float64 // end of the latency objective: a response until then earns the full priority weight
	deadline    float64
	value       float64 // priority weight per ms of work
	attempts    []attempt
	inFlight    int  // number of attempts in flight
	admitted    bool // its slots count in the reservedSlots of its tenant
	overQuota   bool // it exceeds its tenant's quota
	borrowed    bool // it was admitted beyond its tenant's reserved share
	queued      bool
	done        bool // a response was sent, or the client left

	// Whether, where and since when it may have run: set and read only by the rules in retry.go.
	mayHaveRun bool
	ranOn      *executor
	ranSince   float64

	rank               float64     // position in the queue, lowest first
	holdUntil          float64     // the latest time until which it waits for the results of its health checks
	candidates         []*executor // executors that likely have the data of its key cached; the last is the fallback
	candidatesRevision int         // revision of the endpoint list that the candidates were chosen from
	zonePrices         []float64   // the request's own prices per zone, if any
}

// attempt is one send of a job to an executor.
type attempt struct {
	executor           *executor
	sentAt             float64
	startedAt          float64 // when the executor notified the start, 0 before
	lastNotificationAt float64 // time of the last notification about it, initially sentAt
	hadFreeSlots       bool    // the executor had enough free slots for it when it was sent
	fetchesKey         bool    // the executor likely had to fetch the data of the job's key
	openedConnection   bool    // it was sent on a new connection
	resolved           bool    // its outcome has arrived
	runObserved        bool    // its run counts in the slot-time estimate
	writtenOff         bool    // it no longer counts as holding slots: it is overdue or its executor is unresponsive
	errored            bool    // it ended in an error
	ackOverdue         bool    // its executor did not acknowledge the job within the usual time
}

// erroredAttempts returns the number of attempts that ended in an error.
func (j *job) erroredAttempts() (n int) {
	for i := range j.attempts {
		if j.attempts[i].errored {
			n++
		}
	}
	return n
}

// jobTable holds the open jobs of this node.
type jobTable struct {
	byID    map[uint32]*job
	pool    []*job // ended jobs whose memory is reused
	arrived []*job // awaiting the admission decision
	queue   []*job // waiting for an executor
}

// create returns an empty job, reusing the memory of an ended one if possible.
func (t *jobTable) create() *job {
	n := len(t.pool)
	if n == 0 {
		return &job{}
	}
	reused := t.pool[n-1]
	t.pool = t.pool[:n-1]
	*reused = job{attempts: reused.attempts[:0], candidates: reused.candidates[:0]}
	return reused
}

// release removes a job from the table if it is done, is not queued and has no attempt in flight.
func (t *jobTable) release(job *job) {
	if !job.done || job.inFlight > 0 || job.queued || t.byID[job.id] != job {
		return
	}
	delete(t.byID, job.id)
	if !slices.Contains(t.arrived, job) {
		t.pool = append(t.pool, job)
	}
}

// requirements returns the slots, the memory and the time left of a request. Invalid numbers count as the minimum.
func (e *Event) requirements() (slots, memory, timeLeft float64) {
	slots = 1
	if e.Slots > 0 && e.Slots < maxRequirement {
		slots = e.Slots
	}
	if e.Memory > 0 && e.Memory < maxRequirement {
		memory = e.Memory
	}
	if e.TimeLeft >= 0 {
		timeLeft = e.TimeLeft
	}
	return slots, memory, timeLeft
}

func (d *Dispatcher) handleRequest(event *Event) {
	if d.jobs.byID[event.Job] != nil {
		return
	}
	repeated := event.Flags&FlagRetry != 0
	job := d.jobs.create()
	job.id, job.key, job.arrivedAt, job.maxAttempts = event.Job, event.Key, d.now, d.settings.MaxAttempts
	if event.MaxAttempts > 0 {
		job.maxAttempts = int(event.MaxAttempts)
	}
	job.class = min(int(event.Class), len(d.settings.Classes)-1)
	job.tenant = min(int(event.Tenant), len(d.admission.tenants)-1)
	job.zonePrices = event.ZonePrices
	if event.Earlier != nil {
		d.recordEarlierAttempt(job, event.Earlier)
	}
	d.setWorkAndTimes(job, event)
	d.jobs.byID[job.id] = job
	job.overQuota = d.admission.isOverQuota(job, repeated)
	d.setValue(job)
	d.jobs.arrived = append(d.jobs.arrived, job)
	d.affinity.countKey(job.key)
	d.admission.countArrival(repeated)
}

// setWorkAndTimes sets a job's requirements, its work, its deadline and the end of its latency objective.
func (d *Dispatcher) setWorkAndTimes(job *job, event *Event) {
	class, stats := &d.settings.Classes[job.class], &d.serviceTimes.classes[job.class]
	slots, memory, timeLeft := event.requirements()
	job.slots, job.memory = slots, memory
	likely := event.Work
	if event.Flags&FlagWorkHint != 0 && event.Work > 0 && !math.IsInf(event.Work, 0) {
		job.work = event.Work
		stats.work += (job.work - stats.work) * classMeanWeight
	} else {
		// Work is heavy-tailed: most jobs are shorter than the mean, and the objective of a short job ends earlier. With
		// WeightByWork, jobs that are longer than the mean carry most of the weight, and their objective ends later.
		job.work, likely = stats.work, unhintedWorkFactor*stats.work
		if d.settings.WeightByWork {
			likely = stats.work / unhintedWorkFactor
		}
	}
	d.capacity.widestRequest = max(d.capacity.widestRequest, job.slots)
	stats.slots += (job.slots - stats.slots) * classMeanWeight
	job.deadline = d.now + timeLeft
	age := 0.0
	if event.Flags&FlagRetry != 0 { // the objective counts from the client's first attempt
		age = max(0, class.Deadline-timeLeft)
	}
	objective := d.now - age + class.Objective + class.ObjectivePerWork*likely
	objective += (job.work - likely) / d.serviceTimes.meanSpeed()
	job.objectiveAt = min(objective, job.deadline)
}

// setValue sets a job's priority weight per ms of work, by which admission and preemption compare jobs.
func (d *Dispatcher) setValue(job *job) {
	job.value = d.settings.Classes[job.class].PriorityWeight // per ms of work
	if !d.settings.WeightByWork {
		job.value /= job.work
	}
	if job.overQuota {
		// A node estimates only roughly which requests exceed a quota: the estimate counts as right half of the time.
		job.value *= (1 + d.settings.OverQuotaWeight) / 2
	}
	d.admission.meanValue += (job.value - d.admission.meanValue) * classMeanWeight
}

// finishJob marks a job as done, releases its reserved slots once and cancels its attempts in flight.
func (d *Dispatcher) finishJob(job *job) {
	if job.done {
		return
	}
	job.done = true
	if job.admitted {
		job.admitted = false
		tenant := &d.admission.tenants[job.tenant]
		tenant.reservedSlots = max(0, tenant.reservedSlots-job.slots)
	}
	for i := range job.attempts {
		if !job.attempts[i].resolved && d.settings.CancelAllowed {
			d.act(Action{Kind: ActCancel, Job: job.id, Attempt: uint16(i)})
		}
	}
	d.needsPlacement = true
	d.jobs.release(job)
}
