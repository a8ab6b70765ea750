package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// downtimeLease is the length of the leases in the tests of downtimes.
	downtimeLease = 4 * time.Second
	// electionTime is how long the group is without a leader when the leader changes.
	electionTime = 600 * time.Millisecond
	// reactionTime is how long the commits, rounds and calls may take that follow the
	// end of a lease.
	reactionTime = 400 * time.Millisecond
)

var (
	// steadyDowntime is how long a task may be down when its minion is lost during a
	// term: until the lease has ended on the slowest clock.
	steadyDowntime = longestLease(downtimeLease) + reactionTime
	// changeDowntime is the same from the end of a leader's term: the next leader doesn't
	// know when its predecessor renewed the lease.
	changeDowntime = electionTime + leadershipTTL + steadyDowntime
	// lateLeaseDowntime is the same for a minion that started again under its id, from
	// its first answer: a call for its earlier incarnation may have given it the longest
	// lease, and the minions' protocol has no call that shortens a lease.
	lateLeaseDowntime = longestLease(longestAccepted) + reactionTime
	// lateStartDowntime is the same where the next incarnation under the id may carry out
	// a start order for the lost one, and can't be asked.
	lateStartDowntime = lateLeaseDowntime + orderTimeout
)

// faultyClient is a MinionClient that can refuse starts on one minion or be short of
// connections to it.
type faultyClient struct {
	MinionClient
	// refusing is the id of the minion that refuses starts as unhealthy, unsent that of
	// the minion to which no call is sent.
	refusing, unsent atomic.Value
}

func (c *faultyClient) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	switch to.Incarnation.ID {
	case c.refusing.Load():
		return 0, &Refusal{Reason: RefusedUnhealthy}
	case c.unsent.Load():
		return 0, &Refusal{Reason: NotSent}
	}
	return c.MinionClient.Start(ctx, to, o)
}

func (c *faultyClient) Hold(ctx context.Context, to Target, o HoldRequest) (*HoldReply, error) {
	if to.Incarnation.ID == c.unsent.Load() {
		sleep(ctx, o.MaxWait+holdGrace)
		return nil, &Refusal{Reason: NotSent}
	}
	return c.MinionClient.Hold(ctx, to, o)
}

// downtimePlay has the long-running task of job0 on minion a, and room for it on b.
type downtimePlay struct {
	*harness
	a, b   *fakeMinion
	client *faultyClient
}

// lose ends the process of a minion. Connections to it are refused, or get no answer if
// its host is gone too.
func (p *downtimePlay) lose(m *fakeMinion, hostGone bool) {
	m.crash()
	if hostGone {
		p.setUnreachable(m, true)
	}
}

// changeLeader ends the leader's term and begins the next one after an election. Calls
// of the earlier leader may still be carried out.
func (p *downtimePlay) changeLeader() {
	p.cancel()
	time.Sleep(electionTime)
	p.startTerm()
}

// downtime is the longest time that a task was without a run, of which released is the
// time until no run was committed, and planned until the next one was.
type downtime struct{ total, released, planned time.Duration }

// watchDowntime measures the task of job0 until stop is closed.
func (p *downtimePlay) watchDowntime(stop <-chan struct{}) <-chan downtime {
	out := make(chan downtime, 1)
	ref := batch.TaskRef{Job: "job0"}
	first, _ := p.lastRun()
	go func() {
		var longest, now downtime
		for {
			select {
			case <-stop:
				out <- longest
				return
			case <-time.After(10 * time.Millisecond):
			}
			p.cluster.mu.Lock()
			for _, m := range p.cluster.minions {
				m.advance()
			}
			runs := p.cluster.active[ref] > 0
			p.cluster.mu.Unlock()
			if runs {
				now = downtime{}
				first, _ = p.lastRun()
				continue
			}
			now.total += 10 * time.Millisecond
			number, committed := p.lastRun()
			if committed && number == first {
				now.released = now.total
			}
			if !committed || number == first {
				now.planned = now.total
			}
			if now.total > longest.total {
				longest = now
			}
		}
	}()
	return out
}

// lastRun returns the number of the committed run of job0's task, if there is one.
func (p *downtimePlay) lastRun() (number uint32, committed bool) {
	p.node.machine.Read(func(st *state.State) {
		for _, r := range st.Batch.Job("job0").Occurrence(0).Steps[0].Tasks[0].Runs {
			number, committed = max(number, r.Number), true
		}
	})
	return number, committed
}

