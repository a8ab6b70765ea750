package process_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	service = "transfers"
	pool    = "transfers"
)

// createTestObjects sets the cluster's objects to one service and one job queue
// over three zones, and returns them for changes before they are published.
func (c *cluster) createTestObjects() *apiv1.ObjectSet {
	key, credential := objects.NewKey("home-1", "home-1")
	c.callerCredential = credential
	set := &apiv1.ObjectSet{
		Limit:              []*apiv1.Limit{{Name: "care", MaxRunning: 30}},
		Team:               []*apiv1.Team{{Name: "care", Weight: 1, Limit: "care"}},
		ClientAccount:      []*apiv1.ClientAccount{{Name: "home-1", Team: "care"}},
		Key:                []*apiv1.Key{key},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "one-down", MaxDown: 1}},
		Pool:               []*apiv1.Pool{{Name: pool, AvailabilityBudget: "one-down"}},
		Service: []*apiv1.Service{{
			Name: service, Pool: pool, SlotsPerMinion: 8, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 3000,
		}},
		Queue: []*apiv1.Queue{
			{Name: "notices", Service: service, Teams: []string{"care"}, Priority: apiv1.Priority_PRIORITY_URGENT, MaxDepth: 1000},
			{Name: "summaries", Pool: pool, Teams: []string{"care"}, Priority: apiv1.Priority_PRIORITY_OVERNIGHT, MaxDepth: 1000},
		},
	}
	for _, z := range zones {
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{
			Name: z, Region: "region-1", State: apiv1.ZoneState_ZONE_STATE_IN,
		})
	}
	c.objects = set
	return set
}

// publish publishes the cluster's objects, waits until they are in force and
// returns their version. After a failure, which may hide that the version was
// published, it sends the same request again, as operators are told to: that
// returns the first outcome and makes no second version.
func (c *cluster) publish() uint64 {
	GinkgoHelper()
	req := &apiv1.PublishConfig{RequestId: uuid.NewString(), Objects: c.objects}
	Eventually(func() error {
		report, err := c.status()
		req.ExpectedVersion = report.ConfigVersion
		return err
	}).Should(Succeed())
	reply := &apiv1.PublishReply{}
	var changes int
	Eventually(func() error {
		changes = c.leaderChanges()
		return c.callOperatorAPI(http.MethodPost, "/v1/config/publish", req, reply)
	}).Should(Succeed())
	Expect(reply.Version).To(Equal(req.ExpectedVersion + 1))
	if !reply.InForce {
		// Only a leader that is replaced while it waits may reply without success.
		Expect(c.leaderChanges()).To(BeNumerically(">", changes), "waiting for %v", reply.WaitingFor)
		c.waitUntilInForce(reply.Version)
	}
	return reply.Version
}

// waitUntilInForce waits until a leader confirms that the version is in force.
func (c *cluster) waitUntilInForce(version uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		reply := &apiv1.PublishReply{}
		g.Expect(c.callOperatorAPI(http.MethodGet, fmt.Sprintf("/v1/config/in-force?version=%d", version), nil, reply)).To(Succeed())
		g.Expect(reply.InForce).To(BeTrue(), "waiting for %v", reply.WaitingFor)
	}).Should(Succeed())
}

// leaderChanges returns how often a control replica has logged that it became
// leader or lost the leadership. A replica logs the loss before it ends the calls
// that it serves as leader.
func (c *cluster) leaderChanges() int {
	n := 0
	for _, p := range c.controls {
		log := p.readLog()
		n += strings.Count(log, `"msg":"elected leader"`) + strings.Count(log, `"msg":"no longer leader"`)
	}
	return n
}

