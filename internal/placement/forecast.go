package placement

import (
	"maps"
	"math"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// maxCapacity bounds the work that a pool can do.
const maxCapacity = 1 << 60

// Arrival is CPU, in thousandths of a core, that a pool gets after a time.
type Arrival struct{ CPUMillis, InMS int64 }

// ForecastInput is the input of NewForecast.
type ForecastInput struct {
	State     *batch.State
	NowUnixMS int64
	// TakesWork reports whether a minion may get work.
	TakesWork func(*apiv1.BatchMinion) bool
	// Arrivals are the machines on their way, by pool.
	Arrivals map[string][]Arrival
}

// Forecast is what the accepted jobs are going to need of each pool and what the pools
// have for them. Work is CPU times time, in thousandths of a core times milliseconds, with
// the CPU that stands for a task (see equivalence). It is rebuilt from the state and from
// what the leader knows of minions and machines.
type Forecast struct {
	nowUnixMS   int64
	equivalence equivalence
	pools       map[string]*poolForecast
	accounts    map[string]*accountForecast
}

// poolForecast is the forecast of one pool.
type poolForecast struct {
	// roomCPU is the CPU of the minions that may get work, without that of long-running
	// tasks, in thousandths of a core.
	roomCPU  int64
	arrivals []Arrival
	// hasMinions is set when the pool has any recorded minion.
	hasMinions bool
	// queues holds the work of tasks that wait, by the priority of their queue.
	queues map[uint32]*queuedWork
	// arrivalCPU is the CPU that keeps up with the jobs on time that were accepted in the
	// last arrivalWindowMS.
	arrivalCPU int64
	// accounts holds the work on time of each account that waits, runs or was done lately.
	accounts map[string]int64
}

// queuedWork is the work of tasks that wait, of jobs that can still meet their latency
// limit and of those that can only be late.
type queuedWork struct{ onTime, late int64 }

// accountForecast is what an account's limit leaves and what its accepted jobs need of it.
type accountForecast struct {
	limit *apiv1.Resources
	// weight is at least one.
	weight int64
	// longRunningUse is what its long-running tasks take of the limit.
	longRunningUse batch.Usage
	// queued is the amount of each resource times milliseconds of the finite tasks that
	// wait.
	queued batch.Usage
}

// NewForecast returns the forecast at a time.
func NewForecast(in ForecastInput) *Forecast {
	f := &Forecast{
		nowUnixMS: in.NowUnixMS, equivalence: newEquivalence(in.State),
		pools: map[string]*poolForecast{}, accounts: map[string]*accountForecast{},
	}
	for _, a := range in.State.Catalog().Accounts {
		f.accounts[a.Name] = &accountForecast{limit: a.Limit, weight: max(int64(a.Weight), 1)}
	}
	for _, m := range in.State.Minions() {
		p := f.pool(m.Pool)
		p.hasMinions = true
		if m.Draining || in.State.IsZoneOut(m.AvailabilityZone) || !in.TakesWork(m) {
			continue
		}
		p.roomCPU += int64(m.Capacity.GetCpuMillis())
		if load := in.State.LoadOf(batch.IncarnationOf(m.Life)); load != nil {
			p.roomCPU -= load.LongRunningCPUMillis
		}
	}
	for pool, arrivals := range in.Arrivals {
		f.pool(pool).arrivals = arrivals
	}
	for _, j := range in.State.ActiveJobs() {
		f.addJob(in.State.QueueOf(j), j)
	}
	for _, u := range in.State.RecentUse(in.NowUnixMS) {
		f.pool(u.Pool).accounts[u.Account] += f.equivalence.cpuMillis(u.Work)
	}
	return f
}

func (f *Forecast) pool(name string) *poolForecast {
	p := f.pools[name]
	if p == nil {
		p = &poolForecast{queues: map[uint32]*queuedWork{}, accounts: map[string]int64{}}
		f.pools[name] = p
	}
	return p
}

func (p *poolForecast) queue(priority uint32) *queuedWork {
	if p.queues[priority] == nil {
		p.queues[priority] = &queuedWork{}
	}
	return p.queues[priority]
}

// addJob adds the work of a job's due occurrences (repetitions) that waits. Long-running
// tasks take from the room of others, and from the limit of their account.
func (f *Forecast) addJob(q *apiv1.BatchQueue, j *batch.Job) {
	limit := latencyLimitMS(q, j.BatchJob)
	p, a := f.pool(q.GetPool()), f.accounts[j.Account]
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, f.nowUnixMS) {
			break
		}
		slack := slackMS(limit, j, k, f.nowUnixMS)
		for s, step := range j.Steps {
			waiting, running := countTasks(j, k, uint32(s))
			if step.LongRunning {
				if a != nil {
					a.longRunningUse = a.longRunningUse.Add(batch.ResourcesOf(step), waiting+running)
				}
				continue
			}
			f.addQueued(p, a, q.GetPriority(), j.Account, step, waiting, slack, limit)
			if slack >= 0 {
				p.accounts[j.Account] += f.equivalence.stepWork(step, running)
			}
			if slack >= 0 && f.nowUnixMS-j.DueMS(k) < arrivalWindowMS {
				p.arrivalCPU += f.equivalence.arrivingCPU(step)
			}
		}
	}
}

