package dispatch

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// downtimeCases are ways in which the minion of a long-running task is lost while another
// one has room.
var downtimeCases = []struct {
	name  string
	limit time.Duration
	play  func(p *downtimePlay, hostGone bool)
}{
	{"minion is lost in a steady term", steadyDowntime, func(p *downtimePlay, hostGone bool) { p.lose(p.a, hostGone) }},
	{"lost 3 s before a change of the leader", 3*time.Second + changeDowntime, loseBeforeChange(3 * time.Second)},
	{"lost 1 s before a change of the leader", time.Second + changeDowntime, loseBeforeChange(time.Second)},
	{"lost with the leader", changeDowntime, loseBeforeChange(0)},
	{"lost during an election", changeDowntime - electionTime/2, func(p *downtimePlay, hostGone bool) {
		p.cancel()
		time.Sleep(electionTime / 2)
		p.lose(p.a, hostGone)
		time.Sleep(electionTime / 2)
		p.startTerm()
	}},
	{"lost 5 ms after a change of the leader", changeDowntime - electionTime, loseAfterChange(5 * time.Millisecond)},
	{"lost 300 ms after a change of the leader", changeDowntime - electionTime, loseAfterChange(300 * time.Millisecond)},
	{"lost 2 s after a change of the leader", steadyDowntime, loseAfterChange(2 * time.Second)},
	{"lost before two changes of the leader", 4*time.Second + changeDowntime, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		p.changeLeader()
		time.Sleep(4*time.Second - electionTime)
		p.changeLeader()
	}},
	{"restarted 300 ms before", lateLeaseDowntime - 300*time.Millisecond + reactionTime, loseRestarted(300*time.Millisecond, false)},
	{"restarted 5 s before", lateLeaseDowntime - 5*time.Second + reactionTime, loseRestarted(5*time.Second, false)},
	{"restarted 5 s before, lost with the leader", lateLeaseDowntime + electionTime, loseRestarted(5*time.Second, true)},
	{"restarted, next incarnation lost 300 ms later at another address", 500*time.Millisecond + reactionTime, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		time.Sleep(500 * time.Millisecond)
		next := p.cluster.addAt("a2", "a")
		p.announce(next)
		time.Sleep(300 * time.Millisecond)
		p.lose(next, hostGone)
	}},
	{"restarted, next incarnation lost with the leader", 800*time.Millisecond + changeDowntime, func(p *downtimePlay, hostGone bool) {
		p.restartAndLose(300*time.Millisecond, hostGone)
		p.changeLeader()
	}},
	{"restarted, next incarnation and 3 s later the leader lost", 3500*time.Millisecond + changeDowntime, func(p *downtimePlay, hostGone bool) {
		p.restartAndLose(0, hostGone)
		time.Sleep(3 * time.Second)
		p.changeLeader()
	}},
	{"restarted with a start in doubt, next incarnation lost", steadyDowntime, func(p *downtimePlay, hostGone bool) {
		p.submit("job1", 1)
		p.lose(p.a, hostGone)
		p.commitStarts("job1", 1, p.a)
		p.restartAndLose(0, hostGone)
	}},
	{"draining, lost 50 ms after a change of the leader", changeDowntime - electionTime, func(p *downtimePlay, hostGone bool) {
		p.drain(p.a)
		loseAfterChange(50*time.Millisecond)(p, hostGone)
	}},
	{"draining, lost with the leader", changeDowntime, func(p *downtimePlay, hostGone bool) {
		p.drain(p.a)
		loseBeforeChange(0)(p, hostGone)
	}},
	{"lost after the stop of its relocation, the answer is lost", steadyDowntime, func(p *downtimePlay, hostGone bool) {
		p.cluster.setLostReplies(100)
		p.drain(p.a)
		time.Sleep(300 * time.Millisecond)
		p.lose(p.a, hostGone)
		p.cluster.setLostReplies(0)
	}},
	{"another minion has its address", reactionTime, func(p *downtimePlay, _ bool) { p.announce(p.cluster.addAt("a", "x")) }},
	{"another minion has its address and is lost", steadyDowntime, func(p *downtimePlay, hostGone bool) {
		x := p.cluster.addAt("a", "x")
		p.announce(x)
		p.lose(x, hostGone)
	}},
	{"next minion refuses the start for 1 s", steadyDowntime + time.Second + unhealthyBackoff, func(p *downtimePlay, hostGone bool) {
		p.client.refusing.Store("b")
		p.lose(p.a, hostGone)
		time.Sleep(longestLease(downtimeLease) + time.Second)
		p.client.refusing.Store("")
	}},
	{"next minion is lost when it starts the task", 2 * steadyDowntime, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		p.loseWhenStarted(p.b, hostGone)
		p.announce(p.cluster.add("c"))
	}},
	{"next minion is lost before it answers the start", 2 * steadyDowntime, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		time.Sleep(longestLease(downtimeLease) - holdWait)
		p.announce(p.cluster.add("c"))
		time.Sleep(holdWait)
		p.cluster.setLostReplies(100)
		p.loseWhenStarted(p.b, hostGone)
		p.cluster.setLostReplies(0)
	}},
	{"proposals fail for 3 s when the lease ends", steadyDowntime + 3*time.Second, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		time.Sleep(longestLease(downtimeLease) - holdWait)
		p.failProposals(3*time.Second + holdWait)
	}},
	{"a change of the configuration each 150 ms", steadyDowntime, func(p *downtimePlay, hostGone bool) {
		p.lose(p.a, hostGone)
		for version := uint64(2); version < 60; version++ {
			p.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
				Version: version, Pools: []*apiv1.BatchPool{{Name: "p"}}, Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
			}}})
			time.Sleep(150 * time.Millisecond)
		}
	}},
}

