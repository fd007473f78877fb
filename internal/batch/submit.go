package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
	"gatetack/internal/jobqueue"
	"gatetack/internal/jobstore"
)

func quote(s string) string { return strconv.Quote(s) }

// newTraceID returns a random ID for sending a job to an executor.
func newTraceID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// keyRecord is the stored job of an idempotency key.
type keyRecord struct {
	ID   string `json:"id"`
	Hash string `json:"hash"`
}

func (s keyRecord) json() []byte {
	b, _ := json.Marshal(s)
	return b
}

// checkAccepting reports whether submissions are accepted. While the node starts it waits a limited time for the
// stored records to be read: a job must not be accepted twice.
func (f *Front) checkAccepting(ctx context.Context) (http1.Response, bool) {
	if f.draining.Load() {
		return tryLater("the node is leaving"), false
	}
	if !f.awaitLoaded(ctx) {
		return notLoaded(ctx), false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting)+len(f.arrays)+int(f.unsettled.Load()) >= f.lim.BatchWaitingItems {
		return tryLater("too many jobs wait here"), false
	}
	return http1.Response{}, true
}

// submit handles a job template (runJob). An invalid template is rejected before anything reaches the core.
func (f *Front) submit(ctx context.Context, session string, body []byte) http1.Response {
	if r, ok := f.checkAccepting(ctx); !ok {
		return r
	}
	now := time.Now()
	t, bad := f.parseTemplate(body, now)
	if bad != nil {
		return invalidArgument(bad)
	}
	if t.idempotencyKey != "" {
		if r, ok := f.findByKey(ctx, session, t); ok {
			return r
		}
	}
	j := f.newJob(session, t, now)
	if !f.claimKey(session, t, j) {
		return f.submit(ctx, session, body) // a concurrent submission has claimed the key: find its job
	}
	done := make(chan http1.Response, 1)
	go func() { // it goes on if the client leaves
		r, err := f.accept(session, t, j, now)
		if err != nil {
			f.releaseKey(session, t, j)
		}
		close(j.ready)
		if errors.Is(err, jobstore.ErrExists) {
			r = f.submit(ctx, session, body) // another node has accepted a job under this key: find it
		}
		done <- r
	}()
	return f.awaitSettled(ctx, j.r.ID, done)
}

// releaseKey frees the idempotency key of a job that was not accepted.
func (f *Front) releaseKey(session string, t *template, j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.mu.Lock()
	j.submitFailed = true
	j.mu.Unlock()
	if k := sessionKey(session, t.idempotencyKey); f.byIdempotencyKey[k] == j {
		delete(f.byIdempotencyKey, k)
	}
}

// deleteKeyRecord deletes the record of the idempotency key of a recorded job that the core did not accept: the client
// is asked to try again, so its key must not stand for this job.
func (f *Front) deleteKeyRecord(j *job) error {
	if j.r.KeyRecord == "" || f.store == nil {
		return nil
	}
	value, found, err := f.store.Get(f.settling, kindIdempotencyKey, j.r.KeyRecord)
	if err != nil || !found || gjson.GetBytes(value, "id").String() != j.r.ID {
		return err
	}
	return f.commit(jobstore.Change{Kind: kindIdempotencyKey, Key: j.r.KeyRecord})
}

func (f *Front) newJob(session string, t *template, now time.Time) *job {
	j := &job{f: f, in: t.job, deadline: t.deadline, hash: t.hash, changed: make(chan struct{}), ready: make(chan struct{}),
		queue: t.mustWait(now), r: Record{ID: f.ids.next(), State: Queued, SubState: subHeld, Name: t.name, Session: session,
			Category: t.job.AcceptedClass.Name, Account: t.account(), Priority: t.priority, Submitted: now, Start: t.start,
			Deadline: t.deadline}}
	switch {
	case t.hold:
		j.r.State = QueuedHeld
	case j.queue:
		j.r.SubState = subDeferred
	}
	j.r.Template, j.ref = t.raw, jobqueue.JobRef{ID: j.r.ID}
	j.in.TraceID, j.in.Method = newTraceID(), "POST"
	if j.in.IdempotencyKey == "" {
		j.in.IdempotencyKey = newTraceID() + newTraceID()
	}
	return j
}

