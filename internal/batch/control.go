package batch

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"gatetack/internal/filter"
	"gatetack/internal/http1"
	"gatetack/internal/node"
	"gatetack/internal/records"
	"gatetack/internal/release"
)

func (f *Front) info(ctx context.Context, session, id string) http1.Response {
	_, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknown(id)
	}
	return f.answer(200, r)
}

// visible finds a job that clients of a session may see: its own. An empty session stands for all, which the default
// one's clients and the monitoring ones see by its id.
func (f *Front) visible(ctx context.Context, session, id string) (*job, Record, bool) {
	j, r, ok := f.find(ctx, id)
	if ok && session != "" && r.Session != session {
		return nil, Record{}, false
	}
	return j, r, ok
}

// template gives a job's template back (Job::jobTemplate).
func (f *Front) template(ctx context.Context, session, id string) http1.Response {
	_, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknown(id)
	}
	if len(r.Template) == 0 && r.Array != "" {
		if a, ok, _ := f.arrayOf(ctx, r.Array); ok {
			r.Template = a.record().Template
		}
	}
	if len(r.Template) == 0 {
		return conflict(r, "the template is not kept")
	}
	return http1.Response{Status: 200, Fields: jsonType(), Body: r.Template}
}

// terminate ends a job that was not sent. One that was is not stopped, and is not said to be.
func (f *Front) terminate(ctx context.Context, session, id string) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknown(id)
	}
	if j == nil {
		if r.Array != "" && !r.State.over() && r.State != Undetermined {
			return f.terminateMember(ctx, r)
		}
		return conflict(r, "the job is not one that this node can end")
	}
	now := time.Now()
	if j.queue && f.unqueue(j, now) {
		j.end(func(r *Record) {
			r.State, r.SubState, r.Annotation = Failed, subTerminated, terminatedUnsent
		}, now)
		return f.answer(200, j.record())
	}
	err := node.ErrUnknown
	if core := j.coreID(); core != 0 {
		err = f.core.Terminate(ctx, core)
	}
	switch r = j.record(); {
	case err == nil:
		return f.answer(200, r)
	case errors.Is(err, node.ErrRunning):
		return conflict(r, "the job was sent to an executor, is not stopped there, and its result still comes")
	case errors.Is(err, node.ErrUnknown) && !r.State.over():
		return conflict(r, "the job is being handed over: ask again")
	case errors.Is(err, node.ErrUnknown):
		return conflict(r, "the job has ended")
	}
	return problem(500, "INTERNAL", "", err.Error())
}

// unqueue takes a job out of those that wait here, and says whether it was among them.
func (f *Front) unqueue(j *job, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j.array != nil {
		return f.queue.RemoveOne(j.ref, now)
	}
	return len(f.queue.Remove(j.ref.ID, now)) > 0
}

// terminateMember ends a member whose turn has not come.
func (f *Front) terminateMember(ctx context.Context, r Record) http1.Response {
	now := time.Now()
	f.mu.Lock()
	a := f.arrays[r.Array]
	ref := release.Ref{ID: r.Array, Index: *r.Index}
	if a == nil || !f.queue.RemoveOne(ref, now) {
		f.mu.Unlock()
		if _, r, ok := f.find(ctx, r.ID); ok { // its turn has come meanwhile
			return conflict(r, "the job is being handed over: ask again")
		}
		return unknown(r.ID)
	}
	r.State, r.SubState, r.Annotation, r.Finished = Failed, subTerminated, terminatedUnsent, now
	j := f.endedMember(a, ref)
	f.mu.Unlock()
	j.end(func(x *Record) { *x = r }, now)
	return f.answer(200, r)
}

// endedMember makes the job of a member that ends without a turn in this life. The front's lock is held.
func (f *Front) endedMember(a *array, ref release.Ref) *job {
	x := a.record()
	j := &job{f: f, array: a, ref: ref, changed: make(chan struct{}), ready: closed, r: a.memberRecord(&x, ref.Index)}
	f.keep(j)
	return j
}

