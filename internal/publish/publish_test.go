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

// change is a publish whose only limit has a value that tells it apart. A
// value of 0 is out of range, so the set is refused.
func change(id string, expected uint64, value uint32) *apiv1.PublishConfig {
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

// oracle keeps every command and every reply for ever.
type oracle struct {
	version, value uint64
	first          map[string]*apiv1.PublishConfig
	replies        map[string]reply
}

func newOracle() *oracle {
	return &oracle{first: map[string]*apiv1.PublishConfig{}, replies: map[string]reply{}}
}

func (o *oracle) send(cmd *apiv1.PublishConfig) reply {
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

// Guards against a resend that is applied twice or judged anew, a lost update
// between racing operators, a version that goes back, and a restore that
// forgets outcomes.
func TestPublishAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, o := New(), newOracle()
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
				cmd := change(fmt.Sprint("r", len(sent)), o.version-back+ahead, rapid.Uint32Range(0, 3).Draw(t, "value"))
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

// restart moves the state through bytes and compares the bytes of both.
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

// Guards against memory that grows with the publishes, and against bounds that
// are off by one: the last 4,096 ids and 50 versions must be kept.
func TestBounds(t *testing.T) {
	s := New()
	for i := range uint64(maxOutcomes + 1) {
		if r := send(s, change(fmt.Sprint("r", i), i, 1)); r.version != i+1 {
			t.Fatalf("publish %d: %v", i, r)
		}
	}
	history := s.History()
	if len(history) != 50 || history[0].Version != 4048 || history[49] != s.Current() || len(s.byID) != 4096 {
		t.Fatalf("%d versions from %d, %d ids", len(history), history[0].Version, len(s.byID))
	}
	if r := send(s, change("r1", 1, 1)); r.version != 2 {
		t.Fatalf("the oldest id that is kept: %v", r)
	}
	if r := send(s, change("r0", 0, 1)); r.code != apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT {
		t.Fatalf("a forgotten id must not be applied again: %v", r)
	}
}

// Guards against an id that cannot be deduplicated, a refusal without the
// problem's place, and a snapshot that breaks the order of versions.
func TestRefusals(t *testing.T) {
	s := New()
	for _, id := range []string{"", strings.Repeat("x", maxRequestID+1)} {
		if r := send(s, change(id, 0, 1)); r.code != apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT {
			t.Fatalf("id %q: %v", id, r)
		}
	}
	_, err := s.Publish(1, change("a", 0, 0))
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

// operatorLog is what an operator sees of one publish: a lost answer is
// resent, so the operation ends with the answer of the last resend.
type operatorLog struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// Guards against racing operators of which two win the same version, and
// against a resend whose answer differs from the first one: the history of
// every client must fit one order of compare-and-swap steps.
func TestPublishLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		if !porcupine.CheckOperations(casModel, raceOperators(seed)) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
}

// raceOperators runs rounds in which all operators publish on the version they
// read before the round, so that at most one may win. Some answers are lost
// and resent. The lock stands for the replicated log, which orders commands.
func raceOperators(seed uint64) []porcupine.Operation {
	const operators, rounds = 4, 12
	var (
		log   operatorLog
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
				cmd := change(fmt.Sprintf("%d-%d", op, round), seen, 1)
				call := now.Add(1)
				got := commit(cmd)
				for r.IntN(2) == 0 { // the answer was lost
					got = commit(cmd)
				}
				log.add(op, cmd.ExpectedVersion, call, got, now.Add(1))
			})
		}
		wg.Wait()
	}
	return log.ops
}

func (l *operatorLog) add(client int, expected uint64, call int64, got reply, ret int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, porcupine.Operation{ClientId: client, Input: expected, Call: call, Output: got, Return: ret})
}

// casModel is a version that each successful step raises by one.
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
