package process_test

import (
	"context"
	"fmt"
	"os"
	"path"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	maintenanceName = "kernel-dec"
	// The availability budget of the spare pool in examples/care-homes.
	maxDown        = 3
	maxDownPerZone = 3
	maxDownPerRack = 2
	spareVMs       = 3 * racksPerZone * vmsPerRack
	codeOK         = "1"
	exitInvalid    = 40
	exitConflict   = 41
)

var _ = Describe("an operator with bergamotctl and the example objects", Ordered, func() {
	var (
		c       *exampleCluster
		objects string
	)

	BeforeAll(func() {
		c = newExampleCluster()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		c.startFleet(ctx)
	})

	// Guards in each step against a process that crashes unnoticed because another
	// one takes over its work.
	AfterEach(func() {
		for _, p := range c.processes() {
			Expect(p.cmd == nil || len(p.exited) == 0).To(BeTrue(), "%s ended without being stopped", p.name)
		}
	})

	status := func(g Gomega) *apiv1.StatusReport {
		report := &apiv1.StatusReport{}
		g.Expect(protojson.Unmarshal([]byte(c.runCtl(0, "status", "-o", "json")), report)).To(Succeed())
		return report
	}

	// Guards against example objects that the programs refuse, and against a first
	// publish that needs more commands than the README lists.
	It("checks and publishes the example and sees the fleet", func() {
		objects = c.copyObjects("care-homes")
		c.runCtl(0, "check", objects)
		c.runCtl(0, "publish", objects, "--expected-version", "0", "--comment", "first publish")
		Eventually(func(g Gomega) {
			report := status(g)
			g.Expect(report.ConfigVersion).To(BeEquivalentTo(1))
			g.Expect(poolStatus(report, sparePool).GetVmsUp()).To(BeEquivalentTo(spareVMs))
			g.Expect(poolStatus(report, urgentPool).GetVmsUp()).To(BeEquivalentTo(len(careHomeZones)))
		}).Should(Succeed())
		c.runCtl(0, "status")
		c.runCtl(0, "control", "members")
	})

	// Guards against a configuration with a broken reference that is published, and
	// against an error that does not name the file, section and key.
	It("refuses a broken reference and names file, section, key and fix", func() {
		work := filepath.Join(c.dir, "work")
		c.runCtl(0, "get", work)
		file := filepath.Join(work, "queue.ini")
		correct, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		broken := strings.Replace(string(correct), "service = dawn-warnings", "service = dawn-warning", 1)
		Expect(broken).NotTo(Equal(string(correct)))
		Expect(os.WriteFile(file, []byte(broken), 0o600)).To(Succeed())
		for _, verb := range []string{"check", "publish"} {
			out := c.runCtl(exitInvalid, verb, work)
			Expect(out).To(And(ContainSubstring("queue.ini"), ContainSubstring("[queue \"dawn-urgent\"]"),
				ContainSubstring(" service: "), MatchRegexp(`fix: .+`)), verb)
		}
		Expect(status(Default).ConfigVersion).To(BeEquivalentTo(1))
		Expect(os.WriteFile(file, correct, 0o600)).To(Succeed())
		c.runCtl(0, "check", work)
		c.runCtl(exitConflict, "publish", work, "--expected-version", "0")
	})

	// Guards against a new key that does not work, and against a withdrawn key that
	// still works after the command has returned.
	It("issues a key that works on every entry and withdraws it", func() {
		file := filepath.Join(c.dir, "lakeside-2.key")
		c.runCtl(0, "key", "issue", "lakeside-2", "--account", "lakeside", "--secret-file", file)
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		credential := strings.TrimSpace(string(data))
		for _, p := range c.entries {
			Eventually(c.sendAlert).WithArguments(p, credential).Should(Equal(codeOK))
		}
		c.runCtl(0, "key", "withdraw", "lakeside-2", "--comment", "lost tablet")
		for _, p := range c.entries {
			Expect(c.sendAlert(p, credential)).To(Equal(codeKeyRevoked), p.name)
		}
		c.runCtl(0, "history")
	})

	// Guards against requests that start in a zone that is out, and against a zone
	// that stays unused after it is back.
	It("takes an availability zone out and brings it back", func() {
		file := filepath.Join(c.dir, "hilltop-2.key")
		c.runCtl(0, "key", "issue", "hilltop-2", "--account", "hilltop", "--secret-file", file)
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		credential := strings.TrimSpace(string(data))
		out := c.minions[1] // in careHomeZones[1]
		c.runCtl(0, "zone", "out", careHomeZones[1], "--comment", "cooling fault")
		c.runCtl(0, "status")
		before, _ := out.RequestCounts()
		for range 60 {
			Eventually(c.sendAlert).WithArguments(c.entries[0], credential).Should(Equal(codeOK))
		}
		after, _ := out.RequestCounts()
		Expect(after).To(Equal(before))
		c.runCtl(0, "zone", "in", careHomeZones[1])
		Eventually(func() int {
			_, _ = c.sendAlert(c.entries[0], credential) // Eventually tries again after a refusal
			n, _ := out.RequestCounts()
			return n
		}).Should(BeNumerically(">", after))
	})

	// Guards against a wave that takes down more VMs than the availability budget
	// allows, that skips a VM, or that does not end.
	It("runs a maintenance wave within the availability budget", func() {
		c.runCtl(0, "maintenance", "plan", maintenanceName, "--pool", sparePool)
		c.runCtl(0, "maintenance", "start", maintenanceName)
		Eventually(func(g Gomega) {
			g.Expect(waveStatus(status(g), maintenanceName).GetOperating()).NotTo(BeZero())
		}).Should(Succeed())
		c.runCtl(0, "status")
		Eventually(func(g Gomega) {
			wave := waveStatus(status(g), maintenanceName)
			g.Expect(wave.GetDone()).To(BeEquivalentTo(spareVMs), "%v", wave)
		}).Should(Succeed())
		c.runCtl(0, "status")
		c.runCtl(0, "explain", "vm", path.Join(sparePool, careHomeZones[0], "rack-1", "1"))
		c.expectWithinBudget()
	})

	// Guards against a documented replacement that does not work: same address,
	// empty data folder, bootstrap = false.
	It("replaces a lost control replica", func() {
		lost := c.controls[0]
		oldID := c.replicaID(lost)
		version := status(Default).ConfigVersion
		lost.kill()
		Expect(os.RemoveAll(filepath.Join(c.dir, lost.name))).To(Succeed())
		c.replaceInSettings(lost, "bootstrap = true", "bootstrap = false")
		lost.start()
		Eventually(func(g Gomega) {
			report := status(g)
			g.Expect(report.ConfigVersion).To(Equal(version))
			g.Expect(report.ControlReplicas).To(HaveLen(len(c.controls)))
			for _, r := range report.ControlReplicas {
				g.Expect(r.ReplicaId).NotTo(Equal(oldID))
				g.Expect(r.Learner).To(BeFalse())
			}
		}).Should(Succeed())
		c.runCtl(0, "control", "members")
		Eventually(lost.checkReady).Should(Succeed())
	})

	// Guards against the loss of the group by the documented steps for a replacement
	// at a new address, and against a command that ends before the new replica votes.
	It("replaces a lost control replica by one at another address", func() {
		lost := c.controls[1]
		oldID := c.replicaID(lost)
		version := status(Default).ConfigVersion
		lost.kill()
		added := c.startReplacement(1)
		newID := c.replicaID(added)
		for _, p := range c.controls {
			if p != added {
				c.updateAddresses(p, lost, added)
			}
		}
		c.runCtl(0, "control", "replace", fmt.Sprint(oldID), fmt.Sprint(newID), added.rpcAddr)
		report := status(Default)
		Expect(report.ConfigVersion).To(Equal(version))
		Expect(report.ControlReplicas).To(HaveLen(len(c.controls)))
		for _, r := range report.ControlReplicas {
			Expect(r.ReplicaId).NotTo(Equal(oldID))
			Expect(r.Learner).To(BeFalse())
		}
		c.runCtl(0, "maintenance", "pause", maintenanceName)
	})

	// Guards against a graceful stop that hangs or ends with an error.
	It("stops every process gracefully", func() {
		for _, p := range append(append([]*proc{}, c.entries...), c.controls...) {
			p.signal(syscall.SIGTERM)
			var exit error
			Eventually(p.exited).Should(Receive(&exit))
			Expect(exit).NotTo(HaveOccurred(), p.name)
			p.cmd = nil
		}
	})
})

