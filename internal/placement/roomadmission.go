package placement

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// plannableRoomPercent is the part of a pool's room that accepted work may take. The
	// rest is lost between tasks of different sizes, and to runs that take longer than
	// estimated or fail.
	plannableRoomPercent = 85
	// lentRoomPercent is the part of that up to which accounts above their share may take
	// room that others don't use, so that these find some when they come.
	lentRoomPercent = 90
)

// Reason says why a job is refused.
type Reason string

// The reasons for which a job is refused.
const (
	// ReasonRoom means that the pool lacks room for the job.
	ReasonRoom Reason = "room"
	// ReasonShare means that the pool lacks room and the account has its share.
	ReasonShare Reason = "share"
	// ReasonLimit means that the account's limit doesn't let the job run in time.
	ReasonLimit Reason = "account_limit"
)

// Refusal is the decision to refuse a job, the zero value that to accept it.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the job could be accepted.
	RetryAfter time.Duration
}

// RoomAdmission accepts new jobs as long as the forecast has room for them. It is not safe
// for concurrent use.
type RoomAdmission struct {
	forecast *Forecast
	// returning holds the work of refused jobs whose callers are yet to come back.
	returning map[queueClass]returningWork
	// overLimit holds for how long the refused jobs of an account would keep it at its
	// limit, in milliseconds.
	overLimit map[string]returningWork
	// wanted holds the refused work of each account, which counts for the shares.
	wanted map[poolAccount]returningWork
	// refused holds the work that each pool was refused for lack of room.
	refused map[string]workRate
}

// workRate is the work of the second that began at a time, and of the one before.
type workRate struct {
	at            time.Duration
	current, last int64
}

// rollTo moves on to the second of a time.
func (r *workRate) rollTo(now time.Duration) {
	switch elapsed := now - r.at; {
	case elapsed < time.Second:
		return
	case elapsed < 2*time.Second:
		r.last = r.current
	default:
		r.last = 0
	}
	r.at, r.current = now, 0
}

// queueClass is the priority of a pool's queues.
type queueClass struct {
	pool     string
	priority uint32
}

type poolAccount struct{ pool, account string }

// returningWork is an amount of work at some time. It falls with the pool's room.
type returningWork struct {
	work int64
	at   time.Duration
}

// NewRoomAdmission returns a RoomAdmission that accepts everything until SetForecast.
func NewRoomAdmission() *RoomAdmission {
	return &RoomAdmission{
		returning: map[queueClass]returningWork{}, overLimit: map[string]returningWork{}, wanted: map[poolAccount]returningWork{},
		refused: map[string]workRate{},
	}
}

// SetForecast replaces the forecast, which holds the jobs accepted so far.
func (a *RoomAdmission) SetForecast(f *Forecast) { a.forecast = f }

// Outlooks returns the forecast of each pool.
func (a *RoomAdmission) Outlooks() []Outlook {
	if a.forecast == nil {
		return nil
	}
	return a.forecast.Outlooks()
}

// Decide accepts the job if its tasks find room in time. A job that can only be late is
// accepted if there is room for it beside the jobs on time that are expected, for
// instance since machines are on their way; others would be done when their result has no
// value any more. When the pool is short of room, accounts get shares of it by weight. A
// job is refused only for work of others that waits, however large it is: in calm its pool
// gets machines, and its steps run in waves.
func (a *RoomAdmission) Decide(now time.Duration, q *apiv1.BatchQueue, j *apiv1.BatchJob) Refusal {
	if a.forecast == nil || IsAlwaysAdmitted(q, j) {
		return Refusal{}
	}
	f := a.forecast
	limit, path := latencyLimitMS(q, j), criticalPathMS(j)
	if account := f.accounts[j.Account]; account != nil {
		if over, job := account.overLimit(j, limit-path); over > 0 {
			returning := a.overLimit[j.Account].left(now, 1)
			a.overLimit[j.Account] = returningWork{returning + job, now}
			return Refusal{ReasonLimit, time.Duration(over+returning) * time.Millisecond}
		}
	}
	p := f.pools[q.Pool]
	if p == nil || !p.hasMinions {
		return Refusal{} // nothing is known of the pool
	}
	work := f.jobWork(j)
	if a.fits(p, q, work, limit, path, lentRoomPercent) {
		return Refusal{}
	}
	if a.belowShare(now, p, q, j.Account, work, p.plannable(limit-path)) {
		return Refusal{}
	}
	reason := ReasonRoom
	if a.fits(p, q, work, limit, path, 100) {
		reason = ReasonShare
	}
	return Refusal{reason, a.wait(now, p, q, j.Account, work, limit-path)}
}

// plannable returns the work that may be accepted for a time.
func (p *poolForecast) plannable(withinMS int64) int64 {
	return p.capacity(withinMS) / 100 * plannableRoomPercent
}

