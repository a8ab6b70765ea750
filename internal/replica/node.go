package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

const (
	inboxBatches   = 256
	queuedRequests = 4096
	// drainLimit bounds what one round takes in, so that ticks are not starved.
	drainLimit = 4096
)

// Node is a running replica. The loop goroutine owns the core, the log and the
// state machine; everything else reaches them through channels.
type Node struct {
	o      Options
	log    *logrus.Entry
	folder *storage.Folder
	core   *consensus.Core

	inbox     chan *apiv1.RaftBatch
	proposals chan *proposal
	barriers  chan *barrier
	tasks     chan func()

	// The loop alone uses these.
	clusterID     uint64
	applied       uint64
	waiting       map[uint64]*proposal
	reading       map[uint64]*barrier
	nextRead      uint64
	senders       map[string]*sender
	learned       map[uint64]string
	snapshotting  bool
	lastSnapshot  uint64
	leadTerm      uint64
	cancelLeader  context.CancelFunc
	leaderStopped chan struct{}
	lastTick      time.Duration

	incoming assembly

	status  atomic.Pointer[Status]
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	io      sync.WaitGroup
	done    chan struct{}
	err     error
}

// Start opens the data folder and runs the replica. It returns *result.Error
// with code DATA_DAMAGED when the folder must not be used.
func Start(o Options) (*Node, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	folder, contents, err := storage.Open(o.DataFolder)
	if err != nil {
		return nil, err
	}
	n := newNode(o, folder)
	if err := n.load(contents); err != nil {
		folder.Close()
		return nil, err
	}
	n.register()
	n.publishStatus()
	n.wg.Go(n.run)
	n.wg.Go(n.findGroup)
	return n, nil
}

func newNode(o Options, folder *storage.Folder) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	close(stopped)
	return &Node{
		o: o, folder: folder, ctx: ctx, cancel: cancel,
		log:       o.Log.WithField("replica_id", fmt.Sprintf("%016x", folder.ReplicaID())),
		inbox:     make(chan *apiv1.RaftBatch, inboxBatches),
		proposals: make(chan *proposal, queuedRequests),
		barriers:  make(chan *barrier, queuedRequests),
		tasks:     make(chan func()),
		waiting:   map[uint64]*proposal{},
		reading:   map[uint64]*barrier{},
		senders:   map[string]*sender{},
		learned:   map[uint64]string{},
		metrics:   newMetrics(o.Registry),
		done:      make(chan struct{}), leaderStopped: stopped,
		lastTick: o.Clock.Now(),
	}
}

func (n *Node) load(contents *storage.Contents) error {
	stored := consensus.PersistentState{HardState: contents.HardState, Entries: contents.Entries}
	n.clusterID = n.folder.ClusterID()
	if s := contents.Snapshot; s != nil {
		stored.Snapshot = s.Meta
		n.clusterID = s.Meta.GetGroup().GetClusterId()
		if err := n.restore(s); err != nil {
			return err
		}
	}
	n.core = n.newCore(stored)
	return nil
}

func (n *Node) newCore(stored consensus.PersistentState) *consensus.Core {
	tick := n.o.tick()
	return consensus.New(consensus.Config{
		ID:             n.folder.ReplicaID(),
		ElectionTicks:  int(n.o.ElectionTimeout / tick),
		HeartbeatTicks: int(n.o.HeartbeatInterval / tick),
		Rand:           rand.New(rand.NewPCG(storage.RandomID(), storage.RandomID())),
	}, stored)
}

func (n *Node) restore(s *apiv1.Snapshot) error {
	state := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("snapshot %d does not decode: %w", s.Meta.Index, err)
	}
	if err := n.o.StateMachine.Restore(state); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err)
	}
	n.applied = s.Meta.Index
	return nil
}

// Stop ends the replica and waits for its goroutines. Calls in flight fail.
func (n *Node) Stop() {
	n.cancel()
	n.wg.Wait()
}

// Done is closed when the replica has stopped, by Stop or by a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the failure that stopped the replica, nil after Stop. It may be
// called once Done is closed. After a failed write or sync the replica does
// not go on: what reached the disk is not known.
func (n *Node) Err() error { return n.err }

// Status returns the present state.
func (n *Node) Status() Status { return *n.status.Load() }

func (n *Node) run() {
	defer n.shutDown()
	ticker := time.NewTicker(n.o.tick())
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.tick()
		case b := <-n.inbox:
			n.step(b)
		case p := <-n.proposals:
			n.propose(p)
		case b := <-n.barriers:
			n.read(b)
		case task := <-n.tasks:
			task()
		}
		n.drain()
		if err := n.work(); err != nil {
			n.err = err
			n.log.WithError(err).Error("replica stops")
			return
		}
	}
}

// drain takes in what else waits, so that one sync serves all of it.
func (n *Node) drain() {
	for range drainLimit {
		select {
		case b := <-n.inbox:
			n.step(b)
		case p := <-n.proposals:
			n.propose(p)
		case b := <-n.barriers:
			n.read(b)
		default:
			return
		}
	}
}

// work carries out what the core asks for.
func (n *Node) work() error {
	for n.core.HasReady() {
		if err := n.processReady(); err != nil {
			return err
		}
	}
	n.maybeSnapshot()
	n.publishStatus()
	return n.err
}

func (n *Node) tick() {
	now := n.o.Clock.Now()
	// A process that stood still has not heard a quorum, whatever its tick
	// count says.
	if now-n.lastTick > n.o.ElectionTimeout {
		n.core.StepDown()
	}
	n.lastTick = now
	n.core.Tick()
	n.maintainGroup()
}

// do runs fn in the loop and waits for it.
func (n *Node) do(ctx context.Context, fn func()) error {
	finished := make(chan struct{})
	task := func() {
		defer close(finished)
		fn()
	}
	select {
	case n.tasks <- task:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return errStopped
	}
	<-finished
	return nil
}

var errStopped = errors.New("replica has stopped")

func (n *Node) shutDown() {
	n.endLeadership()
	n.failWaiting()
	n.cancel()
	n.publishStopped()
	close(n.done)
	<-n.leaderStopped
	// Senders and the snapshot writer use the folder.
	n.io.Wait()
	n.folder.Close()
}

// publishStopped keeps a stopped replica from passing for the leader.
func (n *Node) publishStopped() {
	st := n.Status()
	st.Role, st.LeaderID, st.LeaderAddress = consensus.Follower, 0, ""
	n.status.Store(&st)
	n.metrics.observe(&st)
}

func (n *Node) publishStatus() {
	leader := n.core.LeaderID()
	st := &Status{
		ReplicaID: n.core.ID(), ClusterID: n.clusterID, LeaderID: leader,
		LeaderAddress: n.address(leader), Role: n.core.Role(), Term: n.core.Term(),
		Commit: n.core.CommitIndex(), Applied: n.applied, Group: n.core.Group(),
	}
	n.status.Store(st)
	n.metrics.observe(st)
}
