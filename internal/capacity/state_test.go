package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/ledger"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/scheduler"
)

// BenchmarkSnapshot measures the encoding and the size of a snapshot, and the
// live heap of the state machine. The state keeps the last 50 versions of the
// configuration.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range [][3]int{{200, 1000, 1}, {3200, 1000, 1}, {3200, 10_000, 1}, {3200, 10_000, 50}} {
		b.Run(fmt.Sprintf("vms=%d/jobs=%d/versions=%d", size[0], size[1], size[2]), func(b *testing.B) {
			benchmarkSnapshot(b, size[0], size[1], size[2])
		})
	}
}

func benchmarkSnapshot(b *testing.B, vms, jobs, versions int) {
	heapBefore := liveHeap()
	node := newNode(b, 460)
	for v := 1; v < versions; v++ {
		node.publish(b, uint64(v), 460)
	}
	node.observe(b, vms)
	node.submit(b, jobs, vms)
	heap, length := liveHeap()-heapBefore, 0
	b.ReportAllocs()
	for b.Loop() {
		data, err := proto.Marshal(node.stateMachine.Snapshot())
		if err != nil {
			b.Fatal(err)
		}
		length = len(data)
	}
	b.ReportMetric(float64(length), "snapshot-bytes")
	b.ReportMetric(float64(heap)/(1<<20), "heap-MiB")
}

// liveHeap returns the bytes of reachable heap objects, after a collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDemand measures the demand report of a shard (the scheduler of one
// service) in which the demand of every team has changed: the sizes of command
// and answer, and the time to apply it.
func BenchmarkDemand(b *testing.B) {
	for _, teams := range []int{46, 460} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			node := newNode(b, teams)
			openSessions(b, node, 1)
			finishRecovery(b, node)
			epoch := shardEpoch(node)
			var cmd *apiv1.Command
			var res *apiv1.CommandResult
			i := 0
			for b.Loop() {
				i++
				cmd = demandCommand(epoch, teams, i)
				res = node.apply(b, cmd)
			}
			b.ReportMetric(float64(proto.Size(cmd)), "command-bytes")
			b.ReportMetric(float64(proto.Size(res)), "answer-bytes")
		})
	}
}

// shardEpoch returns the epoch of the shard of service pool-1. A shard grants
// slots to the requests for one service; its epoch grows with each change of
// its host.
func shardEpoch(node *localNode) (epoch uint64) {
	for _, sh := range node.view().Shards {
		if sh.Service == "pool-1" {
			epoch = sh.Epoch
		}
	}
	return epoch
}

// finishRecovery ends the recovery of the shard of service pool-1 (the wait of a
// new host until requests granted by the previous one have ended), so that the
// state accepts the shard's demand reports.
func finishRecovery(b *testing.B, node *localNode) {
	node.apply(b, &apiv1.Command{Body: &apiv1.Command_FinishRecovery{
		FinishRecovery: &apiv1.FinishRecovery{Service: "pool-1", Epoch: shardEpoch(node)},
	}})
}

// demandCommand returns the i-th demand report of service pool-1. Each report
// differs from the one before it.
func demandCommand(epoch uint64, teams, i int) *apiv1.Command {
	cmd := &apiv1.ReportDemand{Service: "pool-1", Epoch: epoch, Sequence: uint64(i)}
	for t := range teams {
		cmd.Demands = append(cmd.Demands, &apiv1.TeamDemand{
			Team: fmt.Sprint("team-", t), Running: 2, Wanted: uint32(20 + i%2), Ceiling: 200,
		})
	}
	return &apiv1.Command{Body: &apiv1.Command_ReportDemand{ReportDemand: cmd}}
}

// BenchmarkShard measures the live heap of one shard with a full queue, the
// configuration not included. The reported time is that of filling the queue
// and of two garbage collections; it isn't the time of a request.
func BenchmarkShard(b *testing.B) {
	for _, size := range [][2]int{{10, 5}, {153, 460}} {
		b.Run(fmt.Sprintf("minions=%d/teams=%d", size[0], size[1]), func(b *testing.B) {
			ix := objects.NewIndex(newObjectSet(size[1]))
			var heap uint64
			for b.Loop() {
				heapBefore := liveHeap()
				c := shardWithFullQueue(ix, size[0], size[1])
				heap = liveHeap() - heapBefore
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(heap)/(1<<10), "heap-KiB")
		})
	}
}

