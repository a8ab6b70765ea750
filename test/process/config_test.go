package process_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
)

// Result codes, as in the header Bergamot-Result.
const (
	codeKeyRevoked = "1002"
	codeNoSession  = "2004"
)

// loadGenerator sends repeatable requests through entry processes until it is
// stopped. It counts successful, refused and failed requests.
type loadGenerator struct {
	stop                chan struct{}
	wg                  sync.WaitGroup
	ok, refused, failed atomic.Int64
	firstFailure        atomic.Value
}

// startLoad keeps one request in flight per entry process. A response that says
// "not run" counts as refused; every other one but 200, and an error, as failed.
func (c *cluster) startLoad(entries ...*proc) *loadGenerator {
	load := &loadGenerator{stop: make(chan struct{})}
	for _, p := range entries {
		load.wg.Go(func() {
			for {
				select {
				case <-load.stop:
					return
				default:
				}
				// Send nothing to a process that is not ready, as the load
				// balancer in front of the entry processes does.
				if p.checkReady() != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				load.record(c.send(p, "", "load"))
			}
		})
	}
	return load
}

func (l *loadGenerator) record(resp response, err error) {
	switch {
	case err == nil && resp.status == http.StatusOK:
		l.ok.Add(1)
	case err == nil && resp.notRun:
		l.refused.Add(1)
		time.Sleep(10 * time.Millisecond)
	default:
		l.failed.Add(1)
		if err != nil {
			l.firstFailure.CompareAndSwap(nil, err.Error())
		} else {
			l.firstFailure.CompareAndSwap(nil, resp.body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *loadGenerator) stopAndWait() {
	close(l.stop)
	l.wg.Wait()
}

var _ = Describe("configuration on running processes", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		c = newCluster(3, 3)
		c.createTestObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
	})

	setZoneState := func(name string, state apiv1.ZoneState) {
		for _, z := range c.objects.AvailabilityZone {
			if z.Name == name {
				z.State = state
			}
		}
		c.publish()
	}
	minionIn := func(zone string) *fakes.Minion {
		for i, z := range zones {
			if z == zone {
				return c.minions[i]
			}
		}
		return nil
	}

	// Guards against requests that start in an availability zone after the publish
	// that took it out has returned, and against a zone that stays unused after it
	// is back.
	It("starts nothing in an availability zone that is out, and uses it again when it is back", func() {
		load := c.startLoad(c.entries...)
		defer load.stopAndWait()
		setZoneState("zone-a", apiv1.ZoneState_ZONE_STATE_OUT)
		before, _ := minionIn("zone-a").RequestCounts()
		ok := load.ok.Load()
		Eventually(load.ok.Load).Should(BeNumerically(">", ok+200))
		after, _ := minionIn("zone-a").RequestCounts()
		Expect(after).To(Equal(before))
		setZoneState("zone-a", apiv1.ZoneState_ZONE_STATE_IN)
		Eventually(func() int { n, _ := minionIn("zone-a").RequestCounts(); return n }).Should(BeNumerically(">", after))
		Expect(load.failed.Load()).To(BeZero(), "first: %v", load.firstFailure.Load())
	})

	// Guards against a paused process that resumes with the configuration from
	// before the pause and still accepts a key that was revoked meanwhile.
	It("refuses a revoked key on every entry, also on one that was paused meanwhile", func() {
		paused := c.entries[2]
		paused.signal(syscall.SIGSTOP)
		c.objects.Key[0].Revoked = true
		c.publish()
		for _, p := range c.entries[:2] {
			resp, err := c.send(p, "", "after revocation")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.result).To(Equal(codeKeyRevoked), "%+v", resp)
			Expect(resp.notRun).To(BeTrue())
		}
		resumedResponse := make(chan response, 1)
		go func() {
			resp, _ := c.send(paused, "", "sent during the pause")
			resumedResponse <- resp
		}()
		time.Sleep(200 * time.Millisecond) // so that the request waits in the socket of the paused process
		paused.signal(syscall.SIGCONT)
		var resp response
		Eventually(resumedResponse).Should(Receive(&resp))
		Expect(resp.result).To(BeElementOf(codeKeyRevoked, codeNoSession), "%+v", resp)
		Expect(resp.notRun).To(BeTrue())
		c.objects.Key[0].Revoked = false
		c.publish()
		c.waitUntilServed(paused)
	})

	// Guards against a process that does not dump its state, and against secrets in
	// dumps, logs and metrics.
	It("dumps its state on request and shows no secret", func() {
		for _, p := range c.processes() {
			Expect(getAdmin(p, "/metrics")).To(ContainSubstring("bergamot_"))
			dump := getAdmin(p, "/debug/state")
			Expect(json.Valid([]byte(dump))).To(BeTrue())
			p.signal(syscall.SIGUSR1)
			Eventually(p.readLog).Should(ContainSubstring(`"msg":"state dump"`))
			for _, text := range []string{dump, getAdmin(p, "/metrics"), p.readLog()} {
				Expect(text).NotTo(ContainSubstring(secretOf(c.callerCredential)))
				Expect(text).NotTo(ContainSubstring(secretOf(c.operatorCredential)))
				Expect(text).NotTo(ContainSubstring(clusterSecret))
				Expect(text).NotTo(ContainSubstring(c.objects.Key[0].Hash))
			}
			for line := range strings.Lines(p.readLog()) {
				Expect(json.Valid([]byte(line))).To(BeTrue(), line)
			}
		}
	})

	// Guards against requests that fail because an entry process is shut down.
	It("cuts no request when an entry process is stopped gracefully", func() {
		for _, m := range c.minions {
			m.SetServiceTime(300 * time.Millisecond)
		}
		stopping := c.entries[0]
		load := c.startLoad(c.entries...)
		Eventually(load.ok.Load).Should(BeNumerically(">", 6))
		stopping.signal(syscall.SIGTERM)
		var exit error
		Eventually(stopping.exited).Should(Receive(&exit))
		Expect(exit).NotTo(HaveOccurred())
		load.stopAndWait()
		Expect(load.failed.Load()).To(BeZero(), "first: %v", load.firstFailure.Load())
		for _, m := range c.minions {
			m.SetServiceTime(0)
		}
		stopping.start()
		c.waitUntilServed(stopping)
	})
})

