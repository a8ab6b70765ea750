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

// listTime is how long a slow list takes.
const listTime = 150 * time.Millisecond

// listingProvider is a fakeProvider whose list can lack machines or have entries for
// them that can't be used, and which takes time to answer with the list as it was when
// it was asked for.
type listingProvider struct {
	*fakeProvider
	listMu sync.Mutex
	// missing are the machines that the list lacks.
	missing []string
	// unusable are the machines whose entries can't be used, and unnamed those whose
	// entries don't name them either.
	unusable, unnamed []string
	answerTime        time.Duration
	readings          int
	// poweredOff is a machine that the list shows in the pool "off", without a minion.
	poweredOff string
	// torn makes the next list lack m2, as if a machine before it had left between the
	// readings of two pages.
	torn bool
}

func (p *listingProvider) Machines(ctx context.Context) (MachineList, error) {
	list, err := p.fakeProvider.Machines(ctx)
	p.listMu.Lock()
	p.readings++
	list.Machines = slices.DeleteFunc(list.Machines, func(m Machine) bool {
		return slices.Contains(slices.Concat(p.missing, p.unusable, p.unnamed), m.ID)
	})
	if p.torn {
		list.Machines = slices.DeleteFunc(list.Machines, func(m Machine) bool { return m.ID == "m2" })
		p.torn = false
	}
	for i := range list.Machines {
		if m := &list.Machines[i]; m.ID == p.poweredOff && m.State == MachineUp {
			m.Pool, m.MinionID = "off", ""
		}
	}
	list.Unusable, list.Unnamed = slices.Clone(p.unusable), len(p.unnamed)
	answerTime := p.answerTime
	p.listMu.Unlock()
	time.Sleep(answerTime)
	return list, err
}

func (p *listingProvider) setMissing(machines ...string) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.missing = machines
}

// setUnreadable makes the entries of machines unusable, with or without their names.
func (p *listingProvider) setUnreadable(named bool, machines ...string) {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if named {
		p.unusable = machines
		return
	}
	p.unnamed = machines
}

func (p *listingProvider) numReadings() int {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.readings
}

func (p *listingProvider) maintainedMachines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.maintained)
}

// newListingHarness is like newWaveHarness, with a list that takes answerTime and lacks
// m2. The leader has read it at least once.
func newListingHarness(t *testing.T, answerTime time.Duration) (*harness, *listingProvider) {
	h, fake := newWaveHarness(t)
	h.endTerm()
	p := &listingProvider{fakeProvider: fake, missing: []string{"m2"}, answerTime: answerTime}
	h.fleet.Provider = p
	h.startTerm()
	time.Sleep(2*time.Second + answerTime)
	return h, p
}

// expectWaveCompleted expects that each machine of the wave had its maintenance.
func (p *listingProvider) expectWaveCompleted(g *WithT, description ...any) {
	g.Expect(p.harness.maintenanceStates()).To(HaveEach(apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED), description...)
	g.Expect(p.maintainedMachines()).To(ConsistOf("m0", "m1", "m2"), description...)
}

// Guards against a wave that completes without the maintenance of a machine that was
// added just before: the list of machines was asked for before the wave was accepted,
// lacks the machine, and may be answered later. The leader may be a new one.
func TestWaveAwaitsMachineAddedBeforeIt(t *testing.T) {
	for name, answerTime := range map[string]time.Duration{"list is older": 0, "list is on its way": listTime} {
		t.Run(name, func(t *testing.T) { testMachineAddedBeforeWave(t, answerTime, false) })
		t.Run(name+" and leader is new", func(t *testing.T) { testMachineAddedBeforeWave(t, answerTime, true) })
	}
}

func testMachineAddedBeforeWave(t *testing.T, answerTime time.Duration, newLeader bool) {
	for offset := time.Duration(0); offset < idleListInterval; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newListingHarness(t, answerTime)
			defer func() { h.endTerm() }()
			if newLeader {
				h.endTerm()
				h.startTerm()
			}
			time.Sleep(offset)
			p.setMissing()
			h.startWave()
			time.Sleep(40 * time.Second)
			p.expectWaveCompleted(g, "wave after %v", offset)
		})
	}
}

// Guards against a machine that joins with the wave and is missed by a leader whose
// term begins between the two.
func TestWaveAwaitsMachineAddedBeforeChangeOfLeader(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newListingHarness(t, listTime)
			defer func() { h.endTerm() }()
			time.Sleep(offset)
			p.setMissing()
			h.startWave()
			time.Sleep(fleetInterval)
			h.endTerm()
			h.startTerm()
			time.Sleep(40 * time.Second)
			p.expectWaveCompleted(g, "change of leader after %v", offset)
		})
	}
}

// Guards against a wave that never completes because one of its machines has left the
// fleet, and against a list that is read in each round until then.
func TestWaveCompletesWithoutMachineThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, p := newListingHarness(t, 0)
		defer func() { h.endTerm() }()
		h.startWave()
		before := p.numReadings()
		time.Sleep(2 * time.Second)
		g.Expect(p.readings - before).To(BeNumerically("<=", 8))
		time.Sleep(30 * time.Second)
		finished := apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
		g.Expect(h.maintenanceStates()).To(Equal([]apiv1.MachineServiceState{finished, finished, apiv1.MachineServiceState_MACHINE_SERVICE_STATE_GONE}))
		g.Expect(p.maintainedMachines()).To(ConsistOf("m0", "m1"))
	})
}

