package scheduler

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// mirrorTimeout is how long a batch may wait for the standby, repeats
	// included. Grants wait this long when a standby is lost.
	mirrorTimeout = 300 * time.Millisecond
	// mirrorRetryInterval spaces the repeats of a batch whose answer was lost.
	mirrorRetryInterval = 20 * time.Millisecond
	// standbyExclusion is how long a session that did not answer is not chosen.
	standbyExclusion = 2 * time.Second
)

// standby is the host's side of the mirror. It is guarded by the lock of
// hosted.
//
// A successor that counts the mirror counts every grant of the old epoch that
// could have left the old host, for these reasons:
//   - From before the first proposal of a standby until the commit that removes
//     it, a grant leaves only after the standby acknowledged a batch with it.
//     Grants that left earlier are in batches acknowledged before the proposal.
//   - Proposals carry a sequence, so a delayed one cannot bring back a standby
//     after its removal.
//   - Membership hands the shard over with the mirror only to the committed
//     standby under the same session. That process refuses batches of the old
//     epoch from the moment it takes the mirror, so the old host gets no
//     acknowledgement for a grant that the successor did not count.
//   - The old host cannot commit the removal after the hand-over, because its
//     epoch is then stale.
//   - A copy's time counts from its receipt, so it ends after the original's.
type standby struct {
	target *apiv1.Session
	// Grants wait for the acknowledgement of their batch.
	awaitsAcks bool
	// A SetStandby for the target may be committed.
	proposed bool
	held     []*heldOutcome
	// Sequences of the newest lastBatch and of the newest lastProposal of this epoch.
	lastBatch, lastProposal uint64
	// Sessions that did not answer, and until when they are not chosen.
	excludedUntil map[uint64]time.Duration
}

// heldOutcome is a grant that has not left; batch is zero until it is sent.
type heldOutcome struct {
	out   Outcome
	batch uint64
}

// maintainStandby has a standby for the shard until ctx ends.
func (sh *hostedShard) maintainStandby(ctx context.Context) {
	for ctx.Err() == nil {
		if !sh.chooseStandby() {
			sleep(ctx, retryInterval)
			continue
		}
		sh.mirrorToStandby(ctx)
		sh.removeStandby(ctx)
	}
}

// chooseStandby takes the live session of another process that is in another
// availability zone, if there is one, and that hosts and copies the fewest
// shards.
func (sh *hostedShard) chooseStandby() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	own := sh.snap.Session(sh.assigned.SessionId)
	if own == nil || own.Expired || !sh.canGrant() {
		return false
	}
	maps.DeleteFunc(sh.standby.excludedUntil, func(_ uint64, until time.Duration) bool { return sh.now() >= until })
	load := map[uint64]int{}
	for _, other := range sh.snap.View.GetShards() {
		load[other.SessionId]++
		load[other.StandbySessionId]++
	}
	before := func(a, b *apiv1.Session) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.AvailabilityZone == own.AvailabilityZone), boolToInt(b.AvailabilityZone == own.AvailabilityZone)),
			cmp.Compare(load[a.Id], load[b.Id]),
			cmp.Compare(tieBreak(sh.assigned.Service, a), tieBreak(sh.assigned.Service, b)),
			cmp.Compare(a.Id, b.Id),
		)
	}
	var best *apiv1.Session
	for _, s := range sh.snap.View.GetSessions() {
		if s.Expired || s.ProcessId == own.ProcessId || sh.standby.excludedUntil[s.Id] > 0 {
			continue
		}
		if best == nil || before(s, best) < 0 {
			best = s
		}
	}
	sh.standby.target = best
	return best != nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tieBreak gives each service another order of equally loaded sessions.
func tieBreak(service string, s *apiv1.Session) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "\x00" + s.ProcessId))
	return h.Sum64()
}

