package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// reference is a naive reference implementation that decides which runs
// (executions of tasks on minions, the worker processes) may start. Unlike
// State, it keeps no indexes and no derived counters.
type reference struct {
	running map[TaskRef]map[uint32]string // incarnation by run number
	done    map[TaskRef]bool
	lastRun map[TaskRef]uint32
	crashes map[TaskRef]uint32 // of minions under the task
}

// Guards against committed states that violate the invariants in the package
// comment of state.go, in any order of submissions, starts, ends, cancellations,
// lost minions, minions that shrink and grow, and restarts of a replica.
func TestCommittedStatesKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply := func(cmd *apiv1.BatchCommand) *apiv1.BatchResult {
			res, _ := s.Apply(nowMS, cmd)
			return res
		}
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: testCatalog(1)}})
		want := &reference{running: map[TaskRef]map[uint32]string{}, done: map[TaskRef]bool{}, lastRun: map[TaskRef]uint32{}, crashes: map[TaskRef]uint32{}}
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			cmd := drawCommand(t, i, want.activeRuns())
			res := apply(cmd)
			want.apply(t, s, cmd, res)
			checkCounters(t, s)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				s = restored(t, s)
			}
		}
	})
}

// activeRuns returns the runs that have not ended, in order.
func (r *reference) activeRuns() []RunKey {
	var out []RunKey
	for task, runs := range r.running {
		for number := range runs {
			out = append(out, RunKey{task, number})
		}
	}
	slices.SortFunc(out, compareRuns)
	return out
}

// drawCommand draws one command about one of three jobs and one of three minions.
// An end is that of an active run, or of any.
func drawCommand(t *rapid.T, i int, active []RunKey) *apiv1.BatchCommand {
	n := rapid.IntRange(0, 2).Draw(t, "n")
	job, minion := fmt.Sprint("j", n), fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "minion"))
	task := ref(job, uint32(rapid.IntRange(0, 1).Draw(t, "step")), uint32(rapid.IntRange(0, 1).Draw(t, "index")))
	run := uint32(rapid.IntRange(1, 6).Draw(t, "run"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		steps := []*apiv1.BatchStep{step(2), step(2, 0)}
		steps[1].Speculative = n == 1
		return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: job, Queue: "q", Account: []string{"a", "b", ""}[n], Steps: steps, AcceptedQueue: testCatalog(1).Queues[0],
		}}}
	case 1:
		return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
			Life: &apiv1.MinionLife{Id: minion, BornUnixMs: int64(1 + n)}, Pool: "p",
			Capacity: &apiv1.Resources{CpuMillis: 1000 * rapid.Uint32Range(0, 2).Draw(t, "cores"), MemoryMb: 1000},
			Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence"),
		}}}}}
	case 2:
		return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{
			Gone: []*apiv1.MinionLife{{Id: minion, BornUnixMs: int64(1 + n)}},
		}}}
	case 3:
		return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: job, AnyAccount: i%2 == 0}}}
	case 4, 5:
		// Crashes are drawn more often, since only the third one ends the job.
		if len(active) > 0 && rapid.Bool().Draw(t, "is active") {
			key := rapid.SampledFrom(active).Draw(t, "active")
			task, run = key.TaskRef, key.Number
		}
		end := min(apiv1.RunEnd(rapid.IntRange(1, 16).Draw(t, "end")), crashed)
		return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
			Ends: []*apiv1.EndedRun{{Task: task.Name(), Run: run, End: end}},
		}}}
	}
	return &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
		Starts: []*apiv1.StartedRun{{Task: task.Name(), Run: run, Minion: &apiv1.MinionLife{Id: minion, BornUnixMs: int64(1 + n)}}},
	}}}
}

// apply updates the reference with a command and its result, and checks a
// committed start against the commands before.
func (r *reference) apply(t *rapid.T, s *State, cmd *apiv1.BatchCommand, res *apiv1.BatchResult) {
	update := cmd.GetUpdateRuns()
	r.applyEnds(t, s, update.GetEnds())
	for _, gone := range cmd.GetObserveMinions().GetGone() {
		for task := range r.running {
			for run, incarnation := range r.running[task] {
				if incarnation == gone.String() {
					delete(r.running[task], run)
				}
			}
		}
	}
	if len(update.GetStarts()) == 0 || len(res.GetRuns().GetRefused()) > 0 {
		return
	}
	st := update.Starts[0]
	task := RefOf(st.Task)
	j := s.Job(task.Job)
	copies := 1
	if j.Steps[task.Step].Speculative {
		copies = maxCopies
	}
	switch {
	case r.done[task]:
		t.Fatalf("%s started after it was done", task)
	case len(r.running[task]) >= copies:
		t.Fatalf("%s started while it ran", task)
	case st.Run <= r.lastRun[task]:
		t.Fatalf("%s reused run %d", task, st.Run)
	case Ended(j.State):
		t.Fatalf("%s started after its job ended", task)
	case r.crashes[task] >= MaxCrashes:
		t.Fatalf("%s started after %d crashes", task, r.crashes[task])
	case !usedOn(s, IncarnationOf(st.Minion)).Within(s.Minion(st.Minion.Id).Capacity):
		t.Fatalf("%s brought %v over its capacity", task, st.Minion)
	case task.Step == 1 && (!r.done[ref(task.Job, 0, 0)] || !r.done[ref(task.Job, 0, 1)]):
		t.Fatalf("%s started before step 0 was done", task)
	}
	if r.running[task] == nil {
		r.running[task] = map[uint32]string{}
	}
	r.running[task][st.Run], r.lastRun[task] = st.Minion.String(), st.Run
}

