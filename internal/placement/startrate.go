package placement

// startRateHeadroom is by how much more than the leader was seen to start it may
// start, as a factor.
const startRateHeadroom = 1.25

// LimitToStartRate limits each demand to the tasks that can run at the same time
// when the leader starts the most tasks that it was seen to start in a second while
// it was the limit, all of them of that pool: until a machine arrives, another pool's
// turn may be over. A machine that is moved for a task which waits for the leader,
// not for room, would stand idle, and the leader's exchanges with its minion would
// take time from the starts. While the leader is the limit, waiting tasks of late
// jobs demand nothing: those that can still be on time are started first. What runs
// stays.
func LimitToStartRate(demands map[string]Demand, mostPerSecond float64, isLimit bool) {
	startsPerSecond := mostPerSecond * startRateHeadroom
	for pool, d := range demands {
		if needed := d.neededStarts(); needed > 0 {
			finite := max(d.FiniteRunning, int64(float64(d.FiniteCPU)*startsPerSecond/needed))
			rest := d.Running + d.Ready - d.FiniteCPU
			d.StartableCPU = max(rest+finite, 1) // zero means no limit
		}
		if isLimit {
			d.Late = d.LateRunning
		}
		demands[pool] = d
	}
}

// neededStarts returns the starts per second with which the finite tasks that are
// ready or running would be running all the time, zero if there are none.
func (d Demand) neededStarts() float64 {
	if d.FiniteTasks == 0 {
		return 0
	}
	meanSeconds := float64(max(d.FiniteTaskMS, 1)) / float64(d.FiniteTasks) / 1000
	return float64(d.FiniteTasks) / meanSeconds
}
