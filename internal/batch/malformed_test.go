package batch

import (
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// commandsWithoutContent are batch commands that lack their parts.
func commandsWithoutContent() []*apiv1.BatchCommand {
	return []*apiv1.BatchCommand{
		{},
		{Body: &apiv1.BatchCommand_PutCatalog{}},
		{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{Version: 9, Queues: []*apiv1.BatchQueue{{}}, Pools: []*apiv1.BatchPool{{}}, Accounts: []*apiv1.BatchAccount{{}}}}},
		{Body: &apiv1.BatchCommand_SetZone{}},
		{Body: &apiv1.BatchCommand_StartWave{}},
		{Body: &apiv1.BatchCommand_Submit{}},
		{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{Id: "x", Steps: []*apiv1.BatchStep{{Count: 2}}}}},
		{Body: &apiv1.BatchCommand_Cancel{}},
		{Body: &apiv1.BatchCommand_UpdateRuns{}},
		{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
			Starts: []*apiv1.StartedRun{{}, {Task: &apiv1.TaskName{JobId: "x"}, Run: 1}}, Ends: []*apiv1.EndedRun{{}, {Task: &apiv1.TaskName{JobId: "x", Step: 7}}},
		}}},
		{Body: &apiv1.BatchCommand_ObserveMinions{}},
		{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{}, {Pool: "p"}}, Gone: []*apiv1.MinionLife{{}}}}},
		{Body: &apiv1.BatchCommand_UpdateServices{}},
		{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{Wave: 1, Services: []*apiv1.MachineService{{}}}}},
		{Body: &apiv1.BatchCommand_ForgetJobs{}},
	}
}

// Guards against a committed command that makes each replica panic, again after
// each restart, since all of them apply the same log.
func FuzzMalformedCommands(f *testing.F) {
	var seeds [][]byte
	for _, cmd := range commandsWithoutContent() {
		data, err := proto.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		seeds = append(seeds, data)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fix := newFixture(t)
		for _, encoded := range append([][]byte{data}, append(seeds, data)...) {
			cmd := &apiv1.BatchCommand{}
			if proto.Unmarshal(encoded, cmd) == nil {
				_, _ = fix.s.Apply(nowMS, cmd)
			}
		}
		fix.s.Status()
		fix.s.Restore(fix.s.Snapshot())
	})
}
