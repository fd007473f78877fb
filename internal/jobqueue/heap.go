package jobqueue

import (
	"container/heap"
	"time"
)

// notQueued is the heap index of an item that is not in the heap.
const notQueued = -1

// itemHeap is a heap of items, the next one first. Each item stores its own index in the heap.
type itemHeap struct {
	items []*queuedItem
	less  func(a, b *queuedItem) bool
	index func(*queuedItem) *int
}

// newReadyHeap returns a heap of items ordered by priority, then by submission.
func newReadyHeap() *itemHeap {
	return &itemHeap{
		less: func(a, b *queuedItem) bool {
			if a.Priority != b.Priority {
				return a.Priority > b.Priority
			}
			return a.submission < b.submission
		},
		index: func(i *queuedItem) *int { return &i.readyAt },
	}
}

// newDelayedHeap returns a heap of items ordered by the time that the function at returns for them.
func newDelayedHeap(at func(*queuedItem) time.Time) *itemHeap {
	return &itemHeap{
		less:  func(a, b *queuedItem) bool { return at(a).Before(at(b)) },
		index: func(i *queuedItem) *int { return &i.delayedAt },
	}
}

// first returns the next item, or nil if the heap is empty.
func (h *itemHeap) first() *queuedItem {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *itemHeap) add(item *queuedItem) { heap.Push(h, item) }

func (h *itemHeap) remove(item *queuedItem) { heap.Remove(h, *h.index(item)) }

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, k int) bool { return h.less(h.items[i], h.items[k]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, k int) {
	h.items[i], h.items[k] = h.items[k], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[k]) = i, k
}

// Push implements heap.Interface. Callers use add.
func (h *itemHeap) Push(x any) {
	item := x.(*queuedItem)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface. Callers use remove.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.index(item) = notQueued
	return item
}
