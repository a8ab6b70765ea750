package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/membership"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	testTTL      = 2 * time.Second
	testMargin   = 250 * time.Millisecond
	testDeadline = 8 * time.Second
	// testStartDelay is how long after a configuration version came into force (all
	// live sessions of entry processes acknowledged it) a request may still start
	// under a grant, the permission to send it to a minion, that was made before.
	testStartDelay = 1200 * time.Millisecond
	testSlots      = 4
)

var testServices = []string{"alerts", "models"}

func testIndex(limit uint32) *objects.Index {
	set := &apiv1.ObjectSet{
		Limit:            []*apiv1.Limit{{Name: "l", MaxRunning: limit}},
		Team:             []*apiv1.Team{{Name: "a", Weight: 1, Limit: "l"}, {Name: "b", Weight: 2, Limit: "l"}},
		AvailabilityZone: []*apiv1.AvailabilityZone{{Name: "z1", State: apiv1.ZoneState_ZONE_STATE_IN}},
		Queue:            []*apiv1.Queue{{Name: "q", MaxDepth: 1000, Priority: apiv1.Priority_PRIORITY_NORMAL}},
	}
	for _, s := range testServices {
		set.Service = append(set.Service, &apiv1.Service{
			Name: s, SlotsPerMinion: testSlots, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: uint32(testDeadline.Milliseconds()),
		})
	}
	return objects.NewIndex(set)
}

// fakeCluster simulates a control group, entry processes and minions inside a
// synctest bubble. While faultsEnabled, messages are delayed, duplicated,
// reordered and lost. It counts the requests that run and records violations of
// slots and limits.
type fakeCluster struct {
	mu          sync.Mutex
	state       *membership.State
	index       uint64
	config      *objects.Index
	rng         *rand.Rand
	startTime   time.Time
	procs       []*fakeProcess
	lastRenewed map[uint64]time.Duration
	releaseAt   map[uint64]time.Duration

	versions        []publishedVersion
	ackedVersion    map[uint64]int // configuration version by session
	jobs            map[string]int
	running         map[string]int // by team
	runningOnMinion map[string]int
	started         int
	violations      []string
	faultsEnabled   bool
	// Number of times a standby (the process that is to take a shard over) was
	// proposed or removed, and number of recoveries of a new host that had a mirror,
	// the standby's copy of the shard's grants.
	standbyProposals, mirroredHandovers int
}

// publishedVersion is a configuration version: its limit and the time at which
// every live session had acknowledged it, negative before that.
type publishedVersion struct {
	limit   uint32
	inForce time.Duration
}

func newCluster(seed uint64, processes int, limit uint32) *fakeCluster {
	c := &fakeCluster{
		state: membership.New(), rng: rand.New(rand.NewPCG(seed, 1)), startTime: time.Now(),
		lastRenewed: map[uint64]time.Duration{}, releaseAt: map[uint64]time.Duration{}, ackedVersion: map[uint64]int{},
		jobs: map[string]int{}, running: map[string]int{}, runningOnMinion: map[string]int{},
	}
	c.publish(limit)
	for i := range processes {
		c.procs = append(c.procs, newProcess(c, fmt.Sprintf("p%d", i)))
	}
	return c
}

// Now implements clock.Clock.
func (c *fakeCluster) Now() time.Duration { return time.Since(c.startTime) }

func (c *fakeCluster) publish(limit uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, publishedVersion{limit: limit, inForce: -1})
	c.config = testIndex(limit)
	c.index++
	c.state.SetConfig(c.index, c.config)
}

// changeJobs starts or ends a job of the team, if the team's limit allows it.
func (c *fakeCluster) changeJobs(team string, acquire bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case acquire && c.state.AcquireJob(team):
		c.jobs[team]++
		c.checkLimit(team)
	case !acquire && c.jobs[team] > 0:
		c.jobs[team]--
		c.state.ReleaseJob(team)
	}
}

// updateInForce records which versions are in force now. It must be called with
// the lock held, when a session has acknowledged a version or has expired.
func (c *fakeCluster) updateInForce() {
	lowest := len(c.versions) - 1
	for _, s := range c.state.Sessions() {
		version, ok := c.ackedVersion[s.Id]
		if !ok {
			version = -1 // has not acknowledged a view yet
		}
		if !s.Expired {
			lowest = min(lowest, version)
		}
	}
	for i := range lowest + 1 {
		if c.versions[i].inForce < 0 {
			c.versions[i].inForce = c.Now()
		}
	}
}

// checkLimit records a violation if the team runs more than the highest of the
// limits that may have applied when the last grant was made: those of the
// version in force testStartDelay ago and of all later versions.
func (c *fakeCluster) checkLimit(team string) {
	limit := uint32(0)
	for _, v := range c.versions {
		if v.inForce >= 0 && v.inForce+testStartDelay < c.Now() {
			limit = 0
		}
		limit = max(limit, v.limit)
	}
	if n := c.running[team] + c.jobs[team]; n > int(limit) {
		c.violations = append(c.violations, fmt.Sprintf("%v: team %s runs %d, limit %d", c.Now(), team, n, limit))
	}
}

// recordStart counts a request that starts on a minion and checks the slots of
// the minion and the limit of the team.
func (c *fakeCluster) recordStart(g *apiv1.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	c.running[g.Team]++
	c.runningOnMinion[g.MinionId]++
	if n := c.runningOnMinion[g.MinionId]; n > testSlots {
		c.violations = append(c.violations, fmt.Sprintf("%v: minion %s runs %d, slots %d", c.Now(), g.MinionId, n, testSlots))
	}
	c.checkLimit(g.Team)
}

