package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// leaseRecord is the record of the longest lease that leaders give to minions, as it
// is at the start of a term, and what follows from it.
//
// The record is replicated state, so that a new leader knows when the leases of its
// predecessors have ended. No leader gives a longer lease than is recorded, and none
// records a shorter one while a lease of an earlier leader may last.
type leaseRecord struct {
	// recordedMS is zero when no length is recorded.
	recordedMS uint32
	// inherited is the longest lease that an earlier leader may have given, zero when
	// none can have given any. inheritedEnd is when all such leases have ended, on the
	// leader's clock.
	inherited, inheritedEnd time.Duration
}

// readLeaseRecord reads the record for a term that begins at now. The state machine has
// applied all commands of earlier terms.
func readLeaseRecord(m *state.Machine, now, maxLease time.Duration) leaseRecord {
	var r leaseRecord
	m.Read(func(st *state.State) {
		r.recordedMS = st.Batch.LongestLeaseMS()
		r.inherited = milliseconds(r.recordedMS)
		if r.recordedMS == 0 && st.Batch.AnyMinions() {
			r.inherited = maxLease
		}
	})
	r.inheritedEnd = now
	if r.inherited > 0 {
		// A leader that isn't aware that it is deposed renews leases for leadershipTTL.
		r.inheritedEnd += longestLease(r.inherited) + leadershipTTL
	}
	return r
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// next returns the length to record in place of recorded, both in ms, by a leader that
// gives leases of ownMS. It returns recorded when nothing is to be changed at now.
func (r leaseRecord) next(recorded, ownMS uint32, now time.Duration) uint32 {
	switch {
	case recorded == 0:
		return max(ownMS, uint32(r.inherited.Milliseconds()))
	case recorded < ownMS, now > r.inheritedEnd:
		return ownMS
	}
	return recorded
}

// allowedLease returns the length of the leases that this leader may give now: at
// most what is recorded, and zero while nothing is.
func (d *Dispatcher) allowedLease() time.Duration { return time.Duration(d.allowedLeaseNS.Load()) }

// allowRecorded sets the length of the leases that may be given to Options.Lease, or to
// the recorded length if that is shorter.
func (d *Dispatcher) allowRecorded(recordedMS uint32) {
	d.allowedLeaseNS.Store(int64(min(d.opts.Lease, milliseconds(recordedMS))))
}

// leaseRecordLoop changes the record until it equals the length of this leader's leases
// or the term ends.
//
// Only answers to commands of this term count: the state may have applied a later
// leader's command while this one isn't aware yet that it is deposed. A command with an
// unknown outcome is proposed again. It names the record that it replaces, and the
// replica appends nothing once the context of the term has ended.
func (d *Dispatcher) leaseRecordLoop() {
	ownMS := uint32(d.opts.Lease.Milliseconds())
	for recorded := d.leases.recordedMS; recorded != ownMS && d.ctx.Err() == nil; {
		next := d.leases.next(recorded, ownMS, d.clock.Now())
		if next == recorded {
			sleep(d.ctx, d.leases.inheritedEnd-d.clock.Now()+time.Millisecond)
			continue
		}
		cmd := &apiv1.RecordLongestLease{LongestMs: next, ReplacesMs: recorded}
		res, err := d.propose(d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_RecordLongestLease{RecordLongestLease: cmd}})
		if err != nil {
			if d.ctx.Err() == nil {
				d.log.WithError(err).Warn("longest lease is not recorded yet")
			}
			sleep(d.ctx, retryDelay)
			continue
		}
		d.log.WithFields(logrus.Fields{"longest_lease_ms": res.LongestLeaseMs, "before_ms": recorded}).Info("longest lease recorded")
		recorded = res.LongestLeaseMs
		d.allowRecorded(recorded)
	}
}
