package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const serviceTime = 500 * time.Millisecond

// fakeProvider runs each minion of the world on a machine of the same name and
// checks what its services take from the long-running step.
type fakeProvider struct {
	harness  *harness
	mu       sync.Mutex
	down     map[string]time.Time
	services []string
	// loseAnswers: the first order for a machine is carried out, but its answer
	// is lost.
	loseAnswers bool
	// ended counts, at each service, the tasks at work that it ended, and those
	// of the step that were away before.
	ended, away []int
}

func (p *fakeProvider) Machines(context.Context) ([]Machine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Machine
	for i := range 3 {
		id := fmt.Sprint("m", i)
		m := Machine{ID: id, Pool: "p", State: MachineUp, MinionID: id, Capacity: &apiv1.Resources{CpuMillis: 4000}}
		if since, ok := p.down[id]; ok && time.Since(since) < serviceTime {
			m.State, m.MinionID = MachineInMaintenance, ""
		}
		out = append(out, m)
	}
	return out, nil
}

func (p *fakeProvider) Move(context.Context, MachineOrder, string) error {
	return &ProviderRefusal{Reason: ProviderNoSuchMachine}
}

func (p *fakeProvider) StartMaintenance(_ context.Context, o MachineOrder, _ uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, done := p.down[o.Machine]; done {
		return nil
	}
	p.harness.cluster.mu.Lock()
	working := 0
	for _, m := range p.harness.cluster.minions {
		working += len(m.running)
	}
	p.ended = append(p.ended, len(p.harness.cluster.minions[o.Machine].running))
	p.away = append(p.away, longRunningTasks-working)
	p.harness.cluster.mu.Unlock()
	p.services = append(p.services, o.Machine)
	p.down[o.Machine] = time.Now()
	time.AfterFunc(serviceTime, func() { p.harness.announce(p.harness.cluster.add(o.Machine)) })
	p.harness.cluster.mu.Lock()
	p.harness.cluster.minions[o.Machine].kill()
	p.harness.cluster.minions[o.Machine].unreachable = true
	p.harness.cluster.mu.Unlock()
	if p.loseAnswers {
		return context.DeadlineExceeded
	}
	return nil
}

const longRunningTasks = 3

func newWaveHarness(t *testing.T) (*harness, *fakeProvider) {
	h := newHarness(t, 1)
	h.endTerm()
	p := &fakeProvider{harness: h, down: map[string]time.Time{}}
	h.fleet = FleetOptions{Provider: p, Holder: "leader", MaintenanceTime: serviceTime}
	h.startTerm()
	h.cluster.endless = true
	for i := range 3 {
		h.announce(h.cluster.add(fmt.Sprint("m", i)))
	}
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: "lasting", Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p"},
		Steps: []*apiv1.BatchStep{{Count: longRunningTasks, Resources: &apiv1.Resources{CpuMillis: 1000}, LongRunning: true, MaxUnavailable: 1}},
	}}})
	time.Sleep(3 * time.Second)
	return h, p
}

func (h *harness) startWave() {
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{
		Number: 1, Machines: []string{"m0", "m1", "m2"}, MaxDown: 3, DueUnixMs: time.Now().Add(20 * time.Second).UnixMilli(),
	}}})
}

// Guards against a wave that ends more tasks of a long-running step than it may
// miss, with two of them on one machine, and against one that never ends.
func TestWaveKeepsLongRunningTasksAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newWaveHarness(t)
		defer h.endTerm()
		h.startWave()
		time.Sleep(30 * time.Second)
		g.Expect(p.services).To(ConsistOf("m0", "m1", "m2"))
		for i := range p.services {
			if p.ended[i] > 0 {
				g.Expect(p.ended[i]+p.away[i]).To(BeNumerically("<=", 1), "service %d of %v", i, p.services)
			}
		}
		done := false
		h.node.machine.Read(func(s *state.State) { done = s.Batch.Wave(1).Completed })
		g.Expect(done).To(BeTrue())
	})
}

// Guards against a service of a machine whose minion has not answered lately:
// its tasks may be at work although no report says so.
func TestSilentMachineIsNotServiced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newWaveHarness(t)
		defer h.endTerm()
		h.cluster.mu.Lock()
		silent := ""
		for id, m := range h.cluster.minions {
			if len(m.running) > 1 {
				silent = id
				m.unreachable = true
			}
		}
		h.cluster.mu.Unlock()
		g.Expect(silent).NotTo(BeEmpty())
		time.Sleep(maxHoldAge)
		h.startWave()
		time.Sleep(200 * time.Millisecond)
		p.mu.Lock()
		defer p.mu.Unlock()
		g.Expect(p.services).NotTo(ContainElement(silent))
	})
}

// Guards against a service of a machine whose tasks have ended without the
// leader knowing: their ends go with the minion, and they would run again.
func TestServiceWaitsForTheEndsOfTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newWaveHarness(t)
		defer h.endTerm()
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "lasting", AnyAccount: true}}})
		time.Sleep(3 * time.Second)
		h.submit("job0", 3)
		time.Sleep(100 * time.Millisecond)
		h.cluster.mu.Lock()
		busy := ""
		for id, m := range h.cluster.minions {
			if len(m.running) > 0 {
				busy = id
				m.unreachable = true
			}
		}
		h.cluster.mu.Unlock()
		g.Expect(busy).NotTo(BeEmpty())
		h.startWave()
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		g.Expect(p.services).NotTo(BeEmpty())
		g.Expect(p.services).NotTo(ContainElement(busy))
	})
}

// Guards against a repeated order whose answer, that it is done, is taken for
// the end of the minion that came after the service: its tasks would run twice.
func TestRepeatedOrderSparesTheNextMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newWaveHarness(t)
		defer h.endTerm()
		p.loseAnswers = true
		h.startWave()
		time.Sleep(30 * time.Second)
		g.Expect(p.services).To(ConsistOf("m0", "m1", "m2"))
	})
}
