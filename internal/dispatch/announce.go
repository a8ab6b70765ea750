package dispatch

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// lastReport is the newest report of a minion.
type lastReport struct {
	startedMS int64
	sequence  uint64
}

// reportFilter orders the reports of each minion.
type reportFilter struct {
	mu     sync.Mutex
	latest map[string]lastReport
}

// accept returns false for a report that is older than one seen before.
func (l *reportFilter) accept(req *apiv1.AnnounceMinionRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	inc := batch.IncarnationOf(req.Minion.Life)
	last := l.latest[inc.ID]
	if inc.StartedMS < last.startedMS || inc.StartedMS == last.startedMS && req.Sequence <= last.sequence && !req.Leaves {
		return false
	}
	sequence := max(req.Sequence, last.sequence)
	if inc.StartedMS != last.startedMS {
		sequence = req.Sequence
	}
	l.latest[inc.ID] = lastReport{startedMS: inc.StartedMS, sequence: sequence}
	return true
}

// Announce takes a minion's report. It returns once what is new in it is
// committed; an outdated report changes nothing.
func (d *Dispatcher) Announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) error {
	m := req.Minion
	if req.Leaves {
		return d.markDraining(ctx, m.Life.GetId())
	}
	if !d.reports.accept(req) {
		return nil
	}
	changed := false
	d.opts.StateMachine.Read(func(st *state.State) { changed = differsFromRecord(st.Batch.Minion(m.Life.Id), m) })
	if !changed {
		return nil
	}
	return d.recordMinion(ctx, m)
}

func (d *Dispatcher) recordMinion(ctx context.Context, m *apiv1.BatchMinion) error {
	cmd := &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{m}}
	_, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: cmd}})
	if err == nil {
		d.log.WithField("minion", m.Life.Id).WithField("pool", m.Pool).WithField("draining", m.Draining).Info("minion recorded")
	}
	return err
}

// differsFromRecord tells whether a report says anything that is not recorded. A life
// that drains never accepts work again.
func differsFromRecord(recorded, m *apiv1.BatchMinion) bool {
	if recorded == nil || recorded.Life.BornUnixMs < m.Life.BornUnixMs {
		return true
	}
	if recorded.Life.BornUnixMs > m.Life.BornUnixMs {
		return false
	}
	m.Draining = m.Draining || recorded.Draining
	same := recorded.Draining == m.Draining && recorded.Address == m.Address && recorded.Pool == m.Pool &&
		recorded.AvailabilityZone == m.AvailabilityZone && slices.Equal(recorded.Labels, m.Labels) && proto.Equal(recorded.Capacity, m.Capacity)
	return !same
}

// markDraining records that a minion is about to end: it drains, and its session ends
// with it.
func (d *Dispatcher) markDraining(ctx context.Context, id string) error {
	var m *apiv1.BatchMinion
	d.opts.StateMachine.Read(func(st *state.State) {
		if recorded := st.Batch.Minion(id); recorded != nil && !recorded.Draining {
			m = proto.CloneOf(recorded)
		}
	})
	if m == nil {
		return nil
	}
	m.Draining = true
	return d.recordMinion(ctx, m)
}
