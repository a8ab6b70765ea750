package publish

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// limitChange returns a publish of one limit, whose value tells the publish from
// others. The value 0 is out of range and makes the set invalid.
func limitChange(id string, expected uint64, value uint32) *apiv1.PublishConfig {
	return &apiv1.PublishConfig{
		RequestId: id, ExpectedVersion: expected, Author: "ada",
		Objects: &apiv1.ObjectSet{Limit: []*apiv1.Limit{{Name: "l", MaxRunning: value}}},
	}
}

type reply struct {
	version uint64
	code    apiv1.ResultCode
}

func send(s *State, cmd *apiv1.PublishConfig) reply {
	res, err := s.Publish(1, cmd)
	if err != nil {
		return reply{0, err.Code}
	}
	return reply{res.Version, apiv1.ResultCode_RESULT_CODE_OK}
}

// reference is the reference implementation of State, the oracle of the test.
// It keeps every command and every reply forever.
type reference struct {
	version, value uint64
	first          map[string]*apiv1.PublishConfig
	replies        map[string]reply
}

func newReference() *reference {
	return &reference{first: map[string]*apiv1.PublishConfig{}, replies: map[string]reply{}}
}

func (o *reference) send(cmd *apiv1.PublishConfig) reply {
	if first, ok := o.first[cmd.RequestId]; ok {
		if !proto.Equal(first, cmd) {
			return reply{0, apiv1.ResultCode_RESULT_CODE_REQUEST_ID_REUSED}
		}
		return o.replies[cmd.RequestId]
	}
	r := reply{0, apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT}
	value := cmd.Objects.Limit[0].MaxRunning
	if cmd.ExpectedVersion == o.version {
		r = reply{0, apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID}
		if value > 0 {
			o.version, o.value = o.version+1, uint64(value)
			r = reply{o.version, apiv1.ResultCode_RESULT_CODE_OK}
		}
	}
	o.first[cmd.RequestId], o.replies[cmd.RequestId] = proto.CloneOf(cmd), r
	return r
}

// Guards against a duplicate publish that is applied twice or validated again,
// a lost update between concurrent operators, a version that decreases, and
// outcomes that are lost in a restore.
func TestPublishAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, o := New(), newReference()
		var sent []*apiv1.PublishConfig
		var last uint64
		check := func(t *rapid.T, cmd *apiv1.PublishConfig) {
			if got, want := send(s, cmd), o.send(cmd); got != want {
				t.Fatalf("%v: got %v, want %v", cmd, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				back := rapid.Uint64Range(0, min(2, o.version)).Draw(t, "behind")
				ahead := rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
				cmd := limitChange(fmt.Sprint("r", len(sent)), o.version-back+ahead, rapid.Uint32Range(0, 3).Draw(t, "value"))
				sent = append(sent, cmd)
				check(t, cmd)
			},
			"resend": func(t *rapid.T) {
				if len(sent) > 0 {
					check(t, proto.CloneOf(rapid.SampledFrom(sent).Draw(t, "cmd")))
				}
			},
			"reuse id": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				cmd := proto.CloneOf(rapid.SampledFrom(sent).Draw(t, "cmd"))
				switch rapid.IntRange(0, 2).Draw(t, "field") {
				case 0:
					cmd.ExpectedVersion = o.version
				case 1:
					cmd.Objects.Limit[0].MaxRunning++
				case 2:
					cmd.Author = "bob"
				}
				check(t, cmd)
			},
			"restart": func(t *rapid.T) { s = restart(t, s) },
			"": func(t *rapid.T) {
				c := s.Current()
				if c.Version != o.version || c.Version < last {
					t.Fatalf("version %d, want %d and at least %d", c.Version, o.version, last)
				}
				if last = c.Version; last > 0 && uint64(c.Objects.Limit[0].MaxRunning) != o.value {
					t.Fatalf("value %v, want %d", c.Objects, o.value)
				}
			},
		})
	})
}

// restart restores the state from its encoded snapshot and checks that the new
// state encodes to the same bytes.
func restart(t *rapid.T, s *State) *State {
	opts := proto.MarshalOptions{Deterministic: true}
	data, err := opts.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap apiv1.PublishSnapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(&snap); err != nil {
		t.Fatal(err)
	}
	if again, _ := opts.Marshal(restored.Snapshot()); string(again) != string(data) {
		t.Fatal("the snapshot of the restored state differs")
	}
	return restored
}

