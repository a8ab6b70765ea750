package consensus

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result. The flags -rapid.seed and -rapid.checks try other cases.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.shrinktime": "2s", "rapid.checks": "2000", "rapid.steps": "200", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// propose proposes up to five commands, each with a new value.
func (s *sim) propose(*rapid.T) {
	if n := s.leader(false); n != nil {
		for range s.rng.IntN(5) + 1 {
			s.lastValue++
			if _, _, err := n.core.Propose(fmt.Appendf(nil, "%d", s.lastValue)); err != nil {
				s.t.Fatal(err)
			}
		}
		s.process(n, s.randomCrash(8))
	}
}

// read starts a read on a replica that believes it leads, perhaps wrongly.
func (s *sim) read(*rapid.T) {
	if n := s.leader(false); n != nil {
		s.lastValue++
		n.commitAtRead[s.lastValue] = uint64(len(s.committedLog))
		if err := n.core.ReadIndex(s.lastValue); err != nil {
			s.t.Fatal(err)
		}
		s.process(n, false)
	}
}

func (s *sim) runRounds(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "rounds") {
		s.round()
	}
}

// runSteps ticks single replicas and delivers single messages, in random order.
func (s *sim) runSteps(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		if n := s.randomRunning(); n != nil && s.rng.IntN(3) == 0 {
			n.core.Tick()
			s.process(n, s.randomCrash(50))
		} else if len(s.inTransit) > 0 {
			s.deliver(s.rng.IntN(len(s.inTransit)))
		}
	}
}

func (s *sim) crash(*rapid.T) {
	if n := s.randomRunning(); n != nil {
		n.running = false
	}
}

func (s *sim) restartAll(*rapid.T) {
	for _, n := range s.nodes {
		if !n.running && !n.diskLost {
			s.restart(n)
		}
	}
}

// partition splits the replicas at random into two sides that can't communicate.
func (s *sim) partition(*rapid.T) {
	s.partitioned = true
	for _, n := range s.nodes {
		s.partitionSide[n.id] = s.rng.IntN(2) == 0
	}
}

// heal ends the partition and changes the rates of message loss and delay.
func (s *sim) heal(t *rapid.T) {
	s.partitioned = false
	s.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
	s.delayRate = rapid.SampledFrom([]float64{0, 0, 0.2, 0.6}).Draw(t, "delay")
}

// takeSnapshot stores a snapshot of a replica's applied state and compacts its
// log, keeping up to two entries before the snapshot.
func (s *sim) takeSnapshot(*rapid.T) {
	n := s.randomRunning()
	if n == nil || n.core.AppliedIndex() <= n.core.SnapshotIndex() {
		return
	}
	meta := n.core.SnapshotMetaAt(n.core.AppliedIndex())
	n.disk.snapshot = &apiv1.Snapshot{Meta: meta, Data: []byte(strings.Join(n.applied, "\n"))}
	for len(n.disk.entries) > 0 && n.disk.entries[0].Index <= meta.Index {
		n.disk.entries = n.disk.entries[1:]
	}
	n.core.Compact(meta, s.rng.IntN(3), 1<<20)
}

// loseDisk destroys the disk of a replica and adds a new replica with an empty
// disk. It does so only while the group has no other replica to replace: a group
// that loses the disks of a quorum can't recover.
func (s *sim) loseDisk(*rapid.T) {
	leader := s.leader(true)
	if leader == nil || len(s.nodes) > 12 {
		return
	}
	for _, r := range leader.core.Group().Replicas {
		if r.Learner || s.node(r.Id).diskLost {
			return
		}
	}
	for _, n := range s.nodes {
		if n.core.latestGroupIndex() < leader.core.latestGroupIndex() && !n.diskLost || leader.core.latestGroupIndex() > leader.core.CommitIndex() {
			return
		}
	}
	replicas := leader.core.Group().Replicas
	n := s.node(replicas[s.rng.IntN(len(replicas))].Id)
	n.running, n.diskLost = false, true
	s.addNode()
}

