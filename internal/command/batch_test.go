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

// batchReplica serves the admin pages of a replica with two jobs, one of them
// running.
func batchReplica() string {
	m := state.New()
	index := uint64(0)
	apply := func(cmd *apiv1.BatchCommand) {
		index++
		m.Apply(index, &apiv1.Command{TimeUnixMs: 1, Body: &apiv1.Command_Batch{Batch: cmd}})
	}
	queue := &apiv1.BatchQueue{Name: "dawn", Host: "h", PathPrefix: "/", Pool: "wards", MaxAttempts: 2, TimeoutMs: 1000}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 7, Queues: []*apiv1.BatchQueue{queue}, Pools: []*apiv1.BatchPool{{Name: "wards"}},
	}}})
	life := &apiv1.MinionLife{Id: "m1", BornUnixMs: 1}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{
		{Life: life, Pool: "wards", AvailabilityZone: "a", Capacity: &apiv1.Resources{CpuMillis: 4000}},
	}}}})
	for _, id := range []string{"job-1", "job-2"} {
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: id, Queue: "dawn", AcceptedQueue: queue, Steps: []*apiv1.BatchStep{{Count: 2, Resources: &apiv1.Resources{CpuMillis: 1000}}},
		}}})
	}
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
		Starts: []*apiv1.StartedRun{{Task: &apiv1.TaskName{JobId: "job-1"}, Run: 1, Minion: life}},
	}}})
	apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_SetZone{SetZone: &apiv1.SetZoneService{AvailabilityZone: "b", Out: true}}})
	mux := http.NewServeMux()
	for pattern, page := range batchservice.Pages(m) {
		mux.HandleFunc(pattern, page)
	}
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

var _ = Describe("batch jobs", func() {
	// Guards against an operator who cannot see why work waits on a platform that
	// has its own way to submit it.
	It("shows the overview, pages of jobs and one job", func() {
		s, admin := newShell(), batchReplica()
		Expect(s.run("batch", "status", "--admin", admin)).To(Equal(0), s.err)
		Expect(s.out).To(ContainSubstring("catalog version 7 in force"))
		Expect(s.out).To(ContainSubstring("availability zone b is out of service"))
		Expect(s.out).To(MatchRegexp(`wards +no +1 +0 +4000 +1000 +1`))
		Expect(s.run("batch", "--admin", admin, "jobs", "--limit", "1")).To(Equal(0), s.err)
		Expect(s.out).To(ContainSubstring("job-1"))
		Expect(s.out).To(ContainSubstring("more: --after job-1"))
		Expect(s.run("batch", "--admin", admin, "jobs", "--after", "job-1")).To(Equal(0), s.err)
		Expect(s.out).To(ContainSubstring("job-2"))
		Expect(s.out).NotTo(ContainSubstring("more:"))
		Expect(s.run("batch", "--admin", admin, "show", "job-1")).To(Equal(0), s.err)
		Expect(s.out).To(ContainSubstring("job-1.0.0.0#1"))
	})

	// Guards against a wrong id or address that looks like an empty answer.
	It("says that a job is not known, and that nobody answers", func() {
		s, admin := newShell(), batchReplica()
		Expect(s.run("batch", "--admin", admin, "show", "job-9")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND)))
		Expect(s.run("batch", "--admin", "127.0.0.1:1", "status")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_NO_QUORUM)))
		Expect(s.run("batch", "--admin", admin, "jobs", "--limit", "0")).To(Equal(ExitCode(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT)))
	})
})
