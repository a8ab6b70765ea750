package placement

import (
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Of the simulated fleet. Times are in steps of 100 ms.
const (
	simStepMS       = 100
	simMachineTasks = 8
	simTaskCPU      = machineCPU / simMachineTasks
	simTaskSteps    = 6
	simTaskMS       = simTaskSteps * simStepMS
	simTurnSteps    = 45
	simLatestSteps  = 20
	simMoveSteps    = 15
	simIdleSteps    = 20
	simCooldown     = 30
	// simPoolMachines is the number of machines of each pool and of the spare pool.
	simPoolMachines = 20
)

// simMachine is a machine of the simulated fleet.
type simMachine struct {
	Machine
	// runs has the time at which each run ends, negative for tasks that were late.
	runs []int
	// arrivesAt and movableAt are set by a move.
	arrivesAt, movableAt, idleSince int
}

// simFleet plays queues whose demand comes in turns: each in its turn asks five
// times its mean, and a twentieth of it in between.
type simFleet struct {
	pools    []string
	machines []*simMachine
	// waiting holds, by pool, the time at which each task became ready.
	waiting map[string][]int
	demands map[string][]int64
	// startsPerStep is how many tasks the leader can start in a step.
	startsPerStep int
	moves, inTime int
}

func newSimFleet(startsPerSecond int) *simFleet {
	f := &simFleet{
		pools: []string{"a", "b", "c", "d"}, waiting: map[string][]int{}, demands: map[string][]int64{},
		startsPerStep: startsPerSecond * simStepMS / 1000,
	}
	for _, pool := range append(slices.Clone(f.pools), "off") {
		for _, m := range newMachines(pool, simPoolMachines) {
			m.Incarnation = batch.Incarnation{ID: m.ID}
			f.machines = append(f.machines, &simMachine{Machine: m})
		}
	}
	return f
}

// play plays two cycles of turns with a mean of meanPerSecond tasks for each pool.
// If limited is set, the demands are limited to the rate at which the leader
// starts tasks, in steps in which it has more to start.
func (f *simFleet) play(meanPerSecond int, limited bool) {
	for now := range 2 * len(f.pools) * simTurnSteps {
		for i, pool := range f.pools {
			rate := meanPerSecond * 5
			if now/simTurnSteps%len(f.pools) != i {
				rate = meanPerSecond / 20
			}
			n := rate*(now+1)*simStepMS/1000 - rate*now*simStepMS/1000
			for range n {
				f.waiting[pool] = append(f.waiting[pool], now)
			}
		}
		f.endRuns(now)
		left := f.start(now)
		f.order(now, limited && left == 0)
	}
}

func (f *simFleet) endRuns(now int) {
	for _, m := range f.machines {
		m.runs = slices.DeleteFunc(m.runs, func(end int) bool { return max(end, -end) <= now })
		m.Arriving = m.arrivesAt > now
		if len(m.runs) > 0 || m.Arriving {
			m.idleSince = now
		}
	}
}

// start starts tasks in time of all pools in turn, one each, then late ones. It
// returns how many more the leader could have started.
func (f *simFleet) start(now int) int {
	left := f.startsPerStep
	for _, late := range []bool{false, true} {
		for started := true; started && left > 0; {
			started = false
			for _, pool := range f.pools {
				w := f.waiting[pool]
				i := slices.IndexFunc(w, func(ready int) bool { return (now-ready > simLatestSteps) == late })
				m := f.room(pool)
				if i < 0 || m == nil || left == 0 {
					continue
				}
				f.waiting[pool] = slices.Delete(w, i, i+1)
				left--
				started = true
				if late {
					m.runs = append(m.runs, -now-simTaskSteps)
					continue
				}
				m.runs = append(m.runs, now+simTaskSteps)
				f.inTime++
			}
		}
	}
	return left
}

// room returns the fullest machine of the pool that has room for a task.
func (f *simFleet) room(pool string) *simMachine {
	var best *simMachine
	for _, m := range f.machines {
		if m.Pool == pool && !m.Arriving && len(m.runs) < simMachineTasks && (best == nil || len(m.runs) > len(best.runs)) {
			best = m
		}
	}
	return best
}

// demand returns the demand of a pool, with the peak of the last two seconds.
func (f *simFleet) demand(pool string, now int) Demand {
	d := Demand{}
	for _, m := range f.machines {
		if m.Pool != pool {
			continue
		}
		for _, end := range m.runs {
			if end < 0 {
				d.LateRunning += simTaskCPU
				continue
			}
			d.FiniteTasks++
		}
	}
	d.Running = d.FiniteTasks * simTaskCPU
	d.FiniteRunning = d.Running
	d.Late = d.LateRunning
	recent := int64(0)
	for _, ready := range f.waiting[pool] {
		if now-ready > simLatestSteps {
			d.Late += simTaskCPU * simTaskMS / lateDrainMS
			continue
		}
		recent++
	}
	d.Ready = recent * simTaskCPU
	d.FiniteTasks += recent
	d.FiniteCPU, d.FiniteTaskMS = d.Running+d.Ready, d.FiniteTasks*simTaskMS
	return d
}

// order plans the capacity and carries out the moves.
func (f *simFleet) order(now int, limited bool) {
	in := CapacityInput{Demands: map[string]Demand{}, SparePools: map[string]bool{"off": true}, PowerOffPool: "off", MaxMoves: 100}
	for _, pool := range f.pools {
		in.Demands[pool] = f.demand(pool, now)
	}
	if limited {
		LimitToStartRate(in.Demands, float64(f.startsPerStep*1000/simStepMS), true)
	}
	for pool, d := range in.Demands {
		f.demands[pool] = append(f.demands[pool], d.CPU())
		d.Peak = slices.Max(f.demands[pool][max(0, now-20):])
		in.Demands[pool] = d
	}
	byID := map[string]*simMachine{}
	for _, m := range f.machines {
		m.Available, m.Runs = !m.Arriving, len(m.runs)
		m.CooldownOver = now >= m.movableAt
		m.Idle = now-m.idleSince > simIdleSteps
		in.Machines = append(in.Machines, m.Machine)
		byID[m.ID] = m
	}
	for _, move := range PlanCapacity(in).Moves {
		m := byID[move.Machine]
		m.Pool, m.arrivesAt, m.movableAt, m.idleSince = move.To, now+simMoveSteps, now+simCooldown, now
		f.moves++
	}
}

// Load: queues in turns at five times their mean, 500 tasks of 0.6 s a second, for
// which 37 machines would have room, while the leader starts 150 tasks a second,
// which 12 machines have room for. Guards against machines that move to a pool, and
// back, for tasks that wait for the leader and not for room.
func TestMachinesDontMoveForWorkThatWaitsForTheLeader(t *testing.T) {
	g := NewWithT(t)
	const startsPerSecond, meanPerSecond = 150, 100
	unlimited, limited := newSimFleet(startsPerSecond), newSimFleet(startsPerSecond)
	unlimited.play(meanPerSecond, false)
	limited.play(meanPerSecond, true)
	t.Logf("%d moves and %d tasks in time without the limit, %d and %d with it", unlimited.moves, unlimited.inTime, limited.moves, limited.inTime)
	// In its turn a pool gets the machines that the leader can fill, with the
	// planner's reserves, and gives them back; at first the pools power off
	// theirs.
	fillable := int(math.Ceil(startRateHeadroom * startsPerSecond * simTaskMS / 1000 * targetSupplyPercent / 100 / simMachineTasks))
	turns := 2 * len(limited.pools)
	g.Expect(limited.moves).To(BeNumerically("<=", len(limited.pools)*simPoolMachines+2*turns*fillable))
	g.Expect(limited.inTime).To(BeNumerically(">=", unlimited.inTime))
}

// Guards against a limit that takes machines from work that the leader can start,
// also from work that is only expected.
func TestStartRateLimitsOnlyWhatTheLeaderCantStart(t *testing.T) {
	g := NewWithT(t)
	demands := func() map[string]Demand {
		return map[string]Demand{
			"a": {Running: 3000, FiniteRunning: 1000, Ready: 5000, FiniteCPU: 6000, FiniteTasks: 60, FiniteTaskMS: 60 * 500, ArrivalRate: 7000, ForecastGrowth: 2000, Late: 900, LateRunning: 200},
			"b": {Running: 400, FiniteRunning: 400, FiniteCPU: 400, FiniteTasks: 4, FiniteTaskMS: 4 * 500},
		}
	}
	d := demands()
	LimitToStartRate(d, 120/startRateHeadroom, true)
	g.Expect(d["a"].CPU()).To(BeEquivalentTo(8000), "120 starts a second keep 60 tasks of 0.5 s running")
	g.Expect(d["b"].CPU()).To(BeEquivalentTo(400))
	d = demands()
	LimitToStartRate(d, 180/startRateHeadroom, true)
	g.Expect(d["a"].CPU()).To(BeEquivalentTo(8000))
	g.Expect(d["a"].Forecast()).To(BeEquivalentTo(10_000))
	d = demands()
	LimitToStartRate(d, 40/startRateHeadroom, true)
	g.Expect(d["a"].CPU()).To(BeEquivalentTo(4000), "a third of the starts, and the long-running tasks")
	g.Expect(d["a"].Forecast()).To(BeEquivalentTo(4000))
	g.Expect(d["a"].Late).To(BeEquivalentTo(200))
	g.Expect(d["b"].CPU()).To(BeEquivalentTo(400))
	d = demands()
	LimitToStartRate(d, 0, false)
	g.Expect(d["a"].CPU()).To(BeEquivalentTo(3000), "what runs stays")
	g.Expect(d["a"].Late).To(BeEquivalentTo(900))
	g.Expect(d["b"].CPU()).To(BeEquivalentTo(400))
}
