package process_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// proc is one process under test; its settings and its data survive a restart.
type proc struct {
	name, program, settings, adminAddr, dir string
	// A control process has operatorAddr, an entry process callerAddr and
	// targetAddr; both have rpcAddr.
	rpcAddr, operatorAddr, callerAddr, targetAddr string
	cmd                                           *exec.Cmd
	exited                                        chan error
	paused                                        bool
}

func (p *proc) start() {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	p.cmd = exec.Command(p.program, p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	exited := make(chan error, 1)
	cmd := p.cmd
	go func() { exited <- cmd.Wait() }()
	p.exited = exited
}

// signal sends a signal and keeps track of whether the process is paused.
func (p *proc) signal(sig syscall.Signal) {
	switch sig {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	default:
	}
	Expect(p.cmd.Process.Signal(sig)).To(Succeed())
}

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	Eventually(p.exited).Should(Receive())
	p.cmd = nil
}

// checkReady returns an error unless the process's /ready answers 200.
func (p *proc) checkReady() error {
	resp, err := http.Get("http://" + p.adminAddr + "/ready")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready: %d", p.name, resp.StatusCode)
	}
	return nil
}

// readLog returns what the process has logged so far, over all of its restarts.
func (p *proc) readLog() string {
	data, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

// getAdmin returns the response of the process's admin listener to a GET request.
func getAdmin(p *proc, path string) string {
	resp, err := http.Get("http://" + p.adminAddr + path)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

const clusterSecret = "test-secret-of-the-cluster"

// secretOf returns the secret of a credential of the form "name.secret".
func secretOf(credential string) string {
	_, secret, _ := strings.Cut(credential, ".")
	return secret
}

// cluster is a set of control and entry processes with fake minions and workers.
type cluster struct {
	dir, secretFile, keysFile string
	operatorCredential        string
	callerCredential          string
	controls, entries         []*proc
	lastLeader                *proc // the control process that last answered the operator API
	objects                   *apiv1.ObjectSet
	minions                   []*fakes.Minion
	workers                   []*fakes.Worker
	runLog                    *fakes.RunLog // of all workers
}

// listenPort is below the kernel's range of ports for outgoing connections:
// outgoing connections have taken listeners' ports that were within it.
const listenPort = 17001

var lastHostNumber atomic.Uint32

// newAddress returns a new loopback address for a listener. It depends on the
// process id, so that test processes that run at the same time do not conflict.
func newAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, 1+pid/250%250, 1+lastHostNumber.Add(1)%250, listenPort)
}

// newCluster starts the given numbers of control and entry processes and waits
// until they are ready.
func newCluster(controls, entries int) *cluster {
	c := &cluster{dir: GinkgoT().TempDir()}
	c.secretFile = filepath.Join(c.dir, "cluster.secret")
	Expect(os.WriteFile(c.secretFile, []byte(clusterSecret), 0o600)).To(Succeed())
	key, credential := objects.NewKey("tester", "tester")
	c.operatorCredential = credential
	c.keysFile = filepath.Join(c.dir, "operator.keys")
	Expect(os.WriteFile(c.keysFile, fmt.Appendf(nil, "%s:%s:%s\n", key.Name, key.Salt, key.Hash), 0o600)).To(Succeed())
	c.prepareControls(controls)
	for i := range entries {
		c.prepareEntry(i)
	}
	DeferCleanup(c.stopAll)
	for _, p := range c.processes() {
		p.start()
	}
	for _, p := range c.processes() {
		Eventually(p.checkReady).Should(Succeed())
	}
	return c
}

func (c *cluster) processes() []*proc { return append(append([]*proc{}, c.controls...), c.entries...) }

// prepareControls writes the settings of n control processes, which together form
// one group.
func (c *cluster) prepareControls(n int) {
	for i := range n {
		c.controls = append(c.controls, &proc{
			name: fmt.Sprintf("control-%d", i+1), program: controlProgram, dir: c.dir,
			rpcAddr: newAddress(), operatorAddr: newAddress(), adminAddr: newAddress(),
		})
	}
	for i, p := range c.controls {
		p.settings = c.writeSettings(p.name, fmt.Sprintf(`[control]
process_id = %s
availability_zone = %s
data_folder = %s
rpc_address = %s
operator_address = %s
admin_address = %s
control_addresses = %s
operator_addresses = %s
bootstrap = true
cluster_secret_file = %s
operator_keys_file = %s
lease_ttl = 2s
snapshot_entries = 200
`, p.name, zones[i%len(zones)], filepath.Join(c.dir, p.name), p.rpcAddr, p.operatorAddr, p.adminAddr,
			c.joinAddresses(func(p *proc) string { return p.rpcAddr }), c.joinAddresses(func(p *proc) string { return p.operatorAddr }),
			c.secretFile, c.keysFile))
	}
}

