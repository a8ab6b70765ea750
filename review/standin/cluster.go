package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/bergamot-platform"
	// Ports are the same on all machines, which have a loopback address each.
	rpcPort     = "7000"
	adminPort   = "7001"
	frontPort   = "8340"
	readyPort   = "8343"
	controlPort = "8345"
	cloudPort   = "8344"
	minionPort  = "8080"

	numCores  = 5
	numFronts = 3
	numSeeds  = 3
	// Host numbers of the kinds of machines.
	firstCore, firstFront, firstMinion, cloudHost = 1, 11, 21, 99
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// proc is one process of the deploy file.
type proc struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// cluster is a small deployment: the project's processes and the stand-ins.
type cluster struct {
	rec *record
	// prefix is what the loopback addresses of the case begin with.
	prefix string
	dir    string
	// maxHoldMS is the longest lease that a minion accepts.
	maxHoldMS int64
	procs     []*proc
	cloud     *cloud
	client    *client
	stop      chan struct{}
	wg        sync.WaitGroup
}

// newCluster chooses addresses that no other process uses.
func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, maxHoldMS: 6000, stop: make(chan struct{})}
	for range 20 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if c.addressesFree() {
			return c, nil
		}
	}
	os.RemoveAll(dir)
	return nil, errors.New("no free loopback addresses")
}

func (c *cluster) host(n int) string { return fmt.Sprint(c.prefix, n) }

func (c *cluster) addressesFree() bool {
	for _, n := range []int{firstCore, firstFront, firstMinion, cloudHost} {
		for _, port := range []string{rpcPort, adminPort, frontPort, readyPort, controlPort, cloudPort, minionPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(c.host(n), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// start starts the stand-ins and the processes, publishes the first configuration and
// waits until a first job is done and tasks that last run on all minions.
func (c *cluster) start() error {
	c.client = newClient(c)
	cloud, err := startCloud(c)
	if err != nil {
		return err
	}
	c.cloud = cloud
	if err := c.startProcesses(); err != nil {
		return err
	}
	if err := c.client.operator("PUT", "/configuration", baseConfiguration().encode(), 30*time.Second); err != nil {
		return err
	}
	warmUp := oneTask("00000000000000aa", 1000, 200)
	if err := c.client.submit(warmUp, 30*time.Second); err != nil {
		return err
	}
	if err := c.client.await(warmUp, "completed", 30*time.Second); err != nil {
		return err
	}
	lasting := lastingJob()
	if err := c.client.submitAs(otherKey, lasting, 10*time.Second); err != nil {
		return err
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range c.cloud.minions() {
			if m.runs(lasting) {
				n++
			}
		}
		if n == numMachines {
			return nil
		}
	}
	return errors.New("the tasks that last have not all started")
}

// startProcesses starts all processes for the first time, the cores first.
func (c *cluster) startProcesses() error {
	for i := range numCores + numFronts {
		role, host, number := "core", firstCore+i, i
		if i >= numCores {
			role, host, number = "front", firstFront+i-numCores, i-numCores
		}
		p, err := c.startProcess(role, host, number, true)
		if err != nil {
			return err
		}
		c.procs = append(c.procs, p)
	}
	return nil
}

// restart starts a core process again that has ended.
func (c *cluster) restart(core int) error {
	p, err := c.startProcess("core", firstCore+core, core, false)
	if err == nil {
		c.procs[core] = p
		c.rec.add("%s starts again", p.name)
	}
	return err
}

// startProcess starts a process with the command of the deploy file and the settings
// that its template gives.
func (c *cluster) startProcess(role string, host, number int, first bool) (*proc, error) {
	var seeds []string
	for i := range numSeeds {
		seeds = append(seeds, net.JoinHostPort(c.host(firstCore+i), controlPort))
	}
	name := fmt.Sprintf("%s-%d", role, number+1)
	ip := c.host(host)
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return nil, err
	}
	text := fill(string(template), map[string]string{
		"nodeName": name, "zone": zones[number%len(zones)], "ipAddress": ip, "internalPorts.0": rpcPort,
		"dataDirectory": filepath.Join(c.dir, "data-"+name), "seedNodes": strings.Join(seeds, ","), "firstStart": fmt.Sprint(first),
		"listenAddresses.front": net.JoinHostPort(ip, frontPort), "listenAddresses.ready": net.JoinHostPort(ip, readyPort),
		"listenAddresses.control": net.JoinHostPort(ip, controlPort), "faultTolerance.machines": "2",
		"bounds.maxHoldMs": fmt.Sprint(c.maxHoldMS), "bounds.contactMs": "3000", "cloud.address": net.JoinHostPort(c.host(cloudHost), cloudPort),
		"cloud.dutyPerS": "64.0", "limits.fileDescriptors": "4096",
	})
	settings := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, role, settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the processes are killed at the end
		close(p.exited)
	}()
	return p, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9.]+)\}\}(.*?)\{\{/[a-zA-Z0-9.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// fill fills in a template as the platform does with single values.
func fill(template string, values map[string]string) string {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		return values[placeholder.FindStringSubmatch(match)[1]]
	})
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	close(c.stop)
	if c.cloud != nil {
		c.cloud.close()
	}
	c.wg.Wait() // until then a process may be started again
	for _, p := range c.procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended already
	}
	for _, p := range c.procs {
		<-p.exited
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(c.dir))
	}
	os.RemoveAll(c.dir)
}
