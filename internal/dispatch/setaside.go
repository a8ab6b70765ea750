package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// maxSetAside bounds the announcements that are kept, maxSetAsideLogged the faults
	// that are remembered as logged. Other writers may use any number of ids.
	maxSetAside       = 8192
	maxSetAsideLogged = 1024
	// maxSetAsideAge is how long an announcement is kept. A minion that still runs has
	// announced itself several times by then.
	maxSetAsideAge = 10 * time.Second
	// minContradictions announcements over contradictionTime replace a recorded one that
	// none agrees with meanwhile. A minion announces itself every second or two.
	minContradictions = 3
	contradictionTime = 4 * time.Second
)

// setAside keeps the announcements, the reports of minions about themselves, that may be
// another writer's: those whose pool no published catalog has, which change nothing until a
// catalog has the pool, and those that contradict the recorded one of their incarnation.
type setAside struct {
	mu sync.Mutex
	// latest maps a minion's id to its latest announcement, unless one that names a
	// minion to use came after it.
	latest map[string]keptAnnouncement
	logged map[loggedFault]bool
	// contradictions maps a minion's id to the announcements that contradict the recorded
	// one, unless one that agrees with it came after them.
	contradictions map[string]contradiction
}

// contradiction is a number of announcements of one incarnation that agree on its pool and
// zone, and contradict the recorded one.
type contradiction struct {
	incarnation batch.Incarnation
	pool, zone  string
	// sequence is the number of the latest.
	sequence uint64
	count    int
	firstAt  time.Duration
}

type keptAnnouncement struct {
	req *apiv1.AnnounceMinionRequest
	at  time.Duration
}

type loggedFault struct {
	minion string
	fault  batch.EntryFault
}

func newSetAside() *setAside {
	return &setAside{latest: map[string]keptAnnouncement{}, logged: map[loggedFault]bool{}, contradictions: map[string]contradiction{}}
}

// keep keeps an announcement that arrived at a time.
func (a *setAside) keep(req *apiv1.AnnounceMinionRequest, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := req.Minion.Life.Id
	if _, known := a.latest[id]; known || len(a.latest) < maxSetAside {
		a.latest[id] = keptAnnouncement{req, at}
	}
}

// forget drops the announcement of a minion.
func (a *setAside) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.latest, id)
	delete(a.contradictions, id)
}

// contradict counts an announcement that contradicts the recorded one and arrived at a
// time, and reports whether it is to replace that.
func (a *setAside) contradict(m *apiv1.BatchMinion, at time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.contradictions[m.Life.Id]
	if c.incarnation != batch.IncarnationOf(m.Life) || c.pool != m.Pool || c.zone != m.AvailabilityZone {
		c = contradiction{incarnation: batch.IncarnationOf(m.Life), pool: m.Pool, zone: m.AvailabilityZone, firstAt: at}
	}
	if c.count == 0 || m.Sequence > c.sequence {
		c.count++
		c.sequence = m.Sequence
	}
	a.contradictions[m.Life.Id] = c
	return c.count >= minContradictions && at-c.firstAt >= contradictionTime
}

// takeUsable removes the announcements without a fault by now, and returns them. It drops
// those that are too old.
func (a *setAside) takeUsable(machine *state.Machine, now time.Duration) (out []*apiv1.AnnounceMinionRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.latest) == 0 {
		return nil
	}
	machine.Read(func(st *state.State) {
		for id, kept := range a.latest {
			switch {
			case now-kept.at > maxSetAsideAge:
				delete(a.latest, id)
			case st.Batch.EntryFault(kept.req.Minion) == batch.NoFault:
				delete(a.latest, id)
				out = append(out, kept.req)
			}
		}
	})
	return out
}

// announceSetAside announces the minions that were set aside and whose pool a catalog has
// by now. One whose commit fails announces itself again.
func (d *Dispatcher) announceSetAside() {
	for _, req := range d.setAside.takeUsable(d.opts.StateMachine, d.clock.Now()) {
		d.wg.Go(func() {
			if err := d.Announce(d.ctx, req); err != nil && d.ctx.Err() == nil {
				d.log.WithError(err).WithField("minion", req.Minion.Life.Id).Warn("minion is not recorded yet, although a catalog has its pool")
			}
		})
	}
}

// setAsideAnnouncement keeps an announcement with a fault, or corrects the recorded one that
// it contradicts.
func (d *Dispatcher) setAsideAnnouncement(ctx context.Context, req *apiv1.AnnounceMinionRequest, fault batch.EntryFault) error {
	m, now := req.Minion, d.clock.Now()
	m.Sequence = req.Sequence
	d.NoteSetAside(m, fault)
	if !fault.Contradicts() {
		d.setAside.keep(req, now)
		return nil
	}
	if !d.setAside.contradict(m, now) {
		return nil
	}
	cmd := &apiv1.ObserveMinions{Corrected: []*apiv1.BatchMinion{m}}
	if _, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: cmd}}); err != nil {
		return err
	}
	d.announcements.replace(m, now)
	d.setAside.forget(m.Life.Id)
	d.log.WithFields(logrus.Fields{
		"minion": m.Life.Id, "born_unix_ms": m.Life.BornUnixMs, "sequence": m.Sequence, "pool": m.Pool, "availability_zone": m.AvailabilityZone,
	}).Warn("minion's record corrected")
	return nil
}

// NoteSetAside counts an announcement that names no minion to use, and logs the first with
// its fault of each minion. Before the first catalog, announcements of all minions are
// set aside, and not logged.
func (d *Dispatcher) NoteSetAside(m *apiv1.BatchMinion, fault batch.EntryFault) {
	d.metrics.announcementsSetAside.WithLabelValues(string(fault)).Inc()
	id := excerpt(m.Life.Id)
	if fault == batch.FaultNoCatalog || !d.setAside.isFirst(loggedFault{id, fault}) {
		return
	}
	d.log.WithFields(logrus.Fields{
		"minion": id, "born_unix_ms": m.Life.BornUnixMs, "sequence": m.Sequence, "pool": excerpt(m.Pool),
		"availability_zone": excerpt(m.AvailabilityZone), "fault": string(fault), "reason": fault.String(),
	}).Warn("announcement set aside")
}

// excerpt returns the beginning of a text from outside, for the log.
func excerpt(text string) string {
	const maxBytes = 64
	return text[:min(len(text), maxBytes)]
}

// isFirst reports whether a fault wasn't logged before.
func (a *setAside) isFirst(f loggedFault) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.logged[f] || len(a.logged) >= maxSetAsideLogged {
		return false
	}
	a.logged[f] = true
	return true
}
