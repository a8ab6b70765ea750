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

// fakeControlGroup is an IntentStore on a real fleet state. The executors of two
// leaders use it in turn.
type fakeControlGroup struct {
	t     *rapid.T
	clock clock.Fake
	state *fleet.State
	index *objects.Index
	// loseNext makes the next Advance fail after it took effect (1) or without
	// effect (2).
	loseNext int
	busyVMs  map[string]bool
	// startedEarly is the id of an operation that the platform started before
	// its phase was committed.
	startedEarly string
	// created is the number of intents created.
	created int
}

func (g *fakeControlGroup) Intents() []*apiv1.Intent { return g.state.Intents() }

func (g *fakeControlGroup) Advance(_ context.Context, cmd *apiv1.AdvanceIntents) error {
	lose := g.loseNext
	g.loseNext = 0
	if lose != 2 {
		g.state.AdvanceIntents(g.now(), cmd, g.index)
	}
	if lose != 0 {
		return errors.New("answer lost")
	}
	return nil
}

func (g *fakeControlGroup) now() int64 { return g.clock.Now().Milliseconds() + 1 }

func (g *fakeControlGroup) createIntent(vm string, kind int) {
	g.created++
	g.state.CreateIntents(g.now(), &apiv1.CreateIntents{Intents: []*apiv1.Intent{{
		OperationId: fmt.Sprintf("op/%d", g.created), Vm: vm, Kind: apiv1.IntentKind(kind), ToPool: "q",
	}}}, g.index)
}

// onStart is called by the platform when it starts an operation. It records an
// operation whose phase is not committed yet.
func (g *fakeControlGroup) onStart(op vmapi.Operation) {
	for _, in := range g.state.Intents() {
		if in.OperationId == op.OperationID && in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING {
			g.startedEarly = op.OperationID
		}
	}
}

// checkExecutions checks that the platform ran each intent at most once, one at
// a time on a VM, and none before its phase was committed.
func (g *fakeControlGroup) checkExecutions(p *fakes.Platform) {
	last := map[string]fakes.Execution{}
	runs := map[string]int{}
	for _, e := range p.Executions() {
		if before, ok := last[e.VM]; ok && before.Ends > e.Started {
			g.t.Fatalf("two operations on a VM at once: %+v and %+v", before, e)
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
	if g.startedEarly != "" {
		g.t.Fatalf("operation %s started before its phase was committed", g.startedEarly)
	}
}

func newFakeControlGroup(t *rapid.T) *fakeControlGroup {
	g := &fakeControlGroup{t: t, state: fleet.New(), busyVMs: map[string]bool{}, index: objects.NewIndex(&apiv1.ObjectSet{
		Pool:               []*apiv1.Pool{{Name: "p", AvailabilityBudget: "b"}, {Name: "q", AvailabilityBudget: "b"}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 3}},
		AvailabilityZone:   []*apiv1.AvailabilityZone{{Name: "z"}},
	})}
	for i := range 4 {
		g.state.Observe(1, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: fmt.Sprint("vm", i), Pool: "p", AvailabilityZone: "z"}}}, g.index)
	}
	return g
}

// handlerTransport calls a handler directly instead of over a network, so that a
// run is deterministic for its seed. A panic of the handler aborts the response.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
	}()
	rec := httptest.NewRecorder()
	t.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Guards against an operation that runs twice or before its phase is committed,
