// Package jobqueue decides when batch jobs that wait at this node are handed to its core: those on hold, those with a
// start time, and the members of job arrays. It does no I/O, reads no clock and starts no goroutine; the batch front
// carries out what it says. Which box gets a job, and whether it is admitted at all, stays the decision module's.
//
// # Order
//
// Among sessions, the one with the fewest jobs out goes first, and of equals the one that was served longest ago: a
// session that hands in ten thousand jobs takes turns with one that hands in ten. Within a session the highest priority
// goes first, then the order of submission. An array takes part as one item, and never has more than MaxParallel
// members out.
//
// # Time
//
// A start is a date: it follows the wall clock when that is set. The wait after a refusal is a span, and runs on the monotonic clock:
// callers pass times that carry its reading, as time.Now returns them.
//
// # Memory
//
// An array is kept as its range and what is out of it, not as its members.
package jobqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Item is a job, or an array of jobs, that waits.
type Item struct {
	ID       string
	Session  string
	Priority int
	Start    time.Time // a date, before which it is not handed out
	Held     bool      // until it is released

	// Of an array: the indices Begin, Begin+Step ... up to End, and how many may be out at a time, 0 for any number.
	Array            bool
	Begin, End, Step int
	MaxParallel      int
}

// Size is how many jobs an item stands for.
func (i *Item) Size() int {
	if !i.Array {
		return 1
	}
	if i.Step <= 0 || i.End < i.Begin {
		return 0
	}
	return (i.End-i.Begin)/i.Step + 1
}

// Ref names a job that is to be handed to the core: an item's, or the member of an array with an index.
type JobRef struct {
	ID    string
	Index int // of an array's member
}

// Queue holds the items that wait, and counts what of them is out.
type Queue struct {
	items       map[string]*queuedItem
	sessions    map[string]*session
	starts      *itemHeap // items whose start date has not come, by date
	retries     *itemHeap // items that wait after a refusal, by the monotonic clock
	turns       uint64
	submissions uint64
	inFlight    int
	waiting     int // jobs that wait, held ones among them
}

type session struct {
	items      int
	inFlight   int
	servedTurn uint64 // the turn in which it was last served
	ready      *itemHeap
}

type queuedItem struct {
	Item
	submission uint64
	next       int          // of an array: the next index
	requeued   []int        // members that came back refused
	skipped    map[int]bool // members that were taken away before their turn
	inFlight   map[int]bool
	start      time.Time // a date, without a monotonic reading; zero once it has come
	retryAt    time.Time // after a refusal: not before it, by the monotonic clock
	heap       int       // its place among the session's ready ones, -1 if it is not there
	timed      int       // its place among the starts or the retries, -1 likewise
	line       *itemHeap // starts or retries, where timed is not -1
}

// New makes an empty queue.
func New() *Queue {
	return &Queue{items: map[string]*queuedItem{}, sessions: map[string]*session{}, starts: newTimed(func(it *queuedItem) time.Time { return it.start }),
		retries: newTimed(func(it *queuedItem) time.Time { return it.retryAt })}
}

// Add takes an item in, and says whether its name was free.
func (q *Queue) Add(x Item, now time.Time) bool { return q.Restore(x, Progress{}, now) }

// Progress is how far an array has come.
type Progress struct {
	Next     int   // the index whose turn is next
	Requeued []int // members that had their turn and wait again
	Skipped  []int // members from Next on that get no turn of the range's
}

// Restore takes in an item of which some is done, and says whether its name was free.
func (q *Queue) Restore(x Item, p Progress, now time.Time) bool {
	if q.items[x.ID] != nil || x.Size() == 0 {
		return false
	}
	q.submissions++
	it := &queuedItem{Item: x, submission: q.submissions, next: max(p.Next, x.Begin), requeued: p.Requeued, skipped: map[int]bool{}, inFlight: map[int]bool{},
		start: x.Start.Round(0), heap: -1, timed: -1}
	for _, index := range p.Skipped {
		if index >= it.next && index <= it.End {
			it.skipped[index] = true
		}
	}
	q.items[x.ID] = it
	q.waiting += it.waiting()
	q.session(x.Session).items++
	q.place(it, now)
	return true
}

// Waits says whether a member of an array that had its turn waits again.
func (q *Queue) IsRequeued(r JobRef) bool {
	it := q.items[r.ID]
	return it != nil && slices.Contains(it.requeued, r.Index)
}

func (q *Queue) session(name string) *session {
	s := q.sessions[name]
	if s == nil {
		s = &session{ready: newReady()}
		q.sessions[name] = s
	}
	return s
}

