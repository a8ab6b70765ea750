package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// taskCPUMillis is the cpu of each task in the tests, in thousandths of a core.
	taskCPUMillis = 1000
	// shrinkGrace is how long after a minion's capacity has shrunk starts may still
	// use the former one: the 3 s in which a machine is brought in touch and one
	// announcement, 1.5 s.
	shrinkGrace = 4500 * time.Millisecond
)

// roomHistory holds the capacities that a minion had, which it doesn't guard: it
// starts whatever it is told to.
type roomHistory []roomChange

// roomChange is the capacity, in thousandths of a core, from a time on.
type roomChange struct {
	at        time.Time
	cpuMillis uint32
}

func newRoomHistory() roomHistory { return roomHistory{{time.Now(), 4000}} }

// announced returns the present capacity.
func (h roomHistory) announced() *apiv1.Resources {
	return &apiv1.Resources{CpuMillis: h[len(h)-1].cpuMillis, MemoryMb: 4000}
}

// allowed returns the largest capacity of the last shrinkGrace.
func (h roomHistory) allowed() int {
	largest := uint32(0)
	for i, c := range h {
		if i == len(h)-1 || time.Since(h[i+1].at) <= shrinkGrace {
			largest = max(largest, c.cpuMillis)
		}
	}
	return int(largest)
}

// setCapacity changes the capacity of a minion. The change is known to the leader
// when the minion is announced.
func (h *harness) setCapacity(m *fakeMinion, cpuMillis uint32) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	m.room = append(m.room, roomChange{time.Now(), cpuMillis})
}

// checkRoom fails the test when the start of a run brings the minion over its
// capacity. Orders that are carried out late don't count.
func (m *fakeMinion) checkRoom(run batch.RunKey) {
	if used := len(m.running) * taskCPUMillis; used > m.room.allowed() && !m.late {
		m.cluster.t.Errorf("%s brings %s to %d of %d millicores", run, m.id, used, m.room.allowed())
	}
}

// runningOn returns how many runs a minion executes.
func (h *harness) runningOn(m *fakeMinion) int {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return len(m.running)
}

// commitStarts commits starts of the first tasks of a job on a minion, as a
// planning round does.
func (h *harness) commitStarts(id string, tasks uint32, m *fakeMinion) {
	update := &apiv1.UpdateRuns{Term: h.term}
	for i := range tasks {
		ref := batch.TaskRef{Job: id, Index: i}
		update.Starts = append(update.Starts, &apiv1.StartedRun{Task: ref.Name(), Run: 1, Minion: m.record().Life})
	}
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: update}})
}

// newSilentMinion returns a harness with a minion that executes job0, of two
// tasks, and doesn't answer, while starts of job1, of two tasks, are committed on
// it whose orders are not sent.
func newSilentMinion(t *testing.T) (*harness, *fakeMinion) {
	h := newHarness(t, 1)
	h.endTerm()
	h.lease, h.cluster.maxLease, h.cluster.endless = 20*time.Second, 21*time.Second, true
	h.startTerm()
	m := h.cluster.add("a")
	h.announce(m)
	h.submit("job0", 2)
	time.Sleep(5 * time.Second)
	h.setUnreachable(m, true)
	time.Sleep(holdWait + holdGrace + retryDelay)
	h.submit("job1", 2)
	h.commitStarts("job1", 2, m)
	time.Sleep(planInterval)
	return h, m
}

// Guards against a start that was committed while its minion didn't answer and is
// sent when it answers again, although the minion's capacity has shrunk since.
// Only as many runs give way as have no room, and they run elsewhere.
func TestUnsentStartGivesWayWhenRoomShrinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, m := newSilentMinion(t)
		defer h.endTerm()
		h.setCapacity(m, 3*taskCPUMillis)
		h.announce(m)
		time.Sleep(shrinkGrace + time.Second)
		h.setUnreachable(m, false)
		time.Sleep(2 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(3))
		other := h.cluster.add("b")
		h.announce(other)
		time.Sleep(2 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(3))
		g.Expect(h.runningOn(other)).To(Equal(1))
		g.Expect(h.cluster.starts).To(Equal(4), "none starts twice")
	})
}

// Guards against a start that was committed while its minion didn't answer and is
// sent when it answers again, although the minion drains by then.
func TestUnsentStartGivesWayWhenMinionDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, m := newSilentMinion(t)
		defer h.endTerm()
		leaves := &apiv1.AnnounceMinionRequest{Minion: m.record(), Leaves: true}
		g.Expect(h.dispatcher.Announce(t.Context(), leaves)).To(Succeed())
		other := h.cluster.add("b")
		h.announce(other)
		time.Sleep(2 * time.Second)
		h.setUnreachable(m, false)
		time.Sleep(3 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(2))
		g.Expect(h.runningOn(other)).To(Equal(2))
	})
}

// Guards against new starts on a minion whose runs already exceed its capacity,
// against runs that are stopped when it shrinks, and against capacity that has
// grown again and stays unused.
func TestStartsFollowCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.cluster.endless = true
		m := h.cluster.add("a")
		h.announce(m)
		h.submit("job0", 3)
		time.Sleep(2 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(3))
		h.setCapacity(m, 2*taskCPUMillis)
		h.announce(m)
		time.Sleep(shrinkGrace + time.Second)
		h.submit("job1", 1)
		time.Sleep(2 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(3))
		h.setCapacity(m, 4*taskCPUMillis)
		h.announce(m)
		time.Sleep(planInterval)
		g.Expect(h.runningOn(m)).To(Equal(4))
	})
}

