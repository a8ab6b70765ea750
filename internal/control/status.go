package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// status serves GET /v1/status.
func (s *Server) status(ctx context.Context, c *operatorCall) (proto.Message, error) {
	report := &apiv1.StatusReport{}
	err := c.read(ctx, func(st *state.State) {
		report.ConfigVersion = st.Publish.Current().Version
		c.leadership.reportSessions(report, st)
		reportShards(report, st)
		reportPools(report, st)
		reportZones(report, st)
		reportWaves(report, st)
		reportTeams(report, st)
	})
	if err != nil {
		return nil, err
	}
	waiting, _ := c.leadership.sessions.notInForce(report.ConfigVersion)
	report.InForce = len(waiting) == 0
	report.ControlReplicas, err = s.replicaStatus(ctx)
	return report, err
}

// replicaStatus returns the replicas of the control group as the leader sees
// them.
func (s *Server) replicaStatus(ctx context.Context) ([]*apiv1.ControlReplicaStatus, error) {
	peers, err := s.node.Peers(ctx)
	if err != nil {
		return nil, err
	}
	status := s.node.Status()
	var out []*apiv1.ControlReplicaStatus
	for _, p := range peers {
		r := findReplica(status.Group, p.ReplicaID)
		out = append(out, &apiv1.ControlReplicaStatus{
			ReplicaId:       p.ReplicaID,
			RpcAddress:      r.GetRpcAddress(),
			OperatorAddress: s.opts.OperatorAddresses[r.GetRpcAddress()],
			Leader:          p.ReplicaID == status.LeaderID,
			Learner:         r.GetLearner(),
			Reachable:       p.Reachable,
			MatchIndex:      p.MatchIndex,
		})
	}
	return out, nil
}

func (l *leadership) reportSessions(report *apiv1.StatusReport, st *state.State) {
	now := l.server.opts.Clock.Now()
	for _, session := range st.Membership.Sessions() {
		out := &apiv1.SessionStatus{
			SessionId:        session.Id,
			ProcessId:        session.ProcessId,
			AvailabilityZone: session.AvailabilityZone,
			RpcAddress:       session.RpcAddress,
			Expired:          session.Expired,
		}
		if renewed, version, ok := l.sessions.lookup(session.Id); ok {
			out.ConfigVersion = version
			out.RenewedMsAgo = uint32((now - renewed).Milliseconds())
		}
		report.Sessions = append(report.Sessions, out)
	}
}

func reportShards(report *apiv1.StatusReport, st *state.State) {
	process := map[uint64]string{}
	for _, session := range st.Membership.Sessions() {
		process[session.Id] = session.ProcessId
	}
	for _, shard := range st.Membership.Shards() {
		report.Shards = append(report.Shards, &apiv1.ShardStatus{
			Service:    shard.Service,
			Epoch:      shard.Epoch,
			ProcessId:  process[shard.SessionId],
			Recovering: shard.Recovering,
		})
	}
}

// reportPools adds the pools. VMs that cannot take work, for any reason, count
// as down.
func reportPools(report *apiv1.StatusReport, st *state.State) {
	leaving := leavingVMs(st)
	for _, pool := range st.Index.Set.Pool {
		out := &apiv1.PoolStatus{
			Pool:    pool.Name,
			Spare:   pool.Spare,
			MaxDown: st.Index.Budgets[pool.AvailabilityBudget].GetMaxDown(),
		}
		for _, vm := range st.Fleet.InPool(pool.Name) {
			countVM(out, vm, leaving[vm.Id], fleet.Available(vm, st.Index))
		}
		report.Pools = append(report.Pools, out)
	}
}

func countVM(out *apiv1.PoolStatus, vm *apiv1.Vm, leaving, available bool) {
	if available {
		out.VmsUp++
	} else {
		out.VmsDown++
	}
	if leaving {
		out.VmsLeaving++
	}
	if vm.Quarantined {
		out.VmsQuarantined++
	}
}

func leavingVMs(st *state.State) map[string]bool {
	leaving := map[string]bool{}
	for _, vm := range st.Fleet.LeavingVMs() {
		leaving[vm] = true
	}
	return leaving
}

func reportZones(report *apiv1.StatusReport, st *state.State) {
	zones := map[string]*apiv1.ZoneStatus{}
	for _, z := range st.Index.Set.AvailabilityZone {
		out := &apiv1.ZoneStatus{AvailabilityZone: z.Name, Region: z.Region, State: z.State}
		zones[z.Name] = out
		report.Zones = append(report.Zones, out)
	}
	for _, vm := range st.Fleet.VMs() {
		z := zones[vm.AvailabilityZone]
		if z == nil {
			continue
		}
		if fleet.Available(vm, st.Index) {
			z.VmsUp++
		} else {
			z.VmsDown++
		}
	}
	for _, session := range st.Membership.Sessions() {
		if z := zones[session.AvailabilityZone]; z != nil && !session.Expired {
			z.Sessions++
		}
	}
}

// reportWaves adds the progress of each maintenance object, which the schema calls
// a wave here, in VMs. The VMs are those it lists, or all VMs of its pool.
func reportWaves(report *apiv1.StatusReport, st *state.State) {
	for _, m := range st.Index.Set.Maintenance {
		out := &apiv1.WaveStatus{Maintenance: m.Name, Pool: m.Pool, State: m.State}
		for _, in := range st.Fleet.Intents() {
			if in.Maintenance == m.Name {
				countIntent(out, in.Phase)
			}
		}
		planned := len(m.Vms)
		if planned == 0 {
			planned = len(st.Fleet.InPool(m.Pool))
		}
		out.Pending = uint32(max(0, planned-int(out.Done+out.Draining+out.Operating)))
		report.Waves = append(report.Waves, out)
	}
}

func countIntent(out *apiv1.WaveStatus, phase apiv1.IntentPhase) {
	switch phase {
	case apiv1.IntentPhase_INTENT_PHASE_DRAINING:
		out.Draining++
	case apiv1.IntentPhase_INTENT_PHASE_OPERATING:
		out.Operating++
	case apiv1.IntentPhase_INTENT_PHASE_DONE:
		out.Done++
	case apiv1.IntentPhase_INTENT_PHASE_FAILED:
		out.Failed++
	default:
	}
}

// reportTeams adds the work of each team. The number of running requests is
// estimated from the committed allotments, the parts of a team's limit that the
// shards of services may use. Only the shards, which grant the requests, know the
// exact number.
func reportTeams(report *apiv1.StatusReport, st *state.State) {
	weights := uint32(0)
	for _, t := range st.Index.Set.Team {
		weights += t.Weight
	}
	running, queued := teamLoad(st)
	for _, t := range st.Index.Set.Team {
		report.Teams = append(report.Teams, &apiv1.TeamStatus{
			Team:          t.Name,
			Running:       running[t.Name],
			Queued:        queued[t.Name],
			Weight:        t.Weight,
			SharePermille: t.Weight * 1000 / max(weights, 1),
			MaxRunning:    st.Index.MaxRunning(t.Name),
		})
	}
}

// teamLoad returns by team the running requests and jobs, and the queued
// requests.
func teamLoad(st *state.State) (running, queued map[string]uint32) {
	running, queued = map[string]uint32{}, map[string]uint32{}
	snap := st.Membership.Snapshot()
	for _, t := range snap.Limits {
		running[t.Team] += t.JobsRunning
	}
	for _, a := range snap.Allotments {
		busy := min(a.Amount, a.Wanted)
		running[a.Team] += busy
		queued[a.Team] += a.Wanted - busy
	}
	return running, queued
}