// left is how many of an item's jobs wait.
func (it *queuedItem) waiting() int {
	if !it.Array {
		if it.next > it.Begin {
			return len(it.requeued)
		}
		return 1
	}
	n := len(it.requeued)
	if it.next <= it.End {
		n += (it.End-it.next)/it.Step + 1 - len(it.skipped)
	}
	return n
}

// place puts an item where it belongs: among the ready ones, those with a time to come, or neither. A start date that has come stays
// come if the wall clock is set back afterwards.
func (q *Queue) place(it *queuedItem, now time.Time) {
	s := q.session(it.Session)
	full := it.MaxParallel > 0 && len(it.inFlight) >= it.MaxParallel
	waits := it.waiting() > 0 && !it.Held
	if !it.start.After(now) {
		it.start = time.Time{}
	}
	var timed *itemHeap
	switch {
	case !waits:
	case !it.start.IsZero():
		timed = q.starts
	case it.retryAt.After(now):
		timed = q.retries
	}
	if ready := waits && !full && timed == nil; ready != (it.heap >= 0) {
		if ready {
			heap.Push(s.ready, it)
		} else {
			heap.Remove(s.ready, it.heap)
		}
	}
	if it.timed >= 0 {
		heap.Remove(it.line, it.timed)
	}
	if it.line = timed; timed != nil {
		heap.Push(timed, it)
	}
}

// dateCheckInterval is how often start dates are compared with the wall clock while any is to come. A timer for the whole wait would
// not notice that the clock was set.
const dateCheckInterval = time.Second

// due moves items whose time has come to where they belong.
func (q *Queue) moveDue(now time.Time) {
	for q.starts.Len() > 0 && !q.starts.items[0].start.After(now) {
		q.place(q.starts.items[0], now)
	}
	for q.retries.Len() > 0 && !q.retries.items[0].retryAt.After(now) {
		q.place(q.retries.items[0], now)
	}
}

// wake is when Next is to be called again if nothing else happens; zero for never.
func (q *Queue) nextCheck(now time.Time) time.Time {
	var wake time.Time
	if q.retries.Len() > 0 {
		wake = q.retries.items[0].retryAt
	}
	if q.starts.Len() > 0 {
		// The date decides how long to wait; the wait itself runs on the clock that now was read from.
		check := now.Add(min(q.starts.items[0].start.Sub(now), dateCheckInterval))
		if wake.IsZero() || check.Before(wake) {
			wake = check
		}
	}
	return wake
}

// Next gives up to room jobs that are to be handed to the core now, and when to ask again if nothing else happens; zero
// for never.
func (q *Queue) Next(now time.Time, room int) (refs []JobRef, wake time.Time) {
	q.moveDue(now)
	for len(refs) < room {
		s := q.pick()
		if s == nil {
			break
		}
		it := s.ready.items[0]
		refs = append(refs, JobRef{it.ID, it.take()})
		q.turns++
		s.servedTurn = q.turns
		s.inFlight++
		q.inFlight++
		q.waiting--
		q.place(it, now)
	}
	return refs, q.nextCheck(now)
}

// pick is the session whose turn it is.
func (q *Queue) pick() *session {
	var best *session
	for _, s := range q.sessions {
		if s.ready.Len() == 0 {
			continue
		}
		// Two sessions were never served in the same turn but before their first: what then decides is whose first item
		// came first, and not the order of a map.
		if best == nil || s.inFlight < best.inFlight || s.inFlight == best.inFlight && (s.servedTurn < best.servedTurn ||
			s.servedTurn == best.servedTurn && s.ready.items[0].submission < best.ready.items[0].submission) {
			best = s
		}
	}
	return best
}

// take gives the next job of an item: what came back first, then the range.
func (it *queuedItem) take() int {
	index := it.next
	if n := len(it.requeued); n > 0 {
		index, it.requeued = it.requeued[0], it.requeued[1:]
	} else if it.Array {
		for it.skipped[index] {
			delete(it.skipped, index)
			index += it.Step
		}
		it.next = index + it.Step
	} else {
		it.next++
	}
	it.inFlight[index] = true
	return index
}

// Hold keeps an item back, and says whether any of it still waits.
func (q *Queue) Hold(id string, now time.Time) bool { return q.setHeld(id, true, now) }

// Release lets a held item go.
func (q *Queue) Release(id string, now time.Time) bool { return q.setHeld(id, false, now) }

func (q *Queue) setHeld(id string, held bool, now time.Time) bool {
	it := q.items[id]
	if it == nil || it.waiting() == 0 {
		return false
	}
	it.Held = held
	q.place(it, now)
	return true
}

// Held says whether an item waits on hold.
func (q *Queue) IsHeld(id string) bool {
	it := q.items[id]
	return it != nil && it.Held && it.waiting() > 0
}

