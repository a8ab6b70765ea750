package control

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// replaceReplica replaces a lost replica by one at another address, or only
// removes it when no new one is named. A replica that comes back at its old
// address with an empty data folder joins by itself. Operators resend the call
// until it is no longer pending.
func (s *Server) replaceReplica(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.ReplaceReplica{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	group := s.node.Status().Group
	if req.NewReplicaId == 0 {
		if find(group, req.OldReplicaId) == nil {
			return nil, unknownReplica(req.OldReplicaId)
		}
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, &apiv1.Replica{Id: req.OldReplicaId})
	}
	added := find(group, req.NewReplicaId)
	old := find(group, req.OldReplicaId)
	switch {
	case added == nil && old == nil:
		return nil, unknownReplica(req.OldReplicaId)
	case added == nil:
		return c.changeMember(ctx, apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER, &apiv1.Replica{
			Id: req.NewReplicaId, RpcAddress: req.NewRpcAddress, Learner: true,
		})
	case added.Learner:
		// Refused as pending until the learner holds the synced log.
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

// changeMember makes one step of a replacement. A step that must wait is
// pending and no error.
func (c *operatorCall) changeMember(ctx context.Context, kind apiv1.ConfChangeKind, r *apiv1.Replica) (proto.Message, error) {
	err := c.l.s.node.ChangeMembership(ctx, &apiv1.ConfChange{Kind: kind, Replica: r})
	if err != nil && result.CodeOf(err) != apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING {
		return nil, err
	}
	last := err == nil && kind == apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
	replicas, err := c.l.s.replicaStatus(ctx)
	return &apiv1.ControlMembers{Replicas: replicas, Pending: !last}, err
}

func find(group *apiv1.GroupConfig, id uint64) *apiv1.Replica {
	for _, r := range group.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

// dump returns the state dump of the leader's process.
func (s *Server) dump(_ context.Context, _ *operatorCall) (proto.Message, error) {
	data, err := s.o.Dump()
	if err != nil {
		return nil, err
	}
	out := &structpb.Struct{}
	if err := out.UnmarshalJSON(data); err != nil {
		return nil, err
	}
	return out, nil
}
