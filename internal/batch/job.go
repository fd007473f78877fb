package batch

import (
	"encoding/json"
	"sync"
	"time"

	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

// State is a job's state in DRMAAv2's words (GFD.194, section 8.1).
type State string

// The states in use. Nothing here suspends a job: what was sent to a box runs to its end.
const (
	Undetermined State = "UNDETERMINED"
	Queued       State = "QUEUED"
	QueuedHeld   State = "QUEUED_HELD"
	Requeued     State = "REQUEUED" // an executor handed it back unstarted
	Running      State = "RUNNING"
	Done         State = "DONE"
	Failed       State = "FAILED"
)

// States are all of DRMAAv2's: a filter may name any, also one that no job is ever in here.
var States = []string{"UNDETERMINED", "QUEUED", "QUEUED_HELD", "RUNNING", "SUSPENDED", "REQUEUED", "REQUEUED_HELD", "DONE", "FAILED"}

func (s State) final() bool { return s == Done || s == Failed }

// Record is what is known of a job: DRMAAv2's JobInfo (section 5.5), with what this front adds behind it.
type Record struct {
	ID         string    `json:"jobId"`
	State      State     `json:"jobState"`
	SubState   string    `json:"jobSubState,omitempty"`
	Annotation string    `json:"annotation,omitempty"`
	ExitStatus *int      `json:"exitStatus,omitempty"`
	Machines   []string  `json:"allocatedMachines,omitempty"`
	Name       string    `json:"jobName,omitempty"`
	Category   string    `json:"jobCategory,omitempty"`
	Account    string    `json:"accountingId,omitempty"`
	Session    string    `json:"sessionName,omitempty"`
	Array      string    `json:"jobArrayId,omitempty"`
	Index      *int      `json:"jobArrayIndex,omitempty"`
	Priority   int       `json:"priority,omitempty"`
	Submitted  time.Time `json:"submissionTime,omitzero"`
	Start      time.Time `json:"startTime,omitzero"`
	Deadline   time.Time `json:"deadlineTime,omitzero"`
	Dispatched time.Time `json:"dispatchTime,omitzero"`
	Finished   time.Time `json:"finishTime,omitzero"`
	RetryMS    int64     `json:"retryAfterMs,omitempty"`
	Result     *string   `json:"result,omitempty"`

	// On record alone.
	Template json.RawMessage `json:"template,omitempty"`
	HandedOver   bool            `json:"handed,omitempty"` // it was given to the core: from then on it may be sent
	Trace    string          `json:"trace,omitempty"`  // under which it was sent
	KeyRecord     string          `json:"same,omitempty"`   // the name of its idempotency key's record
	TemplateHash     string          `json:"hash,omitempty"`   // and of its template, which stands there
	Size     int             `json:"-"`                // of the result that is kept
}

// Sub-states say more than DRMAAv2's states do.
const (
	subHeld       = "held"       // at this node, until an executor has room, or its own turn comes
	subDeferred   = "deferred"   // until its start time
	subSent       = "sent"       // to an executor, and not started there as far as is known
	subRejected    = "refused"    // submitting it again is harmless
	subFailed     = "failed"     // promises nothing
	subTerminated = "terminated" // before it was sent
	subUnsent     = "unsent"     // the node ended before it sent it: submitting it again is harmless
)

// terminatedUnsent tells of a job that its client ended.
const terminatedUnsent = "terminated before it was sent"

// job is one of this life, or one that waited when an earlier life ended. The core's goroutine and the clients' ones
// share it.
type job struct {
	f     *Front
	ref   jobqueue.JobRef // its name in the queue, where it came from there
	queue bool            // it waits here until it is handed to the core, also after a refusal
	array *array
	in    node.Job
	deadline time.Time // the client's deadline; zero for the class's, from when it is handed over
	hash  uint64    // of its template, to tell a submission that is sent again from another under its key

	startCounted bool // its start was counted by the ramp since it was last handed over; guarded by the front's lock

	ready   chan struct{} // closed when its submission is decided
	recordMu sync.Mutex

	mu      sync.Mutex
	core    uint32 // the core's number for it, 0 while it has none
	r       Record
	submitFailed    bool          // its submission failed
	lost    bool          // it is another node's by now: nothing more of it is told or kept here
	changed chan struct{} // closed at the next change
	placementEnded  func(box string, served bool)
}

func (j *job) update(change func(*Record)) {
	j.mu.Lock()
	was := j.r.State
	sub := j.r.SubState
	change(&j.r)
	r := j.r
	close(j.changed)
	j.changed = make(chan struct{})
	// Told under the lock: events of one job come in the order of its states.
	if (r.State != was || r.SubState != sub) && !j.lost {
		j.f.events.add(&r)
	}
	j.mu.Unlock()
}

func (j *job) record() Record {
	r, _ := j.watch()
	return r
}

func (j *job) watch() (Record, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.r, j.changed
}

// isLost reports whether the job is another node's by now.
func (j *job) isLost() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lost
}

func (j *job) coreID() uint32 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.core
}

// Sent, Started, Returned and Answer are what the core tells.
func (j *job) Sent(executor string) {
	j.update(func(r *Record) {
		r.SubState, r.Machines = subSent, []string{executor}
		if r.Dispatched.IsZero() {
			r.Dispatched = time.Now()
		}
	})
}

// Started says that an executor has begun the job.
func (j *job) Started() {
	j.update(func(r *Record) { r.State, r.SubState = Running, "" })
	j.f.raiseRamp(j)
}

