package membership

import (
	"crypto/sha256"
	"encoding/binary"
)

// assignUnhosted assigns each shard (the scheduler of one service) without a host to
// its standby, the session whose process mirrors the shard's grants, or else to the
// live session with the fewest shards. A session is the lease of an entry process; a
// grant is the shard's permission to send one request to a minion.
func (s *State) assignUnhosted(logIndex uint64) {
	for _, name := range sortedKeys(s.shards) {
		sh := s.shards[name]
		if sh.SessionId != 0 {
			continue
		}
		s.assign(logIndex, sh, s.nextHost(sh))
	}
}

// assign makes session the host of the shard, which starts a new epoch and a
// recovery, in which the host finds out which earlier requests still run. Epochs are
// log indexes, so they also increase if a service is removed and added again. If
// session is zero, the shard stays without a host: it keeps its epoch and its
// allotments (parts of team limits), which are fixed while it is recovering. Only
// the standby of the previous epoch has a mirror of the shard's grants.
func (s *State) assign(logIndex uint64, sh *shard, session uint64) {
	mirroredEpoch := uint64(0)
	if session != 0 && session == sh.StandbySessionId {
		mirroredEpoch = sh.Epoch
	}
	sh.StandbySessionId = 0
	sh.StandbySequence = 0
	sh.MirroredEpoch = mirroredEpoch
	sh.Recovering = true
	sh.SessionId = session
	if session == 0 {
		return
	}
	sh.Epoch = max(logIndex, sh.Epoch+1)
	sh.AssignedIndex = logIndex
	sh.reportSequence = 0
}

// leastLoadedSession returns the live session that should host the service's shard,
// or zero if there is none.
func (s *State) leastLoadedSession(service string) uint64 {
	counts := s.shardCounts()
	best := uint64(0)
	for _, id := range sortedKeys(s.sessions) {
		if s.sessions[id].Expired {
			continue
		}
		if best == 0 || s.isPreferredHost(service, counts, id, best) {
			best = id
		}
	}
	return best
}

// isPreferredHost reports whether session a is a better host for the service's
// shard than session b: it hosts fewer shards or, if the numbers are equal, its
// process has the greater rendezvous hash.
func (s *State) isPreferredHost(service string, counts map[uint64]int, a, b uint64) bool {
	if counts[a] != counts[b] {
		return counts[a] < counts[b]
	}
	return rendezvousHash(service, s.sessions[a].ProcessId) > rendezvousHash(service, s.sessions[b].ProcessId)
}

// moveOneShardTo moves at most one shard from another session to a new one, because
// each move interrupts granting for the time of a recovery. A shard is moved only
// if the other session then still has at least as many shards as the new one, and
// not if the same command has assigned it.
func (s *State) moveOneShardTo(logIndex, session uint64) {
	counts := s.shardCounts()
	var moved *shard
	for _, name := range sortedKeys(s.shards) {
		sh := s.shards[name]
		if sh.AssignedIndex == logIndex || counts[sh.SessionId] < counts[session]+2 || s.mustKeepHost(sh) {
			continue
		}
		if moved == nil || s.isPreferredMove(counts, session, sh, moved) {
			moved = sh
		}
	}
	if moved != nil {
		s.assign(logIndex, moved, session)
	}
}

// isPreferredMove reports whether it is better to move shard a to the session than
// shard b: the host of a has more shards or, if the numbers are equal, a has the
// greater rendezvous hash for the session's process.
func (s *State) isPreferredMove(counts map[uint64]int, session uint64, a, b *shard) bool {
	if counts[a.SessionId] != counts[b.SessionId] {
		return counts[a.SessionId] > counts[b.SessionId]
	}
	process := s.sessions[session].ProcessId
	return rendezvousHash(a.Service, process) > rendezvousHash(b.Service, process)
}

// shardCounts returns the number of shards that each session hosts.
func (s *State) shardCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, sh := range s.shards {
		if sh.SessionId != 0 {
			counts[sh.SessionId]++
		}
	}
	return counts
}

// rendezvousHash returns the weight of a process for a service in rendezvous
// hashing: of processes with equal load, the one with the greatest weight is taken.
func rendezvousHash(service, process string) uint64 {
	sum := sha256.Sum256([]byte(service + "\x00" + process))
	return binary.BigEndian.Uint64(sum[:])
}

// removeRetired removes the shards of services that are no longer configured, once
// no part of a limit is allotted to them any more.
func (s *State) removeRetired() {
	for _, name := range sortedKeys(s.shards) {
		if s.shards[name].Retiring && !s.hasAmount(name) {
			delete(s.shards, name)
			for _, t := range s.teams {
				delete(t.allotments, name)
			}
		}
	}
}

// hasAmount reports whether a part of any team's limit is still allotted to the
// service's shard (allotment.amount), so that its requests may still be running.
func (s *State) hasAmount(service string) bool {
	for _, t := range s.teams {
		if a, ok := t.allotments[service]; ok && a.amount > 0 {
			return true
		}
	}
	return false
}
