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

// A new group starts from a snapshot at this index and term, equal on all its
// replicas.
const (
	initialIndex = 1
	initialTerm  = 1
)

const (
	// voterSilence is how long a voter may be silent before a learner takes its
	// place; a restart takes less.
	voterSilence = 3 * time.Second
	// learnerSilence is how long a learner may be silent before it is dropped.
	learnerSilence = 10 * time.Second
	// rejoinAfter election timeouts without a leader, a replica asks whether it
	// still belongs to the group.
	rejoinAfter = 4
)

func (n *Node) register() {
	rpc.Register(n.o.RPCServer, "Raft.Step", n.handleStep)
	rpc.Register(n.o.RPCServer, "Raft.SendSnapshot", n.handleChunk)
	rpc.Register(n.o.RPCServer, "Raft.Identify", n.handleIdentify)
	rpc.Register(n.o.RPCServer, "Raft.Form", n.handleForm)
	rpc.Register(n.o.RPCServer, "Raft.Join", n.handleJoin)
}

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

// Info returns what this replica tells others about itself and the group.
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
	if err := n.do(ctx, func() { refused = n.form(f) }); err != nil {
		return nil, errShuttingDown()
	}
	return &apiv1.Empty{}, refused
}

// form adopts an initial group. The snapshot record binds the replica to the
// cluster and gives it the group in one write.
func (n *Node) form(f *apiv1.FormGroup) error {
	if n.clusterID != 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "replica already belongs to cluster %x", n.clusterID)
	}
	contained := slices.ContainsFunc(f.Group.GetReplicas(), func(r *apiv1.Replica) bool { return r.Id == n.core.ID() })
	if !contained || f.ClusterId == 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "group does not contain replica %x", n.core.ID())
	}
	data, err := proto.Marshal(n.o.StateMachine.Snapshot())
	if err != nil {
		return err
	}
	group := &apiv1.GroupConfig{Replicas: f.Group.Replicas, ClusterId: f.ClusterId}
	meta := &apiv1.SnapshotMeta{Index: initialIndex, Term: initialTerm, Group: group}
	if err := n.folder.WriteSnapshot(&apiv1.Snapshot{Meta: meta, Data: data}); err != nil {
		return err
	}
	if err := n.folder.UseSnapshot(meta, true); err != nil {
		// The record may be on disk or not, so the replica must not go on.
		n.err = err
		return err
	}
	n.clusterID, n.applied = f.ClusterId, initialIndex
	n.core = n.newCore(consensus.PersistentState{HardState: &apiv1.HardState{Term: initialTerm}, Snapshot: meta})
	n.log.WithField("replicas", len(group.Replicas)).Info("formed a group")
	return nil
}

// handleJoin adds a replica with a new identity as a learner. It returns before
// the change is committed; the replica asks again until the leader reaches it.
func (n *Node) handleJoin(ctx context.Context, req *apiv1.JoinRequest) (*apiv1.GroupConfig, error) {
	var group *apiv1.GroupConfig
	var refused error
	if err := n.do(ctx, func() { group, refused = n.join(req) }); err != nil {
		return nil, errShuttingDown()
	}
	return group, refused
}

func (n *Node) join(req *apiv1.JoinRequest) (*apiv1.GroupConfig, error) {
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
		return nil, n.refusal(err)
	}
	n.log.WithField("learner", req.ReplicaId).Info("added a learner")
	return n.core.Group(), nil
}

// maintainGroup runs on the leader: a replica whose address another identity
// has taken over lost its folder and is removed; a learner that belongs to the
// voters is promoted when it has caught up.
func (n *Node) maintainGroup() {
	if n.core.Role() != consensus.Leader {
		return
	}
	replicas := n.core.Group().Replicas
	for i, r := range replicas {
		replaced := slices.ContainsFunc(replicas[i+1:], func(later *apiv1.Replica) bool { return later.RpcAddress == r.RpcAddress })
		switch {
		case replaced && r.Id != n.core.ID() && !n.core.IsReachable(r.Id):
			n.changeGroup(apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, r)
			return
		case replaced:
			return
		}
	}
	if r, kind := n.nextChange(replicas); r != nil {
		n.changeGroup(kind, r)
	}
}

