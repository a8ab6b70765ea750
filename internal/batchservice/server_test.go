package batchservice

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/session"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// immediateNode is a Node that applies each proposal to the state machine
// without replication.
type immediateNode struct {
	// commitTime is how long each proposal takes.
	commitTime   atomic.Int64
	mu           sync.Mutex
	stateMachine *state.Machine
	index        uint64
}

func (n *immediateNode) Propose(_ context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	time.Sleep(time.Duration(n.commitTime.Load()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.index++
	cmd.TimeUnixMs = 1_700_000_000_000
	return n.stateMachine.Apply(n.index, cmd), nil
}

func (n *immediateNode) Barrier(context.Context) error { return nil }
func (n *immediateNode) Status() replica.Status {
	return replica.Status{Term: 1, LeaderAddress: "leader:1"}
}

// startService starts a service and returns a client that reaches it over TCP.
// The service's replica leads if lead is set.
func startService(t *testing.T, lead bool) *Client {
	stateMachine := state.New()
	return startServiceOn(t, &immediateNode{stateMachine: stateMachine}, lead)
}

// startServiceOn is like startService, with a given node.
func startServiceOn(t *testing.T, node *immediateNode, lead bool) *Client {
	g := NewWithT(t)
	stateMachine := node.stateMachine
	s := New(Options{StateMachine: stateMachine, Log: discardLogger(), Dispatch: dispatch.Options{Clock: clock.Boot{}}})
	server := rpc.NewServer(nil, discardLogger())
	s.Register(server)
	s.SetNode(node)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if lead {
		wg.Go(func() { s.OnLeader(ctx) })
		g.Eventually(s.dispatcher.Load).ShouldNot(BeNil())
	}
	rpcClient := rpc.NewClient(nil)
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		rpcClient.Close()
		server.Close()
	})
	return NewClient(session.NewControlClient(rpcClient, []string{l.Addr().String()}))
}

func catalog(version uint64) *apiv1.Catalog {
	return &apiv1.Catalog{
		Version: version, Source: []byte("source"),
		Queues:   []*apiv1.BatchQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMs: 1}},
		Pools:    []*apiv1.BatchPool{{Name: "p"}},
		Accounts: []*apiv1.BatchAccount{{Name: "a", KeyHashes: [][]byte{batch.HashKey("k")}}, {Name: "b", KeyHashes: [][]byte{batch.HashKey("l")}}},
	}
}

