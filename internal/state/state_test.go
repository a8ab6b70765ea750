package state

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// testConfig returns a small valid configuration that depends on n.
func testConfig(n int) *apiv1.ObjectSet {
	return &apiv1.ObjectSet{
		Limit:              []*apiv1.Limit{{Name: "l", MaxRunning: uint32(2 + n%3)}},
		Team:               []*apiv1.Team{{Name: "t", Weight: 1, Limit: "l"}},
		ClientAccount:      []*apiv1.ClientAccount{{Name: "a", Team: "t"}},
		AvailabilityZone:   []*apiv1.AvailabilityZone{{Name: "z", Region: "r", State: apiv1.ZoneState(1 + n%2)}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 1}},
		Pool:               []*apiv1.Pool{{Name: "p", AvailabilityBudget: "b"}, {Name: "spare", AvailabilityBudget: "b", Spare: true}},
		Service:            []*apiv1.Service{{Name: "s", Pool: "p", SlotsPerMinion: 8, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 1000}},
		Queue: []*apiv1.Queue{
			{Name: "q", Pool: "p", Teams: []string{"t"}, Priority: apiv1.Priority_PRIORITY_NORMAL, MaxDepth: 10},
			{Name: "rq", Service: "s", Teams: []string{"t"}, Priority: apiv1.Priority_PRIORITY_URGENT, MaxDepth: 10},
		},
	}
}

// drawCommand draws one command. It uses few ids, so that commands often concern
// the same objects.
func drawCommand(t *rapid.T, now int64) *apiv1.Command {
	n := rapid.IntRange(0, 4).Draw(t, "n")
	id := fmt.Sprintf("0190163d-8694-739b-aea5-966c26f8ad9%d", n)
	cmd := &apiv1.Command{TimeUnixMs: now}
	session := uint64(rapid.IntRange(1, 4).Draw(t, "session"))
	vm := fmt.Sprintf("vm-%d", n)
	switch rapid.IntRange(0, 17).Draw(t, "kind") {
	case 0:
		cmd.Body = &apiv1.Command_PublishConfig{PublishConfig: &apiv1.PublishConfig{
			ExpectedVersion: uint64(n), RequestId: fmt.Sprint("r", rapid.IntRange(0, 20).Draw(t, "request")), Objects: testConfig(n),
		}}
	case 1:
		cmd.Body = &apiv1.Command_OpenSession{OpenSession: &apiv1.OpenSession{
			ProcessId: fmt.Sprint("e", n), AvailabilityZone: "z", RpcAddress: "127.0.0.1:1", Incarnation: session,
		}}
	case 2:
		cmd.Body = &apiv1.Command_ExpireSessions{ExpireSessions: &apiv1.ExpireSessions{SessionIds: []uint64{session}}}
	case 3:
		cmd.Body = &apiv1.Command_ReleaseSessions{ReleaseSessions: &apiv1.ReleaseSessions{SessionIds: []uint64{session}}}
	case 4:
		cmd.Body = &apiv1.Command_FinishRecovery{FinishRecovery: &apiv1.FinishRecovery{Service: "s", Epoch: session}}
	case 5:
		cmd.Body = &apiv1.Command_ReportDemand{ReportDemand: &apiv1.ReportDemand{
			Service: "s", Epoch: session, Sequence: uint64(now),
			Demands: []*apiv1.TeamDemand{{Team: "t", Wanted: uint32(n), Ceiling: 1}},
		}}
	case 6:
		cmd.Body = &apiv1.Command_StartRequest{StartRequest: &apiv1.StartRequest{
			ClientAccount: "a", RequestId: id, SessionId: session, Service: "s", Epoch: 1, GrantId: session,
		}}
	case 7:
		cmd.Body = &apiv1.Command_FinishRequest{FinishRequest: &apiv1.FinishRequest{
			ClientAccount: "a", RequestId: id, SessionId: session, GrantId: session, Epoch: 1,
			State: apiv1.RequestState(2 + n%3), Answer: &apiv1.StoredAnswer{HttpStatus: 200, Body: []byte("b")},
		}}
	case 8:
		cmd.Body = &apiv1.Command_SubmitJob{SubmitJob: &apiv1.SubmitJob{
			JobId: id, ClientAccount: "a", Team: "t", Queue: "q", Resources: &apiv1.Resources{CpuMillis: 100, MemoryMb: 1}, Repeatable: n%2 == 0,
		}}
	case 9:
		cmd.Body = &apiv1.Command_PlaceJobs{PlaceJobs: &apiv1.PlaceJobs{Placements: []*apiv1.Placement{
			{JobId: id, WorkerId: "w" + vm, ExpectedEpoch: session - 1},
		}}}
	case 10:
		cmd.Body = &apiv1.Command_ReportTasks{ReportTasks: &apiv1.ReportTasks{Reports: []*apiv1.TaskReport{
			{JobId: id, Epoch: session, WorkerId: "w" + vm, Event: apiv1.TaskEvent(1 + n)},
		}}}
	case 11:
		cmd.Body = &apiv1.Command_ExpireLeases{ExpireLeases: &apiv1.ExpireLeases{Leases: []*apiv1.JobEpoch{{JobId: id, Epoch: session}}}}
	case 12:
		cmd.Body = &apiv1.Command_ObserveVms{ObserveVms: &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{
			Vm: vm, Pool: "p", AvailabilityZone: "z", Rack: "r", WorkerId: "w" + vm,
			Capacity: &apiv1.Resources{CpuMillis: 1000, MemoryMb: 100}, Down: session == 4,
		}}}}
	case 14:
		cmd.Body = batchCommand(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: id, Queue: "q", Account: "a", Steps: []*apiv1.BatchStep{{Count: 2, Resources: &apiv1.Resources{CpuMillis: 10}}},
		}}})
	case 15:
		cmd.Body = batchCommand(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{
			Minions: []*apiv1.BatchMinion{{Life: &apiv1.MinionLife{Id: vm, BornUnixMs: 1}, Capacity: &apiv1.Resources{CpuMillis: 100}}},
		}}})
	case 16:
		cmd.Body = batchCommand(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
			Ends:   []*apiv1.EndedRun{{Task: &apiv1.TaskName{JobId: id}, Run: uint32(session), End: apiv1.RunEnd(1 + n)}},
			Starts: []*apiv1.StartedRun{{Task: &apiv1.TaskName{JobId: id, Index: uint32(n % 2)}, Run: uint32(session), Minion: &apiv1.MinionLife{Id: vm, BornUnixMs: 1}}},
		}}})
	case 13:
		cmd.Body = &apiv1.Command_SetStandby{SetStandby: &apiv1.SetStandby{
			Service: "s", Epoch: session, SessionId: uint64(n), Sequence: uint64(now),
		}}
	default:
		cmd.Body = &apiv1.Command_CreateIntents{CreateIntents: &apiv1.CreateIntents{Intents: []*apiv1.Intent{{
			OperationId: fmt.Sprint("op", now), Vm: vm, Kind: apiv1.IntentKind_INTENT_KIND_REBOOT, FromPool: "p",
		}}}}
	}
	return cmd
}

