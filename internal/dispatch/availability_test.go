package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// expectTasksKept fails the test when a maintenance ended a running task while the
// step had as many unavailable tasks as it permits.
func (p *fakeProvider) expectTasksKept(g Gomega) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.maintained {
		if p.interrupted[i] > 0 {
			g.Expect(p.interrupted[i]+p.unavailable[i]).To(BeNumerically("<=", 1), "maintenance %d of %v", i, p.maintained)
		}
	}
}

// minionOf returns the minion at an address and how many runs it executes.
func (h *harness) minionOf(address string) (m *fakeMinion, runs int) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	m = h.cluster.minions[address]
	return m, len(m.running)
}

// unavailable returns how many tasks of the long-running step don't run.
func (h *harness) unavailable() int {
	running := 0
	for i := range 3 {
		_, runs := h.minionOf(fmt.Sprint("m", i))
		running += runs
	}
	return longRunningTasks - running
}

// newSpreadWaveHarness is like newWaveHarness, with one long-running task on each
// machine and no room for a second one, so that a task stays unavailable until its
// machine is back.
func newSpreadWaveHarness(t *testing.T) (*harness, *fakeProvider) {
	h, p := newWaveHarness(t)
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "long-running", AnyAccount: true}}})
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: "spread", Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p"},
		Steps: []*apiv1.BatchStep{{Count: longRunningTasks, Resources: &apiv1.Resources{CpuMillis: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerMinion: 1}},
	}}})
	time.Sleep(3 * time.Second)
	if n := h.unavailable(); n > 0 {
		t.Fatalf("%d tasks don't run", n)
	}
	return h, p
}

// lateProvider carries out the first order of maintenance later than its answer is
// awaited.
type lateProvider struct {
	*fakeProvider
	first string
}

func (p *lateProvider) StartMaintenance(ctx context.Context, o MachineOrder, wave uint64) error {
	if p.first == "" {
		p.first = o.Machine
		time.AfterFunc(providerTimeout+time.Second/2, func() { _ = p.fakeProvider.StartMaintenance(context.Background(), o, wave) })
	}
	if p.first == o.Machine {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.fakeProvider.StartMaintenance(ctx, o, wave)
}

// Guards against tasks that count as available although an order without answer may
// still take their machine down.
func TestUnansweredOrderMakesTasksUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpreadWaveHarness(t)
		defer func() { h.endTerm() }()
		h.endTerm()
		h.fleet.Provider = &lateProvider{fakeProvider: p}
		h.startTerm()
		time.Sleep(2 * time.Second)
		h.startWave()
		time.Sleep(40 * time.Second)
		p.expectTasksKept(g)
		g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
	})
}

// Guards against the tasks of an incarnation, a lifetime of a minion's process, that
// count as available after it has ended: until its runs are released, or because the
// last answers of its minion are old.
func TestOnlyFreshAnswersMakeTasksAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newSpreadWaveHarness(t)
		defer h.endTerm()
		d := h.dispatcher
		m, _ := h.minionOf("m0")
		inc := batch.Incarnation{ID: "m0", StartedMS: m.startedMS}
		d.mu.Lock()
		s := d.sessions[inc]
		d.mu.Unlock()
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks))
		d.mu.Lock()
		s.closing = true
		d.mu.Unlock()
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks-1), "its end is being committed")
		d.mu.Lock()
		s.closing = false
		d.latest["m0"]++
		d.mu.Unlock()
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks-1), "a later incarnation is known")
		d.mu.Lock()
		d.latest["m0"]--
		d.mu.Unlock()
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks))
		s.mu.Lock()
		for _, o := range s.orders {
			o.statusAt -= maxStatusAge
		}
		s.mu.Unlock()
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks-1), "the answer was awaited for too long")
	})
}

// setCommitTime sets how long each commit takes.
func (h *harness) setCommitTime(commitTime time.Duration) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	h.node.commitTime = commitTime
}

// Guards against maintenance that was decided while all tasks were available and is
// ordered when they no longer are, since its commit took long: the minion of another
// machine has crashed meanwhile.
func TestOrderIsCheckedAgainWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpreadWaveHarness(t)
		defer h.endTerm()
		h.startWave()
		h.setCommitTime(2 * time.Second)
		crashed := ""
		time.Sleep(time.Second)
		pending := h.dispatcher.fleet.orders.pendingMachines()
		g.Expect(pending).To(HaveLen(1))
		for i := range 3 {
			if id := fmt.Sprint("m", i); id != pending[0] {
				crashed = id
			}
		}
		m, _ := h.minionOf(crashed)
		m.crash()
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		g.Expect(p.maintained).NotTo(ContainElement(pending[0]))
		p.mu.Unlock()
		h.setCommitTime(0)
		h.announce(h.cluster.add(crashed))
		time.Sleep(40 * time.Second)
		p.expectTasksKept(g)
		g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
	})
}

