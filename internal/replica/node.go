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
	inboxCapacity        = 256  // batches of messages
	requestQueueCapacity = 4096 // proposals, and as many barriers
	// maxTakenPerRound bounds the messages and calls that one round of the loop (the
	// goroutine of Node.run) takes from its queues, so that the ticks, which count
	// the core's timeouts, are not delayed.
	maxTakenPerRound = 4096
)

// Node is a running replica, one member of the group. The loop goroutine owns the
// core (the Raft algorithm without I/O), the log and the state machine; other
// goroutines reach them through channels. Exported methods are safe for
// concurrent use.
type Node struct {
	opts   Options
	log    *logrus.Entry
	folder dataFolder
	// replicaID is that of the folder, which only the loop may ask.
	replicaID uint64
	core      *consensus.Core

	inbox     chan *apiv1.RaftBatch
	proposals chan *proposal
	barriers  chan *barrier
	loopCalls chan func()
	// writtenSnapshots has room for the one snapshot that may be in progress.
	writtenSnapshots chan writtenSnapshot

	// The following are used by the loop only. The maps hold calls that wait for
	// an outcome: proposals by log index, barriers by barrier id, which is the
	// context of their read in the core.
	clusterID        uint64
	applied          uint64
	pendingProposals map[uint64]*proposal
	pendingBarriers  map[uint64]*barrier
	lastBarrierID    uint64
	senders          map[string]*sender
	learnedAddresses map[uint64]string // by replica id, see recordAddress
	snapshots        snapshotProgress
	leaderTerm       uint64             // zero while this replica doesn't lead
	cancelOnLeader   context.CancelFunc // nil while there is nothing to cancel
	onLeaderDone     chan struct{}      // closed when the last OnLeader call has returned
	hasWaited        bool               // for space on a full disk, with the present Ready
	resumeOnLeader   bool               // OnLeader ran when that wait began
	compactAfterWait *apiv1.SnapshotMeta
	lastTick         time.Duration
	// slowSyncsSince is the start of the first of the latest syncs of the log if they
	// were all slow, else zero.
	slowSyncsSince time.Duration

	incomingSnapshot snapshotAssembler

	status      atomic.Pointer[Status]
	diskFull    atomic.Bool // while the loop waits for space
	metrics     *metrics
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	folderUsers sync.WaitGroup // senders and snapshot writer
	done        chan struct{}
	err         error
}

// Start opens the data folder and runs the replica. It returns *result.Error
// with code DATA_DAMAGED when the folder's contents must not be used.
func Start(o Options) (*Node, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	folder, contents, err := o.openFolder(o.DataFolder)
	if err != nil {
		return nil, err
	}
	n := newNode(o, folder)
	if err := n.load(contents); err != nil {
		folder.Close()
		return nil, err
	}
	n.registerHandlers()
	n.publishStatus()
	n.wg.Go(n.run)
	n.wg.Go(n.findGroup)
	return n, nil
}

func newNode(o Options, folder dataFolder) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	close(stopped)
	return &Node{
		opts: o, folder: folder, replicaID: folder.ReplicaID(), ctx: ctx, cancel: cancel,
		log:              o.Log.WithField("replica_id", fmt.Sprintf("%016x", folder.ReplicaID())),
		inbox:            make(chan *apiv1.RaftBatch, inboxCapacity),
		proposals:        make(chan *proposal, requestQueueCapacity),
		barriers:         make(chan *barrier, requestQueueCapacity),
		loopCalls:        make(chan func()),
		writtenSnapshots: make(chan writtenSnapshot, 1),
		pendingProposals: map[uint64]*proposal{},
		pendingBarriers:  map[uint64]*barrier{},
		senders:          map[string]*sender{},
		learnedAddresses: map[uint64]string{},
		metrics:          newMetrics(o.Registry),
		done:             make(chan struct{}), onLeaderDone: stopped,
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
	tick := n.opts.tick()
	return consensus.New(consensus.Config{
		ID:             n.folder.ReplicaID(),
		ElectionTicks:  int(n.opts.ElectionTimeout / tick),
		HeartbeatTicks: int(n.opts.HeartbeatInterval / tick),
		Rand:           rand.New(rand.NewPCG(storage.RandomID(), storage.RandomID())),
	}, stored)
}

