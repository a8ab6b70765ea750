package consensus

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// elected returns a group of three with a leader that has committed its first
// entry.
func elected(t *rapid.T) (*sim, *simNode) {
	s := newSim(t, 3)
	s.settling = true
	for range settleRounds {
		s.round()
		if n := s.leader(true); n != nil && s.caughtUpTo(n, n.core.noopIndex) {
			return s, n
		}
	}
	t.Fatalf("no leader was elected")
	return nil, nil
}

func (s *sim) caughtUpTo(leader *simNode, index uint64) bool {
	for _, n := range s.nodes {
		if uint64(len(n.applied)) < index || n.core.LeaderID() != leader.id {
			return false
		}
	}
	return true
}

func (s *sim) isolate(id uint64) {
	s.cut, s.side = true, map[uint64]bool{id: true}
}

// Guards against a leader that keeps serving while it hears no quorum.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := elected(t)
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

// Guards against a replica that was cut off raising the term and deposing a
// leader that has a quorum.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := elected(t)
		term := n.core.Term()
		s.isolate(n.id%3 + 1)
		for range 10 * electionTicks {
			s.round()
		}
		s.cut = false
		for range 10 * electionTicks {
			s.round()
		}
		if n.core.Role() != Leader || n.core.Term() != term || !s.caughtUpTo(n, n.core.CommitIndex()) {
			t.Fatalf("replica is %s in term %d, was leader in term %d", n.core.Role(), n.core.Term(), term)
		}
	})
}

// Guards against a vote request of a higher term, as a removed replica may send
// it, deposing a leader that has a quorum.
func TestVoteRequestIsIgnoredWhileLeaderIsHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := elected(t)
		for _, other := range s.nodes {
			vote := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 99, To: other.id, Term: 1000, LogIndex: 1000, LogTerm: 1000}
			other.core.Step(vote)
			if other.core.Term() != n.core.Term() || other.core.LeaderID() != n.id {
				t.Fatalf("replica %d followed the request into term %d", other.id, other.core.Term())
			}
		}
	})
}

// Guards against a learner becoming a voter before it has synced the log, two
// changes at once, and changes that don't fit the group.
func TestMembershipChangesAreChecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := elected(t)
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
		learner.up = false
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), ErrInvalidChange)
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER, learner.id), nil)
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, learner.id), ErrChangePending)
		s.process(n, false)
		for range electionTicks {
			s.round()
		}
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), ErrNotCaughtUp)
		learner.up = true
		for range 10 * electionTicks {
			s.round()
		}
		expect(change(apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, learner.id), nil)
	})
}
