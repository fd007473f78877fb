package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
	"gatetack/internal/node"
)

// State is a DRMAAv2 job state (GFD.194, section 8.1).
type State string

// The states in use. No job is ever suspended: an attempt that was sent to an executor runs to its end.
const (
	Undetermined State = "UNDETERMINED"
	Queued       State = "QUEUED"
	QueuedHeld   State = "QUEUED_HELD"
	Requeued     State = "REQUEUED" // an executor returned it without starting it
	Running      State = "RUNNING"
	Done         State = "DONE"
	Failed       State = "FAILED"
)

// States are all states of DRMAAv2. A filter may name any of them, including those that no job has here.
var States = []string{"UNDETERMINED", "QUEUED", "QUEUED_HELD", "RUNNING", "SUSPENDED", "REQUEUED", "REQUEUED_HELD", "DONE", "FAILED"}

func (s State) final() bool { return s == Done || s == Failed }

// Record is the stored state of a job: DRMAAv2's JobInfo (section 5.5), followed by fields of this implementation.
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

	// The following fields are stored and not shown to clients.
	Template     json.RawMessage `json:"template,omitempty"`
	Class        *storedClass    `json:"-"`                 // under which it was accepted; stored as a record of its own
	HandedOver   bool            `json:"handed,omitempty"`  // handed to the core: from then on it may be sent
	Trace        string          `json:"trace,omitempty"`   // trace ID of the last attempt
	Earlier      []sentAttempt   `json:"earlier,omitempty"` // of earlier hand-overs to the core, which may have run
	KeyRecord    string          `json:"same,omitempty"`    // key of the idempotency key's record
	TemplateHash string          `json:"hash,omitempty"`    // part of the idempotency key's record
	Size         int             `json:"-"`                 // size of the result in memory
}

// The sub-states.
const (
	subHeld       = "held"       // waits at this node for room at an executor or for its turn
	subDeferred   = "deferred"   // waits for its start time
	subSent       = "sent"       // sent to an executor, and not known to have started
	subRejected   = "refused"    // submitting it again is harmless
	subFailed     = "failed"     // may have run: submitting it again may run it twice
	subTerminated = "terminated" // before it was sent
	subUnsent     = "unsent"     // the node ended before sending it: submitting it again is harmless
)

// sentAttempt is an attempt on record.
type sentAttempt struct {
	Trace   string `json:"trace"`
	Machine string `json:"machine"`
}

// mayHaveRun reports whether an attempt of an earlier hand-over may have run. Such a job is REQUEUED while it waits.
func (r *Record) mayHaveRun() bool { return len(r.Earlier) > 0 }

// addEarlier records that the last attempt may have run, before the job is handed over again.
func (r *Record) addEarlier() {
	last := sentAttempt{Trace: r.Trace}
	if len(r.Machines) > 0 {
		last.Machine = r.Machines[0]
	}
	if !slices.Contains(r.Earlier, last) {
		r.Earlier = append(slices.Clone(r.Earlier), last)
	}
}

// wait changes the state to that of a job that waits to be handed to the core.
func (r *Record) wait() {
	r.State, r.SubState = Queued, subHeld
	if r.mayHaveRun() {
		r.State = Requeued
	}
}

// terminate changes the state to that of a job that its client terminated while it waited.
func (r *Record) terminate() {
	r.State, r.SubState, r.Annotation = Failed, subTerminated, terminatedUnsent
	if r.mayHaveRun() {
		r.SubState, r.Annotation = subFailed, "terminated before it was repeated: an attempt may have run"
	}
}

// terminatedUnsent is the annotation of a job that its client terminated.
const terminatedUnsent = "terminated before it was sent"

// job is a job of this incarnation, or one that waited when an earlier incarnation ended. The goroutines of the core
// and of the clients share it.
type job struct {
	f        *Front
	ref      jobqueue.JobRef // identifies it in the queue
	queue    bool            // it waits in the queue before it is handed to the core, also after a rejection
	array    *array
	in       node.Job
	deadline time.Time // set by the client; if zero, the class's deadline applies from the hand-over
	hash     uint64    // of its template, to distinguish a repeated submission from another one under the same key

	startCounted bool // the ramp counted its start since the last hand-over; guarded by Front.mu

	ready    chan struct{} // closed when the submission is accepted or rejected
	recordMu sync.Mutex

	// controlMu serializes holds and releases, so that the queue and the record agree on the one that took effect last.
	controlMu sync.Mutex

	mu             sync.Mutex
	core           uint32               // the core's ID of the job, 0 while it has none
	earlier        *node.EarlierAttempt // the earliest attempt that may have run, over all hand-overs
	r              Record
	submitFailed   bool
	lost           bool          // another node owns it by now: its state is no longer published or recorded here
	changed        chan struct{} // closed at the next change
	placementEnded func(box string, served bool)
}