// applyEnds updates the reference with ends of runs and compares the crashes of
// their tasks.
func (r *reference) applyEnds(t *rapid.T, s *State, ends []*apiv1.EndedRun) {
	for _, e := range ends {
		task := RefOf(e.Task)
		if _, ok := r.running[task][e.Run]; ok {
			delete(r.running[task], e.Run)
			if e.End == crashed && !r.done[task] {
				r.crashes[task]++
			}
			if j := s.Job(task.Job); !Ended(j.State) && j.Crashes(task) != r.crashes[task] {
				t.Fatalf("%s: %d crashes, counted %d", task, r.crashes[task], j.Crashes(task))
			}
			r.done[task] = r.done[task] || e.End == done
		}
	}
}

// checkCounters compares the derived counters that decide about starts with sums
// over the runs, and the sums with the limits of the client accounts. A minion may
// be over its capacity after it has shrunk; reference.apply checks each start.
func checkCounters(t *rapid.T, s *State) {
	accountUsage := map[string]Usage{}
	for incarnation, load := range s.loads {
		used := usedOn(s, incarnation)
		byStep := map[TaskRef]uint32{}
		for _, r := range load.Runs() {
			byStep[r.Ref.StepRef()]++
			accountUsage[r.Job.Account] = accountUsage[r.Job.Account].Add(ResourcesOf(r.Step), 1)
		}
		if used != load.Used || !maps.Equal(byStep, load.runsByStep) {
			t.Fatalf("%v: usage %v, runs by step %v; summed over its runs %v and %v", incarnation, load.Used, load.runsByStep, used, byStep)
		}
	}
	for _, j := range s.active {
		checkProgress(t, j)
	}
	for account, used := range accountUsage {
		a := s.Account(account)
		if used != s.usage[account] || a != nil && !withinLimit(used, a.Limit) {
			t.Fatalf("account %q: usage summed over its runs %v, counter %v", account, used, s.usage[account])
		}
	}
}

// withinLimit reports whether an account uses no more than its limit. All tasks of the
// test have the same size, of which the limit is a multiple, so that none exceeds it.
func withinLimit(u Usage, limit *apiv1.Resources) bool {
	within := func(used int64, limit uint32) bool { return limit == 0 || used <= int64(limit) }
	return within(u.CPUMillis, limit.GetCpuMillis()) && within(u.MemoryMB, limit.GetMemoryMb()) && within(u.Accelerators, limit.GetAccelerators())
}

// usedOn returns the resources that the runs on an incarnation take, summed over
// the runs.
func usedOn(s *State, incarnation Incarnation) Usage {
	used := Usage{}
	for _, r := range s.LoadOf(incarnation).Runs() {
		used = used.Add(ResourcesOnMinion(r.Step), 1)
	}
	return used
}

// checkProgress compares the progress of each step with its tasks.
func checkProgress(t *rapid.T, j *Job) {
	for _, o := range j.Occurrences {
		for i, st := range o.Steps {
			waiting, done := uint32(0), uint32(0)
			for _, task := range st.Tasks {
				switch {
				case task.Done:
					done++
				case len(task.Runs) == 0:
					waiting++
				}
			}
			step := uint32(i)
			if j.Waiting(o.Number, step) != waiting || j.Progress(o.Number, step).Done != done {
				t.Fatalf("%s step %d: %d tasks wait, counter %d; progress %v", j.Id, i, waiting, j.Waiting(o.Number, step), j.Progress(o.Number, step))
			}
		}
	}
}

// restored returns a state that was restored from a snapshot of s, as in a
// replica that restarts, and checks that it equals s.
func restored(t *rapid.T, s *State) *State {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	snap := &apiv1.BatchSnapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		t.Fatal(err)
	}
	out := New()
	out.Restore(snap)
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(out.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(data) {
		t.Fatalf("the snapshot of the restored state differs")
	}
	for id, j := range s.jobs {
		if out.jobs[id].remaining != j.remaining || out.jobs[id].runs != j.runs {
			t.Fatalf("job %s: %d remaining and %d runs, restored %d and %d", id, j.remaining, j.runs, out.jobs[id].remaining, out.jobs[id].runs)
		}
	}
	return out
}
