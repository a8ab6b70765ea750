package control

import (
	"time"

	"bergamotdrum.example/bergamotdrum/internal/state"
)

// StateDump is a summary of the replicated state for operators, without keys and
// payloads. Log time is the largest time stamped on an applied command; the view
// is the part of the state that entry processes receive; intents are recorded
// operations on VMs.
type StateDump struct {
	AppliedIndex  uint64 `json:"applied_index"`
	LogTimeMS     int64  `json:"log_time_unix_ms"`
	ViewVersion   uint64 `json:"view_version"`
	ConfigVersion uint64 `json:"config_version"`
	Sessions      any    `json:"sessions"`
	Shards        any    `json:"shards"`
	VMs           any    `json:"vms"`
	Intents       any    `json:"intents"`
	Jobs          []JobDump
}

// JobDump is one job without its payload, checkpoint and result.
type JobDump struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	State  string `json:"state"`
	Worker string `json:"worker"`
	Epoch  uint64 `json:"epoch"`
	Reason string `json:"reason"`
}

// DumpState returns a dump of this replica's copy of the replicated state, which
// may lag behind the leader's.
func DumpState(m *state.Machine) *StateDump {
	out := &StateDump{}
	m.Read(func(st *state.State) {
		out.AppliedIndex = st.AppliedIndex
		out.LogTimeMS = st.LogTimeMS
		out.ViewVersion = st.ViewVersion
		out.ConfigVersion = st.Publish.Current().Version
		out.Sessions = st.Membership.Sessions()
		out.Shards = st.Membership.Shards()
		out.VMs = st.Fleet.VMs()
		out.Intents = st.Fleet.Intents()
		for _, job := range st.Jobs.List() {
			out.Jobs = append(out.Jobs, JobDump{
				ID: job.JobId, Team: job.Team, State: job.State.String(),
				Worker: job.Lease.GetWorkerId(), Epoch: job.Epoch, Reason: job.Reason,
			})
		}
	})
	return out
}

// LeadershipDump is the in-memory state of the leader, which is not replicated:
// the time since the last renewal of each entry process's session and each job
// lease, and since the last announcement of each VM.
type LeadershipDump struct {
	Leader   bool                     `json:"leader"`
	Sessions map[uint64]time.Duration `json:"session_renewed_ns_ago,omitempty"`
	VMs      map[string]time.Duration `json:"vm_seen_ns_ago,omitempty"`
	Leases   map[string]time.Duration `json:"lease_renewed_ns_ago,omitempty"`
}

// DumpLeadership returns the in-memory state of the leader. It is empty on
// followers.
func (s *Server) DumpLeadership() *LeadershipDump {
	l := s.leadership.Load()
	if l == nil {
		return &LeadershipDump{}
	}
	now := s.opts.Clock.Now()
	return &LeadershipDump{
		Leader:   true,
		Sessions: l.sessions.ages(now),
		VMs:      l.workers.vmAges(now),
		Leases:   l.workers.leaseAges(now),
	}
}

// ages returns for each element the time from its timestamp to now.
func ages[K comparable, V any](now time.Duration, m map[K]V, timestamp func(V) time.Duration) map[K]time.Duration {
	out := make(map[K]time.Duration, len(m))
	for key, v := range m {
		out[key] = now - timestamp(v)
	}
	return out
}