// addQueued adds tasks of a step that wait, with the slack of their occurrence.
func (f *Forecast) addQueued(p *poolForecast, a *accountForecast, priority uint32, account string, step *apiv1.BatchStep, tasks, slackMS, limitMS int64) {
	work := f.equivalence.stepWork(step, tasks)
	switch queue := p.queue(priority); {
	case limitMS == 0:
		return // it may wait for as long as others need the room
	case slackMS >= 0:
		queue.onTime += work
		p.accounts[account] += work
	case slackMS >= -(lateFactor-1)*limitMS:
		queue.late += work
	default:
		return
	}
	if a != nil {
		a.queued = a.queued.Add(resourceWork(step, tasks), 1)
	}
}

// resourceWork returns what some tasks of a step take of their account's limit, as amounts
// of resources times milliseconds.
func resourceWork(step *apiv1.BatchStep, tasks int64) batch.Usage {
	r, ms := batch.ResourcesOf(step), tasks*int64(step.EstimatedMs)
	return batch.Usage{
		CPUMillis: mulDiv(r.CPUMillis, ms, 1, maxStepWork), MemoryMB: mulDiv(r.MemoryMB, ms, 1, maxStepWork),
		Accelerators: mulDiv(r.Accelerators, ms, 1, maxStepWork),
	}
}

// jobWork returns the work of all tasks of a job.
func (f *Forecast) jobWork(j *apiv1.BatchJob) int64 {
	work := int64(0)
	for _, s := range j.Steps {
		work += f.equivalence.stepWork(s, int64(s.Count))
	}
	return work
}

// Outlook is the forecast of a pool as operators see it.
type Outlook struct {
	Pool string
	// RoomCPU and ArrivingCPU are those of minions that may get work and of machines on
	// their way, in thousandths of a core.
	RoomCPU, ArrivingCPU int64
	// WaitMS is how long the pool takes to do the work of accepted jobs that waits, in
	// milliseconds: of those that can still be on time, and of those that can only be late.
	// It is -1 without room.
	WaitMS, LateWaitMS int64
}

// Outlooks returns the forecast of each pool, in the order of their names.
func (f *Forecast) Outlooks() []Outlook {
	var out []Outlook
	for _, name := range slices.Sorted(maps.Keys(f.pools)) {
		p := f.pools[name]
		o := Outlook{Pool: name, RoomCPU: p.roomCPU, WaitMS: -1, LateWaitMS: -1}
		for _, a := range p.arrivals {
			o.ArrivingCPU += a.CPUMillis
		}
		if p.roomCPU > 0 {
			sum := p.ahead(math.MaxUint32)
			o.WaitMS, o.LateWaitMS = sum.onTime/p.roomCPU, sum.late/p.roomCPU
		}
		out = append(out, o)
	}
	return out
}

// capacity returns the work that the pool can do within a time.
func (p *poolForecast) capacity(withinMS int64) int64 {
	work := mulDiv(max(p.roomCPU, 0), withinMS, 1, maxCapacity)
	for _, a := range p.arrivals {
		work = min(work+mulDiv(a.CPUMillis, max(withinMS-a.InMS, 0), 1, maxCapacity), maxCapacity)
	}
	return work
}

// ahead returns the work that waits and goes before, or beside, new jobs of a priority.
func (p *poolForecast) ahead(priority uint32) queuedWork {
	var sum queuedWork
	for other, q := range p.queues {
		if other <= priority {
			sum.onTime += q.onTime
			sum.late += q.late
		}
	}
	return sum
}

// overLimit returns for how long the tasks of an account that wait, and those of a job,
// keep it at its limit beyond a time, and for how long those of the job alone do, both in
// milliseconds. over is zero when the job can run in time, or when no other waits.
func (a *accountForecast) overLimit(j *apiv1.BatchJob, withinMS int64) (over, job int64) {
	var needed batch.Usage
	for _, s := range j.Steps {
		needed = needed.Add(resourceWork(s, int64(s.Count)), 1)
	}
	include := func(queued, needed, longRunningUse int64, limit uint32) {
		if limit > 0 && queued > 0 {
			rate := max(int64(limit)-longRunningUse, 1)
			over, job = max(over, (queued+needed)/rate-withinMS), max(job, needed/rate)
		}
	}
	include(a.queued.CPUMillis, needed.CPUMillis, a.longRunningUse.CPUMillis, a.limit.GetCpuMillis())
	include(a.queued.MemoryMB, needed.MemoryMB, a.longRunningUse.MemoryMB, a.limit.GetMemoryMb())
	include(a.queued.Accelerators, needed.Accelerators, a.longRunningUse.Accelerators, a.limit.GetAccelerators())
	return over, job
}
