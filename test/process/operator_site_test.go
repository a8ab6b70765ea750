package process_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

const (
	urgentPool  = "heat-alerts"
	sparePool   = "season-summaries"
	exampleRoot = "../../examples"
	// The spare pool has more VMs in a zone and in a rack than its budget lets
	// be down, so that only the budget holds a wave back.
	racksPerZone = 2
	vmsPerRack   = 3
	// beatInterval is short, so that a VM is seen down and up again soon.
	beatInterval = 300 * time.Millisecond
	// operationTime is long enough that operations on several VMs overlap when
	// nothing holds them back.
	operationTime = 500 * time.Millisecond
)

var careHomeZones = []string{"north-a", "north-b", "north-c"}

// site is a cluster in the zones of examples/care-homes with a fleet, a
// platform and an operator's settings.
type site struct {
	*cluster
	ctlProgram, clientSettings string
	platform                   *fakes.Platform
	platformURL                string
	workers                    map[string]*fakes.Worker

	mu      sync.Mutex
	down    map[string]map[string]bool // VMs in operation by place
	maxDown map[string]int
}

func newSite() *site {
	s := &site{
		cluster: &cluster{dir: GinkgoT().TempDir()}, workers: map[string]*fakes.Worker{},
		down: map[string]map[string]bool{}, maxDown: map[string]int{},
	}
	var err error
	s.ctlProgram, err = gexec.Build("bergamotdrum.example/bergamotdrum/cmd/bergamotctl")
	Expect(err).NotTo(HaveOccurred())
	s.secretFile = filepath.Join(s.dir, "cluster.secret")
	Expect(os.WriteFile(s.secretFile, []byte("test-secret-of-the-cluster"), 0o600)).To(Succeed())
	s.createOperatorKey()
	s.startPlatform()
	s.prepareControls(len(careHomeZones))
	for i := range careHomeZones {
		s.prepareEntry(i)
	}
	for _, p := range s.processes() {
		s.adapt(p)
	}
	s.clientSettings = s.write("client", fmt.Sprintf(
		"[client]\noperator_addresses = %s\noperator_name = ada\noperator_key_file = %s\ntimeout = 10s\n",
		s.join(func(p *proc) string { return p.operator }), filepath.Join(s.dir, "ada.key")))
	DeferCleanup(s.stopAll)
	for _, p := range s.processes() {
		p.start()
	}
	for _, p := range s.processes() {
		Eventually(p.ready).Should(Succeed())
	}
	return s
}

// createOperatorKey follows "Set up once" of docs/operators/publishing.md.
func (s *site) createOperatorKey() {
	line := s.ctl(0, "operator-key", "ada", "--secret-file", filepath.Join(s.dir, "ada.key"))
	s.keysFile = filepath.Join(s.dir, "operator.keys")
	Expect(os.WriteFile(s.keysFile, []byte(line), 0o600)).To(Succeed())
	secret, err := os.ReadFile(filepath.Join(s.dir, "ada.key"))
	Expect(err).NotTo(HaveOccurred())
	s.operatorCredential = "ada." + strings.TrimSpace(string(secret))
}

// adapt moves a process into the example's zones and connects control replicas
// to the platform.
func (s *site) adapt(p *proc) {
	s.rewrite(p, "availability_zone = zone-", "availability_zone = north-")
	if p.operator != "" {
		s.rewrite(p, "lease_ttl", "platform_url = "+s.platformURL+"\nlease_ttl")
	}
}

// rewrite replaces text that must be in the process's settings.
func (s *site) rewrite(p *proc, before, after string) {
	data, err := os.ReadFile(p.settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(before))
	s.write(p.name, strings.ReplaceAll(string(data), before, after))
}

func (s *site) startPlatform() {
	s.platform = fakes.NewPlatform(fakes.PlatformOptions{
		OperationDuration: operationTime,
		OnStart:           func(op vmapi.Operation) { s.inOperation(op.VM, true) },
		OnEnd:             func(op vmapi.Operation) { s.inOperation(op.VM, false) },
	})
	server := httptest.NewServer(s.platform)
	DeferCleanup(server.Close)
	s.platformURL = server.URL
}

// inOperation stops a VM's worker while the platform works on the VM and keeps
// the highest number of VMs in operation by pool, zone and rack.
func (s *site) inOperation(vm string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[vm]
	if down {
		w.Pause()
	} else {
		w.Resume()
	}
	for _, place := range places(vm) {
		if s.down[place] == nil {
			s.down[place] = map[string]bool{}
		}
		if down {
			s.down[place][vm] = true
		} else {
			delete(s.down[place], vm)
		}
		s.maxDown[place] = max(s.maxDown[place], len(s.down[place]))
	}
}

