package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/ledger"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

// fakeSession is valid until its clock reaches validUntil.
type fakeSession struct {
	clock      clock.Clock
	mu         sync.Mutex
	id         uint64
	validUntil time.Duration
	snap       *session.Snapshot
}

func (s *fakeSession) IsValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.validUntil
}
func (s *fakeSession) ID() uint64 { return s.id }
func (s *fakeSession) Snapshot() *session.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap
}

// change puts a changed copy of the view in force.
func (s *fakeSession) change(fn func(*apiv1.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := proto.CloneOf(s.snap.View)
	fn(view)
	s.snap = &session.Snapshot{View: view, Index: objects.NewIndex(view.Config.Objects)}
}

// fakeControl commits to a real ledger.
type fakeControl struct {
	mu       sync.Mutex
	ledger   *ledger.State
	onStart  func() // runs at each StartRequest
	onFinish func()
	jobs     []*apiv1.SubmitJob
	batch    []*apiv1.WorkerBatch
	// loseStart makes the answer of the next StartRequest get lost after the
	// commit.
	loseStart bool
}

func (c *fakeControl) Execute(_ context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now().UnixMilli()
	var rec *apiv1.RequestRecord
	var err *result.Error
	switch b := cmd.Body.(type) {
	case *apiv1.Command_StartRequest:
		if c.onStart != nil {
			c.onStart()
		}
		rec, err = c.ledger.Start(now, b.StartRequest)
		if c.loseStart {
			c.loseStart = false
			return nil, &session.UnknownOutcomeError{Err: result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "lost")}
		}
	case *apiv1.Command_FinishRequest:
		if c.onFinish != nil {
			c.onFinish()
		}
		rec, err = c.ledger.Finish(now, b.FinishRequest)
	case *apiv1.Command_SubmitJob:
		c.jobs = append(c.jobs, b.SubmitJob)
		return &apiv1.CommandResult{Body: &apiv1.CommandResult_Job{Job: &apiv1.Job{JobId: b.SubmitJob.JobId, Payload: b.SubmitJob.Payload}}}, nil
	}
	if err != nil {
		return nil, err
	}
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Request{Request: rec}}, nil
}

func (c *fakeControl) ReportWorkers(_ context.Context, b *apiv1.WorkerBatch) (*apiv1.WorkerBatchReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch = append(c.batch, b)
	reply := &apiv1.WorkerBatchReply{}
	for _, hb := range b.Heartbeats {
		reply.Instructions = append(reply.Instructions, &apiv1.WorkerInstructions{WorkerId: hb.WorkerId})
	}
	return reply, nil
}

func (c *fakeControl) GetJob(_ context.Context, g *apiv1.GetJob) (*apiv1.Job, error) {
	return &apiv1.Job{JobId: g.JobId, ClientAccount: g.ClientAccount}, nil
}

// fakeShard grants slots of the given minions in turn.
type fakeShard struct {
	mu             sync.Mutex
	minions        []*apiv1.MinionAnnouncement
	next           uint64
	epoch          uint64
	refuse         *result.Error
	afterNext      func() // runs once between a grant and its use
	outcomes       map[apiv1.GrantOutcome]int
	maxConnections uint32
	startWithin    uint32
	lostEpoch      uint64 // the host of this epoch never answers
	announced      []*apiv1.MinionAnnouncement
	releasedTo     string
}

