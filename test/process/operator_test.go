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
	// The spare pool's budget in examples/care-homes.
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
		s       *site
		objects string
	)

	BeforeAll(func() {
		s = newSite()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		s.startFleet(ctx)
	})

	// Guards in each step against a process that crashes while another one
	// takes its work over.
	AfterEach(func() {
		for _, p := range s.processes() {
			Expect(p.cmd == nil || len(p.exited) == 0).To(BeTrue(), "%s ended by itself", p.name)
		}
	})

	status := func(g Gomega) *apiv1.StatusReport {
		report := &apiv1.StatusReport{}
		g.Expect(protojson.Unmarshal([]byte(s.ctl(0, "status", "-o", "json")), report)).To(Succeed())
		return report
	}

	// Guards against example objects that the programs refuse, and against a
	// first publish that needs more than the README's commands.
	It("checks and publishes the example and sees the fleet", func() {
		objects = s.copyObjects("care-homes")
		s.ctl(0, "check", objects)
		s.ctl(0, "publish", objects, "--expected-version", "0", "--comment", "first publish")
		Eventually(func(g Gomega) {
			report := status(g)
			g.Expect(report.ConfigVersion).To(BeEquivalentTo(1))
			g.Expect(poolStatus(report, sparePool).GetVmsUp()).To(BeEquivalentTo(spareVMs))
			g.Expect(poolStatus(report, urgentPool).GetVmsUp()).To(BeEquivalentTo(len(careHomeZones)))
		}).Should(Succeed())
		s.ctl(0, "status")
		s.ctl(0, "control", "members")
	})

	// Guards against a broken reference that is published, and against an error
	// that does not lead the operator to the line.
	It("refuses a broken reference and names file, section, key and fix", func() {
		work := filepath.Join(s.dir, "work")
		s.ctl(0, "get", work)
		file := filepath.Join(work, "queue.ini")
		correct, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		broken := strings.Replace(string(correct), "service = dawn-warnings", "service = dawn-warning", 1)
		Expect(broken).NotTo(Equal(string(correct)))
		Expect(os.WriteFile(file, []byte(broken), 0o600)).To(Succeed())
		for _, verb := range []string{"check", "publish"} {
			out := s.ctl(exitInvalid, verb, work)
			Expect(out).To(And(ContainSubstring("queue.ini"), ContainSubstring("[queue \"dawn-urgent\"]"),
				ContainSubstring(" service: "), MatchRegexp(`fix: .+`)), verb)
		}
		Expect(status(Default).ConfigVersion).To(BeEquivalentTo(1))
		Expect(os.WriteFile(file, correct, 0o600)).To(Succeed())
		s.ctl(0, "check", work)
		s.ctl(exitConflict, "publish", work, "--expected-version", "0")
	})

	// Guards against a new key that does not work, and against a withdrawn one
	// that still does, once the command has ended.
	It("issues a key that works on every entry and withdraws it", func() {
		file := filepath.Join(s.dir, "lakeside-2.key")
		s.ctl(0, "key", "issue", "lakeside-2", "--account", "lakeside", "--secret-file", file)
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		credential := strings.TrimSpace(string(data))
		for _, p := range s.entries {
			Eventually(s.alert).WithArguments(p, credential).Should(Equal(codeOK))
		}
		s.ctl(0, "key", "withdraw", "lakeside-2", "--comment", "lost tablet")
		for _, p := range s.entries {
			Expect(s.alert(p, credential)).To(Equal(codeKeyRevoked), p.name)
		}
		s.ctl(0, "history")
	})

	// Guards against a start in a zone that is out, and against a zone that
	// stays unused when it is back.
	It("takes an availability zone out and brings it back", func() {
		file := filepath.Join(s.dir, "hilltop-2.key")
		s.ctl(0, "key", "issue", "hilltop-2", "--account", "hilltop", "--secret-file", file)
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		credential := strings.TrimSpace(string(data))
		out := s.minions[1] // in careHomeZones[1]
		s.ctl(0, "zone", "out", careHomeZones[1], "--comment", "cooling fault")
		s.ctl(0, "status")
		before, _ := out.RequestCounts()
		for range 60 {
			Eventually(s.alert).WithArguments(s.entries[0], credential).Should(Equal(codeOK))
		}
		after, _ := out.RequestCounts()
		Expect(after).To(Equal(before))
		s.ctl(0, "zone", "in", careHomeZones[1])
		Eventually(func() int {
			_, _ = s.alert(s.entries[0], credential) // a refusal is tried again
			n, _ := out.RequestCounts()
			return n
		}).Should(BeNumerically(">", after))
	})

	// Guards against a wave that takes more VMs out than the availability budget
	// allows, that leaves a VM out, or that never ends.
	It("runs a maintenance wave within the availability budget", func() {
		s.ctl(0, "maintenance", "plan", maintenanceName, "--pool", sparePool)
		s.ctl(0, "maintenance", "start", maintenanceName)
		Eventually(func(g Gomega) {
			g.Expect(waveStatus(status(g), maintenanceName).GetOperating()).NotTo(BeZero())
		}).Should(Succeed())
		s.ctl(0, "status")
		Eventually(func(g Gomega) {
			wave := waveStatus(status(g), maintenanceName)
			g.Expect(wave.GetDone()).To(BeEquivalentTo(spareVMs), "%v", wave)
		}).Should(Succeed())
		s.ctl(0, "status")
		s.ctl(0, "explain", "vm", path.Join(sparePool, careHomeZones[0], "rack-1", "1"))
		s.expectWithinBudget()
	})

	// Guards against a replacement that the page describes and that does not
	// work: same address, empty data folder, bootstrap = false.
	It("replaces a lost control replica", func() {
		lost := s.controls[0]
		oldID := s.replicaID(lost)
		version := status(Default).ConfigVersion
		lost.kill()
		Expect(os.RemoveAll(filepath.Join(s.dir, lost.name))).To(Succeed())
		s.rewrite(lost, "bootstrap = true", "bootstrap = false")
		lost.start()
		Eventually(func(g Gomega) {
			report := status(g)
			g.Expect(report.ConfigVersion).To(Equal(version))
			g.Expect(report.ControlReplicas).To(HaveLen(len(s.controls)))
			for _, r := range report.ControlReplicas {
				g.Expect(r.ReplicaId).NotTo(Equal(oldID))
				g.Expect(r.Learner).To(BeFalse())
			}
		}).Should(Succeed())
		s.ctl(0, "control", "members")
		Eventually(lost.ready).Should(Succeed())
	})

	// Guards against the page's steps for a new address losing the group, and
	// against a command that ends before the new replica votes.
	It("replaces a lost control replica by one at another address", func() {
		lost := s.controls[1]
		oldID := s.replicaID(lost)
		version := status(Default).ConfigVersion
		lost.kill()
		added := s.startReplacement(1)
		newID := s.replicaID(added)
		for _, p := range s.controls {
			if p != added {
				s.readdress(p, lost, added)
			}
		}
		s.ctl(0, "control", "replace", fmt.Sprint(oldID), fmt.Sprint(newID), added.rpc)
		report := status(Default)
		Expect(report.ConfigVersion).To(Equal(version))
		Expect(report.ControlReplicas).To(HaveLen(len(s.controls)))
		for _, r := range report.ControlReplicas {
			Expect(r.ReplicaId).NotTo(Equal(oldID))
			Expect(r.Learner).To(BeFalse())
		}
		s.ctl(0, "maintenance", "pause", maintenanceName)
	})

	// Guards against a planned stop that ends with an error or hangs.
	It("stops every process gracefully", func() {
		for _, p := range append(append([]*proc{}, s.entries...), s.controls...) {
			p.signal(syscall.SIGTERM)
			var exit error
			Eventually(p.exited).Should(Receive(&exit))
			Expect(exit).NotTo(HaveOccurred(), p.name)
			p.cmd = nil
		}
	})
})

// expectWithinBudget compares the platform's record with the bounds.
func (s *site) expectWithinBudget() {
	GinkgoHelper()
	times := map[string]int{}
	for _, e := range s.platform.Executions() {
		Expect(e.Kind).To(Equal("reboot"))
		times[e.VM]++
	}
	Expect(times).To(HaveLen(spareVMs))
	for vm, n := range times {
		Expect(n).To(Equal(1), vm)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	GinkgoWriter.Printf("most VMs in operation at once: %v\n", s.maxDown)
	bounds := []int{maxDown, maxDownPerZone, maxDownPerRack}
	for place, n := range s.maxDown {
		Expect(n).To(BeNumerically("<=", bounds[strings.Count(place, "/")]), place)
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