// Guards against maintenance that an earlier leader ordered, or was about to, and
// that its successor repeats while another task of the step is unavailable.
func TestRepeatedOrderWaitsForAvailability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpreadWaveHarness(t)
		defer func() { h.endTerm() }()
		h.endTerm()
		h.startWave()
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{Wave: 1, Services: []*apiv1.MachineService{{
			Machine: "m0", State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED, OrderedUnixMs: time.Now().UnixMilli(),
		}}}}})
		m, _ := h.minionOf("m1")
		m.crash()
		h.startTerm()
		time.Sleep(4 * time.Second)
		p.mu.Lock()
		g.Expect(p.maintained).NotTo(ContainElement("m0"))
		p.mu.Unlock()
		h.announce(h.cluster.add("m1"))
		time.Sleep(30 * time.Second)
		p.expectTasksKept(g)
		g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
	})
}

// waitingProvider waits for a connection before it writes an order of maintenance.
type waitingProvider struct {
	*fakeProvider
	waiting chan string
}

func (p *waitingProvider) StartMaintenance(ctx context.Context, o MachineOrder, wave uint64) error {
	select {
	case p.waiting <- o.Machine:
	default:
	}
	time.Sleep(time.Second)
	if !o.Permitted() {
		return ErrNotPermitted
	}
	return p.fakeProvider.StartMaintenance(ctx, o, wave)
}

// Guards against maintenance that is ordered while too many tasks are unavailable,
// since they were available when the order was handed to a client that then waited for
// a connection.
func TestOrderIsCheckedAgainWhenItIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpreadWaveHarness(t)
		defer func() { h.endTerm() }()
		h.endTerm()
		waiting := &waitingProvider{fakeProvider: p, waiting: make(chan string, 1)}
		h.fleet.Provider = waiting
		h.startTerm()
		time.Sleep(2 * time.Second)
		h.startWave()
		ordered := <-waiting.waiting
		crashed := "m0"
		if ordered == crashed {
			crashed = "m1"
		}
		m, _ := h.minionOf(crashed)
		m.crash()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		g.Expect(p.maintained).NotTo(ContainElement(ordered))
		p.mu.Unlock()
		h.announce(h.cluster.add(crashed))
		time.Sleep(40 * time.Second)
		p.expectTasksKept(g)
		g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
	})
}

// Guards against the relocation of a task, a stop before the maintenance of its
// machine, that is sent long after it was decided, when other tasks of the step have
// become unavailable.
func TestRelocationIsCheckedAgainWhenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newSpreadWaveHarness(t)
		defer h.endTerm()
		m, _ := h.minionOf("m0")
		d := h.dispatcher
		s := d.session(batch.Incarnation{ID: "m0", StartedMS: m.startedMS})
		var run batch.RunKey
		h.node.machine.Read(func(st *state.State) { run = st.Batch.LoadOf(s.target.Incarnation).Runs()[0].Key() })
		isRunning := func() bool {
			h.cluster.mu.Lock()
			defer h.cluster.mu.Unlock()
			_, running := m.running[run]
			return running
		}
		for range maxParallelOrders {
			s.orderSlots <- struct{}{}
		}
		d.fleet.relocate(run)
		other, _ := h.minionOf("m1")
		other.crash()
		time.Sleep(time.Second)
		g.Expect(isRunning()).To(BeTrue(), "no stop can be sent")
		for range maxParallelOrders {
			<-s.orderSlots
		}
		time.Sleep(time.Second)
		g.Expect(isRunning()).To(BeTrue(), "another task is unavailable")
		h.announce(h.cluster.add("m1"))
		time.Sleep(3 * time.Second)
		g.Expect(h.unavailable()).To(BeZero())
		d.fleet.relocate(run)
		time.Sleep(100 * time.Millisecond)
		g.Expect(isRunning()).To(BeFalse(), "all tasks are available")
	})
}

// Guards against a wave that never completes, or makes too many tasks unavailable,
// because each commit takes longer than what is known of the tasks stays valid.
func TestWaveCompletesWithSlowCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpreadWaveHarness(t)
		defer h.endTerm()
		h.startWave()
		h.setCommitTime(2 * maxStatusAge)
		time.Sleep(3 * time.Minute)
		p.expectTasksKept(g)
		g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
	})
}
