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
	urgentPool     = "heat-alerts"
	sparePool      = "season-summaries"
	examplesFolder = "../../examples"
	// The spare pool has more VMs in a zone and in a rack than its availability
	// budget lets be down, so that only the budget limits a wave.
	racksPerZone = 2
	vmsPerRack   = 3
	// heartbeatInterval is short, so that a VM is soon seen as down and as up again.
	heartbeatInterval = 300 * time.Millisecond
	// operationTime is long enough that operations on several VMs overlap unless the
	// budget prevents it.
	operationTime = 500 * time.Millisecond
)

var careHomeZones = []string{"north-a", "north-b", "north-c"}

// exampleCluster is a cluster in the zones of examples/care-homes, with a fleet of
// fake minions and workers, a fake of the platform's VM interface, and the
// settings of an operator's bergamotctl.
type exampleCluster struct {
	*cluster
	ctlProgram, clientSettings string
	platform                   *fakes.Platform
	platformURL                string
	workers                    map[string]*fakes.Worker

	mu             sync.Mutex
	inOperation    map[string]map[string]bool // set of VMs by budget scope
	maxInOperation map[string]int             // largest size of each of these sets
}

func newExampleCluster() *exampleCluster {
	e := &exampleCluster{
		cluster: &cluster{dir: GinkgoT().TempDir()}, workers: map[string]*fakes.Worker{},
		inOperation: map[string]map[string]bool{}, maxInOperation: map[string]int{},
	}
	var err error
	e.ctlProgram, err = gexec.Build("bergamotdrum.example/bergamotdrum/cmd/bergamotctl")
	Expect(err).NotTo(HaveOccurred())
	e.secretFile = filepath.Join(e.dir, "cluster.secret")
	Expect(os.WriteFile(e.secretFile, []byte("test-secret-of-the-cluster"), 0o600)).To(Succeed())
	e.createOperatorKey()
	e.startPlatform()
	e.prepareControls(len(careHomeZones))
	for i := range careHomeZones {
		e.prepareEntry(i)
	}
	for _, p := range e.processes() {
		e.adaptSettings(p)
	}
	e.clientSettings = e.writeSettings("client", fmt.Sprintf(
		"[client]\noperator_addresses = %s\noperator_name = ada\noperator_key_file = %s\ntimeout = 10s\n",
		e.joinAddresses(func(p *proc) string { return p.operatorAddr }), filepath.Join(e.dir, "ada.key")))
	DeferCleanup(e.stopAll)
	for _, p := range e.processes() {
		p.start()
	}
	for _, p := range e.processes() {
		Eventually(p.checkReady).Should(Succeed())
	}
	return e
}

// createOperatorKey issues an operator key with bergamotctl, as "Set up once" of
// docs/operators/publishing.md describes.
func (e *exampleCluster) createOperatorKey() {
	line := e.runCtl(0, "operator-key", "ada", "--secret-file", filepath.Join(e.dir, "ada.key"))
	e.keysFile = filepath.Join(e.dir, "operator.keys")
	Expect(os.WriteFile(e.keysFile, []byte(line), 0o600)).To(Succeed())
	secret, err := os.ReadFile(filepath.Join(e.dir, "ada.key"))
	Expect(err).NotTo(HaveOccurred())
	e.operatorCredential = "ada." + strings.TrimSpace(string(secret))
}

// adaptSettings changes a process's zone to one of the example and adds the
// platform's URL to the settings of a control process.
func (e *exampleCluster) adaptSettings(p *proc) {
	e.replaceInSettings(p, "availability_zone = zone-", "availability_zone = north-")
	if p.operatorAddr != "" {
		e.replaceInSettings(p, "lease_ttl", "platform_url = "+e.platformURL+"\nlease_ttl")
	}
}

// replaceInSettings replaces text in the process's settings and fails if they do
// not contain it.
func (e *exampleCluster) replaceInSettings(p *proc, before, after string) {
	data, err := os.ReadFile(p.settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(before))
	e.writeSettings(p.name, strings.ReplaceAll(string(data), before, after))
}

func (e *exampleCluster) startPlatform() {
	e.platform = fakes.NewPlatform(fakes.PlatformOptions{
		OperationDuration: operationTime,
		OnStart:           func(op vmapi.Operation) { e.setInOperation(op.VM, true) },
		OnEnd:             func(op vmapi.Operation) { e.setInOperation(op.VM, false) },
	})
	server := httptest.NewServer(e.platform)
	DeferCleanup(server.Close)
	e.platformURL = server.URL
}

// setInOperation pauses a VM's worker while the platform operates on the VM, and
// records the highest number of VMs in operation per budget scope.
func (e *exampleCluster) setInOperation(vm string, operating bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.workers[vm]
	if operating {
		w.Pause()
	} else {
		w.Resume()
	}
	for _, scope := range budgetScopes(vm) {
		if e.inOperation[scope] == nil {
			e.inOperation[scope] = map[string]bool{}
		}
		if operating {
			e.inOperation[scope][vm] = true
		} else {
			delete(e.inOperation[scope], vm)
		}
		e.maxInOperation[scope] = max(e.maxInOperation[scope], len(e.inOperation[scope]))
	}
}

