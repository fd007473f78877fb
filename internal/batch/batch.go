// Package batch is the front for DRMAA-style batch submission: an HTTP/1.1 + JSON binding of DRMAAv2's terms
// (job template, job info, job states, terminate, wait). Jobs go through the same core as the platform's.
package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"quincereach/brain"
	"quincereach/internal/http1"
	"quincereach/internal/limits"
	"quincereach/internal/node"
)

// Core takes jobs.
type Core interface {
	Submit(node.Job, node.Client) (uint32, error)
	Terminate(ctx context.Context, id uint32) error
	Counts(context.Context) (node.Counts, error)
}

// Store keeps what must outlive this life of the node. Put returns once the value is safe, and Get tells nothing
// that is out of date: an older record could say of a job that nothing of it was sent.
type Store interface {
	Put(ctx context.Context, kind, key string, value []byte) error
	Get(ctx context.Context, kind, key string) (value []byte, found bool, err error)
}

// Prefix of all paths of this front.
const Prefix = "/drmaa2/v1"

// Front answers batch clients.
type Front struct {
	core  Core
	store Store // nil: nothing outlives the node
	s     brain.Settings
	names node.Names
	lim   limits.Limits
	most  time.Duration // that a client may be told to stay away
	log   *slog.Logger
	ids   ids
	stop  atomic.Bool

	mu    sync.Mutex
	jobs  map[string]*job
	order []*job    // as submitted; those that are over go first
	bytes int       // of results kept
	dirty chan *job // whose ends are to be recorded
	// How many ends are not on record yet; dirty is empty already while the last one is being written.
	unsaved atomic.Int64
}

// New makes a front for one life of a node.
func New(core Core, store Store, nodeName string, life time.Time, s brain.Settings, names node.Names,
	lim limits.Limits, maxRetryAfter time.Duration, log *slog.Logger) *Front {
	return &Front{core: core, store: store, s: s, names: names, lim: lim, most: maxRetryAfter, log: log,
		ids: ids{node: nodeName, life: life.UnixMilli()}, jobs: map[string]*job{}, dirty: make(chan *job, lim.MaxOpen)}
}

// Drain refuses new submissions from now on. All else is still answered.
func (f *Front) Drain() { f.stop.Store(true) }

// Run records ends in the store until the context ends.
func (f *Front) Run(ctx context.Context) error {
	for {
		select {
		case j := <-f.dirty:
			if err := f.put(ctx, j, nil); err != nil && ctx.Err() == nil {
				f.log.Warn("a job's end was not recorded", "job", j.record().ID, "err", err)
			}
			f.unsaved.Add(-1)
		case <-ctx.Done():
			return nil
		}
	}
}

// put records a job as it is, or as change makes it. Records of one job follow one another: an end that was
// recorded must not be overwritten by a send that was decided before it.
func (f *Front) put(ctx context.Context, j *job, change func(*Record) error) error {
	j.putting.Lock()
	defer j.putting.Unlock()
	r := j.record()
	if change != nil {
		if err := change(&r); err != nil {
			return err
		}
	}
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return f.store.Put(ctx, "job", r.ID, value)
}

// Pending says whether ends still wait to be recorded.
func (f *Front) Pending() bool { return f.unsaved.Load() > 0 }

// ids name jobs by node and life, so that after a restart a job of an earlier life is told from one of this.
type ids struct {
	node string
	life int64
	last atomic.Uint64
}

func (x *ids) next() string { return fmt.Sprintf("%s.%x.%d", x.node, x.life, x.last.Add(1)) }

// origin is where an id comes from.
type origin uint8

const (
	noID      origin = iota
	ours             // this life of this node gave it
	formerly         // an earlier life of this node did
	elsewhere        // another node did
)

// origin tells where an id comes from.
func (x *ids) origin(id string) origin {
	head, last, ok := cutLast(id)
	name, text, ok2 := cutLast(head)
	seq, err := strconv.ParseUint(last, 10, 64)
	if !ok || !ok2 || err != nil || seq == 0 || name == "" || len(id) > 200 {
		return noID
	}
	life, err := strconv.ParseInt(text, 16, 64)
	switch {
	case err != nil:
		return noID
	case name != x.node:
		return elsewhere
	case life < x.life:
		return formerly
	case life == x.life && seq <= x.last.Load():
		return ours
	}
	return noID
}

func cutLast(s string) (before, after string, ok bool) {
	at := strings.LastIndexByte(s, '.')
	if at < 0 {
		return "", "", false
	}
	return s[:at], s[at+1:], true
}

// State is a job's state in DRMAAv2's words.
type State string

// The states in use. Nothing here suspends or holds a job.
const (
	Undetermined State = "UNDETERMINED"
	Queued       State = "QUEUED"
	Requeued     State = "REQUEUED" // an executor handed it back unstarted
	Running      State = "RUNNING"
	Done         State = "DONE"
	Failed       State = "FAILED"
)

