package batchservice

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	// identifyInterval is the time between two Raft.Identify calls.
	identifyInterval = 500 * time.Millisecond
	// identifyTimeout bounds one Raft.Identify call.
	identifyTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one attempt of a call at one replica. A commit takes
	// some tens of milliseconds, and a call that times out is repeated at the
	// next replica.
	attemptTimeout = 500 * time.Millisecond
	// leaderContactTimeout is the time without news of a leader after which the
	// process is not ready.
	leaderContactTimeout = 2 * time.Second
	// isolationTimeout is the time without an answer of any replica after which the
	// process is taken to be cut off.
	isolationTimeout = 1500 * time.Millisecond
)

// LeaderTracker keeps a control client up to date with the leader and the
// members of the control group, the replicas that keep the state. Members are
// learned from replicas, since the configured seeds may be down or no longer part
// of the group.
type LeaderTracker struct {
	control   *session.ControlClient
	rpcClient session.RPCClient
	log       *logrus.Entry
	started   time.Time
	// lastContact is when a replica last named a leader, lastAnswer when any replica
	// last answered. Both are time.Durations since started, which don't follow jumps
	// of the time of day, and 0 before the first time.
	lastContact, lastAnswer atomic.Int64

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	term    uint64
}

// NewLeaderTracker returns a tracker that starts from the seeds' rpc addresses.
func NewLeaderTracker(rpcClient session.RPCClient, seeds []string, log *logrus.Entry) *LeaderTracker {
	control := session.NewControlClient(rpcClient, seeds)
	control.SetAttemptTimeout(attemptTimeout)
	return &LeaderTracker{control: control, rpcClient: rpcClient, seeds: seeds, log: log, started: time.Now()}
}

// ControlClient returns the client whose calls go to the tracked leader.
func (t *LeaderTracker) ControlClient() *session.ControlClient { return t.control }

// CheckConnected returns an error when no replica has answered for
// isolationTimeout, so that the process is likely to be cut off from all of them.
func (t *LeaderTracker) CheckConnected() error {
	if t.lastAnswer.Load() != 0 && t.age(&t.lastAnswer) > isolationTimeout {
		return fmt.Errorf("no control replica has answered for %s", isolationTimeout)
	}
	return nil
}

// Invoke implements Invoker. While the process is cut off from all replicas, a call
// is refused at once, as not run: another process may reach the leader, and a search
// would only use up the caller's time.
func (t *LeaderTracker) Invoke(ctx context.Context, method string, req, resp proto.Message) error {
	if err := t.CheckConnected(); err != nil {
		return errCutOff(method, err)
	}
	return t.recordOutcome(t.control.Invoke(ctx, method, req, resp))
}

// Query implements Invoker, as Invoke does.
func (t *LeaderTracker) Query(ctx context.Context, method string, req, resp proto.Message) error {
	if err := t.CheckConnected(); err != nil {
		return errCutOff(method, err)
	}
	return t.recordOutcome(t.control.Query(ctx, method, req, resp))
}

func errCutOff(method string, err error) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "%s was not sent: %v", method, err)
}

// recordOutcome counts an answer of the leader as one of a replica and returns err.
func (t *LeaderTracker) recordOutcome(err error) error {
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_NO_QUORUM, apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN:
	default:
		t.record(&t.lastAnswer)
	}
	return err
}

// record sets a time to now.
func (t *LeaderTracker) record(at *atomic.Int64) { at.Store(int64(max(time.Since(t.started), 1))) }

// age returns how long ago a recorded time was.
func (t *LeaderTracker) age(at *atomic.Int64) time.Duration {
	return time.Since(t.started) - time.Duration(at.Load())
}

// SetSeeds replaces the seeds' rpc addresses. Members that are already known
// stay.
func (t *LeaderTracker) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// CheckReady returns an error unless a replica named a leader within the last
// leaderContactTimeout.
func (t *LeaderTracker) CheckReady() error {
	if t.lastContact.Load() == 0 || t.age(&t.lastContact) > leaderContactTimeout {
		return fmt.Errorf("no leader of the control group is known")
	}
	return nil
}

// Run asks members and seeds in turn for the leader until ctx ends.
func (t *LeaderTracker) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		t.identifyNext(ctx, next)
		select {
		case <-ctx.Done():
		case <-time.After(identifyInterval):
		}
	}
}

// identifyNext asks one replica for the leader, or all at once if the last one asked
// did not answer in time.
func (t *LeaderTracker) identifyNext(ctx context.Context, next int) {
	addresses := t.addresses()
	if t.age(&t.lastAnswer) < 2*identifyInterval {
		t.identify(ctx, addresses[next%len(addresses)])
		return
	}
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { t.identify(ctx, address) })
	}
	wg.Wait()
}

// addresses returns the known members and the seeds without duplicates.
func (t *LeaderTracker) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Concat(t.members, t.seeds)
	slices.Sort(all)
	return slices.Compact(all)
}

// identify asks the replica at address for the leader and the group.
func (t *LeaderTracker) identify(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	info := &apiv1.ReplicaInfo{}
	if err := t.rpcClient.Call(ctx, address, "Raft.Identify", &apiv1.Empty{}, info); err != nil {
		t.log.WithError(err).WithField("address", address).Debug("replica cannot be reached")
		return
	}
	t.record(&t.lastAnswer)
	t.Observe(info, address)
}

// Observe updates the leader and the members from a replica's reply. It ignores
// replies that name no leader or have an earlier term than the known one. The
// argument from names the source in the log.
func (t *LeaderTracker) Observe(info *apiv1.ReplicaInfo, from string) {
	t.mu.Lock()
	if info.LeaderAddress == "" || info.Term < t.term {
		t.mu.Unlock()
		return
	}
	changed := t.leader != info.LeaderAddress || t.term != info.Term
	t.leader, t.term, t.members = info.LeaderAddress, info.Term, info.GroupAddresses
	t.mu.Unlock()
	t.record(&t.lastContact)
	if !changed {
		return
	}
	t.control.SetAddresses(t.addresses())
	t.control.SetLeader(info.LeaderAddress)
	t.log.WithFields(logrus.Fields{"leader": info.LeaderAddress, "term": info.Term, "members": len(info.GroupAddresses), "told_by": from}).Info("control leader is known")
}

// RPCAddresses replaces the port of each address by the rpc port. An address
// that is not host:port is an error.
func RPCAddresses(addresses []string, port uint32) ([]string, error) {
	out := make([]string, 0, len(addresses))
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			return nil, fmt.Errorf("seed address %q is not ip:port: %w", a, err)
		}
		out = append(out, net.JoinHostPort(host, strconv.FormatUint(uint64(port), 10)))
	}
	return out, nil
}
