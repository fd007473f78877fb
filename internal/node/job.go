package node

import (
	"sync/atomic"
	"time"

	"gatetack/internal/precheck"
)

// job is a job that is owed an answer, or of which an attempt is in flight.
type job struct {
	id         uint32
	request    Job
	client     Client
	acceptedAt time.Time
	deadline   time.Time
	rules      *Rules      // those that it came under
	answered   atomic.Bool // or its client has left: nothing is owed. Other goroutines read it.
	inFlight   int         // attempts
	mayHaveRun bool
	attempts   []*attempt
}

// attempt is one attempt of a job.
type attempt struct {
	id         uint64
	index      uint16 // among those of its job
	job        *job
	executor   uint32
	sentAt     time.Time
	ended      bool
	mayHaveRun bool // it is in flight, or may have run
	started    bool
}

// jobTable holds the jobs and the attempts that are in flight.
type jobTable struct {
	byID          map[uint32]*job
	byTrace       map[string]*job
	attempts      map[uint64]*attempt
	lastAttemptID uint64
	shuttingDown  bool // nothing more is taken in
}

func newJobTable() jobTable {
	return jobTable{byID: map[uint32]*job{}, byTrace: map[string]*job{}, attempts: map[uint64]*attempt{}}
}

func (t *jobTable) add(j *job) { t.byID[j.id], t.byTrace[j.request.TraceID] = j, j }

// remove drops a job and frees its trace id.
func (t *jobTable) remove(j *job) {
	delete(t.byID, j.id)
	delete(t.byTrace, j.request.TraceID)
}

// addAttempt begins a job's next attempt.
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

// retryRules are the rules for the next attempt of a job, by those it came under and what became of the ones before.
func (j *job) retryRules() precheck.RetryRules {
	settings := &j.rules.Settings
	class := settings.Classes[min(j.request.Class, len(settings.Classes)-1)]
	rules := precheck.RetryRules{
		Attempt:     len(j.attempts) + 1,
		MaxAttempts: settings.MaxAttempts,
		RetrySafety: class.RetrySafety,
	}
	for _, a := range j.attempts { // in the order of their sending: the first that counts is the earliest
		if a.mayHaveRun && !rules.MayHaveRun {
			rules.MayHaveRun, rules.WindowEnd = true, a.sentAt.Add(FromMs(class.DedupWindow))
		}
	}
	return rules
}
