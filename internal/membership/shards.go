package membership

import (
	"crypto/sha256"
	"encoding/binary"
)

// assignOrphans gives each shard without a host to its standby, or else to the
// live session with the fewest shards.
func (s *State) assignOrphans(index uint64) {
	for _, name := range sortedKeys(s.shards) {
		sh := s.shards[name]
		if sh.SessionId != 0 {
			continue
		}
		s.assign(index, sh, s.nextHost(sh))
	}
}

// assign starts a new epoch. Epochs are log indexes, so they also grow when a
// service is removed and added again. A shard without a host keeps its epoch
// and counts as recovering, which holds its allotments. Only the standby of the
// ended epoch has its grants mirrored.
func (s *State) assign(index uint64, sh *shard, session uint64) {
	mirrored := uint64(0)
	if session != 0 && session == sh.StandbySessionId {
		mirrored = sh.Epoch
	}
	sh.StandbySessionId = 0
	sh.StandbySequence = 0
	sh.MirroredEpoch = mirrored
	sh.Recovering = true
	sh.SessionId = session
	if session == 0 {
		return
	}
	sh.Epoch = max(index, sh.Epoch+1)
	sh.AssignedIndex = index
	sh.sequence = 0
}

func (s *State) leastLoaded(service string) uint64 {
	counts := s.shardCounts()
	best := uint64(0)
	for _, id := range sortedKeys(s.sessions) {
		if s.sessions[id].Expired {
			continue
		}
		if best == 0 || s.better(service, counts, id, best) {
			best = id
		}
	}
	return best
}

func (s *State) better(service string, counts map[uint64]int, a, b uint64) bool {
	if counts[a] != counts[b] {
		return counts[a] < counts[b]
	}
	return rendezvous(service, s.sessions[a].ProcessId) > rendezvous(service, s.sessions[b].ProcessId)
}

// moveOneShardTo moves at most one shard to a new session, because each move
// interrupts granting for one recovery. A shard moves only when that lowers
// the larger of the two counts.
func (s *State) moveOneShardTo(index, session uint64) {
	counts := s.shardCounts()
	var moved *shard
	for _, name := range sortedKeys(s.shards) {
		sh := s.shards[name]
		if sh.AssignedIndex == index || counts[sh.SessionId] < counts[session]+2 || s.keepsHost(sh) {
			continue
		}
		if moved == nil || s.betterMove(counts, session, sh, moved) {
			moved = sh
		}
	}
	if moved != nil {
		s.assign(index, moved, session)
	}
}

func (s *State) betterMove(counts map[uint64]int, session uint64, a, b *shard) bool {
	if counts[a.SessionId] != counts[b.SessionId] {
		return counts[a.SessionId] > counts[b.SessionId]
	}
	process := s.sessions[session].ProcessId
	return rendezvous(a.Service, process) > rendezvous(b.Service, process)
}

func (s *State) shardCounts() map[uint64]int {
	counts := map[uint64]int{}
	for _, sh := range s.shards {
		if sh.SessionId != 0 {
			counts[sh.SessionId]++
		}
	}
	return counts
}

func rendezvous(service, process string) uint64 {
	sum := sha256.Sum256([]byte(service + "\x00" + process))
	return binary.BigEndian.Uint64(sum[:])
}

// dropRetired removes the shards of services that are gone once none of their
// work counts against a limit.
func (s *State) dropRetired() {
	for _, name := range sortedKeys(s.shards) {
		if s.shards[name].Retiring && !s.holdsAny(name) {
			delete(s.shards, name)
			for _, t := range s.teams {
				delete(t.allotments, name)
			}
		}
	}
}

func (s *State) holdsAny(service string) bool {
	for _, t := range s.teams {
		if a, ok := t.allotments[service]; ok && a.amount > 0 {
			return true
		}
	}
	return false
}
