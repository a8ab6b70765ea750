package batch

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// MaxJobsPerPage is the largest number of jobs that JobPage returns.
const MaxJobsPerPage = 500

// Status returns the overview for operators: pools, queues, waves (lists of
// machines to be maintained) and the zones out of service.
func (s *State) Status() *apiv1.BatchStatus {
	return &apiv1.BatchStatus{
		CatalogVersion: s.catalog.Version, ZonesOut: s.ZonesOut(),
		Pools: s.poolStatus(), Queues: s.queueStatus(), Waves: s.waveStatus(), Accounts: s.accountStatus(),
	}
}

func (s *State) poolStatus() []*apiv1.BatchPoolStatus {
	var out []*apiv1.BatchPoolStatus
	byName := map[string]*apiv1.BatchPoolStatus{}
	for _, p := range s.catalog.Pools {
		row := &apiv1.BatchPoolStatus{Pool: p.Name, Spare: p.Spare}
		byName[p.Name] = row
		out = append(out, row)
	}
	for _, m := range s.minions {
		row := byName[m.Pool]
		if row == nil {
			continue // the catalog no longer has its pool
		}
		row.Minions++
		if m.Draining {
			row.Draining++
		}
		row.CapacityCpuMillis += uint64(m.Capacity.GetCpuMillis())
		if load := s.loads[IncarnationOf(m.Life)]; load != nil {
			row.UsedCpuMillis += uint64(load.Used.CPUMillis)
			row.Runs += uint32(load.Len())
		}
	}
	return out
}

func (s *State) queueStatus() []*apiv1.BatchQueueStatus {
	byName := map[string]*apiv1.BatchQueueStatus{}
	var out []*apiv1.BatchQueueStatus
	for _, q := range s.catalog.Queues {
		byName[q.Name] = &apiv1.BatchQueueStatus{Queue: q.Name, Pool: q.Pool}
		out = append(out, byName[q.Name])
	}
	for _, j := range s.active {
		row := byName[s.queueName(j)]
		if row == nil {
			continue // the catalog no longer has its queue
		}
		sum := j.Summary()
		row.WaitingTasks += sum.WaitingTasks
		row.RunningTasks += sum.RunningTasks
		if j.State == apiv1.BatchState_BATCH_STATE_QUEUED {
			row.QueuedJobs++
			continue
		}
		row.RunningJobs++
	}
	return out
}

// accountStatus returns the accounts of the catalog.
func (s *State) accountStatus() []*apiv1.BatchAccountStatus {
	byName := map[string]*apiv1.BatchAccountStatus{}
	var out []*apiv1.BatchAccountStatus
	for _, a := range s.catalog.Accounts {
		row := &apiv1.BatchAccountStatus{
			Account: a.Name, Weight: a.Weight, LimitCpuMillis: a.Limit.GetCpuMillis(), RunningCpuMillis: uint64(s.usage[a.Name].CPUMillis),
		}
		byName[a.Name] = row
		out = append(out, row)
	}
	for _, j := range s.active {
		row := byName[j.Account]
		if row == nil {
			continue // a call without a key, or the catalog no longer has its account
		}
		sum := j.Summary()
		row.RunningTasks += sum.RunningTasks
		row.WaitingTasks += sum.WaitingTasks
		for i, step := range j.Steps {
			row.WaitingCpuMillis += uint64(j.Waiting(0, uint32(i))) * uint64(ResourcesOf(step).CPUMillis)
		}
	}
	for key, u := range s.recentUse {
		if row := byName[key.account]; row != nil {
			row.RecentCoreSeconds += uint64(u.at(u.startMS).CPUMillis / 1e6)
		}
	}
	return out
}

func (s *State) waveStatus() []*apiv1.BatchWaveStatus {
	var out []*apiv1.BatchWaveStatus
	for _, n := range sortedKeys(s.waves) {
		w := s.waves[n]
		row := &apiv1.BatchWaveStatus{Wave: n, Machines: uint32(len(w.Services)), MaxDown: w.MaxDown, Completed: w.Completed}
		for _, sv := range w.Services {
			switch {
			case MaintenanceDone(sv.State):
				row.Served++
			case IsDownForMaintenance(sv.State):
				row.Down++
			default:
				row.Waiting++
			}
		}
		out = append(out, row)
	}
	return out
}

