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

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	// identifyInterval is the time between two calls of Raft.Identify, which tells
	// the leader and the members of the control group.
	identifyInterval = 500 * time.Millisecond
	// identifyTimeout bounds one such call.
	identifyTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one call to one replica. A commit takes some tens of
	// milliseconds; every call may be repeated at the next replica.
	attemptTimeout = 500 * time.Millisecond
	// readyWithin is the longest time since the last news of a leader for which
	// the process counts as ready.
	readyWithin = 2 * time.Second
)

// LeaderTracker keeps a control client up to date with the leader and the
// members of the control group. The seeds, the configured addresses, only serve
// to find the group: they may be down or replaced while it lives on.
type LeaderTracker struct {
	control   *session.ControlClient
	rpcClient session.RPCClient
	log       *logrus.Entry
	// heardAt is when a leader was last heard of, in Unix ms; zero before.
	heardAt atomic.Int64

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
	return &LeaderTracker{control: control, rpcClient: rpcClient, seeds: seeds, log: log}
}

// ControlClient returns the client, which calls the leader that is known.
func (t *LeaderTracker) ControlClient() *session.ControlClient { return t.control }

// SetSeeds replaces the seeds.
func (t *LeaderTracker) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = seeds
}

// CheckReady returns nil while a leader was heard of lately.
func (t *LeaderTracker) CheckReady() error {
	if at := t.heardAt.Load(); at == 0 || time.Since(time.UnixMilli(at)) > readyWithin {
		return fmt.Errorf("no leader of the control group is known")
	}
	return nil
}

// Run asks the members until ctx ends.
func (t *LeaderTracker) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		addresses := t.addresses()
		t.ask(ctx, addresses[next%len(addresses)])
		select {
		case <-ctx.Done():
		case <-time.After(identifyInterval):
		}
	}
}

func (t *LeaderTracker) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Concat(t.members, t.seeds)
	slices.Sort(all)
	return slices.Compact(all)
}

func (t *LeaderTracker) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	info := &apiv1.ReplicaInfo{}
	if err := t.rpcClient.Call(ctx, address, "Raft.Identify", &apiv1.Empty{}, info); err != nil {
		t.log.WithError(err).WithField("address", address).Debug("replica did not answer")
		return
	}
	t.Observe(info, address)
}

// Observe records what the replica at the address from told about the leader
// and the group, unless a later term is known.
func (t *LeaderTracker) Observe(info *apiv1.ReplicaInfo, from string) {
	t.mu.Lock()
	if info.LeaderAddress == "" || info.Term < t.term {
		t.mu.Unlock()
		return
	}
	changed := t.leader != info.LeaderAddress || t.term != info.Term
	t.leader, t.term, t.members = info.LeaderAddress, info.Term, info.GroupAddresses
	t.mu.Unlock()
	t.heardAt.Store(time.Now().UnixMilli())
	if !changed {
		return
	}
	t.control.SetAddresses(t.addresses())
	t.control.SetLeader(info.LeaderAddress)
	t.log.WithFields(logrus.Fields{"leader": info.LeaderAddress, "term": info.Term, "members": len(info.GroupAddresses), "told_by": from}).Info("control leader is known")
}

// RPCAddresses returns the addresses with the rpc port in place of their own.
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
