package consensus

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// newSimWithLeader returns a simulation of three replicas and its leader, whose
// first entry is committed and applied by all of them. No crashes occur.
func newSimWithLeader(t *rapid.T) (*sim, *simNode) {
	s := newSim(t, 3)
	s.faultsEnded = true
	for range recoveryRounds {
		s.round()
		if n := s.leader(true); n != nil && s.allFollowAndApplied(n, n.core.noopIndex) {
			return s, n
		}
	}
	t.Fatalf("no leader was elected")
	return nil, nil
}

// allFollowAndApplied reports whether all replicas follow the leader and have
// applied the log up to index.
func (s *sim) allFollowAndApplied(leader *simNode, index uint64) bool {
	for _, n := range s.nodes {
		if uint64(len(n.applied)) < index || n.core.LeaderID() != leader.id {
			return false
		}
	}
	return true
}

// isolate partitions the replica with id from all others.
func (s *sim) isolate(id uint64) {
	s.partitioned, s.partitionSide = true, map[uint64]bool{id: true}
}

// Guards against a leader that keeps accepting proposals after it has lost
// contact with a quorum.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := newSimWithLeader(t)
		s.isolate(n.id)
		for range electionTicks + 1 {
			s.round()
		}
		if n.core.Role() == Leader {
			t.Fatalf("leader still leads after an election timeout without a quorum")
		}
		if _, _, err := n.core.Propose(nil); !errors.Is(err, ErrNotLeader) {
			t.Fatalf("proposal returned %v", err)
		}
	})
}

// Guards against a replica that was partitioned for many election timeouts, and
// on its return raises the term and deposes a leader that has a quorum.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := newSimWithLeader(t)
		term := n.core.Term()
		s.isolate(n.id%3 + 1)
		for range 10 * electionTicks {
			s.round()
		}
		s.partitioned = false
		for range 10 * electionTicks {
			s.round()
		}
		if n.core.Role() != Leader || n.core.Term() != term || !s.allFollowAndApplied(n, n.core.CommitIndex()) {
			t.Fatalf("replica is %s in term %d, but was leader in term %d and all replicas must still follow it", n.core.Role(), n.core.Term(), term)
		}
	})
}

// Guards against a vote request of a higher term deposing a leader that has a
// quorum. A replica that was removed from the group may send such requests.
func TestVoteRequestIsIgnoredWhileLeaderIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := newSimWithLeader(t)
		for _, other := range s.nodes {
			vote := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 99, To: other.id, Term: 1000, LogIndex: 1000, LogTerm: 1000}
			other.core.Step(vote)
			if other.core.Term() != n.core.Term() || other.core.LeaderID() != n.id {
				t.Fatalf("vote request moved replica %d to term %d", other.id, other.core.Term())
			}
		}
	})
}

// Guards against a learner becoming a voter before it has synced the log, against
// a change while another one is uncommitted, and against changes that don't fit
// the group.
func TestMembershipChangesAreChecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := newSimWithLeader(t)
		change := func(kind apiv1.ConfChangeKind, id uint64) error {
			_, _, err := n.core.ProposeConfChange(&apiv1.ConfChange{Kind: kind, Replica: &apiv1.Replica{Id: id, RpcAddress: "x"}})
			return err
		}
		expect := func(err, want error) {
			if !errors.Is(err, want) {
				t.Fatalf("change returned %v, want %v", err, want)
			}
		}
		learner := s.addNode()
		learner.running = false
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), ErrInvalidChange)
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER, learner.id), nil)
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, learner.id), ErrChangePending)
		s.process(n, false)
		for range electionTicks {
			s.round()
		}
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), ErrNotCaughtUp)
		learner.running = true
		for range 10 * electionTicks {
			s.round()
		}
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), nil)
	})
}