// hold keeps back, and release lets go, a job or an array that waits here (Job::hold, Job::release). What was handed to
// the core, or to a box, is not held, and is not said to be.
func (f *Front) hold(ctx context.Context, session, id string, held bool) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknown(id)
	}
	if j == nil || !j.queue || j.array != nil {
		if r.Array != "" {
			return conflict(r, "members of an array are held and released together: name the array")
		}
		return conflict(r, "only a job that waits at this node, on hold or for its start time, can be held or released")
	}
	now := time.Now()
	f.mu.Lock()
	was := f.queue.Held(j.ref.ID)
	done := f.queue.Hold(j.ref.ID, now)
	if !held {
		done = was && f.queue.Release(j.ref.ID, now)
	}
	if done {
		j.update(func(r *Record) {
			if r.State, r.SubState = Queued, subHeld; held {
				r.State = QueuedHeld
			} else if r.Start.After(now) {
				r.SubState = subDeferred
			}
		})
	} else if !was && !held {
		f.queue.Release(j.ref.ID, now) // it was not held: as it was
	}
	f.mu.Unlock()
	if !done {
		what := "release: it is not on hold"
		if held {
			what = "hold: it was handed over already"
		}
		return conflict(j.record(), "nothing to "+what)
	}
	f.wake()
	if err := f.put(ctx, j, nil); err != nil {
		return tryLater("it is so, but could not be recorded: " + err.Error())
	}
	return f.answer(200, j.record())
}

// ---- arrays

func (f *Front) arrayCall(ctx context.Context, session, id, call string) http1.Response {
	a, ok, err := f.arrayOf(ctx, id)
	if err != nil {
		return tryLater("the store can not tell: " + err.Error())
	}
	if !ok || session != "" && a.record().Session != session {
		return problem(404, "INVALID_ARGUMENT", "jobArrayId", "no job array has the id "+quote(id))
	}
	switch call {
	case "":
		return reply(200, a.record().status())
	case "terminate":
		return f.terminateArray(ctx, a)
	case "hold", "release":
		return f.holdArray(ctx, a, call == "hold")
	}
	return f.noSuspend(call)
}

func (f *Front) noSuspend(call string) http1.Response {
	return problem(501, "UNSUPPORTED_OPERATION", "", call+": nothing stops or continues a job at a render box")
}

func (f *Front) holdArray(ctx context.Context, a *array, held bool) http1.Response {
	now := time.Now()
	f.mu.Lock()
	id := a.record().ID
	was := f.queue.Held(id)
	done := false
	if held {
		done = f.queue.Hold(id, now)
	} else {
		done = was && f.queue.Release(id, now)
	}
	if done {
		a.set(func(r *arrayRecord) { r.Held = held })
	}
	f.mu.Unlock()
	if !done {
		return reply(409, map[string]any{"error": "INVALID_STATE", "message": "no member of the array waits, or none is on hold", "jobArray": a.record().status()})
	}
	f.wake()
	if err := f.recordArray(ctx, a); err != nil {
		return tryLater("it is so, but could not be recorded: " + err.Error())
	}
	return reply(200, a.record().status())
}

