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

// TestMain fixes the seed of generated tests, so that every run has the same
// verdict; -rapid.seed and -rapid.checks search further.
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

func (s *sim) propose(*rapid.T) {
	if n := s.leader(false); n != nil {
		for range s.rng.IntN(5) + 1 {
			s.counter++
			if _, _, err := n.core.Propose(fmt.Appendf(nil, "%d", s.counter)); err != nil {
				s.t.Fatal(err)
			}
		}
		s.process(n, s.crashes(8))
	}
}

func (s *sim) read(*rapid.T) {
	if n := s.leader(false); n != nil {
		s.counter++
		n.reads[s.counter] = uint64(len(s.committed))
		if err := n.core.ReadIndex(s.counter); err != nil {
			s.t.Fatal(err)
		}
		s.process(n, false)
	}
}

func (s *sim) rounds(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "rounds") {
		s.round()
	}
}

func (s *sim) steps(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		if n := s.randomUp(); n != nil && s.rng.IntN(3) == 0 {
			n.core.Tick()
			s.process(n, s.crashes(50))
		} else if len(s.network) > 0 {
			s.deliver(s.rng.IntN(len(s.network)))
		}
	}
}

func (s *sim) crash(*rapid.T) {
	if n := s.randomUp(); n != nil {
		n.up = false
	}
}

func (s *sim) restartAll(*rapid.T) {
	for _, n := range s.nodes {
		if !n.up && !n.lost {
			s.restart(n)
		}
	}
}

func (s *sim) partition(*rapid.T) {
	s.cut = true
	for _, n := range s.nodes {
		s.side[n.id] = s.rng.IntN(2) == 0
	}
}

func (s *sim) heal(t *rapid.T) {
	s.cut = false
	s.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
	s.delay = rapid.SampledFrom([]float64{0, 0, 0.2, 0.6}).Draw(t, "delay")
}

func (s *sim) takeSnapshot(*rapid.T) {
	n := s.randomUp()
	if n == nil || n.core.AppliedIndex() <= n.core.SnapshotIndex() {
		return
	}
	meta := n.core.SnapshotMetaAt(n.core.AppliedIndex())
	n.disk.snapshot = &apiv1.Snapshot{Meta: meta, Data: []byte(strings.Join(n.applied, "\n"))}
	for len(n.disk.entries) > 0 && n.disk.entries[0].Index <= meta.Index {
		n.disk.entries = n.disk.entries[1:]
	}
	n.core.Compact(meta, meta.Index-uint64(s.rng.IntN(3)))
}

// loseDisk replaces a replica by one with a new identity and an empty disk, as
// long as no other one is missing: more losses than a quorum stands are final.
func (s *sim) loseDisk(*rapid.T) {
	lead := s.leader(true)
	if lead == nil || len(s.nodes) > 12 {
		return
	}
	for _, r := range lead.core.Group().Replicas {
		if r.Learner || s.node(r.Id).lost {
			return
		}
	}
	for _, n := range s.nodes {
		if n.core.groupIndex() < lead.core.groupIndex() && !n.lost || lead.core.groupIndex() > lead.core.CommitIndex() {
			return
		}
	}
	replicas := lead.core.Group().Replicas
	n := s.node(replicas[s.rng.IntN(len(replicas))].Id)
	n.up, n.lost = false, true
	s.addNode()
}

// changeGroup does what the replica package does on the leader: it adds new
// identities as learners, removes lost ones and promotes learners.
func (s *sim) changeGroup(*rapid.T) {
	n := s.leader(false)
	if n == nil {
		return
	}
	for _, other := range s.nodes {
		r := findReplica(n.core.Group(), other.id)
		change := &apiv1.ConfChange{Replica: &apiv1.Replica{Id: other.id, RpcAddress: "x"}}
		switch {
		case r == nil && len(other.core.Group().Replicas) == 0 && !other.lost:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER
		case r != nil && other.lost:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE
		case r != nil && r.Learner:
			change.Kind = apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE
		default:
			continue
		}
		if _, _, err := n.core.ProposeConfChange(change); err == nil {
			s.process(n, s.crashes(8))
			return
		}
	}
}

// settle ends all faults and checks that the group commits again and that all
// members catch up.
func (s *sim) settle(t *rapid.T) {
	s.cut, s.loss, s.delay, s.settling = false, 0, 0, true
	s.restartAll(t)
	s.counter++
	want := fmt.Appendf(nil, "%d", s.counter)
	for range settleRounds {
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
		t.Logf("replica %d: up %v lost %v %s term %d commit %d last %d group %v", n.id, n.up, n.lost, n.core.Role(), n.core.Term(), n.core.CommitIndex(), n.core.LastIndex(), n.core.Group())
	}
	t.Fatalf("the group did not recover within %d rounds", settleRounds)
}

func (s *sim) caughtUp(leader *simNode) bool {
	if leader.core.CommitIndex() <= leader.core.noopIndex || leader.core.CommitIndex() != leader.core.LastIndex() {
		return false
	}
	for _, r := range leader.core.Group().Replicas {
		n := s.node(r.Id)
		if r.Learner || n.lost || uint64(len(n.applied)) != leader.core.CommitIndex() {
			return false
		}
	}
	return true
}

// Guards against two leaders in a term, lost or diverging commits, reads that
// miss commits, and a group that does not recover, under every fault the
// design page names.
func TestCoreKeepsRaftPropertiesUnderFaults(t *testing.T) {
	confirmed, commits, lost, installed := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"))
		t.Repeat(map[string]func(*rapid.T){
			"rounds": s.rounds, "rounds2": s.rounds, "rounds3": s.rounds, "steps": s.steps, "steps2": s.steps,
			"propose": s.propose, "propose2": s.propose, "read": s.read, "read2": s.read, "crash": s.crash,
			"restart": s.restartAll, "restart2": s.restartAll, "partition": s.partition, "heal": s.heal, "heal2": s.heal,
			"snapshot": s.takeSnapshot, "loseDisk": s.loseDisk, "changeGroup": s.changeGroup,
			"": func(*rapid.T) { s.checkLogs(); s.checkGroups() },
		})
		s.settle(t)
		confirmed += s.confirmed
		commits += len(s.committed)
		lost += len(s.nodes)
		installed += s.installed
	})
	t.Logf("%d entries committed, %d reads confirmed, %d snapshots installed, %d identities", commits, confirmed, installed, lost)
}
