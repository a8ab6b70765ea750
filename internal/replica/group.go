package replica

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

// Index and term of the snapshot that a new group starts from. They are the same
// on all its replicas.
const (
	initialIndex = 1
	initialTerm  = 1
)

const (
	// voterTimeout is how long the leader may be without contact to a voter before
	// a learner, a replica that gets the log without a vote, replaces it. A restart
	// takes less time.
	voterTimeout = 3 * time.Second
	// learnerTimeout is how long the leader may be without contact to a learner
	// before the learner is removed from the group.
	learnerTimeout = 10 * time.Second
	// rejoinElectionTimeouts is the number of election timeouts without a leader
	// after which a replica asks to join again.
	rejoinElectionTimeouts = 4
)

func (n *Node) registerHandlers() {
	rpc.Register(n.opts.RPCServer, "Raft.Step", n.handleStep)
	rpc.Register(n.opts.RPCServer, "Raft.SendSnapshot", n.handleChunk)
	rpc.Register(n.opts.RPCServer, "Raft.Identify", n.handleIdentify)
	rpc.Register(n.opts.RPCServer, "Raft.Form", n.handleForm)
	rpc.Register(n.opts.RPCServer, "Raft.Join", n.handleJoin)
}

// handleStep queues Raft messages of other replicas for the loop goroutine.
func (n *Node) handleStep(ctx context.Context, b *apiv1.RaftBatch) (*apiv1.Empty, error) {
	select {
	case n.inbox <- b:
		return &apiv1.Empty{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, errShuttingDown()
	}
}

func errShuttingDown() error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "replica has stopped")
}

func (n *Node) handleIdentify(context.Context, *apiv1.Empty) (*apiv1.ReplicaInfo, error) {
	return n.Info(), nil
}

// Info returns what other replicas learn about this one and its group when they
// look for a group to join.
func (n *Node) Info() *apiv1.ReplicaInfo {
	st := n.Status()
	info := &apiv1.ReplicaInfo{ReplicaId: st.ReplicaID, ClusterId: st.ClusterID, LeaderAddress: st.LeaderAddress, Term: st.Term}
	for _, r := range st.Group.GetReplicas() {
		info.GroupAddresses = append(info.GroupAddresses, r.RpcAddress)
	}
	return info
}

func (n *Node) handleForm(ctx context.Context, f *apiv1.FormGroup) (*apiv1.Empty, error) {
	var refused error
	if err := n.runInLoop(ctx, func() { refused = n.adoptInitialGroup(f) }); err != nil {
		return nil, errShuttingDown()
	}
	return &apiv1.Empty{}, refused
}

// adoptInitialGroup makes this replica a member of a new group. One record in the
// log, that of the initial snapshot, makes both the cluster id and the group
// durable.
func (n *Node) adoptInitialGroup(f *apiv1.FormGroup) error {
	if n.clusterID != 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "replica already belongs to cluster %x", n.clusterID)
	}
	contained := slices.ContainsFunc(f.Group.GetReplicas(), func(r *apiv1.Replica) bool { return r.Id == n.core.ID() })
	if !contained || f.ClusterId == 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "group does not contain replica %x", n.core.ID())
	}
	data, err := proto.Marshal(n.opts.StateMachine.Snapshot())
	if err != nil {
		return err
	}
	group := &apiv1.GroupConfig{Replicas: f.Group.Replicas, ClusterId: f.ClusterId}
	meta := &apiv1.SnapshotMeta{Index: initialIndex, Term: initialTerm, Group: group}
	if err := n.folder.WriteSnapshot(&apiv1.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	if err := n.folder.UseSnapshot(meta, true); err != nil {
		n.failUnlessDiskFull(err)
		return err
	}
	n.clusterID, n.applied = f.ClusterId, initialIndex
	n.core = n.newCore(consensus.PersistentState{HardState: &apiv1.HardState{Term: initialTerm}, Snapshot: meta})
	n.log.WithField("replicas", len(group.Replicas)).Info("adopted a new group")
	return nil
}

