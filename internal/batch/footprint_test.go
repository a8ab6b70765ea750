package batch

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// liveHeap returns the bytes of live objects.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against jobs that take more memory than is counted for them, before and after
// their tasks have begun and once they have ended, and against a count so high that few
// jobs find room.
func TestFootprintIsWhatJobsTake(t *testing.T) {
	for _, shape := range []struct{ specification, steps, count, dependencies int }{
		{1, 1, 1, 0}, {4000, 1, 1, 0}, {1, 180, 1, 0}, {1, 180, 1, 100}, {1, 8000, 1, 0}, {1, 1, 1000, 0}, {2000, 2, 8, 1},
	} {
		t.Run(fmt.Sprint(shape), func(t *testing.T) {
			g := NewWithT(t)
			job := &apiv1.BatchJob{
				Queue: "queue-1", Account: "account-1", Specification: strings.Repeat("x", shape.specification),
				AcceptedQueue: &apiv1.BatchQueue{Name: "queue-1", Host: "h.example", PathPrefix: "/prefix/", Pool: "pool-1", TimeoutMs: 3000},
			}
			for i := range shape.steps {
				s := sized(uint32(shape.count), 100)
				for before := range min(shape.dependencies, i) {
					s.After = append(s.After, uint32(before))
				}
				job.Steps = append(job.Steps, s)
			}
			data, err := proto.Marshal(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: job}})
			g.Expect(err).NotTo(HaveOccurred())
			n := max(100_000/(shape.steps*shape.count+20), 20)
			s, empty := New(), liveHeap()
			for i := range n {
				cmd := &apiv1.BatchCommand{}
				g.Expect(proto.Unmarshal(data, cmd)).To(Succeed())
				cmd.GetSubmit().Id = fmt.Sprintf("%016x", i)
				_, refused := s.Apply(nowMS, cmd)
				g.Expect(refused).To(BeNil())
			}
			perJob := func() int64 { return (liveHeap() - empty) / int64(n) }
			g.Expect(s.JobMemoryTotal()).To(Equal(int64(n) * Footprint(job)))
			g.Expect(perJob()).To(BeNumerically("<=", MessageFootprint(job)), "accepted")
			for _, j := range s.jobs {
				j.beginOccurrence(0)
				for k := range j.Steps {
					j.recount(0, uint32(k))
				}
			}
			g.Expect(perJob()).To(And(BeNumerically("<=", Footprint(job)), BeNumerically(">=", Footprint(job)/2)), "begun")
			for _, j := range s.jobs {
				s.endJob(nowMS, j, apiv1.BatchState_BATCH_STATE_COMPLETED)
			}
			if n > 1000 { // with fewer jobs the state's own tables count
				g.Expect(perJob()).To(BeNumerically("<=", endedJobBytes), "ended")
			}
			g.Expect(s.JobMemoryTotal()).To(Equal(int64(n * endedJobBytes)))
			runtime.KeepAlive(s)
		})
	}
}

// Guards against memory that is counted otherwise on another replica or after a snapshot,
// and against memory that doesn't come back when all jobs are gone, in any order of
// submissions, starts, ends, cancellations, lost minions and restarts.
func TestJobMemoryFollowsFromTheJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := New()
		apply := func(cmd *apiv1.BatchCommand) *apiv1.BatchResult {
			res, _ := s.Apply(nowMS, cmd)
			return res
		}
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: testCatalog(1)}})
		want := &reference{running: map[TaskRef]map[uint32]string{}, done: map[TaskRef]bool{}, lastRun: map[TaskRef]uint32{}, crashes: map[TaskRef]uint32{}}
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			cmd := drawCommand(t, i, want.activeRuns())
			want.apply(t, s, cmd, apply(cmd))
			memory, other := s.JobMemory(), restored(t, s).JobMemory()
			g.Expect(other.Total).To(Equal(memory.Total))
			g.Expect(other.ByAccount).To(Equal(memory.ByAccount))
			sum := int64(0)
			for _, bytes := range memory.ByAccount {
				g.Expect(bytes).To(BeNumerically(">", 0))
				sum += bytes
			}
			g.Expect(sum).To(Equal(memory.Total))
		}
		for id := range s.jobs {
			apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: id, AnyAccount: true}}})
		}
		for _, run := range want.activeRuns() {
			apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Ends: []*apiv1.EndedRun{
				{Task: run.Name(), Run: run.Number, End: apiv1.RunEnd_RUN_END_STOPPED},
			}}}})
		}
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ForgetJobs{ForgetJobs: &apiv1.ForgetBatchJobs{EndedBeforeUnixMs: nowMS + 1}}})
		g.Expect(s.jobs).To(BeEmpty())
		g.Expect(s.JobMemory()).To(Equal(JobMemory{Released: s.jobMemory.Released, ByAccount: map[string]int64{}}))
	})
}
