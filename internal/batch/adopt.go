package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
)

// load reads the sessions and, where this node alone owns its records, adopts the arrays and unfinished jobs of its
// earlier incarnations. A job that may have been sent becomes UNDETERMINED and one that was handed to the core
// without a recorded send ends as unsent; neither runs again. Array members that were never sent are queued again.
func (f *Front) load(ctx context.Context) error {
	if err := f.forEachStoredSession(ctx, func(x sessionRecord) { f.sessions[x.Name] = &session{r: x} }); err != nil {
		return err
	}
	if f.router != nil {
		if !f.router.Ready() { // the partitions of earlier incarnations are adopted one by one
			return errors.New("the partitions of this node's earlier incarnations are being claimed")
		}
		return nil
	}
	if err := f.beginIncarnation(ctx); err != nil {
		return err
	}
	_, err := f.Adopt(ctx, f.ids.node)
	return err
}

// Adopt takes over the recorded jobs of a partition, or of all incarnations of a node, and returns how many jobs and
// arrays are still waiting. Jobs that were never handed to the core keep waiting; jobs that may have been sent are
// marked UNDETERMINED and are not run again here.
func (f *Front) Adopt(ctx context.Context, partition string) (int, error) {
	a := &adoption{front: f, prefix: partition + ".", now: time.Now(), arrays: map[string]*adoptedArray{}}
	if err := a.readArrays(ctx); err != nil {
		return 0, err
	}
	if err := a.readOpen(ctx); err != nil {
		return 0, err
	}
	if err := a.readClassRules(ctx); err != nil {
		return 0, err
	}
	for id, x := range a.arrays {
		if err := x.reconcile(ctx, f); err != nil {
			return 0, err
		}
		if x.finished() {
			continue
		}
		if bad := a.readTemplate(x); bad != nil {
			f.log.Warn("recorded array not run: its template is no longer valid", "array", id, "field", bad.field,
				"reason", bad.text)
			if err := x.endUnsent(ctx, f, bad); err != nil {
				return 0, err
			}
		}
	}
	for i := range a.open {
		if err := a.settle(ctx, &a.open[i]); err != nil {
			return 0, err
		}
	}
	return a.enqueue(partition), nil
}

// adoption is the state of one call of Front.Adopt.
type adoption struct {
	front   *Front
	prefix  string // prefix of the record keys of the partition
	now     time.Time
	arrays  map[string]*adoptedArray
	open    []Record // jobs that have not ended, in key order
	waiting []*job   // jobs that keep waiting, without array members
}

func (a *adoption) readArrays(ctx context.Context) error {
	return a.front.forEachRow(ctx, kindArray, a.prefix, func(row jobstore.Row) error {
		x := &adoptedArray{array: &array{}, open: map[int]bool{}}
		if err := json.Unmarshal(row.Value, &x.r); err != nil {
			return err
		}
		a.arrays[x.r.ID] = x
		return nil
	})
}

func (a *adoption) readOpen(ctx context.Context) error {
	return a.front.forEachRow(ctx, kindOpen, a.prefix, func(row jobstore.Row) error {
		value, found, err := a.front.store.Get(ctx, kindJob, row.Key)
		if err != nil || !found {
			return err
		}
		r := parseRecord(value)
		a.open = append(a.open, r)
		if x := a.findArray(&r); x != nil && !r.State.final() {
			x.open[*r.Index] = true
		}
		return nil
	})
}

// findArray returns the array that a record is a member of, or nil.
func (a *adoption) findArray(r *Record) *adoptedArray {
	if !r.member() {
		return nil
	}
	return a.arrays[r.Array]
}

// readTemplate parses the template of an array whose members are still to run, and returns why it is invalid.
func (a *adoption) readTemplate(x *adoptedArray) *argumentError {
	t, bad := a.front.readAccepted(x.r.Template, x.r.Submitted, x.r.Category, x.r.Class)
	if bad != nil {
		return bad
	}
	t.job.Method, t.job.IdempotencyKey = "POST", newTraceID()+newTraceID()
	x.t = *t
	return nil
}

