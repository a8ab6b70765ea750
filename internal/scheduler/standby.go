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
	// mirrorTimeout is how long the host tries to get a batch of changed grants
	// acknowledged by the standby, including retries. Undelivered grants wait this
	// long when the standby is lost.
	mirrorTimeout = 300 * time.Millisecond
	// mirrorRetryInterval is the time between two attempts to send a batch.
	mirrorRetryInterval = 20 * time.Millisecond
	// standbyExclusion is the time after the removal of a standby during which
	// its session is not chosen again.
	standbyExclusion = 2 * time.Second
)

// standby is the host's side of the mirroring of the grants (permissions to send
// one request to a minion) of a shard, the scheduler of one service, to another
// entry process. It is guarded by hostedShard.mu. The session changes only while no
// batch and no proposal is being sent, so the functions that send them read it
// without the lock.
//
// The committed standby can become the shard's next host, the successor, and
// start granting without the reports of all sessions. The mirror that it takes
// over has every grant of the old epoch that the old host may have delivered:
//   - From before the first proposal of a standby until its removal is
//     committed, a grant is delivered only after the standby has acknowledged a
//     batch with it. Grants delivered earlier are in batches that were
//     acknowledged before the proposal.
//   - Proposals carry a sequence number, so a delayed one cannot bring back a
//     standby after its removal.
//   - The control group's membership state assigns a shard together with its
//     mirror only to the committed standby, and only under the same session.
//     From the moment at which that process takes the mirror, it refuses batches
//     of the old epoch. So the old host gets no acknowledgement for a grant that
//     is missing in the successor's mirror.
//   - The old host cannot commit the removal of the standby after the new
//     assignment, because its epoch is then stale.
//   - The remaining time of a copy is counted from its receipt, so the copy
//     expires no earlier than the grant.
type standby struct {
	// Session (lease with the control group) of the process that is the standby or
	// is to become it.
	session *apiv1.Session
	// Grants stay undelivered until their batch is acknowledged.
	awaitsAcks bool
	// A SetStandby command for the session may be committed.
	proposed    bool
	undelivered []*undeliveredGrant // in the order in which they were granted
	// Sequence numbers of the newest batch and of the newest proposal of this
	// epoch.
	lastBatch, lastProposal uint64
	// Sessions that were removed as standby, and the time until which they are
	// not chosen again.
	excludedUntil map[uint64]time.Duration
}

// undeliveredGrant is a grant that its waiter has not got yet. The batch is the
// sequence number of the first mirror batch made since the grant, zero before
// that.
type undeliveredGrant struct {
	out   Outcome
	batch uint64
}

// maintainStandby chooses a standby and mirrors the shard's grants to it, and
// replaces it when it is lost, until ctx ends.
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

// chooseStandby sets the session to a live one of another process and reports
// whether there is one. It prefers a session in another availability zone, then
// the one that is host or standby of the fewest shards.
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
	compare := func(a, b *apiv1.Session) int {
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
		if best == nil || compare(s, best) < 0 {
			best = s
		}
	}
	sh.standby.session = best
	return best != nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tieBreak returns a hash that orders sessions differently for each service, so
// that the services spread over equally loaded sessions.
func tieBreak(service string, s *apiv1.Session) uint64 {
	h := fnv.New64a()
	h.Write([]byte(service + "\x00" + s.ProcessId))
	return h.Sum64()
}

// mirrorToStandby sends all grants to the process of the chosen session, proposes
// the session as the standby, and then sends the changes. It returns when the
// session can no longer be the standby.
func (sh *hostedShard) mirrorToStandby(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !sh.sendBatch(ctx, sh.nextBatch((*Core).StartMirror)) {
		return
	}
	sh.mu.Lock()
	sh.standby.awaitsAcks = true
	sh.mu.Unlock()
	// This batch has the grants delivered while the first batch, which has all
	// earlier ones, was sent.
	if !sh.sendBatch(ctx, sh.nextBatch((*Core).TakeChanges)) {
		return
	}
	sh.mu.Lock()
	sh.standby.proposed = true
	sh.mu.Unlock()
	committed := make(chan struct{})
	go func() { defer close(committed); sh.setStandbyUntilCommitted(ctx, cancel) }()
	sh.sendChanges(ctx)
	cancel()
	<-committed
}

