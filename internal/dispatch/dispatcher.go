package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// leadershipTTL is how long a confirmation by the quorum lets the leader give
	// orders. A deposed leader that stood still gives none when it wakes.
	leadershipTTL = time.Second
	// confirmInterval is the time between two confirmations.
	confirmInterval = 200 * time.Millisecond
	// planInterval bounds the time between two planning rounds, for what comes
	// due without a change of the state.
	planInterval = 100 * time.Millisecond
	// maxUnsentStarts bounds the starts that are committed and not ordered yet. More
	// would only wait for the processor, in no order.
	maxUnsentStarts = 192
	// forgetInterval is the time between two removals of old jobs.
	forgetInterval = 10 * time.Second
)

// Node is the part of a control replica that the dispatcher uses.
type Node interface {
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	Barrier(ctx context.Context) error
}

// Options configure a dispatcher.
type Options struct {
	Minions      MinionClient
	StateMachine *state.Machine
	Node         Node
	Clock        clock.Clock
	Log          *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
	// Lease is how long each renewal lets a minion run on; MaxLease is the
	// longest lease that any leader may have given.
	Lease, MaxLease time.Duration
	// Retention is how long an ended job can be asked for.
	Retention time.Duration
	// Fleet configures machine services; they are off without a provider.
	Fleet FleetOptions
}

// Dispatcher works for one term of the leader.
type Dispatcher struct {
	opts    Options
	term    uint64
	ctx     context.Context
	clock   clock.Clock
	log     *logrus.Entry
	metrics *metrics
	// inheritedLeaseEnd is when leases given by earlier leaders are over.
	inheritedLeaseEnd time.Duration
	confirmedAt       atomic.Int64

	mu       sync.Mutex
	sessions map[batch.Incarnation]*session
	// latest holds the start of the latest life known of each minion.
	latest map[string]int64
	wg     sync.WaitGroup

	// unsentStarts counts the committed starts whose order has not left.
	unsentStarts atomic.Int64

	// livesOver counts the lives that ended during the term.
	endedIncarnations atomic.Uint64

	ends    endQueue
	reports reportFilter
	fleet   *fleetManager
}

// New returns a dispatcher for a term that has just begun; ctx ends with it.
func New(ctx context.Context, term uint64, o Options, m *Metrics) *Dispatcher {
	now := o.Clock.Now()
	d := &Dispatcher{
		opts: o, term: term, ctx: ctx, clock: o.Clock, metrics: m.m,
		log:               o.Log.WithField("term", term),
		inheritedLeaseEnd: now + time.Duration(float64(o.MaxLease)/minClockRate) + leadershipTTL + leaseMargin,
		sessions:          map[batch.Incarnation]*session{},
		latest:            map[string]int64{},
	}
	d.confirmedAt.Store(int64(now))
	d.ends.wake = make(chan struct{}, 1)
	d.reports.latest = map[string]lastReport{}
	d.fleet = newFleetManager(d, now)
	return d
}

// Run works until the term ends.
func (d *Dispatcher) Run() {
	d.log.WithField("inherited_lease_end_ms", d.inheritedLeaseEnd.Milliseconds()).Info("dispatcher started")
	d.wg.Go(d.confirmLoop)
	d.wg.Go(d.commitEndsLoop)
	d.wg.Go(d.planLoop)
	d.wg.Go(d.forgetLoop)
	d.wg.Go(d.fleet.run)
	<-d.ctx.Done()
	d.wg.Wait()
	d.log.Info("dispatcher stopped")
}

// leadershipConfirmed tells whether a quorum confirmed this leader within leadershipTTL.
func (d *Dispatcher) leadershipConfirmed() bool {
	return d.ctx.Err() == nil && d.clock.Now()-time.Duration(d.confirmedAt.Load()) < leadershipTTL
}

func (d *Dispatcher) confirmLoop() {
	for d.ctx.Err() == nil {
		start := d.clock.Now()
		ctx, cancel := context.WithTimeout(d.ctx, leadershipTTL)
		err := d.opts.Node.Barrier(ctx)
		cancel()
		if err == nil {
			d.confirmedAt.Store(int64(start))
		}
		sleep(d.ctx, confirmInterval)
	}
}

// tokensPerTerm bounds the lives whose tokens differ within one term.
const tokensPerTerm = 1 << 20

// nextToken returns a token above those of earlier terms and of all lives that
// are over.
func (d *Dispatcher) nextToken() uint64 {
	return d.term*tokensPerTerm + min(d.endedIncarnations.Load(), tokensPerTerm-1)
}

// propose commits a batch command. Its error is logged by the caller.
func (d *Dispatcher) propose(ctx context.Context, cmd *apiv1.BatchCommand) (*apiv1.BatchResult, error) {
	res, err := d.opts.Node.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Batch{Batch: cmd}})
	if err != nil {
		return nil, err
	}
	if err := result.FromStatus(res.Status); err != nil {
		return nil, err
	}
	return res.GetBatch(), nil
}

// startOrder returns the start order of a run, false when it is not wanted
// any more.
func (d *Dispatcher) startOrder(key batch.RunKey) (o StartOrder, ok bool) {
	d.opts.StateMachine.Read(func(st *state.State) {
		j := st.Batch.Job(key.Job)
		if j == nil || batch.Ended(j.State) {
			return
		}
		step, checkpoint := j.StepAndCheckpoint(key.TaskRef)
		if step == nil {
			return
		}
		o = StartOrder{Run: key, Specification: j.Specification, Checkpoint: checkpoint}
		ok = true
	})
	return o, ok
}

func (d *Dispatcher) forgetLoop() {
	for d.ctx.Err() == nil {
		sleep(d.ctx, forgetInterval)
		before := int64(0)
		d.opts.StateMachine.Read(func(st *state.State) { before = st.LogTimeMS - d.opts.Retention.Milliseconds() })
		cmd := &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ForgetJobs{ForgetJobs: &apiv1.ForgetBatchJobs{EndedBeforeUnixMs: before}}}
		if _, err := d.propose(d.ctx, cmd); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("old jobs were not removed")
		}
	}
}

// IsLeader tells whether the term still goes on here.
func (d *Dispatcher) IsLeader() bool { return d.ctx.Err() == nil }
