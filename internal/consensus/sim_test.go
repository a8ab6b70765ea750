package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	electionTicks = 10
	// recoveryRounds is the number of rounds within which a group must elect a
	// leader and catch up once all faults have ended.
	recoveryRounds = 600
)

// disk holds the state that a simulated replica has synced.
type disk struct {
	hard     *apiv1.HardState
	snapshot *apiv1.Snapshot
	entries  []*apiv1.LogEntry
}

// simNode is a simulated replica.
type simNode struct {
	id   uint64
	core *Core
	disk disk
	// applied holds the applied entries, in the form of sim.committedLog.
	applied []string
	// commitAtRead maps the context of a read to the highest index that any
	// replica had applied when the read started.
	commitAtRead map[uint64]uint64
	running      bool
	// diskLost is set when the disk was destroyed. Such a replica never runs
	// again.
	diskLost bool
}

// sim runs cores over a simulated network that loses, repeats and reorders
// messages, and checks Raft's safety properties as it goes.
type sim struct {
	t             *rapid.T
	rng           *rand.Rand
	nodes         []*simNode
	inTransit     []*apiv1.RaftMessage
	partitionSide map[uint64]bool
	partitioned   bool
	lossRate      float64
	delayRate     float64
	// faultsEnded disables crashes.
	faultsEnded bool
	// lastID is the id of the newest replica.
	lastID uint64
	// lastValue is the last value used as a command or as the context of a read.
	lastValue uint64
	// committedLog[i] is the entry that replicas apply at index i+1, as term,
	// kind and data; "formed" stands for the snapshot at index 1 from which the
	// group starts.
	committedLog       []string
	leaderOfTerm       map[uint64]uint64 // replica id by term
	confirmedReads     int
	installedSnapshots int
}

// newSim returns a group of size replicas that start from a common snapshot at
// index 1.
func newSim(t *rapid.T, size int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), partitionSide: map[uint64]bool{}, leaderOfTerm: map[uint64]uint64{}}
	group := &apiv1.GroupConfig{ClusterId: 1}
	for i := range size {
		group.Replicas = append(group.Replicas, &apiv1.Replica{Id: uint64(i + 1), RpcAddress: fmt.Sprint(i)})
	}
	s.committedLog = []string{"formed"}
	initial := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1, Group: group}, Data: []byte("formed")}
	for range size {
		n := s.addNode()
		n.disk = disk{hard: &apiv1.HardState{Term: 1}, snapshot: initial}
		s.restart(n)
	}
	return s
}

// addNode starts a replica with a new id and an empty disk, which belongs to no
// group yet.
func (s *sim) addNode() *simNode {
	s.lastID++
	n := &simNode{id: s.lastID}
	s.nodes = append(s.nodes, n)
	s.restart(n)
	return n
}

// restart starts a new core from the replica's disk.
func (s *sim) restart(n *simNode) {
	st := PersistentState{HardState: n.disk.hard, Entries: slices.Clone(n.disk.entries)}
	n.applied = nil
	if n.disk.snapshot != nil {
		st.Snapshot = n.disk.snapshot.Meta
		n.applied = strings.Split(string(n.disk.snapshot.Data), "\n")
	}
	n.commitAtRead = map[uint64]uint64{}
	n.running = true
	n.core = New(Config{
		ID: n.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, MaxInflight: 4, MaxInflightBytes: 600, MaxMessageBytes: 64,
		Rand: rand.New(rand.NewPCG(s.rng.Uint64(), n.id)),
	}, st)
}

// process carries out a core's pending work as a driver, the program around a
// core, does. If crash is set the replica stops after it has sent
// MessagesBeforeSync and before the sync, and loses what isn't synced.
func (s *sim) process(n *simNode, crash bool) {
	for n.running && n.core.HasReady() {
		rd := n.core.Ready()
		s.send(n, rd.MessagesBeforeSync)
		if crash {
			n.running = false
			return
		}
		n.disk.save(&rd)
		s.send(n, rd.MessagesAfterSync)
		if rd.Snapshot != nil {
			s.installedSnapshots++
			n.applied = strings.Split(string(rd.Snapshot.Data), "\n")
		}
		for _, e := range rd.CommittedEntries {
			s.apply(n, e)
		}
		s.checkReads(n, rd.ReadStates)
		n.core.Advance()
		s.checkLeader(n)
	}
}

// save stores what survives a crash. A hard state (term, vote and commit index)
// without MustSync doesn't.
func (d *disk) save(rd *Ready) {
	if rd.Snapshot != nil {
		d.snapshot, d.entries = rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		keep := slices.IndexFunc(d.entries, func(e *apiv1.LogEntry) bool { return e.Index >= first })
		if keep >= 0 {
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries, rd.Entries...)
	}
	if rd.MustSync && rd.HardState != nil {
		d.hard = rd.HardState
	}
}

// randomCrash reports, with a probability of 1/oneIn, that a replica is to crash
// while it processes its work.
func (s *sim) randomCrash(oneIn int) bool { return !s.faultsEnded && s.rng.IntN(oneIn) == 0 }

// send puts messages on the network. As the driver does, it adds the data of the
// stored snapshot.
func (s *sim) send(n *simNode, messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m = proto.CloneOf(m)
			m.Snapshot = n.disk.snapshot
		}
		s.inTransit = append(s.inTransit, m)
	}
}