func (j *job) update(change func(*Record)) {
	j.mu.Lock()
	was := j.r.State
	sub := j.r.SubState
	change(&j.r)
	r := j.r
	close(j.changed)
	j.changed = make(chan struct{})
	// Events are added with the lock held, so that the events of one job are in the order of its states.
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

// isLost reports whether another node owns the job by now.
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

// Sent implements node.Client: an executor is being sent the job.
func (j *job) Sent(executor string) {
	j.update(func(r *Record) {
		r.SubState, r.Machines = subSent, []string{executor}
		if r.Dispatched.IsZero() {
			r.Dispatched = time.Now()
		}
	})
}

// Started implements node.Client: an executor has started the job.
func (j *job) Started() {
	j.update(func(r *Record) { r.State, r.SubState = Running, "" })
	j.f.raiseRamp(j)
}

// Requeued implements node.Client: no attempt is in flight any more, and the job is retried.
func (j *job) Requeued(neverRan bool) {
	j.update(func(r *Record) {
		if r.State = Requeued; !neverRan {
			r.Annotation = "an attempt may have run"
		}
		r.SubState = subHeld
	})
}

// Answer implements node.Client: it ends the job or, if the core rejected a queued job, puts it back in the queue. A
// rejected job has not run, and a job whose client chose to wait is not failed for a temporary lack of room.
func (j *job) Answer(a node.Answer) {
	now := time.Now()
	j.mu.Lock()
	lost := j.lost
	j.mu.Unlock()
	if lost {
		return // the new owner determines its end
	}
	if a.MayHaveRun != nil {
		j.addEarlier(a.MayHaveRun)
	}
	retryAfter := max(a.RetryAfter, j.f.lim.MinBatchRetryDelay)
	if j.queue && a.End == node.Rejected && !j.f.draining.Load() && (j.deadline.IsZero() || now.Before(j.deadline)) &&
		j.isRepeatAllowed(now.Add(retryAfter)) {
		j.update(func(r *Record) {
			r.wait()
			r.Annotation = a.Reason
		})
		j.f.requeueRejected(j, retryAfter, now)
		return
	}
	j.end(func(r *Record) {
		r.State, r.Annotation = Failed, a.Reason
		switch a.End {
		case node.Served:
			r.done(string(a.Result), j.f.lim.StoreBodyBytes)
		case node.Rejected:
			if r.mayHaveRun() && j.in.AcceptedClass.Rules.RetrySafety != dispatch.Idempotent {
				r.SubState, r.Annotation = subFailed, mayHaveRunAnnotation
				return
			}
			r.SubState = subRejected
			r.RetryMS = node.RoundRetryAfter(a.RetryAfter, j.f.maxRetryAfter()).Milliseconds()
		case node.Failed:
			r.SubState = subFailed
		case node.Terminated:
			r.SubState = subTerminated
		}
	}, now)
}

// addEarlier records that an attempt of the hand-over that has ended may have run. The earliest one of all hand-overs
// stays: the window of a keyed job runs from it.
func (j *job) addEarlier(attempt *node.EarlierAttempt) {
	j.mu.Lock()
	if j.earlier == nil {
		j.earlier = attempt
	}
	j.mu.Unlock()
	j.update((*Record).addEarlier)
}

// earliestAttempt returns the earliest attempt that may have run, nil if none has.
func (j *job) earliestAttempt() *node.EarlierAttempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.earlier
}

// isRepeatAllowed reports whether the job may be handed to the core again at a time: none of its attempts may have run,
// or its class allows it to run again by then.
func (j *job) isRepeatAllowed(at time.Time) bool {
	earlier, rules := j.earliestAttempt(), &j.in.AcceptedClass.Rules
	switch {
	case earlier == nil || rules.RetrySafety == dispatch.Idempotent:
		return true
	case rules.RetrySafety == dispatch.Keyed:
		return at.Before(earlier.SentAt.Add(node.FromMs(rules.DedupWindow)))
	}
	return false
}

// mayHaveRunAnnotation is the annotation of a job that is not repeated any more.
const mayHaveRunAnnotation = "it may have run, and can not be repeated any more"

