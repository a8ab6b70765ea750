package replica

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

// TestMain lowers chunkBytes, so that each snapshot is sent in several chunks.
func TestMain(m *testing.M) {
	chunkBytes = 100
	goleak.VerifyTestMain(m)
}

// Guards against acknowledged commands that are lost with the leader, and against
// followers that refuse a command without the leader's address.
func TestLossOfLeaderKeepsAcknowledgedCommands(t *testing.T) {
	c := newCluster(t, 3)
	authors := c.proposeMany("before", 20)
	leader := c.leader()
	follower := c.follower()
	c.g.Eventually(func() string { return follower.node.Status().LeaderAddress }).Should(Equal(leader.address))
	_, err := follower.node.Propose(t.Context(), publish("refused"))
	c.g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NOT_LEADER))
	c.g.Expect(result.From(err).NotRun).To(BeTrue())
	c.g.Expect(result.From(err).LeaderAddress).To(Equal(leader.address))
	c.stop(leader)
	authors = append(authors, c.proposeMany("after", 20)...)
	c.start(leader)
	for _, m := range c.members {
		c.expectApplied(m, authors)
		c.g.Expect(m.stateMachine.applied()).NotTo(ContainElement("refused"))
	}
}

// Guards against a replica that lost its data folder and still votes or counts
// under its old id, against a rejoin that does not finish, and against
// acknowledged commands that are lost when another replica stops right after the
// rejoin.
func TestWipedReplicaRejoinsWithNewIdentity(t *testing.T) {
	c := newCluster(t, 3)
	authors := c.proposeMany("before", 120)
	wiped := c.follower()
	before := wiped.node.Status()
	c.stop(wiped)
	c.g.Expect(os.RemoveAll(wiped.folder)).To(Succeed())
	authors = append(authors, c.proposeMany("meanwhile", 10)...)
	c.start(wiped)
	for _, m := range c.members {
		c.g.Eventually(func() int { return voters(m) }).Should(Equal(3))
	}
	after := wiped.node.Status()
	c.g.Expect(after.ReplicaID).NotTo(Equal(before.ReplicaID))
	c.g.Expect(after.ClusterID).To(Equal(before.ClusterID))
	for _, r := range after.Group.Replicas {
		c.g.Expect(r.Id).NotTo(Equal(before.ReplicaID))
	}
	for _, m := range c.members {
		if m != wiped {
			c.stop(m)
			break
		}
	}
	authors = append(authors, c.proposeMany("after", 10)...)
	c.expectApplied(wiped, authors)
	c.expectApplied(c.leader(), authors)
}

// Guards against a group that loses its state, or forms a new group, when all
// replicas restart from a snapshot and a log.
func TestRestartKeepsStateAndIdentities(t *testing.T) {
	c := newCluster(t, 3)
	authors := c.proposeMany("before", 330)
	before := c.leader().node.Status()
	var ids []uint64
	for _, m := range c.members {
		ids = append(ids, m.node.Status().ReplicaID)
		c.stop(m)
		snapshots, err := filepath.Glob(filepath.Join(m.folder, "*.snapshot"))
		c.g.Expect(err).NotTo(HaveOccurred())
		c.g.Expect(snapshots).NotTo(BeEmpty())
	}
	for _, m := range c.members {
		c.start(m)
	}
	authors = append(authors, c.proposeMany("after", 5)...)
	for i, m := range c.members {
		// A proposal that is repeated after an unknown outcome may be applied twice
		// in a row.
		c.g.Eventually(func() []string { return slices.Compact(m.stateMachine.applied()) }).Should(Equal(authors))
		c.g.Expect(m.node.Status().ReplicaID).To(Equal(ids[i]))
		c.g.Expect(m.node.Status().ClusterID).To(Equal(before.ClusterID))
	}
}

// Guards against a leader without a quorum that confirms a read, or that reports a
// command as not run although the command may still be committed.
func TestLeaderWithoutQuorumReportsUnknownOutcome(t *testing.T) {
	c := newCluster(t, 3)
	leader := c.leader()
	for _, m := range c.members {
		if m != leader {
			c.stop(m)
		}
	}
	_, err := leader.node.Propose(t.Context(), publish("unknown"))
	c.g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_QUORUM))
	c.g.Expect(result.From(err).NotRun).To(BeFalse())
	c.g.Expect(leader.node.Barrier(t.Context())).NotTo(Succeed())
	c.g.Expect(leader.node.Status().Role).NotTo(Equal(consensus.Leader))
}

// Guards against Options.OnLeader, the function that a replica runs while it leads,
// running on a replica that is not the leader.
func TestOnLeaderRunsWhileLeading(t *testing.T) {
	c := newCluster(t, 3)
	c.proposeMany("before", 20)
	first := c.leader()
	c.g.Eventually(first.running.Load).Should(BeNumerically("==", 1))
	node := first.node
	c.stop(first)
	c.g.Expect(node.Status().Role).To(Equal(consensus.Follower))
	c.g.Expect(first.running.Load()).To(BeNumerically("==", 0))
	second := c.leader()
	c.g.Eventually(second.running.Load).Should(BeNumerically("==", 1))
	for _, m := range c.members {
		if m != second {
			c.g.Expect(m.running.Load()).To(BeNumerically("==", 0))
			c.stop(m)
		}
	}
	c.g.Eventually(second.running.Load).Should(BeNumerically("==", 0))
}

