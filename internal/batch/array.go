package batch

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
)

// arrayRecord is the stored state of a job array (DRMAAv2, section 8.2): its index range and how many of its members
// are done or failed. A member becomes a job of its own when its turn comes; until then the array represents it.
type arrayRecord struct {
	ID          string    `json:"jobArrayId"`
	Session     string    `json:"sessionName"`
	Name        string    `json:"jobName,omitempty"`
	Category    string    `json:"jobCategory"`
	Account     string    `json:"accountingId,omitempty"`
	Begin       int       `json:"beginIndex"`
	End         int       `json:"endIndex"`
	Step        int       `json:"step"`
	MaxParallel int       `json:"maxParallel,omitempty"`
	Priority    int       `json:"priority,omitempty"`
	Submitted   time.Time `json:"submissionTime"`
	Start       time.Time `json:"startTime,omitzero"`
	Deadline    time.Time `json:"deadlineTime,omitzero"`
	Held        bool      `json:"held"`
	Jobs        int       `json:"jobs"`
	Next        int       `json:"nextIndex"` // members with lower indices had their turn
	Terminated  bool      `json:"terminated,omitempty"`
	// UnsentReason says why the members that had no turn are not run, if that is not by a call of a client.
	UnsentReason string          `json:"unsentReason,omitempty"`
	Done         int             `json:"done"`
	Failed       int             `json:"failed"`
	Template     json.RawMessage `json:"template,omitempty"`
	Class        *storedClass    `json:"-"` // under which it was accepted; stored as a record of its own
}

type array struct {
	t template

	// controlMu serializes the writes of control calls, so that the record has the state of the call that took effect last.
	controlMu sync.Mutex

	// A write for a member repeats the array's record. Writes of one array are not serialized, so such a write may store
	// an older state after a newer one.
	memberWrites memberWrites

	mu sync.Mutex
	r  arrayRecord
}

func (a *array) record() arrayRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.r
}

func (a *array) update(change func(*arrayRecord)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.r)
}

func (a *array) changes() []jobstore.Change {
	r := a.record()
	return r.changes()
}

// changes returns the writes that store an array.
func (r *arrayRecord) changes() []jobstore.Change {
	v := encodeStored(r)
	key, ended := recordKey(r.ID), r.finished()
	out := []jobstore.Change{{Kind: kindArray, Key: key, Value: v, Keep: !ended}}
	if ended && r.Class != nil {
		out = append(out, jobstore.Change{Kind: kindClassRules, Key: key})
	}
	return out
}

// memberWrites tracks the writes for members of an array.
type memberWrites struct {
	inFlight sync.RWMutex // held shared during each write
	started  atomic.Int64
}

// begin registers a write, before it copies the array's state. The caller calls the result when the write has ended.
func (w *memberWrites) begin() (end func()) {
	w.inFlight.RLock()
	w.started.Add(1)
	return w.inFlight.RUnlock
}

// awaitOlder waits for the writes in flight.
func (w *memberWrites) awaitOlder() {
	w.inFlight.Lock()
	defer w.inFlight.Unlock()
}

// observe returns a function that reports whether a write was in flight at any time since the call.
func (w *memberWrites) observe() (overlapped func() bool) {
	idle, before := w.inFlight.TryLock(), w.started.Load()
	if idle {
		w.inFlight.Unlock()
	}
	return func() bool { return !idle || w.started.Load() != before }
}

// recordArray stores the current state of an array. Neither writes for members nor other control calls can overwrite it
// with an older state.
func (f *Front) recordArray(a *array) error {
	a.controlMu.Lock()
	defer a.controlMu.Unlock()
	return f.writeArray(a)
}

// writeArray stores the current state of an array, after the writes for members that may have copied an older one.
// a.controlMu is held.
func (f *Front) writeArray(a *array) error {
	a.memberWrites.awaitOlder()
	r := a.record()
	if err := f.commit(r.changes()...); err != nil {
		return err
	}
	if !r.finished() && a.finished() { // this older state may have overwritten its end: write again
		return f.commit(a.changes()...)
	}
	return nil
}

// commitArray changes an array after the change is on record, or may be. The array is unchanged if nothing was written:
// a write for a member must not store a change that is rejected. a.controlMu is held.
func (f *Front) commitArray(a *array, change func(*arrayRecord)) error {
	overlapped := a.memberWrites.observe()
	r := a.record()
	change(&r)
	err := f.commit(r.changes()...)
	if err != nil && !jobstore.IsUnknownOutcome(err) {
		return err
	}
	a.update(change)
	if err != nil || !overlapped() {
		return err
	}
	if err := f.writeArray(a); err != nil { // a write for a member may have replaced the change
		go f.recordArrayUntilWritten(a)
		return &jobstore.UnknownOutcomeError{Cause: err}
	}
	return nil
}