// Guards against long-running tasks that stay down for longer than the leases of their
// lost minion last, although another minion has room.
func TestDowntimeOfLongRunningTask(t *testing.T) {
	for _, c := range downtimeCases {
		t.Run(c.name, func(t *testing.T) { expectDowntime(t, c.limit, c.play) })
	}
}

// Guards against a task that stays down for the longest lease that minions accept, since
// its minion started again under its id and the next incarnation, which might carry out a
// start order for the lost one, doesn't answer. The order was answered, and the lost
// incarnation listed the run.
func TestSilentNextIncarnationDoesNotKeepTaskDown(t *testing.T) {
	expectDowntime(t, steadyDowntime, func(p *downtimePlay, hostGone bool) { p.restartAndLose(0, hostGone) })
}

// Guards against a minion whose lease is renewed although it doesn't answer, since its
// session waits for the commit of an end meanwhile.
func TestSlowCommitOfEndsDoesNotRenewTheLeaseOfASilentMinion(t *testing.T) {
	expectDowntime(t, steadyDowntime+holdWait, func(p *downtimePlay, hostGone bool) {
		p.loseDuringCommitOfEnd(hostGone)
		time.Sleep(2500 * time.Millisecond)
		p.node.setFailing(false)
	})
}

// Guards against the same by a start that waited for a slot until then.
func TestSlowCommitOfEndsStartsNothingOnASilentMinion(t *testing.T) {
	playDowntime(t, 0, func(p *downtimePlay) {
		p.loseDuringCommitOfEnd(true)
		time.Sleep(2500 * time.Millisecond)
		s := p.dispatcher.session(batch.Incarnation{ID: "a", StartedMS: p.a.startedMS})
		g := NewWithT(p.t)
		s.mu.Lock()
		orders, before := maps.Clone(s.orders), s.lease.endsBy
		s.mu.Unlock()
		for key, o := range orders {
			_, ok := s.prepareStart(key, o)
			g.Expect(ok).To(BeFalse())
		}
		s.mu.Lock()
		g.Expect(s.lease.endsBy).To(Equal(before))
		s.mu.Unlock()
		g.Expect(orders).NotTo(BeEmpty())
		p.node.setFailing(false)
	})
}

