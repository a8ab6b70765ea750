// Package ledger is the replicated record of non-repeatable requests: which of
// them were started, and how they were answered. It ensures that a request runs at
// most once for each request id, which is the caller's Idempotency-Key. A request
// is started under a grant, the permission of a service's scheduler (its shard) to
// send one request to a minion. The shard is hosted by an entry process, whose lease
// with the control group is the session. The package is deterministic: time enters
// only as the log time of a command, the largest proposal time among this command and
// those before it.
package ledger

import (
	"bytes"
	"container/list"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// Retention is how long a request id is kept, in log time. Older ids are
	// answered with OUTCOME_UNKNOWN.
	Retention = 24 * time.Hour
	// MaxClockSkew is how far the time in a request id may be ahead of log time.
	MaxClockSkew = 5 * time.Minute
	// MaxBodyBytes is the size of the largest response body that is stored.
	MaxBodyBytes = 64 << 10
	// The limit on the total size of the stored bodies. Bodies and records must
	// fit into one snapshot message of at most rpc.MaxFrameBytes (64 MiB).
	defaultMaxTotalBodyBytes = 16 << 20
	// A record without a body takes about 136 bytes in a snapshot, so this many
	// records take 34 MB there and about 120 MiB in memory.
	defaultMaxRecords = 250_000
	// The retry delay for a caller that was refused because the ledger is full.
	fullRetryAfter = time.Minute
)

// key identifies a request: ids are unique within a client account.
type key struct {
	account string
	id      uuid.UUID
}

// indexedRecord is a record with its positions in the indexes of State.
type indexedRecord struct {
	record  *apiv1.RequestRecord
	seq     uint64        // position in the order of starts
	element *list.Element // element of State.order
}

// State holds the request records. It is not safe for concurrent use.
type State struct {
	records map[key]*indexedRecord
	order   *list.List             // *indexedRecord, in the order of starts
	started map[key]*indexedRecord // records in state STARTED
	bodies  bodyHeap               // records that may hold a body, oldest start first
	seq     uint64                 // seq of the last record added

	bodyBytes         int // total size of the stored bodies
	maxTotalBodyBytes int
	maxRecords        int
}

// New returns an empty ledger.
func New() *State {
	return &State{
		records:           map[key]*indexedRecord{},
		order:             list.New(),
		started:           map[key]*indexedRecord{},
		maxTotalBodyBytes: defaultMaxTotalBodyBytes,
		maxRecords:        defaultMaxRecords,
	}
}

// Start records that a request is about to run. The request may run only when
// Created is set in the returned record. A command without a grant only reads
// the record and returns NOT_FOUND when there is none. The caller must have
// checked that the session has not expired. The other codes are
// IDEMPOTENCY_KEY_INVALID, IDEMPOTENCY_KEY_REUSED and NO_CAPACITY, all marked
// as not run, and OUTCOME_UNKNOWN for an id older than the retention.
//
// logTimeMS is the log time of the command, in Unix milliseconds.
func (s *State) Start(logTimeMS int64, cmd *apiv1.StartRequest) (*apiv1.RequestRecord, *result.Error) {
	s.prune(logTimeMS)
	id, err := parseID(logTimeMS, cmd.RequestId)
	if err != nil {
		return nil, err
	}
	k := key{cmd.ClientAccount, id}
	e, ok := s.records[k]
	if ok && !bytes.Equal(e.record.Fingerprint, cmd.Fingerprint) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED, "request id %s was used for another request; use a new id for each request", cmd.RequestId)
	}
	if cmd.GrantId == 0 {
		return s.lookup(e, cmd.RequestId)
	}
	if ok && !mayRestart(e.record, cmd) {
		// The grant that started the request sends the command again when the
		// answer to the first one was lost.
		started := e.record.State == apiv1.RequestState_REQUEST_STATE_STARTED
		return copyOf(e.record, started && ownedBy(e.record, cmd)), nil
	}
	if !ok && len(s.records) >= s.maxRecords {
		full := result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, "the ledger holds its maximum of %d requests; retry later", s.maxRecords)
		full.RetryAfter = fullRetryAfter
		return nil, full
	}
	return copyOf(s.insert(logTimeMS, k, cmd).record, true), nil
}

// mayRestart reports whether the request was finished as NOT_RUN and cmd is from
// another grant. A start command from the grant that finished the request so is
// a late duplicate of that grant's first start command: nobody would run the request.
func mayRestart(r *apiv1.RequestRecord, cmd *apiv1.StartRequest) bool {
	return r.State == apiv1.RequestState_REQUEST_STATE_NOT_RUN && !ownedBy(r, cmd)
}

// lookup answers a command without a grant. e is nil when there is no record.
func (s *State) lookup(e *indexedRecord, id string) (*apiv1.RequestRecord, *result.Error) {
	if e == nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "request %s was not started", id)
	}
	return copyOf(e.record, false), nil
}

// insert adds the record of a start, in place of one finished as NOT_RUN if
// there is one.
func (s *State) insert(logTimeMS int64, k key, cmd *apiv1.StartRequest) *indexedRecord {
	if old, ok := s.records[k]; ok {
		s.order.Remove(old.element)
	}
	return s.add(k, &apiv1.RequestRecord{
		ClientAccount: cmd.ClientAccount,
		RequestId:     k.id.String(),
		SessionId:     cmd.SessionId,
		Epoch:         cmd.Epoch,
		GrantId:       cmd.GrantId,
		State:         apiv1.RequestState_REQUEST_STATE_STARTED,
		Fingerprint:   bytes.Clone(cmd.Fingerprint),
		StartedUnixMs: logTimeMS,
	})
}

