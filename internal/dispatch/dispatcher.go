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
	"bergamotdrum.example/bergamotdrum/internal/jobmemory"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// leadershipTTL is how long the leader may send orders after a quorum
	// confirmed it. A deposed leader whose process was suspended sends none when
	// it resumes.
	leadershipTTL = time.Second
	// confirmInterval is the time between two requests for a confirmation by the quorum.
	confirmInterval = 200 * time.Millisecond
	// planInterval is the longest time between two planning rounds, which choose
	// the tasks to start. Some work becomes due by time alone, without a change of
	// the state.
	planInterval = 100 * time.Millisecond
	// forgetInterval is the time between two removals of what is no longer needed of
	// ended jobs and minions.
	forgetInterval = 10 * time.Second
)

// Node is the part of a control replica that the dispatcher uses.
type Node interface {
	// Propose commits a command and returns its result. After an error the command
	// may be committed or not, unless it is a *result.Error with NotRun set.
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	// Barrier returns nil once a quorum has confirmed, after the call began, that
	// this replica leads.
	Barrier(ctx context.Context) error
}

// Options configures a Dispatcher.
type Options struct {
	Minions      MinionClient
	StateMachine *state.Machine
	Node         Node
	Clock        clock.Clock
	Log          *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
	// Lease is the length of a minion's lease from each renewal. MaxLease is the
	// longest lease that a minion accepts. Both are whole milliseconds.
	Lease, MaxLease time.Duration
	// MaxAnnouncementAge is the age of a minion's last announcement from which it
	// gets no new work if it doesn't guard its capacity, which may have shrunk since.
	// Zero means no limit.
	MaxAnnouncementAge time.Duration
	// MaxJobMemory bounds the memory of accepted jobs, in bytes (see batch.Footprint). Zero
	// means no limit.
	MaxJobMemory int64
	// LogRoom returns how many bytes the replica's log takes until new jobs have to wait.
	// Nil means no limit.
	LogRoom func() int64
	// Retention is how long an ended job is kept for queries.
	Retention time.Duration
	// Fleet configures the management of machines, which is off without a
	// provider.
	Fleet FleetOptions
}

// Dispatcher runs tasks and manages machines during one term, the time from the
// election of a leader to that of the next one.
type Dispatcher struct {
	opts    Options
	term    uint64
	ctx     context.Context
	clock   clock.Clock
	log     *logrus.Entry
	metrics *metrics
	// startedAt is when the term began.
	startedAt time.Duration
	// leases is what follows from the record of the longest lease at the term's start.
	leases leaseRecord
	// allowedLeaseNS is the length of the leases that may be given now, as a
	// time.Duration.
	allowedLeaseNS atomic.Int64
	// confirmedAt is when the last confirmation by a quorum was requested, as a
	// time.Duration of clock.
	confirmedAt atomic.Int64

	mu       sync.Mutex
	sessions map[batch.Incarnation]*session
	// latest maps a minion's id to the start of its latest known incarnation, one
	// lifetime of its process, in Unix ms.
	latest map[string]int64
	wg     sync.WaitGroup

	// minionsRevision is the revision of the minions for which the planning loop last
	// looked for missing sessions, at targetsReadAt. loadsRevision is the revision of
	// the loads up to which it has updated the sessions. Only that loop uses the three.
	minionsRevision uint64
	targetsReadAt   time.Duration
	// waitsLoggedAt is when the planning loop last logged why tasks wait.
	waitsLoggedAt time.Duration
	loadsRevision uint64

	startWindow *startWindow
	load        load
	admission   *admission

	// endedIncarnations counts the incarnations that ended or were replaced during
	// the term, so that each new session, the leader's exchange with one
	// incarnation, gets a higher token.
	endedIncarnations atomic.Uint64

	ends          endQueue
	announcements announcementFilter
	setAside      *setAside
	lateCalls     lateCalls
	downtimes     downtimes
	fleet         *fleetManager
}

// New returns a dispatcher for a term that has just begun. The owner cancels ctx
// when the term ends.
func New(ctx context.Context, term uint64, o Options, m *Metrics) *Dispatcher {
	now := o.Clock.Now()
	d := &Dispatcher{
		opts: o, term: term, ctx: ctx, clock: o.Clock, metrics: m.m, startedAt: now,
		log:         o.Log.WithField("term", term),
		sessions:    map[batch.Incarnation]*session{},
		latest:      map[string]int64{},
		startWindow: newStartWindow(),
		admission:   newAdmission(),
	}
	d.admission.memory = jobmemory.New(o.MaxJobMemory)
	d.admission.state, d.admission.logRoom = jobState{o.StateMachine}, o.LogRoom
	d.leases = readLeaseRecord(o.StateMachine, now, o.MaxLease)
	d.allowRecorded(d.leases.recordedMS)
	d.confirmedAt.Store(int64(now - leadershipTTL))
	d.ends.wakeup = make(chan struct{}, 1)
	d.downtimes.down = map[batch.TaskRef]downSince{}
	d.announcements.latest = map[string]lastAnnouncement{}
	d.setAside = newSetAside()
	d.fleet = newFleetManager(d, now)
	return d
}

