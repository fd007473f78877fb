package executor

import "time"

// returns keeps which executors have handed back which requests, and until when each entry is of use. A callback names the
// request and not the attempt, and is made again where its answer was lost: once an executor was sent a request a second time, a
// word that it handed the request back can still be about the first attempt. Were it taken for the second, that one would count
// as never run, and run beside the next.
type returnedRequests map[attemptKey]time.Time

// first notes that an executor has handed a request back, and says whether it had not done so before.
func (r returnedRequests) record(key attemptKey, now, until time.Time) bool {
	for k, end := range r {
		if !now.Before(end) {
			delete(r, k)
		}
	}
	_, known := r[key]
	if !known || until.After(r[key]) {
		r[key] = until
	}
	return !known
}

// handedBack says whether an executor's word that it handed a request back ends this attempt. A second word of one executor about
// one request ends nothing: the attempt goes on to its result, or to its deadline.
func (c *Client) isFirstReturn(t *activeAttempt) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	// No attempt of the request outlasts its client's deadline, which this attempt's may be sooner than.
	if c.returned.record(t.key, now, now.Add(c.limits.Returns)) {
		return true
	}
	c.log.Info("an executor handed a request back twice, or told it twice", "job", t.Job.Trace, "from", t.key.executor)
	return false
}