// claimKey reserves a session's idempotency key for a job, unless another job has it.
func (f *Front) claimKey(session string, t *template, j *job) bool {
	if t.idempotencyKey == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := sessionKey(session, t.idempotencyKey)
	if f.byIdempotencyKey[k] != nil {
		return false
	}
	f.byIdempotencyKey[k] = j
	return true
}

// findByKey returns the job that was submitted under an idempotency key before, so that a client that lost the
// response can submit again. Another template under the same key is an error.
func (f *Front) findByKey(ctx context.Context, session string, t *template) (http1.Response, bool) {
	f.mu.Lock()
	j := f.byIdempotencyKey[sessionKey(session, t.idempotencyKey)]
	f.mu.Unlock()
	if j != nil {
		select { // it may still be in progress
		case <-j.ready:
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true}, true
		case <-time.After(f.lim.StoreSettleTimeout):
			return outcomeUnknown(j.r.ID, "the store has not said in time whether the job under this key is on record"), true
		}
		j.mu.Lock()
		gone := j.submitFailed
		j.mu.Unlock()
		switch {
		case gone:
			return http1.Response{}, false
		case j.hash != t.hash:
			return problem(409, "INVALID_ARGUMENT", "idempotencyKey", "another template was submitted under this key, as job "+j.record().ID), true
		}
		return f.jobResponse(200, j.record()), true
	}
	if f.store == nil {
		return http1.Response{}, false
	}
	value, found, err := f.store.Get(ctx, kindIdempotencyKey, sessionKey(session, t.idempotencyKey))
	if err != nil {
		return tryLater("whether this was submitted before can not be told: " + err.Error()), true
	}
	if !found {
		return http1.Response{}, false
	}
	var same keyRecord
	_ = json.Unmarshal(value, &same)
	if same.Hash != fmt.Sprintf("%016x", t.hash) {
		return problem(409, "INVALID_ARGUMENT", "idempotencyKey", "another template was submitted under this key, as job "+same.ID), true
	}
	_, r, ok := f.find(ctx, same.ID)
	if !ok { // the job's incarnation is unknown to this node, and the key is not free
		return tryLater("the job under this key, " + same.ID + ", can not be told of here"), true
	}
	return f.jobResponse(200, r), true
}

// accept records a job, and then submits it to the core or queues it. It returns an error for a job that was not
// accepted.
func (f *Front) accept(session string, t *template, j *job, now time.Time) (http1.Response, error) {
	var more []jobstore.Change
	if t.idempotencyKey != "" {
		j.r.KeyRecord, j.r.TemplateHash = sessionKey(session, t.idempotencyKey), fmt.Sprintf("%016x", t.hash)
		more = append(more, jobstore.Change{Kind: kindIdempotencyKey, Key: j.r.KeyRecord, Value: keyRecord{j.r.ID, j.r.TemplateHash}.json(), New: true, Keep: true})
	}
	if !f.hasSession(session) {
		return noSession(session), errors.New("no such session")
	}
	if j.r.HandedOver = !j.queue; j.queue {
		j.r.Class = storeClass(t.rules, t.job.AcceptedClass)
		more = append(more, j.r.Class.change(j.r.ID))
	}
	if err := f.recordNew(append(j.r.changes(), more...), anyValue); err != nil {
		return writeError(j.r.ID, "the job could not be recorded", err), err
	}
	f.events.add(&j.r)
	if j.queue {
		f.mu.Lock()
		f.register(j)
		f.waiting[j.r.ID] = j
		f.queue.Add(jobqueue.Item{ID: j.r.ID, Session: session, Priority: t.priority, Start: t.start, Held: t.hold}, now)
		f.mu.Unlock()
		f.dropIfOwnedElsewhere(j.r.ID)
		f.wake()
		return f.created(j), nil
	}
	f.mu.Lock()
	f.register(j)
	f.mu.Unlock()
	if f.dropIfOwnedElsewhere(j.r.ID) {
		return f.created(j), nil
	}
	if err := f.submitToCore(j.in, j); err != nil {
		if err := f.deleteKeyRecord(j); err != nil { // its key stands for the rejected job, which the response shows
			f.log.Warn("record of the idempotency key of a rejected job not deleted", "job", j.r.ID, "err", err)
			return f.created(j), nil
		}
		return tryLater(err.Error()), err
	}
	return f.created(j), nil
}

