package executor

import "time"

// returnedRequests keeps which executors have returned which requests, and until when each entry is of use. A callback
// names the request and not the attempt, and is made again where its answer was lost: once an executor was sent a
// request a second time, a word that it returned the request can still be about the first attempt. Were it taken for
// the second, that one would count as never run, and run beside the next.
type returnedRequests map[attemptKey]time.Time

// record notes that an executor has returned a request, and says whether it had not done so before.
func (r returnedRequests) record(key attemptKey, now, until time.Time) bool {
	for known, end := range r {
		if !now.Before(end) {
			delete(r, known)
		}
	}
	_, known := r[key]
	if !known || until.After(r[key]) {
		r[key] = until
	}
	return !known
}

// isFirstReturn says whether an executor's word that it returned a request ends this attempt. A second word of one
// executor about one request ends nothing: the attempt goes on to its result, or to its deadline.
func (c *Client) isFirstReturn(attempt *activeAttempt) bool {
	now := time.Now()
	t := &c.attempts
	t.mu.Lock()
	defer t.mu.Unlock()
	// No attempt of the request outlasts its client's deadline, which this attempt's may be sooner than.
	if t.returned.record(attempt.key, now, now.Add(c.limits.Returns)) {
		return true
	}
	c.log.Info("request returned again", "job", attempt.key.traceID, "executor", attempt.key.executor)
	return false
}