// Remove takes away what of an item still waits, and tells which jobs that were: an array's from Index next on, and
// those that came back. Jobs that are out stay out, and end as they end.
func (q *Queue) Remove(id string, now time.Time) (refs []JobRef) {
	it := q.items[id]
	if it == nil {
		return nil
	}
	for _, i := range it.requeued {
		refs = append(refs, JobRef{id, i})
	}
	if it.Array {
		for ; it.next <= it.End; it.next += it.Step {
			if !it.skipped[it.next] {
				refs = append(refs, JobRef{id, it.next})
			}
		}
		it.skipped = nil
	} else if it.next == it.Begin {
		refs = append(refs, JobRef{id, it.next})
		it.next++
	}
	it.requeued = nil
	q.waiting -= len(refs)
	q.place(it, now)
	q.dropIfDone(it)
	return refs
}

// RemoveOne takes one member of an array away, and says whether it waited.
func (q *Queue) RemoveOne(r JobRef, now time.Time) bool {
	it := q.items[r.ID]
	if it == nil || !it.Array || r.Index < it.Begin || r.Index > it.End || (r.Index-it.Begin)%it.Step != 0 {
		return false
	}
	if i := slices.Index(it.requeued, r.Index); i >= 0 {
		it.requeued = slices.Delete(it.requeued, i, i+1)
	} else if r.Index >= it.next && !it.skipped[r.Index] {
		if it.skipped == nil {
			it.skipped = map[int]bool{}
		}
		it.skipped[r.Index] = true
	} else {
		return false
	}
	q.waiting--
	q.place(it, now)
	q.dropIfDone(it)
	return true
}

// Ended takes in that a job that was out has ended.
func (q *Queue) Ended(r JobRef, now time.Time) { q.returned(r, false, time.Time{}, now) }

// Refused takes in that a job that was out was refused, and that nothing of it ran: it waits again, not before a time.
func (q *Queue) Rejected(r JobRef, again, now time.Time) { q.returned(r, true, again, now) }

func (q *Queue) returned(r JobRef, wait bool, again, now time.Time) {
	it := q.items[r.ID]
	if it == nil || !it.inFlight[r.Index] {
		return
	}
	delete(it.inFlight, r.Index)
	q.sessions[it.Session].inFlight--
	q.inFlight--
	if wait {
		it.requeued = append(it.requeued, r.Index)
		q.waiting++
		if again.After(it.retryAt) {
			it.retryAt = again
		}
	}
	q.place(it, now)
	q.dropIfDone(it)
}

// drop forgets an item of which nothing waits or is out, and a session without items.
func (q *Queue) dropIfDone(it *queuedItem) {
	if it.waiting() > 0 || len(it.inFlight) > 0 {
		return
	}
	delete(q.items, it.ID)
	s := q.sessions[it.Session]
	if s.items--; s.items == 0 {
		delete(q.sessions, it.Session)
	}
}

// Waiting is how many jobs wait, held ones among them.
func (q *Queue) Waiting() int { return q.waiting }

// Out is how many jobs are out.
func (q *Queue) InFlight() int { return q.inFlight }

// State tells of an item: its next index, the members that wait again, and whether it is known.
func (q *Queue) State(id string) (next int, again []int, held, ok bool) {
	it := q.items[id]
	if it == nil {
		return 0, nil, false, false
	}
	return it.next, append([]int(nil), it.requeued...), it.Held, true
}

// line is a heap of items, the next one first. Each item knows its place in it, -1 while it is not there.
type itemHeap struct {
	items []*queuedItem
	less  func(a, b *queuedItem) bool
	place func(*queuedItem) *int
}

func newReady() *itemHeap {
	return &itemHeap{less: func(a, b *queuedItem) bool {
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		return a.submission < b.submission
	}, place: func(it *queuedItem) *int { return &it.heap }}
}

// newTimed returns a heap of items by a time of theirs.
func newTimed(at func(*queuedItem) time.Time) *itemHeap {
	return &itemHeap{less: func(a, b *queuedItem) bool { return at(a).Before(at(b)) }, place: func(it *queuedItem) *int { return &it.timed }}
}

func (l *itemHeap) Len() int           { return len(l.items) }
func (l *itemHeap) Less(i, k int) bool { return l.less(l.items[i], l.items[k]) }
func (l *itemHeap) Swap(i, k int) {
	l.items[i], l.items[k] = l.items[k], l.items[i]
	*l.place(l.items[i]), *l.place(l.items[k]) = i, k
}

// Push and Pop are package heap's.
func (l *itemHeap) Push(x any) {
	it := x.(*queuedItem)
	*l.place(it) = len(l.items)
	l.items = append(l.items, it)
}

func (l *itemHeap) Pop() any {
	n := len(l.items) - 1
	it := l.items[n]
	l.items[n] = nil
	l.items = l.items[:n]
	*l.place(it) = -1
	return it
}
