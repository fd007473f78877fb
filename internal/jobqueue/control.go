package jobqueue

import (
	"slices"
	"time"
)

// Hold puts an item on hold, and reports whether any of its jobs is waiting.
func (q *Queue) Hold(id string, now time.Time) bool { return q.setHeld(id, true, now) }

// Release ends the hold on an item, and reports whether any of its jobs is waiting.
func (q *Queue) Release(id string, now time.Time) bool { return q.setHeld(id, false, now) }

func (q *Queue) setHeld(id string, held bool, now time.Time) bool {
	item := q.items[id]
	if item == nil || item.waiting() == 0 {
		return false
	}
	item.Held = held
	q.place(item, now)
	return true
}

// Remove removes the waiting jobs of an item and returns them: rejected jobs, and the members of an array from its next
// index on. Jobs in flight are not affected.
func (q *Queue) Remove(id string, now time.Time) (refs []JobRef) {
	item := q.items[id]
	if item == nil {
		return nil
	}
	for _, index := range item.requeued {
		refs = append(refs, JobRef{id, index})
	}
	switch {
	case item.Array:
		for ; item.next <= item.End; item.next += item.Step {
			if !item.skipped[item.next] {
				refs = append(refs, JobRef{id, item.next})
			}
		}
		item.skipped = nil
	case item.next == item.Begin:
		refs = append(refs, JobRef{id, item.next})
		item.next++
	}
	item.requeued = nil
	q.waiting -= len(refs)
	q.place(item, now)
	q.deleteIfDone(item)
	return refs
}

// RemoveOne removes one member of an array, and reports whether the member was waiting.
func (q *Queue) RemoveOne(ref JobRef, now time.Time) bool {
	item := q.items[ref.ID]
	if item == nil || !item.hasMember(ref.Index) {
		return false
	}
	requeuedAt := slices.Index(item.requeued, ref.Index)
	switch {
	case requeuedAt >= 0:
		item.requeued = slices.Delete(item.requeued, requeuedAt, requeuedAt+1)
	case ref.Index >= item.next && !item.skipped[ref.Index]:
		if item.skipped == nil {
			item.skipped = map[int]bool{}
		}
		item.skipped[ref.Index] = true
	default:
		return false
	}
	q.waiting--
	q.place(item, now)
	q.deleteIfDone(item)
	return true
}

// IsHeld reports whether an item is on hold and has waiting jobs.
func (q *Queue) IsHeld(id string) bool {
	item := q.items[id]
	return item != nil && item.Held && item.waiting() > 0
}

// IsRequeued reports whether a member of an array is waiting again after a rejection.
func (q *Queue) IsRequeued(ref JobRef) bool {
	item := q.items[ref.ID]
	return item != nil && slices.Contains(item.requeued, ref.Index)
}

// Requeued returns the members of an array that are waiting again after a rejection.
func (q *Queue) Requeued(id string) []int {
	if item := q.items[id]; item != nil {
		return slices.Clone(item.requeued)
	}
	return nil
}

// Contains reports whether any job of an item is waiting or in flight.
func (q *Queue) Contains(id string) bool { return q.items[id] != nil }

// Waiting returns the number of waiting jobs, including those on hold.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight returns the number of jobs in flight.
func (q *Queue) InFlight() int { return q.inFlight }
