package dispatch

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// restartDelay is how long a crashed minion is away.
const restartDelay = 3400 * time.Millisecond

// crashes returns the certain crashes under a task, and those that are possible.
func (h *harness) crashes(ref batch.TaskRef) (certain, possible uint32) {
	h.node.machine.Read(func(s *state.State) {
		j := s.Batch.Job(ref.Job)
		certain, possible = j.Occurrence(0).Steps[ref.Step].Tasks[ref.Index].Crashes, j.Crashes(ref)
	})
	return certain, possible
}

// Guards against a task that is started again and again although each minion that
// starts it crashes, however the crash is recognized and also when the leader
// changes before it is.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	restart := func(h *harness, id func(m *fakeMinion) string) func(m *fakeMinion) {
		return func(m *fakeMinion) {
			time.Sleep(restartDelay)
			h.announce(h.cluster.addAt(m.address, id(m)))
		}
	}
	sameID := func(m *fakeMinion) string { return m.id }
	otherID := func(m *fakeMinion) string { return m.id + "'" }
	for name, afterCrash := range map[string]func(h *harness) func(m *fakeMinion){
		"another id answers": func(h *harness) func(m *fakeMinion) { return restart(h, otherID) },
		"same id answers":    func(h *harness) func(m *fakeMinion) { return restart(h, sameID) },
		"refused until the lease expires": func(*harness) func(m *fakeMinion) {
			return func(*fakeMinion) {}
		},
		"back after the lease": func(h *harness) func(m *fakeMinion) {
			return func(m *fakeMinion) {
				h.setUnreachable(m, true)
				time.Sleep(2 * testMaxLease)
				h.announce(h.cluster.addAt(m.address, otherID(m)))
			}
		},
		"back after the lease, late announcement": func(h *harness) func(m *fakeMinion) {
			return func(m *fakeMinion) {
				h.setUnreachable(m, true)
				time.Sleep(2 * testMaxLease)
				h.announce(m)
				h.announce(h.cluster.addAt(m.address, otherID(m)))
			}
		},
		"maintenance ordered, not carried out": func(h *harness) func(m *fakeMinion) {
			wave := uint64(0)
			return func(m *fakeMinion) {
				wave++
				h.orderMaintenance(wave, m.address)
				h.dispatcher.recordMachines([]Machine{{ID: m.address, MinionID: m.id}})
				restart(h, otherID)(m)
			}
		},
		"leader changes": func(h *harness) func(m *fakeMinion) {
			return func(m *fakeMinion) {
				h.endTerm()
				h.startTerm()
				restart(h, otherID)(m)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				task := batch.TaskRef{Job: "job0"}
				h.cluster.deadly[task] = true
				h.cluster.afterCrash = afterCrash(h)
				for i := range 4 {
					h.announce(h.cluster.add(fmt.Sprint("m", i)))
				}
				h.submit("job0", 1)
				time.Sleep(100 * time.Second)
				h.cluster.mu.Lock()
				h.cluster.deadly[task] = false
				h.cluster.mu.Unlock()
				time.Sleep(2 * restartDelay)
				most := batch.MaxCrashes
				if strings.HasPrefix(name, "back after the lease") || strings.HasPrefix(name, "maintenance ordered") {
					most += 2 // a third start after three crashes would be one too many
				}
				g.Expect(h.cluster.deadlyStarts).To(Equal(most))
				g.Expect(h.state("job0")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
			})
		})
	}
}

