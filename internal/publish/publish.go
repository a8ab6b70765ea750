// Package publish keeps the published versions of the configuration as a part
// of the replicated state. A publish is a compare-and-swap on the version, and
// a publish that is sent again is applied once.
package publish

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

const (
	// maxOutcomes bounds the request ids whose outcome is kept for duplicates. At
	// the 1,800 changes a day that the system is built for, it covers more than
	// two days.
	maxOutcomes = 4096
	// maxVersions bounds the versions that are kept, including the current one.
	maxVersions = 50
	// maxVersionBytes bounds the size of these versions. The current one is kept
	// whatever its size. At the size that the system is built for, 50 versions are
	// 23 MB.
	maxVersionBytes = 32 << 20
	// maxRequestIDBytes bounds the length of a request id.
	maxRequestIDBytes = 128
	// maxProblems bounds the problems listed in a CONFIG_INVALID message.
	maxProblems = 10
)

// State holds the published versions and the outcomes of recent publishes. It
// is not safe for concurrent use. Version numbers start at 1 and increase by
// one with each accepted publish.
type State struct {
	// versions is ordered from oldest to current, and empty before the first
	// publish.
	versions []*apiv1.Config
	// sizes has the encoded sizes of the versions.
	sizes   []int
	dropped droppedVersions
	// outcomes is in commit order.
	outcomes    []*apiv1.PublishOutcome
	outcomeByID map[string]*apiv1.PublishOutcome
}

// New returns the state before the first publish.
func New() *State {
	return &State{outcomeByID: map[string]*apiv1.PublishOutcome{}}
}

// Publish applies a command. logTimeMS is the state machine's clock, the largest
// time that an applied command carries, in Unix milliseconds, and becomes the
// time of publication. A duplicate, which has the same request id and content as
// an earlier command, gets the outcome of the first one, even if that was an
// error. The error codes are INVALID_ARGUMENT, REQUEST_ID_REUSED,
// VERSION_CONFLICT and CONFIG_INVALID; the published versions are then unchanged.
func (s *State) Publish(logTimeMS int64, cmd *apiv1.PublishConfig) (*apiv1.PublishResult, *result.Error) {
	if cmd.RequestId == "" || len(cmd.RequestId) > maxRequestIDBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request id must have 1 to %d bytes", maxRequestIDBytes)
	}
	digest, err := contentDigest(cmd)
	if err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the configuration cannot be encoded: %v", err)
	}
	if first := s.outcomeByID[cmd.RequestId]; first != nil {
		return resultOf(first, digest)
	}
	outcome := &apiv1.PublishOutcome{
		RequestId: cmd.RequestId, ObjectsDigest: digest, ExpectedVersion: cmd.ExpectedVersion,
	}
	if refusal := s.validate(cmd); refusal != nil {
		outcome.Status = refusal.Status()
	} else {
		outcome.Version = s.appendVersion(logTimeMS, cmd)
	}
	s.recordOutcome(outcome)
	return resultOf(outcome, digest)
}

// contentDigest hashes every field except the request id. It tells a duplicate
// from a different change that reuses a request id.
func contentDigest(cmd *apiv1.PublishConfig) ([]byte, error) {
	content := proto.CloneOf(cmd)
	content.RequestId = ""
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("marshal the publish: %w", err)
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}

// resultOf returns the result that a recorded outcome gives to a command with
// the digest, and REQUEST_ID_REUSED when the outcome is that of another change.
func resultOf(o *apiv1.PublishOutcome, digest []byte) (*apiv1.PublishResult, *result.Error) {
	if !bytes.Equal(o.ObjectsDigest, digest) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_REQUEST_ID_REUSED,
			"request id %q was used for another change; send a new id", o.RequestId)
	}
	if err := result.FromStatus(o.Status); err != nil {
		return nil, result.From(err)
	}
	return &apiv1.PublishResult{Version: o.Version}, nil
}

// validate returns VERSION_CONFLICT or CONFIG_INVALID, or nil when the command
// can be applied.
func (s *State) validate(cmd *apiv1.PublishConfig) *result.Error {
	if current := s.version(); cmd.ExpectedVersion != current {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT,
			"the change is based on version %d and version %d is current; get it, make the change again and publish", cmd.ExpectedVersion, current)
	}
	return InvalidConfigError(objects.Check(cmd.Objects))
}

