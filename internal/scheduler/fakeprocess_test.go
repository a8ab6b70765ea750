package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

// fakeProcess simulates an entry process: its host of shards (the schedulers of one
// service each), its session (the lease with the control group), for which it
// implements the interface Session, and the requests that it runs.
type fakeProcess struct {
	c          *fakeCluster
	name, zone string

	mu   sync.Mutex
	host *Host
	// While set, the mirror batches that this process sends, the copies of a shard's
	// grants for the process that is to take the shard over, are lost.
	losesMirrorBatches bool
	// A killed process does nothing, but its requests keep running on the minions.
	killed      bool
	incarnation uint64
	ctx         context.Context
	id          uint64
	validUntil  time.Duration
	snap        *session.Snapshot
	partitioned bool
	held        map[string]map[grantKey]*apiv1.Grant
	deadlines   map[*apiv1.Grant]time.Duration
	minEpoch    map[string]uint64
}

func newProcess(c *fakeCluster, name string) *fakeProcess {
	p := &fakeProcess{c: c, name: name, zone: "z-" + name, incarnation: 1, held: map[string]map[grantKey]*apiv1.Grant{}, deadlines: map[*apiv1.Grant]time.Duration{}, minEpoch: map[string]uint64{}}
	for _, s := range testServices {
		p.held[s] = map[grantKey]*apiv1.Grant{}
	}
	p.host = p.newHost()
	return p
}

func (p *fakeProcess) newHost() *Host {
	return NewHost(HostOptions{RPCClient: fakeRPCClient{p}, Control: fakeExecutor{p}, Session: p, Clock: p.c, Log: discardLog()})
}

// setLosesMirrorBatches sets whether the process's mirror batches are lost.
func (p *fakeProcess) setLosesMirrorBatches(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losesMirrorBatches = lose
}

func (p *fakeProcess) isLosingMirrorBatches() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.losesMirrorBatches
}

func (p *fakeProcess) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *fakeProcess) currentHost() *Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

// kill ends the process without a shutdown.
func (p *fakeProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.id, p.validUntil = true, 0, 0
}

// restart starts a killed process again, without any earlier state.
func (p *fakeProcess) restart() {
	if !p.isKilled() {
		return
	}
	p.currentHost().drain()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = false
	p.incarnation++
	p.host = p.newHost()
	go p.host.Run(p.ctx)
	for _, s := range testServices {
		p.held[s] = map[grantKey]*apiv1.Grant{}
		p.minEpoch[s] = 0
	}
}

// serve handles an RPC request from another process.
func (p *fakeProcess) serve(req proto.Message) (proto.Message, error) {
	if p.isKilled() {
		return nil, errMessageLost
	}
	if batch, ok := req.(*apiv1.MirrorBatch); ok {
		return p.currentHost().Mirror(context.Background(), batch)
	}
	return p.reportGrants(req.(*apiv1.ReportGrants)), nil
}

func (p *fakeProcess) IsValid() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id != 0 && p.c.Now() < p.validUntil
}

func (p *fakeProcess) ID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *fakeProcess) Snapshot() *session.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snap
}

func (p *fakeProcess) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}

func (p *fakeProcess) isPartitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned
}

