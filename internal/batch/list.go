package batch

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/filter"
	"gatetack/internal/http1"
)

// Fields are the fields that job filters may name.
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

// Row returns a record's fields for a filter.
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

// list returns a page of jobs (getJobs) that match a filter, starting after a cursor. A page with a next cursor may
// hold fewer jobs than asked for, or none, because the number of records that one call scans is limited.
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
	state := State(q.Get("jobState"))
	if state != "" && !slices.Contains(States, string(state)) {
		return problem(400, "INVALID_ARGUMENT", "jobState", "no state of a job")
	}
	condition, err := filter.Parse(Fields, q.Get("filter"))
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "filter", err.Error())
	}
	limit := f.lim.BatchPageJobs
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > f.lim.BatchPageJobs {
			return problem(400, "INVALID_ARGUMENT", "limit", fmt.Sprintf("not a whole number from 1 to %d", f.lim.BatchPageJobs))
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
		if (session == "" || r.Session == session) && (state == "" || r.State == state) && condition.Match(r.Row(now), now) {
			r.Result = nil // only in the info of the single job
			out = append(out, r.public())
		}
		if next = r.ID; len(out) < limit {
			return true
		}
		return false
	}
	done, err := f.forEachJob(ctx, after, take)
	if err != nil {
		return tryLater("the store can not tell: " + err.Error())
	}
	body := map[string]any{"jobs": out}
	if !done {
		body["next"] = next
	}
	return jsonResponse(200, body)
}

// forEachJob calls take for the jobs after a key in key order, until take returns false or BatchPageScanned records
// were scanned. It reports whether those were all.
func (f *Front) forEachJob(ctx context.Context, after string, take func(Record) bool) (done bool, err error) {
	if f.store == nil {
		f.mu.Lock()
		jobs := slices.Clone(f.order)
		f.mu.Unlock()
		slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(recordKey(a.r.ID), recordKey(b.r.ID)) })
		for i, j := range jobs {
			if recordKey(j.r.ID) > after && !take(j.record()) {
				return i == len(jobs)-1, nil
			}
		}
		return true, nil
	}
	for looked := 0; looked < f.lim.BatchPageScanned; {
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
				r = j.record() // newer than the stored record
			} else {
				r = f.currentRecord(r)
			}
			if !take(r) {
				return false, nil
			}
		}
		if len(rows) == 0 { // a shorter page is not the last one: pages are also limited by size
			return true, nil
		}
		looked += len(rows)
	}
	return false, nil
}