// terminateArray ends the members that were not sent. Those that were go on, and are counted as what they are.
func (f *Front) terminateArray(ctx context.Context, a *array) http1.Response {
	now := time.Now()
	x := a.record()
	f.mu.Lock()
	_, again, _, _ := f.queue.State(x.ID)
	refs := f.queue.Remove(x.ID, now)
	var back []*job // members that had their turn, came back, and wait again
	ended := 0
	for _, r := range refs {
		switch j := f.jobs[memberID(r.ID, r.Index)]; {
		case j != nil:
			back = append(back, j)
		case slices.Contains(again, r.Index): // in an earlier life
			back = append(back, f.endedMember(a, r))
		default:
			ended++
		}
	}
	a.set(func(r *arrayRecord) {
		if ended > 0 {
			r.Cut = true
			r.Failed += ended
		}
	})
	var out []*job
	for _, j := range f.order {
		if j.array == a && !slices.Contains(back, j) {
			if r := j.record(); !r.State.over() {
				out = append(out, j)
			}
		}
	}
	if a.over() {
		f.finished(a)
	}
	f.mu.Unlock()
	for _, j := range back {
		j.end(func(r *Record) {
			r.State, r.SubState, r.Annotation = Failed, subTerminated, terminatedUnsent
		}, now)
	}
	still := 0
	for _, j := range out {
		if core := j.coreID(); core == 0 || f.core.Terminate(ctx, core) != nil {
			if r := j.record(); !r.State.over() {
				still++
			}
		}
	}
	if err := f.recordArray(ctx, a); err != nil {
		return tryLater("it is so, but could not be recorded: " + err.Error())
	}
	if still > 0 {
		return reply(409, map[string]any{"error": "INVALID_STATE", "jobArray": a.record().status(), "stillOut": still,
			"message": fmt.Sprintf("%d members were sent to executors, are not stopped there, and their results still come; the others are terminated", still)})
	}
	return reply(200, a.record().status())
}

// ---- waiting

// wait answers once a job has started, or has ended, or when the time to wait is over.
func (f *Front) wait(ctx context.Context, session, id, target string) http1.Response {
	q, most, started, r := f.waitQuery(target)
	if q == nil {
		return r
	}
	if _, _, ok := f.visible(ctx, session, id); !ok {
		return unknown(id)
	}
	got, timeout := f.waitFor(ctx, []string{id}, started, most)
	switch {
	case ctx.Err() != nil:
		return http1.Response{Status: 503, Close: true} // nobody reads it
	case timeout:
		_, rec, ok := f.find(ctx, id)
		if !ok {
			return unknown(id)
		}
		return state(504, "TIMEOUT", rec, "the job is not there yet")
	}
	return f.answer(200, *got)
}

func (f *Front) waitQuery(target string) (q url.Values, most time.Duration, started bool, bad http1.Response) {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return nil, 0, false, problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	started, most, x := f.waitArgs(q.Get("for"), q.Get("timeoutMs"))
	if x != nil {
		return nil, 0, false, refuse(x)
	}
	return q, most, started, http1.Response{}
}

func (f *Front) waitArgs(what, timeout string) (started bool, most time.Duration, bad *fault) {
	switch what {
	case "", "terminated":
	case "started":
		started = true
	default:
		return false, 0, &fault{"INVALID_ARGUMENT", "for", "neither started nor terminated"}
	}
	most = f.lim.BatchWait
	if timeout != "" {
		ms, err := strconv.ParseUint(timeout, 10, 31)
		if err != nil {
			return false, 0, &fault{"INVALID_ARGUMENT", "timeoutMs", "not a whole number of milliseconds"}
		}
		most = min(most, time.Duration(ms)*time.Millisecond)
	}
	return started, most, nil
}

