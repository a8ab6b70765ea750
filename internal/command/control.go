package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

type controlCommands struct {
	Members controlMembersCommand `cmd:"" help:"List the control replicas."`
	Replace controlReplaceCommand `cmd:"" help:"Replace a lost control replica by a new one."`
}

// replicaColumns are the fields of apiv1.ControlReplicaStatus that the control
// leader sets; the others are not shown.
var replicaColumns = []string{"replica_id", "rpc_address", "operator_address", "leader", "learner"}

type controlMembersCommand struct{}

func (controlMembersCommand) Help() string {
	return `Example:
  bergamotctl control members`
}

// Run prints the replicas of the control group.
func (controlMembersCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	a.printMembers(&apiv1.ControlMembers{Replicas: status.ControlReplicas})
	return nil
}

func (a *app) printMembers(m *apiv1.ControlMembers) {
	a.printMessage(m, func() { printTable(a.stdout, "", m.Replicas, replicaColumns...) })
}

type controlReplaceCommand struct {
	OldID   uint64        `arg:"" help:"Replica id of the lost replica, as control members lists it."`
	NewID   uint64        `arg:"" help:"Replica id of the new replica, as control members or its log names it."`
	Address string        `arg:"" help:"RPC address (ip:port) of the new replica."`
	Wait    time.Duration `help:"How long to wait until the change is finished." default:"5m"`
}

func (controlReplaceCommand) Help() string {
	return `For a new replica at another address than the lost one; at the same address it takes the place of
the lost one by itself. Start bergamot-control with an empty data folder on the new VM first, and
put its address into control_addresses of the other replicas. It joins as a learner, becomes a
voter once it has synced the log, and only then the old one is removed. Run the command again with
the same arguments when it ended before that. See docs/operators/control-vm.md.

Example:
  bergamotctl control replace 11 27 10.0.1.9:7001`
}

// Run repeats advance until the new replica is a voter and the old one is
// removed. It returns a pendingError when the wait ends first, and NOT_FOUND if
// neither replica is a member, so that a wrong id adds no replica.
func (c *controlReplaceCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if !isMember(status.ControlReplicas, c.OldID) && !isMember(status.ControlReplicas, c.NewID) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "replica %d is not in the control group; see bergamotctl control members", c.OldID)
	}
	deadline := time.NewTimer(c.Wait)
	defer deadline.Stop()
	for {
		replicas, err := c.advance(ctx, client)
		if err != nil {
			return err
		}
		if isVoter(replicas, c.NewID) && !isMember(replicas, c.OldID) {
			a.printMembers(&apiv1.ControlMembers{Replicas: replicas})
			return nil
		}
		select {
		case <-ctx.Done():
			return c.notFinishedError()
		case <-deadline.C:
			return c.notFinishedError()
		case <-time.After(a.pollInterval):
		}
	}
}

// advance adds the new replica or gets its progress, and removes the old replica
// once the new one is a voter; removing it earlier could lose the quorum. It
// returns the current members, or none while another change is pending.
func (c *controlReplaceCommand) advance(ctx context.Context, client *operator.Client) ([]*apiv1.ControlReplicaStatus, error) {
	replicas, err := replaceReplica(ctx, client, &apiv1.ReplaceReplica{
		OldReplicaId: c.OldID, NewReplicaId: c.NewID, NewRpcAddress: c.Address,
	})
	if err != nil || !isVoter(replicas, c.NewID) || !isMember(replicas, c.OldID) {
		return replicas, err
	}
	return replaceReplica(ctx, client, &apiv1.ReplaceReplica{OldReplicaId: c.OldID})
}

// replaceReplica requests a change of the control group and returns the members.
// It returns none, and no error, while another change is pending and when the
// replica to remove is no longer a member.
func replaceReplica(ctx context.Context, client *operator.Client, cmd *apiv1.ReplaceReplica) ([]*apiv1.ControlReplicaStatus, error) {
	reply, err := client.ReplaceReplica(ctx, cmd)
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_OK:
		return reply.Replicas, nil
	case apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING, apiv1.ResultCode_RESULT_CODE_NOT_FOUND:
		return nil, nil // the next call of advance gets the current members
	}
	return nil, err
}

// isMember reports whether the replica is in the control group, as a voter or a
// learner, which has no vote yet.
func isMember(replicas []*apiv1.ControlReplicaStatus, id uint64) bool {
	return slices.ContainsFunc(replicas, func(r *apiv1.ControlReplicaStatus) bool { return r.ReplicaId == id })
}

// isVoter reports whether the replica is a voter of the control group.
func isVoter(replicas []*apiv1.ControlReplicaStatus, id uint64) bool {
	return slices.ContainsFunc(replicas, func(r *apiv1.ControlReplicaStatus) bool { return r.ReplicaId == id && !r.Learner })
}

func (c *controlReplaceCommand) notFinishedError() error {
	return &pendingError{fmt.Sprintf("replica %d has not replaced replica %d yet; run the command again", c.NewID, c.OldID)}
}