var _ = Describe("control replicas", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		c = newCluster(3, 2)
		c.createTestObjects()
		c.publish()
		c.startTargets()
	})

	// publishTimes publishes n times and returns the last version.
	publishTimes := func(n int) uint64 {
		var version uint64
		for range n {
			version = c.publish()
		}
		return version
	}

	// Guards against a configuration that reverts when a paused leader resumes and
	// answers before it has noticed that another replica leads.
	It("keeps every accepted configuration through a paused leader", func() {
		old := c.leader()
		old.signal(syscall.SIGSTOP)
		version := publishTimes(3)
		old.signal(syscall.SIGCONT)
		Eventually(func(g Gomega) {
			report, err := c.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.ConfigVersion).To(Equal(version))
		}).Should(Succeed())
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
	})

	// Guards against a replacement that counts as done before the new replica has
	// the data: data is lost if a second replica fails right after it.
	It("loses nothing when a second replica is lost right after the repair of a first", func() {
		version := publishTimes(5)
		lost := c.controls[0]
		oldID := c.replicaID(lost)
		lost.kill()
		Expect(os.RemoveAll(filepath.Join(c.dir, lost.name))).To(Succeed())
		lost.start()
		Eventually(func(g Gomega) {
			report, err := c.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.ControlReplicas).To(HaveLen(3))
			for _, r := range report.ControlReplicas {
				g.Expect(r.ReplicaId).NotTo(Equal(oldID))
				g.Expect(r.Learner).To(BeFalse())
			}
		}).Should(Succeed())
		c.controls[1].kill()
		Eventually(func(g Gomega) {
			report, err := c.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.ConfigVersion).To(Equal(version))
		}).Should(Succeed())
		Expect(c.publish()).To(Equal(version + 1))
		c.controls[1].start()
	})

	// Guards against state that is lost or reverts when all control processes
	// restart after several hundred changes, with snapshots and log truncation in
	// between.
	It("restarts with the last configuration after several hundred changes", func() {
		version := publishTimes(300)
		for _, p := range c.controls {
			p.kill()
		}
		for _, p := range c.controls {
			p.start()
		}
		Eventually(func(g Gomega) {
			report, err := c.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.ConfigVersion).To(Equal(version))
		}).Should(Succeed())
		Expect(c.publish()).To(Equal(version + 1))
		for _, p := range c.entries {
			c.waitUntilServed(p)
		}
	})
})