// and against intents that never end. These faults need a change of leader in
// the middle of a step, or a lost request or reply of a call to the platform or
// of a proposal to the control group.
func TestNextLeaderResumesOperations(t *testing.T) {
	flag.Set("rapid.checks", "300")
	flag.Set("rapid.steps", "60")
	rapid.Check(t, func(t *rapid.T) {
		g := newFakeControlGroup(t)
		p := fakes.NewPlatform(fakes.PlatformOptions{Clock: &g.clock, OperationDuration: 3 * time.Second, OnStart: g.onStart})
		newLeader := func() *vmapi.Executor {
			return vmapi.NewExecutor(vmapi.ExecutorOptions{
				Store: g, Platform: vmapi.NewClientWithHTTP("http://platform", &http.Client{Transport: handlerTransport{p}}), MaxConcurrentCalls: 1, Clock: &g.clock, Log: discardLog(),
				IsIdle: func(in *apiv1.Intent) bool { return !g.busyVMs[in.Vm] }, OperationTimeout: 24 * time.Hour,
			})
		}
		leaders := []*vmapi.Executor{newLeader(), newLeader()}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { g.checkExecutions(p) },
			"create": func(t *rapid.T) {
				g.createIntent(fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm")), rapid.IntRange(1, 3).Draw(t, "kind"))
			},
			"step":         func(t *rapid.T) { leaders[rapid.IntRange(0, 1).Draw(t, "leader")].Step(t.Context()) },
			"restart":      func(t *rapid.T) { leaders[rapid.IntRange(0, 1).Draw(t, "leader")] = newLeader() },
			"commits lost": func(t *rapid.T) { g.loseNext = rapid.IntRange(1, 2).Draw(t, "lost") },
			"answers lost": func(t *rapid.T) { p.LoseAnswers(rapid.IntRange(1, 3).Draw(t, "lost")) },
			"calls lost":   func(t *rapid.T) { p.LoseRequests(rapid.IntRange(1, 3).Draw(t, "lost")) },
			"down or up":   func(t *rapid.T) { p.SetUnavailable(rapid.Bool().Draw(t, "unavailable")) },
			"busy VM": func(t *rapid.T) {
				g.busyVMs[fmt.Sprint("vm", rapid.IntRange(0, 3).Draw(t, "vm"))] = rapid.Bool().Draw(t, "busy")
			},
			"broken VM": func(*rapid.T) { p.FailOperations("vm0", "no power") },
			"time passes": func(t *rapid.T) {
				g.clock.Advance(rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 4 * time.Second, 70 * time.Second}).Draw(t, "by"))
			},
			"up observed": func(t *rapid.T) {
				for i := range 4 {
					g.state.Observe(g.now(), &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: fmt.Sprint("vm", i)}}}, g.index)
				}
			},
		})
		p.SetUnavailable(false)
		for range 20 {
			g.clock.Advance(40 * time.Second)
			leaders[0].Step(t.Context())
			g.checkExecutions(p)
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

// intentStore is an IntentStore with one intent. It applies every phase change
// without checks.
type intentStore []*apiv1.Intent

func (s intentStore) Intents() []*apiv1.Intent { return s }

func (s intentStore) Advance(_ context.Context, cmd *apiv1.AdvanceIntents) error {
	for _, a := range cmd.Advances {
		s[0].Phase = a.Phase
	}
	return nil
}

// unreachablePlatform fails every call and counts the calls of Start.
type unreachablePlatform struct{ calls int }

func (p *unreachablePlatform) Start(context.Context, *vmapi.Operation) error {
	p.calls++
	return errors.New("unreachable")
}

func (p *unreachablePlatform) Get(context.Context, string) (*vmapi.Operation, error) {
	return nil, errors.New("unreachable")
}

// Guards against an operation that starts before the drain timeout while its VM
// is busy, against calls without backoff to a platform that fails, and against an
// operation that never ends and so blocks its VM forever.
func TestTimeoutsAndRetries(t *testing.T) {
	g := NewWithT(t)
	s := intentStore{{OperationId: "op", Vm: "vm", Kind: apiv1.IntentKind_INTENT_KIND_REBOOT, Phase: apiv1.IntentPhase_INTENT_PHASE_DRAINING}}
	c, api := &clock.Fake{}, &unreachablePlatform{}
	e := vmapi.NewExecutor(vmapi.ExecutorOptions{
		Store: s, Platform: api, Clock: c, Log: discardLog(), IsIdle: func(*apiv1.Intent) bool { return false },
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
	g.Expect(api.calls).To(BeNumerically("<", 30), "there are 600 calls without backoff")
}