// handleJoin adds a replica with a new id as a learner. It returns before the
// change is committed; the new replica asks again until the leader contacts it.
func (n *Node) handleJoin(ctx context.Context, req *apiv1.JoinRequest) (*apiv1.GroupConfig, error) {
	var group *apiv1.GroupConfig
	var refused error
	if err := n.runInLoop(ctx, func() { group, refused = n.addLearner(req) }); err != nil {
		return nil, errShuttingDown()
	}
	return group, refused
}

func (n *Node) addLearner(req *apiv1.JoinRequest) (*apiv1.GroupConfig, error) {
	if n.core.Role() != consensus.Leader {
		return nil, n.errNotLeader()
	}
	for _, r := range n.core.Group().Replicas {
		if r.Id == req.ReplicaId {
			return n.core.Group(), nil
		}
		if r.RpcAddress == req.RpcAddress && (r.Id == n.core.ID() || n.core.IsReachable(r.Id)) {
			return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING, "replica %x at %s is still heard", r.Id, r.RpcAddress)
		}
	}
	replica := &apiv1.Replica{Id: req.ReplicaId, RpcAddress: req.RpcAddress, Learner: true}
	change := &apiv1.ConfChange{Kind: apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER, Replica: replica}
	if _, _, err := n.core.ProposeConfChange(change); err != nil {
		return nil, n.withResultCode(err)
	}
	n.log.WithField("learner", req.ReplicaId).Info("proposed to add a learner")
	return n.core.Group(), nil
}

// maintainGroup makes membership changes on the leader, one at a time. A replica
// whose address now belongs to another id has lost its data folder and is
// removed. Other changes are those of nextConfChange.
func (n *Node) maintainGroup() {
	if n.core.Role() != consensus.Leader {
		return
	}
	replicas := n.core.Group().Replicas
	for i, r := range replicas {
		replaced := slices.ContainsFunc(replicas[i+1:], func(later *apiv1.Replica) bool { return later.RpcAddress == r.RpcAddress })
		switch {
		case replaced && r.Id != n.core.ID() && !n.core.IsReachable(r.Id):
			n.proposeConfChange(apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, r)
			return
		case replaced:
			return
		}
	}
	if r, kind := n.nextConfChange(replicas); r != nil {
		n.proposeConfChange(kind, r)
	}
}

// nextConfChange returns the next change towards the desired voters, or nil if
// there is none: the promotion of a learner, or the removal of a replica that
// timed out. A voter is removed only while a learner can be promoted in its
// place.
func (n *Node) nextConfChange(replicas []*apiv1.Replica) (*apiv1.Replica, apiv1.ConfChangeKind) {
	for _, r := range replicas {
		if r.Learner && n.shouldPromote(r, replicas) {
			return r, apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE
		}
	}
	if n.opts.DesiredVoters == 0 {
		return nil, 0
	}
	replacementReachable := slices.ContainsFunc(replicas, func(r *apiv1.Replica) bool { return r.Learner && n.core.IsReachable(r.Id) })
	for _, r := range replicas {
		withoutContact := time.Duration(n.core.TicksSinceContact(r.Id)) * n.opts.tick()
		if r.Id != n.core.ID() && (!r.Learner && replacementReachable && withoutContact > voterTimeout || r.Learner && withoutContact > learnerTimeout) {
			return r, apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
		}
	}
	return nil, 0
}

// shouldPromote reports whether the learner r should become a voter.
func (n *Node) shouldPromote(r *apiv1.Replica, replicas []*apiv1.Replica) bool {
	if n.opts.DesiredVoters == 0 {
		return slices.Contains(n.opts.ControlAddresses, r.RpcAddress)
	}
	voters := 0
	for _, other := range replicas {
		if !other.Learner {
			voters++
		}
	}
	return voters < n.opts.DesiredVoters && n.core.IsReachable(r.Id)
}

// proposeConfChange proposes a membership change. One that is refused, for example
// because the learner has not caught up, is proposed again on the next tick.
func (n *Node) proposeConfChange(kind apiv1.ConfChangeKind, r *apiv1.Replica) {
	_, _, err := n.core.ProposeConfChange(&apiv1.ConfChange{Kind: kind, Replica: r})
	if err == nil {
		n.log.WithField("replica", r.Id).WithField("change", kind.String()).Info("proposed a membership change")
	}
}