func (f *fakeShard) Call(ctx context.Context, address, _ string, req, resp proto.Message) error {
	if r, ok := req.(*apiv1.AcquireRequest); ok && r.Epoch == f.lostEpoch {
		<-ctx.Done()
		return &rpc.TransportError{MaybeSent: true, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r := req.(type) {
	case *apiv1.AcquireRequest:
		return f.acquire(r, resp.(*apiv1.Grant))
	case *apiv1.ReleaseRequest:
		f.outcomes[r.Outcome]++
		f.releasedTo = address
	case *apiv1.MinionBatch:
		f.announced = append(f.announced, r.Minions...)
	}
	return nil
}

func (f *fakeShard) acquire(r *apiv1.AcquireRequest, g *apiv1.Grant) error {
	if f.refuse != nil {
		return f.refuse
	}
	f.next++
	m := f.minions[f.next%uint64(len(f.minions))]
	for _, avoid := range r.AvoidMinions {
		if m.MinionId == avoid {
			m = f.minions[(f.next+1)%uint64(len(f.minions))]
		}
	}
	proto.Merge(g, &apiv1.Grant{
		GrantId: f.next, Service: r.Service, Epoch: f.epoch, MinionId: m.MinionId, Vm: m.Vm,
		AvailabilityZone: m.AvailabilityZone, Address: m.Address, StartWithinMs: f.startWithin, MaxConnections: f.maxConnections,
		Team: r.Team, TimeoutMs: r.TimeoutMs,
	})
	if f.afterNext != nil {
		f.afterNext()
		f.afterNext = nil
	}
	return nil
}

func (f *fakeShard) count(o apiv1.GrantOutcome) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outcomes[o]
}

// world is one or more entry servers over shared fakes.
type world struct {
	clock      *clock.Fake
	session    *fakeSession
	control    *fakeControl
	shard      *fakeShard
	minions    []*fakes.Minion
	servers    []*Server
	urls       []string
	credential string
	client     *http.Client
}

func newWorld(t testing.TB, entries, minions int, options ...func(*Options)) *world {
	t.Helper()
	g := NewWithT(t)
	w := &world{clock: &clock.Fake{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(w.client.CloseIdleConnections)
	view, credential := testView()
	w.credential = credential
	w.session = &fakeSession{clock: w.clock, id: 7, validUntil: time.Hour}
	w.session.snap = &session.Snapshot{View: view, Index: objects.NewIndex(view.Config.Objects)}
	w.control = &fakeControl{ledger: ledger.New()}
	w.shard = &fakeShard{epoch: 3, maxConnections: 8, startWithin: 1000, outcomes: map[apiv1.GrantOutcome]int{}}
	for i := range minions {
		id := string(rune('a' + i))
		m, err := fakes.StartMinion(fakes.MinionOptions{Announcement: &apiv1.MinionAnnouncement{
			MinionId: "minion-" + id, Service: "alerts", Vm: "vm-" + id, AvailabilityZone: "zone-1",
		}})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(m.Close)
		w.minions = append(w.minions, m)
		w.shard.minions = append(w.shard.minions, m.Announcement())
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range entries {
		o := Options{Session: w.session, Control: w.control, RPCClient: w.shard, Clock: w.clock, Log: logrus.NewEntry(log)}
		for _, fn := range options {
			fn(&o)
		}
		s := New(o)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		hs := s.HTTPServer(s.CallerHandler())
		go hs.Serve(l)
		t.Cleanup(func() { hs.Close() })
		w.servers = append(w.servers, s)
		w.urls = append(w.urls, "http://"+l.Addr().String())
	}
	return w
}

// burstOK returns how many of n requests at once were served.
func (w *world) burstOK(n int) int {
	var served atomic.Int32
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if r := w.send(0, "GET", "/v1/services/alerts/", ""); r.status == 200 && r.err == nil {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	return int(served.Load())
}

func withProgressTimeout(o *Options) { o.ProgressTimeout = 50 * time.Millisecond }

func testView() (*apiv1.View, string) {
	key, credential := objects.NewKey("key-1", "home-1")
	return &apiv1.View{
		Version: 1, ConfigVersion: 1,
		Sessions: []*apiv1.Session{{Id: 7, RpcAddress: "127.0.0.1:1"}},
		Shards:   []*apiv1.Shard{{Service: "alerts", Epoch: 3, SessionId: 7}},
		Config: &apiv1.Config{Version: 1, Objects: &apiv1.ObjectSet{
			Team:             []*apiv1.Team{{Name: "care", Weight: 1}, {Name: "gait", Weight: 1}},
			ClientAccount:    []*apiv1.ClientAccount{{Name: "home-1", Team: "care"}},
			Key:              []*apiv1.Key{key},
			AvailabilityZone: []*apiv1.AvailabilityZone{{Name: "zone-1", State: apiv1.ZoneState_ZONE_STATE_IN}},
			Service:          []*apiv1.Service{{Name: "alerts", MaxDeadlineMs: 30_000}},
			Queue: []*apiv1.Queue{
				{Name: "heat", Service: "alerts", Teams: []string{"care"}},
				{Name: "gait", Service: "alerts", Teams: []string{"gait"}},
				{Name: "night", Pool: "pool-1", Teams: []string{"care"}},
			},
		}},
	}, credential
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r reply) notRun() bool { return r.header.Get(headerNotRun) == "true" }
func (r reply) code() string { return r.header.Get(headerResult) }

// send calls the entry with valid headers; pairs of headers replace them.
func (w *world) send(entry int, method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, w.urls[entry]+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+w.credential)
	req.Header.Set(headerQueue, "heat")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}