// waitFor waits until one of several jobs has started or ended, and gives that one. A job that no longer changes here -
// one of another life, or UNDETERMINED - counts as ended: nothing more will be told of it.
func (f *Front) waitFor(ctx context.Context, ids []string, started bool, most time.Duration) (*Record, bool) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		// The channel comes first: a change after a look wakes, and one before it is seen.
		f.events.mu.Lock()
		var more <-chan struct{} = f.events.grown
		f.events.mu.Unlock()
		var single <-chan struct{}
		for _, id := range ids {
			j, r, ok := f.find(ctx, id)
			if ok && (r.State.over() || r.State == Undetermined || started && r.State == Running) {
				return &r, false
			}
			if j != nil && len(ids) == 1 {
				_, single = j.watch()
				if r = j.record(); r.State.over() || started && r.State == Running {
					return &r, false
				}
			}
		}
		if single != nil {
			more = single
		}
		select {
		case <-more:
		case <-timer.C:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

const mostWaited = 1000

// waitAny answers once one of many jobs has started or ended (waitAnyStarted, waitAnyTerminated).
func (f *Front) waitAny(ctx context.Context, session string, body []byte) http1.Response {
	if nested(body) > 4 || !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON")
	}
	v := gjson.ParseBytes(body)
	ids, err := strs(v.Get("jobs"), mostWaited)
	if err != nil || len(ids) == 0 {
		return problem(400, "INVALID_ARGUMENT", "jobs", fmt.Sprintf("not a list of 1 to %d ids", mostWaited))
	}
	started, most, bad := f.waitArgs(v.Get("for").String(), v.Get("timeoutMs").Raw)
	if bad != nil {
		return refuse(bad)
	}
	for _, id := range ids {
		if _, _, ok := f.visible(ctx, session, id); !ok {
			return unknown(id)
		}
	}
	r, timeout := f.waitFor(ctx, ids, started, most)
	switch {
	case timeout:
		return problem(504, "TIMEOUT", "", "none of the jobs is there yet")
	case r == nil:
		return http1.Response{Status: 503, Close: true}
	}
	return f.answer(200, *r)
}

// reap forgets a job that has ended, and its record (Job::reap).
func (f *Front) reap(ctx context.Context, session, id string) http1.Response {
	j, r, ok := f.visible(ctx, session, id)
	if !ok {
		return unknown(id)
	}
	if !r.State.over() && (j != nil || r.State != Undetermined) {
		return conflict(r, "only a job that has ended can be reaped")
	}
	if f.foreign(id) {
		return conflict(r, "it is another node's job")
	}
	if j != nil {
		j.putting.Lock() // its end may be on its way to the record: after it, not before
		defer j.putting.Unlock()
	}
	if f.store != nil {
		gone := []records.Change{{Kind: kindJob, Key: key(id)}, {Kind: kindOpen, Key: key(id)}}
		if r.Trace != "" { // of one in doubt
			gone = append(gone, records.Change{Kind: kindSent, Key: r.Trace})
		}
		if err := f.store.Write(ctx, gone...); err != nil {
			return tryLater("its end could not be recorded: " + err.Error())
		}
	}
	if j != nil {
		f.mu.Lock()
		if i := slices.Index(f.order, j); i >= 0 {
			f.order = slices.Delete(f.order, i, i+1)
			f.forget(j, &r)
		}
		f.mu.Unlock()
	}
	return http1.Response{Status: 204}
}

// ---- lists

// Fields are what filters of jobs may name.
var Fields = filter.Schema{
	{Name: "id", Kind: filter.Text, Help: "the job's id"}, {Name: "state", Kind: filter.Word, Words: States, Help: "jobState"},
	{Name: "sub", Kind: filter.Text, Help: "jobSubState"}, {Name: "category", Kind: filter.Text, Help: "jobCategory: the class"},
	{Name: "account", Kind: filter.Text, Help: "accountingId: the tenant"}, {Name: "name", Kind: filter.Text, Help: "jobName"},
	{Name: "session", Kind: filter.Text, Help: "sessionName"}, {Name: "array", Kind: filter.Text, Help: "jobArrayId"},
	{Name: "machine", Kind: filter.List, Help: "allocatedMachines"}, {Name: "priority", Kind: filter.Number},
	{Name: "submitted", Kind: filter.Time}, {Name: "started", Kind: filter.Time, Help: "dispatchTime"},
	{Name: "finished", Kind: filter.Time}, {Name: "deadline", Kind: filter.Time},
	{Name: "age", Kind: filter.Span, Help: "since the submission"}, {Name: "wallclock", Kind: filter.Span, Help: "from dispatch to end"},
}