// Guards against a crash that is counted against a task whose minion was only
// silent, had announced that it leaves, or was ended by an order for its machine.
func TestEndsWithoutCrashCountNothing(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(h *harness, m *fakeMinion)
		crashes uint32
	}{
		"crash":  {func(_ *harness, m *fakeMinion) { m.crash() }, 1},
		"silent": {func(h *harness, m *fakeMinion) { h.setUnreachable(m, true) }, 0},
		"leaves": {func(h *harness, m *fakeMinion) {
			req := &apiv1.AnnounceMinionRequest{Leaves: true, Minion: &apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: m.id}}}
			if err := h.dispatcher.Announce(h.t.Context(), req); err != nil {
				h.t.Error(err)
			}
			time.Sleep(2 * planInterval)
			m.crash()
		}, 0},
		"leaves before the leader changes": {func(h *harness, m *fakeMinion) {
			record := m.record()
			record.Draining = true
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{record}}}})
			h.endTerm()
			h.startTerm()
			m.crash()
		}, 0},
		"moved by an earlier leader": {func(h *harness, m *fakeMinion) {
			h.endTerm()
			m.crash()
			h.fleet = FleetOptions{Provider: &fakeProvider{harness: h}, Holder: "leader"}
			h.startTerm()
		}, 0},
		"maintained by an earlier leader's order": {func(h *harness, m *fakeMinion) {
			h.orderMaintenance(1, "m0")
			m.crash()
		}, 0},
		"another machine is maintained": {func(h *harness, m *fakeMinion) {
			h.orderMaintenance(1, "m1")
			h.dispatcher.recordMachines([]Machine{{ID: "m0", MinionID: "m0"}})
			m.crash()
		}, 1},
		"restarts while there is no leader": {func(h *harness, _ *fakeMinion) {
			h.endTerm()
			next := h.cluster.add("m0")
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{next.record()}}}})
			h.startTerm()
		}, 0},
		"moved, order unanswered": {func(h *harness, m *fakeMinion) { h.orderEnd(m, context.DeadlineExceeded) }, 0},
		"move refused":            {func(h *harness, m *fakeMinion) { h.orderEnd(m, &ProviderRefusal{Reason: ProviderBusy}) }, 1},
	} {
		for _, nextID := range []string{"m0", "other", ""} {
			t.Run(name+", next "+nextID, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					h := newHarness(t, 1)
					defer func() { h.endTerm() }()
					h.cluster.endless = true
					m := h.cluster.add("m0")
					h.announce(m)
					h.submit("job0", 1)
					time.Sleep(2 * testMaxLease)
					c.end(h, m)
					if nextID != "" && !strings.HasPrefix(name, "silent") && !strings.HasPrefix(name, "restarts") {
						time.Sleep(restartDelay)
						h.announce(h.cluster.addAt("m0", nextID))
					}
					time.Sleep(3 * testMaxLease)
					certain, _ := h.crashes(batch.TaskRef{Job: "job0"})
					g.Expect(certain).To(Equal(c.crashes))
				})
			})
		}
	}
}

// Guards against a loss that counts against a task although the minion was only cut
// off for longer than its lease: it answers again, in the same term or the next one.
func TestLossOfMinionThatAnswersAgainIsCleared(t *testing.T) {
	for name, leaderChanges := range map[string]bool{"same leader": false, "leader changes": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.cluster.endless = true
				m := h.cluster.add("m0")
				h.announce(m)
				h.submit("job0", 1)
				time.Sleep(2 * testMaxLease)
				h.setUnreachable(m, true)
				time.Sleep(3 * testMaxLease)
				_, possible := h.crashes(batch.TaskRef{Job: "job0"})
				g.Expect(possible).To(BeEquivalentTo(1))
				if leaderChanges {
					h.endTerm()
					h.startTerm()
				}
				h.announce(m)
				time.Sleep(time.Second)
				_, possible = h.crashes(batch.TaskRef{Job: "job0"})
				g.Expect(possible).To(BeEquivalentTo(1), "only an announcement arrived")
				h.setUnreachable(m, false)
				time.Sleep(2 * testMaxLease)
				h.announce(m)
				time.Sleep(time.Second)
				_, possible = h.crashes(batch.TaskRef{Job: "job0"})
				g.Expect(possible).To(BeZero())
			})
		})
	}
}

