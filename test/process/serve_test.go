package process_test

import (
	"syscall"

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
	It("runs a request that may not be repeated once, whatever is resent where", func() {
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
		Expect(first.status).To(Equal(200), "%+v", first)
		c.entries[0].signal(syscall.SIGKILL)
		for _, p := range c.entries[1:] {
			Eventually(func(g Gomega) {
				again, err := c.send(p, id, "transfer notice")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(again.status).To(Equal(200), "%+v", again)
				g.Expect(again.body).To(Equal(first.body))
			}).Should(Succeed())
		}
		total := 0
		for _, m := range c.minions {
			total += m.Runs(id)
		}
		Expect(total).To(Equal(1))
	})
})