func (s State) over() bool { return s == Done || s == Failed }

// Record is what is known of a job: DRMAAv2's JobInfo, with what this front adds behind it.
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
	Submitted  time.Time `json:"submissionTime,omitzero"`
	Dispatched time.Time `json:"dispatchTime,omitzero"`
	Finished   time.Time `json:"finishTime,omitzero"`
	RetryMS    int64     `json:"retryAfterMs,omitempty"`
	Result     *string   `json:"result,omitempty"`
}

// Sub-states say more than DRMAAv2's states do.
const (
	subHeld       = "held"       // at this node, until an executor has room
	subSent       = "sent"       // to an executor, and not started there as far as is known
	subRefused    = "refused"    // submitting it again is harmless
	subFailed     = "failed"     // promises nothing
	subTerminated = "terminated" // before it was sent
	subUnsent     = "unsent"     // the node ended before it sent it: submitting it again is harmless
)

// job is one of this life. The core's goroutine and the clients' ones share it.
type job struct {
	f    *Front
	core uint32 // the core's number for it, set before the job can be found

	putting sync.Mutex

	mu      sync.Mutex
	r       Record
	changed chan struct{} // closed at the next change
}

func (j *job) update(change func(*Record)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.r)
	close(j.changed)
	j.changed = make(chan struct{})
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
func (j *job) Started() { j.update(func(r *Record) { r.State, r.SubState = Running, "" }) }

// Returned says that nothing of the job is out any more, and that it goes on.
func (j *job) Returned(neverRan bool) {
	j.update(func(r *Record) {
		if r.State = Requeued; !neverRan {
			r.Annotation = "an attempt may have run"
		}
		r.SubState = subHeld
	})
}

// Answer ends the job.
func (j *job) Answer(a node.Answer) {
	j.update(func(r *Record) {
		r.State, r.Finished, r.Annotation = Failed, time.Now(), a.Why
		switch a.End {
		case node.Served:
			zero, text := 0, string(a.Result)
			r.State, r.SubState, r.ExitStatus, r.Result = Done, "", &zero, &text
		case node.Refused:
			r.SubState = subRefused
			r.RetryMS = node.Round(a.RetryAfter, j.f.most).Milliseconds()
		case node.Failed:
			r.SubState = subFailed
		case node.Terminated:
			r.SubState = subTerminated
		}
	})
	j.f.over(j, len(a.Result))
}

// over keeps a job that has ended for later queries, within bounds: the oldest ones go first.
func (f *Front) over(j *job, size int) {
	f.mu.Lock()
	f.bytes += size
	for i := 0; i < len(f.order) && (len(f.order) > f.lim.BatchJobs || f.bytes > f.lim.BatchBytes); {
		old := f.order[i]
		r := old.record()
		if !r.State.over() || old == j {
			i++
			continue
		}
		if r.Result != nil {
			f.bytes -= len(*r.Result)
		}
		delete(f.jobs, r.ID)
		f.order = append(f.order[:i], f.order[i+1:]...)
	}
	f.mu.Unlock()
	if f.store == nil {
		return
	}
	f.unsaved.Add(1)
	select {
	case f.dirty <- j:
	default:
		f.unsaved.Add(-1)
		f.log.Warn("a job's end is not recorded: too many wait", "job", j.record().ID)
	}
}

// Handle answers one request.
func (f *Front) Handle(ctx context.Context, m *http1.Message) http1.Response {
	r := f.route(ctx, m)
	r.Known = r.Status < 400 // a client that it understood keeps its connection as one of the platform's does
	return r
}

func (f *Front) route(ctx context.Context, m *http1.Message) http1.Response {
	path, ok := strings.CutPrefix(m.Path(), Prefix)
	if !ok {
		return problem(404, "INVALID_ARGUMENT", "", "paths of this front begin with "+Prefix)
	}
	switch parts := strings.Split(strings.Trim(path, "/"), "/"); {
	case parts[0] == "counts" && len(parts) == 1:
		if m.Method != "GET" {
			return method("GET")
		}
		n, err := f.core.Counts(ctx)
		if err != nil {
			return problem(500, "INTERNAL", "", err.Error())
		}
		return http1.Response{Status: 200, Fields: jsonType(), Body: n.JSON()}
	case parts[0] != "jobs" || len(parts) > 3:
	case len(parts) == 1 && m.Method == "POST":
		return f.submit(ctx, m.Body)
	case len(parts) == 1 && m.Method == "GET":
		return f.list(m.Target)
	case len(parts) == 1:
		return method("GET, POST")
	case len(parts) == 2 && m.Method == "GET":
		return f.info(ctx, parts[1])
	case len(parts) == 2 && m.Method == "DELETE":
		return f.terminate(ctx, parts[1])
	case len(parts) == 2:
		return method("GET, DELETE")
	case parts[2] == "terminate" && m.Method == "POST":
		return f.terminate(ctx, parts[1])
	case parts[2] == "wait" && m.Method == "GET":
		return f.wait(ctx, parts[1], m.Target)
	case parts[2] == "terminate":
		return method("POST")
	case parts[2] == "wait":
		return method("GET")
	}
	return problem(404, "INVALID_ARGUMENT", "", "no such path")
}

