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
	cores   = 5
	fronts  = 3
	pools   = 2
	perPool = 4
	// spares are machines that are off when the run begins.
	spares = 2
	// minionCPU and the tasks' needs leave room for about eight tasks a minion.
	minionCPU = 8000
	rpcPort   = 17400
	// stopGrace is how long a process has between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
)

var zones = []string{"za", "zb", "zc"}

// proc is one program under test. Its settings and its data survive a restart.
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
		_ = cmd.Wait() // the way it ended is what the run decides
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// stop ends the process, by force once its grace time is over.
func (p *proc) stop(s syscall.Signal) {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// site is a whole deployment on loopback.
type site struct {
	t       *truth
	dir     string
	cores   []*proc
	fronts  []*proc
	minions []*minion
	// links by what they lead to.
	frontLinks, controlLinks, minionLinks []*proxy
	cloudLink                             *proxy
	cloud                                 *cloud
	stopAll                               chan struct{}
	wg                                    sync.WaitGroup
}

// hostOf gives each listener of a run an address of its own, so that runs side
// by side do not meet.
func hostOf(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n)
}

func newSite(dir, binary string) (*site, error) {
	s := &site{t: newTruth(), dir: dir, stopAll: make(chan struct{})}
	if err := s.startCloud(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:8345", hostOf(i)))
	}
	for i := range cores {
		host := hostOf(i)
		link, err := newProxy(hostOf(100+i)+":8345", host+":8345")
		if err != nil {
			return nil, err
		}
		s.controlLinks = append(s.controlLinks, link)
		text := fmt.Sprintf("[batch-control]\nprocess_id = core-%d\navailability_zone = %s\ndata_folder = %s\nrpc_address = %s:%d\ncontrol_address = %s:8345\nadmin_address = %s:7001\nseed_addresses = %s\nfirst_start = true\nallow_no_secret = true\nmax_lease = 3s\nlease = 2s\norder_takeover = 3300ms\nservice_time = 1s\nprovider_address = %s\n",
			i, zones[i%len(zones)], filepath.Join(dir, fmt.Sprint("data-", i)), host, rpcPort, host, host, strings.Join(seeds, ", "), s.cloudLink.address())
		p, err := s.addProc("core", i, binary, text)
		if err != nil {
			return nil, err
		}
		s.cores = append(s.cores, p)
	}
	for i := range fronts {
		host := hostOf(20 + i)
		link, err := newProxy(hostOf(120+i)+":8340", host+":8340")
		if err != nil {
			return nil, err
		}
		s.frontLinks = append(s.frontLinks, link)
		text := fmt.Sprintf("[batch-front]\nprocess_id = front-%d\navailability_zone = %s\ncaller_address = %s:8340\nready_address = %s:8343\nadmin_address = %s:7001\nseed_addresses = %s\ncontrol_rpc_port = %d\nallow_no_secret = true\n",
			i, zones[i%len(zones)], host, host, host, strings.Join(seeds, ", "), rpcPort)
		p, err := s.addProc("front", i, binary, text)
		if err != nil {
			return nil, err
		}
		s.fronts = append(s.fronts, p)
	}
	return s, s.startMinions()
}

func (s *site) addProc(role string, i int, binary, text string) (*proc, error) {
	p := &proc{name: fmt.Sprintf("%s-%d", role, i), role: role, dir: s.dir, binary: binary}
	p.settings = filepath.Join(s.dir, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// forget makes later starts of a core ordinary ones.
func (s *site) forgetFirstStart() error {
	for _, p := range s.cores {
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

func (s *site) startMinions() error {
	var controls []string
	for _, l := range s.controlLinks {
		controls = append(controls, l.address())
	}
	for i := range pools*perPool + spares {
		host := hostOf(40 + i)
		l, err := net.Listen("tcp", host+":8080")
		if err != nil {
			return err
		}
		link, err := newProxy(hostOf(140+i)+":8080", host+":8080")
		if err != nil {
			return err
		}
		pool := "spare"
		if i < pools*perPool {
			pool = fmt.Sprint("pool-", i%pools)
		}
		m := &minion{
			t: s.t, id: fmt.Sprint("i-", i), zone: zones[i%len(zones)], pool: pool, rack: fmt.Sprint("r", i/3), cpu: minionCPU,
			listener: l, link: link, controls: controls, http: newHTTP(), running: map[string]*runState{}, highest: map[string]int{},
		}
		s.minions = append(s.minions, m)
		s.minionLinks = append(s.minionLinks, link)
		go func() { _ = http.Serve(l, m) }() // ends with its listener
		if pool != "spare" {
			m.begin()
		}
		s.wg.Go(func() { m.watch(s.stopAll) })
		s.wg.Go(func() { m.announce(s.stopAll) })
	}
	return nil
}

// links lists every link that faults may strike.
func (s *site) links() []*proxy {
	return append(slices.Concat(s.frontLinks, s.controlLinks, s.minionLinks), s.cloudLink)
}

// close ends everything that the run started.
func (s *site) close() {
	close(s.stopAll)
	for _, p := range slices.Concat(s.fronts, s.cores) {
		s.wg.Go(func() { p.stop(syscall.SIGKILL) })
	}
	for _, m := range s.minions {
		m.listener.Close()
		m.crash()
	}
	for _, l := range s.links() {
		l.close()
	}
	s.wg.Wait()
}

func newHTTP() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
}

// call makes one HTTP call and returns status and body.
func call(c *http.Client, method, url string, body []byte, header map[string]string) (int, []byte, error) {
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
