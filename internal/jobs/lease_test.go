package jobs

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	ttl    = 10 * time.Second
	margin = 250 * time.Millisecond
	// maxRunning is more than the workers can hold, so that the capacity of the
	// VMs is what limits the running jobs.
	maxRunning = 20
)

// fakeCluster stands for the leader of the control group with just the leader's
// rules for leases (a worker's right to run a job), on the real state of jobs and
// VMs. Its workers are fakes, and the network between them and the leader loses,
// repeats and delays heartbeats.
type fakeCluster struct {
	t       *rapid.T
	clock   clock.Fake
	ix      *objects.Index
	fleet   *fleet.State
	jobs    *State
	limits  *teamLimits
	workers []*fakes.Worker
	log     fakes.RunLog
	// renewed is the time at which the lease was last granted or renewed, by job
	// id.
	renewed map[string]time.Duration
	// ids holds the id of every submitted job.
	ids []string
	// late holds heartbeats that the network has delayed. They may be delivered
	// any number of times.
	late []*apiv1.WorkerHeartbeat
	// plans holds every plan that was made.
	plans []*apiv1.PlaceJobs
	// inOutage is true during an outage, in which the network is reliable for the
	// workers that are not affected.
	inOutage bool
}

func newFakeCluster(t *rapid.T) *fakeCluster {
	c := &fakeCluster{t: t, ix: testIndex(1), fleet: fleet.New(), jobs: New(), limits: &teamLimits{max: maxRunning, running: map[string]uint32{}}, renewed: map[string]time.Duration{}}
	capacity := &apiv1.Resources{CpuMillis: 2}
	for i := range 3 {
		vm := fmt.Sprint("vm", i)
		c.workers = append(c.workers, fakes.NewWorker(fakes.WorkerOptions{
			WorkerID: "w-" + vm, VM: vm, EntryURLs: []string{"http://entry"}, Clock: &c.clock, Client: &http.Client{Transport: c}, RunLog: &c.log,
		}))
		observe(c.fleet, c.ix, vm, "p0", "z0", capacity)
	}
	return c
}

func (c *fakeCluster) now() int64 { return startMS + c.clock.Now().Milliseconds() }

// RoundTrip implements http.RoundTripper as the network between the workers and
// the leader. It draws what happens to the request or its answer.
func (c *fakeCluster) RoundTrip(req *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(req.Body)
	hb := &apiv1.WorkerHeartbeat{}
	if err := protojson.Unmarshal(body, hb); err != nil {
		return nil, err
	}
	network := "ok"
	if !c.inOutage {
		network = rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "request lost", "answer lost", "late", "slow"}).Draw(c.t, "network")
	}
	var ins *apiv1.WorkerInstructions
	switch network {
	case "request lost":
		return nil, io.ErrUnexpectedEOF
	case "answer lost":
		c.heartbeat(hb)
		return nil, io.ErrUnexpectedEOF
	case "late":
		c.late = append(c.late, hb)
		return nil, io.ErrUnexpectedEOF
	case "slow":
		ins = c.heartbeat(hb)
		c.outage(hb.WorkerId)
	default:
		ins = c.heartbeat(hb)
	}
	out, err := protojson.Marshal(ins)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(out))}, err
}

// heartbeat handles a heartbeat as the leader does: it commits the reports, renews
// the leases that are still current, and returns the instructions.
func (c *fakeCluster) heartbeat(hb *apiv1.WorkerHeartbeat) *apiv1.WorkerInstructions {
	ins := &apiv1.WorkerInstructions{LeaseTtlMs: uint32(ttl.Milliseconds())}
	c.jobs.Report(c.now(), &apiv1.ReportTasks{Reports: hb.Reports}, c.ix, c.fleet, c.limits)
	for _, r := range hb.Reports {
		ins.Acknowledged = append(ins.Acknowledged, &apiv1.JobEpoch{JobId: r.JobId, Epoch: r.Epoch})
	}
	for _, l := range hb.Leases {
		if j, ok := c.jobs.Get(l.JobId); ok && j.Lease.GetEpoch() == l.Epoch && j.Lease.GetWorkerId() == hb.WorkerId {
			c.renewed[l.JobId] = c.clock.Now()
			ins.Renewed = append(ins.Renewed, l)
		}
	}
	for _, j := range c.jobs.LeasedOn(hb.Vm) {
		in := &apiv1.TaskInstruction{JobId: j.JobId, Epoch: j.Lease.Epoch, Payload: j.Payload, Checkpoint: j.Checkpoint}
		switch {
		case j.State == apiv1.JobState_JOB_STATE_PLACED:
			in.Action = apiv1.TaskAction_TASK_ACTION_START
			c.renewed[j.JobId] = c.clock.Now()
		case j.State == apiv1.JobState_JOB_STATE_STOPPING && j.CancelRequested:
			in.Action = apiv1.TaskAction_TASK_ACTION_STOP
		case j.State == apiv1.JobState_JOB_STATE_STOPPING:
			in.Action = apiv1.TaskAction_TASK_ACTION_CHECKPOINT_AND_STOP
		case j.Lease.Throttled:
			in.Action = apiv1.TaskAction_TASK_ACTION_THROTTLE
		}
		ins.Instructions = append(ins.Instructions, in)
	}
	return ins
}

