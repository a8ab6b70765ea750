package ledger

import (
	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Find returns the record of the request id under any client account, nil when
// there is none. It walks the whole ledger and serves operators only.
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
