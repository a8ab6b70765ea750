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
	settleRounds  = 600
)

// disk is what a simulated replica has synced.
type disk struct {
	hard     *apiv1.HardState
	snapshot *apiv1.Snapshot
	entries  []*apiv1.LogEntry
}

type simNode struct {
	id      uint64
	core    *Core
	disk    disk
	applied []string
	// reads maps the context of a read to the commit index known anywhere when
	// it began.
	reads map[uint64]uint64
	up    bool
	// lost is set when the disk is gone: this identity never returns.
	lost bool
}

// sim runs cores over a network that loses, repeats and reorders messages, and
// checks after each step what Raft promises.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	nodes   []*simNode
	network []*apiv1.RaftMessage
	side    map[uint64]bool
	cut     bool
	loss    float64
	delay   float64
	// settling ends all crashes.
	settling bool
	nextID   uint64
	counter  uint64
	// committed[i] is what was applied at index i+1 by anyone.
	committed []string
	leaders   map[uint64]uint64
	confirmed int
	installed int
}

func newSim(t *rapid.T, size int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), side: map[uint64]bool{}, leaders: map[uint64]uint64{}}
	group := &apiv1.GroupConfig{ClusterId: 1}
	for i := range size {
		group.Replicas = append(group.Replicas, &apiv1.Replica{Id: uint64(i + 1), RpcAddress: fmt.Sprint(i)})
	}
	s.committed = []string{"formed"}
	initial := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1, Group: group}, Data: []byte("formed")}
	for range size {
		n := s.addNode()
		n.disk = disk{hard: &apiv1.HardState{Term: 1}, snapshot: initial}
		s.restart(n)
	}
	return s
}

func (s *sim) addNode() *simNode {
	s.nextID++
	n := &simNode{id: s.nextID}
	s.nodes = append(s.nodes, n)
	s.restart(n)
	return n
}

// restart starts a core from what the disk holds.
func (s *sim) restart(n *simNode) {
	st := PersistentState{HardState: n.disk.hard, Entries: slices.Clone(n.disk.entries)}
	n.applied = nil
	if n.disk.snapshot != nil {
		st.Snapshot = n.disk.snapshot.Meta
		n.applied = strings.Split(string(n.disk.snapshot.Data), "\n")
	}
	n.reads = map[uint64]uint64{}
	n.up = true
	n.core = New(Config{
		ID: n.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, MaxInflight: 4, MaxMessageBytes: 64,
		Rand: rand.New(rand.NewPCG(s.rng.Uint64(), n.id)),
	}, st)
}

// process carries out a core's work. With crash set the replica stops between
// sending its early messages and the sync, and loses what was not synced.
func (s *sim) process(n *simNode, crash bool) {
	for n.up && n.core.HasReady() {
		rd := n.core.Ready()
		s.send(n, rd.MessagesBeforeSync)
		if crash {
			n.up = false
			return
		}
		n.disk.save(&rd)
		s.send(n, rd.MessagesAfterSync)
		if rd.Snapshot != nil {
			s.installed++
			n.applied = strings.Split(string(rd.Snapshot.Data), "\n")
		}
		for _, e := range rd.CommittedEntries {
			s.apply(n, e)
		}
		s.finishReads(n, rd.ReadStates)
		n.core.Advance()
		s.checkLeader(n)
	}
}

// save keeps what a crash leaves: hard state that asks for no sync is lost.
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

// crashes tells with a chance of one in odds that a replica stops mid-way.
func (s *sim) crashes(odds int) bool { return !s.settling && s.rng.IntN(odds) == 0 }

func (s *sim) send(n *simNode, messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m = proto.CloneOf(m)
			m.Snapshot = n.disk.snapshot
		}
		s.network = append(s.network, m)
	}
}

func (s *sim) apply(n *simNode, e *apiv1.LogEntry) {
	text := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
	n.applied = append(n.applied, text)
	i := int(e.Index)
	if i != len(n.applied) {
		s.t.Fatalf("replica %d applied index %d after %d entries", n.id, i, len(n.applied)-1)
	}
	if i > len(s.committed) {
		s.committed = append(s.committed, text)
	}
	if s.committed[i-1] != text {
		s.t.Fatalf("replica %d applied %q at %d, others %q", n.id, text, i, s.committed[i-1])
	}
}