// expire ends leases that were not renewed for longer than their duration and the
// safety margin.
func (c *fakeCluster) expire() {
	cmd := &apiv1.ExpireLeases{}
	for _, j := range c.jobs.Live() {
		if j.Lease != nil && c.clock.Now() > c.renewed[j.JobId]+ttl+margin {
			cmd.Leases = append(cmd.Leases, &apiv1.JobEpoch{JobId: j.JobId, Epoch: j.Lease.Epoch})
		}
	}
	c.jobs.ExpireLeases(c.now(), cmd, c.limits)
}

func (c *fakeCluster) planAndPlace() {
	c.place(c.computePlan())
}

// computePlan returns a plan for the current state and remembers it, so that it
// may be committed later or a second time.
func (c *fakeCluster) computePlan() *apiv1.PlaceJobs {
	cmd := Plan(PlanInput{NowMS: c.now(), Jobs: c.jobs.Live(), VMs: c.fleet.VMs(), Index: c.ix, FreeSlots: map[string]uint32{"t0": maxRunning - c.limits.running["t0"]}})
	c.plans = append(c.plans, cmd)
	return cmd
}

// place commits a plan. The leases that it grants start now.
func (c *fakeCluster) place(cmd *apiv1.PlaceJobs) {
	c.jobs.Place(c.now(), cmd, c.ix, c.fleet, c.limits)
	for _, p := range cmd.Placements {
		if j, _ := c.jobs.Get(p.JobId); j.Lease != nil && j.Epoch == p.ExpectedEpoch+1 {
			c.renewed[p.JobId] = c.clock.Now()
		}
	}
}

// submit submits a job of random priority and run time.
func (c *fakeCluster) submit() {
	n := len(c.ids)
	id := jobID(c.now(), n)
	payload := fmt.Sprintf(`{"run_ms":%d,"checkpoint_ms":500}`, rapid.SampledFrom([]int{0, 900, 15000, 40000}).Draw(c.t, "run"))
	_, err := c.jobs.Submit(c.now(), &apiv1.SubmitJob{
		JobId: id, Team: "t0", Queue: fmt.Sprint("p0-", rapid.IntRange(1, 3).Draw(c.t, "priority")),
		Resources: &apiv1.Resources{CpuMillis: 1}, Repeatable: rapid.Bool().Draw(c.t, "repeatable"), Payload: []byte(payload),
	}, c.ix, c.fleet)
	if err != nil {
		c.t.Fatal(err)
	}
	c.ids = append(c.ids, id)
}

func (c *fakeCluster) worker() *fakes.Worker { return rapid.SampledFrom(c.workers).Draw(c.t, "worker") }

// check verifies that no job runs twice at once, that only repeatable jobs run
// again, and that leases agree with the states of jobs, the count against the
// team's limit and the capacity of the VMs.
func (c *fakeCluster) check(t *rapid.T) {
	if a, b, found := c.log.Overlapping(); found {
		t.Fatalf("two runs at once: %+v and %+v", a, b)
	}
	leases := map[string]uint32{}
	used := map[string]uint32{}
	for _, id := range c.ids {
		j, ok := c.jobs.Get(id)
		if !ok {
			t.Fatalf("job %s is lost", id)
		}
		if runs := c.log.RunsOf(id); !j.Repeatable && len(runs) > 1 {
			t.Fatalf("job that may not be repeated ran twice: %+v", runs)
		}
		if leased := !Ended(j.State) && j.State != apiv1.JobState_JOB_STATE_PENDING; leased != (j.Lease != nil) {
			t.Fatalf("job %s is %s with lease %v", id, j.State, j.Lease)
		}
		if j.Lease != nil {
			leases[j.Team]++
			used[j.Lease.Vm] += j.Resources.CpuMillis
		}
	}
	if leases["t0"] != c.limits.running["t0"] {
		t.Fatalf("%d leases, but %d counted against the limit", leases["t0"], c.limits.running["t0"])
	}
	for vm, cpu := range used {
		if cpu > 2 {
			t.Fatalf("VM %s has leases for %d of 2 CPU millis", vm, cpu)
		}
	}
	c.restore(t)
}

