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
	// identifyInterval is the time between two questions for the group.
	identifyInterval = 500 * time.Millisecond
	// identifyTimeout bounds one question.
	identifyTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one call to one replica. A commit takes some tens of
	// milliseconds; every call may be repeated at the next replica.
	attemptTimeout = 500 * time.Millisecond
	// readyWithin: a process that heard of a leader longer ago is not ready.
	readyWithin = 2 * time.Second
)

// LeaderTracker keeps a control client up to date with the group's members: the
// seeds may be down or replaced while the group lives on.
type LeaderTracker struct {
	control *session.ControlClient
	caller  session.RPCClient
	log     *logrus.Entry
	heardAt atomic.Int64

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	term    uint64
}

// NewLeaderTracker returns a follower that starts from the seeds' rpc addresses.
func NewLeaderTracker(caller session.RPCClient, seeds []string, log *logrus.Entry) *LeaderTracker {
	control := session.NewControlClient(caller, seeds)
	control.SetAttemptTimeout(attemptTimeout)
	return &LeaderTracker{control: control, caller: caller, seeds: seeds, log: log}
}

// ControlClient returns the client that follows the leader.
func (f *LeaderTracker) ControlClient() *session.ControlClient { return f.control }

// SetSeeds replaces the seeds.
func (f *LeaderTracker) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// CheckReady returns nil while a leader was heard of lately.
func (f *LeaderTracker) CheckReady() error {
	if at := f.heardAt.Load(); at == 0 || time.Since(time.UnixMilli(at)) > readyWithin {
		return fmt.Errorf("no leader of the control group is known")
	}
	return nil
}

// Run asks the members until ctx ends.
func (f *LeaderTracker) Run(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		addresses := f.addresses()
		f.ask(ctx, addresses[next%len(addresses)])
		select {
		case <-ctx.Done():
		case <-time.After(identifyInterval):
		}
	}
}

func (f *LeaderTracker) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Concat(f.members, f.seeds)
	slices.Sort(all)
	return slices.Compact(all)
}

func (f *LeaderTracker) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	info := &apiv1.ReplicaInfo{}
	if err := f.caller.Call(ctx, address, "Raft.Identify", &apiv1.Empty{}, info); err != nil {
		f.log.WithError(err).WithField("address", address).Debug("replica did not answer")
		return
	}
	f.Observe(info, address)
}

// Observe takes over what a replica told about the leader and the group, unless
// a later term is known.
func (f *LeaderTracker) Observe(info *apiv1.ReplicaInfo, from string) {
	f.mu.Lock()
	if info.LeaderAddress == "" || info.Term < f.term {
		f.mu.Unlock()
		return
	}
	changed := f.leader != info.LeaderAddress || f.term != info.Term
	f.leader, f.term, f.members = info.LeaderAddress, info.Term, info.GroupAddresses
	f.mu.Unlock()
	f.heardAt.Store(time.Now().UnixMilli())
	if !changed {
		return
	}
	f.control.SetAddresses(f.addresses())
	f.control.SetLeader(info.LeaderAddress)
	f.log.WithFields(logrus.Fields{"leader": info.LeaderAddress, "term": info.Term, "members": len(info.GroupAddresses), "told_by": from}).Info("control leader is known")
}

// RPCAddresses puts the rpc port in place of each address's own.
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