// budgetScopes returns the scopes of an availability budget that contain the VM:
// its pool, the pool's part in its zone and the pool's part in its rack. A VM's
// name is pool/zone/rack/number.
func budgetScopes(vm string) []string {
	parts := strings.Split(vm, "/")
	return []string{parts[0], path.Join(parts[:2]...), path.Join(parts[:3]...)}
}

// startFleet starts one minion of the urgent service and the workers of the spare
// pool in each zone.
func (e *exampleCluster) startFleet(ctx context.Context) {
	var urls []string
	for _, p := range e.entries {
		urls = append(urls, "http://"+p.targetAddr)
	}
	for _, zone := range careHomeZones {
		m, err := fakes.StartMinion(fakes.MinionOptions{
			Announcement: &apiv1.MinionAnnouncement{
				MinionId: "minion-" + zone, Service: urgentPool, Vm: path.Join(urgentPool, zone, "rack-1", "1"), AvailabilityZone: zone,
				Rack: "rack-1", Slots: 8, Connections: 64, Pool: urgentPool,
			},
			AnnounceURLs: urls, AnnounceInterval: heartbeatInterval,
		})
		Expect(err).NotTo(HaveOccurred())
		e.minions = append(e.minions, m)
		for rack := range racksPerZone {
			for i := range vmsPerRack {
				e.startWorker(ctx, urls, zone, fmt.Sprintf("rack-%d", rack+1), fmt.Sprint(i+1))
			}
		}
	}
}

func (e *exampleCluster) startWorker(ctx context.Context, urls []string, zone, rack, number string) {
	vm := path.Join(sparePool, zone, rack, number)
	w := fakes.NewWorker(fakes.WorkerOptions{
		WorkerID: "worker-" + vm, VM: vm, Pool: sparePool, Zone: zone, Rack: rack,
		Capacity:  &apiv1.Resources{CpuMillis: 64000, MemoryMb: 256 << 10},
		EntryURLs: urls, HeartbeatInterval: heartbeatInterval,
	})
	e.mu.Lock()
	e.workers[vm] = w
	e.mu.Unlock()
	go w.Run(ctx)
}

// runCtl runs bergamotctl, expects the exit code and returns the standard output.
// It writes the command and its output to the test's log, except for JSON output.
func (e *exampleCluster) runCtl(exit int, args ...string) string {
	GinkgoHelper()
	cmd := exec.Command(e.ctlProgram, args...)
	cmd.Env = append(os.Environ(), "BERGAMOT_SETTINGS="+e.clientSettings)
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

// copyObjects copies an example's objects into a new folder and returns it.
func (e *exampleCluster) copyObjects(example string) string {
	folder := filepath.Join(e.dir, "objects")
	Expect(os.CopyFS(folder, os.DirFS(filepath.Join(examplesFolder, example)))).To(Succeed())
	return folder
}

// sendAlert sends a repeatable request to the urgent service with the credential
// and returns the result code.
func (e *exampleCluster) sendAlert(p *proc, credential string) (result string, err error) {
	r, err := http.NewRequest(http.MethodPut, "http://"+p.callerAddr+"/v1/services/"+urgentPool+"/alert", strings.NewReader("ward 3"))
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

// startReplacement starts a control process with an empty data folder and new
// addresses. It replaces the one at the index, also in the settings of
// bergamotctl.
func (e *exampleCluster) startReplacement(index int) *proc {
	lost := e.controls[index]
	added := &proc{
		name: fmt.Sprintf("control-%d", len(e.controls)+1), program: lost.program, dir: e.dir,
		rpcAddr: newAddress(), operatorAddr: newAddress(), adminAddr: newAddress(),
	}
	data, err := os.ReadFile(lost.settings)
	Expect(err).NotTo(HaveOccurred())
	added.settings = e.writeSettings(added.name, strings.NewReplacer(lost.name, added.name, lost.rpcAddr, added.rpcAddr,
		lost.operatorAddr, added.operatorAddr, lost.adminAddr, added.adminAddr, "bootstrap = true", "bootstrap = false").Replace(string(data)))
	e.controls[index] = added
	e.lastLeader = nil
	client, err := os.ReadFile(e.clientSettings)
	Expect(err).NotTo(HaveOccurred())
	e.writeSettings("client", strings.ReplaceAll(string(client), lost.operatorAddr, added.operatorAddr))
	added.start()
	return added
}

// updateAddresses replaces the addresses of the lost control replica by those of
// the added one in the settings of p, and restarts p.
func (e *exampleCluster) updateAddresses(p, lost, added *proc) {
	e.replaceInSettings(p, lost.rpcAddr, added.rpcAddr)
	e.replaceInSettings(p, lost.operatorAddr, added.operatorAddr)
	p.signal(syscall.SIGTERM)
	Eventually(p.exited).Should(Receive(BeNil()))
	p.start()
	Eventually(p.checkReady).Should(Succeed())
}
