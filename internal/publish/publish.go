// Package publish is the replicated sub-state of configuration versions:
// compare-and-swap on the version, deduplication of resent publishes, and the
// history.
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
	// maxOutcomes bounds the request ids that are remembered: more than two days
	// at the 1,800 changes a day that the system is built for.
	maxOutcomes = 4096
	// maxVersions bounds the history, the current version included.
	maxVersions = 50
	// maxRequestID bounds a request id in bytes.
	maxRequestID = 128
	// maxProblems bounds the problems named in a refusal.
	maxProblems = 10
)

// State holds the published versions. It is not safe for concurrent use.
// Versions grow by one at each publish and never go back.
type State struct {
	// versions ends with the current one; empty before the first publish.
	versions []*apiv1.Config
	// outcomes are in the order of their commit.
	outcomes []*apiv1.PublishOutcome
	byID     map[string]*apiv1.PublishOutcome
}

// New returns the state before the first publish.
func New() *State {
	return &State{byID: map[string]*apiv1.PublishOutcome{}}
}

// Publish applies a command. A resend, with the same request id and content,
// gets the first outcome, a refusal included. The codes are INVALID_ARGUMENT,
// REQUEST_ID_REUSED, VERSION_CONFLICT and CONFIG_INVALID; with each of them
// nothing has changed.
func (s *State) Publish(logTimeMS int64, cmd *apiv1.PublishConfig) (*apiv1.PublishResult, *result.Error) {
	if cmd.RequestId == "" || len(cmd.RequestId) > maxRequestID {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request id must have 1 to %d bytes", maxRequestID)
	}
	digest, err := contentDigest(cmd)
	if err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the configuration cannot be encoded: %v", err)
	}
	if first := s.byID[cmd.RequestId]; first != nil {
		return replay(first, digest)
	}
	outcome := &apiv1.PublishOutcome{
		RequestId: cmd.RequestId, ObjectsDigest: digest, ExpectedVersion: cmd.ExpectedVersion,
	}
	if refusal := s.refusal(cmd); refusal != nil {
		outcome.Status = refusal.Status()
	} else {
		outcome.Version = s.append(logTimeMS, cmd)
	}
	s.remember(outcome)
	return replay(outcome, digest)
}

// contentDigest covers everything but the request id, so that a resend differs
// from the reuse of an id for another change.
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

// replay turns a recorded outcome into the reply for a command with the digest.
func replay(o *apiv1.PublishOutcome, digest []byte) (*apiv1.PublishResult, *result.Error) {
	if !bytes.Equal(o.ObjectsDigest, digest) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_REQUEST_ID_REUSED,
			"request id %q was used for another change; send a new id", o.RequestId)
	}
	if err := result.FromStatus(o.Status); err != nil {
		return nil, result.From(err)
	}
	return &apiv1.PublishResult{Version: o.Version}, nil
}

func (s *State) refusal(cmd *apiv1.PublishConfig) *result.Error {
	if current := s.version(); cmd.ExpectedVersion != current {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT,
			"the change is based on version %d and version %d is current; get it, make the change again and publish", cmd.ExpectedVersion, current)
	}
	return InvalidConfigError(objects.Check(cmd.Objects))
}

// InvalidConfigError returns CONFIG_INVALID with the first problems, nil when all are
// warnings.
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

func (s *State) append(logTimeMS int64, cmd *apiv1.PublishConfig) uint64 {
	set := &apiv1.ObjectSet{}
	proto.Merge(set, cmd.GetObjects())
	config := &apiv1.Config{
		Version:         s.version() + 1,
		Objects:         set,
		PublishedUnixMs: logTimeMS,
		Author:          cmd.Author,
		Comment:         cmd.Comment,
	}
	s.versions = trim(append(s.versions, config), maxVersions)
	return config.Version
}

func (s *State) remember(o *apiv1.PublishOutcome) {
	s.outcomes = append(s.outcomes, o)
	s.byID[o.RequestId] = o
	for _, old := range s.outcomes[:max(0, len(s.outcomes)-maxOutcomes)] {
		delete(s.byID, old.RequestId)
	}
	s.outcomes = trim(s.outcomes, maxOutcomes)
}

// trim keeps the last n elements.
func trim[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Delete(list, 0, len(list)-n)
}

func (s *State) version() uint64 { return s.Current().GetVersion() }

// Current returns the newest version; version 0 with an empty set before the
// first publish. The caller must not change it.
func (s *State) Current() *apiv1.Config {
	if len(s.versions) == 0 {
		return &apiv1.Config{Objects: &apiv1.ObjectSet{}}
	}
	return s.versions[len(s.versions)-1]
}

// History returns the last versions, oldest first and the current one last.
// The caller must not change them.
func (s *State) History() []*apiv1.Config { return slices.Clone(s.versions) }

// Snapshot returns the state as a message that shares nothing that changes.
func (s *State) Snapshot() *apiv1.PublishSnapshot {
	snap := &apiv1.PublishSnapshot{Outcomes: slices.Clone(s.outcomes)}
	if n := len(s.versions); n > 0 {
		snap.Current = s.versions[n-1]
		snap.History = slices.Clone(s.versions[:n-1])
	}
	return snap
}

// Restore replaces the state. It refuses a snapshot whose versions do not grow
// or whose request ids repeat, and then leaves the state as it was.
func (s *State) Restore(snap *apiv1.PublishSnapshot) error {
	restored := New()
	restored.versions = slices.Clone(snap.GetHistory())
	if snap.GetCurrent() != nil {
		restored.versions = append(restored.versions, snap.Current)
	} else if len(restored.versions) > 0 {
		return fmt.Errorf("publish snapshot: there is a history and no current version")
	}
	for i := 1; i < len(restored.versions); i++ {
		if restored.versions[i].Version <= restored.versions[i-1].Version {
			return fmt.Errorf("publish snapshot: version %d follows version %d", restored.versions[i].Version, restored.versions[i-1].Version)
		}
	}
	for _, o := range snap.GetOutcomes() {
		if restored.byID[o.RequestId] != nil {
			return fmt.Errorf("publish snapshot: request id %q stands twice", o.RequestId)
		}
		restored.remember(o)
	}
	*s = *restored
	return nil
}
