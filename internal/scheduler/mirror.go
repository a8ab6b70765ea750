package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

// changeLog collects the grants (permissions to send one request to a minion) that
// were made and ended since the last mirror batch, the message with which the host
// of a shard, the scheduler of one service, copies its grants to the standby, the
// process that becomes the next host. A nil *changeLog collects nothing.
type changeLog struct {
	added   []*grant
	removed []grantKey
}

func (l *changeLog) add(g *grant) {
	if l != nil {
		l.added = append(l.added, g)
	}
}

func (l *changeLog) remove(key grantKey) {
	if l != nil {
		l.removed = append(l.removed, key)
	}
}

func (l *changeLog) isEmpty() bool {
	return l == nil || len(l.added)+len(l.removed) == 0
}

// StartMirror returns a batch with all grants and starts to collect the changes
// for TakeChanges.
func (c *Core) StartMirror(now time.Duration) *apiv1.MirrorBatch {
	c.changes = &changeLog{}
	batch := &apiv1.MirrorBatch{Service: c.service, Epoch: c.epoch, Full: true}
	for _, g := range c.grants {
		batch.Added = append(batch.Added, g.toMirrored(now))
	}
	slices.SortFunc(batch.Added, func(a, b *apiv1.MirroredGrant) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.GrantId, b.GrantId))
	})
	return batch
}

// StopMirror ends the collection of changes.
func (c *Core) StopMirror() { c.changes = nil }

// TakeChanges returns a batch with the changes since the last batch. It may be
// called only between StartMirror and StopMirror.
func (c *Core) TakeChanges(now time.Duration) *apiv1.MirrorBatch {
	batch := &apiv1.MirrorBatch{Service: c.service, Epoch: c.epoch}
	for _, g := range c.changes.added {
		batch.Added = append(batch.Added, g.toMirrored(now))
	}
	for _, key := range c.changes.removed {
		batch.Removed = append(batch.Removed, &apiv1.GrantName{Epoch: key.epoch, GrantId: key.id})
	}
	c.changes = &changeLog{}
	return batch
}

func (g *grant) toMirrored(now time.Duration) *apiv1.MirroredGrant {
	return &apiv1.MirroredGrant{
		GrantId:     g.key.id,
		Epoch:       g.key.epoch,
		MinionId:    g.minion.id,
		Team:        g.team,
		SessionId:   g.session,
		RemainingMs: ceilMilliseconds(g.expires - now),
	}
}

// ceilMilliseconds converts a duration to milliseconds, zero if it is negative.
// It rounds up, so that a copy of a grant never expires before the original.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32(max(0, d+time.Millisecond-1) / time.Millisecond)
}

// AddMirrored adds the grants that the shard's previous host mirrored to this
// process.
func (c *Core) AddMirrored(now time.Duration, copies []*mirrorCopy) {
	for _, m := range copies {
		key := mirroredKey(m.grant)
		_, released := c.earlyReleases[key]
		if c.grants[key] != nil || released || key.epoch >= c.epoch || m.expires <= now {
			continue
		}
		c.addInherited(now, &grant{
			key:     key,
			session: m.grant.SessionId,
			team:    m.grant.Team,
			minion:  c.minion(m.grant.MinionId),
			granted: now,
			expires: m.expires,
			heapPos: -1,
		})
	}
}

// DropUnreported removes the grants of earlier epochs that belong to the
// reporting session (an entry process's lease with the control group) but are not
// in its report. Since the entry process made the report, it does not start
// requests under these grants any more.
func (c *Core) DropUnreported(now time.Duration, report *apiv1.GrantReport) {
	reported := make(map[grantKey]struct{}, len(report.Grants))
	for _, g := range report.Grants {
		reported[grantKey{g.Epoch, g.GrantId}] = struct{}{}
	}
	var gone []*grant
	for key, g := range c.grants {
		if _, ok := reported[key]; !ok && g.session == report.SessionId && key.epoch < c.epoch {
			gone = append(gone, g)
		}
	}
	slices.SortFunc(gone, func(a, b *grant) int {
		return cmp.Or(cmp.Compare(a.key.epoch, b.key.epoch), cmp.Compare(a.key.id, b.key.id))
	})
	for _, g := range gone {
		c.removeGrant(now, g)
	}
}

// mirrorCopy is the standby's copy of a grant. Its remaining time is counted
// from the receipt, so the copy expires no earlier than the grant on the host.
type mirrorCopy struct {
	grant   *apiv1.MirroredGrant
	expires time.Duration
}

// mirroredKey returns the key of a mirrored grant.
func mirroredKey(g *apiv1.MirroredGrant) grantKey { return grantKey{g.Epoch, g.GrantId} }

