package process_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cluster of three control replicas and three entry processes", func() {
	// Guards against a role that works alone but not with the others, and
	// against the loss of the control leader or of a shard's host ending the
	// service.
	It("serves a request and a job through every entry, also after the leader and the shard host are killed", func() {
		c := newCluster(3, 3)
		c.testObjects()
		c.publish()
		runs := c.startTargets()
		for _, p := range c.entries {
			c.served(p)
			c.jobDone(p, c.submit(p, true))
		}

		c.leader().kill()
		for _, p := range c.entries {
			c.served(p)
			c.jobDone(p, c.submit(p, false))
		}

		host := c.shardHost(service)
		host.kill()
		for _, p := range c.entries {
			if p == host {
				continue
			}
			c.served(p)
			c.jobDone(p, c.submit(p, true))
		}
		_, _, overlap := runs.Overlapping()
		Expect(overlap).To(BeFalse(), "a job ran twice at once")
	})

	// Guards against a second run of a request that may not be repeated when
	// its caller resends it through another entry, also after the entry that
	// ran it was killed.
	It("answers a resend from the first run, also after its entry is killed", func() {
		c := newCluster(3, 3)
		c.testObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.served(p)
		}
		id := newID()
		first, err := c.send(c.entries[0], id, "transfer notice")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.status).To(Equal(http.StatusOK), "%+v", first)
		for _, p := range c.entries[1:] {
			c.resendGets(p, id, first)
		}
		c.entries[0].kill()
		for _, p := range c.entries[1:] {
			c.resendGets(p, id, first)
		}
		Expect(c.runs(id)).To(Equal(1))
	})

	// Guards against a second run when the entry is killed while the request
	// is at the minion: the answer is lost, so resends learn that the outcome
	// is unknown.
	It("never runs a request again whose entry was killed during the run", func() {
		c := newCluster(3, 3)
		c.testObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.served(p)
		}
		for _, m := range c.minions {
			m.SetServiceTime(2 * time.Second)
		}
		id := newID()
		go c.send(c.entries[0], id, "transfer notice")
		Eventually(func() int { return c.runs(id) }).Should(Equal(1))
		c.entries[0].kill()
		for _, p := range c.entries[1:] {
			Eventually(func(g Gomega) {
				a, err := c.send(p, id, "transfer notice")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(a.result).To(Equal("3000"), "%+v", a)
				g.Expect(a.notRun).To(BeFalse())
			}).Should(Succeed())
		}
		Expect(c.runs(id)).To(Equal(1))
	})

	// Guards against a service that stands still for its longest timeout, here
	// 5 min and more than this test waits, when its shard's host is lost: the
	// standby knows what the lost host had granted.
	It("goes on with the standby's grants when the host of a shard with long timeouts is killed", func() {
		c := newCluster(3, 3)
		c.testObjects().Service[0].MaxDeadlineMs = 300_000
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.served(p)
		}
		leader := c.leader()
		Eventually(func() string { return get(leader, "/debug/state") }).Should(ContainSubstring(`"standby_session_id"`))
		host := c.shardHost(service)
		host.kill()
		for _, p := range c.entries {
			if p != host {
				c.served(p)
			}
		}
	})

	// Guards against the loss of a whole availability zone ending the service in
	// the others, and against processes that do not come back.
	It("serves through the loss and return of an availability zone", func() {
		c := newCluster(3, 3)
		c.testObjects()
		c.publish()
		runs := c.startTargets()
		for _, p := range c.entries {
			c.served(p)
		}
		c.leader() // known before the loss, so that calls do not wait for it
		lost := []*proc{c.controls[0], c.entries[0]}
		c.minions[0].Crash()
		for _, p := range lost {
			p.kill()
		}
		for _, p := range c.entries[1:] {
			c.served(p)
			c.jobDone(p, c.submit(p, true))
			c.jobDone(p, c.submit(p, false))
		}
		for _, p := range lost {
			p.start()
		}
		c.served(c.entries[0])
		c.jobDone(c.entries[0], c.submit(c.entries[0], true))
		_, _, overlap := runs.Overlapping()
		Expect(overlap).To(BeFalse(), "a job ran twice at once")
	})
})
