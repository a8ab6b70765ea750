package ledger

import (
	"bytes"
	"container/heap"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// storeAnswer stores the answer to a request in its record, without the body when
// the body is larger than MaxBodyBytes. When the stored bodies exceed their total
// limit, storeAnswer drops those of the requests that started first.
func (s *State) storeAnswer(e *indexedRecord, a *apiv1.StoredAnswer) {
	stored := &apiv1.StoredAnswer{
		HttpStatus:  a.GetHttpStatus(),
		ContentType: a.GetContentType(),
		BodyDropped: a.GetBodyDropped(),
	}
	e.record.Answer = stored
	if len(a.GetBody()) > MaxBodyBytes {
		stored.BodyDropped = true
		return
	}
	if len(a.GetBody()) == 0 {
		return
	}
	stored.Body = bytes.Clone(a.Body)
	s.trackBody(e)
	s.evictBodies()
}

// trackBody counts the body of a record against the total limit.
func (s *State) trackBody(e *indexedRecord) {
	s.bodyBytes += len(e.record.Answer.Body)
	heap.Push(&s.bodies, e)
}

// evictBodies drops bodies, oldest start first, until the total is within the
// limit.
func (s *State) evictBodies() {
	for s.bodyBytes > s.maxTotalBodyBytes {
		e := heap.Pop(&s.bodies).(*indexedRecord)
		s.dropBody(e)
		e.record.Answer.BodyDropped = true
	}
}

// popPrunedBodies removes the records that prune has deleted from the heap of
// bodies. They have the oldest starts, so they are on top of the heap.
func (s *State) popPrunedBodies() {
	for len(s.bodies) > 0 && len(s.bodies[0].record.Answer.Body) == 0 {
		heap.Pop(&s.bodies)
	}
}

// dropBody removes the body from a record; its element in the heap stays.
func (s *State) dropBody(e *indexedRecord) {
	if a := e.record.GetAnswer(); len(a.GetBody()) > 0 {
		s.bodyBytes -= len(a.Body)
		a.Body = nil
	}
}

// bodyHeap orders records by their start, oldest first.
type bodyHeap []*indexedRecord

func (h bodyHeap) Len() int           { return len(h) }
func (h bodyHeap) Less(i, j int) bool { return h[i].seq < h[j].seq }
func (h bodyHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *bodyHeap) Push(x any) { *h = append(*h, x.(*indexedRecord)) }

// Pop implements heap.Interface.
func (h *bodyHeap) Pop() any {
	records := *h
	last := records[len(records)-1]
	records[len(records)-1] = nil
	*h = records[:len(records)-1]
	return last
}