// changeGroup proposes membership changes as the driver of a core, in
// internal/replica, does: it adds new replicas as learners, promotes learners,
// and removes replicas that lost their disk.
func (s *sim) changeGroup(*rapid.T) {
	n := s.leader(false)
	if n == nil {
		return
	}
	for _, other := range s.nodes {
		r := findReplica(n.core.Group(), other.id)
		change := &apiv1.ConfChange{Replica: &apiv1.Replica{Id: other.id, RpcAddress: "x"}}
		switch {
		case r == nil && len(other.core.Group().Replicas) == 0 && !other.diskLost:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER
		case r != nil && other.diskLost:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
		case r != nil && r.Learner:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE
		default:
			continue
		}
		if _, _, err := n.core.ProposeConfChange(change); err == nil {
			s.process(n, s.randomCrash(8))
			return
		}
	}
}

// checkRecovery ends all faults and checks that the group commits again and that
// all its replicas catch up.
func (s *sim) checkRecovery(t *rapid.T) {
	s.partitioned, s.lossRate, s.delayRate, s.faultsEnded = false, 0, 0, true
	s.restartAll(t)
	s.lastValue++
	want := fmt.Appendf(nil, "%d", s.lastValue)
	for range recoveryRounds {
		s.round()
		s.changeGroup(t)
		n := s.leader(true)
		if n == nil {
			continue
		}
		if s.caughtUp(n) {
			return
		}
		if n.core.CommitIndex() == n.core.LastIndex() && s.rng.IntN(20) == 0 {
			if _, _, err := n.core.Propose(want); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, n := range s.nodes {
		t.Logf("replica %d: running %v disk lost %v %s term %d commit %d last %d group %v", n.id, n.running, n.diskLost, n.core.Role(), n.core.Term(), n.core.CommitIndex(), n.core.LastIndex(), n.core.Group())
	}
	t.Fatalf("group did not recover within %d rounds", recoveryRounds)
}

// caughtUp reports whether the leader has committed its whole log, including an
// entry after its first one, and all replicas are voters that have applied it.
func (s *sim) caughtUp(leader *simNode) bool {
	if leader.core.CommitIndex() <= leader.core.noopIndex || leader.core.CommitIndex() != leader.core.LastIndex() {
		return false
	}
	for _, r := range leader.core.Group().Replicas {
		n := s.node(r.Id)
		if r.Learner || n.diskLost || uint64(len(n.applied)) != leader.core.CommitIndex() {
			return false
		}
	}
	return true
}

// Guards against two leaders in a term, lost or diverging committed entries, reads
// that miss committed entries, and a group that does not recover. The faults are
// crashes, partitions, lost, repeated, reordered and delayed messages, and lost
// disks, mixed with snapshots and membership changes.
func TestCoreKeepsRaftPropertiesUnderFaults(t *testing.T) {
	reads, commits, identities, snapshots := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		t.Repeat(map[string]func(*rapid.T){
			"rounds": s.runRounds, "rounds2": s.runRounds, "rounds3": s.runRounds, "steps": s.runSteps, "steps2": s.runSteps,
			"propose": s.propose, "propose2": s.propose, "read": s.read, "read2": s.read, "crash": s.crash,
			"restart": s.restartAll, "restart2": s.restartAll, "partition": s.partition, "heal": s.heal, "heal2": s.heal,
			"snapshot": s.takeSnapshot, "loseDisk": s.loseDisk, "changeGroup": s.changeGroup,
			"": func(*rapid.T) { s.checkLogs(); s.checkGroups() },
		})
		s.checkRecovery(t)
		reads += s.confirmedReads
		commits += len(s.committedLog)
		identities += len(s.nodes)
		snapshots += s.installedSnapshots
	})
	t.Logf("%d entries committed, %d reads confirmed, %d snapshots installed, %d replicas", commits, reads, snapshots, identities)
}
