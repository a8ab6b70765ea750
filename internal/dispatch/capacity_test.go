package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Guards against machines that are moved to a growing pool only when it already
// lacks CPU, and against a forecast that takes one large job for an endless
// trend.
func TestForecastGrowthFollowsTrend(t *testing.T) {
	g := NewWithT(t)
	ramp := func(from, step int64) []demandSample {
		var out []demandSample
		for at := time.Duration(0); at <= 2*time.Second; at += 100 * time.Millisecond {
			out = append(out, demandSample{at, from + step*int64(at/(100*time.Millisecond))})
		}
		return out
	}
	now := 2 * time.Second
	wantGrowth := int64(moveLeadTime / time.Millisecond)
	g.Expect(forecastGrowth(ramp(1000, 100), now)).To(Equal(wantGrowth), "1,000 more per second")
	g.Expect(forecastGrowth(ramp(5000, -100), now)).To(BeZero(), "a falling demand")
	g.Expect(forecastGrowth(ramp(1000, 0), now)).To(BeZero())
	jump := append(ramp(0, 0), demandSample{now, 700})
	g.Expect(forecastGrowth(jump, now)).To(BeEquivalentTo(700), "at most doubles")
	g.Expect(forecastGrowth([]demandSample{{now, 500}}, now)).To(BeZero(), "one sample shows no trend")
}

// Guards against a pool whose shortage is not seen because its machines count with
// their full capacity while their minions have shrunk. On the way to another pool
// a machine counts in full again.
func TestMachineCountsWithCapacityOfItsMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		m := h.cluster.add("a")
		h.setCapacity(m, 3*taskCPUMillis)
		h.announce(m)
		f := newFleetManager(h.dispatcher, 0)
		shrunk := func() int64 {
			var out placement.Machine
			h.node.machine.Read(func(st *state.State) {
				machine := Machine{ID: "x", Pool: "p", MinionID: "a", Capacity: &apiv1.Resources{CpuMillis: 4 * taskCPUMillis}}
				out = f.poolMachine(st.Batch, machine, false, nil, 0)
			})
			return out.ShrunkCPUMillis
		}
		g.Expect(shrunk()).To(BeEquivalentTo(taskCPUMillis))
		h.setCapacity(m, 5*taskCPUMillis)
		time.Sleep(time.Second)
		h.announce(m)
		g.Expect(shrunk()).To(BeZero(), "never less than nothing")
		h.setCapacity(m, 0)
		time.Sleep(time.Second)
		h.announce(m)
		f.movingTo["x"] = "other"
		g.Expect(shrunk()).To(BeZero())
	})
}

// Guards against demands that are limited to the leader's rate while the leader can
// start all that has room, and against a rate that stays in force when that is so
// again.
func TestStartRateIsKnownWhileTheLeaderIsTheLimit(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission()
	const second = time.Second
	isLimited := func(now time.Duration) bool {
		_, limited := a.startRate(now)
		return limited
	}
	a.observeRound(second, true, startTotals{answered: 100})
	g.Expect(isLimited(second)).To(BeFalse(), "one round may be cut by a large job")
	for now := second; now < 2*second; now += 100 * time.Millisecond {
		a.observeRound(now, true, startTotals{answered: 100 + uint64((now-second)/time.Millisecond)})
	}
	rate, limited := a.startRate(2 * second)
	g.Expect(limited).To(BeTrue())
	g.Expect(rate).To(BeNumerically("~", 1000, 1))
	g.Expect(isLimited(2*second + limitedAge)).To(BeFalse())
}

// Load: callers that were refused come back together. Guards against machines that
// are ordered for them before the leader is found to be the limit again, and powered
// off soon after.
func TestDemandsStayLimitedWhileCallersAreAway(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission()
	f := &fleetManager{d: &Dispatcher{admission: a}}
	a.observeRound(0, true, startTotals{answered: 0})
	for now := 100 * time.Millisecond; now <= time.Second; now += 100 * time.Millisecond {
		a.observeRound(now, true, startTotals{answered: uint64(now / time.Millisecond)})
	}
	startable := func(now time.Duration) int64 {
		demands := map[string]placement.Demand{"p": {Ready: 8_000_000, FiniteCPU: 8_000_000, FiniteTasks: 1000, FiniteTaskMS: 100_000}}
		f.limitDemands(demands, now)
		return demands["p"].CPU()
	}
	g.Expect(startable(time.Second)).To(BeNumerically("~", 1_000_000, 10_000), "1,250 starts a second keep 125 tasks running")
	g.Expect(startable(time.Second + startRateMemory)).To(BeNumerically("~", 1_000_000, 10_000))
	g.Expect(startable(time.Second + 2*startRateMemory)).To(BeEquivalentTo(8_000_000))
}