// nextChange returns the change that brings the group nearer to its voters.
func (n *Node) nextChange(replicas []*apiv1.Replica) (*apiv1.Replica, apiv1.ConfChangeKind) {
	for _, r := range replicas {
		if r.Learner && n.mayVote(r, replicas) {
			return r, apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE
		}
	}
	if n.o.DesiredVoters == 0 {
		return nil, 0
	}
	spare := slices.ContainsFunc(replicas, func(r *apiv1.Replica) bool { return r.Learner && n.core.IsReachable(r.Id) })
	for _, r := range replicas {
		silent := time.Duration(n.core.TicksSinceContact(r.Id)) * n.o.tick()
		if r.Id != n.core.ID() && (!r.Learner && spare && silent > voterSilence || r.Learner && silent > learnerSilence) {
			return r, apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
		}
	}
	return nil, 0
}

// mayVote tells whether a learner belongs to the voters.
func (n *Node) mayVote(r *apiv1.Replica, replicas []*apiv1.Replica) bool {
	if n.o.DesiredVoters == 0 {
		return slices.Contains(n.o.ControlAddresses, r.RpcAddress)
	}
	voters := 0
	for _, other := range replicas {
		if !other.Learner {
			voters++
		}
	}
	return voters < n.o.DesiredVoters && n.core.IsReachable(r.Id)
}

// changeGroup proposes a change; a refusal is tried again on the next tick.
func (n *Node) changeGroup(kind apiv1.ConfChangeKind, r *apiv1.Replica) {
	_, _, err := n.core.ProposeConfChange(&apiv1.ConfChange{Kind: kind, Replica: r})
	if err == nil {
		n.log.WithField("replica", r.Id).WithField("change", kind.String()).Info("changed the group")
	}
}

// findGroup looks for the group while this replica belongs to none, and asks to
// join again when it hears no leader: it may have been removed.
func (n *Node) findGroup() {
	ticker := time.NewTicker(n.o.ElectionTimeout / 2)
	defer ticker.Stop()
	heard := n.o.Clock.Now()
	for {
		st := n.Status()
		if st.LeaderID != 0 {
			heard = n.o.Clock.Now()
		}
		alone := len(st.Group.GetReplicas()) == 0
		if alone || n.o.DesiredVoters > 0 && n.o.Clock.Now()-heard > rejoinAfter*n.o.ElectionTimeout {
			n.tryGroup()
		}
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) tryGroup() {
	infos, complete := n.askAll()
	exists := false
	for address, info := range infos {
		mine := n.Status().ClusterID
		known := info.ClusterId != 0 && (mine == 0 || mine == info.ClusterId) && address != n.o.RPCAddress
		exists = exists || known
		if known && info.LeaderAddress != "" {
			n.askToJoin(info.LeaderAddress)
			return
		}
	}
	lowest := slices.Min(n.o.ControlAddresses)
	if !exists && complete && n.o.Bootstrap && n.o.RPCAddress == lowest && n.Status().ClusterID == 0 {
		n.formWith(infos)
	}
}

// askAll returns the identity of each replica that answers, and whether all
// did.
func (n *Node) askAll() (infos map[string]*apiv1.ReplicaInfo, complete bool) {
	infos = map[string]*apiv1.ReplicaInfo{}
	for _, address := range n.knownAddresses(n.Status().Group) {
		if address == n.o.RPCAddress {
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
	ctx, cancel := context.WithTimeout(n.ctx, n.o.ElectionTimeout)
	defer cancel()
	return n.o.RPCClient.Call(ctx, address, method, req, resp)
}

func (n *Node) askToJoin(leader string) {
	if leader == "" {
		return
	}
	req := &apiv1.JoinRequest{ReplicaId: n.folder.ReplicaID(), RpcAddress: n.o.RPCAddress}
	if err := n.call(leader, "Raft.Join", req, &apiv1.GroupConfig{}); err != nil {
		n.log.WithError(err).Debug("join was refused")
	}
}

// formWith sends the initial group to all replicas, to itself first: those that
// it doesn't reach get the group from the leader.
func (n *Node) formWith(infos map[string]*apiv1.ReplicaInfo) {
	f := &apiv1.FormGroup{ClusterId: storage.RandomID(), Group: &apiv1.GroupConfig{}}
	for _, address := range n.knownAddresses(nil) {
		f.Group.Replicas = append(f.Group.Replicas, &apiv1.Replica{Id: infos[address].ReplicaId, RpcAddress: address})
	}
	if _, err := n.handleForm(n.ctx, f); err != nil {
		n.log.WithError(err).Warn("group was not formed")
		return
	}
	for _, address := range n.knownAddresses(nil) {
		if address == n.o.RPCAddress {
			continue
		}
		if err := n.call(address, "Raft.Form", f, &apiv1.Empty{}); err != nil {
			n.log.WithError(err).WithField("address", address).Warn("initial group was not delivered")
		}
	}
}