// joinAddresses returns an address of all control processes as a settings value.
func (c *cluster) joinAddresses(field func(*proc) string) string {
	var all []string
	for _, p := range c.controls {
		all = append(all, field(p))
	}
	return strings.Join(all, ", ")
}

// prepareEntry writes the settings of entry process i.
func (c *cluster) prepareEntry(i int) {
	p := &proc{
		name: fmt.Sprintf("entry-%d", i+1), program: entryProgram, dir: c.dir,
		rpcAddr: newAddress(), callerAddr: newAddress(), targetAddr: newAddress(), adminAddr: newAddress(),
	}
	p.settings = c.writeSettings(p.name, fmt.Sprintf(`[entry]
process_id = %s
availability_zone = %s
caller_address = %s
target_address = %s
rpc_address = %s
admin_address = %s
control_addresses = %s
cluster_secret_file = %s
ready_delay = 200ms
`, p.name, zones[i%len(zones)], p.callerAddr, p.targetAddr, p.rpcAddr, p.adminAddr,
		c.joinAddresses(func(p *proc) string { return p.rpcAddr }), c.secretFile))
	c.entries = append(c.entries, p)
}

// writeSettings writes a settings file and returns its path.
func (c *cluster) writeSettings(name, text string) string {
	path := filepath.Join(c.dir, name+".ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// stopAll stops all fakes and processes. After a failed spec it prints the last
// lines of each log.
func (c *cluster) stopAll() {
	for _, m := range c.minions {
		m.Close()
	}
	for _, p := range c.processes() {
		if p.cmd != nil {
			p.cmd.Process.Kill()
		}
	}
	if CurrentSpecReport().Failed() {
		for _, p := range c.processes() {
			data, _ := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
			lines := strings.Split(string(data), "\n")
			GinkgoWriter.Printf("--- %s\n%s\n", p.name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
		}
	}
}

// operatorTimeout bounds a request to the operator API. It is longer than a
// publish may wait until the configuration is in force. Without it a request to a
// paused replica, which accepts connections but does not answer, would never end.
const operatorTimeout = 12 * time.Second

// callOperatorAPI sends a request to the control replicas, one after the other,
// until one answers it; only the leader does. It starts with the last leader and
// skips replicas that are stopped or paused.
func (c *cluster) callOperatorAPI(method, path string, req, resp proto.Message) error {
	err := fmt.Errorf("no control replica is running")
	order := append([]*proc{c.lastLeader}, c.controls...)
	for i, p := range order {
		if p == nil || p.cmd == nil || p.paused || (i > 0 && p == c.lastLeader) {
			continue
		}
		if err = c.callOperatorAPIAt(p, method, path, req, resp); err == nil {
			c.lastLeader = p
			return nil
		}
	}
	return err
}

// callOperatorAPIAt sends a request to one control replica. Any status but 200 is
// an error.
func (c *cluster) callOperatorAPIAt(p *proc, method, path string, req, resp proto.Message) error {
	var body io.Reader = http.NoBody
	if req != nil {
		data, err := protojson.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+p.operatorAddr+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.operatorCredential)
	client := &http.Client{Timeout: operatorTimeout}
	httpResp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return err
	}
	if httpResp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, path, httpResp.StatusCode, data)
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, resp)
}

func (c *cluster) status() (*apiv1.StatusReport, error) {
	report := &apiv1.StatusReport{}
	return report, c.callOperatorAPI(http.MethodGet, "/v1/status", nil, report)
}

// leader waits until there is a leader and returns its control process.
func (c *cluster) leader() *proc {
	var found *proc
	Eventually(func(g Gomega) {
		found = nil
		report, err := c.status()
		g.Expect(err).NotTo(HaveOccurred())
		for _, r := range report.ControlReplicas {
			for _, p := range c.controls {
				if r.Leader && p.rpcAddr == r.RpcAddress {
					found = p
				}
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).Should(Succeed())
	return found
}

// replicaID waits until the control process is a member of the group and returns
// its replica id.
func (c *cluster) replicaID(p *proc) uint64 {
	GinkgoHelper()
	var id uint64
	Eventually(func(g Gomega) {
		report, err := c.status()
		g.Expect(err).NotTo(HaveOccurred())
		for _, r := range report.ControlReplicas {
			if r.RpcAddress == p.rpcAddr {
				id = r.ReplicaId
			}
		}
		g.Expect(id).NotTo(BeZero())
	}).Should(Succeed())
	return id
}

// shardHost waits until the service's shard has a host and returns its entry
// process.
func (c *cluster) shardHost(service string) *proc {
	var found *proc
	Eventually(func(g Gomega) {
		report, err := c.status()
		g.Expect(err).NotTo(HaveOccurred())
		for _, s := range report.Shards {
			for _, p := range c.entries {
				if s.Service == service && s.ProcessId == p.name {
					found = p
				}
			}
		}
		g.Expect(found).NotTo(BeNil())
	}).Should(Succeed())
	return found
}
