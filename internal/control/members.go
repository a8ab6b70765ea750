package control

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// replaceReplica serves POST /v1/control/members. It replaces a lost replica by
// one at another address, or only removes it if the call names no new one. Each
// call makes one step: add the new replica as a learner, promote it, remove the
// old one. Operators repeat the call until the reply is no longer pending. The
// call is not needed for a replica that returns at its old address with an empty
// data folder; such a replica joins without it.
func (s *Server) replaceReplica(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.ReplaceReplica{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	group := s.node.Status().Group
	if req.NewReplicaId == 0 {
		if findReplica(group, req.OldReplicaId) == nil {
			return nil, unknownReplica(req.OldReplicaId)
		}
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, &apiv1.Replica{Id: req.OldReplicaId})
	}
	added := findReplica(group, req.NewReplicaId)
	old := findReplica(group, req.OldReplicaId)
	switch {
	case added == nil && old == nil:
		return nil, unknownReplica(req.OldReplicaId)
	case added == nil:
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER, &apiv1.Replica{
			Id: req.NewReplicaId, RpcAddress: req.NewRpcAddress, Learner: true,
		})
	case added.Learner:
		// Fails with MEMBERSHIP_CHANGE_PENDING until the learner has caught up with
		// the log and synced it.
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE, added)
	case old != nil:
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, old)
	}
	replicas, err := s.replicaStatus(ctx)
	return &apiv1.ControlMembers{Replicas: replicas}, err
}

func unknownReplica(id uint64) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "replica %d is not in the control group; see the replica ids in the status", id)
}

// changeMember makes one step of a replacement. The reply is pending, without an
// error, if the step must wait or other steps follow.
func (c *operatorCall) changeMember(ctx context.Context, kind apiv1.ConfChangeKind, r *apiv1.Replica) (proto.Message, error) {
	err := c.leadership.server.node.ChangeMembership(ctx, &apiv1.ConfChange{Kind: kind, Replica: r})
	if err != nil && result.CodeOf(err) != apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING {
		return nil, err
	}
	last := err == nil && kind == apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
	replicas, err := c.leadership.server.replicaStatus(ctx)
	return &apiv1.ControlMembers{Replicas: replicas, Pending: !last}, err
}

// findReplica returns the replica with the id, or nil.
func findReplica(group *apiv1.GroupConfig, id uint64) *apiv1.Replica {
	for _, r := range group.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// dump serves GET /v1/dump. It returns the state dump of the leader's process.
func (s *Server) dump(_ context.Context, _ *operatorCall) (proto.Message, error) {
	data, err := s.opts.Dump()
	if err != nil {
		return nil, err
	}
	out := &structpb.Struct{}
	if err := out.UnmarshalJSON(data); err != nil {
		return nil, err
	}
	return out, nil
}