// Run works until the term ends and returns when all its goroutines have.
func (d *Dispatcher) Run() {
	d.log.WithField("inherited_leases_end_in_ms", (d.leases.inheritedEnd - d.clock.Now()).Milliseconds()).Info("dispatcher started")
	// The process may have been suspended since it was elected.
	d.confirm()
	for d.ctx.Err() == nil && !d.leadershipConfirmed() {
		sleep(d.ctx, confirmInterval)
		d.confirm()
	}
	d.wg.Go(d.confirmLoop)
	d.wg.Go(d.leaseRecordLoop)
	d.wg.Go(d.commitEndsLoop)
	d.wg.Go(d.planLoop)
	d.wg.Go(d.forgetLoop)
	d.wg.Go(d.fleet.run)
	d.wg.Go(d.fleet.relocationLoop)
	<-d.ctx.Done()
	d.wg.Wait()
	for _, s := range d.sessionList() {
		d.opts.Minions.Disconnect(s.target)
	}
	d.log.Info("dispatcher stopped")
}

// leadershipConfirmed reports whether a quorum confirmed this leader within
// leadershipTTL.
func (d *Dispatcher) leadershipConfirmed() bool {
	return d.ctx.Err() == nil && d.clock.Now()-time.Duration(d.confirmedAt.Load()) < leadershipTTL
}

// confirmLoop has a quorum confirm this leader every confirmInterval. It doesn't wait
// for the answer to one request before the next: confirmations would be twice as old,
// and on a busy leader too old to renew leases.
func (d *Dispatcher) confirmLoop() {
	for d.ctx.Err() == nil {
		sleep(d.ctx, confirmInterval)
		d.wg.Go(d.confirm)
	}
}

// confirm has a quorum confirm this leader. A confirmation counts from when it was
// requested: another leader may exist soon after. It takes leadershipTTL at most.
func (d *Dispatcher) confirm() {
	start := int64(d.clock.Now())
	ctx, cancel := context.WithTimeout(d.ctx, leadershipTTL)
	defer cancel()
	if d.opts.Node.Barrier(ctx) != nil {
		return
	}
	for at := d.confirmedAt.Load(); at < start && !d.confirmedAt.CompareAndSwap(at, start); at = d.confirmedAt.Load() {
	}
}

// tokensPerTerm is the number of distinct fencing tokens within one term. Beyond
// so many ended incarnations, the last token is used again.
const tokensPerTerm = 1 << 20

// nextToken returns a fencing token above those of earlier terms and of all
// incarnations that have ended.
func (d *Dispatcher) nextToken() uint64 {
	return d.term*tokensPerTerm + min(d.endedIncarnations.Load(), tokensPerTerm-1)
}

// propose commits a batch command. The caller logs the error, after which the
// command may be committed or not, unless it is a *result.Error with NotRun
// set.
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

// startOrder returns the start order of a run on an incarnation, without token
// and lease, and the present capacity of the minion. It returns false when the
// job is unknown or ended, or has no such step, or when the incarnation is no
// longer recorded, may not get the run any more or wasn't heard for too long: a
// minion may have changed since the start was committed.
func (d *Dispatcher) startOrder(key batch.RunKey, inc batch.Incarnation) (o StartOrder, capacity *apiv1.Resources, ok bool) {
	d.opts.StateMachine.Read(func(st *state.State) {
		j := st.Batch.Job(key.Job)
		if j == nil || batch.Ended(j.State) {
			return
		}
		step, checkpoint := j.StepAndCheckpoint(key.TaskRef)
		m := st.Batch.Minion(inc.ID)
		if step == nil || m == nil || batch.IncarnationOf(m.Life) != inc || st.Batch.Exclusion(j, step, m) != "" {
			return
		}
		if len(d.announcements.outdated(st.Batch, []*apiv1.BatchMinion{m}, d.clock.Now(), d.opts.MaxAnnouncementAge)) > 0 {
			return
		}
		o = StartOrder{Run: key, Specification: j.Specification, Checkpoint: checkpoint}
		capacity, ok = m.Capacity, true
	})
	return o, capacity, ok
}

// forgetLoop removes jobs that ended longer than Options.Retention ago, and
// incarnations of minions that ended longer than lateCallTime ago.
func (d *Dispatcher) forgetLoop() {
	for d.ctx.Err() == nil {
		sleep(d.ctx, forgetInterval)
		d.forgetEnded()
		d.forgetDowntimes()
		before := int64(0)
		d.opts.StateMachine.Read(func(st *state.State) { before = st.LogTimeMS - d.opts.Retention.Milliseconds() })
		cmd := &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ForgetJobs{ForgetJobs: &apiv1.ForgetBatchJobs{EndedBeforeUnixMs: before}}}
		if _, err := d.propose(d.ctx, cmd); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("old ended jobs were not removed")
		}
	}
}

// IsLeader reports whether the term has not ended on this replica.
func (d *Dispatcher) IsLeader() bool { return d.ctx.Err() == nil }
