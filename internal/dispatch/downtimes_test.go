package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Guards against a long-running task that is down, and for how long isn't seen.
func TestTimeWithoutARunIsMeasured(t *testing.T) {
	g := NewWithT(t)
	playDowntime(t, 0, func(p *downtimePlay) {
		p.lose(p.a, true)
		time.Sleep(2 * longestAccepted)
		down := p.metrics.m.downSeconds
		g.Expect(testutil.CollectAndCount(down)).To(Equal(1))
		g.Expect(down.DeleteLabelValues("lost")).To(BeTrue(), "the run before ended as lost")
		g.Expect(p.dispatcher.downtimes.down).To(BeEmpty())
	})
}

// Guards against times of jobs that are never started again, which would be kept for ever,
// and against one that counts from a run that was never listed.
func TestDowntimesOfEndedJobsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	d := downtimes{down: map[batch.TaskRef]downSince{}}
	known, unlisted := batch.TaskRef{Job: "gone"}, batch.TaskRef{Job: "unlisted"}
	d.begin(known, time.Second, apiv1.RunEnd_RUN_END_LOST)
	d.begin(unlisted, 0, apiv1.RunEnd_RUN_END_LOST)
	g.Expect(d.down).To(HaveLen(1))
	d.forgetEnded(batch.New())
	_, ok := d.finish(known)
	g.Expect(ok).To(BeFalse())
}
