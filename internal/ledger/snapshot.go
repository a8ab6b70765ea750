package ledger

import (
	"container/list"
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Snapshot returns a deep copy of the records of at-most-once requests, in the order
// of their starts.
func (s *State) Snapshot() *apiv1.LedgerSnapshot {
	snap := &apiv1.LedgerSnapshot{Records: make([]*apiv1.RequestRecord, 0, s.order.Len())}
	for el := s.order.Front(); el != nil; el = el.Next() {
		snap.Records = append(snap.Records, proto.CloneOf(el.Value.(*indexedRecord).record))
	}
	return snap
}

// Restore replaces the records by copies of those in the snapshot. It returns
// an error, and leaves the state unchanged, when a request id is not a UUID or
// occurs twice in one client account.
func (s *State) Restore(snap *apiv1.LedgerSnapshot) error {
	seen := make(map[key]bool, len(snap.GetRecords()))
	for i, r := range snap.GetRecords() {
		id, err := uuid.Parse(r.RequestId)
		if err != nil {
			return fmt.Errorf("ledger record %d: request id %q: %w", i, r.RequestId, err)
		}
		k := key{r.ClientAccount, id}
		if seen[k] {
			return fmt.Errorf("ledger record %d: request id %q occurs twice", i, r.RequestId)
		}
		seen[k] = true
	}
	s.records = make(map[key]*indexedRecord, len(snap.GetRecords()))
	s.order = list.New()
	s.started = map[key]*indexedRecord{}
	s.bodies = nil
	s.seq = 0
	s.bodyBytes = 0
	for _, r := range snap.GetRecords() {
		e := s.add(keyOf(r), proto.CloneOf(r))
		if len(e.record.GetAnswer().GetBody()) > 0 {
			s.trackBody(e)
		}
	}
	return nil
}