// Guards against OnLeader being called before all committed commands are applied:
// the log of a stopped replica doesn't tell that its last command was committed.
func TestOnLeaderStartsOnAppliedState(t *testing.T) {
	c := newCluster(t, 1)
	authors := c.proposeMany("before", 20)
	m := c.members[0]
	c.stop(m)
	folder, contents, err := storage.Open(m.folder)
	c.g.Expect(err).NotTo(HaveOccurred())
	folder.Close()
	last := contents.Entries[len(contents.Entries)-1]
	c.g.Expect(contents.HardState.Commit).To(BeNumerically("<", last.Index))
	c.start(m)
	c.g.Eventually(m.appliedAtStart.Load).Should(BeNumerically("==", len(authors)))
	c.g.Expect(m.stateMachine.applied()).To(Equal(authors))
}

// Guards against a leader that stays leader after its host was suspended, without
// contact to a quorum. Go's monotonic clock stops during a suspension, the boot
// clock does not.
func TestLeaderStepsDownAfterSuspension(t *testing.T) {
	fake := &clock.Fake{}
	c := newClusterWith(t, 3, func(o *Options) { o.Clock = fake })
	leader := c.leader()
	term := leader.node.Status().Term
	fake.Advance(2 * c.options.ElectionTimeout)
	c.g.Eventually(func() uint64 { return c.leader().node.Status().Term }).Should(BeNumerically(">", term))
}

// Guards against a replica that starts on a damaged log.
func TestDamagedLogIsRefused(t *testing.T) {
	c := newCluster(t, 1)
	c.proposeMany("before", 10)
	m := c.members[0]
	c.stop(m)
	segments, err := filepath.Glob(filepath.Join(m.folder, "*.wal"))
	c.g.Expect(err).NotTo(HaveOccurred())
	last := segments[len(segments)-1]
	data, err := os.ReadFile(last)
	c.g.Expect(err).NotTo(HaveOccurred())
	data[len(data)/2] ^= 1
	c.g.Expect(os.WriteFile(last, data, 0o600)).To(Succeed())
	o := c.options
	o.DataFolder, o.RPCAddress, o.StateMachine = m.folder, m.address, &authorRecorder{}
	o.RPCServer, o.RPCClient = rpc.NewServer(nil, logrus.WithField("address", m.address)), rpc.NewClient(nil)
	_, err = Start(o)
	c.g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED))
	c.g.Expect(err.Error()).To(And(ContainSubstring(filepath.Base(last)), ContainSubstring("offset"), ContainSubstring("record")))
}

// Guards against a group formed by some of the configured replicas: the others
// could form a second one.
func TestGroupWaitsForAllReplicas(t *testing.T) {
	c := newCluster(t, 0)
	for _, l := range c.reserveAddresses(3) {
		c.g.Expect(l.Close()).To(Succeed())
	}
	c.start(c.members[0])
	c.start(c.members[1])
	c.g.Consistently(func() uint64 {
		return c.members[0].node.Status().ClusterID + c.members[1].node.Status().ClusterID
	}, 5*c.options.ElectionTimeout).Should(BeZero())
	c.start(c.members[2])
	authors := c.proposeMany("formed", 3)
	for _, m := range c.members {
		c.expectApplied(m, authors)
	}
}

// Guards against a membership change that is reported as done before it is
// committed, and against a removed replica that becomes leader or joins again.
func TestRemovedReplicaStaysOut(t *testing.T) {
	c := newCluster(t, 3)
	leader, removed := c.leader(), c.follower()
	id := removed.node.Status().ReplicaID
	change := &apiv1.ConfChange{Kind: apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, Replica: &apiv1.Replica{Id: id}}
	c.g.Expect(leader.node.ChangeMembership(t.Context(), change)).To(Succeed())
	c.g.Expect(voters(leader)).To(Equal(2))
	c.g.Consistently(func() int { return voters(c.leader()) }, 5*c.options.ElectionTimeout).Should(Equal(2))
	c.g.Expect(removed.node.Status().Role).NotTo(Equal(consensus.Leader))
	c.proposeMany("after", 3)
}

// Guards against a replica that has stepped down but goes on as leader until the
// next message or election: OnLeader runs on, and a read that can't be confirmed
// any more waits.
func TestLeadershipEndsWithTheStepDown(t *testing.T) {
	c := newCluster(t, 3)
	var leader *member
	var read *barrier
	var before, after uint64
	// Each call is carried out in a round of the loop of its own. A leader that has
	// lost its leadership by itself before that is replaced by the next one.
	c.g.Eventually(func() uint64 {
		leader, read = c.leader(), &barrier{ctx: t.Context(), done: make(chan error, 1)}
		c.g.Expect(leader.node.runInLoop(t.Context(), func() {
			if before = leader.node.leaderTerm; leader.node.core.Role() == consensus.Leader {
				leader.node.startBarrier(read)
				leader.node.core.StepDown()
			}
		})).To(Succeed())
		return before
	}).ShouldNot(BeZero())
	c.g.Expect(leader.node.runInLoop(t.Context(), func() { after = leader.node.leaderTerm })).To(Succeed())
	c.g.Expect(after).NotTo(Equal(before))
	c.g.Expect(read.done).To(Receive(HaveOccurred()))
}

// Guards against a data race of the goroutines that read this replica's id with the
// loop, which records the cluster in the data folder.
func TestReplicaIDIsReadWhileClusterIsRecorded(t *testing.T) {
	c := newCluster(t, 1)
	n := c.leader().node
	read := make(chan struct{})
	go func() {
		defer close(read)
		chunk := &apiv1.SnapshotChunk{Message: &apiv1.RaftMessage{Snapshot: &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{}}}}
		for range 100 {
			_, _ = n.handleChunk(t.Context(), chunk)
			n.requestJoin("127.0.0.1:1")
		}
	}()
	for range 3 {
		c.g.Expect(n.runInLoop(t.Context(), func() { c.g.Expect(n.folder.SetClusterID(n.clusterID)).To(Succeed()) })).To(Succeed())
	}
	<-read
}
