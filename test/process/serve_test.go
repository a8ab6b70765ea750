package process_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cluster of three control replicas and three entry processes", func() {
	// Guards against a role that works alone but not with the others, and against a
	// service that stops when the control leader or the shard's host is lost.
	It("serves a request and a job through every entry, also after the leader and the shard host are killed", func() {
		c := newCluster(3, 3)
		c.createTestObjects()
		c.publish()
		runLog := c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
			c.runJob(p, true)
		}

		c.leader().kill()
		for _, p := range c.entries {
			c.waitUntilServed(p)
			c.runJob(p, false)
		}

		host := c.shardHost(service)
		host.kill()
		for _, p := range c.entries {
			if p == host {
				continue
			}
			c.waitUntilServed(p)
			c.runJob(p, true)
		}
		_, _, overlap := runLog.Overlapping()
		Expect(overlap).To(BeFalse(), "a job ran twice at once")
	})

	// Guards against a second run of an at-most-once request when its caller sends
	// it again through another entry, also after the entry that ran it was killed.
	It("answers a resend from the first run, also after its entry is killed", func() {
		c := newCluster(3, 3)
		c.createTestObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
		id := newID()
		first, err := c.send(c.entries[0], id, "transfer notice")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.status).To(Equal(http.StatusOK), "%+v", first)
		for _, p := range c.entries[1:] {
			c.expectStoredResponse(p, id, first)
		}
		c.entries[0].kill()
		for _, p := range c.entries[1:] {
			c.expectStoredResponse(p, id, first)
		}
		Expect(c.countRuns(id)).To(Equal(1))
	})

	// Guards against a second run of an at-most-once request when the entry is killed
	// while the request runs on the minion. The response is lost, so duplicates of
	// the request are answered with OUTCOME_UNKNOWN (3000).
	It("never runs a request again whose entry was killed during the run", func() {
		c := newCluster(3, 3)
		c.createTestObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
		for _, m := range c.minions {
			m.SetServiceTime(2 * time.Second)
		}
		id := newID()
		go c.send(c.entries[0], id, "transfer notice")
		Eventually(func() int { return c.countRuns(id) }).Should(Equal(1))
		c.entries[0].kill()
		for _, p := range c.entries[1:] {
			Eventually(func(g Gomega) {
				resp, err := c.send(p, id, "transfer notice")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.result).To(Equal("3000"), "%+v", resp)
				g.Expect(resp.notRun).To(BeFalse())
			}).Should(Succeed())
		}
		Expect(c.countRuns(id)).To(Equal(1))
	})

	// Guards against a service that grants nothing for its longest timeout when its
	// shard's host is lost, although the standby knows the lost host's grants. The
	// timeout is 5 min here, more than this test waits.
	It("goes on with the standby's grants when the host of a shard with long timeouts is killed", func() {
		c := newCluster(3, 3)
		c.createTestObjects().Service[0].MaxDeadlineMs = 300_000
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
		leader := c.leader()
		Eventually(func() string { return getAdmin(leader, "/debug/state") }).Should(ContainSubstring(`"standby_session_id"`))
		host := c.shardHost(service)
		host.kill()
		for _, p := range c.entries {
			if p != host {
				c.waitUntilServed(p)
			}
		}
	})

	// Guards against a service that stops in all zones when one availability zone is
	// lost, and against processes that do not rejoin after the zone is back.
	It("serves through the loss and return of an availability zone", func() {
		c := newCluster(3, 3)
		c.createTestObjects()
		c.publish()
		runLog := c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
		c.leader() // lets calls after the loss start with the leader
		lost := []*proc{c.controls[0], c.entries[0]}
		c.minions[0].Crash()
		for _, p := range lost {
			p.kill()
		}
		for _, p := range c.entries[1:] {
			c.waitUntilServed(p)
			c.runJob(p, true)
			c.runJob(p, false)
		}
		for _, p := range lost {
			p.start()
		}
		c.waitUntilServed(c.entries[0])
		c.runJob(c.entries[0], true)
		_, _, overlap := runLog.Overlapping()
		Expect(overlap).To(BeFalse(), "a job ran twice at once")
	})
})
