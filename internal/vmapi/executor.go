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
	defaultPoll         = 500 * time.Millisecond
	defaultDrainTimeout = 60 * time.Second
	// defaultOperationTimeout is above the time of a slow reboot.
	defaultOperationTimeout = 15 * time.Minute
	maxRetryWait            = 30 * time.Second
	defaultMaxCalls         = 16
)

// IntentStore reads intents as committed and proposes their advance.
type IntentStore interface {
	Intents() []*apiv1.Intent
	// Advance returns once the command is committed. After an error it may or
	// may not be.
	Advance(ctx context.Context, cmd *apiv1.AdvanceIntents) error
}

// Platform is the part of the platform that the executor uses; *Client implements it.
type Platform interface {
	Start(ctx context.Context, op *Operation) error
	Get(ctx context.Context, operationID string) (*Operation, error)
}

// ExecutorOptions are what an executor works on. Store, Platform and Idle are
// required.
type ExecutorOptions struct {
	Store    IntentStore
	Platform Platform
	// IsIdle reports whether the VM of a draining intent holds no lease and no
	// grant. It must be false until every entry has acknowledged a view in which
	// the VM is leaving, because an entry could still grant work there.
	IsIdle func(in *apiv1.Intent) bool
	// DrainTimeout is after which time the operation starts although the VM is
	// not idle; 60 s when nil.
	DrainTimeout func(in *apiv1.Intent) time.Duration
	// OperationTimeout is after which time an operation counts as failed.
	OperationTimeout time.Duration
	PollInterval     time.Duration
	// MaxConcurrentCalls bounds the calls to the platform at once.
	MaxConcurrentCalls int
	Clock              clock.Clock
	Log                *logrus.Entry
}

// Executor carries out intents on the leader. It keeps nothing that the next
// leader needs: the phase is committed before the platform is asked, and the
// platform runs an operation id once.
type Executor struct {
	o ExecutorOptions
	// progress holds the intents in progress by operation id.
	progress map[string]*progress
}

// progress is what the executor remembers of one intent.
type progress struct {
	phase apiv1.IntentPhase
	// since is when this executor first saw the phase. A new leader gives the
	// full time again.
	since   time.Duration
	started bool
	nextAt  time.Duration
	wait    time.Duration
}

// NewExecutor returns an executor that does nothing before Run or Step.
func NewExecutor(o ExecutorOptions) *Executor {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPoll
	}
	if o.OperationTimeout == 0 {
		o.OperationTimeout = defaultOperationTimeout
	}
	if o.MaxConcurrentCalls == 0 {
		o.MaxConcurrentCalls = defaultMaxCalls
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
	return &Executor{o: o, progress: map[string]*progress{}}
}

// Run carries out intents until ctx ends, which is when this process no longer
// leads.
func (e *Executor) Run(ctx context.Context) {
	t := time.NewTicker(e.o.PollInterval)
	defer t.Stop()
	for {
		if err := e.Step(ctx); err != nil && ctx.Err() == nil {
			e.o.Log.WithError(err).Warn("advance of intents failed; it is repeated")
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Step looks once at each intent and proposes the advances that are due. It must
// not be called concurrently.
func (e *Executor) Step(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(e.o.MaxConcurrentCalls)
	open := e.open()
	due := make([]*apiv1.IntentAdvance, len(open))
	for i, in := range open {
		p := e.progress[in.OperationId]
		calls.Go(func() error {
			due[i] = e.next(ctx, in, p)
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
	if err := e.o.Store.Advance(ctx, cmd); err != nil {
		return fmt.Errorf("advance %d intents: %w", len(cmd.Advances), err)
	}
	return nil
}

// open returns the intents in progress and forgets the others.
func (e *Executor) open() []*apiv1.Intent {
	var list []*apiv1.Intent
	known := e.progress
	e.progress = map[string]*progress{}
	for _, in := range e.o.Store.Intents() {
		if in.Phase != apiv1.IntentPhase_INTENT_PHASE_DRAINING && in.Phase != apiv1.IntentPhase_INTENT_PHASE_OPERATING {
			continue
		}
		p := known[in.OperationId]
		if p == nil || p.phase != in.Phase {
			p = &progress{phase: in.Phase, since: e.o.Clock.Now()}
		}
		e.progress[in.OperationId] = p
		list = append(list, in)
	}
	return list
}

// next returns the advance that is due, nil when there is none.
func (e *Executor) next(ctx context.Context, in *apiv1.Intent, p *progress) *apiv1.IntentAdvance {
	now := e.o.Clock.Now()
	if in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING {
		if e.o.IsIdle(in) {
			return advance(in, apiv1.IntentPhase_INTENT_PHASE_OPERATING, "")
		}
		if now-p.since >= e.o.DrainTimeout(in) {
			return advance(in, apiv1.IntentPhase_INTENT_PHASE_OPERATING, "drain timeout passed")
		}
		return nil
	}
	if now < p.nextAt {
		return nil
	}
	return e.operate(ctx, in, p, now)
}

// operate starts the operation, or asks for its state.
func (e *Executor) operate(ctx context.Context, in *apiv1.Intent, p *progress, now time.Duration) *apiv1.IntentAdvance {
	op, err := e.call(ctx, in, p)
	switch {
	case err == nil && op.State == StateDone:
		return advance(in, apiv1.IntentPhase_INTENT_PHASE_DONE, "")
	case err == nil && op.State == StateFailed:
		return advance(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, "platform: "+op.Error)
	case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT:
		return advance(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, err.Error())
	case now-p.since >= e.o.OperationTimeout:
		return advance(in, apiv1.IntentPhase_INTENT_PHASE_FAILED, fmt.Sprintf("no end after %s", e.o.OperationTimeout))
	case err != nil:
		p.wait = min(max(2*p.wait, e.o.PollInterval), maxRetryWait)
		p.nextAt = now + p.wait
		e.o.Log.WithError(err).WithFields(logrus.Fields{"operation_id": in.OperationId, "vm": in.Vm}).Warn("platform call failed; it is repeated")
	default:
		p.wait = 0
	}
	return nil
}

// call starts the operation unless this executor has done so, then gets its
// state. An operation that the platform does not know is started again.
func (e *Executor) call(ctx context.Context, in *apiv1.Intent, p *progress) (*Operation, error) {
	if !p.started {
		if err := e.o.Platform.Start(ctx, operationOf(in)); err != nil {
			return nil, err
		}
		p.started = true
	}
	op, err := e.o.Platform.Get(ctx, in.OperationId)
	if result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_NOT_FOUND {
		p.started = false
	}
	return op, err
}

func advance(in *apiv1.Intent, phase apiv1.IntentPhase, reason string) *apiv1.IntentAdvance {
	return &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: phase, Reason: reason}
}

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