// Guards against a start that brings a minion over its capacity because a run
// that is being stopped, or whose start order an earlier session sent, isn't
// counted, and against one held back for runs that were never sent or have ended.
func TestRoomCountsWhatMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		one := batch.Usage{CPUMillis: 1, MemoryMB: 1, Accelerators: 1}
		key := func(i uint32) batch.RunKey { return batch.RunKey{TaskRef: batch.TaskRef{Index: i}, Number: 1} }
		load := committedLoad{stateRevision: 1, runs: []committedRun{{key: key(0), resources: one}, {key: key(1), resources: one, obsolete: true}}}
		s.sync(load)
		load.stateRevision, load.runs = 2, append(load.runs, committedRun{key: key(2), resources: one}, committedRun{key: key(3), resources: one})
		s.sync(load)
		s.mu.Lock() // as hasRoom's callers do; the stop of the obsolete run is being sent
		defer s.mu.Unlock()
		fits := func(cpu, memory, accelerators uint32) bool {
			return s.hasRoom(s.orders[key(2)], &apiv1.Resources{CpuMillis: cpu, MemoryMb: memory, Accelerators: accelerators})
		}
		g.Expect(fits(3, 3, 3)).To(BeTrue(), "the order of the last run was never sent")
		g.Expect(fits(2, 3, 3) || fits(3, 2, 3) || fits(3, 3, 2)).To(BeFalse())
		s.orders[key(1)].released = true
		g.Expect(fits(2, 2, 2)).To(BeTrue(), "the minion has listed the end of a run")
	})
}

// Guards against members of a gang that wait for one which its minion refused,
// since it has shrunk: they would end alone, and the gang starts again only when
// all have ended.
func TestGangOfRefusedMemberStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.cluster.endless = true
		a, b := h.cluster.add("a"), h.cluster.add("b")
		h.announce(a)
		h.announce(b)
		time.Sleep(2 * time.Second)
		h.cluster.mu.Lock()
		a.guarded, b.guarded = true, true
		h.cluster.mu.Unlock()
		h.setCapacity(a, 3*taskCPUMillis)
		h.setCapacity(b, 3*taskCPUMillis)
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: "job0", Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p", MaxAttempts: 3},
			Steps: []*apiv1.BatchStep{{Count: 5, Gang: true, Resources: &apiv1.Resources{CpuMillis: taskCPUMillis}}},
		}}})
		time.Sleep(planInterval)
		h.announce(a)
		h.announce(b)
		time.Sleep(3 * time.Second)
		g.Expect(h.runningOn(a) + h.runningOn(b)).To(Equal(5))
	})
}

// Guards against starts that bring a minion over its capacity because its
// announcements don't arrive, at this leader or at any leader: it may have shrunk
// since the last one. A minion that guards its capacity needs none.
func TestMinionThatIsNotHeardGetsNoStarts(t *testing.T) {
	for name, guarded := range map[string]bool{"guarded": true, "not guarded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
					Version: 2, Pools: []*apiv1.BatchPool{{Name: "p", GuardsCapacity: guarded}}, Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
				}}})
				h.maxAnnouncementAge, h.cluster.endless = 3*time.Second, true
				m := h.cluster.add("a")
				m.guarded = guarded
				h.announce(m)
				time.Sleep(2 * time.Second)
				h.endTerm()
				h.setCapacity(m, 2*taskCPUMillis)
				time.Sleep(shrinkGrace + time.Second)
				h.startTerm()
				h.submit("job0", 3)
				time.Sleep(2 * time.Second)
				g.Expect(h.runningOn(m)).To(Equal(map[bool]int{true: 2}[guarded]), "it has not announced itself to this leader")
				h.announce(m)
				time.Sleep(2 * planInterval)
				g.Expect(h.runningOn(m)).To(Equal(2))
				h.setCapacity(m, 4*taskCPUMillis)
				h.announce(m)
				time.Sleep(2 * planInterval)
				h.setCapacity(m, 3*taskCPUMillis)
				time.Sleep(shrinkGrace + time.Second)
				h.submit("job1", 1)
				time.Sleep(2 * time.Second)
				g.Expect(h.runningOn(m)).To(Equal(3))
			})
		})
	}
}

// Guards against a start that brings a minion over its room because a run that no
// committed state has there, such as a delayed order of an earlier incarnation, still
// runs on it.
func TestMinionWithUncommittedRunGetsNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		reply := &HoldReply{StartedMS: 1, ClockMS: 1}
		s.handleReply(t.Context(), reply, 0)
		g.Expect(s.usable(h.dispatcher.clock.Now())).To(BeTrue())
		reply.Running = []RunStatus{{Run: batch.RunKey{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}}}
		s.handleReply(t.Context(), reply, 0)
		g.Expect(s.usable(h.dispatcher.clock.Now())).To(BeFalse())
		reply.Running = nil
		s.handleReply(t.Context(), reply, 0)
		g.Expect(s.usable(h.dispatcher.clock.Now())).To(BeTrue())
	})
}
