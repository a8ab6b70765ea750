package crowd

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// diskMiB is the disk of the control replica's machine. The users' machines have one of
	// 128 MB with 280 MB of memory.
	diskMiB = coreMemoryMiB * 128 / 280
	// keyedConfiguration adds a queue for the callers of a client account.
	keyedConfiguration = `{"version":2,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"service":"s","maxAttempts":3,"stretch":1.6,"public":true},` +
		`{"name":"k","host":"h.example","pathPrefix":"/k/","timeoutMs":3000,"targetLatencyMs":600,"service":"s","maxAttempts":3,"stretch":1.6}],` +
		`"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-of-a"],"weight":1},{"name":"b","apiKeys":["key-of-b"],"weight":1}]}`
	smallJob = `{"specification":"x","steps":[{"count":1,"cpu":100,"estimatedMs":500}]}`
)

// jobCrowd is a number of clients, each of which submits one whole job after the other
// without a key.
type jobCrowd struct {
	name                string
	clients, jobsOfEach int
	job                 string
}

func jobWithSteps(n int) string {
	step := `{"count":1,"cpu":100}`
	return `{"specification":"x","steps":[` + strings.Repeat(step+",", n-1) + step + `]}`
}

func jobWithSpecification(bytes int) string {
	return `{"specification":"` + strings.Repeat("x", bytes) + `","steps":[{"count":1,"cpu":100,"estimatedMs":500}]}`
}

// The crowds. Each sends several times the memory of the control replica, as it is
// accepted, or many times the work that one job is.
var jobCrowds = []jobCrowd{
	{"long specifications", 3, 300, jobWithSpecification(262_000)},
	{"specifications of 4000 bytes", 100, 150, jobWithSpecification(4000)},
	{"small jobs", 100, 1000, smallJob},
	{"180 steps", 100, 50, jobWithSteps(180)},
	{"8000 steps", 5, 20, jobWithSteps(8000)},
	{"8000 steps of many clients", 60, 5, jobWithSteps(8000)},
	{"100000 tasks", 20, 20, `{"specification":"x","steps":[{"count":100000,"cpu":100}]}`},
}

// submitAll submits the crowd's jobs and returns when all clients have been answered or
// given up. It returns the largest size of the data folder meanwhile.
func (c jobCrowd) submitAll(d *deployment) (folderBytes int64) {
	done := make(chan struct{})
	var sampler, wg sync.WaitGroup
	sampler.Go(func() {
		for {
			folderBytes = max(folderBytes, folderSize(d.dataFolder))
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	var next atomic.Int64
	for range c.clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for range c.jobsOfEach {
				_, _ = d.submit(client, fmt.Sprintf("/q/%016x", 1<<32+next.Add(1)), "", c.job)
			}
		})
	}
	wg.Wait()
	close(done)
	sampler.Wait()
	return folderBytes
}

// submit submits a job and returns the status.
func (d *deployment) submit(client *http.Client, path, key, job string) (int, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.callerAddress+path, strings.NewReader(job))
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func folderSize(path string) int64 {
	size := int64(0)
	_ = filepath.WalkDir(path, func(_ string, e fs.DirEntry, err error) error {
		if err != nil {
			return nil // removed meanwhile
		}
		if info, err := e.Info(); err == nil && !e.IsDir() {
			size += info.Size()
		}
		return nil
	})
	return size
}

// expectKeyedCalls expects that the jobs of two client accounts are accepted, also when
// they are sent again, and that one can be cancelled; and that a minion's heartbeat and the
// operator's configuration are taken.
func (d *deployment) expectKeyedCalls(id int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for _, account := range []string{"a", "b"} {
		path := fmt.Sprintf("/k/%015x%s", id, account)
		for range 2 {
			d.Eventually(func() (int, error) { return d.submit(client, path, "key-of-"+account, smallJob) }).
				WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
		}
	}
	d.Eventually(func() int {
		req, err := http.NewRequest(http.MethodDelete, "http://"+d.callerAddress+fmt.Sprintf("/k/%015xa", id), nil)
		d.Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header.Set("Authorization", "Bearer key-of-a")
		resp, err := client.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}).WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	d.Eventually(func() int { return d.call("PUT", d.coreListener, "/configuration", keyedConfiguration) }).
		WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	d.Eventually(func() int {
		return d.call("PUT", d.coreListener, "/instances/i-1", `{"service":"s","address":"127.0.0.1:1","zone":"za","version":"v1","slots":8,"state":"draining","coldRemainingMs":0,"capacity":{"cpu":10,"requestedMemoryMb":10},"labels":["a","r1"],"clockMs":1,"sequence":1,"born":1}`)
	}).WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
}

