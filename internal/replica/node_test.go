package replica

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against acknowledged commands being lost with the leader, and against
// refusals of followers that don't say who leads.
func TestLossOfLeaderKeepsAcknowledgedCommands(t *testing.T) {
	c := newCluster(t, 3)
	authors := c.proposeMany("before", 20)
	leader := c.leader()
	_, err := c.follower().node.Propose(t.Context(), publish("refused"))
	c.g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NOT_LEADER))
	c.g.Expect(result.From(err).NotRun).To(BeTrue())
	c.g.Expect(result.From(err).LeaderAddress).To(Equal(leader.address))
	c.stop(leader)
	authors = append(authors, c.proposeMany("after", 20)...)
	c.start(leader)
	for _, m := range c.members {
		c.expectApplied(m, authors)
	}
}
