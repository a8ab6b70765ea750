package ledger

import (
	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Find returns a record with the request id under any client account, nil when
// there is none. It scans the whole ledger (the record of at-most-once requests),
// so only operator requests may call it. The caller must not change the record.
func (s *State) Find(requestID string) *apiv1.RequestRecord {
	id, err := uuid.Parse(requestID)
	if err != nil {
		return nil
	}
	for k, e := range s.records {
		if k.id == id {
			return e.record
		}
	}
	return nil
}
