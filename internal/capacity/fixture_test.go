package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/control"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	numPools = 21
	// longTTL keeps the sessions of entry processes (which take callers' requests;
	// a session is a lease with the control group) and the workers' leases on jobs
	// valid for the whole of a slow benchmark.
	longTTL = 10 * time.Minute
)

// newObjectSet returns a configuration with 21 pools and services, 8
// availability zones, and two client accounts and four keys for each team.
func newObjectSet(teams int) *apiv1.ObjectSet {
	set := &apiv1.ObjectSet{
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 2}},
		Limit:              []*apiv1.Limit{{Name: "l", MaxRunning: 100_000}},
	}
	for i := range 8 {
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{
			Name: fmt.Sprint("zone-", i), Region: fmt.Sprint("region-", i/2), State: apiv1.ZoneState_ZONE_STATE_IN,
		})
	}
	var names []string
	for i := range teams {
		team := fmt.Sprint("team-", i)
		names = append(names, team)
		set.Team = append(set.Team, &apiv1.Team{Name: team, Weight: 1, Limit: "l"})
		for j := range 4 {
			account := fmt.Sprintf("%s-%d", team, j/2)
			if j%2 == 0 {
				set.ClientAccount = append(set.ClientAccount, &apiv1.ClientAccount{Name: account, Team: team})
			}
			set.Key = append(set.Key, &apiv1.Key{
				Name: fmt.Sprintf("%s-%d", account, j), ClientAccount: account,
				Salt: strings.Repeat("0a", 16), Hash: strings.Repeat("0f", 32),
			})
		}
	}
	for i := range numPools {
		addPool(set, fmt.Sprint("pool-", i), i == 0, names)
	}
	return set
}

// addPool adds a pool, a service on it, and a queue for each of the two.
func addPool(set *apiv1.ObjectSet, pool string, spare bool, teams []string) {
	set.Pool = append(set.Pool, &apiv1.Pool{Name: pool, AvailabilityBudget: "b", Spare: spare})
	set.Service = append(set.Service, &apiv1.Service{
		Name: pool, Pool: pool, SlotsPerMinion: 8, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 30_000,
	})
	set.Queue = append(set.Queue,
		&apiv1.Queue{Name: pool, Service: pool, Teams: teams, Priority: apiv1.Priority_PRIORITY_NORMAL, MaxDepth: 1000},
		&apiv1.Queue{Name: pool + "-jobs", Pool: pool, Teams: teams, Priority: apiv1.Priority_PRIORITY_NORMAL, MaxDepth: 100_000})
}

// heartbeat returns the heartbeat of worker i with the given number of leases.
func heartbeat(i, leases int) *apiv1.WorkerHeartbeat {
	hb := &apiv1.WorkerHeartbeat{
		WorkerId: fmt.Sprintf("worker-%05d", i), Vm: fmt.Sprintf("vm-%05d", i), Pool: fmt.Sprint("pool-", i%numPools),
		AvailabilityZone: fmt.Sprint("zone-", i%8), Rack: fmt.Sprintf("rack-%04d", i/4),
		Capacity: &apiv1.Resources{CpuMillis: 64_000, MemoryMb: 256_000, Accelerators: 1},
		Used:     &apiv1.Resources{CpuMillis: 41_350, MemoryMb: 180_000, Accelerators: 1},
	}
	for j := range leases {
		hb.Leases = append(hb.Leases, &apiv1.JobEpoch{JobId: jobID(i*leases + j), Epoch: 1})
	}
	return hb
}

// jobID returns the UUIDv7 of job n, with jobIDTimeMS as its time.
func jobID(n int) string { return fmt.Sprintf("01a31b5c-5000-7000-8000-%012x", n) }

// jobIDTimeMS is the Unix time in milliseconds in all job ids. It is also the
// time that all commands carry, and so the clock of the replicated state, which
// refuses ids whose time is too far ahead of or behind that clock.
const jobIDTimeMS = 0x01a31b5c5000

// localNode applies commands to a state machine without a replicated log, so
// that the results don't include replication and disk writes.
type localNode struct {
	mu           sync.Mutex
	index        uint64
	stateMachine *state.Machine
}

func (n *localNode) Propose(_ context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.index++
	cmd.TimeUnixMs = jobIDTimeMS
	return n.stateMachine.Apply(n.index, cmd), nil
}

// Barrier returns at once: every applied command is visible.
func (n *localNode) Barrier(context.Context) error { return nil }

func (n *localNode) Status() replica.Status { return replica.Status{} }

func (n *localNode) ChangeMembership(context.Context, *apiv1.ConfChange) error { return nil }
func (n *localNode) Peers(context.Context) ([]replica.PeerProgress, error)     { return nil, nil }

