package dispatch

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// lastAnnouncement identifies the latest accepted announcement of a minion by
// the start of its process, in Unix ms, and its sequence number.
type lastAnnouncement struct {
	startedMS int64
	sequence  uint64
	// recordedAt is when the latest announcement arrived of those whose content is
	// committed, on the leader's clock.
	recordedAt time.Duration
}

// announcementFilter rejects announcements, the reports of minions about
// themselves, that arrive out of order.
type announcementFilter struct {
	mu sync.Mutex
	// latest maps a minion's id to its latest accepted announcement.
	latest map[string]lastAnnouncement
}

// accept reports whether an announcement is not older than those accepted before.
// One with the latest number is accepted again, because the minion repeats an
// announcement that was not acknowledged. The sequence numbers of a minion start
// again with each incarnation, a lifetime of its process.
func (f *announcementFilter) accept(req *apiv1.AnnounceMinionRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	inc := batch.IncarnationOf(req.Minion.Life)
	last := f.latest[inc.ID]
	if inc.StartedMS < last.startedMS || inc.StartedMS == last.startedMS && req.Sequence < last.sequence {
		return false
	}
	if inc.StartedMS != last.startedMS {
		last.recordedAt = neverRecorded
	}
	f.latest[inc.ID] = lastAnnouncement{startedMS: inc.StartedMS, sequence: req.Sequence, recordedAt: last.recordedAt}
	return true
}

// replace makes an announcement the latest of its minion, whatever its number.
func (f *announcementFilter) replace(m *apiv1.BatchMinion, arrivedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest[m.Life.Id] = lastAnnouncement{startedMS: m.Life.BornUnixMs, sequence: m.Sequence, recordedAt: arrivedAt}
}

// neverRecorded is before any time at which an announcement arrives.
const neverRecorded = time.Duration(math.MinInt64 / 2)

// markRecorded notes that the content of an announcement that arrived at a time is
// committed.
func (f *announcementFilter) markRecorded(inc batch.Incarnation, arrivedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.latest[inc.ID]; ok && last.startedMS == inc.StartedMS {
		last.recordedAt = max(last.recordedAt, arrivedAt)
		f.latest[inc.ID] = last
	}
}

// outdated returns the minions of pools without a guard of the capacity whose last
// announcement to this leader is more than maxAge old, or that have not announced
// themselves to it. Their capacity may have shrunk since. None is outdated if
// maxAge is zero.
func (f *announcementFilter) outdated(st *batch.State, minions []*apiv1.BatchMinion, now, maxAge time.Duration) []batch.Incarnation {
	if maxAge == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []batch.Incarnation
	for _, m := range minions {
		inc := batch.IncarnationOf(m.Life)
		last, ok := f.latest[inc.ID]
		heard := ok && last.startedMS == inc.StartedMS && now-last.recordedAt <= maxAge
		if !heard && !st.Pool(m.Pool).GetGuardsCapacity() {
			out = append(out, inc)
		}
	}
	return out
}

// Announce processes a minion's announcement, or its notice that it leaves. It
// returns nil once the new information is committed. An announcement that is
// out of date changes nothing. One that names no minion to use beside the state is set
// aside. After an error the information may be committed
// or not.
func (d *Dispatcher) Announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) error {
	m := req.Minion
	if req.Leaves {
		d.setAside.forget(m.Life.GetId())
		return d.markDraining(ctx, m.Life)
	}
	var fault batch.EntryFault
	d.opts.StateMachine.Read(func(st *state.State) { fault = st.Batch.EntryFault(m) })
	if fault != batch.NoFault {
		return d.setAsideAnnouncement(ctx, req, fault)
	}
	d.setAside.forget(m.Life.GetId())
	if !d.announcements.accept(req) {
		return nil
	}
	// The number is recorded with the content, so that the next leader, which
	// hasn't accepted any announcement yet, drops older ones too.
	m.Sequence = req.Sequence
	now, nowUnixMS := d.clock.Now(), time.Now().UnixMilli()
	changed, older := false, false
	d.opts.StateMachine.Read(func(st *state.State) {
		recorded := st.Batch.Minion(m.Life.Id)
		if recorded != nil && !batch.ValidRecord(recorded, nowUnixMS) {
			recorded = nil
		}
		older = isOlder(m, recorded)
		changed = !older && differsFromRecord(recorded, m)
	})
	if older {
		return nil
	}
	if changed {
		if err := d.recordMinion(ctx, m); err != nil {
			return err
		}
	}
	d.announcements.markRecorded(batch.IncarnationOf(m.Life), now)
	return nil
}

