package batch

import (
	"math/big"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a job beyond a limit that is accepted, and one at a limit that is not.
func TestLimitsOnOneJob(t *testing.T) {
	name := func(n int) string { return strings.Repeat("n", n) }
	steps := func(n int, change func(*apiv1.BatchStep)) []*apiv1.BatchStep {
		out := make([]*apiv1.BatchStep, n)
		for i := range out {
			out[i] = &apiv1.BatchStep{}
			change(out[i])
		}
		return out
	}
	none := func(*apiv1.BatchStep) {}
	for message, jobs := range map[string][2]*apiv1.BatchJob{
		"specification has 4001 bytes": {{Specification: name(4000)}, {Specification: name(4001)}},
		"steps has 8193 entries":       {{Steps: steps(8192, none)}, {Steps: steps(8193, none)}},
		"steps[0]: the image has 257 bytes": {
			{Steps: []*apiv1.BatchStep{{Image: name(256), RequiredLabel: name(256), PreferredRack: name(256)}}}, {Steps: []*apiv1.BatchStep{{Image: name(257)}}},
		},
		"steps[0]: the required label": {{}, {Steps: []*apiv1.BatchStep{{RequiredLabel: name(257)}}}},
		"steps[0]: the preferred rack": {{}, {Steps: []*apiv1.BatchStep{{PreferredRack: name(257)}}}},
		"steps has 101 tasks in each of 1000 repetitions": {
			{Repetitions: 1000, Steps: steps(100, none)}, {Repetitions: 1000, Steps: steps(101, none)},
		},
		"after has 101 dependencies in each of 1000 repetitions": {
			{Repetitions: 1000, Steps: []*apiv1.BatchStep{{}, {After: make([]uint32, 100)}}}, {Repetitions: 1000, Steps: []*apiv1.BatchStep{{}, {After: make([]uint32, 101)}}},
		},
		"more than 100000 tasks": {{Steps: []*apiv1.BatchStep{{Count: 100_000}}}, {Steps: []*apiv1.BatchStep{{Count: 100_001}}}},
	} {
		g := NewWithT(t)
		g.Expect(CheckSubmission(jobs[0])).To(BeNil(), message)
		refused := CheckSubmission(jobs[1])
		g.Expect(refused).NotTo(BeNil(), message)
		g.Expect(refused.NotRun).To(BeTrue())
		g.Expect(refused.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_TOO_LARGE))
		g.Expect(refused.Message).To(ContainSubstring(message))
	}
}

// Guards against numbers whose sums or products exceed what their types hold, so that a job
// passes and counts for little or nothing.
func FuzzJobWithinTheLimitsHasABoundedFootprint(f *testing.F) {
	f.Add(uint32(1<<31), uint32(1<<31), uint32(1<<31), uint16(3), uint16(0))
	f.Add(uint32(50_000), uint32(50_000), uint32(1), uint16(1), uint16(1))
	f.Add(uint32(0), uint32(0), uint32(100_000), uint16(0), uint16(65_535))
	f.Fuzz(func(t *testing.T, first, other, repetitions uint32, others, dependencies uint16) {
		g := NewWithT(t)
		j := &apiv1.BatchJob{Repetitions: repetitions, Steps: []*apiv1.BatchStep{{Count: first}}}
		for range others {
			j.Steps = append(j.Steps, &apiv1.BatchStep{Count: other})
		}
		last := j.Steps[len(j.Steps)-1]
		if others > 0 {
			last.After = make([]uint32, dependencies)
		}
		if CheckSubmission(j) != nil {
			return
		}
		tasks, occurrences := new(big.Int).SetUint64(uint64(first)), big.NewInt(int64(max(repetitions, 1)))
		tasks.Add(tasks, new(big.Int).Mul(big.NewInt(int64(other)), big.NewInt(int64(others))))
		g.Expect(tasks.Mul(tasks, occurrences).Cmp(big.NewInt(maxTasks))).To(BeNumerically("<=", 0))
		g.Expect(len(last.After) * int(max(repetitions, 1))).To(BeNumerically("<=", maxDependencies))
		const bound = jobBytes + MaxSteps*stepBytes + maxDependencies*dependencyBytes + maxTasks*(stepStateBytes+taskBytes)
		g.Expect(Footprint(j)).To(And(BeNumerically(">=", MessageFootprint(j)), BeNumerically("<=", bound)))
	})
}