// apply applies a command and fails the benchmark unless the result is OK and
// without rejections.
func (n *localNode) apply(tb testing.TB, cmd *apiv1.Command) *apiv1.CommandResult {
	tb.Helper()
	res, _ := n.Propose(context.Background(), cmd)
	if res.Status.GetCode() != apiv1.ResultCode_RESULT_CODE_OK {
		tb.Fatal(res.Status)
	}
	if r := res.GetRejections().GetRejections(); len(r) > 0 {
		tb.Fatal(r[0])
	}
	return res
}

// newNode returns a node whose state has a published configuration.
func newNode(tb testing.TB, teams int) *localNode {
	n := &localNode{stateMachine: state.New()}
	n.apply(tb, &apiv1.Command{Body: &apiv1.Command_PublishConfig{
		PublishConfig: &apiv1.PublishConfig{RequestId: "first", Objects: newObjectSet(teams)},
	}})
	return n
}

// publish replaces the given version of the configuration by a new one.
func (n *localNode) publish(tb testing.TB, version uint64, teams int) {
	n.apply(tb, &apiv1.Command{Body: &apiv1.Command_PublishConfig{PublishConfig: &apiv1.PublishConfig{
		RequestId: fmt.Sprint(version), ExpectedVersion: version, Objects: newObjectSet(teams),
	}}})
}

func (n *localNode) view() (view *apiv1.View) {
	n.stateMachine.Read(func(s *state.State) { view = s.View(0) })
	return view
}

// observe adds the given number of VMs, each with its worker.
func (n *localNode) observe(tb testing.TB, vms int) {
	cmd := &apiv1.ObserveVms{}
	for i := range vms {
		hb := heartbeat(i, 0)
		cmd.Observations = append(cmd.Observations, &apiv1.VmObservation{
			Vm: hb.Vm, Pool: hb.Pool, AvailabilityZone: hb.AvailabilityZone, Rack: hb.Rack, Capacity: hb.Capacity, WorkerId: hb.WorkerId,
		})
	}
	n.apply(tb, &apiv1.Command{Body: &apiv1.Command_ObserveVms{ObserveVms: cmd}})
}

// submit adds jobs, spread evenly over the queues of the pools of the first vms
// workers.
func (n *localNode) submit(tb testing.TB, jobs, vms int) {
	for i := range jobs {
		n.apply(tb, &apiv1.Command{Body: &apiv1.Command_SubmitJob{SubmitJob: &apiv1.SubmitJob{
			JobId: jobID(i), ClientAccount: "team-0-0", Team: fmt.Sprint("team-", i%46), Queue: fmt.Sprintf("pool-%d-jobs", i*vms/jobs%numPools),
			Resources: &apiv1.Resources{CpuMillis: 16_000, MemoryMb: 1000}, Repeatable: true, DeclaredRunMs: 60_000,
		}}})
	}
}

// place gives each of the first vms workers a lease on the given number of
// submitted jobs.
func (n *localNode) place(tb testing.TB, vms, leases int) {
	cmd := &apiv1.PlaceJobs{}
	for i := range vms * leases {
		hb := heartbeat(i/leases, 0)
		cmd.Placements = append(cmd.Placements, &apiv1.Placement{JobId: jobID(i), WorkerId: hb.WorkerId})
	}
	n.apply(tb, &apiv1.Command{Body: &apiv1.Command_PlaceJobs{PlaceJobs: cmd}})
}

// countingListener counts the bytes sent and received on all accepted
// connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func listen(tb testing.TB) *countingListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return &countingListener{Listener: l}
}

// startLeader runs the leader's services on node until the benchmark ends. It
// returns a client and the listener that counts the bytes.
func startLeader(tb testing.TB, node *localNode) (*rpc.Client, *countingListener) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	srv := control.New(control.Options{
		StateMachine: node.stateMachine, Clock: clock.Boot{}, Log: logrus.NewEntry(log),
		SessionTTL: longTTL, ExpiryMargin: time.Second, LeaseTTL: longTTL, Registry: prometheus.NewRegistry(),
	})
	srv.SetNode(node)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { srv.OnLeader(ctx); close(done) }()
	server, w := rpc.NewServer([]byte("secret"), logrus.NewEntry(log)), listen(tb)
	srv.Register(server)
	go server.Serve(w)
	client := rpc.NewClient([]byte("secret"))
	tb.Cleanup(func() { client.Close(); server.Close(); cancel(); <-done })
	time.Sleep(50 * time.Millisecond) // until OnLeader has made srv the leader
	return client, w
}

// cpuTime returns the processor time that this process has used, in user and
// kernel mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