// apply applies a committed entry and checks that it follows the one before and
// equals the entry that other replicas applied at this index.
func (s *sim) apply(n *simNode, e *apiv1.LogEntry) {
	entry := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
	n.applied = append(n.applied, entry)
	i := int(e.Index)
	if i != len(n.applied) {
		s.t.Fatalf("replica %d applied index %d after %d entries", n.id, i, len(n.applied)-1)
	}
	if i > len(s.committedLog) {
		s.committedLog = append(s.committedLog, entry)
	}
	if s.committedLog[i-1] != entry {
		s.t.Fatalf("replica %d applied %q at index %d, others applied %q", n.id, entry, i, s.committedLog[i-1])
	}
}

// checkReads checks that confirmed reads are linearizable: the replica has applied
// all entries that were applied anywhere when the read started.
func (s *sim) checkReads(n *simNode, reads []ReadState) {
	for _, r := range reads {
		if r.Index < n.commitAtRead[r.Context] || uint64(len(n.applied)) < n.commitAtRead[r.Context] {
			s.t.Fatalf("replica %d confirmed a read at index %d, but index %d was committed when the read started", n.id, r.Index, n.commitAtRead[r.Context])
		}
		s.confirmedReads++
	}
}

// checkLeader checks that a term has at most one leader and that its log holds all
// committed entries.
func (s *sim) checkLeader(n *simNode) {
	if n.core.Role() != Leader {
		return
	}
	term := n.core.Term()
	if other, ok := s.leaderOfTerm[term]; ok && other != n.id {
		s.t.Fatalf("replicas %d and %d both lead term %d", other, n.id, term)
	}
	if _, ok := s.leaderOfTerm[term]; ok {
		return
	}
	s.leaderOfTerm[term] = n.id
	if n.core.LastIndex() < uint64(len(s.committedLog)) {
		s.t.Fatalf("leader %d of term %d lacks committed entries", n.id, term)
	}
}

// checkLogs checks that the sizes of logs are counted right, and log matching: if two
// logs have an entry with the same index and term, they are equal up to that entry.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		if l := &a.core.log; l.bytes != sizeOf(l.entries) {
			s.t.Fatalf("the log of replica %d has %d bytes and is counted as %d", a.id, sizeOf(l.entries), l.bytes)
		}
		for _, b := range s.nodes[i+1:] {
			matched := false
			base := max(a.core.log.base, b.core.log.base)
			for index := min(a.core.LastIndex(), b.core.LastIndex()); index > base; index-- {
				x, y := a.core.log.entriesFrom(index)[0], b.core.log.entriesFrom(index)[0]
				equal := x.Term == y.Term
				if matched && !equal || equal && string(x.Data) != string(y.Data) {
					s.t.Fatalf("logs of replicas %d and %d differ at index %d, at or below an entry of the same term", a.id, b.id, index)
				}
				matched = matched || equal
			}
		}
	}
}

// checkGroups checks that the group in force on each replica is the one that
// results from the membership changes in its log.
func (s *sim) checkGroups() {
	for _, n := range s.nodes {
		want := n.core.groupHistory[0].group
		for _, e := range n.core.log.entriesFrom(max(n.core.groupHistory[0].index, n.core.log.base) + 1) {
			change := &apiv1.ConfChange{}
			if e.Kind == apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE && proto.Unmarshal(e.Data, change) == nil {
				want = applyChange(want, change)
			}
		}
		if !proto.Equal(want, n.core.Group()) {
			s.t.Fatalf("replica %d has group %v, the changes in its log result in %v", n.id, n.core.Group(), want)
		}
	}
}

func (s *sim) node(id uint64) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
	return s.nodes[i]
}

// deliver delivers message i of those in transit, unless it is delayed, lost, or
// its recipient is not running or unreachable. With a probability of lossRate/2
// the message stays in transit and is delivered again later.
func (s *sim) deliver(i int) {
	if s.rng.Float64() < s.delayRate {
		return
	}
	m := s.inTransit[i]
	if s.rng.Float64() >= s.lossRate/2 {
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
	n := s.node(m.To)
	blocked := s.partitioned && s.partitionSide[m.From] != s.partitionSide[m.To]
	if !n.running || blocked || s.rng.Float64() < s.lossRate {
		return
	}
	n.core.Step(proto.CloneOf(m))
	s.process(n, s.randomCrash(200))
}

// round ticks every replica and delivers the messages in transit in random order.
func (s *sim) round() {
	for _, n := range s.nodes {
		if n.running {
			n.core.Tick()
			s.process(n, false)
		}
	}
	for range len(s.inTransit) {
		if len(s.inTransit) > 0 {
			s.deliver(s.rng.IntN(len(s.inTransit)))
		}
	}
}

func (s *sim) randomRunning() *simNode {
	var up []*simNode
	for _, n := range s.nodes {
		if n.running {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.rng.IntN(len(up))]
}

// leader returns a running replica with the role of leader, or nil if there is
// none: the one of the highest term if newest is set, a random one otherwise.
func (s *sim) leader(newest bool) *simNode {
	var found *simNode
	for _, n := range s.nodes {
		if n.running && n.core.Role() == Leader {
			if found == nil || newest && n.core.Term() > found.core.Term() || !newest && s.rng.IntN(2) == 0 {
				found = n
			}
		}
	}
	return found
}
