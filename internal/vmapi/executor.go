package vmapi

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	defaultPollInterval = 500 * time.Millisecond
	// defaultDrainTimeout is used without ExecutorOptions.DrainTimeout. The control
	// leader always sets that, with defaults of package fleet.
	defaultDrainTimeout = 60 * time.Second
	// defaultOperationTimeout is longer than a slow reboot takes.
	defaultOperationTimeout   = 15 * time.Minute
	maxBackoff                = 30 * time.Second
	defaultMaxConcurrentCalls = 16
)

// IntentStore reads the committed intents, which are operations on VMs that the
// control group has decided on, and proposes changes of their phase to the group.
type IntentStore interface {
	// Intents returns the open intents and the finished ones that are still kept.
	Intents() []*apiv1.Intent
	// Advance proposes changes of phases and returns once the command is
	// committed. After an error it may or may not have been committed.
	Advance(ctx context.Context, cmd *apiv1.AdvanceIntents) error
}

// Platform is the part of the platform's API that the executor uses. *Client
// implements it and documents the errors.
type Platform interface {
	Start(ctx context.Context, op *Operation) error
	Get(ctx context.Context, operationID string) (*Operation, error)
}

// ExecutorOptions configures an Executor. Store, Platform and IsIdle are
// required; other zero fields get defaults.
type ExecutorOptions struct {
	Store    IntentStore
	Platform Platform
	// IsIdle reports whether the VM of a draining intent has no job's lease and no
	// granted request. It must return false until every entry process (which grants
	// requests to the VMs' minions) has acknowledged a view, its copy of the part of
	// the state that it needs, in which the VM is leaving. Until then it could still
	// grant work on the VM.
	IsIdle func(in *apiv1.Intent) bool
	// DrainTimeout returns the time after which the operation starts even though
	// the VM is not idle. If DrainTimeout is nil, the time is 60 s.
	DrainTimeout func(in *apiv1.Intent) time.Duration
	// OperationTimeout is the time after which an unfinished operation counts as
	// failed; zero means 15 minutes.
	OperationTimeout time.Duration
	// PollInterval is the time between two steps of Run, and the shortest wait
	// before a failed call is retried; zero means 500 ms.
	PollInterval time.Duration
	// MaxConcurrentCalls limits concurrent calls to the platform; zero means 16.
	MaxConcurrentCalls int
	Clock              clock.Clock
	Log                *logrus.Entry
}

// Executor carries out intents on the leader of the control group. It has no
// state that the next leader would need: the phase of an intent is committed
// before the platform is called, and the platform runs each operation id only
// once.
type Executor struct {
	opts ExecutorOptions
	// progressByID holds the progress of the open intents, by operation id.
	progressByID map[string]*progress
}

// progress is the executor's in-memory state of one intent in its current phase.
type progress struct {
	phase apiv1.IntentPhase
	// firstSeen is the clock's time when this executor first saw the phase.
	// Timeouts count from it, so they start again with a new leader.
	firstSeen time.Duration
	// started is true once the platform has accepted the operation.
	started bool
	// nextCallAt is the earliest clock time of the next call after a failed one,
	// and backoff the wait before it.
	nextCallAt time.Duration
	backoff    time.Duration
}

// NewExecutor returns an executor. It does nothing until Run or Step is called.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.OperationTimeout == 0 {
		o.OperationTimeout = defaultOperationTimeout
	}
	if o.MaxConcurrentCalls == 0 {
		o.MaxConcurrentCalls = defaultMaxConcurrentCalls
	}
	if o.DrainTimeout == nil {
		o.DrainTimeout = func(*apiv1.Intent) time.Duration { return defaultDrainTimeout }
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		o.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Executor{opts: o, progressByID: map[string]*progress{}}
}

