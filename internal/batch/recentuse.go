package batch

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// usePeriodMS is the length of the periods in which the use of accounts is counted. The
	// period before the present one counts for less and less, so that use is forgotten
	// after two periods at the latest.
	usePeriodMS = 5000
	// maxCountedRunMS bounds the time that one run counts.
	maxCountedRunMS = 24 * 60 * 60 * 1000
)

// useKey is an account in a pool.
type useKey struct{ pool, account string }

// periodUse is what the finite tasks of an account took, as amounts of resources times
// milliseconds, in the period that began at startMS and in the one before.
type periodUse struct {
	startMS           int64
	current, previous Usage
}

// AccountUse is the recent work of an account in a pool.
type AccountUse struct {
	Pool, Account string
	// Work is the amount of each resource times milliseconds.
	Work Usage
}

// rollTo moves on to the period of a time. Times before the present period count in it.
func (u *periodUse) rollTo(nowMS int64) {
	switch periods := (nowMS - u.startMS) / usePeriodMS; {
	case nowMS < u.startMS || periods == 0:
		return
	case periods == 1:
		u.previous, u.current = u.current, Usage{}
	default:
		u.previous, u.current = Usage{}, Usage{}
	}
	u.startMS = nowMS - nowMS%usePeriodMS
}

// at returns the use at a time.
func (u periodUse) at(nowMS int64) Usage {
	u.rollTo(nowMS)
	left := min(max(usePeriodMS-(nowMS-u.startMS), 0), usePeriodMS)
	scale := func(n int64) int64 { return n / usePeriodMS * left }
	return u.current.Add(Usage{scale(u.previous.CPUMillis), scale(u.previous.MemoryMB), scale(u.previous.Accelerators)}, 1)
}

// recordUse counts the run of a task that has ended.
func (s *State) recordUse(logTimeMS int64, j *Job, step *apiv1.BatchStep, run *apiv1.BatchRun) {
	if step.LongRunning {
		return
	}
	key := useKey{s.QueueOf(j).GetPool(), j.Account}
	u := s.recentUse[key]
	u.rollTo(logTimeMS)
	u.current = u.current.Add(ResourcesOnMinion(step), min(max(logTimeMS-run.StartedUnixMs, 0), maxCountedRunMS))
	s.recentUse[key] = u
}

// RecentUse returns the recent work of each account in each pool, in the order of their
// names.
func (s *State) RecentUse(nowMS int64) []AccountUse {
	out := make([]AccountUse, 0, len(s.recentUse))
	for key, u := range s.recentUse {
		if work := u.at(nowMS); work != (Usage{}) {
			out = append(out, AccountUse{key.pool, key.account, work})
		}
	}
	slices.SortFunc(out, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// forgetUse removes the accounts whose use no longer counts.
func (s *State) forgetUse(logTimeMS int64) {
	for key, u := range s.recentUse {
		if u.at(logTimeMS) == (Usage{}) {
			delete(s.recentUse, key)
		}
	}
}

func (s *State) snapshotUse() []*apiv1.RecentUse {
	keys := make([]useKey, 0, len(s.recentUse))
	for key := range s.recentUse {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b useKey) int { return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.account, b.account)) })
	var out []*apiv1.RecentUse
	for _, key := range keys {
		u := s.recentUse[key]
		out = append(out, &apiv1.RecentUse{
			Pool: key.pool, Account: key.account, StartUnixMs: u.startMS, Current: u.current.work(), Previous: u.previous.work(),
		})
	}
	return out
}

func (s *State) restoreUse(snap []*apiv1.RecentUse) {
	for _, u := range snap {
		s.recentUse[useKey{u.Pool, u.Account}] = periodUse{u.StartUnixMs, usageOfWork(u.Current), usageOfWork(u.Previous)}
	}
}

func (u Usage) work() *apiv1.ResourceWork {
	return &apiv1.ResourceWork{CpuMillisMs: u.CPUMillis, MemoryMbMs: u.MemoryMB, AcceleratorMs: u.Accelerators}
}

func usageOfWork(w *apiv1.ResourceWork) Usage {
	return Usage{w.GetCpuMillisMs(), w.GetMemoryMbMs(), w.GetAcceleratorMs()}
}
