package membership

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// team holds the limit on a team's running requests and jobs, the parts of the limit
// that shards have (their allotments), and the number of the team's leased jobs: jobs
// that hold a lease on a VM, whether or not they run yet. A shard is the scheduler of
// one service. It is hosted by an entry process and gives requests their grants, the
// permissions to be sent to a minion.
type team struct {
	limit      uint32
	leasedJobs uint32
	allotments map[string]*allotment
}

// allotment is the part of a team's limit that the shard of one service may use, in
// numbers of requests.
//
// The shard may still run up to amount, which therefore counts against the limit.
// Amount falls only when the shard acknowledges a lower target or finishes a
// recovery, in which a new host of the shard counts the running requests. Target
// is the part that the shard should have by the current demands. The shard starts
// requests only up to its ceiling, at most min(amount, target) of the last answer
// that it received. Wanted is the demand, that is, the requests that run and those
// that wait.
type allotment struct {
	amount, target, wanted uint32
}

// team returns the team with the name, which is created without a limit if it
// doesn't exist.
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

// allocated returns the part of the limit in use: the leased jobs and the amounts
// of all shards. It exceeds the limit for a while after the limit was lowered.
func (t *team) allocated() uint32 {
	sum := t.leasedJobs
	for _, a := range t.allotments {
		sum += a.amount
	}
	return sum
}

// ReportDemand records the demand of a shard, lowers its amounts to what the report
// acknowledges, and returns the shard's allotments. The shard may then grant up to
// min(amount, target) requests of each team. A report that was already applied
// returns the current allotments. An older report is refused, because it could
// acknowledge a lower ceiling than the shard has by now.
func (s *State) ReportDemand(cmd *apiv1.ReportDemand) (*apiv1.Allotments, *result.Error) {
	sh, err := s.currentShard(cmd.Service, cmd.Epoch)
	if err != nil {
		return nil, err
	}
	if sh.Recovering {
		return nil, errStaleEpoch("shard %s has not finished its recovery", cmd.Service)
	}
	if cmd.Sequence < sh.reportSequence {
		return nil, errStaleEpoch("report %d of shard %s is older than report %d", cmd.Sequence, cmd.Service, sh.reportSequence)
	}
	if cmd.Sequence > sh.reportSequence {
		sh.reportSequence = cmd.Sequence
		for _, d := range cmd.Demands {
			s.team(d.Team).allotment(cmd.Service).acknowledge(d)
		}
		for _, d := range cmd.Demands {
			s.rebalanceTeam(d.Team)
		}
	}
	out := s.allotmentsOf(cmd.Service)
	s.removeRetired()
	return out, nil
}

// acknowledge records the demand that a shard reports and lowers the amount to
// what the shard may still run: the greatest of its ceiling, which is the number
// up to which it grants requests, the running requests and the target. A shard
// with neither demand nor ceiling gives up the whole amount.
func (a *allotment) acknowledge(d *apiv1.TeamDemand) {
	a.wanted = max(d.Wanted, d.Running)
	if a.wanted == 0 && d.Ceiling == 0 {
		a.amount = 0
		return
	}
	a.amount = min(a.amount, max(a.target, d.Ceiling, d.Running))
}

// FinishRecovery ends the recovery of a shard: it replaces the amounts of the
// earlier epochs by the running requests that the new host has counted. Repeating
// the command has no effect.
func (s *State) FinishRecovery(cmd *apiv1.FinishRecovery) *result.Error {
	sh, err := s.currentShard(cmd.Service, cmd.Epoch)
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
	s.removeRetired()
	return nil
}

// AcquireJob counts one more leased job of the team against its limit. It
// reports whether the limit permits it.
func (s *State) AcquireJob(name string) bool {
	t, ok := s.teams[name]
	if !ok || t.allocated() >= t.limit {
		return false
	}
	t.leasedJobs++
	s.rebalanceTeam(name)
	return true
}

// RemainingJobs returns the number of jobs of the team that may start now within
// its limit.
func (s *State) RemainingJobs(name string) uint32 {
	t, ok := s.teams[name]
	if !ok {
		return 0
	}
	return t.limit - min(t.limit, t.allocated())
}

// ReleaseJob counts one leased job of the team less against its limit.
func (s *State) ReleaseJob(name string) {
	t, ok := s.teams[name]
	if !ok || t.leasedJobs == 0 {
		return
	}
	t.leasedJobs--
	s.rebalanceTeam(name)
}

// currentShard returns the shard of the service. It fails with EPOCH_STALE unless
// the shard has a host and the given epoch, which is new with each change of host.
func (s *State) currentShard(service string, epoch uint64) (*shard, *result.Error) {
	sh, ok := s.shards[service]
	if !ok {
		return nil, errStaleEpoch("service %s has no shard", service)
	}
	if sh.Epoch != epoch || sh.SessionId == 0 {
		return nil, errStaleEpoch("epoch %d of shard %s is not current; it is %d", epoch, service, sh.Epoch)
	}
	return sh, nil
}

func errStaleEpoch(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, format, args...)
}

// allotmentsOf returns the allotments of a service's shard. After a limit was
// lowered, the amounts may exceed the limit until the shards have acknowledged their
// targets. Until then the returned target is at most what the amounts of the other
// shards and the leased jobs leave of the limit. Otherwise a shard below its
// target would start requests while another one is still above its own, and
// together they would exceed the limit.
func (s *State) allotmentsOf(service string) *apiv1.Allotments {
	out := &apiv1.Allotments{}
	for _, name := range sortedKeys(s.teams) {
		t := s.teams[name]
		a, ok := t.allotments[service]
		if !ok || (a.amount == 0 && a.target == 0) {
			continue
		}
		m := a.toProto(name, service)
		others := t.allocated() - a.amount
		m.Limit = t.limit
		m.Target = min(a.target, t.limit-min(t.limit, others))
		out.Allotments = append(out.Allotments, m)
	}
	return out
}

func (a *allotment) toProto(team, service string) *apiv1.Allotment {
	return &apiv1.Allotment{Team: team, Service: service, Amount: a.amount, Target: a.target, Wanted: a.wanted}
}