// Summary returns the job's state and task counts, with the name that its queue had when
// it was accepted. An ended job without active
// runs has no tasks left to count. The first occurrence (repetition of the job)
// counts even before it has begun, later ones only once they have.
func (j *Job) Summary() *apiv1.BatchJobSummary {
	out := &apiv1.BatchJobSummary{JobId: j.Id, Queue: j.Queue, Account: j.Account, State: j.State}
	for k := range j.NumOccurrences() {
		if k > 0 && j.Occurrence(k) == nil {
			continue
		}
		for i := range j.Steps {
			p := j.Progress(k, uint32(i))
			out.WaitingTasks += j.Waiting(k, uint32(i))
			out.RunningTasks += p.Running
			out.DoneTasks += p.Done
		}
	}
	return out
}

// summary is Job.Summary with the name that the job's queue has now.
func (s *State) summary(j *Job) *apiv1.BatchJobSummary {
	out := j.Summary()
	out.Queue = s.queueName(j)
	return out
}

// JobPage returns up to limit jobs, in the order of their ids, from the first id
// greater than after. limit is brought into the range 1 to MaxJobsPerPage. A
// queue that is not empty selects the jobs of that queue, by its name in the catalog in
// force; all includes ended jobs. NextAfter is the value of after for the next page, empty on the last.
func (s *State) JobPage(queue, after string, all bool, limit int) *apiv1.BatchJobList {
	limit = min(max(limit, 1), MaxJobsPerPage)
	var matches []*Job
	for _, j := range s.jobs {
		if j.Id > after && (queue == "" || s.queueName(j) == queue) && (all || !Ended(j.State)) {
			matches = append(matches, j)
		}
	}
	slices.SortFunc(matches, func(a, b *Job) int { return strings.Compare(a.Id, b.Id) })
	out := &apiv1.BatchJobList{}
	for i, j := range matches {
		if i == limit {
			out.NextAfter = out.Jobs[limit-1].JobId
			break
		}
		out.Jobs = append(out.Jobs, s.summary(j))
	}
	return out
}

// View returns a job with its steps and the runs (executions of tasks on minions) that
// have not ended, by occurrence.
func (s *State) View(j *Job) *apiv1.BatchJobView {
	out := &apiv1.BatchJobView{Summary: s.summary(j)}
	occurrences := slices.Clone(j.Occurrences)
	slices.SortFunc(occurrences, func(a, b *apiv1.BatchOccurrence) int { return cmp.Compare(a.Number, b.Number) })
	for _, o := range occurrences {
		for i, st := range o.Steps {
			out.Steps = append(out.Steps, j.stepView(o.Number, uint32(i), st))
			for index, task := range st.Tasks {
				for _, r := range task.Runs {
					key := RunKey{TaskRef{Job: j.Id, Occurrence: o.Number, Step: uint32(i), Index: uint32(index)}, r.Number}
					out.Runs = append(out.Runs, &apiv1.BatchRunView{Run: key.String(), Minion: r.Minion.GetId(), StartedUnixMs: r.StartedUnixMs})
				}
			}
		}
	}
	return out
}

func (j *Job) stepView(occurrence, step uint32, st *apiv1.BatchStepState) *apiv1.BatchStepView {
	p := j.Progress(occurrence, step)
	row := &apiv1.BatchStepView{
		Occurrence: occurrence, Step: step, Tasks: j.Steps[step].Count, Waiting: j.Waiting(occurrence, step),
		Running: p.Running, Done: p.Done, Failures: st.GangFailures, Crashes: st.GangCrashes + uint32(len(st.GangLostOn)), Ready: j.StepReady(occurrence, step),
	}
	for _, t := range st.Tasks {
		row.Failures += t.Failures
		row.Crashes += t.Crashes + uint32(len(t.LostOn))
	}
	return row
}
