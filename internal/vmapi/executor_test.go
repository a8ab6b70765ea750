package vmapi_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

// group is the control group as two leaders in turn see it.
type group struct {
	t     *rapid.T
	clock clock.Fake
	state *fleet.State
	ix    *objects.Index
	// lose makes the next advance lose its answer (1) or its request (2).
	lose    int
	busy    map[string]bool
	early   string
	created int
}

func (g *group) Intents() []*apiv1.Intent { return g.state.Intents() }

func (g *group) Advance(_ context.Context, cmd *apiv1.AdvanceIntents) error {
	lose := g.lose
	g.lose = 0
	if lose != 2 {
		g.state.AdvanceIntents(g.now(), cmd, g.ix)
	}
	if lose != 0 {
		return errors.New("answer lost")
	}
	return nil
}

func (g *group) now() int64 { return g.clock.Now().Milliseconds() + 1 }

func (g *group) create(vm string, kind int) {
	g.created++
	g.state.CreateIntents(g.now(), &apiv1.CreateIntents{Intents: []*apiv1.Intent{{
		OperationId: fmt.Sprintf("op/%d", g.created), Vm: vm, Kind: apiv1.IntentKind(kind), ToPool: "q",
	}}}, g.ix)
}

// onStart notes operations that the platform starts before the phase is committed.
func (g *group) onStart(op vmapi.Operation) {
	for _, in := range g.state.Intents() {
		if in.OperationId == op.OperationID && in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING {
			g.early = op.OperationID
		}
	}
}

// check verifies that the platform ran each intent once, one at a time per VM.
func (g *group) check(p *fakes.Platform) {
	last := map[string]fakes.Execution{}
	runs := map[string]int{}
	for _, e := range p.Executions() {
		if before, ok := last[e.VM]; ok && before.Ends > e.Started {
			g.t.Fatalf("two operations at once: %+v and %+v", before, e)
		}
		last[e.VM] = e
		runs[e.VM]++
	}
	intents := map[string]int{}
	for _, in := range g.state.Intents() {
		if in.Phase != apiv1.IntentPhase_INTENT_PHASE_DRAINING && in.Phase != apiv1.IntentPhase_INTENT_PHASE_CANCELED {
			intents[in.Vm]++
		}
	}
	for vm, n := range runs {
		if n > intents[vm] {
			g.t.Fatalf("VM %s: %d runs for %d intents", vm, n, intents[vm])
		}
	}
	if g.early != "" {
		g.t.Fatalf("operation %s started before its phase was committed", g.early)
	}
}

func newGroup(t *rapid.T) *group {
	g := &group{t: t, state: fleet.New(), busy: map[string]bool{}, ix: objects.NewIndex(&apiv1.ObjectSet{
		Pool:               []*apiv1.Pool{{Name: "p", AvailabilityBudget: "b"}, {Name: "q", AvailabilityBudget: "b"}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 3}},
		AvailabilityZone:   []*apiv1.AvailabilityZone{{Name: "z"}},
	})}
	for i := range 4 {
		g.state.Observe(1, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: fmt.Sprint("vm", i), Pool: "p", AvailabilityZone: "z"}}}, g.ix)
	}
	return g
}

// direct calls a handler without a network, so that a seed gives one course.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	rec := httptest.NewRecorder()
	d.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Guards against an operation that runs twice or before its phase is committed,
