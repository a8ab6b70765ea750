package publish

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against versions that take memory, and time at each snapshot and start, without
// bound, since only their number is bounded; and against a history that gets shorter at
// the size that the system is built for.
func TestHistoryIsBoundedByItsSize(t *testing.T) {
	g := NewWithT(t)
	publishAll := func(set *apiv1.ObjectSet, comment string) *State {
		s := New()
		for i := range maxVersions + 10 {
			cmd := &apiv1.PublishConfig{RequestId: fmt.Sprint(i), ExpectedVersion: uint64(i), Objects: set, Comment: comment}
			_, err := s.Publish(1, cmd)
			g.Expect(err).To(BeNil())
			g.Expect(s.Current().Version).To(BeEquivalentTo(i + 1))
		}
		return s
	}
	size := func(s *State) (bytes int) {
		for _, c := range s.History() {
			bytes += proto.Size(c)
		}
		return bytes
	}
	g.Expect(publishAll(fullSizeSet(), "").History()).To(HaveLen(maxVersions))
	large := publishAll(&apiv1.ObjectSet{}, strings.Repeat("x", maxVersionBytes/10))
	g.Expect(size(large)).To(BeNumerically("<=", maxVersionBytes))
	g.Expect(len(large.History())).To(BeNumerically(">", 5))
	g.Expect(publishAll(&apiv1.ObjectSet{}, strings.Repeat("x", maxVersionBytes)).History()).To(HaveLen(1))
	restored := New()
	g.Expect(restored.Restore(large.Snapshot())).To(Succeed())
	g.Expect(proto.Equal(restored.Snapshot(), large.Snapshot())).To(BeTrue())
}

// Guards against too low a bound on how long a request may run whose configuration is no
// longer kept, and against one that stays too high for good.
func TestDroppedVersionCountsWhileItsRequestsMayRun(t *testing.T) {
	g := NewWithT(t)
	const deadlineMS = 20_000
	s := New()
	publish := func(logTimeMS int64, deadlineMS uint32) {
		i := s.Current().Version
		set := fullSizeSet()
		for _, svc := range set.Service {
			svc.MaxDeadlineMs = deadlineMS
		}
		cmd := &apiv1.PublishConfig{RequestId: fmt.Sprint(i), ExpectedVersion: i, Objects: set, Comment: strings.Repeat("x", maxVersionBytes/2)}
		_, err := s.Publish(logTimeMS, cmd)
		g.Expect(err).To(BeNil())
	}
	publish(1000, deadlineMS)
	publish(2000, 1000)
	g.Expect(s.History()).To(HaveLen(1))
	restored := New()
	g.Expect(restored.Restore(s.Snapshot())).To(Succeed())
	g.Expect(restored.LongestDeadlineMS(2000 + deadlineMS)).To(BeEquivalentTo(deadlineMS))
	g.Expect(restored.LongestDeadlineMS(2001 + deadlineMS + admissionDelayMS)).To(BeEquivalentTo(1000))
}
