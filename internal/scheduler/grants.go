package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// grantKey identifies a grant across all epochs of the shard (the scheduler of one
// service), its assignments to entry processes.
type grantKey struct{ epoch, id uint64 }

// grant is the permission for an entry process to send one request to a minion. It
// occupies one slot of the minion until it is released or expires. It is an
// element of Core.expiries.
type grant struct {
	key     grantKey
	session uint64
	team    string
	minion  *minion
	granted time.Duration
	expires time.Duration
	heapPos int
}

func (g *grant) due() time.Duration { return g.expires }
func (g *grant) pos() *int          { return &g.heapPos }

// newGrant grants a slot of minion m to a request.
func (c *Core) newGrant(now time.Duration, it *queuedRequest, m *minion) *apiv1.Grant {
	c.lastGrant++
	g := &grant{
		key:     grantKey{c.epoch, c.lastGrant},
		session: it.request.SessionId,
		team:    it.request.Team,
		minion:  m,
		granted: now,
		expires: it.deadline + grantExpiryMargin,
		heapPos: -1,
	}
	c.addGrant(g)
	m.lastGranted = now
	t := c.teams[g.team]
	c.picker.Start(now, g.team, it.class)
	c.updateBlocked(now, t)
	left := max(1, uint32((it.deadline - now).Milliseconds()))
	return &apiv1.Grant{
		GrantId:          g.key.id,
		Service:          c.service,
		Epoch:            c.epoch,
		MinionId:         m.id,
		Vm:               m.announcement.GetVm(),
		AvailabilityZone: m.announcement.GetAvailabilityZone(),
		Address:          m.announcement.GetAddress(),
		StartWithinMs:    min(left, uint32(startWithin.Milliseconds())),
		MaxConnections:   c.maxConnections(m),
		Team:             g.team,
		TimeoutMs:        left,
	}
}

// maxConnections is the number of connections that one entry process may open to a
// minion: an equal share of those the minion accepts, but at least one, because
// a grant cannot be used without a connection.
func (c *Core) maxConnections(m *minion) uint32 {
	n := c.config.ConnectionsPerMinion
	if m.announcement.Connections > 0 {
		n = min(n, m.announcement.Connections)
	}
	return max(1, n/max(1, c.config.EntryVms))
}

// addGrant occupies a slot of the grant's minion.
func (c *Core) addGrant(g *grant) {
	c.grants[g.key] = g
	c.expiries.add(g)
	g.minion.addUsed(1)
	c.teams[g.team].running++
	c.changes.add(g)
}

// Release frees the slot of a grant and reports whether it did. Unknown grants
// are ignored: a release may arrive twice or after the grant's expiry. The
// epoch and id identify the grant; the session is not compared, because a
// process may release the grant under a later session.
func (c *Core) Release(now time.Duration, req *apiv1.ReleaseRequest) bool {
	key := grantKey{req.Epoch, req.GrantId}
	g, ok := c.grants[key]
	if !ok {
		if !c.granting && req.Epoch < c.epoch && c.earlyReleases != nil {
			c.earlyReleases[key] = struct{}{}
		}
		return false
	}
	c.removeGrant(now, g)
	if req.Outcome != apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED {
		c.slotTimes.observe(now - g.granted)
	}
	c.recordGrantOutcome(now, g.minion, req.Outcome)
	return true
}

// removeGrant frees the slot of a grant that was released or expired.
func (c *Core) removeGrant(now time.Duration, g *grant) {
	delete(c.grants, g.key)
	c.changes.remove(g.key)
	c.expiries.remove(g)
	g.minion.addUsed(-1)
	t := c.teams[g.team]
	t.running--
	t.slotTime += now - g.granted
	c.picker.Finish(now, g.granted, g.team)
	c.updateBlocked(now, t)
}

func (c *Core) expireGrants(now time.Duration) {
	for {
		g, ok := c.expiries.next(now)
		if !ok {
			return
		}
		c.removeGrant(now, g)
	}
}

// AddReported adds the grants of earlier epochs that an entry process reported
// for its session (its lease with the control group) during the recovery, in
// which a new host of the shard learns what its predecessors granted. A grant
// reported twice is added once.
func (c *Core) AddReported(now time.Duration, report *apiv1.GrantReport) {
	for _, held := range report.Grants {
		key := grantKey{held.Epoch, held.GrantId}
		_, known := c.grants[key]
		_, released := c.earlyReleases[key]
		if known || released || held.Epoch >= c.epoch {
			continue
		}
		c.addInherited(now, &grant{
			key:     key,
			session: report.SessionId,
			team:    held.Team,
			minion:  c.minion(held.MinionId),
			granted: now,
			expires: now + time.Duration(held.RemainingMs)*time.Millisecond + grantExpiryMargin,
			heapPos: -1,
		})
	}
}

// addInherited adds a grant that was made in an earlier epoch.
func (c *Core) addInherited(now time.Duration, g *grant) {
	c.team(now, g.team)
	c.addGrant(g)
	c.picker.AddRunning(now, g.team)
}
