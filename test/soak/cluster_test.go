package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	numCores       = 5
	numFronts      = 3
	numPools       = 2
	minionsPerPool = 4
	// numSpares is the number of machines that are powered off when the run
	// starts.
	numSpares = 2
	// minionCPU is a minion's CPU in thousandths of a core, enough for about eight
	// tasks at once.
	minionCPU = 8000
	rpcPort   = 17400
	// stopGracePeriod is how long a process has between SIGTERM and SIGKILL.
	stopGracePeriod = 6 * time.Second
)

var zones = []string{"za", "zb", "zc"}

// proc is one process under test. Its settings and its data survive a restart.
type proc struct {
	name, role, settings, dir string
	binary                    string
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.role, p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // most processes are killed, so the exit status says nothing
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has ended already
	}
}

// stop sends the signal and waits for the process to end; after
// stopGracePeriod it sends SIGKILL. A paused process is resumed first, since it
// would not handle the signal.
func (p *proc) stop(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopGracePeriod):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// cluster is a whole deployment on loopback: the platform's processes, the fake
// minions and machine provider, and a proxy in front of each of them.
type cluster struct {
	checker *checker
	dir     string
	cores   []*proc
	fronts  []*proc
	minions []*minion
	// Proxies, by the role of the listener behind them.
	frontLinks, controlLinks, minionLinks []*proxy
	providerLink                          *proxy
	provider                              *machineProvider
	deadly                                *deadlyFault
	stopAll                               chan struct{}
	wg                                    sync.WaitGroup
}

// hostAddr returns the n-th loopback address of this test process. It depends on
// the process id, so that runs side by side can use the same ports.
func hostAddr(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n)
}

func newCluster(dir, binary string) (*cluster, error) {
	c := &cluster{checker: newChecker(), dir: dir, stopAll: make(chan struct{}), deadly: &deadlyFault{}}
	if err := c.startProvider(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:8345", hostAddr(i)))
	}
	for i := range numCores {
		host := hostAddr(i)
		link, err := newProxy(hostAddr(100+i)+":8345", host+":8345")
		if err != nil {
			return nil, err
		}
		c.controlLinks = append(c.controlLinks, link)
		text := fmt.Sprintf("[batch-control]\nprocess_id = core-%d\navailability_zone = %s\ndata_folder = %s\nrpc_address = %s:%d\ncontrol_address = %s:8345\nadmin_address = %s:7001\nseed_addresses = %s\nfirst_start = true\nallow_no_secret = true\nmax_lease = 3s\nlease = 2s\norder_takeover = 3300ms\nservice_time = 1s\nprovider_address = %s\nmax_memory = %dMiB\n",
			i, zones[i%len(zones)], filepath.Join(dir, fmt.Sprint("data-", i)), host, rpcPort, host, host, strings.Join(seeds, ", "), c.providerLink.address(), memoryMiB)
		p, err := c.addProc(coreRole, i, binary, text)
		if err != nil {
			return nil, err
		}
		c.cores = append(c.cores, p)
	}
	for i := range numFronts {
		host := hostAddr(20 + i)
		link, err := newProxy(hostAddr(120+i)+":8340", host+":8340")
		if err != nil {
			return nil, err
		}
		c.frontLinks = append(c.frontLinks, link)
		text := fmt.Sprintf("[batch-front]\nprocess_id = front-%d\navailability_zone = %s\ncaller_address = %s:8340\nready_address = %s:8343\nadmin_address = %s:7001\nseed_addresses = %s\ncontrol_rpc_port = %d\nallow_no_secret = true\nmax_memory = %dMiB\n",
			i, zones[i%len(zones)], host, host, host, strings.Join(seeds, ", "), rpcPort, memoryMiB)
		p, err := c.addProc("front", i, binary, text)
		if err != nil {
			return nil, err
		}
		c.fronts = append(c.fronts, p)
	}
	return c, c.startMinions()
}

func (c *cluster) addProc(role string, i int, binary, text string) (*proc, error) {
	p := &proc{name: fmt.Sprintf("%s-%d", role, i), role: role, dir: c.dir, binary: binary}
	p.settings = filepath.Join(c.dir, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// clearFirstStart changes the settings of all cores, so that a core that starts
// again joins the existing group rather than form a new one.
func (c *cluster) clearFirstStart() error {
	for _, p := range c.cores {
		data, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		data = bytes.Replace(data, []byte("first_start = true"), []byte("first_start = false"), 1)
		if err := os.WriteFile(p.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startMinions() error {
	var controls []string
	for _, l := range c.controlLinks {
		controls = append(controls, l.address())
	}
	for i := range numPools*minionsPerPool + numSpares {
		host := hostAddr(40 + i)
		l, err := net.Listen("tcp", host+":8080")
		if err != nil {
			return err
		}
		link, err := newProxy(hostAddr(140+i)+":8080", host+":8080")
		if err != nil {
			return err
		}
		pool := "spare"
		if i < numPools*minionsPerPool {
			pool = poolName(i % numPools)
		}
		m := &minion{
			checker: c.checker, id: fmt.Sprint("i-", i), zone: zones[i%len(zones)], pool: pool, rack: fmt.Sprint("r", i/3), cpu: minionCPU,
			listener: l, link: link, controls: controls, beatClient: newBeatClient(), running: map[string]*runState{}, highestRun: map[string]int{},
		}
		m.inTouch = func() bool { return c.isInTouch(m) }
		m.crashUnder = func(name string, run int) { c.crashUnder(i, name, run) }
		c.minions = append(c.minions, m)
		c.minionLinks = append(c.minionLinks, link)
		go func() { _ = http.Serve(l, m) }() // returns when close closes the listener
		if pool != "spare" {
			m.startIncarnation()
		}
		c.wg.Go(func() { m.updateLoop(c.stopAll) })
		c.wg.Go(func() { m.announceLoop(c.stopAll) })
	}
	return nil
}

// allLinks returns every link that the fault injector may disturb.
func (c *cluster) allLinks() []*proxy {
	return append(slices.Concat(c.frontLinks, c.controlLinks, c.minionLinks), c.providerLink)
}

// close ends all processes, minions, proxies and goroutines of the cluster.
func (c *cluster) close() {
	close(c.stopAll)
	c.deadly.stop()
	for _, p := range slices.Concat(c.fronts, c.cores) {
		c.wg.Go(func() { p.stop(syscall.SIGKILL) })
	}
	for _, m := range c.minions {
		m.listener.Close()
		m.crash(endTakenDown)
	}
	for _, l := range c.allLinks() {
		l.close()
	}
	c.wg.Wait()
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

// doRequest sends an HTTP request and returns the status and the body of the
// response. A "Host" entry of the header sets the request's host.
func doRequest(c *http.Client, method, url string, body []byte, header map[string]string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if h := header["Host"]; h != "" {
		req.Host = h
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
