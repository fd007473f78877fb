package node

import (
	"sync/atomic"
	"time"

	"gatetack/internal/idclaims"
	"gatetack/internal/precheck"
)

// job is a job that is not answered yet, or that has attempts in flight.
type job struct {
	id         uint32
	request    Job
	client     Client
	acceptedAt time.Time
	deadline   time.Time
	rules      *Rules         // in force when the job was accepted
	claim      idclaims.Claim // of its trace ID, if claimed is set
	claimed    bool
	tenantOpen *atomic.Int64 // count of the tenant's open jobs, nil if it is not bounded
	served     bool          // the client got the result of an executor
	answered   atomic.Bool   // true also after the client has left; other goroutines read it
	inFlight   int           // number of attempts
	mayHaveRun bool
	attempts   []*attempt
}

// attempt is one attempt of a job.
type attempt struct {
	id         uint64
	index      uint16 // among the attempts of the job
	job        *job
	executor   uint32
	sentAt     time.Time
	zone       uint8 // position of the executor's zone
	cell       uint16
	ended      bool
	mayHaveRun bool // true while the attempt is in flight, and after an end that does not exclude that it ran
	started    bool
}

// jobTable holds the jobs and the attempts in flight.
type jobTable struct {
	byID          map[uint32]*job
	byTrace       map[string]*job
	retained      map[string]bool // trace IDs of removed jobs, see retainedID
	attempts      map[uint64]*attempt
	lastAttemptID uint64
	shuttingDown  bool // new jobs are rejected
}

func newJobTable() jobTable {
	return jobTable{
		byID:     map[uint32]*job{},
		byTrace:  map[string]*job{},
		retained: map[string]bool{},
		attempts: map[uint64]*attempt{},
	}
}

func (t *jobTable) add(j *job) { t.byID[j.id], t.byTrace[j.request.TraceID] = j, j }

// remove deletes a job and frees its trace ID.
func (t *jobTable) remove(j *job) {
	delete(t.byID, j.id)
	delete(t.byTrace, j.request.TraceID)
}

// addAttempt adds the next attempt of a job.
func (t *jobTable) addAttempt(j *job, executor uint32, now time.Time) *attempt {
	t.lastAttemptID++
	a := &attempt{
		id:         t.lastAttemptID,
		index:      uint16(len(j.attempts)),
		job:        j,
		executor:   executor,
		sentAt:     now,
		mayHaveRun: true,
	}
	j.attempts = append(j.attempts, a)
	j.inFlight++
	t.attempts[a.id] = a
	return a
}

// retryRules returns the rules for the job's next attempt, from the rules under which the job was accepted and the
// outcomes of its earlier attempts.
func (j *job) retryRules() precheck.RetryRules {
	settings := &j.rules.Settings
	class := settings.Classes[min(j.request.Class, len(settings.Classes)-1)]
	rules := precheck.RetryRules{
		Attempt:     len(j.attempts) + 1,
		MaxAttempts: settings.MaxAttempts,
		RetrySafety: class.RetrySafety,
	}
	if j.request.AcceptedClass != nil {
		rules.MaxAttempts = j.request.AcceptedClass.MaxAttempts
	}
	if earliest := j.earliestThatMayHaveRun(); earliest != nil {
		rules.MayHaveRun, rules.WindowEnd = true, earliest.SentAt.Add(FromMs(class.DedupWindow))
	}
	return rules
}

// earliestThatMayHaveRun returns the earliest attempt that may have run, also of earlier hand-overs of the job to the
// core, or nil if none has.
func (j *job) earliestThatMayHaveRun() *EarlierAttempt {
	if j.request.Earlier != nil {
		return j.request.Earlier
	}
	for _, a := range j.attempts { // in the order of their sends
		if a.mayHaveRun {
			return &EarlierAttempt{executor: a.executor, zone: a.zone, cell: a.cell, SentAt: a.sentAt}
		}
	}
	return nil
}