// isOlder reports whether an announcement is older than the recorded one.
func isOlder(m, recorded *apiv1.BatchMinion) bool {
	return recorded != nil && (recorded.Life.BornUnixMs > m.Life.BornUnixMs ||
		recorded.Life.BornUnixMs == m.Life.BornUnixMs && recorded.Sequence > m.Sequence)
}

// recordMinion commits what a minion announced about itself.
func (d *Dispatcher) recordMinion(ctx context.Context, m *apiv1.BatchMinion) error {
	cmd := &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{m}}
	_, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: cmd}})
	if err == nil {
		d.log.WithField("minion", m.Life.Id).WithField("pool", m.Pool).WithField("draining", m.Draining).Info("minion recorded")
	}
	return err
}

// differsFromRecord reports whether a minion's announcement, which is not older than
// the recorded one, differs from it. An incarnation that drains (is about to end)
// never accepts work again, so differsFromRecord sets Draining in m when it is
// recorded.
func differsFromRecord(recorded, m *apiv1.BatchMinion) bool {
	if recorded == nil || recorded.Life.BornUnixMs < m.Life.BornUnixMs {
		return true
	}
	m.Draining = m.Draining || recorded.Draining
	same := recorded.Draining == m.Draining && recorded.Address == m.Address && recorded.Pool == m.Pool &&
		recorded.AvailabilityZone == m.AvailabilityZone && slices.Equal(recorded.Labels, m.Labels) && proto.Equal(recorded.Capacity, m.Capacity)
	return !same
}

// maxNoticeDelay is how long the network may delay a notice of leaving.
const maxNoticeDelay = 15 * time.Second

// markDraining records that a minion is about to end, so that it gets no new
// work and its long-running tasks are relocated. Its other runs and its session, the
// leader's exchange with it, go on until the process has ended; only then is the minion
// recorded as gone.
//
// A notice may not say which incarnation it is from. One that arrives within
// maxNoticeDelay of the start of the recorded incarnation counts as a delayed one of
// the incarnation before it: a minion that leaves announces first that it drains.
func (d *Dispatcher) markDraining(ctx context.Context, from *apiv1.MinionLife) error {
	var m *apiv1.BatchMinion
	d.opts.StateMachine.Read(func(st *state.State) {
		if recorded := st.Batch.Minion(from.GetId()); recorded != nil && !recorded.Draining {
			m = proto.CloneOf(recorded)
		}
	})
	if m == nil {
		return nil
	}
	startedMS := from.GetBornUnixMs()
	young := time.Now().UnixMilli()-m.Life.BornUnixMs < maxNoticeDelay.Milliseconds()
	switch {
	case startedMS != 0 && startedMS != m.Life.BornUnixMs:
		return nil
	case startedMS == 0 && young:
		d.log.WithField("minion", m.Life.Id).WithField("born_unix_ms", m.Life.BornUnixMs).Info("notice of leaving may be of an earlier incarnation; the minion gets work")
		d.noteMayLeave(batch.IncarnationOf(m.Life))
		return nil
	}
	m.Draining = true
	return d.recordMinion(ctx, m)
}

// noteMayLeave has an end of the incarnation taken as planned, not as a crash.
func (d *Dispatcher) noteMayLeave(inc batch.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[inc]; s != nil {
		s.notice.draining = true
	}
}