// Guards against a control replica that holds whatever callers have it accept until it has
// no memory left, or whose rounds take so long that no call is answered and a stop waits
// for minutes.
func TestCrowdOfJobs(t *testing.T) {
	for i, crowd := range jobCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			d := newDeployment(t, maxDescriptors)
			d.Eventually(func() int { return d.call("PUT", d.coreListener, "/configuration", keyedConfiguration) }).
				WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
			folder := crowd.submitAll(d)
			expectBounds := func() {
				d.expectWithinBounds(t, d.core, coreMemoryMiB, maxDescriptors*7/8)
				d.expectWithinBounds(t, d.front, frontMemoryMiB, maxDescriptors*7/8)
				folder = max(folder, folderSize(d.dataFolder))
				t.Logf("data folder %d MiB", folder>>20)
				d.Expect(folder>>20).To(BeNumerically("<=", diskMiB), "data folder, in MiB")
			}
			expectBounds()
			d.expectKeyedCalls(2 * i)
			// A public caller finds room or is told to come back.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
			d.Eventually(func() (int, error) { return d.submit(client, "/q/00000000000000ee", "", smallJob) }).
				WithTimeout(answerTimeout).Should(Or(Equal(http.StatusOK), Equal(http.StatusTooManyRequests)))
			expectBounds()

			d.expectStop(d.core)
			d.core = d.start(t, "core", d.coreSettings, maxDescriptors)
			d.expectKeyedCalls(2*i + 1)
			expectBounds()
		})
	}
}

// expectStop expects that a process ends after SIGTERM.
func (d *deployment) expectStop(p *process) {
	d.Expect(p.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	d.Eventually(p.exited).WithTimeout(answerTimeout).Should(BeClosed())
}

// Guards against a control replica that doesn't end on SIGTERM, since it still works on
// large jobs, on machines of the users' size.
func TestStopAfterLargeJobs(t *testing.T) {
	const coreMiB, frontMiB = 284, 184
	d := newDeploymentOf(t, maxDescriptors, coreMiB, frontMiB)
	d.Eventually(func() int { return d.call("PUT", d.coreListener, "/configuration", keyedConfiguration) }).
		WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	jobCrowd{clients: 60, jobsOfEach: 4, job: jobWithSteps(8000)}.submitAll(d)
	d.expectKeyedCalls(0)
	d.expectWithinBounds(t, d.core, coreMiB, maxDescriptors*7/8)
	d.expectWithinBounds(t, d.front, frontMiB, maxDescriptors*7/8)
	d.expectStop(d.core)
	d.expectStop(d.front)
}

// Guards against replicas that run out of memory when another one catches up after a crowd:
// the leader reads a snapshot and sends it, the other replica holds it beside what it
// decodes.
func TestReplicaCatchesUpAfterACrowdOfJobs(t *testing.T) {
	d := newDeployment(t, maxDescriptors)
	d.expectStop(d.core)
	d.core = d.start(t, "core", d.replicaSettings(0, d.dataFolder, coreMemoryMiB)+"tolerated_losses = 1\n", maxDescriptors)
	replicas := []*process{d.core}
	for n := 2; n <= 3; n++ {
		settings := d.replicaSettings(n, filepath.Join(t.TempDir(), "data"), coreMemoryMiB) + "tolerated_losses = 1\n"
		replicas = append(replicas, d.start(t, "core", settings, maxDescriptors))
	}
	d.Eventually(func() int { return d.call("PUT", d.coreListener, "/configuration", keyedConfiguration) }).
		WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	jobCrowd{clients: 100, jobsOfEach: 150, job: jobWithSpecification(4000)}.submitAll(d)
	var folders []string
	for n := 4; n <= 5; n++ { // two join at the same time, with empty disks
		folders = append(folders, filepath.Join(t.TempDir(), "data"))
		settings := d.replicaSettings(n, folders[n-4], coreMemoryMiB) + "tolerated_losses = 2\n"
		replicas = append(replicas, d.start(t, "core", settings, maxDescriptors))
	}
	for _, folder := range folders {
		d.Eventually(func() ([]string, error) { return filepath.Glob(filepath.Join(folder, "*.snapshot")) }).
			WithTimeout(answerTimeout).ShouldNot(BeEmpty(), "a snapshot from the leader")
	}
	d.expectKeyedCalls(0)
	for _, p := range replicas {
		d.expectWithinBounds(t, p, coreMemoryMiB, maxDescriptors*7/8)
	}
}