// run runs the host. It renews the session, which delivers a view, and announces
// the minions at intervals until ctx ends. The view is the part of the control
// group's state that entry processes receive.
func (p *fakeProcess) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	go p.currentHost().Run(ctx)
	for ctx.Err() == nil {
		if !p.isPartitioned() && !p.isKilled() {
			p.renew()
		}
		for _, s := range testServices {
			for i := range 2 {
				p.currentHost().Announce(ctx, &apiv1.MinionBatch{Minions: []*apiv1.MinionAnnouncement{{
					MinionId: fmt.Sprintf("%s-%d", s, i), Service: s, AvailabilityZone: "z1", Slots: testSlots,
				}}})
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// renew opens or renews the session, applies the view in the answer and
// acknowledges its version.
func (p *fakeProcess) renew() {
	sent := p.c.Now()
	p.c.delay(50 * time.Millisecond)
	p.c.mu.Lock()
	id := p.ID()
	incarnation := p.currentIncarnation()
	if !p.c.state.IsSessionLive(id) {
		p.c.index++
		s, _ := p.c.state.OpenSession(p.c.index, &apiv1.OpenSession{ProcessId: p.name, RpcAddress: p.name, AvailabilityZone: p.zone, Incarnation: incarnation})
		id = s.Id
	}
	p.c.lastRenewed[id] = p.c.Now()
	snap := p.c.view()
	p.c.mu.Unlock()
	p.mu.Lock()
	if p.killed || p.incarnation != incarnation {
		p.mu.Unlock()
		return
	}
	p.id, p.snap = id, snap
	p.mu.Unlock()
	p.currentHost().OnView(snap)
	p.mu.Lock()
	if !p.killed && p.incarnation == incarnation {
		p.validUntil = sent + testTTL
	}
	p.mu.Unlock()
	p.c.mu.Lock()
	p.c.ackedVersion[id] = int(snap.View.ConfigVersion)
	p.c.updateInForce()
	p.c.mu.Unlock()
}

func (p *fakeProcess) currentIncarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// reportGrants returns the grants under which requests run. After that the
// process starts nothing under grants of epochs before the one in req. A grant
// permits to send one request to a minion.
func (p *fakeProcess) reportGrants(req *apiv1.ReportGrants) *apiv1.GrantReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.minEpoch[req.Service] = max(p.minEpoch[req.Service], req.Epoch)
	report := &apiv1.GrantReport{SessionId: p.id}
	for key, g := range p.held[req.Service] {
		left := max(0, p.deadlines[g]-p.c.Now())
		report.Grants = append(report.Grants, &apiv1.HeldGrant{
			GrantId: key.id, Epoch: key.epoch, MinionId: g.MinionId, Team: g.Team, RemainingMs: uint32(left.Milliseconds()),
		})
	}
	return report
}

// generateLoad makes requests of a team, one after the other, until ctx ends.
func (p *fakeProcess) generateLoad(ctx context.Context, service, team string) {
	for ctx.Err() == nil {
		p.c.mu.Lock()
		run := time.Duration(p.c.rng.Int64N(int64(testDeadline)))
		if p.c.rng.IntN(2) == 0 {
			run /= 20
		}
		p.c.mu.Unlock()
		if p.request(service, team, testDeadline, run) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// request acquires a slot, runs a request for the given time and releases the
// slot.
func (p *fakeProcess) request(service, team string, timeout, run time.Duration) error {
	snap := p.Snapshot()
	if snap == nil {
		return errMessageLost
	}
	shard := snap.Shard(service)
	host := p.c.hostOf(snap, shard)
	if host == nil || p.isKilled() {
		return errMessageLost
	}
	req := &apiv1.AcquireRequest{Service: service, Epoch: shard.Epoch, SessionId: p.ID(), Team: team, Queue: "q", TimeoutMs: uint32(timeout.Milliseconds())}
	deadline := p.c.Now() + timeout
	p.c.delay(20 * time.Millisecond)
	if host.isKilled() {
		return errMessageLost
	}
	g, err := host.currentHost().Acquire(context.Background(), req)
	if err != nil {
		return err
	}
	if host.isKilled() || p.isKilled() {
		return errMessageLost
	}
	p.c.delay(900 * time.Millisecond) // the answer may arrive late
	release := &apiv1.ReleaseRequest{Service: service, Epoch: g.Epoch, GrantId: g.GrantId, SessionId: req.SessionId, Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_DONE}
	if !p.startRequest(g, req.SessionId, deadline) {
		release.Outcome = apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED
		p.sendRelease(release)
		return errMessageLost
	}
	time.Sleep(min(run, deadline-p.c.Now()))
	p.endRequest(g)
	p.sendRelease(release)
	return nil
}

// startRequest makes the checks that an entry process makes directly before it
// sends the first byte to the minion, and reports whether the request started.
func (p *fakeProcess) startRequest(g *apiv1.Grant, sessionID uint64, deadline time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.Now()
	if p.killed || g.Epoch < p.minEpoch[g.Service] || p.id != sessionID || now >= p.validUntil || now >= deadline {
		return false
	}
	p.held[g.Service][grantKey{g.Epoch, g.GrantId}] = g
	p.deadlines[g] = deadline
	p.c.recordStart(g)
	return true
}

func (p *fakeProcess) endRequest(g *apiv1.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held[g.Service], grantKey{g.Epoch, g.GrantId})
	delete(p.deadlines, g)
	p.c.recordEnd(g)
}

// sendRelease sends a release to the shard's current host. It may arrive late,
// twice or never.
func (p *fakeProcess) sendRelease(req *apiv1.ReleaseRequest) {
	for range 2 {
		p.c.delay(300 * time.Millisecond)
		snap := p.Snapshot()
		host := p.c.hostOf(snap, snap.Shard(req.Service))
		if host != nil && !host.isKilled() && !p.isKilled() && !p.c.chance(10) {
			host.currentHost().Release(context.Background(), req)
		}
		if !p.c.chance(20) {
			return
		}
	}
}

func (c *fakeCluster) hostOf(snap *session.Snapshot, shard *apiv1.Shard) *fakeProcess {
	s := snap.Session(shard.GetSessionId())
	for _, p := range c.procs {
		if p.name == s.GetRpcAddress() {
			return p
		}
	}
	return nil
}