// mirrorToStandby returns when the target can no longer be the standby.
func (sh *hostedShard) mirrorToStandby(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !sh.sendBatch(ctx, sh.nextBatch((*Core).StartMirror)) {
		return
	}
	sh.mu.Lock()
	sh.standby.awaitsAcks = true
	sh.mu.Unlock()
	// This batch has the grants that left while the full set was under way.
	if !sh.sendBatch(ctx, sh.nextBatch((*Core).TakeChanges)) {
		return
	}
	sh.mu.Lock()
	sh.standby.proposed = true
	sh.mu.Unlock()
	committed := make(chan struct{})
	go func() { defer close(committed); sh.commitStandby(ctx, cancel) }()
	sh.sendChanges(ctx)
	cancel()
	<-committed
}

// sendChanges sends one batch at a time; what collects in the meantime goes
// into the next one.
func (sh *hostedShard) sendChanges(ctx context.Context) {
	for ctx.Err() == nil && sh.isSessionLive(sh.standby.target.Id) {
		sh.mu.Lock()
		idle := sh.core.changes.empty()
		sh.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-sh.grantsChanged:
			case <-time.After(retryInterval):
			}
			continue
		}
		if !sh.sendBatch(ctx, sh.nextBatch((*Core).TakeChanges)) {
			return
		}
	}
}

func (sh *hostedShard) nextBatch(take func(*Core, time.Duration) *apiv1.MirrorBatch) *apiv1.MirrorBatch {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	batch := take(sh.core, sh.now())
	sh.standby.lastBatch++
	batch.Sequence = sh.standby.lastBatch
	batch.SessionId = sh.standby.target.Id
	for _, h := range sh.standby.held {
		if h.batch == 0 {
			h.batch = batch.Sequence
		}
	}
	return batch
}

// sendBatch returns true once the standby acknowledged the batch, and lets the
// grants in it go.
func (sh *hostedShard) sendBatch(ctx context.Context, batch *apiv1.MirrorBatch) bool {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	for {
		err := sh.host.opts.RPCClient.Call(ctx, sh.standby.target.RpcAddress, "Shard.Mirror", batch, &apiv1.Empty{})
		if err == nil {
			sh.deliverAcknowledged(batch.Sequence)
			return true
		}
		if ctx.Err() != nil || refusedByStandby(err) {
			sh.log.WithError(err).WithField("session_id", batch.SessionId).Info("standby does not acknowledge grants")
			return false
		}
		sleep(ctx, mirrorRetryInterval)
	}
}

func refusedByStandby(err error) bool {
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, apiv1.ResultCode_RESULT_CODE_NO_SESSION,
		apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN:
		return true
	}
	return false
}

// commitStandby proposes the target until that is committed, and calls giveUp
// when it is refused.
func (sh *hostedShard) commitStandby(ctx context.Context, giveUp func()) {
	for ctx.Err() == nil {
		err := sh.proposeStandby(ctx, sh.standby.target.Id)
		switch {
		case err == nil:
			return
		case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT:
			giveUp()
			return
		}
		sleep(ctx, retryInterval)
	}
}

// removeStandby lets the waiting grants go once the target is not the
// committed standby any more.
func (sh *hostedShard) removeStandby(ctx context.Context) {
	for sh.isStandbyProposed() {
		err := sh.proposeStandby(ctx, 0)
		if err == nil {
			break
		}
		if result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_EPOCH_STALE {
			sh.stop(handedOverError(sh.assigned.Service))
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, retryInterval)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	st := &sh.standby
	st.excludedUntil[st.target.Id] = sh.now() + standbyExclusion
	st.awaitsAcks, st.proposed = false, false
	sh.core.StopMirror()
	held := st.held
	st.held = nil
	for _, h := range held {
		sh.deliverHeld(h.out)
	}
}

func (sh *hostedShard) isStandbyProposed() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.standby.proposed
}

func (sh *hostedShard) proposeStandby(ctx context.Context, session uint64) error {
	sh.mu.Lock()
	sh.standby.lastProposal++
	cmd := &apiv1.SetStandby{Service: sh.assigned.Service, Epoch: sh.assigned.Epoch, SessionId: session, Sequence: sh.standby.lastProposal}
	sh.mu.Unlock()
	_, err := sh.execute(ctx, &apiv1.Command{Body: &apiv1.Command_SetStandby{SetStandby: cmd}})
	return err
}