func (c *fakeCluster) recordEnd(g *apiv1.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[g.Team]--
	c.runningOnMinion[g.MinionId]--
}

// chance returns true with the given probability while faults are enabled. All
// goroutines share the random number generator.
func (c *fakeCluster) chance(percent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faultsEnabled && c.rng.IntN(100) < percent
}

// delay sleeps for a random time up to the limit while faults are enabled, and
// for a millisecond otherwise.
func (c *fakeCluster) delay(limit time.Duration) {
	c.mu.Lock()
	d := time.Millisecond
	if c.faultsEnabled {
		d += time.Duration(c.rng.Int64N(int64(limit)))
	}
	c.mu.Unlock()
	time.Sleep(d)
}

// runLeader expires sessions, the leases of the entry processes, and releases
// them when none of their requests can run any more, like the leader of the
// control group.
func (c *fakeCluster) runLeader(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		for _, s := range c.state.Sessions() {
			switch {
			case !s.Expired && c.Now() > c.lastRenewed[s.Id]+testTTL+testMargin:
				c.index++
				c.state.ExpireSessions(c.index, &apiv1.ExpireSessions{SessionIds: []uint64{s.Id}})
				c.releaseAt[s.Id] = c.Now() + 5*testDeadline // other services have longer deadlines
				c.updateInForce()
			case s.Expired && c.releaseAt[s.Id] == 0: // a restarted process ended it
				c.releaseAt[s.Id] = c.Now() + 5*testDeadline
			case s.Expired && c.Now() > c.releaseAt[s.Id]:
				c.state.ReleaseSessions(&apiv1.ReleaseSessions{SessionIds: []uint64{s.Id}})
			}
		}
		c.mu.Unlock()
	}
}

// view returns the current view. It must be called with the lock held.
func (c *fakeCluster) view() *session.Snapshot {
	return &session.Snapshot{View: &apiv1.View{ConfigVersion: uint64(len(c.versions) - 1), Sessions: c.state.Sessions(), Shards: c.state.Shards()}, Index: c.config}
}

// apply applies a committed command to the membership state.
func (c *fakeCluster) apply(cmd *apiv1.Command) *apiv1.CommandResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	res := &apiv1.CommandResult{Index: c.index}
	switch b := cmd.Body.(type) {
	case *apiv1.Command_FinishRecovery:
		for _, sh := range c.state.Shards() {
			if sh.Service == b.FinishRecovery.Service && sh.Epoch == b.FinishRecovery.Epoch && sh.Recovering && sh.MirroredEpoch != 0 {
				c.mirroredHandovers++
			}
		}
		if err := c.state.FinishRecovery(b.FinishRecovery); err != nil {
			res.Status = err.Status()
		}
	case *apiv1.Command_ReportDemand:
		a, err := c.state.ReportDemand(b.ReportDemand)
		if err != nil {
			res.Status = err.Status()
		}
		res.Body = &apiv1.CommandResult_Allotments{Allotments: a}
	case *apiv1.Command_SetStandby:
		c.standbyProposals++
		if err := c.state.SetStandby(b.SetStandby); err != nil {
			res.Status = err.Status()
		}
	}
	return res
}

var errMessageLost = errors.New("message lost")

// fakeExecutor commits the commands of one process over the faulty network.
type fakeExecutor struct{ p *fakeProcess }

func (e fakeExecutor) Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	c := e.p.c
	if c.chance(10) { // committed after the caller has given up
		go func() { c.delay(time.Second); c.apply(cmd) }()
		return nil, errMessageLost
	}
	c.delay(30 * time.Millisecond)
	if e.p.isPartitioned() || e.p.isKilled() || ctx.Err() != nil {
		return nil, errMessageLost
	}
	res := c.apply(cmd)
	if c.chance(10) {
		go func() { c.delay(time.Second); c.apply(cmd) }()
	}
	c.delay(30 * time.Millisecond)
	if c.chance(10) {
		return nil, errMessageLost
	}
	return res, nil
}

// fakeRPCClient makes the RPC calls of one process over the faulty network.
type fakeRPCClient struct{ p *fakeProcess }

// Call implements RPCClient for Entry.ReportGrants and Shard.Mirror.
func (r fakeRPCClient) Call(ctx context.Context, address, _ string, req, resp proto.Message) error {
	c := r.p.c
	lossPercent, maxReplyDelay := 20, 200*time.Millisecond
	if _, ok := req.(*apiv1.MirrorBatch); ok {
		if r.p.isLosingMirrorBatches() {
			<-ctx.Done()
			return ctx.Err()
		}
		lossPercent, maxReplyDelay = 2, 40*time.Millisecond // few losses, so that standbys last
	}
	c.delay(50 * time.Millisecond)
	to := c.processAt(address)
	if r.p.isKilled() || to == nil || to.isKilled() || c.chance(lossPercent) {
		return errMessageLost
	}
	if c.chance(10) { // a duplicate arrives much later
		again := proto.Clone(req)
		go func() { c.delay(3 * time.Second); to.serve(again) }()
	}
	answer, err := to.serve(req)
	c.delay(maxReplyDelay)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case c.chance(lossPercent) || r.p.isKilled():
		return errMessageLost
	case err != nil:
		return err
	}
	proto.Merge(resp, answer)
	return nil
}

func (c *fakeCluster) processAt(address string) *fakeProcess {
	for _, p := range c.procs {
		if p.name == address {
			return p
		}
	}
	return nil
}

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(l)
}
