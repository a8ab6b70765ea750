package ledger

import (
	"errors"
	"flag"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	started      = apiv1.RequestState_REQUEST_STATE_STARTED
	done         = apiv1.RequestState_REQUEST_STATE_DONE
	unknown      = apiv1.RequestState_REQUEST_STATE_UNKNOWN
	notRun       = apiv1.RequestState_REQUEST_STATE_NOT_RUN
	codeOK       = apiv1.ResultCode_RESULT_CODE_OK
	codeUnknown  = apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN
	codeInvalid  = apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID
	codeReused   = apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED
	codeNotFound = apiv1.ResultCode_RESULT_CODE_NOT_FOUND
	codeStale    = apiv1.ResultCode_RESULT_CODE_STALE_GRANT
	codeArgument = apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT
	baseMS       = int64(1_800_000_000_000)
	hourMS       = int64(time.Hour / time.Millisecond)
)

// A fixed seed makes the test repeatable. More steps than the default are needed
// to reach states that take several matching commands. Flags on the command line
// override these values.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "1000"), flag.Set("rapid.steps", "60")); err != nil {
		panic(err)
	}
}

// idAt returns the nth UUIDv7 of a Unix time in milliseconds.
func idAt(ms int64, n byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func startCmd(id string, session, epoch, grant uint64) *apiv1.StartRequest {
	return &apiv1.StartRequest{ClientAccount: "a", RequestId: id, SessionId: session, Epoch: epoch, GrantId: grant, Fingerprint: []byte{1}}
}

func finishCmd(id string, session, epoch, grant uint64, state apiv1.RequestState, body []byte) *apiv1.FinishRequest {
	return &apiv1.FinishRequest{
		ClientAccount: "a", RequestId: id, SessionId: session, Epoch: epoch, GrantId: grant, State: state,
		Answer: &apiv1.StoredAnswer{HttpStatus: 200, Body: body},
	}
}

func codeOf(err *result.Error) apiv1.ResultCode {
	if err == nil {
		return codeOK
	}
	return err.Code
}

// expectedRecord is what the reference implementation expects of one request. Its
// owner is the grant that started it: the permission of a shard (the scheduler of one
// service) to send one request to a minion. The session is the lease of the shard's
// process; the epoch is the fencing token of the shard's assignment to it.
type expectedRecord struct {
	state     apiv1.RequestState
	owner     [3]uint64 // session, epoch and grant
	startedMS int64
	runs      int // grants that were told to run and did not finish as NOT_RUN
}

// reference is a naive reference implementation of the ledger, the record of
// at-most-once requests, by request id. It never removes a record.
type reference map[string]*expectedRecord

func (r reference) start(now int64, idMS int64, cmd *apiv1.StartRequest) (state apiv1.RequestState, created bool, code apiv1.ResultCode) {
	switch {
	case idMS > now+5*60_000:
		return 0, false, codeInvalid
	case idMS < now-24*hourMS:
		return 0, false, codeUnknown
	}
	m := r[cmd.RequestId]
	owner := [3]uint64{cmd.SessionId, cmd.Epoch, cmd.GrantId}
	switch {
	case m != nil && cmd.Fingerprint[0] != 1:
		return 0, false, codeReused
	case m == nil && cmd.GrantId == 0:
		return 0, false, codeNotFound
	case m != nil && (cmd.GrantId == 0 || m.state != notRun || m.owner == owner):
		return m.state, cmd.GrantId != 0 && m.state == started && m.owner == owner, codeOK
	}
	if m == nil {
		m = &expectedRecord{}
		r[cmd.RequestId] = m
	}
	m.state, m.owner, m.startedMS = started, owner, now
	m.runs++
	return started, true, codeOK
}

func (r reference) finish(now int64, cmd *apiv1.FinishRequest) (apiv1.RequestState, apiv1.ResultCode) {
	m := r[cmd.RequestId]
	switch {
	case m == nil || now-m.startedMS > 24*hourMS+5*60_000:
		return 0, codeNotFound
	case m.owner != [3]uint64{cmd.SessionId, cmd.Epoch, cmd.GrantId}:
		return 0, codeStale
	case m.state == cmd.State:
		return m.state, codeOK
	case m.state == started, m.state == unknown && cmd.State == done:
		m.state = cmd.State
		if cmd.State == notRun {
			m.runs--
		}
		return m.state, codeOK
	}
	return 0, codeArgument
}

// Guards against a request id that runs twice, an outcome recorded by a grant (see
// expectedRecord) that did not start the request, and a replica that differs from
// the others after it restored a snapshot.
func TestLedgerAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, want, now := New(), reference{}, baseMS
		idTimes := make([]int64, 4)
		for i := range idTimes {
			idTimes[i] = baseMS + int64(i-1)*4*60_000
		}
		drawUint := func(label string, limit uint64) uint64 { return rapid.Uint64Range(0, limit).Draw(t, label) }
		drawID := func() (int64, string) {
			i := rapid.IntRange(0, len(idTimes)-1).Draw(t, "id")
			return idTimes[i], idAt(idTimes[i], byte(i))
		}
		// drawGrant draws a session, epoch and grant, in most cases the ones that
		// started the request.
		drawGrant := func(id string, lowest uint64) (session, epoch, grant uint64) {
			if m := want[id]; m != nil && drawUint("owner", 2) > 0 {
				return m.owner[0], m.owner[1], m.owner[2]
			}
			return drawUint("session", 1), drawUint("epoch", 1), max(drawUint("grant", 2), lowest)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				ms, id := drawID()
				session, epoch, grant := drawGrant(id, 0)
				cmd := startCmd(id, session, epoch, grant)
				if drawUint("other request", 9) == 0 {
					cmd.Fingerprint = []byte{2}
				}
				if want[id] == nil {
					cmd.Fingerprint = []byte{1}
				}
				state, created, code := want.start(now, ms, cmd)
				rec, err := s.Start(now, cmd)
				if codeOf(err) != code || rec.GetState() != state || rec.GetCreated() != created {
					t.Fatalf("start %v: got %v %v, want %v %v %v", cmd, rec, err, state, created, code)
				}
			},
			"finish": func(t *rapid.T) {
				_, id := drawID()
				to := rapid.SampledFrom([]apiv1.RequestState{done, unknown, notRun}).Draw(t, "state")
				session, epoch, grant := drawGrant(id, 1)
				cmd := finishCmd(id, session, epoch, grant, to, []byte("x"))
				state, code := want.finish(now, cmd)
				rec, err := s.Finish(now, cmd)
				if codeOf(err) != code || rec.GetState() != state {
					t.Fatalf("finish %v: got %v %v, want %v %v", cmd, rec, err, state, code)
				}
			},
			"expire": func(t *rapid.T) {
				session := drawUint("session", 1)
				for _, m := range want {
					if m.state == started && m.owner[0] == session {
						m.state = unknown
					}
				}
				s.ExpireSessions([]uint64{session})
			},
			"advance": func(t *rapid.T) { now += rapid.SampledFrom([]int64{0, 1, 3, 12 * 60}).Draw(t, "minutes") * 60_000 },
			"restore": func(t *rapid.T) {
				snap := s.Snapshot()
				s = New()
				if err := s.Restore(snap); err != nil || !proto.Equal(snap, s.Snapshot()) {
					t.Fatalf("restore changed the state: %v", err)
				}
			},
			"": func(t *rapid.T) {
				for id, m := range want {
					if m.runs > 1 {
						t.Fatalf("request %s ran %d times", id, m.runs)
					}
				}
			},
		})
	})
}