// InvalidConfigError returns CONFIG_INVALID with the first problems that are
// errors, or nil when all problems are warnings.
func InvalidConfigError(problems []objects.Problem) *result.Error {
	errs := settings.WithoutWarnings(problems)
	if len(errs) == 0 {
		return nil
	}
	var lines []string
	for _, p := range errs[:min(len(errs), maxProblems)] {
		lines = append(lines, p.String())
	}
	if more := len(errs) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID, "%d problems: %s", len(errs), strings.Join(lines, "\n"))
}

// appendVersion adds a copy of the command's objects as the current version and
// returns its number.
func (s *State) appendVersion(logTimeMS int64, cmd *apiv1.PublishConfig) uint64 {
	set := &apiv1.ObjectSet{}
	proto.Merge(set, cmd.GetObjects())
	config := &apiv1.Config{
		Version:         s.version() + 1,
		Objects:         set,
		PublishedUnixMs: logTimeMS,
		Author:          cmd.Author,
		Comment:         cmd.Comment,
	}
	s.keep(config)
	s.trim(logTimeMS)
	return config.Version
}

// recordOutcome keeps an outcome for duplicates and drops the oldest ones above
// maxOutcomes.
func (s *State) recordOutcome(o *apiv1.PublishOutcome) {
	s.outcomes = append(s.outcomes, o)
	s.outcomeByID[o.RequestId] = o
	for _, old := range s.outcomes[:max(0, len(s.outcomes)-maxOutcomes)] {
		delete(s.outcomeByID, old.RequestId)
	}
	s.outcomes = keepLast(s.outcomes, maxOutcomes)
}

// keepLast removes all but the last n elements, in place.
func keepLast[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Delete(list, 0, len(list)-n)
}

func (s *State) version() uint64 { return s.Current().GetVersion() }

// Current returns the newest version, or version 0 with an empty set before
// the first publish. The caller must not modify it.
func (s *State) Current() *apiv1.Config {
	if len(s.versions) == 0 {
		return &apiv1.Config{Objects: &apiv1.ObjectSet{}}
	}
	return s.versions[len(s.versions)-1]
}

// History returns the kept versions, at most maxVersions of at most maxVersionBytes,
// from the oldest to the current one. The caller must not modify them. The history of a snapshot does not
// include the current version.
func (s *State) History() []*apiv1.Config { return slices.Clone(s.versions) }

// Snapshot returns the state as a message. Later publishes don't modify it.
func (s *State) Snapshot() *apiv1.PublishSnapshot {
	snap := &apiv1.PublishSnapshot{
		Outcomes: slices.Clone(s.outcomes), DroppedDeadlineMs: s.dropped.deadlineMS, DroppedUntilUnixMs: s.dropped.untilMS,
	}
	if n := len(s.versions); n > 0 {
		snap.Current = s.versions[n-1]
		snap.History = slices.Clone(s.versions[:n-1])
	}
	return snap
}

// Restore replaces the state by a snapshot. It returns an error, and leaves the
// state unchanged, if the versions do not increase, if there is a history
// without a current version, or if a request id appears twice.
func (s *State) Restore(snap *apiv1.PublishSnapshot) error {
	restored := New()
	restored.dropped = droppedVersions{snap.GetDroppedDeadlineMs(), snap.GetDroppedUntilUnixMs()}
	for _, c := range snap.GetHistory() {
		restored.keep(c)
	}
	if snap.GetCurrent() != nil {
		restored.keep(snap.Current)
	} else if len(restored.versions) > 0 {
		return fmt.Errorf("publish snapshot: there is a history but no current version")
	}
	for i := 1; i < len(restored.versions); i++ {
		if restored.versions[i].Version <= restored.versions[i-1].Version {
			return fmt.Errorf("publish snapshot: version %d follows version %d", restored.versions[i].Version, restored.versions[i-1].Version)
		}
	}
	for _, o := range snap.GetOutcomes() {
		if restored.outcomeByID[o.RequestId] != nil {
			return fmt.Errorf("publish snapshot: request id %q appears twice", o.RequestId)
		}
		restored.recordOutcome(o)
	}
	*s = *restored
	return nil
}
