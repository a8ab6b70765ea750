package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crowdPrefix is the path of a queue that is open to callers without a key.
	crowdPrefix = "/crowd/"
	// memoryMiB is the memory of the machine of each process.
	memoryMiB = 160
	// crowdClients is the number of clients of a wave of the crowd.
	crowdClients = 24
)

// crowd is clients that nobody controls. They come in waves of one kind, and a wave may
// overlap with faults, restarts and signals.
type crowd struct {
	cluster *cluster
	rand    *rand.Rand
	client  *http.Client
	jobs    int
}

func (c *crowd) run(stop <-chan struct{}) {
	waves := []func(stop <-chan struct{}){c.bodiesThatStopShort, c.drips, c.silentConnections, c.largeJobs, c.largeJobs}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+c.rand.IntN(800)) * time.Millisecond):
		}
		waves[c.rand.IntN(len(waves))](stop)
	}
}

func (c *crowd) front() string {
	return c.cluster.frontLinks[c.rand.IntN(len(c.cluster.frontLinks))].address()
}

// connections opens the connections of a wave, uses each, and closes them after some time.
func (c *crowd) connections(stop <-chan struct{}, use func(net.Conn)) {
	address, stay := c.front(), time.Duration(500+c.rand.IntN(2000))*time.Millisecond
	var wg sync.WaitGroup
	for range crowdClients {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return // the front is down
			}
			defer conn.Close()
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			use(conn)
			select {
			case <-stop:
			case <-time.After(stay):
			}
		})
	}
	wg.Wait()
}

func (c *crowd) bodiesThatStopShort(stop <-chan struct{}) {
	const size = 200_000
	c.connections(stop, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", crowdPrefix, 1, host, size, bytes.Repeat([]byte{' '}, size-1))
	})
}

func (c *crowd) drips(stop <-chan struct{}) {
	c.connections(stop, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", crowdPrefix, 1, host)
		for range 20 {
			if _, err := conn.Write([]byte("1\r\n \r\n")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

func (c *crowd) silentConnections(stop <-chan struct{}) { c.connections(stop, func(net.Conn) {}) }

// largeJobs submits jobs of many steps, or of a long specification, and cancels them. No
// minion has the label that they require, so the checker knows no run of theirs.
func (c *crowd) largeJobs(<-chan struct{}) {
	const step = `{"count":1,"cpu":100,"requirements":"no-minion"}`
	steps, specification := 1, 4000
	if c.rand.IntN(2) == 0 {
		steps, specification = 1000*(1+c.rand.IntN(5)), 1
	}
	job := []byte(`{"specification":"` + strings.Repeat("x", specification) + `","steps":[` + strings.Repeat(step+",", steps-1) + step + `]}`)
	front, first := c.front(), c.jobs
	c.jobs += crowdClients
	var wg sync.WaitGroup
	for i := range crowdClients {
		wg.Go(func() {
			url := fmt.Sprintf("http://%s%s%016x", front, crowdPrefix, 1<<60+first+i)
			header := map[string]string{"Host": host, "Bergamotdrum-Deadline-Ms": "2000"}
			// Any answer is allowed, and none.
			_, _, _ = doRequest(c.client, "POST", url, job, header)
			_, _, _ = doRequest(c.client, "DELETE", url, nil, header)
		})
	}
	wg.Wait()
}

// checkMemory reports the processes that have taken more memory than their machine has.
func (c *cluster) checkMemory() {
	for _, p := range append(append([]*proc{}, c.cores...), c.fronts...) {
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue // it has ended, and the checks of jobs say so
		}
		_, line, found := bytes.Cut(status, []byte("VmHWM:"))
		if fields := bytes.Fields(line); found && len(fields) > 0 {
			if peak, err := strconv.Atoi(string(fields[0])); err != nil || peak>>10 > memoryMiB {
				c.checker.addViolation("%s has taken %s KiB of %d MiB", p.name, fields[0], memoryMiB)
			}
		}
	}
}
