package jobqueue

import "time"

// dateCheckInterval is how often start dates in the future are compared with the wall clock. A timer for the whole wait
// would not notice that the clock was set.
const dateCheckInterval = time.Second

// Queue holds the waiting items and counts their jobs in flight. It is not safe for concurrent use.
type Queue struct {
	items       map[string]*queuedItem
	sessions    map[string]*session
	starts      *itemHeap // items whose start date is in the future, by date
	retries     *itemHeap // items that are delayed after a rejection, by retry time on the monotonic clock
	turns       uint64    // number of turns of all sessions so far
	submissions uint64
	inFlight    int // number of jobs in flight
	waiting     int // number of waiting jobs, including those on hold
}

// session is the state of a session in the queue.
type session struct {
	items      int
	inFlight   int    // number of jobs in flight
	servedTurn uint64 // number of its latest turn, 0 if it had none
	ready      *itemHeap
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{
		items:    map[string]*queuedItem{},
		sessions: map[string]*session{},
		starts:   newDelayedHeap(func(i *queuedItem) time.Time { return i.start }),
		retries:  newDelayedHeap(func(i *queuedItem) time.Time { return i.retryAt }),
	}
}

// Add adds an item, and reports whether it did: the id must be new and the item must have jobs.
func (q *Queue) Add(item Item, now time.Time) bool { return q.Restore(item, Progress{}, now) }

// Restore adds an item that has already made progress. It reports whether it did, like Add.
func (q *Queue) Restore(item Item, progress Progress, now time.Time) bool {
	if q.items[item.ID] != nil || item.Size() == 0 {
		return false
	}
	q.submissions++
	queued := newQueuedItem(item, progress, q.submissions)
	q.items[item.ID] = queued
	q.waiting += queued.waiting()
	q.session(item.Session).items++
	q.place(queued, now)
	return true
}

func (q *Queue) session(name string) *session {
	if q.sessions[name] == nil {
		q.sessions[name] = &session{ready: newReadyHeap()}
	}
	return q.sessions[name]
}

// Next returns up to limit jobs to hand to the dispatcher now, and when to call Next again if nothing else happens;
// zero means never.
func (q *Queue) Next(now time.Time, limit int) (refs []JobRef, nextCall time.Time) {
	q.moveDue(now)
	for len(refs) < limit {
		next := q.nextSession()
		if next == nil {
			break
		}
		item := next.ready.first()
		refs = append(refs, JobRef{item.ID, item.take()})
		q.turns++
		next.servedTurn = q.turns
		next.inFlight++
		q.inFlight++
		q.waiting--
		q.place(item, now)
	}
	return refs, q.nextCheck(now)
}

// nextSession returns the session whose turn is next, or nil if no session has a ready job.
func (q *Queue) nextSession() *session {
	var best *session
	for _, s := range q.sessions {
		if s.ready.Len() > 0 && (best == nil || s.before(best)) {
			best = s
		}
	}
	return best
}

// before reports whether a session's turn comes before another's. Two sessions have the same servedTurn only before
// their first turn. Then the order of submission of their first items decides, so that the result does not depend on
// the iteration order of a map.
func (s *session) before(other *session) bool {
	switch {
	case s.inFlight != other.inFlight:
		return s.inFlight < other.inFlight
	case s.servedTurn != other.servedTurn:
		return s.servedTurn < other.servedTurn
	}
	return s.ready.first().submission < other.ready.first().submission
}

// place puts an item into the heap that it belongs to, ready or delayed, and removes it from the others. A start date
// that was reached remains reached if the wall clock is set back afterwards.
func (q *Queue) place(item *queuedItem, now time.Time) {
	if !item.start.After(now) {
		item.start = time.Time{}
	}
	waits := item.waiting() > 0 && !item.Held
	var delayed *itemHeap
	switch {
	case !waits:
	case !item.start.IsZero():
		delayed = q.starts
	case item.retryAt.After(now):
		delayed = q.retries
	}
	readyItems := q.session(item.Session).ready
	ready := waits && delayed == nil && !item.atMaxParallel()
	switch queued := item.readyAt != notQueued; {
	case ready && !queued:
		readyItems.add(item)
	case !ready && queued:
		readyItems.remove(item)
	}
	if item.delayedAt != notQueued {
		item.delayedIn.remove(item)
	}
	if item.delayedIn = delayed; delayed != nil {
		delayed.add(item)
	}
}

// moveDue moves items whose start date or retry time was reached to the heaps that they belong to now.
func (q *Queue) moveDue(now time.Time) {
	for item := q.starts.first(); item != nil && !item.start.After(now); item = q.starts.first() {
		q.place(item, now)
	}
	for item := q.retries.first(); item != nil && !item.retryAt.After(now); item = q.retries.first() {
		q.place(item, now)
	}
}

// nextCheck returns when delayed items have to be checked next; zero means never.
func (q *Queue) nextCheck(now time.Time) time.Time {
	var next time.Time
	if item := q.retries.first(); item != nil {
		next = item.retryAt
	}
	if item := q.starts.first(); item != nil {
		// The wall clock determines the length of the wait; the wait itself runs on the monotonic clock of now.
		check := now.Add(min(item.start.Sub(now), dateCheckInterval))
		if next.IsZero() || check.Before(next) {
			next = check
		}
	}
	return next
}

// Ended records that a job in flight has ended.
func (q *Queue) Ended(ref JobRef, now time.Time) {
	if item := q.removeInFlight(ref); item != nil {
		q.place(item, now)
		q.deleteIfDone(item)
	}
}

// Rejected records that a job in flight was rejected without having run. The job waits again, at least until retryAt.
func (q *Queue) Rejected(ref JobRef, retryAt, now time.Time) {
	item := q.removeInFlight(ref)
	if item == nil {
		return
	}
	item.requeued = append(item.requeued, ref.Index)
	q.waiting++
	if retryAt.After(item.retryAt) {
		item.retryAt = retryAt
	}
	q.place(item, now)
	q.deleteIfDone(item)
}

// removeInFlight records that a job is no longer in flight, and returns its item, or nil if the job was not in flight.
func (q *Queue) removeInFlight(ref JobRef) *queuedItem {
	item := q.items[ref.ID]
	if item == nil || !item.inFlight[ref.Index] {
		return nil
	}
	delete(item.inFlight, ref.Index)
	q.sessions[item.Session].inFlight--
	q.inFlight--
	return item
}

// deleteIfDone deletes an item that has no job waiting or in flight, and its session if that has no other items.
func (q *Queue) deleteIfDone(item *queuedItem) {
	if item.waiting() > 0 || len(item.inFlight) > 0 {
		return
	}
	delete(q.items, item.ID)
	s := q.sessions[item.Session]
	if s.items--; s.items == 0 {
		delete(q.sessions, item.Session)
	}
}
