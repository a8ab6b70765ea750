// Package scheduler serves the shards assigned to this process. Core is the
// pure part: it holds one shard's minions, queue and grants and decides what
// starts where. Host runs cores and does their I/O.
package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fairshare"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// startWithin is the time in which an entry must write a granted request.
	startWithin = time.Second
	// grantExpiryMargin is added to a grant's deadline before its slot is
	// counted free, for the entry's own cancellation and differing clock rates.
	grantExpiryMargin = 500 * time.Millisecond
	// maintainInterval is how often usage that has decayed away is dropped.
	maintainInterval = 30 * time.Second
)

// Outcome answers one queued request: exactly one of Grant and Err is set.
type Outcome struct {
	Ticket uint64
	Grant  *apiv1.Grant
	Err    *result.Error
	// Class and time in the queue, for metrics.
	Class  fairshare.Class
	Waited time.Duration
}

// Core is one epoch of one shard. It is not safe for concurrent use and reads
// no clock: each call gets the present time.
type Core struct {
	service string
	epoch   uint64
	started time.Duration
	// False until the grants of earlier epochs are counted.
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
	waiting     map[uint64]*queuedRequest
	deadlines   timeHeap[*queuedRequest]
	queueDepths map[string]uint32
	classLoads  [fairshare.Overnight + 1]classLoad

	lastGrant uint64
	grants    map[grantKey]*grant
	expiries  timeHeap[*grant]
	// Releases that arrived before the report of their grant.
	earlyReleases map[grantKey]struct{}
	// Changes since the last mirror batch; nil without a standby.
	changes *changeLog

	slotTimes      slotTimeEstimate
	reportSequence uint64
	// Newest report made before the present configuration.
	configSequence uint64
	lastMaintained time.Duration
}

// teamState is what the shard knows of one team.
type teamState struct {
	name string
	// The team starts nothing while running >= ceiling.
	ceiling uint32
	running uint32
	queued  uint32
	// Slot time of ended grants.
	slotTime time.Duration
	queues   [fairshare.Overnight + 1]requestFIFO
	report   reportState
}

// NewCore returns a core that queues but grants nothing until StartGranting.
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

// SetConfig takes over a configuration and the VMs that must get no new work.
// A team whose limit falls starts nothing until the next allotments are known,
// so that nothing starts above the new limit once the version is in force.
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

// StartGranting ends the recovery.
func (c *Core) StartGranting() {
	c.granting = true
	c.earlyReleases = nil
}

// StopGranting keeps the grants but makes no further ones.
func (c *Core) StopGranting() { c.granting = false }

// Step expires what is due and makes all grants that are possible now.
func (c *Core) Step(now time.Duration) []Outcome {
	c.expireGrants(now)
	out := c.expireQueued(now)
	if c.granting {
		out = c.dispatch(now, out)
	}
	return out
}

// Tick does the periodic work and then a Step.
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

func (c *Core) dispatch(now time.Duration, out []Outcome) []Outcome {
	for {
		name, class, ok := c.picker.Next(now)
		if !ok {
			return out
		}
		it := c.teams[name].queues[class].front()
		m := c.chooseMinion(now, it.request.AvoidMinions)
		if m == nil {
			return out
		}
		c.removeQueued(now, it)
		out = append(out, Outcome{Ticket: it.ticket, Grant: c.newGrant(now, it, m), Class: class, Waited: now - it.enqueued})
	}
}

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

func (t *teamState) isAtCeiling() bool { return t.report.frozen || t.running >= t.ceiling }

func (c *Core) updateBlocked(now time.Duration, t *teamState) {
	c.picker.SetBlocked(now, t.name, t.isAtCeiling())
}

func (c *Core) refuse(code apiv1.ResultCode, retryAfter time.Duration, format string, args ...any) *result.Error {
	err := result.NotRun(code, format, args...)
	err.RetryAfter = retryAfter
	return err
}
