package command

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batchservice"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// startBatchReplica starts a server with the admin pages of a control replica that
// has two batch jobs, one of them running, and returns its address.
func startBatchReplica() string {
	stateMachine := state.New()
	index := uint64(0)
	apply := func(cmd *apiv1.BatchCommand) {
		index++
		stateMachine.Apply(index, &apiv1.Command{TimeUnixMs: 1, Body: &apiv1.Command_Batch{Batch: cmd}})
	}
	queue := &apiv1.BatchQueue{Name: "dawn", Host: "h", PathPrefix: "/", Pool: "wards", MaxAttempts: 2, TimeoutMs: 1000}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 7, Queues: []*apiv1.BatchQueue{queue}, Pools: []*apiv1.BatchPool{{Name: "wards"}},
		Accounts: []*apiv1.BatchAccount{{Name: "home-1", Weight: 5, Limit: &apiv1.Resources{CpuMillis: 3000}}},
	}}})
	incarnation := &apiv1.MinionLife{Id: "m1", BornUnixMs: 1}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{
		{Life: incarnation, Pool: "wards", AvailabilityZone: "a", Capacity: &apiv1.Resources{CpuMillis: 4000}},
	}}}})
	for _, id := range []string{"job-1", "job-2"} {
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: id, Queue: "dawn", Account: "home-1", AcceptedQueue: queue, Steps: []*apiv1.BatchStep{{Count: 2, Resources: &apiv1.Resources{CpuMillis: 1000}}},
		}}})
	}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
		Starts: []*apiv1.StartedRun{{Task: &apiv1.TaskName{JobId: "job-1"}, Run: 1, Minion: incarnation}},
	}}})
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_SetZone{SetZone: &apiv1.SetZoneService{AvailabilityZone: "b", Out: true}}})
	mux := http.NewServeMux()
	for pattern, page := range batchservice.Pages(stateMachine, leaderView{}) {
		mux.HandleFunc(pattern, page)
	}
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// leaderView is what the replica of startBatchReplica knows as the leader.
type leaderView struct{}

func (leaderView) Forecasts() []*apiv1.BatchForecast {
	return []*apiv1.BatchForecast{{Pool: "wards", RoomCpuMillis: 4000, WaitMs: 750, Accepted: 2, Refused: 9}}
}

func (leaderView) JobMemory() []*apiv1.BatchJobMemory {
	return []*apiv1.BatchJobMemory{{Account: "total", UsedBytes: 5000, GuaranteedBytes: 9000}, {Account: "home-1", UsedBytes: 4000, ProposedBytes: 700, GuaranteedBytes: 4500, Refused: 3}}
}

var _ = Describe("batch jobs", func() {
	// Guards against operators who cannot find out why batch jobs wait, on a
	// platform that has its own API for submitting them.
	It("shows the status, pages of jobs and one job", func() {
		h, admin := newHarness(), startBatchReplica()
		Expect(h.run("batch", "status", "--admin", admin)).To(Equal(0), h.err)
		Expect(h.out).To(ContainSubstring("catalog version 7 in force"))
		Expect(h.out).To(ContainSubstring("availability zone b is out of service"))
		Expect(h.out).To(MatchRegexp(`wards +no +1 +0 +4000 +1000 +1`))
		Expect(h.out).To(MatchRegexp(`home-1 +5 +3000 +1000 +1 +3 +3000`))
		Expect(h.out).To(MatchRegexp(`wards +4000 +0 +750 +0 +2 +9`))
		Expect(h.out).To(MatchRegexp(`total +5000B +0B +9000B +0`))
		Expect(h.out).To(MatchRegexp(`home-1 +4000B +700B +4500B +3`))
		Expect(h.run("batch", "--admin", admin, "jobs", "--limit", "1")).To(Equal(0), h.err)
		Expect(h.out).To(ContainSubstring("job-1"))
		Expect(h.out).To(ContainSubstring("more: --after job-1"))
		Expect(h.run("batch", "--admin", admin, "jobs", "--after", "job-1")).To(Equal(0), h.err)
		Expect(h.out).To(ContainSubstring("job-2"))
		Expect(h.out).NotTo(ContainSubstring("more:"))
		Expect(h.run("batch", "--admin", admin, "show", "job-1")).To(Equal(0), h.err)
		Expect(h.out).To(ContainSubstring("job-1.0.0.0#1"))
	})

	// Guards against a wrong id or address that looks like an empty result.
	It("reports an unknown job, an unreachable replica and an invalid limit", func() {
		h, admin := newHarness(), startBatchReplica()
		Expect(h.run("batch", "--admin", admin, "show", "job-9")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND)))
		Expect(h.run("batch", "--admin", "127.0.0.1:1", "status")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_NO_QUORUM)))
		Expect(h.run("batch", "--admin", admin, "jobs", "--limit", "0")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT)))
	})
})
