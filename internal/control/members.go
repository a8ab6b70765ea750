package control

import (
	"context"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// replaceReplica removes a lost replica. A replica that starts with an empty
// data folder adds itself as a learner, so that operators need only name the
// old one.
func (s *Server) replaceReplica(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.ReplaceReplica{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	if req.NewReplicaId != 0 {
		return c.addLearner(ctx, req)
	}
	if !isMember(s.node.Status().Group, req.OldReplicaId) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "replica %d is not in the control group", req.OldReplicaId)
	}
	err := s.node.ChangeMembership(ctx, &apiv1.ConfChange{
		Kind:    apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE,
		Replica: &apiv1.Replica{Id: req.OldReplicaId},
	})
	if err != nil {
		return nil, err
	}
	return &apiv1.ControlMembers{Replicas: s.replicaStatus()}, nil
}

// addLearner adds the new replica; the leader promotes it once it has the
// synced log.
func (c *operatorCall) addLearner(ctx context.Context, req *apiv1.ReplaceReplica) (proto.Message, error) {
	s := c.l.s
	if !isMember(s.node.Status().Group, req.NewReplicaId) {
		err := s.node.ChangeMembership(ctx, &apiv1.ConfChange{
			Kind:    apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER,
			Replica: &apiv1.Replica{Id: req.NewReplicaId, RpcAddress: req.NewRpcAddress, Learner: true},
		})
		if err != nil {
			return nil, err
		}
	}
	return &apiv1.ControlMembers{
		Replicas: s.replicaStatus(),
		Pending:  isMember(s.node.Status().Group, req.OldReplicaId),
	}, nil
}

func isMember(group *apiv1.GroupConfig, id uint64) bool {
	for _, r := range group.GetReplicas() {
		if r.Id == id {
			return true
		}
	}
	return false
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