func (s *sim) finishReads(n *simNode, reads []ReadState) {
	for _, r := range reads {
		if r.Index < n.reads[r.Context] || uint64(len(n.applied)) < n.reads[r.Context] {
			s.t.Fatalf("replica %d confirmed a read at %d that began when %d was committed", n.id, r.Index, n.reads[r.Context])
		}
		s.confirmed++
	}
}

// checkLeader checks election safety, and that a leader holds all that is
// committed.
func (s *sim) checkLeader(n *simNode) {
	if n.core.Role() != Leader {
		return
	}
	term := n.core.Term()
	if other, ok := s.leaders[term]; ok && other != n.id {
		s.t.Fatalf("replicas %d and %d both lead term %d", other, n.id, term)
	}
	if _, ok := s.leaders[term]; ok {
		return
	}
	s.leaders[term] = n.id
	if n.core.LastIndex() < uint64(len(s.committed)) {
		s.t.Fatalf("leader %d of term %d lacks committed entries", n.id, term)
	}
}

// checkLogs checks log matching: logs that agree on an index and term agree on
// everything before it.
func (s *sim) checkLogs() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[i+1:] {
			same := false
			low := max(a.core.log.base, b.core.log.base)
			for index := min(a.core.LastIndex(), b.core.LastIndex()); index > low; index-- {
				x, y := a.core.log.from(index)[0], b.core.log.from(index)[0]
				equal := x.Term == y.Term
				if same && !equal || equal && string(x.Data) != string(y.Data) {
					s.t.Fatalf("logs of %d and %d differ at %d below an equal entry", a.id, b.id, index)
				}
				same = same || equal
			}
		}
	}
}

// checkGroups checks that each replica's group is the one its log gives.
func (s *sim) checkGroups() {
	for _, n := range s.nodes {
		want := n.core.groups[0].group
		for _, e := range n.core.log.from(max(n.core.groups[0].index, n.core.log.base) + 1) {
			change := &apiv1.ConfChange{}
			if e.Kind == apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE && proto.Unmarshal(e.Data, change) == nil {
				want = applyChange(want, change)
			}
		}
		if !proto.Equal(want, n.core.Group()) {
			s.t.Fatalf("replica %d has group %v, its log gives %v", n.id, n.core.Group(), want)
		}
	}
}

func (s *sim) node(id uint64) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
	return s.nodes[i]
}

func (s *sim) deliver(i int) {
	if s.rng.Float64() < s.delay {
		return
	}
	m := s.network[i]
	if s.rng.Float64() >= s.loss/2 { // otherwise it stays and comes again
		s.network = slices.Delete(s.network, i, i+1)
	}
	n := s.node(m.To)
	cut := s.cut && s.side[m.From] != s.side[m.To]
	if !n.up || cut || s.rng.Float64() < s.loss {
		return
	}
	n.core.Step(proto.CloneOf(m))
	s.process(n, s.crashes(200))
}

// round ticks every replica and delivers what is under way in a random order.
func (s *sim) round() {
	for _, n := range s.nodes {
		if n.up {
			n.core.Tick()
			s.process(n, false)
		}
	}
	for range len(s.network) {
		if len(s.network) > 0 {
			s.deliver(s.rng.IntN(len(s.network)))
		}
	}
}

func (s *sim) randomUp() *simNode {
	var up []*simNode
	for _, n := range s.nodes {
		if n.up {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[s.rng.IntN(len(up))]
}

// leader returns a replica that believes to lead, the newest one if newest is
// set, and any otherwise.
func (s *sim) leader(newest bool) *simNode {
	var found *simNode
	for _, n := range s.nodes {
		if n.up && n.core.Role() == Leader {
			if found == nil || newest && n.core.Term() > found.core.Term() || !newest && s.rng.IntN(2) == 0 {
				found = n
			}
		}
	}
	return found
}
