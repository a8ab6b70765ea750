// Package scheduler grants slots of minions to requests.
//
// A service has one shard, which the control group assigns to one entry
// process at a time; each assignment has a new epoch. The entry processes
// receive the callers' requests, acquire a grant (the permission to send one
// request to one minion, where it occupies a slot) from the shard of the service,
// send the request to the granted minion and release the grant.
//
// Core is the deterministic part: it holds one shard's minions, queues and
// grants and decides which request starts on which minion. Host runs a core for
// each shard assigned to this process and does the core's I/O: RPC, the recovery
// after an assignment (learning the grants of earlier epochs), the reports of the
// teams' demand to the control group, and the mirroring of grants to a standby,
// the entry process that is to take the shard over.
package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fairshare"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// startWithin is the time within which an entry process must begin to send a
	// granted request to the minion.
	startWithin = time.Second
	// grantExpiryMargin is added to a grant's deadline before its slot is counted
	// as free. It covers the time an entry process takes to cancel the request,
	// and differing clock rates.
	grantExpiryMargin = 500 * time.Millisecond
	// maintainInterval is how often the picker removes idle teams whose usage
	// has decayed to a negligible value.
	maintainInterval = 30 * time.Second
)

// Outcome is the result of one queued request: exactly one of Grant and Err is
// set. How a granted request ends is a GrantOutcome.
type Outcome struct {
	Ticket uint64 // returned by Core.Enqueue
	Grant  *apiv1.Grant
	Err    *result.Error
	// Class and Waited, the time in the queue, are set with a grant, for metrics.
	Class  fairshare.Class
	Waited time.Duration
}

// Core schedules the requests of one service during one epoch of its shard. It
// is not safe for concurrent use and reads no clock: the caller passes the
// current time, as an offset from a fixed origin, to each method.
type Core struct {
	service string
	epoch   uint64
	started time.Duration
	// False until the recovery has added the grants of earlier epochs.
	granting bool

	index      *objects.Index
	config     *apiv1.Service // nil when the service is not configured
	leavingVMs map[string]struct{}

	picker  *fairshare.Picker
	teams   map[string]*teamState
	minions map[string]*minion
	zones   map[string]*failureDomain
	racks   map[string]*failureDomain

	lastTicket  uint64
	waiting     map[uint64]*queuedRequest // queued requests by ticket
	deadlines   timeHeap[*queuedRequest]
	queueDepths map[string]uint32 // queued requests by queue name
	classLoads  [fairshare.Overnight + 1]classLoad

	lastGrant uint64
	grants    map[grantKey]*grant
	expiries  timeHeap[*grant]
	// Grants of earlier epochs whose release arrived during the recovery before an
	// entry process's report or the mirror named them. They are then not added.
	earlyReleases map[grantKey]struct{}
	// Grants made and ended since the last mirror batch; nil without a standby.
	changes *changeLog

	slotTimes slotTimeEstimate
	// Sequence number of the newest demand report.
	reportSequence uint64
	// Sequence number of the newest demand report made before the current
	// configuration was set.
	configSequence uint64
	lastMaintained time.Duration
}

// teamState is the state of one team on this shard.
type teamState struct {
	name string
	// ceiling is the number of running requests up to which this shard starts the
	// team's requests. The reply to a demand report sets it to at most the
	// allotment's amount and target, the parts of the team's limit that the shard
	// has and that it is to have. The team starts nothing while running >= ceiling.
	ceiling uint32
	running uint32
	queued  uint32
	// Total time for which the team's ended grants occupied their slots.
	slotTime time.Duration
	lists    [fairshare.Overnight + 1]requestFIFO // queued requests by class
	report   reportState
}

// NewCore returns a core that queues requests but makes no grant until
// StartGranting is called.
func NewCore(now time.Duration, service string, epoch uint64) *Core {
	return &Core{
		service:        service,
		epoch:          epoch,
		started:        now,
		lastMaintained: now,
		index:          objects.NewIndex(nil),
		picker:         fairshare.New(),
		teams:          map[string]*teamState{},
		minions:        map[string]*minion{},
		zones:          map[string]*failureDomain{},
		racks:          map[string]*failureDomain{},
		waiting:        map[uint64]*queuedRequest{},
		queueDepths:    map[string]uint32{},
		grants:         map[grantKey]*grant{},
		earlyReleases:  map[grantKey]struct{}{},
	}
}