// playDowntime has a task run on minion a until the given time of its hold calls, has
// minions lost by the play, and returns for how long the task was without a run.
func playDowntime(t *testing.T, phase time.Duration, play func(p *downtimePlay)) (d downtime) {
	synctest.Test(t, func(t *testing.T) {
		client := &faultyClient{}
		client.refusing.Store("")
		client.unsent.Store("")
		h := newHarnessVia(t, 1, func(m MinionClient, _ clock.Clock) *Via {
			client.MinionClient = m
			return &Via{Minions: client, Lead: func(ctx context.Context) { <-ctx.Done() }}
		})
		defer func() { h.endTerm() }()
		h.restartWithLease(downtimeLease)
		h.setCommitTime(10 * time.Millisecond)
		p := &downtimePlay{harness: h, client: client, a: h.cluster.add("a")}
		h.announce(p.a)
		h.submitLongRunning("job0", 1, 1)
		time.Sleep(2 * downtimeLease)
		NewWithT(t).Expect(h.runningOn(p.a)).To(Equal(1))
		p.b = h.cluster.add("b")
		h.announce(p.b)
		time.Sleep(time.Second + phase)
		stop := make(chan struct{})
		result := p.watchDowntime(stop)
		defer func() {
			close(stop)
			d = <-result
		}()
		play(p)
		time.Sleep(2 * longestAccepted)
	})
	return d
}

// expectDowntime fails the test if the task of a play is down for longer than limit, at
// some phase of the hold calls.
func expectDowntime(t *testing.T, limit time.Duration, play func(p *downtimePlay, hostGone bool)) {
	for name, hostGone := range map[string]bool{"process ends": false, "host is gone": true} {
		t.Run(name, func(t *testing.T) {
			var longest downtime
			for phase := time.Duration(0); phase < holdWait; phase += holdWait / 5 {
				if d := playDowntime(t, phase, func(p *downtimePlay) { play(p, hostGone) }); d.total > longest.total {
					longest = d
				}
			}
			t.Logf("down for %v, of which %v until its end was committed and %v until the next start was", longest.total, longest.released, longest.planned)
			NewWithT(t).Expect(longest.total).To(BeNumerically("<=", limit))
		})
	}
}

// loseBeforeChange loses minion a some time before the leader changes.
func loseBeforeChange(d time.Duration) func(p *downtimePlay, hostGone bool) {
	return func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		time.Sleep(d)
		p.changeLeader()
	}
}

// loseAfterChange loses minion a some time after the next leader's term has begun.
func loseAfterChange(d time.Duration) func(p *downtimePlay, hostGone bool) {
	return func(p *downtimePlay, hostGone bool) {
		p.changeLeader()
		time.Sleep(d)
		p.lose(p.a, hostGone)
	}
}

// restartAndLose has minion a start again under its id, and loses the next incarnation
// some time after its announcement.
func (p *downtimePlay) restartAndLose(d time.Duration, hostGone bool) {
	p.lose(p.a, hostGone)
	time.Sleep(500 * time.Millisecond)
	next := p.cluster.add("a")
	p.announce(next)
	time.Sleep(d)
	p.lose(next, hostGone)
}

// loseWhenStarted loses a minion when the task has started on it.
func (p *downtimePlay) loseWhenStarted(m *fakeMinion, hostGone bool) {
	for range 1000 {
		if p.runningOn(m) > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.lose(m, hostGone)
}

// loseRestarted has the task run on minion a which started again under its id some time
// before it is lost, since no other minion has room at first.
func loseRestarted(d time.Duration, withLeader bool) func(p *downtimePlay, hostGone bool) {
	return func(p *downtimePlay, hostGone bool) {
		p.lose(p.b, false)
		time.Sleep(2 * longestAccepted)
		next := p.cluster.add("a")
		p.announce(next)
		time.Sleep(d)
		p.announce(p.cluster.add("c"))
		p.lose(next, hostGone)
		if withLeader {
			p.changeLeader()
		}
	}
}

func (p *downtimePlay) failProposals(d time.Duration) {
	p.node.setFailing(true)
	time.Sleep(d)
	p.node.setFailing(false)
}

func (c *fakeCluster) setLostReplies(percent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostReplyPercent = percent
}
