package executor

import "time"

// returnedRequests records which executors have returned which requests, and until when each entry is needed. A
// callback names the request and not the attempt, and is repeated if its answer was lost. After a request was sent to
// an executor a second time, a "returned" callback may therefore still concern the first attempt. If it ended the
// second attempt, that attempt would count as never run, and would run concurrently with the next one.
type returnedRequests map[attemptKey]time.Time

// record records that an executor has returned a request, and reports whether it is the first time.
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

// isFirstReturn reports whether a "returned" callback ends the attempt. A second one of the same executor for the same
// request does not: the attempt goes on until its result or its deadline.
func (c *Client) isFirstReturn(attempt *activeAttempt) bool {
	now := time.Now()
	t := &c.attempts
	t.mu.Lock()
	defer t.mu.Unlock()
	// The entry is kept for the longest time that an attempt of the request can last, which is up to its client's
	// deadline and may be later than this attempt's deadline.
	if t.returned.record(attempt.key, now, now.Add(c.limits.ReturnedTTL)) {
		return true
	}
	c.log.Info("request returned again", "job", attempt.key.traceID, "executor", attempt.key.executor)
	return false
}
