package executor

import (
	"sync"
	"time"

	"gatetack/internal/slowpeer"
)

// ackTracker holds the acknowledgements that are pending: of jobs whose last byte went to an executor, until a 202,
// another answer or a callback shows that it has them. Its lock comes after an attempt's.
type ackTracker struct {
	mu        sync.Mutex
	estimates *slowpeer.AckTracker
}

func (t *ackTracker) lastByteSent(attempt *activeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimates.Sent(attempt.key.executor, attempt.lastByteAt)
}

// timeout is how long an executor may take.
func (t *ackTracker) timeout(attempt *activeAttempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimates.Timeout(attempt.key.executor)
}

// acknowledge takes in an executor's first sign that it has a job; later ones count no more.
func (t *ackTracker) acknowledge(attempt *activeAttempt, now time.Time) {
	t.resolve(attempt, func(executor string) {
		t.estimates.Acked(executor, now.Sub(attempt.lastByteAt), attempt.overdue, now)
	})
}

// abandon takes in that an attempt has ended, acknowledged or not.
func (t *ackTracker) abandon(attempt *activeAttempt) {
	t.resolve(attempt, func(executor string) { t.estimates.Ended(executor, attempt.overdue) })
}

// resolve ends the wait for an acknowledgement that is pending.
func (t *ackTracker) resolve(attempt *activeAttempt, update func(executor string)) {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.acknowledged || attempt.lastByteAt.IsZero() {
		return
	}
	attempt.acknowledged = true
	t.mu.Lock()
	defer t.mu.Unlock()
	update(attempt.key.executor)
}

// expire takes in that no acknowledgement came in time, and says what that makes of the executor: nothing where the job
// was acknowledged meanwhile, or has ended.
func (t *ackTracker) expire(attempt *activeAttempt, now time.Time) slowpeer.Verdict {
	attempt.mu.Lock()
	defer attempt.mu.Unlock()
	if attempt.acknowledged || attempt.ended {
		return slowpeer.Keep
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.estimates.Overdue(attempt.key.executor, attempt.overdue, now)
	attempt.overdue = true
	return verdict
}