// shardWithFullQueue returns a shard with 1000 queued requests, the MaxDepth of
// its queue.
func shardWithFullQueue(ix *objects.Index, minions, teams int) *scheduler.Core {
	c := scheduler.NewCore(0, "pool-1", 1)
	c.SetConfig(0, ix, nil)
	c.StartGranting()
	for i := range minions {
		c.Announce(0, &apiv1.MinionAnnouncement{
			MinionId: fmt.Sprint("minion-", i), Service: "pool-1", Vm: fmt.Sprint("vm-", i), Slots: 8,
			AvailabilityZone: fmt.Sprint("zone-", i%8), Rack: fmt.Sprint("rack-", i/4),
		})
	}
	for i := range 1000 {
		c.Enqueue(0, &apiv1.AcquireRequest{
			Service: "pool-1", SessionId: 1, Team: fmt.Sprint("team-", i%teams), Queue: "pool-1",
			TimeoutMs: uint32((20 * time.Second).Milliseconds()),
		})
	}
	return c
}

// BenchmarkLedger measures the ledger of requests that run at most once: the
// live heap and the snapshot size per record, without stored responses.
func BenchmarkLedger(b *testing.B) {
	for _, records := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint("records=", records), func(b *testing.B) {
			var heap uint64
			var length int
			for b.Loop() {
				heapBefore := liveHeap()
				s := newLedger(b, records)
				heap = liveHeap() - heapBefore
				length = proto.Size(s.Snapshot())
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(heap)/float64(records), "heap-bytes/record")
			b.ReportMetric(float64(length)/float64(records), "snapshot-bytes/record")
		})
	}
}

// newLedger returns a ledger with the given number of records.
func newLedger(b *testing.B, records int) *ledger.State {
	s := ledger.New()
	for i := range records {
		_, err := s.Start(jobIDTimeMS, &apiv1.StartRequest{
			ClientAccount: fmt.Sprintf("team-%d-0", i%460), RequestId: jobID(i), SessionId: 7, Service: "pool-1",
			Epoch: 1, GrantId: uint64(i + 1), MinionId: "minion-1", Fingerprint: make([]byte, 32),
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkZoneLoss measures the time to apply the two commands that follow the
// loss of one of 8 availability zones: one marks its VMs as down and one expires
// their leases. Each worker holds two leases.
func BenchmarkZoneLoss(b *testing.B) {
	for _, vms := range []int{200, 3200} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			commandBytes := 0
			for b.Loop() {
				b.StopTimer()
				node := newNode(b, 460)
				node.observe(b, vms)
				node.submit(b, 2*vms, vms)
				node.place(b, vms, 2)
				down, ended := zoneLossCommands(vms)
				b.StartTimer()
				node.apply(b, down)
				node.apply(b, ended)
				commandBytes = proto.Size(down) + proto.Size(ended)
			}
			b.ReportMetric(float64(commandBytes), "command-bytes")
		})
	}
}

// zoneLossCommands returns the commands that mark every eighth VM as down and
// expire the leases of its worker.
func zoneLossCommands(vms int) (down, ended *apiv1.Command) {
	observe, expire := &apiv1.ObserveVms{}, &apiv1.ExpireLeases{}
	for i := 0; i < vms; i += 8 {
		hb := heartbeat(i, 2)
		observe.Observations = append(observe.Observations, &apiv1.VmObservation{
			Vm: hb.Vm, Pool: hb.Pool, AvailabilityZone: hb.AvailabilityZone, Rack: hb.Rack,
			Capacity: hb.Capacity, WorkerId: hb.WorkerId, Down: true,
		})
		expire.Leases = append(expire.Leases, hb.Leases...)
	}
	return &apiv1.Command{Body: &apiv1.Command_ObserveVms{ObserveVms: observe}},
		&apiv1.Command{Body: &apiv1.Command_ExpireLeases{ExpireLeases: expire}}
}
