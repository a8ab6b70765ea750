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

// changeLog collects the grants that were made and ended since the last batch.
// The nil log collects nothing.
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

func (l *changeLog) empty() bool {
	return l == nil || len(l.added)+len(l.removed) == 0
}

// StartMirror returns the full set of grants and collects the changes from now
// on.
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

// TakeChanges returns the changes since the last batch.
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

// ceilMilliseconds rounds up, so that a copy never expires before its original.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32(max(0, d+time.Millisecond-1) / time.Millisecond)
}

// AddMirrored counts the grants that the ended host had mirrored.
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

// DropUnreported frees grants of earlier epochs that the session named in the
// report holds no more. The entry refuses them since it made the report.
func (c *Core) DropUnreported(now time.Duration, report *apiv1.GrantReport) {
	held := make(map[grantKey]struct{}, len(report.Grants))
	for _, g := range report.Grants {
		held[grantKey{g.Epoch, g.GrantId}] = struct{}{}
	}
	var gone []*grant
	for key, g := range c.grants {
		if _, ok := held[key]; !ok && g.session == report.SessionId && key.epoch < c.epoch {
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

// mirrorCopy is the standby's copy of a grant. Its time counts from the
// receipt, so it ends no earlier than on the host.
type mirrorCopy struct {
	grant   *apiv1.MirroredGrant
	expires time.Duration
}

func mirroredKey(g *apiv1.MirroredGrant) grantKey { return grantKey{g.Epoch, g.GrantId} }

// shardMirror is the copy of one shard's grants on its standby.
type shardMirror struct {
	epoch, sequence, session uint64
	grants                   map[grantKey]*mirrorCopy
}

// mirrorStore holds the shards for which this process is the standby.
type mirrorStore struct {
	mu     sync.Mutex
	shards map[string]*shardMirror
	// Lowest epoch of each service from which batches are accepted.
	minEpochs map[string]uint64
}

func newMirrorStore() *mirrorStore {
	return &mirrorStore{shards: map[string]*shardMirror{}, minEpochs: map[string]uint64{}}
}

// apply takes over a batch. It refuses epochs older than the newest view's:
// from the moment this process takes the mirror, a host that is cut off gets no
// further acknowledgement.
func (m *mirrorStore) apply(now time.Duration, own uint64, batch *apiv1.MirrorBatch) *result.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.shards[batch.Service]
	switch {
	case batch.Epoch < m.minEpochs[batch.Service] || held != nil && batch.Epoch < held.epoch:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, "epoch %d of the shard of %s has ended", batch.Epoch, batch.Service)
	case own == 0 || batch.SessionId != own:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_SESSION, "session %d is not this process's session", batch.SessionId)
	}
	same := held != nil && held.epoch == batch.Epoch && held.session == own
	switch {
	case same && batch.Sequence == held.sequence:
		return nil // sent again after a lost answer
	case batch.Full && (held == nil || held.epoch < batch.Epoch || batch.Sequence > held.sequence):
		held = &shardMirror{epoch: batch.Epoch, session: own, grants: map[grantKey]*mirrorCopy{}}
		m.shards[batch.Service] = held
	case !same || batch.Sequence != held.sequence+1:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "mirror batch %d of the shard of %s does not follow the last one", batch.Sequence, batch.Service)
	}
	held.sequence = batch.Sequence
	held.applyChanges(now, batch)
	return nil
}

func (m *shardMirror) applyChanges(now time.Duration, batch *apiv1.MirrorBatch) {
	for _, g := range batch.Added {
		m.grants[mirroredKey(g)] = &mirrorCopy{grant: g, expires: now + time.Duration(g.RemainingMs)*time.Millisecond}
	}
	for _, name := range batch.Removed {
		delete(m.grants, grantKey{name.Epoch, name.GrantId})
	}
}

// takeForShard returns the copies for a shard that the view assigns to this process
// and whether they are the full set. Afterwards batches of earlier epochs are
// refused, whoever got the shard.
func (m *mirrorStore) takeForShard(assigned *apiv1.Shard, own uint64) ([]*mirrorCopy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.minEpochs[assigned.Service] = max(m.minEpochs[assigned.Service], assigned.Epoch)
	held := m.shards[assigned.Service]
	if held == nil || held.epoch >= assigned.Epoch {
		return nil, false
	}
	delete(m.shards, assigned.Service)
	if assigned.SessionId != own || held.session != own || held.epoch != assigned.MirroredEpoch {
		return nil, false
	}
	copies := make([]*mirrorCopy, 0, len(held.grants))
	for _, c := range held.grants {
		copies = append(copies, c)
	}
	slices.SortFunc(copies, func(a, b *mirrorCopy) int {
		return cmp.Or(cmp.Compare(a.grant.Epoch, b.grant.Epoch), cmp.Compare(a.grant.GrantId, b.grant.GrantId))
	})
	return copies, true
}

// invalidateRemoved drops the copies of services that have no shard any more. The mirror
// stays as unusable, so that a delayed full set cannot take its place.
func (m *mirrorStore) invalidateRemoved(snap *session.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, held := range m.shards {
		if snap.Shard(service) == nil {
			held.session, held.grants = 0, nil
		}
	}
}

// Mirror serves Shard.Mirror: it copies the grants of a shard hosted by another
// process.
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