// startTargets starts fake minions and workers, one of each per zone, and returns
// the log of the workers' runs.
func (c *cluster) startTargets() *fakes.RunLog {
	var urls []string
	for _, p := range c.entries {
		urls = append(urls, "http://"+p.targetAddr)
	}
	log := &fakes.RunLog{}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for i, z := range zones {
		vm := fmt.Sprintf("vm-%d", i+1)
		m, err := fakes.StartMinion(fakes.MinionOptions{
			Announcement: &apiv1.MinionAnnouncement{
				MinionId: fmt.Sprintf("minion-%d", i+1), Service: service, Vm: vm, AvailabilityZone: z,
				Rack: z + "-rack-1", Slots: 8, Connections: 64, Pool: pool,
			},
			AnnounceURLs: urls, AnnounceInterval: 300 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		c.minions = append(c.minions, m)
		w := fakes.NewWorker(fakes.WorkerOptions{
			WorkerID: fmt.Sprintf("worker-%d", i+1), VM: vm, Pool: pool, Zone: z, Rack: z + "-rack-1",
			Capacity:  &apiv1.Resources{CpuMillis: 16000, MemoryMb: 32 << 10, Accelerators: 1},
			EntryURLs: urls, HeartbeatInterval: 300 * time.Millisecond, RunLog: log,
		})
		c.workers = append(c.workers, w)
		go w.Run(ctx)
	}
	c.runLog = log
	return log
}

// response is what a caller received.
type response struct {
	status int
	result string
	notRun bool
	body   string
}

// send sends one request through the entry process. With an id it is an
// at-most-once request, with the id as its Idempotency-Key; without one it may be
// repeated.
func (c *cluster) send(p *proc, id, body string) (response, error) {
	method := http.MethodPut
	if id != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+p.callerAddr+"/v1/services/"+service+"/notice", bytes.NewReader([]byte(body)))
	if err != nil {
		return response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+c.callerCredential)
	r.Header.Set("Bergamot-Queue", "notices")
	r.Header.Set("Bergamot-Timeout-Ms", "3000")
	if id != "" {
		r.Header.Set("Idempotency-Key", id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode,
		result: resp.Header.Get("Bergamot-Result"),
		notRun: resp.Header.Get("Bergamot-Not-Run") == "true",
		body:   string(data),
	}, err
}

// waitUntilServed waits until a request through the entry process succeeds.
func (c *cluster) waitUntilServed(p *proc) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		resp, err := c.send(p, "", "ping "+p.name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.status).To(Equal(http.StatusOK), "%+v", resp)
		g.Expect(resp.body).To(ContainSubstring("ping " + p.name))
	}).Should(Succeed())
}

// expectStoredResponse waits until a duplicate of the request through the entry
// process gets the response to the first one.
func (c *cluster) expectStoredResponse(p *proc, id string, first response) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		again, err := c.send(p, id, "transfer notice")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.status).To(Equal(http.StatusOK), "%+v", again)
		g.Expect(again.body).To(Equal(first.body))
	}).Should(Succeed())
}

// countRuns returns the number of runs of a request over all minions.
func (c *cluster) countRuns(id string) int {
	total := 0
	for _, m := range c.minions {
		total += m.Runs(id)
	}
	return total
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// submit submits a job that runs for 300 ms through the entry process and returns
// its id.
func (c *cluster) submit(p *proc, repeatable bool) string {
	GinkgoHelper()
	id := newID()
	Eventually(func() error {
		return c.callJobs(p, http.MethodPost, "", &apiv1.SubmitJob{
			JobId: id, Queue: "summaries", Repeatable: repeatable,
			Resources: &apiv1.Resources{CpuMillis: 1000, MemoryMb: 512},
			Payload:   []byte(`{"run_ms":300}`),
		}, &apiv1.Job{})
	}).Should(Succeed())
	return id
}

// runJob submits a job through the entry process and waits until it is done.
//
// The start of a job that may not be repeated is sent once. When the response
// with the start is lost, or the leader is replaced before it is sent, the job
// ends as UNKNOWN once its lease has expired, because it may have run. Only then
// is the state accepted, and a new job is submitted, as callers are told to.
func (c *cluster) runJob(p *proc, repeatable bool) {
	GinkgoHelper()
	losses := c.possibleLosses()
	id := c.submit(p, repeatable)
	Eventually(func(g Gomega) {
		job := &apiv1.Job{}
		g.Expect(c.callJobs(p, http.MethodGet, "/"+id, nil, job)).To(Succeed())
		if !repeatable && job.State == apiv1.JobState_JOB_STATE_UNKNOWN {
			Expect(c.possibleLosses()).To(BeNumerically(">", losses), "job %s was given up without a cause: %s", id, job.Reason)
			Expect(len(c.runLog.RunsOf(id))).To(BeNumerically("<=", 1), "job %s ran twice", id)
			GinkgoWriter.Printf("job %s: %s; submitting another one\n", id, job.Reason)
			losses = c.possibleLosses()
			id = c.submit(p, repeatable)
		}
		g.Expect(job.State).To(Equal(apiv1.JobState_JOB_STATE_DONE), "job %s: %s", job.JobId, job.Reason)
	}).Should(Succeed())
	if !repeatable {
		Expect(c.runLog.RunsOf(id)).To(HaveLen(1))
	}
}

// possibleLosses returns the number of events after which the start of a job may
// be lost: heartbeats of workers without a response, and changes of the leader.
func (c *cluster) possibleLosses() int {
	n := c.leaderChanges()
	for _, w := range c.workers {
		n += w.Unanswered()
	}
	return n
}

// callJobs sends a request to the jobs API of the entry process. Any status but
// 2xx is an error.
func (c *cluster) callJobs(p *proc, method, path string, req *apiv1.SubmitJob, resp *apiv1.Job) error {
	var body io.Reader = http.NoBody
	if req != nil {
		data, err := protojson.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+p.callerAddr+"/v1/jobs"+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.callerCredential)
	httpResp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return err
	}
	if httpResp.StatusCode/100 != 2 {
		return fmt.Errorf("jobs API: status %d: %s", httpResp.StatusCode, data)
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, resp)
}