// SetConfig sets the configuration and the VMs that must get no new work. A
// team whose limit falls starts nothing until the next allotments are known, so
// that nothing starts above the new limit once this configuration version is in
// force, that is, acknowledged by every entry process with a session, its lease
// with the control group.
func (c *Core) SetConfig(now time.Duration, ix *objects.Index, leavingVMs []string) {
	for _, t := range c.teams {
		if ix.MaxRunning(t.name) < max(c.index.MaxRunning(t.name), t.report.limit) {
			t.report.freeze(c.reportSequence)
		}
	}
	if ix != c.index {
		c.configSequence = c.reportSequence
	}
	c.index = ix
	c.config = ix.Services[c.service]
	c.leavingVMs = make(map[string]struct{}, len(leavingVMs))
	for _, vm := range leavingVMs {
		c.leavingVMs[vm] = struct{}{}
	}
	for _, t := range c.teams {
		c.picker.SetWeight(now, t.name, ix.Teams[t.name].GetWeight())
		c.updateBlocked(now, t)
	}
	c.recomputeDomains(now)
}

// StartGranting ends the recovery: the grants of earlier epochs have been added
// and the following steps make grants.
func (c *Core) StartGranting() {
	c.granting = true
	c.earlyReleases = nil
}

// StopGranting makes no further grants. The existing ones stay until they are
// released or expire.
func (c *Core) StopGranting() { c.granting = false }

// Step expires the grants and queued requests that are due and makes all grants
// that are possible now. It returns the outcomes of the requests that left the
// queue.
func (c *Core) Step(now time.Duration) []Outcome {
	c.expireGrants(now)
	out := c.expireQueued(now)
	if c.granting {
		out = c.makeGrants(now, out)
	}
	return out
}

// Tick does the periodic work and then calls Step. Host calls it every
// tickInterval.
func (c *Core) Tick(now time.Duration) []Outcome {
	c.removeAbsentMinions(now)
	c.releaseIdleCeilings(now)
	c.recomputeDomains(now)
	if now-c.lastMaintained >= maintainInterval {
		c.lastMaintained = now
		c.picker.RemoveIdle(now)
	}
	return c.Step(now)
}

// makeGrants grants slots to the queued requests in the order of fair share,
// until no request may start or no slot is free.
func (c *Core) makeGrants(now time.Duration, out []Outcome) []Outcome {
	for {
		name, class, ok := c.picker.Next(now)
		if !ok {
			return out
		}
		it := c.teams[name].lists[class].front()
		m := c.chooseMinion(now, it.request.AvoidMinions)
		if m == nil {
			return out
		}
		c.removeQueued(now, it)
		out = append(out, Outcome{Ticket: it.ticket, Grant: c.newGrant(now, it, m), Class: class, Waited: now - it.enqueued})
	}
}

// team returns the state of a team and creates it if necessary.
func (c *Core) team(now time.Duration, name string) *teamState {
	t, ok := c.teams[name]
	if !ok {
		t = &teamState{name: name}
		c.teams[name] = t
		c.picker.SetWeight(now, name, c.index.Teams[name].GetWeight())
		c.updateBlocked(now, t)
	}
	return t
}

// isAtCeiling reports whether the team may not start a request.
func (t *teamState) isAtCeiling() bool { return t.report.frozen || t.running >= t.ceiling }

func (c *Core) updateBlocked(now time.Duration, t *teamState) {
	c.picker.SetBlocked(now, t.name, t.isAtCeiling())
}

func (c *Core) refuse(code apiv1.ResultCode, retryAfter time.Duration, format string, args ...any) *result.Error {
	err := result.NotRun(code, format, args...)
	err.RetryAfter = retryAfter
	return err
}
