package replica

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// joinAt adds a member at a new address. It knows only the seed addresses, those
// of the first members.
func (c *cluster) joinAt(name string) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.g.Expect(err).NotTo(HaveOccurred())
	m := &member{address: l.Addr().String(), folder: filepath.Join(c.folder, name)}
	c.members = append(c.members, m)
	c.startOn(m, l)
	return m
}

func newSeededCluster(t *testing.T) *cluster {
	c := newClusterWith(t, 3, func(o *Options) { o.DesiredVoters = 5 })
	c.joinAt("fourth")
	c.joinAt("fifth")
	for _, m := range c.members {
		c.g.Eventually(func() int { return voters(m) }).Should(Equal(5))
	}
	return c
}

// Guards against a group that does not grow beyond the replicas at its seed
// addresses, and so does not tolerate the loss of two replicas.
func TestGroupGrowsFromItsSeeds(t *testing.T) {
	c := newSeededCluster(t)
	authors := c.proposeMany("all", 5)
	c.stop(c.leader())
	c.stop(c.leader())
	authors = append(authors, c.proposeMany("three", 5)...)
	for _, m := range c.members {
		if m.node != nil {
			c.expectApplied(m, authors)
		}
	}
}

// Guards against a lost replica that stays a voter while its replacement at
// another address stays a learner, and against a removed replica that does not
// join again after its restart.
func TestLearnerReplacesTimedOutVoter(t *testing.T) {
	c := newSeededCluster(t)
	authors := c.proposeMany("before", 3)
	lost := c.follower()
	address := lost.address
	c.stop(lost)
	replacement := c.joinAt("replacement")
	isVoter := func(m *member, address string) func() bool {
		return func() bool {
			for _, r := range m.node.Status().Group.Replicas {
				if r.RpcAddress == address {
					return !r.Learner
				}
			}
			return false
		}
	}
	c.g.Eventually(isVoter(replacement, replacement.address)).Should(BeTrue())
	c.g.Eventually(isVoter(replacement, address)).Should(BeFalse())
	authors = append(authors, c.proposeMany("after", 3)...)
	c.expectApplied(replacement, authors)
	c.start(lost)
	c.expectApplied(lost, authors)
	isMember := func() bool {
		for _, r := range replacement.node.Status().Group.Replicas {
			if r.RpcAddress == address {
				return true
			}
		}
		return false
	}
	c.g.Eventually(isMember).Should(BeTrue())
}

// Guards against a second group. A replica that lost its data folder must not
// form one while a replica at a seed address belongs to the first, even if that
// one has no leader.
func TestNoSecondGroupWhileOneExists(t *testing.T) {
	c := newClusterWith(t, 3, func(o *Options) { o.DesiredVoters = 3 })
	c.proposeMany("before", 2)
	id := c.leader().node.Status().ClusterID
	for _, m := range c.members[1:] {
		c.stop(m)
	}
	c.members[1].folder += "-wiped"
	c.start(c.members[1])
	c.members[2].folder += "-wiped"
	c.start(c.members[2])
	time.Sleep(4 * c.options.ElectionTimeout)
	for _, m := range c.members[1:] {
		c.g.Expect(m.node.Status().ClusterID).To(BeElementOf(uint64(0), id))
	}
}
