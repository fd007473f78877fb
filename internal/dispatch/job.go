package dispatch

import (
	"math"
	"slices"
)

const (
	unhintedWorkFactor = 0.5 // of its class's mean, what half of all jobs stay under; by work, its inverse
)

// newJob gives an empty job, one that has ended if there is one.
func (d *Dispatcher) newJob() *job {
	n := len(d.jobs.pool)
	if n == 0 {
		return &job{}
	}
	reused := d.jobs.pool[n-1]
	d.jobs.pool = d.jobs.pool[:n-1]
	*reused = job{attempts: reused.attempts[:0], candidates: reused.candidates[:0]}
	return reused
}

func (d *Dispatcher) handleRequest(event *Event) {
	if d.jobs.byID[event.Job] != nil {
		return
	}
	job := d.newJob()
	job.id, job.key, job.arrivedAt, job.maxAttempts = event.Job, event.Key, d.now, d.settings.MaxAttempts
	job.class = min(int(event.Class), len(d.settings.Classes)-1)
	job.tenant = min(int(event.Tenant), len(d.admission.tenants)-1)
	class, stats := &d.settings.Classes[job.class], &d.serviceTimes.classes[job.class]
	slots, memory, left := event.sanitizedNeeds()
	job.slots, job.memory = slots, memory
	likely := event.Work
	if event.Flags&FlagWork != 0 && event.Work > 0 && !math.IsInf(event.Work, 0) {
		job.work = event.Work
		stats.work += (job.work - stats.work) * 0.02
	} else {
		// Most jobs are shorter than a heavy-tailed mean, and a short one's aim comes soon. Where worth goes
		// by work, most of it lies in jobs as much longer than the mean, and their aim comes as much later.
		if job.work, likely = stats.work, unhintedWorkFactor*stats.work; d.settings.WorthByWork {
			likely = stats.work / unhintedWorkFactor
		}
	}
	d.capacity.widestRequest = max(d.capacity.widestRequest, job.slots)
	stats.slots += (job.slots - stats.slots) * 0.02
	job.deadline = d.now + left
	age := 0.0
	if event.Flags&FlagRepeat != 0 { // its aim runs from the client's first try
		age = max(0, class.Deadline-left)
	}
	job.objectiveAt = min(d.now-age+class.Aim+class.Stretch*likely+(job.work-likely)/d.meanSpeed(), job.deadline)
	d.jobs.byID[job.id] = job
	job.overQuota = d.isOverQuota(job, event.Flags&FlagRepeat != 0)
	job.zonePrices, job.value = event.Prices, class.Worth // the worth for each ms
	if !d.settings.WorthByWork {
		job.value /= job.work
	}
	if job.overQuota {
		// A node tells only roughly what is beyond a share, so it is taken to be right half of the time.
		job.value *= (1 + d.settings.OverShareWorth) / 2
	}
	d.admission.meanValue += (job.value - d.admission.meanValue) * 0.02
	d.jobs.arrived = append(d.jobs.arrived, job)
	d.countKey(job.key)
	d.countArrival(event.Flags&FlagRepeat != 0)
}

// finish returns a job's tokens, once, and calls off what is still out.
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
		if !job.attempts[i].resolved && d.settings.MayCancel {
			d.actions = append(d.actions, Action{Kind: ActCancel, Job: job.id, Attempt: uint16(i)})
		}
	}
	d.needsPlacement = true
	d.releaseJob(job)
}

// release forgets a job that is done once nothing of it is out.
func (d *Dispatcher) releaseJob(job *job) {
	if job.done && job.inFlight == 0 && !job.queued && d.jobs.byID[job.id] == job {
		delete(d.jobs.byID, job.id)
		if !slices.Contains(d.jobs.arrived, job) {
			d.jobs.pool = append(d.jobs.pool, job)
		}
	}
}

// attempt is one send of a job.
type attempt struct {
	executor         *executor
	sentAt           float64
	startedAt        float64 // 0: not told
	heardAt          float64 // last note
	hadFreeSlots     bool
	fetchesKey       bool // likely had to fetch its key
	openedConnection bool // on a new connection
	resolved         bool
	writtenOff       bool // out when its worker fell silent, or late, and not heard of since
	errored          bool // it ended in an error
	ackOverdue       bool // its worker owes a sign that it has taken the job
}

// job is a request this node owes an answer, or whose attempts are still out.
type job struct {
	id          uint32
	class       int
	tenant      int
	key         uint64
	slots       float64
	memory      float64
	work        float64 // ms on a worker of speed 1
	arrivedAt   float64
	maxAttempts int     // attempts, by the settings when it came
	objectiveAt float64 // full worth until then
	deadline    float64
	attempts    []attempt
	inFlight    int
	admitted    bool    // holds tokens
	value       float64 // worth for each slot and time
	overQuota   bool    // beyond its tenant's share
	borrowed    bool    // admitted from the remainder
	queued      bool
	done        bool
	// What may have run; set in mark, read by maySend and mayRefuse alone.
	mayHaveRun         bool
	ranOn              *executor
	ranSince           float64
	rank               float64
	holdUntil          float64     // for answers to its probes, at most
	candidates         []*executor // of its key, the last to fall back on
	candidatesRevision int         // the list they were drawn from
	zonePrices         []float64   // of zones, where they are the request's own
}

// sane are a request's slots, memory and time left; odd numbers count as the least.
func (event *Event) sanitizedNeeds() (slots, memory, left float64) {
	slots = 1
	if event.Slots > 0 && event.Slots < 1e6 {
		slots = event.Slots
	}
	if event.Memory > 0 && event.Memory < 1e6 {
		memory = event.Memory
	}
	if event.TimeLeft >= 0 {
		left = event.TimeLeft
	}
	return slots, memory, left
}

// jobTable holds the jobs of this node.
type jobTable struct {
	byID    map[uint32]*job
	pool    []*job // ended ones, to be used again
	arrived []*job // that no admission decision was made of yet
	queue   []*job // that wait for an executor
}