func batchCommand(cmd *apiv1.BatchCommand) *apiv1.Command_Batch {
	return &apiv1.Command_Batch{Batch: cmd}
}

// Guards against diverging replicas: one applies the whole log, another restarts
// from snapshots in between. Results must be equal, snapshots must be equal byte for
// byte, and the log time (the largest proposal time of an applied command) must
// never decrease.
func TestReplicasThatRestoreASnapshotStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		index := uint64(0)
		now, last := int64(1719140000000), int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			index++
			now += int64(rapid.IntRange(-2000, 5000).Draw(t, "ms"))
			cmd := drawCommand(t, now)
			got, want := b.Apply(index, proto.CloneOf(cmd)), a.Apply(index, cmd)
			if !proto.Equal(got, want) {
				t.Fatalf("result of %v:\n%v\n%v", cmd, want, got)
			}
			if a.state.LogTimeMS < last {
				t.Fatalf("log time went back from %d to %d", last, a.state.LogTimeMS)
			}
			last = a.state.LogTimeMS
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				b = restart(t, b)
			}
			if x, y := marshal(t, a), marshal(t, b); x != y {
				t.Fatalf("states differ after %v:\n%v\n%v", cmd, a.Snapshot(), b.Snapshot())
			}
		}
	})
}

// restart returns a new machine restored from the encoded snapshot of m.
func restart(t *rapid.T, m *Machine) *Machine {
	snap := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal([]byte(marshal(t, m)), snap); err != nil {
		t.Fatal(err)
	}
	out := New()
	if err := out.Restore(snap); err != nil {
		t.Fatal(err)
	}
	return out
}

func marshal(t *rapid.T, m *Machine) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a change of the view, the part of the state that entry processes
// receive, without a new version: these processes would continue with the old view.
func TestViewVersionGrowsWithEachChangeOfTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		view := func() *apiv1.View {
			v := m.state.View(0)
			v.Version = 0
			return proto.CloneOf(v)
		}
		now := int64(1719140000000)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, version := view(), m.state.ViewVersion
			now += 1000
			m.Apply(uint64(i+1), drawCommand(t, now))
			if !proto.Equal(before, view()) && m.state.ViewVersion == version {
				t.Fatalf("the view changed without a new version:\n%v\n%v", before, view())
			}
		}
	})
}

// Guards against too low a bound on how long a request of an expired session (the
// lease of an entry process, which sends requests to minions) may still run after a
// publish has lowered the timeout of the request's service.
func TestLongestDeadlineCoversOlderConfigurations(t *testing.T) {
	g := NewWithT(t)
	m := New()
	for i, ms := range []uint32{9000, 1000} {
		s := testConfig(0)
		s.Service[0].MaxDeadlineMs = ms
		res := m.Apply(uint64(i+1), &apiv1.Command{Body: &apiv1.Command_PublishConfig{PublishConfig: &apiv1.PublishConfig{
			ExpectedVersion: uint64(i), RequestId: fmt.Sprint(i), Objects: s,
		}}})
		g.Expect(res.Status.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_OK), res.Status.Message)
	}
	g.Expect(m.state.MaxDeadlineMS()).To(BeEquivalentTo(9000))
}