// Requeued says that nothing of the job is out any more, and that it goes on.
func (j *job) Requeued(neverRan bool) {
	j.update(func(r *Record) {
		if r.State = Requeued; !neverRan {
			r.Annotation = "an attempt may have run"
		}
		r.SubState = subHeld
	})
}

// Answer ends the job, or sends it back to wait: a refusal says that nothing of it ran, and what waits here by its
// client's wish is not lost for a moment without room.
func (j *job) Answer(a node.Answer) {
	now := time.Now()
	j.mu.Lock()
	lost := j.lost
	j.mu.Unlock()
	if lost {
		return // its end is the new owner's to tell
	}
	if j.queue && a.End == node.Rejected && !j.f.draining.Load() && (j.deadline.IsZero() || now.Before(j.deadline)) {
		j.update(func(r *Record) { r.State, r.SubState, r.Annotation = Queued, subHeld, a.Reason })
		j.f.requeueRejected(j, max(a.RetryAfter, j.f.lim.MinBatchRetryDelay), now)
		return
	}
	j.end(func(r *Record) {
		r.State, r.Annotation = Failed, a.Reason
		switch a.End {
		case node.Served:
			zero, text := 0, string(a.Result)
			r.State, r.SubState, r.ExitStatus, r.Result, r.Size = Done, "", &zero, &text, len(text)
		case node.Rejected:
			r.SubState = subRejected
			r.RetryMS = node.RoundRetryAfter(a.RetryAfter, j.f.maxRetryAfter()).Milliseconds()
		case node.Failed:
			r.SubState = subFailed
		case node.Terminated:
			r.SubState = subTerminated
		}
	}, now)
}

// setPlacement keeps what is to be told of the setPlacement that was chosen for the job, in the setPlacement of an earlier one, which is returned.
func (j *job) setPlacement(ended func(box string, served bool)) {
	j.mu.Lock()
	was, r := j.placementEnded, j.r
	j.placementEnded = ended
	j.mu.Unlock()
	if was == nil {
		return
	}
	box := ""
	if len(r.Machines) > 0 {
		box = r.Machines[0]
	}
	was(box, r.State == Done)
}

// end ends the job for good.
func (j *job) end(change func(*Record), now time.Time) {
	j.update(func(r *Record) {
		r.Finished = now
		change(r)
	})
	j.setPlacement(nil)
	j.f.jobEnded(j, now)
}

// json is a record as it is kept.
func (r *Record) json() []byte {
	b, _ := json.Marshal(r)
	return b
}

// parseRecord reads a record as json wrote it.
func parseRecord(data []byte) (r Record) {
	_ = json.Unmarshal(data, &r)
	return r
}

// public is a record as clients see it.
func (r Record) public() Record {
	r.Template, r.HandedOver, r.Trace, r.KeyRecord, r.TemplateHash = nil, false, "", "", ""
	return r
}

// changes are those that put a job on record: among the open ones until it has ended. Until then no bound of the store's
// takes it away, nor its idempotency key; after that it stays for as long as there is room.
func (r *Record) changes() []jobstore.Change {
	k, v := recordKey(r.ID), r.json()
	open := jobstore.Change{Kind: kindOpen, Key: k, Keep: true}
	if !r.State.final() {
		open.Value = []byte(r.ID)
	}
	kept := !r.State.final() && r.State != Undetermined
	out := []jobstore.Change{{Kind: kindJob, Key: k, Value: v, Keep: kept}, open}
	if r.Trace != "" { // also while it is in doubt: its box may tell
		sent := jobstore.Change{Kind: kindSent, Key: r.Trace, Keep: kept}
		if !r.State.final() {
			sent.Value = []byte(r.ID)
		}
		out = append(out, sent)
	}
	if r.KeyRecord != "" && !kept {
		out = append(out, jobstore.Change{Kind: kindIdempotencyKey, Key: r.KeyRecord, Value: keyRecord{r.ID, r.TemplateHash}.json()})
	}
	return out
}

// The kinds of records.
const (
	kindJob     = "job"     // by key: Record
	kindOpen    = "open"    // by key, of jobs that have not ended: the id
	kindArray   = "array"   // by key: arrayRecord
	kindSession = "session" // by name: sessionRecord
	kindIdempotencyKey    = "same"    // by session and idempotency key: sameRecord
)

// unsent says whether a record shows that nothing of its job was sent: each send is on record before it is made.
func (r *Record) unsent() bool {
	return r.SubState == subHeld && r.State == Queued || r.SubState == subDeferred || r.State == QueuedHeld
}

// member says whether a record is of an array's member.
func (r *Record) member() bool { return r.Array != "" && r.Index != nil }

// afterRestart turns a record into what can be said of the job now. Nothing that may have been sent is ever run again here.
func afterRestart(r Record, from origin) Record {
	switch {
	case r.State.final() || from != earlierIncarnation || r.State == Undetermined:
	case r.unsent():
		// Each send is on record before it is made, and the life that could make one is over.
		r.State, r.SubState = Failed, subUnsent
		r.Annotation = "the node ended before it sent the job: submitting it again is harmless"
	default:
		r.State, r.SubState = Undetermined, ""
		r.Annotation = "the node ended after it sent the job, which may have run"
	}
	return r
}

// sessionKey is an idempotency key in its session: keys of two sessions have nothing to do with each other. No session's
// name holds a slash.
func sessionKey(session, k string) string { return session + "/" + k }