// Guards against a wave that completes without the maintenance of a machine whose entry
// in the list can't be read for a while, before, during or after its order.
func TestWaveAwaitsMachineWithUnreadableEntry(t *testing.T) {
	for name, named := range map[string]bool{"entry names the machine": true, "entry names no machine": false} {
		t.Run(name, func(t *testing.T) {
			for offset := -time.Second; offset <= 2*time.Second; offset += 130 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					h, p := newListingHarness(t, 0)
					defer func() { h.endTerm() }()
					p.setMissing()
					time.Sleep(idleListInterval)
					time.AfterFunc(time.Second+offset, func() { p.setUnreadable(named, "m2") })
					time.AfterFunc(time.Second+offset+3*time.Second, func() { p.setUnreadable(named) })
					time.Sleep(time.Second)
					h.startWave()
					time.Sleep(40 * time.Second)
					p.expectWaveCompleted(g, "entry unreadable from %v after the wave on", offset)
				})
			}
		})
	}
}

// Guards against a wave that completes without the maintenance of a machine that one
// list of several pages misses: a machine before it left between two pages, and the
// later ones moved up.
func TestWaveAwaitsMachineThatOneListMisses(t *testing.T) {
	for offset := time.Duration(0); offset <= 2*time.Second; offset += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newListingHarness(t, 0)
			defer func() { h.endTerm() }()
			p.setMissing()
			time.Sleep(idleListInterval)
			h.startWave()
			time.Sleep(offset)
			p.listMu.Lock()
			p.torn = true
			p.listMu.Unlock()
			time.Sleep(40 * time.Second)
			p.expectWaveCompleted(g, "list torn %v after the wave", offset)
		})
	}
}

// Guards against a repeated order for a machine whose entry in the list can't be read:
// it isn't known which tasks the order would end.
func TestOrderIsNotRepeatedForMachineWithUnreadableEntry(t *testing.T) {
	for name, named := range map[string]bool{"entry names the machine": true, "entry names no machine": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h, p := newListingHarness(t, 0)
				defer func() { h.endTerm() }()
				h.endTerm()
				p.setMissing()
				silent := &unansweredProvider{listingProvider: p}
				h.fleet.Provider = silent
				h.startTerm()
				time.Sleep(2 * time.Second)
				h.startWave()
				time.Sleep(time.Second)
				p.setUnreadable(named, silent.firstMachine())
				time.Sleep(10 * time.Second)
				g.Expect(silent.numOrders()).To(Equal(1))
				p.setUnreadable(named)
				time.Sleep(30 * time.Second)
				p.expectWaveCompleted(g)
			})
		})
	}
}

// Guards against a wave none of whose machines gets its maintenance while the provider
// takes long to answer with its list, though it answers.
func TestWaveCompletesWhileListTakesLong(t *testing.T) {
	for _, answerTime := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newListingHarness(t, answerTime)
			defer func() { h.endTerm() }()
			p.setMissing()
			h.startWave()
			time.Sleep(40 * time.Second)
			p.expectWaveCompleted(g, "list takes %v", answerTime)
		})
	}
}

// Guards against maintenance by a list that took long, of a machine that it shows
// without a minion: one may have started there and have tasks.
func TestMachineWithoutMinionGetsNoMaintenanceByOldList(t *testing.T) {
	for answerTime, maintained := range map[time.Duration]bool{900 * time.Millisecond: true, 1500 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newListingHarness(t, answerTime)
			defer func() { h.endTerm() }()
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
				Version: 2, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "off", Spare: true}},
				Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
			}}})
			p.listMu.Lock()
			p.missing, p.poweredOff = nil, "m2"
			p.listMu.Unlock()
			time.Sleep(idleListInterval + answerTime)
			h.startWave()
			time.Sleep(40 * time.Second)
			g.Expect(p.maintainedMachines()).To(ContainElements("m0", "m1"))
			g.Expect(slices.Contains(p.maintainedMachines(), "m2")).To(Equal(maintained), "list takes %v", answerTime)
			if !maintained {
				g.Expect(h.maintenanceStates()[2]).To(Equal(apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED), "an order would count against the limit of the wave")
			}
		})
	}
}

// unansweredProvider neither carries out nor answers the first order of maintenance. It
// counts the orders for that machine.
type unansweredProvider struct {
	*listingProvider
	first  string
	orders int
}

func (p *unansweredProvider) StartMaintenance(ctx context.Context, o MachineOrder, wave uint64) error {
	p.listMu.Lock()
	unanswered := p.first == ""
	if unanswered {
		p.first = o.Machine
	}
	if o.Machine == p.first {
		p.orders++
	}
	p.listMu.Unlock()
	if unanswered {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.listingProvider.StartMaintenance(ctx, o, wave)
}

func (p *unansweredProvider) firstMachine() string {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.first
}

func (p *unansweredProvider) numOrders() int {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	return p.orders
}
