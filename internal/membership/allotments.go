package membership

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

type team struct {
	limit      uint32
	jobs       uint32
	allotments map[string]*allotment
}

// allotment is one service's part of a team's limit. The shard may run up to
// amount; it is asked to honour target.
type allotment struct {
	amount, target, wanted uint32
}

func (s *State) team(name string) *team {
	t, ok := s.teams[name]
	if !ok {
		t = &team{allotments: map[string]*allotment{}}
		s.teams[name] = t
	}
	return t
}

func (t *team) allotment(service string) *allotment {
	a, ok := t.allotments[service]
	if !ok {
		a = &allotment{}
		t.allotments[service] = a
	}
	return a
}

// held is the part of the limit that is taken: running jobs and all amounts.
func (t *team) held() uint32 {
	sum := t.jobs
	for _, a := range t.allotments {
		sum += a.amount
	}
	return sum
}

// ReportDemand takes over a shard's demand, acknowledges shrinks, and returns
// the shard's allotments. The shard may then grant up to min(amount, target).
// Reports that arrive out of order are refused, because an old one could
// acknowledge a ceiling that the shard has raised since.
func (s *State) ReportDemand(cmd *apiv1.ReportDemand) (*apiv1.Allotments, *result.Error) {
	sh, err := s.current(cmd.Service, cmd.Epoch)
	if err != nil {
		return nil, err
	}
	if sh.Recovering {
		return nil, staleEpoch("shard %s has not finished its recovery", cmd.Service)
	}
	if cmd.Sequence < sh.sequence {
		return nil, staleEpoch("report %d of shard %s is older than report %d", cmd.Sequence, cmd.Service, sh.sequence)
	}
	if cmd.Sequence > sh.sequence {
		sh.sequence = cmd.Sequence
		for _, d := range cmd.Demands {
			s.team(d.Team).allotment(cmd.Service).acknowledge(d)
		}
		for _, d := range cmd.Demands {
			s.rebalanceTeam(d.Team)
		}
	}
	out := s.allotmentsOf(cmd.Service)
	s.dropRetired()
	return out, nil
}

// acknowledge lowers the amount to what the shard can still run: nothing above
// both its ceiling and what runs now, and never below the target. A shard
// without use and ceiling for the team gives back everything.
func (a *allotment) acknowledge(d *apiv1.TeamDemand) {
	a.wanted = max(d.Wanted, d.Running)
	if a.wanted == 0 && d.Ceiling == 0 {
		a.amount = 0
		return
	}
	a.amount = min(a.amount, max(a.target, d.Ceiling, d.Running))
}

// FinishRecovery replaces the amounts of a shard's earlier epochs by what its
// new host counted as running. A resend changes nothing.
func (s *State) FinishRecovery(cmd *apiv1.FinishRecovery) *result.Error {
	sh, err := s.current(cmd.Service, cmd.Epoch)
	if err != nil {
		return err
	}
	if !sh.Recovering {
		return nil
	}
	sh.Recovering = false
	for _, t := range s.teams {
		if a, ok := t.allotments[cmd.Service]; ok {
			*a = allotment{}
		}
	}
	for _, d := range cmd.Demands {
		a := s.team(d.Team).allotment(cmd.Service)
		*a = allotment{amount: d.Running, wanted: max(d.Wanted, d.Running)}
	}
	for _, name := range sortedKeys(s.teams) {
		s.rebalanceTeam(name)
	}
	s.dropRetired()
	return nil
}

// AcquireJob counts one more running job of the team. It returns false when
// the limit has no free amount.
func (s *State) AcquireJob(name string) bool {
	t, ok := s.teams[name]
	if !ok || t.held() >= t.limit {
		return false
	}
	t.jobs++
	s.rebalanceTeam(name)
	return true
}

// RemainingJobs returns how many more jobs of the team may start now.
func (s *State) RemainingJobs(name string) uint32 {
	t, ok := s.teams[name]
	if !ok {
		return 0
	}
	return t.limit - min(t.limit, t.held())
}

// ReleaseJob counts one running job less.
func (s *State) ReleaseJob(name string) {
	t, ok := s.teams[name]
	if !ok || t.jobs == 0 {
		return
	}
	t.jobs--
	s.rebalanceTeam(name)
}

func (s *State) current(service string, epoch uint64) (*shard, *result.Error) {
	sh, ok := s.shards[service]
	if !ok {
		return nil, staleEpoch("service %s has no shard", service)
	}
	if sh.Epoch != epoch || sh.SessionId == 0 {
		return nil, staleEpoch("epoch %d of shard %s is not current; it is %d", epoch, service, sh.Epoch)
	}
	return sh, nil
}

func staleEpoch(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, format, args...)
}

// allotmentsOf returns a shard's allotments. After the limit fell, the amounts
// may exceed it until the shards acknowledge. The target is then lowered to
// what the limit leaves beside the amounts of the others: with the division
// alone, a shard below its target would start work while another one is still
// above, and together they would exceed the limit.
func (s *State) allotmentsOf(service string) *apiv1.Allotments {
	out := &apiv1.Allotments{}
	for _, name := range sortedKeys(s.teams) {
		t := s.teams[name]
		a, ok := t.allotments[service]
		if !ok || (a.amount == 0 && a.target == 0) {
			continue
		}
		m := a.message(name, service)
		others := t.held() - a.amount
		m.Limit = t.limit
		m.Target = min(a.target, t.limit-min(t.limit, others))
		out.Allotments = append(out.Allotments, m)
	}
	return out
}

func (a *allotment) message(team, service string) *apiv1.Allotment {
	return &apiv1.Allotment{Team: team, Service: service, Amount: a.amount, Target: a.target, Wanted: a.wanted}
}