// Guards against a snapshot that exceeds the size of one message: response bodies
// are dropped, oldest start first, the records of the requests are kept, and a full
// ledger refuses new requests.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.maxTotalBodyBytes, s.maxRecords = 250, 4
	body := make([]byte, 100)
	order := []byte{2, 0, 1} // not the order of the starts
	for n := range byte(3) {
		_, err := s.Start(baseMS, startCmd(idAt(baseMS, n), 1, 1, uint64(n)+1))
		g.Expect(err).To(BeNil())
	}
	for _, n := range order {
		_, err := s.Finish(baseMS, finishCmd(idAt(baseMS, n), 1, 1, uint64(n)+1, done, body))
		g.Expect(err).To(BeNil())
	}
	lookup := func(n byte) *apiv1.StoredAnswer {
		rec, err := s.Start(baseMS, startCmd(idAt(baseMS, n), 0, 0, 0))
		g.Expect(err).To(BeNil())
		return rec.Answer
	}
	g.Expect(lookup(0).BodyDropped).To(BeTrue())
	g.Expect(lookup(1).Body).To(HaveLen(100))
	g.Expect(lookup(2).Body).To(HaveLen(100))

	_, err := s.Start(baseMS, startCmd(idAt(baseMS, 3), 1, 1, 9))
	g.Expect(err).To(BeNil())
	rec, err := s.Finish(baseMS, finishCmd(idAt(baseMS, 3), 1, 1, 9, done, make([]byte, MaxBodyBytes+1)))
	g.Expect(err).To(BeNil())
	g.Expect(rec.Answer.BodyDropped).To(BeTrue())
	g.Expect(rec.Answer.HttpStatus).To(BeEquivalentTo(200))
	_, err = s.Start(baseMS, startCmd(idAt(baseMS, 4), 1, 1, 10))
	g.Expect(codeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY))
	g.Expect(err.NotRun).To(BeTrue())

	later := baseMS + 25*hourMS
	_, err = s.Start(later, startCmd(idAt(later, 5), 1, 1, 11))
	g.Expect(err).To(BeNil())
	g.Expect([]int{len(s.records), s.order.Len(), len(s.bodies), s.bodyBytes, len(s.started)}).To(Equal([]int{1, 1, 0, 0, 1}))
}
