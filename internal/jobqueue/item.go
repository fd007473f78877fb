package jobqueue

import "time"

// Item is a job, or an array of jobs, that waits.
type Item struct {
	ID       string
	Session  string
	Priority int
	Start    time.Time // a date, before which it is not handed out
	Held     bool      // until it is released

	// Of an array: the indices Begin, Begin+Step ... up to End, and how many may be in flight, 0 for any number.
	Array            bool
	Begin, End, Step int
	MaxParallel      int
}

// Size returns how many jobs an item stands for.
func (i *Item) Size() int {
	if !i.Array {
		return 1
	}
	if i.Step <= 0 || i.End < i.Begin {
		return 0
	}
	return (i.End-i.Begin)/i.Step + 1
}

// hasMember reports whether an index is one of an array's.
func (i *Item) hasMember(index int) bool {
	return i.Array && index >= i.Begin && index <= i.End && (index-i.Begin)%i.Step == 0
}

// JobRef names a job that is to be handed to the dispatcher: an item's, or the member of an array with an index.
type JobRef struct {
	ID    string
	Index int // of an array's member
}

// Progress is how far an array has come.
type Progress struct {
	Next     int   // the index whose turn is next
	Requeued []int // members that had their turn and wait again
	Skipped  []int // members from Next on that get no turn
}

// queuedItem is an item with its progress and its place in the queue.
type queuedItem struct {
	Item
	submission uint64 // its number in the order of submission

	next     int   // the next index of an array; of a job, one more than Begin once it had its turn
	requeued []int // members that were rejected and wait again
	skipped  map[int]bool
	inFlight map[int]bool

	start   time.Time // a date, without a monotonic reading; zero once it has come
	retryAt time.Time // after a rejection: not before it, by the monotonic clock

	readyAt   int       // its index among the session's ready items, notQueued if it is not there
	delayedAt int       // its index in delayedIn, notQueued likewise
	delayedIn *itemHeap // the starts or the retries of the queue
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

// waiting returns how many of an item's jobs wait.
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

// atMaxParallel reports whether an array has as many members in flight as it may.
func (i *queuedItem) atMaxParallel() bool {
	return i.MaxParallel > 0 && len(i.inFlight) >= i.MaxParallel
}

// take returns the next job of an item: what was rejected first, then the range.
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