// places are the pool, and its parts in the zone and in the rack of the VM. A
// VM's name is pool/zone/rack/number.
func places(vm string) []string {
	parts := strings.Split(vm, "/")
	return []string{parts[0], path.Join(parts[:2]...), path.Join(parts[:3]...)}
}

// startFleet starts in each zone one minion of the urgent service and the spare
// pool's workers.
func (s *site) startFleet(ctx context.Context) {
	var urls []string
	for _, p := range s.entries {
		urls = append(urls, "http://"+p.target)
	}
	for _, zone := range careHomeZones {
		m, err := fakes.StartMinion(fakes.MinionOptions{
			Announcement: &apiv1.MinionAnnouncement{
				MinionId: "minion-" + zone, Service: urgentPool, Vm: path.Join(urgentPool, zone, "rack-1", "1"), AvailabilityZone: zone,
				Rack: "rack-1", Slots: 8, Connections: 64, Pool: urgentPool,
			},
			AnnounceURLs: urls, AnnounceInterval: beatInterval,
		})
		Expect(err).NotTo(HaveOccurred())
		s.minions = append(s.minions, m)
		for rack := range racksPerZone {
			for i := range vmsPerRack {
				s.startWorker(ctx, urls, zone, fmt.Sprintf("rack-%d", rack+1), fmt.Sprint(i+1))
			}
		}
	}
}

func (s *site) startWorker(ctx context.Context, urls []string, zone, rack, number string) {
	vm := path.Join(sparePool, zone, rack, number)
	w := fakes.NewWorker(fakes.WorkerOptions{
		WorkerID: "worker-" + vm, VM: vm, Pool: sparePool, Zone: zone, Rack: rack,
		Capacity:  &apiv1.Resources{CpuMillis: 64000, MemoryMb: 256 << 10},
		EntryURLs: urls, HeartbeatInterval: beatInterval,
	})
	s.mu.Lock()
	s.workers[vm] = w
	s.mu.Unlock()
	go w.Run(ctx)
}

// ctl runs bergamotctl, expects the exit code and returns the standard output.
// Each command and what it printed go to the test's log, JSON excepted.
func (s *site) ctl(exit int, args ...string) string {
	GinkgoHelper()
	cmd := exec.Command(s.ctlProgram, args...)
	cmd.Env = append(os.Environ(), "BERGAMOT_SETTINGS="+s.clientSettings)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	code := 0
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		code, err = failed.ExitCode(), nil
	}
	Expect(err).NotTo(HaveOccurred())
	if args[len(args)-1] != "json" {
		GinkgoWriter.Printf("$ bergamotctl %s\n%s%s(exit code %d)\n\n", strings.Join(args, " "), &stdout, &stderr, code)
	}
	Expect(code).To(Equal(exit), "bergamotctl %v: %s%s", args, &stdout, &stderr)
	return stdout.String()
}

// copyObjects copies an example's objects into a folder of the operator.
func (s *site) copyObjects(example string) string {
	folder := filepath.Join(s.dir, "objects")
	Expect(os.CopyFS(folder, os.DirFS(filepath.Join(exampleRoot, example)))).To(Succeed())
	return folder
}

// alert sends a repeatable request of the urgent service with the credential.
func (s *site) alert(p *proc, credential string) (result string, err error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+p.caller+"/v1/services/"+urgentPool+"/alert", strings.NewReader("ward 3"))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+credential)
	r.Header.Set("Bergamot-Queue", "heat-urgent")
	r.Header.Set("Bergamot-Timeout-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get("Bergamot-Result"), nil
}

// startReplacement starts a control replica with an empty data folder and new
// addresses in the place of the one at the index.
func (s *site) startReplacement(index int) *proc {
	lost := s.controls[index]
	added := &proc{
		name: fmt.Sprintf("control-%d", len(s.controls)+1), program: lost.program, dir: s.dir,
		rpc: freeAddress(), operator: freeAddress(), admin: freeAddress(),
	}
	data, err := os.ReadFile(lost.settings)
	Expect(err).NotTo(HaveOccurred())
	added.settings = s.write(added.name, strings.NewReplacer(lost.name, added.name, lost.rpc, added.rpc,
		lost.operator, added.operator, lost.admin, added.admin, "bootstrap = true", "bootstrap = false").Replace(string(data)))
	s.controls[index] = added
	s.lastLeader = nil
	client, err := os.ReadFile(s.clientSettings)
	Expect(err).NotTo(HaveOccurred())
	s.write("client", strings.ReplaceAll(string(client), lost.operator, added.operator))
	added.start()
	return added
}

// readdress gives a control replica the new addresses and restarts it.
func (s *site) readdress(p, lost, added *proc) {
	s.rewrite(p, lost.rpc, added.rpc)
	s.rewrite(p, lost.operator, added.operator)
	p.signal(syscall.SIGTERM)
	Eventually(p.exited).Should(Receive(BeNil()))
	p.start()
	Eventually(p.ready).Should(Succeed())
}
