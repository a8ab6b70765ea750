// Package crowd starts the platform's programs as processes of their own, with little
// memory, and lets a crowd of clients that nobody controls send bodies of legal size which
// stop just short of their end. The tests check that the process lives within its memory
// and its descriptors, and that an ordinary request is answered while the crowd is still
// there. They check no durations and no share of served requests.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// Memory of the machine of each process, and descriptors that it may open.
	frontMemoryMiB, coreMemoryMiB = 64, 96
	maxDescriptors                = 1024
	// Largest bodies that the listeners of callers and of control take.
	callerBody, controlBody = 262_144, 4 << 20
	// answerTimeout bounds the wait for an answer that is to come.
	answerTimeout = 60 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bergamot-platform")
	build := exec.Command("go", "build", "-o", binary, "bergamotdrum.example/bergamotdrum/cmd/bergamot-platform")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one process under test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployment is one control replica and one front.
type deployment struct {
	*WithT
	core, front                 *process
	callerAddress, coreListener string
	// coreSettings and dataFolder are those of the control replica.
	coreSettings, dataFolder string
}

// address returns the n-th loopback address of this test process, with a port.
func address(n, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%250, 1+pid/250%250, 1+n, port)
}

// start starts a process with its own limit of descriptors.
func (d *deployment) start(t *testing.T, role, settings string, descriptors int) *process {
	dir := t.TempDir()
	path := filepath.Join(dir, role+".ini")
	d.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(dir, role+".log"))
	d.Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	p := &process{cmd: exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors), binary, role, path), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	d.Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait() // the process is killed at the end
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			data, _ := os.ReadFile(log.Name())
			t.Logf("last lines of %s:\n%s", role, data[max(0, len(data)-2000):])
		}
	})
	return p
}

// newDeployment starts a control replica and a front, publishes a configuration and waits
// until a job is accepted.
func newDeployment(t *testing.T, descriptors int) *deployment {
	return newDeploymentOf(t, descriptors, coreMemoryMiB, frontMemoryMiB)
}

// newDeploymentOf is newDeployment with machines of other sizes.
func newDeploymentOf(t *testing.T, descriptors, coreMiB, frontMiB int) *deployment {
	d := &deployment{WithT: NewWithT(t), coreListener: address(0, 8345), callerAddress: address(1, 8340), dataFolder: filepath.Join(t.TempDir(), "data")}
	frontHost := address(1, 7001)
	d.coreSettings = d.replicaSettings(0, d.dataFolder, coreMiB) + "first_start = true\ntolerated_losses = 0\n"
	d.core = d.start(t, "core", d.coreSettings, descriptors)
	d.front = d.start(t, "front", fmt.Sprintf("[batch-front]\nprocess_id = front\navailability_zone = za\ncaller_address = %s\nready_address = %s\nadmin_address = %s\nseed_addresses = %s\ncontrol_rpc_port = 17400\nallow_no_secret = true\nmax_memory = %dMiB\n",
		d.callerAddress, address(1, 8343), frontHost, d.coreListener, frontMiB), descriptors)
	d.expectOrdinaryCalls("first")
	return d
}

// replicaSettings returns the settings of a control replica at the n-th address, which finds
// the group by the one at the first address.
func (d *deployment) replicaSettings(n int, dataFolder string, memoryMiB int) string {
	return fmt.Sprintf("[batch-control]\nprocess_id = core%d\navailability_zone = za\ndata_folder = %s\nrpc_address = %s\ncontrol_address = %s\nadmin_address = %s\nseed_addresses = %s\nallow_no_secret = true\nmax_memory = %dMiB\n",
		n, dataFolder, address(n, 17400), address(n, 8345), address(n, 7001), d.coreListener, memoryMiB)
}

const configuration = `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","timeoutMs":3000,"targetLatencyMs":600,"service":"s","maxAttempts":3,"stretch":1.6,"public":true}],"services":[{"name":"s"}],"tenants":[]}`