// findGroup joins or bootstraps a group while this replica belongs to none. With
// DesiredVoters set, a replica without a leader asks to join again, since it may
// have been removed. It runs until the replica stops.
func (n *Node) findGroup() {
	ticker := time.NewTicker(n.opts.ElectionTimeout / 2)
	defer ticker.Stop()
	lastLeaderContact := n.opts.Clock.Now()
	for {
		st := n.Status()
		// While the disk is full, the replica could not store the log as a learner either.
		if st.LeaderID != 0 || n.diskFull.Load() {
			lastLeaderContact = n.opts.Clock.Now()
		}
		hasNoGroup := len(st.Group.GetReplicas()) == 0
		if hasNoGroup || n.opts.DesiredVoters > 0 && n.opts.Clock.Now()-lastLeaderContact > rejoinElectionTimeouts*n.opts.ElectionTimeout {
			n.joinOrBootstrap()
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// joinOrBootstrap asks the leader of an existing group to add this replica. It
// bootstraps a new group only when all configured replicas answered and none of
// them belongs to a group, and only at the lowest address, so that no second
// group can be formed.
func (n *Node) joinOrBootstrap() {
	infos, complete := n.identifyReplicas()
	exists := false
	for address, info := range infos {
		ownCluster := n.Status().ClusterID
		hasGroup := info.ClusterId != 0 && (ownCluster == 0 || ownCluster == info.ClusterId) && address != n.opts.RPCAddress
		exists = exists || hasGroup
		if hasGroup && info.LeaderAddress != "" {
			n.requestJoin(info.LeaderAddress)
			return
		}
	}
	lowest := slices.Min(n.opts.ControlAddresses)
	if !exists && complete && n.opts.Bootstrap && n.opts.RPCAddress == lowest && n.Status().ClusterID == 0 {
		n.bootstrapGroup(infos)
	}
}

// identifyReplicas returns the identity of each replica that answers, by address,
// and whether all known replicas answered.
func (n *Node) identifyReplicas() (infos map[string]*apiv1.ReplicaInfo, complete bool) {
	infos = map[string]*apiv1.ReplicaInfo{}
	for _, address := range n.knownAddresses(n.Status().Group) {
		if address == n.opts.RPCAddress {
			infos[address] = n.Info()
			continue
		}
		info := &apiv1.ReplicaInfo{}
		if err := n.call(address, "Raft.Identify", &apiv1.Empty{}, info); err == nil {
			infos[address] = info
		}
	}
	return infos, len(infos) == len(n.knownAddresses(n.Status().Group))
}

func (n *Node) call(address, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.ElectionTimeout)
	defer cancel()
	return n.opts.RPCClient.Call(ctx, address, method, req, resp)
}

func (n *Node) requestJoin(leader string) {
	if leader == "" {
		return
	}
	req := &apiv1.JoinRequest{ReplicaId: n.replicaID, RpcAddress: n.opts.RPCAddress}
	if err := n.call(leader, "Raft.Join", req, &apiv1.GroupConfig{}); err != nil {
		n.log.WithError(err).Debug("request to join the group failed")
	}
}

// bootstrapGroup forms a group of the replicas in infos. This replica adopts the
// group first; replicas that don't get the group here get it from the leader's
// messages.
func (n *Node) bootstrapGroup(infos map[string]*apiv1.ReplicaInfo) {
	f := &apiv1.FormGroup{ClusterId: storage.RandomID(), Group: &apiv1.GroupConfig{}}
	for _, address := range n.knownAddresses(nil) {
		f.Group.Replicas = append(f.Group.Replicas, &apiv1.Replica{Id: infos[address].ReplicaId, RpcAddress: address})
	}
	if _, err := n.handleForm(n.ctx, f); err != nil {
		n.log.WithError(err).Warn("cannot form a group")
		return
	}
	for _, address := range n.knownAddresses(nil) {
		if address == n.opts.RPCAddress {
			continue
		}
		if err := n.call(address, "Raft.Form", f, &apiv1.Empty{}); err != nil {
			n.log.WithError(err).WithField("address", address).Warn("cannot send the initial group to a replica")
		}
	}
}