// expectWithinBudget expects that the platform rebooted each VM of the spare pool
// once, and never more of them at once than the availability budget allows.
func (e *exampleCluster) expectWithinBudget() {
	GinkgoHelper()
	rebootsByVM := map[string]int{}
	for _, execution := range e.platform.Executions() {
		Expect(execution.Kind).To(Equal("reboot"))
		rebootsByVM[execution.VM]++
	}
	Expect(rebootsByVM).To(HaveLen(spareVMs))
	for vm, n := range rebootsByVM {
		Expect(n).To(Equal(1), vm)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	GinkgoWriter.Printf("most VMs in operation at once: %v\n", e.maxInOperation)
	bounds := []int{maxDown, maxDownPerZone, maxDownPerRack}
	for scope, n := range e.maxInOperation {
		Expect(n).To(BeNumerically("<=", bounds[strings.Count(scope, "/")]), scope)
	}
}

func poolStatus(report *apiv1.StatusReport, name string) *apiv1.PoolStatus {
	for _, p := range report.Pools {
		if p.Pool == name {
			return p
		}
	}
	return nil
}

func waveStatus(report *apiv1.StatusReport, name string) *apiv1.WaveStatus {
	for _, w := range report.Waves {
		if w.Maintenance == name {
			return w
		}
	}
	return nil
}
