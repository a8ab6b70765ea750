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

const waitLimit = 20 * time.Second

// machine records the authors of applied publications in order.
type machine struct {
	mu      sync.Mutex
	authors []string
}

func (m *machine) Apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.authors = append(m.authors, cmd.GetPublishConfig().GetAuthor())
	return &apiv1.CommandResult{Index: index, Status: result.OK()}
}

func (m *machine) Snapshot() *apiv1.StateSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &apiv1.StateSnapshot{Publish: &apiv1.PublishSnapshot{}}
	for _, a := range m.authors {
		s.Publish.History = append(s.Publish.History, &apiv1.Config{Author: a})
	}
	return s
}

func (m *machine) Restore(s *apiv1.StateSnapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.authors = nil
	for _, c := range s.GetPublish().GetHistory() {
		m.authors = append(m.authors, c.Author)
	}
	return nil
}

func (m *machine) applied() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.authors...)
}

// member is one replica of a test group with its listener.
type member struct {
	address, folder string
	machine         *machine
	node            *Node
	// leading counts running OnLeader calls, atLead what was applied when the
	// first one began.
	leading, atLead atomic.Int32
	server          *rpc.Server
	client          *rpc.Client
}

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
	c.g.SetDefaultEventuallyTimeout(waitLimit)
	c.options.Bootstrap = true
	c.options.HeartbeatInterval = 20 * time.Millisecond
	c.options.ElectionTimeout = 300 * time.Millisecond
	c.options.SnapshotEntries = 50
	adjust(&c.options)
	c.add(size)
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	return c
}

func (c *cluster) add(size int) {
	for i, l := range c.listen(size) {
		c.startOn(c.members[i], l)
	}
}

// listen reserves an address for each member; start listens there again.
func (c *cluster) listen(size int) []net.Listener {
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

func (c *cluster) startOn(m *member, l net.Listener) {
	secret := []byte("secret")
	m.atLead.Store(0)
	m.machine, m.server, m.client = &machine{}, rpc.NewServer(secret), rpc.NewClient(secret)
	o := c.options
	o.DataFolder, o.RPCAddress, o.StateMachine, o.RPCServer, o.RPCClient = m.folder, m.address, m.machine, m.server, m.client
	o.OnLeader = m.onLeader
	if os.Getenv("RAFT_TEST_LOG") != "" {
		o.Log = logrus.WithField("address", m.address)
	}
	node, err := Start(o)
	c.g.Expect(err).NotTo(HaveOccurred())
	m.node = node
	go m.server.Serve(l)
}

func (m *member) onLeader(ctx context.Context) {
	m.atLead.CompareAndSwap(0, int32(len(m.machine.applied())))
	m.leading.Add(1)
	<-ctx.Done()
	m.leading.Add(-1)
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

// propose repeats a command until it commits; a command whose outcome is not
// known may then be applied twice.
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

func (c *cluster) expectApplied(m *member, authors []string) {
	c.t.Helper()
	c.g.Eventually(m.machine.applied).Should(ContainElements(authors))
}

// voters returns the number of voters that a member knows, zero while a learner
// is left.
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
