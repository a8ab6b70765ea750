package membership

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Snapshot returns a copy of the whole state: the sessions of entry processes, the
// shards and the division of team limits. Equal states give equal snapshots.
func (s *State) Snapshot() *apiv1.MembershipSnapshot {
	out := &apiv1.MembershipSnapshot{
		Sessions:      s.Sessions(),
		Shards:        s.Shards(),
		LastSessionId: s.lastSessionID,
	}
	for _, name := range sortedKeys(s.shards) {
		out.Reports = append(out.Reports, &apiv1.ShardReport{Service: name, Sequence: s.shards[name].reportSequence})
	}
	for _, name := range sortedKeys(s.teams) {
		t := s.teams[name]
		out.Limits = append(out.Limits, &apiv1.TeamLimit{Team: name, MaxRunning: t.limit, JobsRunning: t.leasedJobs})
		for _, service := range sortedKeys(t.allotments) {
			out.Allotments = append(out.Allotments, t.allotments[service].toProto(name, service))
		}
	}
	return out
}

// Restore replaces the whole state by that of a snapshot.
func (s *State) Restore(snap *apiv1.MembershipSnapshot) {
	*s = *New()
	s.lastSessionID = snap.GetLastSessionId()
	for _, session := range snap.GetSessions() {
		s.sessions[session.Id] = proto.CloneOf(session)
	}
	for _, sh := range snap.GetShards() {
		s.shards[sh.Service] = &shard{Shard: proto.CloneOf(sh)}
	}
	for _, r := range snap.GetReports() {
		s.shards[r.Service].reportSequence = r.Sequence
	}
	for _, l := range snap.GetLimits() {
		t := s.team(l.Team)
		t.limit = l.MaxRunning
		t.leasedJobs = l.JobsRunning
	}
	for _, a := range snap.GetAllotments() {
		*s.team(a.Team).allotment(a.Service) = allotment{amount: a.Amount, target: a.Target, wanted: a.Wanted}
	}
}
