package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against machines that follow a queue's turn only once it is short, and
// against a forecast that takes one large job for a trend without end.
func TestRiseFollowsTheTrend(t *testing.T) {
	g := NewWithT(t)
	ramp := func(from, step int64) []demandSample {
		var out []demandSample
		for at := time.Duration(0); at <= 2*time.Second; at += 100 * time.Millisecond {
			out = append(out, demandSample{at, from + step*int64(at/(100*time.Millisecond))})
		}
		return out
	}
	now := 2 * time.Second
	perTrend := int64(moveLeadTime / time.Millisecond)
	g.Expect(forecastGrowth(ramp(1000, 100), now)).To(Equal(perTrend), "1,000 more a second")
	g.Expect(forecastGrowth(ramp(5000, -100), now)).To(BeZero(), "a demand that falls")
	g.Expect(forecastGrowth(ramp(1000, 0), now)).To(BeZero())
	jump := append(ramp(0, 0), demandSample{now, 700})
	g.Expect(forecastGrowth(jump, now)).To(BeEquivalentTo(700), "at most as much again")
	g.Expect(forecastGrowth([]demandSample{{now, 500}}, now)).To(BeZero(), "nothing is known yet")
}
