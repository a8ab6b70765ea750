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

const (
	codeKeyRevoked = "1002"
	codeNoSession  = "2004"
)

// load sends repeatable requests through the entries until stopped.
type load struct {
	stop              chan struct{}
	wg                sync.WaitGroup
	ok, refused, lost atomic.Int64
	firstLost         atomic.Value
}

// startLoad keeps one request in flight per entry process. A refusal counts as
// refused only when it says "not run"; everything else but success is lost.
func (c *cluster) startLoad(entries ...*proc) *load {
	l := &load{stop: make(chan struct{})}
	for _, p := range entries {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				// As the platform's balancer does, send nothing to a
				// process that is not ready.
				if p.ready() != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				l.count(c.send(p, "", "load"))
			}
		})
	}
	return l
}

func (l *load) count(a answer, err error) {
	switch {
	case err == nil && a.status == http.StatusOK:
		l.ok.Add(1)
	case err == nil && a.notRun:
		l.refused.Add(1)
		time.Sleep(10 * time.Millisecond)
	default:
		l.lost.Add(1)
		if err != nil {
			l.firstLost.CompareAndSwap(nil, err.Error())
		} else {
			l.firstLost.CompareAndSwap(nil, a.body)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}

var _ = Describe("configuration on running processes", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		c = newCluster(3, 3)
		c.testObjects()
		c.publish()
		c.startTargets()
		for _, p := range c.entries {
			c.served(p)
		}
	})

	zone := func(name string, state apiv1.ZoneState) {
		for _, z := range c.objects.AvailabilityZone {
			if z.Name == name {
				z.State = state
			}
		}
		c.publish()
	}
	minion := func(zone string) *fakes.Minion {
		for i, z := range zones {
			if z == zone {
				return c.minions[i]
			}
		}
		return nil
	}

	// Guards against a start in an availability zone after the publish that
	// took it out has returned, and against a zone that stays unused after it
	// came back.
	It("starts nothing in an availability zone that is out, and uses it again when it is back", func() {
		l := c.startLoad(c.entries...)
		defer l.end()
		zone("zone-a", apiv1.ZoneState_ZONE_STATE_OUT)
		before, _ := minion("zone-a").RequestCounts()
		ok := l.ok.Load()
		Eventually(l.ok.Load).Should(BeNumerically(">", ok+200))
		after, _ := minion("zone-a").RequestCounts()
		Expect(after).To(Equal(before))
		zone("zone-a", apiv1.ZoneState_ZONE_STATE_IN)
		Eventually(func() int { n, _ := minion("zone-a").RequestCounts(); return n }).Should(BeNumerically(">", after))
		Expect(l.lost.Load()).To(BeZero(), "first: %v", l.firstLost.Load())
	})

	// Guards against a revoked key that a paused process still accepts when it
	// resumes with the configuration of before the pause.
	It("refuses a revoked key on every entry, also on one that was paused meanwhile", func() {
		paused := c.entries[2]
		paused.signal(syscall.SIGSTOP)
		c.objects.Key[0].Revoked = true
		c.publish()
		for _, p := range c.entries[:2] {
			a, err := c.send(p, "", "after revocation")
			Expect(err).NotTo(HaveOccurred())
			Expect(a.result).To(Equal(codeKeyRevoked), "%+v", a)
			Expect(a.notRun).To(BeTrue())
		}
		late := make(chan answer, 1)
		go func() {
			a, _ := c.send(paused, "", "sent during the pause")
			late <- a
		}()
		time.Sleep(200 * time.Millisecond) // the request waits in the paused process's socket
		paused.signal(syscall.SIGCONT)
		var a answer
		Eventually(late).Should(Receive(&a))
		Expect(a.result).To(BeElementOf(codeKeyRevoked, codeNoSession), "%+v", a)
		Expect(a.notRun).To(BeTrue())
		c.objects.Key[0].Revoked = false
		c.publish()
		c.served(paused)
	})

	// Guards against a process that cannot be looked into, and against secrets
	// in dumps, logs and metrics.
	It("dumps its state on request and shows no secret", func() {
		for _, p := range c.processes() {
			Expect(get(p, "/metrics")).To(ContainSubstring("bergamot_"))
			dump := get(p, "/debug/state")
			Expect(json.Valid([]byte(dump))).To(BeTrue())
			p.signal(syscall.SIGUSR1)
			Eventually(p.log).Should(ContainSubstring(`"msg":"state dump"`))
			for _, text := range []string{dump, get(p, "/metrics"), p.log()} {
				Expect(text).NotTo(ContainSubstring(secretOf(c.callerCredential)))
				Expect(text).NotTo(ContainSubstring(secretOf(c.operatorCredential)))
				Expect(text).NotTo(ContainSubstring(clusterSecret))
				Expect(text).NotTo(ContainSubstring(c.objects.Key[0].Hash))
			}
			for line := range strings.Lines(p.log()) {
				Expect(json.Valid([]byte(line))).To(BeTrue(), line)
			}
		}
	})

	// Guards against requests that are cut by a planned stop.
	It("cuts no request when an entry process is stopped gracefully", func() {
		for _, m := range c.minions {
			m.SetServiceTime(300 * time.Millisecond)
		}
		stopping := c.entries[0]
		l := c.startLoad(c.entries...)
		Eventually(l.ok.Load).Should(BeNumerically(">", 6))
		stopping.signal(syscall.SIGTERM)
		var exit error
		Eventually(stopping.exited).Should(Receive(&exit))
		Expect(exit).NotTo(HaveOccurred())
		l.end()
		Expect(l.lost.Load()).To(BeZero(), "first: %v", l.firstLost.Load())
		for _, m := range c.minions {
			m.SetServiceTime(0)
		}
		stopping.start()
		c.served(stopping)
	})
})

var _ = Describe("control replicas", Ordered, func() {
	var c *cluster

	BeforeAll(func() {
		c = newCluster(3, 2)
		c.testObjects()
		c.publish()
		c.startTargets()
	})

	publishes := func(n int) uint64 {
		var version uint64
		for range n {
			version = c.publish()
		}
		return version
	}

	// Guards against a configuration that goes back when a leader was cut off
	// without noticing and answers again later.
	It("keeps every accepted configuration through a paused leader", func() {
		old := c.leader()
		old.signal(syscall.SIGSTOP)
		version := publishes(3)
		old.signal(syscall.SIGCONT)
		Eventually(func(g Gomega) {
			report, err := c.status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(report.ConfigVersion).To(Equal(version))
		}).Should(Succeed())
		for _, p := range c.entries {
			c.served(p)
		}
	})

	// Guards against a repair that counts as done before the new replica holds
	// the data: a second replica is lost right after it.
	It("loses nothing when a second replica is lost right after the repair of a first", func() {
		version := publishes(5)
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

	// Guards against state that is lost or reverts when every process restarts
	// after hundreds of changes, with snapshots and log truncation in between.
	It("restarts with the last configuration after several hundred changes", func() {
		version := publishes(300)
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
			c.served(p)
		}
	})
})