// submit takes a job template. What is wrong with it is said before anything enters the core.
func (f *Front) submit(ctx context.Context, body []byte) http1.Response {
	if f.stop.Load() {
		return tryLater("the node is leaving")
	}
	t, fault := f.parse(body, time.Now())
	if fault != nil {
		return problem(400, fault.code, fault.field, fault.text)
	}
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	j := &job{f: f, changed: make(chan struct{}), r: Record{ID: f.ids.next(), State: Queued, SubState: subHeld, Name: t.name,
		Category: f.names.Classes[t.job.Class], Submitted: time.Now()}}
	if len(f.names.Tenants) > 0 {
		j.r.Account = f.names.Tenants[t.job.Tenant]
	}
	in := t.job
	in.Trace, in.Method = hex.EncodeToString(raw[:8]), "POST"
	if in.Idempotency == "" {
		in.Idempotency = hex.EncodeToString(raw[:])
	}
	if f.store != nil {
		in.Before = func(executor string) error { return f.sending(j, executor, t.until) }
		if err := f.put(ctx, j, nil); err != nil {
			return tryLater("the job could not be recorded: " + err.Error())
		}
	}
	in.Left = time.Until(t.until)
	id, err := f.core.Submit(in, j)
	if err != nil {
		j.Answer(node.Answer{End: node.Refused, Why: err.Error()})
		return tryLater(err.Error())
	}
	// Found by its id only from here on: a termination needs the core's number for it.
	f.mu.Lock()
	j.core = id
	f.jobs[j.r.ID] = j
	f.order = append(f.order, j)
	f.mu.Unlock()
	r := f.answer(201, j.record())
	r.Fields = append(r.Fields, http1.Field{Name: "Location", Value: Prefix + "/jobs/" + j.r.ID})
	return r
}

// sending records a send before it is made: after a restart, a job with a send on record may have run, and one
// without any has not.
func (f *Front) sending(j *job, executor string, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return f.put(ctx, j, func(r *Record) error {
		if r.State.over() {
			return errors.New("the job has ended")
		}
		r.SubState, r.Machines = subSent, []string{executor}
		return nil
	})
}

// find gives a job of this life, or the record of one of another.
func (f *Front) find(ctx context.Context, id string) (*job, Record, bool) {
	f.mu.Lock()
	j := f.jobs[id]
	f.mu.Unlock()
	if j != nil {
		return j, j.record(), true
	}
	from := f.ids.origin(id)
	if from == noID {
		return nil, Record{}, false
	}
	r := Record{ID: id, State: Undetermined}
	switch from {
	case ours:
		r.Annotation = "it has ended and is no longer kept"
	case formerly:
		r.Annotation = "it is of an earlier life of this node, and nothing is on record"
	default:
		r.Annotation = "it is another node's, and nothing is on record"
	}
	if f.store == nil {
		return nil, r, true
	}
	value, found, err := f.store.Get(ctx, "job", id)
	if err != nil {
		r.Annotation = "the store can not tell: " + err.Error()
	} else if found {
		r = told(parseRecord(value), from)
	}
	return nil, r, true
}

// told turns a record into what can be said of the job now. Nothing is ever run again here.
func told(r Record, from origin) Record {
	switch {
	case r.State.over() || from != formerly:
	case r.SubState == subHeld && r.State == Queued:
		// Each send is on record before it is made, and the life that could make one is over.
		r.State, r.SubState = Failed, subUnsent
		r.Annotation = "the node ended before it sent the job: submitting it again is harmless"
	default:
		r.State, r.SubState = Undetermined, ""
		r.Annotation = "the node ended after it sent the job, which may have run"
	}
	return r
}

// parseRecord reads a record as json.Marshal wrote it.
func parseRecord(data []byte) Record {
	v := gjson.ParseBytes(data)
	r := Record{ID: v.Get("jobId").String(), State: State(v.Get("jobState").String()), SubState: v.Get("jobSubState").String(),
		Annotation: v.Get("annotation").String(), Name: v.Get("jobName").String(), Category: v.Get("jobCategory").String(),
		Account: v.Get("accountingId").String(), Submitted: v.Get("submissionTime").Time(), Dispatched: v.Get("dispatchTime").Time(),
		Finished: v.Get("finishTime").Time(), RetryMS: v.Get("retryAfterMs").Int()}
	for _, m := range v.Get("allocatedMachines").Array() {
		r.Machines = append(r.Machines, m.String())
	}
	if x := v.Get("exitStatus"); x.Exists() {
		n := int(x.Int())
		r.ExitStatus = &n
	}
	if x := v.Get("result"); x.Exists() {
		text := x.String()
		r.Result = &text
	}
	return r
}