// and against intents that never end, when leaders change in the middle of a
// step and calls to the platform or the log lose their answers.
func TestNextLeaderResumesOperations(t *testing.T) {
	flag.Set("rapid.checks", "300")
	flag.Set("rapid.steps", "60")
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t)
		p := fakes.NewPlatform(fakes.PlatformOptions{Clock: &g.clock, OperationDuration: 3 * time.Second, OnStart: g.onStart})
		newLeader := func() *vmapi.Executor {
			return vmapi.NewExecutor(vmapi.ExecutorOptions{
				Store: g, Platform: vmapi.NewClientWithHTTP("http://platform", &http.Client{Transport: direct{p}}), MaxConcurrentCalls: 1, Clock: &g.clock, Log: quiet(),
				IsIdle: func(in *apiv1.Intent) bool { return !g.busy[in.Vm] }, OperationTimeout: 24 * time.Hour,
			})
		}
		leaders := []*vmapi.Executor{newLeader(), newLeader()}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { g.check(p) },
			"create": func(t *rapid.T) {
				g.create(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")), rapid.IntRange(1, 3).Draw(t, "kind"))
			},
			"step":    func(t *rapid.T) { leaders[rapid.IntRange(0, 1).Draw(t, "leader")].Step(t.Context()) },
			"restart": func(t *rapid.T) { leaders[rapid.IntRange(0, 1).Draw(t, "leader")] = newLeader() },
			"commits": func(t *rapid.T) { g.lose = rapid.IntRange(1, 2).Draw(t, "lost") },
			"answers": func(t *rapid.T) { p.LoseAnswers(rapid.IntRange(1, 3).Draw(t, "lost")) },
			"calls":   func(t *rapid.T) { p.LoseRequests(rapid.IntRange(1, 3).Draw(t, "lost")) },
			"down":    func(t *rapid.T) { p.SetUnavailable(rapid.Bool().Draw(t, "unavailable")) },
			"busy": func(t *rapid.T) {
				g.busy[fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))] = rapid.Bool().Draw(t, "busy")
			},
			"broken": func(*rapid.T) { p.FailOperations("vm0", "no power") },
			"time": func(t *rapid.T) {
				g.clock.Advance(rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 4 * time.Second, 70 * time.Second}).Draw(t, "by"))
			},
			"up": func(t *rapid.T) {
				for i := range 4 {
					g.state.Observe(g.now(), &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: fmt.Sprint("vm", i)}}}, g.ix)
				}
			},
		})
		p.SetUnavailable(false)
		for range 20 {
			g.clock.Advance(40 * time.Second)
			leaders[0].Step(t.Context())
			g.check(p)
		}
		for _, in := range g.state.Intents() {
			want := apiv1.IntentPhase_INTENT_PHASE_DONE
			for _, e := range p.Executions() {
				if e.OperationID == in.OperationId && e.Error != "" {
					want = apiv1.IntentPhase_INTENT_PHASE_FAILED
				}
			}
			if in.Phase != want {
				t.Fatalf("operation %s is %s (%s), want %s", in.OperationId, in.Phase, in.Reason, want)
			}
		}
	})
}

// store keeps intents and applies advances without checks.
type store []*apiv1.Intent

func (s store) Intents() []*apiv1.Intent { return s }

func (s store) Advance(_ context.Context, cmd *apiv1.AdvanceIntents) error {
	for _, a := range cmd.Advances {
		s[0].Phase = a.Phase
	}
	return nil
}

// down is a platform that answers no call.
type down struct{ calls int }

func (d *down) Start(context.Context, *vmapi.Operation) error {
	d.calls++
	return errors.New("unreachable")
}

func (d *down) Get(context.Context, string) (*vmapi.Operation, error) {
	return nil, errors.New("unreachable")
}

// Guards against work cut before the drain timeout, a platform in trouble that
// is called at full rate, and an operation that holds its VM for ever.
func TestTimeoutsAndRetries(t *testing.T) {
	g := NewWithT(t)
	s := store{{OperationId: "op", Vm: "vm", Kind: apiv1.IntentKind_INTENT_KIND_REBOOT, Phase: apiv1.IntentPhase_INTENT_PHASE_DRAINING}}
	c, api := &clock.Fake{}, &down{}
	e := vmapi.NewExecutor(vmapi.ExecutorOptions{
		Store: s, Platform: api, Clock: c, Log: quiet(), IsIdle: func(*apiv1.Intent) bool { return false },
		DrainTimeout: func(*apiv1.Intent) time.Duration { return time.Minute }, OperationTimeout: 10 * time.Minute,
	})
	for sec := range 12 * 60 {
		g.Expect(e.Step(t.Context())).To(Succeed())
		switch sec {
		case 59:
			g.Expect(s[0].Phase).To(Equal(apiv1.IntentPhase_INTENT_PHASE_DRAINING))
			g.Expect(api.calls).To(BeZero())
		case 60, 10 * 60:
			g.Expect(s[0].Phase).To(Equal(apiv1.IntentPhase_INTENT_PHASE_OPERATING))
		}
		c.Advance(time.Second)
	}
	g.Expect(s[0].Phase).To(Equal(apiv1.IntentPhase_INTENT_PHASE_FAILED))
	g.Expect(api.calls).To(BeNumerically("<", 30), "600 calls at full rate")
}
