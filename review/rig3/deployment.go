// Command rig3 runs the cases of the third review: it starts the project's programs with
// the commands of the deploy file, on loopback addresses, beside stand-ins for minions,
// the platform, the operator and clients, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, as its settings name them.
const (
	maxHoldMS   = 10000
	contactMS   = 3000
	stopMS      = 400
	gangMS      = 3000
	visibleMS   = 3000
	cancelMS    = 3000
	stateSteady = 3 * time.Second
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one of the project's programs.
type process struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	logFile                  *os.File
}

// deployment is the project's programs on loopback addresses of their own.
type deployment struct {
	rec     *recorder
	folder  string
	prefix  string // of the loopback addresses
	ports   map[string]int
	cloud   string
	seeds   []string
	cores   []*process
	fronts  []*process
	command map[string][]string
	values  map[string]string
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newDeployment prepares cores and fronts in a temporary folder. cloud is the address of
// the platform's machine interface.
func newDeployment(rec *recorder, cloud string, cores, fronts int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		rec: rec, folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 30+os.Getpid()%200, 1+os.Getpid()/200%250),
		ports: map[string]int{}, cloud: cloud, command: map[string][]string{}, values: map[string]string{},
	}
	for _, name := range []string{"rpc", "control", "front", "ready"} {
		if d.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	if err := d.readCommands("deploy/system.toml"); err != nil {
		return nil, err
	}
	for i := range cores {
		d.cores = append(d.cores, &process{name: fmt.Sprintf("core-%d", i+1), role: "core", ip: fmt.Sprint(d.prefix, 11+i)})
		if i < 3 {
			d.seeds = append(d.seeds, d.controlAddress(i))
		}
	}
	for i := range fronts {
		d.fronts = append(d.fronts, &process{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: fmt.Sprint(d.prefix, 31+i)})
	}
	for _, p := range append(d.cores, d.fronts...) {
		if err := d.start(p, true); err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

// readCommands reads the commands of the roles from the deploy file.
func (d *deployment) readCommands(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	role := ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := regexp.MustCompile(`^\[roles\.(\w+)\]`).FindStringSubmatch(line); m != nil {
			role = m[1]
		}
		if m := regexp.MustCompile(`^run = "(.*)"`).FindStringSubmatch(line); m != nil {
			d.command[role] = strings.Fields(m[1])
		}
	}
	if len(d.command["core"]) < 3 || len(d.command["front"]) < 3 {
		return fmt.Errorf("%s names no commands", path)
	}
	return nil
}

func (d *deployment) controlAddress(i int) string {
	return fmt.Sprintf("%s%d:%d", d.prefix, 11+i, d.ports["control"])
}

func (d *deployment) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", d.fronts[i].ip, d.ports["front"])
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills a template of settings, as the platform does.
func (d *deployment) fill(p *process, firstStart bool) (string, error) {
	data, err := os.ReadFile("deploy/" + p.role + ".ini")
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"nodeName": p.name, "zone": "z1", "dataDirectory": filepath.Join(d.folder, p.name), "ipAddress": p.ip,
		"internalPorts.0": fmt.Sprint(d.ports["rpc"]), "listenAddresses.control": fmt.Sprintf("%s:%d", p.ip, d.ports["control"]),
		"listenAddresses.front": fmt.Sprintf("%s:%d", p.ip, d.ports["front"]), "listenAddresses.ready": fmt.Sprintf("%s:%d", p.ip, d.ports["ready"]),
		"seedNodes": strings.Join(d.seeds, ","), "firstStart": fmt.Sprint(firstStart), "faultTolerance.machines": "2",
		"bounds.maxHoldMs": fmt.Sprint(maxHoldMS), "bounds.contactMs": fmt.Sprint(contactMS),
		"cloud.address": d.cloud, "cloud.dutyPerS": "64", "limits.fileDescriptors": "4096", "limits.memoryMb": "280",
	}
	text := section.ReplaceAllStringFunc(string(data), func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[s[2:len(s)-2]] }), nil
}

// start starts a program with the command of its role; the last word names the settings.
func (d *deployment) start(p *process, firstStart bool) error {
	text, err := d.fill(p, firstStart)
	if err != nil {
		return err
	}
	p.settings = filepath.Join(d.folder, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if p.logFile == nil {
		if p.logFile, err = os.Create(filepath.Join(d.folder, p.name+".log")); err != nil {
			return err
		}
	}
	words := append([]string(nil), d.command[p.role]...)
	words[len(words)-1] = p.settings
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.logFile, p.logFile
	if err := p.cmd.Start(); err != nil {
		return err
	}
	d.rec.log("%s started", p.name)
	return nil
}

// kill ends a program at once.
func (d *deployment) kill(p *process) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
	d.rec.log("%s killed", p.name)
}

// stop ends all programs and removes the folder. With RIG3_KEEP set it stays.
func (d *deployment) stop() {
	for _, p := range append(d.fronts, d.cores...) {
		d.kill(p)
	}
	if os.Getenv("RIG3_KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs are in", d.folder)
	}
}

// call makes an HTTP call and returns the status and the body, zero without an answer.
func call(method, url string, header map[string]string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

var httpClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 16},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// control sends an order of the operator to one node after the other until one
// acknowledges it, and reports whether one did. 4xx ends the call.
func (d *deployment) control(method, path string, body any, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for i := 0; time.Now().Before(deadline); i++ {
		status, data := call(method, "http://"+d.controlAddress(i%len(d.cores))+path, nil, body, time.Second)
		d.rec.log("operator %s %s at %s: %d %.120s", method, path, d.cores[i%len(d.cores)].name, status, data)
		switch {
		case status/100 == 2:
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