// expectOrdinaryCalls expects that the operator's configuration is taken and that a
// caller's job is accepted.
func (d *deployment) expectOrdinaryCalls(name string) {
	d.Eventually(func() int { return d.call("PUT", d.coreListener, "/configuration", configuration) }).
		WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
	id := fmt.Sprintf("%016x", []byte(name)[0])
	d.Eventually(func() int {
		return d.call("POST", d.callerAddress, "/q/"+id, `{"specification":"x","steps":[{"count":1,"cpu":100,"estimatedMs":500}]}`)
	}).WithTimeout(answerTimeout).Should(Equal(http.StatusOK))
}

// call makes one call on a connection of its own and returns the status, zero without an
// answer.
func (d *deployment) call(method, address, path, body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	d.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// expectWithinBounds expects that the process lives, and that its largest memory so far and
// its open descriptors are within bounds.
func (d *deployment) expectWithinBounds(t *testing.T, p *process, memoryMiB, descriptors int) {
	select {
	case <-p.exited:
		t.Fatal("the process has ended")
	default:
	}
	pid := strconv.Itoa(p.cmd.Process.Pid)
	status, err := os.ReadFile("/proc/" + pid + "/status")
	d.Expect(err).NotTo(HaveOccurred())
	_, line, _ := bytes.Cut(status, []byte("VmHWM:"))
	peakKiB, err := strconv.Atoi(string(bytes.Fields(line)[0]))
	d.Expect(err).NotTo(HaveOccurred())
	files, err := os.ReadDir("/proc/" + pid + "/fd")
	d.Expect(err).NotTo(HaveOccurred())
	t.Logf("memory at its peak %d MiB, %d descriptors", peakKiB>>10, len(files))
	d.Expect(peakKiB>>10).To(BeNumerically("<=", memoryMiB), "memory at its peak, in MiB")
	d.Expect(len(files)).To(BeNumerically("<=", descriptors), "open descriptors")
}

// client sends one request on a connection, which it leaves open.
type client struct {
	method, address, path string
	// bodyBytes is the size of the body. The last byte is sent only if complete is set.
	bodyBytes int
	complete  bool
	// pieceBytes is the size of each write of the body, or of each chunk of a chunked one.
	pieceBytes int
	chunked    bool
}

// send connects and sends the request. It returns the connection, nil if there is none.
// The process may refuse or close at any time.
func (c client) send() net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, 5*time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(30 * time.Second))
	length := fmt.Sprintf("Content-Length: %d", c.bodyBytes)
	if c.chunked {
		length = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n%s\r\n\r\n", c.method, c.path, length); err != nil {
		return conn
	}
	piece := bytes.Repeat([]byte{' '}, c.pieceBytes)
	if c.chunked {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", c.pieceBytes, piece)
	}
	pieces := (c.bodyBytes - 1) / c.pieceBytes
	// Small pieces are sent some at a time, as the kernel would.
	batch := bytes.Repeat(piece, max(1, min(pieces, 16<<10/len(piece))))
	for sent := 0; sent < pieces; {
		n := min(len(batch)/len(piece), pieces-sent)
		if _, err := conn.Write(batch[:n*len(piece)]); err != nil {
			return conn
		}
		sent += n
	}
	switch rest := c.bodyBytes - pieces*c.pieceBytes; {
	case c.chunked && c.complete:
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", rest, bytes.Repeat([]byte{' '}, rest))
	case c.complete:
		_, _ = conn.Write(bytes.Repeat([]byte{' '}, rest))
	case !c.chunked && rest > 1:
		_, _ = conn.Write(bytes.Repeat([]byte{' '}, rest-1))
	}
	return conn
}

// sendAll sends requests of n clients at once and returns when all have sent what they
// send. One in ten completes its body, or all do if c does. The connections stay open until
// the test ends.
func sendAll(t *testing.T, n int, c client) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	for i := range n {
		c := c
		c.complete = c.complete || i%10 == 9
		wg.Go(func() {
			if conn := c.send(); conn != nil {
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, conn)
			}
		})
	}
	wg.Wait()
	t.Cleanup(func() {
		for _, conn := range conns {
			conn.Close()
		}
	})
}

