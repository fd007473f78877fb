package dispatch

import (
	"math"
	"slices"
)

const (
	// unhintedWorkFactor is the part of its class's mean work that a request without a hint likely is: half of all jobs
	// stay under it. Where weights go by work, its inverse is used.
	unhintedWorkFactor = 0.5

	// classMeanWeight is the weight of one request in the means of its class. More follows a change sooner and errs more.
	classMeanWeight = 0.02

	// maxRequirement is the least number of slots or memory units that no request can ask for.
	maxRequirement = 1e6
)

// job is a request that this node owes an answer, or whose attempts are still in flight.
type job struct {
	id          uint32
	class       int
	tenant      int
	key         uint64
	slots       float64
	memory      float64
	work        float64 // ms on an executor of speed 1
	arrivedAt   float64
	maxAttempts int     // by the settings when it came
	objectiveAt float64 // it earns its full priority weight until then
	deadline    float64
	value       float64 // priority weight for each slot and time
	attempts    []attempt
	inFlight    int  // attempts
	admitted    bool // it holds reserved slots
	overQuota   bool // beyond its tenant's quota
	borrowed    bool // admitted from slots that no tenant has reserved
	queued      bool
	done        bool // answered, or the client left

	// What may have run: set in recordMayHaveRun, and read by the rules of retry.go alone.
	mayHaveRun bool
	ranOn      *executor
	ranSince   float64

	rank               float64     // in the queue, the lowest first
	holdUntil          float64     // it waits for answers to its health checks, at most until then
	candidates         []*executor // that likely have its key's data cached, the last to fall back on
	candidatesRevision int         // of the endpoint list that they were drawn from
	zonePrices         []float64   // where the request has prices of its own
}

// attempt is one send of a job.
type attempt struct {
	executor           *executor
	sentAt             float64
	startedAt          float64 // 0 while the executor has not said so
	lastNotificationAt float64 // of the last note
	hadFreeSlots       bool    // the executor, when it was sent
	fetchesKey         bool    // the executor likely had to fetch the data of the job's key
	openedConnection   bool    // it was sent on a new connection
	resolved           bool    // its outcome has come
	runObserved        bool    // its run counts in the estimate of slot-time
	writtenOff         bool    // it counts as holding no slots: its executor is unresponsive, or it is overdue
	errored            bool    // it ended in an error
	ackOverdue         bool    // its executor has not said in the usual time that it has taken the job
}

// erroredAttempts is how many attempts ended in an error.
func (j *job) erroredAttempts() (n int) {
	for i := range j.attempts {
		if j.attempts[i].errored {
			n++
		}
	}
	return n
}

// jobTable holds the jobs of this node.
type jobTable struct {
	byID    map[uint32]*job
	pool    []*job // ended ones, to be used again
	arrived []*job // not yet decided on by admission
	queue   []*job // waiting for an executor
}

// create gives an empty job, one that has ended if there is one.
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

// release forgets a job that is done once none of its attempts is in flight.
func (t *jobTable) release(job *job) {
	if !job.done || job.inFlight > 0 || job.queued || t.byID[job.id] != job {
		return
	}
	delete(t.byID, job.id)
	if !slices.Contains(t.arrived, job) {
		t.pool = append(t.pool, job)
	}
}

// requirements are a request's slots, memory and time left; odd numbers count as the least.
func (e *Event) requirements() (slots, memory, left float64) {
	slots = 1
	if e.Slots > 0 && e.Slots < maxRequirement {
		slots = e.Slots
	}
	if e.Memory > 0 && e.Memory < maxRequirement {
		memory = e.Memory
	}
	if e.TimeLeft >= 0 {
		left = e.TimeLeft
	}
	return slots, memory, left
}

func (d *Dispatcher) handleRequest(event *Event) {
	if d.jobs.byID[event.Job] != nil {
		return
	}
	repeated := event.Flags&FlagRetry != 0
	job := d.jobs.create()
	job.id, job.key, job.arrivedAt, job.maxAttempts = event.Job, event.Key, d.now, d.settings.MaxAttempts
	job.class = min(int(event.Class), len(d.settings.Classes)-1)
	job.tenant = min(int(event.Tenant), len(d.admission.tenants)-1)
	job.zonePrices = event.ZonePrices
	d.setWorkAndTimes(job, event)
	d.jobs.byID[job.id] = job
	job.overQuota = d.admission.isOverQuota(job, repeated)
	d.setValue(job)
	d.jobs.arrived = append(d.jobs.arrived, job)
	d.affinity.countKey(job.key)
	d.admission.countArrival(repeated)
}

// setWorkAndTimes sets what a job needs and until when its answer is of use.
func (d *Dispatcher) setWorkAndTimes(job *job, event *Event) {
	class, stats := &d.settings.Classes[job.class], &d.serviceTimes.classes[job.class]
	slots, memory, left := event.requirements()
	job.slots, job.memory = slots, memory
	likely := event.Work
	if event.Flags&FlagWorkHint != 0 && event.Work > 0 && !math.IsInf(event.Work, 0) {
		job.work = event.Work
		stats.work += (job.work - stats.work) * classMeanWeight
	} else {
		// Most jobs are shorter than a heavy-tailed mean, and a short one's objective comes soon. Where weights go by work,
		// most of the weight lies in jobs as much longer than the mean, and their objective comes as much later.
		job.work, likely = stats.work, unhintedWorkFactor*stats.work
		if d.settings.WeightByWork {
			likely = stats.work / unhintedWorkFactor
		}
	}
	d.capacity.widestRequest = max(d.capacity.widestRequest, job.slots)
	stats.slots += (job.slots - stats.slots) * classMeanWeight
	job.deadline = d.now + left
	age := 0.0
	if event.Flags&FlagRetry != 0 { // the objective counts from the client's first attempt
		age = max(0, class.Deadline-left)
	}
	objective := d.now - age + class.Objective + class.ObjectivePerWork*likely
	objective += (job.work - likely) / d.serviceTimes.meanSpeed()
	job.objectiveAt = min(objective, job.deadline)
}

// setValue sets what a job earns for each slot and time.
func (d *Dispatcher) setValue(job *job) {
	job.value = d.settings.Classes[job.class].PriorityWeight // for each ms
	if !d.settings.WeightByWork {
		job.value /= job.work
	}
	if job.overQuota {
		// A node knows only roughly what is beyond a quota, so it is taken to be right half of the time.
		job.value *= (1 + d.settings.OverQuotaWeight) / 2
	}
	d.admission.meanValue += (job.value - d.admission.meanValue) * classMeanWeight
}

// finishJob releases a job's reserved slots, once, and cancels what is still in flight.
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