// restore replaces the state of jobs by one restored from its snapshot, which
// must be equal.
func (c *fakeCluster) restore(t *rapid.T) {
	snap := c.jobs.Snapshot()
	other := New()
	other.Restore(snap)
	if !proto.Equal(snap, other.Snapshot()) {
		t.Fatal("the state restored from a snapshot differs")
	}
	c.jobs = other
}

// round lets one second pass with a plan and a heartbeat of each worker.
func (c *fakeCluster) round() {
	c.clock.Advance(time.Second)
	c.expire()
	c.planAndPlace()
	for _, w := range c.workers {
		w.Step()
		w.SendHeartbeat(c.t.Context())
	}
}

// outage lets 12 s pass in which one worker makes no progress and sends no
// heartbeat, so that its leases expire. The other workers go on.
func (c *fakeCluster) outage(workerID string) {
	c.inOutage = true
	for range 12 {
		c.clock.Advance(time.Second)
		c.expire()
		c.planAndPlace()
		for i, w := range c.workers {
			if fmt.Sprint("w-vm", i) != workerID {
				w.Step()
				w.SendHeartbeat(c.t.Context())
			}
		}
	}
	c.inOutage = false
}

// cancelDrains cancels all operations on VMs, so that jobs may start on them again.
func (c *fakeCluster) cancelDrains() {
	cmd := &apiv1.AdvanceIntents{}
	for _, in := range c.fleet.Intents() {
		cmd.Advances = append(cmd.Advances, &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_CANCELED})
	}
	c.fleet.AdvanceIntents(c.now(), cmd, c.ix)
}

// finish ends all drains, pauses and injected failures, after which every job must
// end within 400 rounds, each a second with a plan and the workers' heartbeats.
func (c *fakeCluster) finish() {
	c.cancelDrains()
	for _, w := range c.workers {
		w.Resume()
		w.SetFailAll(false)
	}
	for n := 0; n < 400 && len(c.jobs.Live()) > 0; n++ {
		c.round()
	}
	if left := c.jobs.Live(); len(left) > 0 {
		c.t.Fatalf("%d jobs never end, first: %v", len(left), left[0])
	}
}

// Guards against jobs that run twice at once, lost jobs and leaked capacity. These
// failures could come about when a worker freezes until after its leases have
// expired, or when heartbeats or their answers are lost, repeated or delayed.
func TestLeasesUnderFaults(t *testing.T) {
	setRapidChecks(300, 60)
	rapid.Check(t, func(t *rapid.T) {
		c := newFakeCluster(t)
		for range 8 {
			c.submit()
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       c.check,
			"round":  func(*rapid.T) { c.round() },
			"submit": func(*rapid.T) { c.submit() },
			"plan":   func(*rapid.T) { c.planAndPlace() },
			"beat":   func(t *rapid.T) { c.worker().SendHeartbeat(t.Context()) },
			"step":   func(*rapid.T) { c.worker().Step() },
			"pause":  func(*rapid.T) { c.worker().Pause() },
			"resume": func(*rapid.T) { w := c.worker(); w.Resume(); w.Step() },
			"crash":  func(*rapid.T) { c.worker().Crash() },
			"fail":   func(t *rapid.T) { c.worker().SetFailAll(rapid.Bool().Draw(t, "fail")) },
			"expire": func(*rapid.T) { c.expire() },
			"rounds": func(*rapid.T) { c.round(); c.round() },
			"freeze": func(*rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "frozen")
				c.workers[i].Pause()
				c.outage(fmt.Sprint("w-vm", i))
				c.workers[i].Resume()
				c.workers[i].Step()
			},
			"drain": func(t *rapid.T) {
				c.fleet.CreateIntents(c.now(), &apiv1.CreateIntents{Intents: []*apiv1.Intent{{
					OperationId: fmt.Sprint("d", len(c.fleet.Intents())), Vm: fmt.Sprint("vm", rapid.IntRange(0, 2).Draw(t, "vm")), Kind: apiv1.IntentKind_INTENT_KIND_DRAIN,
				}}}, c.ix)
			},
			"undrain": func(*rapid.T) { c.cancelDrains() },
			"compute": func(*rapid.T) { c.submit(); c.computePlan() },
			"old plan": func(t *rapid.T) {
				if len(c.plans) > 0 {
					c.place(rapid.SampledFrom(c.plans).Draw(t, "plan"))
				}
			},
			"late": func(*rapid.T) {
				for _, hb := range c.late {
					c.heartbeat(hb)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(c.ids) > 0 {
					id := rapid.SampledFrom(c.ids).Draw(t, "job")
					c.jobs.Cancel(c.now(), &apiv1.CancelJobs{JobIds: []string{id, id}}, c.limits)
				}
			},
			"time": func(t *rapid.T) {
				c.clock.Advance(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, ttl, ttl + margin + 1}).Draw(t, "by"))
				for _, w := range c.workers {
					w.Step()
				}
			},
		})
		c.finish()
	})
}
