package batch

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gatetack/internal/boundedjson"
	"gatetack/internal/http1"
)

// wait responds when a job has started or ended, or after a timeout.
func (f *Front) wait(ctx context.Context, session, id, target string) http1.Response {
	q, maxWait, started, r := f.waitQuery(target)
	if q == nil {
		return r
	}
	if _, _, ok := f.visible(ctx, session, id); !ok {
		return unknownJob(id)
	}
	got, timeout := f.waitFor(ctx, []string{id}, started, maxWait)
	switch {
	case ctx.Err() != nil:
		return http1.Response{Status: 503, Close: true} // the client is gone
	case timeout:
		_, rec, ok := f.find(ctx, id)
		if !ok {
			return unknownJob(id)
		}
		return jobError(504, "TIMEOUT", rec, "the job is not there yet")
	}
	return f.jobResponse(200, *got)
}

func (f *Front) waitQuery(target string) (q url.Values, maxWait time.Duration, started bool, bad http1.Response) {
	_, query, _ := strings.Cut(target, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return nil, 0, false, problem(400, "INVALID_ARGUMENT", "query", err.Error())
	}
	started, maxWait, x := f.waitArgs(q.Get("for"), q.Get("timeoutMs"))
	if x != nil {
		return nil, 0, false, invalidArgument(x)
	}
	return q, maxWait, started, http1.Response{}
}

func (f *Front) waitArgs(what, timeout string) (started bool, maxWait time.Duration, bad *argumentError) {
	switch what {
	case "", "terminated":
	case "started":
		started = true
	default:
		return false, 0, &argumentError{"INVALID_ARGUMENT", "for", "neither started nor terminated"}
	}
	maxWait = f.lim.MaxBatchWait
	if timeout != "" {
		ms, err := strconv.ParseUint(timeout, 10, 31)
		if err != nil {
			return false, 0, &argumentError{"INVALID_ARGUMENT", "timeoutMs", "not a whole number of milliseconds"}
		}
		maxWait = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	return started, maxWait, nil
}

// waitFor waits until one of several jobs has started or ended, and returns it. A job that no longer changes here,
// because it belongs to another incarnation or is UNDETERMINED, counts as ended.
func (f *Front) waitFor(ctx context.Context, ids []string, started bool, maxWait time.Duration) (*Record, bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		// Get the channel before looking at the jobs, so that a change between the two is not missed.
		f.events.mu.Lock()
		var more <-chan struct{} = f.events.added
		f.events.mu.Unlock()
		var single <-chan struct{}
		for _, id := range ids {
			j, r, ok := f.find(ctx, id)
			if ok && (r.State.final() || r.State == Undetermined || started && r.State == Running) {
				return &r, false
			}
			if j != nil && len(ids) == 1 {
				_, single = j.watch()
				if r = j.record(); r.State.final() || started && r.State == Running {
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

const maxWaitIDs = 1000

// waitAny responds when one of several jobs has started or ended (waitAnyStarted, waitAnyTerminated).
func (f *Front) waitAny(ctx context.Context, session string, body []byte) http1.Response {
	v, err := boundedjson.ParseObject(body, argumentsDepth)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON")
	}
	ids, err := stringList(v.Get("jobs"), maxWaitIDs)
	if err != nil || len(ids) == 0 {
		return problem(400, "INVALID_ARGUMENT", "jobs", fmt.Sprintf("not a list of 1 to %d ids", maxWaitIDs))
	}
	started, maxWait, bad := f.waitArgs(v.Get("for").String(), v.Get("timeoutMs").Raw)
	if bad != nil {
		return invalidArgument(bad)
	}
	for _, id := range ids {
		if _, _, ok := f.visible(ctx, session, id); !ok {
			return unknownJob(id)
		}
	}
	r, timeout := f.waitFor(ctx, ids, started, maxWait)
	switch {
	case timeout:
		return problem(504, "TIMEOUT", "", "none of the jobs is there yet")
	case r == nil:
		return http1.Response{Status: 503, Close: true}
	}
	return f.jobResponse(200, *r)
}
