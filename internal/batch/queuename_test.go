package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// renamedQueueCases are catalogs that follow the one in which a job was accepted by queue
// "q" at "/q/".
var renamedQueueCases = []struct {
	name   string
	queues [][]*apiv1.BatchQueue
	// want is the name of the job's queue in the last catalog, empty if that has none,
	// and wantPool where its tasks may start then.
	want, wantPool string
	// wantOpen is set if calls without a key may see the job then.
	wantOpen bool
}{
	{"as accepted", nil, "q", "p", false},
	{"removed", [][]*apiv1.BatchQueue{{queueAt("other", "/other/", "p2", true)}}, "", "p", false},
	{"renamed", [][]*apiv1.BatchQueue{{queueAt("r", "/q/", "p", false)}}, "r", "p", false},
	{"renamed twice", [][]*apiv1.BatchQueue{{queueAt("r", "/q/", "p", false)}, {queueAt("s", "/q/", "p", false)}}, "s", "p", false},
	{"renamed, in another pool", [][]*apiv1.BatchQueue{{queueAt("r", "/q/", "p2", false)}}, "r", "p2", false},
	{"removed and added again by another name", [][]*apiv1.BatchQueue{{}, {queueAt("r", "/q/", "p", false)}}, "r", "p", false},
	{"moved to another address", [][]*apiv1.BatchQueue{{queueAt("q", "/moved/", "p2", true)}}, "q", "p2", true},
	{"renamed, its name is another queue's", [][]*apiv1.BatchQueue{{queueAt("q", "/other/", "p2", true), queueAt("r", "/q/", "p", false)}}, "r", "p", false},
	{"two queues exchange their names", [][]*apiv1.BatchQueue{{queueAt("open", "/q/", "p", false), queueAt("q", "/q/open/", "p2", true)}}, "open", "p", false},
}

// queueAt returns a queue at a path prefix of host "h".
func queueAt(name, prefix, pool string, open bool) *apiv1.BatchQueue {
	return &apiv1.BatchQueue{Name: name, Host: "h", PathPrefix: prefix, Pool: pool, MaxAttempts: 2, TimeoutMs: 1000, Open: open}
}

// playRenamedQueues calls check for each case after its last catalog, and again after a
// restart from a snapshot.
func playRenamedQueues(t *testing.T, check func(f *fixture, want, wantPool string, wantOpen bool)) {
	for _, c := range renamedQueueCases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("j", "a", step(1))
			for i, queues := range c.queues {
				catalog := testCatalog(uint64(i + 2))
				catalog.Queues, catalog.Pools = queues, append(catalog.Pools, &apiv1.BatchPool{Name: "p2"})
				f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: catalog}})
			}
			check(f, c.want, c.wantPool, c.wantOpen)
			f.restart()
			check(f, c.want, c.wantPool, c.wantOpen)
		})
	}
}

// Guards against waiting jobs that no queue counts, or another one does, once a
// configuration has changed the name of their queue.
func TestWaitingJobsCountInTheirQueueByItsPresentName(t *testing.T) {
	playRenamedQueues(t, func(f *fixture, want, _ string, _ bool) {
		f.t.Helper()
		for _, row := range f.s.Status().Queues {
			n := 0
			if row.Queue == want {
				n = 1
			}
			f.Expect(f.s.QueuedJobs(row.Queue)).To(BeEquivalentTo(n), row.Queue)
			f.Expect(row.QueuedJobs).To(BeEquivalentTo(n), row.Queue)
			f.Expect(row.WaitingTasks).To(BeEquivalentTo(n), row.Queue)
			f.Expect(f.s.JobPage(row.Queue, "", false, 10).Jobs).To(HaveLen(n), row.Queue)
		}
		if want == "" {
			want = "q"
		}
		f.Expect(f.s.JobPage("", "", false, 10).Jobs[0].Queue).To(Equal(want))
		f.Expect(f.s.View(f.s.Job("j")).Summary.Queue).To(Equal(want))
	})
}

// Guards against tasks that wait for minions of a pool to which their queue no longer
// leads, or start on those of another queue, once a configuration has changed names.
func TestTasksStartInThePoolOfTheirQueueByItsPresentName(t *testing.T) {
	playRenamedQueues(t, func(f *fixture, _, wantPool string, _ bool) {
		f.t.Helper()
		j := f.s.Job("j")
		for _, pool := range []string{"p", "p2"} {
			m := &apiv1.BatchMinion{Pool: pool, Capacity: &apiv1.Resources{CpuMillis: 4000, MemoryMb: 4000}}
			f.Expect(f.s.Exclusion(j, j.Steps[0], m) == "").To(Equal(pool == wantPool), pool)
		}
	})
}

// Guards against a job that callers without a key see, since a public queue has got the
// name of its own, or don't see, since its own has got another name.
func TestJobIsOpenAsItsQueueByItsPresentName(t *testing.T) {
	playRenamedQueues(t, func(f *fixture, _, _ string, wantOpen bool) {
		f.t.Helper()
		f.Expect(f.s.VisibleTo(f.s.Job("j"), "")).To(Equal(wantOpen))
	})
}