// loseDuringCommitOfEnd loses minion a, which has listed the end of another run. No
// proposal is committed from then on.
func (p *downtimePlay) loseDuringCommitOfEnd(hostGone bool) {
	p.submit("job1", 1)
	p.commitStarts("job1", 1, p.a)
	time.Sleep(time.Second)
	key := batch.RunKey{TaskRef: batch.TaskRef{Job: "job1"}, Number: 1}
	p.cluster.mu.Lock()
	p.a.finish(key, apiv1.RunEnd_RUN_END_DONE)
	p.cluster.mu.Unlock()
	p.node.setFailing(true)
	time.Sleep(50 * time.Millisecond)
	p.lose(p.a, hostGone)
}

// Guards against a task that is never released, since each call that can't be sent to its
// lost minion for want of connections counts as a renewal of the lease.
func TestUnsentCallsDoNotRenewTheLeaseOfALostMinion(t *testing.T) {
	expectDowntime(t, steadyDowntime+holdWait, func(p *downtimePlay, hostGone bool) {
		p.client.unsent.Store("a")
		time.Sleep(holdWait + 100*time.Millisecond)
		p.lose(p.a, hostGone)
	})
}

// Load: many starts are committed on a minion when it is lost. Guards against starts that
// renew the lease of a minion until its silence is noticed.
func TestStartsDoNotRenewTheLeaseOfALostMinion(t *testing.T) {
	expectDowntime(t, steadyDowntime, func(p *downtimePlay, hostGone bool) {
		for _, m := range []*fakeMinion{p.a, p.b} {
			p.setCapacity(m, 100*taskCPUMillis)
			p.announce(m)
		}
		time.Sleep(holdWait)
		p.submit("job1", 40)
		p.lose(p.a, hostGone)
		p.commitStarts("job1", 40, p.a)
	})
}

// Guards against work that ends because no call to its minion could be sent for 2.5 s of
// its lease of 4 s.
func TestUnsentCallsDoNotEndRunsBeforeTheLeaseEnds(t *testing.T) {
	for phase := time.Duration(0); phase < holdWait; phase += holdWait / 5 {
		d := playDowntime(t, phase, func(p *downtimePlay) {
			p.client.unsent.Store("a")
			time.Sleep(2500 * time.Millisecond)
			p.client.unsent.Store("")
		})
		NewWithT(t).Expect(d.total).To(BeZero())
	}
}

// Guards against a task that stays down for the longest lease that minions accept after a
// change of the leader, although its minion started again under its id so long ago that
// a lease from a call for its earlier incarnation ends before those of the last leader.
func TestEarlierRestartDoesNotKeepTaskDownAfterChangeOfLeader(t *testing.T) {
	since := longestLease(longestAccepted) - longestLease(downtimeLease) + 2*holdWait
	expectDowntime(t, changeDowntime, loseRestarted(since, true))
}

// Guards against a second run of a task on a silent minion that holds the longest lease
// from a call for its earlier incarnation, at any time of a change of the leader after
// its restart.
func TestLateLeaseOutlastsAnyChangeOfLeader(t *testing.T) {
	for since := time.Duration(0); since < longestAccepted; since += 250 * time.Millisecond {
		playDowntime(t, 0, func(p *downtimePlay) {
			p.lose(p.b, false)
			next := p.restartMinion("a")
			p.announce(next)
			time.Sleep(time.Second)
			NewWithT(p.t).Expect(p.runningOn(next)).To(Equal(1))
			p.announce(p.cluster.add("c"))
			time.Sleep(since)
			// The fake cluster fails the test if the task starts on another minion meanwhile.
			p.setUnreachable(next, true)
			p.changeLeader()
		})
	}
}
