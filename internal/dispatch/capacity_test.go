package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against machines that are moved to a growing pool only when it already
// lacks CPU, and against a forecast that takes one large job for an endless
// trend.
func TestForecastGrowthFollowsTrend(t *testing.T) {
	g := NewWithT(t)
	ramp := func(from, step int64) []demandSample {
		var out []demandSample
		for at := time.Duration(0); at <= 2*time.Second; at += 100 * time.Millisecond {
			out = append(out, demandSample{at, from + step*int64(at/(100*time.Millisecond))})
		}
		return out
	}
	now := 2 * time.Second
	wantGrowth := int64(moveLeadTime / time.Millisecond)
	g.Expect(forecastGrowth(ramp(1000, 100), now)).To(Equal(wantGrowth), "1,000 more per second")
	g.Expect(forecastGrowth(ramp(5000, -100), now)).To(BeZero(), "a falling demand")
	g.Expect(forecastGrowth(ramp(1000, 0), now)).To(BeZero())
	jump := append(ramp(0, 0), demandSample{now, 700})
	g.Expect(forecastGrowth(jump, now)).To(BeEquivalentTo(700), "at most doubles")
	g.Expect(forecastGrowth([]demandSample{{now, 500}}, now)).To(BeZero(), "one sample shows no trend")
}