// Guards against memory use that grows with the number of publishes, and against
// off-by-one bounds: the outcomes of the last 4,096 request ids and the last 50
// versions must be kept.
func TestBounds(t *testing.T) {
	s := New()
	for i := range uint64(maxOutcomes + 1) {
		if r := send(s, limitChange(fmt.Sprint("r", i), i, 1)); r.version != i+1 {
			t.Fatalf("publish %d: %v", i, r)
		}
	}
	history := s.History()
	if len(history) != 50 || history[0].Version != 4048 || history[49] != s.Current() || len(s.outcomeByID) != 4096 {
		t.Fatalf("%d versions from %d, %d ids", len(history), history[0].Version, len(s.outcomeByID))
	}
	if r := send(s, limitChange("r1", 1, 1)); r.version != 2 {
		t.Fatalf("duplicate with the oldest id that is kept: %v", r)
	}
	if r := send(s, limitChange("r0", 0, 1)); r.code != apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT {
		t.Fatalf("duplicate with a dropped id must conflict: %v", r)
	}
}

// Guards against accepting an empty or oversized request id, an error that
// doesn't name the section and key of the problem, and a restore of an
// inconsistent snapshot.
func TestRefusals(t *testing.T) {
	s := New()
	for _, id := range []string{"", strings.Repeat("x", maxRequestIDBytes+1)} {
		if r := send(s, limitChange(id, 0, 1)); r.code != apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT {
			t.Fatalf("id %q: %v", id, r)
		}
	}
	_, err := s.Publish(1, limitChange("a", 0, 0))
	if err == nil || !err.NotRun || !strings.Contains(err.Message, `[limit "l"] max_running`) {
		t.Fatalf("refusal: %v", err)
	}
	bad := []*apiv1.PublishSnapshot{
		{Current: &apiv1.Config{Version: 2}, History: []*apiv1.Config{{Version: 2}}},
		{History: []*apiv1.Config{{Version: 1}}},
		{Outcomes: []*apiv1.PublishOutcome{{RequestId: "x"}, {RequestId: "x"}}},
	}
	for _, snap := range bad {
		if s.Restore(snap) == nil || len(s.outcomes) != 1 {
			t.Fatalf("restored %v", snap)
		}
	}
}

// history collects the publishes as their operators see them. An operator whose
// reply was lost sends the publish again, so an operation ends with the reply to
// the last attempt.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// Guards against two concurrent operators that both succeed on one version, and
// against a duplicate publish whose reply differs from the first one. The
// histories of all clients must be explained by one sequence of
// compare-and-swap steps.
func TestPublishLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		if !porcupine.CheckOperations(casModel, runConcurrentOperators(seed)) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
}

// runConcurrentOperators runs rounds in which all operators publish on the
// version that they read before the round, so that at most one may succeed.
// Some replies are lost, and their operators send the publish again. The lock
// takes the place of the replicated log, which orders the commands.
func runConcurrentOperators(seed uint64) []porcupine.Operation {
	const operators, rounds = 4, 12
	var (
		log   history
		lock  sync.Mutex
		now   atomic.Int64
		state = New()
	)
	commit := func(cmd *apiv1.PublishConfig) reply {
		lock.Lock()
		defer lock.Unlock()
		return send(state, cmd)
	}
	for round := range rounds {
		var wg sync.WaitGroup
		seen := state.Current().Version
		for op := range operators {
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, uint64(round*operators+op)))
				cmd := limitChange(fmt.Sprintf("%d-%d", op, round), seen, 1)
				call := now.Add(1)
				got := commit(cmd)
				for r.IntN(2) == 0 { // the reply was lost
					got = commit(cmd)
				}
				log.add(op, cmd.ExpectedVersion, call, got, now.Add(1))
			})
		}
		wg.Wait()
	}
	return log.ops
}

func (l *history) add(client int, expected uint64, call int64, got reply, ret int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, porcupine.Operation{ClientId: client, Input: expected, Call: call, Output: got, Return: ret})
}

// casModel is a compare-and-swap register: a step that expects the current
// version succeeds and increments it.
var casModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		version, expected, got := state.(uint64), input.(uint64), output.(reply)
		if expected != version {
			return got.code == apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT, version
		}
		return got == reply{version + 1, apiv1.ResultCode_RESULT_CODE_OK}, version + 1
	},
}
