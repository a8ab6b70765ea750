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

// process is an entry with its host, session and held grants.
type process struct {
	c          *cluster
	name, zone string

	mu   sync.Mutex
	host *Host
	// Mirror batches that this process sends are lost.
	muted bool
	// Of a killed process nothing runs but its requests on the minions.
	dead        bool
	incarnation uint64
	ctx         context.Context
	id          uint64
	valid       time.Duration
	snap        *session.Snapshot
	cut         bool
	held        map[string]map[grantKey]*apiv1.Grant
	ends        map[*apiv1.Grant]time.Duration
	floor       map[string]uint64
}

func newProcess(c *cluster, name string) *process {
	p := &process{c: c, name: name, zone: "z-" + name, incarnation: 1, held: map[string]map[grantKey]*apiv1.Grant{}, ends: map[*apiv1.Grant]time.Duration{}, floor: map[string]uint64{}}
	for _, s := range testServices {
		p.held[s] = map[grantKey]*apiv1.Grant{}
	}
	p.host = p.newHost()
	return p
}

func (p *process) newHost() *Host {
	return NewHost(HostOptions{Client: caller{p}, Control: executor{p}, Session: p, Clock: p.c, Log: quietLog()})
}

// mute loses the process's mirror batches until they are let through again.
func (p *process) mute(muted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted = muted
}

func (p *process) isMuted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *process) theHost() *Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead, p.id, p.valid = true, 0, 0
}

// restart starts a killed process, which knows nothing of its past.
func (p *process) restart() {
	if !p.isDead() {
		return
	}
	p.theHost().drain()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = false
	p.incarnation++
	p.host = p.newHost()
	go p.host.Run(p.ctx)
	for _, s := range testServices {
		p.held[s] = map[grantKey]*apiv1.Grant{}
		p.floor[s] = 0
	}
}

func (p *process) serve(req proto.Message) (proto.Message, error) {
	if p.isDead() {
		return nil, errLost
	}
	if batch, ok := req.(*apiv1.MirrorBatch); ok {
		return p.theHost().Mirror(context.Background(), batch)
	}
	return p.reportGrants(req.(*apiv1.ReportGrants)), nil
}

func (p *process) IsValid() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id != 0 && p.c.Now() < p.valid
}

func (p *process) ID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *process) Snapshot() *session.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snap
}

func (p *process) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *process) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// run renews the session, takes over views and announces the minions.
func (p *process) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	go p.theHost().Run(ctx)
	for ctx.Err() == nil {
		if !p.isCut() && !p.isDead() {
			p.renew()
		}
		for _, s := range testServices {
			for i := range 2 {
				p.theHost().Announce(ctx, &apiv1.MinionBatch{Minions: []*apiv1.MinionAnnouncement{{
					MinionId: fmt.Sprintf("%s-%d", s, i), Service: s, AvailabilityZone: "z1", Slots: testSlots,
				}}})
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *process) renew() {
	sent := p.c.Now()
	p.c.delay(50 * time.Millisecond)
	p.c.mu.Lock()
	id := p.ID()
	incarnation := p.incarnationNow()
	if !p.c.state.LiveSession(id) {
		p.c.index++
		s, _ := p.c.state.OpenSession(p.c.index, &apiv1.OpenSession{ProcessId: p.name, RpcAddress: p.name, AvailabilityZone: p.zone, Incarnation: incarnation})
		id = s.Id
	}
	p.c.renewed[id] = p.c.Now()
	snap := p.c.view()
	p.c.mu.Unlock()
	p.mu.Lock()
	if p.dead || p.incarnation != incarnation {
		p.mu.Unlock()
		return
	}
	p.id, p.snap = id, snap
	p.mu.Unlock()
	p.theHost().OnView(snap)
	p.mu.Lock()
	if !p.dead && p.incarnation == incarnation {
		p.valid = sent + testTTL
	}
	p.mu.Unlock()
	p.c.mu.Lock()
	p.c.acked[id] = int(snap.View.ConfigVersion)
	p.c.acknowledge()
	p.c.mu.Unlock()
}

func (p *process) incarnationNow() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

func (p *process) reportGrants(req *apiv1.ReportGrants) *apiv1.GrantReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.floor[req.Service] = max(p.floor[req.Service], req.Epoch)
	report := &apiv1.GrantReport{SessionId: p.id}
	for key, g := range p.held[req.Service] {
		left := max(0, p.ends[g]-p.c.Now())
		report.Grants = append(report.Grants, &apiv1.HeldGrant{
			GrantId: key.id, Epoch: key.epoch, MinionId: g.MinionId, Team: g.Team, RemainingMs: uint32(left.Milliseconds()),
		})
	}
	return report
}

// load keeps requests of a team coming until ctx ends.
func (p *process) load(ctx context.Context, service, team string) {
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

// request acquires a slot, runs for the given time and releases it.
func (p *process) request(service, team string, timeout, run time.Duration) error {
	snap := p.Snapshot()
	if snap == nil {
		return errLost
	}
	shard := snap.Shard(service)
	host := p.c.hostOf(snap, shard)
	if host == nil || p.isDead() {
		return errLost
	}
	req := &apiv1.AcquireRequest{Service: service, Epoch: shard.Epoch, SessionId: p.ID(), Team: team, Queue: "q", TimeoutMs: uint32(timeout.Milliseconds())}
	deadline := p.c.Now() + timeout
	p.c.delay(20 * time.Millisecond)
	if host.isDead() {
		return errLost
	}
	g, err := host.theHost().Acquire(context.Background(), req)
	if err != nil {
		return err
	}
	if host.isDead() || p.isDead() {
		return errLost
	}
	p.c.delay(900 * time.Millisecond) // the answer is late
	release := &apiv1.ReleaseRequest{Service: service, Epoch: g.Epoch, GrantId: g.GrantId, SessionId: req.SessionId, Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_DONE}
	if !p.begin(g, req.SessionId, deadline) {
		release.Outcome = apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED
		p.sendRelease(release)
		return errLost
	}
	time.Sleep(min(run, deadline-p.c.Now()))
	p.finish(g)
	p.sendRelease(release)
	return nil
}

// begin is what an entry does directly before the first byte.
func (p *process) begin(g *apiv1.Grant, sessionID uint64, deadline time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.c.Now()
	if p.dead || g.Epoch < p.floor[g.Service] || p.id != sessionID || now >= p.valid || now >= deadline {
		return false
	}
	p.held[g.Service][grantKey{g.Epoch, g.GrantId}] = g
	p.ends[g] = deadline
	p.c.start(g)
	return true
}

func (p *process) finish(g *apiv1.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held[g.Service], grantKey{g.Epoch, g.GrantId})
	delete(p.ends, g)
	p.c.end(g)
}

// sendRelease goes to the present host; it may come late, twice or never.
func (p *process) sendRelease(req *apiv1.ReleaseRequest) {
	for range 2 {
		p.c.delay(300 * time.Millisecond)
		snap := p.Snapshot()
		host := p.c.hostOf(snap, snap.Shard(req.Service))
		if host != nil && !host.isDead() && !p.isDead() && !p.c.chance(10) {
			host.theHost().Release(context.Background(), req)
		}
		if !p.c.chance(20) {
			return
		}
	}
}

func (c *cluster) hostOf(snap *session.Snapshot, shard *apiv1.Shard) *process {
	s := snap.Session(shard.GetSessionId())
	for _, p := range c.procs {
		if p.name == s.GetRpcAddress() {
			return p
		}
	}
	return nil
}
