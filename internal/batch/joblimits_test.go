package batch

import (
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
