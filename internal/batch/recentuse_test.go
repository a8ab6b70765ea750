package batch

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against use that is never forgotten, that is forgotten at once at the end of a
// period, and that a step of the clock turns negative.
func TestRecentUseDecays(t *testing.T) {
	g := NewWithT(t)
	const start = 1_700_000_000_000
	u := periodUse{startMS: start, current: Usage{CPUMillis: 1_000_000, MemoryMB: 10_000}}
	g.Expect(u.at(start + usePeriodMS - 1).CPUMillis).To(BeNumerically("==", 1_000_000))
	g.Expect(u.at(start + usePeriodMS*3/2).CPUMillis).To(BeNumerically("==", 500_000))
	g.Expect(u.at(start + 2*usePeriodMS)).To(BeZero())
	g.Expect(u.at(start - 1000).CPUMillis).To(BeNumerically("==", 1_000_000))
}