// Row gives a record's fields to a filter.
func (r *Record) Row(now time.Time) filter.Row {
	return func(name string) any {
		switch name {
		case "id":
			return r.ID
		case "state":
			return string(r.State)
		case "sub":
			return r.SubState
		case "category":
			return r.Category
		case "account":
			return r.Account
		case "name":
			return r.Name
		case "session":
			return r.Session
		case "array":
			return r.Array
		case "machine":
			return r.Machines
		case "priority":
			return float64(r.Priority)
		case "submitted":
			return r.Submitted
		case "started":
			return r.Dispatched
		case "finished":
			return r.Finished
		case "deadline":
			return r.Deadline
		case "age":
			return now.Sub(r.Submitted)
		case "wallclock":
			if !r.Dispatched.IsZero() && !r.Finished.IsZero() {
				return r.Finished.Sub(r.Dispatched)
			}
		}
		return nil
	}
}

// list gives a page of jobs (getJobs): those that a filter picks, from a cursor on. A page may hold fewer than asked for,
// also none, while there is a cursor to go on from: no call looks at more than so many records.
func (f *Front) list(ctx context.Context, session, target string) http1.Response {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	for name := range q {
		if !slices.Contains([]string{"jobState", "filter", "after", "limit"}, name) {
			return problem(400, "INVALID_ARGUMENT", name, "no argument of a list")
		}
	}
	want := State(q.Get("jobState"))
	if want != "" && !slices.Contains(States, string(want)) {
		return problem(400, "INVALID_ARGUMENT", "jobState", "no state of a job")
	}
	pick, err := filter.Parse(Fields, q.Get("filter"))
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "filter", err.Error())
	}
	limit := f.lim.BatchPage
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > f.lim.BatchPage {
			return problem(400, "INVALID_ARGUMENT", "limit", fmt.Sprintf("not a whole number from 1 to %d", f.lim.BatchPage))
		}
		limit = n
	}
	after := ""
	if text := q.Get("after"); text != "" {
		n, ok := parseID(text)
		if !ok {
			return problem(400, "INVALID_ARGUMENT", "after", "no cursor that this node gave")
		}
		after = n.key()
	}
	now := time.Now()
	out, next := []Record{}, ""
	take := func(r Record) bool {
		if (session == "" || r.Session == session) && (want == "" || r.State == want) && pick.Match(r.Row(now), now) {
			r.Result = nil // told by the job's own info
			out = append(out, r.shown())
		}
		if next = r.ID; len(out) < limit {
			return true
		}
		return false
	}
	done, err := f.each(ctx, after, take)
	if err != nil {
		return tryLater("the store can not tell: " + err.Error())
	}
	body := map[string]any{"jobs": out}
	if !done {
		body["next"] = next
	}
	return reply(200, body)
}

// each calls take for the jobs after a key in their order, until it has enough or BatchLook were looked at, and says
// whether that were all.
func (f *Front) each(ctx context.Context, after string, take func(Record) bool) (done bool, err error) {
	if f.store == nil {
		f.mu.Lock()
		jobs := slices.Clone(f.order)
		f.mu.Unlock()
		slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(key(a.r.ID), key(b.r.ID)) })
		for i, j := range jobs {
			if key(j.r.ID) > after && !take(j.record()) {
				return i == len(jobs)-1, nil
			}
		}
		return true, nil
	}
	for looked := 0; looked < f.lim.BatchLook; {
		rows, err := f.store.Page(ctx, kindJob, after, 256)
		if err != nil {
			return false, err
		}
		for _, row := range rows {
			after = row.Key
			r := parseRecord(row.Value)
			f.mu.Lock()
			j := f.jobs[r.ID]
			f.mu.Unlock()
			if j != nil {
				r = j.record() // newer than its record
			} else {
				r = f.told(r)
			}
			if !take(r) {
				return false, nil
			}
		}
		if len(rows) == 0 { // a page may be cut short by its bytes
			return true, nil
		}
		looked += len(rows)
	}
	return false, nil
}
