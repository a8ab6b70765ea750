package batch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// sized returns a step of count tasks that take cpu, in thousandths of a core.
func sized(count, cpu uint32) *apiv1.BatchStep {
	return &apiv1.BatchStep{Count: count, Resources: &apiv1.Resources{CpuMillis: cpu}}
}

// Guards against a task that never starts although its account is below its limit: one
// that is larger than what is left of the limit, or than the limit itself.
func TestTaskStartsWhileItsAccountIsBelowTheLimit(t *testing.T) {
	f := newFixture(t)
	f.submit("small", "a", sized(3, 1000))
	f.submit("large", "a", sized(1, 2500))
	f.submit("huge", "a", sized(2, 3500)) // the limit is 3000
	f.Expect(f.start(ref("small", 0, 0), 1, "m1")).To(BeTrue())
	f.Expect(f.start(ref("large", 0, 0), 1, "m1")).To(BeTrue(), "more than what is left")
	f.Expect(f.start(ref("small", 0, 1), 1, "m2")).To(BeFalse(), "the limit is reached")
	f.end(ref("small", 0, 0), 1, done)
	f.end(ref("large", 0, 0), 1, done)
	f.Expect(f.start(ref("huge", 0, 0), 1, "m1")).To(BeTrue(), "more than the limit")
	f.Expect(f.start(ref("huge", 0, 1), 1, "m2")).To(BeFalse(), "the limit is reached")
}

// Guards against a gang (a step whose tasks start together) that never starts although
// only its last member exceeds the limit, and against one that starts although others do.
func TestOnlyTheLastMemberOfGangMayExceedTheLimit(t *testing.T) {
	for members, starts := range map[uint32]bool{3: true, 4: false} {
		f := newFixture(t)
		gang := sized(members, 1400)
		gang.Gang = true
		f.submit("gang", "a", gang)
		cmd := &apiv1.UpdateRuns{}
		for i := range members {
			minion := Incarnation{fmt.Sprint("m", 1+i%2), 1}
			cmd.Starts = append(cmd.Starts, &apiv1.StartedRun{Task: ref("gang", 0, i).Name(), Run: 1, Minion: minion.Message()})
		}
		res := f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: cmd}})
		f.Expect(len(res.Runs.Refused) == 0).To(Equal(starts), "%d members", members)
	}
}

// Guards against an account that runs more than its limit and one task more, and against
// a start that is refused although the account is below its limit, whatever runs, ends
// and changes.
func TestLimitIsExceededByTheLastTaskOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		apply := func(cmd *apiv1.BatchCommand) *apiv1.BatchResult {
			res, err := s.Apply(nowMS, cmd)
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		limit, catalog := int64(0), testCatalog(1)
		setLimit := func() {
			limit = rapid.Int64Range(1, 6).Draw(t, "limit")
			catalog = testCatalog(catalog.Version + 1)
			catalog.Accounts[0].Limit = &apiv1.Resources{CpuMillis: uint32(limit)}
			apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: catalog}})
		}
		setLimit()
		minion := &apiv1.MinionLife{Id: "m", BornUnixMs: 1}
		apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{
			Minions: []*apiv1.BatchMinion{{Life: minion, Pool: "p", Capacity: &apiv1.Resources{CpuMillis: 1000}}},
		}}})
		running := map[string]int64{}
		used := func() (sum int64) {
			for _, cpu := range running {
				sum += cpu
			}
			return sum
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			id, cpu := fmt.Sprint("j", i), rapid.Int64Range(1, 8).Draw(t, "cpu")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				setLimit()
			case 1:
				if len(running) > 0 {
					other := sortedKeys(running)[0]
					apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
						Ends: []*apiv1.EndedRun{{Task: ref(other, 0, 0).Name(), Run: 1, End: done}},
					}}})
					delete(running, other)
				}
			default:
				apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
					Id: id, Queue: "q", Account: "a", Steps: []*apiv1.BatchStep{sized(1, uint32(cpu))}, AcceptedQueue: catalog.Queues[0],
				}}})
				res := apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
					Starts: []*apiv1.StartedRun{{Task: ref(id, 0, 0).Name(), Run: 1, Minion: minion}},
				}}})
				before, started := used(), len(res.Runs.Refused) == 0
				if started != (before < limit) {
					t.Fatalf("a start of %d is accepted: %v; %d of %d are in use", cpu, started, before, limit)
				}
				if started {
					running[id] = cpu
				}
			}
		}
	})
}