// sendChanges sends the changes of the grants until the standby is lost or ctx
// ends. It sends one batch at a time; the next one has all changes since then.
func (sh *hostedShard) sendChanges(ctx context.Context) {
	for ctx.Err() == nil && sh.isSessionLive(sh.standby.session.Id) {
		sh.mu.Lock()
		idle := sh.core.changes.isEmpty()
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

// nextBatch returns the batch made by take, Core.StartMirror or Core.TakeChanges,
// with its sequence number, and assigns it to the undelivered grants that are in
// no earlier batch.
func (sh *hostedShard) nextBatch(take func(*Core, time.Duration) *apiv1.MirrorBatch) *apiv1.MirrorBatch {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	batch := take(sh.core, sh.now())
	sh.standby.lastBatch++
	batch.Sequence = sh.standby.lastBatch
	batch.SessionId = sh.standby.session.Id
	for _, h := range sh.standby.undelivered {
		if h.batch == 0 {
			h.batch = batch.Sequence
		}
	}
	return batch
}

// sendBatch sends a batch to the standby, and again when that fails for another
// reason than a refusal. Once the standby has acknowledged the batch, sendBatch
// delivers the grants in it and returns true. It returns false when the
// standby refuses the batch or mirrorTimeout is over.
func (sh *hostedShard) sendBatch(ctx context.Context, batch *apiv1.MirrorBatch) bool {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	for {
		err := sh.host.opts.RPCClient.Call(ctx, sh.standby.session.RpcAddress, "Shard.Mirror", batch, &apiv1.Empty{})
		if err == nil {
			sh.deliverAcknowledged(batch.Sequence)
			return true
		}
		if ctx.Err() != nil || refusedByStandby(err) {
			sh.log.WithError(err).WithField("session_id", batch.SessionId).Info("standby did not acknowledge the mirrored grants")
			return false
		}
		sleep(ctx, mirrorRetryInterval)
	}
}

// refusedByStandby reports whether the error is the standby's refusal of a
// batch, after which a retry is useless.
func refusedByStandby(err error) bool {
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, apiv1.ResultCode_RESULT_CODE_NO_SESSION,
		apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN:
		return true
	}
	return false
}

// setStandbyUntilCommitted proposes the session as the standby until that is
// committed. It calls onRefused if the control group refuses it.
func (sh *hostedShard) setStandbyUntilCommitted(ctx context.Context, onRefused func()) {
	for ctx.Err() == nil {
		err := sh.commitSetStandby(ctx, sh.standby.session.Id)
		switch {
		case err == nil:
			return
		case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT:
			onRefused()
			return
		}
		sleep(ctx, retryInterval)
	}
}

// removeStandby makes sure that the session is no longer the committed standby,
// stops the mirroring and delivers the undelivered grants.
func (sh *hostedShard) removeStandby(ctx context.Context) {
	for sh.isStandbyProposed() {
		err := sh.commitSetStandby(ctx, 0)
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
	st.excludedUntil[st.session.Id] = sh.now() + standbyExclusion
	st.awaitsAcks, st.proposed = false, false
	sh.core.StopMirror()
	undelivered := st.undelivered
	st.undelivered = nil
	for _, h := range undelivered {
		sh.deliverGrant(h.out)
	}
}

// isStandbyProposed reports whether the session may be the committed standby.
func (sh *hostedShard) isStandbyProposed() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.standby.proposed
}

// commitSetStandby proposes one SetStandby command, which commits a session as
// the shard's standby; zero removes it.
func (sh *hostedShard) commitSetStandby(ctx context.Context, session uint64) error {
	sh.mu.Lock()
	sh.standby.lastProposal++
	cmd := &apiv1.SetStandby{Service: sh.assigned.Service, Epoch: sh.assigned.Epoch, SessionId: session, Sequence: sh.standby.lastProposal}
	sh.mu.Unlock()
	_, err := sh.execute(ctx, &apiv1.Command{Body: &apiv1.Command_SetStandby{SetStandby: cmd}})
	return err
}