// The crowds. Each sends several times the memory of the process.
var crowds = []struct {
	name       string
	pieceBytes func(bodyBytes int) int
	bodyShare  float64
	chunked    bool
}{
	{"whole bodies", func(body int) int { return body - 1 }, 1, false},
	{"bodies piece by piece", func(int) int { return 4096 }, 1, false},
	{"large chunks", func(int) int { return 65_535 }, 1, true},
	{"very small chunks", func(int) int { return 1 }, 0.75, true},
}

// Guards against a front that is ended since it has no memory left: it holds the bodies of
// all clients that stop short of their end.
func TestCrowdOfCallers(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			d := newDeployment(t, maxDescriptors)
			body := int(callerBody * crowd.bodyShare)
			sendAll(t, 400, client{method: "POST", address: d.callerAddress, path: "/q/00000000000000ff", bodyBytes: body, pieceBytes: crowd.pieceBytes(body), chunked: crowd.chunked})
			d.expectWithinBounds(t, d.front, frontMemoryMiB, maxDescriptors*7/8)
			d.expectOrdinaryCalls("while the crowd is there")
			d.expectWithinBounds(t, d.front, frontMemoryMiB, maxDescriptors*7/8)
		})
	}
}

// Guards against the same in a control replica, whose listener takes larger bodies.
func TestCrowdAtControl(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			d := newDeployment(t, maxDescriptors)
			body := int(controlBody * crowd.bodyShare)
			sendAll(t, 60, client{method: "PUT", address: d.coreListener, path: "/instances/i-1", bodyBytes: body, pieceBytes: crowd.pieceBytes(body), chunked: crowd.chunked})
			d.expectWithinBounds(t, d.core, coreMemoryMiB, maxDescriptors*7/8)
			d.expectOrdinaryCalls("while the crowd is there")
			d.expectWithinBounds(t, d.core, coreMemoryMiB, maxDescriptors*7/8)
		})
	}
}

// Guards against listeners that take connections until no descriptor is left, so that
// ordinary callers can't connect while the others stay, each after one small request.
func TestCrowdOfConnections(t *testing.T) {
	const descriptors, connections = 300, 400
	for _, listener := range []string{"front", "core"} {
		t.Run(listener, func(t *testing.T) {
			d := newDeployment(t, descriptors)
			p, c := d.front, client{method: "POST", address: d.callerAddress, path: "/q/00000000000000ff", bodyBytes: 100, pieceBytes: 99, complete: true}
			if listener == "core" {
				p, c.address, c.method, c.path = d.core, d.coreListener, "PUT", "/instances/i-1"
			}
			sendAll(t, connections, c)
			d.expectWithinBounds(t, p, coreMemoryMiB, descriptors*7/8)
			d.expectOrdinaryCalls("while the crowd is there")
			d.expectWithinBounds(t, p, coreMemoryMiB, descriptors*7/8)
		})
	}
}

// Guards against listeners that refuse everyone who comes while silent connections come all
// the time: each ordinary call, which sends its request at once, is answered.
func TestCrowdOfSilentConnections(t *testing.T) {
	const descriptors, flooders, maxConnections, calls = 300, 8, 4000, 16
	for _, listener := range []string{"front", "core"} {
		t.Run(listener, func(t *testing.T) {
			d := newDeployment(t, descriptors)
			p, address := d.front, d.callerAddress
			if listener == "core" {
				p, address = d.core, d.coreListener
			}
			var wg sync.WaitGroup
			stop := make(chan struct{})
			opened := make(chan struct{}, maxConnections)
			for range flooders {
				wg.Go(func() {
					var conns []net.Conn
					defer func() {
						for _, conn := range conns {
							conn.Close()
						}
					}()
					for range maxConnections / flooders {
						select {
						case <-stop:
							return
						default:
						}
						if conn, err := net.DialTimeout("tcp", address, 5*time.Second); err == nil {
							conns = append(conns, conn)
							opened <- struct{}{}
						}
					}
					<-stop
				})
			}
			for range 2 * descriptors {
				<-opened
			}
			for i := range calls {
				d.Expect(d.call("GET", address, "/q/00000000000000ff", "")).NotTo(BeZero(), "call %d", i)
			}
			d.expectWithinBounds(t, p, coreMemoryMiB, descriptors*7/8)
			close(stop)
			wg.Wait()
			d.expectOrdinaryCalls("afterwards")
		})
	}
}
