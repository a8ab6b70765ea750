package replica

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

const eventuallyTimeout = 20 * time.Second

// authorRecorder is a state machine that records the authors of the applied
// PublishConfig commands in order.
type authorRecorder struct {
	mu      sync.Mutex
	authors []string
}

func (r *authorRecorder) Apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authors = append(r.authors, cmd.GetPublishConfig().GetAuthor())
	return &apiv1.CommandResult{Index: index, Status: result.OK()}
}

func (r *authorRecorder) Snapshot() *apiv1.StateSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &apiv1.StateSnapshot{Publish: &apiv1.PublishSnapshot{}}
	for _, a := range r.authors {
		s.Publish.History = append(s.Publish.History, &apiv1.Config{Author: a})
	}
	return s
}

func (r *authorRecorder) Restore(s *apiv1.StateSnapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.authors = nil
	for _, c := range s.GetPublish().GetHistory() {
		r.authors = append(r.authors, c.Author)
	}
	return nil
}

func (r *authorRecorder) applied() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.authors...)
}

// member is one replica of a test group. Its node is nil while it is stopped.
type member struct {
	address, folder string
	stateMachine    *authorRecorder
	node            *Node
	// running is the number of running calls of Options.OnLeader, the function that
	// a replica runs while it leads. appliedAtStart is the number of commands that
	// were applied when the first call began.
	running, appliedAtStart atomic.Int32
	// diskFull makes all writes to the data folder fail for lack of space.
	diskFull, freedBySnapshot atomic.Bool
	snapshotsFail             atomic.Bool
	saves                     atomic.Int32 // attempts to write to the log
	saveTime                  atomic.Int64 // time that each takes, as a time.Duration
	server                    *rpc.Server
	client                    *rpc.Client
}

// cluster is a group of replicas in one process, which call each other over TCP.
type cluster struct {
	t       testing.TB
	g       *WithT
	folder  string
	members []*member
	options Options
}

func newCluster(t testing.TB, size int) *cluster {
	return newClusterWith(t, size, func(*Options) {})
}

func newClusterWith(t testing.TB, size int, adjust func(*Options)) *cluster {
	c := &cluster{t: t, g: NewWithT(t), folder: t.TempDir()}
	c.g.SetDefaultEventuallyTimeout(eventuallyTimeout)
	c.options.Bootstrap = true
	c.options.HeartbeatInterval = 20 * time.Millisecond
	c.options.ElectionTimeout = 300 * time.Millisecond
	c.options.SnapshotEntries = 50
	adjust(&c.options)
	c.startNew(size)
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

// startNew adds members and starts them.
func (c *cluster) startNew(size int) {
	for i, l := range c.reserveAddresses(size) {
		c.startOn(c.members[i], l)
	}
}

// reserveAddresses adds members with a listener each. A listener that is closed
// is replaced by start, at the same address.
func (c *cluster) reserveAddresses(size int) []net.Listener {
	var listeners []net.Listener
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		c.options.ControlAddresses = append(c.options.ControlAddresses, l.Addr().String())
		c.members = append(c.members, &member{address: l.Addr().String(), folder: filepath.Join(c.folder, fmt.Sprint(i))})
	}
	return listeners
}

// startOn starts a member, for the first time or again, with a new state machine.
func (c *cluster) startOn(m *member, l net.Listener) {
	secret := []byte("secret")
	m.appliedAtStart.Store(0)
	m.stateMachine, m.server, m.client = &authorRecorder{}, rpc.NewServer(secret, logrus.WithField("address", m.address)), rpc.NewClient(secret)
	o := c.options
	o.DataFolder, o.RPCAddress, o.StateMachine, o.RPCServer, o.RPCClient = m.folder, m.address, m.stateMachine, m.server, m.client
	o.OnLeader, o.openFolder = m.onLeader, m.openFolder
	if os.Getenv("RAFT_TEST_LOG") != "" {
		o.Log = logrus.WithField("address", m.address)
	}
	node, err := Start(o)
	c.g.Expect(err).NotTo(HaveOccurred())
	m.node = node
	go m.server.Serve(l)
}

func (m *member) onLeader(ctx context.Context) {
	m.appliedAtStart.CompareAndSwap(0, int32(len(m.stateMachine.applied())))
	m.running.Add(1)
	<-ctx.Done()
	m.running.Add(-1)
}

func (c *cluster) start(m *member) {
	l, err := net.Listen("tcp", m.address)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.startOn(m, l)
}

func (c *cluster) stop(m *member) {
	if m.node == nil {
		return
	}
	m.node.Stop()
	m.server.Close()
	m.client.Close()
	m.node = nil
}

// leader waits until a member is confirmed as leader by a quorum.
func (c *cluster) leader() *member {
	var leader *member
	c.g.Eventually(func() *member {
		leader = nil
		for _, m := range c.members {
			if m.node != nil && m.node.Status().Role == consensus.Leader && m.node.Barrier(c.t.Context()) == nil {
				leader = m
			}
		}
		return leader
	}).ShouldNot(BeNil())
	return leader
}

func (c *cluster) follower() *member {
	leader := c.leader()
	for _, m := range c.members {
		if m != leader && m.node != nil {
			return m
		}
	}
	return nil
}

func publish(author string) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_PublishConfig{PublishConfig: &apiv1.PublishConfig{Author: author}}}
}

// propose repeats a command until it is committed. A command whose outcome was
// unknown may be applied twice.
func (c *cluster) propose(author string) {
	c.g.Eventually(func() error {
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		_, err := c.leader().node.Propose(ctx, publish(author))
		return err
	}).Should(Succeed())
}

// proposeMany returns the authors in the order in which they were acknowledged.
func (c *cluster) proposeMany(prefix string, count int) []string {
	var authors []string
	for i := range count {
		authors = append(authors, fmt.Sprintf("%s-%d", prefix, i))
		c.propose(authors[i])
	}
	return authors
}

// expectApplied waits until a member has applied the commands of all authors.
func (c *cluster) expectApplied(m *member, authors []string) {
	c.t.Helper()
	c.g.Eventually(m.stateMachine.applied).Should(ContainElements(authors))
}

// voters returns the number of voters in the group that a member knows, or zero
// while the group has a learner, a replica that gets the log without a vote.
func voters(m *member) int {
	n := 0
	for _, r := range m.node.Status().Group.Replicas {
		if r.Learner {
			return 0
		}
		n++
	}
	return n
}