// settle decides and records what becomes of a job that had not ended.
func (a *adoption) settle(ctx context.Context, r *Record) error {
	x := a.findArray(r)
	switch {
	case r.State.final():
	case r.unsent() && x != nil && x.r.UnsentReason != "":
		r.endUnsent(x.r.UnsentReason, a.now)
	case r.unsent() && x != nil && x.r.Terminated:
		r.State, r.SubState, r.Annotation, r.Finished = Failed, subTerminated, terminatedUnsent, a.now
	case r.unsent() && x != nil:
		x.requeued = append(x.requeued, *r.Index) // another restart finds its record
		return nil
	case r.unsent() && !r.HandedOver && r.Array == "":
		bad := a.queueJob(r)
		if bad == nil {
			return nil
		}
		r.endUnsent(unsentReason(bad), a.now)
	default:
		*r = afterRestart(*r, earlierIncarnation)
		if r.State == Undetermined {
			r.Finished = a.now
		}
	}
	changes := r.changes()
	for i := range changes { // nothing is open in this incarnation; only callbacks for an UNDETERMINED job are accepted
		if k := changes[i].Kind; k == kindOpen || k == kindSent && r.State != Undetermined {
			changes[i].Value = nil
		}
	}
	if x != nil && x.open[*r.Index] { // the member and its array's counts are written together
		x.countEnded(r)
		changes = append(changes, x.changes()...)
	}
	return a.front.store.Write(ctx, changes...)
}

// queueJob collects a job that was never handed to the core, so that enqueue puts it in the queue. It returns why the
// job's template is no longer valid.
func (a *adoption) queueJob(r *Record) *argumentError {
	t, bad := a.front.readAccepted(r.Template, r.Submitted, r.Category, r.Class)
	if bad != nil {
		return bad
	}
	j := &job{f: a.front, queue: true, ref: jobqueue.JobRef{ID: r.ID}, in: t.job, deadline: r.Deadline, hash: t.hash,
		changed: make(chan struct{}), ready: closedChan, r: *r}
	j.in.Method = "POST"
	if j.in.IdempotencyKey == "" {
		j.in.IdempotencyKey = newTraceID() + newTraceID()
	}
	a.waiting = append(a.waiting, j)
	return nil
}

// unsentReason returns the annotation of jobs that are not run, because their template has become invalid: what it names
// is no longer in the settings.
func unsentReason(bad *argumentError) string {
	return "not run, since its template is no longer valid: " + bad.field + ": " + bad.text
}

// endUnsent ends a job that is not run. If an attempt of an earlier hand-over may have run, the record says so.
func (r *Record) endUnsent(reason string, now time.Time) {
	r.State, r.SubState, r.Annotation, r.Finished = Failed, subUnsent, reason, now
	if r.mayHaveRun() {
		r.SubState = subFailed
	}
}

// enqueue puts the collected jobs and arrays in the queue and returns their number.
func (a *adoption) enqueue(partition string) int {
	f, unfinished := a.front, 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, x := range a.arrays {
		f.arrays[id] = x.array
		if !x.finished() {
			unfinished++
			f.queue.Restore(x.r.item(), jobqueue.Progress{Next: x.r.Next, Requeued: x.requeued, Skipped: x.skipped}, a.now)
		}
		if len(x.requeued) > 0 { // executors may be busy: other nodes may requeue members at the same time
			f.ramp.Restart()
		}
	}
	for _, j := range a.waiting {
		if f.jobs[j.r.ID] != nil {
			continue
		}
		f.register(j)
		f.waiting[j.r.ID] = j
		f.queue.Add(jobqueue.Item{ID: j.r.ID, Session: j.r.Session, Priority: j.r.Priority, Start: j.r.Start, Held: j.r.State == QueuedHeld}, a.now)
	}
	if len(a.waiting) > 0 {
		f.ramp.Restart()
	}
	f.log.Info("batch jobs adopted", "of", partition, "waiting", f.queue.Waiting(), "arrays", unfinished)
	f.wake()
	return len(a.waiting) + unfinished
}

// forEachRow calls each for all rows of a kind whose keys have a prefix.
func (f *Front) forEachRow(ctx context.Context, kind, prefix string, each func(jobstore.Row) error) error {
	return f.forEachRowAfter(ctx, kind, prefix, prefix, each)
}

// forEachRowAfter is forEachRow for the rows whose keys sort after a given key, which need not exist.
func (f *Front) forEachRowAfter(ctx context.Context, kind, prefix, after string, each func(jobstore.Row) error) error {
	for {
		rows, err := f.store.Page(ctx, kind, after, 256)
		if err != nil {
			return err
		}
		for _, r := range rows {
			if !strings.HasPrefix(r.Key, prefix) {
				return nil
			}
			if err := each(r); err != nil {
				return fmt.Errorf("%s %s: %w", kind, r.Key, err)
			}
			after = r.Key
		}
		if len(rows) == 0 { // a shorter page is not the last one: pages are also limited by size
			return nil
		}
	}
}