func (n *Node) restore(s *apiv1.Snapshot) error {
	state := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal(s.Data, state); err != nil {
		return fmt.Errorf("snapshot %d does not decode: %w", s.Meta.Index, err)
	}
	if err := n.opts.StateMachine.Restore(state); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", s.Meta.Index, err)
	}
	n.observeRestored(s)
	return nil
}

// Stop stops the replica and waits for its goroutines. Calls in progress fail.
func (n *Node) Stop() {
	n.cancel()
	n.wg.Wait()
}

// Done returns a channel that is closed when the replica has stopped, after Stop
// or a failure.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the failure that stopped the replica, or nil after Stop. It must
// not be called before Done is closed. A failed write or sync stops the replica,
// because it is unknown what reached the disk. For space on a full disk it waits.
func (n *Node) Err() error { return n.err }

// Status returns the state after the last round of the loop.
func (n *Node) Status() Status { return *n.status.Load() }

// run is the loop. Each round takes queued input and then carries out what the
// core asks for.
func (n *Node) run() {
	defer n.shutDown()
	ticker := time.NewTicker(n.opts.tick())
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.tick()
		case b := <-n.inbox:
			n.receive(b)
		case p := <-n.proposals:
			n.propose(p)
		case b := <-n.barriers:
			n.startBarrier(b)
		case call := <-n.loopCalls:
			call()
		case w := <-n.writtenSnapshots:
			n.useSnapshot(w)
		}
		n.tickIfDue(ticker.C)
		n.takeQueued()
		err := n.processReadies()
		if err != nil && n.ctx.Err() == nil {
			n.err = err
			n.log.WithError(err).Error("replica stops")
		}
		if err != nil {
			return
		}
	}
}

// tickIfDue ticks in a round that took other input. Under load there is input in every
// round, and without it a leader would take its own loop for suspended and step down.
func (n *Node) tickIfDue(ticks <-chan time.Time) {
	select {
	case <-ticks:
		n.tick()
	default:
	}
}

// takeQueued passes further queued input to the core, so that one sync of the log
// covers all of it.
func (n *Node) takeQueued() {
	for range maxTakenPerRound {
		select {
		case b := <-n.inbox:
			n.receive(b)
		case p := <-n.proposals:
			n.propose(p)
		case b := <-n.barriers:
			n.startBarrier(b)
		default:
			return
		}
	}
}

// processReadies carries out the core's work until there is none left. An error
// stops the replica.
func (n *Node) processReadies() error {
	// A step-down alone gives no Ready, and the sync of one may take long.
	n.updateLeadership()
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
	now := n.opts.Clock.Now()
	// While this process is suspended, the core counts no ticks, although it has no
	// contact to a quorum.
	if now-n.lastTick > n.opts.ElectionTimeout {
		n.core.StepDown()
	}
	n.lastTick = now
	n.core.Tick()
	n.maintainGroup()
}

// runInLoop runs fn in the loop goroutine and waits until it returns. It fails,
// without running fn, when ctx ends or the replica stops before.
func (n *Node) runInLoop(ctx context.Context, fn func()) error {
	finished := make(chan struct{})
	call := func() {
		defer close(finished)
		fn()
	}
	select {
	case n.loopCalls <- call:
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
	n.stopOnLeader()
	n.failPending()
	n.cancel()
	n.publishWithoutLeader()
	close(n.done)
	<-n.onLeaderDone
	// The senders and the snapshot writer use the folder until they end.
	n.folderUsers.Wait()
	n.folder.Close()
}

// publishWithoutLeader publishes a status without a leader, so that a replica that
// has stopped or waits for space on its disk doesn't seem to lead.
func (n *Node) publishWithoutLeader() {
	st := n.Status()
	st.Role, st.LeaderID, st.LeaderAddress = consensus.Follower, 0, ""
	n.status.Store(&st)
	n.metrics.observe(&st)
}

func (n *Node) publishStatus() {
	leader := n.core.LeaderID()
	st := &Status{
		ReplicaID: n.core.ID(), ClusterID: n.clusterID, LeaderID: leader,
		LeaderAddress: n.addressOf(leader), Role: n.core.Role(), Term: n.core.Term(),
		Commit: n.core.CommitIndex(), Applied: n.applied, Group: n.core.Group(),
		LogBytes: n.core.LogBytes(), MaxLogBytes: n.maxLogBytes(),
	}
	n.status.Store(st)
	n.metrics.observe(st)
	n.metrics.logBytes.Set(float64(n.core.LogBytes()))
}
