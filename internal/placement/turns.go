package placement

import (
	"cmp"
	"slices"
)

// setTurns sets the order of the jobs of each pool of which nothing has started and that
// can still be on time. The newest job of each account is first: when a pool is short of
// room or of starts, some jobs can't be on time, and those that wait for their last moment
// would make others late too. The accounts take turns by weight, those that used little
// lately before those that used much, so that the few jobs of one never wait behind the
// flood of another.
func (p *planner) setTurns(ranks []jobRank) {
	waiting := map[string][]*jobRank{}
	for i := range ranks {
		r := &ranks[i]
		if r.lateness != onTime || r.isUnlimited || r.begun {
			continue
		}
		pool := p.in.State.QueueOf(r.job).GetPool()
		waiting[pool] = append(waiting[pool], r)
	}
	if len(waiting) == 0 {
		return
	}
	used := p.usedWork(waiting)
	for pool, jobs := range waiting {
		p.takeTurns(jobs, used[pool])
	}
}

// usedWork returns the work of each account in the pools given, lately and of the tasks
// that run.
func (p *planner) usedWork(pools map[string][]*jobRank) map[string]map[string]int64 {
	used := make(map[string]map[string]int64, len(pools))
	for pool := range pools {
		used[pool] = map[string]int64{}
	}
	for _, u := range p.in.State.RecentUse(p.in.NowUnixMS) {
		if used[u.Pool] != nil {
			used[u.Pool][u.Account] += p.equivalence.cpuMillis(u.Work)
		}
	}
	for _, j := range p.in.State.ActiveJobs() {
		accounts := used[p.in.State.QueueOf(j).GetPool()]
		if j.NumRuns() == 0 || accounts == nil {
			continue
		}
		for k := range j.NumOccurrences() {
			for s, step := range j.Steps {
				if !step.LongRunning {
					accounts[j.Account] += p.equivalence.stepWork(step, int64(j.Progress(k, uint32(s)).Running))
				}
			}
		}
	}
	return used
}

// takeTurns orders jobs of a pool, given what its accounts used. A job's turn comes when
// its account has, for its weight, used as little as the others.
func (p *planner) takeTurns(jobs []*jobRank, used map[string]int64) {
	slices.SortFunc(jobs, func(a, b *jobRank) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order), cmp.Compare(a.job.Id, b.job.Id))
	})
	for _, r := range jobs {
		account := r.job.Account
		r.turn = used[account] / max(int64(p.in.State.Account(account).GetWeight()), 1)
		for s, step := range r.job.Steps {
			used[account] += p.equivalence.stepWork(step, int64(r.job.Waiting(r.occurrence, uint32(s))))
		}
	}
}
