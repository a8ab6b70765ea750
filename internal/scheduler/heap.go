package scheduler

import (
	"container/heap"
	"time"
)

// timeHeapItem is an element of a timeHeap; pos points to its place in the heap, -1
// when it is in none.
type timeHeapItem interface {
	due() time.Duration
	pos() *int
}

// timeHeap holds elements ordered by their due time and removes any of them
// in logarithmic time.
type timeHeap[T timeHeapItem] struct{ items []T }

func (h *timeHeap[T]) add(x T) { heap.Push(h, x) }

func (h *timeHeap[T]) remove(x T) {
	if i := *x.pos(); i >= 0 {
		heap.Remove(h, i)
	}
}

// next returns the first element due at now.
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
