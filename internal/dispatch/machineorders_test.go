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
)

// Guards against more orders than the platform takes, and against two orders
// for one machine at the same time.
func TestOrdersKeepToThePlatformsRate(t *testing.T) {
	g := NewWithT(t)
	o := newMachineOrders(20)
	now, sent := time.Duration(0), 0
	for ; now < 2*time.Second; now += 10 * time.Millisecond {
		for o.room(now) > 0 {
			machine := fmt.Sprint("m", sent)
			g.Expect(o.begin(machine, now)).To(BeTrue())
			sent++
			o.answered(machineAnswer{call: machineCall{machine: machine}})
		}
	}
	g.Expect(sent).To(BeNumerically("<=", 2*20+20/orderBurst))
	g.Expect(sent).To(BeNumerically(">=", 2*20-1))
	g.Expect(o.take()).To(HaveLen(sent))
	now += time.Second
	g.Expect(o.begin("m", now)).To(BeTrue())
	g.Expect(o.begin("m", now)).To(BeFalse())
	g.Expect(o.hold("m")).To(BeFalse())
	o.answered(machineAnswer{call: machineCall{machine: "m"}})
	g.Expect(o.hold("m")).To(BeTrue())
	g.Expect(o.begin("m", now)).To(BeFalse())
	o.release("m")
	g.Expect(o.begin("m", now)).To(BeTrue())
}

// Guards against a platform that takes more orders at once than may be open.
func TestOpenOrdersAreBounded(t *testing.T) {
	g := NewWithT(t)
	o := newMachineOrders(0)
	for i := range maxOpenOrders {
		g.Expect(o.begin(fmt.Sprint("m", i), 0)).To(BeTrue())
	}
	g.Expect(o.room(0)).To(BeZero())
	g.Expect(o.begin("one more", 0)).To(BeFalse())
}

// slowMover answers a move long after it was sent; the move ends the minion
// only with the answer.
type slowMover struct {
	r  *rig
	mu sync.Mutex
	// begun holds when the move of each machine was sent, startsThen how many
	// tasks its minion had begun by then.
	begun map[string]time.Time
	moved map[string]bool
}

const slowMove = 900 * time.Millisecond

func (p *slowMover) Machines(context.Context) ([]Machine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Machine
	for i := range 2 {
		id := fmt.Sprint("m", i)
		m := Machine{ID: id, Pool: "p", State: MachineUp, MinionID: id, Capacity: &apiv1.Resources{CpuMillis: 4000}}
		if p.moved[id] {
			m.Pool, m.MinionID = "off", ""
		}
		out = append(out, m)
	}
	return out, nil
}

func (p *slowMover) Move(_ context.Context, o MachineOrder, _ string) error {
	p.mu.Lock()
	p.begun[o.Machine] = time.Now()
	p.mu.Unlock()
	time.Sleep(slowMove)
	p.r.w.mu.Lock()
	m := p.r.w.minions[o.Machine]
	if n := len(m.running); n > 0 {
		p.r.t.Errorf("%s is moved away with %d tasks that were given to it after the order", o.Machine, n)
	}
	m.end()
	m.dark = true
	p.r.w.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moved[o.Machine] = true
	return nil
}

func (p *slowMover) Service(context.Context, MachineOrder, uint64) error {
	return &ProviderRefusal{Reason: ProviderUnknown}
}

// Guards against work that is given to a minion whose machine has an order on
// its way: the order would end it.
func TestMachineOnItsWayGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.stop()
		r.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
			Version: 2, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "off", Spare: true}},
			Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
		}}})
		p := &slowMover{r: r, begun: map[string]time.Time{}, moved: map[string]bool{}}
		r.fleet = FleetOptions{Provider: p, Holder: "leader"}
		r.lead()
		defer r.stop()
		for i := range 2 {
			r.announce(r.w.add(fmt.Sprint("m", i)))
		}
		jobs := 0
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			p.mu.Lock()
			onItsWay := len(p.begun) > len(p.moved)
			p.mu.Unlock()
			if onItsWay {
				r.submit(fmt.Sprint("job", jobs), 3)
				jobs++
			}
		}
		if jobs == 0 {
			t.Fatal("no machine was moved")
		}
	})
}