// shardMirror is the copy of one shard's grants on its standby.
type shardMirror struct {
	// Epoch of the shard, sequence number of the last batch applied, and session
	// of this process to which the batches are addressed. The session is zero
	// when the mirror is unusable.
	epoch, sequence, session uint64
	grants                   map[grantKey]*mirrorCopy
}

// mirrorStore holds the mirrors of the shards for which this process is the
// standby, by service.
type mirrorStore struct {
	mu     sync.Mutex
	shards map[string]*shardMirror
	// Lowest epoch of each service whose batches are accepted.
	minEpochs map[string]uint64
}

func newMirrorStore() *mirrorStore {
	return &mirrorStore{shards: map[string]*shardMirror{}, minEpochs: map[string]uint64{}}
}

// apply applies a batch that is addressed to this process's session ownSession.
// A nil result acknowledges the batch to the host. Batches of epochs older than
// the newest view's are refused: once this process has taken the mirror for a
// new epoch, the previous host, which may be partitioned from the control group,
// gets no further acknowledgement.
func (m *mirrorStore) apply(now time.Duration, ownSession uint64, batch *apiv1.MirrorBatch) *result.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	mirror := m.shards[batch.Service]
	switch {
	case batch.Epoch < m.minEpochs[batch.Service] || mirror != nil && batch.Epoch < mirror.epoch:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, "epoch %d of the shard of %s has ended", batch.Epoch, batch.Service)
	case ownSession == 0 || batch.SessionId != ownSession:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_SESSION, "session %d is not this process's session", batch.SessionId)
	}
	same := mirror != nil && mirror.epoch == batch.Epoch && mirror.session == ownSession
	switch {
	case same && batch.Sequence == mirror.sequence:
		return nil // a duplicate; the host did not receive the first answer
	case batch.Full && (mirror == nil || mirror.epoch < batch.Epoch || batch.Sequence > mirror.sequence):
		mirror = &shardMirror{epoch: batch.Epoch, session: ownSession, grants: map[grantKey]*mirrorCopy{}}
		m.shards[batch.Service] = mirror
	case !same || batch.Sequence != mirror.sequence+1:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "mirror batch %d of the shard of %s does not follow the last one", batch.Sequence, batch.Service)
	}
	mirror.sequence = batch.Sequence
	mirror.applyChanges(now, batch)
	return nil
}

// applyChanges adds and removes the copies of the grants in a batch.
func (m *shardMirror) applyChanges(now time.Duration, batch *apiv1.MirrorBatch) {
	for _, g := range batch.Added {
		m.grants[mirroredKey(g)] = &mirrorCopy{grant: g, expires: now + time.Duration(g.RemainingMs)*time.Millisecond}
	}
	for _, name := range batch.Removed {
		delete(m.grants, grantKey{name.Epoch, name.GrantId})
	}
}

// takeForShard removes the mirror of a shard's previous epoch. When the view
// assigns the shard to this process and the mirror is complete, it returns the
// copies and true. Afterwards batches of epochs before the assigned one are
// refused, whichever process the shard is assigned to.
func (m *mirrorStore) takeForShard(assigned *apiv1.Shard, ownSession uint64) ([]*mirrorCopy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.minEpochs[assigned.Service] = max(m.minEpochs[assigned.Service], assigned.Epoch)
	mirror := m.shards[assigned.Service]
	if mirror == nil || mirror.epoch >= assigned.Epoch {
		return nil, false
	}
	delete(m.shards, assigned.Service)
	if assigned.SessionId != ownSession || mirror.session != ownSession || mirror.epoch != assigned.MirroredEpoch {
		return nil, false
	}
	copies := make([]*mirrorCopy, 0, len(mirror.grants))
	for _, c := range mirror.grants {
		copies = append(copies, c)
	}
	slices.SortFunc(copies, func(a, b *mirrorCopy) int {
		return cmp.Or(cmp.Compare(a.grant.Epoch, b.grant.Epoch), cmp.Compare(a.grant.GrantId, b.grant.GrantId))
	})
	return copies, true
}

// invalidateRemoved drops the copies of services that no longer have a shard. The
// emptied mirror is kept, marked as unusable, so that a delayed full batch of
// the same epoch cannot replace it.
func (m *mirrorStore) invalidateRemoved(snap *session.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, mirror := range m.shards {
		if snap.Shard(service) == nil {
			mirror.session, mirror.grants = 0, nil
		}
	}
}

// Mirror serves Shard.Mirror: as the standby of a shard hosted by another
// process, it copies the grants in the batch. It refuses batches while this
// process stops.
func (h *Host) Mirror(_ context.Context, batch *apiv1.MirrorBatch) (*apiv1.Empty, error) {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	if draining {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "this process is stopping and cannot be a standby")
	}
	if err := h.mirrors.apply(h.opts.Clock.Now(), h.opts.Session.ID(), batch); err != nil {
		return nil, err
	}
	return &apiv1.Empty{}, nil
}
