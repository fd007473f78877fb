package jobqueue

import (
	"slices"
	"time"
)

// Hold keeps an item back, and returns whether any of it still waits.
func (q *Queue) Hold(id string, now time.Time) bool { return q.setHeld(id, true, now) }

// Release lets a held item go, and returns whether any of it still waits.
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

// Remove removes what of an item still waits, and returns which jobs that were: those that were rejected, and an
// array's from its next index on. Jobs in flight stay in flight, and end as they end.
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
	q.forgetIfDone(item)
	return refs
}

// RemoveOne removes one member of an array, and returns whether it waited.
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
	q.forgetIfDone(item)
	return true
}

// IsHeld reports whether an item waits on hold.
func (q *Queue) IsHeld(id string) bool {
	item := q.items[id]
	return item != nil && item.Held && item.waiting() > 0
}

// IsRequeued reports whether a member of an array that had its turn waits again.
func (q *Queue) IsRequeued(ref JobRef) bool {
	item := q.items[ref.ID]
	return item != nil && slices.Contains(item.requeued, ref.Index)
}

// Requeued returns the members of an array that had their turn and wait again.
func (q *Queue) Requeued(id string) []int {
	if item := q.items[id]; item != nil {
		return slices.Clone(item.requeued)
	}
	return nil
}

// Contains reports whether any job of an item waits or is in flight.
func (q *Queue) Contains(id string) bool { return q.items[id] != nil }

// Waiting returns how many jobs wait, held ones among them.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight returns how many jobs are in flight.
func (q *Queue) InFlight() int { return q.inFlight }
