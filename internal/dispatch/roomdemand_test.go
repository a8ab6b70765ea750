package dispatch

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// spareProvider has one machine in the pool "p" and others that are powered off, in the
// pool "off". A machine that is moved or maintained has a new minion after a while.
type spareProvider struct {
	harness *harness
	mu      sync.Mutex
	// machines holds them by id; one that is away is up again, with its minion, at back.
	machines   map[string]Machine
	back       map[string]time.Time
	maintained []string
	moves      int
}

func newSpareHarness(t *testing.T) (*harness, *spareProvider) {
	h := newHarness(t, 1)
	h.endTerm()
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 2, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "off", Spare: true}},
		Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
	}}})
	p := &spareProvider{harness: h, machines: map[string]Machine{}, back: map[string]time.Time{}}
	for id, pool := range map[string]string{"m0": "p", "m1": "off", "m2": "off", "m3": "off"} {
		p.machines[id] = Machine{ID: id, Pool: pool, State: MachineUp, Capacity: &apiv1.Resources{CpuMillis: 4000}}
	}
	h.fleet = FleetOptions{Provider: p, Holder: "leader", MaintenanceTime: maintenanceTime}
	h.cluster.endless = true
	h.startTerm()
	p.start("m0")
	return h, p
}

// start starts a minion on a machine.
func (p *spareProvider) start(id string) {
	minion := p.harness.cluster.add(id)
	p.mu.Lock()
	m := p.machines[id]
	m.State, m.MinionID = MachineUp, id
	p.machines[id] = m
	p.mu.Unlock()
	p.harness.announce(minion)
}

// stop ends the minion of a machine, and starts another one in the pool later.
func (p *spareProvider) stop(id, pool string, state MachineState) {
	p.mu.Lock()
	m := p.machines[id]
	hadMinion := m.MinionID != ""
	m.Pool, m.State, m.MinionID = pool, state, ""
	p.machines[id] = m
	p.mu.Unlock()
	if hadMinion {
		p.harness.cluster.mu.Lock()
		p.harness.cluster.minions[id].kill()
		p.harness.cluster.minions[id].unreachable = true
		p.harness.cluster.mu.Unlock()
	}
	if pool != "off" {
		time.AfterFunc(1500*time.Millisecond, func() { p.start(id) })
	}
}

func (p *spareProvider) Machines(context.Context) (MachineList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out MachineList
	for _, m := range p.machines {
		out.Machines = append(out.Machines, m)
	}
	return out, nil
}

func (p *spareProvider) Move(_ context.Context, o MachineOrder, pool string) error {
	p.mu.Lock()
	p.moves++
	p.mu.Unlock()
	state := MachineMoving
	if pool == "off" {
		state = MachineUp
	}
	p.stop(o.Machine, pool, state)
	return nil
}

func (p *spareProvider) StartMaintenance(_ context.Context, o MachineOrder, _ uint64) error {
	p.mu.Lock()
	done := slices.Contains(p.maintained, o.Machine)
	if !done {
		p.maintained = append(p.maintained, o.Machine)
	}
	p.mu.Unlock()
	if !done {
		p.stop(o.Machine, "p", MachineInMaintenance)
	}
	return nil
}

// submitTwo submits a job of two long-running tasks, one of which may be unavailable.
func (h *harness) submitTwo(maxPerMinion uint32) {
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: "two", Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p"},
		Steps: []*apiv1.BatchStep{{Count: 2, Resources: &apiv1.Resources{CpuMillis: taskCPUMillis}, LongRunning: true, MaxUnavailable: 1, MaxPerMinion: maxPerMinion}},
	}}})
}

func (h *harness) runningTasks() (n int) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	for _, m := range h.cluster.minions {
		n += len(m.running)
	}
	return n
}

// Guards against a task that waits without end beside powered-off machines: its pool has
// the CPU for it, and its step allows no second task on a minion. Also guards against more
// machines than it needs.
func TestTaskWithoutRoomGetsAMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpareHarness(t)
		defer h.endTerm()
		time.Sleep(2 * time.Second)
		h.submitTwo(1)
		time.Sleep(3 * time.Second)
		g.Expect(h.runningTasks()).To(Equal(2))
		time.Sleep(20 * time.Second)
		g.Expect(p.moves).To(Equal(1))
	})
}

// Guards against a wave that waits without end for a machine whose tasks fit nowhere else
// in their pool, beside machines that are powered off.
func TestMachineOfWaveIsReplacedWhileItsTasksHaveNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpareHarness(t)
		defer h.endTerm()
		time.Sleep(2 * time.Second)
		h.submitTwo(2)
		time.Sleep(2 * time.Second)
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{
			Number: 1, Machines: []string{"m0"}, MaxDown: 1, DueUnixMs: time.Now().Add(20 * time.Second).UnixMilli(),
		}}})
		time.Sleep(20 * time.Second)
		g.Expect(p.maintained).To(ConsistOf("m0"))
		g.Expect(h.runningTasks()).To(Equal(2))
	})
}

// Load: the pool of a long-running task has CPU to spare, and another pool asks for more
// than the fleet has. Guards against a task that waits beside a minion with room, which is
// reserved for the other pool until a finite task there ends.
func TestTaskWithoutRoomStartsOnAMinionThatAnotherPoolWants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newSpareHarness(t)
		defer h.endTerm()
		p.mu.Lock()
		clear(p.machines)
		p.mu.Unlock()
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
			Version: 3, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "wanting"}},
			Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}, {Name: "w", Pool: "wanting", MaxAttempts: 3}},
		}}})
		const cpu = 40 * taskCPUMillis
		for _, id := range []string{"m0", "m1"} {
			p.mu.Lock()
			p.machines[id] = Machine{ID: id, Pool: "p", State: MachineUp, MinionID: id, Capacity: &apiv1.Resources{CpuMillis: cpu}}
			p.mu.Unlock()
			m := h.cluster.add(id)
			h.setCapacity(m, cpu)
			h.announce(m)
		}
		time.Sleep(3 * time.Second)
		submit := func(id, queue, pool string, step *apiv1.BatchStep) {
			step.Resources = &apiv1.Resources{CpuMillis: taskCPUMillis}
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
				Id: id, Queue: queue, AcceptedQueue: &apiv1.BatchQueue{Name: queue, Pool: pool}, Steps: []*apiv1.BatchStep{step},
			}}})
		}
		submit("finite", "q", "p", &apiv1.BatchStep{Count: 2, MaxPerMinion: 1, EstimatedMs: 400})
		time.Sleep(time.Second)
		submit("many", "w", "wanting", &apiv1.BatchStep{Count: 200, EstimatedMs: 400})
		time.Sleep(time.Second)
		submit("lasting", "q", "p", &apiv1.BatchStep{Count: 2, MaxPerMinion: 1, LongRunning: true})
		time.Sleep(3 * time.Second)
		g.Expect(h.runningTasks()).To(Equal(4))
		g.Expect(p.moves).To(BeZero())
	})
}
