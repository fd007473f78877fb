package jobqueue

import "time"

// Item is a waiting job or array of jobs.
type Item struct {
	ID       string
	Session  string
	Priority int
	Start    time.Time // date before which the item is not handed to the dispatcher
	Held     bool      // on hold until released

	// Fields of an array: the members have the indices Begin, Begin+Step ... up to End. At most MaxParallel of them are in
	// flight at a time, 0 for no limit.
	Array            bool
	Begin, End, Step int
	MaxParallel      int
}

// Size returns the number of jobs in an item.
func (i *Item) Size() int {
	if !i.Array {
		return 1
	}
	if i.Step <= 0 || i.End < i.Begin {
		return 0
	}
	return (i.End-i.Begin)/i.Step + 1
}

// hasMember reports whether the item is an array that has a member with the given index.
func (i *Item) hasMember(index int) bool {
	return i.Array && index >= i.Begin && index <= i.End && (index-i.Begin)%i.Step == 0
}

// JobRef identifies a job: that of an item, or the member of an array with the given index.
type JobRef struct {
	ID    string
	Index int // of the member of an array
}

// Progress is the progress of an array.
type Progress struct {
	Next     int   // index of the next member to hand to the dispatcher
	Requeued []int // members that are waiting again after a rejection
	Skipped  []int // members from Next on that were removed
}

// queuedItem is an item with its progress and its position in the queue.
type queuedItem struct {
	Item
	submission uint64 // sequence number in the order of submission

	next     int   // next index of an array; for a job, Begin+1 once it was handed to the dispatcher
	requeued []int // members that are waiting again after a rejection
	skipped  map[int]bool
	inFlight map[int]bool

	start   time.Time // date without a monotonic reading; zero once it was reached
	retryAt time.Time // earliest time of a retry after a rejection, on the monotonic clock

	readyAt   int       // index in the session's heap of ready items, or notQueued
	delayedAt int       // index in delayedIn, or notQueued
	delayedIn *itemHeap // Queue.starts or Queue.retries, or nil
}

func newQueuedItem(item Item, progress Progress, submission uint64) *queuedItem {
	queued := &queuedItem{
		Item:       item,
		submission: submission,
		next:       max(progress.Next, item.Begin),
		requeued:   progress.Requeued,
		skipped:    map[int]bool{},
		inFlight:   map[int]bool{},
		start:      item.Start.Round(0),
		readyAt:    notQueued,
		delayedAt:  notQueued,
	}
	for _, index := range progress.Skipped {
		if index >= queued.next && index <= queued.End {
			queued.skipped[index] = true
		}
	}
	return queued
}

// waiting returns the number of waiting jobs of an item.
func (i *queuedItem) waiting() int {
	if !i.Array {
		if i.next > i.Begin {
			return len(i.requeued)
		}
		return 1
	}
	n := len(i.requeued)
	if i.next <= i.End {
		n += (i.End-i.next)/i.Step + 1 - len(i.skipped)
	}
	return n
}

// atMaxParallel reports whether an array has its maximum number of members in flight.
func (i *queuedItem) atMaxParallel() bool {
	return i.MaxParallel > 0 && len(i.inFlight) >= i.MaxParallel
}

// take marks the next job of an item as in flight and returns its index: rejected jobs first, then the index range.
func (i *queuedItem) take() int {
	index := i.next
	switch {
	case len(i.requeued) > 0:
		index, i.requeued = i.requeued[0], i.requeued[1:]
	case i.Array:
		for i.skipped[index] {
			delete(i.skipped, index)
			index += i.Step
		}
		i.next = index + i.Step
	default:
		i.next++
	}
	i.inFlight[index] = true
	return index
}