// setPlacement stores the function to call when the placement of the job ends, after calling the previous one.
func (j *job) setPlacement(ended func(executor string, served bool)) {
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

// end ends the job, and queues its end to be recorded.
func (j *job) end(change func(*Record), now time.Time) {
	j.update(func(r *Record) {
		r.Finished = now
		change(r)
	})
	if j.ended(now) {
		j.f.recordLater(j)
	}
	j.f.wake()
}

// ended releases what a job holds whose record says that it has ended. It reports false if the job was dropped: the
// partition's new owner counts its end.
func (j *job) ended(now time.Time) bool {
	j.setPlacement(nil)
	return j.f.jobEnded(j, now)
}

// json returns the stored form of a record.
func (r *Record) json() []byte { return encodeStored(r) }

// encodeStored returns the stored form of a record, which must be of strings, numbers and times. The characters that
// matter in HTML are not escaped: a payload of markup would take up to six times its size.
func encodeStored(record any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(record) // cannot fail for such a record
	return bytes.TrimSuffix(out.Bytes(), []byte("\n"))
}

// maxEncodedByte is the maximum size of the JSON of one byte of a string.
const maxEncodedByte = 6

// recordOverhead is more than a record takes beside its template and its result, in bytes.
const recordOverhead = 8 << 10

// done ends the job with a result. A result with which the record would exceed a size does not count: it could not be
// kept, and the job would be told as DONE until the next restart only.
func (r *Record) done(result string, maxBytes int) {
	zero := 0
	r.State, r.SubState, r.ExitStatus, r.Result, r.Size = Done, "", &zero, &result, len(result)
	if maxEncodedByte*len(result)+len(r.Template)+recordOverhead <= maxBytes {
		return
	}
	if size := len(r.json()); size > maxBytes {
		r.State, r.SubState, r.ExitStatus, r.Result, r.Size = Failed, subFailed, nil, nil, 0
		r.Annotation = fmt.Sprintf("it has run, and its result can not be kept: its record would take %d bytes, %d at most",
			size, maxBytes)
	}
}

// parseRecord parses the stored form of a record.
func parseRecord(data []byte) (r Record) {
	_ = json.Unmarshal(data, &r)
	return r
}

// public returns a record as clients see it.
func (r Record) public() Record {
	r.Template, r.Class, r.Earlier, r.HandedOver, r.Trace, r.KeyRecord, r.TemplateHash = nil, nil, nil, false, "", "", ""
	return r
}

// changes returns the writes that store a job. Until the job has ended it is among the open records, and the store's
// limits do not evict its record or that of its idempotency key; after that they may.
func (r *Record) changes() []jobstore.Change {
	k, v := recordKey(r.ID), r.json()
	open := jobstore.Change{Kind: kindOpen, Key: k, Keep: true}
	if !r.State.final() {
		open.Value = []byte(r.ID)
	}
	kept := !r.State.final() && r.State != Undetermined
	out := []jobstore.Change{{Kind: kindJob, Key: k, Value: v, Keep: kept}, open}
	for _, trace := range r.traces() { // also while it is UNDETERMINED: its executors may still call back
		sent := jobstore.Change{Kind: kindSent, Key: trace, Keep: kept}
		if !r.State.final() {
			sent.Value = []byte(r.ID)
		}
		out = append(out, sent)
	}
	if r.KeyRecord != "" && !kept {
		out = append(out, jobstore.Change{Kind: kindIdempotencyKey, Key: r.KeyRecord, Value: keyRecord{r.ID, r.TemplateHash}.json()})
	}
	if r.Class != nil && r.State.final() {
		out = append(out, jobstore.Change{Kind: kindClassRules, Key: k})
	}
	return out
}

// traces returns the trace IDs of the attempts that may still call back.
func (r *Record) traces() []string {
	var out []string
	for _, attempt := range r.Earlier {
		out = append(out, attempt.Trace)
	}
	if r.Trace != "" && !slices.Contains(out, r.Trace) {
		out = append(out, r.Trace)
	}
	return out
}

// The kinds of stored records.
const (
	kindJob            = "job"     // by key: Record
	kindOpen           = "open"    // by key, of jobs that have not ended: the job ID
	kindArray          = "array"   // by key: arrayRecord
	kindSession        = "session" // by name: sessionRecord
	kindIdempotencyKey = "same"    // by session and idempotency key: keyRecord
	kindClassRules     = "rules"   // by key, of jobs and arrays that wait: storedClass
)

// unsent reports whether the record proves that the job was not sent: each send is recorded before it is made.
func (r *Record) unsent() bool {
	return !r.mayHaveRun() &&
		(r.SubState == subHeld && r.State == Queued || r.SubState == subDeferred || r.State == QueuedHeld)
}

// member reports whether the record is of an array member.
func (r *Record) member() bool { return r.Array != "" && r.Index != nil }

// afterRestart returns the state of a job given its stored record. A job of an earlier incarnation that may have been
// sent is UNDETERMINED and is never run again here.
func afterRestart(r Record, from origin) Record {
	switch {
	case r.State.final() || from != earlierIncarnation || r.State == Undetermined:
	case r.unsent():
		// Each send is recorded before it is made, and the incarnation that could make one has ended.
		r.State, r.SubState = Failed, subUnsent
		r.Annotation = "the node ended before it sent the job: submitting it again is harmless"
	default:
		r.State, r.SubState = Undetermined, ""
		r.Annotation = "the node ended after it sent the job, which may have run"
	}
	return r
}

// sessionKey returns an idempotency key qualified by its session: equal keys of different sessions are unrelated.
// Session names contain no slash.
func sessionKey(session, k string) string { return session + "/" + k }