// add indexes a record as the last one in the order of starts.
func (s *State) add(k key, r *apiv1.RequestRecord) *indexedRecord {
	s.seq++
	e := &indexedRecord{record: r, seq: s.seq}
	e.element = s.order.PushBack(e)
	s.records[k] = e
	if r.State == apiv1.RequestState_REQUEST_STATE_STARTED {
		s.started[k] = e
	}
	return e
}

// Finish records the outcome of a started request. Only the session, epoch and
// grant that started the request may finish it; others get STALE_GRANT. DONE is
// also accepted after the session expired and the record became UNKNOWN, since
// DONE tells the outcome after all. The other codes are IDEMPOTENCY_KEY_INVALID,
// NOT_FOUND, and INVALID_ARGUMENT for a state that may not follow the present
// one.
//
// logTimeMS is the log time of the command, in Unix milliseconds.
func (s *State) Finish(logTimeMS int64, cmd *apiv1.FinishRequest) (*apiv1.RequestRecord, *result.Error) {
	s.prune(logTimeMS)
	id, err := uuid.Parse(cmd.RequestId)
	if err != nil {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "request id %q is not a UUID", cmd.RequestId)
	}
	k := key{cmd.ClientAccount, id}
	e, ok := s.records[k]
	if !ok {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "request %s is not in the ledger", cmd.RequestId)
	}
	if !ownedBy(e.record, cmd) {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "request %s was started by another grant", cmd.RequestId)
	}
	if e.record.State == cmd.State {
		return copyOf(e.record, false), nil
	}
	if !mayFinish(e.record.State, cmd.State) {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "request %s is %v and cannot become %v", cmd.RequestId, e.record.State, cmd.State)
	}
	e.record.State = cmd.State
	delete(s.started, k)
	if cmd.State == apiv1.RequestState_REQUEST_STATE_DONE {
		s.storeAnswer(e, cmd.Answer)
	}
	return copyOf(e.record, false), nil
}

// mayFinish reports whether a record may go from one state to the other.
func mayFinish(from, to apiv1.RequestState) bool {
	switch to {
	case apiv1.RequestState_REQUEST_STATE_DONE:
		return from == apiv1.RequestState_REQUEST_STATE_STARTED || from == apiv1.RequestState_REQUEST_STATE_UNKNOWN
	case apiv1.RequestState_REQUEST_STATE_UNKNOWN, apiv1.RequestState_REQUEST_STATE_NOT_RUN:
		return from == apiv1.RequestState_REQUEST_STATE_STARTED
	}
	return false
}

// ExpireSessions sets the started requests of the sessions to UNKNOWN: after the
// expiry the entry process that started these requests may be gone, so nobody is sure
// to report whether they ran.
func (s *State) ExpireSessions(ids []uint64) {
	expired := make(map[uint64]bool, len(ids))
	for _, id := range ids {
		expired[id] = true
	}
	for k, e := range s.started {
		if expired[e.record.SessionId] {
			e.record.State = apiv1.RequestState_REQUEST_STATE_UNKNOWN
			delete(s.started, k)
		}
	}
}

// prune removes the records that started more than Retention plus MaxClockSkew ago.
// The time in an id is at most MaxClockSkew after the start, so these ids are older
// than the retention.
func (s *State) prune(logTimeMS int64) {
	oldest := logTimeMS - (Retention + MaxClockSkew).Milliseconds()
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		e := front.Value.(*indexedRecord)
		if e.record.StartedUnixMs >= oldest {
			break
		}
		s.order.Remove(front)
		k := keyOf(e.record)
		delete(s.records, k)
		delete(s.started, k)
		s.dropBody(e)
	}
	s.popPrunedBodies()
}

// parseID parses a request id, which must be a UUIDv7 whose time is within the
// retention and at most MaxClockSkew ahead of log time.
func parseID(logTimeMS int64, text string) (uuid.UUID, *result.Error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return id, result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "request id %q is not a UUIDv7", text)
	}
	idMS := idTimeMS(id)
	if idMS > logTimeMS+MaxClockSkew.Milliseconds() {
		return id, result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "the time in request id %s is more than %v ahead; set the clock", text, MaxClockSkew)
	}
	if idMS < logTimeMS-Retention.Milliseconds() {
		return id, result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "request id %s is older than %v; whether it ran is no longer recorded", text, Retention)
	}
	return id, nil
}

// idTimeMS returns the Unix time in milliseconds that is stored in the first 48
// bits of a UUIDv7.
func idTimeMS(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// owner is a command that names the session, epoch and grant it comes from.
type owner interface {
	GetSessionId() uint64
	GetEpoch() uint64
	GetGrantId() uint64
}

// ownedBy reports whether the request was started by the grant of o.
func ownedBy(r *apiv1.RequestRecord, o owner) bool {
	return r.SessionId == o.GetSessionId() && r.Epoch == o.GetEpoch() && r.GrantId == o.GetGrantId()
}

func keyOf(r *apiv1.RequestRecord) key {
	// Start and Restore accept only ids that parse, so this does not panic.
	return key{r.ClientAccount, uuid.MustParse(r.RequestId)}
}

// copyOf returns a copy of the record for a caller. created reports that the
// caller may run the request.
func copyOf(r *apiv1.RequestRecord, created bool) *apiv1.RequestRecord {
	c := proto.CloneOf(r)
	c.Created = created
	return c
}