func (f *Front) info(ctx context.Context, id string) http1.Response {
	_, r, ok := f.find(ctx, id)
	if !ok {
		return unknown(id)
	}
	return f.answer(200, r)
}

// list gives the jobs of this life that are kept, of one state if the query names it.
func (f *Front) list(target string) http1.Response {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	want := State(q.Get("jobState"))
	f.mu.Lock()
	jobs := append([]*job(nil), f.order...)
	f.mu.Unlock()
	out := []Record{}
	for _, j := range jobs {
		if r := j.record(); want == "" || r.State == want {
			r.Result = nil // told by the job's own info
			out = append(out, r)
		}
	}
	body, _ := json.Marshal(map[string]any{"jobs": out})
	return http1.Response{Status: 200, Fields: jsonType(), Body: body}
}

// terminate ends a job that was not sent. One that was is not stopped, and is not said to be.
func (f *Front) terminate(ctx context.Context, id string) http1.Response {
	j, r, ok := f.find(ctx, id)
	if !ok {
		return unknown(id)
	}
	if j == nil {
		return conflict(r, "the job is not one that this node can end")
	}
	err := f.core.Terminate(ctx, j.core)
	switch r = j.record(); {
	case err == nil:
		return f.answer(200, r)
	case errors.Is(err, node.ErrRunning):
		return conflict(r, "the job was sent to an executor, is not stopped there, and its result still comes")
	case errors.Is(err, node.ErrUnknown):
		return conflict(r, "the job has ended")
	}
	return problem(500, "INTERNAL", "", err.Error())
}

// wait answers once a job has started, or has ended, or when the time to wait is over.
func (f *Front) wait(ctx context.Context, id, target string) http1.Response {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	started := false
	switch q.Get("for") {
	case "", "terminated":
	case "started":
		started = true
	default:
		return problem(400, "INVALID_ARGUMENT", "for", "neither started nor terminated")
	}
	most := f.lim.BatchWait
	if text := q.Get("timeoutMs"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return problem(400, "INVALID_ARGUMENT", "timeoutMs", "not a whole number of milliseconds")
		}
		most = min(most, time.Duration(ms)*time.Millisecond)
	}
	j, r, ok := f.find(ctx, id)
	if !ok {
		return unknown(id)
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	for j != nil {
		var changed <-chan struct{}
		if r, changed = j.watch(); r.State.over() || started && r.State == Running {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			return state(504, "TIMEOUT", r, "the job is not there yet")
		case <-ctx.Done():
			return http1.Response{Status: 503, Close: true} // nobody reads it
		}
	}
	return f.answer(200, r)
}

func (f *Front) answer(status int, r Record) http1.Response {
	body, _ := json.Marshal(r)
	out := http1.Response{Status: status, Fields: jsonType(), Body: body}
	if r.RetryMS > 0 {
		out.Fields = append(out.Fields, http1.RetryAfter(time.Duration(r.RetryMS)*time.Millisecond))
	}
	return out
}

func jsonType() []http1.Field {
	return []http1.Field{{Name: "Content-Type", Value: "application/json"}}
}

// problem is an error in DRMAAv2's words.
func problem(status int, code, field, text string) http1.Response {
	m := map[string]any{"error": code, "message": text}
	if field != "" {
		m["field"] = field
	}
	body, _ := json.Marshal(m)
	return http1.Response{Status: status, Fields: jsonType(), Body: body}
}

// tryLater refuses a submission that the module has not seen.
func tryLater(text string) http1.Response {
	r := problem(503, "TRY_LATER", "", text)
	r.Fields = append(r.Fields, http1.Field{Name: "Retry-After", Value: "1"})
	return r
}

func state(status int, code string, r Record, text string) http1.Response {
	body, _ := json.Marshal(map[string]any{"error": code, "message": text, "jobId": r.ID,
		"jobState": r.State, "jobSubState": r.SubState})
	return http1.Response{Status: status, Fields: jsonType(), Body: body}
}

func conflict(r Record, text string) http1.Response { return state(409, "INVALID_STATE", r, text) }

func unknown(id string) http1.Response {
	return problem(404, "INVALID_ARGUMENT", "jobId", "no job has the id "+strconv.Quote(id))
}

func method(allowed string) http1.Response {
	r := problem(405, "UNSUPPORTED_OPERATION", "", "only "+allowed)
	r.Fields = append(r.Fields, http1.Field{Name: "Allow", Value: allowed})
	return r
}
