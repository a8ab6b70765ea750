package publish

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// admissionDelayMS is how long entries may still admit requests under a version that was
// replaced, in ms. It is well above the time in which they get the next one or lose their
// session.
const admissionDelayMS = 10_000

// droppedVersions is what matters of the versions that are no longer kept: the longest
// request timeout, and the log time until which requests that were admitted under them
// may run.
type droppedVersions struct {
	deadlineMS uint32
	untilMS    int64
}

// keep adds a version as the current one.
func (s *State) keep(c *apiv1.Config) {
	s.versions = append(s.versions, c)
	s.sizes = append(s.sizes, proto.Size(c))
}

// trim drops the oldest versions beyond maxVersions and maxVersionBytes.
func (s *State) trim(logTimeMS int64) {
	first, bytes := len(s.versions)-1, s.sizes[len(s.sizes)-1]
	for first > 0 && len(s.versions)-first < maxVersions && bytes+s.sizes[first-1] <= maxVersionBytes {
		first--
		bytes += s.sizes[first]
	}
	for _, c := range s.versions[:first] {
		s.noteDropped(longestDeadlineMS(c), logTimeMS)
	}
	s.versions, s.sizes = slices.Delete(s.versions, 0, first), slices.Delete(s.sizes, 0, first)
}

// noteDropped records that a version with the given longest request timeout is dropped.
func (s *State) noteDropped(deadlineMS uint32, logTimeMS int64) {
	if logTimeMS > s.dropped.untilMS {
		s.dropped.deadlineMS = 0
	}
	s.dropped.deadlineMS = max(s.dropped.deadlineMS, deadlineMS)
	s.dropped.untilMS = max(s.dropped.untilMS, logTimeMS+int64(deadlineMS)+admissionDelayMS)
}

// LongestDeadlineMS returns the longest request timeout of any service, in ms, in the
// versions that are kept and in those dropped so recently that requests which were
// admitted under them may run at a log time.
func (s *State) LongestDeadlineMS(logTimeMS int64) uint32 {
	longest := uint32(0)
	if logTimeMS <= s.dropped.untilMS {
		longest = s.dropped.deadlineMS
	}
	for _, c := range s.versions {
		longest = max(longest, longestDeadlineMS(c))
	}
	return longest
}

func longestDeadlineMS(c *apiv1.Config) uint32 {
	longest := uint32(0)
	for _, svc := range c.GetObjects().GetService() {
		longest = max(longest, svc.MaxDeadlineMs)
	}
	return longest
}
