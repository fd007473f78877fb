package executor

import (
	"sync"
	"time"

	"gatetack/internal/slowpeer"
)

// ackTracker tracks the pending acknowledgements: those of jobs whose last byte was sent to an executor, until a 202,
// another answer or a callback shows that the executor has the job. Its lock is taken after an attempt's.
type ackTracker struct {
	mu        sync.Mutex
	estimates *slowpeer.AckTracker
}

func (t *ackTracker) lastByteSent(attempt *activeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimates.Sent(attempt.key.executor, attempt.lastByteAt)
}

// timeout returns after how long an executor's acknowledgement is overdue.
func (t *ackTracker) timeout(attempt *activeAttempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimates.Timeout(attempt.key.executor)
}

// acknowledge records an executor's first sign that it has a job. Later calls have no effect.
func (t *ackTracker) acknowledge(attempt *activeAttempt, now time.Time) {
	t.resolve(attempt, func(executor string) {
		t.estimates.Acked(executor, now.Sub(attempt.lastByteAt), attempt.overdue, now)
	})
}

// abandon records that an attempt has ended, whether it was acknowledged or not.
func (t *ackTracker) abandon(attempt *activeAttempt) {
	t.resolve(attempt, func(executor string) { t.estimates.Ended(executor, attempt.overdue) })
}

// resolve ends the wait for a pending acknowledgement.
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

// expire records that no acknowledgement arrived in time, and returns the verdict on the executor. The verdict is Keep
// if the job was acknowledged meanwhile or has ended.
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