func (f *Front) created(j *job) http1.Response {
	r := f.jobResponse(201, j.record())
	r.Fields = append(r.Fields, http1.Field{Name: "Location", Value: Prefix + "/jobs/" + j.r.ID})
	return r
}

// submitArray handles a job array (runBulkJobs, GFD.194 section 8.2.7).
func (f *Front) submitArray(ctx context.Context, session string, body []byte) http1.Response {
	if r, ok := f.checkAccepting(ctx); !ok {
		return r
	}
	root, err := boundedjson.ParseObject(body, templateDepth)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON, nested at most 16 levels deep")
	}
	x := arrayRecord{Begin: 1, End: -1, Step: 1, Session: session}
	var bad *argumentError
	var t *template
	now := time.Now()
	root.ForEach(func(k, v gjson.Result) bool {
		var err error
		switch k.String() {
		case "jobTemplate":
			t, bad = f.readTemplate(v, now, nil)
		case "beginIndex":
			x.Begin, err = wholeNumber(v, 0, maxIndex)
		case "endIndex":
			x.End, err = wholeNumber(v, 0, maxIndex)
		case "step":
			x.Step, err = wholeNumber(v, 1, maxIndex)
		case "maxParallel":
			x.MaxParallel, err = wholeNumber(v, 0, maxIndex)
		default:
			err = fmt.Errorf("no argument of a bulk submission")
		}
		if err != nil {
			bad = &argumentError{"INVALID_ARGUMENT", k.String(), err.Error()}
		}
		return bad == nil
	})
	item := jobqueue.Item{Array: true, Begin: x.Begin, End: x.End, Step: x.Step}
	switch {
	case bad != nil:
	case t == nil:
		bad = &argumentError{"INVALID_ARGUMENT", "jobTemplate", "missing"}
	case t.idempotencyKey != "":
		bad = &argumentError{"UNSUPPORTED_ATTRIBUTE", "idempotencyKey", "an array is not submitted under a key"}
	case x.End < 0:
		bad = &argumentError{"INVALID_ARGUMENT", "endIndex", "missing"}
	case x.End < x.Begin:
		bad = &argumentError{"INVALID_ARGUMENT", "endIndex", "before beginIndex"}
	case item.Size() > f.lim.BatchArrayMembers:
		bad = &argumentError{"INVALID_ARGUMENT", "endIndex", fmt.Sprintf("more than %d members", f.lim.BatchArrayMembers)}
	}
	if bad != nil {
		return invalidArgument(bad)
	}
	x.ID, x.Name, x.Category, x.Priority = f.ids.next(), t.name, t.job.AcceptedClass.Name, t.priority
	x.Account, x.Class = t.account(), storeClass(t.rules, t.job.AcceptedClass)
	x.Submitted, x.Start, x.Deadline, x.Held, x.Jobs, x.Next, x.Template = now, t.start, t.deadline, t.hold, item.Size(), x.Begin, t.raw
	t.job.Method, t.job.IdempotencyKey = "POST", newTraceID()+newTraceID()
	a := &array{t: *t, r: x}
	if !f.hasSession(session) {
		return noSession(session)
	}
	done := make(chan http1.Response, 1)
	go func() { done <- f.acceptArray(a, now) }() // it goes on if the client leaves
	return f.awaitSettled(ctx, x.ID, done)
}

// acceptArray records an array, and then queues it.
func (f *Front) acceptArray(a *array, now time.Time) http1.Response {
	x := a.record()
	if err := f.recordNew(append(a.changes(), x.Class.change(x.ID)), anyValue); err != nil {
		return writeError(x.ID, "the array could not be recorded", err)
	}
	f.mu.Lock()
	f.arrays[x.ID] = a
	f.queue.Add(x.item(), now)
	f.mu.Unlock()
	f.dropIfOwnedElsewhere(x.ID)
	f.wake()
	r := jsonResponse(201, x.status())
	r.Fields = append(r.Fields, http1.Field{Name: "Location", Value: Prefix + "/arrays/" + x.ID})
	return r
}