// Run carries out intents until ctx is done. The caller ends ctx when this
// process is no longer the leader.
func (e *Executor) Run(ctx context.Context) {
	t := time.NewTicker(e.opts.PollInterval)
	defer t.Stop()
	for {
		if err := e.Step(ctx); err != nil && ctx.Err() == nil {
			e.opts.Log.WithError(err).Warn("cannot advance intents; retrying")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Step checks each open intent once, calls the platform where needed, and
// proposes the phase changes that are due. It must not be called concurrently.
// It returns an error when the proposal failed; failed calls to the platform are
// logged and retried by a later step.
func (e *Executor) Step(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(e.opts.MaxConcurrentCalls)
	intents := e.refreshOpenIntents()
	due := make([]*apiv1.IntentAdvance, len(intents))
	for i, in := range intents {
		p := e.progressByID[in.OperationId]
		calls.Go(func() error {
			due[i] = e.nextAdvance(ctx, in, p)
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		return err
	}
	cmd := &apiv1.AdvanceIntents{Advances: slices.DeleteFunc(due, func(a *apiv1.IntentAdvance) bool { return a == nil })}
	if len(cmd.Advances) == 0 {
		return nil
	}
	if err := e.opts.Store.Advance(ctx, cmd); err != nil {
		return fmt.Errorf("advance %d intents: %w", len(cmd.Advances), err)
	}
	return nil
}

// refreshOpenIntents returns the intents that are draining or operating, and
// drops the progress of all others. An intent whose phase changed starts with
// empty progress.
func (e *Executor) refreshOpenIntents() []*apiv1.Intent {
	var list []*apiv1.Intent
	previous := e.progressByID
	e.progressByID = map[string]*progress{}
	for _, in := range e.opts.Store.Intents() {
		if in.Phase != apiv1.IntentPhase_INTENT_PHASE_DRAINING && in.Phase != apiv1.IntentPhase_INTENT_PHASE_OPERATING {
			continue
		}
		p := previous[in.OperationId]
		if p == nil || p.phase != in.Phase {
			p = &progress{phase: in.Phase, firstSeen: e.opts.Clock.Now()}
		}
		e.progressByID[in.OperationId] = p
		list = append(list, in)
	}
	return list
}

// nextAdvance returns the phase change of an intent that is due, or nil if there
// is none.
func (e *Executor) nextAdvance(ctx context.Context, in *apiv1.Intent, p *progress) *apiv1.IntentAdvance {
	now := e.opts.Clock.Now()
	if in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING {
		if e.opts.IsIdle(in) {
			return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_OPERATING, "")
		}
		if now-p.firstSeen >= e.opts.DrainTimeout(in) {
			return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_OPERATING, "drain timeout passed")
		}
		return nil
	}
	if now < p.nextCallAt {
		return nil
	}
	return e.pollOperation(ctx, in, p, now)
}

// pollOperation starts the operation or gets its state, and returns the phase
// change that follows from it, or nil if the operation goes on.
func (e *Executor) pollOperation(ctx context.Context, in *apiv1.Intent, p *progress, now time.Duration) *apiv1.IntentAdvance {
	op, err := e.startAndGet(ctx, in, p)
	switch {
	case err == nil && op.State == StateDone:
		return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_DONE, "")
	case err == nil && op.State == StateFailed:
		return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, "platform: "+op.Error)
	case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT:
		return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, err.Error())
	case now-p.firstSeen >= e.opts.OperationTimeout:
		return advanceTo(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, fmt.Sprintf("no end after %s", e.opts.OperationTimeout))
	case err != nil:
		p.backoff = min(max(2*p.backoff, e.opts.PollInterval), maxBackoff)
		p.nextCallAt = now + p.backoff
		e.opts.Log.WithError(err).WithFields(logrus.Fields{"operation_id": in.OperationId, "vm": in.Vm}).Warn("platform call failed; retrying")
	default:
		p.backoff = 0
	}
	return nil
}

// startAndGet starts the operation unless this executor has already done so, and
// gets its state. If the platform does not know the operation, the next call
// starts it again.
func (e *Executor) startAndGet(ctx context.Context, in *apiv1.Intent, p *progress) (*Operation, error) {
	if !p.started {
		if err := e.opts.Platform.Start(ctx, operationOf(in)); err != nil {
			return nil, err
		}
		p.started = true
	}
	op, err := e.opts.Platform.Get(ctx, in.OperationId)
	if result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_NOT_FOUND {
		p.started = false
	}
	return op, err
}

func advanceTo(in *apiv1.Intent, phase apiv1.IntentPhase, reason string) *apiv1.IntentAdvance {
	return &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: phase, Reason: reason}
}

// operationOf returns the platform's operation for an intent.
func operationOf(in *apiv1.Intent) *Operation {
	op := &Operation{OperationID: in.OperationId, VM: in.Vm}
	switch in.Kind {
	case apiv1.IntentKind_INTENT_KIND_DRAIN:
		op.Kind = "drain"
	case apiv1.IntentKind_INTENT_KIND_REBOOT:
		op.Kind = "reboot"
	case apiv1.IntentKind_INTENT_KIND_MOVE:
		op.Kind, op.Pool = "move", in.ToPool
	}
	return op
}