// Guards against calls of one client account that reach the jobs of another,
// and against successful calls before a catalog has been published.
func TestCallsOverTheWire(t *testing.T) {
	g := NewWithT(t)
	c := startService(t, true)
	at := func(path, key string) *apiv1.QueueCall { return &apiv1.QueueCall{Host: "h", Path: path, Key: key} }
	const id = "5c0e7a21d94b36f8"
	_, err := c.Get(t.Context(), at("/q/"+id, "k"))
	g.Expect(result.From(err).NotRun).To(BeTrue())
	_, err = c.GetCatalog(t.Context())
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.PutCatalog(t.Context(), catalog(3))).To(Succeed())
	g.Expect(c.PutCatalog(t.Context(), catalog(2))).To(Succeed())
	got, err := c.GetCatalog(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Version).To(BeNumerically("==", 3))

	job := &apiv1.BatchJob{Steps: []*apiv1.BatchStep{{Count: 1}}}
	g.Expect(result.CodeOf(c.Submit(t.Context(), at("/q/"+id, ""), job))).To(Equal(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED))
	g.Expect(result.CodeOf(c.Submit(t.Context(), at("/q/short", "k"), job))).To(Equal(apiv1.ResultCode_RESULT_CODE_NOT_FOUND))
	g.Expect(c.Submit(t.Context(), at("/q/"+id, "k"), job)).To(Succeed())
	g.Expect(c.Submit(t.Context(), at("/q/"+id, "k"), job)).To(Succeed())
	queue, err := c.Get(t.Context(), at("/q/", "k"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(queue.Waiting).To(BeNumerically("==", 1))
	_, err = c.Get(t.Context(), at("/q/"+id, "l"))
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND))
	g.Expect(result.CodeOf(c.Cancel(t.Context(), at("/q/"+id, "l")))).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND))
	g.Expect(c.Cancel(t.Context(), at("/q/"+id, "k"))).To(Succeed())
	state, err := c.Get(t.Context(), at("/q/"+id, "k"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state.State).To(Equal(apiv1.BatchState_BATCH_STATE_CANCELED))

	g.Expect(c.SetZone(t.Context(), "z", true)).To(Succeed())
	g.Expect(c.StartWave(t.Context(), &apiv1.StartWaveRequest{Wave: &apiv1.MaintenanceWave{Number: 1, Machines: []string{"m"}, MaxDown: 1}, DurationMs: 1000})).To(Succeed())
	done, err := c.WaveCompleted(t.Context(), 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(done).To(BeFalse())
	_, err = c.WaveCompleted(t.Context(), 2)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a job that runs although its caller, which had little time left, never
// learned that it was accepted, and against a refusal of a job that is accepted already.
func TestSubmissionThatCannotBeCommittedInTimeIsNotRun(t *testing.T) {
	g := NewWithT(t)
	node := &immediateNode{stateMachine: state.New()}
	c := startServiceOn(t, node, true)
	g.Expect(c.PutCatalog(t.Context(), catalog(1))).To(Succeed())
	at := func(id string) *apiv1.QueueCall { return &apiv1.QueueCall{Host: "h", Path: "/q/" + id, Key: "k"} }
	submit := func(id string, left time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		return c.Submit(ctx, at(id), &apiv1.BatchJob{Steps: []*apiv1.BatchStep{{Count: 1}}})
	}
	node.commitTime.Store(int64(400 * time.Millisecond))
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() { g.Expect(submit(fmt.Sprintf("5c0e7a21d94b36%02x", i), 10*time.Second)).To(Succeed()) })
	}
	wg.Wait()
	const late = "5c0e7a21d94b36f8"
	err := submit(late, 250*time.Millisecond)
	g.Expect(err).To(HaveOccurred())
	g.Expect(result.From(err).NotRun).To(BeTrue(), "%v", err)
	g.Expect(submit("5c0e7a21d94b3600", 250*time.Millisecond)).NotTo(Satisfy(func(err error) bool {
		return err != nil && result.From(err).NotRun
	}), "the job is accepted already")
	node.commitTime.Store(0)
	_, err = c.Get(t.Context(), at(late))
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND))
}

// Guards against a replica that serves calls without being the leader.
func TestOnlyTheLeaderAnswers(t *testing.T) {
	g := NewWithT(t)
	c := startService(t, false)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	err := c.PutCatalog(ctx, catalog(1))
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_QUORUM))
	g.Expect(result.From(err).NotRun).To(BeTrue())
}

// Guards against a request without its parts that ends the whole process.
func TestRequestsWithoutContentAreRefused(t *testing.T) {
	g := NewWithT(t)
	c := startService(t, true)
	g.Expect(c.PutCatalog(t.Context(), catalog(1))).To(Succeed())
	call := &apiv1.QueueCall{Host: "h", Path: "/q/5c0e7a21d94b36f8", Key: "k"}
	for method, req := range map[string]proto.Message{
		MethodSubmit: &apiv1.SubmitBatchRequest{Call: call}, MethodPutCatalog: &apiv1.PutCatalogRequest{},
		MethodStartWave: &apiv1.StartWaveRequest{},
	} {
		err := c.control.Invoke(t.Context(), method, req, &apiv1.Empty{})
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT), method)
		g.Expect(result.From(err).NotRun).To(BeTrue(), method)
	}
	for _, method := range []string{MethodSubmit, MethodGet, MethodCancel, MethodSetZone, MethodAnnounceAll} {
		g.Expect(c.control.Invoke(t.Context(), method, &apiv1.Empty{}, &apiv1.Empty{})).To(Or(Succeed(), HaveOccurred()), method)
	}
	_, err := c.Announce(t.Context(), &apiv1.AnnounceMinionRequest{Minion: &apiv1.BatchMinion{}})
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT))
	g.Expect(result.From(err).NotRun).To(BeTrue())
	_, err = c.GetCatalog(t.Context())
	g.Expect(err).NotTo(HaveOccurred(), "the process still serves")
}

// callTimeout bounds a call that is retried because no replica leads.
const callTimeout = 200 * time.Millisecond
