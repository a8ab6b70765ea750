package ledger

import (
	"bytes"
	"container/heap"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// store keeps the answer, without its body when that is too large, and drops
// the bodies of the oldest requests when all together are too large.
func (s *State) store(e *entry, a *apiv1.StoredAnswer) {
	kept := &apiv1.StoredAnswer{
		HttpStatus:  a.GetHttpStatus(),
		ContentType: a.GetContentType(),
		BodyDropped: a.GetBodyDropped(),
	}
	e.record.Answer = kept
	if len(a.GetBody()) > MaxBodyBytes {
		kept.BodyDropped = true
		return
	}
	if len(a.GetBody()) == 0 {
		return
	}
	kept.Body = bytes.Clone(a.Body)
	s.trackBody(e)
	s.shrinkBodies()
}

func (s *State) trackBody(e *entry) {
	s.bodyBytes += len(e.record.Answer.Body)
	heap.Push(&s.bodies, e)
}

func (s *State) shrinkBodies() {
	for s.bodyBytes > s.maxTotalBodyBytes {
		e := heap.Pop(&s.bodies).(*entry)
		s.dropBody(e)
		e.record.Answer.BodyDropped = true
	}
}

// popEmptyBodies forgets pruned records, which are the oldest of the heap.
func (s *State) popEmptyBodies() {
	for len(s.bodies) > 0 && len(s.bodies[0].record.Answer.Body) == 0 {
		heap.Pop(&s.bodies)
	}
}

// dropBody releases the body's bytes; the heap entry stays.
func (s *State) dropBody(e *entry) {
	if a := e.record.GetAnswer(); len(a.GetBody()) > 0 {
		s.bodyBytes -= len(a.Body)
		a.Body = nil
	}
}

// bodyHeap orders entries by their start, oldest first.
type bodyHeap []*entry

func (h bodyHeap) Len() int           { return len(h) }
func (h bodyHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }
func (h bodyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *bodyHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *bodyHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
