package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// benchMinion answers calls at once and ends each run after benchTaskTime.
type benchMinion struct {
	mu      sync.Mutex
	running map[batch.RunKey]bool
	ended   []ReportedEnd
	last    uint64
	changed chan struct{}
	// taskTime replaces benchTaskTime unless it is zero.
	taskTime time.Duration
}

const benchTaskTime = 100 * time.Millisecond

type benchMinions map[string]*benchMinion

func (c benchMinions) Start(_ context.Context, to Target, o StartOrder) (int64, error) {
	m := c[to.Address]
	m.mu.Lock()
	m.running[o.Run] = true
	m.mu.Unlock()
	time.AfterFunc(cmp.Or(m.taskTime, benchTaskTime), func() {
		m.mu.Lock()
		delete(m.running, o.Run)
		m.last++
		m.ended = append(m.ended, ReportedEnd{EndNumber: m.last, Run: o.Run, End: apiv1.RunEnd_RUN_END_DONE})
		m.mu.Unlock()
		select {
		case m.changed <- struct{}{}:
		default:
		}
	})
	return time.Now().UnixMilli(), nil
}

func (c benchMinions) Stop(context.Context, Target, batch.RunKey, uint64) (int64, error) {
	return time.Now().UnixMilli(), nil
}

func (c benchMinions) SetSpeed(context.Context, Target, batch.RunKey, int, uint64) error { return nil }
func (c benchMinions) Disconnect(Target)                                                 {}

func (c benchMinions) Hold(ctx context.Context, to Target, o HoldRequest) (*HoldReply, error) {
	m := c[to.Address]
	timer := time.NewTimer(o.MaxWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		for len(m.ended) > 0 && m.ended[0].EndNumber <= o.LastAckedEnd {
			m.ended = m.ended[1:]
		}
		reply := &HoldReply{StartedMS: 1, ClockMS: time.Now().UnixMilli(), Ended: append([]ReportedEnd(nil), m.ended...)}
		for key := range m.running {
			reply.Running = append(reply.Running, RunStatus{Run: key, SpeedPercent: fullSpeed})
		}
		m.mu.Unlock()
		if len(reply.Ended) > 0 || o.MaxWait == 0 {
			return reply, nil
		}
		select {
		case <-m.changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDispatcher measures the processor time that the leader uses for a task,
// without the calls over the network and the log: 1,000 tasks a second in jobs of
// eight on fleets of different sizes.
func BenchmarkDispatcher(b *testing.B) {
	for _, minions := range []int{50, 350, 1100, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) { benchmarkDispatcher(b, minions) })
	}
}

func benchmarkDispatcher(b *testing.B, minions int) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	node := &fakeNode{machine: state.New()}
	propose := func(cmd *apiv1.BatchCommand) {
		if _, err := node.Propose(b.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: cmd}}); err != nil {
			b.Fatal(err)
		}
	}
	queue := &apiv1.BatchQueue{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1600, TargetLatencyMs: 600}
	propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}}, Queues: []*apiv1.BatchQueue{queue},
	}}})
	client := benchMinions{}
	observed := &apiv1.ObserveMinions{}
	for i := range minions {
		id := fmt.Sprintf("m%05d", i)
		client[id] = &benchMinion{running: map[batch.RunKey]bool{}, changed: make(chan struct{}, 1)}
		observed.Minions = append(observed.Minions, &apiv1.BatchMinion{
			Life: &apiv1.MinionLife{Id: id, BornUnixMs: 1}, Address: id, Pool: "p", Capacity: &apiv1.Resources{CpuMillis: 64_000, MemoryMb: 64_000},
		})
	}
	propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: observed}})
	ctx, cancel := context.WithCancel(b.Context())
	d := New(ctx, 1, Options{
		Minions: client, StateMachine: node.machine, Node: node, Clock: bubbleClock{time.Now()}, Log: logrus.NewEntry(quiet),
		Lease: testLease, MaxLease: testMaxLease, Retention: time.Hour,
	}, NewMetrics(nil))
	done := make(chan struct{})
	go func() { d.Run(); close(done) }()
	time.Sleep(time.Second)
	const jobTasks = 8
	start := processorTime()
	b.ResetTimer()
	for i := 0; i*jobTasks < b.N; i++ {
		propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
			Id: fmt.Sprintf("j%08d", i), Queue: "q", AcceptedQueue: queue,
			Steps: []*apiv1.BatchStep{{Count: jobTasks, Resources: &apiv1.Resources{CpuMillis: 8000, MemoryMb: 10}, EstimatedMs: 100}},
		}}})
		time.Sleep(jobTasks * time.Millisecond)
	}
	time.Sleep(3 * benchTaskTime)
	b.StopTimer()
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-us/task")
	cancel()
	<-done
}
