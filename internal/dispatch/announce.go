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
	bornMS   int64
	sequence uint64
}

// reportLog orders the reports of each minion.
type reportLog struct {
	mu    sync.Mutex
	lives map[string]lastReport
}

// accept returns false for a report that is older than one seen before.
func (l *reportLog) accept(req *apiv1.AnnounceMinionRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	life := batch.IncarnationOf(req.Minion.Life)
	last := l.lives[life.ID]
	if life.StartedMS < last.bornMS || life.StartedMS == last.bornMS && req.Sequence <= last.sequence && !req.Leaves {
		return false
	}
	sequence := max(req.Sequence, last.sequence)
	if life.StartedMS != last.bornMS {
		sequence = req.Sequence
	}
	l.lives[life.ID] = lastReport{bornMS: life.StartedMS, sequence: sequence}
	return true
}

// Announce takes a minion's report. It returns once what is new in it is
// committed; an outdated report changes nothing.
func (d *Dispatcher) Announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) error {
	m := req.Minion
	if req.Leaves {
		return d.leave(ctx, m.Life.GetId())
	}
	if !d.reports.accept(req) {
		return nil
	}
	changed := false
	d.o.Machine.Read(func(st *state.State) { changed = changes(st.Batch.Minion(m.Life.Id), m) })
	if !changed {
		return nil
	}
	return d.observe(ctx, m)
}

func (d *Dispatcher) observe(ctx context.Context, m *apiv1.BatchMinion) error {
	cmd := &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{m}}
	_, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: cmd}})
	if err == nil {
		d.log.WithField("minion", m.Life.Id).WithField("pool", m.Pool).WithField("draining", m.Draining).Info("minion recorded")
	}
	return err
}

// changes tells whether a report says anything that is not recorded. A life
// that drains never accepts work again.
func changes(known, m *apiv1.BatchMinion) bool {
	if known == nil || known.Life.BornUnixMs < m.Life.BornUnixMs {
		return true
	}
	if known.Life.BornUnixMs > m.Life.BornUnixMs {
		return false
	}
	m.Draining = m.Draining || known.Draining
	same := known.Draining == m.Draining && known.Address == m.Address && known.Pool == m.Pool &&
		known.AvailabilityZone == m.AvailabilityZone && slices.Equal(known.Labels, m.Labels) && proto.Equal(known.Capacity, m.Capacity)
	return !same
}

// leave records that a minion is about to end: it drains, and its session ends
// with it.
func (d *Dispatcher) leave(ctx context.Context, id string) error {
	var m *apiv1.BatchMinion
	d.o.Machine.Read(func(st *state.State) {
		if known := st.Batch.Minion(id); known != nil && !known.Draining {
			m = proto.CloneOf(known)
		}
	})
	if m == nil {
		return nil
	}
	m.Draining = true
	return d.observe(ctx, m)
}