// recordArrayUntilWritten stores the current state of an array, repeatedly until that succeeds.
func (f *Front) recordArrayUntilWritten(a *array) {
	for f.waitToRepeat(f.settling) {
		err := f.recordArray(a)
		if err == nil || f.isOwnedElsewhere(a.changes(), err) {
			return
		}
	}
}

// countEnded counts a member that has ended.
func (a *array) countEnded(r *Record) {
	a.update(func(x *arrayRecord) {
		if r.State == Done {
			x.Done++
		} else {
			x.Failed++
		}
	})
}

func (a *array) finished() bool {
	r := a.record()
	return r.finished()
}

func (r *arrayRecord) finished() bool { return r.Done+r.Failed >= r.Jobs }

// status returns the array as clients see it.
func (r arrayRecord) status() map[string]any {
	out := map[string]any{}
	r.Template, r.Class = nil, nil
	b, _ := json.Marshal(r)
	_ = json.Unmarshal(b, &out)
	state := Queued
	switch {
	case r.Done+r.Failed >= r.Jobs && r.Failed > 0:
		state = Failed
	case r.Done+r.Failed >= r.Jobs:
		state = Done
	case r.Next > r.Begin:
		state = Running
	case r.Held:
		state = QueuedHeld
	}
	out["jobState"] = state
	return out
}

func (r *arrayRecord) item() jobqueue.Item {
	return jobqueue.Item{ID: r.ID, Session: r.Session, Priority: r.Priority, Start: r.Start, Held: r.Held, Array: true,
		Begin: r.Begin, End: r.End, Step: r.Step, MaxParallel: r.MaxParallel}
}

// memberJob returns the job of a member whose turn has come, creating it if the member had no turn before. f.mu is
// held.
func (f *Front) memberJob(a *array, ref jobqueue.JobRef, now time.Time) *job {
	id := memberID(ref.ID, ref.Index)
	if j := f.jobs[id]; j != nil {
		return j
	}
	x := a.record()
	j := &job{f: f, array: a, ref: ref, queue: true, in: a.t.memberJob(ref.Index), deadline: x.Deadline, changed: make(chan struct{}), ready: closedChan,
		r: a.memberRecord(&x, ref.Index)}
	f.register(j)
	a.update(func(x *arrayRecord) { x.Next = max(x.Next, ref.Index+x.Step) })
	return j
}

// closedChan is a channel that is always closed.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

func (a *array) memberRecord(x *arrayRecord, index int) Record {
	return Record{ID: memberID(x.ID, index), State: Queued, SubState: subHeld, Name: x.Name, Category: x.Category, Account: x.Account,
		Session: x.Session, Array: x.ID, Index: &index, Priority: x.Priority, Submitted: x.Submitted, Start: x.Start, Deadline: x.Deadline}
}

// releaseArray removes from memory an array whose members have all ended. Without a store the latest such arrays are
// kept for queries. f.mu is held.
func (f *Front) releaseArray(a *array) {
	if f.finishedArrays = append(f.finishedArrays, a.r.ID); f.store == nil && len(f.finishedArrays) <= f.lim.BatchJobs/4 {
		return
	}
	delete(f.arrays, f.finishedArrays[0])
	f.finishedArrays = f.finishedArrays[1:]
}

// findArray looks an array up in memory and then in the store.
func (f *Front) findArray(ctx context.Context, id string) (*array, bool, error) {
	f.mu.Lock()
	a := f.arrays[id]
	f.mu.Unlock()
	if a != nil || f.store == nil || f.ids.origin(id) == unknownOrigin {
		return a, a != nil, nil
	}
	value, found, err := f.store.Get(ctx, kindArray, recordKey(id))
	if err != nil || !found {
		return nil, false, err
	}
	a = &array{}
	return a, true, json.Unmarshal(value, &a.r)
}

// pendingMember returns a record for an array member that is not a job of its own, because its turn has not come or
// its array was terminated before it.
func (f *Front) pendingMember(ctx context.Context, id string) (Record, bool) {
	n, ok := parseID(id)
	if !ok || !n.member {
		return Record{}, false
	}
	a, ok, err := f.findArray(ctx, strings.TrimSuffix(id, "-"+strconv.Itoa(n.index)))
	if !ok || err != nil {
		return Record{}, false
	}
	x := a.record()
	if n.index < x.Begin || n.index > x.End || (n.index-x.Begin)%x.Step != 0 || n.index < x.Next {
		return Record{}, false
	}
	r := a.memberRecord(&x, n.index)
	switch {
	case x.UnsentReason != "":
		r.State, r.SubState, r.Annotation = Failed, subUnsent, x.UnsentReason
	case x.Terminated:
		r.State, r.SubState = Failed, subTerminated
	case x.Held:
		r.State = QueuedHeld
	case x.Start.After(time.Now()):
		r.SubState = subDeferred
	}
	return r, true
}
