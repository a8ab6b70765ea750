package scheduler

import (
	"container/heap"
	"time"
)

// timeHeapItem is an element of a timeHeap. pos returns a pointer to the item's
// index in the heap, which the heap updates; it is -1 while the item is in none.
type timeHeapItem interface {
	due() time.Duration
	pos() *int
}

// timeHeap is a priority queue ordered by due time. It adds and removes any
// item in logarithmic time.
type timeHeap[T timeHeapItem] struct{ items []T }

func (h *timeHeap[T]) add(x T) { heap.Push(h, x) }

func (h *timeHeap[T]) remove(x T) {
	if i := *x.pos(); i >= 0 {
		heap.Remove(h, i)
	}
}

// next returns the item with the earliest due time if it is due at now. The
// item stays in the heap.
func (h *timeHeap[T]) next(now time.Duration) (x T, ok bool) {
	if len(h.items) == 0 || h.items[0].due() > now {
		return x, false
	}
	return h.items[0], true
}

// Len implements heap.Interface.
func (h *timeHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *timeHeap[T]) Less(i, j int) bool { return h.items[i].due() < h.items[j].due() }

// Swap implements heap.Interface.
func (h *timeHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].pos() = i
	*h.items[j].pos() = j
}

// Push implements heap.Interface.
func (h *timeHeap[T]) Push(x any) {
	item := x.(T)
	*item.pos() = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *timeHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*item.pos() = -1
	return item
}