// fits reports whether the pool can do a job's work in time or, late, while its result has
// value, within a part of the plannable room. As long as it keeps up with the jobs on time
// that come, a new one is done in time, since the newest start first. Otherwise it must
// find room beside what was accepted.
func (a *RoomAdmission) fits(p *poolForecast, q *apiv1.BatchQueue, work, limitMS, pathMS, percent int64) bool {
	ahead := p.ahead(q.Priority)
	if ahead == (queuedWork{}) {
		return true
	}
	arriving := mulDiv(p.arrivalCPU, arrivalWindowMS, 1, maxCapacity)
	if arriving+work <= p.plannable(arrivalWindowMS)/100*percent {
		return true
	}
	slack := limitMS - pathMS
	if ahead.onTime+work <= p.plannable(slack)/100*percent {
		return true
	}
	slack = lateFactor*limitMS - pathMS
	expected := mulDiv(p.arrivalCPU, min(slack, arrivalWindowMS), 1, maxCapacity)
	return ahead.onTime+ahead.late+work+expected <= p.plannable(slack)/100*percent
}

// belowShare reports whether the account has less than its share of a pool that can do
// an amount of work, with the job's work. What its tasks did lately counts, so that an
// account which has had much yields to one that has had little.
func (a *RoomAdmission) belowShare(now time.Duration, p *poolForecast, q *apiv1.BatchQueue, account string, work, amount int64) bool {
	wanted := make(map[string]int64, len(p.accounts)+1)
	for name, used := range p.accounts {
		wanted[name] = used
		amount += used
	}
	for key, refused := range a.wanted {
		if key.pool == q.Pool {
			wanted[key.account] += refused.left(now, p.roomCPU)
		}
	}
	amount -= a.forecast.unstartedWork(p)
	wanted[account] += work
	shares := weightedShares(amount, wanted, a.forecast.weight)
	return p.accounts[account]+work <= shares[account]
}

// unstartedWork returns the work on time that waits, which the capacity of the pool has
// yet to do.
func (f *Forecast) unstartedWork(p *poolForecast) int64 {
	work := int64(0)
	for _, q := range p.queues {
		work += q.onTime
	}
	return work
}

// weight returns the weight of an account, one if it isn't in the catalog.
func (f *Forecast) weight(account string) int64 {
	if a := f.accounts[account]; a != nil {
		return a.weight
	}
	return 1
}

// wait returns when the caller of a refused job may come back: when the pool has done
// what is too much, and the work of those who were refused before and aren't less urgent.
// So callers return in the order in which they were refused, at the rate of the pool.
func (a *RoomAdmission) wait(now time.Duration, p *poolForecast, q *apiv1.BatchQueue, account string, work, slackMS int64) time.Duration {
	room := p.roomCPU
	for _, arrival := range p.arrivals {
		room += arrival.CPUMillis
	}
	room = max(room, 1)
	excess := max(p.ahead(q.Priority).onTime+work-p.plannable(slackMS)/100*lentRoomPercent, 0)
	for class, r := range a.returning {
		if class.pool == q.Pool && class.priority <= q.Priority {
			excess += r.left(now, room)
		}
	}
	refused := a.refused[q.Pool]
	refused.rollTo(now)
	refused.current += work
	a.refused[q.Pool] = refused
	class, key := queueClass{q.Pool, q.Priority}, poolAccount{q.Pool, account}
	a.returning[class] = returningWork{a.returning[class].left(now, room) + work, now}
	a.wanted[key] = returningWork{a.wanted[key].left(now, room) + work, now}
	return time.Duration(excess/room) * time.Millisecond
}

// RefusedCPU returns the CPU that would do, by pool, the work of a second that was refused
// for lack of room, in thousandths of a core. It is part of the demand for machines: a pool
// that refuses what it has no room for would otherwise never get more.
func (a *RoomAdmission) RefusedCPU(now time.Duration) map[string]int64 {
	out := map[string]int64{}
	for pool, r := range a.refused {
		r.rollTo(now)
		if cpu := max(r.current, r.last) / 1000; cpu > 0 {
			out[pool] = cpu
		}
	}
	return out
}

// left returns the work that is left at a time of what fell with the room since.
func (r returningWork) left(now time.Duration, roomCPU int64) int64 {
	return max(r.work-roomCPU*(now-r.at).Milliseconds(), 0)
}

// Add counts the work of a job that is accepted.
func (a *RoomAdmission) Add(q *apiv1.BatchQueue, j *apiv1.BatchJob) {
	f := a.forecast
	if f == nil || IsAlwaysAdmitted(q, j) {
		return
	}
	p, limit := f.pool(q.Pool), latencyLimitMS(q, j)
	for _, s := range j.Steps {
		f.addQueued(p, f.accounts[j.Account], q.Priority, j.Account, s, int64(s.Count), 0, limit)
		p.arrivalCPU += f.equivalence.arrivingCPU(s)
	}
}