// orderMaintenance commits an order of maintenance that this term's leader didn't
// give.
func (h *harness) orderMaintenance(wave uint64, machine string) {
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{Number: wave, Machines: []string{machine}, MaxDown: 1}}})
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{Wave: wave, Services: []*apiv1.MachineService{{
		Machine: machine, State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED, OrderedUnixMs: time.Now().UnixMilli(),
	}}}}})
}

// orderEnd has a machine order end the minion's process. The order fails with err.
func (h *harness) orderEnd(m *fakeMinion, err error) {
	f := h.dispatcher.fleet
	_ = f.executeChecked(f.withTarget(machineCall{
		machine: m.id, name: "move", incarnation: batch.Incarnation{ID: m.id, StartedMS: m.startedMS},
		send: func(context.Context, MachineOrder) error { return err },
	}), 0)
	time.Sleep(10 * time.Millisecond)
	m.crash()
}

// Guards against a crash that is counted against a run which certainly had not
// begun on the minion, or which ended there in another way.
func TestOnlyRunsThatMayHaveBegunCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		key := func(index uint32) batch.RunKey {
			return batch.RunKey{TaskRef: batch.TaskRef{Job: "job0", Index: index}, Number: 1}
		}
		const lost, crashed, done = apiv1.RunEnd_RUN_END_LOST, apiv1.RunEnd_RUN_END_CRASHED, apiv1.RunEnd_RUN_END_DONE
		cases := []struct {
			order *runOrder
			end   apiv1.RunEnd
		}{
			{&runOrder{state: orderUnsent}, lost},
			{&runOrder{state: orderSending}, lost},
			{&runOrder{state: orderStopping}, lost},
			{&runOrder{state: orderSending, mayHaveBegun: true}, crashed},
			{&runOrder{state: orderStarted, mayHaveBegun: true}, crashed},
			{&runOrder{state: orderStopping, mayHaveBegun: true}, crashed},
			{&runOrder{state: orderStopped, mayHaveBegun: true}, lost},
			{&runOrder{state: orderStarted, mayHaveBegun: true, endInNextIncarnation: done}, done},
		}
		for i, c := range cases {
			s.orders[key(uint32(i))] = c.order
		}
		for _, err := range []error{&Refusal{Reason: RefusedOtherIncarnation}, syscall.ECONNREFUSED} {
			refused := &runOrder{state: orderSending, mayHaveBegun: true}
			s.handleStartAnswer(refused, err, time.Second)
			g.Expect(refused.mayHaveBegun).To(BeFalse(), "the start order was refused: %v", err)
		}
		for _, e := range s.releaseAll(causeCrash) {
			g.Expect(e.End).To(Equal(cases[e.Task.Index].end), "order %d", e.Task.Index)
		}
	})
}

// Guards against a long-running task that is given up because it ran beside several
// tasks that crashed its minions, long after it had started itself.
func TestSettledLongRunningTaskIsNotHeldResponsible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		run := batch.RunKey{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}
		for _, isLongRunning := range []bool{true, false} {
			o := &runOrder{state: orderStarted, isLongRunning: isLongRunning}
			s.orders[run] = o
			s.observeRunning(RunStatus{Run: run}, time.Second)
			g.Expect(o.endOnClosing(causeCrash)).To(Equal(apiv1.RunEnd_RUN_END_CRASHED))
			s.observeRunning(RunStatus{Run: run}, time.Second+settledAge)
			g.Expect(o.endOnClosing(causeCrash) == apiv1.RunEnd_RUN_END_CRASHED).To(Equal(!isLongRunning))
			// The next leader sees it once before the crash.
			inherited := &runOrder{state: orderUncertain, isLongRunning: isLongRunning, startedUnixMS: time.Now().Add(-inheritedSettledAge).UnixMilli()}
			s.orders[run] = inherited
			s.observeRunning(RunStatus{Run: run}, time.Second)
			g.Expect(inherited.endOnClosing(causeCrash) == apiv1.RunEnd_RUN_END_CRASHED).To(Equal(!isLongRunning))
		}
	})
}
