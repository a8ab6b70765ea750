package membership

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against assigning a shard (the scheduler of one service) to a standby whose
// mirror lacks some of the shard's grants, its permissions to send a request to a
// minion, and against a delayed proposal that restores a removed standby.
func TestStandbyGetsTheShardOnlyWhileItIsCommitted(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetConfig(1, objects.NewIndex(&apiv1.ObjectSet{Service: []*apiv1.Service{{Name: "alerts", MaxDeadlineMs: 5000}}}))
	for i, name := range []string{"p1", "p2", "p3"} {
		_, err := s.OpenSession(uint64(i+2), &apiv1.OpenSession{ProcessId: name, RpcAddress: name, Incarnation: 1})
		g.Expect(err).To(BeNil())
	}
	shard := func() *apiv1.Shard { return s.Shards()[0] }
	first := shard().Epoch
	set := func(epoch, session, sequence uint64) apiv1.ResultCode {
		if err := s.SetStandby(&apiv1.SetStandby{Service: "alerts", Epoch: epoch, SessionId: session, Sequence: sequence}); err != nil {
			return result.CodeOf(err)
		}
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	const invalid, stale, ok = apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, apiv1.ResultCode_RESULT_CODE_OK
	g.Expect(shard().SessionId).To(BeEquivalentTo(1))
	g.Expect(set(first, 2, 1)).To(Equal(invalid), "the host is recovering")
	g.Expect(s.FinishRecovery(&apiv1.FinishRecovery{Service: "alerts", Epoch: first})).To(BeNil())
	g.Expect(set(first, 1, 1)).To(Equal(invalid), "the session hosts the shard")
	g.Expect(set(first, 7, 1)).To(Equal(invalid), "the session does not exist")
	g.Expect(set(first-1, 2, 1)).To(Equal(stale))
	g.Expect(set(first, 2, 1)).To(Equal(ok))
	g.Expect(set(first, 2, 1)).To(Equal(ok), "repeated proposal")
	g.Expect(set(first, 0, 2)).To(Equal(ok))
	g.Expect(set(first, 2, 1)).To(Equal(invalid), "delayed proposal")
	g.Expect(set(first, 3, 3)).To(Equal(ok))

	restored := New()
	restored.Restore(s.Snapshot())
	g.Expect(restored.Snapshot()).To(Equal(s.Snapshot()))

	s.ExpireSessions(10, &apiv1.ExpireSessions{SessionIds: []uint64{1}})
	g.Expect(shard().SessionId).To(BeEquivalentTo(3))
	g.Expect(shard().MirroredEpoch).To(Equal(first))
	g.Expect(shard().StandbySessionId).To(BeZero())
	g.Expect(set(first, 2, 9)).To(Equal(stale))

	second := shard().Epoch
	g.Expect(s.FinishRecovery(&apiv1.FinishRecovery{Service: "alerts", Epoch: second})).To(BeNil())
	g.Expect(set(second, 2, 1)).To(Equal(ok))
	s.OpenSession(11, &apiv1.OpenSession{ProcessId: "p4", RpcAddress: "p4", Incarnation: 1})
	s.ExpireSessions(12, &apiv1.ExpireSessions{SessionIds: []uint64{3, 2}})
	g.Expect(shard().SessionId).To(BeEquivalentTo(4))
	g.Expect(shard().MirroredEpoch).To(BeZero(), "host and standby expired together")
}
